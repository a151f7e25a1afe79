package scheduler

import (
	"time"

	"verbenareach/internal/wire/messenger"
)

const (
	// planDelayPerRun and planDelayPerReceiver are the time without a further plan after one, for each
	// generation that was planned and each engine that may have received it: plans of a large fleet must
	// not take all of the processor. The delay is shorter by planDelayFree, so that the plans of small
	// fleets follow each message, and bounded by maxPlanDelay.
	planDelayPerRun      = 25 * time.Microsecond
	planDelayPerReceiver = 2 * time.Microsecond
	planDelayFree        = 2 * time.Millisecond
	maxPlanDelay         = 40 * time.Millisecond
)

// moveAll orders moves away from engines that are leaving or evacuated: first those of runs with a complete
// backup, which need no transfer, then those that the plan for all these engines has next.
func (s *Scheduler) moveAll(now time.Time) {
	leaving := make(map[string][]*backend)
	for _, b := range s.ordered {
		if !b.isEmptied() || len(b.runs) == 0 {
			continue
		}
		b.movedToBackup += s.moveToBackups(now, b)
		leaving[b.report.Service] = append(leaving[b.report.Service], b)
	}
	delay := time.Duration(0)
	for service, list := range leaving {
		delay += s.moveByPlan(now, service, list)
	}
	s.nextPlan = now.Add(min(max(delay-planDelayFree, 0), maxPlanDelay))
}

// moveToBackups orders all runs of an engine that have a complete backup to continue there. It
// returns their number.
func (s *Scheduler) moveToBackups(now time.Time, b *backend) (n int) {
	for _, r := range b.sortedRuns() {
		if s.movable(now, r) && r.moveFailures == 0 && backedUp(now, r) && !s.barred(now, r.backup) && s.outlives(now, r) {
			s.orderMove(now, b, r.backup, r, true)
			n++
		}
	}
	return n
}

// movable reports whether a run may be ordered to move.
func (s *Scheduler) movable(now time.Time, r *run) bool {
	return !r.streamingSince.IsZero() && r.destination == nil && r.moveFailures < maxMoveFailures && !now.Before(r.nextMove)
}

// recordMoveFailure counts a move that failed. The next one is ordered at once, those after it with
// more and more delay.
func (r *run) recordMoveFailure(now time.Time) {
	if r.moveFailures > 0 {
		r.nextMove = now.Add(moveRetryDelay << (r.moveFailures - 1))
	}
	r.moveFailures++
}

// backedUp reports whether a run has a complete backup on a ready engine.
func backedUp(now time.Time, r *run) bool {
	complete := now.Sub(r.streamingSince) >= backupDelay
	return complete && r.backup != nil && r.backup.ready()
}

// orderMove sends a move order to the entry of a run. If copied is set, the run's backup is at
// the destination and the run counts as there at once; otherwise memory is reserved there for
// its transfer.
func (s *Scheduler) orderMove(now time.Time, from, to *backend, r *run, copied bool) {
	if r.backup != nil && !copied {
		s.orphanCopy(now, r.backup, r)
	}
	if r.backup != nil {
		r.backup.remove(r, true)
		r.backup = nil
	}
	m := &messenger.MoveOrder{Run: r.id, From: from.report.Id, To: to.report.Id, Copied: copied}
	if copied {
		from.remove(r, false)
		r.backend = to
		to.add(r, false)
		s.Throttler.Charge(now, to.report)
	} else {
		from.outgoing, to.incoming = r, r
		r.source, r.destination = from, to
		r.transfer = s.newTransfer(now, r, from, to)
		to.add(r, true)
		s.reserveLinks(now, from, to, s.held(now, r), s.transfers.overheads[r.transfer.host])
	}
	if copied {
		// After a transfer no backup is chosen: a copy of the whole KV cache would fill the link
		// that the next moves need.
		if backup := s.chooseBackup(now, r, to); backup != nil {
			m.Backup = backup.report.Id
		}
	}
	s.Send(r.entry, Decision{Move: m})
}
