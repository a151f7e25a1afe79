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
