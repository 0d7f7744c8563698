// Package vfs is the little of a file system that a store needs: the files of one folder, written in place and synced one by one.
// Dir is a real folder. MemoryFS is one in memory that forgets, tears and reorders what was not synced, and fails calls on demand.
// The package does not know what is stored.
package vfs

import (
	"errors"
	"io"
)

// File is an open file. Writes are durable only after Sync has returned without an error.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Sync makes what was written durable.
	Sync() error
	// Size returns the length of the file.
	Size() (int64, error)
	// Allocate extends the file to a length, with zeros, and reserves the space where the system can.
	Allocate(size int64) error
}

// FS is a folder. Names are durable only after SyncDir.
type FS interface {
	// Create makes a file that must not be there yet.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	// Remove removes a file.
	Remove(name string) error
	// Rename gives a file another name, replacing a file that has it.
	Rename(from, to string) error
	// List returns the names of the files in order.
	List() ([]string, error)
	// SyncDir makes the names of the files durable.
	SyncDir() error
	// Lock locks the folder until the Closer is closed. It returns ErrInUse where another has it.
	Lock(name string) (io.Closer, error)
}

// ErrInUse is what Lock returns while another process, or another store of this one, has the folder.
var ErrInUse = errors.New("in use by another process")
