package limiter

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

const (
	// reportedDebtShare is the share of a second's rate from which a debt is reported at once.
	reportedDebtShare = 0.1
	// usageWindow is the length of the window over which usage is counted. The usage of one
	// window is borrowed ahead of demand.
	usageWindow = 200 * time.Millisecond
	// minRetryAfter is the least retry-after of a refusal.
	minRetryAfter = 10 * time.Millisecond
)

type (
	// slice is what this entry has borrowed of one workspace's limits. Invariant: only
	// what was lent with a running lease is taken, except for resumed generations and
	// for tokens by which running generations grew. The methods add, apply, ask, close,
	// declaration, needsAsk and release lock mu; callers of the others hold it.
	slice struct {
		workspace string
		// sequences numbers the asks of all slices of this entry.
		sequences *atomic.Uint64

		mu sync.Mutex
		// closed is set when the slice was removed; the workspace's slice is looked up
		// again then.
		closed bool
		// number and limits are the contract's.
		number uint64
		limits registrar.Limits
		// rates are the unspent rates, valid until ratesUntil; tokens below zero are a
		// debt to the home.
		rates      amounts
		ratesUntil time.Time
		// held are the levels lent until heldUntil; used are the levels of running
		// requests, held or not.
		held      amounts
		heldUntil time.Time
		used      amounts
		// sequence is that of the last ask or declaration: the answer to an older ask is
		// ignored.
		sequence uint64
		// asking is true while an ask is in flight.
		asking bool
		// askedNumber is the number of the contract that the last ask was made under.
		askedNumber uint64
		// homeOutdated is set when the home still counts as held what was dropped here.
		homeOutdated bool
		// reportedDebt is the debt that the ask in flight reports.
		reportedDebt float64
		// answeredAskAt is when the last answered ask was sent.
		answeredAskAt time.Time
		// recall is set when other borrowers need what is unused here.
		recall bool
		// lastShortage is the last refusal of the home.
		lastShortage shortage
		// waiting is the queue of requests, in the order of arrival; queuedNeed is the
		// sum of their needs.
		waiting    []*waiter
		queuedNeed amounts
		// usage counts what was taken in the running window, previousUsage what was
		// taken in the one before.
		usage, previousUsage amounts
		usageSince           time.Time
		// takenAt is when something was last taken.
		takenAt time.Time
	}

	// shortage is a home's answer that it could not lend need, or LimitUnreachable.
	shortage struct {
		limit Limit
		need  amounts
		// retryAt is when the home expects to be able to lend need.
		retryAt time.Time
		// validUntil is until when the answer applies to further requests.
		validUntil time.Time
	}

	// waiter is one request that waits for a loan.
	waiter struct {
		need amounts
		// wake has capacity 1. The first waiter is signaled when levels were released or
		// a waiter left the queue.
		wake chan struct{}
	}
)

// add counts tokens by which a running generation grew. inFlight is the part of them
// that was not reserved.
func (s *slice) add(tokens, inFlight int64) {
	s.mu.Lock()
	if s.limits.TokensPerSecond > 0 {
		s.rates.tokens -= float64(tokens)
		s.usage.tokens += float64(tokens)
	}
	s.used.inFlight += inFlight
	s.mu.Unlock()
}

// apply processes the answer to the ask with the given sequence, sent at sent. The loan
// is nil if there was no answer.
func (s *slice) apply(now, sent time.Time, sequence uint64, loan *messenger.Loan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking = false
	if sequence != s.sequence || !answered(loan) {
		s.reportedDebt = 0
		return
	}
	lease := time.Duration(loan.GetLeaseNanos())
	granted := decodeAmounts(loan.GetGranted())
	s.expire(now)
	s.answeredAskAt = sent
	s.rates.tokens += s.reportedDebt
	s.reportedDebt = 0
	s.recall = loan.GetRecall()
	s.held = levelsOf(granted)
	s.heldUntil = sent.Add(lease)
	s.homeOutdated = false
	if s.number != s.askedNumber {
		// The loan was made under a contract that was replaced since.
		s.dropIdle()
		return
	}
	if granted.requests > 0 || granted.tokens > 0 {
		s.rates.requests += granted.requests
		s.rates.tokens += granted.tokens
		s.ratesUntil = sent.Add(lease)
	}
}

