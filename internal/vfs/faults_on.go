//go:build faults

package vfs

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"time"
)

// faultFileVariable is the environment variable with the path of the fault file. That file holds the simulated state of
// the disk: "sound", "full", "failing", or "slow" with a delay such as "slow 300ms". Each modifying call reads it anew.
const faultFileVariable = "LIFTSHIFT_DISK"

// WithFaults returns a directory whose modifying calls fail or wait as the fault file says. It returns the directory
// unchanged if the environment names no fault file. Only builds for the chaos tests include this layer.
func WithFaults(d Dir) FS {
	if os.Getenv(faultFileVariable) == "" {
		return d
	}
	return faultyDir{d}
}

// faultyDir injects faults into modifying calls other than Remove. Reading, removing and locking always work.
type faultyDir struct{ Dir }

// injectFault waits or returns an error as the fault file says. It does nothing if the file cannot be read.
func injectFault() error {
	content, err := os.ReadFile(os.Getenv(faultFileVariable))
	if err != nil {
		return nil
	}
	state, argument, _ := strings.Cut(strings.TrimSpace(string(content)), " ")
	switch state {
	case "full":
		return syscall.ENOSPC
	case "failing":
		return syscall.EIO
	case "slow":
		if delay, err := time.ParseDuration(argument); err == nil {
			time.Sleep(delay)
		}
	}
	return nil
}

// withFileFaults wraps a file that was just opened, and passes on an error of the opening.
func withFileFaults(file File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return faultyFile{file}, nil
}

// Create implements FS.
func (d faultyDir) Create(name string) (File, error) {
	if err := injectFault(); err != nil {
		return nil, err
	}
	return withFileFaults(d.Dir.Create(name))
}

// Open implements FS.
func (d faultyDir) Open(name string) (File, error) { return withFileFaults(d.Dir.Open(name)) }

// Rename implements FS.
func (d faultyDir) Rename(from, to string) error {
	if err := injectFault(); err != nil {
		return err
	}
	return d.Dir.Rename(from, to)
}

// SyncDir implements FS.
func (d faultyDir) SyncDir() error {
	if err := injectFault(); err != nil {
		return err
	}
	return d.Dir.SyncDir()
}

// faultyFile injects faults into the modifying calls of a file.
type faultyFile struct{ File }

// WriteAt implements File. It succeeds on a full disk, because files are written only in space that was allocated.
func (f faultyFile) WriteAt(b []byte, offset int64) (int, error) {
	if err := injectFault(); errors.Is(err, syscall.EIO) {
		return 0, err
	}
	return f.File.WriteAt(b, offset)
}

// Sync implements File.
func (f faultyFile) Sync() error {
	if err := injectFault(); err != nil {
		return err
	}
	return f.File.Sync()
}

// Allocate implements File.
func (f faultyFile) Allocate(size int64) error {
	if err := injectFault(); err != nil {
		return err
	}
	return f.File.Allocate(size)
}
