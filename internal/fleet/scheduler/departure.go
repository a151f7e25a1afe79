package scheduler

import (
	"math"
	"slices"
	"strings"
	"time"

	"verbenareach/internal/fleet/planner"
	"verbenareach/internal/length/forecaster"
	"verbenareach/internal/wire/messenger"
)

type (
	// DeparturePlan tells what was planned for the runs of engines whose notices are new.
	DeparturePlan struct {
		Service string
		// Engines holds the ids of the engines whose notices are new.
		Engines []string
		// Left is the time until the first of them is expected to end; Unlimited if that is unknown.
		Left time.Duration
		// Runs counts the runs of all engines of the service that leave; Backups those that go on at their
		// backup, Moves those that are elsewhere in time, Risky those for which the time may be too short,
		// Stays those that are expected to end before their engine, Prefilling those without a first token,
		// Unsaved those for which no engine has room and time.
		Runs, Backups, Moves, Risky, Stays, Prefilling, Unsaved int
		// NoticeAge is the age of the oldest of the new notices.
		NoticeAge time.Duration
	}

	// DepartureLoss is a run that ended with its engine, which left.
	DepartureLoss struct {
		Run, Backend, Cause string
		// AfterNotice is how long after its notice the engine ended.
		AfterNotice time.Duration
	}

	// departureTimes learns how long the engines of a service run on after their notice.
	departureTimes struct {
		// mean is the mean of these times, deviation the mean deviation from it.
		mean, deviation time.Duration
	}
)

// Unlimited is the time left to an engine that leaves without a known end. It is a quarter of the longest
// time, so that sums with it don't overflow.
const Unlimited = time.Duration(math.MaxInt64 / 4)

const (
	// initialNotice is the time from an engine's notice to its end before any was seen, and
	// initialNoticeDeviation the mean deviation from it.
	initialNotice          = 2 * time.Second
	initialNoticeDeviation = 150 * time.Millisecond
	// noticeWeight is the weight of a new sample of that time.
	noticeWeight = 0.2
	// maxNotice bounds what counts as the time from an engine's notice to its end.
	maxNotice = 30 * time.Second
	// stayChance is the probability below which a run that would outlive its engine is left to end
	// by itself.
	stayChance = 0.1
)

// expect returns when an engine ends after its notice, early and late: as expected less and plus
// the mean deviation.
func (t *departureTimes) expect() (early, late time.Duration) {
	if t == nil {
		return initialNotice - initialNoticeDeviation, initialNotice + initialNoticeDeviation
	}
	return t.mean - t.deviation, t.mean + t.deviation
}

// learn adds the time between a notice and the end of the engine.
func (t *departureTimes) learn(sample time.Duration) {
	off := sample - t.mean
	t.mean += time.Duration(noticeWeight * float64(off))
	t.deviation += time.Duration(noticeWeight * float64(off.Abs()-t.deviation))
}

// recordLeaving records that an engine leaves. One that is gone without having said so gave no notice.
func (s *Scheduler) recordLeaving(now time.Time, b *backend) {
	if !b.leavingSince.IsZero() {
		return
	}
	b.leavingSince = now
	if b.report.State == messenger.Backend_STATE_DRAINING {
		b.noticed, b.ended = true, false
		s.hazardOf(b.report.Service).notices++
	}
}

// learnDeparture learns from a run that ended, or that another engine has to continue. brokenOff is set
// if its engine broke it off, as when that ended after a notice.
func (s *Scheduler) learnDeparture(now time.Time, r *run, brokenOff bool) {
	b := r.backend
	h := s.hazardOf(b.report.Service)
	if !b.noticed {
		if brokenOff && !b.ended {
			b.ended = true
			h.crashes++
		}
		return
	}
	h.recordDeparture(brokenOff)
	if !brokenOff {
		return
	}
	s.learnTransfer(now, r, false)
	after := now.Sub(b.leavingSince)
	if s.OnRunLost != nil {
		s.OnRunLost(now, DepartureLoss{Run: r.id, Backend: b.report.Id, Cause: s.lossCause(r), AfterNotice: after})
	}
	if b.ended || after > maxNotice {
		return
	}
	b.ended = true
	t := s.departures[b.report.Service]
	if t == nil {
		t = &departureTimes{mean: initialNotice, deviation: initialNoticeDeviation}
		s.departures[b.report.Service] = t
	}
	t.learn(after)
}

