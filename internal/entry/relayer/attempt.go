package relayer

import (
	"context"
	"errors"
	"sync"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/wire/messenger"
)

const (
	// attemptUnreached means that the agent did not answer; it may have got the message.
	attemptUnreached attemptKind = iota
	// attemptDeclined means that the agent declined, or holds only an older attempt.
	attemptDeclined
	// attemptLost means that the attempt was interrupted and another may continue it.
	attemptLost
	// attemptFinal means that the attempt failed and must not be followed by another.
	attemptFinal
	// attemptEnded means that the generation is complete.
	attemptEnded
)

var (
	errStalled = errors.New("the link is stalled")
)

type (
	// attemptKind is how an attempt ended; it determines what may follow.
	attemptKind int

	// attemptResult is the result of one attempt.
	attemptResult struct {
		kind     attemptKind
		admitted bool
		// linkLost is true when the agent may still hold the generation.
		linkLost bool
		// cause is why the attempt ended, for logs and errors; reason is the agent's, if
		// it gave one.
		cause  string
		reason messenger.DeclineReason
		// retryAfter is the time after which the backend server may have room; 0 if unknown.
		retryAfter time.Duration
		// refusedStatus is the engine's HTTP status if it refused the request.
		refusedStatus int
		load          *messenger.Load
		// tokens is how many tokens the attempt delivered.
		tokens uint64
		// firstToken is the time to the first token; 0 if there was none.
		firstToken time.Duration
		// cached is the part of the prompt that the engine had in its cache, in tokens.
		cached uint32
		// callerGone is true when the attempt was given up because the caller is gone.
		callerGone bool
	}

	// link is the stream of one attempt, with a watchdog that detects stalls.
	link struct {
		stream messenger.DRPCAgent_GenerateClient
		cancel context.CancelCauseFunc
		// detachCaller stops the stream from being canceled with the caller's request.
		detachCaller func() bool
		// watchdog cancels the stream with errStalled when a message does not arrive in
		// time.
		watchdog *time.Timer
		// stallTimeout is the longest time between messages. It may be shorter until
		// the agent's answer has arrived.
		stallTimeout time.Duration
		// mu guards sending, as heartbeats are sent by their own goroutine.
		mu sync.Mutex
	}
)

// attempt runs the current epoch at target until it ends.
func (d *delivery) attempt(ctx context.Context, target Target) (attemptResult, error) {
	start := d.startMessage(target)
	d.relayer.Log.Emit(time.Now(), logger.GenerationRouted, d.generation.ID, logger.F("server", target.Server),
		logger.F("epoch", d.generation.Epoch), logger.F("from", d.generation.Next))
	up := &messenger.GenerateUp{Body: &messenger.GenerateUp_Start{Start: start}}
	result, err := d.runAttempt(ctx, target, up, d.relayer.stallTimeout())
	result.callerGone = err != nil
	d.relayer.report(d.startMessage(target), target, result)
	return result, err
}

// attach continues the attempt that target holds.
func (d *delivery) attach(ctx context.Context, target Target) (attemptResult, error) {
	attach := &messenger.GenerateAttach{
		GenerationId: d.generation.ID, NextIndex: d.generation.Next,
		Incarnation: target.Incarnation, Workspace: d.start.GetWorkspace(),
	}
	up := &messenger.GenerateUp{Body: &messenger.GenerateUp_Attach{Attach: attach}}
	return d.runAttempt(ctx, target, up, min(reattachTimeout, d.relayer.stallTimeout()))
}

