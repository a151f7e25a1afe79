// Package experimenter runs the placement and admission code over a generated load on
// a few simulated engines and measures what callers would see.
package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"verbenareach/internal/prompt/hasher"
)

type (
	// Arrival is one request of a load.
	Arrival struct {
		// At is the time since the start of the load.
		At        time.Duration
		Workspace string
		Kind      string
		// PromptTokens includes the tokens of Blocks.
		PromptTokens int
		Blocks       []uint64
		// Length is the output's length in tokens, which only the oracle policy may
		// read.
		Length int
		// MaxTokens is the caller's limit of the output.
		MaxTokens int
	}

	// Load is a sequence of requests with the faults of the engines.
	Load struct {
		Name string
		// Time is the time for which requests arrive.
		Time     time.Duration
		Arrivals []Arrival
		// Lag is the delay of load reports.
		Lag time.Duration
		// LostAt is when the first engine is lost permanently; 0 for never.
		LostAt time.Duration
	}

	// requestKind is a kind of request with its share of the load.
	requestKind struct {
		name  string
		share float64
		// promptTokens is the mean length of the part of the prompt that is not shared.
		promptTokens int
		// prefixTokens is the length of the prefix that all requests of a workspace share.
		prefixTokens int
		max          int
		length       func(r *rand.Rand) float64
	}

	// loadProfile holds the parameters from which a load is generated.
	loadProfile struct {
		name  string
		kinds []requestKind
		// secondHalfKinds, if set, replaces kinds in the second half of the load.
		secondHalfKinds []requestKind
		// rate is the mean number of requests per second.
		rate   float64
		bursts bool
		// hotPrefixShare is the share of requests that start with the same hot prefix.
		hotPrefixShare float64
		reportLag      time.Duration
		loseEngine     bool
	}
)

const (
	workspaces = 10
	// hotPrefix is the length of the prefix of a hot-prefix load, in tokens.
	hotPrefix = 1600
	// A burst multiplies the rate by burstFactor for burstTime in every burstEvery.
	burstFactor = 5.0
	burstTime   = 5 * time.Second
	burstEvery  = 30 * time.Second
)

func logNormal(median, spread float64) func(*rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return median * math.Exp(spread*r.NormFloat64()) }
}

// heavyTail draws one length in five from a Pareto distribution with shape 1.3 and the
// others from a log-normal distribution.
func heavyTail(r *rand.Rand) float64 {
	if r.IntN(5) > 0 {
		return 40 * math.Exp(0.8*r.NormFloat64())
	}
	return 400 * math.Pow(1-r.Float64(), -1/1.3)
}

func choirs() []requestKind {
	return []requestKind{
		{name: "rota", share: 0.15, promptTokens: 300, prefixTokens: 640, max: 8192, length: logNormal(1800, 0.7)},
		{name: "question", share: 0.85, promptTokens: 60, prefixTokens: 320, max: 1024, length: logNormal(40, 0.7)},
	}
}

func association() []requestKind {
	return []requestKind{
		{name: "report", share: 0.3, promptTokens: 200, prefixTokens: 480, max: 4096, length: logNormal(900, 0.5)},
		{name: "check", share: 0.7, promptTokens: 80, prefixTokens: 320, max: 256, length: logNormal(8, 0.6)},
	}
}

func mixed() []requestKind {
	return []requestKind{{name: "chat", share: 1, promptTokens: 150, prefixTokens: 160, max: 16_384, length: heavyTail}}
}

// shifted returns the kinds of the choirs with questions twenty times as long and
// rotas half as long.
func shifted() []requestKind {
	kinds := choirs()
	kinds[0].length = logNormal(900, 0.7)
	kinds[1].length = logNormal(800, 0.7)
	return kinds
}

func loadProfiles() []loadProfile {
	return []loadProfile{
		{name: "choirs", kinds: choirs(), rate: 20, reportLag: time.Second},
		{name: "association", kinds: association(), rate: 32, reportLag: time.Second},
		{name: "heavy-tailed", kinds: mixed(), rate: 32, reportLag: time.Second},
		{name: "shift", kinds: choirs(), secondHalfKinds: shifted(), rate: 12, reportLag: time.Second},
		{name: "burst", kinds: choirs(), rate: 11, bursts: true, reportLag: time.Second},
		{name: "hot prefix", kinds: choirs(), rate: 19, hotPrefixShare: 0.7, reportLag: time.Second},
		{name: "engine lost", kinds: choirs(), rate: 14, loseEngine: true, reportLag: time.Second},
		{name: "reports 5 s late", kinds: choirs(), rate: 20, reportLag: 5 * time.Second},
	}
}

// LoadNames returns the names of all loads.
func LoadNames() []string {
	var names []string
	for _, c := range loadProfiles() {
		names = append(names, c.name)
	}
	return names
}

// generate returns the load for a seed, in which requests arrive for loadTime.
func (c loadProfile) generate(seed uint64, loadTime time.Duration) Load {
	r := rand.New(rand.NewPCG(seed, 7))
	load := Load{Name: c.name, Time: loadTime, Lag: c.reportLag}
	if c.loseEngine {
		load.LostAt = loadTime * 2 / 5
	}
	for at := time.Duration(0); ; {
		rate := c.rate
		if c.bursts && at%burstEvery < burstTime {
			rate *= burstFactor
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= loadTime {
			return load
		}
		kinds := c.kinds
		if c.secondHalfKinds != nil && at > loadTime/2 {
			kinds = c.secondHalfKinds
		}
		load.Arrivals = append(load.Arrivals, c.arrival(r, kinds, at))
	}
}

func (c loadProfile) arrival(r *rand.Rand, kinds []requestKind, at time.Duration) Arrival {
	k := kinds[len(kinds)-1]
	for draw, i := r.Float64(), 0; i < len(kinds); i++ {
		if draw < kinds[i].share {
			k = kinds[i]
			break
		}
		draw -= kinds[i].share
	}
	// Two of the workspaces are large.
	workspace := r.IntN(workspaces)
	if r.IntN(2) == 0 {
		workspace = r.IntN(2)
	}
	prefix, family := k.prefixTokens, uint64(workspace+1)
	if r.Float64() < c.hotPrefixShare {
		prefix, family = hotPrefix, 1000
	}
	blocks := make([]uint64, prefix/hasher.BlockTokens)
	for i := range blocks {
		blocks[i] = family<<40 | uint64(len(k.name))<<32 | uint64(i) + 1
	}
	return Arrival{
		At:           at,
		Workspace:    fmt.Sprint("workspace-", workspace),
		Kind:         k.name,
		PromptTokens: prefix + 1 + int(float64(k.promptTokens)*r.ExpFloat64()),
		Blocks:       blocks,
		Length:       int(min(max(k.length(r), 1), float64(k.max))),
		MaxTokens:    k.max,
	}
}
