package netconn

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"syscall"
)

// ErrClosed is returned by Conn.Read once this process has ended the connection.
var ErrClosed = errors.New("connection closed by this side")

// ErrMalformed marks input that violates a protocol. The rest of the stream can't be parsed reliably.
var ErrMalformed = errors.New("malformed")

// Malformed returns an error that wraps ErrMalformed.
func Malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// UnexpectedEOF turns io.EOF into io.ErrUnexpectedEOF. It is for reads within a message, and returns other errors as
// they are.
func UnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Classes of system errors, after the Linux manual pages of socket, connect, accept, send and recv.
var (
	// descriptorErrors mean that the process or the machine has no file descriptor left.
	descriptorErrors = []error{syscall.EMFILE, syscall.ENFILE}

	// transientErrors leave the connection unchanged, and a retry of the call may succeed.
	transientErrors = []error{syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM}

	// localErrors mean that a connection could not be opened for a local reason. They say nothing about the remote end.
	localErrors = []error{
		syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM,
	}
)

// isAny returns whether err matches any of the targets.
func isAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// IsOutOfDescriptors returns whether a call failed because no file descriptor was left.
func IsOutOfDescriptors(err error) bool { return isAny(err, descriptorErrors) }

// IsTransient returns whether a failed call may be retried on the same connection.
func IsTransient(err error) bool { return isAny(err, transientErrors) }

// IsLocal returns whether a connection could not be opened for a local reason, such as a lack of ports or memory.
func IsLocal(err error) bool {
	return IsOutOfDescriptors(err) || IsTransient(err) || isAny(err, localErrors)
}
