package limiter

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// countAcquired returns how many of n demands e accepts now.
func (f *fleet) countAcquired(e *testEntry, c registrar.Contract, d Demand, n int) int {
	taken := 0
	for range n {
		if f.tryAcquire(e, c, d) != nil {
			taken++
		}
	}
	return taken
}

// readyFleet returns a fleet of n entries whose clock is past Freshness and Lease, so that
// new homes lend at once.
func readyFleet(n int) *fleet {
	f := newFleet(3, n)
	f.advance(defaultFreshness + defaultLease + time.Second)
	return f
}

func otherEntry(f *fleet, except ...*testEntry) *testEntry {
	for _, e := range f.entries {
		eligible := true
		for _, excluded := range except {
			eligible = eligible && e != excluded
		}
		if eligible {
			return e
		}
	}
	return nil
}

func TestRemovedHomeStopsLending(t *testing.T) {
	f := readyFleet(3)
	c := contractOf(registrar.Limits{RequestsPerSecond: 10})
	home := homeOf(t, f, c.Workspace)
	f.remove(home)
	home.controlLost, home.partitioned = true, true
	f.advance(defaultFreshness / 2)
	if f.countAcquired(home, c, Demand{}, 1) != 1 {
		t.Error("a recently confirmed home lent nothing")
	}
	f.advance(defaultFreshness)
	if n := f.countAcquired(home, c, Demand{}, 10); n != 0 {
		t.Errorf("an unconfirmed home lent %d requests", n)
	}
}

func TestHomesLendWithoutControlWhileEntriesConfirmMembership(t *testing.T) {
	f := readyFleet(3)
	c := contractOf(registrar.Limits{RequestsPerSecond: 10})
	home := homeOf(t, f, c.Workspace)
	f.countAcquired(home, c, Demand{}, 1)
	for _, e := range f.entries {
		e.controlLost = true
	}
	for range 20 {
		f.advance(time.Second)
		if n := f.countAcquired(otherEntry(f, home), c, Demand{}, 5); n != 5 {
			t.Fatalf("without control, %d of 5 requests were lent", n)
		}
	}
	f.entries[0].partitioned = true
	f.entries[1].partitioned = true
	f.advance(2 * defaultFreshness)
	if n := f.countAcquired(home, c, Demand{}, 10); n != 0 {
		t.Errorf("without control or reachable peers the home lent %d requests, want 0", n)
	}
}

func TestNewHomeWaitsForLeasesOfUnreachableEntry(t *testing.T) {
	f := readyFleet(3)
	c := contractOf(registrar.Limits{RequestsPerSecond: 10, ConcurrentGenerations: 4})
	home := homeOf(t, f, c.Workspace)
	borrower := otherEntry(f, home)
	if f.tryAcquire(borrower, c, Demand{Generation: true}) == nil {
		t.Fatal("nothing lent at first")
	}
	f.remove(home)
	f.publishView()
	next := homeOf(t, f, c.Workspace)
	unreachable := otherEntry(f, home, next)
	unreachable.partitioned = true
	for waited := time.Duration(0); waited < defaultFreshness+defaultLease-defaultTick; waited += defaultTick {
		if f.countAcquired(next, c, Demand{}, 1) != 0 {
			t.Fatalf("the new home lent after %s, before the loans of the unreachable entry expired", waited)
		}
		f.advance(defaultTick)
	}
	f.advance(2 * defaultTick)
	if n := f.countAcquired(next, c, Demand{}, 10); n > 3 {
		t.Errorf("the new home started with %d requests instead of an empty bucket", n)
	}
	f.advance(time.Second)
	if n := f.countAcquired(next, c, Demand{}, 20); n < 8 || n > 12 {
		t.Errorf("a second later the new home lent %d requests of 10 a second", n)
	}
}

