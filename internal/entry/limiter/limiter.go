// Package limiter enforces the limits of each workspace's contract across all entries.
// One entry is the home of a workspace and lends slices of the limits, with a lease, to
// the entries that receive its requests. Such a borrower sends asks to the home, which
// answers each with a loan. When the home moves to another entry, all entries declare to
// it what they hold.
package limiter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

const (
	defaultLease       = 4 * time.Second
	defaultFreshness   = 3 * time.Second
	defaultWaitTimeout = time.Second
	defaultTick        = 100 * time.Millisecond
	// callTimeout bounds one call to another entry.
	callTimeout = 500 * time.Millisecond
	// maxWaiting bounds the requests of one workspace that wait for a loan here.
	maxWaiting = 1024
	// pollInterval is the time between asks while no home decides, and the least time
	// while other borrowers hold unused what is needed.
	pollInterval = 20 * time.Millisecond
	// shortageTTL is how long a refusal for levels (see amounts) is repeated without asking
	// the home again.
	shortageTTL = 100 * time.Millisecond
)

type (
	// Limiter enforces the limits at one entry, as a borrower and as a home. Its fields
	// are set before Run and first use.
	Limiter struct {
		// Name and Incarnation are this entry's, as in the view.
		Name        string
		Incarnation func() uint64
		// View returns the newest state of control that this entry has.
		View func() registrar.View
		// ConfirmedAt returns when control last confirmed that the view is the newest.
		// If nil, the view counts as always confirmed.
		ConfirmedAt func() time.Time
		// Lend and Declare call another entry.
		Lend    func(ctx context.Context, to registrar.Member, req *messenger.LendRequest) (*messenger.LendReply, error)
		Declare func(ctx context.Context, to registrar.Member, req *messenger.DeclareRequest) (*messenger.DeclareReply, error)
		// Lease is how long a loan is valid. It is the same at all entries. This and the
		// durations below are 0 for the defaults.
		Lease time.Duration
		// Freshness is how long after the last confirmation the entry still lends as a home.
		Freshness time.Duration
		// WaitTimeout is the longest time that a request waits for a loan.
		WaitTimeout time.Duration
		// Tick is how often unused loans are returned and leases are renewed.
		Tick time.Duration

		// slices maps a workspace to its *slice.
		slices sync.Map
		// sequences is the sequence number of the last ask or declaration.
		sequences atomic.Uint64
		ledger    ledger
		// members is replaced under membersMu.
		membersMu sync.Mutex
		members   atomic.Pointer[indexedMembership]
		// roundRunning is true during a declaration round; lastAgreed is the last round in
		// which all entries agreed.
		roundRunning atomic.Bool
		lastAgreed   atomic.Pointer[agreedRound]
		// Counters for metrics and measurements.
		asks, lendCalls, declareCalls atomic.Int64
	}

	// indexedMembership is the membership of the view with the given index.
	indexedMembership struct {
		index uint64
		*membership
		// since is when the membership last changed at this entry.
		since time.Time
	}

	// Stats are the limiter's counters.
	Stats struct {
		// Asks is the number of asks to homes, this entry included.
		Asks int64
		// LendCalls and DeclareCalls count the calls to other entries.
		LendCalls    int64
		DeclareCalls int64
		// Slices is the number of workspaces in use at this entry, Accounts the number
		// of those that it is the home of.
		Slices   int
		Accounts int
	}
)

// Acquire takes d from the limits of contract c, and returns either a grant or a refusal.
// It waits for a loan at most WaitTimeout, or until ctx ends.
func (l *Limiter) Acquire(ctx context.Context, now time.Time, c registrar.Contract, d Demand) (*Grant, *RefusedError) {
	if unlimited(c.Limits) {
		return &Grant{}, nil
	}
	if limit := inFlightLimit(c.Limits); limit > 0 && d.Generation {
		if d.PromptTokens > limit && !d.Resumed {
			return nil, &RefusedError{Limit: LimitInFlight}
		}
		d.ExpectedTokens = max(0, min(d.ExpectedTokens, limit-d.PromptTokens))
	}
	need := amountsOf(d)
	s := l.lockSlice(c.Workspace)
	s.setContract(c.Number, c.Limits)
	if (len(s.waiting) == 0 || d.Resumed) && s.take(now, need, d.Resumed) {
		s.mu.Unlock()
		return newGrant(s, need, d), nil
	}
	if refused := s.refuseEarly(now, need, l.waitTimeout()); refused != nil {
		s.mu.Unlock()
		return nil, refused
	}
	w := &waiter{need: need, wake: make(chan struct{}, 1)}
	s.enqueue(w)
	s.mu.Unlock()
	if refused := l.wait(ctx, now, s, w); refused != nil {
		return nil, refused
	}
	return newGrant(s, need, d), nil
}

