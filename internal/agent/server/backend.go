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
	announceTimeout = 5 * time.Second
	// backendExpiry is after how long without an announcement a backend server
	// counts as lost; they come every second.
	backendExpiry    = 3 * time.Second
	loadPollEvery    = 250 * time.Millisecond
	maxAnnounceBytes = 64 << 10
	engineIdleConns  = 256
)

type (
	// announcement is what a backend server tells of itself.
	announcement struct {
		Kind         registrar.BackendKind   `json:"kind"`
		Address      string                  `json:"address"`
		Models       []registrar.LoadedModel `json:"models"`
		MemoryTokens uint64                  `json:"memoryTokens"`
		ChecksFences bool                    `json:"checksFences"`
		Service      string                  `json:"service"`
	}
)

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
		var said announcement
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes)).Decode(&said)
		if err == nil {
			err = said.check()
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a.takeAnnouncement(time.Now(), said)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (said announcement) check() error {
	if said.Kind != registrar.BackendEngine && said.Kind != registrar.BackendService {
		return eris.Errorf("/kind: %q is neither engine nor service", said.Kind)
	}
	if _, err := netip.ParseAddrPort(said.Address); err != nil {
		return eris.Wrap(err, "/address")
	}
	return nil
}

func (said announcement) backend() registrar.Backend {
	return registrar.Backend{
		Kind: said.Kind, Models: said.Models, Service: said.Service,
		MemoryTokens: said.MemoryTokens, ChecksFences: said.ChecksFences,
	}
}

func (said announcement) equal(other announcement) bool {
	return said.Kind == other.Kind && said.Address == other.Address && said.MemoryTokens == other.MemoryTokens &&
		said.ChecksFences == other.ChecksFences && said.Service == other.Service && slices.Equal(said.Models, other.Models)
}

// close closes the idle connections to the backend server.
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

// takeAnnouncement notes that the backend server lives, and what it serves.
func (a *Agent) takeAnnouncement(now time.Time, said announcement) {
	a.mu.Lock()
	known := a.backend
	if known != nil && known.announced.equal(said) {
		known.seenAt = now
		a.mu.Unlock()
		return
	}
	b := &backend{announced: said, seenAt: now}
	if said.Kind == registrar.BackendEngine {
		transport := &http.Transport{MaxIdleConnsPerHost: engineIdleConns, DisableCompression: true}
		b.engine = &engineconnector.Engine{Address: said.Address, Client: &http.Client{Transport: transport}}
	} else {
		b.service = serviceconnector.New(said.Address)
	}
	known.close()
	a.backend = b
	a.Self.Backend = said.backend()
	self := a.Self
	a.mu.Unlock()
	a.sizeMemory(int(said.MemoryTokens))
	a.gate.SetReady(true)
	a.Announce(self)
	a.Log.Emit(now, logger.BackendAnnounced, a.Self.Name, logger.F("kind", said.Kind), logger.F("address", said.Address))
}

// dropBackend notes that the backend server is gone: its generations may go on elsewhere.
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

// watchBackend polls the engine's load and notices its loss, until ctx ends.
func (a *Agent) watchBackend(ctx context.Context) {
	ticker := time.NewTicker(loadPollEvery)
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
		lost := b != nil && now.Sub(b.seenAt) > backendExpiry
		a.mu.Unlock()
		switch {
		case lost:
			a.dropBackend(now)
		case a.hangs.Hung(now):
			a.Log.Emit(now, logger.EngineHung, a.Self.Name)
			a.endSessions(bufferer.Result{Cause: "the engine makes no tokens", Resumable: true})
		case b != nil && b.engine != nil:
			a.pollLoad(ctx, b.engine)
		}
		a.report(now)
	}
}

func (a *Agent) pollLoad(ctx context.Context, engine *engineconnector.Engine) {
	ctx, cancel := context.WithTimeout(ctx, loadPollEvery)
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
