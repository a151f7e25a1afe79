// Package recoverer keeps a panic in the handling of one request or message from ending the
// process, which serves many others.
package recoverer

import (
	"fmt"
	"runtime/debug"
	"time"

	"storj.io/drpc"

	"verbenareach/internal/event/logger"
)

type (
	// Handler handles calls of other processes with Handler. A call that panics fails.
	Handler struct {
		drpc.Handler
		Log *logger.Logger
	}

	// PanicError reports that the handling of a call panicked.
	PanicError struct {
		Value any
	}
)

var (
	_ drpc.Handler = &Handler{}
	_ error        = &PanicError{}
)

// Error returns the value of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("internal error: %v", e.Value) }

// HandleRPC handles one call.
func (h *Handler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	if failure := Run(h.Log, rpc, func() { err = h.Handler.HandleRPC(stream, rpc) }); failure != nil {
		return failure
	}
	return err
}

// Run runs a task about subject, which may be empty. If the task panics, Run logs that with the
// stack and returns a PanicError. Locks that the task holds without a deferred unlock stay held.
func Run(log *logger.Logger, subject string, task func()) (failure error) {
	defer func() {
		if value := recover(); value != nil {
			log.Emit(time.Now(), logger.TaskPanicked, subject, logger.F("value", fmt.Sprint(value)), logger.F("stack", string(debug.Stack())))
			failure = &PanicError{Value: value}
		}
	}()
	task()
	return nil
}
