package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/wire/messenger"
)

const (
	minPlainASCII = 0x20
	maxPlainASCII = 0x7e

	// deadlineSlack is the age from which the write deadline is set again, so that it
	// is not set for each token.
	deadlineSlack = time.Second
)

type (
	// eventWriter writes a generation as server-sent events. The response starts with
	// the first event, so that a request that fails before gets an error status. admitted
	// is called before tokens and end.
	eventWriter struct {
		w          http.ResponseWriter
		controller *http.ResponseController

		// mu guards all fields below, as keep-alive comments are written by their own
		// goroutine.
		mu          sync.Mutex
		started     bool
		lastWriteAt time.Time
		// deadline is the write deadline. At each write it is at least writeTimeout less
		// deadlineSlack ahead.
		deadline time.Time
		// head and tail enclose the quoted text of each token. The one null in tail is the
		// finish reason.
		head, tail []byte
		// idPrefix is the text of the event ids without the index.
		idPrefix []byte
		// buf holds the events that flush writes.
		buf []byte
	}
)

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, controller: http.NewResponseController(w), lastWriteAt: time.Now()}
}

// comment writes a keep-alive comment if nothing was written for keepAliveInterval.
func (e *eventWriter) comment(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.started && now.Sub(e.lastWriteAt) >= keepAliveInterval {
		e.buf = append(e.buf[:0], ": waiting\n\n"...)
		_ = e.flush(now)
	}
}

// end writes the last events of a complete generation.
func (e *eventWriter) end(finishReason string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	quoted, err := json.Marshal(finishReason)
	if err != nil {
		return err
	}
	e.buf = append(e.buf[:0], "data: "...)
	e.buf = append(e.buf, e.head...)
	e.buf = append(e.buf, `""`...)
	e.buf = append(e.buf, strings.Replace(string(e.tail), "null", string(quoted), 1)...)
	e.buf = append(e.buf, "\n\nevent: end\ndata: [DONE]\n\n"...)
	return e.flush(time.Now())
}

// incomplete writes the last event of a generation that could not be continued. Its data is
// the body that r has as a response.
func (e *eventWriter) incomplete(r *RefusalError) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.buf = append(e.buf[:0], "event: incomplete\ndata: "...)
	e.buf = append(e.buf, r.body()...)
	e.buf = append(e.buf, "\n\n"...)
	return e.flush(time.Now())
}

// hasStarted reports whether the response has started.
func (e *eventWriter) hasStarted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// admitted sets the prefix of the event ids and the format of the events for an admitted
// attempt.
func (e *eventWriter) admitted(c sequencer.Cursor, start *messenger.GenerateStart) error {
	quoted, err := json.Marshal(start.GetModel())
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idPrefix = c.AppendPrefix(e.idPrefix[:0])
	if isChat(start) {
		e.head = []byte(`{"object":"chat.completion.chunk","model":` + string(quoted) + `,"choices":[{"index":0,"delta":{"content":`)
		e.tail = []byte(`},"finish_reason":null}]}`)
	} else {
		e.head = []byte(`{"object":"text_completion","model":` + string(quoted) + `,"choices":[{"index":0,"text":`)
		e.tail = []byte(`,"finish_reason":null}]}`)
	}
	if !e.started {
		e.w.Header().Set("X-Generation-Id", c.Generation)
	}
	return nil
}

// tokens writes an event for each token and flushes them together.
func (e *eventWriter) tokens(first uint64, texts []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.buf = e.buf[:0]
	for i, text := range texts {
		e.buf = append(e.buf, "id: "...)
		e.buf = append(e.buf, e.idPrefix...)
		e.buf = strconv.AppendUint(e.buf, first+uint64(i), 10)
		e.buf = append(e.buf, "\ndata: "...)
		e.buf = append(e.buf, e.head...)
		e.buf = appendQuoted(e.buf, text)
		e.buf = append(e.buf, e.tail...)
		e.buf = append(e.buf, "\n\n"...)
	}
	return e.flush(time.Now())
}

// flush sends buf to the HTTP caller, and starts the response before. The calling function
// holds mu.
func (e *eventWriter) flush(now time.Time) error {
	if !e.started {
		e.started = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
	}
	if e.deadline.Sub(now) < writeTimeout-deadlineSlack {
		e.deadline = now.Add(writeTimeout)
		_ = e.controller.SetWriteDeadline(e.deadline)
	}
	e.lastWriteAt = now
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	return e.controller.Flush()
}

// appendQuoted appends text as a JSON string. Plain ASCII text, which needs no escaping, is
// copied.
func appendQuoted(dst []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < minPlainASCII || c > maxPlainASCII || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(text)
			return append(dst, quoted...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}
