package server

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/agent/bufferer"
	"verbenareach/internal/control/registrar"
	engineconnector "verbenareach/internal/engine/connector"
	"verbenareach/internal/event/logger"
	serviceconnector "verbenareach/internal/service/connector"
	"verbenareach/internal/wire/messenger"
)

const (
	// announceTimeout bounds the time to read the headers of an announcement.
	announceTimeout = 5 * time.Second
	// backendExpiry is how long after its last announcement a backend server
	// counts as lost; announcements come every second.
	backendExpiry = 3 * time.Second
	// loadPollInterval is also the timeout of a poll.
	loadPollInterval = 250 * time.Millisecond
	maxAnnounceBytes = 64 << 10
	engineIdleConns  = 256
	// engineIdleTimeout is how long an idle connection is kept. An open one can go silent without an error.
	engineIdleTimeout = time.Second
)

type (
	// announcement is the body that a backend server posts to announce itself.
	announcement struct {
		Kind         registrar.BackendKind   `json:"kind"`
		Address      string                  `json:"address"`
		Models       []registrar.LoadedModel `json:"models"`
		MemoryTokens uint64                  `json:"memoryTokens"`
		ChecksFences bool                    `json:"checksFences"`
		Service      string                  `json:"service"`
	}
)

// serveHTTP serves announcements until ctx ends; that is no error.
func serveHTTP(ctx context.Context, server *http.Server, l net.Listener) error {
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve announcements")
}

func (a *Agent) announceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) {
		var ann announcement
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes)).Decode(&ann)
		if err == nil {
			err = ann.check()
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a.applyAnnouncement(time.Now(), ann)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// check returns an error that starts with the JSON pointer of the invalid field.
func (ann announcement) check() error {
	if ann.Kind != registrar.BackendEngine && ann.Kind != registrar.BackendService {
		return eris.Errorf("/kind: %q is neither engine nor service", ann.Kind)
	}
	if _, err := netip.ParseAddrPort(ann.Address); err != nil {
		return eris.Wrap(err, "/address")
	}
	return nil
}

func (ann announcement) backend() registrar.Backend {
	return registrar.Backend{
		Kind: ann.Kind, Models: ann.Models, Service: ann.Service,
		MemoryTokens: ann.MemoryTokens, ChecksFences: ann.ChecksFences,
	}
}

func (ann announcement) equal(other announcement) bool {
	return ann.Kind == other.Kind && ann.Address == other.Address && ann.MemoryTokens == other.MemoryTokens &&
		ann.ChecksFences == other.ChecksFences && ann.Service == other.Service && slices.Equal(ann.Models, other.Models)
}

// close closes the idle connections to the backend server; b may be nil.
func (b *backend) close() {
	switch {
	case b == nil:
	case b.engine != nil:
		b.engine.Client.CloseIdleConnections()
	default:
		b.service.Close()
	}
}

// currentBackend returns the announced backend server; nil when there is none.
func (a *Agent) currentBackend() *backend {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backend
}

// applyAnnouncement records that the backend server is alive. An announcement that
// differs from the last one replaces the backend, opens the gate and is sent to
// control.
func (a *Agent) applyAnnouncement(now time.Time, ann announcement) {
	a.mu.Lock()
	previous := a.backend
	if previous != nil && previous.announced.equal(ann) {
		previous.announcedAt = now
		a.mu.Unlock()
		return
	}
	b := &backend{announced: ann, announcedAt: now}
	if ann.Kind == registrar.BackendEngine {
		b.engine = &engineconnector.Engine{Address: ann.Address, Client: engineconnector.NewClient(engineIdleConns, engineIdleTimeout)}
	} else {
		b.service = serviceconnector.New(ann.Address)
	}
	previous.close()
	a.backend = b
	a.Self.Backend = ann.backend()
	self := a.Self
	a.mu.Unlock()
	a.resizeMemory(int(ann.MemoryTokens))
	a.gate.SetReady(true)
	a.Announce(self)
	a.Log.Emit(now, logger.BackendAnnounced, a.Self.Name, logger.F("kind", ann.Kind), logger.F("address", ann.Address))
}

// dropBackend records the loss of the backend server. It ends the generations so
// that they can resume on another backend server.
func (a *Agent) dropBackend(now time.Time) {
	a.mu.Lock()
	a.backend.close()
	a.backend = nil
	a.Self.Backend = registrar.Backend{}
	self := a.Self
	a.mu.Unlock()
	a.gate.SetReady(false)
	a.endSessions(bufferer.Result{Cause: "the engine is gone", Resumable: true})
	a.Announce(self)
	a.Log.Emit(now, logger.BackendLost, a.Self.Name)
}

// watchBackend detects the loss of the backend server and hangs of the engine, polls
// the engine's load and reports to control, until ctx ends.
func (a *Agent) watchBackend(ctx context.Context) {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		a.mu.Lock()
		b := a.backend
		lost := b != nil && now.Sub(b.announcedAt) > backendExpiry
		a.mu.Unlock()
		switch {
		case lost:
			a.dropBackend(now)
		case a.hangDetector.Hung(now):
			a.Log.Emit(now, logger.EngineHung, a.Self.Name)
			a.endSessions(bufferer.Result{Cause: "the engine makes no tokens", Resumable: true})
		case b != nil && b.engine != nil:
			a.pollLoad(ctx, b.engine)
		}
		a.report(now)
	}
}

// pollLoad stores the engine's load and calibrates the admitter by it. If the engine
// doesn't answer, the last load stays.
func (a *Agent) pollLoad(ctx context.Context, engine *engineconnector.Engine) {
	ctx, cancel := context.WithTimeout(ctx, loadPollInterval)
	defer cancel()
	report, err := engine.Load(ctx)
	if err != nil {
		return
	}
	a.load.Store(&messenger.Load{
		Running:           report.Running,
		Waiting:           report.Waiting,
		MemoryTokensTotal: report.MemoryTokensTotal,
		MemoryTokensUsed:  report.MemoryTokensUsed,
		ReportedAt:        report.ReportedAt,
		Leaving:           a.gate.Mark().Leaving,
	})
	a.calibrateMemory(time.Now(), report)
}
