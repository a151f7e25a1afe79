package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenareach/internal/control/recorder"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/linker"
	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

// ErrNoQuorum is returned if the newest configuration can't be determined, or if it is
// unknown whether a change to it was stored.
var ErrNoQuorum = errors.New("no hub with a quorum answers")

const (
	// callHubTimeout bounds a call to a hub.
	callHubTimeout = 850 * time.Millisecond
	// fetchRetryDelay is the delay before a failed fetch is retried.
	fetchRetryDelay = 100 * time.Millisecond
	// maxFetches bounds the rounds in which a version is requested from the hubs. A later
	// message of a hub starts new ones.
	maxFetches = 20
	// fromLog is the origin of a configuration that came with the replicated log.
	fromLog = "log"
)

// Configure stores a configuration durably and returns it decoded. A version that is not
// above the one in force is acknowledged without a change. It returns an *InvalidError if
// the configuration is invalid; after any other error it may have been stored or not.
func (h *Runner) Configure(ctx context.Context, body []byte) (*cataloger.Catalog, error) {
	c, err := h.Decode(body)
	if err != nil {
		return nil, &InvalidError{Findings: err}
	}
	begun := time.Now()
	held := h.version()
	if held < c.Version {
		held, err = h.packAndStore(ctx, c.Version, body)
	}
	now := time.Now()
	h.Log.Emit(now, logger.FleetConfigSubmitted, "", logger.F("version", c.Version), logger.F("held", held),
		logger.F("inForce", h.version()), logger.F("content", contentID(body)), logger.F("bytes", len(body)),
		logger.F("took", now.Sub(begun).Round(time.Millisecond)), logger.F("error", err))
	return c, err
}

// packAndStore stores a configuration as storeConfiguration does.
func (h *Runner) packAndStore(ctx context.Context, version uint64, body []byte) (held uint64, err error) {
	packed, err := recorder.Pack(body)
	if err != nil {
		return 0, err
	}
	return h.storeConfiguration(ctx, version, packed)
}

// contentID returns a short text that differs between two contents of a configuration, for the log.
func contentID(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// InvalidError reports that a configuration is invalid and was not stored.
type InvalidError struct {
	Findings error
}

var _ error = &InvalidError{}

// Error returns the text of the findings.
func (e *InvalidError) Error() string { return e.Findings.Error() }

// Unwrap returns the findings.
func (e *InvalidError) Unwrap() error { return e.Findings }

// storeConfiguration stores a configuration in the replicated log, through a linked hub
// unless this host is one. It returns the version then in force.
func (h *Runner) storeConfiguration(ctx context.Context, version uint64, packed []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callHubTimeout)
	defer cancel()
	if h.keeper != nil {
		return h.keeper.Put(ctx, version, packed)
	}
	answer, err := askHubs(ctx, h.linkedHubs(), func(ctx context.Context, hub *messenger.FleetHost) (hubAnswer, error) {
		var reply *messenger.ConfigureReply
		err := h.linker.Call(ctx, hub.Address, func(ctx context.Context, c messenger.DRPCFleetClient) (err error) {
			reply, err = c.Configure(ctx, &messenger.ConfigureRequest{Version: version, Body: packed})
			return err
		})
		return hubAnswer{version: reply.GetVersion()}, replyError(err, reply.GetError())
	})
	return answer.version, err
}

// ReadConfiguration returns the newest configuration in the operators' format, confirmed
// by a quorum read. It returns ErrNoQuorum if there is none yet.
func (h *Runner) ReadConfiguration(ctx context.Context) (body []byte, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, callHubTimeout)
	defer cancel()
	version, packed, err := h.readConfirmed(ctx)
	if err == nil && version == 0 {
		err = ErrNoQuorum
	}
	h.Log.Emit(time.Now(), logger.FleetConfigRead, "", logger.F("version", version), logger.F("error", err))
	if err != nil {
		return nil, 0, err
	}
	body, err = recorder.Unpack(packed)
	return body, version, err
}

// readConfirmed returns the newest configuration, packed, by a quorum read of the replicated
// log, through a linked hub unless this host is one. Version 0 means that there is none.
func (h *Runner) readConfirmed(ctx context.Context) (uint64, []byte, error) {
	if h.keeper != nil {
		return h.keeper.ReadConfirmed(ctx)
	}
	held := h.packed.Load()
	if held == nil {
		held = &packedConfig{}
	}
	answer, err := askHubs(ctx, h.linkedHubs(), func(ctx context.Context, hub *messenger.FleetHost) (hubAnswer, error) {
		var reply *messenger.FetchReply
		err := h.linker.Call(ctx, hub.Address, func(ctx context.Context, c messenger.DRPCFleetClient) (err error) {
			reply, err = c.Fetch(ctx, &messenger.FetchRequest{Confirm: true, Held: held.version})
			return err
		})
		return hubAnswer{version: reply.GetVersion(), packed: reply.GetBody()}, replyError(err, reply.GetError())
	})
	if err != nil {
		return 0, nil, err
	}
	if answer.version <= held.version {
		// The answer omits the body of a version that is held here.
		return held.version, held.packed, nil
	}
	return answer.version, answer.packed, nil
}

