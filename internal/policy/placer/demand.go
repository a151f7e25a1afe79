package placer

import (
	"math"
	"time"
)

// demandRate is the smoothed demand in tokens per second. It rises faster than it falls.
type demandRate struct {
	perSecond float64
	observed  time.Time
	// shortSince and excessSince are the times since which the capacity has been too small
	// and larger than needed; zero while it is not.
	shortSince  time.Time
	excessSince time.Time
}

// observe adds the tokens demanded since the last observation.
func (r *demandRate) observe(now time.Time, tokens float64, s *Settings) {
	if r.observed.IsZero() {
		r.observed = now
		return
	}
	elapsed := now.Sub(r.observed)
	if elapsed <= 0 {
		return
	}
	r.observed = now
	measured := tokens / elapsed.Seconds()
	halfLife := s.FallHalfLife
	if measured > r.perSecond {
		halfLife = s.RiseHalfLife
	}
	weight := 1 - math.Exp2(-elapsed.Seconds()/halfLife.Seconds())
	r.perSecond += weight * (measured - r.perSecond)
}

// track updates the times since which capacity has been too large (low) or too small (high).
func (r *demandRate) track(now time.Time, low, high bool) {
	r.shortSince = updateSince(now, high, r.shortSince)
	r.excessSince = updateSince(now, low, r.excessSince)
}

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
