package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/escaper"
	"verbenareach/internal/wire/messenger"
)

// stream is one generation being forwarded to its client. Only its own goroutine uses it,
// except for its channels and the fields that say otherwise.
type stream struct {
	f *Forwarder
	x *exchange
	// place chooses the backend server, releaseBackend is called once the generation no longer
	// runs there.
	place          func(ctx context.Context, req *messenger.PlaceRequest) (*messenger.Placement, error)
	releaseBackend func()
	req            *messenger.PlaceRequest
	// parts holds the ids of the request's parts that other requests may share.
	parts []string
	// response is the response whose events are forwarded; events receives them and is nil once
	// they have ended. stopReading stops sending them.
	response    *sender.Response
	events      <-chan eventBatch
	stopReading func()
	// interrupted tells whether something may have made backend end response early, interruptions holds
	// the newest one of each engine that had the run, by its id.
	interrupted   *interruption
	interruptions map[string]*interruption
	// backend runs the generation, backup holds a copy of its memory.
	backend *messenger.Backend
	backup  *messenger.Backend
	// begunAt is when the header of response arrived; zero before. eventsHere is the number of
	// its events that were sent to the client.
	begunAt    time.Time
	eventsHere int
	// healthRecorded is set once it was recorded that the generation is beyond its beginning on its present engine.
	healthRecorded bool
	// end ends the generation for a cause.
	end context.CancelCauseFunc
	// lastEventID is the id of the newest event that the client has, eventsSent the number of
	// events sent to it. Any goroutine may read eventsSentShared, which holds the same number.
	lastEventID      string
	eventsSent       int
	eventsSentShared atomic.Int32
	// firstEventAt and lastEventAt are when the first and the newest events were sent to the
	// client, longestGap is the longest time between two successive sends.
	firstEventAt, lastEventAt time.Time
	longestGap                time.Duration
	// arrivedLast is when the newest event of response arrived; zero before the first one.
	arrivedLast time.Time
	// expectedGap is the longest pause that was forecast for the generation; 0 for none.
	expectedGap time.Duration
	// orders holds move orders of the scheduler, copyDone the result of the copy for the
	// current one.
	orders   chan *messenger.MoveOrder
	copyDone chan copyResult
	// currentMove is the move order whose copy is in progress, or nil.
	currentMove *messenger.MoveOrder
	// streamErr is how the backend server's stream ended, io.EOF if it is complete; nil while
	// it is open.
	streamErr error
	// ended is closed once the generation has ended.
	ended chan struct{}
	// tokensBefore is the number of tokens that the client got from an earlier response; it is set
	// before first use.
	tokensBefore int32
	// order checks the order of the events.
	order eventOrder
	// reading is set from the search for an engine that reads the prompt until its first event. Any
	// goroutine may read it.
	reading atomic.Bool
	// lostHere is set if the present backend server has lost the generation.
	lostHere bool
	repeats  repeats
	// lastState is the state that was recorded last; any goroutine may read it.
	lastState atomic.Pointer[messenger.RunState]
}

// attach makes resp the response whose events are forwarded.
func (s *stream) attach(resp *sender.Response) {
	s.response, s.interrupted = resp, s.interruptionAt(s.backend.Id)
	s.begunAt, s.eventsHere, s.healthRecorded = time.Now(), 0, false
	s.streamErr, s.lostHere = nil, false
	s.arrivedLast = time.Time{}
	s.events, s.stopReading = readEvents(resp)
}

// detach aborts the response whose events are forwarded.
func (s *stream) detach() {
	if s.response != nil {
		s.stopReading()
		s.response.Abort()
		s.response, s.events = nil, nil
	}
}

