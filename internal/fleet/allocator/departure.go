package allocator

import (
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/fleet/scheduler"
)

// logPlan logs a plan for engines that leave.
func (a *Allocator) logPlan(now time.Time, p scheduler.DeparturePlan) {
	left := "unknown"
	if p.Left != scheduler.Unlimited {
		left = p.Left.Round(time.Millisecond).String()
	}
	a.Log.Emit(now, logger.FleetDeparturePlanned, "", logger.F("service", p.Service), logger.F("backends", p.Engines), logger.F("left", left),
		logger.F("age", p.NoticeAge.Round(time.Millisecond)), logger.F("runs", p.Runs), logger.F("copies", p.Backups), logger.F("moves", p.Moves),
		logger.F("risky", p.Risky), logger.F("stays", p.Stays), logger.F("prefilling", p.Prefilling), logger.F("unsaved", p.Unsaved))
}

// logLoss logs a run that was lost with its engine, which left.
func (a *Allocator) logLoss(now time.Time, l scheduler.DepartureLoss) {
	a.Log.Emit(now, logger.RunNotSaved, l.Run, logger.F("backend", l.Backend), logger.F("cause", l.Cause),
		logger.F("afterNotice", l.AfterNotice.Round(time.Millisecond)))
}
