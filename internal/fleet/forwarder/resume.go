package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/wire/messenger"
)

type (
	// repeats records what was tried for one generation that may be repeated.
	repeats struct {
		// sent is set once the request was sent to a backend server.
		sent bool
		// reached counts the backend servers that may have run the generation, without those whose
		// process has ended since. crashed counts the processes that ended at its beginning.
		reached, crashed int
		// pending gives the states of the processes that lost the generation before it went on at a backup,
		// as far as they are not counted in reached yet.
		pending []<-chan processState
		// retrySame is set if the engine that has broken the generation off gets it next, retriedSame once
		// that was decided: it is done once.
		retrySame, retriedSame bool
		// resumes counts how often it was placed anew after its client had got a response header.
		resumes int
		// failure is the newest status 500 response that was kept, failedBackend the backend server that
		// sent it.
		failure       *wholeResponse
		failedBackend *messenger.Backend
	}

	// unplacedError reports that the scheduler refused to place a generation.
	unplacedError struct {
		reason string
		// wait is the time after which it may be placed.
		wait time.Duration
	}
)

const (
	// maxResumes bounds how often the response to one request goes on at an engine that reads the
	// prompt again.
	maxResumes = 4
	// maxCrashed bounds the engines whose processes may end at the beginning of one generation.
	maxCrashed = 1
)

var (
	_ refusal = &unplacedError{}

	// These are causes for which a generation ends or is not repeated.
	errSuperseded = errors.New("client sent the request again")
	errMoveFailed = errors.New("move failed after the generation had stopped")
	errOrder      = errors.New("events are out of order")
	errAttempts   = errors.New("no attempt is left")
	errCrashes    = errors.New("generation ended its engines")
	errBudget     = errors.New("retry budget is exhausted")
)

// Error returns the scheduler's reason.
func (e *unplacedError) Error() string { return e.reason }

func (e *unplacedError) retryAfter() time.Duration { return e.wait }

// count records an engine that may have run the generation, whose process is in a state.
func (r *repeats) count(process processState) {
	if process != processEnded {
		r.reached++
	}
}

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool {
	return x.route.Kind == cataloger.Idempotent || x.route.Kind == cataloger.Stream && x.route.Resumable
}

// readLastEvent reads the id of the last event that the client has of an earlier response. It answers a
// request with an invalid one and returns false. An empty one is the same as none.
func (s *stream) readLastEvent() bool {
	value, found := "", 0
	for _, field := range s.x.r.Fields {
		if strings.EqualFold(field.Name, s.f.Dialect.LastEvent) {
			value = strings.TrimSpace(field.Value)
			found++
		}
	}
	if value == "" && found <= 1 {
		return true
	}
	id, err := strconv.ParseUint(value, 10, 64)
	if found > 1 || err != nil {
		s.f.refuse(s.x, http.StatusBadRequest, "field "+s.f.Dialect.LastEvent+" must hold the id of one event, a whole number", 0)
		return false
	}
	s.lastEventID = value
	s.order = eventOrder{last: id, begun: true}
	s.tokensBefore = s.estimateTokens(id)
	s.f.Log.Emit(time.Now(), logger.RunResumedByClient, s.x.id, logger.F("last", value), logger.F("tokens", s.tokensBefore),
		logger.F("route", s.x.route.Name))
	return true
}

// estimateTokens returns about how many tokens the events up to the one with an id hold, if the ids count
// events: at most as many as the request may generate.
func (s *stream) estimateTokens(id uint64) int32 {
	most := uint64(max(s.req.MaxTokens, 0))  //nolint:gosec // It is not negative.
	perEvent := uint64(s.x.tokensPerEvent()) //nolint:gosec // It is at least 1.
	if id >= most/perEvent {
		return int32(most) //nolint:gosec // It comes from an int32.
	}
	return int32(id * perEvent) //nolint:gosec // It is below most.
}

