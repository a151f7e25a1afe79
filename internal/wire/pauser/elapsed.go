package pauser

import "time"

// Elapsed returns the time that has passed since another time, with that in which the host was
// suspended. The steady clock does not count a suspension, the wall clock may be set back: the
// longer of both is right where acting on a permission that has run out does harm.
func Elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
