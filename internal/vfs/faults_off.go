//go:build !faults

package vfs

// WithFaults returns the folder itself. With the build tag faults, it returns one whose calls fail on command.
func WithFaults(d Dir) FS { return d }
