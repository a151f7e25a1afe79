package placer

import (
	"math"
	"time"
)

// rate is a smoothed number of tokens a second. It rises faster than it falls.
type rate struct {
	perSecond float64
	at        time.Time
	// highSince and lowSince are since when the capacity has been too small or
	// larger than needed; zero while it is not.
	highSince time.Time
	lowSince  time.Time
}

// observe takes the tokens since the last observation.
func (r *rate) observe(now time.Time, tokens float64, s *Settings) {
	if r.at.IsZero() {
		r.at = now
		return
	}
	passed := now.Sub(r.at)
	if passed <= 0 {
		return
	}
	r.at = now
	measured := tokens / passed.Seconds()
	halfLife := s.FallHalfLife
	if measured > r.perSecond {
		halfLife = s.RiseHalfLife
	}
	weight := 1 - math.Exp2(-passed.Seconds()/halfLife.Seconds())
	r.perSecond += weight * (measured - r.perSecond)
}

// watch notes since when there has been too little or too much capacity.
func (r *rate) watch(now time.Time, low, high bool) {
	r.highSince = since(now, high, r.highSince)
	r.lowSince = since(now, low, r.lowSince)
}

func since(now time.Time, holds bool, from time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case from.IsZero():
		return now
	default:
		return from
	}
}
