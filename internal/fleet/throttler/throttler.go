// Package throttler keeps the limits that backend servers set on the rate of requests from all hosts
// together, and which of them are cold, so that they take few requests until they are warm. Each host
// knows all limits; the one host that the others ask for permission decides which requests are sent,
// and when. The package does no I/O.
package throttler

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

type (
	// Throttler holds the limits and the warm-ups of all backend servers. Its exported fields are set
	// before first use; it is safe for concurrent use. A nil Throttler knows neither.
	Throttler struct {
		// Publish passes changed limits on to the other hosts, except the named one. It is called
		// without the lock.
		Publish func(except string, limits []*messenger.RateLimit)
		// Relay is set if changes from other hosts are passed on as well.
		Relay bool
		// Share returns the share of each limit that this host may grant.
		Share func() float64
		// PublishWarmUps is Publish for news of warm-ups.
		PublishWarmUps func(except string, warmUps []*messenger.WarmUp)
		// ColdRate returns the requests a second that a backend server takes while it is cold; 0 for
		// no bound. ColdShare returns the share of it that this host may grant.
		ColdRate  func(backend string) float64
		ColdShare func() float64
		Log       *logger.Logger

		// anyLimit is set once there has been a limit, anyCold while a backend server is cold.
		anyLimit, anyCold atomic.Bool
		// putOff counts the requests that had to wait or go elsewhere as a backend server was cold.
		putOff atomic.Uint64

		mu     sync.Mutex
		limits map[process]*limit
		// warmUps holds the processes that have said whether they are cold.
		warmUps map[process]*warmUp
		// warmUpsForgotten is when old ones were dropped last.
		warmUpsForgotten time.Time
		// forgotten is when old limits were dropped last.
		forgotten time.Time
	}

	// process is one process of a backend server.
	process struct {
		backend string
		started int64
	}

	// limit is the rate that a process takes.
	limit struct {
		// named is false once an answer named no limit any more.
		named bool
		// perSecond is the number of requests a second.
		perSecond float64
		// asOf is when the backend server is known to have said so.
		asOf time.Time
		// next is when the next request may be sent; a time that is past allows a burst.
		next time.Time
	}
)

const (
	// minPerSecond is the rate that is assumed for lower limits: only requests can show that a
	// limit has ended.
	minPerSecond = 0.25
	// burst is the time whose unused requests may be sent at once.
	burst = 500 * time.Millisecond
	// maxDebt bounds how far requests that were sent without permission put off later ones.
	maxDebt = 2 * time.Second
	// limitMemory is how long a limit is remembered without an answer that names it, maxLimits how
	// many are.
	limitMemory = 10 * time.Minute
	maxLimits   = 4096
)

// RecordAnswer records the limit that an answer of a backend server named in the values of its field,
// none of them for no limit. sent is when its request was sent. A value that is no rate changes
// nothing; of several rates the lowest counts.
func (t *Throttler) RecordAnswer(now, sent time.Time, b *messenger.Backend, values []string) {
	if len(values) == 0 && t.isIdle() {
		return
	}
	perSecond, ok := parseRate(values)
	report := &messenger.RateLimit{Backend: b.Id, Started: b.Started, Limited: ok, PerSecond: perSecond}
	if len(values) == 0 {
		// An answer to an earlier request may be older than the limit.
		report.AgeMs = now.Sub(sent).Milliseconds()
	}
	if ok || len(values) == 0 {
		t.Merge(now, "", []*messenger.RateLimit{report})
	}
}

// Merge records limits that another host reports; from is its name, "" for this one.
func (t *Throttler) Merge(now time.Time, from string, reports []*messenger.RateLimit) {
	var changed []*messenger.RateLimit
	t.mu.Lock()
	for _, r := range reports {
		if t.apply(now, from, r) {
			changed = append(changed, r)
		}
	}
	t.mu.Unlock()
	if len(changed) > 0 && (from == "" || t.Relay) {
		t.Publish(from, changed)
	}
}

// Report returns all limits that are known here.
func (t *Throttler) Report(now time.Time) []*messenger.RateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make([]*messenger.RateLimit, 0, len(t.limits))
	for key, l := range t.limits {
		reports = append(reports, &messenger.RateLimit{
			Backend: key.backend, Started: key.started, Limited: l.named, PerSecond: l.perSecond, AgeMs: now.Sub(l.asOf).Milliseconds(),
		})
	}
	return reports
}

