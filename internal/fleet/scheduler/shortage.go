package scheduler

import (
	"fmt"
	"time"
)

// shortage is why no engine takes a request: the engines of its service, counted by the
// first condition that each fails.
type shortage struct {
	// ready counts the engines in state ready whose failure domain is not evacuated.
	ready int
	// throttled counts those whose limit allows no request now, resting those that are avoided
	// after a failure or have no free slot, reading those with too many prefills or too slow ones,
	// full those without memory for the request, whose forecast peak is need tokens.
	throttled, resting, reading, full int
	need                              int
	// outside counts the ready engines outside the regions in which the request may run.
	outside int
	// fill is the share of the memory of the service's ready engines that is forecast to be taken.
	fill float64
}

// String formats s as the reason of a refusal.
func (s shortage) String() string {
	text := fmt.Sprintf("no engine has room in time: %d ready, %d resting, %d reading, %d without %d tokens, %.2f of memory taken",
		s.ready, s.resting, s.reading, s.full, s.need, s.fill)
	if s.throttled > 0 {
		text += fmt.Sprintf(", %d throttled", s.throttled)
	}
	if s.outside > 0 {
		text += fmt.Sprintf(", %d outside its regions", s.outside)
	}
	return text
}

// shortage counts why the engines of a request's service can't take it now.
func (s *Scheduler) shortage(now time.Time, w *queuedRequest) shortage {
	counts := shortage{need: w.need.peak, fill: s.fleetFill(now, w.req.Service)}
	for _, b := range s.ordered {
		if b.report.Service != w.req.Service || !b.ready() {
			continue
		}
		counts.ready++
		switch {
		case !b.allows(w.req):
			counts.outside++
		case s.throttled(now, b):
			counts.throttled++
		case !b.accepts(now, w.req):
			counts.resting++
		case !s.fits(now, b, &w.need):
			counts.full++
		case len(b.prefilling()) >= maxPrefills || !s.prefillsInTime(now, b, w):
			counts.reading++
		}
	}
	return counts
}

// describe returns the state of an engine on which a run was just placed, that run included.
func (s *Scheduler) describe(now time.Time, b *backend) string {
	held := 0
	for _, r := range b.runs {
		held += s.held(now, r)
	}
	return fmt.Sprintf("%d of %d tokens in %d runs, %d at the peak, %d reading, %d copies, %d left over",
		held, b.engine.Tokens, len(b.runs), s.peakMemory(now, b), len(b.prefilling()), len(b.backups), len(b.orphans))
}
