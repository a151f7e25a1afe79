// Package server implements the agent role: all work for one backend server passes
// through its agent.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"verbenareach/internal/agent/admitter"
	"verbenareach/internal/agent/dispatcher"
	"verbenareach/internal/agent/gatekeeper"
	"verbenareach/internal/agent/hangdetector"
	"verbenareach/internal/control/registrar"
	engineconnector "verbenareach/internal/engine/connector"
	"verbenareach/internal/event/logger"
	serviceconnector "verbenareach/internal/service/connector"
	"verbenareach/internal/wire/acceptor"
	"verbenareach/internal/wire/messenger"
)

const (
	// DefaultResumeGrace is how long a generation continues without a reader.
	DefaultResumeGrace = 30 * time.Second
	// DefaultKeepEnded is how long an ended generation is kept for its caller.
	DefaultKeepEnded = time.Minute

	// keepConfirmed is how long an ended generation is kept after its caller has
	// received the end.
	keepConfirmed = 10 * time.Second
	sweepInterval = 500 * time.Millisecond
)

type (
	// Agent is one running agent. Its exported fields are set before Run.
	Agent struct {
		// Self is the member that the agent announces. Its Backend, guarded by mu,
		// is zero while there is no announced backend server; the rest never changes.
		Self registrar.Member
		// Listener is for other processes, AnnounceListener for the announcements of
		// the backend server. Run closes both.
		Listener         net.Listener
		AnnounceListener net.Listener
		// View returns the newest replicated state known here.
		View func() registrar.View
		// Changed returns a channel that is closed when View next changes.
		Changed func() <-chan struct{}
		// Fresh reports whether a quorum confirmed View recently.
		Fresh func(now time.Time) bool
		// Announce sends a changed Self to control.
		Announce func(self registrar.Member)
		// RecordOutcome commits the outcome of a claim whose entry is gone; nil
		// records nothing.
		RecordOutcome func(ctx context.Context, claim *messenger.Claim, reply *messenger.CallReply) (*messenger.ClaimReply, error)
		// Report sends the agent's status to control.
		Report func(r Status)
		// ResumeGrace is how long a running generation continues without a reader,
		// KeepEnded how long an ended one is kept; 0 means the defaults.
		ResumeGrace time.Duration
		KeepEnded   time.Duration
		// RegisterServices registers further services for other processes; nil registers none.
		RegisterServices func(mux *drpcmux.Mux) error
		// Log receives events; nil drops them.
		Log *logger.Logger

		gate       *gatekeeper.Gate
		dispatcher *dispatcher.Dispatcher
		// load is the engine's last report.
		load atomic.Pointer[messenger.Load]
		// memory admits generations by the engine's memory; nil while its size is
		// unknown.
		memory atomic.Pointer[admitter.Admitter]
		// calibrator is only used by the goroutine that polls the engine's load.
		calibrator admitter.Calibrator
		// hangDetector detects an engine that makes no tokens.
		hangDetector hangdetector.Detector
		// calls counts the calls that reached the gate. The count makes the ids of
		// calls unique there.
		calls atomic.Uint64

		mu sync.Mutex
		// sessions holds the newest attempt of each generation, by generation id.
		sessions map[string]*session
		// backend is the announced backend server; nil while there is none.
		backend *backend
		// fence is the highest fencing number of an accepted order; 0 before the first.
		fence uint64
	}

	// Status is what an agent reports to control.
	Status struct {
		// MarkNumber is the number of the newest mark applied at the gate.
		MarkNumber uint64
		// InProgress counts the generations and calls in progress.
		InProgress int
		// Oldest is the age of the oldest work in progress; 0 if there is none.
		Oldest time.Duration
		Load   *messenger.Load
	}

	// backend is the announced backend server. Exactly one of engine and service
	// is set. Only announcedAt changes.
	backend struct {
		announced announcement
		// announcedAt is when the last announcement arrived; guarded by Agent.mu.
		announcedAt time.Time
		engine      *engineconnector.Engine
		service     *serviceconnector.Service
	}

	// peerService serves the remote calls of other processes.
	peerService struct {
		messenger.DRPCAgentUnimplementedServer

		agent *Agent
	}
)

