package replicator

import (
	"errors"
	"fmt"
)

type (
	// NotLeaderError reports that this host is not the leader, or is transferring the
	// leadership. The proposed command is not committed and never will be.
	NotLeaderError struct {
		// Name and Address identify the leader; both are empty while it is unknown.
		Name    string
		Address string
	}

	// OutcomeUnknownError reports that a command may or may not be committed.
	OutcomeUnknownError struct {
		Cause error
	}

	// NoAnswerError reports that the leader did not answer a read, which may be repeated, as
	// with NotLeaderError.
	NoAnswerError struct {
		// Address is that of the leader that was asked.
		Address string
		Cause   error
	}

	// RefusedError reports that a proposal or a membership change was rejected for
	// a reason that retrying does not resolve. The rejected request has no effect.
	RefusedError struct {
		Reason string
	}
)

var (
	_ error = &NotLeaderError{}
	_ error = &OutcomeUnknownError{}
	_ error = &NoAnswerError{}
	_ error = &RefusedError{}

	// ErrStopped is returned while the host has not started yet, and after it has stopped.
	ErrStopped = errors.New("control host is not running")

	errSnapshotInstalled = errors.New("the log went on from a snapshot")
)

// Error names the leader, if known.
func (e *NotLeaderError) Error() string {
	if e.Name == "" {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader: that is %s at %s", e.Name, e.Address)
}

// Unwrap returns nil: the error has no cause.
func (e *NotLeaderError) Unwrap() error { return nil }

// Error includes the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Error names the leader and includes the cause.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no answer from the leader at %s: %v", e.Address, e.Cause)
}

// Unwrap returns a NotLeaderError and the cause.
func (e *NoAnswerError) Unwrap() []error { return []error{&NotLeaderError{}, e.Cause} }

// Error includes the reason.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// Unwrap returns nil: the error has no cause.
func (e *RefusedError) Unwrap() error { return nil }