// ReportBackend records a backend server's report of its own state; see informer.Informer.Report. cold is
// how long it says that it will be cold; nil if it does not say.
func (h *Runner) ReportBackend(ctx context.Context, report *messenger.Backend, cold *time.Duration) error {
	now := time.Now()
	// The warm-up comes first, so that no host takes the backend server for a warm one.
	h.recordWarmUp(now, report, cold)
	return h.informer.Report(ctx, now, report)
}

// RemoveBackend records a backend server's report that it has left; see informer.Informer.Remove.
func (h *Runner) RemoveBackend(ctx context.Context, id string) error {
	return h.informer.Remove(ctx, time.Now(), id)
}

// Stopping reports whether the host is about to stop.
func (h *Runner) Stopping() bool { return h.stopping.Load() }

// alone reports whether this host is a hub that knows no other one.
func (h *Runner) alone() bool {
	return h.keeper != nil && len(h.linker.Hubs()) == 1
}

// backendsChanged logs changed reports of backend servers and gives all reports to the allocator.
// from is the host that sent the changes, or "".
func (h *Runner) backendsChanged(now time.Time, from string, changed []*messenger.Backend) {
	for _, r := range changed {
		h.Log.Emit(now, logger.FleetBackendChanged, "", logger.F("backend", r.Id), logger.F("state", r.State),
			logger.F("service", r.Service), logger.F("address", r.Address), logger.F("started", r.Started),
			logger.F("sequence", r.Sequence), logger.F("keeper", r.Keeper), logger.F("from", from))
		if r.State == messenger.Backend_STATE_DRAINING {
			h.forwarder.PrepareMoves(r)
		}
	}
	h.allocator.SetBackends(now, h.tracker.All())
}

// callInform passes reports on to another host.
func (h *Runner) callInform(ctx context.Context, host *messenger.FleetHost, req *messenger.InformRequest) error {
	return h.linker.Call(ctx, host.Address, func(ctx context.Context, c messenger.DRPCFleetClient) error {
		_, err := c.Inform(ctx, req)
		return err
	})
}

// fillMessage adds the current state of this host to a message that is about to be sent.
func (h *Runner) fillMessage(m *messenger.LinkMessage) {
	m.ConfigVersion = h.version()
	m.EvacuationRevision = h.evacuations.Load().Revision()
	m.Leads = h.leaderTerm.Load()
}

// hubLearned logs a hub that this host has heard of.
func (h *Runner) hubLearned(hub *messenger.FleetHost) {
	h.Log.Emit(time.Now(), logger.FleetHubLearned, "", logger.F("host", hub.Name), logger.F("address", hub.Address))
}

// dialFailed logs that a hub could not be dialed.
func (h *Runner) dialFailed(hub *messenger.FleetHost, err error) {
	h.Log.Emit(time.Now(), logger.FleetDialFailed, "", logger.F("host", hub.Name), logger.F("address", hub.Address),
		logger.F("error", err))
}

// callSilenced logs that a connection for calls to another host was given up.
func (h *Runner) callSilenced(now time.Time, s dialer.Silence) {
	h.Log.Emit(now, logger.FleetCallSilent, "", s.Fields(now)...)
}

// entriesLeftOut logs that entries were left out of a message to or from another host.
func (h *Runner) entriesLeftOut(l linker.LeftOut) {
	h.Log.Emit(time.Now(), logger.FleetLeftOut, "", logger.F("host", l.Host.GetName()), logger.F("sent", l.Sent),
		logger.F("entries", len(l.Entries)), logger.F("first", l.Entries[0]))
}

// linkUp sends the evacuations, the limits of all backend servers, what is known of prompts that crash
// engines and, to a hub, what it may lack of the states of backend servers to a host that has just been
// linked. The link may replace another one.
func (h *Runner) linkUp(host *messenger.FleetHost) {
	h.Log.Emit(time.Now(), logger.FleetLinked, "", logger.F("host", host.Name), logger.F("address", host.Address))
	h.subscriber.Forget(host.Name)
	now := time.Now()
	crashes, limits, warmUps := h.quarantiner.Report(now), h.throttler.Report(now), h.throttler.ReportWarmUps(now)
	h.linker.Enqueue(host.Name, func(m *messenger.LinkMessage) {
		// Read here, it can't replace newer ones that were added meanwhile.
		m.Evacuations = h.evacuations.Load().Message()
		m.RateLimits = append(m.RateLimits, limits...)
		m.WarmUps = append(m.WarmUps, warmUps...)
		if crashes != nil {
			m.CrashReports = append(m.CrashReports, crashes)
		}
	})
	h.introduceReports(host)
	h.allocator.HostUp(now, host.Name)
}

