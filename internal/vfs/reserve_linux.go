package vfs

import (
	"os"
	"syscall"
)

// reserve allocates disk space for a file, so that a full disk is detected before anything is written to the file.
func reserve(f *os.File, size int64) error { return syscall.Fallocate(int(f.Fd()), 0, 0, size) }
