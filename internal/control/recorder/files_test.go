package recorder

import (
	"errors"
	"math/rand"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
)

// fakeDisk keeps files in memory and records which part of them was synced.
type fakeDisk struct {
	files map[string]*fakeFile
	// durable holds the files that remain after a power loss.
	durable map[string]*fakeFile
	locked  bool
	// stepsLeft counts down with each operation that changes something. At 0 the process is
	// killed: that operation and all later ones fail. Negative means never.
	stepsLeft int
	// freeBytes is how many bytes may still be written; negative means no limit.
	freeBytes int
	// syncs counts calls of Sync.
	syncs int
}

type fakeFile struct {
	data []byte
	// synced is the number of bytes of data that were synced.
	synced int
}

var errKilled = errors.New("killed")

func newFakeDisk() *fakeDisk {
	return &fakeDisk{
		files: make(map[string]*fakeFile), durable: make(map[string]*fakeFile), stepsLeft: -1, freeBytes: -1,
	}
}

// crash simulates a power loss: of the unsynced bytes a random part remains, perhaps with a
// corrupted byte; unsynced creations, renames and removals are either all kept or all
// undone, at random.
func (d *fakeDisk) crash(rnd *rand.Rand) {
	files := make(map[string]*fakeFile)
	keepNames := rnd.Intn(2) == 0
	names := d.durable
	if keepNames {
		names = d.files
	}
	for name, f := range names {
		keep := f.synced
		if extra := len(f.data) - f.synced; extra > 0 {
			keep += rnd.Intn(extra + 1)
		}
		data := append([]byte(nil), f.data[:keep]...)
		if keep > f.synced && rnd.Intn(2) == 0 {
			data[f.synced+rnd.Intn(keep-f.synced)] ^= 0x40
		}
		files[name] = &fakeFile{data: data, synced: len(data)}
	}
	d.files = files
	d.durable = make(map[string]*fakeFile)
	for name, f := range files {
		d.durable[name] = f
	}
	d.locked = false
	d.stepsLeft = -1
}

func (d *fakeDisk) step() error {
	if d.stepsLeft == 0 {
		return errKilled
	}
	if d.stepsLeft > 0 {
		d.stepsLeft--
	}
	return nil
}

func (d *fakeDisk) fileLayer() Files {
	return Files{
		MakeFolder: func(string) error { return nil },
		List: func(path string) ([]string, error) {
			var names []string
			for name := range d.files {
				if rest, ok := strings.CutPrefix(name, path+"/"); ok && !strings.Contains(rest, "/") {
					names = append(names, rest)
				}
			}
			sort.Strings(names)
			return names, nil
		},
		Read: func(path string) ([]byte, error) {
			f, ok := d.files[path]
			if !ok {
				return nil, os.ErrNotExist
			}
			return append([]byte(nil), f.data...), nil
		},
		Create: func(path string) (*File, error) {
			if err := d.step(); err != nil {
				return nil, err
			}
			d.files[path] = &fakeFile{}
			return d.open(d.files[path]), nil
		},
		Append: func(path string, size int64) (*File, error) {
			if err := d.step(); err != nil {
				return nil, err
			}
			f := d.files[path]
			f.data = f.data[:size]
			f.synced = min(f.synced, len(f.data))
			return d.open(f), nil
		},
		Rename: func(from, to string) error {
			if err := d.step(); err != nil {
				return err
			}
			d.files[to] = d.files[from]
			delete(d.files, from)
			return nil
		},
		Remove: func(path string) error {
			if err := d.step(); err != nil {
				return err
			}
			delete(d.files, path)
			return nil
		},
		SyncFolder: func(path string) error {
			if err := d.step(); err != nil {
				return err
			}
			for name := range d.durable {
				if filepath.Dir(name) == path {
					delete(d.durable, name)
				}
			}
			for name, f := range d.files {
				if filepath.Dir(name) == path {
					d.durable[name] = f
				}
			}
			return nil
		},
		Lock: func(string) (func() error, error) {
			if d.locked {
				return nil, ErrLocked
			}
			d.locked = true
			return func() error { d.locked = false; return nil }, nil
		},
	}
}

func (d *fakeDisk) open(f *fakeFile) *File {
	return &File{
		Write: func(data []byte) (int, error) {
			if err := d.step(); err != nil {
				f.data = append(f.data, data[:len(data)/2]...)
				return len(data) / 2, err
			}
			if d.freeBytes >= 0 && len(data) > d.freeBytes {
				n := d.freeBytes
				d.freeBytes = 0
				f.data = append(f.data, data[:n]...)
				return n, syscall.ENOSPC
			}
			if d.freeBytes >= 0 {
				d.freeBytes -= len(data)
			}
			f.data = append(f.data, data...)
			return len(data), nil
		},
		Sync: func() error {
			if err := d.step(); err != nil {
				return err
			}
			d.syncs++
			f.synced = len(f.data)
			return nil
		},
		Truncate: func(size int64) error {
			if err := d.step(); err != nil {
				return err
			}
			f.data = f.data[:size]
			f.synced = min(f.synced, len(f.data))
			return nil
		},
		Close: func() error { return nil },
	}
}
