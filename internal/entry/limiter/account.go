package limiter

import (
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

const (
	// minReleaseWait and maxReleaseWait bound the retry-after of a request that has to
	// wait for a running generation to end.
	minReleaseWait = time.Second
	maxReleaseWait = 30 * time.Second
	// releaseSmoothing is the weight of a new gap between releases in their exponential
	// moving average.
	releaseSmoothing = 0.1
	// recallDuration is how long borrowers are asked to return what they do not use.
	recallDuration = time.Second
)

type (
	// account is a home's record of one workspace: its limits, what is left of them
	// and the loans to borrowers. Invariant: while all borrowers report, the levels
	// that they hold add up to no more than the limits, except for tokens in flight
	// by which running generations grew and for limits that were lowered.
	account struct {
		// number and limits are those of the newest contract that a borrower sent.
		number   uint64
		limits   registrar.Limits
		requests bucket
		tokens   bucket
		loans    map[string]loan
		// ready is false until all loans of former homes are known or have expired.
		ready bool
		// recallUntil is set when a borrower needs more levels than are free: until
		// then, replies ask borrowers to return unused levels.
		recallUntil time.Time
		// lastRelease is when a generation last ended; releaseGap is the moving average
		// of the time between ends.
		lastRelease time.Time
		releaseGap  time.Duration
		// lastAsk is when a borrower last asked.
		lastAsk time.Time
	}

	// loan is what one borrower holds.
	loan struct {
		incarnation uint64
		// sequence is that of the borrower's last ask or declaration.
		sequence uint64
		// held has levels only. It bounds what the borrower uses, whether reported or not.
		held amounts
		// used is the part of held that was in use when the borrower last asked.
		used amounts
		// until is the end of the lease.
		until time.Time
	}
)

// newAccount returns an account. Its buckets start full if it is ready, as no earlier
// loan can be in use then, and empty otherwise.
func newAccount(now time.Time, number uint64, limits registrar.Limits, ready bool) *account {
	a := &account{
		number:   number,
		limits:   limits,
		requests: bucket{rate: limits.RequestsPerSecond, at: now},
		tokens:   bucket{rate: limits.TokensPerSecond, at: now},
		loans:    make(map[string]loan),
		ready:    ready,
	}
	if ready {
		a.requests.content = a.requests.capacity()
		a.tokens.content = a.tokens.capacity()
	}
	return a
}

// declare enters what a peer holds as a borrower, and the contents of the buckets that it
// has as the former home. The entered loan expires at until.
func (a *account) declare(now, until time.Time, peer string, incarnation uint64, d *messenger.Declared) {
	a.setLimits(now, d.GetContractNumber(), decodeLimits(d.GetLimits()))
	if d.GetWasHome() {
		left := decodeAmounts(d.GetBuckets())
		a.requests = a.requests.refilled(now)
		a.requests.content = min(a.requests.capacity(), left.requests)
		a.tokens = a.tokens.refilled(now)
		a.tokens.content = min(a.tokens.capacity(), left.tokens)
	}
	previous, ok := a.loans[peer]
	if ok && previous.incarnation == incarnation && previous.sequence >= d.GetSequence() {
		return
	}
	held := levelsOf(decodeAmounts(d.GetHeld()))
	if held == (amounts{}) {
		return
	}
	a.loans[peer] = loan{
		incarnation: incarnation,
		sequence:    d.GetSequence(),
		held:        held,
		used:        levelsOf(decodeAmounts(d.GetUsed())),
		until:       until,
	}
}

// heldByOthers returns the sum of the levels that all borrowers except one hold, and
// the unused part of it.
func (a *account) heldByOthers(borrower string) (held, idle amounts) {
	for name, l := range a.loans {
		if name == borrower {
			continue
		}
		held.generations += l.held.generations
		held.inFlight += l.held.inFlight
		idle.generations += max(0, l.held.generations-l.used.generations)
		idle.inFlight += max(0, l.held.inFlight-l.used.inFlight)
	}
	return held, idle
}

// disposable reports whether the account can be dropped: a new one would be the same.
func (a *account) disposable(now time.Time) bool {
	requests, tokens := a.requests.refilled(now), a.tokens.refilled(now)
	full := requests.content >= requests.capacity() || requests.rate == 0
	full = full && (tokens.content >= tokens.capacity() || tokens.rate == 0)
	return a.ready && full && len(a.loans) == 0
}

// lend answers one ask. It lends either all of the need or nothing new.
func (a *account) lend(now time.Time, lease time.Duration, borrower string, incarnation uint64, ask *messenger.Ask) *messenger.Loan {
	previous, ok := a.loans[borrower]
	if ok && (incarnation < previous.incarnation || incarnation == previous.incarnation && ask.GetSequence() <= previous.sequence) {
		return &messenger.Loan{Status: messenger.LoanStatus_LOAN_STATUS_STALE}
	}
	a.setLimits(now, ask.GetContractNumber(), decodeLimits(ask.GetLimits()))
	a.lastAsk = now
	a.creditReturned(now, decodeAmounts(ask.GetReturned()))
	current := loan{
		incarnation: incarnation,
		sequence:    ask.GetSequence(),
		held:        levelsOf(decodeAmounts(ask.GetHeld())),
		used:        levelsOf(decodeAmounts(ask.GetUsed())),
		until:       now.Add(lease),
	}
	a.recordRelease(now, previous.used.generations-current.used.generations)
	reply := &messenger.Loan{
		Status:     messenger.LoanStatus_LOAN_STATUS_RECOVERING,
		LeaseNanos: int64(lease),
		Recall:     now.Before(a.recallUntil),
	}
	granted := amounts{generations: current.held.generations, inFlight: current.held.inFlight}
	if a.ready {
		need, want := decodeAmounts(ask.GetNeed()), decodeAmounts(ask.GetWant())
		granted = a.grant(now, borrower, current.held, need, want, reply)
	}
	current.held = levelsOf(granted)
	a.loans[borrower] = current
	if current.held == (amounts{}) && current.used == (amounts{}) {
		// Keep the sequence until the lease would have ended, to detect stale asks.
		a.loans[borrower] = loan{incarnation: incarnation, sequence: ask.GetSequence(), until: current.until}
	}
	reply.Granted = granted.encode()
	return reply
}

// grant decides an ask: it returns what the borrower holds from now on and sets the
// reply's status.
func (a *account) grant(now time.Time, borrower string, held, need, want amounts, reply *messenger.Loan) amounts {
	a.requests, a.tokens = a.requests.refilled(now), a.tokens.refilled(now)
	others, idle := a.heldByOthers(borrower)
	freeGenerations := int64(a.limits.ConcurrentGenerations) - others.generations - held.generations
	freeInFlight := inFlightLimit(a.limits) - others.inFlight - held.inFlight
	wait := a.requests.wait(need.requests)
	reply.ShortOf = messenger.LimitKind_LIMIT_KIND_REQUESTS
	if w := a.tokens.wait(need.tokens); w > wait {
		wait = w
		reply.ShortOf = messenger.LimitKind_LIMIT_KIND_TOKENS
	}
	shortOfGenerations := a.limits.ConcurrentGenerations > 0 && freeGenerations < need.generations
	shortOfInFlight := a.limits.TokensInFlight > 0 && freeInFlight < need.inFlight
	if shortOfGenerations || shortOfInFlight {
		reply.ShortOf = messenger.LimitKind_LIMIT_KIND_TOKENS_IN_FLIGHT
		if shortOfGenerations {
			reply.ShortOf = messenger.LimitKind_LIMIT_KIND_GENERATIONS
		}
		// Unused levels of other borrowers would suffice, once recalled.
		reply.Elsewhere = (!shortOfGenerations || freeGenerations+idle.generations >= need.generations) &&
			(!shortOfInFlight || freeInFlight+idle.inFlight >= need.inFlight)
		a.recallUntil = now.Add(recallDuration)
		if !reply.Elsewhere {
			wait = max(wait, a.releaseWait())
		}
	}
	if wait > 0 || shortOfGenerations || shortOfInFlight {
		reply.Status = messenger.LoanStatus_LOAN_STATUS_SHORT
		reply.RetryAfterNanos = int64(wait)
		return held
	}
	reply.Status = messenger.LoanStatus_LOAN_STATUS_LENT
	reply.ShortOf = messenger.LimitKind_LIMIT_KIND_UNSPECIFIED
	granted := amounts{
		generations: held.generations + grantLevel(need.generations, want.generations, freeGenerations),
		inFlight:    held.inFlight + grantLevel(need.inFlight, want.inFlight, freeInFlight),
	}
	a.requests, granted.requests = grantRate(a.requests, need.requests, want.requests)
	a.tokens, granted.tokens = grantRate(a.tokens, need.tokens, want.tokens)
	return granted
}

// recordRelease updates the moving average of the time between ends of generations, of
// which released ended since the borrower's last ask.
func (a *account) recordRelease(now time.Time, released int64) {
	if released <= 0 {
		return
	}
	if !a.lastRelease.IsZero() {
		gap := now.Sub(a.lastRelease) / time.Duration(released)
		if a.releaseGap == 0 {
			a.releaseGap = gap
		}
		a.releaseGap += time.Duration(releaseSmoothing * float64(gap-a.releaseGap))
	}
	a.lastRelease = now
}

// open makes the account ready to lend. Unless all live entries declared their loans,
// its buckets start empty at now.
func (a *account) open(now time.Time, allDeclared bool) {
	a.ready = true
	if allDeclared {
		return
	}
	a.requests = a.requests.refilled(now)
	a.requests.content = min(0, a.requests.content)
	a.tokens = a.tokens.refilled(now)
	a.tokens.content = min(0, a.tokens.content)
}

// prune drops expired loans that hold no levels, and expired loans of borrowers that
// left or restarted. A borrower that is still a member keeps its levels beyond its
// lease: only its link to this entry may be down, with its generations running.
func (a *account) prune(now time.Time, member func(name string) (incarnation uint64, ok bool)) {
	for name, l := range a.loans {
		if now.Before(l.until) {
			continue
		}
		incarnation, ok := member(name)
		if !ok || incarnation > l.incarnation || l.held == (amounts{}) {
			delete(a.loans, name)
		}
	}
}

// releaseWait estimates the time until a generation ends.
func (a *account) releaseWait() time.Duration {
	return min(max(a.releaseGap, minReleaseWait), maxReleaseWait)
}

// setLimits applies the limits of a contract that is newer than the current one.
func (a *account) setLimits(now time.Time, number uint64, limits registrar.Limits) {
	if number <= a.number {
		return
	}
	a.number = number
	a.limits = limits
	a.requests = a.requests.withRate(now, limits.RequestsPerSecond)
	a.tokens = a.tokens.withRate(now, limits.TokensPerSecond)
}

// creditReturned adds returned rates to the buckets; negative rates are debts.
func (a *account) creditReturned(now time.Time, returned amounts) {
	a.requests = a.requests.refilled(now).withAdded(returned.requests)
	a.tokens = a.tokens.refilled(now).withAdded(returned.tokens)
}

// levelsOf returns the levels of a without its rates, at least 0.
func levelsOf(a amounts) amounts {
	return amounts{generations: max(0, a.generations), inFlight: max(0, a.inFlight)}
}

// grantRate takes need from b, and toward want at most half of what is left then.
func grantRate(b bucket, need, want float64) (bucket, float64) {
	if b.rate == 0 {
		return b, max(need, want)
	}
	lent := max(0, need)
	if extra := min(want-need, (b.content-need)/2); extra > 0 {
		lent += extra
	}
	b.content -= lent
	return b, lent
}

// grantLevel returns need, and toward want at most half of what is free then.
func grantLevel(need, want, free int64) int64 {
	return max(0, need) + max(0, min(want-need, (free-need)/2))
}
