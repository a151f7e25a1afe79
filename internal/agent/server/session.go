package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"verbenareach/internal/agent/bufferer"
	"verbenareach/internal/agent/gatekeeper"
	engineconnector "verbenareach/internal/engine/connector"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/wire/messenger"
)

type (
	// session is one attempt of one generation on this backend server.
	session struct {
		// start is the entry's request and never changes.
		start  *messenger.GenerateStart
		buffer *bufferer.Buffer
		// cancel closes the stream to the engine.
		cancel context.CancelFunc
		// done is closed when run returns.
		done chan struct{}
	}
)

// workID returns the id of an attempt at the gate, in the admitter and in the hang
// detector. It has the text form of a cursor, with a constant for the server.
func workID(start *messenger.GenerateStart) string {
	return sequencer.Cursor{Generation: start.GetGenerationId(), Server: "epoch", Epoch: start.GetEpoch()}.String()
}

// end sets the attempt's result unless it has one, and closes the engine stream.
func (s *session) end(result bufferer.Result) {
	s.buffer.Finish(result)
	s.cancel()
}

// open admits an attempt, replaces an older one of the same generation and starts
// it, or returns a DeclinedError.
func (a *Agent) open(now time.Time, start *messenger.GenerateStart) (*session, error) {
	previous := a.session(start.GetGenerationId())
	if previous != nil && previous.start.GetEpoch() >= start.GetEpoch() {
		return nil, &gatekeeper.DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_OLD_EPOCH}
	}
	work := gatekeeper.Work{ID: workID(start), Workspace: start.GetWorkspace(), StartedAt: now}
	if err := a.gate.Admit(now, work, start.GetIncarnation()); err != nil {
		return nil, err
	}
	if err := a.checkAndReserve(now, start); err != nil {
		a.gate.Finish(work.ID)
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{start: start, buffer: bufferer.NewBuffer(start.GetDelivered()), cancel: cancel, done: make(chan struct{})}
	a.mu.Lock()
	if newer := a.sessions[start.GetGenerationId()]; newer != nil && newer.start.GetEpoch() >= start.GetEpoch() {
		a.mu.Unlock()
		cancel()
		a.releaseMemory(work.ID, nil, 0)
		a.gate.Finish(work.ID)
		return nil, &gatekeeper.DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_OLD_EPOCH}
	}
	a.sessions[start.GetGenerationId()] = s
	a.mu.Unlock()
	if previous != nil {
		previous.end(bufferer.Result{Cause: "replaced by a newer attempt"})
	}
	go a.run(ctx, s, work.ID)
	return s, nil
}

// checkAndReserve reserves memory for an attempt. It returns a DeclinedError if this
// backend server can't serve the attempt or has no memory for it.
func (a *Agent) checkAndReserve(now time.Time, start *messenger.GenerateStart) error {
	b := a.currentBackend()
	if b == nil || b.engine == nil {
		return &gatekeeper.DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_BACKEND_DOWN}
	}
	if !a.hangDetector.Available(now) {
		return &gatekeeper.DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_BACKEND_DOWN, Detail: "the engine makes no tokens"}
	}
	if start.GetAdmitDeadline() != 0 && now.UnixNano() > start.GetAdmitDeadline() {
		return &gatekeeper.DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_DEADLINE}
	}
	if !b.announced.backend().Serves(start.GetModel(), start.GetAdapter(), start.GetVersion()) {
		return &gatekeeper.DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_UNKNOWN_MODEL}
	}
	return a.reserveMemory(now, start)
}

// run executes one attempt and then releases its memory and its place at the gate.
// The session stays until sweep drops it.
func (a *Agent) run(ctx context.Context, s *session, work string) {
	defer close(s.done)
	defer a.gate.Finish(work)
	defer s.cancel()
	id := s.start.GetGenerationId()
	a.Log.Emit(time.Now(), logger.WorkAdmitted, id, logger.F("epoch", s.start.GetEpoch()), logger.F("from", s.buffer.First))
	result := a.generate(ctx, s, work)
	s.buffer.Finish(result)
	next, final := s.buffer.Next()
	a.releaseMemory(work, final, next)
	ev := logger.AttemptEnded
	if final.Cause != "" {
		ev = logger.AttemptFailed
	}
	a.Log.Emit(time.Now(), ev, id, logger.F("epoch", s.start.GetEpoch()), logger.F("next", next), logger.F("finish", final.FinishReason), logger.F("cause", final.Cause))
}

