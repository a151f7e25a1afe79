package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"verbenareach/internal/wire/messenger"
)

type (
	// history is the evidence for and against parts of prompts.
	history struct {
		// crashes holds the ends of engines that are remembered, byPart the same by the parts that
		// each may have been due to, oldest first.
		crashes map[process]*crash
		byPart  map[string][]*crash
		// healthy holds the parts with which a generation began and went on; old ones were dropped from
		// it at healthyDropped.
		healthy        map[string]health
		healthyDropped time.Time
	}

	// process is one process of an engine.
	process struct {
		backend string
		started int64
	}

	// crash is the end of a process while generations began there.
	crash struct {
		process process
		at      time.Time
		runs    map[string]*messenger.BeginningRun
		// suspects holds the parts that the crash may be due to, with the weight of the evidence.
		suspects map[string]int
	}

	// health is when the newest generation with a part began that went on: known here, and as
	// it was exchanged between hosts.
	health struct {
		known, exchanged time.Time
	}

	// evidence is the evidence against a part.
	evidence struct {
		// engines counts the processes that ended with the part, rounds those of them that ended
		// roundGap after another one. score is the weight of the rounds, and of further ends in them.
		engines, rounds, score int
		// until is the end of the quarantine.
		until time.Time
	}
)

const (
	// roundGap is the time within which several ends of engines count as one: a failure domain
	// that is lost ends many at once.
	roundGap = 200 * time.Millisecond
	// begunWeight and placedWeight are the weights of a round in which a response with the part
	// had begun, and of one in which none had. wholeWeight is that of a round of a whole request,
	// and furtherWeight that of each further end within it: few requests are equal by chance, and
	// equal ones may arrive together.
	begunWeight   = 2
	placedWeight  = 1
	wholeWeight   = 2
	furtherWeight = 1
	// quarantineScore is the score from which on a part is quarantined, and recentlyHealthyScore
	// that of a part that was healthy within healthMemory before the first crash.
	quarantineScore      = 2 * begunWeight
	recentlyHealthyScore = 4 * begunWeight
	healthMemory         = 10 * time.Second
	// healthStep is the least difference for which a newer time is passed on that clears no crash.
	healthStep = time.Second
	// firstQuarantine is how long a part is quarantined; the time doubles with each further
	// round, up to maxQuarantine.
	firstQuarantine = 5 * time.Minute
	maxQuarantine   = time.Hour
	// crashMemory is how long a crash is remembered.
	crashMemory = 2 * maxQuarantine
	// maxCrashes and maxHealthy bound the crashes and the healthy parts that are remembered;
	// maxRunsPerCrash bounds the generations of one crash, maxParts the parts of each.
	maxCrashes      = 256
	maxHealthy      = 8192
	maxRunsPerCrash = 64
	maxParts        = 64
)

// merge adds a report. It returns what of it is new here, and the newest times at which parts in it
// were healthy as far as only this host knows them.
func (h *history) merge(now time.Time, report *messenger.CrashReport) (news, own *messenger.CrashReport) {
	news, own = &messenger.CrashReport{}, &messenger.CrashReport{}
	for _, c := range report.GetCrashes() {
		if h.addCrash(now, c) {
			news.Crashes = append(news.Crashes, c)
		}
	}
	if len(news.Crashes) > 0 {
		h.forget(now)
		h.index()
	}
	for _, p := range report.GetHealthyParts() {
		if h.addHealthy(now, p) {
			news.HealthyParts = append(news.HealthyParts, p)
		}
	}
	for _, c := range news.Crashes {
		own.HealthyParts = append(own.HealthyParts, h.unexchanged(now, c)...)
	}
	return news, own
}

// addCrash adds a crash, or further generations of a known one. It reports whether that is new.
func (h *history) addCrash(now time.Time, m *messenger.EngineCrash) (changed bool) {
	if h.crashes == nil {
		h.crashes = make(map[process]*crash)
	}
	key := process{m.Backend, m.Started}
	c := h.crashes[key]
	at := now.Add(-age(m.AgeMs))
	for _, r := range m.Runs {
		if len(r.Parts) == 0 {
			continue
		}
		if c == nil {
			c = &crash{process: key, at: at, runs: make(map[string]*messenger.BeginningRun)}
			h.crashes[key] = c
		}
		known := c.runs[r.Run]
		if known != nil && (known.Begun || !r.Begun) || len(c.runs) >= maxRunsPerCrash {
			continue
		}
		c.runs[r.Run] = &messenger.BeginningRun{Run: r.Run, Parts: r.Parts[:min(len(r.Parts), maxParts)], Begun: r.Begun}
		changed = true
	}
	if changed && at.Before(c.at) {
		c.at = at
	}
	return changed
}

