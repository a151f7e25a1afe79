// Package limiter keeps each workspace within the limits of its contract, the
// same whatever the number of entries. One entry is the home of a workspace and
// lends slices of the limits, with a lease, to the entries that see its traffic.
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
	defaultLease     = 4 * time.Second
	defaultFreshness = 3 * time.Second
	defaultPatience  = time.Second
	defaultTick      = 100 * time.Millisecond
	callTimeout      = 500 * time.Millisecond
	// maxWaiting bounds the requests of one workspace that wait for a loan here.
	maxWaiting = 1024
	// pollInterval is the wait between asks while what is needed lies elsewhere.
	pollInterval = 20 * time.Millisecond
	// rememberShort bounds how long a refusal for levels is repeated without asking again.
	rememberShort = 100 * time.Millisecond
)

type (
	// Limiter is an entry's part in sharing the limits. Its fields are set before
	// Run and first use.
	Limiter struct {
		// Name and Incarnation are this entry's, as in the view.
		Name        string
		Incarnation func() uint64
		// View returns the newest agreed state.
		View func() registrar.View
		// ConfirmedAt tells when control last confirmed that the view is the newest.
		// Nil stands for always.
		ConfirmedAt func() time.Time
		// Lend and Declare carry a request to another entry.
		Lend    func(ctx context.Context, to registrar.Member, req *messenger.LendRequest) (*messenger.LendReply, error)
		Declare func(ctx context.Context, to registrar.Member, req *messenger.DeclareRequest) (*messenger.DeclareReply, error)
		// Lease is how long lent slices last. It is the same at all entries.
		Lease time.Duration
		// Freshness is how long after the last confirmation the entry goes on as a home.
		Freshness time.Duration
		// Patience is how long a request may wait for a loan.
		Patience time.Duration
		// Tick is how often idle slices go back and leases are renewed.
		Tick time.Duration

		// slices by workspace.
		slices    sync.Map
		sequences atomic.Uint64
		book      book
		// viewIndex and members belong together; they change under membersMu.
		membersMu sync.Mutex
		members   atomic.Pointer[viewed]
		// hearing is true while the other entries are being asked; agreed is the last round
		// in which all of them agreed.
		hearing atomic.Bool
		agreed  atomic.Pointer[hearing]
		// Counters for metrics and measurements.
		asks, lendCalls, declareCalls atomic.Int64
	}

	viewed struct {
		index uint64
		*membership
		// since is when the list of live entries last changed here.
		since time.Time
	}

	// Stats counts what the limiter did.
	Stats struct {
		// Asks are asks made to homes, this entry included.
		Asks int64
		// LendCalls and DeclareCalls are messages sent to other entries.
		LendCalls    int64
		DeclareCalls int64
		// Slices and Accounts are workspaces in use here, and those kept as their home.
		Slices   int
		Accounts int
	}
)

// Acquire takes d from the limits of contract c. It waits for at most Patience and
// until ctx ends; a refused request did not run.
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
	s.follow(c.Number, c.Limits)
	if (len(s.waiting) == 0 || d.Resumed) && s.take(now, need, d.Resumed) {
		s.mu.Unlock()
		return newGrant(s, need, d), nil
	}
	if refused := s.hopeless(now, need, l.patience()); refused != nil {
		s.mu.Unlock()
		return nil, refused
	}
	w := &waiter{need: need, wake: make(chan struct{}, 1)}
	s.join(w)
	s.mu.Unlock()
	if refused := l.wait(ctx, now, s, w); refused != nil {
		return nil, refused
	}
	return newGrant(s, need, d), nil
}

// Run renews, returns and prunes until ctx ends.
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
	stats.Accounts = l.book.size()
	return stats
}

// membership returns the live entries, and follows the view when it changed.
func (l *Limiter) membership(now time.Time) *viewed {
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
	next := &viewed{index: view.Index, membership: newMembership(view), since: now}
	if old != nil && old.hash == next.hash {
		next.membership, next.since = old.membership, old.since
	} else {
		l.book.move(now, l.Name, next.membership)
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

// wait lets w wait in line until it has its loan or is refused.
func (l *Limiter) wait(ctx context.Context, now time.Time, s *slice, w *waiter) *RefusedError {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.patience())
	defer cancel()
	for {
		at := now.Add(time.Since(start))
		s.mu.Lock()
		first := s.waiting[0] == w
		if first && s.take(at, w.need, false) {
			s.leave(w)
			s.mu.Unlock()
			return nil
		}
		if ctx.Err() != nil {
			refused := s.refusal(at)
			s.leave(w)
			s.mu.Unlock()
			return refused
		}
		queued := s.line
		s.mu.Unlock()
		if !first {
			pause(ctx, w, l.patience())
			continue
		}
		next, refused := l.borrow(ctx, at, s, w.need, queued)
		if refused == nil {
			pause(ctx, w, next)
			continue
		}
		s.mu.Lock()
		s.leave(w)
		s.mu.Unlock()
		return refused
	}
}

// borrow asks the home once. It returns when to look again, or a refusal.
func (l *Limiter) borrow(ctx context.Context, now time.Time, s *slice, need, queued amounts) (time.Duration, *RefusedError) {
	ask := s.ask(now, need, queued)
	if ask == nil {
		return time.Millisecond, nil
	}
	start := time.Now()
	loan := l.send(ctx, now, []*messenger.Ask{ask})[0]
	now, sent := now.Add(time.Since(start)), now
	s.apply(now, sent, ask.GetSequence(), loan)
	short := time.Duration(loan.GetRetryAfterNanos())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteShort(now, loan, need)
	switch {
	case !answered(loan), loan.GetStatus() == messenger.LoanStatus_LOAN_STATUS_RECOVERING:
		return pollInterval, nil
	case loan.GetElsewhere():
		return max(short, pollInterval), nil
	case loan.GetStatus() == messenger.LoanStatus_LOAN_STATUS_LENT:
		return 0, nil
	}
	if deadline, ok := ctx.Deadline(); ok && short > time.Until(deadline) {
		return 0, s.refusal(now)
	}
	return short, nil
}

// pause waits for the first of a signal to w, d, and the end of ctx.
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

func (l *Limiter) freshness() time.Duration { return orDefault(l.Freshness, defaultFreshness) }
func (l *Limiter) lease() time.Duration     { return orDefault(l.Lease, defaultLease) }
func (l *Limiter) patience() time.Duration  { return orDefault(l.Patience, defaultPatience) }
func (l *Limiter) tick() time.Duration      { return orDefault(l.Tick, defaultTick) }

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}
