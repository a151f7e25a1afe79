package forwarder

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"verbenareach/internal/fleet/sender"
)

// The order doesn't reach the engine, as its process ends at that moment.
func TestStreamOfAnEngineThatEndsAsItIsToldToStopIsComplete(t *testing.T) {
	var x *fixture
	var e1 *standIn
	ordered, ended := make(chan struct{}), make(chan struct{})
	e1 = newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
		x.beginMoving(c, seen)
		<-ordered
		_ = e1.listener.Close()
		_ = c.Close()
		close(ended)
		return false
	})
	x = newFixture(t, e1, newStandIn(t, "e2", streams(4, 8)))
	x.forwarder.Dialect.Copy = func(_ context.Context, _ *sender.Pool, _, _, _ string, stop bool) (CopyHandle, error) {
		if !stop {
			return "partial", nil
		}
		close(ordered)
		<-ended
		time.Sleep(50 * time.Millisecond)
		return "", &NotStoppedError{Cause: errors.New("connection refused")}
	}
	x.place = "e1"
	if got := x.send("/stream/a", key, "prompt"); got.err == nil {
		t.Errorf("client got %q as a complete response", got.body)
	}
}