// Rate returns the rate in requests a second at which this host may grant requests to a backend server,
// and whether that is bounded.
func (t *Throttler) Rate(now time.Time, b *messenger.Backend) (perSecond float64, limited bool) {
	if t.isIdle() {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l, cold := t.find(b), t.findCold(now, b)
	perSecond = math.Inf(1)
	if l != nil {
		perSecond = t.rate(l)
	}
	if cold != nil {
		perSecond = min(perSecond, cold.perSecond)
	}
	if l == nil && cold == nil {
		return 0, false
	}
	return perSecond, true
}

// WaitToAsk returns the time until the decider may be asked for permission to send a request to a backend
// server. Unlike Wait, it doesn't depend on what this host itself may grant.
func (t *Throttler) WaitToAsk(now time.Time, b *messenger.Backend) time.Duration {
	if t.isIdle() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(wait(now, t.find(b), nil), t.findCold(now, b).waitToAsk(now))
}

// Wait returns the time until this host may grant a request to a backend server.
func (t *Throttler) Wait(now time.Time, b *messenger.Backend) time.Duration {
	if t.isIdle() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return wait(now, t.find(b), t.findCold(now, b))
}

// Reserve grants permission to send one request to a backend server after a wait, which is maxWait at
// most. If granted is false, wait is the time until one might be sent.
func (t *Throttler) Reserve(now time.Time, b *messenger.Backend, maxWait time.Duration) (needed time.Duration, granted bool) {
	if t.isIdle() {
		return 0, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l, cold := t.find(b), t.findCold(now, b)
	needed = wait(now, l, cold)
	if cold != nil && needed > 0 {
		t.putOff.Add(1)
	}
	if needed > maxWait {
		return needed, false
	}
	if l != nil {
		l.use(now, t.rate(l))
	}
	cold.use(now)
	return needed, true
}

// Charge counts a request that is sent to a backend server without permission.
func (t *Throttler) Charge(now time.Time, b *messenger.Backend) {
	if t.isIdle() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.find(b); l != nil && l.next.Sub(now) < maxDebt {
		l.use(now, t.rate(l))
	}
	if cold := t.findCold(now, b); cold != nil && cold.next.Sub(now) < maxDebt {
		cold.use(now)
	}
}

// Defer records that no request may be sent to a backend server for a time, as another host decided.
func (t *Throttler) Defer(now time.Time, b *messenger.Backend, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.find(b); l != nil && l.next.Before(now.Add(wait)) {
		l.next = now.Add(wait)
	}
	if cold := t.findCold(now, b); cold != nil {
		cold.deferred = now.Add(min(wait, maxColdDeferral))
	}
}

// apply stores a report if it is newer than what is known, and reports whether that changes a limit.
// The lock is held.
func (t *Throttler) apply(now time.Time, from string, r *messenger.RateLimit) (changed bool) {
	key := process{r.Backend, r.Started}
	asOf := now.Add(-time.Duration(min(max(r.AgeMs, 0), limitMemory.Milliseconds())) * time.Millisecond)
	known := t.limits[key]
	switch {
	case known == nil && !r.Limited, known != nil && !asOf.After(known.asOf), r.Limited && !isRate(r.PerSecond):
		return false
	case known != nil && known.named == r.Limited && known.perSecond == r.PerSecond:
		known.asOf = asOf
		return false
	case known == nil:
		t.forget(now)
		known = &limit{}
		t.limits[key] = known
	}
	if !known.named {
		known.next = time.Time{}
	}
	t.anyLimit.Store(true)
	known.named, known.perSecond, known.asOf = r.Limited, r.PerSecond, asOf
	t.Log.Emit(now, logger.BackendLimited, "", logger.F("backend", r.Backend), logger.F("limited", r.Limited),
		logger.F("perSecond", r.PerSecond), logger.F("from", from))
	return true
}

// forget makes room for a limit: it drops those that no answer named for limitMemory or, if maxLimits
// are left, the one that was named longest ago. The lock is held.
func (t *Throttler) forget(now time.Time) {
	if t.limits == nil {
		t.limits = make(map[process]*limit)
	}
	if len(t.limits) < maxLimits && now.Sub(t.forgotten) < limitMemory/2 {
		return
	}
	t.forgotten = now
	var oldest process
	for key, l := range t.limits {
		if now.Sub(l.asOf) >= limitMemory {
			delete(t.limits, key)
			continue
		}
		if known := t.limits[oldest]; known == nil || l.asOf.Before(known.asOf) {
			oldest = key
		}
	}
	if len(t.limits) >= maxLimits {
		delete(t.limits, oldest)
	}
}

// isIdle reports whether there has been no limit so far and no backend server is cold.
func (t *Throttler) isIdle() bool { return t == nil || !t.anyLimit.Load() && !t.anyCold.Load() }

// find returns the limit of a backend server; nil if it has none. The lock is held.
func (t *Throttler) find(b *messenger.Backend) *limit {
	l := t.limits[process{b.Id, b.Started}]
	if l == nil || !l.named {
		return nil
	}
	return l
}

// rate returns the rate that this host may grant of a limit.
func (t *Throttler) rate(l *limit) float64 {
	return max(l.perSecond, minPerSecond) * t.Share()
}

// wait returns the time until a limit and a cold backend server allow a request; both may be nil.
func wait(now time.Time, l *limit, cold *coldBackend) time.Duration {
	needed := time.Duration(0)
	if l != nil {
		needed = max(needed, l.next.Sub(now))
	}
	return max(needed, cold.wait(now))
}

// use counts one request.
func (l *limit) use(now time.Time, perSecond float64) {
	if earliest := now.Add(-burst); l.next.Before(earliest) {
		l.next = earliest
	}
	l.next = l.next.Add(time.Duration(float64(time.Second) / perSecond))
}
