package vfs

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// Dir is a folder of the real file system.
type Dir struct{ path string }

// OpenDir returns the folder at a path. With create, it is made where it is missing.
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
		return Dir{}, fmt.Errorf("%s is no folder", path)
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
	f, err := os.OpenFile(path, flags, 0o600)
	if err != nil {
		return nil, err // not a File around a nil *os.File
	}
	return osFile{f}, nil
}

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(d.join(name)) }

// Rename implements FS.
func (d Dir) Rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }

// List implements FS.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// SyncDir implements FS.
func (d Dir) SyncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	err = f.Sync()
	return errors.Join(err, f.Close())
}

// Lock implements FS. The lock ends with the process, however that ends.
func (d Dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.join(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrInUse
		}
		return nil, err
	}
	return f, nil
}

type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Allocate implements File. Where the system can't reserve space, the file is extended only.
func (f osFile) Allocate(size int64) error {
	err := reserve(f.File, size)
	if errors.Is(err, syscall.EOPNOTSUPP) || errors.Is(err, errors.ErrUnsupported) {
		return f.Truncate(size)
	}
	return err
}
