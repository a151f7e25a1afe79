package queuer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rateWindow is the shortest time over which the placement rate is measured.
	rateWindow = time.Second
	// minPlaced is the least number of placed requests in a window: long generations
	// rarely end, so a window without an end gives no rate.
	minPlaced = 4
	// rateSmoothing is the weight of the newest window in the moving average of the rate.
	rateSmoothing = 0.3
	// minRetryAfter and maxRetryAfter bound the retry-after of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// rateExpiry is how long a measured rate is used, and the longest window without
	// minPlaced requests.
	rateExpiry = 10 * time.Second
	// scanFactor bounds the requests scanned in one pass, as a multiple of the lookahead.
	scanFactor = 4
	// idleExpiry is how long a class without waiting requests is kept.
	idleExpiry = 30 * time.Second
)

type (
	// class holds the requests that compete for the same backend servers, in one flow
	// for each workspace. It uses start-time fair queueing: while two workspaces wait,
	// their placed cost divided by weight differs by at most one request of each.
	class struct {
		flows map[string]*flow
		// virtualTime is the start tag of the request that was placed last.
		virtualTime float64
		// waiting counts the requests of all flows.
		waiting int
		// placedCost and placedCount are the cost and number of the requests placed since
		// windowStart. Some request waits during the whole window.
		placedCost  float64
		placedCount int
		windowStart time.Time
		// rate is the placed cost a second while requests wait, last measured at ratedAt.
		rate    float64
		ratedAt time.Time
	}

	// flow is the queue of one workspace. Invariant: start is the start tag of the first
	// waiting request.
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
		// overtaken counts the requests that were placed before this one though their
		// start tags are later.
		overtaken int
		// verdict is that of the last attempt to place the request.
		verdict Verdict
		// done has capacity 1 and gets the outcome: nil if the request was placed.
		done chan *RefusedError
	}
)

func newClass(now time.Time) *class {
	return &class{flows: make(map[string]*flow), windowStart: now}
}

// expire refuses the requests whose deadline has passed, and returns their number.
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
			w.done <- refusal(cause, c.estimateWait(now, f, 0))
			f.remove(w)
			n++
		}
	}
	return n
}

// flow returns the flow of r's workspace, and sets its weight to that of r.
func (c *class) flow(r Request) *flow {
	f := c.flows[r.Workspace]
	if f == nil {
		f = &flow{class: c, workspace: r.Workspace}
		c.flows[r.Workspace] = f
	}
	f.weight = weight(r)
	return f
}

// pruneIdle drops empty flows that would get the same start tag if created again. It
// reports whether the class can be dropped.
func (c *class) pruneIdle(now time.Time) bool {
	for name, f := range c.flows {
		if f.length() == 0 && f.start <= c.virtualTime {
			delete(c.flows, name)
		}
	}
	return c.waiting == 0 && now.Sub(c.windowStart) >= idleExpiry
}

// measureRate updates the rate when the window has ended; if nothing was placed in it, the
// rate is unknown from then on. It does nothing while no request waits, as the rate would be
// that of the demand.
func (c *class) measureRate(now time.Time) {
	passed := now.Sub(c.windowStart)
	if c.waiting == 0 || passed < rateWindow {
		return
	}
	if c.placedCount < minPlaced && passed < rateExpiry {
		return
	}
	if c.placedCount == 0 {
		c.ratedAt = time.Time{}
		c.windowStart = now
		return
	}
	rate := c.placedCost / passed.Seconds()
	if now.Sub(c.ratedAt) >= rateExpiry {
		c.rate = rate
	}
	c.rate += rateSmoothing * (rate - c.rate)
	c.ratedAt = now
	c.placedCost = 0
	c.placedCount = 0
	c.windowStart = now
}

// placeNext places at most one request and reports whether it did. It tries only the
// first requests in order, and none after one without room that was overtaken too often.
func (c *class) placeNext(now time.Time, lookahead, maxOvertaken int) bool {
	var skipped []*waiter
	for _, w := range c.order(lookahead * scanFactor) {
		w.verdict = w.Place(now)
		switch {
		case w.verdict == Placed:
			c.place(now, w)
			for _, b := range skipped {
				b.overtaken++
			}
			return true
		case w.verdict == NoServer:
			continue
		case w.overtaken >= maxOvertaken:
			return false
		}
		skipped = append(skipped, w)
		if len(skipped) >= lookahead {
			return false
		}
	}
	return false
}

// order returns the first n waiting requests by start tag, and those of a workspace by age.
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

// place removes w from its flow and charges its cost to the workspace.
func (c *class) place(now time.Time, w *waiter) {
	f := w.flow
	c.measureRate(now)
	f.remove(w)
	c.virtualTime = max(c.virtualTime, f.start)
	f.start += cost(w.Request) / f.weight
	c.placedCost += cost(w.Request)
	c.placedCount++
	w.done <- nil
}

// enqueue appends w to its flow.
func (c *class) enqueue(now time.Time, f *flow, w *waiter) {
	if c.waiting == 0 {
		c.placedCost = 0
		c.placedCount = 0
		c.windowStart = now
	}
	c.waiting++
	if f.length() == 0 {
		f.start = max(f.start, c.virtualTime)
	}
	f.waiting = append(f.waiting, w)
}

// estimateWait estimates the time until the requests of f and extraCost are placed, at most
// maxRetryAfter. It returns 0 if the rate is unknown or no request waits.
func (c *class) estimateWait(now time.Time, f *flow, extraCost float64) time.Duration {
	if c.waiting == 0 || now.Sub(c.ratedAt) >= rateExpiry {
		return 0
	}
	total := 0.0
	for _, other := range c.flows {
		if other.length() > 0 || other == f {
			total += other.weight
		}
	}
	queuedCost := extraCost
	for _, w := range f.waiting {
		queuedCost += cost(w.Request)
	}
	seconds := queuedCost / (c.rate * f.weight / total)
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// weightedLength returns the length of the flow plus more, divided by its weight.
func (f *flow) weightedLength(more int) float64 {
	return float64(f.length()+more) / f.weight
}

func (f *flow) length() int { return len(f.waiting) }

func (f *flow) remove(w *waiter) {
	if i := slices.Index(f.waiting, w); i >= 0 {
		f.waiting = slices.Delete(f.waiting, i, i+1)
		f.class.waiting--
	}
}
