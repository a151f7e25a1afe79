// Package recorder stores a control host's log and snapshots in its data folder, so that
// acknowledged records survive crashes. On reading it distinguishes damage from a torn
// tail: records at the end of the log whose write a crash cut short before they were
// synced.
package recorder

import (
	"errors"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"

	"verbenareach/internal/wire/messenger"
)

type (
	// Recorder is the durable log of one control host. Its exported fields are set before
	// Open. Records are queued in order and are durable once Sync returns; concurrent
	// callers share one write and one sync.
	Recorder struct {
		// Folder holds all files of the recorder.
		Folder string
		// Files is the file layer, as Disk returns it.
		Files Files
		// SegmentBytes is the size after which a new segment is started; 0 means 8 MiB.
		SegmentBytes int64

		mu   sync.Mutex
		cond *sync.Cond
		// unlock releases the folder's lock.
		unlock   func() error
		identity *messenger.LogIdentity
		// state is the term and vote as last set, snap the newest snapshot; nil if none.
		state *messenger.LogState
		snap  *messenger.LogSnapshot
		// base is the entry before entries[0]; entries are contiguous.
		base    position
		entries []*messenger.LogEntry
		// commit is the highest index known to be committed.
		commit uint64
		// durableCommit is the highest committed index that is durable here; marks state no
		// higher one.
		durableCommit uint64

		// pendingBuf holds the encoded records that are queued but not yet part of a write.
		// spareBuf is the buffer of an earlier write, kept for the next.
		pendingBuf []byte
		spareBuf   []byte
		// queuedSeq and syncedSeq are the sequence numbers of the newest queued and the
		// newest synced record; syncedSeq never exceeds queuedSeq and never decreases.
		queuedSeq, syncedSeq uint64
		// flushing is set while one caller writes and syncs for all callers. diskFull is
		// set if the last such write failed because the disk was full.
		flushing bool
		diskFull bool
		// failure is set permanently once the state of the disk is unknown.
		failure error
		closed  bool

		// staleFiles holds the paths of files to be removed.
		staleFiles []string
		// segments holds the files of the log, oldest first; the last one is open.
		segments []*segment
		// file and the offsets in it belong to the caller that set flushing. Bytes of the
		// open segment below syncedTo are synced; those below markedTo are stated as synced
		// by a mark: markedTo <= syncedTo <= offset.
		file                       *File
		offset, syncedTo, markedTo int64
	}

	// position is the index and term of an entry in the log.
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

// InstallSnapshot makes a snapshot written by WriteSnapshot the base of the log. Entries
// after it stay if the log agrees with the snapshot's index and term; otherwise all are
// dropped. It returns the sequence number to pass to Sync.
func (r *Recorder) InstallSnapshot(snap *messenger.LogSnapshot) (seq uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term, ok := r.entryTerm(snap.Index); ok && term == snap.Term {
		r.compact(snap.Index)
	} else if err := r.reset(snap.Index, snap.Term); err != nil {
		return 0, err
	}
	r.retireSnapshot(snap.Index)
	r.snap = snap
	r.commit = max(r.commit, snap.Index)
	return r.queuedSeq, eris.Wrap(r.removeStale(), "remove old files")
}

// Append queues entries with contiguous indexes, the first of which is not below FirstIndex
// and at most one above the last entry. It replaces the entries held from that index on. It
// returns the sequence number to pass to Sync.
func (r *Recorder) Append(entries ...*messenger.LogEntry) (seq uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := len(r.pendingBuf)
	for _, e := range entries {
		rec := messenger.LogRecord{Body: &messenger.LogRecord_Entry{Entry: e}}
		if r.pendingBuf, err = appendFrame(r.pendingBuf, &rec); err != nil {
			r.pendingBuf = r.pendingBuf[:start]
			return 0, eris.Wrapf(err, "entry %d", e.Index)
		}
	}
	if len(entries) > 0 {
		keep := entries[0].Index - r.base.index - 1
		if keep < uint64(len(r.entries)) {
			// Callers of Entries may still read the replaced entries, so append must copy.
			r.entries = r.entries[:keep:keep]
		}
		r.entries = append(r.entries, entries...)
	}
	r.queuedSeq++
	return r.queuedSeq, nil
}

// Close syncs the queued records and unlocks the folder, also if the sync fails.
func (r *Recorder) Close() error {
	r.mu.Lock()
	seq := r.queuedSeq
	closed := r.closed
	r.mu.Unlock()
	if closed {
		return nil
	}
	err := r.Sync(seq)
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.flushing {
		r.cond.Wait()
	}
	r.closed = true
	return errors.Join(err, r.file.Close(), r.unlock())
}

// Commit returns the highest index known to be committed. After Open it may be lower than
// the highest committed index, never higher.
func (r *Recorder) Commit() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.commit
}

