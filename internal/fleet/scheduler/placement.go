package scheduler

import (
	"time"

	"verbenareach/internal/wire/messenger"
)

// place records a run of a request on an engine, chooses a backup and sends the placement.
func (s *Scheduler) place(now time.Time, w *queuedRequest, b *backend) {
	r := s.addRun(now, w.req.Run, w.entry, w.req, b, w.outputLength)
	s.Throttler.Charge(now, b.report)
	p := &messenger.Placement{Run: r.id, Backend: b.report.Id, Reason: s.describe(now, b)}
	describePace(now, b, p)
	if backup := s.chooseBackup(now, r, b); backup != nil {
		p.Backup = backup.report.Id
	}
	s.Send(w.entry, Decision{Placement: p})
}

// bestBackend returns the engine with the lowest cost among the candidates that have room for a
// request and are expected to meet its objective; nil if there is none.
func (s *Scheduler) bestBackend(now time.Time, w *queuedRequest, candidates []*backend) *backend {
	expected := w.outputLength.Remaining(0)
	return s.cheapestBackend(now, w.req, &w.need, candidates, func(b *backend, fill float64) (cost float64, ok bool) {
		if s.throttled(now, b) || len(b.prefilling()) >= maxPrefills || !s.prefillsInTime(now, b, w) {
			return 0, false
		}
		cost = fill + float64(len(b.prefilling())) + s.slowdownCost(now, b) + s.pauseCost(now, b, w.req, expected)
		if w.req.FailureDomain != b.report.FailureDomain {
			cost += farCost
		}
		return cost, true
	})
}

// idleBackend returns the emptiest engine that is idle enough to serve a request that misses its
// objective; nil if there is none.
func (s *Scheduler) idleBackend(now time.Time, w *queuedRequest) *backend {
	return s.cheapestBackend(now, w.req, &w.need, s.ordered, func(b *backend, fill float64) (cost float64, ok bool) {
		return fill, len(b.prefilling()) == 0 && fill <= idleFillLimit && !s.throttled(now, b)
	})
}

// cheapestBackend returns the candidate with the lowest cost among those that accept a request and
// have memory for need; nil if there is none. rate gets the share of an engine's memory that is
// forecast to be filled and returns the engine's cost, and whether it may be chosen.
func (s *Scheduler) cheapestBackend(
	now time.Time, req *messenger.PlaceRequest, need *need, candidates []*backend,
	rate func(b *backend, fill float64) (cost float64, ok bool),
) *backend {
	var best *backend
	bestCost := 0.0
	for _, b := range candidates {
		s.evaluations++
		if !b.accepts(now, req) {
			continue
		}
		cost, ok := rate(b, float64(s.peakMemory(now, b))/float64(b.engine.Tokens))
		if !ok || best != nil && cost >= bestCost {
			continue
		}
		// The forecast is the expensive part, so it comes last.
		if s.fits(now, b, need) {
			best, bestCost = b, cost
		}
	}
	return best
}

// farCost and farBackupCost are the costs of another failure domain for a run and for a
// backup, in shares of an engine's memory. fillWeight is the cost of a full engine's
// memory in seconds of transfer, throttledCost that of exceeding an engine's limit.
const (
	farCost       = 0.12
	farBackupCost = 0.25
	fillWeight    = 0.3
	throttledCost = 2
)

// prefillsInTime reports whether a request placed now on b is expected to meet its objective.
func (s *Scheduler) prefillsInTime(now time.Time, b *backend, w *queuedRequest) bool {
	return !s.firstTokenTime(now, b, w.req).After(w.objectiveEnd())
}

// prefillTime returns the expected time to process a prompt of some tokens.
func prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Millisecond / prefillTokensPerMS
}
