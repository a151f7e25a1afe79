// Package scheduler decides on which engines generations run. From one view of all engines
// of a fleet it places each generation where its memory fits and its prefill ends in time.
// Requests wait while they can still meet their objective and are refused once they can't.
// Generations are moved when their engine is about to leave. The package does no I/O.
//
// An engine is a backend server that runs generations in a batch, a run is a generation that has
// been placed, and its entry is the host that serves the client.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/length/estimator"
	"verbenareach/internal/wire/messenger"
)

type (
	// Scheduler holds the state of all engines and the request queue. Its exported fields are
	// set before first use; it is not safe for concurrent use.
	Scheduler struct {
		// Send delivers a decision to an entry.
		Send func(entry string, d Decision)

		engines  map[string]cataloger.Engine
		backends map[string]*backend
		runs     map[string]*run
		// queue holds the requests without a decision, the most urgent first.
		queue []*queuedRequest
		// lengths learns the distribution of output lengths.
		lengths estimator.Corrector
		// tokenTime is the learned time to generate one token.
		tokenTime time.Duration
		// slowdown is the average ratio of actual to forecast prefill time on all engines.
		slowdown float64
	}

	// Decision is a placement, a refusal (a placement without a backend) or a move order; one
	// field is set.
	Decision struct {
		Placement *messenger.Placement
		Move      *messenger.MoveOrder
	}

	// backend is an engine as last reported, with the runs and backups placed there.
	backend struct {
		report *messenger.Backend
		engine cataloger.Engine
		runs   map[string]*run
		// backups holds the runs whose KV cache is copied here as it grows, or is being moved
		// here; orphans holds the copies without a run that the engine has not freed yet.
		backups map[string]*run
		orphans []orphan
		// leavingSince is when the backend server stopped being ready; zero while it is ready.
		leavingSince time.Time
		// outgoing is the run being transferred away, incoming the one being transferred here;
		// nil for none.
		outgoing, incoming *run
		// avoidUntil is the time before which nothing is placed here after a failure; losses
		// counts the runs lost here since a run last streamed.
		avoidUntil time.Time
		losses     int
		// slowdown is the average ratio of actual to forecast prefill time here, as of measured,
		// which is zero before the first sample.
		slowdown float64
		measured time.Time
		forecast memoryForecast
		// linkBusyUntil is when the link for transfers between engines is expected to be free.
		linkBusyUntil time.Time
	}

	// run is a generation that has been placed.
	run struct {
		id      string
		entry   string
		req     *messenger.PlaceRequest
		backend *backend
		backup  *backend
		placed  time.Time
		// outputLength is the distribution of the output length that was expected at placement.
		outputLength estimator.Distribution
		// prefillDue is when the prefill was forecast to end.
		prefillDue time.Time
		// streamingSince is when the newest report that the run streams arrived; zero before its
		// first token.
		streamingSince time.Time
		// generated is the number of tokens generated at streamingSince.
		generated int
		// source and destination are the engines of a transfer under way, else nil. source is nil
		// once the whole KV cache has been transferred, destination once the move has ended.
		source, destination *backend
		// moveFailures counts the moves that failed.
		moveFailures int
	}

	// queuedRequest is a request for a placement that has no decision yet.
	queuedRequest struct {
		entry   string
		req     *messenger.PlaceRequest
		arrived time.Time
	}
)

const (
	// fillLimit is the share of an engine's memory that forecasts may fill.
	fillLimit = 0.96
	// maxPrefills bounds the concurrent prefills of one engine: each lengthens the pauses of
	// all streams there.
	maxPrefills = 2
	// prefillTokensPerMS is the prefill speed of an engine that also decodes other runs.
	prefillTokensPerMS = 6
	// minBackupOutput is the expected output in tokens from which on a backup is worth its memory.
	minBackupOutput = 160
	// idleFillLimit is the share of an engine's memory up to which it also serves requests
	// that can't meet their objective any more, if it has no prefill.
	idleFillLimit = 0.6
	// backupDelay is how long after streamingSince a run's backup counts as complete.
	backupDelay = 700 * time.Millisecond
	// initialTokenTime is the time per token before any run was measured.
	initialTokenTime = 9 * time.Millisecond
	// tokenTimeWeight is the weight of a new sample of the time per token.
	tokenTimeWeight = 0.1
	// moveGrace is the expected remaining time below which a run is left to end by itself. It is
	// moved all the same once its engine has been leaving for moveGrace.
	moveGrace = 500 * time.Millisecond
	// maxMoveFailures bounds the failed attempts to move one run.
	maxMoveFailures = 4
	// avoidAfterFailure is how long an engine is avoided after it did not take a run, placed or
	// moved there.
	avoidAfterFailure = 300 * time.Millisecond
	// avoidAfterLoss is how long an engine is avoided after it lost a run; the time doubles
	// with each further loss, maxAvoidDoublings times at most.
	avoidAfterLoss    = 500 * time.Millisecond
	maxAvoidDoublings = 3
	// minRetryAfter is the shortest retry delay sent with a refusal.
	minRetryAfter = 400 * time.Millisecond
)

