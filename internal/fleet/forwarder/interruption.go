package forwarder

import (
	"errors"
	"sync"
	"time"
)

// interruption records whether an engine may have been made to end its response to a run before the run's
// end: it was told to stop the run, or another engine may have gone on with it. Any goroutine may use it.
type interruption struct {
	mu sync.Mutex
	// since is from when on the engine may end the response early; zero if nothing makes it.
	since time.Time
	// open counts the orders without an answer: the engine may yet carry them out.
	open int
	// unclearAt is when an order was answered last without telling whether the run stopped; zero if none was.
	unclearAt time.Time
}

// continuedTime is how long after an unclear answer an event must arrive to show that the run goes on: it
// can't have been on its way before.
const continuedTime = time.Second

var errInterrupted = errors.New("response ends after its engine may have been told to stop")

// begin records that something may make the engine end the response early from now on.
func (i *interruption) begin(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.since.IsZero() {
		i.since = now
	}
	i.open++
}

// answer records the answer to an order. It is clear if it tells what the engine did and the response that
// may end early is no longer read, or the engine did nothing.
func (i *interruption) answer(now time.Time, isClear bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.open--
	if !isClear {
		i.unclearAt = now
	}
	if i.open == 0 && i.unclearAt.IsZero() {
		i.since = time.Time{}
	}
}

// continued records that an event of the response arrived at a time.
func (i *interruption) continued(arrived time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.open == 0 && !i.unclearAt.IsZero() && arrived.Sub(i.unclearAt) > continuedTime {
		i.since, i.unclearAt = time.Time{}, time.Time{}
	}
}

// isOpen reports whether an order has no answer.
func (i *interruption) isOpen() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.open > 0
}

// before reports whether the engine may have ended the response early at a time.
func (i *interruption) before(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.since.IsZero() && !at.Before(i.since)
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

// interruptionAt returns the interruption of the run at the engine with an id. An engine that gets the run
// once more may still have an order to stop it.
func (s *stream) interruptionAt(backend string) *interruption {
	if i := s.interruptions[backend]; i != nil && i.isOpen() {
		return i
	}
	if s.interruptions == nil {
		s.interruptions = make(map[string]*interruption)
	}
	i := &interruption{}
	s.interruptions[backend] = i
	return i
}
