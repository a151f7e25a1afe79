// Package allocator passes the placement requests of a host to the one scheduler that decides
// for as many hosts as possible: that of the hub that leads in the highest term; without a
// leader, that of the linked hub with the lowest name; without a linked hub, the host's own.
package allocator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/evacuator"
	"verbenareach/internal/fleet/forwarder"
	"verbenareach/internal/fleet/pacer"
	"verbenareach/internal/fleet/scheduler"
	"verbenareach/internal/fleet/throttler"
	"verbenareach/internal/wire/messenger"
)

type (
	// Allocator places the generations of one host. Its exported fields are set before first
	// use; it is safe for concurrent use.
	Allocator struct {
		// Name is the name of this host.
		Name string
		// Enqueue calls add on the next message to a host. It reports whether the host is linked.
		Enqueue func(host string, add func(m *messenger.LinkMessage)) bool
		// Move passes a move order to a generation of this host. It returns
		// forwarder.ErrUnknownRun if the host does not have the generation, or another error if
		// the generation does not take the order.
		Move func(m *messenger.MoveOrder) error
		// Runs returns the states of this host's generations that have a placement.
		Runs func() []*messenger.RunState
		// Throttler holds the limits that backend servers set.
		Throttler *throttler.Throttler
		// Paces measures the pace of engines from this host's generations.
		Paces *pacer.Collector
		// Regions holds the region of each failure domain.
		Regions map[string]string
		Log     *logger.Logger

		mu sync.Mutex
		// sched decides for the hosts that have this one as their decider, and for this host
		// while its decider is not linked.
		sched *scheduler.Scheduler
		// hubs holds the linked hubs, this host included if it is one, each with the term in
		// which it says that it leads; 0 where it does not.
		hubs map[string]uint64
		// decider is the name of the host that decides for this one, which may be this host.
		decider string
		// pending holds the requests of this host without a decision, by run.
		pending map[string]*pendingRequest
		// permits holds the requests for permission that wait for a reply, by id; lastPermit is the
		// newest id.
		permits    map[uint64]chan *messenger.PermitReply
		lastPermit uint64
		engines    map[string]cataloger.Engine
		backends   []*messenger.Backend
	}

	pendingRequest struct {
		req *messenger.PlaceRequest
		// decided receives the one decision. It is buffered, as the lock is held when sending.
		decided chan *messenger.Placement
	}
)

// Place requests a placement and waits for the decision; one without a backend is a refusal. If
// ctx ends first, it cancels the request and returns the error of ctx.
func (a *Allocator) Place(ctx context.Context, req *messenger.PlaceRequest) (*messenger.Placement, error) {
	r := &pendingRequest{req: req, decided: make(chan *messenger.Placement, 1)}
	a.mu.Lock()
	a.init()
	a.pending[req.Run] = r
	a.submit(time.Now(), req)
	a.mu.Unlock()
	select {
	case p := <-r.decided:
		return p, nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, req.Run)
	a.submit(time.Now(), &messenger.PlaceRequest{Run: req.Run, Service: req.Service, Cancelled: true})
	return nil, ctx.Err()
}

// Report passes the state of a generation of this host to the decider.
func (a *Allocator) Report(state *messenger.RunState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	now := time.Now()
	a.sendPaces(now, a.Paces.Take(now))
	if a.sendToDecider(func(m *messenger.LinkMessage) { m.Runs = append(m.Runs, state) }) {
		return
	}
	a.sched.Report(now, a.Name, state)
}

// SetEngines sets the engine parameters of the configuration in force.
func (a *Allocator) SetEngines(engines map[string]cataloger.Engine) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.engines = engines
	a.sched.SetEngines(engines)
	a.sched.SetBackends(time.Now(), a.backends)
}

// SetEvacuations sets the evacuated failure domains.
func (a *Allocator) SetEvacuations(now time.Time, evacuations *evacuator.Set) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.sched.SetEvacuations(now, evacuations)
}

// Evacuated returns what is left in each evacuated failure domain, as far as this host decides: the
// decider of all hosts knows all of it.
func (a *Allocator) Evacuated(now time.Time) (left []scheduler.Evacuated, decides bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	return a.sched.Evacuated(now), a.decider == a.Name
}

// SetBackends sets the reports of all backend servers.
func (a *Allocator) SetBackends(now time.Time, reports []*messenger.Backend) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.backends = reports
	a.sched.SetBackends(now, reports)
}

// Advance makes the decisions that are due. hub is set if this host is a hub; term is the one in
// which it leads, 0 if it does not lead.
func (a *Allocator) Advance(now time.Time, hub bool, term uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	if hub {
		a.setHub(now, a.Name, term)
	}
	a.sched.Advance(now)
}

// Receive handles the term, reports, requests, placements, move orders and permissions in a message
// from another host. With AllRuns set, they replace all that is known of that host's runs and requests.
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
	a.sched.LearnPaces(now, m.Paces)
	if len(m.Runs) > 0 || len(m.Places) > 0 {
		a.sched.Receive(now, from.Name, m.Runs, m.Places)
	}
	for _, p := range m.Placements {
		a.deliver(p)
	}
	for _, o := range m.Moves {
		a.handleMove(now, o)
	}
	a.replyPermits(now, from.Name, m.PermitRequests)
	for _, r := range m.PermitReplies {
		a.deliverPermit(r)
	}
}

