package scheduler

import (
	"slices"
	"time"

	"verbenareach/internal/length/forecaster"
)

// orphan is a copy of a run's KV cache on an engine that no run uses any more.
type orphan struct {
	tokens int
	// until is when the engine is taken to have freed the memory.
	until time.Time
}

const (
	// orphanMargin is how long after its CopyLifetime an engine may still hold a copy.
	orphanMargin = time.Second
	// releaseTime is how long a host may take to free the destination's copy of a run that
	// ended during its move: the host can't name the copy before that is complete.
	releaseTime = time.Second
)

// orphanCopy records that an engine holds a copy of r's present KV cache without use, until
// the engine frees it by itself. It records nothing if the engine's CopyLifetime is 0.
func (s *Scheduler) orphanCopy(now time.Time, b *backend, r *run) {
	if b.engine.CopyLifetime > 0 {
		s.orphanCopyFor(now, b, r, b.engine.CopyLifetime+orphanMargin)
	}
}

// orphanCopyFor is like orphanCopy for a copy that is freed after lifetime. A run that has not
// streamed has no copies.
func (s *Scheduler) orphanCopyFor(now time.Time, b *backend, r *run, lifetime time.Duration) {
	if r.streamingSince.IsZero() {
		return
	}
	b.orphans = append(b.orphans, orphan{tokens: s.held(now, r), until: now.Add(lifetime)})
	b.invalidate()
}

// addOrphans adds an engine's orphans to a forecast, each until it is freed.
func (s *Scheduler) addOrphans(now time.Time, b *backend, f *forecaster.Forecast) {
	b.orphans = slices.DeleteFunc(b.orphans, func(o orphan) bool { return !now.Before(o.until) })
	for _, o := range b.orphans {
		f.AddFixed(o.tokens, int(o.until.Sub(now)/b.pace.TokenTime(now)))
	}
}
