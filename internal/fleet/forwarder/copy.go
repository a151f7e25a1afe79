package forwarder

import (
	"context"
	"errors"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// copyResult is the result of copying a run's memory.
type copyResult struct {
	// handle and err are those that Dialect.Copy returned last.
	handle CopyHandle
	err    error
	// stopped is set if the run has stopped at its engine, released if a partial copy was
	// released.
	stopped, released bool
	// answered is set if the order to stop the run was answered, or did not reach the engine, so that it
	// won't be carried out later; notStopped if the engine surely did not carry it out.
	answered, notStopped bool
}

const (
	// copyTimeout bounds both steps of copyMemory together.
	copyTimeout = 4 * time.Second
	// releaseTimeout bounds the call that releases a copy.
	releaseTimeout = 150 * time.Millisecond
)

var errNoHandle = errors.New("copy has no handle")

// copyMemory copies a run's memory while the run continues, then stops the run and copies
// the rest. The first copy continues after the request has ended, as only a completed copy can be
// released. The run isn't stopped then: another one may have its id.
func (f *Forwarder) copyMemory(
	ctx context.Context, from *messenger.Backend, run string, to *messenger.Backend, interrupted *interruption,
) copyResult {
	copying, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	partial, err := f.Dialect.Copy(copying, f.Pool, from.Address, run, to.Address, false)
	if err != nil {
		return copyResult{err: err}
	}
	if ctx.Err() != nil {
		return copyResult{err: context.Cause(ctx), released: partial != "" && f.releaseCopy(run, to.Address, partial)}
	}
	// The run is stopped from the next call until it resumes, so the connection for that is opened
	// meanwhile, unless one is idle that will still be young enough then. Without it the run opens its own.
	if !f.unresumable(time.Now(), to) {
		go func() { _ = f.Pool.Prepare(copying, time.Now(), to.Address, maxIdleUnrepeatable/2) }()
	}
	o := f.stopRun(copying, from, run, to, interrupted)
	switch {
	case o.stopped && ctx.Err() != nil:
		// No stream resumes the run.
		f.releaseCopy(run, from.Address, o.handle)
	case o.err == nil || partial == "":
	case o.stopped:
		// The run is stopped until it resumes, so the release must not delay it.
		go f.releaseCopy(run, to.Address, partial)
	default:
		o.released = f.releaseCopy(run, to.Address, partial)
	}
	return o
}

// stopRun has the engine stop a run and copy the rest of its memory.
func (f *Forwarder) stopRun(
	ctx context.Context, from *messenger.Backend, run string, to *messenger.Backend, interrupted *interruption,
) copyResult {
	orderedAt := time.Now()
	interrupted.begin(orderedAt)
	f.Log.Emit(orderedAt, logger.RunStopOrdered, run, logger.F("from", from.Id), logger.F("to", to.Id))
	handle, err := f.Dialect.Copy(ctx, f.Pool, from.Address, run, to.Address, true)
	if err == nil && handle == "" {
		err = &UnclearStopError{Cause: errNoHandle}
	}
	answeredAt := time.Now()
	f.Log.Emit(answeredAt, logger.RunStopAnswered, run, logger.F("from", from.Id), logger.F("stopped", handle != ""),
		logger.F("took", answeredAt.Sub(orderedAt).Round(time.Millisecond)), logger.F("cause", err))
	o := copyResult{handle: handle, err: err, stopped: handle != ""}
	o.notStopped = !o.stopped && errors.As(err, new(*NotStoppedError))
	o.answered = o.stopped || o.notStopped || errors.As(err, new(*UnclearStopError))
	return o
}

// releaseCopy releases a copy that is not needed and reports whether that succeeded. It
// has its own timeout, as the run may have ended already.
func (f *Forwarder) releaseCopy(run, address string, handle CopyHandle) bool {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	err := f.Dialect.Release(ctx, f.Pool, address, handle)
	f.Log.Emit(time.Now(), logger.RunCopyReleased, run, logger.F("address", address), logger.F("error", err))
	return err == nil
}
