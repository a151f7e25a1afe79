package allocator

import (
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/scheduler"
	"verbenareach/internal/wire/messenger"
)

// UnevenEngines returns the number of engines that this host, if it decides, knows to be slow or unsteady.
func (a *Allocator) UnevenEngines() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	return a.sched.UnevenEngines()
}

// sendPaces passes measurements of engines to the decider, with the next message to it. The lock is held.
func (a *Allocator) sendPaces(now time.Time, paces []*messenger.EnginePace) {
	if len(paces) == 0 {
		return
	}
	if !a.sendToDecider(func(m *messenger.LinkMessage) { m.Paces = append(m.Paces, paces...) }) {
		a.sched.LearnPaces(now, paces)
	}
}

// logPace logs that an engine was found slow or unsteady, or no longer so.
func (a *Allocator) logPace(now time.Time, c scheduler.PaceChange) {
	event := logger.EngineEven
	if c.Uneven {
		event = logger.EngineUneven
	}
	a.Log.Emit(now, event, "", logger.F("backend", c.Backend), logger.F("tokenTime", c.TokenTime.Round(time.Microsecond)),
		logger.F("expectedGap", c.Gap.Round(time.Millisecond)))
}
