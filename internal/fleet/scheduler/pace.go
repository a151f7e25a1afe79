package scheduler

import (
	"time"

	"verbenareach/internal/fleet/pacer"
	"verbenareach/internal/wire/messenger"
)

// PaceChange says that an engine was found slow or unsteady, or no longer so.
type PaceChange struct {
	Backend string
	Uneven  bool
	// TokenTime is the mean time for a token, Gap the longest pause that is forecast while a prompt
	// is read.
	TokenTime, Gap time.Duration
}

const (
	// readingWindow is how long after an engine has read a prompt a measurement of its pauses may
	// still tell of that.
	readingWindow = time.Second
	// latePauseCost is the cost of a stream that is sure to have a pause beyond its bound, in shares of an
	// engine's memory: above that of a prompt that is being read, below that of maxPrefills.
	latePauseCost = 1.5
	// longStreamEvents is the number of events from which on a stream is sure to meet what makes
	// pauses long. promptEvents is that of the events while one prompt is read.
	longStreamEvents = 40
	promptEvents     = 10
	// maxLateBeside is how many of the streams that a prompt makes late count.
	maxLateBeside = 2
)

// newPace returns the pace of an engine process that is new, with that of its service as the prior.
func (s *Scheduler) newPace(service string) *pacer.Engine {
	known := s.paces[service]
	if known == nil {
		known = pacer.NewService()
		s.paces[service] = known
	}
	return pacer.NewEngine(known)
}

// LearnPaces adds what an entry has measured of engines. Measurements of processes that have ended
// and absurd ones are left out.
func (s *Scheduler) LearnPaces(now time.Time, paces []*messenger.EnginePace) {
	s.init()
	for _, m := range paces {
		b := s.backends[m.Backend]
		if b == nil || b.report.Started != m.Started || !b.pace.Learn(now, m, b.readRecently(now)) {
			continue
		}
		s.updateUneven(now, b)
	}
}

// UnevenEngines returns the number of engines that are known to be slow or unsteady.
func (s *Scheduler) UnevenEngines() (n int) {
	for _, b := range s.ordered {
		if b.uneven {
			n++
		}
	}
	return n
}

// updateUneven records and reports whether an engine has become slow or unsteady, or recovered.
func (s *Scheduler) updateUneven(now time.Time, b *backend) {
	uneven := b.pace.Uneven(now) || b.uneven && !b.pace.Recovered(now)
	if uneven == b.uneven {
		return
	}
	b.uneven, b.changed = uneven, true
	if s.OnPace != nil {
		s.OnPace(now, PaceChange{
			Backend: b.report.Id, Uneven: uneven, TokenTime: b.pace.TokenTime(now), Gap: b.pace.Gap(now, true),
		})
	}
}

// readRecently reports whether the engine reads a prompt or did so within readingWindow.
func (b *backend) readRecently(now time.Time) bool {
	return len(b.prefilling()) > 0 || !b.readAt.IsZero() && now.Sub(b.readAt) < readingWindow
}

// pauseCost returns the cost of the pauses beyond their bounds that a request, of which some more tokens
// are expected, would have on an engine and that its prompt would make there.
func (s *Scheduler) pauseCost(now time.Time, b *backend, req *messenger.PlaceRequest, expected int) float64 {
	if !b.uneven {
		return 0
	}
	return ownPauseCost(now, b, req, expected) + s.besidePauseCost(now, b)
}

// ownPauseCost returns the cost of the pauses of a request itself.
func ownPauseCost(now time.Time, b *backend, req *messenger.PlaceRequest, expected int) float64 {
	return latePauseCost * b.pace.Late(now, gapBound(req)) * eventShare(b, expected, longStreamEvents)
}

// besidePauseCost returns the cost of the pauses that a prompt makes for the streams on an engine.
func (s *Scheduler) besidePauseCost(now time.Time, b *backend) float64 {
	late := 0.0
	for _, r := range b.runs {
		if r.streamingSince.IsZero() || gapBound(r.req) == 0 {
			continue
		}
		left := r.outputLength.Remaining(s.generated(now, r))
		late += b.pace.Late(now, gapBound(r.req)) * eventShare(b, left, promptEvents)
	}
	return latePauseCost * min(late, maxLateBeside)
}

// eventShare returns the events that some tokens make as a share of full, at most 1.
func eventShare(b *backend, tokens, full int) float64 {
	return min(float64(tokens)/float64(max(b.engine.TokensPerEvent, 1)*full), 1)
}

// gapBound returns the longest pause that a request's objective allows; 0 if it sets none.
func gapBound(req *messenger.PlaceRequest) time.Duration {
	return time.Duration(req.GapMs) * time.Millisecond
}

// describePace adds to a placement the pause that is forecast and the age of what is known of the engine.
func describePace(now time.Time, b *backend, p *messenger.Placement) {
	p.GapMs = b.pace.Gap(now, true).Milliseconds()
	if age, ok := b.pace.Age(now); ok {
		p.PaceAgeMs = max(age.Milliseconds(), 1)
	}
}
