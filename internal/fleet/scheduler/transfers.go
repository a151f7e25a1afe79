package scheduler

import (
	"math"
	"time"

	"verbenareach/internal/fleet/cataloger"
)

type (
	// transferTimes learns how long transfers between engines take.
	transferTimes struct {
		// factors holds, by the distance of the engines, how many times longer a transfer takes than
		// the bandwidth alone would let it, as of measured, which is zero before the first sample.
		factors  [cataloger.Distances]float64
		measured [cataloger.Distances]time.Time
		// overheads holds, by the distance of the host from the engine that a run leaves, the time of a
		// move for which the link is idle.
		overheads [cataloger.Distances]time.Duration
	}

	// transfer is the transfer of one run between two engines.
	transfer struct {
		// begin is when both links were expected to be free, alone how long it takes by the
		// bandwidth alone.
		begin time.Time
		alone time.Duration
		// engines and host are the distance of the engines, and of the host from the source.
		engines, host cataloger.Distance
	}
)

// priorFactors holds, by distance, the factors before any transfer was seen.
var priorFactors = [cataloger.Distances]float64{1, 2, 4}

const (
	// minFactor and maxFactor bound the factors that are learned.
	minFactor = 1.0
	maxFactor = 100.0
	// factorHalfLife is the time in which a factor's distance from the prior halves without a new sample.
	factorHalfLife = 5 * time.Minute
	// factorWeight and overheadWeight are the weights of a new sample.
	factorWeight   = 0.5
	overheadWeight = 0.2
	// maxTransfer bounds the time that is forecast for a transfer.
	maxTransfer = time.Minute
	// maxOverhead bounds the overhead that is learned.
	maxOverhead = 500 * time.Millisecond
)

// distance returns how far two failure domains are apart.
func (s *Scheduler) distance(x, y string) cataloger.Distance {
	return cataloger.DistanceOf(s.Regions, x, y)
}

// factor returns the learned factor for a distance.
func (t *transferTimes) factor(now time.Time, d cataloger.Distance) float64 {
	prior := priorFactors[d]
	if t.measured[d].IsZero() {
		return prior
	}
	age := float64(now.Sub(t.measured[d])) / float64(factorHalfLife)
	return prior + (t.factors[d]-prior)*math.Exp2(-age)
}

// learn adds a transfer that took some time. One that is not complete only shows that the time is
// too short.
func (t *transferTimes) learn(now time.Time, x transfer, complete bool) {
	took := now.Sub(x.begin)
	if x.alone <= 0 || took <= 0 {
		return
	}
	if x.engines == cataloger.SameDomain {
		if complete {
			sample := min(max(took-x.alone, 0), maxOverhead)
			t.overheads[x.host] += time.Duration(overheadWeight * float64(sample-t.overheads[x.host]))
		}
		return
	}
	known := t.factor(now, x.engines)
	sample := min(max(float64(took-t.overheads[x.host])/float64(x.alone), minFactor), maxFactor)
	if !complete && sample <= known {
		return
	}
	t.factors[x.engines] = known + factorWeight*(sample-known)
	t.measured[x.engines] = now
}

// aloneTime returns how long the link of an engine takes for some tokens' KV cache; 0 if its
// bandwidth is unknown.
func aloneTime(from *backend, tokens int) time.Duration {
	bits := float64(tokens) * float64(from.engine.TokenBytes) * 8
	seconds := bits / (from.engine.LinkMbps * 1e6)
	if from.engine.LinkMbps <= 0 || math.IsNaN(seconds) {
		return 0
	}
	return time.Duration(min(max(seconds, 0), maxTransfer.Seconds()) * float64(time.Second))
}

// transferTime returns how long both links take to transfer some tokens' KV cache.
func (s *Scheduler) transferTime(now time.Time, from, to *backend, tokens int) time.Duration {
	d := s.distance(from.report.FailureDomain, to.report.FailureDomain)
	return time.Duration(float64(aloneTime(from, tokens)) * s.transfers.factor(now, d))
}

// transferBegin returns when the links of both engines are expected to be free.
func transferBegin(now time.Time, from, to *backend) time.Time {
	begin := now
	for _, busy := range []time.Time{from.linkBusyUntil, to.linkBusyUntil} {
		if busy.After(begin) {
			begin = busy
		}
	}
	return begin
}

// reserveLinks records a transfer of some tokens' KV cache on the links of both engines, which takes
// overhead beside.
func (s *Scheduler) reserveLinks(now time.Time, from, to *backend, tokens int, overhead time.Duration) {
	end := transferBegin(now, from, to).Add(overhead + s.transferTime(now, from, to, tokens))
	from.linkBusyUntil, to.linkBusyUntil = end, end
}

// newTransfer returns the transfer of a run that begins now.
func (s *Scheduler) newTransfer(now time.Time, r *run, from, to *backend) transfer {
	return transfer{
		begin: transferBegin(now, from, to), alone: aloneTime(from, s.held(now, r)),
		engines: s.distance(from.report.FailureDomain, to.report.FailureDomain), host: s.hostDistance(r, from),
	}
}

// hostDistance returns how far a run's host is from an engine.
func (s *Scheduler) hostDistance(r *run, from *backend) cataloger.Distance {
	return s.distance(r.req.FailureDomain, from.report.FailureDomain)
}

// learnTransfer learns from the transfer of a run, if one is under way.
func (s *Scheduler) learnTransfer(now time.Time, r *run, complete bool) {
	if r.source == nil {
		return
	}
	s.transfers.learn(now, r.transfer, complete)
}
