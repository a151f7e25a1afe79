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
	idBytes = 8
	// maxTornHeader is the most that can be left of a segment's header by a
	// crash while the segment was made, in bytes.
	maxTornHeader = 256
	asidePrefix   = "damaged-"
)

var (
	errNoIdentity = errors.New("the folder's identity is missing")
	errNoSegment  = errors.New("the log is missing")
	errNoSnapshot = errors.New("the snapshot that the log goes on from is missing")
)

// Open takes the data folder and reads the log back. A torn end is cut. It fails
// with ErrLocked if another process holds the folder, and with DamagedError if
// synced records can't be read; SetAside then makes room for a new identity.
func (r *Recorder) Open() error {
	r.cond = sync.NewCond(&r.mu)
	if r.SegmentBytes == 0 {
		r.SegmentBytes = defaultSegmentBytes
	}
	if err := r.lock(); err != nil {
		return err
	}
	if err := r.load(); err != nil {
		if damaged := new(DamagedError); errors.As(err, &damaged) && r.id != nil {
			damaged.ID = r.id.Id
		}
		if r.file != nil {
			err = errors.Join(err, r.file.Close())
		}
		return errors.Join(err, r.release())
	}
	return nil
}

// SetAside moves a damaged log to a folder of its own beside it and gives the data
// folder a new identity, under which the host can be rebuilt from the others.
func (r *Recorder) SetAside() (err error) {
	if err := r.lock(); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.release()) }()
	names, err := r.Files.List(r.Folder)
	if err != nil {
		return eris.Wrap(err, "list data folder")
	}
	old := new(messenger.LogIdentity)
	if slices.Contains(names, identityName) {
		if err := r.readWhole(r.identityPath(), old); err != nil {
			old = new(messenger.LogIdentity)
		}
	}
	aside := filepath.Join(r.Folder, asideName(names))
	if err := r.Files.MakeFolder(aside); err != nil {
		return eris.Wrap(err, "make folder for damaged log")
	}
	for _, name := range names {
		if !isLogFile(name) {
			continue
		}
		if err := r.Files.Rename(filepath.Join(r.Folder, name), filepath.Join(aside, name)); err != nil {
			return eris.Wrap(err, "set damaged log aside")
		}
	}
	if err := r.Files.SyncFolder(aside); err != nil {
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
	r.release = release
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
	if r.id.Fresh {
		return r.begin(names)
	}
	if r.snap, err = r.loadSnapshot(names); err != nil {
		return err
	}
	l, err := r.loadSegments(names)
	if err != nil {
		return err
	}
	if err := r.adopt(l); err != nil {
		return err
	}
	return r.removeLeftovers(names)
}

// loadIdentity reads the identity, or makes one for an empty folder.
func (r *Recorder) loadIdentity(names []string) error {
	id := new(messenger.LogIdentity)
	err := r.readWhole(r.identityPath(), id)
	if err == nil {
		r.id = id
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
	if err := r.writeWhole(r.identityPath(), id); err != nil {
		return eris.Wrap(err, "write identity")
	}
	r.id = id
	return nil
}

// begin makes the first segment of a folder that has none yet.
func (r *Recorder) begin(names []string) error {
	for _, name := range names {
		if !isLogFile(name) {
			continue
		}
		if err := r.Files.Remove(filepath.Join(r.Folder, name)); err != nil {
			return eris.Wrap(err, "remove unfinished segment")
		}
	}
	if err := r.openNew(1); err != nil {
		return err
	}
	return r.writeIdentity(&messenger.LogIdentity{Id: r.id.Id, Replaces: r.id.Replaces})
}

// openNew makes a segment and opens it.
func (r *Recorder) openNew(number uint64) error {
	f, offset, err := r.createSegment(number, r.state)
	if err != nil {
		return err
	}
	r.segments = append(r.segments, &segment{number: number})
	r.file, r.offset, r.syncedTo, r.marked = f, offset, offset, offset
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
		good, err := l.load(seg, data, final)
		if err == nil && good == 0 && (i == 0 || len(data) > maxTornHeader) {
			err = errHeader
		}
		if err != nil {
			return nil, &DamagedError{Path: path, Offset: good, Cause: err}
		}
		if !final {
			r.segments = append(r.segments, seg)
			continue
		}
		r.state = l.state
		if err := r.reopen(seg, good); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// reopen opens the last segment for writing after its good bytes.
func (r *Recorder) reopen(seg *segment, good int64) error {
	path := segmentPath(r.Folder, seg.number)
	if good == 0 {
		if err := r.Files.Remove(path); err != nil {
			return eris.Wrap(err, "remove torn segment")
		}
		return r.openNew(seg.number)
	}
	f, err := r.Files.Append(path, good)
	if err != nil {
		return eris.Wrap(err, "open segment")
	}
	r.file, r.offset = f, good
	r.segments = append(r.segments, seg)
	if err := f.Sync(); err != nil {
		return eris.Wrap(err, "sync segment")
	}
	r.syncedTo = good
	return nil
}

// adopt joins the entries that were read with the snapshot.
func (r *Recorder) adopt(l *loader) error {
	if l.id != r.id.Id {
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
			return &DamagedError{Path: r.Folder, Cause: errGap}
		case first.Index == snap.index+1:
			r.base = snap
		default:
			r.base = position{first.Index, first.Term}
			r.entries = l.entries[1:]
		}
	}
	if term, ok := r.termOfEntry(snap.index); !ok || term != snap.term {
		// A crash came between saving a snapshot and dropping the entries before it.
		if err := r.restart(snap.index, snap.term); err != nil {
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

// termOfEntry is termAt without regard to the snapshot.
func (r *Recorder) termOfEntry(index uint64) (uint64, bool) {
	if index < r.base.index || index > r.lastIndex() {
		return 0, false
	}
	if index == r.base.index {
		return r.base.term, true
	}
	return r.entries[index-r.base.index-1].Term, true
}
