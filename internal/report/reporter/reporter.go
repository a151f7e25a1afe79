// Package reporter counts the service levels of an entry by workspace and model,
// over several time windows and in bounded memory.
package reporter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

type (
	// Key identifies one series: a workspace and the model or service that it used.
	Key struct {
		Workspace string
		// Model is the workspace's name for a model; for a plain service, it is
		// "service/" and the service's name.
		Model string
	}

	// Refusal is the reason why a request was refused before it ran.
	Refusal int

	// Reporter counts the service levels of all workspaces. Its fields are set
	// before first use; a nil Reporter counts nothing.
	Reporter struct {
		// Process is the name of the entry.
		Process string
		// Since is when counting started.
		Since time.Time
		// MaxSeries bounds the number of series; 0 means DefaultMaxSeries. Requests
		// of further keys are counted under Overflow.
		MaxSeries int
		// OnFirstToken, OnGap and OnTokens are called, if not nil, with the time to a
		// first token, the gap before each later delivery, and the tokens of each delivery.
		OnFirstToken func(time.Duration)
		OnGap        func(time.Duration)
		OnTokens     func(n int)

		mu     sync.RWMutex
		series map[Key]*series
	}

	// Stream counts one generation as delivered to its caller. It must be used
	// by one goroutine only. A nil Stream counts nothing.
	Stream struct {
		reporter *Reporter
		series   *series
		targets  registrar.Targets
		// last is the time of the latest delivery; before the first, it is when the request arrived.
		last          time.Time
		hasFirstToken bool
	}
)

// Reasons for refusals.
const (
	// RefusedLimit means that a limit of the contract was reached. It spends no error budget.
	RefusedLimit Refusal = iota
	// RefusedRoom means that the system had no free capacity or no backend server.
	RefusedRoom
)

const (
	// DefaultMaxSeries is enough for 4,900 workspaces with 10 models each.
	DefaultMaxSeries = 1 << 16
	// stallFactor is how many times the target a gap between tokens must exceed to count as a stall.
	stallFactor = 10
	// defaultStall is the gap that counts as a stall if exceeded, for a contract without a target.
	defaultStall = 500 * time.Millisecond
)

// Overflow is the key of the series that counts requests of all keys beyond MaxSeries.
var Overflow = Key{Workspace: "(other)", Model: "(other)"}

// ServiceKey returns the key of a workspace's calls to a plain service.
func ServiceKey(workspace, service string) Key {
	return Key{Workspace: workspace, Model: "service/" + service}
}

// Called counts one call to a plain service that was answered after took;
// outcomeKnown is false if its outcome is unknown.
func (r *Reporter) Called(now time.Time, key Key, targets registrar.Targets, took time.Duration, outcomeKnown bool) {
	if r == nil {
		return
	}
	s := r.seriesFor(key)
	s.count(now, func(open *slot) {
		s.targets = targets
		open.counts.Requests++
		if !outcomeKnown {
			open.counts.Incomplete++
			return
		}
		open.recordFirstToken(targets, took)
	})
}

// Open returns a Stream for a generation whose request arrived at now.
func (r *Reporter) Open(now time.Time, key Key, targets registrar.Targets) *Stream {
	if r == nil {
		return nil
	}
	s := r.seriesFor(key)
	s.mu.Lock()
	s.targets = targets
	s.lastUsed = now
	s.mu.Unlock()
	return &Stream{reporter: r, series: s, targets: targets, last: now}
}

// Refused counts a request that was refused before it ran.
func (r *Reporter) Refused(now time.Time, key Key, reason Refusal) {
	if r == nil {
		return
	}
	r.seriesFor(key).count(now, func(open *slot) {
		if reason == RefusedLimit {
			open.counts.RefusedLimit++
			return
		}
		open.counts.RefusedRoom++
	})
}

// Resume returns a Stream for a generation whose caller reconnected at now, after the first token.
func (r *Reporter) Resume(now time.Time, key Key, targets registrar.Targets) *Stream {
	s := r.Open(now, key, targets)
	if s != nil {
		s.hasFirstToken = true
	}
	return s
}

// Snapshot returns the service levels that a request selects.
func (r *Reporter) Snapshot(now time.Time, req *messenger.BurnRequest) *messenger.BurnReply {
	if r == nil {
		return &messenger.BurnReply{}
	}
	reply := &messenger.BurnReply{Process: r.Process, CountingSince: r.Since.UnixNano()}
	for _, s := range r.matching(req) {
		reply.Series = append(reply.Series, s.snapshot(now))
	}
	reply.Matched = uint32(len(reply.Series))
	if worst := int(req.GetWorst()); worst > 0 && worst < len(reply.Series) {
		slices.SortFunc(reply.Series, func(a, b *messenger.BurnSeries) int {
			return cmp.Compare(urgency(b), urgency(a))
		})
		reply.Series = reply.Series[:worst]
	}
	return reply
}

