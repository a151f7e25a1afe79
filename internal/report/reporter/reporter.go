// Package reporter counts in an entry how well each workspace is served by each
// model, over several windows of time, in bounded memory.
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
	// Key names one series: a workspace and the model name or service that it used.
	Key struct {
		Workspace string
		// Model is the name under which the workspace knows a model; for a plain
		// service, "service/" and its name.
		Model string
	}

	// Refusal says why a request was refused before it ran.
	Refusal int

	// Reporter counts for all workspaces. Its fields are set before first use;
	// a nil Reporter counts nothing.
	Reporter struct {
		// Process is the name of the entry.
		Process string
		// Since is when counting started.
		Since time.Time
		// MaxSeries bounds the number of series; 0 means DefaultMaxSeries. What
		// belongs to further ones is counted under Overflow.
		MaxSeries int
		// OnFirstToken, OnGap and OnTokens are told of each delivery; nil for nobody to tell.
		OnFirstToken func(time.Duration)
		OnGap        func(time.Duration)
		OnTokens     func(n int)

		mu     sync.RWMutex
		series map[Key]*series
	}

	// Stream counts one generation as its caller sees it. It belongs to one
	// goroutine. A nil Stream counts nothing.
	Stream struct {
		reporter *Reporter
		series   *series
		targets  registrar.Targets
		// last is when the newest token was delivered, or when the request arrived.
		last    time.Time
		started bool
	}
)

// Reasons of refusals.
const (
	// RefusedLimit means that the contract's limits were reached: it burns no budget.
	RefusedLimit Refusal = iota
	// RefusedRoom means that the system had no room or no backend server.
	RefusedRoom
)

const (
	// DefaultMaxSeries leaves room for 4,900 workspaces with 10 models each.
	DefaultMaxSeries = 1 << 16
	// stallFactor is how many targets a gap between tokens has to last to be a stall.
	stallFactor = 10
	// stallDefault is the length of a stall where the contract has no target.
	stallDefault = 500 * time.Millisecond
)

// Overflow is the series of all that no other one has room for.
var Overflow = Key{Workspace: "(other)", Model: "(other)"}

// ServiceKey returns the key of a workspace's calls to a plain service.
func ServiceKey(workspace, service string) Key {
	return Key{Workspace: workspace, Model: "service/" + service}
}

// Called counts one call to a plain service that took a time to be answered;
// known tells whether its outcome is.
func (r *Reporter) Called(now time.Time, key Key, targets registrar.Targets, took time.Duration, known bool) {
	if r == nil {
		return
	}
	s := r.at(key)
	s.count(now, func(open *slot) {
		s.targets = targets
		open.counts.Requests++
		if !known {
			open.counts.Incomplete++
			return
		}
		open.firstToken(targets, took)
	})
}

// Open starts to count a generation whose request arrived at now.
func (r *Reporter) Open(now time.Time, key Key, targets registrar.Targets) *Stream {
	if r == nil {
		return nil
	}
	s := r.at(key)
	s.mu.Lock()
	s.targets = targets
	s.used = now
	s.mu.Unlock()
	return &Stream{reporter: r, series: s, targets: targets, last: now}
}

// Refused counts a request that was refused before it ran.
func (r *Reporter) Refused(now time.Time, key Key, why Refusal) {
	if r == nil {
		return
	}
	r.at(key).count(now, func(open *slot) {
		if why == RefusedLimit {
			open.counts.RefusedLimit++
			return
		}
		open.counts.RefusedRoom++
	})
}

// Resume starts to count a generation whose caller came back at now, after its first token.
func (r *Reporter) Resume(now time.Time, key Key, targets registrar.Targets) *Stream {
	s := r.Open(now, key, targets)
	if s != nil {
		s.started = true
	}
	return s
}

// Snapshot answers a request for service levels.
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

// Sweep closes minutes that have ended and drops series that nobody has used
// for as long as the longest window. It is to be called about once a minute.
func (r *Reporter) Sweep(now time.Time) {
	if r == nil {
		return
	}
	for _, s := range r.matching(&messenger.BurnRequest{}) {
		if !s.idle(now) {
			continue
		}
		r.mu.Lock()
		delete(r.series, s.key)
		r.mu.Unlock()
	}
}

// at returns the series of key.
func (r *Reporter) at(key Key) *series {
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

// matching returns the series that a request asks for, by key.
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

// End counts the end of a generation: whole, or left incomplete.
func (s *Stream) End(now time.Time, whole bool) {
	if s == nil {
		return
	}
	s.series.count(now, func(open *slot) {
		open.counts.Requests++
		if !whole {
			open.counts.Incomplete++
		}
	})
}

// Preempted counts that the generation lost its place at an engine and went on later.
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
	s.tell(gap, n)
	s.series.mu.Lock()
	defer s.series.mu.Unlock()
	open := s.series.slotAt(now)
	if !s.started {
		s.started = true
		open.firstToken(s.targets, gap)
	} else {
		open.gap(s.targets, gap)
	}
	if n > 1 {
		open.counts.Gaps += uint64(n - 1)
		record(open.gaps.RecordValues, 0, int64(n-1))
	}
}

// tell tells whoever wants to know of n tokens that came together after a gap.
func (s *Stream) tell(gap time.Duration, n int) {
	r := s.reporter
	if !s.started && r.OnFirstToken != nil {
		r.OnFirstToken(gap)
	}
	if s.started && r.OnGap != nil {
		r.OnGap(gap)
	}
	if r.OnTokens != nil {
		r.OnTokens(n)
	}
}

func (s *slot) firstToken(targets registrar.Targets, took time.Duration) {
	s.counts.FirstTokens++
	if target := time.Duration(targets.FirstToken); target > 0 && took > target {
		s.counts.FirstTokensLate++
	}
	record(s.first.RecordValues, int64(took/Unit), 1)
}

func (s *slot) gap(targets registrar.Targets, gap time.Duration) {
	target := time.Duration(targets.BetweenTokens)
	s.counts.Gaps++
	if target > 0 && gap > target {
		s.counts.GapsLate++
	}
	stall := stallDefault
	if target > 0 {
		stall = stallFactor * target
	}
	if gap > stall {
		s.counts.Stalls++
		s.counts.StallNanos += uint64(gap)
	}
	record(s.gaps.RecordValues, int64(gap/Unit), 1)
}

// urgency ranks series by their burn over an hour, so that the worst come first.
func urgency(s *messenger.BurnSeries) float64 {
	const hour = 1
	sum := s.GetWindows()[hour].GetSum()
	bad := sum.GetFirstTokensLate() + sum.GetGapsLate()
	all := sum.GetFirstTokens() + sum.GetGaps()
	// A lost or refused request weighs as one, since callers notice it most.
	rank := float64(sum.GetIncomplete() + sum.GetRefusedRoom())
	if all > 0 {
		rank += float64(bad) / float64(all)
	}
	return rank
}
