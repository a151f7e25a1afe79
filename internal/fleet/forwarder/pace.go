package forwarder

import "time"

// slowClientTime is how long the reader of a stream may wait for the client at most if the next pause is
// to tell of the engine.
const slowClientTime = 10 * time.Millisecond

// observePace passes on how long the engine took for the events of a batch.
func (s *stream) observePace(b eventBatch) {
	if s.x.service.Engine == nil {
		return
	}
	if !s.arrivedLast.IsZero() && !b.heldUp {
		s.f.ObservePace(b.arrived, s.backend, b.arrived.Sub(s.arrivedLast), b.count*s.x.tokensPerEvent())
	}
	s.arrivedLast = b.arrived
}
