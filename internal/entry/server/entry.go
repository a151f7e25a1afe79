// Package server implements the entry role: it serves the HTTP requests of callers.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/entry/booker"
	"verbenareach/internal/entry/limiter"
	"verbenareach/internal/entry/relayer"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/report/reporter"
	"verbenareach/internal/wire/acceptor"
)

const (
	// DefaultMaxBodyBytes bounds a request's body.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultRequestTimeout is how long a request may wait to be admitted.
	DefaultRequestTimeout = 30 * time.Second

	// readHeaderTimeout and bodyTimeout bound the time to read a request.
	readHeaderTimeout = 10 * time.Second
	bodyTimeout       = 30 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 30 * time.Second
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = 2 * time.Minute
	// keepAliveInterval is the time without events after which a stream gets a comment.
	keepAliveInterval = 10 * time.Second
)

type (
	// Permit is a caller's share of its workspace's limits for one request.
	Permit struct {
		// Spend counts n delivered tokens; it may be nil.
		Spend func(now time.Time, n int)
		// Release is called at the end of the request; it may be nil.
		Release func(now time.Time)
	}

	// Entry is one running entry. Its exported fields are set before Run.
	Entry struct {
		Name string
		// Listener is for callers, PeerListener for other processes. Run closes both.
		Listener     net.Listener
		PeerListener net.Listener
		// View returns the newest state of control that this entry has.
		View func() registrar.View
		// Ready reports whether the entry has the state that it needs to serve.
		Ready func(now time.Time) bool
		// Acquire takes a permit from the contract's limits or fails with a
		// limiter.RefusedError. If nil, there are no limits.
		Acquire func(ctx context.Context, now time.Time, contract registrar.Contract, demand limiter.Demand) (Permit, error)
		// Relayer runs generations, Booker calls to plain services.
		Relayer *relayer.Relayer
		Booker  *booker.Booker
		// RegisterServices registers the services that other processes call.
		RegisterServices func(mux *drpcmux.Mux) error
		// StopNotice is how long the health check fails before the listener closes, so
		// that the load balancer stops sending callers.
		StopNotice time.Duration
		// MaxBodyBytes and RequestTimeout are 0 for the defaults.
		MaxBodyBytes   int64
		RequestTimeout time.Duration
		// Reporter counts service levels; nil counts nothing.
		Reporter *reporter.Reporter
		// Log receives events; nil drops them.
		Log *logger.Logger

		// stopping is set when a planned stop begins.
		stopping atomic.Bool
		// requests numbers the requests for their ids.
		requests atomic.Uint64
	}
)

// Run serves until ctx ends. Then it accepts no new requests, waits without a time limit
// for those in progress, and returns.
func (e *Entry) Run(ctx context.Context) error {
	if e.MaxBodyBytes == 0 {
		e.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if e.RequestTimeout == 0 {
		e.RequestTimeout = DefaultRequestTimeout
	}
	e.Log.Emit(time.Now(), logger.EntryStarted, "", logger.F("name", e.Name), logger.F("address", e.Listener.Addr().String()))
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	callers := &http.Server{Handler: e.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	peers := &acceptor.Acceptor{Listener: e.PeerListener, Register: e.RegisterServices, Log: e.Log}
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return peers.Run(serving) })
	g.Go(func() error {
		err := callers.Serve(e.Listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(err, "serve callers")
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
			e.drain(callers)
		case <-serving.Done():
			_ = callers.Close()
		}
		stopServing()
		return nil
	})
	err := g.Wait()
	e.Log.Emit(time.Now(), logger.EntryStopped, "", logger.F("name", e.Name))
	return err
}

// drain stops serving callers and returns when no request is in progress.
func (e *Entry) drain(callers *http.Server) {
	e.Log.Emit(time.Now(), logger.EntryStopping, "", logger.F("name", e.Name))
	e.stopping.Store(true)
	time.Sleep(e.StopNotice)
	_ = callers.Shutdown(context.Background())
}

func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveGeneration)
	mux.HandleFunc("POST /v1/completions", e.serveGeneration)
	mux.HandleFunc("GET /v1/generations/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/generations/{id}", e.serveCancel)
	mux.HandleFunc("/v1/services/{service}/{path...}", e.serveCall)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("GET /healthz", e.serveHealth)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, refuse(http.StatusNotFound, "unknownPath", "there is nothing at this path"))
	})
	return mux
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || !e.Ready(time.Now()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
