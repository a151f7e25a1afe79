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
	if b.paced.IsZero() {
		return 0
	}
	excess := max(0, b.pace/s.pace-ordinaryPace)
	return excess * math.Exp2(-float64(now.Sub(b.paced))/float64(paceHalfLife))
}
