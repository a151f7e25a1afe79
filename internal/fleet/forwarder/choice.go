package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"verbenareach/internal/fleet/balancer"
	"verbenareach/internal/wire/messenger"
)

// throttledError reports that the limits of all backend servers are reached for longer than the request
// can wait.
type throttledError struct {
	// wait is the time until a request may be sent.
	wait time.Duration
}

var _ refusal = &throttledError{}

// throttleShare is the share of the time left of its objective that a request may wait for a limit: a
// longer queue would make all that pass it late.
const throttleShare = 0.5

// retrySpread is the share of a retry delay by which it is prolonged at random, so that clients that
// were refused together do not return together.
const retrySpread = 0.5

// Error returns a text with the time until a request may be sent.
func (e *throttledError) Error() string {
	return fmt.Sprintf("the limits of all backend servers are reached for %v", e.wait.Round(time.Millisecond))
}

func (e *throttledError) retryAfter() time.Duration { return spreadRetry(e.wait) }

// spreadRetry returns the retry delay of a request that may be sent after a time.
func spreadRetry(wait time.Duration) time.Duration {
	spread := retrySpread * rand.Float64() //nolint:gosec // Not security-relevant: it spreads retries.
	return max(retryAfterBusy, time.Duration((1+spread)*float64(wait)))
}

// choose chooses the backend server for the next attempt of a request, other than those in tried, and
// counts an outstanding request there until done is called. While all are full or their limits are
// reached, it waits, until the route's objective has passed at most, but not for a limit that allows it
// too late. err says why there is none.
func (f *Forwarder) choose(ctx context.Context, x *exchange, tried []string) (b *messenger.Backend, done balancer.Done, err error) {
	// denied holds the ids of the cold ones for which the decider gave no permission in time.
	var denied []string
	for ctx.Err() == nil {
		now := time.Now()
		left := x.r.Arrived.Add(x.route.Objective).Sub(now)
		unthrottled, next := f.splitThrottled(now, x, tried)
		candidates, maxWait := unthrottled, time.Duration(0)
		if len(unthrottled) == 0 && next != nil {
			maxWait = time.Duration(throttleShare * float64(max(left, 0)))
			if wait := f.Throttler.WaitToAsk(now, next); wait > maxWait || slices.Contains(denied, next.Id) {
				return nil, nil, &throttledError{wait: wait}
			}
			candidates = []*messenger.Backend{next}
		}
		b, done, full := f.Balancer.Choose(now, candidates, nil)
		switch {
		case b != nil && f.permitted(ctx, b, maxWait):
			return b, done, nil
		case b != nil:
			done(now, balancer.Unused)
			if _, cold := f.Throttler.IsCold(now, b); cold && maxWait > 0 {
				denied = append(denied, b.Id)
			}
		case !full:
			if pause := f.Tracker.ServicePause(now, x.service.Name); pause > 0 {
				return nil, nil, &pausedError{wait: pause}
			}
			if x.isBound && len(tried) == 0 {
				return nil, nil, &regionsError{regions: x.regions}
			}
			return nil, nil, errNoBackend
		case left <= 0:
			return nil, nil, errFull
		default:
			time.Sleep(pollInterval)
		}
	}
	return nil, nil, ctx.Err()
}

// splitThrottled returns the ready backend servers for a request, without those in tried, to which it
// may be sent now, and of the others the one to which one may be sent first; nil for none.
func (f *Forwarder) splitThrottled(now time.Time, x *exchange, tried []string) (unthrottled []*messenger.Backend, next *messenger.Backend) {
	shortest := time.Duration(0)
	for _, b := range f.Tracker.Ready(now, x.service.Name) {
		if slices.Contains(tried, b.Id) || !f.allows(x, b) {
			continue
		}
		wait := f.Throttler.WaitToAsk(now, b)
		if wait == 0 {
			unthrottled = append(unthrottled, b)
			continue
		}
		if next == nil || wait < shortest {
			next, shortest = b, wait
		}
	}
	return unthrottled, next
}

// permitted reports whether a request may be sent to a backend server, and waits until then, for
// maxWait at most. If the backend server has a limit, the host that grants permissions is asked.
func (f *Forwarder) permitted(ctx context.Context, b *messenger.Backend, maxWait time.Duration) bool {
	if _, limited := f.Throttler.Rate(time.Now(), b); !limited {
		return true
	}
	wait, granted := f.Permit(ctx, b, maxWait)
	if !granted {
		f.Throttler.Defer(time.Now(), b, wait)
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
