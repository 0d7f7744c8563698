//go:build !faults

package vfs

// WithFaults gives what a store stands on: the folder itself. With the build tag faults, a layer that fails on command.
func WithFaults(d Dir) FS { return d }
