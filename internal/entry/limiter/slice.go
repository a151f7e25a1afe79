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
	// debtShare is the share of a second's rate at which a debt is reported at once.
	debtShare = 0.1
	// usageWindow is the time over which recent use is counted, to borrow ahead by as much.
	usageWindow = 200 * time.Millisecond
	// minRetryAfter is the least that a refused request is told to wait.
	minRetryAfter = 10 * time.Millisecond
)

type (
	// slice is what this entry holds of one workspace's limits. Its invariant: what
	// is taken was lent before and its lease still ran, but for resumed generations and
	// for tokens that running generations grew by.
	slice struct {
		workspace string
		// sequences numbers the asks of all slices of this entry.
		sequences *atomic.Uint64

		mu sync.Mutex
		// closed is set when the slice was forgotten: it is looked up again then.
		closed bool
		number uint64
		limits registrar.Limits
		// rates are unspent until ratesUntil; tokens below zero are a debt to the home.
		rates      amounts
		ratesUntil time.Time
		// held are levels until heldUntil; used is what runs, held or not.
		held      amounts
		heldUntil time.Time
		used      amounts
		// sequence of the last ask or declaration: the answer to an older ask is not taken.
		sequence uint64
		// asking is true while an answer may come.
		asking bool
		// askedNumber is the contract that the last ask was made under.
		askedNumber uint64
		// unsettled is set when the home counts as held what was dropped here.
		unsettled bool
		// owed is the debt that the ask in flight reports.
		owed float64
		// asked is when the last answered ask was sent.
		asked time.Time
		// recall is set when others need what is idle here.
		recall bool
		// short is the last refusal of the home.
		short shortage
		// waiting are requests in the order of their arrival, line the sum of their needs.
		waiting []*waiter
		line    amounts
		// usage counts what was taken in the running window, ahead what the last one took.
		usage, ahead amounts
		usageSince   time.Time
		// takenAt is when something was last taken.
		takenAt time.Time
	}

	// shortage is what a home said when it could not lend.
	shortage struct {
		limit Limit
		need  amounts
		// retryAt is when the home expects to be able to lend need.
		retryAt time.Time
		// until is how long the answer stands for further requests.
		until time.Time
	}

	// waiter is one request that waits for a loan.
	waiter struct {
		need amounts
		// wake has room for one signal.
		wake chan struct{}
	}
)

// add counts tokens that a running generation grew by. inFlight is the part of
// them that nothing was held for.
func (s *slice) add(tokens, inFlight int64) {
	s.mu.Lock()
	if s.limits.TokensPerSecond > 0 {
		s.rates.tokens -= float64(tokens)
		s.usage.tokens += float64(tokens)
	}
	s.used.inFlight += inFlight
	s.mu.Unlock()
}

// apply takes the answer to the ask with the given sequence, sent at sent. A nil
// loan stands for no answer.
func (s *slice) apply(now, sent time.Time, sequence uint64, loan *messenger.Loan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking = false
	if sequence != s.sequence || !answered(loan) {
		s.owed = 0
		return
	}
	lease := time.Duration(loan.GetLeaseNanos())
	granted := decodeAmounts(loan.GetGranted())
	s.expire(now)
	s.asked = sent
	s.rates.tokens += s.owed
	s.owed = 0
	s.recall = loan.GetRecall()
	s.held = levelsOf(granted)
	s.heldUntil = sent.Add(lease)
	s.unsettled = false
	if s.number != s.askedNumber {
		s.dropIdle()
		return
	}
	if granted.requests > 0 || granted.tokens > 0 {
		s.rates.requests += granted.requests
		s.rates.tokens += granted.tokens
		s.ratesUntil = sent.Add(lease)
	}
}

