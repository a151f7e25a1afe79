package pauser

import (
	"testing"
	"time"
)

func TestElapsedCountsTheLongerClock(t *testing.T) {
	at := time.Now()
	if got := Elapsed(at, at.Add(time.Second)); got != time.Second {
		t.Errorf("got %s, want 1s", got)
	}
	// Without a reading of the steady clock only the wall clock counts.
	if got := Elapsed(at, at.Add(time.Hour).Round(0)); got != time.Hour {
		t.Errorf("got %s, want 1h", got)
	}
}

func TestClocksSeparatesMonotonicAndWallClock(t *testing.T) {
	last := time.Now()
	if steady, wall := Clocks(last, last.Add(time.Second)); steady != time.Second || wall != time.Second {
		t.Errorf("%v and %v elapsed, want a second", steady, wall)
	}
	// Without a monotonic reading both values come from the wall clock.
	jumped := last.Round(0).Add(5 * time.Second)
	if _, wall := Clocks(last, jumped); wall != 5*time.Second {
		t.Errorf("the wall clock advanced by %v, want 5 s", wall)
	}
}