// endFormer ends the generation that has the id of s on this host, if it may be resumed and s is the same
// request: of the same workspace, on the same route. endFormer waits until it has ended: its end must not
// be taken for that of s.
func (f *Forwarder) endFormer(ctx context.Context, s *stream) {
	f.mu.Lock()
	former := f.streams[s.x.id]
	f.mu.Unlock()
	if former == nil || !former.x.route.Resumable || former.x.route.Name != s.x.route.Name || former.x.workspace != s.x.workspace {
		return
	}
	former.end(errSuperseded)
	select {
	case <-former.ended:
		// An order to stop it may still be on its way to its engine.
		s.interruptions = former.interruptions
	case <-ctx.Done():
	}
}

// resumable reports whether another engine may continue the stream: its route allows it, and all events
// that the client has are numbered.
func (s *stream) resumable() bool { return s.x.route.Resumable && !s.order.unnumbered }

// mayRepeat records that an engine whose process is in a state did not complete the generation, and
// returns why no engine may get it next; nil if one may. If the route allows no further engine, one that
// is ready may get it once more: it has read the prompt.
func (s *stream) mayRepeat(ctx context.Context, process processState) error {
	for _, recorded := range s.repeats.pending {
		s.repeats.count(awaitProcess(ctx, recorded))
	}
	s.repeats.pending = nil
	s.repeats.count(process)
	if process == processEnded && !s.healthRecorded {
		s.repeats.crashed++
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	d := s.f.Quarantine.Check(time.Now(), s.x.id, s.parts)
	switch {
	case s.repeats.reached >= s.x.route.Attempts && !s.mayRetrySame(time.Now(), process):
		return errAttempts
	case s.repeats.crashed > maxCrashed:
		return errCrashes
	case !d.Admitted():
		return &quarantinedError{decision: d}
	}
	if s.repeats.reached >= s.x.route.Attempts {
		s.repeats.retrySame, s.repeats.retriedSame = true, true
	}
	return nil
}

// mayRetrySame reports whether the engine that has broken the generation off, whose process is in a state, may
// get it once more.
func (s *stream) mayRetrySame(now time.Time, process processState) bool {
	if s.repeats.retriedSame || process != processRuns {
		return false
	}
	return slices.ContainsFunc(s.f.Tracker.Ready(now, s.x.service.Name), func(b *messenger.Backend) bool {
		return b.Id == s.backend.Id
	})
}

// resumeAnew places a generation that its engine has not completed again, and sends it to an engine that
// reads its prompt and continues after the last event that the client has. The former engine's stream
// has been closed; process is the state of its process, cause why the stream ended. resumeAnew reports
// whether there is a response to forward.
func (s *stream) resumeAnew(ctx context.Context, process processState, cause error) bool {
	if !s.resumable() {
		return false
	}
	from, lostAt := s.backend, time.Now()
	// It ends if a part becomes quarantined from now on.
	s.reading.Store(true)
	s.leaveBackend(ctx)
	err := s.mayRepeat(ctx, process)
	if err == nil && s.repeats.resumes >= maxResumes {
		err = errAttempts
	}
	if err == nil {
		s.repeats.resumes++
		_, err = s.placeAndSend(ctx, s.nextEventDue(lostAt))
	}
	fields := []logger.Field{
		logger.F("from", from.Id), logger.F("process", process), logger.F("events", s.eventsSent), logger.F("last", s.lastEventID),
		logger.F("reached", s.repeats.reached), logger.F("resumes", s.repeats.resumes),
		logger.F("took", time.Since(lostAt).Round(time.Millisecond)), logger.F("cause", cause),
	}
	if err != nil {
		s.backend = from
	}
	if clientLeft(ctx) {
		return false
	}
	if err != nil {
		s.f.Log.Emit(time.Now(), logger.RunNotResumed, s.x.id, append(fields, logger.F("reason", err))...)
		return false
	}
	s.f.Log.Emit(time.Now(), logger.RunResumed, s.x.id, append(fields, logger.F("to", s.backend.Id))...)
	if s.response.Status == http.StatusOK {
		s.attach(s.response)
	}
	return true
}

// nextEventDue returns when the next event of a stream that broke off should come: the objective of a
// request for which the client has nothing does not change.
func (s *stream) nextEventDue(lostAt time.Time) time.Time {
	if s.eventsSent == 0 {
		return s.x.r.Arrived.Add(s.x.route.Objective)
	}
	return lostAt.Add(max(s.x.route.Objective, s.x.route.Gap))
}
