// Package allocator has one scheduler decide for the whole fleet. The host that leads
// decides for all; a host that reaches no leader decides for itself with what it knows.
package allocator

import (
	"context"
	"sync"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/scheduler"
	"verbenareach/internal/wire/messenger"
)

type (
	// Allocator is one host's part. Its exported fields are set before first use.
	Allocator struct {
		// Name is the host's own.
		Name string
		// Tell adds news to what goes to a linked host; it tells whether it is linked.
		Tell func(host string, add func(m *messenger.LinkMessage)) bool
		// Order passes a move order to the generation here; it tells whether it is here.
		Order func(m *messenger.MoveOrder) bool
		// Runs returns how all generations of this host stand.
		Runs func() []*messenger.RunState
		Log  *logger.Logger

		mu    sync.Mutex
		sched *scheduler.Scheduler
		// terms holds the term in which each linked host, or this one, says that it leads.
		terms  map[string]uint64
		leader string
		// pending holds the requests of this host that wait for a decision, by run.
		pending  map[string]*request
		engines  map[string]cataloger.Engine
		backends []*messenger.Backend
	}

	request struct {
		req *messenger.PlaceRequest
		// decided receives the one decision.
		decided chan *messenger.Placement
	}
)

// Place asks for a place and waits until it is decided or ctx ends.
func (a *Allocator) Place(ctx context.Context, req *messenger.PlaceRequest) (*messenger.Placement, error) {
	r := &request{req: req, decided: make(chan *messenger.Placement, 1)}
	a.mu.Lock()
	a.init()
	a.pending[req.Run] = r
	a.ask(time.Now(), req)
	a.mu.Unlock()
	select {
	case p := <-r.decided:
		return p, nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, req.Run)
	a.ask(time.Now(), &messenger.PlaceRequest{Run: req.Run, Service: req.Service, Cancelled: true})
	return nil, ctx.Err()
}

// Report passes on how a generation of this host stands.
func (a *Allocator) Report(state *messenger.RunState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	if a.leader != a.Name && a.leader != "" {
		if a.Tell(a.leader, func(m *messenger.LinkMessage) { m.Runs = append(m.Runs, state) }) {
			return
		}
	}
	a.sched.Report(time.Now(), a.Name, state)
}

// SetEngines takes the engine parameters of the configuration in force.
func (a *Allocator) SetEngines(engines map[string]cataloger.Engine) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.engines = engines
	a.sched.SetEngines(engines)
	a.sched.SetBackends(time.Now(), a.backends)
}

// SetBackends takes what is known of all backend servers.
func (a *Allocator) SetBackends(now time.Time, reports []*messenger.Backend) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.backends = reports
	a.sched.SetBackends(now, reports)
}

// Advance makes the decisions that are due, and takes in whether this host leads.
func (a *Allocator) Advance(now time.Time, leads uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.setTerm(now, a.Name, leads)
	a.sched.Advance(now)
}

// Receive takes what another host says of places and runs.
func (a *Allocator) Receive(now time.Time, from string, m *messenger.LinkMessage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.setTerm(now, from, m.Leads)
	for _, s := range m.Runs {
		a.sched.Report(now, from, s)
	}
	for _, req := range m.Places {
		a.sched.Ask(now, from, req)
	}
	for _, p := range m.Placements {
		a.decide(p)
	}
	for _, o := range m.Moves {
		a.move(now, o)
	}
}

// Left forgets a host whose link is lost.
func (a *Allocator) Left(now time.Time, host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.setTerm(now, host, 0)
	a.sched.Forget(now, host)
}

func (a *Allocator) init() {
	if a.pending != nil {
		return
	}
	a.pending, a.terms = make(map[string]*request), make(map[string]uint64)
	a.renew()
}

// renew begins with an empty view. The lock is held.
func (a *Allocator) renew() {
	a.sched = &scheduler.Scheduler{Send: a.send}
	a.sched.SetEngines(a.engines)
	a.sched.SetBackends(time.Now(), a.backends)
}

// setTerm notes in which term a host leads. When another host leads than before, it is
// told of this host's runs and of the requests that wait. The lock is held.
func (a *Allocator) setTerm(now time.Time, host string, term uint64) {
	if term == 0 {
		delete(a.terms, host)
	} else {
		a.terms[host] = term
	}
	leader, highest := "", uint64(0)
	for name, t := range a.terms {
		if t > highest {
			leader, highest = name, t
		}
	}
	if leader == a.leader {
		return
	}
	a.Log.Emit(now, logger.FleetLeaderChanged, "", logger.F("from", a.leader), logger.F("to", leader), logger.F("term", highest))
	a.leader = leader
	a.renew()
	a.handOver()
}

// handOver tells who decides now of this host's runs and waiting requests. The lock is held.
func (a *Allocator) handOver() {
	runs := a.Runs()
	now := time.Now()
	if a.leader == "" || a.leader == a.Name {
		for _, s := range runs {
			a.sched.Report(now, a.Name, s)
		}
	} else {
		a.Tell(a.leader, func(m *messenger.LinkMessage) { m.Runs = append(m.Runs, runs...) })
	}
	for _, r := range a.pending {
		a.ask(now, r.req)
	}
}

// ask passes a request to who decides now. The lock is held.
func (a *Allocator) ask(now time.Time, req *messenger.PlaceRequest) {
	if a.leader != "" && a.leader != a.Name {
		if a.Tell(a.leader, func(m *messenger.LinkMessage) { m.Places = append(m.Places, req) }) {
			return
		}
	}
	a.sched.Ask(now, a.Name, req)
}

// send passes a decision on. The lock is held, as only the scheduler calls it.
func (a *Allocator) send(entry string, d scheduler.Decision) {
	if entry == a.Name {
		if d.Placement != nil {
			a.decide(d.Placement)
		}
		if d.Move != nil && !a.Order(d.Move) {
			a.Log.Emit(time.Now(), logger.RunMoveFailed, d.Move.Run, logger.F("cause", "generation is not here"))
		}
		return
	}
	a.Tell(entry, func(m *messenger.LinkMessage) {
		if d.Placement != nil {
			m.Placements = append(m.Placements, d.Placement)
		}
		if d.Move != nil {
			m.Moves = append(m.Moves, d.Move)
		}
	})
}

// decide hands a decision to the request that waits for it. A place that nobody waits
// for is given back. The lock is held.
func (a *Allocator) decide(p *messenger.Placement) {
	r := a.pending[p.Run]
	if r == nil {
		return
	}
	delete(a.pending, p.Run)
	r.decided <- p
}

// move passes a move order on, or tells the leader that the generation has ended. The
// lock is held.
func (a *Allocator) move(now time.Time, o *messenger.MoveOrder) {
	if a.Order(o) {
		return
	}
	ended := &messenger.RunState{Run: o.Run, Phase: messenger.RunState_PHASE_ENDED}
	if a.leader == "" || !a.Tell(a.leader, func(m *messenger.LinkMessage) { m.Runs = append(m.Runs, ended) }) {
		a.sched.Report(now, a.Name, ended)
	}
}
