package connector

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// newEngine returns the client of an engine that answers each request with a text and ends the connection.
func newEngine(t *testing.T, answer string) *Engine {
	t.Helper()
	return newScriptedEngine(t, answer, func(*net.TCPConn) {})
}

// newEarlyEngine is like newEngine, but the engine resets the connection a moment after its answer. It has not
// read the body of the request.
func newEarlyEngine(t *testing.T, answer string) *Engine {
	t.Helper()
	return newScriptedEngine(t, answer, func(c *net.TCPConn) {
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	})
}

// newScriptedEngine returns the client of an engine that answers with a text, calls end and closes the connection.
func newScriptedEngine(t *testing.T, answer string, end func(c *net.TCPConn)) *Engine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
				end(c.(*net.TCPConn))
			}
			_ = c.Close()
		}
	}()
	return &Engine{Address: l.Addr().String(), Client: NewClient(0, time.Second)}
}

// calls holds each call to an engine, which returns the error that the answer gives.
var calls = map[string]func(t *testing.T, e *Engine) error{
	"start": func(t *testing.T, e *Engine) error {
		t.Helper()
		_, err := e.Start(t.Context(), &messenger.GenerateStart{Path: "/v1/completions", Request: []byte("{}")})
		return err
	},
	"order": func(t *testing.T, e *Engine) error {
		t.Helper()
		return e.Order(t.Context(), Order{Kind: "load"})
	},
	"load": func(t *testing.T, e *Engine) error {
		t.Helper()
		_, err := e.Load(t.Context())
		return err
	},
}

func TestAnswerWithAMalformedFieldIsTaken(t *testing.T) {
	for name, call := range calls {
		for _, status := range []string{"200", "400", "500"} {
			t.Run(name+status, func(t *testing.T) {
				err := call(t, newEngine(t, "HTTP/1.1 "+status+" X\r\nX-A B: v\r\nContent-Length: 2\r\n\r\n{}"))
				if refused := new(RefusedError); err == nil || errors.As(err, &refused) {
					t.Errorf("got %v, want no answer", err)
				}
			})
		}
	}
}

// A refusal ends a generation as one that did not run, and tells that an order was not carried out.
func TestAnswerThatIsNoneIsARefusal(t *testing.T) {
	tests := []struct {
		name, answer string
		refused      bool
	}{
		{"whole", "HTTP/1.1 400 X\r\nContent-Length: 4\r\n\r\ntext", true},
		{"whole with its connection", "HTTP/1.1 503 X\r\n\r\ntext", true},
		{"longer than what is read of it", "HTTP/1.1 400 X\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("t", maxErrorBytes), true},
		{"shorter than its length", "HTTP/1.1 400 X\r\nContent-Length: 4\r\n\r\ntex", false},
		{"without its last chunk", "HTTP/1.1 400 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n", false},
		{"status 000", "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\ntext", false},
		{"status 999", "HTTP/1.1 999 X\r\nContent-Length: 4\r\n\r\ntext", false},
	}
	for _, tt := range tests {
		for _, name := range []string{"start", "order"} {
			t.Run(tt.name+" "+name, func(t *testing.T) {
				err := calls[name](t, newEngine(t, tt.answer))
				if refused := new(RefusedError); err == nil || errors.As(err, &refused) != tt.refused {
					t.Errorf("got %v, want a refusal: %t", err, tt.refused)
				}
			})
		}
	}
}

func TestEarlyAnswerThatIsResetIsTaken(t *testing.T) {
	tests := map[string]string{
		"refusal":                 "HTTP/1.1 400 X\r\n\r\npart",
		"stream before its end":   "HTTP/1.1 200 X\r\n\r\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n",
		"stream within its event": "HTTP/1.1 200 X\r\n\r\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {",
	}
	prompt := []byte(`{"prompt":"` + strings.Repeat("p", 8<<20) + `"}`)
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEarlyEngine(t, answer)
			stream, err := e.Start(t.Context(), &messenger.GenerateStart{Path: "/v1/completions", Request: prompt})
			for err == nil {
				_, err = stream.Next()
			}
			if broken := new(BrokenError); !errors.As(err, &broken) {
				t.Errorf("got %v, want a broken answer", err)
			}
		})
	}
}
