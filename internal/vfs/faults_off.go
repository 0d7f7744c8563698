//go:build !faults

package vfs

// Beneath gives what a store stands on: the folder itself. With the build tag faults, a layer that fails on command.
func Beneath(d Dir) FS { return d }
