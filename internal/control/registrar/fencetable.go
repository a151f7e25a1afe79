package registrar

import "time"

type (
	// IssueFence requests a fencing number for one order to a backend server. Numbers
	// only grow, so that the server can reject orders that a newer one has overtaken.
	IssueFence struct {
		Server string `json:"server"`
		// Holder is a unique id of the process that sends the order.
		Holder string `json:"holder"`
		// Lease is how long the holder may use the number, at most maxLease; 0 for
		// DefaultLease. Until it ends, other holders get a number only if ChecksFences
		// is set.
		Lease Duration `json:"lease"`
		// Load is set for an order that makes the server load from the weight store.
		Load bool `json:"load,omitempty"`
		// ChecksFences is set if the server itself rejects older numbers.
		ChecksFences bool `json:"checksFences,omitempty"`
	}

	// FinishLoad releases a permit to load from the weight store.
	FinishLoad struct {
		Server string `json:"server"`
		Fence  uint64 `json:"fence"`
	}

	// FenceResult answers IssueFence and FinishLoad.
	FenceResult struct {
		// Fence is the number issued, which is the command's log index, or 0 if none.
		// For FinishLoad it is the number in the command.
		Fence uint64 `json:"fence"`
		// Wait is how long to wait before the next request, and Detail the reason, if
		// no number was issued.
		Wait   Duration `json:"wait,omitempty"`
		Detail string   `json:"detail,omitempty"`
	}

	// fence is the newest number issued for a backend server. Until is the elapsed
	// time at which its lease ends.
	fence struct {
		Number uint64        `json:"number"`
		Holder string        `json:"holder"`
		Until  time.Duration `json:"until"`
	}

	// loadPermit permits one backend server to load from the weight store, up to the
	// elapsed time Until.
	loadPermit struct {
		Fence uint64        `json:"fence"`
		Until time.Duration `json:"until"`
	}

	// fenceTable holds the fencing numbers and the weight-store permits, both by
	// backend server.
	fenceTable struct {
		fences map[string]fence
		// loadPermits has at most maxConcurrentLoads permits.
		loadPermits map[string]loadPermit
	}
)

const (
	// DefaultLease is a fencing number's lease if the holder sets none.
	DefaultLease = 30 * time.Second
	// maxLease bounds a fencing number's lease.
	maxLease = 10 * time.Minute
	// maxConcurrentLoads bounds the backend servers that load from the weight store at once.
	maxConcurrentLoads = 4
	// maxFences bounds the backend servers with a number. Numbers are log indexes,
	// so the next number of a dropped server is still above its last.
	maxFences = 65536
	// loadRetry is the wait when the weight store is busy or the table is full.
	loadRetry = 5 * time.Second
	// leaseSlack is added to each lease because elapsed time advances in ticks of
	// up to MaxTick: no lease may end before its length on the holder's clock.
	leaseSlack = MaxTick
)

func (t *fenceTable) init() {
	t.fences = make(map[string]fence)
	t.loadPermits = make(map[string]loadPermit)
}

// issue issues a number, and for a load a permit, unless another holder's lease runs
// or a table is full.
func (t *fenceTable) issue(index uint64, elapsed time.Duration, f IssueFence) FenceResult {
	if f.Server == "" {
		return FenceResult{Detail: "no backend server named"}
	}
	old, known := t.fences[f.Server]
	if known && !f.ChecksFences && old.Holder != f.Holder && elapsed < old.Until {
		return FenceResult{Wait: Duration(old.Until - elapsed), Detail: "another holder's lease runs"}
	}
	if !known && len(t.fences) >= maxFences {
		return FenceResult{Wait: Duration(loadRetry), Detail: "too many backend servers have orders"}
	}
	lease := time.Duration(f.Lease)
	if lease <= 0 {
		lease = DefaultLease
	}
	until := elapsed + min(lease, maxLease) + leaseSlack
	if f.Load {
		if _, loading := t.loadPermits[f.Server]; !loading && len(t.loadPermits) >= maxConcurrentLoads {
			return FenceResult{Wait: Duration(loadRetry), Detail: "the weight store is busy"}
		}
		t.loadPermits[f.Server] = loadPermit{Fence: index, Until: until}
	}
	t.fences[f.Server] = fence{Number: index, Holder: f.Holder, Until: until}
	return FenceResult{Fence: index}
}

// finish releases the permit if it was given with that number.
func (t *fenceTable) finish(f FinishLoad) FenceResult {
	if p, ok := t.loadPermits[f.Server]; ok && p.Fence == f.Fence {
		delete(t.loadPermits, f.Server)
	}
	return FenceResult{Fence: f.Fence}
}

// expire drops the fences and permits whose lease has ended.
func (t *fenceTable) expire(elapsed time.Duration) {
	for server, p := range t.loadPermits {
		if p.Until <= elapsed {
			delete(t.loadPermits, server)
		}
	}
	for server, f := range t.fences {
		if f.Until <= elapsed {
			delete(t.fences, server)
		}
	}
}
