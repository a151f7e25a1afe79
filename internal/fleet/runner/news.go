package runner

import (
	"context"
	"errors"
	"time"

	"verbenareach/internal/control/recorder"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/wire/messenger"
)

var (
	// ErrUnknown is returned where the newest configuration can't be told, or whether a
	// change of it was stored.
	ErrUnknown = errors.New("no hub with a quorum answers")
	// ErrUnlinked is returned for reports that could not be passed on.
	ErrUnlinked = errors.New("no other host is linked")
)

const (
	// callHubTimeout bounds a call to a hub, readTimeout a confirmed read.
	callHubTimeout = 850 * time.Millisecond
	// fetchPause is the wait before a failed fetch is tried again.
	fetchPause = 100 * time.Millisecond
	maxFetches = 20
)

// Configure has a configuration stored durably and returns the version then in force. A
// version that is not above the one in force is acknowledged and changes nothing.
func (h *Runner) Configure(ctx context.Context, body []byte) (*cataloger.Catalog, error) {
	c, err := h.Decode(body)
	if err != nil {
		return nil, &InvalidError{Findings: err}
	}
	if now := h.packed.Load(); now != nil && now.version >= c.Version {
		return c, nil
	}
	packed, err := recorder.Pack(body)
	if err != nil {
		return c, err
	}
	begun := time.Now()
	held, err := h.put(ctx, c.Version, packed)
	h.Log.Emit(time.Now(), logger.FleetConfigDecided, "", logger.F("version", c.Version), logger.F("held", held),
		logger.F("bytes", len(body)), logger.F("took", time.Since(begun).Round(time.Millisecond)), logger.F("error", err))
	return c, err
}

// InvalidError tells that a configuration is invalid. It has no effect.
type InvalidError struct {
	Findings error
}

var _ error = &InvalidError{}

// Error tells the findings.
func (e *InvalidError) Error() string { return e.Findings.Error() }

// Unwrap returns the findings.
func (e *InvalidError) Unwrap() error { return e.Findings }

func (h *Runner) put(ctx context.Context, version uint64, packed []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callHubTimeout)
	defer cancel()
	if h.keeper != nil {
		return h.keeper.Put(ctx, version, packed)
	}
	for _, hub := range h.linkedHubs() {
		var reply *messenger.ConfigureReply
		err := h.linker.Call(ctx, hub.Address, func(ctx context.Context, c messenger.DRPCFleetClient) (err error) {
			reply, err = c.Configure(ctx, &messenger.ConfigureRequest{Version: version, Body: packed})
			return err
		})
		if err == nil && reply.Error == "" {
			return reply.Version, nil
		}
	}
	return 0, ErrUnknown
}

// Read returns the newest configuration in the operators' form, confirmed by a quorum.
func (h *Runner) Read(ctx context.Context) (body []byte, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, callHubTimeout)
	defer cancel()
	version, packed, err := h.confirmed(ctx)
	if err == nil && version == 0 {
		err = ErrUnknown
	}
	h.Log.Emit(time.Now(), logger.FleetConfigRead, "", logger.F("version", version), logger.F("error", err))
	if err != nil {
		return nil, 0, err
	}
	body, err = recorder.Unpack(packed)
	return body, version, err
}

func (h *Runner) confirmed(ctx context.Context) (uint64, []byte, error) {
	if h.keeper != nil {
		return h.keeper.Confirmed(ctx)
	}
	for _, hub := range h.linkedHubs() {
		var reply *messenger.FetchReply
		err := h.linker.Call(ctx, hub.Address, func(ctx context.Context, c messenger.DRPCFleetClient) (err error) {
			reply, err = c.Fetch(ctx, &messenger.FetchRequest{Confirm: true, Held: h.version()})
			return err
		})
		if err != nil || reply.Error != "" {
			continue
		}
		held := h.packed.Load()
		if len(reply.Body) == 0 && held != nil && held.version == reply.Version {
			return held.version, held.packed, nil
		}
		return reply.Version, reply.Body, nil
	}
	return 0, nil, ErrUnknown
}

// Report takes what a backend server says of itself. It fails where others need to know
// and none can be told.
func (h *Runner) Report(report *messenger.Backend) error {
	now := time.Now()
	if !h.linked() && report.State != messenger.Backend_STATE_READY {
		return ErrUnlinked
	}
	if h.tracker.Heartbeat(now, report) {
		h.spread(now, "", []*messenger.Backend{h.tracker.Find(report.Id)})
	}
	return nil
}

// Gone takes a backend server's word that it has left.
func (h *Runner) Gone(id string) error {
	now := time.Now()
	if !h.linked() {
		return ErrUnlinked
	}
	if r := h.tracker.Gone(now, id); r != nil {
		h.spread(now, "", []*messenger.Backend{r})
	}
	return nil
}

// Stopping tells whether the host is about to stop.
func (h *Runner) Stopping() bool { return h.stopping.Load() }

// linked tells whether news can reach the other hosts.
func (h *Runner) linked() bool {
	return len(h.linker.Linked()) > 0 || h.keeper != nil && len(h.linker.Hubs()) == 1
}

