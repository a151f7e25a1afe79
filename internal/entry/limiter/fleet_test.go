package limiter

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

var (
	errCut   = errors.New("link is cut")
	fleetNow = time.Unix(1_000_000_000, 0)
)

// fleet is a number of entries under one clock, joined by function calls that may fail.
type fleet struct {
	r       *rand.Rand
	now     time.Time
	entries []*node
	view    registrar.View
	// lossy is the chance that a request or its answer is lost.
	lossy float64
	// held are requests that arrive late, after newer ones.
	held []func()
	// granted are the times and sizes of all accepted demands.
	granted []accepted
}

type accepted struct {
	at       time.Time
	requests float64
	tokens   float64
}

type node struct {
	*Limiter
	name string
	// view is what this node has heard of, at confirmed.
	view      registrar.View
	confirmed time.Time
	// cut nodes exchange nothing with other entries; deaf ones hear no news of control.
	cut, deaf bool
	running   []*Grant
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 1)), now: fleetNow}
	for i := range n {
		f.entries = append(f.entries, &node{name: "entry-" + string(rune('a'+i))})
	}
	for _, e := range f.entries {
		f.restart(e)
	}
	f.tell()
	return f
}

// restart begins a new incarnation of e; its generations are lost with it.
func (f *fleet) restart(e *node) {
	incarnation := uint64(1)
	if old, ok := f.view.Member(e.name); ok {
		incarnation = old.Incarnation + 1
	}
	f.view = f.view.WithMember(f.view.Index+1, registrar.Member{Name: e.name, Role: registrar.RoleEntry, Incarnation: incarnation})
	e.running = nil
	e.deaf = false
	e.view, e.confirmed = f.view, f.now
	e.Limiter = &Limiter{
		Name:        e.name,
		Incarnation: func() uint64 { return incarnation },
		View:        func() registrar.View { return e.view },
		ConfirmedAt: func() time.Time { return e.confirmed },
		Lend: func(_ context.Context, to registrar.Member, req *messenger.LendRequest) (*messenger.LendReply, error) {
			return f.lend(e, to.Name, req)
		},
		Declare: func(_ context.Context, to registrar.Member, req *messenger.DeclareRequest) (*messenger.DeclareReply, error) {
			return f.declare(e, to.Name, req)
		},
	}
}

// remove takes e out of the agreed state, whether it still runs or not.
func (f *fleet) remove(e *node) {
	f.view = f.view.WithoutMember(f.view.Index+1, e.name)
}

// tell brings the newest state to all that hear control.
func (f *fleet) tell() {
	for _, e := range f.entries {
		if !e.deaf {
			e.view, e.confirmed = f.view, f.now
		}
	}
}

func (f *fleet) reach(from *node, name string) (*node, bool) {
	for _, e := range f.entries {
		if e.name == name {
			return e, !from.cut && !e.cut
		}
	}
	return nil, false
}

func (f *fleet) lend(from *node, name string, req *messenger.LendRequest) (*messenger.LendReply, error) {
	to, ok := f.reach(from, name)
	if !ok || f.r.Float64() < f.lossy {
		if ok && f.r.IntN(2) == 0 {
			f.held = append(f.held, func() { to.ServeLend(f.now, req) })
		}
		return nil, errCut
	}
	reply := to.ServeLend(f.now, req)
	if f.r.Float64() < f.lossy {
		return nil, errCut
	}
	return reply, nil
}

func (f *fleet) declare(from *node, name string, req *messenger.DeclareRequest) (*messenger.DeclareReply, error) {
	to, ok := f.reach(from, name)
	if !ok {
		return nil, errCut
	}
	return to.ServeDeclare(f.now, req), nil
}

// advance lets d pass, with the ticks and the news that come in it.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		step := min(defaultTick, end.Sub(f.now))
		f.now = f.now.Add(step)
		if step < defaultTick {
			return
		}
		f.tick()
	}
}

func (f *fleet) tick() {
	f.tell()
	for len(f.held) > 0 {
		f.held[0]()
		f.held = f.held[1:]
	}
	for _, e := range f.entries {
		var wg sync.WaitGroup
		e.prune(f.now)
		e.renew(context.Background(), f.now, &wg)
		wg.Wait()
		e.recover(context.Background(), f.now, &wg)
		wg.Wait()
	}
}

// try makes one attempt to take d at e, with one ask where something is lacking.
func (f *fleet) try(e *node, c registrar.Contract, d Demand) *Grant {
	need := amountsOf(d)
	s := e.lockSlice(c.Workspace)
	s.follow(c.Number, c.Limits)
	ok := s.take(f.now, need, d.Resumed)
	s.mu.Unlock()
	if !ok {
		e.borrow(context.Background(), f.now, s, need, need)
		s.mu.Lock()
		ok = s.take(f.now, need, false)
		s.mu.Unlock()
	}
	if !ok {
		return nil
	}
	f.granted = append(f.granted, accepted{f.now, need.requests, need.tokens})
	g := newGrant(s, need, d)
	if d.Generation {
		e.running = append(e.running, g)
	}
	return g
}

// end releases a random generation that runs at e.
func (f *fleet) end(e *node) {
	if len(e.running) == 0 {
		return
	}
	i := f.r.IntN(len(e.running))
	e.running[i].Release(f.now)
	e.running = append(e.running[:i], e.running[i+1:]...)
}

func (f *fleet) running() int {
	n := 0
	for _, e := range f.entries {
		n += len(e.running)
	}
	return n
}

// worstExcess is the most by which any window's granted requests pass rate times the window.
func (f *fleet) worstExcess(rate float64) float64 {
	worst, excess := 0.0, 0.0
	var last time.Time
	for i, g := range f.granted {
		if i > 0 {
			excess = max(0, excess-rate*g.at.Sub(last).Seconds())
		}
		last = g.at
		excess += g.requests
		worst = max(worst, excess)
	}
	return worst
}

func contractOf(limits registrar.Limits) registrar.Contract {
	return registrar.Contract{Workspace: "riga-choir", Number: 1, Limits: limits}
}

func homeOf(t *testing.T, f *fleet, workspace string) *node {
	t.Helper()
	home, _ := newMembership(f.view).home(workspace)
	e, _ := f.reach(f.entries[0], home.Name)
	if e == nil {
		t.Fatalf("no home of %s", workspace)
	}
	return e
}
