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
	"maps"
	"slices"
	"time"

	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/evacuator"
	"verbenareach/internal/fleet/pacer"
	"verbenareach/internal/fleet/throttler"
	"verbenareach/internal/length/estimator"
	"verbenareach/internal/wire/messenger"
)

type (
	// Scheduler holds the state of all engines and the request queue. Its exported fields are
	// set before first use; it is not safe for concurrent use.
	Scheduler struct {
		// Send delivers a decision to an entry.
		Send func(entry string, d Decision)
		// Random returns a random number from 0 up to 1, which spreads retry delays; nil for no spread.
		Random func() float64
		// OnPace is called when an engine is found slow or unsteady, or no longer so; nil for nothing.
		OnPace func(now time.Time, c PaceChange)
		// Regions holds the region of each failure domain.
		Regions map[string]string
		// Throttler holds the limits that engines set; nil if none is known.
		Throttler *throttler.Throttler
		// OnPlan is called with the first plan after each notice of an engine, OnRunLost with each run that
		// was lost with its engine, which left; nil for neither.
		OnPlan    func(now time.Time, p DeparturePlan)
		OnRunLost func(now time.Time, l DepartureLoss)

		engines  map[string]cataloger.Engine
		backends map[string]*backend
		// ordered holds the values of backends, by id.
		ordered []*backend
		runs    map[string]*run
		// queue holds the requests without a decision, the most urgent first.
		queue []*queuedRequest
		// evacuations holds the evacuated failure domains.
		evacuations *evacuator.Set
		// movesDue is set after a change that may allow a move.
		movesDue bool
		// nextPlan is when moves may be planned again.
		nextPlan time.Time
		// lengths learns the distribution of output lengths.
		lengths estimator.Corrector
		// paces holds what is known of the pace of each service's engines.
		paces map[string]*pacer.Service
		// slowdown is the average ratio of actual to forecast prefill time on all engines.
		slowdown float64
		// transfers learns how long transfers take, departures how long engines of a service run on
		// after their notice.
		transfers  transferTimes
		departures map[string]*departureTimes
		// hazards learns, by service, how often runs are lost with their engines.
		hazards map[string]*hazard
		// evaluations counts how often an engine was evaluated for a request, as a measure of the cost.
		evaluations uint64
	}

	// Decision is a placement, a refusal (a placement without a backend) or a move order; one
	// field is set.
	Decision struct {
		Placement *messenger.Placement
		Move      *messenger.MoveOrder
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
		transfer            transfer
		// unsaved is why the newest plan does not move the run in time; empty if it does.
		unsaved string
		// moveFailures counts the moves that failed; no move is ordered before nextMove.
		moveFailures int
		nextMove     time.Time
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
	// moveGrace is the remaining time below which a run is left to end on an evacuated engine.
	moveGrace = 500 * time.Millisecond
	// maxMoveFailures bounds the failed attempts to move one run.
	maxMoveFailures = 4
	// moveRetryDelay is the delay of the third attempt to move a run; it doubles with each further one.
	// Several destinations that decline at once show that the source can't transfer now.
	moveRetryDelay = 200 * time.Millisecond
	// avoidAfterFailure is how long an engine is avoided after it did not take a run, placed or
	// moved there.
	avoidAfterFailure = 300 * time.Millisecond
	// avoidAfterLoss is how long an engine is avoided after it lost a run; the time doubles
	// with each further loss, maxAvoidDoublings times at most.
	avoidAfterLoss    = 500 * time.Millisecond
	maxAvoidDoublings = 3
	// minRetryAfter is the shortest retry delay sent with a refusal, before it is spread over
	// the share retrySpread of itself.
	minRetryAfter = 400 * time.Millisecond
	retrySpread   = 0.5
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
			s.dropCopies(b)
			b = &backend{runs: make(map[string]*run), backups: make(map[string]*run), pace: s.newPace(r.Service)}
			s.backends[r.Id] = b
		}
		if b.report != r {
			b.changed, s.movesDue = true, true
		}
		b.report, b.engine, b.region = r, engine, s.Regions[r.FailureDomain]
		b.evacuated = s.evacuations.Contains(r.FailureDomain)
		switch {
		case r.State == messenger.Backend_STATE_SILENT && b.noticed:
			// It has announced its end.
		case r.State == messenger.Backend_STATE_READY || r.State == messenger.Backend_STATE_SILENT:
			// A silent engine may be sound: it gets no new runs, but keeps those that it has.
			if !b.leavingSince.IsZero() {
				b.leavingSince, b.noticed, b.planned, b.ended = time.Time{}, false, false, false
			}
		default:
			s.recordLeaving(now, b)
		}
	}
	for id, b := range s.backends {
		if !seen[id] && len(b.runs) == 0 {
			delete(s.backends, id)
		}
	}
	s.ordered = slices.SortedFunc(maps.Values(s.backends), func(x, y *backend) int { return cmp.Compare(x.report.Id, y.report.Id) })
	s.settle(now)
}