// ask builds the next ask, or returns nil while one is in flight. Unspent rates
// go back with it, so that a loan's life is never stretched. Queued is what
// requests wait for, need included.
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
		s.owed = -s.rates.tokens
	}
	s.rates = amounts{tokens: min(0, s.rates.tokens)}
	ahead := s.headroom().max(queued)
	idle := s.idleLevels()
	keep := amounts{
		generations: s.used.generations + min(idle.generations, max(need.generations, ahead.generations)),
		inFlight:    s.used.inFlight + min(idle.inFlight, max(need.inFlight, ahead.inFlight)),
	}
	s.held = keep
	missing := s.bounded(s.missing(need, keep))
	want := missing
	if need != (amounts{}) {
		want.requests = max(need.requests, ahead.requests)
		want.tokens = max(need.tokens, ahead.tokens)
		want.generations = max(missing.generations, ahead.generations-(keep.generations-s.used.generations))
		want.inFlight = max(missing.inFlight, ahead.inFlight-(keep.inFlight-s.used.inFlight))
	}
	want = s.bounded(want)
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

// declared tells a new home what is held and used here. The answer to an ask that
// a former home still gets is dropped from now on.
func (s *slice) declared(now time.Time) *messenger.Declared {
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

// due tells whether the home has to hear from this slice: to renew levels in use,
// to give back what is idle, or to report a debt.
func (s *slice) due(now time.Time, lease time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking {
		return false
	}
	if s.unsettled {
		return true
	}
	s.expire(now)
	s.roll(now)
	ahead, idle := s.headroom(), s.idleLevels()
	if idle.generations > ahead.generations || idle.inFlight > ahead.inFlight {
		return true
	}
	rates := s.bounded(s.rates)
	if rates.requests > ahead.requests || rates.tokens > ahead.tokens {
		return true
	}
	if -rates.tokens >= max(1, debtShare*s.limits.TokensPerSecond) {
		return true
	}
	if s.bounded(s.used) == (amounts{}) && rates.tokens >= 0 {
		return false
	}
	return now.Sub(s.asked) >= lease/2
}

// expire drops unspent loans whose lease is over.
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

// follow takes up a contract's limits. What was lent under another contract and
// is not in use is worth nothing from now on.
func (s *slice) follow(number uint64, limits registrar.Limits) {
	if number == s.number && limits == s.limits || number < s.number {
		return
	}
	s.number = number
	s.limits = limits
	s.short = shortage{}
	s.dropIdle()
	if limits.TokensPerSecond == 0 {
		s.rates.tokens = 0
	}
}

// dropIdle drops what is lent and not in use.
func (s *slice) dropIdle() {
	if s.idleLevels() != (amounts{}) || s.rates.requests > 0 || s.rates.tokens > 0 {
		s.unsettled = true
	}
	s.rates = amounts{tokens: min(0, s.rates.tokens)}
	s.held.generations = min(s.held.generations, s.used.generations)
	s.held.inFlight = min(s.held.inFlight, s.used.inFlight)
}

// headroom is what is kept and borrowed ahead of demand: as much as recently used.
func (s *slice) headroom() amounts {
	if s.recall {
		return amounts{}
	}
	return amounts{
		requests:    max(s.ahead.requests, s.usage.requests),
		tokens:      max(s.ahead.tokens, s.usage.tokens),
		generations: max(s.ahead.generations, s.usage.generations),
		inFlight:    max(s.ahead.inFlight, s.usage.inFlight),
	}
}

// bounded returns a without the figures that the contract sets no bound for.
func (s *slice) bounded(a amounts) amounts {
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

// missing is what has to be borrowed for need, given the levels kept. Rates were given back whole.
func (s *slice) missing(need, keep amounts) amounts {
	return amounts{
		requests:    need.requests,
		tokens:      need.tokens,
		generations: max(0, need.generations-(keep.generations-s.used.generations)),
		inFlight:    max(0, need.inFlight-(keep.inFlight-s.used.inFlight)),
	}
}

// release gives levels of an ended request back to the slice.
func (s *slice) release(levels amounts) {
	s.mu.Lock()
	s.used.generations -= levels.generations
	s.used.inFlight -= levels.inFlight
	s.wakeFirst()
	s.mu.Unlock()
}

// roll ends a window of usage that is over.
func (s *slice) roll(now time.Time) {
	passed := now.Sub(s.usageSince)
	if passed < usageWindow {
		return
	}
	s.ahead = s.usage
	if passed >= 2*usageWindow {
		s.ahead = amounts{}
	}
	s.usage = amounts{}
	s.usageSince = now
}

// take uses what need asks for, if all of it is lent here. With forced it is used all the same.
func (s *slice) take(now time.Time, need amounts, forced bool) bool {
	s.expire(now)
	s.roll(now)
	if !forced && !s.covers(need) {
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

// close tells whether the slice can be forgotten, and closes it if so.
func (s *slice) close(now time.Time, lease time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.closed = !s.asking && len(s.waiting) == 0 && s.rates == (amounts{}) && s.held == (amounts{}) &&
		s.used == (amounts{}) && now.Sub(s.asked) >= lease && now.Sub(s.takenAt) >= lease
	return s.closed
}

// noteShort remembers an answer by which the home did not lend.
func (s *slice) noteShort(now time.Time, loan *messenger.Loan, need amounts) {
	retryAt := now.Add(time.Duration(loan.GetRetryAfterNanos()))
	switch {
	case loan.GetStatus() == messenger.LoanStatus_LOAN_STATUS_LENT:
		s.short = shortage{}
	case loan.GetStatus() != messenger.LoanStatus_LOAN_STATUS_SHORT:
		s.short = shortage{limit: LimitUnreachable, retryAt: retryAt}
	case loan.GetElsewhere():
		s.short = shortage{limit: limitOf(loan.GetShortOf()), retryAt: retryAt}
	case loan.GetShortOf() == messenger.LimitKind_LIMIT_KIND_REQUESTS, loan.GetShortOf() == messenger.LimitKind_LIMIT_KIND_TOKENS:
		s.short = shortage{limit: limitOf(loan.GetShortOf()), need: need, retryAt: retryAt, until: retryAt}
	default:
		s.short = shortage{limit: limitOf(loan.GetShortOf()), need: need, retryAt: retryAt, until: now.Add(rememberShort)}
	}
}

// hopeless returns a refusal for a request that can't be served within patience:
// the line is too long, or the home's last refusal stands for it as well.
func (s *slice) hopeless(now time.Time, need amounts, patience time.Duration) *RefusedError {
	if d, limit := s.lineTime(need); len(s.waiting) > 0 && d > patience {
		return &RefusedError{Limit: limit, RetryAfter: d}
	}
	if len(s.waiting) >= maxWaiting || s.standing(now, need, patience) {
		return s.refusal(now)
	}
	return nil
}

// standing tells that the home's last refusal stands for need as well, beyond patience.
func (s *slice) standing(now time.Time, need amounts, patience time.Duration) bool {
	if !now.Before(s.short.until) || s.short.retryAt.Sub(now) <= patience {
		return false
	}
	switch s.short.limit {
	case LimitTokens:
		return need.tokens >= s.short.need.tokens
	case LimitInFlight:
		return need.inFlight >= s.short.need.inFlight
	case LimitGenerations:
		return need.generations >= s.short.need.generations
	default:
		return true
	}
}

// refusal is what a request is told that can't wait longer.
func (s *slice) refusal(now time.Time) *RefusedError {
	limit := s.short.limit
	if limit == "" {
		limit = LimitUnreachable
	}
	return &RefusedError{Limit: limit, RetryAfter: max(s.short.retryAt.Sub(now), minRetryAfter)}
}

// join puts w at the end of the line.
func (s *slice) join(w *waiter) {
	s.waiting = append(s.waiting, w)
	s.line = s.line.plus(w.need)
}

// lineTime is the time that the workspace's rates take to serve the line and need.
func (s *slice) lineTime(need amounts) (time.Duration, Limit) {
	due := s.bounded(s.line.plus(need))
	var requests, tokens float64
	if due.requests > 0 {
		requests = due.requests / s.limits.RequestsPerSecond
	}
	if due.tokens > 0 {
		tokens = due.tokens / s.limits.TokensPerSecond
	}
	limit := LimitRequests
	if tokens > requests {
		limit = LimitTokens
	}
	seconds := min(max(requests, tokens), maxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second)), limit
}

// leave takes w out of the line and wakes whoever is first then.
func (s *slice) leave(w *waiter) {
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.line = s.line.minus(w.need)
	}
	if len(s.waiting) == 0 {
		s.line = amounts{}
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

// answered tells whether the home dealt with the ask.
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