// SetEngines sets the engine parameters of each service that has engines. They take effect with
// the next call of SetBackends.
func (s *Scheduler) SetEngines(engines map[string]cataloger.Engine) { s.engines = engines }

// SetBackends sets the reports of all backend servers; those of services without engines are
// ignored. A process that restarted counts as a new engine without runs. An engine without a
// report is dropped if it has no runs.
func (s *Scheduler) SetBackends(now time.Time, reports []*messenger.Backend) {
	s.init()
	seen := make(map[string]bool, len(reports))
	for _, r := range reports {
		engine, ok := s.engines[r.Service]
		if !ok {
			continue
		}
		seen[r.Id] = true
		b := s.backends[r.Id]
		if b == nil || b.report.Started != r.Started {
			b = &backend{runs: make(map[string]*run), backups: make(map[string]*run)}
			s.backends[r.Id] = b
		}
		b.report, b.engine = r, engine
		switch r.State {
		case messenger.Backend_STATE_READY:
			b.leavingSince = time.Time{}
		default:
			if b.leavingSince.IsZero() {
				b.leavingSince = now
			}
		}
	}
	for id, b := range s.backends {
		if !seen[id] && len(b.runs) == 0 {
			delete(s.backends, id)
		}
	}
	s.Advance(now)
}

// Submit queues a request for a placement, or cancels it if req.Cancelled is set. Either ends a
// run of the same id. The engines in req.Avoid did not take the run; for avoidAfterFailure
// nothing is placed there.
func (s *Scheduler) Submit(now time.Time, entry string, req *messenger.PlaceRequest) {
	s.init()
	if req.Cancelled {
		s.queue = slices.DeleteFunc(s.queue, func(w *queuedRequest) bool { return w.req.Run == req.Run })
		s.end(now, req.Run, false)
		s.Advance(now)
		return
	}
	for _, id := range req.Avoid {
		if b := s.backends[id]; b != nil {
			b.avoidUntil = now.Add(avoidAfterFailure)
		}
	}
	s.end(now, req.Run, false)
	w := &queuedRequest{entry: entry, req: req, arrived: now}
	at, _ := slices.BinarySearchFunc(s.queue, w, compareQueued)
	s.queue = slices.Insert(s.queue, at, w)
	s.Advance(now)
}

// Report updates a run from its entry's report. It adopts a run that is unknown here, unless the
// run has ended or the report lacks its request.
func (s *Scheduler) Report(now time.Time, entry string, state *messenger.RunState) {
	s.init()
	r := s.runs[state.Run]
	if r == nil {
		ended := state.Phase == messenger.RunState_PHASE_ENDED || state.Phase == messenger.RunState_PHASE_LOST
		if ended || state.Request == nil {
			return
		}
		r = s.adopt(now, entry, state)
	}
	if r == nil {
		return
	}
	switch state.Phase {
	case messenger.RunState_PHASE_ENDED:
		s.learnLengths(now, r, state)
		s.end(now, r.id, state.Whole)
	case messenger.RunState_PHASE_LOST:
		r.backend.recordLoss(now)
		s.end(now, r.id, false)
	case messenger.RunState_PHASE_STREAMING:
		s.recordStreaming(now, r, state)
	case messenger.RunState_PHASE_MOVE_FAILED:
		r.moveFailures++
		s.failMove(now, r, state)
		s.relocate(now, r, state)
	case messenger.RunState_PHASE_COPIED:
		s.freeLinks(now, r)
	case messenger.RunState_PHASE_PLACED:
	}
	s.Advance(now)
}

// Forget drops all runs and requests of an entry.
func (s *Scheduler) Forget(now time.Time, entry string) {
	s.init()
	s.queue = slices.DeleteFunc(s.queue, func(w *queuedRequest) bool { return w.entry == entry })
	for id, r := range s.runs {
		if r.entry == entry {
			s.end(now, id, false)
		}
	}
	s.Advance(now)
}

