package forwarder

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenareach/internal/fleet/balancer"
	"verbenareach/internal/wire/messenger"
)

// TestSoleBackendServerIsNotOverloaded guards against the load after a restart of all
// hosts: many requests wait, and one backend server is known before the others.
func TestSoleBackendServerIsNotOverloaded(t *testing.T) {
	const clients = 40
	var (
		mu            sync.Mutex
		running, most int
	)
	s := newStandIn(t, "s", func(c net.Conn, seen seenRequest) bool {
		mu.Lock()
		running++
		most = max(most, running)
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		running--
		mu.Unlock()
		return answerOK(c, seen)
	})
	x := newFixture(t, s)
	var wg sync.WaitGroup
	served := make(chan int, clients)
	for range clients {
		wg.Go(func() { served <- x.send("/once/a", key, "").status })
	}
	wg.Wait()
	close(served)
	for status := range served {
		if status != http.StatusOK {
			t.Errorf("client got %d", status)
		}
	}
	if most > balancer.MinOutstanding {
		t.Errorf("%d concurrent requests at a backend server, want %d at most", most, balancer.MinOutstanding)
	}
}

func TestRequestIsRefusedIfAllAreFullUntilItsObjectiveEnds(t *testing.T) {
	release := make(chan struct{})
	s := newStandIn(t, "s", func(c net.Conn, seen seenRequest) bool {
		<-release
		return answerOK(c, seen)
	})
	x := newFixture(t, s)
	var wg sync.WaitGroup
	for range balancer.MinOutstanding {
		wg.Go(func() { x.send("/once/a", key, "") })
	}
	time.Sleep(100 * time.Millisecond)
	begun := time.Now()
	got := x.send("/once/a", key, "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("client got %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	if took := time.Since(begun); took < 800*time.Millisecond || took > 1500*time.Millisecond {
		t.Errorf("refused after %v with an objective of 1 s", took)
	}
	close(release)
	wg.Wait()
}

func TestBackendServerThatResetsIsAvoidedForAWhile(t *testing.T) {
	bad := newStandIn(t, "bad", func(c net.Conn, _ seenRequest) bool { return reset(c) })
	good := newStandIn(t, "good", answerOK)
	x := newFixture(t, bad, good)
	failed := 0
	for range 10 {
		if x.send("/once/a", key, "").status != http.StatusOK {
			failed++
		}
	}
	if failed > 1 {
		t.Errorf("%d requests lost at a backend server that resets, want 1 at most", failed)
	}
}

func TestRequestThatTheLimitsHoldUpIsRefusedAtItsDeadline(t *testing.T) {
	s := newStandIn(t, "s", func(c net.Conn, seen seenRequest) bool {
		return answer(c, seen, http.StatusOK, signed+"T-Limit: 0.5\r\n", "whole")
	})
	x := newFixture(t, s)
	served := 0
	begun := time.Now()
	var got reply
	for range 4 {
		if got = x.send("/once/a", key, ""); got.status == http.StatusOK {
			served++
		}
	}
	if served > 2 || got.status != http.StatusServiceUnavailable {
		t.Errorf("%d served of 4 with a limit of 0.5 a second, the last answered with %d", served, got.status)
	}
	if took := time.Since(begun); took > 500*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	if seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || seconds < 1 {
		t.Errorf("Retry-After is %q", got.header.Get("Retry-After"))
	}
	if n := len(s.requests()); n != served {
		t.Errorf("%d requests reached the backend server, %d are served", n, served)
	}
}

func TestBackendServerWhoseLimitIsReachedLeavesRequestsToOthers(t *testing.T) {
	limited := newStandIn(t, "a", func(c net.Conn, seen seenRequest) bool {
		return answer(c, seen, http.StatusOK, signed+"T-Limit: 0.5\r\n", "whole")
	})
	free := newStandIn(t, "b", answerOK)
	x := newFixture(t, limited, free)
	for n := range 20 {
		if got := x.send("/once/a", key, ""); got.status != http.StatusOK {
			t.Errorf("request %d is answered with %d", n, got.status)
		}
	}
	if n := len(limited.requests()); n > 3 {
		t.Errorf("%d requests reached the backend server with the limit", n)
	}
}

func TestRequestThatWaitedForALimitIsServedAfterItsObjective(t *testing.T) {
	const serviceTime, objective = 200 * time.Millisecond, time.Second
	s := newStandIn(t, "s", func(c net.Conn, seen seenRequest) bool {
		time.Sleep(serviceTime)
		return answer(c, seen, http.StatusOK, signed+"T-Limit: 10\r\n", "whole")
	})
	x := newFixture(t, s)
	x.send("/once/a", key, "")
	var wg sync.WaitGroup
	var served, late atomic.Int32
	const sent, interval = 60, 50 * time.Millisecond
	for range sent {
		wg.Go(func() {
			begun := time.Now()
			if x.send("/once/a", key, "").status != http.StatusOK {
				return
			}
			served.Add(1)
			if time.Since(begun) > objective {
				late.Add(1)
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	if late.Load() > 0 {
		t.Errorf("%d of %d served requests are later than their objective", late.Load(), served.Load())
	}
	if want := int32(0.8 * 10 * (sent * interval).Seconds()); served.Load() < want {
		t.Errorf("%d of %d requests are served, want %d at least", served.Load(), sent, want)
	}
}

func TestHostAsksForPermissionThoughItKnowsTheWait(t *testing.T) {
	x := newFixture(t, newStandIn(t, "s", func(c net.Conn, seen seenRequest) bool {
		return answer(c, seen, http.StatusOK, signed+"T-Limit: 10\r\n", "whole")
	}))
	x.send("/once/a", key, "")
	var asked atomic.Int32
	x.forwarder.Permit = func(context.Context, *messenger.Backend, time.Duration) (time.Duration, bool) {
		asked.Add(1)
		return time.Minute, false
	}
	for range 5 {
		if got := x.send("/once/a", key, ""); got.status != http.StatusServiceUnavailable {
			t.Errorf("answered with %d", got.status)
		}
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("asked %d times for permission that is a minute away", n)
	}
}
