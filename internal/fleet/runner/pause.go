package runner

import (
	"time"

	"verbenareach/internal/event/logger"
)

// stillAfter is the time beyond a tick from which on a host counts as having stood still.
const stillAfter = time.Second

// passed returns how much time has passed between two readings of the clocks, by the
// steady clock and by the time of day.
func passed(last, now time.Time) (steady, wall time.Duration) {
	return now.Sub(last), now.Round(0).Sub(last.Round(0))
}

// notePause tells if the host stood still, or its time of day jumped, since the last tick.
func (h *Runner) notePause(last, now time.Time) {
	steady, wall := passed(last, now)
	if steady < tick+stillAfter && (wall-steady).Abs() < stillAfter {
		return
	}
	h.Log.Emit(now, logger.FleetStoodStill, "", logger.F("steady", steady.Round(time.Millisecond)),
		logger.F("wall", wall.Round(time.Millisecond)))
}
