package limiter

import (
	"math"
	"time"
)

const (
	// burstDuration times the rate is the capacity of a bucket.
	burstDuration = time.Second
	// maxRetryAfter bounds the retry-after of a refusal.
	maxRetryAfter = time.Hour
)

// bucket is a token bucket whose content may fall below zero: that debt must be refilled
// before anything else can be taken. The zero bucket has no bound. (A level is another
// thing in this package, see amounts.)
type bucket struct {
	// rate is in units a second; 0 means no bound.
	rate float64
	// content is what the bucket holds at the time at; at most capacity.
	content float64
	at      time.Time
}

// capacity returns the content of a full bucket. It is at least 1, so that a rate below
// one a second allows single requests.
func (b bucket) capacity() float64 {
	return max(1, b.rate*burstDuration.Seconds())
}

// requiredContent returns the content at which need can be taken: need itself, or the
// capacity for a larger need, which leaves the bucket in debt.
func (b bucket) requiredContent(need float64) float64 {
	return min(need, b.capacity())
}

// refilled returns the bucket refilled up to now. A clock that steps back adds nothing.
func (b bucket) refilled(now time.Time) bucket {
	if passed := now.Sub(b.at); passed > 0 {
		b.content = min(b.capacity(), b.content+b.rate*passed.Seconds())
		b.at = now
	}
	return b
}

// wait returns the time until need can be taken, at most maxRetryAfter.
func (b bucket) wait(need float64) time.Duration {
	missing := b.requiredContent(need) - b.content
	if b.rate <= 0 || missing <= 0 {
		return 0
	}
	seconds := missing / b.rate
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// withAdded returns the bucket with added put in, up to its capacity.
func (b bucket) withAdded(added float64) bucket {
	b.content = min(b.capacity(), b.content+added)
	return b
}

// withRate returns the bucket with another rate from now on. The content of a bucket that had
// no bound becomes 0.
func (b bucket) withRate(now time.Time, rate float64) bucket {
	b = b.refilled(now)
	if b.rate == 0 {
		b.content = 0
	}
	b.rate = rate
	b.content = min(b.content, b.capacity())
	return b
}
