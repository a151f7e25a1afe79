// Package runner runs a host of a fleet: it serves clients, passes on what hosts know of
// backend servers and of the configuration, and on a hub keeps the replicated log.
package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"verbenareach/internal/control/replicator"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/event/meter"
	"verbenareach/internal/fleet/allocator"
	"verbenareach/internal/fleet/balancer"
	"verbenareach/internal/fleet/budgeter"
	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/forwarder"
	"verbenareach/internal/fleet/keeper"
	"verbenareach/internal/fleet/linker"
	"verbenareach/internal/fleet/receiver"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/fleet/tracker"
	"verbenareach/internal/wire/messenger"
)

type (
	// Runner is one host. Its exported fields are set before Run.
	Runner struct {
		Settings Settings
		// Reload reads the settings again.
		Reload func() (Settings, error)
		// Reloads receives each order to read the settings again.
		Reloads <-chan struct{}
		Dialect forwarder.Dialect
		// Decode reads a configuration in the operators' form.
		Decode func(body []byte) (*cataloger.Catalog, error)
		// Control serves operators and backend servers.
		Control http.Handler
		Log     *logger.Logger

		tracker   *tracker.Tracker
		linker    *linker.Linker
		keeper    *keeper.Keeper
		allocator *allocator.Allocator
		balancer  *balancer.Balancer
		forwarder *forwarder.Forwarder
		receiver  *receiver.Receiver
		pool      *sender.Pool
		meter     *meter.Meter

		seeds    atomic.Pointer[[]string]
		catalog  atomic.Pointer[cataloger.Catalog]
		stopping atomic.Bool
		// stopBy is when the process ends; set before stopping is.
		stopBy atomic.Pointer[time.Time]
		ready  atomic.Bool
		leads  atomic.Uint64

		// adoptLock is held while a configuration comes into force; packed is that one.
		adoptLock sync.Mutex
		packed    atomic.Pointer[stored]
		// fetching is set while a newer configuration is fetched.
		fetching atomic.Bool
	}

	// stored is a configuration as it is kept and passed on.
	stored struct {
		version uint64
		packed  []byte
	}
)

const (
	// tick is the time between looks at what is due.
	tick = 50 * time.Millisecond
	// expireEvery is the time between looks for backend servers that fell silent and
	// connections that were idle for long.
	expireEvery = 300 * time.Millisecond
	// reloadEvery is the time between looks at the settings file.
	reloadEvery = 2 * time.Second
	// idleConnections bounds how long a connection to a backend server is kept idle.
	idleConnections = 8 * time.Second
	// silentBeats is how many heartbeats a backend server may miss.
	silentBeats = 3.2
	// memoryShare is the part of the memory allowed at which garbage is collected harder.
	memoryShare = 0.5
)

// Run serves until ctx ends and the work in progress is done, or the grace is over.
func (h *Runner) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(h.Settings.MemoryBytes)))
	m, err := meter.New("fleet", h.Settings.Host.Name)
	if err != nil {
		return err
	}
	defer func() { _ = m.Close() }()
	h.meter = m
	if h.Log != nil {
		h.Log.Count = m.Count
	}
	h.build()
	listeners, err := h.listen(ctx)
	if err != nil {
		return err
	}
	h.Log.Emit(time.Now(), logger.FleetStarted, "", logger.F("host", h.Settings.Host.Name),
		logger.F("failureDomain", h.Settings.Host.FailureDomain), logger.F("hub", h.Settings.Host.Hub),
		logger.F("bootstrap", h.Settings.Bootstrap))
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serving := errgroup.WithContext(serving)
	h.serve(serving, g, listeners)
	g.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			h.drain(listeners.client)
		case <-serving.Done():
		}
		return nil
	})
	err = g.Wait()
	h.Log.Emit(time.Now(), logger.FleetStopped, "", logger.F("error", err))
	return err
}

// listeners are the open listeners of a host.
type listeners struct {
	client, ready, control, fleet, metrics net.Listener
}