// lossCause returns why a run was not elsewhere before its engine ended.
func (s *Scheduler) lossCause(r *run) string {
	switch {
	case r.source != nil:
		return "transfer to " + r.destination.report.Id + " was not complete"
	case r.moveFailures >= maxMoveFailures:
		return "moves failed too often"
	case r.streamingSince.IsZero():
		return "it had no first token yet"
	case r.unsaved != "":
		return r.unsaved
	}
	return "its turn did not come"
}

// timeLeft returns when an engine that is emptied is expected to end and when it surely has. An engine
// that outlived what is known of its like may run on for long, and one that is evacuated does not end.
func (s *Scheduler) timeLeft(now time.Time, b *backend) (left, latest time.Duration) {
	if b.leavingSince.IsZero() {
		return Unlimited, Unlimited
	}
	early, late := s.departures[b.report.Service].expect()
	gone := now.Sub(b.leavingSince)
	if gone >= late {
		return Unlimited, Unlimited
	}
	return max(early-gone, 0), late - gone
}

// outlives reports whether a run is likely enough to outlive its engine, which leaves, to be moved.
func (s *Scheduler) outlives(now time.Time, r *run) bool { return s.outliving(now, r) >= stayChance }

// outliving returns the probability that a run outlives its engine, which leaves, or moveGrace if its
// engine is evacuated.
func (s *Scheduler) outliving(now time.Time, r *run) float64 {
	_, latest := s.timeLeft(now, r.backend)
	switch {
	case r.backend.leavingSince.IsZero():
		latest = moveGrace
	case latest == Unlimited:
		return 1
	}
	var chance [1]float64
	r.outputLength.Chances(s.generated(now, r), []int{int(latest / r.backend.pace.TokenTime(now))}, chance[:])
	return chance[0]
}

// moveByPlan plans the departure of all engines of a service that leave, and orders the next move of
// each whose link is free. Between two notices it plans only for those, as nothing can be ordered for
// the others. It returns how long the next plan is to wait for one of that size.
func (s *Scheduler) moveByPlan(now time.Time, service string, leaving []*backend) (delay time.Duration) {
	plan := DeparturePlan{Service: service, Left: Unlimited}
	// Engines whose link is taken are planned only to report a new notice.
	reported := !slices.ContainsFunc(leaving, (*backend).unplanned)
	if reported {
		leaving = slices.DeleteFunc(leaving, func(b *backend) bool { return b.outgoing != nil })
	}
	runs := s.departing(now, leaving, &plan)
	if reported && len(runs) == 0 {
		return 0
	}
	fleet := s.receivers(now, service)
	steps := planner.Plan(runs, fleet)
	for _, step := range steps {
		r := s.runs[step.Run.ID]
		r.unsaved = ""
		switch step.Outcome {
		case planner.Moves:
			plan.Moves++
		case planner.Risky:
			plan.Risky++
		case planner.NoRoom, planner.TooLate:
			plan.Unsaved++
			r.unsaved = step.Outcome.String()
		}
	}
	s.reportPlan(now, leaving, plan)
	for _, step := range steps {
		s.orderStep(now, step)
	}
	return time.Duration(len(runs))*planDelayPerRun + time.Duration(len(fleet.Engines))*planDelayPerReceiver
}

// orderStep orders the move of a step if neither of its engines has a transfer under way.
func (s *Scheduler) orderStep(now time.Time, step planner.Step) {
	if step.To == nil {
		return
	}
	r, to := s.runs[step.Run.ID], s.backends[step.To.ID]
	if r.backend.outgoing == nil && to.incoming == nil {
		s.orderMove(now, r.backend, to, r, false)
	}
}