// Run renews, returns and prunes loans every Tick, and starts declaration rounds, until
// ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.tick())
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			l.prune(now)
			l.renew(ctx, now, &wg)
			l.recover(ctx, now, &wg)
		}
	}
}

// Stats returns the counters so far.
func (l *Limiter) Stats() Stats {
	stats := Stats{Asks: l.asks.Load(), LendCalls: l.lendCalls.Load(), DeclareCalls: l.declareCalls.Load()}
	l.slices.Range(func(_, _ any) bool {
		stats.Slices++
		return true
	})
	stats.Accounts = l.ledger.size()
	return stats
}

// membership returns the live entries of the newest view. On a change of entries it
// gives up the accounts that moved to other homes.
func (l *Limiter) membership(now time.Time) *indexedMembership {
	view := l.View()
	if m := l.members.Load(); m != nil && m.index >= view.Index {
		return m
	}
	l.membersMu.Lock()
	defer l.membersMu.Unlock()
	old := l.members.Load()
	if old != nil && old.index >= view.Index {
		return old
	}
	next := &indexedMembership{index: view.Index, membership: newMembership(view), since: now}
	if old != nil && old.hash == next.hash {
		next.membership, next.since = old.membership, old.since
	} else {
		l.ledger.retireMoved(now, l.Name, next.membership)
	}
	l.members.Store(next)
	return next
}

// lockSlice returns the slice of a workspace, locked.
func (l *Limiter) lockSlice(workspace string) *slice {
	for {
		value, ok := l.slices.Load(workspace)
		if !ok {
			value, _ = l.slices.LoadOrStore(workspace, &slice{workspace: workspace, sequences: &l.sequences})
		}
		s := value.(*slice) //nolint:forcetypeassert // only slices are stored
		s.mu.Lock()
		if !s.closed {
			return s
		}
		s.mu.Unlock()
		l.slices.CompareAndDelete(workspace, s)
	}
}

// wait blocks until w, which is in the queue of s, has taken its need or is refused.
func (l *Limiter) wait(ctx context.Context, now time.Time, s *slice, w *waiter) *RefusedError {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.waitTimeout())
	defer cancel()
	for {
		at := now.Add(time.Since(start))
		s.mu.Lock()
		first := s.waiting[0] == w
		if first && s.take(at, w.need, false) {
			s.dequeue(w)
			s.mu.Unlock()
			return nil
		}
		if ctx.Err() != nil {
			refused := s.refusal(at)
			s.dequeue(w)
			s.mu.Unlock()
			return refused
		}
		queued := s.queuedNeed
		s.mu.Unlock()
		if !first {
			pause(ctx, w, l.waitTimeout())
			continue
		}
		next, refused := l.borrow(ctx, at, s, w.need, queued)
		if refused == nil {
			pause(ctx, w, next)
			continue
		}
		s.mu.Lock()
		s.dequeue(w)
		s.mu.Unlock()
		return refused
	}
}

// borrow sends one ask for need to the home, unless another one is in flight. queued is the
// need of all waiting requests, need included. It returns the time until the next attempt,
// or a refusal.
func (l *Limiter) borrow(ctx context.Context, now time.Time, s *slice, need, queued amounts) (time.Duration, *RefusedError) {
	ask := s.ask(now, need, queued)
	if ask == nil {
		return time.Millisecond, nil
	}
	start := time.Now()
	loan := l.send(ctx, now, []*messenger.Ask{ask})[0]
	now, sent := now.Add(time.Since(start)), now
	s.apply(now, sent, ask.GetSequence(), loan)
	retryAfter := time.Duration(loan.GetRetryAfterNanos())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordShortage(now, loan, need)
	switch {
	case !answered(loan), loan.GetStatus() == messenger.LoanStatus_LOAN_STATUS_RECOVERING:
		return pollInterval, nil
	case loan.GetElsewhere():
		return max(retryAfter, pollInterval), nil
	case loan.GetStatus() == messenger.LoanStatus_LOAN_STATUS_LENT:
		return 0, nil
	}
	if deadline, ok := ctx.Deadline(); ok && retryAfter > time.Until(deadline) {
		return 0, s.refusal(now)
	}
	return retryAfter, nil
}

// pause waits until w is signaled, d has passed or ctx ends.
func pause(ctx context.Context, w *waiter, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-timer.C:
	}
}

func newGrant(s *slice, need amounts, d Demand) *Grant {
	g := &Grant{slice: s, levels: levelsOf(need)}
	if d.Generation {
		g.reserved = d.ExpectedTokens
	}
	return g
}

func (l *Limiter) freshness() time.Duration   { return orDefault(l.Freshness, defaultFreshness) }
func (l *Limiter) lease() time.Duration       { return orDefault(l.Lease, defaultLease) }
func (l *Limiter) waitTimeout() time.Duration { return orDefault(l.WaitTimeout, defaultWaitTimeout) }
func (l *Limiter) tick() time.Duration        { return orDefault(l.Tick, defaultTick) }

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}
