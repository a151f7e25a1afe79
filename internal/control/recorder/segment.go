package recorder

import (
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/wire/messenger"
)

type (
	// segment is one file of the log.
	segment struct {
		number uint64
		// last is the highest index of all entries ever written to the segment.
		last uint64
	}

	// loader reads the segments of a log in order.
	loader struct {
		id      string
		state   *messenger.LogState
		entries []*messenger.LogEntry
		// reset is the newest LogReset, which dropped all entries before it; nil if none.
		reset *messenger.LogReset
		// commit is the highest index known to have been committed.
		commit uint64
		// synced is the highest synced offset stated by a mark in the current segment.
		synced uint64
	}
)

const segmentSuffix = ".log"

var (
	errGap    = errors.New("entries are missing")
	errHeader = errors.New("segment does not begin with its header")
	errNumber = errors.New("a segment is missing")
)

func segmentPath(folder string, number uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%016d%s", number, segmentSuffix))
}

func segmentNumber(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

// loadSegment reads one segment and returns the number of its valid bytes. An unreadable
// record in the final segment is a torn tail, whose bytes aren't valid, unless a mark shows
// that the record had been synced.
func (l *loader) loadSegment(seg *segment, data []byte, final bool) (validBytes int64, err error) {
	l.synced = 0
	for validBytes < int64(len(data)) {
		payload, err := decodeFrame(data[validBytes:], maxPayloadBytes)
		if err != nil {
			torn := final && l.synced <= uint64(validBytes) && !hasMarkBeyond(data[validBytes:], validBytes)
			if torn {
				return validBytes, nil
			}
			return validBytes, err
		}
		rec := new(messenger.LogRecord)
		if err := proto.Unmarshal(payload, rec); err != nil {
			return validBytes, err
		}
		if validBytes == 0 && rec.GetHeader().GetSegment() != seg.number {
			return validBytes, errHeader
		}
		if err := l.applyRecord(seg, rec); err != nil {
			return validBytes, err
		}
		validBytes += frameHeaderBytes + int64(len(payload))
	}
	if !final && validBytes == 0 {
		return validBytes, errHeader
	}
	if l.synced > uint64(validBytes) {
		return validBytes, errShort
	}
	return validBytes, nil
}

func (l *loader) applyRecord(seg *segment, rec *messenger.LogRecord) error {
	switch body := rec.Body.(type) {
	case *messenger.LogRecord_Header:
		l.id = body.Header.Id
		l.state = body.Header.State
	case *messenger.LogRecord_State:
		l.state = body.State
	case *messenger.LogRecord_Mark:
		l.synced = max(l.synced, body.Mark.Synced)
		l.commit = max(l.commit, body.Mark.Commit)
	case *messenger.LogRecord_Restart:
		l.reset = body.Restart
		l.entries = nil
	case *messenger.LogRecord_Entry:
		seg.last = max(seg.last, body.Entry.Index)
		return l.applyEntry(body.Entry)
	}
	return nil
}

// applyEntry adds an entry, which replaces those held from its index on.
func (l *loader) applyEntry(e *messenger.LogEntry) error {
	if len(l.entries) == 0 {
		l.entries = append(l.entries, e)
		return nil
	}
	first := l.entries[0].Index
	next := first + uint64(len(l.entries))
	if e.Index > next {
		return errGap
	}
	if e.Index <= first {
		l.entries = append(l.entries[:0], e)
		return nil
	}
	l.entries = append(l.entries[:e.Index-first], e)
	return nil
}
