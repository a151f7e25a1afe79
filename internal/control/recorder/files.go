package recorder

import (
	"errors"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
)

type (
	// Files is the layer under a recorder. Its fields are the seams at which
	// tests lose, tear and refuse writes; Disk returns the real form.
	Files struct {
		// MakeFolder creates a folder and its parents.
		MakeFolder func(path string) error
		// List returns the names in a folder, sorted.
		List func(path string) ([]string, error)
		// Read returns a file's content; an error that is os.ErrNotExist if there is none.
		Read func(path string) ([]byte, error)
		// Create makes an empty file for writing.
		Create func(path string) (*File, error)
		// Append opens a file for writing after its first size bytes and cuts the rest.
		Append func(path string, size int64) (*File, error)
		Rename func(from, to string) error
		Remove func(path string) error
		// SyncFolder makes creations, renames and removals in a folder last.
		SyncFolder func(path string) error
		// Lock takes the exclusive lock of a file and returns what releases it.
		// It fails with ErrLocked when another process holds the lock.
		Lock func(path string) (release func() error, err error)
	}

	// File is a file open for writing at its end.
	File struct {
		Write func(data []byte) (int, error)
		// Sync returns once everything written lasts.
		Sync func() error
		// Truncate cuts the file to size; the next write goes there.
		Truncate func(size int64) error
		Close    func() error
	}
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Disk returns the real file layer.
func Disk() Files {
	return Files{
		MakeFolder: func(path string) error { return os.MkdirAll(path, folderMode) },
		List:       listFolder,
		Read:       os.ReadFile,
		Create:     func(path string) (*File, error) { return openFile(path, 0) },
		Append:     openFile,
		Rename:     os.Rename,
		Remove:     os.Remove,
		SyncFolder: syncFolder,
		Lock:       lockFile,
	}
}

func listFolder(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func lockFile(path string) (release func() error, err error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = ErrLocked
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f.Close, nil
}

func openFile(path string, size int64) (*File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	truncate := func(size int64) error {
		if err := f.Truncate(size); err != nil {
			return err
		}
		_, err := f.Seek(size, 0)
		return err
	}
	if err := truncate(size); err != nil {
		return nil, errors.Join(eris.Wrap(err, "truncate"), f.Close())
	}
	return &File{Write: f.Write, Sync: f.Sync, Truncate: truncate, Close: f.Close}, nil
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
