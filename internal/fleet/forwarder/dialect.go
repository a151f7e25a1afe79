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
	// Dialect holds the header fields and calls of the backend servers and clients that
	// a deployment has. All fields are set before first use.
	Dialect struct {
		// RequestID names the request; Deadline holds the milliseconds that are left.
		RequestID string
		Deadline  string
		// Expect names the backend server that alone may run the request.
		Expect string
		// Workspace names the workspace of the request's key.
		Workspace string
		// Signature proves that an answer is a backend server's.
		Signature string
		// NotRun is on answers that say that the request was not run.
		NotRun string
		// Backup names the engine to which memory is copied, Continue where it is taken
		// from, LastEvent the last event that the client has.
		Backup    string
		Continue  string
		LastEvent string
		// Reserved are further fields that clients may not set, in lower case.
		Reserved []string

		// Demand reads what a generation asks for from its request.
		Demand func(r *receiver.Request) *messenger.PlaceRequest
		// Copy has the engine at address copy the memory of a run to another engine. With
		// stop the run ends there. It returns the handle of the copy.
		Copy func(ctx context.Context, pool *sender.Pool, address, run, to string, stop bool) (Handle, error)
		// Release has the engine at address give back a copy of a run's memory.
		Release func(ctx context.Context, pool *sender.Pool, address string, handle Handle) error
	}

	// Handle names a copy of a run's memory at the engine that it was copied from; it is
	// empty where there is none.
	Handle string
)

// hopByHop are the header fields that concern one connection only, or framing.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"proxy-connection": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"content-length": true, "host": true, "expect": true, "http2-settings": true,
}

// reserved tells whether the system sets a header field itself.
func (d Dialect) reserved(name string) bool {
	own := []string{d.Deadline, d.Expect, d.Workspace, d.Backup, d.Continue, d.LastEvent}
	return slices.Contains(d.Reserved, name) ||
		slices.ContainsFunc(own, func(o string) bool { return strings.EqualFold(o, name) })
}
