// Package relayer carries one generation from backend servers to its caller:
// each token once, in order, over as many attempts as it takes.
package relayer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/generation/sequencer"
	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

const (
	// DefaultStallTimeout is after how long without a word a link counts as
	// stalled; agents report at least every half second.
	DefaultStallTimeout = 1800 * time.Millisecond
	// DefaultResumeTimeout bounds the search for a backend server that goes on
	// with a generation.
	DefaultResumeTimeout = 20 * time.Second
	// preemptedTimeout bounds that search for a generation that gave way for
	// memory: its caller has waited for long and waits on.
	preemptedTimeout = 5 * time.Minute

	// reattachTimeout bounds the wait for an agent whose link was lost: one that
	// lives answers within a few milliseconds.
	reattachTimeout = 300 * time.Millisecond

	// abandonTries and abandonPause bound the tries to reach an agent whose
	// attempt was left; the pause doubles. After that, the agent's own grace ends it.
	abandonTries   = 5
	abandonPause   = 500 * time.Millisecond
	abandonTimeout = 2 * time.Second

	ackEvery = time.Second
)

type (
	// Target is a backend server that may take a generation.
	Target struct {
		Server string
		// Address is its agent's IP number and port.
		Address     string
		Incarnation uint64
		// Reserved is what Choose counted for the generation there, in tokens.
		Reserved int
		// Cached is how much of the prompt Choose held it to have, in tokens.
		Cached int
	}

	// Request is a generation to be made. It is not changed once it runs.
	Request struct {
		// Start holds all that does not differ between attempts.
		Start *messenger.GenerateStart
		// Deadline is until when the first attempt must be admitted.
		Deadline time.Time
	}

	// Sink is where a generation goes. Calls come one after the other.
	Sink struct {
		// Moved is called when an attempt was admitted, before its tokens. The
		// cursor's index is that of the last token delivered; start tells how the
		// generation began.
		Moved func(c sequencer.Cursor, start *messenger.GenerateStart) error
		// Tokens delivers tokens; the index of the first one is first.
		Tokens func(first uint64, texts []string) error
		// End tells that the generation is whole.
		End func(finishReason string) error
	}

	// Relayer carries generations. Its fields are set before first use.
	Relayer struct {
		// Pool holds connections to agents.
		Pool *dialer.Pool
		// Choose waits for a backend server that is not in avoid, until the
		// deadline. It fails when there will be none.
		Choose func(ctx context.Context, now time.Time, start *messenger.GenerateStart, avoid []Target, deadline time.Time) (Target, error)
		// Report tells how an attempt went; nil for nobody to tell.
		Report func(now time.Time, target Target, outcome Outcome)
		// StallTimeout and ResumeTimeout are 0 for the defaults.
		StallTimeout  time.Duration
		ResumeTimeout time.Duration
		// Log receives events; nil drops them.
		Log *logger.Logger
	}

	// Outcome is how an attempt ended, as far as its backend server is concerned.
	Outcome struct {
		// Admitted is false when the backend server declined or wasn't reached.
		Admitted bool
		// Lost is true when the attempt broke off.
		Lost bool
		// CallerGone is true when the attempt was left because of the caller.
		CallerGone bool
		// FirstToken is the time to the first token; 0 if none came.
		FirstToken time.Duration
		// Start is what the backend server was asked for, with all tokens delivered
		// by now.
		Start *messenger.GenerateStart
		// Ended is true when the generation came to its own end.
		Ended bool
		// CachedTokens is the part of the prompt that the engine had in its cache,
		// known when the generation ended.
		CachedTokens int
		// Reason is set when the backend server declined, and when an attempt was
		// lost as it gave way to others.
		Reason messenger.DeclineReason
		// RetryAfter is when the backend server may have room; 0 if it doesn't tell.
		RetryAfter time.Duration
		// Load is what the backend server last told; nil if nothing.
		Load *messenger.Load
		// Tokens is how many tokens the attempt delivered.
		Tokens uint64
	}

	// NotRunError proves that no backend server took the generation.
	NotRunError struct {
		Cause error
	}

	// IncompleteError reports a generation that nothing could go on with.
	IncompleteError struct {
		Cause string
		// Next is the index up to which tokens were delivered.
		Next uint64
		// Ran is RAN_YES when a backend server admitted the generation, RAN_UNKNOWN
		// when one may have.
		Ran messenger.Ran
	}

	// RefusedError reports a request that the engine refused before it ran.
	RefusedError struct {
		// Status is the engine's HTTP status.
		Status int
		Cause  string
	}

	// CallerError reports that the caller is gone; the generation waits for its return.
	CallerError struct {
		Err error
	}

	// NotFoundError reports a generation that no agent holds.
	NotFoundError struct {
		ID string
	}
)

