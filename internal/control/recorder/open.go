package recorder

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"verbenareach/internal/wire/messenger"
)

const (
	// idBytes is the number of random bytes in an identity.
	idBytes = 8
	// maxTornHeaderBytes is the largest part of a segment's header that a crash during the
	// creation of the segment can leave.
	maxTornHeaderBytes = 256
	// asidePrefix begins the name of a subfolder for a damaged log, before a number.
	asidePrefix = "damaged-"
)

var (
	errNoIdentity = errors.New("the folder's identity is missing")
	errNoSegment  = errors.New("the log is missing")
	errNoSnapshot = errors.New("the snapshot that the log continues from is missing")
)

// Open locks the data folder and reads the log, cutting off a torn tail. It fails with
// ErrLocked if another process holds the folder, and with DamagedError if synced records
// can't be read; SetAside then prepares the folder for a new identity.
func (r *Recorder) Open() error {
	r.cond = sync.NewCond(&r.mu)
	if r.SegmentBytes == 0 {
		r.SegmentBytes = defaultSegmentBytes
	}
	if err := r.lock(); err != nil {
		return err
	}
	if err := r.load(); err != nil {
		if damaged := new(DamagedError); errors.As(err, &damaged) && r.identity != nil {
			damaged.ID = r.identity.Id
		}
		if r.file != nil {
			err = errors.Join(err, r.file.Close())
		}
		return errors.Join(err, r.unlock())
	}
	return nil
}

// SetAside moves a damaged log to a subfolder and gives the data folder a new identity,
// under which the host can be rebuilt from the other hosts. Call it after Open has failed
// with DamagedError, and then open the folder with another Recorder.
func (r *Recorder) SetAside() (err error) {
	if err := r.lock(); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.unlock()) }()
	names, err := r.Files.List(r.Folder)
	if err != nil {
		return eris.Wrap(err, "list data folder")
	}
	old := new(messenger.LogIdentity)
	if slices.Contains(names, identityName) {
		if err := r.Files.Load(r.identityPath(), old); err != nil {
			old = new(messenger.LogIdentity)
		}
	}
	asideFolder := filepath.Join(r.Folder, asideName(names))
	if err := r.Files.MakeFolder(asideFolder); err != nil {
		return eris.Wrap(err, "make folder for damaged log")
	}
	for _, name := range names {
		if !isLogFile(name) {
			continue
		}
		if err := r.Files.Rename(filepath.Join(r.Folder, name), filepath.Join(asideFolder, name)); err != nil {
			return eris.Wrap(err, "set damaged log aside")
		}
	}
	if err := r.Files.SyncFolder(asideFolder); err != nil {
		return eris.Wrap(err, "sync folder of damaged log")
	}
	replaces := old.Replaces
	if old.Id != "" {
		replaces = append(replaces, old.Id)
	}
	return r.writeIdentity(&messenger.LogIdentity{Id: newID(), Replaces: replaces, Fresh: true})
}

func asideName(names []string) string {
	for n := 1; ; n++ {
		name := fmt.Sprintf("%s%d", asidePrefix, n)
		if !slices.Contains(names, name) {
			return name
		}
	}
}

func isLogFile(name string) bool {
	_, isSegment := segmentNumber(name)
	_, isSnapshot := snapshotIndex(name)
	return isSegment || isSnapshot
}

func newID() string {
	id := make([]byte, idBytes)
	_, _ = rand.Read(id) // It never fails.
	return hex.EncodeToString(id)
}

func (r *Recorder) lock() error {
	if err := r.Files.MakeFolder(r.Folder); err != nil {
		return eris.Wrap(err, "make data folder")
	}
	release, err := r.Files.Lock(filepath.Join(r.Folder, lockName))
	if err != nil {
		return eris.Wrapf(err, "lock data folder %s", r.Folder)
	}
	r.unlock = release
	return nil
}

func (r *Recorder) load() error {
	names, err := r.Files.List(r.Folder)
	if err != nil {
		return eris.Wrap(err, "list data folder")
	}
	if err := r.loadIdentity(names); err != nil {
		return err
	}
	if r.identity.Fresh {
		return r.createLog(names)
	}
	if r.snap, err = r.loadSnapshot(names); err != nil {
		return err
	}
	l, err := r.loadSegments(names)
	if err != nil {
		return err
	}
	if err := r.adoptEntries(l); err != nil {
		return err
	}
	return r.removeLeftovers(names)
}