func TestNewHomeLendsOnceAllEntriesDeclared(t *testing.T) {
	f := readyFleet(3)
	c := contractOf(registrar.Limits{ConcurrentGenerations: 4})
	home := homeOf(t, f, c.Workspace)
	borrower := otherEntry(f, home)
	if n := f.countAcquired(borrower, c, Demand{Generation: true}, 3); n != 3 {
		t.Fatalf("%d of 3 lent", n)
	}
	f.remove(home)
	f.publishView()
	next := homeOf(t, f, c.Workspace)
	f.countAcquired(next, c, Demand{Generation: true}, 1)
	f.advance(3 * defaultTick)
	if n := f.countAcquired(next, c, Demand{Generation: true}, 4); n != 1 {
		t.Errorf("the new home lent %d generations while 3 of 4 run, want 1", n)
	}
}

func TestMovedBucketKeepsItsTokens(t *testing.T) {
	f := readyFleet(2)
	c := contractOf(registrar.Limits{RequestsPerSecond: 100})
	home := homeOf(t, f, c.Workspace)
	if n := f.countAcquired(home, c, Demand{}, 100); n != 100 {
		t.Fatalf("%d of 100 lent", n)
	}
	for homeOf(t, f, c.Workspace) == home {
		e := &testEntry{name: "entry-" + string(rune('c'+len(f.entries)))}
		f.entries = append(f.entries, e)
		f.restart(e)
	}
	f.publishView()
	next := homeOf(t, f, c.Workspace)
	f.countAcquired(next, c, Demand{}, 1)
	f.advance(2 * defaultTick)
	if n := f.countAcquired(next, c, Demand{}, 100); n > 30 {
		t.Errorf("%d requests lent 200 ms after the bucket was empty, at 100 a second", n)
	}
}

func TestLoansEndWithLeaseDeclarationOrContract(t *testing.T) {
	limits := registrar.Limits{RequestsPerSecond: 10, TokensPerSecond: 1000, ConcurrentGenerations: 5, TokensInFlight: 500}
	s := &slice{workspace: "w", sequences: &readyFleet(1).entries[0].sequences, limits: limits}
	need := amounts{requests: 1, tokens: 10, generations: 1, inFlight: 10}
	loan := &messenger.Loan{
		Status:     messenger.LoanStatus_LOAN_STATUS_LENT,
		LeaseNanos: int64(time.Second),
		Granted:    amounts{requests: 3, tokens: 30, generations: 3, inFlight: 30}.encode(),
	}
	lend := func(now time.Time) {
		ask := s.ask(now, need, need)
		s.apply(now, now, ask.GetSequence(), loan)
	}
	lend(fleetNow)
	if !s.take(fleetNow.Add(999*time.Millisecond), need, false) {
		t.Error("not taken within the lease")
	}
	if s.take(fleetNow.Add(time.Second), need, false) {
		t.Error("taken after the lease")
	}
	if s.used.generations != 1 || s.held.generations != 1 {
		t.Errorf("used %d, held %d after the lease, want 1 and 1", s.used.generations, s.held.generations)
	}
	rate := amounts{requests: 1, tokens: 10}
	lend(fleetNow)
	if !s.take(fleetNow.Add(999*time.Millisecond), rate, false) {
		t.Error("rate not taken within the lease")
	}
	if s.take(fleetNow.Add(time.Second), rate, false) {
		t.Error("rate taken after the lease")
	}
	unansweredAsk := s.ask(fleetNow, need, need)
	s.declaration(fleetNow)
	s.apply(fleetNow, fleetNow, unansweredAsk.GetSequence(), loan)
	if s.take(fleetNow, need, false) {
		t.Error("taken from a loan that arrived after the slice was declared to another home")
	}
	lend(fleetNow)
	s.setContract(2, limits)
	if s.take(fleetNow, need, false) {
		t.Error("taken under a contract that was replaced")
	}
	ask := s.ask(fleetNow, need, need)
	s.setContract(3, limits)
	s.apply(fleetNow, fleetNow, ask.GetSequence(), loan)
	if s.take(fleetNow, need, false) {
		t.Error("taken from a loan under a contract that was replaced while the ask was in flight")
	}
}

