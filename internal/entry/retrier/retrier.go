// Package retrier bounds retries: to a share of the requests, and apart in time.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultShare is the part of requests that may be retried.
	DefaultShare = 0.1
	// DefaultMinPerSecond are the retries a second that are allowed in any case.
	DefaultMinPerSecond = 1.0
	// DefaultBase bounds the first pause.
	DefaultBase = 20 * time.Millisecond
	// DefaultMax bounds any pause.
	DefaultMax = time.Second

	// reserveTime bounds how long unused retries add up.
	reserveTime = 10 * time.Second
	// minReserve is the least that may add up, in retries.
	minReserve = 3.0
	// maxDoublings keeps a pause from overflowing.
	maxDoublings = 30
)

type (
	// Budget allows retries as a share of the requests of the last seconds, so that
	// a failing backend server does not get more work because it fails. Its
	// exported fields are set before first use.
	Budget struct {
		// Share is the part of requests that may be retried; 0 for the default.
		Share float64
		// MinPerSecond is allowed in any case; 0 for the default.
		MinPerSecond float64

		mu sync.Mutex
		// level is how many retries are allowed now.
		level float64
		// requests smooths the requests a second.
		requests float64
		at       time.Time
	}

	// Backoff gives the pauses before retries: random between 0 and a bound that
	// doubles each time. Its fields are set before first use.
	Backoff struct {
		// Base bounds the first pause, Max any; 0 for the defaults.
		Base time.Duration
		Max  time.Duration
		// Random returns a number in [0, 1); nil for the shared source.
		Random func() float64
	}
)

// Allow takes one retry from the budget, or returns false.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// Note counts one request that is not a retry.
func (b *Budget) Note(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.requests += 1 / reserveTime.Seconds()
	b.level = min(b.level+b.share(), b.reserve())
}

// refill adds what is allowed in any case, and forgets old requests.
func (b *Budget) refill(now time.Time) {
	if b.at.IsZero() {
		b.at = now
		b.level = b.reserve()
	}
	passed := now.Sub(b.at)
	if passed <= 0 {
		return
	}
	b.at = now
	b.requests = max(0, b.requests*(1-passed.Seconds()/reserveTime.Seconds()))
	b.level = min(b.level+b.minPerSecond()*passed.Seconds(), b.reserve())
}

func (b *Budget) minPerSecond() float64 {
	if b.MinPerSecond == 0 {
		return DefaultMinPerSecond
	}
	return b.MinPerSecond
}

// reserve is the most that adds up.
func (b *Budget) reserve() float64 {
	return max(minReserve, (b.minPerSecond()+b.share()*b.requests)*reserveTime.Seconds())
}

func (b *Budget) share() float64 {
	if b.Share == 0 {
		return DefaultShare
	}
	return b.Share
}

// Pause returns the pause before retry n, which is 1 for the first.
func (b Backoff) Pause(n int) time.Duration {
	base, most := b.Base, b.Max
	if base == 0 {
		base = DefaultBase
	}
	if most == 0 {
		most = DefaultMax
	}
	bound := most
	if doublings := min(max(n-1, 0), maxDoublings); base < most>>doublings {
		bound = base << doublings
	}
	random := b.Random
	if random == nil {
		random = rand.Float64
	}
	return time.Duration(random() * float64(bound))
}
