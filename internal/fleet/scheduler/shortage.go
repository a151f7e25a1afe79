package scheduler

import (
	"fmt"
	"time"

	"verbenareach/internal/wire/messenger"
)

// shortage tells why no engine takes a request: it counts the engines of its service by
// the first thing that each lacks.
type shortage struct {
	// ready counts the engines that say that they take work.
	ready int
	// resting counts those that are left alone after a failure or have no slot,
	// reading those that read prompts enough, full those without memory for need tokens.
	resting, reading, full int
	need                   int
	// fill is the share of all engines' memory that is forecast to be taken.
	fill float64
}

// String returns it as a reason for a refusal.
func (s shortage) String() string {
	return fmt.Sprintf("no engine has room in time: %d ready, %d resting, %d reading, %d without %d tokens, %.2f of memory taken",
		s.ready, s.resting, s.reading, s.full, s.need, s.fill)
}

// shortage counts what the engines of a request's service lack now.
func (s *Scheduler) shortage(now time.Time, w *waiting, need *claim) shortage {
	lack := shortage{need: need.peak, fill: s.fleetFill(now, w.req.Service)}
	for _, b := range s.backends {
		if b.report.Service != w.req.Service || b.report.State != messenger.Backend_STATE_READY {
			continue
		}
		lack.ready++
		switch {
		case !b.takes(now, w.req):
			lack.resting++
		case !s.fits(now, b, need):
			lack.full++
		case b.reading() >= maxReading || !s.readsInTime(now, b, w):
			lack.reading++
		}
	}
	return lack
}

// view tells what an engine was taken to hold when a run was placed there, that run included.
func (s *Scheduler) view(now time.Time, b *backend) string {
	held := 0
	for _, r := range b.runs {
		held += s.claim(now, r).held
	}
	return fmt.Sprintf("%d of %d tokens in %d runs, %d at the peak, %d reading, %d copies, %d left over",
		held, b.engine.Tokens, len(b.runs), s.used(now, b), b.reading(), len(b.copies), len(b.leftovers))
}
