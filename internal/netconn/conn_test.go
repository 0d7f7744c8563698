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

// A deadline that passed while the process stalled tells nothing: what came meanwhile is read before the connection counts as idle.
func TestConn_ReadsWhatCameDuringStall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	there, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer there.Close()
	here, err := l.Accept()
	require.NoError(t, err)
	defer here.Close()
	idle := errors.New("idle")
	p := &Conn{Socket: here, Budget: NewByteBudget(1), IdleDeadline: func() time.Time { return pastDeadline }, OnIdle: func() error { return idle }}
	_, _ = there.Write([]byte("x"))
	var b [1]byte
	require.Eventually(t, func() bool { n, _ := p.Read(b[:]); return n == 1 }, 3*time.Second, time.Millisecond)
	_, err = p.Read(b[:])
	assert.ErrorIs(t, err, idle)
}

// flakyConn is a connection whose calls fail with a transient error a few times.
type flakyConn struct {
	net.Conn
	reads, writes atomic.Int32 // failures left
	errno         syscall.Errno
}

func (f *flakyConn) Read(b []byte) (int, error) {
	if f.reads.Add(-1) >= 0 {
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", f.errno)}
	}
	return f.Conn.Read(b)
}

func (f *flakyConn) Write(b []byte) (int, error) {
	if f.writes.Add(-1) >= 0 {
		return 1, &net.OpError{Op: "write", Err: os.NewSyscallError("write", f.errno)} // a short one
	}
	return f.Conn.Write(b)
}

// A transient error ends no connection: what came is read, and what is written goes out completely and once.
func TestConn_RetriesTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR} {
		here, there := net.Pipe()
		f := &flakyConn{Conn: here, errno: errno}
		f.reads.Store(3)
		f.writes.Store(3)
		p := &Conn{Socket: f, Budget: NewByteBudget(1 << 20), WriteTimeout: time.Second, MaxQueued: 1 << 20,
			IdleDeadline: func() time.Time { return time.Now().Add(time.Second) }, OnIdle: func() error { return ErrClosed }}
		p.Push(func(b []byte) []byte { return append(b, "what is written"...) })
		got := make(chan string, 1)
		go func() {
			b := make([]byte, len("what is written")-3) // of which the failing writes took three
			_, _ = io.ReadFull(there, b)
			got <- string(b)
			_, _ = there.Write([]byte("x"))
		}()
		var b [1]byte
		n, err := p.Read(b[:])
		require.NoError(t, err, errno.Error())
		assert.Equal(t, []any{1, "t is written"}, []any{n, <-got}, errno.Error())
		here.Close()
	}
}

// A length that is only claimed takes no memory.
func TestReadBody_ClaimedLengthTakesNoMemory(t *testing.T) {
	r := strings.NewReader("x")
	n := testing.AllocsPerRun(10, func() {
		r.Reset("x")
		b, err := ReadBody(r, 1<<30, nil)
		assert.Nil(t, b)
		assert.Error(t, err)
	})
	assert.Less(t, n, 10.0)
	b, err := ReadBody(strings.NewReader(strings.Repeat("y", 50000)), 40000, nil)
	assert.NoError(t, err)
	assert.Len(t, b, 40000, nil)
}