// linkDown tells the allocator that a host is no longer linked.
func (h *Runner) linkDown(host *messenger.FleetHost, end linker.LinkEnd) {
	now := time.Now()
	h.Log.Emit(now, logger.FleetUnlinked, "", logger.F("host", host.Name), logger.F("address", host.Address),
		logger.F("cause", end.Cause), logger.F("up", end.Up.Round(time.Millisecond)))
	h.meter.LinkUp(end.Up)
	h.evacuationAcks.Forget(host.Name)
	h.subscriber.Forget(host.Name)
	h.subscribe(h.subscriber.Begin(h.linker.Linked()))
	h.allocator.HostDown(now, host.Name)
}

// receiveMessage handles a message of another host.
func (h *Runner) receiveMessage(from *messenger.FleetHost, m *messenger.LinkMessage) {
	now := time.Now()
	h.receiveEvacuations(from, m)
	h.throttler.MergeWarmUps(now, from.Name, m.WarmUps)
	h.informer.Receive(now, from.Name, m.Backends)
	h.receiveSubscription(from, m)
	h.throttler.Merge(now, from.Name, m.RateLimits)
	h.allocator.Receive(now, from, m)
	h.receiveLosses(now, from, m.Losses)
	for _, report := range m.CrashReports {
		h.quarantiner.Merge(now, from.Name, report)
	}
	if m.ConfigVersion > h.version() && from.Hub && h.fetching.CompareAndSwap(false, true) {
		go h.fetch(from, m.ConfigVersion)
	}
}

// fetch fetches a configuration from the hub that announced it, or else from another one, and
// adopts it, until one of at least the given version is in force. It gives up after
// maxFetches rounds.
func (h *Runner) fetch(from *messenger.FleetHost, version uint64) {
	defer h.fetching.Store(false)
	announced := time.Now()
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
				h.adopt(reply.Version, reply.Body, hub.Name, announced)
				break
			}
		}
		if h.version() < version {
			time.Sleep(fetchRetryDelay)
		}
	}
}

// adopt puts a configuration into force if its version is above the one in force, and
// announces its version to the linked hosts. from is the hub that sent it, or fromLog; announced is when
// this host heard of it, or of an older one that it had to fetch.
func (h *Runner) adopt(version uint64, packed []byte, from string, announced time.Time) {
	h.adoptMu.Lock()
	defer h.adoptMu.Unlock()
	former := h.version()
	if version <= former {
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
	h.packed.Store(&packedConfig{version: version, packed: packed})
	c.InForceSince = time.Now()
	h.catalog.Store(c)
	engines := make(map[string]cataloger.Engine)
	for name, s := range c.Services {
		if s.Engine != nil {
			engines[name] = *s.Engine
		}
	}
	h.allocator.SetEngines(engines)
	// fillMessage adds the version to the empty messages.
	h.linker.EnqueueAll("", func(*messenger.LinkMessage) {})
	h.Log.Emit(c.InForceSince, logger.FleetConfigAdopted, "", logger.F("version", version), logger.F("former", former),
		logger.F("from", from), logger.F("took", c.InForceSince.Sub(announced).Round(time.Millisecond)),
		logger.F("content", contentID(body)), logger.F("bytes", len(body)))
}

// version returns the version of the configuration in force here; 0 if there is none.
func (h *Runner) version() uint64 {
	if s := h.packed.Load(); s != nil {
		return s.version
	}
	return 0
}

// publishLoss tells the other hosts that a backend server lost a response. Hosts that are
// not hubs are linked only to hubs, so such a host has one hub relay the loss.
func (h *Runner) publishLoss(backend string) {
	relay := !h.Settings.Host.Hub
	h.linker.EnqueueAll("", func(m *messenger.LinkMessage) {
		m.Losses = append(m.Losses, &messenger.Loss{Backend: backend, Relay: relay})
		// Only the first message has its hub relay the loss.
		relay = false
	})
}

// publishCrashes passes on what is new of prompts that crash engines, to all linked hosts but one.
func (h *Runner) publishCrashes(except string, report *messenger.CrashReport) {
	h.linker.EnqueueAll(except, func(m *messenger.LinkMessage) { m.CrashReports = append(m.CrashReports, report) })
}

// publishLimits passes changed limits of backend servers on, to all linked hosts but one.
func (h *Runner) publishLimits(except string, limits []*messenger.RateLimit) {
	h.linker.EnqueueAll(except, func(m *messenger.LinkMessage) { m.RateLimits = append(m.RateLimits, limits...) })
}

// limitShare returns the share of each limit of a backend server that this host may grant: a host that
// is not a hub grants only while it is linked to none.
func (h *Runner) limitShare() float64 {
	if h.Settings.Host.Hub {
		return 1
	}
	return 1 / float64(h.estimateHosts())
}

// receiveLosses handles lost responses that another host reports. A loss with Relay is sent
// on to the linked hosts that are not hubs; the hubs have it from the reporting host.
func (h *Runner) receiveLosses(now time.Time, from *messenger.FleetHost, losses []*messenger.Loss) {
	for _, loss := range losses {
		h.balancer.RecordRemoteLoss(now, loss.Backend)
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