func (h *Runner) listen(ctx context.Context) (l listeners, err error) {
	var lc net.ListenConfig
	for _, open := range []struct {
		to      *net.Listener
		address string
	}{
		{&l.fleet, h.Settings.Host.Address}, {&l.control, h.Settings.ControlListen}, {&l.ready, h.Settings.ReadyListen},
		{&l.metrics, h.Settings.Metrics}, {&l.client, h.Settings.ClientListen},
	} {
		if *open.to, err = lc.Listen(ctx, "tcp", open.address); err != nil {
			return l, eris.Wrapf(err, "listen on %s", open.address)
		}
	}
	return l, nil
}

// build puts the parts together.
func (h *Runner) build() {
	s := h.Settings
	h.seeds.Store(&s.Seeds)
	h.tracker = &tracker.Tracker{Name: s.Host.Name, Silence: time.Duration(silentBeats * float64(s.Heartbeat))}
	h.linker = &linker.Linker{
		Self: s.Host, Seeds: func() []string { return *h.seeds.Load() }, Bootstrap: s.Bootstrap,
		MinFounders: 2*s.LostHosts + 1, Fill: h.fill, LinkUp: h.joined, LinkDown: h.left, Receive: h.receive,
	}
	h.pool = &sender.Pool{IdleTimeout: idleConnections}
	budget := &budgeter.Budgeter{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow, Hosts: h.hosts}
	h.allocator = &allocator.Allocator{
		Name: s.Host.Name, Tell: h.linker.Enqueue, Log: h.Log,
		Order: func(m *messenger.MoveOrder) bool { return h.forwarder.Order(m) },
		Runs:  func() []*messenger.RunState { return h.forwarder.Runs() },
	}
	h.balancer = &balancer.Balancer{FailureDomain: s.Host.FailureDomain, Hosts: h.hosts, TellLoss: h.tellLoss}
	h.forwarder = &forwarder.Forwarder{
		Dialect: h.Dialect, Balancer: h.balancer, StartedAt: time.Now(), FailureDomain: s.Host.FailureDomain, Catalog: h.catalog.Load, Tracker: h.tracker,
		Budget: budget, Pool: h.pool, Place: h.allocator.Place, ReportState: h.allocator.Report,
		Stopping: h.timeLeft, Log: h.Log, Observe: h.meter.Request,
		FirstToken: h.meter.FirstToken, Gap: h.meter.Gap,
	}
	h.receiver = &receiver.Receiver{Handle: h.forwarder.Handle, Limits: h.limits, OnRefused: h.malformed}
	if !s.Host.Hub {
		return
	}
	h.keeper = &keeper.Keeper{
		Self: s.Host, Folder: s.DataFolder, QuorumOf: 2*s.LostHosts + 1, Candidates: h.linkedHubs, Changed: h.adopt, Log: h.Log,
	}
	if s.Bootstrap {
		h.keeper.Founders = h.linker.AwaitFounders
	}
}

// serve starts everything that runs beside the serving of clients.
func (h *Runner) serve(ctx context.Context, g *errgroup.Group, l listeners) {
	mux := drpcmux.New()
	g.Go(func() error {
		if err := messenger.DRPCRegisterFleet(mux, &service{host: h}); err != nil {
			return eris.Wrap(err, "register services")
		}
		if h.keeper != nil {
			if err := messenger.DRPCRegisterPeers(mux, &peers{keeper: h.keeper}); err != nil {
				return eris.Wrap(err, "register services")
			}
		}
		err := drpcserver.NewWithOptions(mux, replicator.ServerOptions()).Serve(ctx, l.fleet)
		if err != nil && ctx.Err() == nil {
			return eris.Wrap(err, "serve other hosts")
		}
		return nil
	})
	g.Go(func() error {
		h.linker.Run(ctx)
		return nil
	})
	if h.keeper != nil {
		g.Go(func() error { return h.keep(ctx) })
	}
	g.Go(func() error { return serveHTTP(ctx, l.control, h.Control) })
	g.Go(func() error { return serveHTTP(ctx, l.ready, http.HandlerFunc(h.serveReady)) })
	g.Go(func() error { return h.meter.Serve(ctx, l.metrics) })
	g.Go(func() error {
		h.tend(ctx)
		return nil
	})
	go h.receiver.Run(l.client)
	context.AfterFunc(ctx, func() { _ = l.client.Close() })
}

