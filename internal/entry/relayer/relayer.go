// Package relayer relays a generation from backend servers to its caller: each token
// once and in order, over as many attempts as needed.
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
	// DefaultStallTimeout is the time without a message after which a link counts as
	// stalled; agents report at least every half second.
	DefaultStallTimeout = 1800 * time.Millisecond
	// DefaultResumeTimeout bounds the search for a backend server that continues a
	// generation.
	DefaultResumeTimeout = 20 * time.Second
	// preemptedTimeout bounds the same search for a generation that was preempted for
	// lack of memory: its caller has already waited long, and still waits.
	preemptedTimeout = 5 * time.Minute

	// reattachTimeout bounds the wait for an agent after its link was lost: a live one
	// answers within a few milliseconds.
	reattachTimeout = 300 * time.Millisecond

	// abandonTries is the number of calls to an agent whose attempt was replaced, and
	// abandonTimeout bounds each; abandonBackoff is the first pause between them and
	// doubles. After that, the agent's own grace period ends the attempt.
	abandonTries   = 5
	abandonBackoff = 500 * time.Millisecond
	abandonTimeout = 2 * time.Second

	// heartbeatInterval is the time between heartbeats to the agent of an admitted attempt.
	heartbeatInterval = time.Second
)

type (
	// Target is a backend server that may take a generation.
	Target struct {
		Server string
		// Address is its agent's IP number and port.
		Address     string
		Incarnation uint64
		// Reserved is the memory that Choose reserved there, in tokens.
		Reserved int
		// Cached is the part of the prompt that Choose expects in its prefix cache, in tokens.
		Cached int
	}

	// Request is a requested generation. It is not changed while it runs.
	Request struct {
		// Start holds the fields that are the same for all attempts.
		Start *messenger.GenerateStart
		// Deadline is the time by which the first attempt must be admitted.
		Deadline time.Time
	}

	// Sink receives a generation. Its functions are called one at a time.
	Sink struct {
		// Admitted is called when an attempt was admitted, before its tokens. The
		// cursor's index is that of the last token delivered; start is the start
		// message that the agent admitted.
		Admitted func(c sequencer.Cursor, start *messenger.GenerateStart) error
		// Tokens delivers tokens; first is the index of the first one.
		Tokens func(first uint64, texts []string) error
		// End is called after the last token of a complete generation.
		End func(finishReason string) error
	}

	// Relayer relays generations. Its fields are set before first use.
	Relayer struct {
		// Pool holds connections to agents.
		Pool *dialer.Pool
		// Choose waits until the deadline for a backend server. It returns one in avoid
		// only if there is no other, and fails if none is found.
		Choose func(ctx context.Context, now time.Time, start *messenger.GenerateStart, avoid []Target, deadline time.Time) (Target, error)
		// Report is called with the outcome of each attempt; it may be nil.
		Report func(now time.Time, target Target, outcome Outcome)
		// StallTimeout and ResumeTimeout are 0 for the defaults.
		StallTimeout  time.Duration
		ResumeTimeout time.Duration
		// Log receives events; nil drops them.
		Log *logger.Logger
	}

	// Outcome is the outcome of an attempt at its backend server.
	Outcome struct {
		// Admitted is false when the backend server declined or wasn't reached.
		Admitted bool
		// Lost is true when the attempt was interrupted.
		Lost bool
		// CallerGone is true when the attempt was given up because the caller is gone.
		CallerGone bool
		// FirstToken is the time to the first token; 0 if there was none.
		FirstToken time.Duration
		// Start is the start message of the attempt, with all tokens delivered so far.
		Start *messenger.GenerateStart
		// Ended is true when the generation was completed.
		Ended bool
		// CachedTokens is the part of the prompt that the engine had in its cache, in
		// tokens; it is set only if Ended is true.
		CachedTokens int
		// Reason is set when the backend server declined, and when the attempt was
		// lost by preemption.
		Reason messenger.DeclineReason
		// RetryAfter is the time after which the backend server may have room; 0 if unknown.
		RetryAfter time.Duration
		// Load is the last load that the backend server reported; nil if none.
		Load *messenger.Load
		// Tokens is how many tokens the attempt delivered.
		Tokens uint64
	}

	// NotRunError proves that no backend server ran the generation.
	NotRunError struct {
		Cause error
	}

	// IncompleteError reports a generation that could not be continued.
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

	// CallerError reports that the caller is gone. The agent keeps the generation in case
	// the caller comes back.
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

// Error returns why nothing ran.
func (e *NotRunError) Error() string { return fmt.Sprintf("not run: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// Error returns the cause and the number of tokens delivered.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("incomplete after %d tokens: %s", e.Next, e.Cause)
}

// Error returns the engine's message.
func (e *RefusedError) Error() string { return e.Cause }

// Error returns why the caller can't be reached.
func (e *CallerError) Error() string { return fmt.Sprintf("caller is gone: %v", e.Err) }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Err }

// Error names the generation.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no generation %s", e.ID) }

// Relay runs a generation and delivers all of it to sink. It fails with a NotRunError, a
// RefusedError, an IncompleteError or a CallerError.
func (r *Relayer) Relay(ctx context.Context, req Request, sink Sink) error {
	d := r.newDelivery(req.Start, sink)
	return d.run(ctx, req.Deadline)
}

// Resume continues a generation that an agent holds, for a caller who has all tokens up
// to the cursor's. It fails with a NotFoundError if target's agent does not hold it or does
// not answer, and otherwise with an IncompleteError or a CallerError.
func (r *Relayer) Resume(ctx context.Context, workspace string, cursor sequencer.Cursor, target Target, sink Sink) error {
	d := r.newDelivery(&messenger.GenerateStart{GenerationId: cursor.Generation, Workspace: workspace}, sink)
	d.callerTokens = uint64(cursor.Index + 1)
	d.minEpoch = cursor.Epoch
	result, err := d.attach(ctx, target)
	if err != nil {
		return err
	}
	switch result.kind {
	case attemptDeclined, attemptUnreached:
		return &NotFoundError{ID: cursor.Generation}
	case attemptEnded:
		return nil
	default:
		return d.resume(ctx, target, result)
	}
}

// newDelivery returns the delivery of a generation from its first token and epoch on.
func (r *Relayer) newDelivery(start *messenger.GenerateStart, sink Sink) *delivery {
	return &delivery{
		relayer: r, start: start, sink: sink, ran: messenger.Ran_RAN_NO,
		generation: sequencer.Generation{ID: start.GetGenerationId(), Epoch: 1},
	}
}

// report calls Report, if it is set, with the outcome of an attempt.
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

// asNotRun wraps an error of Choose before the first attempt in a NotRunError. It
// returns a CallerError as it is.
func asNotRun(err error) error {
	var caller *CallerError
	if errors.As(err, &caller) {
		return err
	}
	return &NotRunError{Cause: eris.Cause(err)}
}

// Cancel ends a generation at the agent that holds it. It fails with a NotFoundError if
// target's agent does not hold the generation, and with another error if it does not answer.
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