// age returns an age in a message, which other hosts measured, as a duration that is not negative.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), crashMemory.Milliseconds())) * time.Millisecond
}

// forget drops the crashes that are too old, and the oldest ones beyond maxCrashes.
func (h *history) forget(now time.Time) {
	kept := make([]*crash, 0, len(h.crashes))
	for key, c := range h.crashes {
		if now.Sub(c.at) > crashMemory {
			delete(h.crashes, key)
			continue
		}
		kept = append(kept, c)
	}
	slices.SortFunc(kept, func(a, b *crash) int { return a.at.Compare(b.at) })
	for _, c := range kept[:max(len(kept)-maxCrashes, 0)] {
		delete(h.crashes, c.process)
	}
}

// index makes byPart anew.
func (h *history) index() {
	h.byPart = make(map[string][]*crash)
	for _, c := range h.crashes {
		c.suspects = suspectsOf(c.runs)
		for id := range c.suspects {
			h.byPart[id] = append(h.byPart[id], c)
		}
	}
	for _, list := range h.byPart {
		slices.SortFunc(list, func(a, b *crash) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.process.backend, b.process.backend))
		})
	}
}

// suspectsOf returns the parts that a crash may be due to, with the weight of the evidence. If a
// response had begun, of requests without one only the whole ones are suspects.
func suspectsOf(runs map[string]*messenger.BeginningRun) map[string]int {
	anyBegun, partWeight := false, placedWeight
	for _, r := range runs {
		if r.Begun {
			anyBegun, partWeight = true, begunWeight
		}
	}
	suspects := make(map[string]int)
	for _, r := range runs {
		for _, id := range r.Parts {
			switch {
			case IsWholeRequest(id):
				suspects[id] = wholeWeight
			case r.Begun == anyBegun:
				suspects[id] = partWeight
			}
		}
	}
	return suspects
}

// evidence returns the evidence against a part since it was last healthy, and whether it is enough.
func (h *history) evidence(id string) (e evidence, enough bool) {
	healthyAt := h.healthy[id].known
	required, roundWeight := quarantineScore, 0
	var first, lastRound time.Time
	for _, crash := range h.byPart[id] {
		if !crash.at.After(healthyAt) {
			continue
		}
		if first.IsZero() {
			first = crash.at
		}
		e.engines++
		if e.rounds == 0 || crash.at.Sub(lastRound) >= roundGap {
			lastRound, roundWeight = crash.at, 0
			e.rounds++
		} else if IsWholeRequest(id) {
			e.score += furtherWeight
		}
		e.score += max(crash.suspects[id]-roundWeight, 0)
		roundWeight = max(crash.suspects[id], roundWeight)
	}
	if !healthyAt.IsZero() && first.Sub(healthyAt) <= healthMemory {
		required = recentlyHealthyScore
	}
	if e.score < required {
		return e, false
	}
	beyond := (e.score - required) / begunWeight
	e.until = lastRound.Add(min(firstQuarantine<<min(beyond, maxDoublings), maxQuarantine))
	return e, true
}

// maxDoublings is the number of doublings from which on a quarantine lasts maxQuarantine.
const maxDoublings = 10

// refusedUntil returns the end of the quarantine of one of the parts of a request, and whether it is
// quarantined for this request. It is not if each crash with the part is explained by another
// quarantined part that the request does not have.
func (h *history) refusedUntil(id string, parts []string) (until time.Time, suspect bool) {
	e, enough := h.evidence(id)
	if !enough {
		return time.Time{}, false
	}
	healthyAt := h.healthy[id].known
	for _, crash := range h.byPart[id] {
		if crash.at.After(healthyAt) && (h.sharedByRequests(id) || !h.explained(crash, parts)) {
			return e.until, true
		}
	}
	return time.Time{}, false
}

// sharedByRequests reports whether a part, itself no whole request, came up at crashes with more than one
// quarantined whole request: then none of these explains them.
func (h *history) sharedByRequests(id string) bool {
	if IsWholeRequest(id) {
		return false
	}
	first := ""
	for _, crash := range h.byPart[id] {
		for other := range crash.suspects {
			if !IsWholeRequest(other) || other == first {
				continue
			}
			if _, enough := h.evidence(other); !enough {
				continue
			}
			if first != "" {
				return true
			}
			first = other
		}
	}
	return false
}