// ask returns the next ask, or nil while one is in flight. Unspent rates are returned
// with it, so that a loan is never extended. queued is the need of all waiting
// requests, need included. need is zero for a renewal, which asks for nothing new.
func (s *slice) ask(now time.Time, need, queued amounts) *messenger.Ask {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking {
		return nil
	}
	s.expire(now)
	s.asking = true
	s.sequence = s.sequences.Add(1)
	s.askedNumber = s.number
	returned := amounts{requests: s.rates.requests, tokens: s.rates.tokens}
	if s.rates.tokens < 0 {
		s.reportedDebt = -s.rates.tokens
	}
	s.rates = amounts{tokens: min(0, s.rates.tokens)}
	ahead := s.headroom().max(queued)
	idle := s.idleLevels()
	keep := amounts{
		generations: s.used.generations + min(idle.generations, max(need.generations, ahead.generations)),
		inFlight:    s.used.inFlight + min(idle.inFlight, max(need.inFlight, ahead.inFlight)),
	}
	s.held = keep
	missing := s.limitedOnly(s.missing(need, keep))
	want := missing
	if need != (amounts{}) {
		want.requests = max(need.requests, ahead.requests)
		want.tokens = max(need.tokens, ahead.tokens)
		want.generations = max(missing.generations, ahead.generations-(keep.generations-s.used.generations))
		want.inFlight = max(missing.inFlight, ahead.inFlight-(keep.inFlight-s.used.inFlight))
	}
	want = s.limitedOnly(want)
	return &messenger.Ask{
		Workspace:      s.workspace,
		Sequence:       s.sequence,
		ContractNumber: s.number,
		Limits:         encodeLimits(s.limits),
		Held:           keep.encode(),
		Used:           s.used.encode(),
		Returned:       returned.encode(),
		Need:           missing.encode(),
		Want:           want.encode(),
	}
}

// declaration returns what this entry holds and uses, for a new home. Answers to asks
// that were sent to the former home are ignored from now on.
func (s *slice) declaration(now time.Time) *messenger.Declared {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.sequence = s.sequences.Add(1)
	held := amounts{generations: max(s.held.generations, s.used.generations), inFlight: max(s.held.inFlight, s.used.inFlight)}
	return &messenger.Declared{
		Workspace:      s.workspace,
		Sequence:       s.sequence,
		ContractNumber: s.number,
		Limits:         encodeLimits(s.limits),
		Held:           held.encode(),
		Used:           s.used.encode(),
	}
}

// needsAsk reports whether an ask has to be sent to the home: to renew levels in use,
// to return what is unused, to report a debt, or as homeOutdated is set.
func (s *slice) needsAsk(now time.Time, lease time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking {
		return false
	}
	if s.homeOutdated {
		return true
	}
	s.expire(now)
	s.rollUsageWindow(now)
	ahead, idle := s.headroom(), s.idleLevels()
	if idle.generations > ahead.generations || idle.inFlight > ahead.inFlight {
		return true
	}
	rates := s.limitedOnly(s.rates)
	if rates.requests > ahead.requests || rates.tokens > ahead.tokens {
		return true
	}
	if -rates.tokens >= max(1, reportedDebtShare*s.limits.TokensPerSecond) {
		return true
	}
	if s.limitedOnly(s.used) == (amounts{}) && rates.tokens >= 0 {
		return false
	}
	return now.Sub(s.answeredAskAt) >= lease/2
}

// expire drops unspent loans whose lease has ended.
func (s *slice) expire(now time.Time) {
	if !now.Before(s.ratesUntil) {
		s.rates.requests = 0
		s.rates.tokens = min(0, s.rates.tokens)
	}
	if !now.Before(s.heldUntil) {
		s.held.generations = min(s.held.generations, s.used.generations)
		s.held.inFlight = min(s.held.inFlight, s.used.inFlight)
	}
}

// setContract applies the limits of a newer contract and drops unused loans that were
// made under another one.
func (s *slice) setContract(number uint64, limits registrar.Limits) {
	if number == s.number && limits == s.limits || number < s.number {
		return
	}
	s.number = number
	s.limits = limits
	s.lastShortage = shortage{}
	s.dropIdle()
	if limits.TokensPerSecond == 0 {
		s.rates.tokens = 0
	}
}

// dropIdle drops loans that are not in use.
func (s *slice) dropIdle() {
	if s.idleLevels() != (amounts{}) || s.rates.requests > 0 || s.rates.tokens > 0 {
		s.homeOutdated = true
	}
	s.rates = amounts{tokens: min(0, s.rates.tokens)}
	s.held.generations = min(s.held.generations, s.used.generations)
	s.held.inFlight = min(s.held.inFlight, s.used.inFlight)
}

