package scheduler

import (
	"cmp"
	"time"

	"verbenareach/internal/length/estimator"
	"verbenareach/internal/wire/messenger"
)

// queuedRequest is a request for a placement that has no decision yet.
type queuedRequest struct {
	entry   string
	req     *messenger.PlaceRequest
	arrived time.Time
	// outputLength and need are the forecast of the request at its arrival.
	outputLength estimator.Distribution
	need         need
	// evaluated is set once all engines were evaluated for the request. After that only engines
	// that changed are.
	evaluated bool
}

// line is the part of the queue that waits for one service.
type line struct {
	// ahead is the number of requests that are kept so far.
	ahead int
	// throttle is what the limits of the service's engines allow; nil until it is needed.
	throttle *throttle
}

func (s *Scheduler) newQueuedRequest(now time.Time, entry string, req *messenger.PlaceRequest) *queuedRequest {
	w := &queuedRequest{entry: entry, req: req, arrived: now, outputLength: s.expect(req)}
	w.need = needOf(footprintOf(req, w.outputLength, int(req.MadeTokens)))
	return w
}

// Advance makes all decisions that are due, those that follow from the time alone included.
func (s *Scheduler) Advance(now time.Time) {
	s.init()
	s.expose(now)
	s.movesDue = true
	for _, b := range s.ordered {
		b.changed = true
		if b.uneven {
			// Old evidence fades.
			s.updateUneven(now, b)
		}
	}
	s.settle(now)
}

// settle makes the decisions that are due after a change. Its cost grows with the number of
// waiting requests times that of the engines that changed, not that of all engines.
func (s *Scheduler) settle(now time.Time) {
	if s.movesDue && !now.Before(s.nextPlan) {
		s.movesDue = false
		s.moveAll(now)
	}
	if len(s.queue) == 0 {
		return
	}
	changed := s.takeChanged(now)
	kept := s.queue[:0]
	lines := make(map[string]*line)
	for _, w := range s.queue {
		candidates := changed
		if !w.evaluated {
			candidates = s.ordered
		}
		l := lines[w.req.Service]
		if l == nil {
			l = &line{}
			lines[w.req.Service] = l
		}
		if !s.decide(now, w, candidates, l) {
			kept = append(kept, w)
			l.ahead++
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// takeChanged returns the engines that changed since the last call and may take a request.
func (s *Scheduler) takeChanged(now time.Time) (changed []*backend) {
	for _, b := range s.ordered {
		// Otherwise a request that has just arrived would go before those that wait for the limit.
		unthrottled := b.wasThrottled && !s.throttled(now, b)
		if !b.changed && !unthrottled {
			continue
		}
		b.changed = false
		if b.open(now) {
			changed = append(changed, b)
		}
	}
	return changed
}

// decide places or refuses a request and reports whether it did either. candidates holds the
// engines that may take it, of all services; l holds the requests for its service that are before it
// in the queue.
func (s *Scheduler) decide(now time.Time, w *queuedRequest, candidates []*backend, l *line) bool {
	first := !w.evaluated
	w.evaluated = true
	if b := s.bestBackend(now, w, candidates); b != nil {
		s.place(now, w, b)
		return true
	}
	if s.allEvacuated(w.req.Service) {
		s.refuseEvacuated(w)
		return true
	}
	prefill := time.Duration(float64(prefillTime(tokensToRead(w.req))) * s.slowdown)
	if l.throttle == nil {
		l.throttle = s.throttle(now, w.req.Service)
	}
	if first && l.throttle.warmIn > 0 {
		s.Throttler.CountPutOff()
	}
	left := w.objectiveEnd().Sub(now) - prefill - deliveryTime
	// The request waits while an engine without other prefills could still meet its objective.
	if left >= 0 && l.throttle.allows(l.ahead, left) {
		return false
	}
	if b := s.idleBackend(now, w); b != nil {
		s.place(now, w, b)
		return true
	}
	s.Send(w.entry, Decision{Placement: &messenger.Placement{
		Run: w.req.Run, RetryAfterMs: s.retryAfter(w, l.throttle.wait(l.ahead)).Milliseconds(), Reason: s.shortage(now, w).String(),
	}})
	return true
}

// retryAfter returns the retry delay of a refused request: its objective or, if that is longer, the
// time for which limits would hold it up, spread so that clients that were refused together do not
// return together.
func (s *Scheduler) retryAfter(w *queuedRequest, throttled time.Duration) time.Duration {
	delay := max(minRetryAfter, time.Duration(w.req.ObjectiveMs)*time.Millisecond, throttled)
	if s.Random == nil {
		return delay
	}
	return delay + time.Duration((s.Random()-0.5)*retrySpread*float64(delay))
}

// objectiveEnd returns when the request's objective ends.
func (w *queuedRequest) objectiveEnd() time.Time {
	return w.arrived.Add(time.Duration(w.req.ObjectiveMs) * time.Millisecond)
}

// compareQueued orders requests by urgency: by priority, then by the end of the objective.
func compareQueued(a, b *queuedRequest) int {
	return cmp.Or(cmp.Compare(a.req.Priority, b.req.Priority), a.objectiveEnd().Compare(b.objectiveEnd()))
}