// spread passes news of backend servers on and has them count here.
func (h *Runner) spread(now time.Time, from string, news []*messenger.Backend) {
	if len(news) == 0 {
		return
	}
	for _, r := range news {
		h.Log.Emit(now, logger.FleetBackendChanged, "", logger.F("backend", r.Id), logger.F("state", r.State),
			logger.F("service", r.Service), logger.F("address", r.Address), logger.F("started", r.Started),
			logger.F("sequence", r.Sequence), logger.F("keeper", r.Keeper), logger.F("from", from))
	}
	if from == "" || h.Settings.Host.Hub {
		h.linker.EnqueueAll(from, func(m *messenger.LinkMessage) { m.Backends = append(m.Backends, news...) })
	}
	h.allocator.SetBackends(now, h.tracker.All())
}

// fill adds what this host tells of itself to a message that is about to leave.
func (h *Runner) fill(m *messenger.LinkMessage) {
	m.ConfigVersion = h.version()
	m.Leads = h.leads.Load()
}

// joined tells a host that has just been linked what this one knows of backend servers.
func (h *Runner) joined(host *messenger.FleetHost) {
	h.Log.Emit(time.Now(), logger.FleetLinked, "", logger.F("host", host.Name), logger.F("address", host.Address))
	all := h.tracker.All()
	h.linker.Enqueue(host.Name, func(m *messenger.LinkMessage) { m.Backends = append(m.Backends, all...) })
}

func (h *Runner) left(host *messenger.FleetHost) {
	now := time.Now()
	h.Log.Emit(now, logger.FleetUnlinked, "", logger.F("host", host.Name), logger.F("address", host.Address))
	h.allocator.Left(now, host.Name)
}

// receive takes a message of another host.
func (h *Runner) receive(from *messenger.FleetHost, m *messenger.LinkMessage) {
	now := time.Now()
	h.spread(now, from.Name, h.tracker.Learn(now, m.Backends))
	h.allocator.Receive(now, from, m)
	h.takeLosses(now, from, m.Losses)
	if m.ConfigVersion > h.version() && from.Hub && h.fetching.CompareAndSwap(false, true) {
		go h.fetch(from, m.ConfigVersion)
	}
}

// fetch brings a newer configuration into force here.
func (h *Runner) fetch(from *messenger.FleetHost, version uint64) {
	defer h.fetching.Store(false)
	for range maxFetches {
		if h.version() >= version {
			return
		}
		for _, hub := range append([]*messenger.FleetHost{from}, h.linkedHubs()...) {
			var reply *messenger.FetchReply
			err := h.linker.Call(context.Background(), hub.Address,
				func(ctx context.Context, c messenger.DRPCFleetClient) (err error) {
					reply, err = c.Fetch(ctx, &messenger.FetchRequest{Held: h.version()})
					return err
				})
			if err == nil && len(reply.Body) > 0 {
				h.adopt(reply.Version, reply.Body)
				break
			}
		}
		if h.version() < version {
			time.Sleep(fetchPause)
		}
	}
}

// adopt brings a configuration into force unless a newer one is.
func (h *Runner) adopt(version uint64, packed []byte) {
	h.adoptLock.Lock()
	defer h.adoptLock.Unlock()
	if version <= h.version() {
		return
	}
	body, err := recorder.Unpack(packed)
	var c *cataloger.Catalog
	if err == nil {
		c, err = h.Decode(body)
	}
	if err != nil {
		h.Log.Emit(time.Now(), logger.FleetConfigRejected, "", logger.F("version", version), logger.F("error", err))
		return
	}
	h.packed.Store(&stored{version: version, packed: packed})
	h.catalog.Store(c)
	engines := make(map[string]cataloger.Engine)
	for name, s := range c.Services {
		if s.Engine != nil {
			engines[name] = *s.Engine
		}
	}
	h.allocator.SetEngines(engines)
	h.linker.EnqueueAll("", func(*messenger.LinkMessage) {})
	h.Log.Emit(time.Now(), logger.FleetConfigAdopted, "", logger.F("version", version), logger.F("bytes", len(body)))
}

// version returns the version in force here.
func (h *Runner) version() uint64 {
	if s := h.packed.Load(); s != nil {
		return s.version
	}
	return 0
}

// tellLoss tells the other hosts that a backend server lost an answer. Only hubs are
// linked to all hosts, so another host has one of them pass it on.
func (h *Runner) tellLoss(backend string) {
	relay := !h.Settings.Host.Hub
	h.linker.EnqueueAll("", func(m *messenger.LinkMessage) {
		m.Losses = append(m.Losses, &messenger.Loss{Backend: backend, Relay: relay})
		relay = false
	})
}

// takeLosses takes what another host says of lost answers.
func (h *Runner) takeLosses(now time.Time, from *messenger.FleetHost, losses []*messenger.Loss) {
	for _, loss := range losses {
		h.balancer.LostElsewhere(now, loss.Backend)
		if !loss.Relay {
			continue
		}
		for _, host := range h.linker.Linked() {
			if host.Hub || host.Name == from.Name {
				continue
			}
			h.linker.Enqueue(host.Name, func(m *messenger.LinkMessage) {
				m.Losses = append(m.Losses, &messenger.Loss{Backend: loss.Backend})
			})
		}
	}
}
