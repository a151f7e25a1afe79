// Package sizer counts the bytes that a host sends over its links, by the kind of their content and by
// whether they leave its region. It does no I/O.
package sizer

import (
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"verbenareach/internal/wire/messenger"
)

type (
	// Sizer counts what one host sends. The zero value is ready; it is safe for concurrent use.
	Sizer struct {
		mu   sync.Mutex
		sent Sent
	}

	// Kind is a kind of content of a message.
	Kind int

	// Sent is what was sent.
	Sent struct {
		Messages int64
		// Near holds the bytes by kind that stayed in the host's region, Far those that left it.
		Near, Far [Kinds]int64
	}
)

// Kinds of content.
const (
	// Reports are reports of backend servers.
	Reports Kind = iota
	// Placements are requests for placements, decisions and orders to move.
	Placements
	// Runs are states of generations, without the paces that go with them.
	Runs
	// Limits are limits of backend servers, and permissions; warm-ups are not among them.
	Limits
	// Faults are lost answers and crashes.
	Faults
	// Others is the rest: keepalives, versions and hubs, evacuations, paces of engines, warm-ups, and
	// what subscriptions need.
	Others
	// Kinds is the number of kinds.
	Kinds
)

// String returns the name of a kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"reports", "placements", "runs", "limits", "faults", "others"}[k]
}

// Add counts a message. far is set if it leaves the host's region.
func (s *Sizer) Add(m *messenger.LinkMessage, far bool) {
	sizes := sizesOf(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent.Messages++
	to := &s.sent.Near
	if far {
		to = &s.sent.Far
	}
	for k, size := range sizes {
		to[k] += int64(size)
	}
}

// Take returns what was sent since the last call.
func (s *Sizer) Take() Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.sent
	s.sent = Sent{}
	return sent
}

// sizesOf returns the bytes of a message by kind.
func sizesOf(m *messenger.LinkMessage) (sizes [Kinds]int) {
	for _, b := range m.Backends {
		sizes[Reports] += fieldSize(b)
	}
	for _, p := range m.Places {
		sizes[Placements] += fieldSize(p)
	}
	for _, p := range m.Placements {
		sizes[Placements] += fieldSize(p)
	}
	for _, o := range m.Moves {
		sizes[Placements] += fieldSize(o)
	}
	for _, r := range m.Runs {
		sizes[Runs] += fieldSize(r)
	}
	for _, l := range m.RateLimits {
		sizes[Limits] += fieldSize(l)
	}
	for _, r := range m.PermitRequests {
		sizes[Limits] += fieldSize(r)
	}
	for _, r := range m.PermitReplies {
		sizes[Limits] += fieldSize(r)
	}
	for _, l := range m.Losses {
		sizes[Faults] += fieldSize(l)
	}
	for _, r := range m.CrashReports {
		sizes[Faults] += fieldSize(r)
	}
	known := 0
	for _, size := range sizes {
		known += size
	}
	sizes[Others] = proto.Size(m) - known
	return sizes
}

// fieldSize returns the bytes of an entry of a repeated field, with its length and tag.
func fieldSize(m proto.Message) int {
	return protowire.SizeTag(1) + protowire.SizeBytes(proto.Size(m))
}
