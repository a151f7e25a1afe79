package runner

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"verbenareach/internal/config/parser"
	"verbenareach/internal/control/controller"
	"verbenareach/internal/control/registrar"
	engineemulator "verbenareach/internal/engine/emulator"
	"verbenareach/internal/event/logger"
	serviceemulator "verbenareach/internal/service/emulator"
	"verbenareach/internal/wire/acceptor"
)

const (
	// DemoKey is the API key of the standalone system's workspace.
	DemoKey = "demo-key"
	// DemoOperatorKey is the key of the standalone system's operator.
	DemoOperatorKey = "operator-key"
	// DemoWorkspace is the workspace of the demo contract.
	DemoWorkspace = "demo"
	// DemoModel is the model that the stand-in engines serve.
	DemoModel = "rota-large"
	// DemoService is the name of the stand-in services.
	DemoService = "rota"

	contractRetry = 50 * time.Millisecond

	// Offsets of the ports of a standalone system from its base port.
	entryOffset    = 0
	operatorOffset = 10
	controlOffset  = 20
	peerOffset     = 30
	agentOffset    = 50
	announceOffset = 70
	// maxStandaloneServers bounds entries and backend servers, so that the port
	// ranges don't meet.
	maxStandaloneServers = 10
)

type (
	// Standalone runs a complete system in one process: a control host, entries,
	// agents and stand-in backend servers. Its exported fields must be set before Run.
	Standalone struct {
		// Host is the IP number of all listeners; BasePort is the first entry's port.
		Host     string
		BasePort int
		// DataFolder holds the control host's files.
		DataFolder string
		// Entries, Engines and Services are the numbers of entries (1 to 10), stand-in
		// engines (at least 1) and stand-in services; at most 10 backend servers in all.
		Entries, Engines, Services int
		// Parameters apply to each engine.
		Parameters engineemulator.Parameters
		// EntryPlaces and ServerPlaces hold the names and failure domains of the entries
		// and of the backend servers, engines first; missing ones get numbered names.
		EntryPlaces, ServerPlaces []Place
		// Models are loaded by each engine; ServiceName is the name of the services. Both
		// default to those of the demo contract.
		Models      []engineemulator.Model
		ServiceName string
		// LoseReply reports whether the reply of a booking is dropped after it ran; nil
		// drops none.
		LoseReply func(server, reference string) bool
		// RequestTimeout is how long a request may wait for admission; 0 for the default.
		RequestTimeout time.Duration
		// Contract is put in force at the start; if its workspace is empty, the demo
		// contract is.
		Contract registrar.Contract
		// ResumeGrace is how long agents keep running and ended generations without a
		// reader; 0 for the agents' defaults.
		ResumeGrace time.Duration
		// Log returns the logger for the role with these settings; nil logs nothing.
		Log func(s parser.Settings) *logger.Logger

		// mu guards engines, services and entryStops.
		mu       sync.Mutex
		engines  []*engineemulator.Server
		services []*serviceemulator.Service
		control  *controller.Controller
		// started is closed once the control host takes commands.
		started chan struct{}
		// entryStops holds a function per entry that begins its planned stop.
		entryStops []context.CancelFunc
	}

	// Place holds a process's name and failure domain.
	Place struct {
		Name          string
		FailureDomain string
	}
)

// DemoContract returns a contract that grants DemoKey access to the stand-ins.
func DemoContract() registrar.Contract {
	return registrar.Contract{
		Workspace: DemoWorkspace,
		Keys:      []registrar.APIKey{{Name: "demo", SHA256: registrar.HashKey(DemoKey)}},
		Models:    []registrar.ModelRight{{Name: DemoModel, Model: DemoModel}},
		Services:  []registrar.ServiceRight{{Name: DemoService}},
		Limits:    registrar.Limits{RequestsPerSecond: 1000, ConcurrentGenerations: 1000},
		Share:     1,
		Weights:   registrar.Weights{Preemptions: 1, StallTime: 1, TailLatency: 1},
		Targets:   registrar.Targets{FirstToken: registrar.Duration(550 * time.Millisecond), BetweenTokens: registrar.Duration(46 * time.Millisecond), Objective: 0.95},
		Retention: registrar.Duration(24 * time.Hour),
	}
}

