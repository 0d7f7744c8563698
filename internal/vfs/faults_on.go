//go:build faults

package vfs

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"time"
)

// FaultFile is the environment variable that names a file with the state of the disk: "sound", "full", "failing", or "slow 300ms". The
// file is read at each call that changes something. Only builds for the chaos tests have this layer.
const FaultFile = "LIFTSHIFT_DISK"

// WithFaults returns a folder whose changing calls fail as the fault file says, or the folder itself where no fault file is named.
func WithFaults(d Dir) FS {
	if os.Getenv(FaultFile) == "" {
		return d
	}
	return faultyDir{d}
}

// faultyDir fails what changes the folder. Reading, removing and locking go on.
type faultyDir struct{ Dir }

// injectFault waits or fails as the fault file says. Without such a file the disk is sound.
func injectFault() error {
	b, err := os.ReadFile(os.Getenv(FaultFile))
	if err != nil {
		return nil
	}
	state, rest, _ := strings.Cut(strings.TrimSpace(string(b)), " ")
	switch state {
	case "full":
		return syscall.ENOSPC
	case "failing":
		return syscall.EIO
	case "slow":
		if d, err := time.ParseDuration(rest); err == nil {
			time.Sleep(d)
		}
	}
	return nil
}

func withFileFaults(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return faultyFile{f}, nil
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

type faultyFile struct{ File }

// WriteAt implements File. On a full disk it goes on, into space that was reserved.
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
