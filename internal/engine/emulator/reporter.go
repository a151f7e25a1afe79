package emulator

import (
	"math/rand/v2"
	"time"
)

// maxRetained bounds the cache events that are kept for late readers, and the load
// samples.
const maxRetained = 4096

type (
	// Load is an engine's load at one moment.
	Load struct {
		Running int
		Waiting int
		// MemoryTotal and MemoryUsed are in tokens. Idle blocks, which can be evicted
		// at once, don't count as used.
		MemoryTotal int
		MemoryUsed  int
		// Preemptions counts the preemptions since the engine's start.
		Preemptions int
		// Stalled is the total time that preempted requests have waited for their next
		// token since the engine's start.
		Stalled time.Duration
		// ReportedAt is the time of the sample.
		ReportedAt time.Time
	}

	// CacheEvent holds changes of the prefix cache, as block hashes.
	CacheEvent struct {
		// Seq numbers the events from 1; a gap means that events were lost.
		Seq     uint64
		Stored  []uint64
		Evicted []uint64

		at time.Time
	}

	// reporter holds load samples and cache events, and reports them with the lags and the
	// loss of Parameters.
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

// load returns the latest sample that is at least LoadLag old; before there is one,
// a load with only MemoryTotal set.
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

// publish records a cache event with the hashes, unless there are none. Some events are
// lost: their numbers are skipped.
func (r *reporter) publish(now time.Time, stored, evicted []uint64) {
	if len(stored) == 0 && len(evicted) == 0 {
		return
	}
	r.seq++
	if rand.New(rand.NewPCG(r.params.Seed, r.seq)).Float64() < r.params.CacheEventLoss {
		return
	}
	r.events = append(r.events, CacheEvent{Seq: r.seq, Stored: stored, Evicted: evicted, at: now})
	if len(r.events) > maxRetained {
		r.events = r.events[len(r.events)-maxRetained/2:]
	}
}

// sample records a load sample, unless the last one is younger than LoadEvery.
func (r *reporter) sample(now time.Time, l Load) {
	if n := len(r.samples); n > 0 && now.Sub(r.samples[n-1].ReportedAt) < r.params.LoadEvery {
		return
	}
	l.ReportedAt = now
	r.samples = append(r.samples, l)
	if len(r.samples) > maxRetained {
		r.samples = r.samples[1:]
	}
}
