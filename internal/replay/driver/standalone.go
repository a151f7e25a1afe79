package driver

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/engine/emulator"
	"verbenareach/internal/operator/requester"
	"verbenareach/internal/replay/replayer"
	"verbenareach/internal/replay/tracer"
	"verbenareach/internal/role/runner"
)

// Standalone replays a trace against a standalone system built to match the trace's
// System. Its fields must be set before Start.
type Standalone struct {
	Trace tracer.Trace
	// Host is the IP number of all listeners; BasePort is the first of their ports.
	Host       string
	BasePort   int
	Parameters emulator.Parameters

	// Processes is set by Start.
	Processes *Processes

	system *runner.Standalone
	folder string
	cancel context.CancelFunc
	done   chan error

	mu sync.Mutex
	// repliesToLose is the number of replies still to be lost, by service.
	repliesToLose map[string]int
}

// Start starts the system. Close must be called after use, also if Start fails.
func (s *Standalone) Start(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "verbenareach-replay-")
	if err != nil {
		return eris.Wrap(err, "data folder")
	}
	s.folder = folder
	s.repliesToLose = make(map[string]int)
	named := s.Trace.System
	s.system = &runner.Standalone{
		Host: s.Host, BasePort: s.BasePort, DataFolder: folder, Parameters: s.Parameters,
		Entries: len(named.Entries), Engines: len(named.Engines), Services: len(named.Services),
		EntryPlaces: runnerPlaces(named.Entries), ServerPlaces: append(runnerPlaces(named.Engines), runnerPlaces(named.Services)...),
		Models: s.models(), ServiceName: named.Service, LoseReply: s.loseReply, Log: noLogger,
	}
	s.system.Prepare()
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.done = make(chan error, 1)
	go func() { s.done <- s.system.Run(ctx) }()
	s.Processes = &Processes{
		Trace:    s.Trace,
		Operator: &requester.Requester{Addresses: []string{s.system.OperatorAddress()}, Key: runner.DemoOperatorKey, Operator: "replay"},
	}
	for i := range named.Entries {
		s.Processes.Entries = append(s.Processes.Entries, s.system.EntryAddress(i))
	}
	return nil
}

// Close stops the system and removes its files.
func (s *Standalone) Close() error {
	var err error
	if s.cancel != nil {
		http.DefaultClient.CloseIdleConnections()
		s.cancel()
		err = <-s.done
	}
	if s.folder == "" {
		return err
	}
	if removeErr := os.RemoveAll(s.folder); err == nil {
		err = removeErr
	}
	return err
}

// Replayer returns a replayer for the trace.
func (s *Standalone) Replayer(runID string) *replayer.Replayer {
	r := s.Processes.Replayer(runID)
	r.Put = s.putContracts
	r.Fault = s.fault
	r.Stop = s.stop
	r.Runs = s.runs
	r.Preemptions = s.preemptions
	return r
}

func (s *Standalone) fault(ctx context.Context, f tracer.Fault) error {
	if f.Kind == tracer.FaultLoseReply {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.repliesToLose[f.Server] += max(f.Count, 1)
		return nil
	}
	i := slices.IndexFunc(s.Trace.System.Engines, func(p tracer.Place) bool { return p.Name == f.Server })
	engine := s.system.Engine(i)
	switch f.Kind {
	case tracer.FaultKill:
		engine.Kill()
	case tracer.FaultReclaim:
		engine.Reclaim(time.Now(), time.Duration(f.Notice))
	case tracer.FaultRepeat:
		engine.RepeatTokens(max(f.Count, 1))
	case tracer.FaultSkip:
		engine.SkipTokens(max(f.Count, 1))
	case tracer.FaultStall:
		engine.Stall(true)
		defer engine.Stall(false)
		select {
		case <-time.After(time.Duration(f.For)):
		case <-ctx.Done():
			return ctx.Err()
		}
	default:
		return &replayer.NotDrivenError{What: fmt.Sprintf("%s of %s", f.Kind, f.Server)}
	}
	return nil
}

// loseReply reports whether this reply of a service must be lost, and counts it.
func (s *Standalone) loseReply(server, _ string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.repliesToLose[server] == 0 {
		return false
	}
	s.repliesToLose[server]--
	return true
}

// models returns the models of all contracts of the trace.
func (s *Standalone) models() []emulator.Model {
	var models []emulator.Model
	for _, c := range s.Trace.Contracts {
		for _, right := range c.Models {
			m := emulator.Model{Model: right.Model, Adapter: right.Adapter, Version: right.Version}
			if !slices.Contains(models, m) {
				models = append(models, m)
			}
		}
	}
	return models
}

// preemptions returns the sum of the engines' preemptions.
func (s *Standalone) preemptions(ctx context.Context) (uint64, error) {
	sum := uint64(0)
	for i := range s.Trace.System.Engines {
		sum += uint64(s.system.Engine(i).Preemptions())
	}
	return sum, ctx.Err()
}

// putContracts waits until each backend server has announced itself and then puts the
// contracts in force.
func (s *Standalone) putContracts(ctx context.Context) error {
	servers := len(s.Trace.System.Engines) + len(s.Trace.System.Services)
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	for {
		list, err := s.Processes.Operator.Servers(ctx)
		announced := 0
		for _, server := range list.Servers {
			if server.Live && server.Backend.Kind != "" {
				announced++
			}
		}
		if err == nil && announced == servers {
			return s.Processes.putContracts(ctx)
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%d of %d backend servers announced themselves", announced, servers)
		}
	}
}

func (s *Standalone) runs(_ context.Context, _, reference string) (int, error) {
	sum := 0
	for i := range s.Trace.System.Services {
		sum += s.system.Service(i).Runs(reference)
	}
	return sum, nil
}

func (s *Standalone) stop(entry string) error {
	i := slices.IndexFunc(s.Trace.System.Entries, func(p tracer.Place) bool { return p.Name == entry })
	s.system.StopEntry(i)
	return nil
}

func runnerPlaces(named []tracer.Place) []runner.Place {
	all := make([]runner.Place, 0, len(named))
	for _, p := range named {
		all = append(all, runner.Place{Name: p.Name, FailureDomain: p.FailureDomain})
	}
	return all
}
