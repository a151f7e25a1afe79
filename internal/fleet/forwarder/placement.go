package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

// maxPlacements bounds the placements that are tried at a time for one generation.
const maxPlacements = 3

// start places the generation and sends it to an engine. If that fails, it answers the client and
// returns false.
func (s *stream) start(ctx context.Context) bool {
	reason, cause := s.placeAndSend(ctx, s.x.r.Arrived.Add(s.x.route.Objective))
	if cause == nil {
		return true
	}
	s.answerFailure(ctx, reason, cause)
	return false
}

// answerFailure answers a client that has got nothing yet: with the failure of an engine if one was
// kept, else as giveUp does.
func (s *stream) answerFailure(ctx context.Context, reason string, cause error) {
	if s.repeats.failure != nil && !clientLeft(ctx) {
		s.f.deliver(s.x, s.repeats.failedBackend, s.repeats.failure)
		return
	}
	s.f.giveUp(ctx, s.x, reason, cause)
}

// placeAndSend places the generation and sends it to an engine, up to maxPlacements times: if engines can't
// be reached or decline, or lose a generation that may be repeated. objectiveEnd is when its next event
// should come. placeAndSend returns why no engine takes it; cause is nil if one does.
func (s *stream) placeAndSend(ctx context.Context, objectiveEnd time.Time) (reason string, cause error) {
	reason, cause = "no engine is ready", errNoBackend
	for range maxPlacements {
		if ctx.Err() != nil {
			break
		}
		now := time.Now()
		s.prepareRequest(now, objectiveEnd)
		p, err := s.nextPlacement(ctx)
		if err != nil {
			return reason, err
		}
		if p.Backend == "" {
			return p.Reason, &unplacedError{reason: p.Reason, wait: time.Duration(p.RetryAfterMs) * time.Millisecond}
		}
		if ctx.Err() != nil {
			s.returnPlacement(p.Backend)
			break
		}
		s.adoptPlacement(now, p)
		// The decision may be older than what this host has heard since.
		if s.backend == nil || s.f.isShut(time.Now(), s.backend) {
			s.returnPlacement(p.Backend)
			continue
		}
		if left := s.f.Tracker.PauseLeft(time.Now(), s.backend); left > 0 {
			cause = &pausedError{wait: left}
			s.returnPlacement(p.Backend)
			continue
		}
		if s.repeats.sent && !s.f.Budget.AllowRetry(now, s.x.service.Name) {
			s.returnPlacement(p.Backend)
			return reason, budgetError(cause)
		}
		s.repeats.sent = true
		err = s.send(ctx)
		if err == nil {
			return "", nil
		}
		reason, cause = "no engine took the request", err
		s.f.Log.Emit(time.Now(), logger.ForwardAttemptFailed, s.x.id, logger.F("backend", s.backend.Id),
			logger.F("cause", err), logger.F("mayHaveRun", s.x.mayHaveRun))
		if !s.afterFailure(ctx, err) {
			break
		}
	}
	return reason, cause
}

// budgetError returns the cause for which a generation is not sent again, with why that was needed.
func budgetError(cause error) error {
	if errors.Is(cause, errNoBackend) {
		return errBudget
	}
	return fmt.Errorf("%w: %w", errBudget, cause)
}

// nextPlacement returns where to send the generation next: where the scheduler places it while its route
// allows another engine, else to the engine that has broken it off, if that may get it once more.
func (s *stream) nextPlacement(ctx context.Context) (*messenger.Placement, error) {
	switch {
	case s.repeats.retrySame:
		s.repeats.retrySame = false
		if !s.f.permittedCold(ctx, s.backend) {
			return nil, errAttempts
		}
		s.backup = nil
		// The scheduler has not placed it there, but must count it.
		s.reportState(messenger.RunState_PHASE_PLACED)
		return &messenger.Placement{Backend: s.backend.Id, Reason: "once more at the same engine"}, nil
	case s.repeats.reached > 0 && s.repeats.reached >= s.x.route.Attempts:
		return nil, errAttempts
	default:
		return s.place(ctx, s.req)
	}
}

// prepareRequest prepares the request for the next placement. Others may still read the former one.
func (s *stream) prepareRequest(now, objectiveEnd time.Time) {
	req := proto.CloneOf(s.req)
	req.ObjectiveMs = max(objectiveEnd.Sub(now), 0).Milliseconds()
	req.DeadlineMs = s.x.deadline.Sub(now).Milliseconds()
	req.MadeTokens = s.madeTokens()
	s.req = req
}

// adoptPlacement records where the generation was placed.
func (s *stream) adoptPlacement(requested time.Time, p *messenger.Placement) {
	s.backend, s.backup = s.f.Tracker.Find(p.Backend), s.f.Tracker.Find(p.Backup)
	s.begunAt, s.eventsHere, s.healthRecorded = time.Time{}, 0, false
	s.reading.Store(true)
	s.lostHere = false
	s.expectedGap = time.Duration(p.GapMs) * time.Millisecond
	s.f.Log.Emit(time.Now(), logger.RunPlaced, s.x.id, logger.F("backend", p.Backend), logger.F("copy", p.Backup),
		logger.F("promptTokens", s.req.PromptTokens), logger.F("madeTokens", s.req.MadeTokens), logger.F("hintTokens", s.req.HintTokens),
		logger.F("maxTokens", s.req.MaxTokens), logger.F("view", p.Reason), logger.F("parts", s.parts),
		logger.F("expectedGap", s.expectedGap), logger.F("paceAge", time.Duration(p.PaceAgeMs)*time.Millisecond),
		logger.F("waited", time.Since(requested).Round(time.Millisecond)))
}

