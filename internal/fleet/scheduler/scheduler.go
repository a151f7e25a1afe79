// Package scheduler decides where generations run. It holds one view of all engines of
// a fleet, places each generation where its memory fits and its prompt is read in time,
// lets those wait that can still be on time, refuses the others at once, and has
// generations continue elsewhere when their engine is about to leave. It knows no network.
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
	// Scheduler holds the view and the queue. Its exported fields are set before first
	// use; it is not safe for concurrent use.
	Scheduler struct {
		// Send passes a decision to the entry that asked.
		Send func(entry string, d Decision)

		engines  map[string]cataloger.Engine
		backends map[string]*backend
		runs     map[string]*run
		// queue holds the requests that wait, most urgent first.
		queue []*waiting
		// lengths learns how long outputs are.
		lengths estimator.Corrector
		// tokenTime is the learned time to generate one token.
		tokenTime time.Duration
		// pace is how long prompts take to read on all engines against the forecast.
		pace float64
	}

	// Decision is a placement, a refusal or an order to move; one field is set.
	Decision struct {
		Placement *messenger.Placement
		Move      *messenger.MoveOrder
	}

	backend struct {
		report *messenger.Backend
		engine cataloger.Engine
		runs   map[string]*run
		// copies holds the runs whose memory is copied here as they grow, leftovers the
		// copies that nobody uses any more and that the engine still keeps.
		copies    map[string]*run
		leftovers []leftover
		// leaving is when it was told that the backend server leaves; zero if it does not.
		leaving time.Time
		// moving is the run that is being copied away, arriving the one being copied here;
		// nil for none.
		moving, arriving *run
		// avoid is until when nothing is placed here after a failure; losses counts the
		// runs lost here since the last one that streamed.
		avoid  time.Time
		losses int
		// pace is how long prompts take to read here against the forecast, as of paced.
		pace    float64
		paced   time.Time
		outlook outlook
		// linkBusy is until when the link on which memory moves is expected to be busy.
		linkBusy time.Time
	}

	run struct {
		id     string
		entry  string
		req    *messenger.PlaceRequest
		at     *backend
		copied *backend
		placed time.Time
		// spread is what was expected of the length of its output.
		spread estimator.Spread
		// read is when its prompt was forecast to be read.
		read time.Time
		// first is when its first token came; zero before.
		first time.Time
		// made is how many tokens it had made at the time first.
		made int
		// source and destination are the engines between which it moves; nil while it
		// stays. source is nil once all of its memory has been copied.
		source, destination *backend
		// moveFailed counts the moves that failed.
		moveFailed int
	}

	waiting struct {
		entry   string
		req     *messenger.PlaceRequest
		arrived time.Time
	}
)

const (
	// fillLimit is the share of an engine's memory that forecasts may fill.
	fillLimit = 0.96
	// maxReading bounds the prompts that one engine reads at once: each lengthens the
	// pauses of all streams there.
	maxReading = 2
	// readTokensPerMS is how fast a prompt is read beside the streams of others.
	readTokensPerMS = 6
	// minCopied is the expected output from which on a copy is worth its memory.
	minCopied = 160
	// spareFill is the share of an engine's memory up to which it also serves requests
	// that can't be on time any more.
	spareFill = 0.6
	// copyStart is how long after its first token a run's memory is at the other engine.
	copyStart = 700 * time.Millisecond
	// initialTokenTime is assumed before any was learned.
	initialTokenTime = 9 * time.Millisecond
	// learnRate is the weight of a new sample of the time for a token.
	learnRate = 0.1
	// endsSoon is the expected remaining time of a run that is left to end by itself.
	endsSoon = 500 * time.Millisecond
	// maxMoveFailures bounds the tries to move one run.
	maxMoveFailures = 4
	// avoidAfterFailure is how long an engine that refused a run gets no other.
	avoidAfterFailure = 300 * time.Millisecond
	// avoidAfterLoss is how long an engine that lost a run gets no other; it doubles with
	// each further loss, maxAvoidDoublings times at most.
	avoidAfterLoss    = 500 * time.Millisecond
	maxAvoidDoublings = 3
	// minRetryAfter is the shortest wait told to a refused client.
	minRetryAfter = 400 * time.Millisecond
)

// SetEngines takes the engine parameters of each service that has engines.
func (s *Scheduler) SetEngines(engines map[string]cataloger.Engine) { s.engines = engines }

// SetBackends takes what is known of all backend servers.
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
			b = &backend{runs: make(map[string]*run), copies: make(map[string]*run)}
			s.backends[r.Id] = b
		}
		b.report, b.engine = r, engine
		switch r.State {
		case messenger.Backend_STATE_READY:
			b.leaving = time.Time{}
		default:
			if b.leaving.IsZero() {
				b.leaving = now
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

// Ask takes a request for a place, or its cancellation.
func (s *Scheduler) Ask(now time.Time, entry string, req *messenger.PlaceRequest) {
	s.init()
	if req.Cancelled {
		s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool { return w.req.Run == req.Run })
		s.end(now, req.Run, false)
		s.Advance(now)
		return
	}
	for _, id := range req.Avoid {
		if b := s.backends[id]; b != nil {
			b.avoid = now.Add(avoidAfterFailure)
		}
	}
	s.end(now, req.Run, false)
	w := &waiting{entry: entry, req: req, arrived: now}
	at, _ := slices.BinarySearchFunc(s.queue, w, compareWaiting)
	s.queue = slices.Insert(s.queue, at, w)
	s.Advance(now)
}

// Report takes what an entry tells of one of its runs.
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
		s.learn(now, r, state)
		s.end(now, r.id, state.Whole)
	case messenger.RunState_PHASE_LOST:
		r.at.lose(now)
		s.end(now, r.id, false)
	case messenger.RunState_PHASE_STREAMING:
		s.stream(now, r, state)
	case messenger.RunState_PHASE_MOVE_FAILED:
		r.moveFailed++
		s.failMove(now, r, state)
		s.relocate(now, r, state)
	case messenger.RunState_PHASE_COPIED:
		s.freeLinks(now, r)
	case messenger.RunState_PHASE_PLACED:
	}
	s.Advance(now)
}

