package forwarder

import (
	"net/http"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

func TestHostThatHasJustStartedHoldsRequestsUntilItKnowsBackendServers(t *testing.T) {
	s := newStandIn(t, "s", answerOK)
	tests := []struct {
		name      string
		startedAt time.Time
		want      int
	}{
		{"just started", time.Now(), http.StatusOK},
		{"started long ago", time.Now().Add(-time.Minute), http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newFixture(t)
			x.forwarder.StartedAt = tt.startedAt
			join := time.AfterFunc(100*time.Millisecond, func() {
				x.tracker.Heartbeat(time.Now(), &messenger.Backend{Id: s.id, Service: "plain", Address: s.address, Sequence: 1})
			})
			defer join.Stop()
			if got := x.send("/once/a", key, ""); got.status != tt.want {
				t.Errorf("client got %d, want %d", got.status, tt.want)
			}
		})
	}
}
