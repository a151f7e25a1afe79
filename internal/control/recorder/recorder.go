// Package recorder keeps a control host's log and snapshots in its data folder,
// so that what it acknowledged survives crashes, and tells damage from a torn end.
package recorder

import (
	"errors"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"

	"verbenareach/internal/wire/messenger"
)

type (
	// Recorder is the durable log of one control host. Its exported fields are
	// set before Open. Records are queued in order and are durable once Sync
	// returns; callers that wait at the same time share one write and one sync.
	Recorder struct {
		// Folder holds all files of the recorder.
		Folder string
		// Files is the file layer, as Disk returns it.
		Files Files
		// SegmentBytes is the size after which a segment is closed; 0 means 8 MiB.
		SegmentBytes int64

		mu   sync.Mutex
		cond *sync.Cond
		// release gives the folder's lock back.
		release func() error
		id      *messenger.LogIdentity
		state   *messenger.LogState
		snap    *messenger.LogSnapshot
		// base is the entry before entries[0]; entries are contiguous.
		base    position
		entries []*messenger.LogEntry
		commit  uint64
		// durableCommit is the part of commit that is durable here: marks may tell it.
		durableCommit uint64

		// pending are the encoded records that no write has taken yet.
		pending []byte
		spare   []byte
		// queued and synced count records; synced never exceeds queued and never falls.
		queued, synced uint64
		// flushing is set while one caller writes and syncs for all.
		flushing bool
		full     bool
		// failed is set for good once the disk's state is unknown.
		failed error
		closed bool

		// stale are files to be removed.
		stale []string
		// segments are the files of the log, oldest first; the last one is open.
		segments []*segment
		// file and the offsets in it belong to whoever set flushing. Bytes of the
		// open segment below syncedTo are synced; those below marked are told as
		// synced by a mark: marked <= syncedTo <= offset.
		file                     *File
		offset, syncedTo, marked int64
	}

	// position is the place of an entry in the log.
	position struct {
		index, term uint64
	}
)

const (
	defaultSegmentBytes = 8 << 20
	lockName            = "lock"
	identityName        = "identity"
)

// ErrClosed is returned after Close.
var ErrClosed = errors.New("recorder is closed")

// AdoptSnapshot makes a snapshot that WriteSnapshot has written the base of the log.
// Entries after it stay if the log agrees with it; otherwise all are dropped.
func (r *Recorder) AdoptSnapshot(snap *messenger.LogSnapshot) (ticket uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term, ok := r.termOfEntry(snap.Index); ok && term == snap.Term {
		r.compact(snap.Index)
	} else if err := r.restart(snap.Index, snap.Term); err != nil {
		return 0, err
	}
	r.dropSnapshot(snap.Index)
	r.snap = snap
	r.commit = max(r.commit, snap.Index)
	return r.queued, eris.Wrap(r.removeStale(), "remove old files")
}

// Append queues entries, whose indexes are contiguous and begin at most one
// after the last entry and above FirstIndex-1. Entries held from the first
// index on are replaced. It returns the ticket to Sync.
func (r *Recorder) Append(entries ...*messenger.LogEntry) (ticket uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.pending)
	for _, e := range entries {
		rec := messenger.LogRecord{Body: &messenger.LogRecord_Entry{Entry: e}}
		if r.pending, err = appendFrame(r.pending, &rec); err != nil {
			r.pending = r.pending[:before]
			return 0, eris.Wrapf(err, "entry %d", e.Index)
		}
	}
	if len(entries) > 0 {
		keep := entries[0].Index - r.base.index - 1
		if keep < uint64(len(r.entries)) {
			// Others may still read what is replaced, so it gets a copy.
			r.entries = r.entries[:keep:keep]
		}
		r.entries = append(r.entries, entries...)
	}
	r.queued++
	return r.queued, nil
}

// Close syncs what is queued and gives the folder back.
func (r *Recorder) Close() error {
	r.mu.Lock()
	ticket := r.queued
	closed := r.closed
	r.mu.Unlock()
	if closed {
		return nil
	}
	err := r.Sync(ticket)
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.flushing {
		r.cond.Wait()
	}
	r.closed = true
	return errors.Join(err, r.file.Close(), r.release())
}

// Commit returns the highest index that was known to be committed; after Open
// it may be lower than what was committed, never higher.
func (r *Recorder) Commit() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.commit
}

// Entries returns entries from an index on, at least one if there is one and
// then up to about maxBytes of data. It returns false if the log begins after from.
func (r *Recorder) Entries(from uint64, maxBytes int) ([]*messenger.LogEntry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from <= r.base.index {
		return nil, false
	}
	at := from - r.base.index - 1
	if at >= uint64(len(r.entries)) {
		return nil, true
	}
	end := at
	for size := 0; end < uint64(len(r.entries)) && (end == at || size < maxBytes); end++ {
		size += len(r.entries[end].Data)
	}
	return r.entries[at:end:end], true
}

// FirstIndex returns the index of the first entry that the log holds or would hold.
func (r *Recorder) FirstIndex() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.base.index + 1
}

