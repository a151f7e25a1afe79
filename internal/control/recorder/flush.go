package recorder

import (
	"errors"

	"verbenareach/internal/wire/messenger"
)

// maxSpare is the largest buffer that is kept for the next write, in bytes.
const maxSpare = 1 << 20

// Sync returns once all records up to ticket are durable. Callers that wait at
// the same time share a write: the first one does it for all that is queued.
// It fails with FullError, after which the records stay queued and Sync may be
// called again, or with FailedError for good.
func (r *Recorder) Sync(ticket uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.synced < ticket {
		if r.failed != nil {
			return r.failed
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

// flushQueued writes and syncs all that is queued. It gives mu up meanwhile.
func (r *Recorder) flushQueued() error {
	buf, upTo := r.pending, r.queued
	lastIndex, _ := r.last()
	r.pending = r.spare[:0]
	r.spare = nil
	r.flushing = true
	commit, durable := r.commit, r.durableCommit
	r.mu.Unlock()
	err := r.write(buf, lastIndex, durable)
	r.mu.Lock()
	if err == nil {
		r.durableCommit = min(commit, lastIndex)
	}
	if err == nil && len(r.pending) == 0 {
		r.failed = r.writeMark(r.durableCommit)
	}
	r.flushing = false
	r.full = false
	r.cond.Broadcast()
	if err == nil {
		r.synced = upTo
		if cap(buf) <= maxSpare {
			r.spare = buf
		}
		return nil
	}
	r.pending = append(buf, r.pending...)
	if full := new(FullError); errors.As(err, &full) {
		r.full = true
		return err
	}
	r.failed = err
	return err
}

// rotate closes the open segment and begins the next one, whose header repeats
// what must be remembered of the segments before it.
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
	r.file, r.offset, r.syncedTo, r.marked = f, offset, offset, offset
	if closeErr != nil {
		return &FailedError{Cause: closeErr}
	}
	return nil
}

// createSegment makes a durable segment file that holds its header.
func (r *Recorder) createSegment(number uint64, state *messenger.LogState) (*File, int64, error) {
	head, err := appendFrame(nil, &messenger.LogRecord{Body: &messenger.LogRecord_Header{
		Header: &messenger.LogHeader{Segment: number, Id: r.id.Id, State: state},
	}})
	if err != nil {
		return nil, 0, &FailedError{Cause: err}
	}
	f, err := r.Files.Create(segmentPath(r.Folder, number))
	if err == nil {
		_, err = f.Write(head)
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
	return f, int64(len(head)), nil
}

// write appends buf to the log and syncs it. If the disk is full, the log ends
// where it did before. lastIndex is the highest index in buf.
func (r *Recorder) write(buf []byte, lastIndex, commit uint64) error {
	if r.offset >= r.SegmentBytes {
		if err := r.rotate(); err != nil {
			return err
		}
	}
	data := buf
	marked := r.marked
	if r.marked < r.syncedTo {
		marked = r.syncedTo
		mark, err := r.mark(nil, commit)
		if err != nil {
			return &FailedError{Cause: err}
		}
		mark = append(mark, buf...)
		data = mark
	}
	r.mu.Lock()
	open := r.segments[len(r.segments)-1]
	open.last = max(open.last, lastIndex)
	r.mu.Unlock()
	if err := r.put(data); err != nil {
		return err
	}
	if err := r.file.Sync(); err != nil {
		return &FailedError{Cause: err}
	}
	r.marked = marked
	r.syncedTo = r.offset
	return nil
}

// put writes data at the end of the open segment, or leaves it as it was.
func (r *Recorder) put(data []byte) error {
	_, err := r.file.Write(data)
	if err == nil {
		r.offset += int64(len(data))
		return nil
	}
	if cutErr := r.file.Truncate(r.offset); cutErr != nil {
		return &FailedError{Cause: cutErr}
	}
	if isFull(err) {
		return &FullError{Cause: err}
	}
	return &FailedError{Cause: err}
}

func (r *Recorder) mark(buf []byte, commit uint64) ([]byte, error) {
	return appendFrame(buf, &messenger.LogRecord{Body: &messenger.LogRecord_Mark{
		Mark: &messenger.LogMark{Synced: uint64(r.syncedTo), Commit: commit},
	}})
}

// writeMark tells in the open segment how much of it has been synced, without
// waiting for the mark itself to last. It matters only to tell damage of the last
// records from a torn end, so a full disk is no failure.
func (r *Recorder) writeMark(commit uint64) error {
	mark, err := r.mark(nil, commit)
	if err != nil {
		return &FailedError{Cause: err}
	}
	err = r.put(mark)
	if full := new(FullError); errors.As(err, &full) {
		return nil
	}
	r.marked = r.syncedTo
	return err
}
