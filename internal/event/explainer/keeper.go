// Package explainer keeps the event records of generations, calls and requests
// for a limited time and merges the records of several processes.
package explainer

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// Bounds of a Keeper.
const (
	// DefaultRetention is how long records are kept.
	DefaultRetention = time.Hour
	// DefaultMaxBytes bounds the memory for records.
	DefaultMaxBytes = 32 << 20
	// headBytes and tailBytes bound the first and the newest records of one history.
	headBytes = 4 << 10
	tailBytes = 4 << 10
	// historyOverhead is the memory of a history besides its records: map and list entries, id and headers.
	historyOverhead = 300
	// maxValueBytes bounds the text of one field, and maxFields the fields of one record.
	maxValueBytes = 256
	maxFields     = 16
)

type (
	// Keeper holds the newest records by subject. Its fields are set before
	// first use; a nil Keeper keeps nothing.
	Keeper struct {
		// Process and Role are the name and the role of the process that keeps the records.
		Process string
		Role    string
		// Since is when the process started to keep records.
		Since time.Time
		// Retention is how long a history is kept after its newest record; 0 means DefaultRetention.
		Retention time.Duration
		// MaxBytes bounds the memory for records; 0 means DefaultMaxBytes. The least recently
		// updated histories are evicted first.
		MaxBytes int

		mu sync.Mutex
		// evictedUntil is the time of the newest record of the last evicted history; zero if none was evicted.
		evictedUntil time.Time
		bytes        int
		// histories are the histories by subject; each is an element of order, least recently updated first.
		histories map[string]*list.Element
		order     *list.List
		// keys are the field keys; records hold only the index of a key, its key number.
		keys       []string
		keyNumbers map[string]uint64
	}

	// history holds the records of one subject as encoded by appendRecord.
	history struct {
		subject string
		first   time.Time
		newest  time.Time
		head    []byte
		tail    []byte
		dropped uint32
	}
)

