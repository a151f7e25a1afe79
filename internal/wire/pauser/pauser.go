// Package pauser waits between attempts to reach other processes, and measures time across pauses of
// the host.
package pauser

import (
	"context"
	"time"
)

// Pause waits for d or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
