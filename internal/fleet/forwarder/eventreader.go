package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"golang.org/x/sync/semaphore"

	"verbenareach/internal/fleet/sender"
)

type (
	// eventBatch holds whole events of a stream.
	eventBatch struct {
		bytes []byte
		// count is the number of events, lastID the newest id among them; empty if none has one.
		count  int
		lastID string
		// arrived is when it was read. heldUp is set if the reader had to wait for the client before it.
		arrived time.Time
		heldUp  bool
		// err ends the stream; it is io.EOF if the stream is complete. A batch with an err has no
		// events.
		err error
		// written is to be called once the batch needs no memory anymore.
		written func()
	}

	// eventReader splits a response body into whole events.
	eventReader struct {
		body io.Reader
		buf  []byte
	}
)

const (
	// readSize is the buffer space for one read of a stream, in bytes.
	readSize = 4096
	// maxEventBytes bounds one event.
	maxEventBytes = 128 << 10
	// maxPendingBatches and maxPendingBytes bound what is queued for a client, of whose stream no more
	// is read then. A larger batch is queued alone.
	maxPendingBatches = 64
	maxPendingBytes   = 256 << 10
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")

	errEventTooLarge  = errors.New("event is too large")
	errTruncatedEvent = errors.New("stream ends within an event")
	errNoEvent        = errors.New("connection ends before the first event")
)

// readEvents sends the events of a response on a channel, which it closes at the end. stop, to
// be called once, ends the sending; a read in progress ends when the response is closed.
func readEvents(resp *sender.Response) (events <-chan eventBatch, stop func()) {
	ch := make(chan eventBatch, maxPendingBatches)
	ctx, cancel := context.WithCancel(context.Background())
	pending := semaphore.NewWeighted(maxPendingBytes)
	go func() {
		defer close(ch)
		r := &eventReader{body: resp.Body}
		heldUp := false
		for {
			b := r.next()
			b.arrived, b.heldUp = time.Now(), heldUp
			// The bytes keep all of the buffer that they were read to.
			size := int64(min(cap(b.bytes), maxPendingBytes))
			b.written = func() { pending.Release(size) }
			if pending.Acquire(ctx, size) != nil {
				return
			}
			select {
			case ch <- b:
			case <-ctx.Done():
				return
			}
			if b.err != nil {
				return
			}
			heldUp = time.Since(b.arrived) > slowClientTime
		}
	}()
	return ch, cancel
}

// next reads until at least one event is whole and returns all whole events.
func (r *eventReader) next() eventBatch {
	for {
		if end := bytes.LastIndex(r.buf, eventEnd); end >= 0 {
			whole := r.buf[:end+len(eventEnd)]
			r.buf = bytes.Clone(r.buf[len(whole):])
			b := eventBatch{bytes: whole, count: bytes.Count(whole, eventEnd)}
			b.lastID = lastID(whole)
			return b
		}
		if len(r.buf) > maxEventBytes {
			return eventBatch{err: errEventTooLarge}
		}
		at := len(r.buf)
		r.buf = append(r.buf, make([]byte, readSize)...)
		n, err := r.body.Read(r.buf[at:])
		r.buf = r.buf[:at+n]
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) && len(r.buf) > 0 {
			return eventBatch{err: errTruncatedEvent}
		}
		if err != nil {
			return eventBatch{err: err}
		}
	}
}

// lastID returns the id of the newest event that has one; empty if none has.
func lastID(events []byte) string {
	at := bytes.LastIndex(events, append([]byte{'\n'}, idField...))
	switch {
	case at >= 0:
		events = events[at+1:]
	case !bytes.HasPrefix(events, idField):
		return ""
	}
	value, _, _ := bytes.Cut(events[len(idField):], []byte{'\n'})
	return string(bytes.TrimSpace(value))
}
