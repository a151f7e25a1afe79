package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// TestEarlierRefusalOnAKeptConnectionIsTakenForThisRequests: it must never say "not run" of one that runs.
func TestEarlierRefusalOnAKeptConnectionIsTakenForThisRequests(t *testing.T) {
	const bare = "HTTP/1.1 503 X\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, path string
		// again is written before the answer to the second request.
		again string
		// status is that of the second request, elsewhere the number of requests that reach the second server after the first.
		status    int
		elsewhere int
	}{
		{"with the earlier id, before a call", "/once/a", "HTTP/1.1 503 X\r\nT-Id: id-1\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", http.StatusOK, 0},
		{"without an id, before a call", "/once/a", bare, http.StatusBadGateway, 0},
		{"without an id, a status that says so by itself", "/once/a", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway, 0},
		{"without an id, before a stream", "/plain-stream/a", bare, http.StatusBadGateway, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := newStandIn(t, "s1", func(c net.Conn, seen seenRequest) bool {
				if seen.n == 1 {
					return answer(c, seen, http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "")
				}
				_, _ = fmt.Fprint(c, tt.again)
				return answerOK(c, seen)
			})
			second := newStandIn(t, "s2", answerOK)
			x := newFixture(t, first, second)
			x.occupy("s2")
			if got := x.send("/once/first", key, ""); got.status != http.StatusOK {
				t.Fatalf("the first request is answered with %d", got.status)
			}
			x.requestID = "id-2"
			if got := x.send(tt.path, key, ""); got.status != tt.status {
				t.Errorf("the second request is answered with %d %q, want %d", got.status, got.body, tt.status)
			}
			if n := len(second.requests()) - 1; n != tt.elsewhere {
				t.Errorf("%d requests reached the other server as well, want %d", n, tt.elsewhere)
			}
		})
	}
}

func TestRefusalOfTheSameGenerationIsWrittenOnceMore(t *testing.T) {
	var refused net.Conn
	ran := 0
	e := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		if refused == nil {
			refused = c
			return answer(c, seen, http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "")
		}
		ran++
		if c == refused {
			answer(c, seen, http.StatusServiceUnavailable, "T-Not-Run: 1\r\n", "")
		}
		return streams(1, 3)(c, seen)
	})
	x := newFixture(t, e)
	x.place = "e1"
	if got := x.send("/stream/a", key, ""); got.status != http.StatusOK {
		t.Errorf("answered with %d", got.status)
	}
	if ran != 1 {
		t.Errorf("the generation ran %d times", ran)
	}
}
