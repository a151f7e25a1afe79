package scheduler

import (
	"time"
)

const (
	// minBackupFill and maxBackupFill limit the share of an engine's memory up to which it
	// takes backups of the shortest and of the longest runs; longOutput is the expected
	// output in tokens from which on a run counts as long.
	minBackupFill = 0.5
	maxBackupFill = 0.85
	longOutput    = 1200
	// maxBackupTransfer is the longest time for which a backup may take the links of two engines, which
	// can't move anything else meanwhile.
	maxBackupTransfer = 700 * time.Millisecond
)

// backupFillLimit returns the share of an engine's memory up to which it takes a backup of r.
// The limit rises with the expected output: a long run is worth most and is the most likely
// to be running when its engine stops.
func backupFillLimit(r *run) float64 {
	long := min(float64(r.outputLength.Remaining(0))/longOutput, 1)
	return minBackupFill + (maxBackupFill-minBackupFill)*long
}

// fleetFill returns the share of the memory of a service's ready engines that runs, backups and
// orphans are forecast to take; 1 if no engine is ready.
func (s *Scheduler) fleetFill(now time.Time, service string) float64 {
	used, room := 0, 0
	for _, b := range s.ordered {
		if b.report.Service != service || !b.ready() {
			continue
		}
		used += s.peakMemory(now, b)
		room += b.engine.Tokens
	}
	if room == 0 {
		return 1
	}
	return float64(used) / float64(room)
}

// chooseBackup chooses an engine that receives a copy of the KV cache of a run on primary as
// it grows, and records the backup there. It returns nil if the engines make no backups, the run
// is expected to end soon, others would miss its memory more, or no other engine has room.
func (s *Scheduler) chooseBackup(now time.Time, r *run, primary *backend) *backend {
	if !primary.engine.Backups || r.outputLength.Remaining(0) < minBackupOutput {
		return nil
	}
	if !s.worthBackup(now, r, primary.report.Service) {
		return nil
	}
	var best *backend
	bestCost := 0.0
	need := s.footprint(now, r).peak
	limit := backupFillLimit(r)
	for _, b := range s.ordered {
		if b == primary || b == r.backend || b.report.Service != primary.report.Service || !b.ready() {
			continue
		}
		if s.barred(now, b) || !b.allows(r.req) {
			continue
		}
		fill := float64(s.peakMemory(now, b)+need) / float64(b.engine.Tokens)
		if fill > limit {
			continue
		}
		// From here on fill is a cost: a second of the link counts as a full engine.
		took := s.transferTime(now, primary, b, need)
		if took > maxBackupTransfer {
			continue
		}
		fill += max(0, b.linkBusyUntil.Sub(now).Seconds()) + took.Seconds()
		if b.report.FailureDomain != primary.report.FailureDomain {
			fill += farBackupCost
		}
		if best == nil || fill < bestCost {
			best, bestCost = b, fill
		}
	}
	if best != nil {
		best.add(r, true)
		r.backup = best
		// Copying starts when the prefill ends.
		begin := now.Add(prefillTime(int(r.req.PromptTokens)))
		s.reserveLinks(begin, primary, best, need, 0)
	}
	return best
}
