package server

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/wire/messenger"
)

// deadlineRecorder is a response that records its last write deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder

	deadline time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	d.deadline = deadline
	return nil
}

// TestWriteDeadlineIsExtended writes a token every 40 ms for longer than writeTimeout: the
// stream must not run into the deadline of an earlier write.
func TestWriteDeadlineIsExtended(t *testing.T) {
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	e := newEventWriter(w)
	now := time.Now()
	for end := now.Add(3 * writeTimeout); now.Before(end); now = now.Add(40 * time.Millisecond) {
		if err := e.flush(now); err != nil {
			t.Fatal(err)
		}
		if left := w.deadline.Sub(now); left < writeTimeout/2 || left > writeTimeout {
			t.Fatalf("the write deadline is %v ahead", left)
		}
	}
}

func TestEvents(t *testing.T) {
	tests := []struct {
		name, path string
		write      func(e *eventWriter) error
		want       []string
	}{
		{
			name: "chat tokens", path: "/v1/chat/completions",
			write: func(e *eventWriter) error { return e.tokens(4, []string{"a", "\"é\n"}) },
			want:  []string{"id: g@s/7/2:4\ndata: {", `"delta":{"content":"a"},"finish_reason":null`, "id: g@s/7/2:5\n", `"content":"\"é\n"}`},
		},
		{
			name: "completion token", path: "/v1/completions",
			write: func(e *eventWriter) error { return e.tokens(0, []string{"a"}) },
			want:  []string{`"object":"text_completion"`, `"text":"a","finish_reason":null`},
		},
		{
			name: "end", path: "/v1/completions",
			write: func(e *eventWriter) error { return e.end("stop") },
			want:  []string{`"finish_reason":"stop"`, "event: end\ndata: [DONE]\n\n"},
		},
		{
			name: "incomplete", path: "/v1/completions",
			write: func(e *eventWriter) error {
				return e.incomplete(&RefusalError{Status: http.StatusBadGateway, Code: "incomplete", Ran: messenger.Ran_RAN_YES})
			},
			want: []string{"event: incomplete\ndata: {", `"code":"incomplete"`, `"ran":"yes"`},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			e := newEventWriter(w)
			cursor := sequencer.Cursor{Generation: "g", Server: "s", Incarnation: 7, Epoch: 2, Index: 3}
			if err := e.admitted(cursor, &messenger.GenerateStart{Path: tt.path, Model: "m"}); err != nil {
				t.Fatal(err)
			}
			if err := tt.write(e); err != nil {
				t.Fatal(err)
			}
			for _, want := range tt.want {
				if !strings.Contains(w.Body.String(), want) {
					t.Errorf("%q is missing in %s", want, w.Body.String())
				}
			}
			if !w.Flushed || w.Header().Get("Content-Type") != "text/event-stream" {
				t.Errorf("flushed %v, %v", w.Flushed, w.Header())
			}
		})
	}
}
