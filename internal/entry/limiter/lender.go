package limiter

import (
	"context"
	"sync"
	"time"

	"verbenareach/internal/wire/messenger"
)

// agreedRound is a declaration round in which all live entries had the same membership.
type agreedRound struct {
	hash      uint64
	startedAt time.Time
}

// ServeDeclare answers the declaration request of a home at now: with the loans that
// this entry holds and the accounts that it gave up, or, if req.Confirm is set, only
// with whether both have the same membership.
func (l *Limiter) ServeDeclare(now time.Time, req *messenger.DeclareRequest) *messenger.DeclareReply {
	m := l.membership(now)
	reply := &messenger.DeclareReply{Entry: l.Name, Incarnation: l.Incarnation()}
	if m.hash != req.GetEntries() {
		return reply
	}
	reply.Agreed = true
	if req.GetConfirm() {
		return reply
	}
	l.slices.Range(func(_, value any) bool {
		s := value.(*slice) //nolint:forcetypeassert // only slices are stored
		if home, _ := m.home(s.workspace); home.Name != req.GetHome() {
			return true
		}
		if d := s.declaration(now); levelsOf(decodeAmounts(d.GetHeld())) != (amounts{}) {
			reply.Declared = append(reply.Declared, d)
		}
		return true
	})
	reply.Declared = append(reply.Declared, l.ledger.formerAccounts(now, req.GetHome(), m.membership)...)
	return reply
}

// ServeLend answers the asks of another entry at now.
func (l *Limiter) ServeLend(now time.Time, req *messenger.LendRequest) *messenger.LendReply {
	m := l.membership(now)
	t := l.terms(now, m)
	incarnation, live := m.incarnation(req.GetBorrower())
	// An entry that is not or no longer in this view gets loans once both views agree.
	accepted := live && incarnation == req.GetIncarnation() && l.confirmedHome(now)
	reply := &messenger.LendReply{}
	for _, ask := range req.GetAsks() {
		home, _ := m.home(ask.GetWorkspace())
		if !accepted || home.Name != l.Name {
			reply.Loans = append(reply.Loans, &messenger.Loan{Status: messenger.LoanStatus_LOAN_STATUS_NOT_HOME})
			continue
		}
		reply.Loans = append(reply.Loans, l.ledger.lend(now, t, req.GetBorrower(), req.GetIncarnation(), ask))
	}
	return reply
}

// collectDeclarations runs one declaration round with all live entries. If one of them
// doesn't agree, the next tick starts another round. With confirm, the round only checks
// that all have the same membership.
func (l *Limiter) collectDeclarations(ctx context.Context, now time.Time, m *indexedMembership, confirm bool) {
	start := time.Now()
	var wg sync.WaitGroup
	replies := make([]*messenger.DeclareReply, len(m.entries))
	for i, e := range m.entries {
		if e.Name == l.Name {
			replies[i] = l.ServeDeclare(now, &messenger.DeclareRequest{Home: l.Name, Entries: m.hash, Confirm: confirm})
			continue
		}
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			l.declareCalls.Add(1)
			reply, err := l.Declare(callCtx, e.Member, &messenger.DeclareRequest{Home: l.Name, Entries: m.hash, Confirm: confirm})
			if err == nil {
				replies[i] = reply
			}
		})
	}
	wg.Wait()
	startedAt := now
	now = now.Add(time.Since(start))
	if l.membership(now).hash != m.hash {
		return
	}
	t := l.terms(now, m)
	allAgreed := true
	for _, reply := range replies {
		allAgreed = allAgreed && reply.GetAgreed()
		l.ledger.declare(now, t, reply)
	}
	if !allAgreed {
		return
	}
	l.lastAgreed.Store(&agreedRound{hash: m.hash, startedAt: startedAt})
	if !confirm {
		l.ledger.openAll(now, t)
	}
}

