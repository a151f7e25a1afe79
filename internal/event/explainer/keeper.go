// Package explainer keeps the records of generations, calls and requests for a
// while and tells their stories.
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
	// headBytes and tailBytes bound one story: its first and its newest records.
	headBytes = 4 << 10
	tailBytes = 4 << 10
	// storyBytes is what a story costs beside its records: map and list entries, id and headers.
	storyBytes = 300
	// valueBytes bounds the text of one field, and maxFields the fields of one record.
	valueBytes = 256
	maxFields  = 16
)

type (
	// Keeper holds the newest records by subject. Its fields are set before
	// first use; a nil Keeper keeps nothing.
	Keeper struct {
		// Process and Role say whose records these are.
		Process string
		Role    string
		// Since is when the process started to keep records.
		Since time.Time
		// Retention is how long a story stays after its newest record; 0 means DefaultRetention.
		Retention time.Duration
		// MaxBytes bounds the memory for records; 0 means DefaultMaxBytes. Stories that are
		// longest without a new record go first.
		MaxBytes int

		mu sync.Mutex
		// lost is the newest record of the stories that had to go early; zero if none had.
		lost  time.Time
		bytes int
		// stories by subject; each is an element of order, least recently touched first.
		stories map[string]*list.Element
		order   *list.List
		// keys are the names of fields, numbered so that records need not repeat them.
		keys       []string
		keyNumbers map[string]uint64
	}

	// story holds the records of one subject in the form that appendRecord writes.
	story struct {
		subject string
		first   time.Time
		newest  time.Time
		head    []byte
		tail    []byte
		dropped uint32
	}
)

