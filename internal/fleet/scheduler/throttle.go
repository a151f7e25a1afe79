package scheduler

import (
	"slices"
	"time"
)

// throttled reports whether an engine's limit on its requests allows none now.
func (s *Scheduler) throttled(now time.Time, b *backend) bool {
	b.wasThrottled = s.Throttler.Wait(now, b.report) > 0
	return b.wasThrottled
}

// barred reports whether an engine is cold and takes no further request now: nothing is moved or copied
// there, as a run that continues there is one. A limit that an engine names does not bar it: a run that
// is not moved in time is lost. A run that was transferred there and has not resumed is a request to come.
func (s *Scheduler) barred(now time.Time, b *backend) bool {
	_, cold := s.Throttler.IsCold(now, b.report)
	return cold && (b.awaitsRun() || s.Throttler.Wait(now, b.report) > 0)
}

// awaitsRun reports whether a run is being moved to the engine.
func (b *backend) awaitsRun() bool {
	for _, r := range b.backups {
		if r.destination == b {
			return true
		}
	}
	return false
}

// throttle is what the limits of a service's engines, and the bounds of cold ones, allow. It limits nothing
// if an engine of the service has neither, or if none is ready.
type throttle struct {
	limited bool
	// rates holds the limits of the engines in requests a second, waits the times until each takes
	// its next request.
	rates []float64
	waits []time.Duration
	// warmIn is the time until the first engine without a limit of its own is warm; 0 if there is none.
	warmIn time.Duration
}

// throttle returns what the limits of a service's engines allow.
func (s *Scheduler) throttle(now time.Time, service string) *throttle {
	t := &throttle{}
	for _, b := range s.ordered {
		if b.report.Service != service || !b.ready() {
			continue
		}
		rate, limited := s.Throttler.Rate(now, b.report)
		if !limited {
			return &throttle{}
		}
		t.limited = true
		if left, ends := s.Throttler.BoundEnds(now, b.report); ends && (t.warmIn == 0 || left < t.warmIn) {
			t.warmIn = left
		}
		t.rates = append(t.rates, rate)
		t.waits = append(t.waits, s.Throttler.Wait(now, b.report))
	}
	return t
}

// allows reports whether one more request than there are ahead is taken within a time.
func (t *throttle) allows(ahead int, within time.Duration) bool {
	if !t.limited || t.warmIn > 0 && t.warmIn <= within {
		return true
	}
	taken := 0
	for i, wait := range t.waits {
		if wait <= within {
			taken += 1 + int((within-wait).Seconds()*t.rates[i])
		}
	}
	return taken > ahead
}

// wait returns the expected time until a request is taken that has some ahead of it.
func (t *throttle) wait(ahead int) time.Duration {
	if !t.limited {
		return 0
	}
	total := 0.0
	for _, rate := range t.rates {
		total += rate
	}
	expected := slices.Min(t.waits)
	if total > 0 {
		expected += time.Duration(float64(ahead) / total * float64(time.Second))
	}
	if t.warmIn > 0 {
		expected = min(expected, t.warmIn)
	}
	return expected
}
