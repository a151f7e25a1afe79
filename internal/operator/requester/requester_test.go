package requester

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"verbenareach/internal/operator/responder"
)

func addressOf(s *httptest.Server) string {
	return strings.TrimPrefix(s.URL, "http://")
}

func TestAFrozenHostDoesntUseUpTheTime(t *testing.T) {
	// It takes connections and never answers.
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer frozen.Close()
	var asked atomic.Int32
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		_, _ = w.Write([]byte(`{"servers":[]}`))
	}))
	defer good.Close()
	c := &Requester{Addresses: []string{frozen.Addr().String(), addressOf(good)}}
	for range 3 {
		if _, err := c.Servers(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if asked.Load() != 3 || c.start() != 1 {
		t.Errorf("the good host was asked %d times and is at position %d of the next request", asked.Load(), c.start())
	}
}

func TestWhatIsToldOfAFailedChange(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused.Close()
	answer := func(status int, body string) *httptest.Server {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		t.Cleanup(s.Close)
		return s
	}
	for _, tc := range []struct{ name, address, ran, code string }{
		{"connection refused", refused.Addr().String(), "no", ""},
		{"no quorum, nothing tried", addressOf(answer(503, `{"code":"unavailable","ran":"no"}`)), "no", ""},
		{"no answer from the quorum", addressOf(answer(503, `{"code":"unavailable","ran":"unknown"}`)), "unknown", ""},
		{"an answer that isn't understood", addressOf(answer(502, `<html>`)), "unknown", ""},
		{"refused for good", addressOf(answer(422, `{"code":"invalid","ran":"no"}`)), "", responder.CodeInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &Requester{Addresses: []string{tc.address}}
			_, err := c.Mark(context.Background(), "engine-1", responder.MarkRequest{})
			var unreachable *UnreachableError
			var refusal *responder.RefusalError
			if tc.code != "" {
				if !errors.As(err, &refusal) || refusal.Code != tc.code {
					t.Errorf("error %v, want refusal %s", err, tc.code)
				}
				return
			}
			if !errors.As(err, &unreachable) || unreachable.Ran != tc.ran {
				t.Errorf("error %v, want ran %q", err, tc.ran)
			}
		})
	}
}
