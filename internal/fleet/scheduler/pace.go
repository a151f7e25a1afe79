package scheduler

import (
	"math"
	"time"

	"verbenareach/internal/wire/messenger"
)

const (
	// paceRate and fleetPaceRate are the weights of a new sample of how long a prompt took
	// against the forecast, for an engine and for all of them.
	paceRate      = 0.4
	fleetPaceRate = 0.05
	// ordinaryPace is how much slower than all engines one may be at no cost.
	ordinaryPace = 1.5
	// paceHalfLife is how long an engine that gets no runs keeps half of its slowness.
	paceHalfLife = 3 * time.Second
	// deliveryTime is what passes between client and host, host and engine, both ways.
	deliveryTime = 20 * time.Millisecond
)

// readTime returns how long the engine is expected to read a request's prompt, behind
// those that it reads already.
func (b *backend) readTime(req *messenger.PlaceRequest) time.Duration {
	tokens := int(req.PromptTokens)
	for _, r := range b.runs {
		if r.first.IsZero() {
			tokens += int(r.req.PromptTokens)
		}
	}
	return readTime(tokens)
}

// readEnd returns when an engine is expected to have read a request's prompt and its
// first token to be with the client, at the pace at which engines read of late.
func (s *Scheduler) readEnd(now time.Time, b *backend, req *messenger.PlaceRequest) time.Time {
	return now.Add(time.Duration(float64(b.readTime(req))*s.paceAt(now, b)) + deliveryTime)
}

// paceAt returns how long prompts take to read on an engine against the forecast: as long
// as on all engines, but for those that were slower themselves of late or whose prompts
// are overdue now.
func (s *Scheduler) paceAt(now time.Time, b *backend) float64 {
	pace := s.pace
	if !b.paced.IsZero() && b.pace > pace {
		pace += (b.pace - pace) * math.Exp2(-float64(now.Sub(b.paced))/float64(paceHalfLife))
	}
	for _, r := range b.runs {
		if forecast := r.read.Sub(r.placed); r.first.IsZero() && forecast > 0 {
			pace = max(pace, float64(now.Sub(r.placed))/float64(forecast))
		}
	}
	return pace
}

// learnPace takes the time that a run's prompt took to read.
func (s *Scheduler) learnPace(now time.Time, r *run) {
	forecast := r.read.Sub(r.placed)
	if forecast <= 0 {
		return
	}
	sample := float64(now.Sub(r.placed)) / float64(forecast)
	s.pace += fleetPaceRate * (sample - s.pace)
	b := r.at
	if b.paced.IsZero() {
		b.pace = s.pace
	}
	b.pace += paceRate * (sample - b.pace)
	b.paced = now
}

// slowness returns what it costs that an engine is slower than the others.
func (s *Scheduler) slowness(now time.Time, b *backend) float64 {
	return max(0, s.paceAt(now, b)/s.pace-ordinaryPace)
}
