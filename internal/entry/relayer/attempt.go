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
	attemptUnreached attemptKind = iota
	attemptDeclined
	attemptLost
	attemptFinal
	attemptEnded
)

var (
	errStalled = errors.New("the link is stalled")
)

type (
	// attemptKind says what may follow an attempt.
	attemptKind int

	// attemptResult is how one attempt went.
	attemptResult struct {
		kind     attemptKind
		admitted bool
		// linkLost is true when the agent may still hold the generation.
		linkLost bool
		cause    string
		reason   messenger.DeclineReason
		// retryAfter is when the backend server may have room; 0 if it doesn't tell.
		retryAfter time.Duration
		// refusedStatus is the engine's HTTP status if it refused the request.
		refusedStatus int
		load          *messenger.Load
		tokens        uint64
		// firstToken is the time to the first token.
		firstToken time.Duration
		// cached is the part of the prompt that the engine had in its cache.
		cached uint32
		// callerGone is true when the attempt was left because of the caller.
		callerGone bool
	}

	// link is the stream of one attempt with its watch against stalls.
	link struct {
		stream messenger.DRPCAgent_GenerateClient
		cancel context.CancelCauseFunc
		// forgetCaller keeps the stream from ending with the caller's request.
		forgetCaller func() bool
		// watch cancels the stream unless it is reset in time.
		watch *time.Timer
		// stallTimeout is how long the link may be silent; before the answer it may
		// be shorter than after.
		stallTimeout time.Duration
		// mu guards sending, as acknowledgements come from their own goroutine.
		mu sync.Mutex
	}
)

// attempt starts the current epoch at target and follows it to its end.
func (c *course) attempt(ctx context.Context, target Target) (attemptResult, error) {
	start := c.startMessage(target)
	c.relayer.Log.Emit(time.Now(), logger.GenerationRouted, c.generation.ID, logger.F("server", target.Server),
		logger.F("epoch", c.generation.Epoch), logger.F("from", c.generation.Next))
	up := &messenger.GenerateUp{Body: &messenger.GenerateUp_Start{Start: start}}
	result, err := c.follow(ctx, target, up, c.relayer.stallTimeout())
	result.callerGone = err != nil
	c.relayer.report(c.startMessage(target), target, result)
	return result, err
}

// attach goes on with the attempt that target holds.
func (c *course) attach(ctx context.Context, target Target) (attemptResult, error) {
	attach := &messenger.GenerateAttach{
		GenerationId: c.generation.ID, NextIndex: c.generation.Next,
		Incarnation: target.Incarnation, Workspace: c.start.GetWorkspace(),
	}
	up := &messenger.GenerateUp{Body: &messenger.GenerateUp_Attach{Attach: attach}}
	return c.follow(ctx, target, up, min(reattachTimeout, c.relayer.stallTimeout()))
}

// follow sends the first message of an attempt and takes all that comes back.
// The answer must come within the answer timeout.
// The error is a CallerError; all else is in the result.
func (c *course) follow(ctx context.Context, target Target, first *messenger.GenerateUp, answerTimeout time.Duration) (attemptResult, error) {
	var result attemptResult
	l, err := c.relayer.open(ctx, target, answerTimeout)
	if err == nil {
		defer l.close()
		if c.ran == messenger.Ran_RAN_NO {
			c.ran = messenger.Ran_RAN_UNKNOWN
		}
		err = l.stream.Send(first)
	}
	if err != nil {
		result.cause = err.Error()
		c.maybeElsewhere = c.maybeElsewhere || l != nil
		if ctx.Err() != nil {
			return result, &CallerError{Err: ctx.Err()}
		}
		return result, nil
	}
	before := c.generation.Next
	result, err = c.receive(ctx, l, target)
	result.tokens = c.generation.Next - before
	return result, err
}

// open dials target's agent. Until something is sent, a failure proves that the
// agent did nothing.
func (r *Relayer) open(ctx context.Context, target Target, answerTimeout time.Duration) (*link, error) {
	caller := ctx
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	l := &link{cancel: cancel, stallTimeout: answerTimeout}
	l.forgetCaller = context.AfterFunc(caller, func() { cancel(caller.Err()) })
	l.watch = time.AfterFunc(l.stallTimeout, func() { cancel(errStalled) })
	conn := r.Pool.Conn(ctx, target.Address)
	stream, err := messenger.NewDRPCAgentClient(conn).Generate(ctx)
	if err != nil {
		l.close()
		return nil, err
	}
	l.stream = stream
	return l, nil
}

