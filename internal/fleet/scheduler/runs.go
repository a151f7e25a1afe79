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
	r := &run{id: state.Run, entry: entry, req: state.Request, at: b, placed: now}
	s.runs[r.id] = r
	b.runs[r.id] = r
	if c := s.backends[state.Backup]; c != nil {
		r.copied = c
		c.copies[r.id] = r
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
		delete(r.at.runs, r.id)
		r.at = b
		b.runs[r.id] = r
	}
	c := s.backends[state.Backup]
	if r.copied != nil && r.copied != c {
		delete(r.copied.copies, r.id)
	}
	r.copied = c
	if c != nil {
		c.copies[r.id] = r
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
			delete(b.copies, r.id)
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
	delete(r.at.runs, id)
	if r.copied != nil {
		delete(r.copied.copies, id)
	}
	delete(s.runs, id)
}

// learn takes the time for a token from a run that ended.
func (s *Scheduler) learn(now time.Time, r *run, made int) {
	grown := made - r.made
	if r.first.IsZero() || grown < minCopied {
		return
	}
	sample := now.Sub(r.first) / time.Duration(grown)
	s.tokenTime += time.Duration(learnRate * float64(sample-s.tokenTime))
}
