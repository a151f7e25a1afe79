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

// leftoverMargin is how long beyond its time an engine may keep a copy.
const leftoverMargin = time.Second

// leave notes that an engine keeps a copy of what a run holds now, though nobody uses it
// any more.
func (s *Scheduler) leave(now time.Time, b *backend, r *run) {
	if r.first.IsZero() || b.engine.CopyLife <= 0 {
		return
	}
	b.leftovers = append(b.leftovers, leftover{
		tokens: s.claim(now, r).held, until: now.Add(b.engine.CopyLife + leftoverMargin),
	})
	b.outlook.at = time.Time{}
}

// holdLeftovers adds an engine's leftovers to a forecast, each until its time is over.
func (s *Scheduler) holdLeftovers(now time.Time, b *backend, f *forecaster.Forecast) {
	b.leftovers = slices.DeleteFunc(b.leftovers, func(l leftover) bool { return !now.Before(l.until) })
	for _, l := range b.leftovers {
		f.Hold(l.tokens, int(l.until.Sub(now)/s.tokenTime))
	}
}