// headroom returns what is kept and borrowed ahead of demand: the larger usage of the
// running and the previous window.
func (s *slice) headroom() amounts {
	if s.recall {
		return amounts{}
	}
	return amounts{
		requests:    max(s.previousUsage.requests, s.usage.requests),
		tokens:      max(s.previousUsage.tokens, s.usage.tokens),
		generations: max(s.previousUsage.generations, s.usage.generations),
		inFlight:    max(s.previousUsage.inFlight, s.usage.inFlight),
	}
}

// limitedOnly returns a without the amounts that the contract does not limit.
func (s *slice) limitedOnly(a amounts) amounts {
	if s.limits.RequestsPerSecond == 0 {
		a.requests = 0
	}
	if s.limits.TokensPerSecond == 0 {
		a.tokens = 0
	}
	if s.limits.ConcurrentGenerations == 0 {
		a.generations = 0
	}
	if s.limits.TokensInFlight == 0 {
		a.inFlight = 0
	}
	return a
}

func (s *slice) idleLevels() amounts {
	return amounts{
		generations: max(0, s.held.generations-s.used.generations),
		inFlight:    max(0, s.held.inFlight-s.used.inFlight),
	}
}

// missing returns what has to be borrowed for need, given the levels kept. All of the
// rates are missing, as ask returns them.
func (s *slice) missing(need, keep amounts) amounts {
	return amounts{
		requests:    need.requests,
		tokens:      need.tokens,
		generations: max(0, need.generations-(keep.generations-s.used.generations)),
		inFlight:    max(0, need.inFlight-(keep.inFlight-s.used.inFlight)),
	}
}

// release returns the levels of an ended request to the slice.
func (s *slice) release(levels amounts) {
	s.mu.Lock()
	s.used.generations -= levels.generations
	s.used.inFlight -= levels.inFlight
	s.wakeFirst()
	s.mu.Unlock()
}

// rollUsageWindow starts a new usage window when the running one has ended.
func (s *slice) rollUsageWindow(now time.Time) {
	passed := now.Sub(s.usageSince)
	if passed < usageWindow {
		return
	}
	s.previousUsage = s.usage
	if passed >= 2*usageWindow {
		s.previousUsage = amounts{}
	}
	s.usage = amounts{}
	s.usageSince = now
}

// take uses need if all of it is lent to this entry, or in any case with force. It
// reports whether it did.
func (s *slice) take(now time.Time, need amounts, force bool) bool {
	s.expire(now)
	s.rollUsageWindow(now)
	if !force && !s.covers(need) {
		return false
	}
	if s.limits.RequestsPerSecond > 0 {
		s.rates.requests = max(0, s.rates.requests-need.requests)
	}
	if s.limits.TokensPerSecond > 0 {
		s.rates.tokens -= need.tokens
	}
	s.takenAt = now
	s.used.generations += need.generations
	s.used.inFlight += need.inFlight
	s.usage.requests += need.requests
	s.usage.tokens += need.tokens
	s.usage.generations += need.generations
	s.usage.inFlight += need.inFlight
	return true
}

func (s *slice) covers(need amounts) bool {
	idle := s.idleLevels()
	return (s.limits.RequestsPerSecond == 0 || s.rates.requests >= need.requests) &&
		(s.limits.TokensPerSecond == 0 || s.rates.tokens >= need.tokens) &&
		(s.limits.ConcurrentGenerations == 0 || idle.generations >= need.generations) &&
		(s.limits.TokensInFlight == 0 || idle.inFlight >= need.inFlight)
}

// close closes the slice if it can be removed, and reports whether it did.
func (s *slice) close(now time.Time, lease time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.closed = !s.asking && len(s.waiting) == 0 && s.rates == (amounts{}) && s.held == (amounts{}) &&
		s.used == (amounts{}) && now.Sub(s.answeredAskAt) >= lease && now.Sub(s.takenAt) >= lease
	return s.closed
}

