package replicator

import (
	"errors"
	"fmt"
)

type (
	// NotLeaderError tells that this host is not the leader. What was proposed
	// is not committed and never will be.
	NotLeaderError struct {
		// Name and Address are those of the leader; empty while none is known.
		Name    string
		Address string
	}

	// OutcomeUnknownError tells that a command may or may not be committed.
	OutcomeUnknownError struct {
		Cause error
	}

	// RefusedError tells that a proposal or a change of the membership was
	// refused for a reason that does not pass by itself. It has no effect.
	RefusedError struct {
		Reason string
	}
)

var (
	_ error = &NotLeaderError{}
	_ error = &OutcomeUnknownError{}
	_ error = &RefusedError{}

	// ErrStopped is returned once the host has stopped or has not started yet.
	ErrStopped = errors.New("control host is not running")

	errReplaced = errors.New("the log went on from a snapshot")
)

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Name == "" {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader: that is %s at %s", e.Name, e.Address)
}

// Unwrap returns nil: the error has no cause.
func (e *NotLeaderError) Unwrap() error { return nil }

// Error tells the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Error tells the reason.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// Unwrap returns nil: the error has no cause.
func (e *RefusedError) Unwrap() error { return nil }
