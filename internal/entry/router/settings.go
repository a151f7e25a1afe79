// Package router chooses backend servers for an entry's generations: a few candidates by
// cost, the lowest first.
package router

import "time"

type (
	// Settings are the settings of a Router. Costs are in shares of one engine's capacity.
	Settings struct {
		// FailureDomain and Region are the entry's own.
		FailureDomain string
		Region        string
		// Seed seeds the random choices.
		Seed uint64
		// Choices is how many servers are drawn at random for one request.
		Choices int
		// Candidates bounds the servers returned for one request.
		Candidates int
		// OtherDomain and OtherRegion are the costs of a server in another failure domain
		// or region.
		OtherDomain float64
		OtherRegion float64
		// Prefill is the cost of computing 1,024 prompt tokens.
		Prefill float64
		// Crowding is the extra cost for each unit of memory occupancy above CrowdedAt;
		// an occupancy of 1 is a full memory.
		Crowding  float64
		CrowdedAt float64
		// LoadBound is the share by which a server's load may exceed the mean load of its
		// model's servers for it to be chosen for its prefix cache.
		LoadBound float64
		// SlowStart is the time in which a server that joined or returned grows to a full
		// share of load; 0 for no slow start.
		SlowStart time.Duration
		// MaxHints bounds the prefix index, in blocks.
		MaxHints int
	}
)

// maxExhaustiveGroup is the size up to which all servers of a group are compared.
const maxExhaustiveGroup = 8

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
