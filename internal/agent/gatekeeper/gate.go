// Package gatekeeper decides whether work may reach a backend server.
package gatekeeper

import (
	"fmt"
	"sync"
	"time"

	"verbenareach/internal/wire/messenger"
)

type (
	// Work is one generation or call in progress.
	Work struct {
		ID        string
		Workspace string
		StartedAt time.Time
	}

	// Mark is the newest leave or return mark that the agent knows.
	Mark struct {
		Number  uint64
		Leaving bool
	}

	// Gate is the aggregate that all work for one backend server passes. Its
	// exported fields are set before first use.
	Gate struct {
		// Incarnation is the agent's; work meant for another one is declined.
		Incarnation uint64
		// Fresh tells at now whether what is known of the marks is recent enough to
		// rely on; a gate without fresh knowledge takes no new work.
		Fresh func(now time.Time) bool
		// Newest returns the mark that the newest agreed state known here holds. Work
		// is judged by it even before TakeMark was told; nil for none.
		Newest func() Mark

		mu sync.Mutex
		// mark never goes back to a lower number.
		mark Mark
		// stopping is set once by a planned stop.
		stopping bool
		// ready is whether the backend server announced itself lately.
		ready bool
		// inProgress holds admitted work by id.
		inProgress map[string]Work
		// idle is closed and renewed whenever inProgress becomes empty.
		idle chan struct{}
	}

	// DeclinedError says why work was not admitted; it proves that it did not run.
	DeclinedError struct {
		Reason messenger.DeclineReason
		Detail string
		// RetryAfter is when another try may have a better chance; 0 if not known.
		RetryAfter time.Duration
	}
)

var _ error = &DeclinedError{}

// Error names the reason.
func (e *DeclinedError) Error() string {
	return fmt.Sprintf("declined: %s %s", e.Reason, e.Detail)
}

// Admit lets work pass, or returns a DeclinedError. Each admitted work must be
// ended by Finish.
func (g *Gate) Admit(now time.Time, work Work, incarnation uint64) error {
	if incarnation != 0 && incarnation != g.Incarnation {
		return &DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_INCARNATION}
	}
	// The state is looked at after its freshness, so that a fresh gate knows all marks.
	fresh := g.Fresh(now)
	var mark Mark
	if g.Newest != nil {
		mark = g.Newest()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mark.Number >= mark.Number {
		mark = g.mark
	}
	switch {
	case mark.Leaving:
		return &DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_LEAVING}
	case g.stopping:
		return &DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_LEAVING, Detail: "the agent stops"}
	case !fresh:
		return &DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_NOT_READY, Detail: "no fresh knowledge of leave marks"}
	case !g.ready:
		return &DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_BACKEND_DOWN}
	}
	if g.inProgress == nil {
		g.inProgress = make(map[string]Work)
	}
	if _, twice := g.inProgress[work.ID]; twice {
		return &DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_OLD_EPOCH, Detail: "already in progress"}
	}
	g.inProgress[work.ID] = work
	return nil
}

// Finish ends admitted work.
func (g *Gate) Finish(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inProgress, id)
	if len(g.inProgress) == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Idle returns a channel that is closed as soon as nothing is in progress.
func (g *Gate) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.inProgress) == 0 {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}

// InProgress returns all admitted work, in no order.
func (g *Gate) InProgress() []Work {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]Work, 0, len(g.inProgress))
	for _, w := range g.inProgress {
		all = append(all, w)
	}
	return all
}

// Mark returns the newest mark known.
func (g *Gate) Mark() Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mark
}

// SetReady notes whether the backend server is there.
func (g *Gate) SetReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = ready
}

// Stop takes no new work from now on.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
}

// TakeMark applies a mark unless a newer one is known, and tells whether it
// changed anything.
func (g *Gate) TakeMark(m Mark) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.Number <= g.mark.Number {
		return false
	}
	g.mark = m
	return true
}
