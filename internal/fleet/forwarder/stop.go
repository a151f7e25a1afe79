package forwarder

import (
	"net/http"
	"time"
)

// Stop is how far the stop of a host has come.
type Stop struct {
	// Left is how long the host still serves; below 0 once that time has passed.
	Left time.Duration
	// Closed is set once clients can't connect any more. What they send from then on comes on
	// connections from before.
	Closed bool
}

// retryAfterStopping is sent to clients of a host that is about to stop; another host serves their
// retry.
const retryAfterStopping = 50 * time.Millisecond

// admitDuringStop refuses a request that the host would have to cut off as it stops, and reports
// whether it is admitted. expected is how long the request is expected to take.
func (f *Forwarder) admitDuringStop(now time.Time, x *exchange, expected time.Duration) bool {
	stop := f.Stopping()
	if stop == nil || stop.admits(expected, x.deadline.Sub(now)) {
		return true
	}
	f.refuse(x, http.StatusServiceUnavailable, "host is about to stop", retryAfterStopping)
	return false
}

// admits reports whether a request is served that is expected to take some time, and at most latest.
// Clients that still connect can't know that the host stops. Once they can't, they are sent elsewhere
// unless their request surely ends in time.
func (s *Stop) admits(expected, latest time.Duration) bool {
	if s.Closed {
		return latest <= s.Left
	}
	return expected <= s.Left
}
