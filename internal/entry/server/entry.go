// Package server is the entry role: it takes callers' HTTP requests and answers
// them whole and in order.
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

	// readHeaderTimeout and bodyTimeout bound what a slow caller takes to send.
	readHeaderTimeout = 10 * time.Second
	bodyTimeout       = 30 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 30 * time.Second
	idleTimeout  = 2 * time.Minute
	// keepAliveEvery is how often a silent stream gets a comment line.
	keepAliveEvery = 10 * time.Second
)

type (
	// Permit is a caller's share of its workspace's limits for one request.
	Permit struct {
		// Spend notes n delivered tokens; nil notes nothing.
		Spend func(now time.Time, n int)
		// Release ends the request; nil ends nothing.
		Release func(now time.Time)
	}

	// Entry is one running entry. Its exported fields are set before Run.
	Entry struct {
		Name string
		// Listener is for callers, PeerListener for other processes. Run closes both.
		Listener     net.Listener
		PeerListener net.Listener
		// View returns the newest agreed state known here.
		View func() registrar.View
		// Ready tells whether the entry knows enough to serve.
		Ready func(now time.Time) bool
		// Acquire takes a permit from the contract's limits or fails with a
		// limiter.RefusedError; nil takes none.
		Acquire func(ctx context.Context, now time.Time, contract registrar.Contract, demand limiter.Demand) (Permit, error)
		// Relayer makes generations, Booker calls.
		Relayer *relayer.Relayer
		Booker  *booker.Booker
		// RegisterPeer adds the services that other processes call.
		RegisterPeer func(mux *drpcmux.Mux) error
		// StopNotice is how long the health check fails before the listener closes,
		// so that the balancer sends no more callers.
		StopNotice time.Duration
		// MaxBodyBytes and RequestTimeout are 0 for the defaults.
		MaxBodyBytes   int64
		RequestTimeout time.Duration
		// Reporter counts service levels; nil counts none.
		Reporter *reporter.Reporter
		// Log receives events; nil drops them.
		Log *logger.Logger

		// stopping is set by a planned stop.
		stopping atomic.Bool
		// requests numbers the requests for their ids.
		requests atomic.Uint64
	}
)

// Run serves until ctx ends; then it takes no new work, finishes what is in
// progress, however long it takes, and returns.
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
	peers := &acceptor.Acceptor{Listener: e.PeerListener, Register: e.RegisterPeer}
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

// drain returns once no caller is served any more.
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