// explained reports whether a crash may be due to a quarantined part that is none of the given ones.
func (h *history) explained(c *crash, parts []string) bool {
	for other := range c.suspects {
		if slices.Contains(parts, other) {
			continue
		}
		if _, enough := h.evidence(other); enough {
			return true
		}
	}
	return false
}

// recordHealthy records that a generation with a part began at a time and went on. It reports whether
// the other hosts need to know.
func (h *history) recordHealthy(now, begun time.Time, id string) bool {
	s := h.healthy[id]
	if !begun.After(s.known) {
		return false
	}
	cleared := h.crashBetween(id, s.exchanged, begun)
	if !h.hasHealthyRoom(now) && !cleared {
		return false
	}
	s.known = begun
	if cleared {
		s.exchanged = begun
	}
	h.healthy[id] = s
	return cleared
}

// crashBetween reports whether an engine ended with a part after one time and before another.
func (h *history) crashBetween(id string, after, before time.Time) bool {
	return slices.ContainsFunc(h.byPart[id], func(c *crash) bool { return c.at.After(after) && c.at.Before(before) })
}

// hasHealthyRoom reports whether another healthy part can be remembered. If there are maxHealthy, it first
// drops, at most once in healthStep, those that were healthy last before healthMemory and with which no
// engine ended.
func (h *history) hasHealthyRoom(now time.Time) bool {
	if h.healthy == nil {
		h.healthy = make(map[string]health)
	}
	if len(h.healthy) < maxHealthy || now.Sub(h.healthyDropped) < healthStep {
		return len(h.healthy) < maxHealthy
	}
	h.healthyDropped = now
	for id, s := range h.healthy {
		if now.Sub(s.known) > healthMemory && len(h.byPart[id]) == 0 {
			delete(h.healthy, id)
		}
	}
	return len(h.healthy) < maxHealthy
}

// addHealthy adds what another host knows of a part, and reports whether that is new.
func (h *history) addHealthy(now time.Time, m *messenger.HealthyPart) bool {
	begun := now.Add(-age(m.AgeMs))
	suspected := len(h.byPart[m.Id]) > 0
	if !h.hasHealthyRoom(now) && !suspected {
		return false
	}
	s := h.healthy[m.Id]
	isNew := suspected && (begun.Sub(s.exchanged) >= healthStep || h.crashBetween(m.Id, s.exchanged, begun))
	if begun.After(s.exchanged) {
		s.exchanged = begun
	}
	if begun.After(s.known) {
		s.known = begun
	}
	h.healthy[m.Id] = s
	return isNew
}

// unexchanged returns the times at which the parts of a crash were healthy, as far as other hosts may
// not know them, and counts them as exchanged.
func (h *history) unexchanged(now time.Time, m *messenger.EngineCrash) []*messenger.HealthyPart {
	var list []*messenger.HealthyPart
	for _, r := range m.Runs {
		for _, id := range r.Parts {
			s := h.healthy[id]
			isNews := s.known.Sub(s.exchanged) >= healthStep || h.crashBetween(id, s.exchanged, s.known)
			if !isNews || now.Sub(s.known) > healthMemory+age(m.AgeMs) {
				continue
			}
			s.exchanged = s.known
			h.healthy[id] = s
			list = append(list, h.healthyPart(now, id))
		}
	}
	return list
}

// healthyPart returns what is known of a part as a message.
func (h *history) healthyPart(now time.Time, id string) *messenger.HealthyPart {
	return &messenger.HealthyPart{Id: id, AgeMs: now.Sub(h.healthy[id].known).Milliseconds()}
}

// report returns all crashes, and when their parts were healthy last; nil if there are none.
func (h *history) report(now time.Time) *messenger.CrashReport {
	if len(h.crashes) == 0 {
		return nil
	}
	report := &messenger.CrashReport{}
	for _, c := range h.crashes {
		m := &messenger.EngineCrash{Backend: c.process.backend, Started: c.process.started, AgeMs: now.Sub(c.at).Milliseconds()}
		for _, r := range c.runs {
			m.Runs = append(m.Runs, r)
		}
		report.Crashes = append(report.Crashes, m)
	}
	for id := range h.byPart {
		if !h.healthy[id].known.IsZero() {
			report.HealthyParts = append(report.HealthyParts, h.healthyPart(now, id))
		}
	}
	return report
}