func TestChangedContractAppliesAtOnce(t *testing.T) {
	f := readyFleet(3)
	c := contractOf(registrar.Limits{RequestsPerSecond: 1000, ConcurrentGenerations: 100})
	for _, e := range f.entries {
		if n := f.countAcquired(e, c, Demand{Generation: true}, 10); n != 10 {
			t.Fatalf("%d of 10 lent", n)
		}
	}
	c.Number, c.Limits = 2, registrar.Limits{RequestsPerSecond: 1000, ConcurrentGenerations: 32}
	taken := 0
	for _, e := range f.entries {
		taken += f.countAcquired(e, c, Demand{Generation: true}, 10)
	}
	if taken > 2 {
		t.Errorf("%d further generations lent while 30 of 32 run, want at most 2", taken)
	}
	c.Number, c.Limits = 3, registrar.Limits{}
	grant, refused := f.entries[0].Acquire(context.Background(), f.now, c, Demand{Generation: true})
	if refused != nil || grant == nil {
		t.Errorf("without limits: refusal %v, want a grant", refused)
	}
	grant.Spend(f.now, 10)
	grant.Release(f.now)
}

func TestTokenDebtBlocksRequests(t *testing.T) {
	f := readyFleet(3)
	c := contractOf(registrar.Limits{TokensPerSecond: 1000, TokensInFlight: 10_000})
	home := homeOf(t, f, c.Workspace)
	e := otherEntry(f, home)
	g := f.tryAcquire(e, c, Demand{Generation: true, PromptTokens: 100, ExpectedTokens: 500})
	if g == nil {
		t.Fatal("not lent")
	}
	g.Spend(f.now, 3900)
	f.tick()
	// The bucket held 1000 tokens; 100 and 3900 were taken. The debt of 3000 tokens is 3 s
	// of the rate, and the next request needs 100 tokens more.
	for _, entry := range []*testEntry{e, home, otherEntry(f, home, e)} {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, refused := entry.Acquire(ctx, f.now, c, Demand{Generation: true, PromptTokens: 100})
		if refused == nil {
			t.Fatalf("%s: a request was lent during a debt", entry.name)
		}
	}
	f.advance(3 * time.Second)
	if f.countAcquired(home, c, Demand{Generation: true, PromptTokens: 100}, 1) != 0 {
		t.Error("lent before the debt was paid")
	}
	f.advance(200 * time.Millisecond)
	if f.countAcquired(home, c, Demand{Generation: true, PromptTokens: 100}, 1) != 1 {
		t.Error("not lent after the debt was paid")
	}
	if s := e.lockSlice(c.Workspace); s.used.inFlight != 100+3900 {
		t.Errorf("%d tokens in flight, want 4000", s.used.inFlight)
	} else {
		s.mu.Unlock()
	}
	g.Release(f.now)
	g.Release(f.now)
	if s := e.lockSlice(c.Workspace); s.used != (amounts{}) {
		t.Errorf("%+v in use after the release", s.used)
	} else {
		s.mu.Unlock()
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name           string
		limits         registrar.Limits
		acquiredBefore int
		d              Demand
		want           Limit
		maxRetryAfter  time.Duration
	}{
		{"requests", registrar.Limits{RequestsPerSecond: 0.5}, 1, Demand{}, LimitRequests, 2 * time.Second},
		{"generations", registrar.Limits{ConcurrentGenerations: 1}, 1, Demand{Generation: true}, LimitGenerations, maxReleaseWait},
		{"tokens", registrar.Limits{TokensPerSecond: 10}, 1, Demand{Generation: true, PromptTokens: 50}, LimitTokens, 5 * time.Second},
		{"tokens in flight", registrar.Limits{TokensInFlight: 60}, 1, Demand{Generation: true, PromptTokens: 50}, LimitInFlight, maxReleaseWait},
		{"never", registrar.Limits{TokensInFlight: 60}, 0, Demand{Generation: true, PromptTokens: 61}, LimitInFlight, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := readyFleet(3)
			c := contractOf(tt.limits)
			e := otherEntry(f, homeOf(t, f, c.Workspace))
			if n := f.countAcquired(e, c, tt.d, tt.acquiredBefore); n != tt.acquiredBefore {
				t.Fatalf("%d of %d lent before", n, tt.acquiredBefore)
			}
			_, refused := e.Acquire(context.Background(), f.now, c, tt.d)
			if refused == nil {
				t.Fatal("not refused")
			}
			if refused.Limit != tt.want || refused.RetryAfter > tt.maxRetryAfter || tt.maxRetryAfter > 0 && refused.RetryAfter < minRetryAfter {
				t.Errorf("refused for %s after %s, want %s within %s", refused.Limit, refused.RetryAfter, tt.want, tt.maxRetryAfter)
			}
			if tt.want != LimitRequests && tt.want != LimitTokens {
				return
			}
			f.advance(refused.RetryAfter - time.Millisecond)
			if f.countAcquired(e, c, tt.d, 1) != 0 {
				t.Error("lent before Retry-After")
			}
			f.advance(2 * time.Millisecond)
			if f.countAcquired(e, c, tt.d, 1) != 1 {
				t.Error("not lent after Retry-After")
			}
		})
	}
}

