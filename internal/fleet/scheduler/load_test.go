package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/wire/messenger"
)

type (
	// simulation plays clients, entries and engines against a scheduler in simulated time. The
	// scheduler handles one message after the other and takes processing time for each, so that
	// an expensive one delays those behind it.
	simulation struct {
		s       *Scheduler
		rnd     *rand.Rand
		now     time.Time
		events  eventQueue
		entries int
		// evaluationTime and messageTime are the processing time for each engine that the
		// scheduler evaluates and for each message that it handles; busyUntil is when it has
		// handled all messages so far.
		evaluationTime, messageTime time.Duration
		busyUntil                   time.Time
		engines                     map[string]*simEngine
		requests                    map[string]*simRequest
		nextID                      int
		// outcomes holds the outcomes of requests by the second of their arrival.
		outcomes map[int]*outcome
	}

	simEngine struct {
		// readUntil is when the engine has processed all prompts that it was sent.
		readUntil time.Time
	}

	simRequest struct {
		req     *messenger.PlaceRequest
		entry   string
		arrived time.Time
		output  int
		retried bool
		backend string
	}

	// outcome counts requests, those with a first token within their objective, and refused ones.
	outcome struct {
		asked, inTime, refused int
	}

	simEvent struct {
		at  time.Time
		run func()
	}

	eventQueue []simEvent
)

const (
	simEngines      = 156
	simEntries      = 44
	simRate         = 190 // requests a second
	simReadTokensMS = 14
	simTokenTime    = 9 * time.Millisecond
	simNetwork      = 2 * time.Millisecond
)

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func newSimulation(seed uint64) *simulation {
	m := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: start, entries: simEntries, engines: make(map[string]*simEngine), //nolint:gosec // Only a load.
		requests: make(map[string]*simRequest), outcomes: make(map[int]*outcome),
	}
	for i := range simEngines {
		m.engines[fmt.Sprint("e", i)] = &simEngine{}
	}
	m.restart()
	return m
}

// restart replaces the scheduler by one that knows all engines and no runs.
func (m *simulation) restart() {
	m.s = &Scheduler{Send: m.decided}
	m.s.SetEngines(map[string]cataloger.Engine{"llm": {
		Slots: 24, Tokens: 33_781, TokenBytes: 327_680, LinkMbps: 47_000, Moves: true, Backups: true, TokensPerEvent: 4, CopyLifetime: 5 * time.Second,
	}})
	var reports []*messenger.Backend
	for id := range m.engines {
		reports = append(reports, &messenger.Backend{Id: id, Service: "llm", FailureDomain: string("abcde"[len(reports)%5]), Slots: 24, Started: 1, Sequence: 1})
	}
	m.s.SetBackends(m.now, reports)
	m.requests = make(map[string]*simRequest)
	m.busyUntil = m.now
}

// at schedules a function.
func (m *simulation) at(t time.Time, run func()) { heap.Push(&m.events, simEvent{at: t, run: run}) }

// runUntil plays all events up to a time.
func (m *simulation) runUntil(end time.Time) {
	for len(m.events) > 0 && !m.events[0].at.After(end) {
		e := heap.Pop(&m.events).(simEvent)
		m.now = e.at
		e.run()
	}
	m.now = end
}

// message has the scheduler handle a message once it has handled those before.
func (m *simulation) message(handle func()) {
	begin := m.now
	if m.busyUntil.After(begin) {
		begin = m.busyUntil
	}
	s := m.s
	m.at(begin, func() {
		if s != m.s {
			return
		}
		if m.busyUntil.After(m.now) {
			m.message(handle)
			return
		}
		before := m.s.evaluations
		handle()
		m.busyUntil = m.now.Add(m.messageTime + time.Duration(m.s.evaluations-before)*m.evaluationTime)
	})
}

// tick has the scheduler make the decisions that are due, again and again.
func (m *simulation) tick() {
	m.message(func() { m.s.Advance(m.now) })
	m.at(m.now.Add(50*time.Millisecond), m.tick)
}

// arrive has requests arrive at random until end.
func (m *simulation) arrive(end time.Time) {
	if m.now.After(end) {
		return
	}
	m.ask()
	m.at(m.now.Add(time.Duration(m.rnd.ExpFloat64()/simRate*float64(time.Second))), func() { m.arrive(end) })
}

// ask has a client send a request of random size.
func (m *simulation) ask() {
	m.nextID++
	spread := func(mean, deviation float64) float64 {
		return mean * math.Exp(deviation*m.rnd.NormFloat64()-deviation*deviation/2)
	}
	r := &simRequest{entry: fmt.Sprint("h", m.rnd.IntN(m.entries)), arrived: m.now}
	output, prompt, objective, limit := spread(468, 0.84), spread(3000, 0.35), int64(1800), 1104
	if m.rnd.Float64() < 0.41 {
		output, prompt, objective, limit = spread(6.4, 0.89), spread(2200, 0.6), 1500, 20
	}
	r.output = int(min(max(output, 1), float64(limit)))
	hint := int32(min(max(spread(float64(r.output), 1.2), 1), 4000))
	r.req = &messenger.PlaceRequest{
		Run: fmt.Sprint("r", m.nextID), Service: "llm", PromptTokens: int32(min(prompt, 6000)), HintTokens: hint, MaxTokens: int32(limit),
		FailureDomain: string("abcde"[m.nextID%5]), ObjectiveMs: objective, DeadlineMs: 39_000,
	}
	m.submit(r)
}

