package runner

import (
	"slices"
	"time"

	"verbenareach/internal/fleet/cataloger"
	"verbenareach/internal/fleet/throttler"
	"verbenareach/internal/wire/messenger"
)

// standInShare is the part of a cold backend server's bound that all hubs that do not lead may grant
// together: they decide while no leader is known, or for a moment beside it. The leader grants the whole
// bound, hosts that are no hubs nothing.
const standInShare = 0.25

// recordWarmUp records what a backend server's report to this host says of how long it is cold; nil if
// it does not say. A report that is older than the newest one changes nothing. A process whose first
// report does not say is taken to be cold from then on, unless this host has just started as well. A service
// that is known to have no bound has no warm-ups; the configuration of others may still come.
func (h *Runner) recordWarmUp(now time.Time, report *messenger.Backend, cold *time.Duration) {
	bound, isKnown := h.warmUp(report.Service)
	if isKnown && bound.PerSecond == 0 {
		return
	}
	known := h.tracker.Find(report.Id)
	isSameProcess := known != nil && known.Started == report.Started
	if known != nil && known.Started > report.Started || isSameProcess && known.Sequence >= report.Sequence {
		return
	}
	if cold != nil {
		h.throttler.RecordCold(now, now, report, *cold, throttler.FromReport)
		return
	}
	if isSameProcess || bound.Time == 0 || now.Sub(h.startedAt) <= bound.Time || h.throttler.HasWarmUp(report) {
		return
	}
	h.throttler.RecordCold(now, now, report, bound.Time, throttler.FromStart)
}

// warmUp returns the bound on the requests to cold backend servers of a service. isKnown is false if no
// configuration here has the service.
func (h *Runner) warmUp(service string) (bound cataloger.WarmUp, isKnown bool) {
	c := h.catalog.Load()
	if c == nil {
		return cataloger.WarmUp{}, false
	}
	known, isKnown := c.Services[service]
	return known.WarmUp, isKnown
}

// coldRate returns the requests a second that a backend server takes while it is cold; 0 for no bound.
func (h *Runner) coldRate(backend string) float64 {
	c, known := h.catalog.Load(), h.tracker.Find(backend)
	if c == nil || known == nil {
		return 0
	}
	return c.Services[known.Service].WarmUp.PerSecond
}

// coldShare returns the share of a cold backend server's bound that this host may grant.
func (h *Runner) coldShare() float64 {
	switch {
	case !h.Settings.Host.Hub:
		return 0
	case h.leaderTerm.Load() > 0:
		return 1
	default:
		return standInShare / float64(max(len(h.linker.Hubs()), 1))
	}
}

// publishWarmUps passes news of warm-ups on, to all linked hosts but one.
func (h *Runner) publishWarmUps(except string, warmUps []*messenger.WarmUp) {
	h.linker.EnqueueAll(except, func(m *messenger.LinkMessage) { m.WarmUps = append(m.WarmUps, warmUps...) })
}

// warmUpsOf returns the warm-ups of those backend servers that are cold.
func (h *Runner) warmUpsOf(now time.Time, backends []*messenger.Backend) []*messenger.WarmUp {
	return slices.DeleteFunc(h.throttler.ReportWarmUps(now), func(w *messenger.WarmUp) bool {
		return !slices.ContainsFunc(backends, func(b *messenger.Backend) bool { return b.Id == w.Backend })
	})
}

// gaugeWarmUps logs the warm-ups that are over and updates the gauges of cold backend servers.
func (h *Runner) gaugeWarmUps(now time.Time) {
	h.meter.Gauge("cold_backend_servers").Update(float64(h.throttler.ExpireWarmUps(now)))
	h.meter.Gauge("cold_requests_put_off").Update(float64(h.throttler.PutOff()))
}
