package replicator

import (
	"verbenareach/internal/wire/messenger"
)

// applyLoop restores received snapshots, applies committed entries and takes snapshots,
// until the host stops.
func (r *Replicator) applyLoop() {
	for {
		r.mu.Lock()
		for r.running && r.pendingRestore == nil && r.applied >= r.commit && !r.snapshotDue {
			r.work.Wait()
		}
		if !r.running {
			r.mu.Unlock()
			return
		}
		pending := r.pendingRestore
		r.pendingRestore = nil
		r.snapshotDue = false
		entries := r.nextCommitted()
		r.mu.Unlock()
		if pending != nil {
			r.restoreApplication(pending)
			continue
		}
		for _, e := range entries {
			r.applyEntry(e)
		}
		r.maybeSnapshot()
	}
}

// nextCommitted returns the next entries that may be applied; the caller holds mu.
func (r *Replicator) nextCommitted() []*messenger.LogEntry {
	if r.commit <= r.applied {
		return nil
	}
	entries, _ := r.rec.Entries(r.applied+1, maxApplyBytes)
	return entries[:min(uint64(len(entries)), r.commit-r.applied)]
}

// applyEntry applies an entry and ends the proposals at its index: with the result, or
// with NotLeaderError if another term's entry was committed instead.
func (r *Replicator) applyEntry(e *messenger.LogEntry) {
	var result []byte
	if e.Kind == messenger.LogEntry_KIND_COMMAND {
		result = r.Apply(e.Index, e.Data)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = e.Index
	r.unsavedBytes += len(e.Data)
	for _, w := range r.waiters[e.Index] {
		done := outcome{result: result}
		if w.term != e.Term {
			done = outcome{err: r.notLeader()}
		}
		w.done <- done
	}
	delete(r.waiters, e.Index)
	r.signalChange()
}