// submit sends a request to the scheduler.
func (m *simulation) submit(r *simRequest) {
	m.requests[r.req.Run] = r
	m.at(m.now.Add(simNetwork), func() { m.message(func() { m.s.Submit(m.now, r.entry, r.req) }) })
}

// count returns the outcomes of the requests that arrived in the same second as r.
func (m *simulation) count(r *simRequest) *outcome {
	second := int(r.arrived.Sub(start) / time.Second)
	if m.outcomes[second] == nil {
		m.outcomes[second] = &outcome{}
	}
	return m.outcomes[second]
}

// decided carries out a decision of the scheduler. A refused client returns once, after the
// time that the refusal says.
func (m *simulation) decided(_ string, d Decision) {
	if d.Placement == nil {
		return
	}
	r := m.requests[d.Placement.Run]
	if r == nil {
		return
	}
	if d.Placement.Backend != "" {
		r.backend = d.Placement.Backend
		m.at(m.now.Add(simNetwork), func() { m.generate(r) })
		return
	}
	delete(m.requests, r.req.Run)
	if r.retried {
		o := m.count(r)
		o.asked++
		o.refused++
		return
	}
	m.at(m.now.Add(time.Duration(d.Placement.RetryAfterMs)*time.Millisecond), func() {
		m.nextID++
		r.retried = true
		r.req.Run = fmt.Sprint("r", m.nextID)
		m.submit(r)
	})
}

// generate plays a run on its engine. Prompts are processed one after the other.
func (m *simulation) generate(r *simRequest) {
	e := m.engines[r.backend]
	if e.readUntil.Before(m.now) {
		e.readUntil = m.now
	}
	e.readUntil = e.readUntil.Add(time.Duration(r.req.PromptTokens) * time.Millisecond / simReadTokensMS)
	s, run := m.s, r.req.Run
	m.at(e.readUntil, func() {
		o := m.count(r)
		o.asked++
		if m.now.Sub(r.arrived) <= time.Duration(r.req.ObjectiveMs)*time.Millisecond {
			o.inTime++
		}
		m.report(s, r, messenger.RunState_PHASE_STREAMING, 4)
		m.at(m.now.Add(time.Duration(r.output)*simTokenTime), func() {
			m.report(s, r, messenger.RunState_PHASE_ENDED, r.output)
			delete(m.requests, run)
		})
	})
}

// report sends the state of a run to the scheduler that placed it.
func (m *simulation) report(s *Scheduler, r *simRequest, phase messenger.RunState_Phase, made int) {
	state := &messenger.RunState{
		Run: r.req.Run, Backend: r.backend, Phase: phase, MadeTokens: int32(made), Request: r.req,
		Whole: phase == messenger.RunState_PHASE_ENDED,
	}
	m.at(m.now.Add(simNetwork), func() {
		if s == m.s {
			m.message(func() { m.s.Report(m.now, r.entry, state) })
		}
	})
}

// outage has all hosts down for a time: the scheduler loses its state, and the clients that
// asked meanwhile, and those whose generation was lost, return within returnWithin afterwards.
func (m *simulation) outage(down, returnWithin time.Duration) {
	lost := int(simRate * down.Seconds() * 2)
	m.events = nil
	m.now = m.now.Add(down)
	m.restart()
	for range lost {
		m.at(m.now.Add(time.Duration(m.rnd.Int64N(int64(returnWithin)))), m.ask)
	}
}

// After all hosts were down, the clients of that time return together with the usual load, and
// each decision that takes long delays all others.
func TestServiceReturnsAfterOutage(t *testing.T) {
	m := newSimulation(1)
	m.evaluationTime, m.messageTime = 500*time.Nanosecond, 50*time.Microsecond
	m.tick()
	m.arrive(start.Add(time.Minute))
	m.runUntil(start.Add(8 * time.Second))
	m.outage(2*time.Second, 500*time.Millisecond)
	m.tick()
	m.arrive(start.Add(18 * time.Second))
	m.runUntil(start.Add(30 * time.Second))
	for second := 12; second < 18; second++ {
		o := m.outcomes[second]
		t.Logf("second %d: %+v", second, *o)
		if share := float64(o.inTime) / float64(o.asked); share < 0.9 {
			t.Errorf("%.2f of %d requests have their first token in time in the %d. second after the outage", share, o.asked, second-9)
		}
	}
}

// BenchmarkDecisions is the processing time for one second of load.
func BenchmarkDecisions(b *testing.B) {
	m := newSimulation(1)
	m.tick()
	m.arrive(start.Add(time.Hour))
	m.runUntil(start.Add(8 * time.Second))
	b.ResetTimer()
	for i := range b.N {
		m.runUntil(start.Add(time.Duration(9+i) * time.Second))
	}
}
