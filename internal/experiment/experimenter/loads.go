// Package experimenter runs the decision code over a recorded load on a
// handful of modelled engines and measures what callers would see.
package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"verbenareach/internal/prompt/hasher"
)

type (
	// Arrival is one request of a recorded load.
	Arrival struct {
		// At is the time since the start of the load.
		At        time.Duration
		Workspace string
		Kind      string
		// PromptTokens includes the tokens of Blocks.
		PromptTokens int
		Blocks       []uint64
		// Length is the output's length in tokens, which no policy but the
		// oracle may look at.
		Length int
		// MaxTokens is the caller's bound of the output.
		MaxTokens int
	}

	// Load is a recorded load with what happens to the engines meanwhile.
	Load struct {
		Name string
		// Time is how long requests arrive.
		Time     time.Duration
		Arrivals []Arrival
		// Lag is how late load reports are.
		Lag time.Duration
		// LostAt is when the first engine is lost for good; 0 for never.
		LostAt time.Duration
	}

	// kind is one sort of request of a user.
	kind struct {
		name  string
		share float64
		// prompt is the mean length of the part of the prompt that is not shared.
		prompt int
		// prefix is the part that all requests of a workspace share.
		prefix int
		max    int
		length func(r *rand.Rand) float64
	}

	// recipe makes a load of any seed.
	recipe struct {
		name  string
		kinds []kind
		// later, if set, replaces the kinds in the second half.
		later []kind
		// rate is the mean number of requests a second.
		rate  float64
		burst bool
		// hot is the share of requests that start with one and the same prefix.
		hot  float64
		lag  time.Duration
		lost bool
	}
)

const (
	workspaces = 10
	// hotPrefix is the length of the prefix of a hot-prefix load, in tokens.
	hotPrefix = 1600
	// A burst multiplies the rate for burstTime in each burstEvery.
	burstFactor = 5.0
	burstTime   = 5 * time.Second
	burstEvery  = 30 * time.Second
)

func logNormal(median, spread float64) func(*rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return median * math.Exp(spread*r.NormFloat64()) }
}

// heavyTail makes one length in five long, with a tail that falls with the
// power -1.3.
func heavyTail(r *rand.Rand) float64 {
	if r.IntN(5) > 0 {
		return 40 * math.Exp(0.8*r.NormFloat64())
	}
	return 400 * math.Pow(1-r.Float64(), -1/1.3)
}

func choirs() []kind {
	return []kind{
		{name: "rota", share: 0.15, prompt: 300, prefix: 640, max: 8192, length: logNormal(1800, 0.7)},
		{name: "question", share: 0.85, prompt: 60, prefix: 320, max: 1024, length: logNormal(40, 0.7)},
	}
}

func association() []kind {
	return []kind{
		{name: "report", share: 0.3, prompt: 200, prefix: 480, max: 4096, length: logNormal(900, 0.5)},
		{name: "check", share: 0.7, prompt: 80, prefix: 320, max: 256, length: logNormal(8, 0.6)},
	}
}

func mixed() []kind {
	return []kind{{name: "chat", share: 1, prompt: 150, prefix: 160, max: 16_384, length: heavyTail}}
}

// shifted makes the questions of the choirs twenty times as long and rotas
// half as long.
func shifted() []kind {
	kinds := choirs()
	kinds[0].length = logNormal(900, 0.7)
	kinds[1].length = logNormal(800, 0.7)
	return kinds
}

func recipes() []recipe {
	return []recipe{
		{name: "choirs", kinds: choirs(), rate: 20, lag: time.Second},
		{name: "association", kinds: association(), rate: 32, lag: time.Second},
		{name: "heavy-tailed", kinds: mixed(), rate: 32, lag: time.Second},
		{name: "shift", kinds: choirs(), later: shifted(), rate: 12, lag: time.Second},
		{name: "burst", kinds: choirs(), rate: 11, burst: true, lag: time.Second},
		{name: "hot prefix", kinds: choirs(), rate: 19, hot: 0.7, lag: time.Second},
		{name: "engine lost", kinds: choirs(), rate: 14, lost: true, lag: time.Second},
		{name: "reports 5 s late", kinds: choirs(), rate: 20, lag: 5 * time.Second},
	}
}

// LoadNames returns the names of all loads.
func LoadNames() []string {
	var names []string
	for _, c := range recipes() {
		names = append(names, c.name)
	}
	return names
}

// record makes the load of a seed that lasts so long.
func (c recipe) record(seed uint64, loadTime time.Duration) Load {
	r := rand.New(rand.NewPCG(seed, 7))
	load := Load{Name: c.name, Time: loadTime, Lag: c.lag}
	if c.lost {
		load.LostAt = loadTime * 2 / 5
	}
	for at := time.Duration(0); ; {
		rate := c.rate
		if c.burst && at%burstEvery < burstTime {
			rate *= burstFactor
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= loadTime {
			return load
		}
		kinds := c.kinds
		if c.later != nil && at > loadTime/2 {
			kinds = c.later
		}
		load.Arrivals = append(load.Arrivals, c.arrival(r, kinds, at))
	}
}

func (c recipe) arrival(r *rand.Rand, kinds []kind, at time.Duration) Arrival {
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
	prefix, family := k.prefix, uint64(workspace+1)
	if r.Float64() < c.hot {
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
		PromptTokens: prefix + 1 + int(float64(k.prompt)*r.ExpFloat64()),
		Blocks:       blocks,
		Length:       int(min(max(k.length(r), 1), float64(k.max))),
		MaxTokens:    k.max,
	}
}
