package allocator

import (
	"fmt"
	"testing"
	"time"

	"verbenareach/internal/fleet/throttler"
	"verbenareach/internal/wire/messenger"
)

// limited is a backend server with a limit.
var limited = &messenger.Backend{Id: "s", Started: 1}

func newLimitedAllocator(perSecond string) (*Allocator, *fakeLinks) {
	a, n := newAllocator()
	a.Throttler = &throttler.Throttler{Publish: func(string, []*messenger.RateLimit) {}, Share: func() float64 { return 1 }}
	a.Throttler.RecordAnswer(time.Now(), time.Now(), limited, []string{perSecond})
	return a, n
}

// permit is the reply to a request for permission.
type permit struct {
	wait    time.Duration
	granted bool
}

// requestPermit requests permission in the background.
func requestPermit(t *testing.T, a *Allocator) <-chan permit {
	t.Helper()
	got := make(chan permit, 1)
	go func() {
		wait, granted := a.Permit(t.Context(), limited, time.Second)
		got <- permit{wait, granted}
	}()
	return got
}

func TestPermissionIsAskedOfTheDecider(t *testing.T) {
	a, n := newLimitedAllocator("1")
	a.Receive(time.Now(), hub("h"), &messenger.LinkMessage{Leads: 3})
	got := requestPermit(t, a)
	var req *messenger.PermitRequest
	for end := time.Now().Add(2 * time.Second); req == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		a.mu.Lock()
		if asked := n.sent["h"].GetPermitRequests(); len(asked) > 0 {
			req = asked[0]
		}
		a.mu.Unlock()
	}
	if req == nil || req.Backend != "s" || req.MaxWaitMs != 1000 {
		t.Fatalf("the decider was asked %v", req)
	}
	other := &messenger.PermitReply{Id: req.Id + 100, Granted: true}
	a.Receive(time.Now(), hub("h"), &messenger.LinkMessage{PermitReplies: []*messenger.PermitReply{other, {Id: req.Id, Granted: true, WaitMs: 70}}})
	if p := <-got; !p.granted || p.wait != 70*time.Millisecond {
		t.Errorf("got %+v", p)
	}
	if len(a.permits) != 0 {
		t.Errorf("%d requests still wait", len(a.permits))
	}
}

func TestSilentDeciderPermitsNothing(t *testing.T) {
	a, _ := newLimitedAllocator("1")
	a.Receive(time.Now(), hub("h"), &messenger.LinkMessage{Leads: 3})
	if p := <-requestPermit(t, a); p.granted || p.wait <= 0 {
		t.Errorf("got %+v without a reply", p)
	}
	if len(a.permits) != 0 {
		t.Errorf("%d requests still wait", len(a.permits))
	}
}

func TestHostsGetMorePermissionsThanTheLimitTogether(t *testing.T) {
	a, n := newLimitedAllocator("10")
	granted := 0
	for id := range uint64(20) {
		from := &messenger.FleetHost{Name: fmt.Sprintf("host-%d", id%4)}
		req := &messenger.PermitRequest{Id: id, Backend: "s", Started: 1, MaxWaitMs: 500}
		a.Receive(time.Now(), from, &messenger.LinkMessage{PermitRequests: []*messenger.PermitRequest{req}})
	}
	for _, m := range n.sent {
		for _, r := range m.PermitReplies {
			if r.Granted {
				granted++
			}
			if r.Granted != (r.WaitMs <= 500) {
				t.Errorf("reply %v to a request that can wait 500 ms", r)
			}
		}
	}
	// 10 a second for half a second, and a burst.
	if granted < 5 || granted > 11 {
		t.Errorf("%d of 20 requests are granted within 0.5 s of 10 a second", granted)
	}
}
