package replicator

import (
	"errors"
	"time"

	"verbenareach/internal/control/recorder"
	"verbenareach/internal/event/logger"
)

// slowSync is how long a write to the disk takes at least to be logged. A host sends no message that
// depends on it meanwhile, so others elect a leader without it.
const slowSync = 250 * time.Millisecond

// flushLoop makes queued records durable, all that are queued at a time.
func (r *Replicator) flushLoop() {
	for {
		r.mu.Lock()
		for r.running && r.queuedSeq == r.flushedSeq {
			r.work.Wait()
		}
		if !r.running {
			r.mu.Unlock()
			return
		}
		seq, term := r.queuedSeq, r.term
		last, _ := r.rec.Last()
		r.mu.Unlock()
		err := r.sync(seq)
		r.mu.Lock()
		if err != nil {
			r.handleDiskError(err)
			if r.running && r.diskFull {
				// Each tick wakes this loop for another attempt.
				r.work.Wait()
			}
			r.mu.Unlock()
			continue
		}
		r.clearDiskFull()
		r.flushedSeq = seq
		if r.term == term {
			r.recordOwnFlush(last)
		}
		r.mu.Unlock()
	}
}

// sync makes queued records durable, as recorder.Recorder.Sync does, and logs if that takes long.
func (r *Replicator) sync(seq uint64) error {
	begun := time.Now()
	err := r.rec.Sync(seq)
	if took := time.Since(begun); took >= slowSync {
		r.emit(logger.ControlDiskSlow, logger.F("took", took.Round(time.Millisecond)), logger.F("error", err))
	}
	return err
}

// recordOwnFlush counts the host's own entries up to last, or its own vote, which have
// become durable in its term.
func (r *Replicator) recordOwnFlush(last uint64) {
	switch r.role {
	case leader:
		r.selfMatch = max(r.selfMatch, last)
		r.advanceCommit()
	case candidate:
		r.votes[r.rec.ID()] = true
		r.countVotes()
	}
}

// handleDiskError fails the host, except on a full disk: then the host refuses changes
// until a sync succeeds, and as leader asks another voter to take over. Several goroutines
// sync, so err may be older than a write that has succeeded; it then tells nothing.
func (r *Replicator) handleDiskError(err error) {
	if full := new(recorder.FullError); !errors.As(err, &full) {
		r.fail(err)
		return
	}
	if !r.rec.Full() {
		return
	}
	if !r.diskFull {
		r.diskFull = true
		r.emit(logger.ControlDiskFull, logger.F("error", err))
	}
	if target := r.transferTarget(); r.role == leader && target != nil {
		r.sendTimeoutNow(target)
	}
}

func (r *Replicator) clearDiskFull() {
	if r.diskFull {
		r.diskFull = false
		r.emit(logger.ControlDiskSpaceFreed)
	}
}