// runAttempt sends the first message of an attempt and processes the agent's messages.
// The first of them must arrive within answerTimeout. The error is a CallerError; all
// other failures are in the result.
func (d *delivery) runAttempt(ctx context.Context, target Target, first *messenger.GenerateUp, answerTimeout time.Duration) (attemptResult, error) {
	var result attemptResult
	l, err := d.relayer.open(ctx, target, answerTimeout)
	if err == nil {
		defer l.close()
		if d.ran == messenger.Ran_RAN_NO {
			d.ran = messenger.Ran_RAN_UNKNOWN
		}
		err = l.stream.Send(first)
	}
	if err != nil {
		result.cause = err.Error()
		d.anyLinkLost = d.anyLinkLost || l != nil
		if ctx.Err() != nil {
			return result, &CallerError{Err: ctx.Err()}
		}
		return result, nil
	}
	before := d.generation.Next
	result, err = d.receive(ctx, l, target)
	result.tokens = d.generation.Next - before
	return result, err
}

// open dials target's agent. Nothing is sent yet: a failure proves that the agent did
// nothing. The stream ends with ctx until detachCaller is called.
func (r *Relayer) open(ctx context.Context, target Target, answerTimeout time.Duration) (*link, error) {
	caller := ctx
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	l := &link{cancel: cancel, stallTimeout: answerTimeout}
	l.detachCaller = context.AfterFunc(caller, func() { cancel(caller.Err()) })
	l.watchdog = time.AfterFunc(l.stallTimeout, func() { cancel(errStalled) })
	conn := r.Pool.Conn(ctx, target.Address)
	stream, err := messenger.NewDRPCAgentClient(conn).Generate(ctx)
	if err != nil {
		l.close()
		return nil, err
	}
	l.stream = stream
	return l, nil
}

// receive processes the agent's messages until the attempt ends.
func (d *delivery) receive(ctx context.Context, l *link, target Target) (attemptResult, error) {
	var result attemptResult
	startedAt := time.Now()
	stopHeartbeats := func() {}
	defer func() { stopHeartbeats() }()
	for {
		down, err := l.recv()
		if err != nil && ctx.Err() != nil {
			return result, &CallerError{Err: ctx.Err()}
		}
		if err != nil {
			result.cause = err.Error()
			result.linkLost = true
			d.anyLinkLost = true
			if result.admitted {
				result.kind = attemptLost
			}
			return result, nil
		}
		switch body := down.GetBody().(type) {
		case *messenger.GenerateDown_Admitted:
			if body.Admitted.GetStart() != nil && body.Admitted.GetStart().GetEpoch() < d.minEpoch {
				// The caller's tokens came from a later attempt, which may differ from this one.
				result.kind, result.cause = attemptDeclined, "only an older attempt is left"
				return result, nil
			}
			if err := d.handleAdmitted(target, body.Admitted, &result); err != nil {
				return result, err
			}
			l.stallTimeout = d.relayer.stallTimeout()
			stopHeartbeats = l.startHeartbeats(ctx)
		case *messenger.GenerateDown_Declined:
			d.handleDeclined(target, body.Declined, &result)
			return result, nil
		case *messenger.GenerateDown_Tokens:
			if result.firstToken == 0 {
				result.firstToken = time.Since(startedAt)
			}
			var caller *CallerError
			if err := d.deliver(body.Tokens); errors.As(err, &caller) {
				return result, err
			} else if err != nil {
				result.kind, result.cause = attemptLost, err.Error()
				return result, nil
			}
		case *messenger.GenerateDown_Progress:
			result.load = body.Progress.GetLoad()
		case *messenger.GenerateDown_Failed:
			result.kind, result.cause = attemptFinal, body.Failed.GetCause()
			result.refusedStatus = int(body.Failed.GetRefusedStatus())
			result.reason = body.Failed.GetReason()
			if body.Failed.GetResumable() {
				result.kind = attemptLost
			}
			return result, nil
		case *messenger.GenerateDown_End:
			return d.handleEnd(l, body.End, result)
		}
	}
}

