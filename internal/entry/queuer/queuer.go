// Package queuer lets accepted-to-wait requests stand in line for backend
// servers: bounded, with deadlines, and with fair shares between workspaces.
package queuer

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// DefaultCapacity bounds the requests that wait at one entry.
	DefaultCapacity = 4096
	// DefaultLookahead bounds the requests that are tried in one pass.
	DefaultLookahead = 8
	// DefaultMaxOvertaken bounds how often a request that does not fit may be overtaken.
	DefaultMaxOvertaken = 64
	// DefaultTick is the time between passes while requests wait.
	DefaultTick = 20 * time.Millisecond

	// idleTick is the time between passes while nothing waits: only what is no
	// longer used is dropped then.
	idleTick = time.Second

	// maxPriority bounds how much a priority counts: each step doubles the share.
	maxPriority = 4
	// minCost keeps a request that costs nothing from being free of any share.
	minCost = 1
)

// Verdicts of a Place function.
const (
	// Placed tells that the request has its backend server.
	Placed Verdict = iota
	// NoRoom tells that backend servers are there and none has room for it.
	NoRoom
	// NoServer tells that there is no backend server for it now, whatever the room.
	NoServer
)

// Causes of a refusal.
const (
	CauseFull     Cause = "queueFull"
	CauseDeadline Cause = "deadline"
	CauseHopeless Cause = "waitTooLong"
	CauseNoServer Cause = "noBackendServer"
)

type (
	// Verdict is what became of one try to place a request.
	Verdict int

	// Cause says why a request was refused.
	Cause string

	// Request is one request that wants a backend server.
	Request struct {
		// Class is what requests compete for, such as a model.
		Class     string
		Workspace string
		// Share and Priority are the contract's.
		Share    uint32
		Priority int32
		// Cost is what the request takes of the class, such as expected tokens.
		Cost float64
		// Deadline is when waiting is over.
		Deadline time.Time
		// Place tries to choose a backend server, and takes the room there if it does. It
		// is called by one goroutine at a time and must not call the Queue.
		Place func(now time.Time) Verdict
	}

	// Queue is an entry's line of waiting requests. Its exported fields are set
	// before first use.
	Queue struct {
		// Capacity bounds the waiting requests; 0 for the default. While it is
		// full, workspaces with more than their share of it give way to the others.
		Capacity int
		// Lookahead and MaxOvertaken bound overtaking; 0 for the defaults.
		Lookahead    int
		MaxOvertaken int
		// Tick is the time between passes; 0 for the default.
		Tick time.Duration

		mu      sync.Mutex
		classes map[string]*class
		waiting int
		// wake holds one item once a request waits; nil before Run.
		wake chan struct{}
	}

	// RefusedError tells that a request got no backend server. It did not run.
	RefusedError struct {
		Cause Cause
		// RetryAfter is when there will be room, as far as can be told; at least 1 s.
		RetryAfter time.Duration
	}
)

var _ error = &RefusedError{}

// Error says why.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no backend server took the request (%s), retry after %s", e.Cause, e.RetryAfter)
}

// Kick makes a pass over a class, as there may be room now.
func (q *Queue) Kick(now time.Time, name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c := q.classes[name]; c != nil {
		q.pass(now, c)
	}
}

// Run makes passes until ctx ends, often only while requests wait: timers that
// fire for nothing were the largest part of an idle entry's processor time.
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

// Sweep ends the waits whose deadline is over and makes a pass over each class.
func (q *Queue) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, c := range q.classes {
		q.waiting -= c.expire(now)
		c.measure(now)
		q.pass(now, c)
		if c.idle(now) {
			delete(q.classes, name)
		}
	}
}

// Wait returns nil once r was placed. It fails with a RefusedError when the line
// is too long for r's deadline, or when the deadline is over, and with ctx's
// error when ctx ends first.
func (q *Queue) Wait(ctx context.Context, now time.Time, r Request) error {
	w, refused := q.join(now, r)
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

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// join places r at once, or lets it wait, or refuses it.
func (q *Queue) join(now time.Time, r Request) (*waiter, *RefusedError) {
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
	wait := c.wait(now, f, cost(r))
	if !r.Deadline.After(now) {
		return nil, refusal(CauseDeadline, wait)
	}
	if wait > r.Deadline.Sub(now) {
		return nil, refusal(CauseHopeless, wait)
	}
	if q.waiting >= q.capacity() && !q.makeRoom(now, f) {
		return nil, refusal(CauseFull, wait)
	}
	w := &waiter{Request: r, flow: f, done: make(chan *RefusedError, 1)}
	c.push(now, f, w)
	q.waiting++
	q.pass(now, c)
	if len(w.done) > 0 {
		return nil, nil
	}
	if q.waiting == 1 {
		q.signal()
	}
	return w, nil
}

// makeRoom refuses the last request of the workspace that is furthest over its
// share of the line, unless that would be the newcomer's.
func (q *Queue) makeRoom(now time.Time, newcomer *flow) bool {
	var worst *flow
	var at *class
	most := newcomer.excess(1)
	for _, c := range q.classes {
		for _, f := range c.flows {
			if f.line() == 0 || f == newcomer {
				continue
			}
			if e := f.excess(0); e > most {
				worst, at, most = f, c, e
			}
		}
	}
	if worst == nil {
		return false
	}
	last := worst.waiting[len(worst.waiting)-1]
	last.done <- refusal(CauseFull, at.wait(now, worst, 0))
	worst.remove(last)
	q.waiting--
	return true
}

// pass tries to place waiting requests, in the order of their virtual start.
func (q *Queue) pass(now time.Time, c *class) {
	for c.placeNext(now, q.lookahead(), q.maxOvertaken()) {
		q.waiting--
	}
}

func (q *Queue) capacity() int { return orDefault(q.Capacity, DefaultCapacity) }

func (q *Queue) lookahead() int { return orDefault(q.Lookahead, DefaultLookahead) }

func (q *Queue) maxOvertaken() int { return orDefault(q.MaxOvertaken, DefaultMaxOvertaken) }

// prepareWake returns the channel by which Run hears of the first that waits.
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

func cost(r Request) float64 { return max(r.Cost, minCost) }

func orDefault(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

// weight is the part of a class that a request's workspace gets beside others.
func weight(r Request) float64 {
	steps := min(max(r.Priority, -maxPriority), maxPriority)
	return float64(max(r.Share, 1)) * math.Exp2(float64(steps))
}