var (
	_ error = &NotRunError{}
	_ error = &IncompleteError{}
	_ error = &RefusedError{}
	_ error = &CallerError{}
	_ error = &NotFoundError{}
)

// Error tells why nothing ran.
func (e *NotRunError) Error() string { return fmt.Sprintf("not run: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// Error tells the cause.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("incomplete after %d tokens: %s", e.Next, e.Cause)
}

// Error tells the engine's words.
func (e *RefusedError) Error() string { return e.Cause }

// Error tells why the caller can't be reached.
func (e *CallerError) Error() string { return fmt.Sprintf("caller is gone: %v", e.Err) }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Err }

// Error names the generation.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no generation %s", e.ID) }

// Relay makes a generation and delivers it whole, or fails with a NotRunError,
// an IncompleteError or a CallerError.
func (r *Relayer) Relay(ctx context.Context, req Request, sink Sink) error {
	c := r.course(req.Start, sink)
	return c.run(ctx, req.Deadline)
}

// Resume goes on with a generation that an agent holds, for a caller who has all
// tokens up to the cursor's. It fails with a NotFoundError if the agent does not
// hold it, else as Relay does.
func (r *Relayer) Resume(ctx context.Context, workspace string, cursor sequencer.Cursor, target Target, sink Sink) error {
	c := r.course(&messenger.GenerateStart{GenerationId: cursor.Generation, Workspace: workspace}, sink)
	c.callerHas = uint64(cursor.Index + 1)
	c.leastEpoch = cursor.Epoch
	result, err := c.attach(ctx, target)
	if err != nil {
		return err
	}
	switch result.kind {
	case attemptDeclined, attemptUnreached:
		return &NotFoundError{ID: cursor.Generation}
	case attemptEnded:
		return nil
	default:
		return c.resume(ctx, target, result)
	}
}

func (r *Relayer) course(start *messenger.GenerateStart, sink Sink) *course {
	return &course{
		relayer: r, start: start, sink: sink, ran: messenger.Ran_RAN_NO,
		generation: sequencer.Generation{ID: start.GetGenerationId(), Epoch: 1},
	}
}

func (r *Relayer) report(start *messenger.GenerateStart, target Target, result attemptResult) {
	if r.Report == nil {
		return
	}
	r.Report(time.Now(), target, Outcome{
		Admitted: result.admitted, Lost: result.kind == attemptLost, Reason: result.reason,
		Start: start, Ended: result.kind == attemptEnded, CachedTokens: int(result.cached), Load: result.load, Tokens: result.tokens, CallerGone: result.callerGone, FirstToken: result.firstToken,
		RetryAfter: result.retryAfter,
	})
}

func (r *Relayer) resumeTimeout() time.Duration {
	if r.ResumeTimeout == 0 {
		return DefaultResumeTimeout
	}
	return r.ResumeTimeout
}

func (r *Relayer) stallTimeout() time.Duration {
	if r.StallTimeout == 0 {
		return DefaultStallTimeout
	}
	return r.StallTimeout
}

// asNotRun wraps what kept a generation from being taken by anyone.
func asNotRun(err error) error {
	var caller *CallerError
	if errors.As(err, &caller) {
		return err
	}
	return &NotRunError{Cause: eris.Cause(err)}
}

// Cancel ends a generation at the agent that holds it.
func (r *Relayer) Cancel(ctx context.Context, workspace, generation string, target Target) error {
	l, err := r.open(ctx, target, r.stallTimeout())
	if err != nil {
		return eris.Wrap(err, "cancel")
	}
	defer l.close()
	attach := &messenger.GenerateAttach{GenerationId: generation, Workspace: workspace, Incarnation: target.Incarnation}
	l.send(&messenger.GenerateUp{Body: &messenger.GenerateUp_Attach{Attach: attach}})
	l.send(&messenger.GenerateUp{Body: &messenger.GenerateUp_Cancel{Cancel: &messenger.GenerateCancel{Cause: "the caller asked"}}})
	for {
		down, err := l.recv()
		if err != nil {
			return eris.Wrap(err, "cancel")
		}
		switch down.GetBody().(type) {
		case *messenger.GenerateDown_Declined:
			return &NotFoundError{ID: generation}
		case *messenger.GenerateDown_End, *messenger.GenerateDown_Failed:
			return nil
		}
	}
}
