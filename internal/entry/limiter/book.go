package limiter

import (
	"sync"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

type (
	// book holds the accounts of the workspaces that an entry is home of, and for a
	// while what it knew of those that moved away. The zero book is empty.
	book struct {
		mu       sync.Mutex
		accounts map[string]*account
		former   map[string]former
		// heard is the hash of the list of entries that have all declared to this home.
		heard uint64
		// recovering is set when an ask met an account that is not ready.
		recovering bool
	}

	// former is an account that moved to another home.
	former struct {
		*account
		movedAt time.Time
	}

	// terms are what a home decides an ask by.
	terms struct {
		members *membership
		// settled tells that all that former homes lent has run out.
		settled bool
		// settlesIn is the time until then.
		settlesIn time.Duration
		lease     time.Duration
	}
)

// declare enters what a peer declared.
func (b *book) declare(now time.Time, t terms, reply *messenger.DeclareReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range reply.GetDeclared() {
		a := b.account(now, t, d.GetWorkspace(), d.GetContractNumber(), decodeLimits(d.GetLimits()))
		if !a.ready {
			a.declare(now, now.Add(t.lease), reply.GetEntry(), reply.GetIncarnation(), d)
		}
	}
}

// formerly returns what the book knows of workspaces that home took over.
func (b *book) formerly(now time.Time, home string, members *membership) []*messenger.Declared {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*messenger.Declared
	for workspace, f := range b.former {
		if member, _ := members.home(workspace); member.Name != home {
			continue
		}
		requests, tokens := f.requests.refilled(now), f.tokens.refilled(now)
		all = append(all, &messenger.Declared{
			Workspace:      workspace,
			ContractNumber: f.number,
			Limits:         encodeLimits(f.limits),
			WasHome:        true,
			Buckets:        amounts{requests: requests.level, tokens: tokens.level}.encode(),
		})
	}
	return all
}

// lend answers one ask of a borrower that is a live entry.
func (b *book) lend(now time.Time, t terms, borrower string, incarnation uint64, ask *messenger.Ask) *messenger.Loan {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, t, ask.GetWorkspace(), ask.GetContractNumber(), decodeLimits(ask.GetLimits()))
	loan := a.lend(now, t.lease, borrower, incarnation, ask)
	if loan.GetStatus() == messenger.LoanStatus_LOAN_STATUS_RECOVERING {
		b.recovering = true
		loan.RetryAfterNanos = int64(t.settlesIn)
	}
	return loan
}

// move gives up the accounts whose home is another entry under new members.
func (b *book) move(now time.Time, self string, members *membership) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for workspace, a := range b.accounts {
		if home, _ := members.home(workspace); home.Name == self {
			continue
		}
		if b.former == nil {
			b.former = make(map[string]former)
		}
		if a.ready {
			b.former[workspace] = former{account: a, movedAt: now}
		}
		delete(b.accounts, workspace)
	}
}

// opened records that all entries of a list have declared.
func (b *book) opened(now time.Time, t terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard = t.members.hash
	b.recovering = false
	for _, a := range b.accounts {
		if !a.ready {
			a.open(now, true)
		}
	}
}

// prune forgets loans and accounts that are over.
func (b *book) prune(now time.Time, t terms, keepFormer time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for workspace, a := range b.accounts {
		a.prune(now, t.members.incarnation)
		if a.idle(now) && now.Sub(a.lastAsk) >= t.lease {
			delete(b.accounts, workspace)
		}
	}
	for workspace, f := range b.former {
		if now.Sub(f.movedAt) >= keepFormer {
			delete(b.former, workspace)
		}
	}
}

// needsHearing tells whether an account waits for the entries of a list to declare.
func (b *book) needsHearing(t terms) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recovering && b.heard != t.members.hash && !t.settled
}

func (b *book) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.accounts)
}

// account returns the account of a workspace, ready if it may be.
func (b *book) account(now time.Time, t terms, workspace string, number uint64, limits registrar.Limits) *account {
	a, ok := b.accounts[workspace]
	if !ok {
		if b.accounts == nil {
			b.accounts = make(map[string]*account)
		}
		a = newAccount(now, number, limits, t.settled)
		b.accounts[workspace] = a
	}
	heard := b.heard == t.members.hash
	if !a.ready && (heard || t.settled) {
		a.open(now, heard)
	}
	return a
}