// Explain returns the records of the subject with the given id, oldest first.
func (k *Keeper) Explain(now time.Time, id string) *messenger.ExplainReply {
	if k == nil {
		return &messenger.ExplainReply{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	reply := &messenger.ExplainReply{Process: k.Process, Role: k.Role, KeptSince: k.keptSince(now).UnixNano()}
	element, ok := k.histories[id]
	if !ok {
		return reply
	}
	h, ok := element.Value.(*history)
	if !ok {
		return reply
	}
	reply.Dropped = h.dropped
	reply.Records = k.decodeRecords(reply.Records, h, h.head)
	reply.Records = k.decodeRecords(reply.Records, h, h.tail)
	return reply
}

// Keep stores a record that has a subject. It is meant for Logger.Keep.
func (k *Keeper) Keep(rec logger.Record) {
	if k == nil || rec.Subject == "" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.histories == nil {
		k.histories = make(map[string]*list.Element)
		k.order = list.New()
		k.keyNumbers = make(map[string]uint64)
	}
	k.expire(rec.At)
	h := k.touch(rec)
	k.bytes -= h.bytes()
	data := k.appendRecord(nil, h, rec)
	h.add(data)
	k.bytes += h.bytes()
	k.evict()
}

// add adds one record's data to the head, or to the tail once the head is full.
func (h *history) add(data []byte) {
	if len(h.tail) == 0 && len(h.head)+len(data) <= headBytes {
		h.head = append(h.head, data...)
		return
	}
	h.tail = append(h.tail, data...)
	kept := h.tail
	for len(kept) > tailBytes && len(kept) > len(data) {
		length, n := binary.Uvarint(kept)
		kept = kept[n+int(length):]
		h.dropped++
	}
	if len(kept) < len(h.tail) {
		h.tail = append([]byte(nil), kept...)
	}
}

func (h *history) bytes() int {
	return historyOverhead + len(h.subject) + cap(h.head) + cap(h.tail)
}

// touch returns the history of a record's subject, created if needed, and moves it to the end of order.
func (k *Keeper) touch(rec logger.Record) *history {
	if element, ok := k.histories[rec.Subject]; ok {
		if h, ok := element.Value.(*history); ok {
			k.order.MoveToBack(element)
			h.newest = rec.At
			return h
		}
	}
	h := &history{subject: rec.Subject, first: rec.At, newest: rec.At}
	k.histories[rec.Subject] = k.order.PushBack(h)
	k.bytes += h.bytes()
	return h
}

// appendRecord appends the length of a record and the record: its time in
// microseconds after the history's first, the event's number, and its fields.
func (k *Keeper) appendRecord(data []byte, h *history, rec logger.Record) []byte {
	var body []byte
	body = binary.AppendVarint(body, rec.At.Sub(h.first).Microseconds())
	body = binary.AppendUvarint(body, uint64(rec.Event.Number))
	fields := rec.Fields[:min(len(rec.Fields), maxFields)]
	body = binary.AppendUvarint(body, uint64(len(fields)))
	for _, f := range fields {
		body = binary.AppendUvarint(body, k.keyNumber(f.Key))
		value := formatValue(f.Value)
		body = binary.AppendUvarint(body, uint64(len(value)))
		body = append(body, value...)
	}
	data = binary.AppendUvarint(data, uint64(len(body)))
	return append(data, body...)
}

// decodeRecords decodes data written by appendRecord and appends its records to records.
func (k *Keeper) decodeRecords(records []*messenger.EventRecord, h *history, data []byte) []*messenger.EventRecord {
	nextUvarint := func() uint64 {
		v, n := binary.Uvarint(data)
		data = data[n:]
		return v
	}
	for len(data) > 0 {
		nextUvarint() // The length serves only to skip records.
		micros, n := binary.Varint(data)
		data = data[n:]
		rec := &messenger.EventRecord{At: h.first.Add(time.Duration(micros) * time.Microsecond).UnixNano()}
		rec.Number = uint32(nextUvarint())
		for range nextUvarint() {
			f := &messenger.EventField{Key: k.keys[nextUvarint()]}
			length := nextUvarint()
			f.Value = string(data[:length])
			data = data[length:]
			rec.Fields = append(rec.Fields, f)
		}
		records = append(records, rec)
	}
	return records
}

// expire drops the histories whose newest record is older than the retention.
func (k *Keeper) expire(now time.Time) {
	for {
		h := k.leastRecent()
		if h == nil || now.Sub(h.newest) <= k.retention() {
			return
		}
		k.drop(h)
	}
}

func (k *Keeper) drop(h *history) {
	k.order.Remove(k.histories[h.subject])
	delete(k.histories, h.subject)
	k.bytes -= h.bytes()
}

// keptSince returns the time from which on no history was dropped.
func (k *Keeper) keptSince(now time.Time) time.Time {
	since := now.Add(-k.retention())
	for _, t := range []time.Time{k.Since, k.evictedUntil} {
		if t.After(since) {
			since = t
		}
	}
	return since
}

func (k *Keeper) keyNumber(key string) uint64 {
	n, ok := k.keyNumbers[key]
	if !ok {
		n = uint64(len(k.keys))
		k.keys = append(k.keys, key)
		k.keyNumbers[key] = n
	}
	return n
}

func (k *Keeper) leastRecent() *history {
	if k.order == nil || k.order.Len() == 0 {
		return nil
	}
	h, ok := k.order.Front().Value.(*history)
	if !ok {
		return nil
	}
	return h
}

func (k *Keeper) retention() time.Duration {
	if k.Retention == 0 {
		return DefaultRetention
	}
	return k.Retention
}

// evict drops the least recently updated histories until the rest fits into the memory limit. It keeps at least one.
func (k *Keeper) evict() {
	limit := k.MaxBytes
	if limit == 0 {
		limit = DefaultMaxBytes
	}
	for k.bytes > limit && k.order.Len() > 1 {
		h := k.leastRecent()
		if h == nil {
			return
		}
		k.evictedUntil = h.newest
		k.drop(h)
	}
}

// formatValue formats a field's value as valid UTF-8, truncated to maxValueBytes.
func formatValue(value any) string {
	var text string
	switch v := value.(type) {
	case string:
		text = v
	case int:
		text = strconv.Itoa(v)
	case uint32:
		text = strconv.FormatUint(uint64(v), 10)
	case uint64:
		text = strconv.FormatUint(v, 10)
	case time.Duration:
		text = v.String()
	default:
		text = fmt.Sprint(v)
	}
	if len(text) > maxValueBytes {
		text = text[:maxValueBytes-3] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}
