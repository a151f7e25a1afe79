package forwarder

import (
	"context"
	"errors"
	"io"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/sender"
)

var errProcessEnded = errors.New("process of the backend server has ended")

// ending returns how a response has ended, io.EOF if it is complete.
func (s *stream) ending(ctx context.Context, end eventBatch) error {
	if !errors.Is(end.err, io.EOF) {
		return end.err
	}
	// During a move, the answer to the order to stop tells what the end means.
	isInterrupted := s.interrupted.before(end.arrived)
	if isInterrupted && s.currentMove != nil {
		return errInterrupted
	}
	if s.response.Framed {
		return end.err
	}
	// Nothing but the end of the connection says that the stream is whole.
	if isInterrupted {
		return errInterrupted
	}
	if s.eventsHere == 0 {
		return errNoEvent
	}
	if err := checkEnd(ctx, s.response, end.arrived); err != nil {
		return err
	}
	return end.err
}

// checkEnd returns an error if the end of the connection, read at a time, doesn't prove that the backend
// server ended a response without length or chunks: its deadline had passed, or its process ended.
func checkEnd(ctx context.Context, resp *sender.Response, at time.Time) error {
	switch {
	case resp.Framed:
		return nil
	case deadlineReached(ctx, at):
		<-ctx.Done()
		return ctx.Err()
	case inspectProcess(ctx, resp.Address) == processEnded:
		return errProcessEnded
	default:
		return nil
	}
}

// deadlineReached reports whether a backend server may have stopped work on a request by now because of its
// deadline, which is that of ctx. It was told the time left in whole milliseconds.
func deadlineReached(ctx context.Context, now time.Time) bool {
	deadline, set := ctx.Deadline()
	return set && deadline.Sub(now) < time.Millisecond
}

// conclude ends a stream that does not continue, as streamErr says.
func (s *stream) conclude(ctx context.Context) {
	if errors.Is(s.streamErr, io.EOF) {
		s.complete()
		return
	}
	s.abort(ctx, s.streamErr)
}

// logInterrupted logs the end of a response that its engine may have been made to end early.
func (s *stream) logInterrupted(end eventBatch) {
	if !s.interrupted.before(end.arrived) {
		return
	}
	s.f.Log.Emit(time.Now(), logger.RunStreamEnded, s.x.id, logger.F("backend", s.backend.Id), logger.F("framed", s.response.Framed),
		logger.F("events", s.eventsHere), logger.F("last", s.lastEventID), logger.F("since", s.interrupted.age(end.arrived).Round(time.Millisecond)),
		logger.F("cause", end.err))
}

// complete ends a stream that is complete.
func (s *stream) complete() {
	if s.eventsSent == 0 {
		s.x.w.Begin(s.response.Status, clientFields(s.response.Header))
	}
	s.x.w.Finish()
	s.recordSettled(time.Now())
	s.stopReading()
	s.response.Done()
	s.x.outcome = "served"
	s.f.ObservePause(s.expectedGap, s.longestGap)
	now := time.Now()
	logged := []logger.Field{
		logger.F("backend", s.backend.Id), logger.F("events", s.eventsSent), logger.F("framed", s.response.Framed),
		logger.F("firstToken", s.firstToken()), logger.F("longestGap", s.longestGap.Round(time.Millisecond)),
		logger.F("expectedGap", s.expectedGap), logger.F("after", now.Sub(s.x.r.Arrived).Round(time.Millisecond)),
	}
	s.f.Log.Emit(now, logger.ForwardServed, s.x.id, append(logged, s.x.decisionFields(now)...)...)
}

// abort ends an incomplete stream so that the client can tell that it is incomplete. If no part
// of it was sent, the client gets an error status instead.
func (s *stream) abort(ctx context.Context, cause error) {
	if !s.x.w.Started() {
		s.answerFailure(ctx, "engine broke off", cause)
		return
	}
	s.x.outcome = "broken"
	if clientLeft(ctx) || ctx.Err() == nil && errors.Is(cause, context.Canceled) {
		s.x.outcome = "left"
	}
	now := time.Now()
	logged := []logger.Field{
		logger.F("backend", s.backend.Id), logger.F("events", s.eventsSent), logger.F("outcome", s.x.outcome), logger.F("cause", cause),
		logger.F("firstToken", s.firstToken()), logger.F("longestGap", s.longestGap.Round(time.Millisecond)),
		logger.F("copy", s.backup.GetId()), logger.F("after", now.Sub(s.x.r.Arrived).Round(time.Millisecond)),
	}
	s.f.Log.Emit(now, logger.RunAborted, s.x.id, append(logged, s.x.decisionFields(now)...)...)
	s.x.w.Abort()
}

// forwardWhole forwards a response that is not a stream because its status is not 200.
func (s *stream) forwardWhole(ctx context.Context) {
	resp, err := s.f.readWhole(ctx, s.response)
	if err != nil {
		s.response.Abort()
		s.answerFailure(ctx, "engine gave no whole answer", err)
		return
	}
	s.response.Done()
	s.f.deliver(s.x, s.backend, resp)
}

// firstToken returns the time until the first event was sent to the client, or 0 if none
// was.
func (s *stream) firstToken() time.Duration {
	if s.firstEventAt.IsZero() {
		return 0
	}
	return s.firstEventAt.Sub(s.x.r.Arrived).Round(time.Millisecond)
}
