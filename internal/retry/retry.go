// Package retry repeats calls that fail for a transient reason. It is for the start of a process and for files that are read at a
// reload; nothing that serves requests may wait in it.
package retry

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	// StartTimeout is how long a start retries: half of the time in which a restarted controller has to be ready.
	StartTimeout = 5 * time.Second
	// Pause is the time between two calls.
	Pause = 50 * time.Millisecond
)

// Momentary lists the system's errors that may be gone at the next call.
var Transient = []error{syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE}

// Do repeats a call until it succeeds, fails with an error that is not in the transient ones, or the time is over. It returns the
// last error.
func Do(timeout time.Duration, call func() error, transient ...error) error {
	began := time.Now()
	for {
		err := call()
		isTransient := slices.ContainsFunc(transient, func(target error) bool { return errors.Is(err, target) })
		if !isTransient || time.Since(began) > timeout {
			return err
		}
		time.Sleep(Pause)
	}
}

// Listen repeats a call that listens at an address: the process before this one may still be ending there.
func Listen(call func() error) error {
	return Do(StartTimeout, call, append([]error{syscall.EADDRINUSE}, Transient...)...)
}
