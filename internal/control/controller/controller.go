// Package controller is the control role: it combines the replicated state, its
// distribution and the services of one control host.
package controller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/distributor"
	"verbenareach/internal/control/registrar"
	"verbenareach/internal/control/replicator"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/operator/responder"
	"verbenareach/internal/wire/recoverer"
)

type (
	// Controller is one control host. Its exported fields are set before Run.
	Controller struct {
		// Name is unique among all processes.
		Name string
		// Settings are the settings of this control host.
		Settings parser.Control
		// Log receives the events; nil for none.
		Log *logger.Logger
		// Started, if not nil, is called once the followers' listener is open; from
		// then on Propose may be called.
		Started func()
		// RegisterServices registers further services that other processes call; nil for
		// none.
		RegisterServices func(mux *drpcmux.Mux) error

		// mu guards state. The log calls apply in its order.
		mu    sync.Mutex
		state *registrar.State
		// propose commits a command and returns once it is applied on this host.
		propose func(ctx context.Context, command []byte) (index uint64, result []byte, err error)
		// confirm is a quorum read: it returns an index that covers every command
		// committed before the call, once that index is applied on this host.
		confirm     func(ctx context.Context) (index uint64, err error)
		distributor *distributor.Distributor
		peers       *peers
		// replicator replicates the log among the control hosts, and transport carries
		// its requests; both are nil for a host without a data folder.
		replicator *replicator.Replicator
		transport  *replicator.Transport
		markPusher *markPusher
		// background counts the goroutines that outlast a request.
		background sync.WaitGroup
	}
)

const (
	// tickEvery is the time between two ticks of the replicated clock.
	tickEvery = 5 * time.Second
	// reconnectGrace is how long after a start of this host its former members have
	// to reconnect.
	reconnectGrace = 15 * time.Second
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	// proposeTimeout bounds a proposal until it is applied on this host, and the wait
	// for open operators' requests at a stop.
	proposeTimeout = 5 * time.Second
)

// Run serves until ctx ends or a part of the host fails, and returns the failure.
func (c *Controller) Run(ctx context.Context) (err error) {
	c.state = registrar.NewState()
	c.chooseLog()
	c.distributor = &distributor.Distributor{
		Host: c.Name, Propose: c.Propose, ConfirmRead: c.confirmRead, Log: c.Log,
	}
	c.peers = newPeers(c.otherHosts)
	c.markPusher = &markPusher{c: c}
	defer func() { err = errors.Join(err, c.peers.pool.Close()) }()
	mux := drpcmux.New()
	if err := c.register(mux); err != nil {
		return eris.Wrap(err, "register services")
	}
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", c.Settings.Listen)
	if err != nil {
		return eris.Wrap(err, "listen for followers")
	}
	if c.Started != nil {
		c.Started()
	}
	g, ctx := errgroup.WithContext(ctx)
	// serving outlives ctx, so that the leadership can be transferred before this host
	// stops answering.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	if err := c.serveOperators(ctx, g); err != nil {
		return errors.Join(err, lis.Close())
	}
	c.Log.Emit(time.Now(), logger.ControlStarted, "", logger.F("listen", lis.Addr().String()))
	server := drpcserver.NewWithOptions(&recoverer.Handler{Handler: mux, Log: c.Log}, replicator.ServerOptions())
	g.Go(func() error { return eris.Wrap(server.Serve(serving, replicator.Listener(lis)), "serve followers") })
	g.Go(func() error { return c.runReplicator(serving) })
	g.Go(func() error {
		<-ctx.Done()
		c.transferLeadership(serving)
		stopServing()
		return nil
	})
	g.Go(func() error { return c.distributor.Run(ctx) })
	g.Go(func() error { return c.tick(ctx) })
	g.Go(func() error {
		c.peers.exchangeLoads(ctx, c.distributor.SendLoads)
		return nil
	})
	err = g.Wait()
	c.background.Wait()
	c.Log.Emit(time.Now(), logger.ControlStopped, "")
	return err
}

// serveOperators serves operators' HTTP requests in goroutines of g until ctx ends,
// if the settings name a listener.
func (c *Controller) serveOperators(ctx context.Context, g *errgroup.Group) error {
	if c.Settings.OperatorListen == "" {
		return nil
	}
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", c.Settings.OperatorListen)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	s := &responder.Responder{
		KeySHA256: c.Settings.OperatorKeySHA256, Propose: c.Propose, ConfirmRead: c.barrier,
		View: func() registrar.View { return c.distributor.View() }, History: c.history,
		Servers: c.servers, InForce: c.inForce,
		ConfirmMark: func(m registrar.Mark) { c.markPusher.start(ctx, m) }, Routes: c.addRoutes, Log: c.Log,
	}
	server := &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
	g.Go(func() error {
		if err := server.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve operators")
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeTimeout)
		defer cancel()
		return eris.Wrap(server.Shutdown(stop), "stop serving operators")
	})
	return nil
}

// tick renews this host's lease on its members and, unless another host has done so
// since the last round, advances the replicated clock. Once reconnectGrace has
// passed, it also removes the members that were lost.
func (c *Controller) tick(ctx context.Context) error {
	last, lastNumber := time.Now(), c.ticks()
	began := last
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(tickEvery):
		}
		renew := registrar.Command{Renew: &registrar.RenewHost{Host: c.Name}}
		if _, err := c.Propose(ctx, renew); err != nil {
			continue
		}
		now, number := time.Now(), c.ticks()
		if now.Sub(began) > reconnectGrace {
			c.expireLostMembers(ctx)
		}
		if number != lastNumber {
			last, lastNumber = now, number
			continue
		}
		t := registrar.Tick{Number: number + 1, Elapsed: registrar.Duration(now.Sub(last))}
		if _, err := c.Propose(ctx, registrar.Command{Tick: &t}); err == nil {
			last, lastNumber = now, c.ticks()
		}
	}
}

// expireLostMembers removes the members that belong to this host in the replicated
// state but don't follow it: they were lost while it was down.
func (c *Controller) expireLostMembers(ctx context.Context) {
	c.mu.Lock()
	commands := c.state.ExpireCommands(c.Name)
	c.mu.Unlock()
	for _, e := range commands {
		if c.distributor.HasFollower(e.Name, e.Incarnation) {
			continue
		}
		// Without a quorum the removal is retried at the next tick.
		_, _ = c.Propose(ctx, registrar.Command{Expire: &e})
	}
}
