package forwarder

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

// copyOutcome is how the copying of a run's memory ended.
type copyOutcome struct {
	handle Handle
	err    error
	// stopped is set when the run has stopped at its engine, released when what was
	// copied was given back.
	stopped, released bool
}

const (
	// copyTimeout bounds a copy of a run's memory.
	copyTimeout = 4 * time.Second
	// releaseTimeout bounds the call that gives a copy back.
	releaseTimeout = 150 * time.Millisecond
	// lastEventsTimeout bounds the wait for the last events of a run that was stopped.
	lastEventsTimeout = 150 * time.Millisecond
	// resumeTimeout bounds the wait for an engine that continues a run to answer.
	resumeTimeout = 3 * time.Second
)

// obey begins a move.
func (c *course) obey(ctx context.Context, m *messenger.MoveOrder) {
	to := c.f.Tracker.Find(m.To)
	if c.moving != nil || to == nil || m.From != c.backend.Id {
		c.failMove(true)
		return
	}
	c.f.Log.Emit(time.Now(), logger.RunMoving, c.x.id, logger.F("from", c.backend.Id), logger.F("to", to.Id),
		logger.F("copied", m.Copied), logger.F("events", c.made))
	if m.Copied {
		if c.resume(ctx, to, m.Backup, to.Address+"/"+c.x.id) != nil {
			c.backup = nil
			c.failMove(false)
		}
		return
	}
	c.moving = m
	from := c.backend.Address
	go func() { c.copied <- c.f.copyAway(ctx, from, c.x.id, to.Address) }()
}

// copyAway copies a run's memory while it goes on, and then stops it and copies the rest.
// It goes on when the request has ended, as only a copy that is complete can be given back.
func (f *Forwarder) copyAway(ctx context.Context, from, run, to string) copyOutcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	begun, err := f.Dialect.Copy(ctx, f.Pool, from, run, to, false)
	if err != nil {
		return copyOutcome{err: err}
	}
	handle, err := f.Dialect.Copy(ctx, f.Pool, from, run, to, true)
	o := copyOutcome{handle: handle, err: err, stopped: handle != ""}
	switch {
	case err == nil || begun == "":
	case o.stopped:
		// The run waits to be continued.
		go f.release(run, to, begun)
	default:
		o.released = f.release(run, to, begun)
	}
	return o
}

// release gives a copy back that is of no use; it tells whether that was done. The run
// may have ended meanwhile, so it has a time limit of its own.
func (f *Forwarder) release(run, address string, handle Handle) bool {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	err := f.Dialect.Release(ctx, f.Pool, address, handle)
	f.Log.Emit(time.Now(), logger.RunCopyReleased, run, logger.F("address", address), logger.F("error", err))
	return err == nil
}

// settle continues a run whose memory was copied; it tells whether the stream goes on.
func (c *course) settle(ctx context.Context, o copyOutcome) bool {
	m := c.moving
	c.moving = nil
	if !o.stopped {
		c.f.Log.Emit(time.Now(), logger.RunMoveFailed, c.x.id, logger.F("from", m.From), logger.F("to", m.To),
			logger.F("cause", o.err))
		if c.ended != nil {
			return c.recover(ctx)
		}
		c.failMove(o.released)
		return true
	}
	if o.err == nil {
		c.tell(messenger.RunState_PHASE_COPIED)
	}
	if !c.drain(ctx) {
		return false
	}
	source := c.backend.Address + "/" + string(o.handle)
	// A copy that did not arrive is taken up where it was made.
	places := []string{m.To, m.From}
	if o.err != nil {
		places = []string{m.From}
	}
	for _, id := range places {
		to := c.f.Tracker.Find(id)
		if to != nil && c.resume(ctx, to, m.Backup, source) == nil {
			return true
		}
	}
	return false
}

// failMove tells that a move failed, and whether nothing of it is left at its destination.
func (c *course) failMove(released bool) {
	s := proto.CloneOf(c.note(messenger.RunState_PHASE_MOVE_FAILED))
	s.Released = released
	c.f.Tell(s)
}

// drain passes on the last events of a run that was stopped.
func (c *course) drain(ctx context.Context) bool {
	timer := time.NewTimer(lastEventsTimeout)
	defer timer.Stop()
	for c.ended == nil && c.events != nil {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case b, open := <-c.events:
			if !open {
				return true
			}
			if !c.pass(b) && c.ended == nil {
				return false
			}
		}
	}
	return true
}

// recover continues a run whose engine was lost from the copy of its memory.
func (c *course) recover(ctx context.Context) bool {
	if c.made == 0 || c.backup == nil || c.backup.Id == c.backend.Id {
		return false
	}
	b := c.backup
	c.backup = nil
	return c.resume(ctx, b, "", b.Address+"/"+c.x.id) == nil
}

// resume continues the run on an engine with memory from source, from the event after
// the last one that the client has. The former engine is left once the new one answers.
func (c *course) resume(ctx context.Context, to *messenger.Backend, backup, source string) error {
	fields := []sender.Field{{Name: c.f.Dialect.Continue, Value: source}}
	if c.last != "" {
		fields = append(fields, sender.Field{Name: c.f.Dialect.LastEvent, Value: c.last})
	}
	next := c.f.Tracker.Find(backup)
	if next != nil {
		fields = append(fields, sender.Field{Name: c.f.Dialect.Backup, Value: next.Address})
	}
	begun := time.Now()
	from := c.backend.Id
	answer, err := c.openStream(ctx, to, fields)
	if err != nil {
		c.f.Log.Emit(time.Now(), logger.RunMoveFailed, c.x.id, logger.F("from", from), logger.F("to", to.Id),
			logger.F("events", c.made), logger.F("cause", err))
		return err
	}
	c.detach()
	c.backend, c.backup = to, next
	c.attach(answer)
	c.f.Log.Emit(time.Now(), logger.RunMoved, c.x.id, logger.F("from", from), logger.F("to", to.Id),
		logger.F("events", c.made), logger.F("last", c.last), logger.F("took", time.Since(begun).Round(time.Millisecond)))
	c.tell(messenger.RunState_PHASE_STREAMING)
	return nil
}

// openStream has an engine continue the run, within a limit.
func (c *course) openStream(ctx context.Context, to *messenger.Backend, fields []sender.Field) (*sender.Answer, error) {
	answer, err := c.open(ctx, to, resumeTimeout, fields...)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		answer.Break()
		return nil, errDeclined
	}
	return answer, nil
}
