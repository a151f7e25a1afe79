// Package queuer queues requests until a backend server has room for them. The queue is
// bounded, has deadlines, and shares backend servers fairly between workspaces.
package queuer

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// DefaultCapacity bounds the waiting requests of one entry.
	DefaultCapacity = 4096
	// DefaultLookahead bounds the requests without room that are tried for one placement.
	DefaultLookahead = 8
	// DefaultMaxOvertaken bounds how often a request without room may be overtaken.
	DefaultMaxOvertaken = 64
	// DefaultTick is the time between sweeps while requests wait.
	DefaultTick = 20 * time.Millisecond

	// idleTick is the time between sweeps while no request waits: they only drop
	// unused flows and classes.
	idleTick = time.Second

	// maxPriority bounds priorities in both directions: each step doubles the weight.
	maxPriority = 4
	// minCost is the least cost of a request, so that none is free.
	minCost = 1
)

// Verdicts of a Place function.
const (
	// Placed means that the request has its backend server.
	Placed Verdict = iota
	// NoRoom means that there are backend servers for it, but none has room.
	NoRoom
	// NoServer means that there is no backend server for it now, with or without room.
	NoServer
)

// Causes of a refusal.
const (
	CauseFull        Cause = "queueFull"
	CauseDeadline    Cause = "deadline"
	CauseWaitTooLong Cause = "waitTooLong"
	CauseNoServer    Cause = "noBackendServer"
)

type (
	// Verdict is the result of one attempt to place a request.
	Verdict int

	// Cause is why a request was refused.
	Cause string

	// Request is one request for a backend server.
	Request struct {
		// Class names what requests compete for, such as a model.
		Class     string
		Workspace string
		// Share and Priority are the contract's; a share of 0 counts as 1. They set the
		// weight of all waiting requests of the workspace.
		Share    uint32
		Priority int32
		// Cost is what the request uses of the class, such as expected tokens; at least
		// minCost is charged.
		Cost float64
		// Deadline is when the request stops waiting.
		Deadline time.Time
		// Place tries to choose a backend server, and reserves room there if it does. It
		// is called by one goroutine at a time and must not call the Queue, whose lock is
		// held.
		Place func(now time.Time) Verdict
	}

	// Queue holds an entry's waiting requests. Its exported fields are set before first
	// use.
	Queue struct {
		// Capacity bounds the waiting requests; 0 for the default. In a full queue, a
		// new request evicts the last one of the workspace that is most over its share.
		Capacity int
		// Lookahead and MaxOvertaken bound overtaking: a later request is placed before
		// earlier ones without room. 0 for the defaults.
		Lookahead    int
		MaxOvertaken int
		// Tick is the time between sweeps while requests wait; 0 for the default.
		Tick time.Duration

		mu      sync.Mutex
		classes map[string]*class
		waiting int
		// wake has capacity 1 and signals Run that a request waits; nil before Run.
		wake chan struct{}
	}

	// RefusedError reports a request that got no backend server. It did not run.
	RefusedError struct {
		Cause Cause
		// RetryAfter estimates the time until there is room; at least 1 s.
		RetryAfter time.Duration
	}
)

var _ error = &RefusedError{}

// Error returns the cause and when to retry.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no backend server took the request (%s), retry after %s", e.Cause, e.RetryAfter)
}

// PlaceClass tries to place the waiting requests of a class. It is called when there may
// be room.
func (q *Queue) PlaceClass(now time.Time, name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c := q.classes[name]; c != nil {
		q.placeWaiting(now, c)
	}
}

// Run sweeps the queue every Tick until ctx ends, and less often while no request waits:
// needless timers were the largest part of an idle entry's processor time.
func (q *Queue) Run(ctx context.Context) error {
	wake := q.prepareWake()
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
			timer.Reset(q.tick())
			continue
		case now := <-timer.C:
			q.Sweep(now)
		}
		if q.Waiting() > 0 {
			timer.Reset(q.tick())
		} else {
			timer.Reset(idleTick)
		}
	}
}

// Sweep refuses the requests whose deadline has passed, tries to place the others, and drops
// unused flows and classes.
func (q *Queue) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, c := range q.classes {
		q.waiting -= c.expire(now)
		c.measureRate(now)
		q.placeWaiting(now, c)
		if c.pruneIdle(now) {
			delete(q.classes, name)
		}
	}
}

