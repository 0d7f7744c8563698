package retry

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestFor_RetriesTransientErrors(t *testing.T) {
	calls := 0
	fails := func(errs ...error) func() error {
		calls = 0
		return func() error {
			if calls++; calls <= len(errs) {
				return fmt.Errorf("listen: %w", errs[calls-1])
			}
			return nil
		}
	}
	assert.NoError(t, Listen(fails(syscall.EADDRINUSE, syscall.ENFILE, syscall.ENOBUFS)))
	assert.Equal(t, 4, calls)
	other := errors.New("no address")
	assert.ErrorIs(t, Listen(fails(syscall.EADDRINUSE, other)), other)
	assert.Equal(t, 2, calls)
	assert.ErrorIs(t, Do(2*Pause, func() error { return other }, other), other)
	began := time.Now()
	assert.ErrorIs(t, Do(3*Pause, func() error { return syscall.EIO }, syscall.EIO), syscall.EIO)
	assert.GreaterOrEqual(t, time.Since(began), 3*Pause)
}
