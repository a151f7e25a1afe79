package recorder

import (
	"errors"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
)

type (
	// Files is the file layer under a recorder. Tests replace its fields to lose, tear and
	// reject writes. Disk returns the real layer.
	Files struct {
		// MakeFolder creates a folder and its parents.
		MakeFolder func(path string) error
		// List returns the names in a folder, sorted.
		List func(path string) ([]string, error)
		// Read returns a file's content. The error is os.ErrNotExist if there is no such
		// file.
		Read func(path string) ([]byte, error)
		// Create creates an empty file and opens it for writing.
		Create func(path string) (*File, error)
		// Append opens a file for writing after its first size bytes and truncates the
		// rest.
		Append func(path string, size int64) (*File, error)
		Rename func(from, to string) error
		Remove func(path string) error
		// SyncFolder makes creations, renames and removals in a folder durable.
		SyncFolder func(path string) error
		// Lock acquires the exclusive lock of a file and returns a function that releases
		// it. It fails with ErrLocked when another process holds the lock.
		Lock func(path string) (release func() error, err error)
	}

	// File is a file open for writing at its end.
	File struct {
		Write func(data []byte) (int, error)
		// Sync makes everything written durable.
		Sync func() error
		// Truncate truncates the file to size, where the next write starts.
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
