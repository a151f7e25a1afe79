package runner

import (
	"context"
	"time"

	"verbenareach/internal/fleet/allocator"
	"verbenareach/internal/fleet/balancer"
	"verbenareach/internal/fleet/budgeter"
	"verbenareach/internal/fleet/forwarder"
	"verbenareach/internal/fleet/informer"
	"verbenareach/internal/fleet/keeper"
	"verbenareach/internal/fleet/linker"
	"verbenareach/internal/fleet/pacer"
	"verbenareach/internal/fleet/prober"
	"verbenareach/internal/fleet/quarantiner"
	"verbenareach/internal/fleet/receiver"
	"verbenareach/internal/fleet/sender"
	"verbenareach/internal/fleet/subscriber"
	"verbenareach/internal/fleet/throttler"
	"verbenareach/internal/fleet/tracker"
	"verbenareach/internal/wire/messenger"
)

// build creates the components and connects them.
func (h *Runner) build() {
	h.startedAt = time.Now()
	h.seeds.Store(&h.Settings.Seeds)
	h.buildReports()
	h.buildRequests()
	if h.Settings.Host.Hub {
		h.buildHub()
	}
}

// buildReports creates what learns the states and limits of backend servers and passes them on.
func (h *Runner) buildReports() {
	s := h.Settings
	h.tracker = &tracker.Tracker{Name: s.Host.Name, SilenceTimeout: time.Duration(maxMissedHeartbeats * float64(s.Heartbeat)), Evacuations: h.evacuations.Load}
	h.linker = &linker.Linker{
		Self: s.Host, Seeds: func() []string { return *h.seeds.Load() }, Bootstrap: s.Bootstrap,
		MinFounders: 2*s.MaxLostHubs + 1, Fill: h.fillMessage, HubLearned: h.hubLearned, DialFailed: h.dialFailed,
		LinkUp: h.linkUp, LinkDown: h.linkDown, Receive: h.receiveSafely, CallSilenced: h.callSilenced, Sent: h.countSent, LeftOut: h.entriesLeftOut,
	}
	h.subscriber = &subscriber.Subscriber{Self: s.Host, Regions: s.Regions}
	h.throttler = &throttler.Throttler{
		Publish: h.publishLimits, Relay: s.Host.Hub, Share: h.limitShare,
		PublishWarmUps: h.publishWarmUps, ColdRate: h.coldRate, ColdShare: h.coldShare, Log: h.Log,
	}
	h.informer = &informer.Informer{
		Self: s.Host, Tracker: h.tracker, Linked: h.linker.Linked, Alone: h.alone, EnqueueReports: h.enqueueReports, PassOn: h.passOnReports, Enqueue: h.linker.Enqueue,
		Call: h.callInform, WarmUps: h.warmUpsOf, MergeWarmUps: h.throttler.MergeWarmUps, OnChange: h.backendsChanged, Log: h.Log,
	}
	h.pool = &sender.Pool{IdleTimeout: backendIdleTimeout}
	h.prober = &prober.Prober{
		Self: s.Host.Name, Reports: h.tracker.All, Linked: h.linker.Linked, IsEngine: h.isEngineService,
		Leaving: func(ctx context.Context, address string) (bool, error) {
			return h.Dialect.Leaving(ctx, h.pool, address)
		},
		IsPaused:  func(now time.Time, b *messenger.Backend) bool { return h.tracker.PauseLeft(now, b) > 0 },
		OnLeaving: h.informer.Depart, Log: h.Log,
	}
}

// buildRequests creates what serves requests. Its parts use those of buildReports.
func (h *Runner) buildRequests() {
	s := h.Settings
	budget := &budgeter.Budgeter{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow, Hosts: h.estimateHosts}
	paces := &pacer.Collector{}
	h.allocator = &allocator.Allocator{
		Name: s.Host.Name, Enqueue: h.linker.Enqueue, Throttler: h.throttler, Regions: s.Regions, Paces: paces, Log: h.Log,
		Move: func(m *messenger.MoveOrder) error { return h.forwarder.Move(m) },
		Runs: func() []*messenger.RunState { return h.forwarder.Runs() },
	}
	h.balancer = &balancer.Balancer{FailureDomain: s.Host.FailureDomain, Hosts: h.estimateHosts, ReportLoss: h.publishLoss}
	h.quarantiner = &quarantiner.Quarantiner{
		Publish: h.publishCrashes, Relay: s.Host.Hub, MayProbe: func() bool { return h.leaderTerm.Load() > 0 },
		OnQuarantine: func(now time.Time) { h.forwarder.EndQuarantined(now) }, OnChange: func() {}, Log: h.Log,
	}
	if s.Host.Hub {
		h.crashStore = newCrashStore(h.quarantiner, s.DataFolder, h.Log)
		h.quarantiner.OnChange = h.crashStore.signal
	}
	h.forwarder = &forwarder.Forwarder{
		Dialect: h.Dialect, Regions: s.Regions, Balancer: h.balancer, StartedAt: h.startedAt, FailureDomain: s.Host.FailureDomain, Catalog: h.catalog.Load, Tracker: h.tracker,
		Quarantine: h.quarantiner, Throttler: h.throttler, Permit: h.allocator.Permit, OnLeaving: h.informer.DepartByAnswer, Budget: budget, Pool: h.pool, Place: h.allocator.Place, ReportState: h.allocator.Report,
		Stopping: h.stopState, Log: h.Log, Observe: h.meter.Request,
		ObserveFirstEvent: h.meter.FirstToken, ObserveGap: h.meter.Gap, ObservePace: paces.Observe, ObservePause: h.meter.Pause,
		LargeBytes: int64(largeShare * float64(s.MemoryBytes)),
	}
	h.receiver = &receiver.Receiver{
		Handle: h.handleRequest, Limits: h.limits, Deadline: h.forwarder.Deadline, LargeBytes: int64(largeShare * float64(s.MemoryBytes)), OnRefused: h.logMalformed,
	}
}

// buildHub creates what only a hub has beside the others.
func (h *Runner) buildHub() {
	s := h.Settings
	h.keeper = &keeper.Keeper{
		Self: s.Host, Folder: s.DataFolder, MinVoters: 2*s.MaxLostHubs + 1, Candidates: h.linkedHubs,
		OnChange:      func(version uint64, packed []byte) { h.adopt(version, packed, fromLog, time.Now()) },
		OnEvacuations: h.adoptEvacuations, Log: h.Log,
	}
	h.linker.Remembered = h.keeper.MemberAddresses
	if s.Bootstrap {
		h.keeper.Founders = h.linker.AwaitFounders
	}
}
