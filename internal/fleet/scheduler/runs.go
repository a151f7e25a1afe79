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
	r := &run{id: state.Run, entry: entry, req: state.Request, at: b, placed: now, spread: s.expect(state.Request)}
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
	s.relocate(r, state)
	r.at.losses = 0
}

// relocate notes where a run and its copy are.
func (s *Scheduler) relocate(r *run, state *messenger.RunState) {
	if b := s.backends[state.Backend]; b != nil && b != r.at {
		r.at.remove(r, false)
		r.at = b
		b.add(r, false)
	}
	c := s.backends[state.Backup]
	if r.copied != nil && r.copied != c {
		r.copied.remove(r, true)
	}
	r.copied = c
	if c != nil {
		c.add(r, true)
	}
}

// avoidDestination keeps moves from the engine that did not take a run.
func (s *Scheduler) avoidDestination(now time.Time, r *run) {
	for _, b := range s.backends {
		if b.arriving == r.id {
			b.avoid = now.Add(avoidAfterFailure)
		}
	}
}

// settleMove ends the move of a run, if there is one.
func (s *Scheduler) settleMove(r *run) {
	for _, b := range s.backends {
		if b.moving == r.id {
			b.moving = ""
		}
		if b.arriving == r.id {
			b.arriving = ""
			b.remove(r, true)
		}
	}
}

// end forgets a run.
func (s *Scheduler) end(id string) {
	r := s.runs[id]
	if r == nil {
		return
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
