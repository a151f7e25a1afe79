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
	// maxBehind is how far the steps may lag behind the clock before the engine
	// gives up catching up.
	maxBehind = 50 * time.Millisecond
	// stopGrace bounds the wait for requests in progress at a plain stop.
	stopGrace = 10 * time.Second
)

type (
	// Model is a model that the engine serves, with an adapter and version if any.
	Model struct {
		Model   string `json:"model"`
		Adapter string `json:"adapter,omitempty"`
		Version string `json:"version,omitempty"`
	}

	// Server is the HTTP form of an Engine. Its fields are set before Run.
	Server struct {
		// Listen is the IP number and port to listen at; port 0 picks a free one.
		Listen string
		// Announce is the IP number and port at which the agent takes
		// announcements; empty announces nowhere.
		Announce string
		// Models are served from the start.
		Models     []Model
		Parameters Parameters
		// ChecksFences tells whether orders with an old fencing number are refused.
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

	// announcement is what the server tells its agent each second.
	announcement struct {
		Kind         string  `json:"kind"`
		Address      string  `json:"address"`
		Models       []Model `json:"models"`
		MemoryTokens int     `json:"memoryTokens"`
		ChecksFences bool    `json:"checksFences"`
		// ReclaimAt is when the engine will be taken away, in Unix nanoseconds; 0
		// while nothing is known.
		ReclaimAt int64 `json:"reclaimAt,omitempty"`
	}
)

// ErrKilled is what Run returns after Kill.
var ErrKilled = errors.New("engine killed")

// Address waits until the server listens and returns its IP number and port;
// empty if ctx ends before.
func (s *Server) Address(ctx context.Context) string {
	s.prepare()
	select {
	case <-s.ready:
		return s.addr
	case <-ctx.Done():
		return ""
	}
}

// Kill ends the engine at once: all connections break.
func (s *Server) Kill() {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.killed {
		s.faults.killed = true
		close(s.kill)
	}
}

// Run serves until ctx ends; then it finishes what is in progress. It returns
// ErrKilled after Kill.
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
	// The steps go on while requests in progress are finished.
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
	answer, err := client.Do(r)
	if err != nil {
		return eris.Wrap(err, "announcement")
	}
	return answer.Body.Close()
}

// announceLoop tells the agent of the engine until ctx ends. An agent that
// can't be reached is tried again at the next turn.
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

// step runs one step at now and returns the tokens to deliver once it is over.
// It does nothing while the engine is idle or stalled.
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
		if time.Since(next) > maxBehind {
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
