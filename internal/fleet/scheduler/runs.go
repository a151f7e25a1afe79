package scheduler

import (
	"time"

	"verbenareach/internal/length/estimator"
	"verbenareach/internal/wire/messenger"
)

// adopt records a run that was placed by another scheduler. It returns nil if the run's engine is
// unknown here.
func (s *Scheduler) adopt(now time.Time, entry string, state *messenger.RunState) *run {
	b := s.backends[state.Backend]
	if b == nil {
		return nil
	}
	r := s.addRun(now, state.Run, entry, state.Request, b, s.expect(state.Request))
	r.generated = int(state.MadeTokens)
	if backup := s.backends[state.Backup]; backup != nil {
		r.backup = backup
		backup.add(r, true)
	}
	return r
}

// addRun records the run of a request on an engine. One with the same id ends: its host may have told it
// as placed by another scheduler while the request waited here.
func (s *Scheduler) addRun(
	now time.Time, id, entry string, req *messenger.PlaceRequest, b *backend, outputLength estimator.Distribution,
) *run {
	r := &run{
		id: id, entry: entry, req: req, backend: b, placed: now, prefillDue: now.Add(b.prefillTime(req)), outputLength: outputLength,
		generated: int(req.MadeTokens),
	}
	s.end(now, r.id, false)
	s.runs[r.id] = r
	b.add(r, false)
	return r
}

// recordStreaming records an entry's report that a run streams from a backend server.
func (s *Scheduler) recordStreaming(now time.Time, r *run, state *messenger.RunState) {
	if r.streamingSince.IsZero() && r.backend.report.Id == state.Backend {
		s.learnSlowdown(now, r)
		r.backend.readAt = now
	}
	r.streamingSince, r.generated = now, int(state.MadeTokens)
	s.movesDue = s.movesDue || r.backend.isEmptied()
	s.endMove(r)
	s.relocate(now, r, state)
	r.backend.invalidate()
	r.backend.losses = 0
}

// relocate updates a run's engine and backup from an entry's report. A former backup that is
// neither the run's engine nor its backup now becomes an orphan.
func (s *Scheduler) relocate(now time.Time, r *run, state *messenger.RunState) {
	if b := s.backends[state.Backend]; b != nil && b != r.backend {
		if r.backend.noticed {
			s.hazardOf(b.report.Service).recordDeparture(false)
		}
		r.backend.remove(r, false)
		r.backend = b
		b.add(r, false)
		s.Throttler.Charge(now, b.report)
	}
	backup := s.backends[state.Backup]
	if r.backup != nil && r.backup != backup {
		r.backup.remove(r, true)
		if r.backup != r.backend {
			s.orphanCopy(now, r.backup, r)
		}
	}
	r.backup = backup
	if backup != nil {
		backup.add(r, true)
	}
}

// failMove ends a move that failed. Its destination is avoided for a while and holds an
// orphan, unless the report says that the copy was released.
func (s *Scheduler) failMove(now time.Time, r *run, state *messenger.RunState) {
	s.movesDue = true
	s.learnTransfer(now, r, false)
	to := r.destination
	if to == nil && r.backend.report.Id != state.Backend {
		// The run was to continue from its backup.
		to = r.backend
	}
	if to != nil {
		to.avoidUntil = now.Add(avoidAfterFailure)
		if !state.Released {
			s.orphanCopy(now, to, r)
		}
	}
	s.endMove(r)
}

// dropCopies forgets the backups and the moves towards an engine whose process has ended; it may be
// nil. Runs that were there stay until their entry reports on them.
func (s *Scheduler) dropCopies(b *backend) {
	if b == nil {
		return
	}
	for _, r := range b.backups {
		if r.destination == b {
			s.endMove(r)
		}
		if r.backup == b {
			r.backup = nil
		}
	}
	clear(b.backups)
}

// endMove ends the move of a run, if one is under way.
func (s *Scheduler) endMove(r *run) {
	if r.destination == nil {
		return
	}
	if r.source != nil {
		r.source.outgoing = nil
	}
	if r.destination.incoming == r {
		r.destination.incoming = nil
	}
	r.destination.remove(r, true)
	r.source, r.destination = nil, nil
	s.movesDue = true
}

// freeLinks records that a run's KV cache has reached its destination, so that the source
// can transfer the next run, and the destination receive one, while this one resumes.
func (s *Scheduler) freeLinks(now time.Time, r *run) {
	if r.source == nil {
		return
	}
	s.learnTransfer(now, r, true)
	for _, b := range []*backend{r.source, r.destination} {
		if b.linkBusyUntil.After(now) {
			b.linkBusyUntil = now
		}
	}
	r.source.outgoing = nil
	r.source = nil
	r.destination.incoming = nil
	s.movesDue = true
}

// end removes a run. Its backup becomes an orphan unless the output is whole, and so does
// the copy at the destination of a move, until the host frees that.
func (s *Scheduler) end(now time.Time, id string, whole bool) {
	r := s.runs[id]
	if r == nil {
		return
	}
	if r.backup != nil && !whole {
		s.orphanCopy(now, r.backup, r)
	}
	if r.destination != nil {
		s.orphanCopyFor(now, r.destination, r, releaseTime)
	}
	s.endMove(r)
	r.backend.remove(r, false)
	if r.backup != nil {
		r.backup.remove(r, true)
	}
	delete(s.runs, id)
}

// learnLengths learns from a run that ended: its output length if the output is whole, and the
// time per token if it generated at least minBackupOutput tokens after the last streaming report.
func (s *Scheduler) learnLengths(now time.Time, r *run, state *messenger.RunState) {
	made := int(state.MadeTokens)
	if state.Whole {
		s.lengths.Finished(lengthKind(r.req), estimate(r.req), made)
	}
	grown := made - r.generated
	if r.streamingSince.IsZero() || grown < minBackupOutput {
		return
	}
	r.backend.pace.LearnRun(now, now.Sub(r.streamingSince)/time.Duration(grown))
}
