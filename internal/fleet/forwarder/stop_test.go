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
			x.forwarder.Stopping = func() (time.Duration, bool) { return tt.left, true }
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