// generate copies the engine's tokens into the buffer until the attempt ends.
func (a *Agent) generate(ctx context.Context, s *session, work string) bufferer.Result {
	b := a.currentBackend()
	if b == nil || b.engine == nil {
		return bufferer.Result{Cause: "the engine is gone", Resumable: true}
	}
	stream, err := b.engine.Start(ctx, s.start)
	var refused *engineconnector.RefusedError
	if errors.As(err, &refused) {
		resumable := refused.Status >= http.StatusInternalServerError || refused.Status == http.StatusTooManyRequests
		return bufferer.Result{Cause: refused.Error(), Resumable: resumable, RefusedStatus: refused.Status}
	}
	if err != nil {
		return bufferer.Result{Cause: err.Error(), Resumable: true}
	}
	defer stream.Close()
	a.hangDetector.Begin(time.Now(), work)
	defer a.hangDetector.End(work)
	g := sequencer.Generation{ID: s.start.GetGenerationId(), Epoch: s.start.GetEpoch(), Next: s.buffer.First}
	indexed := false
	for {
		token, err := stream.Next()
		if err != nil {
			return bufferer.Result{Cause: err.Error(), Resumable: true}
		}
		if token.Text != "" {
			a.hangDetector.RecordToken(time.Now(), work)
			after, skip, err := accept(g, token)
			if err != nil {
				return bufferer.Result{Cause: err.Error(), Resumable: true}
			}
			if skip == 0 {
				s.buffer.Append(token.Text)
			}
			g = after
			a.growMemory(work, g.Next)
			indexed = indexed || token.Index >= 0
		}
		if token.FinishReason != "" {
			result := endResult(token, g.Next, s.buffer.First, indexed)
			result.CachedTokens = stream.CachedTokens
			// The caller gets the end before the engine has closed the stream.
			s.buffer.Finish(result)
			stream.Drain()
			return result
		}
	}
}

// endResult returns the result of an attempt that the engine finished. If the
// engine numbers its tokens and reports a total, for the generation or for this
// attempt alone, a missing token makes the attempt fail.
func endResult(last engineconnector.Token, next, first uint64, indexed bool) bufferer.Result {
	total := uint64(last.Total)
	if indexed && last.Total >= 0 && total != next && total != next-first {
		return bufferer.Result{Cause: fmt.Sprintf("the engine ended after %d tokens of %d", next, total), Resumable: true}
	}
	return bufferer.Result{FinishReason: last.FinishReason}
}

// accept checks a token's index if the engine sends one. skip is 1 for a token that
// the generation has already; the error is a GapError if tokens are missing before it.
func accept(g sequencer.Generation, token engineconnector.Token) (after sequencer.Generation, skip int, err error) {
	first := g.Next
	if token.Index >= 0 {
		first = uint64(token.Index)
	}
	return g.Accept(g.Epoch, first, 1)
}

// session returns the newest attempt of a generation; nil if none is held.
func (a *Agent) session(generation string) *session {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sessions[generation]
}

// sweepSessions ends generations that have had no reader for too long and drops
// ended ones, until ctx ends. Then it ends all that still run.
func (a *Agent) sweepSessions(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.sweep(time.Now())
		case <-ctx.Done():
			a.endSessions(bufferer.Result{Cause: "the agent stopped", Resumable: true})
			return
		}
	}
}

// endSessions ends all attempts that have no result yet.
func (a *Agent) endSessions(result bufferer.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		s.end(result)
	}
}

// sweep ends and drops generations once, as sweepSessions says.
func (a *Agent) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, s := range a.sessions {
		since, endConfirmed := s.buffer.Detached()
		if since.IsZero() {
			continue
		}
		unread := now.Sub(since)
		_, result := s.buffer.Next()
		switch {
		case result == nil && unread > a.ResumeGrace:
			s.end(bufferer.Result{Cause: "no caller came back"})
			a.Log.Emit(now, logger.AttemptAbandoned, id)
		case result != nil && (unread > a.KeepEnded || endConfirmed && unread > keepConfirmed):
			delete(a.sessions, id)
		}
	}
}

// undelivered counts the generations that run or are complete and whose caller hasn't
// confirmed the end. Failed ones don't count, since they can't deliver an end here.
func (a *Agent) undelivered() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, s := range a.sessions {
		_, endConfirmed := s.buffer.Detached()
		_, result := s.buffer.Next()
		if !endConfirmed && (result == nil || result.Cause == "") {
			n++
		}
	}
	return n
}
