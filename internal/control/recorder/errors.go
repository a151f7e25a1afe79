package recorder

import (
	"errors"
	"fmt"
	"syscall"
)

type (
	// DamagedError tells that records which had been synced can't be read any
	// more. The host may have voted or acknowledged what it no longer knows, so
	// it must neither vote nor acknowledge under its identity again.
	DamagedError struct {
		// Path is the damaged file, Offset the first unreadable byte.
		Path   string
		Offset int64
		// ID is the identity that the folder had; empty if that is lost too.
		ID    string
		Cause error
	}

	// FullError tells that the disk refused a write for want of room. What the
	// log holds stays readable, and writing may be tried again.
	FullError struct {
		Cause error
	}

	// FailedError tells that a write or sync failed in a way after which the
	// state of the disk is unknown. The recorder accepts nothing more.
	FailedError struct {
		Cause error
	}
)

// ErrLocked is returned by Open when another process holds the data folder.
var ErrLocked = errors.New("data folder is held by another process")

var (
	_ error = &DamagedError{}
	_ error = &FullError{}
	_ error = &FailedError{}
)

// Error names the damaged place.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %v", e.Path, e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *DamagedError) Unwrap() error { return e.Cause }

// Error tells the cause.
func (e *FullError) Error() string { return fmt.Sprintf("disk is full: %v", e.Cause) }

// Unwrap returns the cause.
func (e *FullError) Unwrap() error { return e.Cause }

// Error tells the cause.
func (e *FailedError) Error() string { return fmt.Sprintf("log can't be written: %v", e.Cause) }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