// loadIdentity reads the identity, or creates one for a folder without a log. An identity
// is fresh until its first segment is created.
func (r *Recorder) loadIdentity(names []string) error {
	id := new(messenger.LogIdentity)
	err := r.Files.Load(r.identityPath(), id)
	if err == nil {
		r.identity = id
		return nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if slices.ContainsFunc(names, isLogFile) {
		return &DamagedError{Path: r.identityPath(), Cause: errNoIdentity}
	}
	return r.writeIdentity(&messenger.LogIdentity{Id: newID(), Fresh: true})
}

func (r *Recorder) writeIdentity(id *messenger.LogIdentity) error {
	if err := r.Files.Replace(r.identityPath(), id); err != nil {
		return eris.Wrap(err, "write identity")
	}
	r.identity = id
	return nil
}

// createLog creates the first segment of a new log and removes the remains of an earlier
// attempt.
func (r *Recorder) createLog(names []string) error {
	for _, name := range names {
		if !isLogFile(name) {
			continue
		}
		if err := r.Files.Remove(filepath.Join(r.Folder, name)); err != nil {
			return eris.Wrap(err, "remove unfinished segment")
		}
	}
	if err := r.openNewSegment(1); err != nil {
		return err
	}
	return r.writeIdentity(&messenger.LogIdentity{Id: r.identity.Id, Replaces: r.identity.Replaces})
}

// openNewSegment creates a segment and opens it for writing.
func (r *Recorder) openNewSegment(number uint64) error {
	f, offset, err := r.createSegment(number, r.state)
	if err != nil {
		return err
	}
	r.segments = append(r.segments, &segment{number: number})
	r.file, r.offset, r.syncedTo, r.markedTo = f, offset, offset, offset
	return nil
}

// loadSegments reads all segments and opens the last one.
func (r *Recorder) loadSegments(names []string) (*loader, error) {
	var numbers []uint64
	for _, name := range names {
		if n, ok := segmentNumber(name); ok {
			numbers = append(numbers, n)
		}
	}
	if len(numbers) == 0 {
		return nil, &DamagedError{Path: r.Folder, Cause: errNoSegment}
	}
	slices.Sort(numbers)
	l := new(loader)
	for i, n := range numbers {
		path := segmentPath(r.Folder, n)
		if n != numbers[0]+uint64(i) {
			return nil, &DamagedError{Path: path, Cause: errNumber}
		}
		data, err := r.Files.Read(path)
		if err != nil {
			return nil, &DamagedError{Path: path, Cause: err}
		}
		final := i == len(numbers)-1
		seg := &segment{number: n}
		validBytes, err := l.loadSegment(seg, data, final)
		if err == nil && validBytes == 0 && (i == 0 || len(data) > maxTornHeaderBytes) {
			err = errHeader
		}
		if err != nil {
			return nil, &DamagedError{Path: path, Offset: validBytes, Cause: err}
		}
		if !final {
			r.segments = append(r.segments, seg)
			continue
		}
		r.state = l.state
		if err := r.reopenSegment(seg, validBytes); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// reopenSegment opens the last segment for writing after its valid bytes.
func (r *Recorder) reopenSegment(seg *segment, validBytes int64) error {
	path := segmentPath(r.Folder, seg.number)
	if validBytes == 0 {
		if err := r.Files.Remove(path); err != nil {
			return eris.Wrap(err, "remove torn segment")
		}
		return r.openNewSegment(seg.number)
	}
	f, err := r.Files.Append(path, validBytes)
	if err != nil {
		return eris.Wrap(err, "open segment")
	}
	r.file, r.offset = f, validBytes
	r.segments = append(r.segments, seg)
	if err := f.Sync(); err != nil {
		return eris.Wrap(err, "sync segment")
	}
	r.syncedTo = validBytes
	return nil
}

// adoptEntries takes over the entries read from the segments and fits them to the snapshot.
func (r *Recorder) adoptEntries(l *loader) error {
	if l.id != r.identity.Id {
		return &DamagedError{Path: r.identityPath(), Cause: errNoIdentity}
	}
	snap := position{r.snap.GetIndex(), r.snap.GetTerm()}
	if l.reset.GetIndex() > snap.index {
		return &DamagedError{Path: r.Folder, Cause: errNoSnapshot}
	}
	r.entries = l.entries
	r.base = position{l.reset.GetIndex(), l.reset.GetTerm()}
	if len(l.entries) > 0 && l.entries[0].Index != r.base.index+1 {
		first := l.entries[0]
		switch {
		case first.Index > snap.index+1:
			// Neither the log nor the snapshot has the entry before.
			return &DamagedError{Path: r.Folder, Cause: errGap}
		case first.Index == snap.index+1:
			r.base = snap
		default:
			// The first entry serves as the base, as the term of the one before is unknown.
			r.base = position{first.Index, first.Term}
			r.entries = l.entries[1:]
		}
	}
	if term, ok := r.entryTerm(snap.index); !ok || term != snap.term {
		// A crash occurred after the snapshot became durable and before the log's entry at
		// its index, or the reset to it, did.
		if err := r.reset(snap.index, snap.term); err != nil {
			return err
		}
	}
	r.commit = max(min(l.commit, r.lastIndex()), snap.index)
	return nil
}

func (r *Recorder) lastIndex() uint64 {
	index, _ := r.last()
	return index
}

// entryTerm returns the term of the entry at index like termAt, but ignores the snapshot.
func (r *Recorder) entryTerm(index uint64) (uint64, bool) {
	if index < r.base.index || index > r.lastIndex() {
		return 0, false
	}
	if index == r.base.index {
		return r.base.term, true
	}
	return r.entries[index-r.base.index-1].Term, true
}
