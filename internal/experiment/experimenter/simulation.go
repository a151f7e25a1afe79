package experimenter

import (
	"slices"
	"strconv"
	"time"

	"verbenareach/internal/engine/emulator"
)

const (
	engines = 4
	// queueWindow is how many waiting requests are offered at a time.
	queueWindow = 16
	// offerEvery is how often waiting requests are offered.
	offerEvery = 20 * time.Millisecond
	// drainFactor bounds the time after the last arrival, in times of the load.
	drainFactor = 3
	// stallAfter is the time without a token that counts as a stall.
	stallAfter = 250 * time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

type (
	// job is one request on its way.
	job struct {
		Arrival
		id        uint64
		name      string
		generated int
		last      time.Time
	}

	// node is one engine with its jobs.
	node struct {
		name   string
		engine *emulator.Engine
		jobs   map[uint64]*job
		step   emulator.Step
		// ends is when the step in progress is over; zero while idle.
		ends time.Time
		dead bool
	}

	// simulation is one run of a load under a policy.
	simulation struct {
		load    Load
		policy  policy
		nodes   []*node
		waiting []*job
		next    int
		offered time.Time
		result  *Result
	}
)

// run returns what a load's callers see under a policy.
func run(load Load, params emulator.Parameters, newPolicy func([]*node) policy) *Result {
	s := &simulation{load: load, result: newResult(load.Time)}
	params.LoadLag = load.Lag
	for i := range engines {
		s.nodes = append(s.nodes, &node{
			name:   "engine-" + strconv.Itoa(i),
			engine: emulator.New(params),
			jobs:   make(map[uint64]*job),
		})
	}
	s.policy = newPolicy(s.nodes)
	for now, ok := s.nextTime(); ok; now, ok = s.nextTime() {
		s.lose(now)
		s.arrive(now)
		for _, n := range s.nodes {
			if !n.ends.IsZero() && !n.ends.After(now) {
				s.endStep(now, n)
			}
		}
		s.offer(now)
		for _, n := range s.nodes {
			s.beginStep(now, n)
		}
		if now.Sub(start) > (1+drainFactor)*load.Time {
			break
		}
	}
	for _, n := range s.nodes {
		s.result.Unfinished += len(n.jobs)
	}
	s.result.Unfinished += len(s.waiting) + len(load.Arrivals) - s.next
	return s.result
}

func (s *simulation) arrive(now time.Time) {
	for s.next < len(s.load.Arrivals) && !start.Add(s.load.Arrivals[s.next].At).After(now) {
		a := s.load.Arrivals[s.next]
		s.next++
		s.waiting = append(s.waiting, &job{Arrival: a, id: uint64(s.next), name: strconv.Itoa(s.next)})
	}
}

func (s *simulation) beginStep(now time.Time, n *node) {
	if n.dead || !n.ends.IsZero() || n.engine.Idle() {
		return
	}
	n.step = n.engine.Step(now)
	n.ends = now.Add(n.step.Took)
}

func (s *simulation) endStep(now time.Time, n *node) {
	n.ends = time.Time{}
	s.result.Preemptions += len(n.step.Preempted)
	s.result.EnginePreemptions += len(n.step.Preempted)
	for _, t := range n.step.Tokens {
		j := n.jobs[t.ID]
		if j == nil {
			continue // Cancelled within the step.
		}
		s.result.token(now, j)
		j.generated++
		j.last = now
		if t.Last {
			delete(n.jobs, t.ID)
			s.policy.finished(now, n, j)
		} else {
			s.policy.progressed(now, n, j)
		}
	}
	var back []*job
	for _, id := range s.policy.victims(now, n) {
		j := n.jobs[id]
		n.engine.Cancel(id)
		delete(n.jobs, id)
		s.result.Preemptions++
		back = append(back, j)
	}
	s.waiting = append(back, s.waiting...)
}

// lose takes the first engine away; its jobs go on elsewhere.
func (s *simulation) lose(now time.Time) {
	n := s.nodes[0]
	if s.load.LostAt == 0 || n.dead || now.Sub(start) < s.load.LostAt {
		return
	}
	n.dead = true
	n.ends = time.Time{}
	var back []*job
	for _, j := range n.jobs {
		back = append(back, j)
	}
	slices.SortFunc(back, func(a, b *job) int { return int(a.id) - int(b.id) })
	n.jobs = make(map[uint64]*job)
	s.waiting = append(back, s.waiting...)
	s.policy.lost(now, n)
}

// nextTime returns when something happens next; false when all is done.
func (s *simulation) nextTime() (time.Time, bool) {
	var next time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, n := range s.nodes {
		earlier(n.ends)
	}
	if s.next < len(s.load.Arrivals) {
		earlier(start.Add(s.load.Arrivals[s.next].At))
	}
	if next.IsZero() && len(s.waiting) > 0 {
		next = s.offered.Add(offerEvery)
	}
	return next, !next.IsZero()
}

// offer places waiting jobs, the first in line first.
func (s *simulation) offer(now time.Time) {
	if now.Sub(s.offered) < offerEvery {
		return
	}
	s.offered = now
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
