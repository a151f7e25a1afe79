// Package emulator simulates a model engine: continuous batching, KV cache memory in
// blocks, a prefix cache with eviction, priorities and preemption. Engine is the
// simulation; time is passed in. Server runs it in real time behind the HTTP API of
// an engine.
package emulator

import (
	"time"

	"verbenareach/internal/prompt/hasher"
)

// Parameters are the settings of an Engine.
type Parameters struct {
	// MemoryTokens is the memory for prompts and outputs, in tokens.
	MemoryTokens int
	// MaxBatch is the maximum number of requests that run at once.
	MaxBatch int
	// StepBase is the fixed part of a step's duration, for reading the weights.
	StepBase time.Duration
	// StepPerSequence is added for each request that gets a token in the step.
	StepPerSequence time.Duration
	// StepPerKiloToken is added for each 1,024 tokens of context read in the step.
	StepPerKiloToken time.Duration
	// PrefillPerToken is the time to compute one token of context: of the prompt, or of
	// output from an earlier attempt or before a preemption.
	PrefillPerToken time.Duration
	// PrefillPerStep bounds the tokens of context computed within one step.
	PrefillPerStep int
	// LoadEvery is the interval at which the engine samples its load.
	LoadEvery time.Duration
	// LoadLag is the minimum age at which a load sample is reported to callers.
	LoadLag time.Duration
	// CacheEventLag is the delay before a cache event is reported to callers.
	CacheEventLag time.Duration
	// CacheEventLoss is the fraction of cache events that are never reported.
	CacheEventLoss float64
	// Seed determines which cache events are lost.
	Seed uint64
}

// DefaultParameters returns the settings of an engine with 60,000 tokens of memory, batches of
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

// blocksFor returns the number of blocks needed to hold tokens.
func blocksFor(tokens int) int {
	return (tokens + hasher.BlockTokens - 1) / hasher.BlockTokens
}
