package vfs

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// Dir is an FS for a directory of the operating system.
type Dir struct{ path string }

// OpenDir returns the directory at a path. If create is set, it creates a missing directory and its parents.
func OpenDir(path string, create bool) (Dir, error) {
	if create {
		if err := os.MkdirAll(path, 0o700); err != nil {
			return Dir{}, err
		}
	}
	info, err := os.Stat(path)
	if err != nil {
		return Dir{}, err
	}
	if !info.IsDir() {
		return Dir{}, fmt.Errorf("%s is not a directory", path)
	}
	return Dir{path}, nil
}

func (d Dir) join(name string) string { return filepath.Join(d.path, name) }

// Create implements FS.
func (d Dir) Create(name string) (File, error) {
	return openFile(d.join(name), os.O_RDWR|os.O_CREATE|os.O_EXCL)
}

// Open implements FS.
func (d Dir) Open(name string) (File, error) { return openFile(d.join(name), os.O_RDONLY) }

func openFile(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, 0o600)
	if err != nil {
		return nil, err // a nil File, not one that holds a nil *os.File
	}
	return osFile{file}, nil
}

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(d.join(name)) }

// Rename implements FS.
func (d Dir) Rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }

// List implements FS.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, err
}

// SyncDir implements FS.
func (d Dir) SyncDir() error {
	dir, err := os.Open(d.path)
	if err != nil {
		return err
	}
	err = dir.Sync()
	return errors.Join(err, dir.Close())
}

// Lock implements FS. The operating system releases the lock when the process ends, even if it is killed.
func (d Dir) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(d.join(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrInUse
		}
		return nil, err
	}
	return file, nil
}

// osFile is a File of the operating system.
type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Allocate implements File. If the system does not support reserving space, it only extends the file.
func (f osFile) Allocate(size int64) error {
	err := reserve(f.File, size)
	if errors.Is(err, syscall.EOPNOTSUPP) || errors.Is(err, errors.ErrUnsupported) {
		return f.Truncate(size)
	}
	return err
}
