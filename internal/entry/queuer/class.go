package queuer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rateWindow is the time over which the rate of placing is measured.
	rateWindow = time.Second
	// minPlaced is how many requests a window must have seen placed: long
	// generations end seldom, and a window without an end tells nothing.
	minPlaced = 4
	// rateSmoothing weighs the newest window against those before.
	rateSmoothing = 0.3
	// minRetryAfter and maxRetryAfter bound what a refused request is told to wait.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// rateExpiry is how long a measured rate stands for.
	rateExpiry = 10 * time.Second
	// scanFactor bounds the requests looked at in one pass, as a multiple of those tried.
	scanFactor = 4
	// idleExpiry is how long a class without waiting requests is remembered.
	idleExpiry = 30 * time.Second
)

type (
	// class holds the requests that compete for the same backend servers, in one flow
	// for each workspace. Placing follows start-time fair queueing: while two
	// workspaces wait, what they get by weight differs by at most one request of each.
	class struct {
		flows map[string]*flow
		// virtual is the start tag of the request that was placed last.
		virtual float64
		// waiting counts the requests of all flows.
		waiting int
		// served and placed count cost and requests placed since a time from which
		// on requests waited.
		served float64
		placed int
		since  time.Time
		// rate is cost a second while requests wait, as measured last at ratedAt.
		rate    float64
		ratedAt time.Time
	}

	// flow is one workspace's line. Its invariant: start is the start tag of the
	// first waiting request.
	flow struct {
		class     *class
		workspace string
		weight    float64
		waiting   []*waiter
		start     float64
	}

	waiter struct {
		Request
		flow *flow
		// overtaken counts requests placed before this one though they came after it in order.
		overtaken int
		// verdict is that of the last try.
		verdict Verdict
		// done has room for the one outcome; nil is for placed.
		done chan *RefusedError
	}
)

func newClass(now time.Time) *class {
	return &class{flows: make(map[string]*flow), since: now}
}

// expire refuses the requests whose deadline is over, and returns how many.
func (c *class) expire(now time.Time) int {
	n := 0
	for _, f := range c.flows {
		for _, w := range slices.Clone(f.waiting) {
			if w.Deadline.After(now) {
				continue
			}
			cause := CauseDeadline
			if w.verdict == NoServer {
				cause = CauseNoServer
			}
			w.done <- refusal(cause, c.wait(now, f, 0))
			f.remove(w)
			n++
		}
	}
	return n
}

// flow returns a workspace's flow, with the request's weight.
func (c *class) flow(r Request) *flow {
	f := c.flows[r.Workspace]
	if f == nil {
		f = &flow{class: c, workspace: r.Workspace}
		c.flows[r.Workspace] = f
	}
	f.weight = weight(r)
	return f
}

// idle forgets flows that have no claim left, and tells whether nothing remains.
func (c *class) idle(now time.Time) bool {
	for name, f := range c.flows {
		if f.line() == 0 && f.start <= c.virtual {
			delete(c.flows, name)
		}
	}
	return c.waiting == 0 && now.Sub(c.since) >= idleExpiry
}

// measure ends the window of the rate if it is over. Without a line the rate
// would be that of the demand.
func (c *class) measure(now time.Time) {
	passed := now.Sub(c.since)
	if c.waiting == 0 || passed < rateWindow {
		return
	}
	if c.placed < minPlaced && passed < rateExpiry {
		return
	}
	if c.placed == 0 {
		c.ratedAt = time.Time{}
		c.since = now
		return
	}
	rate := c.served / passed.Seconds()
	if now.Sub(c.ratedAt) >= rateExpiry {
		c.rate = rate
	}
	c.rate += rateSmoothing * (rate - c.rate)
	c.ratedAt = now
	c.served = 0
	c.placed = 0
	c.since = now
}

// placeNext places one request if it can. Only the first requests in order are
// tried, and none behind one that was overtaken too often.
func (c *class) placeNext(now time.Time, lookahead, maxOvertaken int) bool {
	var before []*waiter
	for _, w := range c.order(lookahead * scanFactor) {
		w.verdict = w.Place(now)
		switch {
		case w.verdict == Placed:
			c.place(now, w)
			for _, b := range before {
				b.overtaken++
			}
			return true
		case w.verdict == NoServer:
			continue
		case w.overtaken >= maxOvertaken:
			return false
		}
		before = append(before, w)
		if len(before) >= lookahead {
			return false
		}
	}
	return false
}

// order returns the first n waiting requests by start tag, the older ones of a
// workspace before its newer ones.
func (c *class) order(n int) []*waiter {
	type tagged struct {
		w   *waiter
		tag float64
	}
	var all []tagged
	for _, f := range c.flows {
		tag := f.start
		for i, w := range f.waiting {
			if i >= n {
				break
			}
			all = append(all, tagged{w, tag})
			tag += cost(w.Request) / f.weight
		}
	}
	slices.SortStableFunc(all, func(a, b tagged) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.w.Workspace, b.w.Workspace))
	})
	first := make([]*waiter, 0, n)
	for i := 0; i < len(all) && i < n; i++ {
		first = append(first, all[i].w)
	}
	return first
}

// place takes w out of the line and charges its workspace.
func (c *class) place(now time.Time, w *waiter) {
	f := w.flow
	c.measure(now)
	f.remove(w)
	c.virtual = max(c.virtual, f.start)
	f.start += cost(w.Request) / f.weight
	c.served += cost(w.Request)
	c.placed++
	w.done <- nil
}

// push puts w at the end of its workspace's line.
func (c *class) push(now time.Time, f *flow, w *waiter) {
	if c.waiting == 0 {
		c.served = 0
		c.placed = 0
		c.since = now
	}
	c.waiting++
	if f.line() == 0 {
		f.start = max(f.start, c.virtual)
	}
	f.waiting = append(f.waiting, w)
}

// wait estimates how long the line of f and a further cost take to be placed; 0
// if that is not known or nothing waits.
func (c *class) wait(now time.Time, f *flow, further float64) time.Duration {
	if c.waiting == 0 || now.Sub(c.ratedAt) >= rateExpiry {
		return 0
	}
	total := 0.0
	for _, other := range c.flows {
		if other.line() > 0 || other == f {
			total += other.weight
		}
	}
	line := further
	for _, w := range f.waiting {
		line += cost(w.Request)
	}
	seconds := line / (c.rate * f.weight / total)
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// excess is the line, with more requests, by weight.
func (f *flow) excess(more int) float64 {
	return float64(f.line()+more) / f.weight
}

func (f *flow) line() int { return len(f.waiting) }

func (f *flow) remove(w *waiter) {
	if i := slices.Index(f.waiting, w); i >= 0 {
		f.waiting = slices.Delete(f.waiting, i, i+1)
		f.class.waiting--
	}
}
