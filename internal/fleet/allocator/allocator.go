// Package allocator has one scheduler decide for as many hosts as possible. The hub that
// leads decides for all; where no leader is known, the linked hub with the lowest name
// does; a host that reaches no hub decides for itself.
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
		// hubs holds the linked hubs, this host included if it is one, each with the term in
		// which it says that it leads; 0 where it does not.
		hubs map[string]uint64
		// decider is the host that decides for this one; its own name if it does itself.
		decider string
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
	if a.tellDecider(func(m *messenger.LinkMessage) { m.Runs = append(m.Runs, state) }) {
		return
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

// Advance makes the decisions that are due, and takes in whether this host leads. hub
// tells whether it is a hub.
func (a *Allocator) Advance(now time.Time, hub bool, leads uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	if hub {
		a.setHub(now, a.Name, leads)
	}
	a.sched.Advance(now)
}

// Receive takes what another host says of places and runs.
func (a *Allocator) Receive(now time.Time, from *messenger.FleetHost, m *messenger.LinkMessage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	if from.Hub {
		a.setHub(now, from.Name, m.Leads)
	}
	if m.AllRuns {
		a.sched.Forget(now, from.Name)
	}
	for _, s := range m.Runs {
		a.sched.Report(now, from.Name, s)
	}
	for _, req := range m.Places {
		a.sched.Submit(now, from.Name, req)
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
	delete(a.hubs, host)
	a.choose(now)
	a.sched.Forget(now, host)
}

func (a *Allocator) init() {
	if a.pending != nil {
		return
	}
	a.pending, a.hubs = make(map[string]*request), make(map[string]uint64)
	a.decider = a.Name
	a.sched = &scheduler.Scheduler{Send: a.send}
}

// setHub notes that a hub is linked and in which term it leads. The lock is held.
func (a *Allocator) setHub(now time.Time, host string, term uint64) {
	if known, ok := a.hubs[host]; ok && known == term {
		return
	}
	a.hubs[host] = term
	a.choose(now)
}

// choose finds who decides now: the hub that leads in the highest term, else the one with
// the lowest name. The former decider is told to forget this host's runs, the new one
// hears of them and of the requests that wait. The lock is held.
func (a *Allocator) choose(now time.Time) {
	decider, highest := "", uint64(0)
	for name, term := range a.hubs {
		if decider == "" || term > highest || term == highest && name < decider {
			decider, highest = name, term
		}
	}
	if decider == "" {
		decider = a.Name
	}
	if decider == a.decider {
		return
	}
	a.Log.Emit(now, logger.FleetDeciderChanged, "", logger.F("from", a.decider), logger.F("to", decider), logger.F("term", highest))
	if a.decider == a.Name {
		a.sched.Forget(now, a.Name)
	} else {
		a.tellDecider(func(m *messenger.LinkMessage) { m.AllRuns, m.Runs, m.Places = true, nil, nil })
	}
	a.decider = decider
	a.handOver(now)
}

// handOver tells who decides now of this host's runs and waiting requests. The lock is held.
func (a *Allocator) handOver(now time.Time) {
	runs := a.Runs()
	if !a.tellDecider(func(m *messenger.LinkMessage) { m.AllRuns, m.Runs, m.Places = true, runs, nil }) {
		for _, s := range runs {
			a.sched.Report(now, a.Name, s)
		}
	}
	for _, r := range a.pending {
		a.ask(now, r.req)
	}
}

// tellDecider adds news to what goes to the host that decides; it tells whether that is
// another one that is linked. The lock is held.
func (a *Allocator) tellDecider(add func(m *messenger.LinkMessage)) bool {
	return a.decider != a.Name && a.Tell(a.decider, add)
}

// ask passes a request to who decides now. The lock is held.
func (a *Allocator) ask(now time.Time, req *messenger.PlaceRequest) {
	if a.tellDecider(func(m *messenger.LinkMessage) { m.Places = append(m.Places, req) }) {
		return
	}
	a.sched.Submit(now, a.Name, req)
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

// decide hands a decision to the request that waits for it. Nobody waits for one where
// the request was cancelled, of which who decides hears, or decided by another host
// before: then the reports of the run tell where it is. The lock is held.
func (a *Allocator) decide(p *messenger.Placement) {
	r := a.pending[p.Run]
	if r == nil {
		return
	}
	delete(a.pending, p.Run)
	r.decided <- p
}

// move passes a move order on, or tells who decides that the generation has ended. The
// lock is held.
func (a *Allocator) move(now time.Time, o *messenger.MoveOrder) {
	if a.Order(o) {
		return
	}
	ended := &messenger.RunState{Run: o.Run, Phase: messenger.RunState_PHASE_ENDED}
	if !a.tellDecider(func(m *messenger.LinkMessage) { m.Runs = append(m.Runs, ended) }) {
		a.sched.Report(now, a.Name, ended)
	}
}
