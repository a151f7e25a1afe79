package scheduler

import (
	"cmp"
	"slices"
	"time"

	"verbenareach/internal/wire/messenger"
)

// moveAll orders moves away from the engines that leave.
func (s *Scheduler) moveAll(now time.Time) {
	for _, b := range s.backends {
		if b.leaving.IsZero() || len(b.runs) == 0 {
			continue
		}
		for _, r := range s.movable(now, b) {
			s.move(now, b, r)
		}
	}
}

// movable returns the runs to move away from an engine, in the order of moving: those
// whose copy lies elsewhere first, then those that are worth most for their size.
func (s *Scheduler) movable(now time.Time, b *backend) []*run {
	var list []*run
	for _, r := range b.runs {
		if r.first.IsZero() || r.moveFailed >= maxMoveFailures {
			continue
		}
		left := time.Duration(r.spread.Remaining(s.made(now, r))) * s.tokenTime
		if left < endsSoon && now.Sub(b.leaving) < endsSoon {
			continue
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y *run) int {
		return cmp.Or(
			cmp.Compare(rank(now, x), rank(now, y)),
			cmp.Compare(s.density(now, y), s.density(now, x)),
			cmp.Compare(x.id, y.id),
		)
	})
	return list
}

// density returns what a run is worth for each token that has to move.
func (s *Scheduler) density(now time.Time, r *run) float64 {
	made := s.made(now, r)
	output := made + r.spread.Remaining(made)
	return float64(int(r.req.PromptTokens)+10*output) / float64(int(r.req.PromptTokens)+made)
}

// rank puts runs with a copy before those without.
func rank(now time.Time, r *run) int {
	begun := now.Sub(r.first) >= copyStart
	if begun && r.copied != nil && r.copied.report.State == messenger.Backend_STATE_READY {
		return 0
	}
	return 1
}

// move orders one run to continue elsewhere, if that is possible now. One engine copies
// one run away at a time: copies that share a link delay the end of each.
func (s *Scheduler) move(now time.Time, b *backend, r *run) {
	if r.destination != nil {
		return
	}
	if rank(now, r) == 0 && r.moveFailed == 0 {
		s.order(now, b, r.copied, r, true)
		return
	}
	if !b.engine.Moves || b.moving != nil {
		return
	}
	to := s.destination(now, r, b)
	if to == nil {
		return
	}
	s.order(now, b, to, r, false)
}

// order has the entry of a run move it. A run whose copy lies at the destination is
// taken to be there at once; another one is expected there.
func (s *Scheduler) order(now time.Time, from, to *backend, r *run, copied bool) {
	if r.copied != nil && !copied {
		s.keepCopy(now, r.copied, r)
	}
	if r.copied != nil {
		r.copied.remove(r, true)
		r.copied = nil
	}
	m := &messenger.MoveOrder{Run: r.id, From: from.report.Id, To: to.report.Id, Copied: copied}
	if copied {
		from.remove(r, false)
		r.at = to
		to.add(r, false)
	} else {
		from.moving, to.arriving = r, r
		r.source, r.destination = from, to
		to.add(r, true)
		s.occupy(now, from, to, s.claim(now, r).held)
	}
	if copied {
		// After a move, a copy of all memory would fill the link on which the next runs come.
		if c := s.copyTarget(now, r, to); c != nil {
			m.Backup = c.report.Id
		}
	}
	s.Send(r.entry, Decision{Move: m})
}

// moveEnd returns when the memory of some tokens is expected to have moved: it waits for
// the links of both engines, and takes twice as long to another failure domain.
func (s *Scheduler) moveEnd(now time.Time, from, to *backend, tokens int) time.Time {
	begin := now
	for _, busy := range []time.Time{from.linkBusy, to.linkBusy} {
		if busy.After(begin) {
			begin = busy
		}
	}
	if from.engine.LinkMbps <= 0 {
		return begin
	}
	bits := float64(tokens) * float64(from.engine.TokenBytes) * 8
	took := time.Duration(bits / (from.engine.LinkMbps * 1e6) * float64(time.Second))
	if from.report.FailureDomain != to.report.FailureDomain {
		took *= 2
	}
	return begin.Add(took)
}

// occupy notes that memory moves between two engines.
func (s *Scheduler) occupy(now time.Time, from, to *backend, tokens int) {
	end := s.moveEnd(now, from, to, tokens)
	from.linkBusy, to.linkBusy = end, end
}