// receive takes the agent's messages until the attempt ends.
func (c *course) receive(ctx context.Context, l *link, target Target) (attemptResult, error) {
	var result attemptResult
	began := time.Now()
	stopAcks := func() {}
	defer func() { stopAcks() }()
	for {
		down, err := l.recv()
		if err != nil && ctx.Err() != nil {
			return result, &CallerError{Err: ctx.Err()}
		}
		if err != nil {
			result.cause = err.Error()
			result.linkLost = true
			c.maybeElsewhere = true
			if result.admitted {
				result.kind = attemptLost
			}
			return result, nil
		}
		switch body := down.GetBody().(type) {
		case *messenger.GenerateDown_Admitted:
			if body.Admitted.GetStart() != nil && body.Admitted.GetStart().GetEpoch() < c.leastEpoch {
				// What the caller has came from a later attempt; this one may differ from it.
				result.kind, result.cause = attemptDeclined, "only an older attempt is left"
				return result, nil
			}
			if err := c.admitted(target, body.Admitted, &result); err != nil {
				return result, err
			}
			l.stallTimeout = c.relayer.stallTimeout()
			stopAcks = l.acknowledge(ctx)
		case *messenger.GenerateDown_Declined:
			c.declined(target, body.Declined, &result)
			return result, nil
		case *messenger.GenerateDown_Tokens:
			if result.firstToken == 0 {
				result.firstToken = time.Since(began)
			}
			var caller *CallerError
			if err := c.take(body.Tokens); errors.As(err, &caller) {
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
			return c.ended(l, body.End, result)
		}
	}
}

func (c *course) admitted(target Target, admitted *messenger.Admitted, result *attemptResult) error {
	result.admitted = true
	c.ran = messenger.Ran_RAN_YES
	result.kind = attemptLost
	result.load = admitted.GetLoad()
	if start := admitted.GetStart(); start != nil {
		c.start = start
		c.generation.Epoch = start.GetEpoch()
	}
	c.relayer.Log.Emit(time.Now(), logger.GenerationStarted, c.generation.ID, logger.F("server", target.Server), logger.F("epoch", c.generation.Epoch))
	cursor := sequencer.Cursor{
		Generation: c.generation.ID, Server: target.Server, Incarnation: admitted.GetIncarnation(),
		Epoch: c.generation.Epoch, Index: int64(max(c.generation.Next, c.callerHas)) - 1,
	}
	if err := c.sink.Moved(cursor, c.start); err != nil {
		return &CallerError{Err: err}
	}
	return nil
}

func (c *course) declined(target Target, declined *messenger.Declined, result *attemptResult) {
	result.kind, result.reason, result.load = attemptDeclined, declined.GetReason(), declined.GetLoad()
	result.retryAfter = time.Duration(declined.GetRetryAfterNanos())
	result.cause = declined.GetReason().String()
	if c.ran == messenger.Ran_RAN_UNKNOWN && !c.maybeElsewhere {
		c.ran = messenger.Ran_RAN_NO
	}
	c.relayer.Log.Emit(time.Now(), logger.GenerationDeclined, c.generation.ID, logger.F("server", target.Server),
		logger.F("reason", declined.GetReason()), logger.F("detail", declined.GetDetail()))
}

// ended delivers the end, if no token is missing, and confirms it to the agent.
func (c *course) ended(l *link, end *messenger.GenerateEnd, result attemptResult) (attemptResult, error) {
	if end.GetEpoch() != c.generation.Epoch || end.GetNextIndex() != c.generation.Next {
		result.kind, result.cause = attemptLost, "the end came at another index than the last token's"
		return result, nil
	}
	// A caller may hang up as soon as it has the end; the agent must hear of it.
	l.forgetCaller()
	if err := c.sink.End(end.GetFinishReason()); err != nil {
		return result, &CallerError{Err: err}
	}
	l.send(&messenger.GenerateUp{Body: &messenger.GenerateUp_Ack{Ack: &messenger.GenerateAck{NextIndex: c.generation.Next}}})
	result.kind, result.cached = attemptEnded, end.GetCachedTokens()
	c.relayer.Log.Emit(time.Now(), logger.GenerationEnded, c.generation.ID, logger.F("tokens", c.generation.Next), logger.F("finish", end.GetFinishReason()))
	return result, nil
}

// acknowledge sends heartbeats to the agent until the returned function is called.
func (l *link) acknowledge(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(ackEvery)
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

// close leaves the attempt; the agent keeps it for a caller's return.
func (l *link) close() {
	l.watch.Stop()
	l.forgetCaller()
	if l.stream != nil {
		_ = l.stream.Close()
	}
	l.cancel(context.Canceled)
}

// recv waits for the next message, but not longer than a stalled link is given.
// Time that the caller takes to read does not count.
func (l *link) recv() (*messenger.GenerateDown, error) {
	l.watch.Reset(l.stallTimeout)
	down, err := l.stream.Recv()
	l.watch.Stop()
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