// Submit queues a request for a placement, or cancels it if req.Cancelled is set. Either ends a
// run of the same id. The engines in req.Avoid did not take the run; for avoidAfterFailure
// nothing is placed there.
func (s *Scheduler) Submit(now time.Time, entry string, req *messenger.PlaceRequest) {
	s.Receive(now, entry, nil, []*messenger.PlaceRequest{req})
}

// Report updates a run from its entry's report. It adopts a run that is unknown here, unless the
// run has ended or the report lacks its request.
func (s *Scheduler) Report(now time.Time, entry string, state *messenger.RunState) {
	s.Receive(now, entry, []*messenger.RunState{state}, nil)
}

// Receive handles reports and then requests of one entry, as Report and Submit do, and makes the
// decisions that they allow only after the last one.
func (s *Scheduler) Receive(now time.Time, entry string, states []*messenger.RunState, requests []*messenger.PlaceRequest) {
	s.init()
	for _, state := range states {
		s.update(now, entry, state)
	}
	for _, req := range requests {
		s.enqueue(now, entry, req)
	}
	s.settle(now)
}

// enqueue adds a request to the queue, or cancels it.
func (s *Scheduler) enqueue(now time.Time, entry string, req *messenger.PlaceRequest) {
	if req.Cancelled {
		s.queue = slices.DeleteFunc(s.queue, func(w *queuedRequest) bool { return w.req.Run == req.Run })
		s.end(now, req.Run, false)
		return
	}
	for _, id := range req.Avoid {
		if b := s.backends[id]; b != nil {
			b.avoidUntil = now.Add(avoidAfterFailure)
		}
	}
	s.end(now, req.Run, false)
	w := s.newQueuedRequest(now, entry, req)
	at, _ := slices.BinarySearchFunc(s.queue, w, compareQueued)
	s.queue = slices.Insert(s.queue, at, w)
}

// update records an entry's report of a run.
func (s *Scheduler) update(now time.Time, entry string, state *messenger.RunState) {
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
		s.learnDeparture(now, r, state.Cause != "")
		s.end(now, r.id, state.Whole)
	case messenger.RunState_PHASE_LOST:
		s.learnDeparture(now, r, true)
		r.backend.recordLoss(now)
		s.end(now, r.id, false)
	case messenger.RunState_PHASE_STREAMING:
		s.recordStreaming(now, r, state)
	case messenger.RunState_PHASE_MOVE_FAILED:
		r.recordMoveFailure(now)
		s.failMove(now, r, state)
		s.relocate(now, r, state)
	case messenger.RunState_PHASE_COPIED:
		s.freeLinks(now, r)
	case messenger.RunState_PHASE_PLACED:
	}
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
	s.settle(now)
}

func (s *Scheduler) init() {
	if s.backends == nil {
		s.backends, s.runs = make(map[string]*backend), make(map[string]*run)
		s.slowdown = 1
		s.paces = make(map[string]*pacer.Service)
		s.departures, s.hazards = make(map[string]*departureTimes), make(map[string]*hazard)
	}
}
