package runner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/evacuator"
	"verbenareach/internal/wire/messenger"
)

type (
	// Evacuation is an evacuated failure domain as an operator sees it.
	Evacuation struct {
		FailureDomain string
		OrderedAt     time.Time
		// Runs counts the generations that still run there: those of all hosts if Complete is set,
		// else those of this host.
		Runs     int
		Complete bool
	}

	// UnknownDomainError reports that no failure domain has a name.
	UnknownDomainError struct {
		FailureDomain string
		// Known holds the names of the failure domains, sorted.
		Known []string
	}
)

const (
	// evacuationWait bounds how long an order waits at a hub, from its arrival on, for the linked
	// hosts to act on it. It leaves time for the reply within callHubTimeout.
	evacuationWait = 600 * time.Millisecond
	// callerCheckTime is how long an order is held to notice that its caller has left: one that was
	// read late must not undo a later order.
	callerCheckTime = 5 * time.Millisecond
	// evacuationLogInterval is the time between log lines on what is left in evacuated domains.
	evacuationLogInterval = 5 * time.Second
)

var _ error = &UnknownDomainError{}

// Error returns a text with the names of the known failure domains.
func (e *UnknownDomainError) Error() string {
	return fmt.Sprintf("failure domain %q is unknown; known are %s", e.FailureDomain, strings.Join(e.Known, ", "))
}

// Evacuate orders that the backend servers of a failure domain get no new work, or with end that they
// do again. It returns once that is stored durably and the linked hosts act on it, or have had
// evacuationWait for that. It returns an *UnknownDomainError, and changes nothing, if no failure
// domain has that name; after any other error it may have been stored or not.
func (h *Runner) Evacuate(ctx context.Context, domain string, end bool) error {
	begun := time.Now()
	known := h.knownDomains()
	if !utf8.ValidString(domain) || len(known) > 0 && !slices.Contains(known, domain) {
		err := &UnknownDomainError{FailureDomain: domain, Known: known}
		h.Log.Emit(begun, logger.EvacuationRefused, "", logger.F("failureDomain", domain), logger.F("end", end), logger.F("error", err))
		return err
	}
	h.Log.Emit(begun, logger.EvacuationOrdered, "", logger.F("failureDomain", domain), logger.F("end", end))
	ctx, cancel := context.WithTimeout(ctx, callHubTimeout)
	defer cancel()
	if err := requireCaller(ctx); err != nil {
		return err
	}
	req := &messenger.EvacuateRequest{FailureDomain: domain, End: end}
	var err error
	if h.keeper != nil {
		_, err = h.commitEvacuation(ctx, req)
	} else {
		err = h.askToEvacuate(ctx, req)
	}
	if err == nil {
		h.meter.Evacuation(time.Since(begun))
	}
	return err
}

// requireCaller holds an order for callerCheckTime. It returns an error if its caller has left.
func requireCaller(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(callerCheckTime):
		return nil
	}
}

// Evacuations returns the evacuated failure domains in force here and their revision.
func (h *Runner) Evacuations() (list []Evacuation, revision uint64) {
	set := h.evacuations.Load()
	own := h.runsByDomain()
	left, decides := h.allocator.Evacuated(time.Now())
	all := make(map[string]int)
	for _, e := range left {
		all[e.FailureDomain] = e.Runs
	}
	for _, domain := range set.Domains() {
		e := Evacuation{FailureDomain: domain, OrderedAt: set.OrderedAt(domain), Runs: own[domain], Complete: decides}
		if decides {
			e.Runs = all[domain]
		}
		list = append(list, e)
	}
	return list, set.Revision()
}

// askToEvacuate has a linked hub commit an order.
func (h *Runner) askToEvacuate(ctx context.Context, req *messenger.EvacuateRequest) error {
	_, err := askHubs(ctx, h.linkedHubs(), func(ctx context.Context, hub *messenger.FleetHost) (hubAnswer, error) {
		var reply *messenger.EvacuateReply
		err := h.linker.Call(ctx, hub.Address, func(ctx context.Context, c messenger.DRPCFleetClient) (err error) {
			reply, err = c.Evacuate(ctx, req)
			return err
		})
		return hubAnswer{version: reply.GetRevision()}, replyError(err, reply.GetError())
	})
	return err
}

