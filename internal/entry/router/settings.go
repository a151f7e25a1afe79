// Package router chooses the backend servers that an entry offers a generation
// to: a few candidates, the cheapest first.
package router

import "time"

type (
	// Settings of a Router. Costs are in shares of one engine's capacity.
	Settings struct {
		// FailureDomain and Region are the entry's own.
		FailureDomain string
		Region        string
		// Seed decides the random choices.
		Seed uint64
		// Choices is how many servers are drawn at random for one request.
		Choices int
		// Candidates bounds the servers returned for one request.
		Candidates int
		// OtherDomain and OtherRegion are the costs of distance.
		OtherDomain float64
		OtherRegion float64
		// Prefill is the cost of computing 1,024 prompt tokens.
		Prefill float64
		// Crowding is the cost of a share of memory above CrowdedAt.
		Crowding  float64
		CrowdedAt float64
		// LoadBound is how far above the mean load of a model's servers one of
		// them may be to be chosen for its prefix cache.
		LoadBound float64
		// SlowStart is how long a server that joined or returned takes to get
		// its full share.
		SlowStart time.Duration
		// MaxHints bounds the index of prefixes, in blocks.
		MaxHints int
	}
)

// smallGroup is the number of servers up to which all are compared.
const smallGroup = 8

// DefaultSettings returns the settings of an entry in a failure domain.
func DefaultSettings(region, failureDomain string) Settings {
	return Settings{
		FailureDomain: failureDomain,
		Region:        region,
		Choices:       4,
		Candidates:    4,
		OtherDomain:   0.01,
		OtherRegion:   0.3,
		Prefill:       0.08,
		Crowding:      4,
		CrowdedAt:     0.85,
		LoadBound:     0.25,
		SlowStart:     30 * time.Second,
		MaxHints:      1 << 17,
	}
}