// HostUp is called when a link to a host is up. What was sent to the decider over a link that this
// one replaces may be lost, so it gets this host's runs and pending requests again.
func (a *Allocator) HostUp(now time.Time, host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	if host == a.decider {
		a.reportAll(now)
	}
}

// HostDown drops a host whose link is lost, with its runs and requests.
func (a *Allocator) HostDown(now time.Time, host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	delete(a.hubs, host)
	a.chooseDecider(now)
	a.sched.Forget(now, host)
}

func (a *Allocator) init() {
	if a.pending != nil {
		return
	}
	a.pending, a.hubs = make(map[string]*pendingRequest), make(map[string]uint64)
	a.permits = make(map[uint64]chan *messenger.PermitReply)
	a.decider = a.Name
	a.sched = &scheduler.Scheduler{
		Send: a.send, OnPace: a.logPace, Random: rand.Float64, Throttler: a.Throttler, Regions: a.Regions,
		OnPlan: a.logPlan, OnRunLost: a.logLoss,
	}
}

// setHub records a hub and the term in which it leads, 0 if it does not. The lock is held.
func (a *Allocator) setHub(now time.Time, host string, term uint64) {
	if known, ok := a.hubs[host]; ok && known == term {
		return
	}
	a.hubs[host] = term
	a.chooseDecider(now)
}

// chooseDecider chooses the hub that leads in the highest term, else the one with the lowest
// name. On a change the former decider drops this host's runs, and the new one gets them and
// the pending requests. The lock is held.
func (a *Allocator) chooseDecider(now time.Time) {
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
		a.sendToDecider(func(m *messenger.LinkMessage) { m.AllRuns, m.Runs, m.Places = true, nil, nil })
	}
	a.decider = decider
	a.reportAll(now)
}

// reportAll sends this host's runs and pending requests to the decider. The lock is held.
func (a *Allocator) reportAll(now time.Time) {
	runs := a.Runs()
	a.sendPaces(now, a.Paces.Recent(now))
	if !a.sendToDecider(func(m *messenger.LinkMessage) { m.AllRuns, m.Runs, m.Places = true, runs, nil }) {
		for _, s := range runs {
			a.sched.Report(now, a.Name, s)
		}
	}
	for _, r := range a.pending {
		a.submit(now, r.req)
	}
}

// sendToDecider adds to the next message to the decider. It reports whether the decider is
// another host and linked. The lock is held.
func (a *Allocator) sendToDecider(add func(m *messenger.LinkMessage)) bool {
	return a.decider != a.Name && a.Enqueue(a.decider, add)
}

// submit passes a request to the decider, or to this host's scheduler if the decider is not
// linked. The lock is held.
func (a *Allocator) submit(now time.Time, req *messenger.PlaceRequest) {
	if a.sendToDecider(func(m *messenger.LinkMessage) { m.Places = append(m.Places, req) }) {
		return
	}
	a.sched.Submit(now, a.Name, req)
}

// send passes a decision to its entry. The lock is held, as only the scheduler calls it.
func (a *Allocator) send(entry string, d scheduler.Decision) {
	if entry == a.Name {
		if d.Placement != nil {
			a.deliver(d.Placement)
		}
		if d.Move != nil {
			a.moveOwn(d.Move)
		}
		return
	}
	a.Enqueue(entry, func(m *messenger.LinkMessage) {
		if d.Placement != nil {
			m.Placements = append(m.Placements, d.Placement)
		}
		if d.Move != nil {
			m.Moves = append(m.Moves, d.Move)
		}
	})
}

// deliver passes a decision to the request that waits for it. There is none if the request
// was cancelled, which the decider learns from the cancellation, or if another host decided
// before, in which case the reports of the run say where it is. The lock is held.
func (a *Allocator) deliver(p *messenger.Placement) {
	r := a.pending[p.Run]
	if r == nil {
		return
	}
	delete(a.pending, p.Run)
	r.decided <- p
}

// handleMove passes a move order on. If the generation does not take it, handleMove reports that
// to the decider. The lock is held.
func (a *Allocator) handleMove(now time.Time, o *messenger.MoveOrder) {
	state := a.tryMove(now, o)
	if state == nil {
		return
	}
	if !a.sendToDecider(func(m *messenger.LinkMessage) { m.Runs = append(m.Runs, state) }) {
		a.sched.Report(now, a.Name, state)
	}
}

// moveOwn passes an order of this host's own scheduler on. The scheduler, which is at work, gets
// what tryMove returns only after that. The lock is held.
func (a *Allocator) moveOwn(o *messenger.MoveOrder) {
	state := a.tryMove(time.Now(), o)
	if state == nil {
		return
	}
	go func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.sched.Report(time.Now(), a.Name, state)
	}()
}

// tryMove passes a move order to its generation. If that does not take it, tryMove returns what
// to report: that the generation has ended, or that the move failed.
func (a *Allocator) tryMove(now time.Time, o *messenger.MoveOrder) *messenger.RunState {
	err := a.Move(o)
	if err == nil {
		return nil
	}
	a.Log.Emit(now, logger.RunMoveFailed, o.Run, logger.F("from", o.From), logger.F("to", o.To), logger.F("cause", err))
	if errors.Is(err, forwarder.ErrUnknownRun) {
		return &messenger.RunState{Run: o.Run, Phase: messenger.RunState_PHASE_ENDED}
	}
	return &messenger.RunState{Run: o.Run, Backend: o.From, Phase: messenger.RunState_PHASE_MOVE_FAILED, Released: !o.Copied}
}
