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
	// targets are those of the newest request.
	targets registrar.Targets
	// used is when the series was last opened or counted in.
	used time.Time
	// minute is the running minute, counted from 1970.
	minute int64
	// open counts the running minute; nil while nothing has happened in it.
	open *slot
	// rings hold the ended minutes, by window.
	rings [len(windows)]ring
}

// count calls f with the slot of the running minute. The caller must not hold mu.
func (s *series) count(now time.Time, f func(*slot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.slotAt(now))
}

// idle closes a minute that has ended, which frees its slot, and tells whether
// the series has not been used for as long as any window holds.
func (s *series) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roll(now)
	longest := windows[len(windows)-1]
	return now.Sub(s.used) > longest.length()+longest.slot
}

// roll closes the open slot if its minute has ended at now.
func (s *series) roll(now time.Time) {
	minute := now.Unix() / int64(time.Minute/time.Second)
	if minute <= s.minute {
		return
	}
	if s.open != nil {
		ended := &messenger.BurnSlot{}
		s.open.addTo(ended)
		for i, w := range windows {
			s.rings[i].add(w, w.number(s.minute), ended)
		}
		s.open = nil
	}
	s.minute = minute
}

// slotAt returns the slot for what happens at now. The caller holds mu.
func (s *series) slotAt(now time.Time) *slot {
	s.roll(now)
	s.used = now
	if s.open == nil {
		s.open = newSlot()
	}
	return s.open
}

// snapshot returns the series's sums over all windows.
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
		s.rings[i].sum(w, w.number(s.minute), sum)
		if s.open != nil {
			s.open.addTo(sum)
		}
		out.Windows = append(out.Windows, &messenger.BurnWindow{LengthNanos: int64(w.length()), Sum: sum})
	}
	return out
}
