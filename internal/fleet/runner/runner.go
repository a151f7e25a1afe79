// Package runner runs a host of a fleet. The host serves clients, exchanges the states of
// backend servers and the configuration with other hosts and, if it is a hub, runs the
// replicated log.
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
	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/evacuator"
	"verbenareach/internal/fleet/forwarder"
	"verbenareach/internal/fleet/informer"
	"verbenareach/internal/fleet/keeper"
	"verbenareach/internal/fleet/linker"
	"verbenareach/internal/fleet/prober"
	"verbenareach/internal/fleet/quarantiner"
	"verbenareach/internal/fleet/receiver"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/fleet/sizer"
	"verbenareach/internal/fleet/subscriber"
	"verbenareach/internal/fleet/throttler"
	"verbenareach/internal/fleet/tracker"
	"verbenareach/internal/wire/escaper"
	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/recoverer"
)

type (
	// Runner is one host. Its exported fields are set before Run.
	Runner struct {
		Settings Settings
		// Reload reads the settings again. Only a change of Seeds takes effect.
		Reload func() (Settings, error)
		// Reloads receives a value when the settings are to be reloaded.
		Reloads <-chan struct{}
		Dialect forwarder.Dialect
		// Decode parses and checks a configuration in the operators' format.
		Decode func(body []byte) (*cataloger.Catalog, error)
		// Control serves operators and backend servers.
		Control http.Handler
		Log     *logger.Logger

		tracker  *tracker.Tracker
		linker   *linker.Linker
		informer *informer.Informer
		// subscriber decides over which links reports of backend servers are passed on.
		subscriber *subscriber.Subscriber
		prober     *prober.Prober
		// keeper is nil unless this host is a hub.
		keeper      *keeper.Keeper
		allocator   *allocator.Allocator
		balancer    *balancer.Balancer
		quarantiner *quarantiner.Quarantiner
		// crashStore is nil unless this host is a hub.
		crashStore *crashStore
		throttler  *throttler.Throttler
		forwarder  *forwarder.Forwarder
		receiver   *receiver.Receiver
		pool       *sender.Pool
		meter      *meter.Meter
		// sizer counts what is sent over the links.
		sizer sizer.Sizer

		// startedAt is when the process started to serve.
		startedAt time.Time
		seeds     atomic.Pointer[[]string]
		// catalog is the configuration in force; nil until there is one.
		catalog  atomic.Pointer[cataloger.Catalog]
		stopping atomic.Bool
		// stopDeadline is when the process ends; it is set before stopping is.
		stopDeadline atomic.Pointer[time.Time]
		// clientsClosed is set once clients can't connect any more.
		clientsClosed atomic.Bool
		// ready is the readiness that was logged last.
		ready atomic.Bool
		// leaderTerm is the term in which this host leads; 0 if it does not lead.
		leaderTerm atomic.Uint64

		// adoptMu is held while a configuration is put into force. packed is the configuration in
		// force, in the form that is sent to other hosts; nil until there is one.
		adoptMu sync.Mutex
		packed  atomic.Pointer[packedConfig]
		// fetching is set while a newer configuration is fetched.
		fetching atomic.Bool

		// evacuateMu is held while evacuations are put into force. evacuations are those in force;
		// nil until there are some.
		evacuateMu  sync.Mutex
		evacuations atomic.Pointer[evacuator.Set]
		// evacuationAcks holds on which evacuations the linked hosts act.
		evacuationAcks evacuator.Acks
	}

	// packedConfig is a configuration as it is stored and sent to other hosts, packed by
	// recorder.Pack.
	packedConfig struct {
		version uint64
		packed  []byte
	}
)

const (
	// tick is the interval of periodic work.
	tick = 50 * time.Millisecond
	// expireInterval is the time between checks for backend servers without heartbeats, for idle
	// connections to close, and for changes of the links.
	expireInterval = 300 * time.Millisecond
	// reloadInterval is the time between reloads of the settings file.
	reloadInterval = 2 * time.Second
	// backendIdleTimeout bounds how long a connection to a backend server is kept idle.
	backendIdleTimeout = 8 * time.Second
	// maxMissedHeartbeats is after how many heartbeat intervals without a report a backend
	// server counts as silent.
	maxMissedHeartbeats = 3.2
	// memoryLimitShare is the part of the allowed memory that is set as the soft memory limit,
	// above which the garbage collector runs more often.
	memoryLimitShare = 0.5
	// largeShare is the part of the allowed memory for large responses that are being delivered, and
	// for the bodies of large requests.
	largeShare = 0.125
)

