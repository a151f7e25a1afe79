package admitter

import (
	"math"
	"time"

	"verbenareach/internal/prompt/hasher"
)

const (
	// reliefHorizon is how far ahead, in tokens, a victim's memory has to be
	// missed to count: one that ends before frees it by itself.
	reliefHorizon = 256
	// workUnit is the lost work, in tokens, that costs as much as the
	// preemption itself under equal weights.
	workUnit = 1000.0
	// spareRelief is what memory beyond the missing is worth.
	spareRelief = 0.5
)

// Victims drops the works that have to give way at now, so that the engine does
// not run out of memory, and returns their ids; none in most cases. The caller
// cancels them; they go on later with their tokens.
func (a *Admitter) Victims(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.short(0) {
		return nil
	}
	a.refresh(now)
	var ids []string
	for len(a.order) > 1 {
		missing := a.used + a.prefixes.tokens() + len(a.order)*a.settings.Slack - a.settings.MemoryTokens
		if missing <= 0 {
			break
		}
		g := a.cheapest(missing)
		ids = append(ids, g.ID)
		a.drop(g)
	}
	return ids
}

// cheapest returns the work whose loss costs least for the memory that it frees.
func (a *Admitter) cheapest(missing int) *generation {
	var best *generation
	lowest := math.Inf(1)
	for _, g := range a.order {
		if cost := g.cost() / g.relief(missing); cost < lowest {
			best, lowest = g, cost
		}
	}
	return best
}

// cost returns what the loss of a work hurts, in preemptions under equal
// weights: the interruption itself, and the work to be done again.
func (g *generation) cost() float64 {
	w := g.Weights
	lost := float64(g.tokens+g.prefilled()) / workUnit
	cost := w.Preemptions*(1+float64(g.tokens)/workUnit) + w.StallTime*(1+lost) + w.TailLatency*lost
	return math.Ldexp(max(cost, 1e-9), int(min(max(g.Priority, -32), 32)))
}

// prefilled returns the prompt tokens that would have to be computed again.
func (g *generation) prefilled() int {
	return g.PromptTokens - g.shared*hasher.BlockTokens
}

// relief returns the memory that the loss of a work frees and that would not
// have been freed soon in any case.
func (g *generation) relief(missing int) float64 {
	stays := g.tracker.Curve().Chance(g.tokens, reliefHorizon)
	if g.MaxTokens > 0 && g.tokens+reliefHorizon >= g.MaxTokens {
		stays *= 0.1
	}
	freed := float64(g.memory())
	// Memory far beyond what is missing is worth less, but keeps the next
	// victim away.
	useful := min(freed, float64(missing)) + spareRelief*max(freed-float64(missing), 0)
	return max(stays*useful, 1e-9)
}
