package netconn

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"syscall"
)

// ErrClosed is what Conn.Read returns once the connection was ended on this side.
var ErrClosed = errors.New("closed on this side")

// ErrMalformed marks bytes that break a protocol: what follows them can't be trusted.
var ErrMalformed = errors.New("malformed")

// Malformed returns an error that wraps ErrMalformed.
func Malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// UnexpectedEOF turns io.EOF into io.ErrUnexpectedEOF: an end within a message is one.
func UnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// The system's errors by what they tell, as Linux documents them for socket, connect, accept, send and recv.
var (
	// scarceErrors: this process or this machine has no descriptor left.
	scarceErrors = []error{syscall.EMFILE, syscall.ENFILE}

	// transientErrors: the call may succeed at the next try, the connection is as it was.
	transientErrors = []error{syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM}

	// localErrors: a connection could not be opened for a reason on this side. They tell nothing about the other side.
	localErrors = []error{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM}
)

func isAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// IsScarce returns whether there was no file descriptor left.
func IsScarce(err error) bool { return isAny(err, scarceErrors) }

// IsTransient returns whether the call may be made again on the same connection.
func IsTransient(err error) bool { return isAny(err, transientErrors) }

// IsLocal returns whether a connection could not be opened for a reason on this side.
func IsLocal(err error) bool { return IsScarce(err) || IsTransient(err) || isAny(err, localErrors) }
