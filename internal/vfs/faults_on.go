//go:build faults

package vfs

import (
	"errors"
	"io"
	"os"
	"strings"
	"syscall"
	"time"
)

// FaultFile is the environment's name for the file that says how the disk is: "sound", "full", "failing", or "slow 300ms". It is read
// at each call that changes something. This layer is for rehearsals alone; no other build has it.
const FaultFile = "LIFTSHIFT_DISK"

// WithFaults returns a folder whose changing calls fail as the fault file says, or the folder itself where no fault file is named.
func WithFaults(d Dir) FS {
	if os.Getenv(FaultFile) == "" {
		return d
	}
	return sickly{d}
}

type sickly struct{ Dir }

// state waits or fails as the fault file says.
func state() error {
	b, err := os.ReadFile(os.Getenv(FaultFile))
	if err != nil {
		return nil // nothing is said: sound
	}
	word, rest, _ := strings.Cut(strings.TrimSpace(string(b)), " ")
	switch word {
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

func (s sickly) wrap(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return sickFile{f}, nil
}

// Create fails where nothing more goes onto the disk.
func (s sickly) Create(name string) (File, error) {
	if err := state(); err != nil {
		return nil, err
	}
	return s.wrap(s.Dir.Create(name))
}

// Open opens as ever: reading goes on.
func (s sickly) Open(name string) (File, error) { return s.wrap(s.Dir.Open(name)) }

// Rename fails as Create does.
func (s sickly) Rename(from, to string) error {
	if err := state(); err != nil {
		return err
	}
	return s.Dir.Rename(from, to)
}

// SyncDir fails as Create does.
func (s sickly) SyncDir() error {
	if err := state(); err != nil {
		return err
	}
	return s.Dir.SyncDir()
}

// Lock locks as ever.
func (s sickly) Lock(name string) (io.Closer, error) { return s.Dir.Lock(name) }

type sickFile struct{ File }

// WriteAt fails as the fault file says.
func (f sickFile) WriteAt(b []byte, at int64) (int, error) {
	if err := state(); errors.Is(err, syscall.EIO) {
		return 0, err // room that was reserved can still be written to on a full disk
	}
	return f.File.WriteAt(b, at)
}

// Sync fails as the fault file says.
func (f sickFile) Sync() error {
	if err := state(); err != nil {
		return err
	}
	return f.File.Sync()
}

// Allocate fails as the fault file says.
func (f sickFile) Allocate(size int64) error {
	if err := state(); err != nil {
		return err
	}
	return f.File.Allocate(size)
}
