// Package acceptor serves DRPC calls from the system's other processes.
package acceptor

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcmanager"
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
		// IdleTimeout is how long a connection without a call is kept; 0 for DefaultIdleTimeout.
		IdleTimeout time.Duration
		// Log receives the panics of calls; nil drops them.
		Log *logger.Logger
	}
)

// DefaultIdleTimeout is how long a connection without a call is kept. A caller that went silent
// never closes its own.
const DefaultIdleTimeout = 2 * time.Minute

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
	server := drpcserver.NewWithOptions(&recoverer.Handler{Handler: mux, Log: a.Log}, a.options())
	if err := server.Serve(ctx, a.Listener); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "serve")
	}
	return nil
}

func (a *Acceptor) options() drpcserver.Options {
	idle := a.IdleTimeout
	if idle == 0 {
		idle = DefaultIdleTimeout
	}
	return drpcserver.Options{Manager: drpcmanager.Options{InactivityTimeout: idle}}
}
