//go:build !linux

package vfs

import (
	"errors"
	"os"
)

// reserve is not supported on this system; the caller extends the file instead.
func reserve(*os.File, int64) error { return errors.ErrUnsupported }