func TestUnreachableHomeRefusesAllButResumed(t *testing.T) {
	f := readyFleet(3)
	c := contractOf(registrar.Limits{RequestsPerSecond: 10})
	home := homeOf(t, f, c.Workspace)
	home.partitioned = true
	e := otherEntry(f, home)
	e.WaitTimeout = 30 * time.Millisecond
	_, refused := e.Acquire(context.Background(), f.now, c, Demand{})
	if refused == nil || refused.Limit != LimitUnreachable || refused.RetryAfter <= 0 {
		t.Errorf("got %v, want a refusal for %s", refused, LimitUnreachable)
	}
	grant, refused := e.Acquire(context.Background(), f.now, c, Demand{Resumed: true, Generation: true})
	if refused != nil {
		t.Errorf("a resumed generation was refused: %v", refused)
	}
	grant.Release(f.now)
}

// TestConcurrentCallersStayWithinLimit has 60 goroutines compete for 3 generations.
func TestConcurrentCallersStayWithinLimit(t *testing.T) {
	f := newFleet(1, 1)
	e := f.entries[0]
	e.ConfirmedAt = nil
	e.WaitTimeout = 30 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var runLoop sync.WaitGroup
	runLoop.Go(func() { _ = e.Run(ctx) })
	c := contractOf(registrar.Limits{ConcurrentGenerations: 3, TokensInFlight: 300})
	var mu sync.Mutex
	peak, current := 0, 0
	var callers sync.WaitGroup
	for range 60 {
		callers.Go(func() {
			grant, refused := e.Acquire(ctx, time.Now(), c, Demand{Generation: true, PromptTokens: 40, ExpectedTokens: 40})
			if refused != nil {
				t.Errorf("refused: %v", refused)
				return
			}
			mu.Lock()
			current++
			peak = max(peak, current)
			mu.Unlock()
			grant.Spend(time.Now(), 50)
			mu.Lock()
			current--
			mu.Unlock()
			grant.Release(time.Now())
		})
	}
	callers.Wait()
	cancel()
	runLoop.Wait()
	if peak > 3 {
		t.Errorf("%d generations at once, limit 3", peak)
	}
}

func TestIdleWorkspacesArePruned(t *testing.T) {
	f := readyFleet(3)
	c := contractOf(registrar.Limits{RequestsPerSecond: 10, ConcurrentGenerations: 5})
	e := otherEntry(f, homeOf(t, f, c.Workspace))
	f.tryAcquire(e, c, Demand{Generation: true})
	f.releaseRandom(e)
	f.advance(3 * defaultLease)
	for _, e := range f.entries {
		if stats := e.Stats(); stats.Slices != 0 || stats.Accounts != 0 {
			t.Errorf("%s keeps %d slices and %d accounts", e.name, stats.Slices, stats.Accounts)
		}
	}
	asks := e.Stats().Asks
	f.advance(time.Minute)
	if n := e.Stats().Asks - asks; n != 0 {
		t.Errorf("%d asks for an idle workspace", n)
	}
}

func TestNewRateDoesNotApplyToThePast(t *testing.T) {
	at := time.Unix(1000, 0)
	b := bucket{rate: 1, content: -10, at: at}
	later := at.Add(2 * time.Second)
	if got := b.withRate(later, 100).refilled(later).content; got != -8 {
		t.Errorf("the bucket holds %v after two seconds at a rate of 1, want -8", got)
	}
}
