package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

// course is one generation on its way to its client. Its goroutine alone uses it, but
// for the orders channel.
type course struct {
	f *Forwarder
	x *exchange
	// place finds where it runs; leave is called once it runs there no more.
	place  func(ctx context.Context, req *messenger.PlaceRequest) (*messenger.Placement, error)
	leave  func()
	req    *messenger.PlaceRequest
	answer *sender.Answer
	events <-chan batch
	stop   func()
	// backend runs the generation, backup holds a copy of its memory.
	backend *messenger.Backend
	backup  *messenger.Backend
	// last is the id of the newest event that the client has, made the events passed on;
	// any goroutine may read progress, which is the same.
	last     string
	made     int
	progress atomic.Int32
	// begun and delivered are when the client got its first and its newest events, longest
	// is the longest pause between them.
	begun, delivered time.Time
	longest          time.Duration
	// orders holds moves that the scheduler wants, copied the outcome of one under way.
	orders chan *messenger.MoveOrder
	copied chan copyOutcome
	// moving is the order under way; nil for none.
	moving *messenger.MoveOrder
	// ended is how the stream of the backend server ended; nil while it goes on.
	ended error
	// snapshot is how the generation stood last; any goroutine may read it.
	snapshot atomic.Pointer[messenger.RunState]
}

// attach makes an answer the one that is passed on.
func (c *course) attach(a *sender.Answer) {
	c.answer = a
	c.ended = nil
	c.events, c.stop = readEvents(a)
}

// detach ends the answer that is passed on.
func (c *course) detach() {
	if c.answer != nil {
		c.stop()
		c.answer.Break()
		c.answer, c.events = nil, nil
	}
}

// run passes events on until the stream ends.
func (c *course) run(ctx context.Context) {
	if c.answer.Status != http.StatusOK {
		c.passWhole(ctx)
		return
	}
	c.attach(c.answer)
	for {
		select {
		case <-ctx.Done():
			c.detach()
			c.finish(ctx, ctx.Err())
			return
		case b, open := <-c.events:
			if !open {
				c.events = nil
				continue
			}
			if c.pass(b) {
				continue
			}
			if errors.Is(c.ended, io.EOF) {
				c.complete()
				return
			}
			if c.ended == nil {
				c.detach()
				c.finish(ctx, context.Canceled)
				return
			}
			if c.moving == nil && !c.recover(ctx) {
				c.finish(ctx, c.ended)
				return
			}
		case m := <-c.orders:
			c.obey(ctx, m)
		case o := <-c.copied:
			if !c.settle(ctx, o) {
				c.finish(ctx, c.ended)
				return
			}
		}
	}
}

// pass passes a batch on; it tells whether the stream goes on.
func (c *course) pass(b batch) bool {
	if b.err != nil {
		c.ended = b.err
		return false
	}
	first := c.made == 0
	if first {
		c.x.w.Begin(c.answer.Status, incoming(c.answer.Header))
	}
	if !c.x.w.Write(b.bytes) {
		return false
	}
	now := time.Now()
	if first {
		c.begun = now
		c.f.FirstToken(now.Sub(c.x.r.Arrived))
	} else {
		gap := now.Sub(c.delivered)
		c.longest = max(c.longest, gap)
		c.f.Gap(gap)
	}
	c.delivered = now
	c.made += b.count
	c.progress.Store(int32(c.made)) //nolint:gosec // A client's bound is far below.
	if b.last != "" {
		c.last = b.last
	}
	if first {
		c.tell(messenger.RunState_PHASE_STREAMING)
	}
	return true
}

// complete ends a stream that is whole.
func (c *course) complete() {
	if c.made == 0 {
		c.x.w.Begin(c.answer.Status, incoming(c.answer.Header))
	}
	c.x.w.Finish()
	c.stop()
	c.answer.Done()
	c.x.outcome = "served"
	c.f.Log.Emit(time.Now(), logger.ForwardServed, c.x.id, logger.F("backend", c.backend.Id),
		logger.F("events", c.made), logger.F("firstToken", c.firstToken()), logger.F("longestGap", c.longest.Round(time.Millisecond)),
		logger.F("after", time.Since(c.x.r.Arrived).Round(time.Millisecond)))
}

// finish ends a stream that is not whole. The client sees that it is not.
func (c *course) finish(ctx context.Context, cause error) {
	if !c.x.w.Started() {
		c.f.giveUp(ctx, c.x, "engine broke off", cause)
		return
	}
	c.x.outcome = "broken"
	if errors.Is(ctx.Err(), context.Canceled) || errors.Is(cause, context.Canceled) {
		c.x.outcome = "left"
	}
	c.f.Log.Emit(time.Now(), logger.RunBrokenOff, c.x.id, logger.F("backend", c.backend.Id), logger.F("events", c.made),
		logger.F("outcome", c.x.outcome), logger.F("cause", cause), logger.F("firstToken", c.firstToken()),
		logger.F("longestGap", c.longest.Round(time.Millisecond)), logger.F("copy", c.backup.GetId()),
		logger.F("after", time.Since(c.x.r.Arrived).Round(time.Millisecond)))
	c.x.w.Abort()
}

// passWhole passes on an answer that is no stream.
func (c *course) passWhole(ctx context.Context) {
	answer, err := c.f.readWhole(c.answer)
	if err != nil {
		c.answer.Break()
		c.f.giveUp(ctx, c.x, "engine gave no whole answer", err)
		return
	}
	c.answer.Done()
	c.f.deliver(c.x, c.backend, answer)
}

// firstToken returns how long the client waited for its first event; 0 if there is none.
func (c *course) firstToken() time.Duration {
	if c.begun.IsZero() {
		return 0
	}
	return c.begun.Sub(c.x.r.Arrived).Round(time.Millisecond)
}

// tell passes on how the generation stands.
func (c *course) tell(phase messenger.RunState_Phase) {
	c.f.Tell(c.note(phase))
}

// note keeps how the generation stands for whoever asks for all of them.
func (c *course) note(phase messenger.RunState_Phase) *messenger.RunState {
	s := &messenger.RunState{
		Run: c.x.id, Backend: c.backend.GetId(), Backup: c.backup.GetId(), Phase: phase,
		MadeTokens: int32(c.made * c.x.stride()), Request: c.req, Whole: c.x.outcome == "served",
	}
	c.snapshot.Store(s)
	return s
}

// stride returns how many tokens one event of the request's service holds.
func (x *exchange) stride() int {
	if x.service.Engine == nil {
		return 1
	}
	return max(x.service.Engine.Stride, 1)
}

// backupField returns the field that has the memory copied; none without a backup.
func (c *course) backupField() []sender.Field {
	if c.backup == nil {
		return nil
	}
	return []sender.Field{{Name: c.f.Dialect.Backup, Value: c.backup.Address}}
}