// Full tells whether the disk refused the last write for want of room.
func (r *Recorder) Full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.full
}

// ID returns the identity of the data folder. A wiped folder gets another one.
func (r *Recorder) ID() string { return r.id.Id }

// Last returns index and term of the last entry, or of the snapshot if there is none.
func (r *Recorder) Last() (index, term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last()
}

// Replaces returns the identities whose damaged logs were set aside.
func (r *Recorder) Replaces() []string { return r.id.Replaces }

// SaveSnapshot makes a snapshot durable, whose data are packed by Pack, and drops
// the entries up to compactTo from memory and disk.
func (r *Recorder) SaveSnapshot(snap *messenger.LogSnapshot, compactTo uint64) error {
	if err := r.WriteSnapshot(snap); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropSnapshot(snap.Index)
	r.snap = snap
	r.compact(min(compactTo, snap.Index))
	return eris.Wrap(r.removeStale(), "remove old files")
}

// SetCommit tells the highest committed index, which later marks carry.
func (r *Recorder) SetCommit(index uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commit = max(r.commit, index)
}

// SetState queues term and vote.
func (r *Recorder) SetState(state *messenger.LogState) (ticket uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := messenger.LogRecord{Body: &messenger.LogRecord_State{State: state}}
	if r.pending, err = appendFrame(r.pending, &rec); err != nil {
		return 0, err
	}
	r.state = state
	r.queued++
	return r.queued, nil
}

// Snapshot returns the newest snapshot; nil if there is none.
func (r *Recorder) Snapshot() *messenger.LogSnapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snap
}

// State returns term and vote as last set.
func (r *Recorder) State() (term uint64, vote string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.GetTerm(), r.state.GetVote()
}

// Term returns the term of the entry at index, if that is known.
func (r *Recorder) Term(index uint64) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.termAt(index)
}

// Trail returns the index up to which entries may be dropped, so that at most
// maxEntries with at most maxBytes of data stay before index.
func (r *Recorder) Trail(index, maxEntries uint64, maxBytes int) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := min(index, r.lastIndex())
	for size := 0; at > r.base.index && index-at < maxEntries; at-- {
		if size += len(r.entries[at-r.base.index-1].Data); size > maxBytes {
			break
		}
	}
	return at
}

// WriteSnapshot makes the file of a snapshot durable, beside the one in use.
func (r *Recorder) WriteSnapshot(snap *messenger.LogSnapshot) error {
	err := r.writeWhole(snapshotPath(r.Folder, snap.Index), snap)
	if isFull(err) {
		return &FullError{Cause: err}
	}
	return eris.Wrap(err, "write snapshot")
}

// compact drops entries up to index from memory.
func (r *Recorder) compact(index uint64) {
	if index <= r.base.index {
		return
	}
	term, ok := r.termAt(index)
	if !ok {
		return
	}
	drop := min(index-r.base.index, uint64(len(r.entries)))
	kept := make([]*messenger.LogEntry, uint64(len(r.entries))-drop)
	copy(kept, r.entries[drop:])
	r.entries = kept
	r.base = position{index, term}
}

// dropSnapshot has the snapshot in use removed for one at index.
func (r *Recorder) dropSnapshot(index uint64) {
	if r.snap != nil && r.snap.Index < index {
		r.stale = append(r.stale, snapshotPath(r.Folder, r.snap.Index))
	}
}

func (r *Recorder) last() (index, term uint64) {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].Index, r.entries[n-1].Term
	}
	return r.base.index, r.base.term
}

// removeStale removes the old snapshot and the oldest segments whose entries are all
// dropped.
func (r *Recorder) removeStale() error {
	for len(r.segments) > 1 && r.segments[0].last <= r.base.index {
		r.stale = append(r.stale, segmentPath(r.Folder, r.segments[0].number))
		r.segments = r.segments[1:]
	}
	var errs []error
	for _, path := range r.stale {
		errs = append(errs, r.Files.Remove(path))
	}
	r.stale = nil
	return errors.Join(errs...)
}

// restart queues that all entries are dropped and the log goes on after a snapshot.
func (r *Recorder) restart(index, term uint64) (err error) {
	rec := messenger.LogRecord{Body: &messenger.LogRecord_Restart{
		Restart: &messenger.LogReset{Index: index, Term: term},
	}}
	if r.pending, err = appendFrame(r.pending, &rec); err != nil {
		return err
	}
	r.base = position{index, term}
	r.entries = nil
	r.queued++
	return nil
}

func (r *Recorder) termAt(index uint64) (uint64, bool) {
	switch {
	case index == r.base.index:
		return r.base.term, true
	case index > r.base.index && index-r.base.index <= uint64(len(r.entries)):
		return r.entries[index-r.base.index-1].Term, true
	case r.snap != nil && index == r.snap.Index:
		return r.snap.Term, true
	}
	return 0, false
}

func (r *Recorder) identityPath() string { return filepath.Join(r.Folder, identityName) }
