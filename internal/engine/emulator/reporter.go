package emulator

import (
	"math/rand/v2"
	"time"
)

// maxEvents bounds the cache events that are kept for late readers.
const maxEvents = 4096

type (
	// Load is what an engine tells of itself.
	Load struct {
		Running int
		Waiting int
		// MemoryTotal and MemoryUsed are in tokens; blocks that could be
		// evicted at once do not count as used.
		MemoryTotal int
		MemoryUsed  int
		Preemptions int
		// Stalled is the time that preempted requests waited, summed over them.
		Stalled time.Duration
		// ReportedAt is when the engine was in this state.
		ReportedAt time.Time
	}

	// CacheEvent tells of changes of the prefix cache.
	CacheEvent struct {
		// Seq counts the events from 1; a jump means that some were lost.
		Seq     uint64
		Stored  []uint64
		Evicted []uint64

		at time.Time
	}

	// reporter holds load samples and cache events until they become visible.
	reporter struct {
		params      Parameters
		samples     []Load
		events      []CacheEvent
		seq         uint64
		preemptions int
		stalled     time.Duration
	}
)

func (r *reporter) eventsAfter(now time.Time, after uint64) []CacheEvent {
	visible := now.Add(-r.params.CacheEventLag)
	var events []CacheEvent
	for _, ev := range r.events {
		if ev.Seq > after && !ev.at.After(visible) {
			events = append(events, ev)
		}
	}
	return events
}

// load returns the youngest sample that is old enough to be seen; before there
// is one, an empty load.
func (r *reporter) load(now time.Time) Load {
	visible := now.Add(-r.params.LoadLag)
	for len(r.samples) > 1 && !r.samples[1].ReportedAt.After(visible) {
		r.samples = r.samples[1:]
	}
	if len(r.samples) == 0 || r.samples[0].ReportedAt.After(visible) {
		return Load{MemoryTotal: r.params.MemoryTokens}
	}
	return r.samples[0]
}

func (r *reporter) publish(now time.Time, stored, evicted []uint64) {
	if len(stored) == 0 && len(evicted) == 0 {
		return
	}
	r.seq++
	if rand.New(rand.NewPCG(r.params.Seed, r.seq)).Float64() < r.params.CacheEventLoss {
		return
	}
	r.events = append(r.events, CacheEvent{Seq: r.seq, Stored: stored, Evicted: evicted, at: now})
	if len(r.events) > maxEvents {
		r.events = r.events[len(r.events)-maxEvents/2:]
	}
}

func (r *reporter) sample(now time.Time, l Load) {
	if n := len(r.samples); n > 0 && now.Sub(r.samples[n-1].ReportedAt) < r.params.LoadEvery {
		return
	}
	l.ReportedAt = now
	r.samples = append(r.samples, l)
	if len(r.samples) > maxEvents {
		r.samples = r.samples[1:]
	}
}