// handleAdmitted passes an admission to the sink. Until the attempt ends in another way, its
// result is attemptLost.
func (d *delivery) handleAdmitted(target Target, admitted *messenger.Admitted, result *attemptResult) error {
	result.admitted = true
	d.ran = messenger.Ran_RAN_YES
	result.kind = attemptLost
	result.load = admitted.GetLoad()
	if start := admitted.GetStart(); start != nil {
		d.start = start
		d.generation.Epoch = start.GetEpoch()
	}
	d.relayer.Log.Emit(time.Now(), logger.GenerationStarted, d.generation.ID, logger.F("server", target.Server), logger.F("epoch", d.generation.Epoch))
	cursor := sequencer.Cursor{
		Generation: d.generation.ID, Server: target.Server, Incarnation: admitted.GetIncarnation(),
		Epoch: d.generation.Epoch, Index: int64(max(d.generation.Next, d.callerTokens)) - 1,
	}
	if err := d.sink.Admitted(cursor, d.start); err != nil {
		return &CallerError{Err: err}
	}
	return nil
}

// handleDeclined records that the agent declined, which proves that the generation did not
// run if no earlier attempt may have.
func (d *delivery) handleDeclined(target Target, declined *messenger.Declined, result *attemptResult) {
	result.kind, result.reason, result.load = attemptDeclined, declined.GetReason(), declined.GetLoad()
	result.retryAfter = time.Duration(declined.GetRetryAfterNanos())
	result.cause = declined.GetReason().String()
	if d.ran == messenger.Ran_RAN_UNKNOWN && !d.anyLinkLost {
		d.ran = messenger.Ran_RAN_NO
	}
	d.relayer.Log.Emit(time.Now(), logger.GenerationDeclined, d.generation.ID, logger.F("server", target.Server),
		logger.F("reason", declined.GetReason()), logger.F("detail", declined.GetDetail()))
}

// handleEnd delivers the end if no token is missing, and acknowledges it to the agent.
func (d *delivery) handleEnd(l *link, end *messenger.GenerateEnd, result attemptResult) (attemptResult, error) {
	if end.GetEpoch() != d.generation.Epoch || end.GetNextIndex() != d.generation.Next {
		result.kind, result.cause = attemptLost, "the end came at another index than the last token's"
		return result, nil
	}
	// A caller may hang up as soon as it has the end; the agent still needs the
	// acknowledgement.
	l.detachCaller()
	if err := d.sink.End(end.GetFinishReason()); err != nil {
		return result, &CallerError{Err: err}
	}
	l.send(&messenger.GenerateUp{Body: &messenger.GenerateUp_Ack{Ack: &messenger.GenerateAck{NextIndex: d.generation.Next}}})
	result.kind, result.cached = attemptEnded, end.GetCachedTokens()
	d.relayer.Log.Emit(time.Now(), logger.GenerationEnded, d.generation.ID, logger.F("tokens", d.generation.Next), logger.F("finish", end.GetFinishReason()))
	return result, nil
}

// startHeartbeats sends heartbeats to the agent until the returned function is called.
func (l *link) startHeartbeats(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				l.send(&messenger.GenerateUp{Body: &messenger.GenerateUp_Ack{Ack: &messenger.GenerateAck{}}})
			case <-ctx.Done():
				return
			}
		}
	}()
	return cancel
}

// close closes the stream; the agent keeps the attempt in case the caller comes back.
func (l *link) close() {
	l.watchdog.Stop()
	l.detachCaller()
	if l.stream != nil {
		_ = l.stream.Close()
	}
	l.cancel(context.Canceled)
}

// recv waits at most stallTimeout for the next message. The time that the caller takes
// to read does not count.
func (l *link) recv() (*messenger.GenerateDown, error) {
	l.watchdog.Reset(l.stallTimeout)
	down, err := l.stream.Recv()
	l.watchdog.Stop()
	if err != nil && errors.Is(context.Cause(l.stream.Context()), errStalled) {
		return nil, errStalled
	}
	return down, err
}

func (l *link) send(up *messenger.GenerateUp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.stream.Send(up)
}
