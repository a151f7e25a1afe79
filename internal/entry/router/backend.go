package router

import "time"

const (
	// maxSent bounds the changes remembered since a server's last report.
	maxSent = 32
	// firstTrust is the share of predicted prefix hits that is believed of a
	// server before it has confirmed any.
	firstTrust = 0.8
	// trustStep is how much one answer changes the trust.
	trustStep = 0.1
	// gapTrust is what remains of the trust when cache events were lost.
	gapTrust = 0.7
	// leastShare is a server's share of load when it has just joined.
	leastShare = 0.1
)

type (
	// Model is a model with its adapter and version if any.
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
		// JoinedAt is when it joined or returned.
		JoinedAt time.Time
		// Incarnation changes when the server may have lost its prefix cache.
		Incarnation uint64
	}

	// Load is what a server's agent told of it.
	Load struct {
		Running     int
		Waiting     int
		MemoryTotal int
		MemoryUsed  int
		// MemoryExpected is what the agent expects to be used at the peak.
		MemoryExpected int
		ReportedAt     time.Time
		Leaving        bool
	}

	// backend is what the router knows of one server.
	backend struct {
		Server
		load Load
		// slot identifies the server in the index of prefixes.
		slot  uint16
		epoch uint16
		// known tells that the server is in the newest list.
		known bool
		trust float64
		// lastEvent is the sequence number of the last cache event.
		lastEvent uint64
		// sent holds what this entry sent and saw done since the last report.
		sent [maxSent]sending
		n    int
	}

	// sending is a change of a server's load by this entry.
	sending struct {
		at     time.Time
		count  int
		tokens int
	}
)

// correct adds a change since the last report.
func (b *backend) correct(s sending) {
	if b.n == maxSent {
		// The two oldest become one, so that nothing is lost.
		b.sent[1].count += b.sent[0].count
		b.sent[1].tokens += b.sent[0].tokens
		copy(b.sent[:], b.sent[1:])
		b.n--
	}
	b.sent[b.n] = s
	b.n++
}

// memory returns the memory that the server is expected to use, in tokens.
func (b *backend) memory() int {
	tokens := max(b.load.MemoryUsed, b.load.MemoryExpected)
	for _, s := range b.sent[:b.n] {
		tokens += s.tokens
	}
	return max(tokens, 0)
}

// outstanding returns the generations that the server is held to have.
func (b *backend) outstanding() int {
	count := b.load.Running + b.load.Waiting
	for _, s := range b.sent[:b.n] {
		count += s.count
	}
	return max(count, 0)
}

// place returns the server's current place in the index of prefixes.
func (b *backend) place() place {
	return place{slot: b.slot, epoch: b.epoch}
}

// report takes a newer load and drops the changes that it includes.
func (b *backend) report(l Load) {
	if !l.ReportedAt.After(b.load.ReportedAt) {
		b.load.Leaving = l.Leaving
		return
	}
	b.load = l
	keep := 0
	for _, s := range b.sent[:b.n] {
		if s.at.After(l.ReportedAt) {
			b.sent[keep] = s
			keep++
		}
	}
	b.n = keep
}

// share returns how much of its full load a server may have at now: less than
// 1 while it starts slowly.
func (b *backend) share(now time.Time, slowStart time.Duration) float64 {
	age := now.Sub(b.JoinedAt)
	if age >= slowStart || slowStart <= 0 {
		return 1
	}
	return leastShare + (1-leastShare)*max(age.Seconds(), 0)/slowStart.Seconds()
}
