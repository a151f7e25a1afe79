// Package gatekeeper controls admission of work to a backend server by leave marks,
// readiness and incarnation.
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
		// ID is unique among the work in progress.
		ID        string
		Workspace string
		StartedAt time.Time
	}

	// Mark is a leave or return mark of the backend server. From a leave mark on, all
	// work is declined until a return mark with a higher number.
	Mark struct {
		Number uint64
		// Leaving is true for a leave mark and false for a return mark.
		Leaving bool
	}

	// Gate admits all work for one backend server and tracks it until it ends.
	// Its exported fields are set before first use.
	Gate struct {
		// Incarnation is the number of the agent's run, higher after each restart;
		// work for another one is declined.
		Incarnation uint64
		// Fresh reports whether the known marks were confirmed recently enough at
		// now; otherwise the gate admits nothing.
		Fresh func(now time.Time) bool
		// NewestMark returns the mark in the newest replicated state known here, so
		// that Admit checks it even before ApplyMark is called with it. If it is nil,
		// only applied marks are checked.
		NewestMark func() Mark

		mu sync.Mutex
		// mark is the newest applied mark; its number never decreases.
		mark Mark
		// stopping is set by Stop and never cleared.
		stopping bool
		// ready is whether the backend server has announced itself recently.
		ready bool
		// inProgress holds admitted work by id.
		inProgress map[string]Work
		// idle is closed when inProgress becomes empty; nil until Idle needs it.
		idle chan struct{}
	}

	// DeclinedError is why work was not admitted. It proves that the work did not
	// run.
	DeclinedError struct {
		Reason messenger.DeclineReason
		Detail string
		// RetryAfter is how long to wait before the next try; 0 if unknown.
		RetryAfter time.Duration
	}
)

var _ error = &DeclinedError{}

// Error returns the reason and detail.
func (e *DeclinedError) Error() string {
	return fmt.Sprintf("declined: %s %s", e.Reason, e.Detail)
}

// Admit admits work, or returns a DeclinedError. The caller must call Finish when
// admitted work has ended. An incarnation of 0 matches any agent. Work with the ID
// of other work in progress is declined too.
func (g *Gate) Admit(now time.Time, work Work, incarnation uint64) error {
	if incarnation != 0 && incarnation != g.Incarnation {
		return &DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_INCARNATION}
	}
	// Freshness is checked before the state is read, so that the state read holds
	// every mark that the freshness check covers.
	fresh := g.Fresh(now)
	var mark Mark
	if g.NewestMark != nil {
		mark = g.NewestMark()
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
	if _, duplicate := g.inProgress[work.ID]; duplicate {
		return &DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_OLD_EPOCH, Detail: "already in progress"}
	}
	g.inProgress[work.ID] = work
	return nil
}

// Finish removes work that has ended.
func (g *Gate) Finish(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inProgress, id)
	if len(g.inProgress) == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Idle returns a channel that is closed once no work is in progress.
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

// InProgress returns the work in progress, in no particular order.
func (g *Gate) InProgress() []Work {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]Work, 0, len(g.inProgress))
	for _, w := range g.inProgress {
		all = append(all, w)
	}
	return all
}

// Mark returns the newest applied mark.
func (g *Gate) Mark() Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mark
}

// SetReady sets whether the backend server has announced itself recently.
func (g *Gate) SetReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = ready
}

// Stop makes the gate decline all further work.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
}

// ApplyMark applies a mark and reports whether it is newer than the one before;
// otherwise it changes nothing.
func (g *Gate) ApplyMark(m Mark) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.Number <= g.mark.Number {
		return false
	}
	g.mark = m
	return true
}
