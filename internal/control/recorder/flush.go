package recorder

import (
	"errors"

	"verbenareach/internal/wire/messenger"
)

// maxSpareBytes is the largest buffer, in bytes, that is kept for later records.
const maxSpareBytes = 1 << 20

// Sync returns once all records up to sequence number seq are durable. Concurrent callers
// share a write: the first one writes all queued records. After FullError the records stay
// queued and Sync may be called again; FailedError is permanent.
func (r *Recorder) Sync(seq uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.syncedSeq < seq {
		if r.failure != nil {
			return r.failure
		}
		if r.closed {
			return ErrClosed
		}
		if r.flushing {
			r.cond.Wait()
			continue
		}
		if err := r.flushQueued(); err != nil {
			return err
		}
	}
	return nil
}

// flushQueued writes and syncs all queued records. The caller holds mu, which is released
// during the write.
func (r *Recorder) flushQueued() error {
	buf, upToSeq := r.pendingBuf, r.queuedSeq
	lastIndex, _ := r.last()
	r.pendingBuf = r.spareBuf[:0]
	r.spareBuf = nil
	r.flushing = true
	commit, durable := r.commit, r.durableCommit
	r.mu.Unlock()
	err := r.appendAndSync(buf, lastIndex, durable)
	r.mu.Lock()
	if err == nil {
		r.durableCommit = min(commit, lastIndex)
	}
	if err == nil && len(r.pendingBuf) == 0 {
		r.failure = r.writeMark(r.durableCommit)
	}
	r.flushing = false
	r.diskFull = false
	r.cond.Broadcast()
	if err == nil {
		r.syncedSeq = upToSeq
		if cap(buf) <= maxSpareBytes {
			r.spareBuf = buf
		}
		return nil
	}
	r.pendingBuf = append(buf, r.pendingBuf...)
	if full := new(FullError); errors.As(err, &full) {
		r.diskFull = true
		return err
	}
	r.failure = err
	return err
}

// rotate closes the open segment and starts the next one, whose header repeats the
// identity, term and vote of the segments before it.
func (r *Recorder) rotate() error {
	if err := r.file.Sync(); err != nil {
		return &FailedError{Cause: err}
	}
	r.mu.Lock()
	next := r.segments[len(r.segments)-1].number + 1
	state := r.state
	r.mu.Unlock()
	f, offset, err := r.createSegment(next, state)
	if err != nil {
		return err
	}
	closeErr := r.file.Close()
	r.mu.Lock()
	r.segments = append(r.segments, &segment{number: next})
	r.mu.Unlock()
	r.file, r.offset, r.syncedTo, r.markedTo = f, offset, offset, offset
	if closeErr != nil {
		return &FailedError{Cause: closeErr}
	}
	return nil
}

// createSegment creates a durable segment file that holds its header, and returns the
// header's size in bytes.
func (r *Recorder) createSegment(number uint64, state *messenger.LogState) (*File, int64, error) {
	header, err := appendFrame(nil, &messenger.LogRecord{Body: &messenger.LogRecord_Header{
		Header: &messenger.LogHeader{Segment: number, Id: r.identity.Id, State: state},
	}})
	if err != nil {
		return nil, 0, &FailedError{Cause: err}
	}
	f, err := r.Files.Create(segmentPath(r.Folder, number))
	if err == nil {
		_, err = f.Write(header)
	}
	if isFull(err) {
		if f != nil {
			_ = f.Close()
		}
		return nil, 0, &FullError{Cause: err}
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = r.Files.SyncFolder(r.Folder)
	}
	if err != nil {
		return nil, 0, &FailedError{Cause: err}
	}
	return f, int64(len(header)), nil
}

// appendAndSync appends buf to the log and syncs it. If the disk is full, it leaves the end
// of the log unchanged. lastIndex is the highest index in buf, commit the commit index for
// a mark.
func (r *Recorder) appendAndSync(buf []byte, lastIndex, commit uint64) error {
	if r.offset >= r.SegmentBytes {
		if err := r.rotate(); err != nil {
			return err
		}
	}
	data := buf
	markedTo := r.markedTo
	if r.markedTo < r.syncedTo {
		markedTo = r.syncedTo
		mark, err := r.appendMark(nil, commit)
		if err != nil {
			return &FailedError{Cause: err}
		}
		mark = append(mark, buf...)
		data = mark
	}
	r.mu.Lock()
	current := r.segments[len(r.segments)-1]
	current.last = max(current.last, lastIndex)
	r.mu.Unlock()
	if err := r.writeData(data); err != nil {
		return err
	}
	if err := r.file.Sync(); err != nil {
		return &FailedError{Cause: err}
	}
	r.markedTo = markedTo
	r.syncedTo = r.offset
	return nil
}

// writeData appends data to the open segment, and truncates the segment to its former size
// on failure.
func (r *Recorder) writeData(data []byte) error {
	_, err := r.file.Write(data)
	if err == nil {
		r.offset += int64(len(data))
		return nil
	}
	if truncateErr := r.file.Truncate(r.offset); truncateErr != nil {
		return &FailedError{Cause: truncateErr}
	}
	if isFull(err) {
		return &FullError{Cause: err}
	}
	return &FailedError{Cause: err}
}

// appendMark appends a mark to buf: a record that states how much of the open segment is
// synced, and the commit index.
func (r *Recorder) appendMark(buf []byte, commit uint64) ([]byte, error) {
	return appendFrame(buf, &messenger.LogRecord{Body: &messenger.LogRecord_Mark{
		Mark: &messenger.LogMark{Synced: uint64(r.syncedTo), Commit: commit},
	}})
}

// writeMark writes to the open segment how much of it has been synced, and does not sync
// the mark itself. Marks only distinguish damage to the last records from a torn tail, so a
// full disk is not an error.
func (r *Recorder) writeMark(commit uint64) error {
	mark, err := r.appendMark(nil, commit)
	if err != nil {
		return &FailedError{Cause: err}
	}
	err = r.writeData(mark)
	if full := new(FullError); errors.As(err, &full) {
		return nil
	}
	r.markedTo = r.syncedTo
	return err
}