// Wait returns nil once r was placed, even if ctx has ended meanwhile. It fails with a
// RefusedError if r can't be placed before its deadline or the queue is full, and with ctx's
// error if ctx ends first.
func (q *Queue) Wait(ctx context.Context, now time.Time, r Request) error {
	w, refused := q.submit(now, r)
	if refused != nil {
		return refused
	}
	if w == nil {
		return nil
	}
	select {
	case refused := <-w.done:
		return asError(refused)
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case refused := <-w.done:
		return asError(refused)
	default:
	}
	w.flow.remove(w)
	q.waiting--
	return ctx.Err()
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// submit places r at once, enqueues it or refuses it. The waiter is nil unless r waits, and
// the refusal nil unless r is refused.
func (q *Queue) submit(now time.Time, r Request) (*waiter, *RefusedError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.classes == nil {
		q.classes = make(map[string]*class)
	}
	c := q.classes[r.Class]
	if c == nil {
		c = newClass(now)
		q.classes[r.Class] = c
	}
	f := c.flow(r)
	wait := c.estimateWait(now, f, cost(r))
	if !r.Deadline.After(now) {
		return nil, refusal(CauseDeadline, wait)
	}
	if wait > r.Deadline.Sub(now) {
		return nil, refusal(CauseWaitTooLong, wait)
	}
	if q.waiting >= q.capacity() && !q.evictOverShare(now, f) {
		return nil, refusal(CauseFull, wait)
	}
	w := &waiter{Request: r, flow: f, done: make(chan *RefusedError, 1)}
	c.enqueue(now, f, w)
	q.waiting++
	q.placeWaiting(now, c)
	if len(w.done) > 0 {
		return nil, nil
	}
	if q.waiting == 1 {
		q.signal()
	}
	return w, nil
}

// evictOverShare refuses the last request of the flow with the greatest weighted length,
// unless that is incoming with its new request. It reports whether it refused one.
func (q *Queue) evictOverShare(now time.Time, incoming *flow) bool {
	var worst *flow
	var worstClass *class
	highest := incoming.weightedLength(1)
	for _, c := range q.classes {
		for _, f := range c.flows {
			if f.length() == 0 || f == incoming {
				continue
			}
			if e := f.weightedLength(0); e > highest {
				worst, worstClass, highest = f, c, e
			}
		}
	}
	if worst == nil {
		return false
	}
	last := worst.waiting[len(worst.waiting)-1]
	last.done <- refusal(CauseFull, worstClass.estimateWait(now, worst, 0))
	worst.remove(last)
	q.waiting--
	return true
}

// placeWaiting places waiting requests in the order of their start tags while it can.
func (q *Queue) placeWaiting(now time.Time, c *class) {
	for c.placeNext(now, q.lookahead(), q.maxOvertaken()) {
		q.waiting--
	}
}

func (q *Queue) capacity() int { return orDefault(q.Capacity, DefaultCapacity) }

func (q *Queue) lookahead() int { return orDefault(q.Lookahead, DefaultLookahead) }

func (q *Queue) maxOvertaken() int { return orDefault(q.MaxOvertaken, DefaultMaxOvertaken) }

// prepareWake returns the channel that signals Run when the first request waits.
func (q *Queue) prepareWake() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake = make(chan struct{}, 1)
	if q.waiting > 0 {
		q.signal()
	}
	return q.wake
}

// signal wakes Run; the caller holds mu.
func (q *Queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *Queue) tick() time.Duration {
	if q.Tick == 0 {
		return DefaultTick
	}
	return q.Tick
}

func asError(refused *RefusedError) error {
	if refused == nil {
		return nil
	}
	return refused
}

func refusal(cause Cause, wait time.Duration) *RefusedError {
	return &RefusedError{Cause: cause, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// cost returns the cost that is charged for r.
func cost(r Request) float64 { return max(r.Cost, minCost) }

func orDefault(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

// weight returns the weight of r's workspace within the class.
func weight(r Request) float64 {
	steps := min(max(r.Priority, -maxPriority), maxPriority)
	return float64(max(r.Share, 1)) * math.Exp2(float64(steps))
}
