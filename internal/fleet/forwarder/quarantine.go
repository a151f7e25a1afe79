package forwarder

import (
	"net/http"
	"time"

	"verbenareach/internal/fleet/quarantiner"
)

// quarantinedError is the cause for which a request ends that has a quarantined part.
type quarantinedError struct {
	decision quarantiner.Decision
}

var _ refusal = &quarantinedError{}

const (
	// settledEvents and settledAfter are the number of events and the time after the begin of a
	// response from which on a generation is beyond its beginning.
	settledEvents = 8
	settledAfter  = 500 * time.Millisecond
)

// Error returns a text with the id of the part.
func (e *quarantinedError) Error() string {
	if quarantiner.IsWholeRequest(e.decision.Part) {
		return "equal requests crash backend servers: " + e.decision.Part
	}
	return "part " + e.decision.Part + " of the prompt crashes engines"
}

func (e *quarantinedError) retryAfter() time.Duration { return e.decision.RetryAfter }

// EndQuarantined ends the generations of this host that have not begun to stream, or not again since they
// were resumed at an engine that reads the prompt, and have a quarantined part.
func (f *Forwarder) EndQuarantined(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.streams {
		if s.eventsSentShared.Load() > 0 && !s.reading.Load() {
			continue
		}
		if d := f.Quarantine.Check(now, s.x.id, s.parts); !d.Admitted() {
			s.end(&quarantinedError{decision: d})
		}
	}
}

// admitParts refuses a request if one of its parts is quarantined, and reports whether none is.
func (f *Forwarder) admitParts(now time.Time, x *exchange, parts []string) bool {
	d := f.Quarantine.Admit(now, x.id, parts)
	if d.Admitted() {
		return true
	}
	f.refuse(x, http.StatusServiceUnavailable, (&quarantinedError{decision: d}).Error(), d.RetryAfter)
	return false
}

// settled reports whether the generation is beyond its beginning on its present engine.
func (s *stream) settled(now time.Time) bool {
	return s.eventsHere >= settledEvents && now.Sub(s.begunAt) >= settledAfter
}

// recordSettled records once for each engine that the generation began there and went on.
func (s *stream) recordSettled(now time.Time) {
	if s.healthRecorded || s.eventsHere == 0 {
		return
	}
	s.healthRecorded = true
	s.f.Quarantine.RecordHealthy(now, s.begunAt, s.parts)
}
