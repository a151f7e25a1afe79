package recorder

import (
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"verbenareach/internal/wire/messenger"
)

const (
	snapshotSuffix = ".snapshot"
	tempSuffix     = ".tmp"
	// maxSnapshotBytes bounds the uncompressed state in a snapshot, and the payload of any
	// file that Load reads.
	maxSnapshotBytes = 1 << 30
)

// Pack compresses an application's state for a snapshot.
func Pack(state []byte) ([]byte, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, eris.Wrap(err, "zstd")
	}
	packed := enc.EncodeAll(state, nil)
	return packed, enc.Close()
}

// Unpack returns the state that Pack compressed.
func Unpack(packed []byte) ([]byte, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	if err != nil {
		return nil, eris.Wrap(err, "zstd")
	}
	defer dec.Close()
	state, err := dec.DecodeAll(packed, nil)
	return state, eris.Wrap(err, "unpack snapshot")
}

func snapshotPath(folder string, index uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%016d%s", index, snapshotSuffix))
}

func snapshotIndex(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, snapshotSuffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

// Replace replaces the file at path with one that holds m. After a crash, either the old or the new
// file is there, complete.
func (f Files) Replace(path string, m proto.Message) error {
	data, err := appendFrame(nil, m)
	if err != nil {
		return err
	}
	temp := path + tempSuffix
	file, err := f.Create(temp)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return errors.Join(err, file.Close(), f.Remove(temp))
	}
	if err := file.Sync(); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := f.Rename(temp, path); err != nil {
		return err
	}
	return f.SyncFolder(filepath.Dir(path))
}

// Load reads a file written by Replace into m. It fails with DamagedError if the content can't be
// read, and with os.ErrNotExist if there is no file.
func (f Files) Load(path string, m proto.Message) error {
	data, err := f.Read(path)
	if err != nil {
		return err
	}
	payload, err := decodeFrame(data, maxSnapshotBytes)
	if err == nil {
		err = proto.Unmarshal(payload, m)
	}
	if err != nil {
		return &DamagedError{Path: path, Cause: err}
	}
	return nil
}

// loadSnapshot reads the newest snapshot. It returns nil if there is none.
func (r *Recorder) loadSnapshot(names []string) (*messenger.LogSnapshot, error) {
	var newest uint64
	found := false
	for _, name := range names {
		if index, ok := snapshotIndex(name); ok {
			newest = max(newest, index)
			found = true
		}
	}
	if !found {
		return nil, nil
	}
	snap := new(messenger.LogSnapshot)
	if err := r.Files.Load(snapshotPath(r.Folder, newest), snap); err != nil {
		return nil, err
	}
	return snap, nil
}

// removeLeftovers removes unfinished files and snapshots older than the newest.
func (r *Recorder) removeLeftovers(names []string) error {
	for _, name := range names {
		index, isSnapshot := snapshotIndex(name)
		if strings.HasSuffix(name, tempSuffix) || isSnapshot && index < r.snap.GetIndex() {
			if err := r.Files.Remove(filepath.Join(r.Folder, name)); err != nil {
				return eris.Wrap(err, "remove leftover")
			}
		}
	}
	return nil
}
