// Package planner plans the departure of engines: which of their generations move where, and in
// which order, so that as much of the generations' worth as possible is elsewhere before the
// engines end. All engines that leave share one plan, as they share links and destinations. The
// package does no I/O and reads no clock: times count from the moment of planning.
package planner

import (
	"cmp"
	"slices"
	"time"

	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/length/forecaster"
)

type (
	// Engine is an engine that leaves or one that may receive generations. Plan changes it: it
	// books the transfers and the memory that the plan needs.
	Engine struct {
		ID            string
		FailureDomain string
		// Region is the region of its failure domain; empty if that is unknown.
		Region string
		// LinkFree is when the engine's link to others is free.
		LinkFree time.Duration
		// Left is when the engine is expected to end, Latest when it surely has; only for one that
		// leaves.
		Left, Latest time.Duration
		// waiting is the number of its runs that are not planned yet: they wait for its link.
		waiting int
		// Memory is the forecast of the memory that is taken, the growth of its own generations
		// included; it may reach Bound tokens. Places is the number of further generations that the
		// engine takes. Cost is what a generation pays there beside the time of its transfer.
		// They matter only for an engine that receives.
		Memory forecaster.Forecast
		Bound  float64
		Places int
		Cost   time.Duration
	}

	// Run is a generation on an engine that leaves.
	Run struct {
		ID   string
		From *Engine
		// Held is its memory in tokens, MaxGrowth the most by which that may grow, Chances the
		// probabilities that it grows so far; Demand is the same, prepared for a comparison.
		Held, MaxGrowth int
		Chances         forecaster.Chances
		Demand          forecaster.Demand
		// Worth is what is lost if its engine ends first, times the probability that it still runs then.
		Worth float64
		// Overhead is the time of a move for which the link transfers nothing and nothing else may use it.
		Overhead time.Duration
		// Avoid holds the ids of engines that did not take it.
		Avoid []string
		// Regions holds the regions in which it may run; empty for all.
		Regions []string
	}

	// Fleet is the engines that may receive generations.
	Fleet struct {
		Engines []*Engine
		// Transfer returns the time that both links need for a number of tokens.
		Transfer func(from, to *Engine, tokens int) time.Duration

		// nearby holds the candidates of each failure domain.
		nearby map[string][]*Engine
	}

	// Outcome is what a plan does with a generation.
	Outcome int

	// Step is the plan for one generation. Without a destination it stays where it is.
	Step struct {
		Run     *Run
		To      *Engine
		Outcome Outcome
		// Begin and End are when its transfer begins and ends.
		Begin, End time.Duration
	}
)

const (
	// Moves is the outcome of a generation that is elsewhere before its engine is expected to end.
	Moves Outcome = iota
	// Risky is that of one that is elsewhere in time only if its engine ends later than expected.
	Risky
	// NoRoom is that of one for which no engine has room.
	NoRoom
	// TooLate is that of one whose transfer to any engine with room ends too late.
	TooLate
)

const (
	// maxNear and maxFar bound the candidates of the own failure domain and of each other one: those
	// with the lowest cost.
	maxNear = 24
	maxFar  = 6
	// maxWaiting bounds the runs that count as waiting for the link of one engine.
	maxWaiting = 4
)

// String returns the outcome as it is logged.
func (o Outcome) String() string {
	switch o {
	case Moves:
		return "moves"
	case Risky:
		return "moves if there is time"
	case NoRoom:
		return "no engine has room"
	case TooLate:
		return "no transfer ends in time"
	}
	return "unknown"
}

// Plan plans the moves of all runs. The steps of each engine are in the order in which it is to
// transfer: first those that end in time, the most worth for each token to transfer first; then the
// risky ones, which take the link only from each other.
func Plan(runs []*Run, fleet *Fleet) []Step {
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(x, y *Run) int {
		return cmp.Or(cmp.Compare(density(y), density(x)), cmp.Compare(x.ID, y.ID))
	})
	steps := make([]Step, 0, len(runs))
	for _, r := range runs {
		r.From.waiting++
	}
	var late []*Run
	for _, r := range runs {
		r.From.waiting--
		step := fleet.cheapest(r, r.From.Left)
		if step.Outcome == TooLate {
			late = append(late, r)
			continue
		}
		step.book()
		steps = append(steps, step)
	}
	for _, r := range late {
		step := fleet.cheapest(r, r.From.Latest)
		if step.To != nil {
			step.Outcome = Risky
		}
		step.book()
		steps = append(steps, step)
	}
	return steps
}

// density returns a run's worth for each token to transfer.
func density(r *Run) float64 { return r.Worth / float64(max(r.Held, 1)) }

// cheapest returns the step to the engine where the run's transfer ends before a time and costs the
// least. The time for which it takes the link counts again for each run that waits for that.
func (f *Fleet) cheapest(r *Run, before time.Duration) Step {
	best := Step{Run: r, Outcome: NoRoom}
	bestCost := time.Duration(0)
	waiting := min(r.From.waiting, maxWaiting)
	for _, to := range f.candidates(r.From.FailureDomain) {
		begin := max(r.From.LinkFree, to.LinkFree, 0)
		took := f.Transfer(r.From, to, r.Held)
		end := begin + r.Overhead + took
		cost := end + time.Duration(waiting)*took + to.Cost
		if best.To != nil && cost >= bestCost {
			continue
		}
		if to.Places <= 0 || slices.Contains(r.Avoid, to.ID) || !cataloger.IsWithin(to.Region, r.Regions) || !to.Memory.Fits(&r.Demand, to.Bound) {
			continue
		}
		if end > before {
			best.Outcome = TooLate
			continue
		}
		best, bestCost = Step{Run: r, To: to, Begin: begin, End: end}, cost
	}
	if best.To != nil {
		best.Outcome = Moves
	}
	return best
}

// candidates returns the engines that are weighed for the runs of an engine in a failure domain.
func (f *Fleet) candidates(domain string) []*Engine {
	if list, ok := f.nearby[domain]; ok {
		return list
	}
	if f.nearby == nil {
		f.nearby = make(map[string][]*Engine)
		slices.SortStableFunc(f.Engines, func(x, y *Engine) int {
			return cmp.Or(cmp.Compare(x.Cost, y.Cost), cmp.Compare(x.ID, y.ID))
		})
	}
	var list []*Engine
	counts := make(map[string]int)
	for _, e := range f.Engines {
		limit := maxFar
		if e.FailureDomain == domain {
			limit = maxNear
		}
		if e.Places > 0 && counts[e.FailureDomain] < limit {
			counts[e.FailureDomain]++
			list = append(list, e)
		}
	}
	f.nearby[domain] = list
	return list
}

// book books the memory, the place and the links that the step needs.
func (s *Step) book() {
	if s.To == nil {
		return
	}
	s.To.Memory.Add(s.Run.Held, s.Run.MaxGrowth, &s.Run.Chances)
	s.To.Places--
	s.To.LinkFree, s.Run.From.LinkFree = s.End, s.End
}
