package scheduler

import (
	"time"

	"verbenareach/internal/wire/messenger"
)

const (
	// minCopyShare and maxCopyShare are the shares of an engine's memory up to which the
	// shortest and the longest runs are copied there; longOutput is the expected output
	// in tokens from which on a run counts as long.
	minCopyShare = 0.5
	maxCopyShare = 0.85
	longOutput   = 1200
	// maxFleetFill is the share of all engines' memory, copies included, beyond which no
	// further copies are made: what is left is for runs.
	maxFleetFill = 0.5
)

// copyShare returns the share of an engine's memory up to which a run is copied there. A
// long run is worth most and is most likely to meet the end of its engine.
func copyShare(r *run) float64 {
	long := min(float64(r.spread.Remaining(0))/longOutput, 1)
	return minCopyShare + (maxCopyShare-minCopyShare)*long
}

// fleetFill returns the share of the memory of a service's engines that is forecast to be
// taken by runs and copies.
func (s *Scheduler) fleetFill(now time.Time, service string) float64 {
	used, room := 0, 0
	for _, b := range s.backends {
		if b.report.Service != service || b.report.State != messenger.Backend_STATE_READY {
			continue
		}
		used += s.used(now, b)
		room += b.engine.Tokens
	}
	if room == 0 {
		return 1
	}
	return float64(used) / float64(room)
}

// copyTarget picks where the memory of a run on an engine is copied as it grows; nil if
// no other has the room, or if the run is expected to end soon.
func (s *Scheduler) copyTarget(now time.Time, r *run, at *backend) *backend {
	if !at.engine.Backups || r.spread.Remaining(0) < minCopied {
		return nil
	}
	if s.fleetFill(now, at.report.Service) > maxFleetFill {
		return nil
	}
	var best *backend
	bestCost := 0.0
	need := s.claim(now, r).peak
	for _, b := range s.backends {
		if b == at || b == r.at || b.report.Service != at.report.Service || b.report.State != messenger.Backend_STATE_READY {
			continue
		}
		fill := float64(s.used(now, b)+need) / float64(b.engine.Tokens)
		if fill > copyShare(r) {
			continue
		}
		fill += max(0, b.linkBusy.Sub(now).Seconds())
		if b.report.FailureDomain != at.report.FailureDomain {
			fill += farCopyCost
		}
		if best == nil || fill < bestCost {
			best, bestCost = b, fill
		}
	}
	if best != nil {
		best.add(r, true)
		r.copied = best
		// The copy begins as the prompt is read.
		begin := now.Add(readTime(int(r.req.PromptTokens)))
		s.occupy(begin, at, best, need)
	}
	return best
}
