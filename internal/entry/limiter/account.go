package limiter

import (
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

const (
	// minReleaseWait and maxReleaseWait bound the wait that is told when only the end of
	// a running generation can help.
	minReleaseWait = time.Second
	maxReleaseWait = 30 * time.Second
	// releaseSmoothing weighs a new gap between releases against the average.
	releaseSmoothing = 0.1
	// recallTime is how long borrowers are asked to give back what they do not use.
	recallTime = time.Second
)

type (
	// account is a home's book of one workspace: what its limits are, what is left
	// of them, and who holds the rest. Its invariant: while all borrowers are
	// heard, the held levels add up to no more than the limits, but for tokens in
	// flight that running generations grew by and for limits that fell.
	account struct {
		number   uint64
		limits   registrar.Limits
		requests bucket
		tokens   bucket
		loans    map[string]loan
		// ready is false until all that former homes lent is known or has run out.
		ready bool
		// recallUntil is set while somebody lacks levels that others hold unused.
		recallUntil time.Time
		// lastRelease and releaseGap estimate how often a generation ends.
		lastRelease time.Time
		releaseGap  time.Duration
		lastAsk     time.Time
	}

	// loan is what one borrower holds.
	loan struct {
		incarnation uint64
		sequence    uint64
		// held are levels only and bound what the borrower uses, heard of or not.
		held amounts
		// used is the part of held that was in use when the borrower last asked.
		used  amounts
		until time.Time
	}
)

// newAccount returns an account whose buckets start empty, or full where nothing
// can have been lent before.
func newAccount(now time.Time, number uint64, limits registrar.Limits, settled bool) *account {
	a := &account{
		number:   number,
		limits:   limits,
		requests: bucket{rate: limits.RequestsPerSecond, at: now},
		tokens:   bucket{rate: limits.TokensPerSecond, at: now},
		loans:    make(map[string]loan),
		ready:    settled,
	}
	if settled {
		a.requests.level = a.requests.capacity()
		a.tokens.level = a.tokens.capacity()
	}
	return a
}

// declare takes over what a peer holds or held as the former home.
func (a *account) declare(now, until time.Time, peer string, incarnation uint64, d *messenger.Declared) {
	a.setLimits(d.GetContractNumber(), decodeLimits(d.GetLimits()))
	if d.GetWasHome() {
		left := decodeAmounts(d.GetBuckets())
		a.requests = a.requests.refilled(now)
		a.requests.level = min(a.requests.capacity(), left.requests)
		a.tokens = a.tokens.refilled(now)
		a.tokens.level = min(a.tokens.capacity(), left.tokens)
	}
	known, ok := a.loans[peer]
	if ok && known.incarnation == incarnation && known.sequence >= d.GetSequence() {
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

// heldByOthers adds up what all but one borrower hold, and the unused part of it.
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

// idle tells whether the account says nothing that a new one would not say.
func (a *account) idle(now time.Time) bool {
	requests, tokens := a.requests.refilled(now), a.tokens.refilled(now)
	full := requests.level >= requests.capacity() || requests.rate == 0
	full = full && (tokens.level >= tokens.capacity() || tokens.rate == 0)
	return a.ready && full && len(a.loans) == 0
}

// lend answers one ask. Either all of the need is lent or nothing new is.
func (a *account) lend(now time.Time, lease time.Duration, borrower string, incarnation uint64, ask *messenger.Ask) *messenger.Loan {
	known, ok := a.loans[borrower]
	if ok && (incarnation < known.incarnation || incarnation == known.incarnation && ask.GetSequence() <= known.sequence) {
		return &messenger.Loan{Status: messenger.LoanStatus_LOAN_STATUS_STALE}
	}
	a.setLimits(ask.GetContractNumber(), decodeLimits(ask.GetLimits()))
	a.lastAsk = now
	a.takeBack(now, decodeAmounts(ask.GetReturned()))
	current := loan{
		incarnation: incarnation,
		sequence:    ask.GetSequence(),
		held:        levelsOf(decodeAmounts(ask.GetHeld())),
		used:        levelsOf(decodeAmounts(ask.GetUsed())),
		until:       now.Add(lease),
	}
	a.noteRelease(now, known.used.generations-current.used.generations)
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
		// The sequence stays known until the lease would have ended.
		a.loans[borrower] = loan{incarnation: incarnation, sequence: ask.GetSequence(), until: current.until}
	}
	reply.Granted = granted.encode()
	return reply
}

// grant decides an ask and fills in the reply's status.
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
	lacksGenerations := a.limits.ConcurrentGenerations > 0 && freeGenerations < need.generations
	lacksInFlight := a.limits.TokensInFlight > 0 && freeInFlight < need.inFlight
	if lacksGenerations || lacksInFlight {
		reply.ShortOf = messenger.LimitKind_LIMIT_KIND_TOKENS_IN_FLIGHT
		if lacksGenerations {
			reply.ShortOf = messenger.LimitKind_LIMIT_KIND_GENERATIONS
		}
		reply.Elsewhere = (!lacksGenerations || freeGenerations+idle.generations >= need.generations) &&
			(!lacksInFlight || freeInFlight+idle.inFlight >= need.inFlight)
		a.recallUntil = now.Add(recallTime)
		if !reply.Elsewhere {
			wait = max(wait, a.releaseWait())
		}
	}
	if wait > 0 || lacksGenerations || lacksInFlight {
		reply.Status = messenger.LoanStatus_LOAN_STATUS_SHORT
		reply.RetryAfterNanos = int64(wait)
		return held
	}
	reply.Status = messenger.LoanStatus_LOAN_STATUS_LENT
	reply.ShortOf = messenger.LimitKind_LIMIT_KIND_UNSPECIFIED
	granted := amounts{
		generations: held.generations + share(need.generations, want.generations, freeGenerations),
		inFlight:    held.inFlight + share(need.inFlight, want.inFlight, freeInFlight),
	}
	a.requests, granted.requests = lendRate(a.requests, need.requests, want.requests)
	a.tokens, granted.tokens = lendRate(a.tokens, need.tokens, want.tokens)
	return granted
}

// noteRelease follows how often generations end.
func (a *account) noteRelease(now time.Time, released int64) {
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

// open lets the account lend. Unless all former homes were heard, its buckets start empty now.
func (a *account) open(now time.Time, heard bool) {
	a.ready = true
	if heard {
		return
	}
	a.requests = a.requests.refilled(now)
	a.requests.level = min(0, a.requests.level)
	a.tokens = a.tokens.refilled(now)
	a.tokens.level = min(0, a.tokens.level)
}

// prune drops the loans of borrowers that left and those that are over. A
// borrower that is still a member keeps its levels beyond its lease: it may be
// cut off from here only, with its generations running.
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

// releaseWait is an estimate of the time until a generation ends.
func (a *account) releaseWait() time.Duration {
	return min(max(a.releaseGap, minReleaseWait), maxReleaseWait)
}

// setLimits follows the contract with the highest number heard of.
func (a *account) setLimits(number uint64, limits registrar.Limits) {
	if number <= a.number {
		return
	}
	a.number = number
	a.limits = limits
	a.requests = a.requests.withRate(limits.RequestsPerSecond)
	a.tokens = a.tokens.withRate(limits.TokensPerSecond)
}

// takeBack puts returned rates into the buckets, and books debts.
func (a *account) takeBack(now time.Time, returned amounts) {
	a.requests = a.requests.refilled(now).withLevel(returned.requests)
	a.tokens = a.tokens.refilled(now).withLevel(returned.tokens)
}

func levelsOf(a amounts) amounts {
	return amounts{generations: max(0, a.generations), inFlight: max(0, a.inFlight)}
}

// lendRate takes need from b and at most half of what is then left towards want.
func lendRate(b bucket, need, want float64) (bucket, float64) {
	if b.rate == 0 {
		return b, max(need, want)
	}
	lent := max(0, need)
	if extra := min(want-need, (b.level-need)/2); extra > 0 {
		lent += extra
	}
	b.level -= lent
	return b, lent
}

// share gives need and at most half of what is then free towards want.
func share(need, want, free int64) int64 {
	return max(0, need) + max(0, min(want-need, (free-need)/2))
}
