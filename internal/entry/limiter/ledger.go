package limiter

import (
	"sync"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

type (
	// ledger holds the accounts of the workspaces that this entry is the home of, and
	// for some time those that moved to other homes. The zero ledger is empty.
	ledger struct {
		mu       sync.Mutex
		accounts map[string]*account
		former   map[string]formerAccount
		// declaredHash is the hash of the last membership whose entries have all sent
		// their declarations to this home.
		declaredHash uint64
		// recovering is set when an ask arrived for an account that is not ready.
		recovering bool
	}

	// formerAccount is an account that moved to another home.
	formerAccount struct {
		*account
		movedAt time.Time
	}

	// terms are the conditions under which a home decides an ask.
	terms struct {
		members *membership
		// oldLoansExpired is true when all loans of former homes have expired.
		oldLoansExpired bool
		// oldLoansExpireIn is the time until oldLoansExpired is true.
		oldLoansExpireIn time.Duration
		lease            time.Duration
	}
)

// declare enters a peer's declarations in the accounts that are not ready.
func (l *ledger) declare(now time.Time, t terms, reply *messenger.DeclareReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range reply.GetDeclared() {
		a := l.account(now, t, d.GetWorkspace(), d.GetContractNumber(), decodeLimits(d.GetLimits()))
		if !a.ready {
			a.declare(now, now.Add(t.lease), reply.GetEntry(), reply.GetIncarnation(), d)
		}
	}
}

// formerAccounts returns the limits and bucket contents of the former accounts whose home
// is now home.
func (l *ledger) formerAccounts(now time.Time, home string, members *membership) []*messenger.Declared {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*messenger.Declared
	for workspace, f := range l.former {
		if member, _ := members.home(workspace); member.Name != home {
			continue
		}
		requests, tokens := f.requests.refilled(now), f.tokens.refilled(now)
		all = append(all, &messenger.Declared{
			Workspace:      workspace,
			ContractNumber: f.number,
			Limits:         encodeLimits(f.limits),
			WasHome:        true,
			Buckets:        amounts{requests: requests.content, tokens: tokens.content}.encode(),
		})
	}
	return all
}

// lend answers one ask of a borrower that is a live entry.
func (l *ledger) lend(now time.Time, t terms, borrower string, incarnation uint64, ask *messenger.Ask) *messenger.Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, t, ask.GetWorkspace(), ask.GetContractNumber(), decodeLimits(ask.GetLimits()))
	loan := a.lend(now, t.lease, borrower, incarnation, ask)
	if loan.GetStatus() == messenger.LoanStatus_LOAN_STATUS_RECOVERING {
		l.recovering = true
		loan.RetryAfterNanos = int64(t.oldLoansExpireIn)
	}
	return loan
}

// retireMoved removes the accounts whose home is another entry under the new members,
// and keeps the ready ones as former accounts.
func (l *ledger) retireMoved(now time.Time, self string, members *membership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace, a := range l.accounts {
		if home, _ := members.home(workspace); home.Name == self {
			continue
		}
		if l.former == nil {
			l.former = make(map[string]formerAccount)
		}
		if a.ready {
			l.former[workspace] = formerAccount{account: a, movedAt: now}
		}
		delete(l.accounts, workspace)
	}
}

// openAll records that all entries of t.members have sent their declarations, and
// opens the accounts.
func (l *ledger) openAll(now time.Time, t terms) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.declaredHash = t.members.hash
	l.recovering = false
	for _, a := range l.accounts {
		if !a.ready {
			a.open(now, true)
		}
	}
}

// prune drops expired loans, disposable accounts, and former accounts after keepFormer.
func (l *ledger) prune(now time.Time, t terms, keepFormer time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace, a := range l.accounts {
		a.prune(now, t.members.incarnation)
		if a.disposable(now) && now.Sub(a.lastAsk) >= t.lease {
			delete(l.accounts, workspace)
		}
	}
	for workspace, f := range l.former {
		if now.Sub(f.movedAt) >= keepFormer {
			delete(l.former, workspace)
		}
	}
}

// needsDeclarations reports whether an account waits for the declarations of t.members.
func (l *ledger) needsDeclarations(t terms) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recovering && l.declaredHash != t.members.hash && !t.oldLoansExpired
}

func (l *ledger) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts)
}

// account returns the account of a workspace. It creates a missing one and opens it if
// all entries have declared or the loans of former homes have expired. The caller holds mu.
func (l *ledger) account(now time.Time, t terms, workspace string, number uint64, limits registrar.Limits) *account {
	a, ok := l.accounts[workspace]
	if !ok {
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		a = newAccount(now, number, limits, t.oldLoansExpired)
		l.accounts[workspace] = a
	}
	allDeclared := l.declaredHash == t.members.hash
	if !a.ready && (allDeclared || t.oldLoansExpired) {
		a.open(now, allDeclared)
	}
	return a
}
