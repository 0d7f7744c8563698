package retry

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDo_RetriesTransientErrors(t *testing.T) {
	calls := 0
	failingWith := func(errs ...error) func() error {
		calls = 0
		return func() error {
			if calls++; calls <= len(errs) {
				return fmt.Errorf("listen: %w", errs[calls-1])
			}
			return nil
		}
	}
	assert.NoError(t, Listen(failingWith(syscall.EADDRINUSE, syscall.ENFILE, syscall.ENOBUFS)))
	assert.Equal(t, 4, calls, "one call for each transient error and the one that succeeds")
	permanent := errors.New("no address")
	assert.ErrorIs(t, Listen(failingWith(syscall.EADDRINUSE, permanent)), permanent)
	assert.Equal(t, 2, calls, "a permanent error is not retried")
	assert.ErrorIs(t, Do(2*Pause, func() error { return permanent }, permanent), permanent)
	began := time.Now()
	assert.ErrorIs(t, Do(3*Pause, func() error { return syscall.EIO }, syscall.EIO), syscall.EIO)
	assert.GreaterOrEqual(t, time.Since(began), 3*Pause)
}
