// Package admitter decides which generations an engine takes, so that the
// memory that they will need together fits with high probability, and which
// ones give way where it runs short all the same.
package admitter

import (
	"math"
	"time"
)

type (
	// Weights are the relative costs of what hurts callers, 0 or more. Their
	// proportions decide what is risked, their size who gives way to whom.
	Weights struct {
		Preemptions float64
		StallTime   float64
		TailLatency float64
	}

	// Settings of an Admitter.
	Settings struct {
		// MemoryTokens is the engine's memory, in tokens.
		MemoryTokens int
		// MaxBatch is how many generations the engine runs at once; further ones
		// wait at the entries.
		MaxBatch int
		// Risk is the highest chance that memory runs short while a work runs,
		// for works without weights of their own.
		Risk float64
		// MaxPrefill bounds the prompt tokens that are computed at once, since
		// running generations wait meanwhile; 0 sets no bound. One prompt
		// alone is always let in.
		MaxPrefill int
		// Slack is the memory kept free for each running generation, in tokens:
		// what it may grow before a victim is gone.
		Slack int
		// MaxOvertaken is how many generations may overtake one that was
		// declined for its size.
		MaxOvertaken int
		// HeadTimeout is how long a declined generation keeps its place without
		// being offered again: it may have gone to another engine meanwhile.
		HeadTimeout time.Duration
		// Weights apply to works without their own.
		Weights Weights
	}
)

// Default values of Settings.
const (
	DefaultMaxBatch     = 128
	DefaultSlack        = 8
	DefaultMaxOvertaken = 32
	DefaultHeadTimeout  = 300 * time.Millisecond

	// Risk without any weight, and the powers of ten by which a weight on
	// preemptions, or on stalls and tail latency, lowers it at the most.
	baseRisk       = 0.15
	preemptionStep = 1.0
	latencyStep    = 2.0
	// mostPrefill is the bound without a weight on the tail of the latency, in
	// tokens, leastPrefill that with a high one: less would hold back first
	// tokens for little.
	mostPrefill  = 4096
	leastPrefill = 512
)

// ChoirsWeights are sample weights where a preemption hurts most.
func ChoirsWeights() Weights {
	return Weights{Preemptions: 10, StallTime: 1, TailLatency: 1}
}

// AssociationWeights are sample weights where stalls and the tail of the
// latency between tokens hurt most.
func AssociationWeights() Weights {
	return Weights{Preemptions: 1, StallTime: 10, TailLatency: 10}
}

// NewSettings returns the settings for an engine's memory that follow from
// weights. Each weight lowers the risk that is taken: preemptions by one power
// of ten at the most, stalls and tail latency by two, since these also grow
// with the memory in use. The weight on the tail asks for small portions of
// prompts besides.
func NewSettings(memoryTokens int, w Weights) Settings {
	return Settings{
		MemoryTokens: memoryTokens,
		MaxBatch:     DefaultMaxBatch,
		Risk:         w.risk(),
		MaxPrefill:   w.maxPrefill(),
		Slack:        DefaultSlack,
		MaxOvertaken: DefaultMaxOvertaken,
		HeadTimeout:  DefaultHeadTimeout,
		Weights:      w,
	}
}

// maxPrefill returns the bound of prompt tokens computed at once that follows
// from the weights.
func (w Weights) maxPrefill() int {
	w = w.normal()
	return max(int(math.Pow(mostPrefill, 1-w.TailLatency)), leastPrefill)
}

// normal returns weights of the same proportions whose sum is 1.
func (w Weights) normal() Weights {
	sum := w.Preemptions + w.StallTime + w.TailLatency
	if sum <= 0 {
		return Weights{Preemptions: 1. / 3, StallTime: 1. / 3, TailLatency: 1. / 3}
	}
	return Weights{Preemptions: w.Preemptions / sum, StallTime: w.StallTime / sum, TailLatency: w.TailLatency / sum}
}

// risk returns the accepted risk that follows from the weights.
func (w Weights) risk() float64 {
	w = w.normal()
	return baseRisk * math.Pow(10, -preemptionStep*w.Preemptions-latencyStep*(w.StallTime+w.TailLatency))
}
