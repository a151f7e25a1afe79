package placer

import (
	"math"
	"time"
)

// demandRate is the demand for a model: a moving average in tokens per second, with
// different half-lives for rising and falling.
type demandRate struct {
	perSecond  float64
	observedAt time.Time
	// shortSince and excessSince are the times since which the capacity has been too small
	// and larger than needed; zero while it is not.
	shortSince  time.Time
	excessSince time.Time
}

// observe adds the tokens demanded since the last observation. The first observation, and
// one that isn't later than the last, doesn't count.
func (r *demandRate) observe(now time.Time, tokens float64, s *Settings) {
	if r.observedAt.IsZero() {
		r.observedAt = now
		return
	}
	elapsed := now.Sub(r.observedAt)
	if elapsed <= 0 {
		return
	}
	r.observedAt = now
	measured := tokens / elapsed.Seconds()
	halfLife := s.FallHalfLife
	if measured > r.perSecond {
		halfLife = s.RiseHalfLife
	}
	weight := 1 - math.Exp2(-elapsed.Seconds()/halfLife.Seconds())
	r.perSecond += weight * (measured - r.perSecond)
}

// track updates shortSince and excessSince. low and high report whether the utilization of
// the capacity is too low or too high at now.
func (r *demandRate) track(now time.Time, low, high bool) {
	r.shortSince = updateSince(now, high, r.shortSince)
	r.excessSince = updateSince(now, low, r.excessSince)
}

// updateSince returns since when a condition has held: now if since is zero, and zero if the
// condition doesn't hold.
func updateSince(now time.Time, holds bool, since time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case since.IsZero():
		return now
	default:
		return since
	}
}
