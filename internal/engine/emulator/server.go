package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"verbenareach/internal/event/logger"
)

const (
	announceEvery = time.Second
	// maxStepLag is how far the steps may lag behind the clock. Beyond it the engine
	// continues from the present time instead of catching up.
	maxStepLag = 50 * time.Millisecond
	// stopGrace bounds the wait for requests in progress after ctx ends.
	stopGrace = 10 * time.Second
)

type (
	// Model is a model that the engine serves, with an adapter and version if any.
	Model struct {
		Model   string `json:"model"`
		Adapter string `json:"adapter,omitempty"`
		Version string `json:"version,omitempty"`
	}

	// Server runs an Engine in real time and serves it over HTTP. Set its fields
	// before Run.
	Server struct {
		// Listen is the IP number and port to listen at; port 0 picks a free one.
		Listen string
		// Announce is the IP number and port of the agent's announcement listener; if
		// empty, nothing is announced.
		Announce string
		// Models are loaded from the start.
		Models     []Model
		Parameters Parameters
		// ChecksFences makes the engine refuse orders with an old fencing number.
		ChecksFences bool
		// LoadTime is how long loading a model takes.
		LoadTime time.Duration
		Logger   *logger.Logger

		once  sync.Once
		ready chan struct{}
		addr  string
		wake  chan struct{}
		kill  chan struct{}

		mu      sync.Mutex
		engine  *Engine
		models  []Model
		fence   uint64
		role    string
		streams map[uint64]*stream
		lastID  uint64
		faults  faults
	}

	// announcement is the body that the server posts to its agent each second.
	announcement struct {
		Kind         string  `json:"kind"`
		Address      string  `json:"address"`
		Models       []Model `json:"models"`
		MemoryTokens int     `json:"memoryTokens"`
		ChecksFences bool    `json:"checksFences"`
		// ReclaimAt is the time at which the engine will be reclaimed, in Unix
		// nanoseconds; 0 if none is set.
		ReclaimAt int64 `json:"reclaimAt,omitempty"`
	}
)

// ErrKilled is returned by Run after Kill.
var ErrKilled = errors.New("engine killed")

// Address waits until the server listens and returns its IP number and port; it
// returns an empty string if ctx ends first.
func (s *Server) Address(ctx context.Context) string {
	s.prepare()
	select {
	case <-s.ready:
		return s.addr
	case <-ctx.Done():
		return ""
	}
}

// Kill stops the engine at once and breaks all connections.
func (s *Server) Kill() {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.killed {
		s.faults.killed = true
		close(s.kill)
	}
}

// Run serves until ctx ends, then waits up to stopGrace for requests in progress. It
// returns ErrKilled after Kill.
func (s *Server) Run(ctx context.Context) error {
	s.prepare()
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return eris.Wrap(err, "stand-in engine")
	}
	s.addr = ln.Addr().String()
	close(s.ready)
	s.Logger.Emit(time.Now(), logger.StandInStarted, "", logger.F("kind", "engine"), logger.F("address", s.addr))
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	// Steps continue until the requests in progress have finished.
	stepping, stopStepping := context.WithCancel(context.WithoutCancel(ctx))
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "stand-in engine")
		}
		return nil
	})
	g.Go(func() error {
		s.stepLoop(stepping)
		return nil
	})
	g.Go(func() error {
		s.announceLoop(gctx)
		return nil
	})
	g.Go(func() error {
		defer stopStepping()
		return s.awaitEnd(gctx, server)
	})
	err = g.Wait()
	s.Logger.Emit(time.Now(), logger.StandInStopped, "", logger.F("kind", "engine"), logger.F("address", s.addr))
	return err
}

func (s *Server) announce(ctx context.Context, client *http.Client) error {
	s.mu.Lock()
	a := announcement{
		Kind:         "engine",
		Address:      s.addr,
		Models:       s.models,
		MemoryTokens: s.Parameters.MemoryTokens,
		ChecksFences: s.ChecksFences,
		ReclaimAt:    s.faults.reclaimAt,
	}
	s.mu.Unlock()
	body, err := json.Marshal(a)
	if err != nil {
		return eris.Wrap(err, "announcement")
	}
	url := "http://" + s.Announce + "/v1/announce"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "announcement")
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return eris.Wrap(err, "announcement")
	}
	return resp.Body.Close()
}

// announceLoop announces the engine to the agent every announceEvery, until ctx ends
// or the engine is killed. A failed announcement is logged and not repeated before
// the next tick.
func (s *Server) announceLoop(ctx context.Context) {
	if s.Announce == "" {
		return
	}
	client := &http.Client{Timeout: announceEvery, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for {
		if err := s.announce(ctx, client); err != nil && ctx.Err() == nil {
			s.Logger.Emit(time.Now(), logger.StandInAnnounceFailed, "", logger.F("error", err))
		}
		select {
		case <-ticker.C:
		case <-s.kill:
			return
		case <-ctx.Done():
			return
		}
	}
}

// awaitEnd waits for Kill or the end of ctx and stops the HTTP server: at once after
// Kill, else with a grace period for requests in progress.
func (s *Server) awaitEnd(ctx context.Context, server *http.Server) error {
	select {
	case <-s.kill:
		if err := server.Close(); err != nil {
			return eris.Wrap(err, "stand-in engine")
		}
		return ErrKilled
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopGrace)
	defer cancel()
	if server.Shutdown(grace) != nil {
		return server.Close()
	}
	return nil
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	mux.HandleFunc("GET /v1/load", s.serveLoad)
	mux.HandleFunc("GET /v1/cacheEvents", s.serveCacheEvents)
	mux.HandleFunc("POST /v1/orders", s.serveOrder)
	mux.HandleFunc("POST /v1/faults", s.serveFault)
	return mux
}

func (s *Server) prepare() {
	s.once.Do(func() {
		s.ready = make(chan struct{})
		s.wake = make(chan struct{}, 1)
		s.kill = make(chan struct{})
		s.engine = New(s.Parameters)
		s.models = s.Models
		s.streams = make(map[uint64]*stream)
	})
}

// step runs one step that starts at now. Its tokens are to be delivered when the
// step's duration has passed. It returns false while the engine is idle or stalled.
func (s *Server) step(now time.Time) (Step, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.stalled || s.engine.Idle() {
		return Step{}, false
	}
	return s.engine.Step(now), true
}

func (s *Server) stepLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		if time.Since(next) > maxStepLag {
			next = time.Now()
		}
		step, ok := s.step(next)
		if !ok {
			select {
			case <-s.wake:
			case <-ctx.Done():
				return
			}
			next = time.Now()
			continue
		}
		next = next.Add(step.Took)
		if wait := time.Until(next); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		s.deliver(step.Tokens)
		if ctx.Err() != nil {
			return
		}
	}
}

func (s *Server) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
