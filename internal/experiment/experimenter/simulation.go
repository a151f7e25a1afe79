package experimenter

import (
	"slices"
	"strconv"
	"time"

	"verbenareach/internal/engine/emulator"
)

const (
	engineCount = 4
	// queueWindow is how many waiting requests may be declined in one round of placement.
	queueWindow = 16
	// offerInterval is the time between two rounds of placement.
	offerInterval = 20 * time.Millisecond
	// maxDrainFactor bounds the time after the last arrival, as a multiple of the load's
	// time.
	maxDrainFactor = 3
	// stallAfter is the time without a token after which a generation is stalled.
	stallAfter = 250 * time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

type (
	// job is a request that has arrived and is not finished.
	job struct {
		Arrival
		id          uint64
		name        string
		generated   int
		lastTokenAt time.Time
	}

	// simEngine is a simulated engine with its jobs.
	simEngine struct {
		name   string
		engine *emulator.Engine
		jobs   map[uint64]*job
		step   emulator.Step
		// stepEnd is when the step in progress ends; zero while idle.
		stepEnd time.Time
		lost    bool
	}

	// simulation is one run of a load under a policy.
	simulation struct {
		load        Load
		policy      policy
		engines     []*simEngine
		waiting     []*job
		nextArrival int
		lastOffer   time.Time
		result      *Result
	}
)

// run simulates a load under a policy and returns what its callers see.
func run(load Load, params emulator.Parameters, newPolicy func([]*simEngine) policy) *Result {
	s := &simulation{load: load, result: newResult(load.Time)}
	params.LoadLag = load.Lag
	for i := range engineCount {
		s.engines = append(s.engines, &simEngine{
			name:   "engine-" + strconv.Itoa(i),
			engine: emulator.New(params),
			jobs:   make(map[uint64]*job),
		})
	}
	s.policy = newPolicy(s.engines)
	for now, ok := s.nextTime(); ok; now, ok = s.nextTime() {
		s.loseEngine(now)
		s.addArrivals(now)
		for _, n := range s.engines {
			if !n.stepEnd.IsZero() && !n.stepEnd.After(now) {
				s.endStep(now, n)
			}
		}
		s.placeWaiting(now)
		for _, n := range s.engines {
			s.beginStep(now, n)
		}
		if now.Sub(start) > (1+maxDrainFactor)*load.Time {
			break
		}
	}
	for _, n := range s.engines {
		s.result.Unfinished += len(n.jobs)
	}
	s.result.Unfinished += len(s.waiting) + len(load.Arrivals) - s.nextArrival
	return s.result
}

func (s *simulation) addArrivals(now time.Time) {
	for s.nextArrival < len(s.load.Arrivals) && !start.Add(s.load.Arrivals[s.nextArrival].At).After(now) {
		a := s.load.Arrivals[s.nextArrival]
		s.nextArrival++
		s.waiting = append(s.waiting, &job{Arrival: a, id: uint64(s.nextArrival), name: strconv.Itoa(s.nextArrival)})
	}
}

func (s *simulation) beginStep(now time.Time, n *simEngine) {
	if n.lost || !n.stepEnd.IsZero() || n.engine.Idle() {
		return
	}
	n.step = n.engine.Step(now)
	n.stepEnd = now.Add(n.step.Took)
}

func (s *simulation) endStep(now time.Time, n *simEngine) {
	n.stepEnd = time.Time{}
	s.result.Preemptions += len(n.step.Preempted)
	s.result.EnginePreemptions += len(n.step.Preempted)
	for _, t := range n.step.Tokens {
		j := n.jobs[t.ID]
		if j == nil {
			continue // The job was cancelled during the step.
		}
		s.result.recordToken(now, j)
		j.generated++
		j.lastTokenAt = now
		if t.Last {
			delete(n.jobs, t.ID)
			s.policy.finished(now, n, j)
		} else {
			s.policy.progressed(now, n, j)
		}
	}
	var evicted []*job
	for _, id := range s.policy.evict(now, n) {
		j := n.jobs[id]
		n.engine.Cancel(id)
		delete(n.jobs, id)
		s.result.Preemptions++
		evicted = append(evicted, j)
	}
	s.waiting = append(evicted, s.waiting...)
}

// loseEngine removes the first engine if its time has come; its jobs are queued again.
func (s *simulation) loseEngine(now time.Time) {
	n := s.engines[0]
	if s.load.LostAt == 0 || n.lost || now.Sub(start) < s.load.LostAt {
		return
	}
	n.lost = true
	n.stepEnd = time.Time{}
	var displaced []*job
	for _, j := range n.jobs {
		displaced = append(displaced, j)
	}
	slices.SortFunc(displaced, func(a, b *job) int { return int(a.id) - int(b.id) })
	n.jobs = make(map[uint64]*job)
	s.waiting = append(displaced, s.waiting...)
	s.policy.lost(now, n)
}

// nextTime returns the time of the next event; false if there is none.
func (s *simulation) nextTime() (time.Time, bool) {
	var next time.Time
	consider := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, n := range s.engines {
		consider(n.stepEnd)
	}
	if s.nextArrival < len(s.load.Arrivals) {
		consider(start.Add(s.load.Arrivals[s.nextArrival].At))
	}
	if next.IsZero() && len(s.waiting) > 0 {
		next = s.lastOffer.Add(offerInterval)
	}
	return next, !next.IsZero()
}

// placeWaiting places waiting jobs in the order of the queue.
func (s *simulation) placeWaiting(now time.Time) {
	if now.Sub(s.lastOffer) < offerInterval {
		return
	}
	s.lastOffer = now
	s.policy.tick(now)
	declined := 0
	s.waiting = slices.DeleteFunc(s.waiting, func(j *job) bool {
		if declined >= queueWindow {
			return false
		}
		n := s.policy.place(now, j)
		if n == nil {
			declined++
			return false
		}
		r := emulator.Request{
			ID:           j.id,
			PromptTokens: j.PromptTokens,
			Blocks:       j.Blocks,
			Resumed:      j.generated,
			Length:       j.Length,
		}
		if n.engine.Submit(r) {
			n.jobs[j.id] = j
		}
		return true
	})
}