// prune drops expired loans and accounts, and slices that are no longer in use.
func (l *Limiter) prune(now time.Time) {
	m := l.membership(now)
	t := l.terms(now, m)
	l.ledger.prune(now, t, l.freshness()+l.lease())
	l.slices.Range(func(key, value any) bool {
		s := value.(*slice) //nolint:forcetypeassert // only slices are stored
		if s.close(now, l.lease()) {
			l.slices.CompareAndDelete(key, s)
		}
		return true
	})
}

// recover starts a declaration round when this entry has become a home, or when
// control has not confirmed the view and only the other entries can confirm that there
// is no other home.
func (l *Limiter) recover(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	m := l.membership(now)
	declare := l.ledger.needsDeclarations(l.terms(now, m))
	confirm := l.ConfirmedAt != nil && now.Sub(l.ConfirmedAt()) >= l.freshness()/2 && l.ledger.size() > 0
	if last := l.lastAgreed.Load(); last != nil && last.hash == m.hash && now.Sub(last.startedAt) < l.freshness()/4 {
		confirm = false
	}
	if !declare && !confirm || !l.roundRunning.CompareAndSwap(false, true) {
		return
	}
	wg.Go(func() {
		defer l.roundRunning.Store(false)
		l.collectDeclarations(ctx, now, m, !declare)
	})
}

// renew sends the asks of all slices that need one, in one message for each home.
func (l *Limiter) renew(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	m := l.membership(now)
	type batch struct {
		slices []*slice
		asks   []*messenger.Ask
	}
	batches := make(map[string]*batch)
	l.slices.Range(func(_, value any) bool {
		s := value.(*slice) //nolint:forcetypeassert // only slices are stored
		if !s.needsAsk(now, l.lease()) {
			return true
		}
		ask := s.ask(now, amounts{}, amounts{})
		if ask == nil {
			return true
		}
		home, _ := m.home(s.workspace)
		b := batches[home.Name]
		if b == nil {
			b = &batch{}
			batches[home.Name] = b
		}
		b.slices = append(b.slices, s)
		b.asks = append(b.asks, ask)
		return true
	})
	for _, b := range batches {
		wg.Go(func() {
			start := time.Now()
			loans := l.send(ctx, now, b.asks)
			for i, s := range b.slices {
				s.apply(now.Add(time.Since(start)), now, b.asks[i].GetSequence(), loans[i])
			}
		})
	}
}

// send sends asks of workspaces that share a home to that home. It returns a loan for
// each ask, nil for those without an answer.
func (l *Limiter) send(ctx context.Context, now time.Time, asks []*messenger.Ask) []*messenger.Loan {
	l.asks.Add(int64(len(asks)))
	none := make([]*messenger.Loan, len(asks))
	home, ok := l.membership(now).home(asks[0].GetWorkspace())
	if !ok {
		return none
	}
	req := &messenger.LendRequest{Borrower: l.Name, Incarnation: l.Incarnation(), Asks: asks}
	if home.Name == l.Name {
		return l.ServeLend(now, req).GetLoans()
	}
	l.lendCalls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := l.Lend(ctx, home, req)
	if err != nil || len(reply.GetLoans()) != len(asks) {
		return none
	}
	return reply.GetLoans()
}

// terms returns the terms at now. The loans of former homes have expired once the membership
// has been the same for Freshness, in which a former home may still lend, and Lease.
func (l *Limiter) terms(now time.Time, m *indexedMembership) terms {
	expireIn := max(0, m.since.Add(l.freshness()+l.lease()).Sub(now))
	return terms{members: m.membership, oldLoansExpired: expireIn == 0, oldLoansExpireIn: expireIn, lease: l.lease()}
}

// confirmedHome reports whether no other entry can have become the home in place of this
// one: control, or all other live entries, confirmed the membership within Freshness.
func (l *Limiter) confirmedHome(now time.Time) bool {
	if l.ConfirmedAt == nil || now.Sub(l.ConfirmedAt()) < l.freshness() {
		return true
	}
	last, m := l.lastAgreed.Load(), l.membership(now)
	return last != nil && last.hash == m.hash && now.Sub(last.startedAt) < l.freshness()
}
