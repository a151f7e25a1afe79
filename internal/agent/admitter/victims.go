package admitter

import (
	"math"
	"time"

	"verbenareach/internal/prompt/hasher"
)

const (
	// benefitHorizon is a number of further tokens. The chance that a generation
	// makes them discounts the benefit of its preemption: one that ends sooner frees
	// its memory by itself.
	benefitHorizon = 256
	// tokensPerPreemption is the number of recomputed tokens that cost as much as
	// the interruption itself.
	tokensPerPreemption = 1000.0
	// surplusValue is the value of a freed token beyond the shortage, relative to
	// one within it.
	surplusValue = 0.5
)

// Victims drops the generations that must be preempted at now to keep the engine
// from running out of memory, and returns their ids, usually none. It never drops the
// last one. The caller cancels them; they can resume later from their tokens.
func (a *Admitter) Victims(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.memoryShort(0) {
		return nil
	}
	a.refresh(now)
	var ids []string
	for len(a.byAdmission) > 1 {
		shortage := a.used + a.prefixes.tokens() + len(a.byAdmission)*a.settings.Slack - a.settings.MemoryTokens
		if shortage <= 0 {
			break
		}
		g := a.cheapestVictim(shortage)
		ids = append(ids, g.ID)
		a.drop(g)
	}
	return ids
}

// cheapestVictim returns the generation with the lowest ratio of preemption cost
// to benefit, at a shortage of memory in tokens.
func (a *Admitter) cheapestVictim(shortage int) *generation {
	var best *generation
	lowest := math.Inf(1)
	for _, g := range a.byAdmission {
		if cost := g.preemptionCost() / g.benefit(shortage); cost < lowest {
			best, lowest = g, cost
		}
	}
	return best
}

// preemptionCost returns the cost of preempting the generation, in the unit of its
// weights: the interruption and the recomputed tokens, doubled for each level of
// priority.
func (g *generation) preemptionCost() float64 {
	w := g.Weights
	lost := float64(g.tokens+g.recomputedPrompt()) / tokensPerPreemption
	cost := w.Preemptions*(1+float64(g.tokens)/tokensPerPreemption) + w.StallTime*(1+lost) + w.TailLatency*lost
	return math.Ldexp(max(cost, 1e-9), int(min(max(g.Priority, -32), 32)))
}

// recomputedPrompt returns the prompt tokens that a preemption would make the
// engine compute again.
func (g *generation) recomputedPrompt() int {
	return g.PromptTokens - g.sharedBlocks*hasher.BlockTokens
}

// benefit returns the value of the memory that preempting the generation frees at a
// shortage, discounted by the chance that it ends soon anyway, in tokens.
func (g *generation) benefit(shortage int) float64 {
	survival := g.tracker.Curve().Chance(g.tokens, benefitHorizon)
	if g.MaxTokens > 0 && g.tokens+benefitHorizon >= g.MaxTokens {
		// Its limit ends it within the horizon, whatever the learned lengths are.
		survival *= 0.1
	}
	freed := float64(g.memory())
	// Memory beyond the shortage is worth less, but makes another preemption
	// less likely.
	useful := min(freed, float64(shortage)) + surplusValue*max(freed-float64(shortage), 0)
	return max(survival*useful, 1e-9)
}
