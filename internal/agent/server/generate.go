package server

import (
	"context"
	"errors"
	"time"

	"verbenareach/internal/agent/bufferer"
	"verbenareach/internal/agent/gatekeeper"
	"verbenareach/internal/wire/messenger"
)

const (
	// progressInterval is how often the agent sends progress while a generation
	// makes no tokens; an entry treats the link as stalled when several are missing.
	progressInterval = 500 * time.Millisecond
	// entryExpiry is how long after its last message an entry counts as gone;
	// acknowledgements come every second.
	entryExpiry = 10 * time.Second
	// maxMessageTokens bounds the tokens of one message.
	maxMessageTokens = 1024
)

// Generate streams one attempt of one generation to one entry. The entry's first
// message starts an attempt or attaches to one.
func (p *peerService) Generate(stream messenger.DRPCAgent_GenerateStream) error {
	up, err := stream.Recv()
	if err != nil {
		return err
	}
	switch body := up.GetBody().(type) {
	case *messenger.GenerateUp_Start:
		return p.agent.serveStart(stream, body.Start)
	case *messenger.GenerateUp_Attach:
		return p.agent.serveAttach(stream, body.Attach)
	default:
		return sendDeclined(stream, nil, &gatekeeper.DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_BAD_REQUEST})
	}
}

// serveStart starts an attempt and serves it.
func (a *Agent) serveStart(stream messenger.DRPCAgent_GenerateStream, start *messenger.GenerateStart) error {
	s, err := a.open(time.Now(), start)
	if err != nil {
		return sendDeclined(stream, a.currentLoad(time.Now()), err)
	}
	admitted := &messenger.Admitted{Load: a.currentLoad(time.Now()), Incarnation: a.Self.Incarnation}
	return a.serve(stream, s, s.buffer.First, admitted)
}

// serveAttach serves the newest attempt of a generation that is held here.
func (a *Agent) serveAttach(stream messenger.DRPCAgent_GenerateStream, attach *messenger.GenerateAttach) error {
	s := a.session(attach.GetGenerationId())
	wrongIncarnation := attach.GetIncarnation() != 0 && attach.GetIncarnation() != a.Self.Incarnation
	if s == nil || wrongIncarnation || s.start.GetWorkspace() != attach.GetWorkspace() {
		return sendDeclined(stream, a.currentLoad(time.Now()), &gatekeeper.DeclinedError{Reason: messenger.DeclineReason_DECLINE_REASON_NOT_FOUND})
	}
	admitted := &messenger.Admitted{Load: a.currentLoad(time.Now()), Incarnation: a.Self.Incarnation, Start: s.start}
	return a.serve(stream, s, attach.GetNextIndex(), admitted)
}

// serve sends a session's tokens from index next on. It returns once the entry has
// confirmed the end, or is gone or replaced by another entry.
func (a *Agent) serve(stream messenger.DRPCAgent_GenerateStream, s *session, next uint64, admitted *messenger.Admitted) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	reader := s.buffer.Attach()
	defer func() { s.buffer.Detach(time.Now(), reader) }()
	if err := stream.Send(&messenger.GenerateDown{Body: &messenger.GenerateDown_Admitted{Admitted: admitted}}); err != nil {
		return err
	}
	go func() {
		defer cancel()
		receive(stream, s)
	}()
	return a.pump(ctx, stream, s, reader, next)
}

// pump sends tokens from index next on and progress, and finally the result. reader is
// the number of the buffer's reader.
func (a *Agent) pump(ctx context.Context, stream messenger.DRPCAgent_GenerateStream, s *session, reader, next uint64) error {
	epoch := s.start.GetEpoch()
	idle := time.NewTimer(progressInterval)
	defer idle.Stop()
	for {
		texts, result, replaced := s.buffer.Read(ctx, reader, next, idle)
		var down *messenger.GenerateDown
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case replaced:
			return stream.Send(failedMessage(epoch, &bufferer.Result{Cause: "another entry serves the caller now"}))
		case len(texts) > 0:
			texts = texts[:min(len(texts), maxMessageTokens)]
			down = &messenger.GenerateDown{Body: &messenger.GenerateDown_Tokens{
				Tokens: &messenger.Tokens{Epoch: epoch, FirstIndex: next, Texts: texts},
			}}
			next += uint64(len(texts))
		case result != nil:
			return sendResult(ctx, stream, epoch, next, result)
		default:
			down = &messenger.GenerateDown{Body: &messenger.GenerateDown_Progress{
				Progress: &messenger.Progress{Load: a.currentLoad(time.Now()), NextIndex: next},
			}}
		}
		if err := stream.Send(down); err != nil {
			return err
		}
		idle.Reset(progressInterval)
	}
}

// receive handles the entry's messages until it is gone or confirms the end.
func receive(stream messenger.DRPCAgent_GenerateStream, s *session) {
	expiry := time.AfterFunc(entryExpiry, func() { _ = stream.Close() })
	defer expiry.Stop()
	for {
		up, err := stream.Recv()
		if err != nil {
			return
		}
		expiry.Reset(entryExpiry)
		switch body := up.GetBody().(type) {
		case *messenger.GenerateUp_Ack:
			next, result := s.buffer.Next()
			if result != nil && body.Ack.GetNextIndex() >= next {
				s.buffer.ConfirmEnd()
				return
			}
		case *messenger.GenerateUp_Cancel:
			s.end(bufferer.Result{Cause: "canceled: " + body.Cancel.GetCause()})
		}
	}
}

// sendResult sends the attempt's result and waits until the entry confirms it or
// is gone.
func sendResult(ctx context.Context, stream messenger.DRPCAgent_GenerateStream, epoch uint32, next uint64, result *bufferer.Result) error {
	down := failedMessage(epoch, result)
	if result.Cause == "" {
		down = &messenger.GenerateDown{Body: &messenger.GenerateDown_End{
			End: &messenger.GenerateEnd{Epoch: epoch, NextIndex: next, FinishReason: result.FinishReason, CachedTokens: result.CachedTokens},
		}}
	}
	if err := stream.Send(down); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// failedMessage returns the message for an attempt that failed. The reason
// DECLINE_REASON_MEMORY marks a preempted one.
func failedMessage(epoch uint32, result *bufferer.Result) *messenger.GenerateDown {
	failed := &messenger.GenerateFailed{
		Epoch: epoch, Cause: result.Cause, Resumable: result.Resumable, RefusedStatus: uint32(result.RefusedStatus),
	}
	if result.Preempted {
		failed.Reason = messenger.DeclineReason_DECLINE_REASON_MEMORY
	}
	return &messenger.GenerateDown{Body: &messenger.GenerateDown_Failed{Failed: failed}}
}

// sendDeclined sends why an attempt wasn't started or attached to. The reason is unset
// if err isn't a DeclinedError.
func sendDeclined(stream messenger.DRPCAgent_GenerateStream, load *messenger.Load, err error) error {
	declined := &messenger.Declined{Load: load}
	var reason *gatekeeper.DeclinedError
	if errors.As(err, &reason) {
		declined.Reason = reason.Reason
		declined.Detail = reason.Detail
		declined.RetryAfterNanos = int64(reason.RetryAfter)
	}
	return stream.Send(&messenger.GenerateDown{Body: &messenger.GenerateDown_Declined{Declined: declined}})
}
