package requester

import (
	"context"
	"errors"
	"io"
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

func TestFrozenHostLeavesTimeForOthers(t *testing.T) {
	// The frozen host accepts connections and never answers.
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer frozen.Close()
	var requests atomic.Int32
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = w.Write([]byte(`{"servers":[]}`))
	}))
	defer good.Close()
	c := &Requester{Addresses: []string{frozen.Addr().String(), addressOf(good)}}
	for range 3 {
		if _, err := c.Servers(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if requests.Load() != 3 || c.preferredHost() != 1 {
		t.Errorf("the good host got %d requests, and the next request starts at position %d", requests.Load(), c.preferredHost())
	}
}

func TestFailedChangeReportsWhetherItMayHaveRun(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused.Close()
	newServer := func(status int, body string) *httptest.Server {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		t.Cleanup(s.Close)
		return s
	}
	for _, tc := range []struct{ name, address, ran, code string }{
		{"connection refused", refused.Addr().String(), "no", ""},
		{"no quorum, nothing tried", addressOf(newServer(503, `{"code":"unavailable","ran":"no"}`)), "no", ""},
		{"no answer from the quorum", addressOf(newServer(503, `{"code":"unavailable","ran":"unknown"}`)), "unknown", ""},
		{"malformed reply", addressOf(newServer(502, `<html>`)), "unknown", ""},
		{"refused with a code other than unavailable", addressOf(newServer(422, `{"code":"invalid","ran":"no"}`)), "", responder.CodeInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &Requester{Addresses: []string{tc.address}}
			_, err := c.SetMark(context.Background(), "engine-1", responder.MarkRequest{})
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

func TestAnswerWithoutASuccessStatusConfirmsAChange(t *testing.T) {
	for _, status := range []string{"000", "099", "304", "404", "500", "502", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
				_ = c.Close()
			})}
			go func() { _ = s.Serve(l) }()
			defer func() { _ = s.Close() }()
			c := &Requester{Addresses: []string{l.Addr().String()}}
			if r, err := c.SetMark(t.Context(), "engine-1", responder.MarkRequest{}); err == nil {
				t.Errorf("the mark is confirmed: %+v", r)
			}
		})
	}
}
