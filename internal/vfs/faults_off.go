//go:build !faults

package vfs

// WithFaults returns the directory unchanged. With the build tag faults, it returns one that injects errors and delays.
func WithFaults(d Dir) FS { return d }