// Run serves until ctx ends, and returns an error if a listener fails before. Once ctx
// has ended, it admits no new work and waits without a time limit until the work in
// progress has ended and its tokens are delivered.
func (a *Agent) Run(ctx context.Context) error {
	a.prepare()
	a.Log.Emit(time.Now(), logger.AgentStarted, "", logger.F("server", a.Self.Name), logger.F("address", a.Listener.Addr().String()))
	// serving outlives ctx until drain returns.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	peers := &acceptor.Acceptor{Listener: a.Listener, Register: a.register, Log: a.Log}
	announcing := &http.Server{Handler: a.announceHandler(), ReadHeaderTimeout: announceTimeout}
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return peers.Run(serving) })
	g.Go(func() error { return serveHTTP(serving, announcing, a.AnnounceListener) })
	g.Go(func() error { a.watchMarks(serving); return nil })
	g.Go(func() error { a.sweepSessions(serving); return nil })
	g.Go(func() error { a.watchBackend(serving); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			a.drain()
		case <-serving.Done():
		}
		stopServing()
		return nil
	})
	err := g.Wait()
	a.currentBackend().close()
	a.Log.Emit(time.Now(), logger.AgentStopped, "", logger.F("server", a.Self.Name))
	return err
}

// drain stops admission and returns once all work in progress has ended and its
// tokens were delivered or dropped by sweep.
func (a *Agent) drain() {
	a.Log.Emit(time.Now(), logger.AgentStopping, "", logger.F("inProgress", len(a.gate.InProgress())))
	a.gate.Stop()
	<-a.gate.Idle()
	ticker := time.NewTicker(sweepInterval / 10)
	defer ticker.Stop()
	for a.undelivered() > 0 {
		<-ticker.C
	}
}

// newestMark returns the mark of this backend server in the newest view.
func (a *Agent) newestMark() gatekeeper.Mark {
	mark := a.View().Mark(a.Self.Name)
	return gatekeeper.Mark{Number: mark.Number, Leaving: mark.Leaving}
}

// prepare sets the unexported fields that Run needs, and the defaults.
func (a *Agent) prepare() {
	a.gate = &gatekeeper.Gate{Incarnation: a.Self.Incarnation, Fresh: a.Fresh, NewestMark: a.newestMark}
	a.dispatcher = &dispatcher.Dispatcher{Incarnation: a.Self.Incarnation}
	a.sessions = make(map[string]*session)
	a.load.Store(&messenger.Load{})
	if a.ResumeGrace == 0 {
		a.ResumeGrace = DefaultResumeGrace
	}
	if a.KeepEnded == 0 {
		a.KeepEnded = DefaultKeepEnded
	}
}

// register registers the services for other processes.
func (a *Agent) register(mux *drpcmux.Mux) error {
	if err := messenger.DRPCRegisterAgent(mux, &peerService{agent: a}); err != nil {
		return err
	}
	if a.RegisterServices == nil {
		return nil
	}
	return a.RegisterServices(mux)
}

// report sends the current status to control.
func (a *Agent) report(now time.Time) {
	status := Status{MarkNumber: a.gate.Mark().Number, Load: a.currentLoad(now)}
	for _, w := range a.gate.InProgress() {
		status.InProgress++
		status.Oldest = max(status.Oldest, now.Sub(w.StartedAt))
	}
	a.Report(status)
}

// applyMark applies a leave or return mark unless a newer one is known.
func (a *Agent) applyMark(now time.Time, number uint64, leaving bool) {
	if !a.gate.ApplyMark(gatekeeper.Mark{Number: number, Leaving: leaving}) {
		return
	}
	a.report(now)
	a.Log.Emit(now, logger.MarkApplied, a.Self.Name, logger.F("number", number), logger.F("leaving", leaving))
}

// watchMarks applies the marks and weights of the replicated state until ctx ends.
func (a *Agent) watchMarks(ctx context.Context) {
	for {
		changed := a.Changed()
		mark := a.View().Mark(a.Self.Name)
		a.applyMark(time.Now(), mark.Number, mark.Leaving)
		a.updateWeights()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