// Advance makes all decisions that are due.
func (s *Scheduler) Advance(now time.Time) {
	s.init()
	s.moveAll(now)
	kept := s.queue[:0]
	for _, w := range s.queue {
		if !s.decide(now, w) {
			kept = append(kept, w)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

func (s *Scheduler) init() {
	if s.backends == nil {
		s.backends, s.runs = make(map[string]*backend), make(map[string]*run)
		s.slowdown = 1
		s.tokenTime = initialTokenTime
	}
}

// decide places or refuses a request and reports whether it did either.
func (s *Scheduler) decide(now time.Time, w *queuedRequest) bool {
	need := footprintOf(w.req, s.expect(w.req), 0)
	if b := s.bestBackend(now, w, &need); b != nil {
		s.place(now, w, b)
		return true
	}
	prefill := time.Duration(float64(prefillTime(int(w.req.PromptTokens))) * s.slowdown)
	// The request waits while an engine without other prefills could still meet its objective.
	if !now.Add(prefill + deliveryTime).After(w.objectiveEnd()) {
		return false
	}
	if b := s.idleBackend(now, w, &need); b != nil {
		s.place(now, w, b)
		return true
	}
	retryAfter := max(minRetryAfter, time.Duration(w.req.ObjectiveMs)*time.Millisecond)
	s.Send(w.entry, Decision{Placement: &messenger.Placement{
		Run: w.req.Run, RetryAfterMs: retryAfter.Milliseconds(), Reason: s.shortage(now, w, &need).String(),
	}})
	return true
}

// place records a run of a request on an engine, chooses a backup and sends the placement.
func (s *Scheduler) place(now time.Time, w *queuedRequest, b *backend) {
	r := &run{
		id: w.req.Run, entry: w.entry, req: w.req, backend: b, placed: now, prefillDue: now.Add(b.prefillTime(w.req)), outputLength: s.expect(w.req),
	}
	s.runs[r.id] = r
	b.add(r, false)
	p := &messenger.Placement{Run: r.id, Backend: b.report.Id, Reason: s.describe(now, b)}
	if backup := s.chooseBackup(now, r, b); backup != nil {
		p.Backup = backup.report.Id
	}
	s.Send(w.entry, Decision{Placement: p})
}

// bestBackend returns the engine with the lowest cost among those that have room for a request
// and are expected to meet its objective; nil if there is none.
func (s *Scheduler) bestBackend(now time.Time, w *queuedRequest, need *footprint) *backend {
	return s.cheapestBackend(now, w.req, need, func(b *backend, fill float64) (cost float64, ok bool) {
		if b.prefilling() >= maxPrefills || !s.prefillsInTime(now, b, w) {
			return 0, false
		}
		cost = fill + float64(b.prefilling()) + s.slowdownCost(now, b)
		if w.req.FailureDomain != b.report.FailureDomain {
			cost += farCost
		}
		return cost, true
	})
}

// idleBackend returns the emptiest engine that is idle enough to serve a request that misses its
// objective; nil if there is none.
func (s *Scheduler) idleBackend(now time.Time, w *queuedRequest, need *footprint) *backend {
	return s.cheapestBackend(now, w.req, need, func(b *backend, fill float64) (cost float64, ok bool) {
		return fill, b.prefilling() == 0 && fill <= idleFillLimit
	})
}

// destination returns the best engine to transfer a run to; nil if none has room or all are
// receiving another run. The cost is in seconds.
func (s *Scheduler) destination(now time.Time, r *run, from *backend) *backend {
	need := s.footprint(now, r)
	return s.cheapestBackend(now, r.req, &need, func(b *backend, fill float64) (cost float64, ok bool) {
		if b == from || b.incoming != nil {
			return 0, false
		}
		return fillWeight*(fill+float64(b.prefilling())) + s.transferEnd(now, from, b, need.held).Sub(now).Seconds(), true
	})
}

// cheapestBackend returns the engine with the lowest cost among those that accept a request and
// have memory for need; nil if there is none. rate gets the share of an engine's memory that is
// forecast to be filled and returns the engine's cost, and whether it may be chosen.
func (s *Scheduler) cheapestBackend(
	now time.Time, req *messenger.PlaceRequest, need *footprint, rate func(b *backend, fill float64) (cost float64, ok bool),
) *backend {
	var best *backend
	bestCost := 0.0
	for _, b := range s.backends {
		if !b.accepts(now, req) || !s.fits(now, b, need) {
			continue
		}
		cost, ok := rate(b, float64(s.peakMemory(now, b))/float64(b.engine.Tokens))
		if ok && (best == nil || cost < bestCost || cost == bestCost && b.report.Id < best.report.Id) {
			best, bestCost = b, cost
		}
	}
	return best
}

// farCost and farBackupCost are the costs of another failure domain for a run and for a
// backup, in shares of an engine's memory. fillWeight is the cost of a full engine's
// memory in seconds of transfer.
const (
	farCost       = 0.12
	farBackupCost = 0.25
	fillWeight    = 0.3
)

// prefillsInTime reports whether a request placed now on b is expected to meet its objective.
func (s *Scheduler) prefillsInTime(now time.Time, b *backend, w *queuedRequest) bool {
	return !s.firstTokenTime(now, b, w.req).After(w.objectiveEnd())
}

// prefillTime returns the expected time to process a prompt of some tokens.
func prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Millisecond / prefillTokensPerMS
}

// objectiveEnd returns when the request's objective ends.
func (w *queuedRequest) objectiveEnd() time.Time {
	return w.arrived.Add(time.Duration(w.req.ObjectiveMs) * time.Millisecond)
}

// compareQueued orders requests by urgency: by priority, then by the end of the objective.
func compareQueued(a, b *queuedRequest) int {
	return cmp.Or(cmp.Compare(a.req.Priority, b.req.Priority), a.objectiveEnd().Compare(b.objectiveEnd()))
}
