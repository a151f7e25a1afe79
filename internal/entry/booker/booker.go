// Package booker makes calls to plain services: repeatable calls with retries, all others
// at most once. Those need a claim, which assigns an idempotency key to one backend server;
// control commits it before the call is sent.
package booker

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"verbenareach/internal/entry/retrier"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/pauser"
)

const (
	// resolveTimeout bounds the time to find out the outcome of a claim.
	resolveTimeout = 5 * time.Second
	// recordTimeout bounds the time to commit the outcome or refusal of a claim.
	recordTimeout = 5 * time.Second
)

type (
	// Target is a backend server that may take a call.
	Target struct {
		Server      string
		Address     string
		Incarnation uint64
	}

	// Request is one call of a caller.
	Request struct {
		// ID identifies the call in events.
		ID        string
		Workspace string
		Service   string
		Method    string
		Path      string
		Headers   []*messenger.Header
		Body      []byte
		// Repeatable is true if the call may run more than once.
		Repeatable bool
		// Key is the idempotency key. KeyFromCaller is true if the caller chose it and
		// so may send it again.
		Key           string
		KeyFromCaller bool
		// Deadline ends the attempts. A claimed call may take longer, up to resolveTimeout
		// and recordTimeout, until its outcome is known and committed.
		Deadline time.Time
	}

	// Booker makes calls. Its fields are set before first use.
	Booker struct {
		Pool *dialer.Pool
		// Choose waits until ctx ends for a backend server with the service. It returns
		// one in avoid only if there is no other.
		Choose func(ctx context.Context, now time.Time, service string, avoid []Target) (Target, error)
		// Claim commits a claim; after an error it may have been committed or not.
		Claim func(ctx context.Context, r *messenger.ClaimRequest) (*messenger.ClaimReply, error)
		// RecordOutcome and RecordRefusal commit the outcome of a claim. The reply holds
		// the outcome that was committed first.
		RecordOutcome func(ctx context.Context, claim *messenger.Claim, outcome *messenger.CallReply) (*messenger.ClaimReply, error)
		RecordRefusal func(ctx context.Context, claim *messenger.Claim) (*messenger.ClaimReply, error)
		// Report is called once for each target from Choose to which the call was to be sent;
		// answered is true if it has an answer. Release is called instead if nothing was to be
		// sent, as the claim failed or was not granted: that says nothing of the target.
		Report  func(now time.Time, target Target, answered bool)
		Release func(target Target)
		// AddressOf returns the address of a backend server's agent; false if it is unknown.
		AddressOf func(server string) (string, bool)
		// Budget bounds the retries of repeatable calls that may have run; nil for no
		// bound. A decline proves that nothing ran, so another attempt is no retry.
		Budget *retrier.Budget
		// Backoff determines the pauses between attempts of a repeatable call, and between
		// attempts to resolve a claim.
		Backoff retrier.Backoff
		// Log receives events; nil drops them.
		Log *logger.Logger
	}

	// NotRunError proves that a call did not run.
	NotRunError struct {
		Cause error
	}

	// UnknownError reports a call that may have run.
	UnknownError struct {
		Cause error
	}

	// ConflictError reports an idempotency key that was used with another request.
	ConflictError struct {
		Key string
	}
)

var (
	_ error = &NotRunError{}
	_ error = &UnknownError{}
	_ error = &ConflictError{}
)

// Error returns why the call did not run.
func (e *NotRunError) Error() string { return fmt.Sprintf("not run: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// Error returns why the outcome is unknown.
func (e *UnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Error names the key.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("idempotency key %q was used with another request", e.Key)
}

// Digest returns a hash of service, method, path and body. Two requests under one key are
// the same if their digests are equal.
func (req Request) Digest() []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%d %s %s %d %s ", len(req.Service), req.Service, req.Method, len(req.Path), req.Path)
	h.Write(req.Body)
	return h.Sum(nil)
}

// Call makes a call. It fails with a NotRunError, an UnknownError or a ConflictError.
func (b *Booker) Call(ctx context.Context, req Request) (*messenger.CallReply, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if req.Repeatable {
		return b.callRepeatable(ctx, req)
	}
	return b.callOnce(ctx, req)
}

// callRepeatable tries backend servers until one answers, ctx ends or the budget is used
// up.
func (b *Booker) callRepeatable(ctx context.Context, req Request) (*messenger.CallReply, error) {
	var avoid []Target
	mayHaveRun := false
	var cause error
	if b.Budget != nil {
		b.Budget.RecordRequest(time.Now())
	}
	for {
		target, err := b.Choose(ctx, time.Now(), req.Service, avoid)
		if err != nil {
			return nil, callError(mayHaveRun, errors.Join(err, cause))
		}
		reply, err := b.send(ctx, req, target, nil)
		b.Report(time.Now(), target, err == nil && reply.GetRan() == messenger.Ran_RAN_YES)
		if err == nil && reply.GetRan() == messenger.Ran_RAN_YES {
			b.Log.Emit(time.Now(), logger.CallAnswered, req.ID, logger.F("server", target.Server), logger.F("status", reply.GetStatus()))
			return reply, nil
		}
		uncertain := err != nil || reply.GetRan() == messenger.Ran_RAN_UNKNOWN
		mayHaveRun = mayHaveRun || uncertain
		cause = attemptError(reply, err)
		if ctx.Err() != nil || uncertain && b.Budget != nil && !b.Budget.Allow(time.Now()) {
			return nil, callError(mayHaveRun, cause)
		}
		b.Log.Emit(time.Now(), logger.CallRetried, req.ID, logger.F("left", target.Server), logger.F("cause", cause))
		avoid = append(avoid, target)
		pauser.Pause(ctx, b.Backoff.Pause(len(avoid)))
	}
}

// send sends a call to the agent of target. claim is nil for a repeatable call. After an
// error the call may have run or not.
func (b *Booker) send(ctx context.Context, req Request, target Target, claim *messenger.Claim) (*messenger.CallReply, error) {
	b.Log.Emit(time.Now(), logger.CallSent, req.ID, logger.F("server", target.Server), logger.F("epoch", claim.GetEpoch()))
	conn := b.Pool.Conn(ctx, target.Address)
	defer func() { _ = conn.Close() }()
	return messenger.NewDRPCAgentClient(conn).Call(ctx, &messenger.CallRequest{
		CallId: req.ID, Workspace: req.Workspace, Service: req.Service, Method: req.Method, Path: req.Path,
		Headers: req.Headers, Body: req.Body, Deadline: req.Deadline.UnixNano(), Claim: claim, Incarnation: target.Incarnation,
	})
}

// callError returns an UnknownError if the call may have run, and a NotRunError otherwise.
func callError(mayHaveRun bool, cause error) error {
	if mayHaveRun {
		return &UnknownError{Cause: cause}
	}
	return &NotRunError{Cause: cause}
}

// attemptError returns err, or for nil an error that names the reason of reply.
func attemptError(reply *messenger.CallReply, err error) error {
	if err != nil {
		return err
	}
	return fmt.Errorf("%s %s", reply.GetReason(), reply.GetDetail())
}
