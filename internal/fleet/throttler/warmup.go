package throttler

import (
	"strconv"
	"strings"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

type (
	// warmUp is what is known of how long a process is cold.
	warmUp struct {
		// until is when it is warm, asOf when it is known to have said so.
		until, asOf time.Time
		// told is the value of until that the other hosts have.
		told time.Time
		// relayed is when another host's report was passed on last, corrected when one was answered.
		relayed, corrected time.Time
		// next is when the next request may be sent; a time that is past allows a burst.
		next time.Time
		// deferred is until when no other host is asked for permission, as the last one refused it.
		deferred time.Time
		// logged is set while the log says that the process is cold.
		logged bool
	}

	// coldBackend is the warm-up of a process that is cold at a time, with the requests a second that
	// this host may grant to it then; 0 for none.
	coldBackend struct {
		*warmUp

		perSecond float64
	}
)

// Sources of what is known of a warm-up.
const (
	// FromReport is a backend server's report to this host, FromAnswer its answer to a request, and
	// FromStart its first report, if that does not say whether it is cold. They are values of a field of
	// the log.
	FromReport = "report"
	FromAnswer = "answer"
	FromStart  = "start"
)

const (
	// coldBurst is the time whose unused requests a cold backend server may get at once. It covers
	// the time between two decisions.
	coldBurst = 100 * time.Millisecond
	// minColdPerSecond is the lowest rate that this host grants of a cold backend server's bound:
	// below, the first requests of many hosts would exceed the bound together.
	minColdPerSecond = 1
	// warmUpMargin is the change of the end of a warm-up from which on other hosts are told.
	warmUpMargin = 200 * time.Millisecond
	// relayInterval is the least time between two reports of other hosts about one process that are passed
	// on, or answered: over slow links each looks newer than the one before, and would go around for good.
	relayInterval = time.Second
	// maxColdDeferral bounds how long a refusal puts off the next question for permission: meanwhile
	// another host may decide, or this one may be linked again.
	maxColdDeferral = time.Second
	// MaxColdTime is the longest time that a backend server may say it is cold for.
	MaxColdTime = time.Hour
)

// RecordCold records that a backend server has said, as of a time, how long it will be cold; 0 if it is
// warm. A time below 0 or above MaxColdTime changes nothing.
func (t *Throttler) RecordCold(now, asOf time.Time, b *messenger.Backend, left time.Duration, source string) {
	t.mergeWarmUps(now, "", source, []*messenger.WarmUp{{
		Backend: b.Id, Started: b.Started, LeftMs: left.Milliseconds(), AgeMs: now.Sub(asOf).Milliseconds(),
	}})
}

// RecordColdAnswer records what the values of an answer's field say of how long the backend server is
// cold, in milliseconds. The request was sent at the given time, the answer has come now. Of several the
// highest counts; values that are no such time change nothing, nor does what a backend server without a
// bound says.
func (t *Throttler) RecordColdAnswer(now, sent time.Time, b *messenger.Backend, values []string) {
	longest, said := time.Duration(0), false
	for _, text := range values {
		if left, ok := parseColdTime(text); ok {
			longest, said = max(longest, left), true
		}
	}
	if said && t.ColdRate(b.Id) > 0 {
		asOf := now
		if longest == 0 {
			// An answer to an earlier request may be older than the start of the warm-up.
			asOf = sent
		}
		t.RecordCold(now, asOf, b, longest, FromAnswer)
	}
}

// MergeWarmUps records warm-ups that another host reports; from is its name. If it reports what is
// outdated here, all hosts are told what is known here, once in relayInterval.
func (t *Throttler) MergeWarmUps(now time.Time, from string, reports []*messenger.WarmUp) {
	t.mergeWarmUps(now, from, "", reports)
}

// ReportWarmUps returns all warm-ups that are known here and not over.
func (t *Throttler) ReportWarmUps(now time.Time) []*messenger.WarmUp {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []*messenger.WarmUp
	for key, w := range t.warmUps {
		if now.Before(w.until) {
			reports = append(reports, w.report(now, key))
		}
	}
	return reports
}

// IsCold reports whether a backend server is cold and has a bound on its requests meanwhile. left is the
// time until it is warm.
func (t *Throttler) IsCold(now time.Time, b *messenger.Backend) (left time.Duration, cold bool) {
	if t.isIdle() {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.findCold(now, b)
	if c == nil {
		return 0, false
	}
	return c.until.Sub(now), true
}

// BoundEnds reports whether a bound on the requests to a backend server ends once it is warm, and the
// time until then.
func (t *Throttler) BoundEnds(now time.Time, b *messenger.Backend) (left time.Duration, ends bool) {
	left, cold := t.IsCold(now, b)
	if !cold {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return left, t.find(b) == nil
}

// HasWarmUp reports whether a process has said whether it is cold.
func (t *Throttler) HasWarmUp(b *messenger.Backend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.warmUps[process{b.Id, b.Started}] != nil
}

// CountPutOff counts a request that has to wait or go elsewhere as backend servers are cold.
func (t *Throttler) CountPutOff() { t.putOff.Add(1) }

// PutOff returns how many requests had to wait or go elsewhere as backend servers were cold.
func (t *Throttler) PutOff() uint64 { return t.putOff.Load() }

// ExpireWarmUps logs the warm-ups that are over and returns how many backend servers are cold.
func (t *Throttler) ExpireWarmUps(now time.Time) (cold int) {
	if t.isIdle() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, w := range t.warmUps {
		if now.Before(w.until) {
			cold++
			continue
		}
		t.logWarm(now, key, w, "", "")
	}
	t.anyCold.Store(cold > 0)
	return cold
}

// mergeWarmUps records warm-ups and publishes what is news for other hosts.
func (t *Throttler) mergeWarmUps(now time.Time, from, source string, reports []*messenger.WarmUp) {
	var changed, corrections []*messenger.WarmUp
	t.mu.Lock()
	for _, r := range reports {
		key := process{r.Backend, r.Started}
		isNews, isOutdated := t.applyWarmUp(now, from, source, key, r)
		if isNews {
			changed = append(changed, t.warmUps[key].report(now, key))
		}
		if isOutdated {
			corrections = append(corrections, t.warmUps[key].report(now, key))
		}
	}
	t.mu.Unlock()
	if len(changed) > 0 && (from == "" || t.Relay) {
		t.PublishWarmUps(from, changed)
	}
	if len(corrections) > 0 && from != "" {
		t.PublishWarmUps("", corrections)
	}
}

// applyWarmUp stores a report if it is newer than what is known. isNews is set if other hosts must be
// told, isOutdated if the report contradicts what is known here. The lock is held.
func (t *Throttler) applyWarmUp(now time.Time, from, source string, key process, r *messenger.WarmUp) (isNews, isOutdated bool) {
	if r.LeftMs < 0 || r.LeftMs > MaxColdTime.Milliseconds() {
		return false, false
	}
	asOf := now.Add(-time.Duration(min(max(r.AgeMs, 0), MaxColdTime.Milliseconds())) * time.Millisecond)
	until := asOf.Add(time.Duration(r.LeftMs) * time.Millisecond)
	w := t.warmUps[key]
	if w == nil {
		t.forgetWarmUps(now)
		w = &warmUp{}
		t.warmUps[key] = w
	}
	if !asOf.After(w.asOf) {
		if !differ(now, until, w.until) || now.Sub(w.corrected) < relayInterval {
			return false, false
		}
		w.corrected = now
		return false, true
	}
	if !now.Before(w.until) {
		// What was granted before does not count.
		w.next = time.Time{}
	}
	w.until, w.asOf = until, asOf
	if now.Before(until) {
		t.anyCold.Store(true)
	}
	if !differ(now, until, w.told) || from != "" && now.Sub(w.relayed) < relayInterval {
		return false, false
	}
	if from != "" {
		w.relayed = now
	}
	w.told = until
	if !now.Before(until) {
		t.logWarm(now, key, w, from, source)
		return true, false
	}
	w.logged = true
	t.Log.Emit(now, logger.BackendCold, "", logger.F("backend", key.backend), logger.F("started", key.started),
		logger.F("left", until.Sub(now)), logger.F("from", from), logger.F("source", source))
	return true, false
}

// logWarm logs that a process is warm, unless the log says so already. The lock is held.
func (t *Throttler) logWarm(now time.Time, key process, w *warmUp, from, source string) {
	if !w.logged {
		return
	}
	w.logged = false
	t.Log.Emit(now, logger.BackendWarm, "", logger.F("backend", key.backend), logger.F("started", key.started),
		logger.F("from", from), logger.F("source", source))
}

// forgetWarmUps makes room for a process: it drops those that said nothing for limitMemory and are warm
// or, if maxLimits are left, the one that said something longest ago. The lock is held.
func (t *Throttler) forgetWarmUps(now time.Time) {
	if t.warmUps == nil {
		t.warmUps = make(map[process]*warmUp)
	}
	if len(t.warmUps) < maxLimits && now.Sub(t.warmUpsForgotten) < limitMemory/2 {
		return
	}
	t.warmUpsForgotten = now
	var oldest process
	for key, w := range t.warmUps {
		if now.Sub(w.asOf) >= limitMemory && !now.Before(w.until) {
			delete(t.warmUps, key)
			continue
		}
		if known := t.warmUps[oldest]; known == nil || w.asOf.Before(known.asOf) {
			oldest = key
		}
	}
	if len(t.warmUps) >= maxLimits {
		delete(t.warmUps, oldest)
	}
}

// findCold returns the warm-up of a backend server that is cold and has a bound meanwhile; nil if it has
// none. The lock is held.
func (t *Throttler) findCold(now time.Time, b *messenger.Backend) *coldBackend {
	if !t.anyCold.Load() {
		return nil
	}
	w := t.warmUps[process{b.Id, b.Started}]
	if w == nil || !now.Before(w.until) {
		return nil
	}
	perSecond := t.ColdRate(b.Id)
	if perSecond <= 0 {
		return nil
	}
	share := t.ColdShare()
	if share < 1 && share*perSecond < minColdPerSecond {
		return &coldBackend{warmUp: w}
	}
	return &coldBackend{warmUp: w, perSecond: perSecond * share}
}

// report returns the warm-up as it is passed on.
func (w *warmUp) report(now time.Time, key process) *messenger.WarmUp {
	return &messenger.WarmUp{
		Backend: key.backend, Started: key.started,
		LeftMs: w.until.Sub(w.asOf).Milliseconds(), AgeMs: now.Sub(w.asOf).Milliseconds(),
	}
}

// wait returns the time until a request may be sent, which is when the process is warm at the latest; c
// may be nil.
func (c *coldBackend) wait(now time.Time) time.Duration {
	if c == nil {
		return 0
	}
	left := c.until.Sub(now)
	if c.perSecond == 0 {
		return left
	}
	return min(max(c.next.Sub(now), 0), left)
}

// waitToAsk returns the time until another host may be asked for permission; c may be nil.
func (c *coldBackend) waitToAsk(now time.Time) time.Duration {
	if c == nil {
		return 0
	}
	return min(max(c.next.Sub(now), c.deferred.Sub(now), 0), c.until.Sub(now))
}

// use counts one request; c may be nil.
func (c *coldBackend) use(now time.Time) {
	if c == nil || c.perSecond == 0 {
		return
	}
	if earliest := now.Add(-coldBurst); c.next.Before(earliest) {
		c.next = earliest
	}
	c.next = c.next.Add(time.Duration(float64(time.Second) / c.perSecond))
}

// differ reports whether two ends of a warm-up leave times that differ by more than warmUpMargin.
func differ(now, a, b time.Time) bool {
	return (max(a.Sub(now), 0) - max(b.Sub(now), 0)).Abs() > warmUpMargin
}

// parseColdTime parses a time in milliseconds. ok is false if text is none from 0 to MaxColdTime.
func parseColdTime(text string) (left time.Duration, ok bool) {
	ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return 0, false
	}
	return ColdTime(ms)
}

// ColdTime returns a number of milliseconds as a time. ok is false if it is not from 0 to MaxColdTime.
func ColdTime(ms float64) (left time.Duration, ok bool) {
	// The comparisons are false for NaN.
	if inRange := ms >= 0 && ms <= float64(MaxColdTime/time.Millisecond); !inRange {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}
