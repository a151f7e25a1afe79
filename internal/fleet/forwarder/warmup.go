package forwarder

import (
	"context"
	"time"

	"verbenareach/internal/wire/messenger"
)

// maxColdWait bounds the wait of a run that resumes for a cold engine.
const maxColdWait = time.Second

// permittedCold reports whether a run may go on at an engine where the decider has not ordered it to, and
// waits until then: while the engine is cold, that counts against its bound like a new request.
func (f *Forwarder) permittedCold(ctx context.Context, b *messenger.Backend) bool {
	if _, cold := f.Throttler.IsCold(time.Now(), b); !cold {
		return true
	}
	return f.permitted(ctx, b, maxColdWait)
}
