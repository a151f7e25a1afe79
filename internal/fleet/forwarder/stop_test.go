package forwarder

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"verbenareach/internal/fleet/receiver"
	"verbenareach/internal/wire/messenger"
)

func TestStoppingHostServesWhatStillEndsInTime(t *testing.T) {
	tests := []struct {
		name   string
		tokens int32
		left   time.Duration
		want   int
	}{
		{"a short one", 20, 5 * time.Second, http.StatusOK},
		{"a long one", 900, 5 * time.Second, http.StatusServiceUnavailable},
		{"a short one at the end", 20, 500 * time.Millisecond, http.StatusServiceUnavailable},
		{"one of unknown length", 0, 5 * time.Second, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newFixture(t, newStandIn(t, "e1", streams(1, 3)))
			x.place = "e1"
			x.forwarder.Stopping = func() *Stop { return &Stop{Left: tt.left} }
			x.forwarder.Dialect.ParseDemand = func(*receiver.Request) *messenger.PlaceRequest {
				return &messenger.PlaceRequest{PromptTokens: 10, HintTokens: tt.tokens}
			}
			got := x.send("/stream/a", key, "")
			if got.status != tt.want {
				t.Errorf("client got %d, want %d", got.status, tt.want)
			}
			if tt.want != http.StatusOK && got.header.Get("Retry-After") == "" {
				t.Error("response has no Retry-After")
			}
		})
	}
}

// A host whose grace is over answers what is still in progress: what did not run may be sent again.
func TestRequestsInProgressAreAnsweredAtTheEnd(t *testing.T) {
	silent := newStandIn(t, "a", func(net.Conn, seenRequest) bool {
		time.Sleep(3 * time.Second)
		return false
	})
	x := newFixture(t, silent)
	x.forwarder.Place = func(ctx context.Context, _ *messenger.PlaceRequest) (*messenger.Placement, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.AfterFunc(200*time.Millisecond, x.receiver.EndRequests)
	answers := make(chan reply)
	for _, path := range []string{"/once/", "/stream/"} {
		go func() { answers <- x.send(path, key, "") }()
	}
	got := map[int]bool{}
	for range 2 {
		r := <-answers
		got[r.status] = true
	}
	if !got[http.StatusBadGateway] || !got[http.StatusServiceUnavailable] {
		t.Errorf("statuses are %v, want 502 for the call that was sent and 503 for the one that was not", got)
	}
}

// What comes late in the grace, on a connection that a stream has kept, must not be taken and then cut.
func TestRequestsLateInTheGraceAreCut(t *testing.T) {
	const left = 1700 * time.Millisecond
	for _, path := range []string{"/stream/", "/plain-stream/", "/once/", "/read/"} {
		t.Run(path, func(t *testing.T) {
			endless := func(c net.Conn, seen seenRequest) bool {
				begin(c, seen)
				for n := range 150 {
					chunk(c, event(n))
					time.Sleep(20 * time.Millisecond)
				}
				return false
			}
			serve := func(c net.Conn, seen seenRequest) bool {
				if seen.n == 1 {
					return streams(1, 3)(c, seen)
				}
				return endless(c, seen)
			}
			e, s := newStandIn(t, "e1", serve), newStandIn(t, "s1", endless)
			x := newFixture(t, e, s)
			x.place = "e1"
			x.forwarder.Dialect.ParseDemand = func(*receiver.Request) *messenger.PlaceRequest {
				return &messenger.PlaceRequest{PromptTokens: 10, HintTokens: 20}
			}
			kept, err := net.Dial("tcp", x.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = kept.Close() }()
			if got := x.sendOn(kept, "/stream/", key, ""); got.err != nil || got.header.Get("Connection") == "close" {
				t.Fatalf("connection is not kept after %d, %v", got.status, got.err)
			}
			end := time.Now().Add(left)
			x.forwarder.Stopping = func() *Stop { return &Stop{Left: time.Until(end), Closed: true} }
			x.receiver.CloseAfterResponses()
			time.AfterFunc(left, x.receiver.EndRequests)
			got := x.sendOn(kept, path, key, "")
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || got.err != nil {
				t.Errorf("client got %d, Retry-After %q, %v", got.status, got.header.Get("Retry-After"), got.err)
			}
			if n := len(e.requests()) + len(s.requests()); n != 1 {
				t.Errorf("%d requests reached backend servers, want 1", n)
			}
		})
	}
}

func TestStopAdmits(t *testing.T) {
	const left = 4 * time.Second
	tests := []struct {
		name             string
		closed           bool
		expected, latest time.Duration
		want             bool
	}{
		{"expected to end in time", false, time.Second, 39 * time.Second, true},
		{"not expected to end in time", false, 5 * time.Second, 39 * time.Second, false},
		{"expected to end in time, after clients could connect", true, time.Second, 39 * time.Second, false},
		{"surely ends in time", true, time.Second, 3 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := (&Stop{Left: left, Closed: tt.closed}).admits(tt.expected, tt.latest); got != tt.want {
				t.Errorf("admitted: %v, want %v", got, tt.want)
			}
		})
	}
}