// recordShortage sets lastShortage from the home's answer to an ask for need. loan is nil
// if there was no answer.
func (s *slice) recordShortage(now time.Time, loan *messenger.Loan, need amounts) {
	retryAt := now.Add(time.Duration(loan.GetRetryAfterNanos()))
	switch {
	case loan.GetStatus() == messenger.LoanStatus_LOAN_STATUS_LENT:
		s.lastShortage = shortage{}
	case loan.GetStatus() != messenger.LoanStatus_LOAN_STATUS_SHORT:
		s.lastShortage = shortage{limit: LimitUnreachable, retryAt: retryAt}
	case loan.GetElsewhere():
		s.lastShortage = shortage{limit: limitOf(loan.GetShortOf()), retryAt: retryAt}
	case loan.GetShortOf() == messenger.LimitKind_LIMIT_KIND_REQUESTS, loan.GetShortOf() == messenger.LimitKind_LIMIT_KIND_TOKENS:
		s.lastShortage = shortage{limit: limitOf(loan.GetShortOf()), need: need, retryAt: retryAt, validUntil: retryAt}
	default:
		s.lastShortage = shortage{limit: limitOf(loan.GetShortOf()), need: need, retryAt: retryAt, validUntil: now.Add(shortageTTL)}
	}
}

// refuseEarly returns a refusal for a request that can't be served within timeout: the
// queue is too long, or the home's last refusal applies to it as well.
func (s *slice) refuseEarly(now time.Time, need amounts, timeout time.Duration) *RefusedError {
	if d, limit := s.queueDrainTime(need); len(s.waiting) > 0 && d > timeout {
		return &RefusedError{Limit: limit, RetryAfter: d}
	}
	if len(s.waiting) >= maxWaiting || s.shortageApplies(now, need, timeout) {
		return s.refusal(now)
	}
	return nil
}

// shortageApplies reports whether the home's last refusal applies to need as well, for
// longer than timeout.
func (s *slice) shortageApplies(now time.Time, need amounts, timeout time.Duration) bool {
	if !now.Before(s.lastShortage.validUntil) || s.lastShortage.retryAt.Sub(now) <= timeout {
		return false
	}
	switch s.lastShortage.limit {
	case LimitTokens:
		return need.tokens >= s.lastShortage.need.tokens
	case LimitInFlight:
		return need.inFlight >= s.lastShortage.need.inFlight
	case LimitGenerations:
		return need.generations >= s.lastShortage.need.generations
	default:
		return true
	}
}

// refusal returns the error for a request that can't wait any longer.
func (s *slice) refusal(now time.Time) *RefusedError {
	limit := s.lastShortage.limit
	if limit == "" {
		limit = LimitUnreachable
	}
	return &RefusedError{Limit: limit, RetryAfter: max(s.lastShortage.retryAt.Sub(now), minRetryAfter)}
}

// enqueue puts w at the end of the queue.
func (s *slice) enqueue(w *waiter) {
	s.waiting = append(s.waiting, w)
	s.queuedNeed = s.queuedNeed.plus(w.need)
}

// queueDrainTime returns the time in which the workspace's rates serve the queue and
// need, and the limit that determines it.
func (s *slice) queueDrainTime(need amounts) (time.Duration, Limit) {
	needed := s.limitedOnly(s.queuedNeed.plus(need))
	var requests, tokens float64
	if needed.requests > 0 {
		requests = needed.requests / s.limits.RequestsPerSecond
	}
	if needed.tokens > 0 {
		tokens = needed.tokens / s.limits.TokensPerSecond
	}
	limit := LimitRequests
	if tokens > requests {
		limit = LimitTokens
	}
	seconds := min(max(requests, tokens), maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second)), limit
}

// dequeue removes w from the queue and wakes the first waiter.
func (s *slice) dequeue(w *waiter) {
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.queuedNeed = s.queuedNeed.minus(w.need)
	}
	if len(s.waiting) == 0 {
		s.queuedNeed = amounts{}
	}
	s.wakeFirst()
}

func (s *slice) wakeFirst() {
	if len(s.waiting) == 0 {
		return
	}
	select {
	case s.waiting[0].wake <- struct{}{}:
	default:
	}
}

// answered reports whether the home processed the ask.
func answered(loan *messenger.Loan) bool {
	switch loan.GetStatus() {
	case messenger.LoanStatus_LOAN_STATUS_LENT, messenger.LoanStatus_LOAN_STATUS_SHORT, messenger.LoanStatus_LOAN_STATUS_RECOVERING:
		return true
	default:
		return false
	}
}

func limitOf(kind messenger.LimitKind) Limit {
	switch kind {
	case messenger.LimitKind_LIMIT_KIND_REQUESTS:
		return LimitRequests
	case messenger.LimitKind_LIMIT_KIND_TOKENS:
		return LimitTokens
	case messenger.LimitKind_LIMIT_KIND_GENERATIONS:
		return LimitGenerations
	case messenger.LimitKind_LIMIT_KIND_TOKENS_IN_FLIGHT:
		return LimitInFlight
	default:
		return LimitUnreachable
	}
}