// Engine returns the i-th stand-in engine once Run has begun.
func (s *Standalone) Engine(i int) *engineemulator.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[i]
}

// EntryAddress returns the i-th entry's IP number and port.
func (s *Standalone) EntryAddress(i int) string { return s.address(entryOffset + i) }

// OperatorAddress returns the control host's IP number and port for operators.
func (s *Standalone) OperatorAddress() string { return s.address(operatorOffset) }

// Propose commits a command to the replicated state, as the operators' API does.
func (s *Standalone) Propose(ctx context.Context, command registrar.Command) (registrar.Result, error) {
	return s.control.Propose(ctx, command)
}

// Run runs all roles until ctx ends; then each finishes its work in progress.
func (s *Standalone) Run(ctx context.Context) error {
	if err := s.check(); err != nil {
		return err
	}
	// Each layer stops only after the one that calls it has finished.
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	agents, stopAgents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAgents()
	backends, stopBackends := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackends()
	controlGroup := &errgroup.Group{}
	controlGroup.Go(func() error { return s.runControl(control) })
	backendGroup := &errgroup.Group{}
	if err := s.runBackends(backends, backendGroup); err != nil {
		return err
	}
	agentGroup := &errgroup.Group{}
	for i := range s.Engines + s.Services {
		agentGroup.Go(func() error { return s.run(agents, s.agentSettings(i)) })
	}
	entryGroup := &errgroup.Group{}
	for i := range s.Entries {
		ctx, stop := context.WithCancel(ctx)
		defer stop()
		s.mu.Lock()
		s.entryStops = append(s.entryStops, stop)
		s.mu.Unlock()
		entryGroup.Go(func() error { return s.run(ctx, s.entrySettings(i)) })
	}
	controlGroup.Go(func() error { return s.putContract(control) })
	entryErr := entryGroup.Wait()
	stopAgents()
	agentErr := agentGroup.Wait()
	stopBackends()
	backendErr := backendGroup.Wait()
	stopControl()
	return cmp.Or(entryErr, agentErr, backendErr, controlGroup.Wait())
}

// Service returns the i-th stand-in service once Run has begun.
func (s *Standalone) Service(i int) *serviceemulator.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[i]
}

// StopEntry begins the planned stop of the i-th entry.
func (s *Standalone) StopEntry(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i < len(s.entryStops) {
		s.entryStops[i]()
	}
}

// Prepare creates the control host and the stand-ins, so that a caller may use them
// before Run, which otherwise calls it.
func (s *Standalone) Prepare() {
	s.mu.Lock()
	defer s.mu.Unlock()
	settings := s.settings("control-1", "control")
	settings.Control = s.controlSettings()
	s.control = &controller.Controller{Name: settings.Name, Settings: *settings.Control, Log: s.log(settings)}
	s.started = make(chan struct{})
	models, service := s.Models, s.ServiceName
	if len(models) == 0 {
		models = []engineemulator.Model{{Model: DemoModel}}
	}
	if service == "" {
		service = DemoService
	}
	s.control.Started = sync.OnceFunc(func() { close(s.started) })
	for i := range s.Engines {
		s.engines = append(s.engines, &engineemulator.Server{
			Listen: net.JoinHostPort(s.Host, "0"), Announce: s.address(announceOffset + i),
			Models: models, Parameters: s.Parameters, ChecksFences: true,
			LoadTime: time.Second, Logger: s.log(s.settings(fmt.Sprintf("standin-engine-%d", i+1), "standin")),
		})
	}
	for i := range s.Services {
		s.services = append(s.services, &serviceemulator.Service{
			Name: service, BeforeReply: s.beforeReply(s.agentSettings(s.Engines + i).Name), AnnounceTo: s.address(announceOffset + s.Engines + i),
			Log: s.log(s.settings(fmt.Sprintf("standin-service-%d", i+1), "standin")),
		})
	}
}

func (s *Standalone) address(offset int) string {
	return net.JoinHostPort(s.Host, strconv.Itoa(s.BasePort+offset))
}

