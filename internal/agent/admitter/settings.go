// Package admitter decides which generations an engine takes, so that the
// memory that they will need together fits with high probability, and which
// ones give way where it runs short all the same.
package admitter

import (
	"math"
	"time"
)

type (
	// Weights are the relative costs of what hurts callers, 0 or more; only
	// their proportions count.
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
		// Caution is the quantile of memory that has to fit, in standard
		// deviations over the mean.
		Caution float64
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
		// being offered again.
		HeadTimeout time.Duration
		// Weights apply to generations without their own.
		Weights Weights
	}
)

// Default values of Settings.
const (
	DefaultMaxBatch     = 128
	DefaultSlack        = 4
	DefaultMaxOvertaken = 32
	DefaultHeadTimeout  = 2 * time.Second

	leastCaution = 1.0
	mostCaution  = 3.0
	leastPrefill = 512
	mostPrefill  = 4096
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
// weights: both preemptions and stalls ask for caution, and the tail of the
// latency between tokens for small portions of prompts.
func NewSettings(memoryTokens int, w Weights) Settings {
	sum := w.Preemptions + w.StallTime + w.TailLatency
	if sum <= 0 {
		w = Weights{Preemptions: 1, StallTime: 1, TailLatency: 1}
		sum = 3
	}
	memory := (w.Preemptions + w.StallTime) / sum
	tail := w.TailLatency / sum
	return Settings{
		MemoryTokens: memoryTokens,
		MaxBatch:     DefaultMaxBatch,
		Caution:      leastCaution + (mostCaution-leastCaution)*memory,
		MaxPrefill:   int(mostPrefill * math.Pow(float64(leastPrefill)/mostPrefill, tail)),
		Slack:        DefaultSlack,
		MaxOvertaken: DefaultMaxOvertaken,
		HeadTimeout:  DefaultHeadTimeout,
		Weights:      w,
	}
}
