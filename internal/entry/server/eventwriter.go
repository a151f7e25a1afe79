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
	smallestPlain = 0x20
	largestPlain  = 0x7e

	// deadlineSlack saves setting the deadline again for each token.
	deadlineSlack = time.Second
)

type (
	// eventWriter writes a generation as server-sent events. The response begins
	// with the first event, so that a request that failed before gets a status.
	eventWriter struct {
		w       http.ResponseWriter
		control *http.ResponseController

		// mu guards all below, as keep-alive comments come from their own goroutine.
		mu      sync.Mutex
		begun   bool
		wroteAt time.Time
		// deadline is until when writes may last; each write has most of
		// writeTimeout left.
		deadline time.Time
		// head and tail surround the text of each token.
		head, tail []byte
		// idPrefix is the text of the event ids but for the index.
		idPrefix []byte
		buf      []byte
	}
)

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), wroteAt: time.Now()}
}

// comment keeps a silent stream open.
func (e *eventWriter) comment(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.begun && now.Sub(e.wroteAt) >= keepAliveEvery {
		e.buf = append(e.buf[:0], ": waiting\n\n"...)
		_ = e.flush(now)
	}
}

// end writes the last events of a whole generation.
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

// incomplete writes the last event of a generation that nothing could go on with.
func (e *eventWriter) incomplete(r *RefusalError) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.buf = append(e.buf[:0], "event: incomplete\ndata: "...)
	e.buf = append(e.buf, r.body()...)
	e.buf = append(e.buf, "\n\n"...)
	return e.flush(time.Now())
}

// hasBegun tells whether anything was written.
func (e *eventWriter) hasBegun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun
}

// moved notes where the generation is now, and in which form it is answered.
func (e *eventWriter) moved(c sequencer.Cursor, start *messenger.GenerateStart) error {
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
	if !e.begun {
		e.w.Header().Set("X-Generation-Id", c.Generation)
	}
	return nil
}

// tokens writes an event for each token and sends them in one piece at once.
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

// flush sends buf to the caller. The mutex is held.
func (e *eventWriter) flush(now time.Time) error {
	if !e.begun {
		e.begun = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
	}
	if e.deadline.Sub(now) < writeTimeout-deadlineSlack {
		e.deadline = now.Add(writeTimeout)
		_ = e.control.SetWriteDeadline(e.deadline)
	}
	e.wroteAt = now
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	return e.control.Flush()
}

// appendQuoted appends text as a JSON string; plain text takes the short way.
func appendQuoted(dst []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < smallestPlain || c > largestPlain || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(text)
			return append(dst, quoted...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}