func (s *Standalone) agentSettings(i int) parser.Settings {
	name := fmt.Sprintf("engine-%d", i+1)
	if i >= s.Engines {
		name = fmt.Sprintf("service-%d", i-s.Engines+1)
	}
	settings := withPlace(s.settings(name, "agent"), s.ServerPlaces, i)
	settings.Agent = &parser.Agent{
		Listen: s.address(agentOffset + i), AnnounceListen: s.address(announceOffset + i), Control: []string{s.address(controlOffset)},
		ResumeGrace: parser.Duration(s.ResumeGrace), KeepEnded: parser.Duration(s.ResumeGrace),
	}
	return settings
}

// beforeReply returns the hook that drops those replies of a service that LoseReply
// selects.
func (s *Standalone) beforeReply(server string) func(reference string) error {
	return func(reference string) error {
		if s.LoseReply != nil && s.LoseReply(server, reference) {
			return eris.New("the reply is lost")
		}
		return nil
	}
}

func (s *Standalone) check() error {
	if s.Entries < 1 || s.Engines < 1 || s.Services < 0 || s.Entries > maxStandaloneServers || s.Engines+s.Services > maxStandaloneServers {
		return eris.Errorf("a standalone system has 1 to %d entries and up to %d backend servers", maxStandaloneServers, maxStandaloneServers)
	}
	if s.control == nil {
		s.Prepare()
	}
	return nil
}

func (s *Standalone) controlSettings() *parser.Control {
	return &parser.Control{
		Listen: s.address(controlOffset), OperatorListen: s.OperatorAddress(), DataFolder: filepath.Join(s.DataFolder, "control-1"),
		OperatorKeySHA256: registrar.HashKey(DemoOperatorKey),
		Peers:             []parser.Peer{{Name: "control-1", Address: s.address(controlOffset)}},
	}
}

func (s *Standalone) entrySettings(i int) parser.Settings {
	settings := withPlace(s.settings(fmt.Sprintf("entry-%d", i+1), "entry"), s.EntryPlaces, i)
	settings.Entry = &parser.Entry{
		Listen: s.EntryAddress(i), PeerListen: s.address(peerOffset + i), Control: []string{s.address(controlOffset)},
		RequestTimeout: parser.Duration(s.RequestTimeout),
	}
	return settings
}

func (s *Standalone) log(settings parser.Settings) *logger.Logger {
	if s.Log == nil {
		return nil
	}
	return s.Log(settings)
}

// putContract proposes the contract until the control host commits it.
func (s *Standalone) putContract(ctx context.Context) error {
	contract := s.Contract
	if contract.Workspace == "" {
		contract = DemoContract()
	}
	put := registrar.Command{PutContract: &registrar.PutContract{Contract: contract, By: "standalone", At: time.Now().UnixNano()}}
	select {
	case <-s.started:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		_, err := s.control.Propose(ctx, put)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(contractRetry):
		case <-ctx.Done():
		}
	}
	return nil
}

func (s *Standalone) run(ctx context.Context, settings parser.Settings) error {
	return eris.Wrap(Run(ctx, settings, s.log(settings)), settings.Name)
}

func (s *Standalone) runBackends(ctx context.Context, g *errgroup.Group) error {
	for _, engine := range s.engines {
		g.Go(func() error {
			err := engine.Run(ctx)
			if eris.Is(err, engineemulator.ErrKilled) {
				return nil
			}
			return err
		})
	}
	for _, service := range s.services {
		l, err := acceptor.Listen(ctx, net.JoinHostPort(s.Host, "0"))
		if err != nil {
			return err
		}
		service.Listener = l
		g.Go(func() error { return service.Run(ctx) })
	}
	return nil
}

func (s *Standalone) runControl(ctx context.Context) error {
	settings := s.settings(s.control.Name, "control")
	settings.Control = &s.control.Settings
	return runWithTelemetry(ctx, settings, s.log(settings), func(ctx context.Context, tel *telemetry) error {
		s.control.Log, s.control.RegisterServices = tel.log, tel.registerRPC
		return s.control.Run(ctx)
	})
}

func (s *Standalone) settings(name, role string) parser.Settings {
	return parser.Settings{Role: role, Name: name, FailureDomain: "local", Region: "local", LogLevel: "info"}
}

// withPlace returns settings with the name and failure domain of the i-th place, if
// there is one.
func withPlace(settings parser.Settings, places []Place, i int) parser.Settings {
	if i < len(places) {
		settings.Name, settings.FailureDomain = places[i].Name, places[i].FailureDomain
	}
	return settings
}
