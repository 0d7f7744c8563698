// Package vfs abstracts the file system operations that a store needs: the files of one directory, written in place and
// synced one by one. Dir is a directory of the operating system. MemoryFS is a directory in memory for tests, which
// simulates a crash that loses, tears or reorders unsynced writes, and injects errors.
package vfs

import (
	"errors"
	"io"
)

// File is an open file. Written data is durable only after Sync has returned without an error.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Sync makes all data written so far durable.
	Sync() error
	// Size returns the length of the file.
	Size() (int64, error)
	// Allocate extends the file with zeros to a length and reserves disk space for it if the system supports that.
	Allocate(size int64) error
}

// FS is a directory. Created, renamed and removed names are durable only after SyncDir has returned without an error.
type FS interface {
	// Create creates a file for reading and writing. It fails if the name exists.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	// Remove removes a file.
	Remove(name string) error
	// Rename renames a file and replaces a file that has the new name.
	Rename(from, to string) error
	// List returns the sorted names of the files.
	List() ([]string, error)
	// SyncDir makes the current names of the files durable.
	SyncDir() error
	// Lock locks the directory, by a lock file with the given name, until the Closer is closed. It returns ErrInUse if the
	// lock is held.
	Lock(name string) (io.Closer, error)
}

// ErrInUse is returned by Lock while another process, or another store in this process, holds the lock.
var ErrInUse = errors.New("in use by another process")