// run forwards the response until it ends or the client leaves. It carries out move orders, and
// resumes the run if its engine is lost.
func (s *stream) run(ctx context.Context) {
	if s.response.Status == http.StatusOK {
		s.attach(s.response)
	}
	for {
		if s.response != nil && s.response.Status != http.StatusOK {
			s.forwardWhole(ctx)
			return
		}
		select {
		case <-ctx.Done():
			s.detach()
			s.abort(ctx, context.Cause(ctx))
			return
		case b, open := <-s.events:
			if !open {
				s.events = nil
				continue
			}
			if s.forward(ctx, b) {
				continue
			}
			if s.streamErr == nil {
				s.detach()
				s.abort(ctx, context.Canceled)
				return
			}
			// During a move, finishMove decides how to continue.
			if errors.Is(s.streamErr, io.EOF) || s.currentMove == nil && !s.recover(ctx) {
				s.conclude(ctx)
				return
			}
		case m := <-s.orders:
			s.startMove(ctx, m)
		case o := <-s.copyDone:
			if !s.finishMove(ctx, o) {
				s.conclude(ctx)
				return
			}
		}
	}
}

// forward sends a batch to the client. It reports whether the stream is still open on both
// sides. If not, streamErr is set if the backend server's side has ended, nil if the client left.
func (s *stream) forward(ctx context.Context, b eventBatch) bool {
	defer b.written()
	if b.err != nil {
		s.logInterrupted(b)
		s.streamErr = s.ending(ctx, b)
		return false
	}
	if s.x.route.Resumable && !s.order.accept(b.bytes) {
		s.detach()
		s.streamErr = errOrder
		return false
	}
	first := s.eventsSent == 0
	if first {
		s.x.w.Begin(s.response.Status, clientFields(s.response.Header))
	}
	if !s.x.w.Write(b.bytes) {
		return false
	}
	now := time.Now()
	if first {
		s.firstEventAt = now
		s.f.ObserveFirstEvent(now.Sub(s.x.r.Arrived))
	} else {
		gap := now.Sub(s.lastEventAt)
		s.longestGap = max(s.longestGap, gap)
		s.f.ObserveGap(gap)
	}
	s.interrupted.continued(b.arrived)
	s.observePace(b)
	s.lastEventAt = now
	s.eventsSent += b.count
	s.eventsHere += b.count
	s.eventsSentShared.Store(int32(s.eventsSent)) //nolint:gosec // A client's token limit is far below.
	if b.lastID != "" {
		s.lastEventID = b.lastID
	}
	if s.reading.CompareAndSwap(true, false) {
		s.reportState(messenger.RunState_PHASE_STREAMING)
	}
	if s.settled(now) {
		s.recordSettled(now)
	}
	return true
}

// reportState reports the state of the generation to the scheduler.
func (s *stream) reportState(phase messenger.RunState_Phase) {
	s.f.ReportState(s.recordState(phase))
}

// recordState stores the state of the generation for Runs and returns it; it must not be changed.
func (s *stream) recordState(phase messenger.RunState_Phase) *messenger.RunState {
	state := &messenger.RunState{
		Run: s.x.id, Backend: s.backend.GetId(), Backup: s.backup.GetId(), Phase: phase,
		MadeTokens: s.madeTokens(), Request: s.req, Whole: s.x.outcome == "served",
	}
	ownEnd := !errors.Is(s.streamErr, errInterrupted) && s.interrupted.age(time.Now()) == 0
	if s.x.outcome == "broken" && s.streamErr != nil && ownEnd {
		state.Cause = escaper.Text(s.streamErr.Error())
	}
	s.lastState.Store(state)
	return state
}

// madeTokens returns the number of output tokens that the client has.
func (s *stream) madeTokens() int32 {
	return s.tokensBefore + int32(s.eventsSent*s.x.tokensPerEvent()) //nolint:gosec // A client's token limit is far below.
}

// tokensPerEvent returns how many tokens one event of the request's service holds.
func (x *exchange) tokensPerEvent() int {
	if x.service.Engine == nil {
		return 1
	}
	return max(x.service.Engine.TokensPerEvent, 1)
}

// backupField returns the header field that has the engine copy the generation's memory to
// the backup; none without a backup.
func (s *stream) backupField() []sender.Field {
	if s.backup == nil {
		return nil
	}
	return []sender.Field{{Name: s.f.Dialect.Backup, Value: s.backup.Address}}
}
