package limiter

import (
	"math"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

type (
	// Demand is what one request takes from its workspace's limits.
	Demand struct {
		// Generation is true for a generation, which counts as one while it runs;
		// a call to a plain service counts in requests only.
		Generation bool
		// PromptTokens are charged to the token rate when the request is accepted.
		PromptTokens int64
		// ExpectedTokens count as in flight from the start, with the prompt; tokens
		// beyond them are added as they are generated.
		ExpectedTokens int64
		// Resumed is true for a generation that was accepted before: it is counted
		// and never refused.
		Resumed bool
	}

	// amounts has one figure for each limit of a contract. requests and tokens count
	// against rates and are spent. generations and inFlight (tokens) are levels: a request
	// holds them until it ends.
	amounts struct {
		requests    float64
		tokens      float64
		generations int64
		inFlight    int64
	}
)

func amountsOf(d Demand) amounts {
	a := amounts{requests: 1, tokens: float64(d.PromptTokens)}
	if d.Generation {
		a.generations = 1
		a.inFlight = d.PromptTokens + d.ExpectedTokens
	}
	return a
}

func decodeAmounts(m *messenger.Amounts) amounts {
	return amounts{
		requests:    finite(m.GetRequests()),
		tokens:      finite(m.GetTokens()),
		generations: m.GetGenerations(),
		inFlight:    m.GetTokensInFlight(),
	}
}

func decodeLimits(m *messenger.Amounts) registrar.Limits {
	return registrar.Limits{
		RequestsPerSecond:     max(0, finite(m.GetRequests())),
		ConcurrentGenerations: uint32(min(max(0, m.GetGenerations()), math.MaxUint32)),
		TokensPerSecond:       max(0, finite(m.GetTokens())),
		TokensInFlight:        uint64(max(0, m.GetTokensInFlight())),
	}
}

func encodeLimits(l registrar.Limits) *messenger.Amounts {
	return &messenger.Amounts{
		Requests:       l.RequestsPerSecond,
		Tokens:         l.TokensPerSecond,
		Generations:    int64(l.ConcurrentGenerations),
		TokensInFlight: inFlightLimit(l),
	}
}

// finite returns 0 for NaN and infinities, so that a damaged message can't spoil a
// bucket's level.
func finite(f float64) float64 {
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return f
}

func inFlightLimit(l registrar.Limits) int64 {
	return int64(min(l.TokensInFlight, math.MaxInt64))
}

func unlimited(l registrar.Limits) bool {
	return l == registrar.Limits{}
}

func (a amounts) encode() *messenger.Amounts {
	return &messenger.Amounts{
		Requests:       a.requests,
		Tokens:         a.tokens,
		Generations:    a.generations,
		TokensInFlight: a.inFlight,
	}
}

// max returns the larger of both for each figure.
func (a amounts) max(b amounts) amounts {
	return amounts{
		requests:    max(a.requests, b.requests),
		tokens:      max(a.tokens, b.tokens),
		generations: max(a.generations, b.generations),
		inFlight:    max(a.inFlight, b.inFlight),
	}
}

func (a amounts) minus(b amounts) amounts {
	return amounts{a.requests - b.requests, a.tokens - b.tokens, a.generations - b.generations, a.inFlight - b.inFlight}
}

func (a amounts) plus(b amounts) amounts {
	return amounts{a.requests + b.requests, a.tokens + b.tokens, a.generations + b.generations, a.inFlight + b.inFlight}
}
