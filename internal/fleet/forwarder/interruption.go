package forwarder

import (
	"errors"
	"sync"
	"time"
)

// interruption records whether an engine may have been made to end its response to a run before the run's
// end: it was told to stop the run, or another engine may have gone on with it. Any goroutine may use it.
type interruption struct {
	// backend is the id of the engine. It is set before first use.
	backend string

	mu sync.Mutex
	// since is from when on the engine may end the response early; zero if nothing makes it.
	since time.Time
}

var errInterrupted = errors.New("response ends after its engine may have been told to stop")

// begin records that the engine may end the response early from now on. It reports whether nothing made
// it before.
func (i *interruption) begin(now time.Time) (first bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.since.IsZero() {
		return false
	}
	i.since = now
	return true
}

// before reports whether the engine may have ended the response early at a time.
func (i *interruption) before(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.since.IsZero() && !at.Before(i.since)
}

// withdraw records that nothing makes the engine end the response early.
func (i *interruption) withdraw() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.since = time.Time{}
}

// age returns for how long the engine may have ended the response early; 0 if nothing makes it.
func (i *interruption) age(now time.Time) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.since.IsZero() {
		return 0
	}
	return now.Sub(i.since)
}
