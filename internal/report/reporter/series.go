package reporter

import (
	"sync"
	"time"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

// series counts one workspace's use of one model.
type series struct {
	key Key

	mu sync.Mutex
	// targets are those of the latest request.
	targets registrar.Targets
	// lastUsed is when a stream was last opened or an event was last counted.
	lastUsed time.Time
	// minute is the current minute, in minutes since the Unix epoch.
	minute int64
	// open counts the current minute; nil until something is counted in it.
	open *slot
	// rings hold the closed minutes of each window.
	rings [len(windows)]ring
}

// count calls f with the slot of the current minute. The caller must not hold mu.
func (s *series) count(now time.Time, f func(*slot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.slotAt(now))
}

// sweep closes the open minute if it has ended, which frees its slot, and reports
// whether the series has been unused for longer than any window covers.
func (s *series) sweep(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roll(now)
	longest := windows[len(windows)-1]
	return now.Sub(s.lastUsed) > longest.length()+longest.slotLength
}

// roll closes the open slot if its minute has ended by now. The caller must hold mu.
func (s *series) roll(now time.Time) {
	minute := now.Unix() / int64(time.Minute/time.Second)
	if minute <= s.minute {
		return
	}
	if s.open != nil {
		ended := &messenger.BurnSlot{}
		s.open.addTo(ended)
		for i, w := range windows {
			s.rings[i].add(w, w.slotNumber(s.minute), ended)
		}
		s.open = nil
	}
	s.minute = minute
}

// slotAt returns the slot of the minute of now. The caller must hold mu.
func (s *series) slotAt(now time.Time) *slot {
	s.roll(now)
	s.lastUsed = now
	if s.open == nil {
		s.open = newSlot()
	}
	return s.open
}

// snapshot returns the sums of the series over each window.
func (s *series) snapshot(now time.Time) *messenger.BurnSeries {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roll(now)
	out := &messenger.BurnSeries{
		Key:                 &messenger.BurnKey{Workspace: s.key.Workspace, Model: s.key.Model},
		FirstTokenTarget:    int64(s.targets.FirstToken),
		BetweenTokensTarget: int64(s.targets.BetweenTokens),
		Objective:           s.targets.Objective,
	}
	for i, w := range windows {
		sum := &messenger.BurnSlot{}
		s.rings[i].addTo(w, w.slotNumber(s.minute), sum)
		if s.open != nil {
			s.open.addTo(sum)
		}
		out.Windows = append(out.Windows, &messenger.BurnWindow{LengthNanos: int64(w.length()), Sum: sum})
	}
	return out
}
