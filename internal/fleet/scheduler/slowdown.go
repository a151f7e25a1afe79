package scheduler

import (
	"math"
	"time"

	"verbenareach/internal/wire/messenger"
)

const (
	// slowdownWeight and fleetSlowdownWeight are the weights of a new sample in the
	// exponential moving averages of the slowdown of one engine and of all engines.
	slowdownWeight      = 0.4
	fleetSlowdownWeight = 0.05
	// toleratedSlowdown is how much slower than the fleet's average an engine may be at no cost.
	toleratedSlowdown = 1.5
	// slowdownHalfLife is the time in which the excess slowdown of an engine without runs halves.
	slowdownHalfLife = 3 * time.Second
	// deliveryTime is the network time between client and host and between host and engine,
	// both ways.
	deliveryTime = 20 * time.Millisecond
)

// prefillTime returns the expected time until the engine has processed a request's prompt,
// behind the prompts that it is processing already.
func (b *backend) prefillTime(req *messenger.PlaceRequest) time.Duration {
	tokens := tokensToRead(req)
	for _, r := range b.prefilling() {
		tokens += tokensToRead(r.req)
	}
	return prefillTime(tokens)
}

// firstTokenTime returns when the first token of a request placed now is expected to reach the
// client, given the recent slowdown of the engine.
func (s *Scheduler) firstTokenTime(now time.Time, b *backend, req *messenger.PlaceRequest) time.Time {
	return now.Add(time.Duration(float64(b.prefillTime(req))*s.slowdownAt(now, b)) + deliveryTime)
}

// slowdownAt returns the ratio of actual to forecast prefill time expected on an engine: the
// fleet's average, or more where the engine was slower recently or a prefill is overdue now.
func (s *Scheduler) slowdownAt(now time.Time, b *backend) float64 {
	slowdown := s.slowdown
	if !b.measured.IsZero() && b.slowdown > slowdown {
		slowdown += (b.slowdown - slowdown) * math.Exp2(-float64(now.Sub(b.measured))/float64(slowdownHalfLife))
	}
	for _, r := range b.prefilling() {
		if forecast := r.prefillDue.Sub(r.placed); forecast > 0 {
			slowdown = max(slowdown, float64(now.Sub(r.placed))/float64(forecast))
		}
	}
	return slowdown
}

// learnSlowdown adds the prefill time of a run to the averages of its engine and the fleet.
func (s *Scheduler) learnSlowdown(now time.Time, r *run) {
	forecast := r.prefillDue.Sub(r.placed)
	if forecast <= 0 {
		return
	}
	sample := float64(now.Sub(r.placed)) / float64(forecast)
	s.slowdown += fleetSlowdownWeight * (sample - s.slowdown)
	b := r.backend
	if b.measured.IsZero() {
		b.slowdown = s.slowdown
	}
	b.slowdown += slowdownWeight * (sample - b.slowdown)
	b.measured = now
}

// slowdownCost returns the cost of an engine's slowdown: its ratio to the fleet's average, less
// toleratedSlowdown; at least 0.
func (s *Scheduler) slowdownCost(now time.Time, b *backend) float64 {
	return max(0, s.slowdownAt(now, b)/s.slowdown-toleratedSlowdown)
}
