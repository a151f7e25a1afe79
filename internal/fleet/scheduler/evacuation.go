package scheduler

import (
	"time"

	"verbenareach/internal/fleet/evacuator"
	"verbenareach/internal/wire/messenger"
)

// Evacuated counts what is left on the engines of an evacuated failure domain.
type Evacuated struct {
	FailureDomain string
	// Runs counts the generations that run there, Moving those of them that are being moved away.
	Runs, Moving int
	// Held is the memory that they take, Room the memory that is forecast to stay free on the engines
	// that take runs, in tokens.
	Held, Room int
}

// allEvacuatedReason is why a request is refused if all engines that could take it are evacuated.
const allEvacuatedReason = "all engines are in evacuated failure domains"

// SetEvacuations sets the evacuated failure domains. Nothing is placed on the engines there, copied or
// moved to them; their runs are moved away while there is room for them, and else end there.
func (s *Scheduler) SetEvacuations(now time.Time, evacuations *evacuator.Set) {
	s.init()
	s.evacuations = evacuations
	for _, b := range s.ordered {
		evacuated := evacuations.Contains(b.report.FailureDomain)
		if evacuated == b.evacuated {
			continue
		}
		b.evacuated, b.changed, s.movesDue = evacuated, true, true
	}
	s.settle(now)
}

// Evacuated returns what is left in each evacuated failure domain.
func (s *Scheduler) Evacuated(now time.Time) []Evacuated {
	room := 0
	for _, b := range s.ordered {
		if b.ready() {
			room += max(int(fillLimit*float64(b.engine.Tokens))-s.peakMemory(now, b), 0)
		}
	}
	var list []Evacuated
	for _, domain := range s.evacuations.Domains() {
		left := Evacuated{FailureDomain: domain, Room: room}
		for _, b := range s.ordered {
			if b.report.FailureDomain == domain {
				left.add(s, now, b)
			}
		}
		list = append(list, left)
	}
	return list
}

// add counts the runs of an engine.
func (e *Evacuated) add(s *Scheduler, now time.Time, b *backend) {
	for _, r := range b.runs {
		e.Runs++
		e.Held += s.held(now, r)
		if r.destination != nil {
			e.Moving++
		}
	}
}

// allEvacuated reports whether the engines of a service are all in evacuated failure domains, those
// that are leaving left aside.
func (s *Scheduler) allEvacuated(service string) bool {
	found := false
	for _, b := range s.ordered {
		if b.report.Service != service || !b.leavingSince.IsZero() {
			continue
		}
		if !b.evacuated {
			return false
		}
		found = true
	}
	return found
}

// refuseEvacuated refuses a request, as waiting is of no use.
func (s *Scheduler) refuseEvacuated(w *queuedRequest) {
	s.Send(w.entry, Decision{Placement: &messenger.Placement{
		Run: w.req.Run, RetryAfterMs: s.retryAfter(w, 0).Milliseconds(), Reason: allEvacuatedReason,
	}})
}

// ready reports whether the engine may get new work: it is ready and not evacuated.
func (b *backend) ready() bool {
	return b.report.State == messenger.Backend_STATE_READY && !b.evacuated
}

// isEmptied reports whether the engine's runs are to be moved away: it leaves, or is evacuated.
func (b *backend) isEmptied() bool { return !b.leavingSince.IsZero() || b.evacuated }
