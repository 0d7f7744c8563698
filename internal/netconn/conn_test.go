package netconn

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// If the process stalls past the idle deadline, input that has arrived in the meantime is read before the connection
// counts as idle.
func TestConn_ReadsWhatCameDuringStall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	remote, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer remote.Close()
	local, err := listener.Accept()
	require.NoError(t, err)
	defer local.Close()
	errIdle := errors.New("idle")
	conn := &Conn{
		Socket:       local,
		Budget:       NewByteBudget(1),
		IdleDeadline: func() time.Time { return pastDeadline },
		OnIdle:       func() error { return errIdle },
	}
	_, _ = remote.Write([]byte("x"))
	var b [1]byte
	require.Eventually(t, func() bool { n, _ := conn.Read(b[:]); return n == 1 }, 3*time.Second, time.Millisecond)
	_, err = conn.Read(b[:])
	assert.ErrorIs(t, err, errIdle)
}

// flakyConn is a connection whose first reads and writes fail with a transient error.
type flakyConn struct {
	net.Conn
	readFailures, writeFailures atomic.Int32 // still to come
	errno                       syscall.Errno
}

// Read implements net.Conn.
func (f *flakyConn) Read(b []byte) (int, error) {
	if f.readFailures.Add(-1) >= 0 {
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", f.errno)}
	}
	return f.Conn.Read(b)
}

// Write implements net.Conn. A failing write writes nothing, but reports one byte as written.
func (f *flakyConn) Write(b []byte) (int, error) {
	if f.writeFailures.Add(-1) >= 0 {
		return 1, &net.OpError{Op: "write", Err: os.NewSyscallError("write", f.errno)}
	}
	return f.Conn.Write(b)
}

// A transient error does not end the connection: input is still read, and all output is written exactly once.
func TestConn_RetriesTransientErrors(t *testing.T) {
	const output, failures = "what is written", 3
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR} {
		local, remote := net.Pipe()
		flaky := &flakyConn{Conn: local, errno: errno}
		flaky.readFailures.Store(failures)
		flaky.writeFailures.Store(failures)
		conn := &Conn{
			Socket:         flaky,
			Budget:         NewByteBudget(1 << 20),
			WriteTimeout:   time.Second,
			MaxQueuedBytes: 1 << 20,
			IdleDeadline:   func() time.Time { return time.Now().Add(time.Second) },
			OnIdle:         func() error { return ErrClosed },
		}
		conn.Push(func(b []byte) []byte { return append(b, output...) })
		received := make(chan string, 1)
		go func() {
			b := make([]byte, len(output)-failures) // each failing write has reported one byte as written
			_, _ = io.ReadFull(remote, b)
			received <- string(b)
			_, _ = remote.Write([]byte("x"))
		}()
		var b [1]byte
		n, err := conn.Read(b[:])
		require.NoError(t, err, errno.Error())
		assert.Equal(t, []any{1, "t is written"}, []any{n, <-received}, errno.Error())
		local.Close()
	}
}

// A message that announces a large body but does not send it must not make ReadBody allocate that much.
func TestReadBody_ClaimedLengthTakesNoMemory(t *testing.T) {
	reader := strings.NewReader("x")
	allocations := testing.AllocsPerRun(10, func() {
		reader.Reset("x")
		body, err := ReadBody(reader, 1<<30, nil)
		assert.Nil(t, body)
		assert.Error(t, err)
	})
	assert.Less(t, allocations, 10.0, "allocations for a body of 1 byte that is announced as 1 GiB")
	body, err := ReadBody(strings.NewReader(strings.Repeat("y", 50000)), 40000, nil)
	assert.NoError(t, err)
	assert.Len(t, body, 40000)
}