// afterFailure records that an engine did not serve the generation, and reports whether another one may.
func (s *stream) afterFailure(ctx context.Context, err error) bool {
	if errors.Is(err, errInternal) {
		s.returnPlacement(s.backend.Id)
		return s.repeat(ctx, processRuns, err)
	}
	if !mayHaveRun(err) {
		s.returnPlacement(s.backend.Id)
		// A generation that has run elsewhere is repeated only if it may be.
		return !s.x.mayHaveRun || s.x.route.Resumable
	}
	recorded := s.recordLoss(ctx, err)
	s.leaveBackend(ctx)
	return s.x.route.Resumable && s.repeat(ctx, awaitProcess(ctx, recorded), err)
}

// repeat decides whether another engine may get a generation that one whose process is in a state has
// not served. It logs the decision on one of which the client has nothing; resumeAnew logs the others.
func (s *stream) repeat(ctx context.Context, process processState, cause error) bool {
	err := s.mayRepeat(ctx, process)
	fields := []logger.Field{
		logger.F("from", s.backend.Id), logger.F("process", process), logger.F("last", s.lastEventID),
		logger.F("reached", s.repeats.reached), logger.F("cause", cause),
	}
	switch {
	case ctx.Err() != nil || s.repeats.resumes > 0:
	case err != nil:
		s.f.Log.Emit(time.Now(), logger.RunNotResumed, s.x.id, append(fields, logger.F("reason", err))...)
	default:
		s.f.Log.Emit(time.Now(), logger.RunRepeated, s.x.id, fields...)
	}
	return err == nil
}

// mayHaveRun reports whether a backend server may have run a request whose sending ended with an error.
func mayHaveRun(err error) bool {
	return !errors.As(err, new(*sender.UnsentError)) && !errors.Is(err, errDeclined)
}

// returnPlacement reports that a placement was not used, so that its place is free again,
// and excludes its backend server from further placements.
func (s *stream) returnPlacement(backend string) {
	s.avoid(backend)
	s.lastState.Store(nil)
	s.f.ReportState(&messenger.RunState{Run: s.x.id, Backend: backend, Phase: messenger.RunState_PHASE_ENDED})
}

// leaveBackend reports that the backend server lost the generation, and excludes it from further
// placements.
func (s *stream) leaveBackend(ctx context.Context) {
	s.reportLost(ctx)
	s.avoid(s.backend.Id)
	s.lastState.Store(nil)
}

// avoid excludes a backend server from further placements.
func (s *stream) avoid(backend string) {
	s.req = proto.CloneOf(s.req)
	s.req.Avoid = append(s.req.Avoid, backend)
}

// reportLost reports a generation that an engine may have run and did not complete. If the client left or
// the deadline passed, it is reported as ended, as that is not the engine's fault.
func (s *stream) reportLost(ctx context.Context) {
	phase := messenger.RunState_PHASE_LOST
	if ctx.Err() != nil {
		phase = messenger.RunState_PHASE_ENDED
	}
	s.f.ReportState(&messenger.RunState{Run: s.x.id, Backend: s.backend.Id, Phase: phase})
}

// send sends the request to the engine where it was placed and waits for the response header. It returns an
// error as well if the response is one after which another engine may serve the generation; see setAside.
func (s *stream) send(ctx context.Context) error {
	s.recordState(messenger.RunState_PHASE_PLACED)
	fields := s.backupField()
	if s.x.route.Resumable && s.lastEventID != "" {
		fields = append(fields, sender.Field{Name: s.f.Dialect.LastEvent, Value: s.lastEventID})
	}
	resp, err := s.open(ctx, s.backend, 0, fields...)
	if errors.As(err, new(*sender.UnsentError)) {
		s.f.Tracker.Avoid(s.backend.Id, time.Now().Add(avoidUnreachable))
	}
	if err != nil {
		s.x.mayHaveRun = s.x.mayHaveRun || mayHaveRun(err)
		return err
	}
	s.x.mayHaveRun = true
	s.response = resp
	return s.setAside(ctx)
}

// setAside returns an error if the response is a failure after which another engine may serve the
// generation, and closes it then. The failure is kept for a client that has got nothing yet; one that has
// can't get it.
func (s *stream) setAside(ctx context.Context) error {
	status := s.response.Status
	if status == http.StatusOK {
		return nil
	}
	if s.x.w.Started() {
		s.response.Abort()
		s.response = nil
		return errInternal
	}
	if status != http.StatusInternalServerError || !s.x.repeatable() || s.repeats.reached+1 >= s.x.route.Attempts {
		return nil
	}
	whole, err := s.f.readWhole(ctx, s.response)
	if err != nil {
		s.response.Abort()
		s.response = nil
		return err
	}
	s.response.Done()
	s.response = nil
	if whole.held > 0 {
		// Other large responses would wait for the attempts that are left.
		s.f.release(whole)
		return errInternal
	}
	s.repeats.failure, s.repeats.failedBackend = whole, s.backend
	return errInternal
}
