package forwarder

import (
	"bytes"
	"errors"
	"io"

	"verbenareach/internal/fleet/sender"
)

type (
	// batch is a run of whole events of a stream.
	batch struct {
		bytes []byte
		// count is how many events it holds, last the id of the newest one.
		count int
		last  string
		// err ends the stream: io.EOF where it is complete.
		err error
	}

	// eventReader cuts an answer's body into whole events.
	eventReader struct {
		body io.Reader
		buf  []byte
	}
)

const (
	// readSize is the room for one read of a stream.
	readSize = 4096
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// batchesAhead bounds the batches of a stream that wait to be passed on.
	batchesAhead = 64
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")

	errEventTooLarge = errors.New("event is too large")
	errTornEvent     = errors.New("stream ends within an event")
)

// readEvents passes the events of an answer on until it ends. What it returns stops it.
func readEvents(a *sender.Answer) (events <-chan batch, stop func()) {
	ch := make(chan batch, batchesAhead)
	stopped := make(chan struct{})
	go func() {
		defer close(ch)
		r := &eventReader{body: a.Body}
		for {
			b := r.next()
			select {
			case ch <- b:
			case <-stopped:
				return
			}
			if b.err != nil {
				return
			}
		}
	}()
	return ch, func() { close(stopped) }
}

// next returns the events that are whole after one read or more.
func (r *eventReader) next() batch {
	for {
		if end := bytes.LastIndex(r.buf, eventEnd); end >= 0 {
			whole := r.buf[:end+len(eventEnd)]
			r.buf = bytes.Clone(r.buf[len(whole):])
			b := batch{bytes: whole, count: bytes.Count(whole, eventEnd)}
			b.last = lastID(whole)
			return b
		}
		if len(r.buf) > maxEventBytes {
			return batch{err: errEventTooLarge}
		}
		at := len(r.buf)
		r.buf = append(r.buf, make([]byte, readSize)...)
		n, err := r.body.Read(r.buf[at:])
		r.buf = r.buf[:at+n]
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) && len(r.buf) > 0 {
			return batch{err: errTornEvent}
		}
		if err != nil {
			return batch{err: err}
		}
	}
}

// lastID returns the id of the newest of some events; empty if none has one.
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
