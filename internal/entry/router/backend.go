package router

import "time"

const (
	// maxLoadChanges bounds the load changes kept since a server's last report.
	maxLoadChanges = 32
	// initialTrust is the trust in a server's predicted prefix cache hits before any was
	// confirmed.
	initialTrust = 0.8
	// trustSmoothing is the weight of one confirmation in the moving average of the trust.
	trustSmoothing = 0.1
	// eventGapFactor multiplies the trust in a server when cache events were lost.
	eventGapFactor = 0.7
	// minSlowStartShare is the slow-start share of a server that has just joined.
	minSlowStartShare = 0.1
)

type (
	// Model is a model with its adapter and version, if any.
	Model struct {
		Model   string
		Adapter string
		Version string
	}

	// Server is a backend server as its agent announced it.
	Server struct {
		Name          string
		FailureDomain string
		Region        string
		Models        []Model
		MemoryTokens  int
		// JoinedAt is when the server joined or returned.
		JoinedAt time.Time
		// Incarnation changes when the server may have lost its prefix cache.
		Incarnation uint64
	}

	// Load is a server's load as its agent reported it. Memory is in tokens.
	Load struct {
		Running     int
		Waiting     int
		MemoryTotal int
		MemoryUsed  int
		// MemoryExpected is the agent's estimate of the peak usage.
		MemoryExpected int
		ReportedAt     time.Time
		Leaving        bool
	}

	// backend is the router's state of one server.
	backend struct {
		Server
		load Load
		// slot identifies the server in the prefix index. epoch changes when the server may
		// have lost its prefix cache or the slot gets another server, which makes older
		// references to the slot invalid.
		slot  uint16
		epoch uint16
		// listed is true if the server is in the newest list.
		listed bool
		// trust is the moving average of the share of predicted prefix cache hits that
		// the server confirmed.
		trust float64
		// lastEventSeq is the sequence number of the last cache event.
		lastEventSeq uint64
		// changes[:n] are the load changes by this entry since the last report.
		changes [maxLoadChanges]loadChange
		n       int
	}

	// loadChange is a change of a server's load by a request of this entry.
	loadChange struct {
		at     time.Time
		count  int
		tokens int
	}
)

// addChange records a load change since the last report.
func (b *backend) addChange(c loadChange) {
	if b.n == maxLoadChanges {
		// Merge the two oldest, so that the sums stay right.
		b.changes[1].count += b.changes[0].count
		b.changes[1].tokens += b.changes[0].tokens
		copy(b.changes[:], b.changes[1:])
		b.n--
	}
	b.changes[b.n] = c
	b.n++
}

// expectedMemory returns the memory that the server is expected to use, in tokens.
func (b *backend) expectedMemory() int {
	tokens := max(b.load.MemoryUsed, b.load.MemoryExpected)
	for _, c := range b.changes[:b.n] {
		tokens += c.tokens
	}
	return max(tokens, 0)
}

// outstanding returns the estimated number of the server's generations.
func (b *backend) outstanding() int {
	count := b.load.Running + b.load.Waiting
	for _, c := range b.changes[:b.n] {
		count += c.count
	}
	return max(count, 0)
}

// ref returns the server's current reference in the prefix index.
func (b *backend) ref() serverRef {
	return serverRef{slot: b.slot, epoch: b.epoch}
}

// setLoad stores a newer load and drops the changes that it includes. Of an older load it
// takes only whether the server is leaving.
func (b *backend) setLoad(l Load) {
	if !l.ReportedAt.After(b.load.ReportedAt) {
		b.load.Leaving = l.Leaving
		return
	}
	b.load = l
	keep := 0
	for _, c := range b.changes[:b.n] {
		if c.at.After(l.ReportedAt) {
			b.changes[keep] = c
			keep++
		}
	}
	b.n = keep
}

// slowStartShare returns the share of its full load that a server may have at now: less
// than 1 during slow start.
func (b *backend) slowStartShare(now time.Time, slowStart time.Duration) float64 {
	age := now.Sub(b.JoinedAt)
	if age >= slowStart || slowStart <= 0 {
		return 1
	}
	return minSlowStartShare + (1-minSlowStartShare)*max(age.Seconds(), 0)/slowStart.Seconds()
}
