package runner

import (
	"time"

	"verbenareach/internal/wire/messenger"
)

// Settings are what a host of a fleet is told at its start.
type Settings struct {
	// Host is the host itself. It is a hub if DataFolder is set.
	Host       *messenger.FleetHost
	DataFolder string
	// Seeds are addresses at which other hosts may be found.
	Seeds []string
	// Bootstrap is set at the very first start of the fleet.
	Bootstrap bool
	// LostHosts is how many hubs may be lost at once.
	LostHosts int

	ClientListen  string
	ReadyListen   string
	ControlListen string
	Metrics       string

	// Heartbeat is the time between reports of a backend server.
	Heartbeat time.Duration
	// Grace is the time between the order to stop and the end of the process.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the repeats over all hosts.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MemoryBytes is what the process may use.
	MemoryBytes int64
}
