package runner

import (
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/sizer"
	"verbenareach/internal/wire/messenger"
)

// trafficInterval is the time between two lines of the log about what was sent.
const trafficInterval = 10 * time.Second

// countSent counts a message that is sent to another host.
func (h *Runner) countSent(to *messenger.FleetHost, m *messenger.LinkMessage) {
	h.sizer.Add(m, h.Settings.Regions[to.FailureDomain] != h.Settings.Region)
}

// logTraffic logs what was sent over the links since the last call and adds it to the metrics.
func (h *Runner) logTraffic(now time.Time) {
	sent := h.sizer.Take()
	if sent.Messages == 0 {
		return
	}
	fields := []logger.Field{logger.F("messages", sent.Messages)}
	for k := range sizer.Kinds {
		if sent.Near[k]+sent.Far[k] == 0 {
			continue
		}
		fields = append(fields, logger.F(k.String()+"Near", sent.Near[k]), logger.F(k.String()+"Far", sent.Far[k]))
		h.meter.Sent(k.String(), "near", sent.Near[k])
		h.meter.Sent(k.String(), "far", sent.Far[k])
	}
	h.Log.Emit(now, logger.FleetTraffic, "", fields...)
}
