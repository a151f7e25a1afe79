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
	errPartitioned = errors.New("link is cut")
	fleetNow       = time.Unix(1_000_000_000, 0)
)

// fleet simulates entries with a common clock; their calls to each other may fail.
type fleet struct {
	r       *rand.Rand
	now     time.Time
	entries []*testEntry
	view    registrar.View
	// lossRate is the probability that a request or its reply is lost.
	lossRate float64
	// delayed are requests that arrive late, after newer ones.
	delayed []func()
	// granted are all accepted demands.
	granted []accepted
}

type accepted struct {
	at       time.Time
	requests float64
	tokens   float64
}

type testEntry struct {
	*Limiter
	name string
	// view is the entry's newest view, which control confirmed at confirmed.
	view      registrar.View
	confirmed time.Time
	// A partitioned entry exchanges no messages with other entries; one with controlLost
	// gets no views from control.
	partitioned, controlLost bool
	running                  []*Grant
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 1)), now: fleetNow}
	for i := range n {
		f.entries = append(f.entries, &testEntry{name: "entry-" + string(rune('a'+i))})
	}
	for _, e := range f.entries {
		f.restart(e)
	}
	f.publishView()
	return f
}

// restart starts a new incarnation of e; its running generations are lost.
func (f *fleet) restart(e *testEntry) {
	incarnation := uint64(1)
	if old, ok := f.view.Member(e.name); ok {
		incarnation = old.Incarnation + 1
	}
	f.view = f.view.WithMember(f.view.Index+1, registrar.Member{Name: e.name, Role: registrar.RoleEntry, Incarnation: incarnation})
	e.running = nil
	e.controlLost = false
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

// remove removes e from the view, whether it still runs or not.
func (f *fleet) remove(e *testEntry) {
	f.view = f.view.WithoutMember(f.view.Index+1, e.name)
}

// publishView sends the newest view to all entries that are connected to control.
func (f *fleet) publishView() {
	for _, e := range f.entries {
		if !e.controlLost {
			e.view, e.confirmed = f.view, f.now
		}
	}
}

// reach returns the entry with a name, and whether messages between it and from arrive.
func (f *fleet) reach(from *testEntry, name string) (*testEntry, bool) {
	for _, e := range f.entries {
		if e.name == name {
			return e, !from.partitioned && !e.partitioned
		}
	}
	return nil, false
}

func (f *fleet) lend(from *testEntry, name string, req *messenger.LendRequest) (*messenger.LendReply, error) {
	to, ok := f.reach(from, name)
	if !ok || f.r.Float64() < f.lossRate {
		if ok && f.r.IntN(2) == 0 {
			f.delayed = append(f.delayed, func() { to.ServeLend(f.now, req) })
		}
		return nil, errPartitioned
	}
	reply := to.ServeLend(f.now, req)
	if f.r.Float64() < f.lossRate {
		return nil, errPartitioned
	}
	return reply, nil
}

func (f *fleet) declare(from *testEntry, name string, req *messenger.DeclareRequest) (*messenger.DeclareReply, error) {
	to, ok := f.reach(from, name)
	if !ok {
		return nil, errPartitioned
	}
	return to.ServeDeclare(f.now, req), nil
}

// advance advances the clock by d, with a tick of all entries every defaultTick.
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
	f.publishView()
	for len(f.delayed) > 0 {
		f.delayed[0]()
		f.delayed = f.delayed[1:]
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

// tryAcquire attempts to take d at e, with at most one ask. It returns nil if d was not
// taken.
func (f *fleet) tryAcquire(e *testEntry, c registrar.Contract, d Demand) *Grant {
	need := amountsOf(d)
	s := e.lockSlice(c.Workspace)
	s.setContract(c.Number, c.Limits)
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

// releaseRandom ends a random generation that runs at e.
func (f *fleet) releaseRandom(e *testEntry) {
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

// worstExcess returns the largest excess, over all time windows, of the granted requests
// over rate times the window's length.
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

func homeOf(t *testing.T, f *fleet, workspace string) *testEntry {
	t.Helper()
	home, _ := newMembership(f.view).home(workspace)
	e, _ := f.reach(f.entries[0], home.Name)
	if e == nil {
		t.Fatalf("no home of %s", workspace)
	}
	return e
}