// Run serves until ctx ends and then until the requests in progress are done or the grace
// period ends. It returns an error if a component fails.
func (h *Runner) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(h.Settings.MemoryBytes)))
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

// listen opens the listeners of the host.
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

// serve starts the components of the host and accepts clients.
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
		server := drpcserver.NewWithOptions(&recoverer.Handler{Handler: mux, Log: h.Log}, replicator.ServerOptions())
		err := server.Serve(ctx, replicator.Listener(l.fleet))
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
		g.Go(func() error { return h.runLog(ctx) })
		// Not in the group: a disk that stalls must not delay the stop.
		go h.crashStore.run(ctx)
	}
	g.Go(func() error { return serveHTTP(ctx, l.control, h.Control) })
	g.Go(func() error { return serveHTTP(ctx, l.ready, http.HandlerFunc(h.serveReady)) })
	g.Go(func() error { return h.meter.Serve(ctx, l.metrics) })
	g.Go(func() error {
		h.maintain(ctx)
		return nil
	})
	go h.receiver.Run(l.client)
	context.AfterFunc(ctx, func() { _ = l.client.Close() })
}

// runLog runs the replicated log. A hub whose disk failed keeps serving without the log,
// which is restarted after logRestartDelay.
func (h *Runner) runLog(ctx context.Context) error {
	for ctx.Err() == nil {
		err := h.keeper.Run(ctx, h.Settings.Bootstrap)
		if err != nil && ctx.Err() == nil {
			h.Log.Emit(time.Now(), logger.FleetLogFailed, "", logger.F("error", err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(logRestartDelay):
		}
	}
	return nil
}

// logRestartDelay is the delay before a failed log is opened again.
const logRestartDelay = time.Second

// maintain does the periodic work and reloads the settings on request, until ctx ends.
func (h *Runner) maintain(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	last := time.Now()
	tasks := h.periodicTasks(ctx, last)
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
		h.logPause(last, now)
		last = now
		for _, task := range tasks {
			if now.Sub(task.last) < task.interval {
				continue
			}
			task.last = now
			// Run has logged a panic; the next tick goes on.
			_ = recoverer.Run(h.Log, "", func() { task.do(now) })
		}
	}
}

// periodicTask is work that is done with the first tick after an interval.
type periodicTask struct {
	interval time.Duration
	last     time.Time
	do       func(now time.Time)
}

// periodicTasks returns the periodic work of the host in its order.
func (h *Runner) periodicTasks(ctx context.Context, begun time.Time) []*periodicTask {
	return []*periodicTask{
		{0, begun, func(now time.Time) {
			h.updateLeadership()
			h.allocator.Advance(now, h.Settings.Host.Hub, h.leaderTerm.Load())
		}},
		{expireInterval, begun, func(now time.Time) { h.expire(ctx, now) }},
		{trafficInterval, begun, h.logTraffic},
		{evacuationLogInterval, begun, h.logEvacuated},
		{reloadInterval, begun, func(time.Time) { h.reload() }},
	}
}

// expire drops what has become too old and updates what depends on the links and on the time.
func (h *Runner) expire(ctx context.Context, now time.Time) {
	h.informer.Expire(now)
	if h.leaderTerm.Load() > 0 {
		h.prober.Advance(ctx, now)
	}
	h.pool.Expire(now)
	h.logReadiness(now)
	h.gaugeVoters()
	h.announceLinks()
	h.gaugeWarmUps(now)
	h.meter.Gauge("uneven_engines").Update(float64(h.allocator.UnevenEngines()))
	h.subscribe(h.subscriber.Renew(h.linker.Linked()))
}

// updateLeadership stores the term in which this host leads and announces a change to
// other hosts.
func (h *Runner) updateLeadership() {
	if h.keeper == nil {
		return
	}
	term := h.keeper.LeaderTerm()
	if h.leaderTerm.Swap(term) != term {
		// fillMessage adds the term to the empty messages.
		h.linker.EnqueueAll("", func(*messenger.LinkMessage) {})
	}
}

// gaugeVoters updates the gauges of the hubs that vote, which are 0 unless this host leads.
func (h *Runner) gaugeVoters() {
	if h.keeper == nil {
		return
	}
	voters, answering := h.keeper.Voters()
	h.meter.Gauge("voters").Update(float64(voters))
	h.meter.Gauge("voters_answering").Update(float64(answering))
}

// reload reads the settings again and puts their seeds into force. If they can't be read,
// the seeds stay.
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

// limits returns the limits on what clients may send.
func (h *Runner) limits() receiver.Limits {
	c := h.catalog.Load()
	if c == nil {
		return receiver.Limits{
			HeaderBytes: initialHeaderBytes, BodyBytes: initialBodyBytes, HeaderTimeout: initialTimeout, IdleTimeout: initialTimeout,
		}
	}
	return receiver.Limits(c.Limits)
}

// Limits until a configuration is known.
const (
	initialHeaderBytes = 16 << 10
	initialBodyBytes   = 4 << 20
	initialTimeout     = 5 * time.Second
)

// handleRequest serves one client request. If that panics, the response stays incomplete.
func (h *Runner) handleRequest(ctx context.Context, w *receiver.Writer, r *receiver.Request) {
	if recoverer.Run(h.Log, escaper.Text(r.Get(h.Dialect.RequestID)), func() { h.forwarder.Handle(ctx, w, r) }) != nil {
		w.Abort()
	}
}

// receiveSafely handles a message of another host. If that panics, the rest of it is dropped.
func (h *Runner) receiveSafely(from *messenger.FleetHost, m *messenger.LinkMessage) {
	// Run has logged the panic.
	_ = recoverer.Run(h.Log, "", func() { h.receiveMessage(from, m) })
}

// logMalformed logs a request that the receiver refused; r is nil if its header was not read.
func (h *Runner) logMalformed(r *receiver.Request, status int, reason string) {
	now := time.Now()
	fields := []logger.Field{logger.F("status", status), logger.F("reason", reason)}
	if r == nil {
		h.Log.Emit(now, logger.ForwardMalformed, "", fields...)
		return
	}
	fields = append(fields, logger.F("after", now.Sub(r.Arrived).Round(time.Millisecond)))
	if deadline := h.forwarder.Deadline(r); !deadline.IsZero() {
		fields = append(fields, logger.F("left", deadline.Sub(now).Round(time.Millisecond)))
	}
	h.Log.Emit(now, logger.ForwardMalformed, escaper.Text(r.Get(h.Dialect.RequestID)), fields...)
}

// isEngineService reports whether the backend servers of a service are engines.
func (h *Runner) isEngineService(service string) bool {
	c := h.catalog.Load()
	return c != nil && c.Services[service].Engine != nil
}

// estimateHosts estimates the number of hosts that serve clients. It assumes at least two
// for each hub, as a host that is not a hub is linked only to hubs.
func (h *Runner) estimateHosts() int {
	return max(len(h.linker.Linked())+1, 2*len(h.linker.Hubs()))
}

// linkedHubs returns the linked hubs, first those in this host's failure domain.
func (h *Runner) linkedHubs() []*messenger.FleetHost {
	var hubs []*messenger.FleetHost
	for _, host := range h.linker.Linked() {
		if host.Hub {
			hubs = append(hubs, host)
		}
	}
	return hubs
}

// serveHTTP serves HTTP on a listener until ctx ends.
func serveHTTP(ctx context.Context, l net.Listener, handler http.Handler) error {
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: httpTimeout, IdleTimeout: httpIdleTimeout, MaxHeaderBytes: maxHTTPHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

const (
	// httpTimeout bounds the reading of a request's header.
	httpTimeout     = 5 * time.Second
	httpIdleTimeout = 30 * time.Second
	// maxHTTPHeaderBytes bounds the header of a request; net/http allows a little more.
	maxHTTPHeaderBytes = 8 << 10
)
