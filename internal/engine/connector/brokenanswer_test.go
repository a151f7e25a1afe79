package connector

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// newEngine returns the client of an engine that answers each request with a text and ends the connection.
func newEngine(t *testing.T, answer string) *Engine {
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
