package runner

import (
	"time"

	"verbenareach/internal/wire/messenger"
)

// Settings are the settings of a host, read at its start. Only Seeds can change later.
type Settings struct {
	// Host is the host itself. It is a hub if and only if DataFolder is set.
	Host       *messenger.FleetHost
	DataFolder string
	// Seeds are addresses at which other hosts may be found.
	Seeds []string
	// Bootstrap is set at the very first start of the fleet.
	Bootstrap bool
	// Region is the region of this host, Regions that of each failure domain that the settings name.
	Region  string
	Regions map[string]string
	// MaxLostHubs is how many hubs may be lost at the same time.
	MaxLostHubs int

	// ClientListen, ReadyListen, ControlListen and Metrics are addresses to listen on.
	ClientListen  string
	ReadyListen   string
	ControlListen string
	Metrics       string

	// Heartbeat is the interval of a backend server's reports.
	Heartbeat time.Duration
	// Grace is the longest time between the stop signal and the end of the process.
	Grace time.Duration
	// RetryRatio, RetrySlack and RetryWindow set the retry budget of all hosts together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MemoryBytes is how much memory the process may use.
	MemoryBytes int64
}
