package scheduler

import (
	"slices"
	"time"

	"verbenareach/internal/length/forecaster"
)

// leftover is a copy of a run's memory that nobody uses any more.
type leftover struct {
	tokens int
	// until is when the engine has given its memory back.
	until time.Time
}

const (
	// leftoverMargin is how long beyond its time an engine may keep a copy.
	leftoverMargin = time.Second
	// releaseTime is how long a host may take to give back the copy of a run that ended
	// while it was moved: it learns how to name the copy when that is complete.
	releaseTime = time.Second
)

// keepCopy notes that an engine keeps a copy of what a run holds now, though nobody uses it
// any more, until it gives that up by itself.
func (s *Scheduler) keepCopy(now time.Time, b *backend, r *run) {
	if b.engine.CopyLife > 0 {
		s.keepCopyFor(now, b, r, b.engine.CopyLife+leftoverMargin)
	}
}

// keepCopyFor notes the same for a time.
func (s *Scheduler) keepCopyFor(now time.Time, b *backend, r *run, length time.Duration) {
	if r.first.IsZero() {
		return
	}
	b.leftovers = append(b.leftovers, leftover{tokens: s.claim(now, r).held, until: now.Add(length)})
	b.changed()
}

// holdLeftovers adds an engine's leftovers to a forecast, each until its time is over.
func (s *Scheduler) holdLeftovers(now time.Time, b *backend, f *forecaster.Forecast) {
	b.leftovers = slices.DeleteFunc(b.leftovers, func(l leftover) bool { return !now.Before(l.until) })
	for _, l := range b.leftovers {
		f.Hold(l.tokens, int(l.until.Sub(now)/s.tokenTime))
	}
}
