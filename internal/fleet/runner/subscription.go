package runner

import (
	"slices"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// introduceReports sends what a hub that has just been linked may not get from its sources: the reports
// that came to this host and, from a hub, which backend servers are draining, as hosts that found that
// out may be lost; and this hub's links.
func (h *Runner) introduceReports(host *messenger.FleetHost) {
	if !host.Hub {
		return
	}
	self := h.Settings.Host
	h.sendReports(host.Name, h.reports(func(r *messenger.Backend) bool {
		return r.Keeper == self.Name || self.Hub && r.State == messenger.Backend_STATE_DRAINING
	}))
	if self.Hub {
		h.linker.Enqueue(host.Name, func(m *messenger.LinkMessage) { m.Linked = append(m.Linked, h.subscriber.Announced()) })
	}
	h.subscribe(h.subscriber.Begin(h.linker.Linked()))
}

// subscribe tells hubs that this host takes reports from them.
func (h *Runner) subscribe(hubs []string) {
	for _, hub := range hubs {
		h.linker.Enqueue(hub, func(m *messenger.LinkMessage) { m.Subscribes = true })
		h.Log.Emit(time.Now(), logger.FleetSubscribed, "", logger.F("hub", hub))
	}
}

// receiveSubscription handles what a message of another host says about subscriptions and links.
func (h *Runner) receiveSubscription(from *messenger.FleetHost, m *messenger.LinkMessage) {
	if m.Subscribes {
		// Changes from now on are passed on, those before are in the reports that are sent now. Those of
		// processes that have ended are among them: a host that was cut off may hold them as ready.
		h.subscriber.Subscribe(from.Name)
		h.sendReports(from.Name, h.tracker.All())
	}
	for _, linked := range m.Linked {
		h.sendMissed(from, h.subscriber.Learn(from.Name, linked))
	}
}

// sendMissed sends a hub that has lost links to other hosts what it may lack as this hub did not pass it on:
// the reports that came to these hosts, and which backend servers are draining, as these hosts may have
// found out.
func (h *Runner) sendMissed(hub *messenger.FleetHost, lost []string) {
	if len(lost) == 0 {
		return
	}
	h.sendReports(hub.Name, h.reports(func(r *messenger.Backend) bool {
		return slices.Contains(lost, r.Keeper) || r.State == messenger.Backend_STATE_DRAINING
	}))
}

// reports returns the reports of the backend servers that are included.
func (h *Runner) reports(includes func(r *messenger.Backend) bool) []*messenger.Backend {
	return slices.DeleteFunc(h.tracker.All(), func(r *messenger.Backend) bool { return !includes(r) })
}

// announceLinks tells the other hubs which links of this hub came up or went down.
func (h *Runner) announceLinks() {
	if !h.Settings.Host.Hub {
		return
	}
	news := h.subscriber.Announce(h.linker.Linked())
	if news == nil {
		return
	}
	h.linker.EnqueueWhere(func(to *messenger.FleetHost) bool { return to.Hub },
		func(m *messenger.LinkMessage) { m.Linked = append(m.Linked, news) })
}

// sendReports adds reports to the next message to a linked host.
func (h *Runner) sendReports(host string, reports []*messenger.Backend) {
	h.linker.Enqueue(host, func(m *messenger.LinkMessage) { m.Backends = append(m.Backends, reports...) })
}

// enqueueReports calls add with the next message to each linked host that gets reports from this one,
// except the named one.
func (h *Runner) enqueueReports(except string, add func(m *messenger.LinkMessage)) {
	h.linker.EnqueueWhere(func(to *messenger.FleetHost) bool { return to.Name != except && h.subscriber.Sends("", to) }, add)
}

// passOnReports calls add with the next message to each linked host that gets from this one what
// origin has sent over its links.
func (h *Runner) passOnReports(origin string, add func(m *messenger.LinkMessage)) {
	h.linker.EnqueueWhere(func(to *messenger.FleetHost) bool { return h.subscriber.Sends(origin, to) }, add)
}
