package forwarder

import (
	"context"
	"slices"
	"strings"

	"verbenareach/internal/fleet/receiver"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/wire/messenger"
)

type (
	// Dialect holds the header field names and calls that a deployment's clients and backend
	// servers use. All fields are set before first use.
	Dialect struct {
		// RequestID names the field with the request's id, Deadline the one with the time left to
		// answer the request, in milliseconds.
		RequestID string
		Deadline  string
		// Expect names the field with the id of the only backend server that may run the request.
		Expect string
		// Workspace names the field with the workspace of the request's key.
		Workspace string
		// Signature names the field that proves that a response is a backend server's.
		Signature string
		// NotRun names the field that is set on responses to requests that were not run.
		NotRun string
		// RateLimit names the field in which a backend server's answers name the number of requests a
		// second that it takes from all hosts together.
		RateLimit string
		// ColdLeft names the field in which a backend server's answers say for how many milliseconds
		// it will be cold.
		ColdLeft string
		// Leaves names the field in which a backend server that leaves says so in all its answers.
		Leaves string
		// Backup names the field with the address of the engine to copy memory to as it grows.
		// Continue names the one with the memory to resume from: an address, a slash, and the run
		// id of a backup there or the handle of a copy made from there. LastEvent names the one
		// with the id of the last event that the client has.
		Backup    string
		Continue  string
		LastEvent string
		// Reserved holds further fields that clients may not set, in lower case.
		Reserved []string

		// ParseDemand reads the resources that a generation demands from its request.
		ParseDemand func(r *receiver.Request) *messenger.PlaceRequest
		// Copy has the engine at address copy the memory of a run to the engine at address to,
		// and returns the handle of the copy. If stop is set, the run stops first. A handle with
		// an error means that the run has stopped, the copy did not arrive and the source still
		// holds the memory. With stop, a NotStoppedError means that the call did not stop the run, an
		// UnclearStopError that it may have; after any other error it may also do so later.
		Copy func(ctx context.Context, pool *sender.Pool, address, run, to string, stop bool) (CopyHandle, error)
		// Release has the engine at address release a copy of a run's memory. If the copy was made from
		// there, it is released at both engines.
		Release func(ctx context.Context, pool *sender.Pool, address string, handle CopyHandle) error
		// Leaving reports whether the engine at address is about to leave.
		Leaving func(ctx context.Context, pool *sender.Pool, address string) (bool, error)
	}

	// NotStoppedError reports that a call did not stop a run: it did not reach the engine, or the engine
	// said that it did not carry it out.
	NotStoppedError struct {
		Cause error
	}

	// UnclearStopError reports that an engine answered a call to stop a run without telling whether it did.
	UnclearStopError struct {
		Cause error
	}

	// CopyHandle identifies a copy of a run's memory, together with the address of the engine
	// that it was copied from. It is empty if there is none.
	CopyHandle string
)

var (
	_ error = &NotStoppedError{}
	_ error = &UnclearStopError{}
)

// hopByHop holds the header fields that concern a single connection or its framing.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"proxy-connection": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "host": true, "expect": true, "http2-settings": true,
}

// Error returns the text of the cause, with a prefix.
func (e *NotStoppedError) Error() string { return "not stopped: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotStoppedError) Unwrap() error { return e.Cause }

// Error returns the text of the cause, with a prefix.
func (e *UnclearStopError) Error() string { return "unclear whether stopped: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnclearStopError) Unwrap() error { return e.Cause }

// reserved reports whether clients may not set a header field; name is in lower case.
func (d Dialect) reserved(name string) bool {
	own := []string{d.Deadline, d.Expect, d.Workspace, d.Backup, d.Continue, d.LastEvent}
	return slices.Contains(d.Reserved, name) ||
		slices.ContainsFunc(own, func(o string) bool { return strings.EqualFold(o, name) })
}
