package pauser

import "time"

// Clocks returns the time between two clock readings by the monotonic clock and by the wall clock.
// The monotonic clock does not count a suspension of the host, the wall clock may be set.
func Clocks(since, now time.Time) (steady, wall time.Duration) {
	return now.Sub(since), now.Round(0).Sub(since.Round(0))
}

// Elapsed returns the longer of the times that Clocks returns: that is the safe one where acting on
// a permission that has run out does harm.
func Elapsed(since, now time.Time) time.Duration {
	steady, wall := Clocks(since, now)
	return max(steady, wall)
}
