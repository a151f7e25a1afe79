package recorder

import (
	"errors"
	"fmt"
	"syscall"
)

type (
	// DamagedError reports that synced records can no longer be read. The host may have
	// voted for or acknowledged what is lost, so it must neither vote nor acknowledge
	// entries under its identity again.
	DamagedError struct {
		// Path is the damaged file, or the folder if it is no single file. Offset is the
		// file's first unreadable byte.
		Path   string
		Offset int64
		// ID is the identity of the data folder, empty if that is lost too.
		ID    string
		Cause error
	}

	// FullError reports that a write failed because the disk is full. The log stays
	// readable, and the write may be retried.
	FullError struct {
		Cause error
	}

	// FailedError reports that a write or sync failed and left the state of the disk
	// unknown. The recorder makes no further records durable.
	FailedError struct {
		Cause error
	}
)

// ErrLocked is returned by Open when another process holds the lock of the data folder.
var ErrLocked = errors.New("data folder is held by another process")

var (
	_ error = &DamagedError{}
	_ error = &FullError{}
	_ error = &FailedError{}
)

// Error names the damaged file and offset.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %v", e.Path, e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *DamagedError) Unwrap() error { return e.Cause }

// Error includes the cause.
func (e *FullError) Error() string { return fmt.Sprintf("disk is full: %v", e.Cause) }

// Unwrap returns the cause.
func (e *FullError) Unwrap() error { return e.Cause }

// Error includes the cause.
func (e *FailedError) Error() string { return fmt.Sprintf("log can't be written: %v", e.Cause) }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// isFull reports whether err is a full disk or an exhausted quota.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
