package scheduler

import (
	"time"

	"verbenareach/internal/wire/messenger"
)

// adopt takes in a run that an entry placed without this host.
func (s *Scheduler) adopt(now time.Time, entry string, state *messenger.RunState) *run {
	b := s.backends[state.Backend]
	if b == nil {
		return nil
	}
	r := &run{
		id: state.Run, entry: entry, req: state.Request, at: b, placed: now, spread: s.expect(state.Request),
		read: now.Add(b.readTime(state.Request)),
	}
	s.runs[r.id] = r
	b.add(r, false)
	if c := s.backends[state.Backup]; c != nil {
		r.copied = c
		c.add(r, true)
	}
	return r
}

// stream notes that a run streams, on the backend server that the entry names.
func (s *Scheduler) stream(now time.Time, r *run, state *messenger.RunState) {
	if r.first.IsZero() && r.at.report.Id == state.Backend {
		s.learnPace(now, r)
	}
	r.first, r.made = now, int(state.MadeTokens)
	s.settleMove(r)
	s.relocate(now, r, state)
	r.at.changed()
	r.at.losses = 0
}

// relocate notes where a run and its copy are. A copy that it neither has nor runs on is
// left over.
func (s *Scheduler) relocate(now time.Time, r *run, state *messenger.RunState) {
	if b := s.backends[state.Backend]; b != nil && b != r.at {
		r.at.remove(r, false)
		r.at = b
		b.add(r, false)
	}
	c := s.backends[state.Backup]
	if r.copied != nil && r.copied != c {
		r.copied.remove(r, true)
		if r.copied != r.at {
			s.keepCopy(now, r.copied, r)
		}
	}
	r.copied = c
	if c != nil {
		c.add(r, true)
	}
}

// failMove ends the move of a run that failed: its destination gets no other for a
// while, and keeps what was copied unless that was given back.
func (s *Scheduler) failMove(now time.Time, r *run, state *messenger.RunState) {
	to := r.destination
	if to == nil && r.at.report.Id != state.Backend {
		// It was to continue from its copy.
		to = r.at
	}
	if to != nil {
		to.avoid = now.Add(avoidAfterFailure)
		if !state.Released {
			s.keepCopy(now, to, r)
		}
	}
	s.settleMove(r)
}

// settleMove ends the move of a run, if there is one.
func (s *Scheduler) settleMove(r *run) {
	if r.destination == nil {
		return
	}
	if r.source != nil {
		r.source.moving = nil
	}
	r.destination.arriving = nil
	r.destination.remove(r, true)
	r.source, r.destination = nil, nil
}

// freeLinks notes that all of a run's memory is at its destination: the next one may be
// copied away while this one is continued.
func (s *Scheduler) freeLinks(now time.Time, r *run) {
	if r.source == nil {
		return
	}
	for _, b := range []*backend{r.source, r.destination} {
		if b.linkBusy.After(now) {
			b.linkBusy = now
		}
	}
	r.source.moving = nil
	r.source = nil
}

// end forgets a run. The engine with its copy keeps that for a while unless the run is
// whole, the one that it was moving to until its host has given it back.
func (s *Scheduler) end(now time.Time, id string, whole bool) {
	r := s.runs[id]
	if r == nil {
		return
	}
	if r.copied != nil && !whole {
		s.keepCopy(now, r.copied, r)
	}
	if r.destination != nil {
		s.keepCopyFor(now, r.destination, r, releaseTime)
	}
	s.settleMove(r)
	r.at.remove(r, false)
	if r.copied != nil {
		r.copied.remove(r, true)
	}
	delete(s.runs, id)
}

// learn takes the length of a run that came to its own end, and its time for a token.
func (s *Scheduler) learn(now time.Time, r *run, state *messenger.RunState) {
	made := int(state.MadeTokens)
	if state.Whole {
		s.lengths.Finished(lengthKind(r.req), estimate(r.req), made)
	}
	grown := made - r.made
	if r.first.IsZero() || grown < minCopied {
		return
	}
	sample := now.Sub(r.first) / time.Duration(grown)
	s.tokenTime += time.Duration(learnRate * float64(sample-s.tokenTime))
}