// Entries returns entries from an index on: at least one if there is one, and then up to
// about maxBytes of data. It returns false if from is below the first index of the log.
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

// Full reports whether the last write failed because the disk was full.
func (r *Recorder) Full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.diskFull
}

// ID returns the identity of the data folder. A wiped folder gets another one.
func (r *Recorder) ID() string { return r.identity.Id }

// Last returns the index and term of the last entry or, if there are no entries, of the one
// before the first index.
func (r *Recorder) Last() (index, term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last()
}

// Replaces returns the identities whose damaged logs were set aside.
func (r *Recorder) Replaces() []string { return r.identity.Replaces }

// SaveSnapshot makes a snapshot, whose data Pack has compressed, durable. It drops the
// entries up to compactTo, but none above the snapshot, from memory, and the segments that
// hold only dropped entries from disk. It fails with FullError if the disk is full.
func (r *Recorder) SaveSnapshot(snap *messenger.LogSnapshot, compactTo uint64) error {
	if err := r.WriteSnapshot(snap); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retireSnapshot(snap.Index)
	r.snap = snap
	r.compact(min(compactTo, snap.Index))
	return eris.Wrap(r.removeStale(), "remove old files")
}

// SetCommit raises the highest index known to be committed, which later marks state.
func (r *Recorder) SetCommit(index uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commit = max(r.commit, index)
}

// SetState queues term and vote, and returns the sequence number to pass to Sync.
func (r *Recorder) SetState(state *messenger.LogState) (seq uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := messenger.LogRecord{Body: &messenger.LogRecord_State{State: state}}
	if r.pendingBuf, err = appendFrame(r.pendingBuf, &rec); err != nil {
		return 0, err
	}
	r.state = state
	r.queuedSeq++
	return r.queuedSeq, nil
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

// Term returns the term of the entry at index, and false if it is unknown.
func (r *Recorder) Term(index uint64) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.termAt(index)
}

// CompactIndex returns the index up to which entries may be dropped such that at most
// maxEntries with at most maxBytes of data remain up to index.
func (r *Recorder) CompactIndex(index, maxEntries uint64, maxBytes int) uint64 {
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

// WriteSnapshot writes the file of a snapshot durably, without replacing the current
// snapshot. It fails with FullError if the disk is full.
func (r *Recorder) WriteSnapshot(snap *messenger.LogSnapshot) error {
	err := r.Files.Replace(snapshotPath(r.Folder, snap.Index), snap)
	if isFull(err) {
		return &FullError{Cause: err}
	}
	return eris.Wrap(err, "write snapshot")
}

// compact drops the entries up to index from memory.
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

// retireSnapshot marks the file of the current snapshot for removal if the snapshot is
// older than index.
func (r *Recorder) retireSnapshot(index uint64) {
	if r.snap != nil && r.snap.Index < index {
		r.staleFiles = append(r.staleFiles, snapshotPath(r.Folder, r.snap.Index))
	}
}

func (r *Recorder) last() (index, term uint64) {
	if n := len(r.entries); n > 0 {
		return r.entries[n-1].Index, r.entries[n-1].Term
	}
	return r.base.index, r.base.term
}

// removeStale removes the stale files and the oldest segments whose entries are all
// dropped.
func (r *Recorder) removeStale() error {
	for len(r.segments) > 1 && r.segments[0].last <= r.base.index {
		r.staleFiles = append(r.staleFiles, segmentPath(r.Folder, r.segments[0].number))
		r.segments = r.segments[1:]
	}
	var errs []error
	for _, path := range r.staleFiles {
		errs = append(errs, r.Files.Remove(path))
	}
	r.staleFiles = nil
	return errors.Join(errs...)
}

// reset drops all entries, makes a snapshot the base of the log, and queues a record of
// this.
func (r *Recorder) reset(index, term uint64) (err error) {
	rec := messenger.LogRecord{Body: &messenger.LogRecord_Restart{
		Restart: &messenger.LogReset{Index: index, Term: term},
	}}
	if r.pendingBuf, err = appendFrame(r.pendingBuf, &rec); err != nil {
		return err
	}
	r.base = position{index, term}
	r.entries = nil
	r.queuedSeq++
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