// Explain returns the records of the subject with that id, oldest first.
func (k *Keeper) Explain(now time.Time, id string) *messenger.ExplainReply {
	if k == nil {
		return &messenger.ExplainReply{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	reply := &messenger.ExplainReply{Process: k.Process, Role: k.Role, KeptSince: k.keptSince(now).UnixNano()}
	element, ok := k.stories[id]
	if !ok {
		return reply
	}
	s, ok := element.Value.(*story)
	if !ok {
		return reply
	}
	reply.Dropped = s.dropped
	reply.Records = k.appendRecords(reply.Records, s, s.head)
	reply.Records = k.appendRecords(reply.Records, s, s.tail)
	return reply
}

// Keep keeps a record. It is meant for Logger.Keep.
func (k *Keeper) Keep(rec logger.Record) {
	if k == nil || rec.Subject == "" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stories == nil {
		k.stories = make(map[string]*list.Element)
		k.order = list.New()
		k.keyNumbers = make(map[string]uint64)
	}
	k.expire(rec.At)
	s := k.at(rec)
	k.bytes -= s.bytes()
	data := k.appendRecord(nil, s, rec)
	s.add(data)
	k.bytes += s.bytes()
	k.shrink()
}

// add adds one record's data to the head, or to the tail once the head is full.
func (s *story) add(data []byte) {
	if len(s.tail) == 0 && len(s.head)+len(data) <= headBytes {
		s.head = append(s.head, data...)
		return
	}
	s.tail = append(s.tail, data...)
	kept := s.tail
	for len(kept) > tailBytes && len(kept) > len(data) {
		length, n := binary.Uvarint(kept)
		kept = kept[n+int(length):]
		s.dropped++
	}
	if len(kept) < len(s.tail) {
		s.tail = append([]byte(nil), kept...)
	}
}

func (s *story) bytes() int {
	return storyBytes + len(s.subject) + cap(s.head) + cap(s.tail)
}

// at returns the story of a record's subject and makes it the newest.
func (k *Keeper) at(rec logger.Record) *story {
	if element, ok := k.stories[rec.Subject]; ok {
		if s, ok := element.Value.(*story); ok {
			k.order.MoveToBack(element)
			s.newest = rec.At
			return s
		}
	}
	s := &story{subject: rec.Subject, first: rec.At, newest: rec.At}
	k.stories[rec.Subject] = k.order.PushBack(s)
	k.bytes += s.bytes()
	return s
}

// appendRecord appends the length of a record and the record: its time in
// microseconds after the story's first, the event's number, and its fields.
func (k *Keeper) appendRecord(data []byte, s *story, rec logger.Record) []byte {
	var body []byte
	body = binary.AppendVarint(body, rec.At.Sub(s.first).Microseconds())
	body = binary.AppendUvarint(body, uint64(rec.Event.Number))
	fields := rec.Fields[:min(len(rec.Fields), maxFields)]
	body = binary.AppendUvarint(body, uint64(len(fields)))
	for _, f := range fields {
		body = binary.AppendUvarint(body, k.keyNumber(f.Key))
		value := text(f.Value)
		body = binary.AppendUvarint(body, uint64(len(value)))
		body = append(body, value...)
	}
	data = binary.AppendUvarint(data, uint64(len(body)))
	return append(data, body...)
}

// appendRecords reads what appendRecord wrote.
func (k *Keeper) appendRecords(records []*messenger.EventRecord, s *story, data []byte) []*messenger.EventRecord {
	next := func() uint64 {
		v, n := binary.Uvarint(data)
		data = data[n:]
		return v
	}
	for len(data) > 0 {
		next() // The length is for skipping.
		micros, n := binary.Varint(data)
		data = data[n:]
		rec := &messenger.EventRecord{At: s.first.Add(time.Duration(micros) * time.Microsecond).UnixNano()}
		rec.Number = uint32(next())
		for range next() {
			f := &messenger.EventField{Key: k.keys[next()]}
			length := next()
			f.Value = string(data[:length])
			data = data[length:]
			rec.Fields = append(rec.Fields, f)
		}
		records = append(records, rec)
	}
	return records
}

// expire drops the stories that have had no record for the retention.
func (k *Keeper) expire(now time.Time) {
	for {
		s := k.oldest()
		if s == nil || now.Sub(s.newest) <= k.retention() {
			return
		}
		k.drop(s)
	}
}

func (k *Keeper) drop(s *story) {
	k.order.Remove(k.stories[s.subject])
	delete(k.stories, s.subject)
	k.bytes -= s.bytes()
}

// keptSince returns since when no story was lost.
func (k *Keeper) keptSince(now time.Time) time.Time {
	since := now.Add(-k.retention())
	for _, t := range []time.Time{k.Since, k.lost} {
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

func (k *Keeper) oldest() *story {
	if k.order == nil || k.order.Len() == 0 {
		return nil
	}
	s, ok := k.order.Front().Value.(*story)
	if !ok {
		return nil
	}
	return s
}

func (k *Keeper) retention() time.Duration {
	if k.Retention == 0 {
		return DefaultRetention
	}
	return k.Retention
}

// shrink drops the least recently touched stories until the rest fits.
func (k *Keeper) shrink() {
	limit := k.MaxBytes
	if limit == 0 {
		limit = DefaultMaxBytes
	}
	for k.bytes > limit && k.order.Len() > 1 {
		s := k.oldest()
		if s == nil {
			return
		}
		k.lost = s.newest
		k.drop(s)
	}
}

// text returns a field's value as it is shown: valid UTF-8, cut to valueBytes.
func text(value any) string {
	var shown string
	switch v := value.(type) {
	case string:
		shown = v
	case int:
		shown = strconv.Itoa(v)
	case uint32:
		shown = strconv.FormatUint(uint64(v), 10)
	case uint64:
		shown = strconv.FormatUint(v, 10)
	case time.Duration:
		shown = v.String()
	default:
		shown = fmt.Sprint(v)
	}
	if len(shown) > valueBytes {
		shown = shown[:valueBytes-3] + "..."
	}
	return strings.ToValidUTF8(shown, "?")
}