// reportPlan calls OnPlan if the plan is the first one for an engine.
func (s *Scheduler) reportPlan(now time.Time, leaving []*backend, plan DeparturePlan) {
	for _, b := range leaving {
		if !b.unplanned() {
			continue
		}
		b.planned = true
		plan.Engines = append(plan.Engines, b.report.Id)
		plan.NoticeAge = max(plan.NoticeAge, now.Sub(b.leavingSince))
		left, _ := s.timeLeft(now, b)
		plan.Left = min(plan.Left, left)
	}
	if len(plan.Engines) > 0 && s.OnPlan != nil {
		s.OnPlan(now, plan)
	}
}

// departing returns the runs on engines that leave for which moves are to be planned, and counts
// all runs there.
func (s *Scheduler) departing(now time.Time, leaving []*backend, plan *DeparturePlan) (list []*planner.Run) {
	for _, b := range leaving {
		plan.Runs += len(b.runs) + b.movedToBackup
		plan.Backups += b.movedToBackup
		b.movedToBackup = 0
		if !b.engine.Moves {
			continue
		}
		left, latest := s.timeLeft(now, b)
		from := &planner.Engine{ID: b.report.Id, FailureDomain: b.report.FailureDomain, LinkFree: b.linkBusyUntil.Sub(now), Left: left, Latest: latest}
		for _, r := range b.sortedRuns() {
			chance := s.outliving(now, r)
			switch {
			case r.streamingSince.IsZero():
				plan.Prefilling++
			case chance < stayChance:
				plan.Stays++
				r.unsaved = "it was expected to end before its engine"
			case s.movable(now, r):
				list = append(list, s.departingRun(now, r, from, chance))
			}
		}
	}
	return list
}

// departingRun returns a run as the planner needs it.
func (s *Scheduler) departingRun(now time.Time, r *run, from *planner.Engine, chance float64) *planner.Run {
	fp := s.footprint(now, r)
	prompt, made := int(r.req.PromptTokens), s.generated(now, r)
	return &planner.Run{
		ID: r.id, From: from, Held: fp.held, MaxGrowth: fp.maxGrowth, Chances: fp.chances,
		Demand:   forecaster.NewDemand(fp.held, fp.maxGrowth, &fp.chances, shortageRisk),
		Worth:    chance * worth(prompt, made+r.outputLength.Remaining(made)),
		Overhead: s.transfers.overheads[s.hostDistance(r, r.backend)],
		Avoid:    r.req.Avoid,
		Regions:  r.req.Regions,
	}
}

// worth returns what a run of a prompt and an output of some tokens is worth: its prompt's tokens
// plus ten times those of its output.
func worth(prompt, output int) float64 { return float64(prompt + 10*output) }

// receivers returns the engines of a service that may receive runs.
func (s *Scheduler) receivers(now time.Time, service string) *planner.Fleet {
	fleet := &planner.Fleet{Transfer: func(from, to *planner.Engine, tokens int) time.Duration {
		return s.transferTime(now, s.backends[from.ID], s.backends[to.ID], tokens)
	}}
	for _, b := range s.ordered {
		if b.report.Service != service || !b.open(now) || s.barred(now, b) {
			continue
		}
		s.evaluations++
		fill := float64(s.peakMemory(now, b)) / float64(max(b.engine.Tokens, 1))
		cost := fillWeight * (fill + float64(len(b.prefilling())))
		if s.throttled(now, b) {
			cost += throttledCost
		}
		fleet.Engines = append(fleet.Engines, &planner.Engine{
			ID: b.report.Id, FailureDomain: b.report.FailureDomain, Region: b.region, LinkFree: b.linkBusyUntil.Sub(now),
			Memory: s.forecast(now, b).memory, Bound: fillLimit * float64(b.engine.Tokens),
			Places: b.slots() - len(b.runs), Cost: time.Duration(cost * float64(time.Second)),
		})
	}
	return fleet
}

// unplanned reports whether the engine leaves and no plan for its departure was reported.
func (b *backend) unplanned() bool { return !b.leavingSince.IsZero() && !b.planned }

// sortedRuns returns the runs of an engine in the order of their ids.
func (b *backend) sortedRuns() []*run {
	list := make([]*run, 0, len(b.runs))
	for _, r := range b.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y *run) int { return strings.Compare(x.id, y.id) })
	return list
}
