// Package emulator models one model engine: continuous batching, memory in
// blocks, a prefix cache with eviction, priorities and preemption. Time is
// passed in. A server form answers over HTTP as engines do.
package emulator

import (
	"time"

	"verbenareach/internal/prompt/hasher"
)

// Parameters are the settings of an Engine.
type Parameters struct {
	// MemoryTokens is the memory for prompts and outputs, in tokens.
	MemoryTokens int
	// MaxBatch is how many requests run at once.
	MaxBatch int
	// StepBase is the time of one step for the weights alone.
	StepBase time.Duration
	// StepPerSequence is added for each request that gets a token in the step.
	StepPerSequence time.Duration
	// StepPerKiloToken is added for each 1,024 tokens of context read in the step.
	StepPerKiloToken time.Duration
	// PrefillPerToken is the time to compute one prompt token.
	PrefillPerToken time.Duration
	// PrefillPerStep bounds the prompt tokens computed within one step.
	PrefillPerStep int
	// LoadEvery is how often the engine samples its load.
	LoadEvery time.Duration
	// LoadLag is how old the youngest visible load sample is at least.
	LoadLag time.Duration
	// CacheEventLag is how late cache events become visible.
	CacheEventLag time.Duration
	// CacheEventLoss is the share of cache events that never become visible.
	CacheEventLoss float64
	// Seed decides which cache events get lost.
	Seed uint64
}

// DefaultParameters returns an engine with 60,000 tokens of memory, batches of
// 128 and some 25 ms between tokens under load.
func DefaultParameters() Parameters {
	return Parameters{
		MemoryTokens:     60_000,
		MaxBatch:         128,
		StepBase:         15 * time.Millisecond,
		StepPerSequence:  50 * time.Microsecond,
		StepPerKiloToken: 100 * time.Microsecond,
		PrefillPerToken:  40 * time.Microsecond,
		PrefillPerStep:   1024,
		LoadEvery:        250 * time.Millisecond,
		LoadLag:          time.Second,
		CacheEventLag:    time.Second,
		CacheEventLoss:   0.05,
	}
}

func (p Parameters) blocks() int {
	return p.MemoryTokens / hasher.BlockTokens
}

// blocksFor returns the number of blocks that hold so many tokens.
func blocksFor(tokens int) int {
	return (tokens + hasher.BlockTokens - 1) / hasher.BlockTokens
}
