package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

const (
	// lastEventsTimeout bounds the wait for the last events of a stopped run.
	lastEventsTimeout = 150 * time.Millisecond
	// resumeTimeout bounds the wait for the response header of an engine that resumes a run which
	// no other engine works on.
	resumeTimeout = 3 * time.Second
	// overlapTimeout is resumeTimeout for a run that its former engine still works on. Two engines
	// may do so for 400 ms; the rest is for the end of the connection to reach the new one.
	overlapTimeout = 250 * time.Millisecond
)

// startMove starts the move that m orders. With m.Copied, the run resumes from its backup at
// once; otherwise its memory is copied first, and finishMove resumes the run.
func (s *stream) startMove(ctx context.Context, m *messenger.MoveOrder) {
	to := s.f.Tracker.Find(m.To)
	if s.currentMove != nil || to == nil || m.From != s.backend.Id {
		s.reportMoveFailed(true)
		return
	}
	s.f.Log.Emit(time.Now(), logger.RunMoving, s.x.id, logger.F("from", s.backend.Id), logger.F("to", to.Id),
		logger.F("copied", m.Copied), logger.F("events", s.eventsSent))
	if m.Copied {
		orderedAt := time.Now()
		if err := s.resume(ctx, to, m.Backup, to.Address+"/"+s.x.givenID, overlapTimeout); err != nil {
			if errors.As(err, new(*sender.LostError)) {
				s.interrupted.begin(orderedAt)
			}
			s.backup = nil
			s.reportMoveFailed(false)
		}
		return
	}
	s.currentMove = m
	from, interrupted := s.backend, s.interrupted
	go func() { s.copyDone <- s.f.copyMemory(ctx, from, s.x.givenID, to, interrupted) }()
}

// finishMove ends a move once its copy has ended: a run that was stopped resumes, another one
// stays where it is, or resumes from its backup if its engine was lost. finishMove reports
// whether the stream continues; if not, streamErr is io.EOF if it is complete.
func (s *stream) finishMove(ctx context.Context, o copyResult) bool {
	m := s.currentMove
	if !o.stopped {
		return s.stay(ctx, o)
	}
	if o.err == nil {
		s.reportEvent(messenger.RunState_PHASE_COPIED, false)
	}
	if !s.forwardRemaining(ctx) {
		return false
	}
	s.currentMove = nil
	s.interrupted.answer(time.Now(), true)
	source := s.backend.Address + "/" + string(o.handle)
	// If the copy did not arrive, the run resumes on the engine that it was copied from.
	targets := []string{m.To, m.From}
	if o.err != nil {
		targets = []string{m.From}
	}
	for _, id := range targets {
		to := s.f.Tracker.Find(id)
		if to != nil && s.resume(ctx, to, m.Backup, source, resumeTimeout) == nil {
			return true
		}
	}
	s.detach()
	return s.resumeAnew(ctx, processRuns, errMoveFailed)
}

// stay ends a move of a run that its engine has not said to have stopped. It reports whether the stream
// continues, as finishMove does.
func (s *stream) stay(ctx context.Context, o copyResult) bool {
	m := s.currentMove
	s.currentMove = nil
	s.f.Log.Emit(time.Now(), logger.RunMoveFailed, s.x.id, logger.F("from", m.From), logger.F("to", m.To),
		logger.F("notStopped", o.notStopped), logger.F("cause", o.err))
	if o.answered {
		s.interrupted.answer(time.Now(), o.notStopped)
	}
	if errors.Is(s.streamErr, errInterrupted) {
		// The answer may have told what the end of the response means.
		s.streamErr = s.ending(ctx, eventBatch{err: io.EOF, arrived: time.Now()})
	}
	if errors.Is(s.streamErr, io.EOF) {
		return false
	}
	if s.streamErr != nil {
		return s.recover(ctx)
	}
	s.reportMoveFailed(o.released)
	return true
}

// reportMoveFailed reports that a move failed; released means that its destination holds
// no copy.
func (s *stream) reportMoveFailed(released bool) {
	s.reportEvent(messenger.RunState_PHASE_MOVE_FAILED, released)
}

// reportEvent reports something that happened to the run and that changes neither its engine nor that
// it streams, so it isn't recorded as its state: another scheduler that asks must learn that.
func (s *stream) reportEvent(phase messenger.RunState_Phase, released bool) {
	state := proto.CloneOf(s.recordState(messenger.RunState_PHASE_STREAMING))
	state.Phase, state.Released = phase, released
	s.f.ReportState(state)
}