// Sweep closes minutes that have ended and drops series that were not used
// within the longest window. Call it about once a minute.
func (r *Reporter) Sweep(now time.Time) {
	if r == nil {
		return
	}
	for _, s := range r.matching(&messenger.BurnRequest{}) {
		if !s.sweep(now) {
			continue
		}
		r.mu.Lock()
		delete(r.series, s.key)
		r.mu.Unlock()
	}
}

// seriesFor returns the series of key and creates it if needed. Once MaxSeries
// is reached, it returns the series of Overflow for new keys.
func (r *Reporter) seriesFor(key Key) *series {
	r.mu.RLock()
	s, ok := r.series[key]
	r.mu.RUnlock()
	if ok {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.MaxSeries
	if limit == 0 {
		limit = DefaultMaxSeries
	}
	if len(r.series) >= limit && r.series[key] == nil {
		key = Overflow
	}
	if s, ok := r.series[key]; ok {
		return s
	}
	if r.series == nil {
		r.series = make(map[Key]*series)
	}
	s = &series{key: key}
	r.series[key] = s
	return s
}

// matching returns the series that a request selects, sorted by key.
func (r *Reporter) matching(req *messenger.BurnRequest) []*series {
	wanted := make(map[Key]bool, len(req.GetKeys()))
	for _, k := range req.GetKeys() {
		wanted[Key{Workspace: k.GetWorkspace(), Model: k.GetModel()}] = true
	}
	var all []*series
	r.mu.RLock()
	for key, s := range r.series {
		switch {
		case req.GetWorkspace() != "" && key.Workspace != req.GetWorkspace():
		case req.GetModel() != "" && key.Model != req.GetModel():
		case len(wanted) > 0 && !wanted[key]:
		default:
			all = append(all, s)
		}
	}
	r.mu.RUnlock()
	slices.SortFunc(all, func(a, b *series) int {
		return cmp.Or(cmp.Compare(a.key.Workspace, b.key.Workspace), cmp.Compare(a.key.Model, b.key.Model))
	})
	return all
}

// End counts the end of a generation, complete or not.
func (s *Stream) End(now time.Time, complete bool) {
	if s == nil {
		return
	}
	s.series.count(now, func(open *slot) {
		open.counts.Requests++
		if !complete {
			open.counts.Incomplete++
		}
	})
}

// Preempted counts a preemption: the generation lost its slot at an engine and was continued later.
func (s *Stream) Preempted(now time.Time) {
	if s == nil {
		return
	}
	s.series.count(now, func(open *slot) { open.counts.Preemptions++ })
}

// Tokens counts n tokens that were delivered together at now.
func (s *Stream) Tokens(now time.Time, n int) {
	if s == nil || n <= 0 {
		return
	}
	gap := max(now.Sub(s.last), 0)
	s.last = now
	s.notify(gap, n)
	s.series.mu.Lock()
	defer s.series.mu.Unlock()
	open := s.series.slotAt(now)
	if !s.hasFirstToken {
		s.hasFirstToken = true
		open.recordFirstToken(s.targets, gap)
	} else {
		open.recordGap(s.targets, gap)
	}
	if n > 1 {
		open.counts.Gaps += uint64(n - 1)
		record(open.gaps.RecordValues, 0, int64(n-1))
	}
}

// notify calls the reporter's callbacks for n tokens that were delivered together after a gap.
func (s *Stream) notify(gap time.Duration, n int) {
	r := s.reporter
	if !s.hasFirstToken && r.OnFirstToken != nil {
		r.OnFirstToken(gap)
	}
	if s.hasFirstToken && r.OnGap != nil {
		r.OnGap(gap)
	}
	if r.OnTokens != nil {
		r.OnTokens(n)
	}
}

func (s *slot) recordFirstToken(targets registrar.Targets, took time.Duration) {
	s.counts.FirstTokens++
	if target := time.Duration(targets.FirstToken); target > 0 && took > target {
		s.counts.FirstTokensLate++
	}
	record(s.firstTokens.RecordValues, int64(took/Unit), 1)
}

func (s *slot) recordGap(targets registrar.Targets, gap time.Duration) {
	target := time.Duration(targets.BetweenTokens)
	s.counts.Gaps++
	if target > 0 && gap > target {
		s.counts.GapsLate++
	}
	stall := defaultStall
	if target > 0 {
		stall = stallFactor * target
	}
	if gap > stall {
		s.counts.Stalls++
		s.counts.StallNanos += uint64(gap)
	}
	record(s.gaps.RecordValues, int64(gap/Unit), 1)
}

// urgency returns the rank of a series by its counts of one hour; the worst series has the highest.
func urgency(s *messenger.BurnSeries) float64 {
	const hourWindow = 1
	sum := s.GetWindows()[hourWindow].GetSum()
	late := sum.GetFirstTokensLate() + sum.GetGapsLate()
	all := sum.GetFirstTokens() + sum.GetGaps()
	// Each incomplete or refused request adds 1, since callers notice these most.
	rank := float64(sum.GetIncomplete() + sum.GetRefusedRoom())
	if all > 0 {
		rank += float64(late) / float64(all)
	}
	return rank
}
