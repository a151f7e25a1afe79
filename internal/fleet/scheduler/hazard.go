package scheduler

import (
	"math"
	"time"

	"verbenareach/internal/wire/messenger"
)

// hazard learns how often the engines of a service leave or break off their runs, and what that costs
// the runs. Old evidence fades with hazardHalfLife.
type hazard struct {
	// at is the time as of which the counts hold; zero before the first.
	at time.Time
	// notices counts the notices, crashes the engines that ended without one; exposure is the time for
	// which engines ran, in seconds.
	notices, crashes, exposure float64
	// lostShare is the share of runs on engines that left after a notice that were lost, not moved or ended
	// by themselves.
	lostShare float64
	// density is the mean worth of a run for each token of memory that it takes; 0 before the first one.
	density float64
}

const (
	// hazardHalfLife is the time in which what was counted loses half of its weight.
	hazardHalfLife = time.Minute
	// priorNotices, priorCrashes and priorExposure are the counts before anything was seen: a notice and a
	// quarter of a crash in five minutes of an engine.
	priorNotices, priorCrashes, priorExposure = 1.0, 0.25, 300.0
	// priorLostShare is the share of runs lost at departures before any was seen, lostShareWeight the
	// weight of a new run.
	priorLostShare  = 0.3
	lostShareWeight = 0.03
	// densityWeight is the weight of a new run in the mean density.
	densityWeight = 0.02
	// scarceFill and fullFill are the shares of a service's memory at which a further token begins to
	// be missed by others, and at which it surely is.
	scarceFill, fullFill = 0.4, 0.9
)

// hazardOf returns the hazard of a service.
func (s *Scheduler) hazardOf(service string) *hazard {
	h := s.hazards[service]
	if h == nil {
		h = &hazard{lostShare: priorLostShare}
		s.hazards[service] = h
	}
	return h
}

// expose lets a time pass for all engines.
func (s *Scheduler) expose(now time.Time) {
	ready := make(map[string]int)
	for _, b := range s.ordered {
		if b.report.State == messenger.Backend_STATE_READY {
			ready[b.report.Service]++
		}
	}
	for service, n := range ready {
		s.hazardOf(service).pass(now, n)
	}
}

// pass lets the time since the last call pass for a number of engines.
func (h *hazard) pass(now time.Time, engines int) {
	passed := now.Sub(h.at)
	known := !h.at.IsZero()
	h.at = now
	if !known || passed <= 0 {
		return
	}
	fade := math.Exp2(-float64(passed) / float64(hazardHalfLife))
	h.notices, h.crashes, h.exposure = h.notices*fade, h.crashes*fade, h.exposure*fade+float64(engines)*passed.Seconds()
}

// recordDeparture learns whether a run was lost when its engine left.
func (h *hazard) recordDeparture(lost bool) {
	sample := 0.0
	if lost {
		sample = 1
	}
	h.lostShare += lostShareWeight * (sample - h.lostShare)
}

// recordRun learns the worth of a run for each token of memory.
func (h *hazard) recordRun(density float64) {
	if h.density == 0 {
		h.density = density
	}
	h.density += densityWeight * (density - h.density)
}

// lossChance returns the probability that a run without a backup is lost with its engine within a time.
func (h *hazard) lossChance(within time.Duration) float64 {
	events := (h.notices+priorNotices)*h.lostShare + h.crashes + priorCrashes
	return 1 - math.Exp(-events/(h.exposure+priorExposure)*within.Seconds())
}

// scarcity returns the probability that a token of memory is missed by others when a share of all
// memory is taken.
func scarcity(fill float64) float64 {
	missing := min(max((fill-scarceFill)/(fullFill-scarceFill), 0), 1)
	return missing * missing
}

// worthBackup reports whether a backup of a run saves its callers more than its memory would bring
// others: its expected loss for each token against the mean worth of a token that others miss. The run
// counts in that mean from now on.
func (s *Scheduler) worthBackup(now time.Time, r *run, service string) bool {
	h := s.hazardOf(service)
	made := s.generated(now, r)
	remaining := r.outputLength.Remaining(made)
	prompt := int(r.req.PromptTokens)
	density := worth(prompt, made+remaining) / float64(max(s.footprint(now, r).peak, 1))
	h.recordRun(density)
	rest := prefillTime(prompt) + time.Duration(remaining)*r.backend.pace.TokenTime(now)
	return h.lossChance(rest)*density >= scarcity(s.fleetFill(now, service))*h.density
}
