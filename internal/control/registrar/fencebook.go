package registrar

import "time"

type (
	// IssueFence asks for the right to give one order to a backend server.
	IssueFence struct {
		Server string `json:"server"`
		// Holder is unique for whoever gives orders.
		Holder string `json:"holder"`
		// Lease is how long the holder may act on the number.
		Lease Duration `json:"lease"`
		// Load is set for an order that makes the server load from the weight store.
		Load bool `json:"load,omitempty"`
		// ChecksFences tells that the server refuses old numbers by itself.
		ChecksFences bool `json:"checksFences,omitempty"`
	}

	// FinishLoad gives a permit of the weight store back.
	FinishLoad struct {
		Server string `json:"server"`
		Fence  uint64 `json:"fence"`
	}

	// FenceResult answers IssueFence and FinishLoad.
	FenceResult struct {
		// Fence is the number issued, 0 if none. It is the command's log index.
		Fence uint64 `json:"fence"`
		// Wait is how long to wait before asking again.
		Wait   Duration `json:"wait,omitempty"`
		Detail string   `json:"detail,omitempty"`
	}

	// fence is the newest number issued for a backend server.
	fence struct {
		Number uint64        `json:"number"`
		Holder string        `json:"holder"`
		Until  time.Duration `json:"until"`
	}

	// loadPermit lets one backend server load from the weight store.
	loadPermit struct {
		Fence uint64        `json:"fence"`
		Until time.Duration `json:"until"`
	}

	// fenceBook holds the fencing numbers and the permits of the weight store.
	fenceBook struct {
		fences map[string]fence
		// loads by server, at most maxLoads.
		loads map[string]loadPermit
	}
)

const (
	// DefaultLease is a fencing number's lease where the holder doesn't say.
	DefaultLease = 30 * time.Second
	// maxLease bounds a fencing number's lease.
	maxLease = 10 * time.Minute
	// maxLoads bounds the backend servers that load from the weight store at once.
	maxLoads = 4
	// maxFences bounds the backend servers with a number; as numbers are log
	// indexes, a forgotten server's next number is higher than its last all the same.
	maxFences = 65536
	// loadRetry is the wait when the weight store is busy.
	loadRetry = 5 * time.Second
	// leaseSlack covers that elapsed time is counted in ticks: a lease lasts at
	// least its length on the holder's clock.
	leaseSlack = MaxTick
)

func (b *fenceBook) init() {
	b.fences = make(map[string]fence)
	b.loads = make(map[string]loadPermit)
}

func (b *fenceBook) issue(index uint64, elapsed time.Duration, f IssueFence) FenceResult {
	if f.Server == "" {
		return FenceResult{Detail: "no backend server named"}
	}
	old, known := b.fences[f.Server]
	if known && !f.ChecksFences && old.Holder != f.Holder && elapsed < old.Until {
		return FenceResult{Wait: Duration(old.Until - elapsed), Detail: "another holder's lease runs"}
	}
	if !known && len(b.fences) >= maxFences {
		return FenceResult{Wait: Duration(loadRetry), Detail: "too many backend servers have orders"}
	}
	lease := time.Duration(f.Lease)
	if lease <= 0 {
		lease = DefaultLease
	}
	until := elapsed + min(lease, maxLease) + leaseSlack
	if f.Load {
		if _, loading := b.loads[f.Server]; !loading && len(b.loads) >= maxLoads {
			return FenceResult{Wait: Duration(loadRetry), Detail: "the weight store is busy"}
		}
		b.loads[f.Server] = loadPermit{Fence: index, Until: until}
	}
	b.fences[f.Server] = fence{Number: index, Holder: f.Holder, Until: until}
	return FenceResult{Fence: index}
}

func (b *fenceBook) finish(f FinishLoad) FenceResult {
	if p, ok := b.loads[f.Server]; ok && p.Fence == f.Fence {
		delete(b.loads, f.Server)
	}
	return FenceResult{Fence: f.Fence}
}

// expire drops leases and permits that have run out.
func (b *fenceBook) expire(elapsed time.Duration) {
	for server, p := range b.loads {
		if p.Until <= elapsed {
			delete(b.loads, server)
		}
	}
	for server, f := range b.fences {
		if f.Until <= elapsed {
			delete(b.fences, server)
		}
	}
}