// forwardRemaining forwards the last events of a stopped run, for lastEventsTimeout at most. It
// returns false if the client has left or the request's deadline has passed.
func (s *stream) forwardRemaining(ctx context.Context) bool {
	timer := time.NewTimer(lastEventsTimeout)
	defer timer.Stop()
	for s.streamErr == nil && s.events != nil {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case b, open := <-s.events:
			if !open {
				return true
			}
			if !s.forward(ctx, b) && s.streamErr == nil {
				return false
			}
		}
	}
	return true
}

// recover records that a run's engine was lost and resumes it from the backup of its memory, or else
// anew. It reports whether the stream continues. The engine may have broken off just its answer, so the
// connection is closed first: the engine stops work on the run.
func (s *stream) recover(ctx context.Context) bool {
	s.detach()
	recorded := s.recordLoss(ctx, s.streamErr)
	// A backup is made from the first event of the engine on.
	hasBackup := !s.reading.Load() && s.backup != nil && s.backup.Id != s.backend.Id
	if !hasBackup && !s.resumable() {
		return false
	}
	process := processUnknown
	if !hasBackup || !s.healthRecorded {
		// The run itself may have ended its engine.
		process = awaitProcess(ctx, recorded)
	}
	settled := s.healthRecorded
	if hasBackup && s.resumeFromBackup(ctx) {
		if settled {
			s.repeats.pending = append(s.repeats.pending, recorded)
		} else {
			s.repeats.count(process)
		}
		return true
	}
	if hasBackup && settled && s.resumable() {
		process = awaitProcess(ctx, recorded)
	}
	return s.resumeAnew(ctx, process, s.streamErr)
}

// resumeFromBackup resumes the run from its backup, which is used once, and reports whether it did.
func (s *stream) resumeFromBackup(ctx context.Context) bool {
	b := s.backup
	s.backup = nil
	return s.f.permittedCold(ctx, b) && s.resume(ctx, b, "", b.Address+"/"+s.x.givenID, resumeTimeout) == nil
}

// resume continues the run on an engine with the memory that source names, as in the Continue
// field, after the last event that the client has. backup is the id of the engine that gets the
// next backup; empty for none. The former engine's stream is closed once the new one has answered,
// which it must do within the given time.
func (s *stream) resume(ctx context.Context, to *messenger.Backend, backup, source string, within time.Duration) error {
	fields := []sender.Field{{Name: s.f.Dialect.Continue, Value: source}}
	if s.lastEventID != "" {
		fields = append(fields, sender.Field{Name: s.f.Dialect.LastEvent, Value: s.lastEventID})
	}
	next := s.f.Tracker.Find(backup)
	if next != nil {
		fields = append(fields, sender.Field{Name: s.f.Dialect.Backup, Value: next.Address})
	}
	startedAt := time.Now()
	from := s.backend.Id
	resp, err := s.openStream(ctx, startedAt, to, within, fields)
	if err != nil {
		s.f.Log.Emit(time.Now(), logger.RunMoveFailed, s.x.id, logger.F("from", from), logger.F("to", to.Id),
			logger.F("events", s.eventsSent), logger.F("took", time.Since(startedAt).Round(time.Millisecond)), logger.F("cause", err))
		return err
	}
	s.detach()
	s.backend, s.backup = to, next
	s.attach(resp)
	s.f.Log.Emit(time.Now(), logger.RunMoved, s.x.id, logger.F("from", from), logger.F("to", to.Id),
		logger.F("events", s.eventsSent), logger.F("last", s.lastEventID), logger.F("longestGap", s.longestGap.Round(time.Millisecond)),
		logger.F("took", time.Since(startedAt).Round(time.Millisecond)))
	s.reportState(messenger.RunState_PHASE_STREAMING)
	return nil
}

// openStream requests that an engine resume the run, as open does. A status after which the engine may
// have run it is returned as a sender.LostError, any other but 200 as errDeclined, a quarantined part of the
// prompt as a quarantinedError. It is errTakesNone if the engine is not asked.
func (s *stream) openStream(
	ctx context.Context, now time.Time, to *messenger.Backend, within time.Duration, fields []sender.Field,
) (*sender.Response, error) {
	if d := s.f.Quarantine.Check(now, s.x.id, s.parts); !d.Admitted() {
		return nil, &quarantinedError{decision: d}
	}
	if s.f.unresumable(now, to) {
		return nil, errTakesNone
	}
	resp, err := s.open(ctx, to, within, fields...)
	if err != nil {
		return nil, err
	}
	if resp.Status == http.StatusOK {
		return resp, nil
	}
	resp.Abort()
	if resp.Status >= http.StatusInternalServerError && !impliesNotRun(resp.Status) {
		return nil, &sender.LostError{Cause: fmt.Errorf("engine answered with status %d", resp.Status)}
	}
	return nil, errDeclined
}
