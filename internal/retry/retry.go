// Package retry repeats calls that fail for a transient reason.
//
// It serves the start of a process and files read at a reload. It blocks its caller between two calls, so code that
// serves requests must not use it.
package retry

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	// StartTimeout bounds the retries at a start: half of the time within which a restarted controller has to be ready.
	StartTimeout = 5 * time.Second
	// Pause is the time between two calls.
	Pause = 50 * time.Millisecond
)

// Transient lists the errors of the operating system that may be gone at the next call.
var Transient = []error{syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE}

// Do repeats call until it succeeds, fails with an error that matches none of the transient errors, or the timeout has
// passed. It returns the error of the last call.
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

// Listen repeats a call that binds an address. It also retries while the address is in use, because the previous
// process may still be shutting down.
func Listen(call func() error) error {
	return Do(StartTimeout, call, append([]error{syscall.EADDRINUSE}, Transient...)...)
}
