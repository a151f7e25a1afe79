// Package acceptor serves DRPC calls from the system's other processes.
package acceptor

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/recoverer"
)

type (
	// Acceptor serves DRPC on one listener. Its fields are set before Run.
	Acceptor struct {
		// Listener must be open; Run closes it.
		Listener net.Listener
		// Register registers the process's services.
		Register func(mux *drpcmux.Mux) error
		// Log receives the panics of calls; nil drops them.
		Log *logger.Logger
	}
)

// Listen opens a TCP listener on an IP address and port.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	return l, eris.Wrapf(err, "listen on %s", address)
}

// Run serves until ctx ends, with one goroutine per connection.
func (a *Acceptor) Run(ctx context.Context) error {
	mux := drpcmux.New()
	if err := a.Register(mux); err != nil {
		return eris.Wrap(err, "register services")
	}
	if err := drpcserver.New(&recoverer.Handler{Handler: mux, Log: a.Log}).Serve(ctx, a.Listener); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "serve")
	}
	return nil
}
