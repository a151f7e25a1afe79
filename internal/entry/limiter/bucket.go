package limiter

import (
	"math"
	"time"
)

const (
	// burstTime is the time of rate that a bucket holds when it is full.
	burstTime = time.Second
	// maxRetryAfter bounds what a caller is told to wait.
	maxRetryAfter = time.Hour
)

// bucket is a token bucket whose level may fall below zero: a debt that later
// takes wait for. The zero bucket has no bound.
type bucket struct {
	// rate is in units a second; 0 means no bound.
	rate float64
	// level is what the bucket held at the time at; at most capacity.
	level float64
	at    time.Time
}

// capacity is at least 1, so that a rate below one a second lets single requests through.
func (b bucket) capacity() float64 {
	return max(1, b.rate*burstTime.Seconds())
}

// due is what a demand has to find in the bucket: one that is larger than a full
// bucket is let through by a full bucket, which it leaves in debt.
func (b bucket) due(need float64) float64 {
	return min(need, b.capacity())
}

// refilled returns the bucket at now. A clock that steps back adds nothing.
func (b bucket) refilled(now time.Time) bucket {
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(b.capacity(), b.level+b.rate*passed.Seconds())
		b.at = now
	}
	return b
}

// wait is how long the bucket takes to hold what need is due.
func (b bucket) wait(need float64) time.Duration {
	missing := b.due(need) - b.level
	if b.rate <= 0 || missing <= 0 {
		return 0
	}
	seconds := missing / b.rate
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// withLevel returns the bucket with level added, at most full.
func (b bucket) withLevel(added float64) bucket {
	b.level = min(b.capacity(), b.level+added)
	return b
}

// withRate returns the bucket under a changed rate.
func (b bucket) withRate(rate float64) bucket {
	if b.rate == 0 {
		b.level = 0
	}
	b.rate = rate
	b.level = min(b.level, b.capacity())
	return b
}
