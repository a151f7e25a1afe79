package limiter

import (
	"context"
	"sync"
	"time"

	"verbenareach/internal/wire/messenger"
)

// hearing is a round in which all live entries agreed on the list of them.
type hearing struct {
	hash  uint64
	begun time.Time
}

// ServeDeclare answers an entry that has become the home of workspaces, at now.
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
		if d := s.declared(now); levelsOf(decodeAmounts(d.GetHeld())) != (amounts{}) {
			reply.Declared = append(reply.Declared, d)
		}
		return true
	})
	reply.Declared = append(reply.Declared, l.book.formerly(now, req.GetHome(), m.membership)...)
	return reply
}

// ServeLend answers the asks of another entry at now.
func (l *Limiter) ServeLend(now time.Time, req *messenger.LendRequest) *messenger.LendReply {
	m := l.membership(now)
	t := l.terms(now, m)
	incarnation, live := m.incarnation(req.GetBorrower())
	// An entry that this view does not hold yet, or holds no more, is answered once both agree.
	known := live && incarnation == req.GetIncarnation() && l.trusted(now)
	reply := &messenger.LendReply{}
	for _, ask := range req.GetAsks() {
		home, _ := m.home(ask.GetWorkspace())
		if !known || home.Name != l.Name {
			reply.Loans = append(reply.Loans, &messenger.Loan{Status: messenger.LoanStatus_LOAN_STATUS_NOT_HOME})
			continue
		}
		reply.Loans = append(reply.Loans, l.book.lend(now, t, req.GetBorrower(), req.GetIncarnation(), ask))
	}
	return reply
}

// hear asks all other live entries once, and again with the next tick where one did not agree.
func (l *Limiter) hear(ctx context.Context, now time.Time, m *viewed, confirm bool) {
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
	begun := now
	now = now.Add(time.Since(start))
	if l.membership(now).hash != m.hash {
		return
	}
	t := l.terms(now, m)
	all := true
	for _, reply := range replies {
		all = all && reply.GetAgreed()
		l.book.declare(now, t, reply)
	}
	if !all {
		return
	}
	l.agreed.Store(&hearing{hash: m.hash, begun: begun})
	if !confirm {
		l.book.opened(now, t)
	}
}

// prune forgets what is over.
func (l *Limiter) prune(now time.Time) {
	m := l.membership(now)
	t := l.terms(now, m)
	l.book.prune(now, t, l.freshness()+l.lease())
	l.slices.Range(func(key, value any) bool {
		s := value.(*slice) //nolint:forcetypeassert // only slices are stored
		if s.close(now, l.lease()) {
			l.slices.CompareAndDelete(key, s)
		}
		return true
	})
}

// recover hears the other entries when this one has become a home, or when
// control is silent and only they can say that no other home was made.
func (l *Limiter) recover(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	m := l.membership(now)
	declare := l.book.needsHearing(l.terms(now, m))
	confirm := l.ConfirmedAt != nil && now.Sub(l.ConfirmedAt()) >= l.freshness()/2 && l.book.size() > 0
	if last := l.agreed.Load(); last != nil && last.hash == m.hash && now.Sub(last.begun) < l.freshness()/4 {
		confirm = false
	}
	if !declare && !confirm || !l.hearing.CompareAndSwap(false, true) {
		return
	}
	wg.Go(func() {
		defer l.hearing.Store(false)
		l.hear(ctx, now, m, !declare)
	})
}

// renew sends the homes what they have to hear, in one message for each home.
func (l *Limiter) renew(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	m := l.membership(now)
	type batch struct {
		slices []*slice
		asks   []*messenger.Ask
	}
	batches := make(map[string]*batch)
	l.slices.Range(func(_, value any) bool {
		s := value.(*slice) //nolint:forcetypeassert // only slices are stored
		if !s.due(now, l.lease()) {
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

// send brings asks of workspaces with one home to it. It returns a loan for each
// ask, nil where no answer came.
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

func (l *Limiter) terms(now time.Time, m *viewed) terms {
	settlesIn := max(0, m.since.Add(l.freshness()+l.lease()).Sub(now))
	return terms{members: m.membership, settled: settlesIn == 0, settlesIn: settlesIn, lease: l.lease()}
}

// trusted tells whether no other entry can have become home in this one's place:
// control, or all other live entries, said so within Freshness.
func (l *Limiter) trusted(now time.Time) bool {
	if l.ConfirmedAt == nil || now.Sub(l.ConfirmedAt()) < l.freshness() {
		return true
	}
	last, m := l.agreed.Load(), l.membership(now)
	return last != nil && last.hash == m.hash && now.Sub(last.begun) < l.freshness()
}