// Forget drops all runs and requests of an entry that is gone.
func (s *Scheduler) Forget(now time.Time, entry string) {
	s.init()
	s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool { return w.entry == entry })
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
		s.pace = 1
		s.tokenTime = initialTokenTime
	}
}

// decide places or refuses a request; it tells whether it did either.
func (s *Scheduler) decide(now time.Time, w *waiting) bool {
	need := claimOf(w.req, s.expect(w.req), 0)
	if b := s.best(now, w, &need); b != nil {
		s.place(now, w, b)
		return true
	}
	reading := time.Duration(float64(readTime(int(w.req.PromptTokens))) * s.pace)
	if !now.Add(reading + deliveryTime).After(w.ends()) {
		return false
	}
	if b := s.spare(now, w, &need); b != nil {
		s.place(now, w, b)
		return true
	}
	after := max(minRetryAfter, time.Duration(w.req.ObjectiveMs)*time.Millisecond)
	s.Send(w.entry, Decision{Placement: &messenger.Placement{
		Run: w.req.Run, RetryAfterMs: after.Milliseconds(), Reason: s.shortage(now, w, &need).String(),
	}})
	return true
}

func (s *Scheduler) place(now time.Time, w *waiting, b *backend) {
	r := &run{
		id: w.req.Run, entry: w.entry, req: w.req, at: b, placed: now, read: now.Add(b.readTime(w.req)), spread: s.expect(w.req),
	}
	s.runs[r.id] = r
	b.add(r, false)
	p := &messenger.Placement{Run: r.id, Backend: b.report.Id, Reason: s.view(now, b)}
	if c := s.copyTarget(now, r, b); c != nil {
		p.Backup = c.report.Id
	}
	s.Send(w.entry, Decision{Placement: p})
}

// best returns the engine on which a request is best placed now; nil if none has room
// and reads its prompt in time.
func (s *Scheduler) best(now time.Time, w *waiting, need *claim) *backend {
	return s.cheapest(now, w.req, need, func(b *backend, fill float64) (cost float64, ok bool) {
		if b.reading() >= maxReading || !s.readsInTime(now, b, w) {
			return 0, false
		}
		cost = fill + float64(b.reading()) + s.slowness(now, b)
		if w.req.FailureDomain != b.report.FailureDomain {
			cost += farCost
		}
		return cost, true
	})
}

// spare returns an engine that is idle enough to serve a request late; nil if there is none.
func (s *Scheduler) spare(now time.Time, w *waiting, need *claim) *backend {
	return s.cheapest(now, w.req, need, func(b *backend, fill float64) (cost float64, ok bool) {
		return fill, b.reading() == 0 && fill <= spareFill
	})
}

// destination returns the engine to which a run is best moved; nil if none has room.
func (s *Scheduler) destination(now time.Time, r *run, from *backend) *backend {
	need := s.claim(now, r)
	return s.cheapest(now, r.req, &need, func(b *backend, fill float64) (cost float64, ok bool) {
		if b == from || b.arriving != nil {
			return 0, false
		}
		return fillWeight*(fill+float64(b.reading())) + s.moveEnd(now, from, b, need.held).Sub(now).Seconds(), true
	})
}

// cheapest returns the engine with room whose cost is the lowest. What rates an engine
// gets the share of its memory that is taken.
func (s *Scheduler) cheapest(
	now time.Time, req *messenger.PlaceRequest, need *claim, rate func(b *backend, fill float64) (cost float64, ok bool),
) *backend {
	var best *backend
	bestCost := 0.0
	for _, b := range s.backends {
		if !b.takes(now, req) || !s.fits(now, b, need) {
			continue
		}
		cost, ok := rate(b, float64(s.used(now, b))/float64(b.engine.Tokens))
		if ok && (best == nil || cost < bestCost || cost == bestCost && b.report.Id < best.report.Id) {
			best, bestCost = b, cost
		}
	}
	return best
}

// farCost and farCopyCost are what another failure domain costs beside a share of an
// engine's memory, for a new run and for a copy. fillWeight is what that share costs
// beside a second of moving.
const (
	farCost     = 0.12
	farCopyCost = 0.25
	fillWeight  = 0.3
)

// readsInTime tells whether a prompt that is placed now is expected to be read before
// the objective of its request ends.
func (s *Scheduler) readsInTime(now time.Time, b *backend, w *waiting) bool {
	return !s.readEnd(now, b, w.req).After(w.ends())
}

// readTime returns how long an engine is expected to read a prompt of some tokens.
func readTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Millisecond / readTokensPerMS
}

// ends returns when the objective of the request ends.
func (w *waiting) ends() time.Time {
	return w.arrived.Add(time.Duration(w.req.ObjectiveMs) * time.Millisecond)
}

// compareWaiting puts the most urgent request first: by rank, then by when its
// objective ends.
func compareWaiting(a, b *waiting) int {
	return cmp.Or(cmp.Compare(a.req.Priority, b.req.Priority), a.ends().Compare(b.ends()))
}
