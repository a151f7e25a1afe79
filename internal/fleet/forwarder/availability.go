package forwarder

import (
	"time"

	"verbenareach/internal/wire/messenger"
)

// resumableTime is half of the shortest time for which backend servers that leave serve on: hosts hear of the
// departure at different times.
const resumableTime = time.Second

// unavailable reports whether a backend server gets nothing new from this host: it is shut, or has asked this
// host for a pause.
func (f *Forwarder) unavailable(now time.Time, b *messenger.Backend) bool {
	return f.isShut(now, b) || f.Tracker.PauseLeft(now, b) > 0
}

// isShut reports whether a backend server takes nothing new: it leaves, by its reports or its answers, or its
// failure domain is evacuated.
func (f *Forwarder) isShut(now time.Time, b *messenger.Backend) bool {
	_, leaves := f.Tracker.Leaving(now, b)
	return leaves || f.Tracker.IsEvacuated(b)
}

// unresumable is unavailable for a run that has begun: it may go on at a backend server for resumableTime after
// the notice that this one leaves.
func (f *Forwarder) unresumable(now time.Time, b *messenger.Backend) bool {
	since, leaves := f.Tracker.Leaving(now, b)
	return leaves && since > resumableTime || f.Tracker.IsEvacuated(b) || f.Tracker.PauseLeft(now, b) > 0
}
