package runner

import (
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/pauser"
)

// pauseThreshold is the least delay of a tick, or jump of the wall clock against the
// monotonic clock, that is logged.
const pauseThreshold = time.Second

// logPause logs if the host was paused, or its wall clock jumped, since the last tick.
func (h *Runner) logPause(last, now time.Time) {
	steady, wall := pauser.Clocks(last, now)
	if steady < tick+pauseThreshold && (wall-steady).Abs() < pauseThreshold {
		return
	}
	h.Log.Emit(now, logger.FleetPaused, "", logger.F("steady", steady.Round(time.Millisecond)),
		logger.F("wall", wall.Round(time.Millisecond)))
}
