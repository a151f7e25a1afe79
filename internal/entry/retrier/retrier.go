// Package retrier limits retries to a share of the requests, with backoff between them.
package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// DefaultShare is the share of requests that may be retried.
	DefaultShare = 0.1
	// DefaultMinPerSecond is the number of retries a second that are always allowed.
	DefaultMinPerSecond = 1.0
	// DefaultBase bounds the first pause.
	DefaultBase = 20 * time.Millisecond
	// DefaultMax bounds all pauses.
	DefaultMax = time.Second

	// accumulationTime is the time for which unused retries accumulate, and over which
	// the request rate is averaged.
	accumulationTime = 10 * time.Second
	// minCapacity is the least capacity of a budget, in retries.
	minCapacity = 3.0
	// maxDoublings prevents an overflow of the pause.
	maxDoublings = 30
)

type (
	// Budget allows retries as a share of the requests of the last seconds, so that a
	// failing backend server does not get more work because it fails. It is a token
	// bucket. Its exported fields are set before first use.
	Budget struct {
		// Share is the share of requests that may be retried; 0 for the default.
		Share float64
		// MinPerSecond is the number of retries a second that are always allowed; 0 for
		// the default.
		MinPerSecond float64

		mu sync.Mutex
		// level is the number of retries that are allowed at the time at.
		level float64
		// requestRate is the moving average of the requests a second.
		requestRate float64
		at          time.Time
	}

	// Backoff determines the pauses before retries: exponential backoff with full
	// jitter. Its fields are set before first use.
	Backoff struct {
		// Base bounds the first pause, Max all pauses; 0 for the defaults.
		Base time.Duration
		Max  time.Duration
		// Random returns a number in [0, 1); nil for the global source of math/rand/v2.
		Random func() float64
	}
)

// Allow takes one retry from the budget. It returns false if none is left.
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

// RecordRequest counts one request that is not a retry.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.requestRate += 1 / accumulationTime.Seconds()
	b.level = min(b.level+b.share(), b.capacity())
}

// refill adds the retries that are always allowed, and decays the request rate.
func (b *Budget) refill(now time.Time) {
	if b.at.IsZero() {
		b.at = now
		b.level = b.capacity()
	}
	passed := now.Sub(b.at)
	if passed <= 0 {
		return
	}
	b.at = now
	b.requestRate = max(0, b.requestRate*(1-passed.Seconds()/accumulationTime.Seconds()))
	b.level = min(b.level+b.minPerSecond()*passed.Seconds(), b.capacity())
}

func (b *Budget) minPerSecond() float64 {
	if b.MinPerSecond == 0 {
		return DefaultMinPerSecond
	}
	return b.MinPerSecond
}

// capacity returns the number of retries that may accumulate.
func (b *Budget) capacity() float64 {
	return max(minCapacity, (b.minPerSecond()+b.share()*b.requestRate)*accumulationTime.Seconds())
}

func (b *Budget) share() float64 {
	if b.Share == 0 {
		return DefaultShare
	}
	return b.Share
}

// Pause returns the pause before retry n, which is 1 for the first: random between 0 and a
// bound that doubles with each retry, up to Max.
func (b Backoff) Pause(n int) time.Duration {
	base, longest := b.Base, b.Max
	if base == 0 {
		base = DefaultBase
	}
	if longest == 0 {
		longest = DefaultMax
	}
	bound := longest
	if doublings := min(max(n-1, 0), maxDoublings); base < longest>>doublings {
		bound = base << doublings
	}
	random := b.Random
	if random == nil {
		random = rand.Float64
	}
	return time.Duration(random() * float64(bound))
}