// commitEvacuation has this hub commit an order and returns the revision then in force, once the
// linked hosts act on it or have had evacuationWait for that.
func (h *Runner) commitEvacuation(ctx context.Context, req *messenger.EvacuateRequest) (uint64, error) {
	begun := time.Now()
	req.OrderedMs = begun.UnixMilli()
	set, err := h.keeper.Evacuate(ctx, req)
	h.Log.Emit(time.Now(), logger.EvacuationCommitted, "", logger.F("failureDomain", req.FailureDomain), logger.F("end", req.End),
		logger.F("revision", set.Revision()), logger.F("took", time.Since(begun).Round(time.Millisecond)), logger.F("error", err))
	if err != nil {
		return 0, err
	}
	// A hub that does not lead has the result before its own replica has applied it.
	h.adoptEvacuations(set)
	waiting, cancel := context.WithDeadline(ctx, begun.Add(evacuationWait))
	defer cancel()
	missing := h.evacuationAcks.Await(waiting, set.Revision(), h.linkedNames)
	h.Log.Emit(time.Now(), logger.EvacuationAcknowledged, "", logger.F("failureDomain", req.FailureDomain), logger.F("end", req.End),
		logger.F("revision", set.Revision()), logger.F("linked", len(h.linker.Linked())), logger.F("missing", missing),
		logger.F("took", time.Since(begun).Round(time.Millisecond)))
	return set.Revision(), nil
}

// adoptEvacuations puts committed evacuations into force if their revision is above the one in force,
// and tells the linked hosts.
func (h *Runner) adoptEvacuations(set *evacuator.Set) {
	h.evacuateMu.Lock()
	defer h.evacuateMu.Unlock()
	before := h.evacuations.Load()
	if set.Revision() <= before.Revision() {
		return
	}
	now := time.Now()
	// The revision that is in force here is told to others, so the scheduler has to act on it by then.
	h.allocator.SetEvacuations(now, set)
	h.evacuations.Store(set)
	message := set.Message()
	h.linker.EnqueueAll("", func(m *messenger.LinkMessage) { m.Evacuations = message })
	h.meter.Gauge("evacuated_failure_domains").Update(float64(len(message.Evacuations)))
	h.logAdopted(now, before, set)
	h.logEvacuated(now)
}

// logAdopted logs what a revision of the evacuations changes.
func (h *Runner) logAdopted(now time.Time, before, after *evacuator.Set) {
	for _, domain := range after.Domains() {
		if !before.Contains(domain) {
			h.Log.Emit(now, logger.EvacuationAdopted, "", logger.F("failureDomain", domain), logger.F("revision", after.Revision()),
				logger.F("age", now.Sub(after.OrderedAt(domain)).Round(time.Millisecond)))
		}
	}
	for _, domain := range before.Domains() {
		if !after.Contains(domain) {
			h.Log.Emit(now, logger.EvacuationEnded, "", logger.F("failureDomain", domain), logger.F("revision", after.Revision()),
				logger.F("lasted", now.Sub(before.OrderedAt(domain)).Round(time.Millisecond)))
		}
	}
}

// receiveEvacuations handles the evacuations in a message of another host, and sends this host's to
// one that acts on older ones.
func (h *Runner) receiveEvacuations(from *messenger.FleetHost, m *messenger.LinkMessage) {
	h.evacuationAcks.Record(from.Name, m.EvacuationRevision)
	if m.Evacuations != nil {
		h.adoptEvacuations(evacuator.Decode(m.Evacuations))
	}
	held := h.evacuations.Load()
	if m.EvacuationRevision >= held.Revision() {
		return
	}
	message := held.Message()
	h.linker.Enqueue(from.Name, func(m *messenger.LinkMessage) { m.Evacuations = message })
}

// logEvacuated logs what is left in evacuated failure domains, if this host decides where generations
// run.
func (h *Runner) logEvacuated(now time.Time) {
	left, decides := h.allocator.Evacuated(now)
	if !decides {
		return
	}
	for _, e := range left {
		if e.Runs > 0 {
			h.Log.Emit(now, logger.EvacuationProgress, "", logger.F("failureDomain", e.FailureDomain), logger.F("runs", e.Runs),
				logger.F("moving", e.Moving), logger.F("held", e.Held), logger.F("room", e.Room))
		}
	}
}

// knownDomains returns the failure domains that the settings name, and those of backend servers, of
// hosts and of evacuations, sorted; none if the settings name none, as then any name may be right.
func (h *Runner) knownDomains() []string {
	if len(h.Settings.Regions) == 0 {
		return nil
	}
	known := maps.Clone(h.Settings.Regions)
	for _, b := range h.tracker.All() {
		known[b.FailureDomain] = ""
	}
	for _, host := range append(h.linker.Linked(), h.Settings.Host) {
		known[host.FailureDomain] = ""
	}
	for _, domain := range h.evacuations.Load().Domains() {
		known[domain] = ""
	}
	delete(known, "")
	return slices.Sorted(maps.Keys(known))
}

// linkedNames returns the names of the linked hosts.
func (h *Runner) linkedNames() (names []string) {
	for _, host := range h.linker.Linked() {
		names = append(names, host.Name)
	}
	return names
}

// runsByDomain counts this host's generations by the failure domain of their engine.
func (h *Runner) runsByDomain() map[string]int {
	counts := make(map[string]int)
	for _, r := range h.forwarder.Runs() {
		if b := h.tracker.Find(r.Backend); b != nil {
			counts[b.FailureDomain]++
		}
	}
	return counts
}