// keep keeps the replicated log. A hub whose disk failed goes on without it and starts
// the log again.
func (h *Runner) keep(ctx context.Context) error {
	for ctx.Err() == nil {
		err := h.keeper.Run(ctx, h.Settings.Bootstrap)
		if err != nil && ctx.Err() == nil {
			h.Log.Emit(time.Now(), logger.FleetLogFailed, "", logger.F("error", err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartLog):
		}
	}
	return nil
}

// restartLog is the wait before the log of a failed disk is opened again.
const restartLog = time.Second

// tend does what is due from time to time.
func (h *Runner) tend(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	last, expired, reloaded := time.Now(), time.Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.Reloads:
			h.reload()
			continue
		case <-ticker.C:
		}
		now := time.Now()
		h.notePause(last, now)
		last = now
		h.lead()
		h.allocator.Advance(now, h.Settings.Host.Hub, h.leads.Load())
		if now.Sub(expired) >= expireEvery {
			expired = now
			h.spread(now, "", h.tracker.Expire(now))
			h.pool.Expire(now)
			h.noteReady(now)
		}
		if now.Sub(reloaded) >= reloadEvery {
			reloaded = now
			h.reload()
		}
	}
}

// lead notes whether this host leads and tells the others when that changes.
func (h *Runner) lead() {
	if h.keeper == nil {
		return
	}
	term := h.keeper.Leads()
	if h.leads.Swap(term) != term {
		h.linker.EnqueueAll("", func(*messenger.LinkMessage) {})
	}
}

// reload reads the settings again; what can't be read changes nothing.
func (h *Runner) reload() {
	s, err := h.Reload()
	if err != nil {
		h.Log.Emit(time.Now(), logger.FleetReloaded, "", logger.F("error", err))
		return
	}
	old := *h.seeds.Load()
	if !slices.Equal(old, s.Seeds) {
		h.seeds.Store(&s.Seeds)
		h.Log.Emit(time.Now(), logger.FleetReloaded, "", logger.F("seeds", s.Seeds))
	}
}

// limits returns what clients may send.
func (h *Runner) limits() receiver.Limits {
	c := h.catalog.Load()
	if c == nil {
		return receiver.Limits{
			HeaderBytes: earlyHeaderBytes, BodyBytes: earlyBodyBytes, HeaderTimeout: earlyTimeout, IdleTimeout: earlyTimeout,
		}
	}
	return receiver.Limits(c.Limits)
}

// Limits that hold until a configuration is known.
const (
	earlyHeaderBytes = 16 << 10
	earlyBodyBytes   = 4 << 20
	earlyTimeout     = 5 * time.Second
)

func (h *Runner) malformed(status int, reason string) {
	h.Log.Emit(time.Now(), logger.ForwardMalformed, "", logger.F("status", status), logger.F("reason", reason))
}

// hosts returns how many hosts serve clients, as far as known.
func (h *Runner) hosts() int {
	return max(len(h.linker.Linked())+1, 2*len(h.linker.Hubs()))
}

func (h *Runner) linkedHubs() []*messenger.FleetHost {
	var hubs []*messenger.FleetHost
	for _, host := range h.linker.Linked() {
		if host.Hub {
			hubs = append(hubs, host)
		}
	}
	return hubs
}

// serveHTTP serves a listener until ctx ends.
func serveHTTP(ctx context.Context, l net.Listener, handler http.Handler) error {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: httpTimeout, IdleTimeout: httpIdleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

const (
	httpTimeout     = 5 * time.Second
	httpIdleTimeout = 30 * time.Second
)
