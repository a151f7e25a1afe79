// Package admitter decides which generations an engine admits, so that their
// forecast memory fits with high probability, and which ones it preempts if
// memory still runs short.
package admitter

import (
	"math"
	"time"
)

type (
	// Weights are the relative costs of degradations of service, 0 or more. Their
	// proportions determine the accepted risk, their absolute values which
	// generations are preempted first.
	Weights struct {
		Preemptions float64
		StallTime   float64
		TailLatency float64
	}

	// Settings configure an Admitter.
	Settings struct {
		// MemoryTokens is the engine's memory, in tokens.
		MemoryTokens int
		// MaxBatch is the largest number of concurrent generations; further ones
		// wait at the entries.
		MaxBatch int
		// Risk is the accepted chance that memory runs short while a generation
		// runs, for generations without weights of their own.
		Risk float64
		// MaxPrefill bounds the memory in tokens of the generations in concurrent
		// prefill, since prefill delays running generations; 0 sets no bound. A
		// prompt of any size is admitted while no other one is in prefill.
		MaxPrefill int
		// Slack is the memory kept free for each running generation, in tokens:
		// its growth until a victim has freed memory.
		Slack int
		// MaxOvertaken is how many generations may overtake one that was
		// declined for memory or prefill.
		MaxOvertaken int
		// HeadTimeout is how long a declined generation stays at the head of the
		// line without being offered again: it may run on another engine by then.
		HeadTimeout time.Duration
		// Weights apply to generations without their own.
		Weights Weights
	}
)

// Default values of Settings.
const (
	DefaultMaxBatch     = 128
	DefaultSlack        = 8
	DefaultMaxOvertaken = 32
	DefaultHeadTimeout  = 300 * time.Millisecond

	// baseRisk is the risk before weights lower it. A weight on preemptions
	// lowers it by up to preemptionDecades powers of ten, one on stalls or tail
	// latency by up to latencyDecades.
	baseRisk          = 0.15
	preemptionDecades = 1.0
	latencyDecades    = 2.0
	// maxPrefillTokens bounds prefill where tail latency has no weight,
	// minPrefillTokens where its weight is high: a smaller limit would delay first
	// tokens for little gain.
	maxPrefillTokens = 4096
	minPrefillTokens = 512
)

// ChoirsWeights returns sample weights for a workspace that suffers most from
// preemptions.
func ChoirsWeights() Weights {
	return Weights{Preemptions: 10, StallTime: 1, TailLatency: 1}
}

// AssociationWeights returns sample weights for a workspace that suffers most
// from stalls and from the tail latency between tokens.
func AssociationWeights() Weights {
	return Weights{Preemptions: 1, StallTime: 10, TailLatency: 10}
}

// NewSettings returns the settings for an engine with memoryTokens of memory that
// follow from weights. Each weight lowers the accepted risk: preemptions by up to
// one power of ten, stalls and tail latency by up to two, since these also grow
// with the memory in use. The weight on tail latency also lowers MaxPrefill.
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

// maxPrefill returns the bound on concurrent prefill that follows from the
// weights, in tokens.
func (w Weights) maxPrefill() int {
	w = w.normalized()
	return max(int(math.Pow(maxPrefillTokens, 1-w.TailLatency)), minPrefillTokens)
}

// normalized returns weights of the same proportions that sum to 1; equal ones if all
// are 0.
func (w Weights) normalized() Weights {
	sum := w.Preemptions + w.StallTime + w.TailLatency
	if sum <= 0 {
		return Weights{Preemptions: 1. / 3, StallTime: 1. / 3, TailLatency: 1. / 3}
	}
	return Weights{Preemptions: w.Preemptions / sum, StallTime: w.StallTime / sum, TailLatency: w.TailLatency / sum}
}

// risk returns the accepted risk that follows from the weights.
func (w Weights) risk() float64 {
	w = w.normalized()
	return baseRisk * math.Pow(10, -preemptionDecades*w.Preemptions-latencyDecades*(w.StallTime+w.TailLatency))
}
