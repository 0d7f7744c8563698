package vfs

import (
	"os"
	"syscall"
)

// reserve reserves the space of a file, so that a full disk shows before anything is written to it.
func reserve(f *os.File, size int64) error { return syscall.Fallocate(int(f.Fd()), 0, 0, size) }
