package jsonrpc

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/internal/netconn"
	"liftshift/scheduler"
)

// The messages of a client that reads nothing are still handled: what it cancels is cancelled at once, though its answers are stuck.
func TestServer_HandlesCancelOfClientThatDoesNotRead(t *testing.T) {
	_, queue, c, _ := newTestServer(t, Limits{})
	send(c, lookRequest(1, "a"))
	first := queue.next(t).Request
	send(c, lookRequest(2, "b"))
	second := queue.next(t).Request
	pipe := first.Client.(*clientConn)
	pipe.WriteTimeout = time.Minute // nothing but the word itself may end it
	first.Client.Succeeded(first.Tag, make([]byte, 24<<20))
	require.Eventually(t, func() bool { return !pipe.Flushed() }, 3*time.Second, time.Millisecond)
	time.Sleep(2 * netconn.IOTimeSlice) // into the stuck write
	send(c, `{"jsonrpc":"2.0","method":"giveUp","params":{"req":"b"}}`)
	it := queue.next(t)
	assert.Equal(t, []any{scheduler.ClientLeft, "b"}, []any{it.Event.Kind, it.Event.Request})
	assert.True(t, second.Abandoned())
	assert.False(t, pipe.Flushed(), "it was stuck throughout")
}

// fullQueue takes nothing until there is room.
type fullQueue struct {
	fakeQueue
	room chan struct{}
}

func (q fullQueue) Put(it dispatch.QueueItem) { <-q.room; q.fakeQueue.Put(it) }

// All that is open on a connection that ends is marked at once, however long its events wait for the queue.
func TestServer_MarksAllRequestsOfGoneClientAtOnce(t *testing.T) {
	server, queue, c, _ := newTestServer(t, Limits{})
	server.queue = fullQueue{queue, make(chan struct{})}
	var open []*dispatch.Request
	for id := range 3 {
		send(c, lookRequest(id+1, fmt.Sprint("a", id)))
		open = append(open, queue.next(t).Request)
	}
	c.Close()
	assert.Eventually(t, func() bool { return open[0].Abandoned() && open[1].Abandoned() && open[2].Abandoned() }, 3*time.Second,
		time.Millisecond)
	assert.Empty(t, queue)
	close(server.queue.(fullQueue).room)
}

// In a shutdown the last answers arrive completely, also at a client that has sent something that is not read any more. What comes on
// an open connection is rejected, and an idle one ends without a reset.
func TestServer_DrainLosesNoAnswer(t *testing.T) {
	server, queue, c, r := newTestServer(t, Limits{})
	rest, rr := dialServer(t, server)
	send(rest, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
	assertReply(t, rr, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
	send(c, lookRequest(1, "a"))
	s := queue.next(t).Request
	server.Drain()
	assert.False(t, server.Done())
	_, err := rr.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	send(c, lookRequest(2, "b"))
	got, err := readMessage(r, nil)
	require.NoError(t, err)
	assert.Contains(t, string(got), `"id":2,"error":{"code":-32008,"message":"this connection takes no more"`)
	body := bytes.Repeat([]byte("x\ty\tz\n"), 7000)
	s.Client.Succeeded(s.Tag, body)
	send(c, lookRequest(3, "c")) // crosses the end
	fmt.Fprint(c, "Content-Length: 60000\r\n\r\n")
	got, err = readMessage(r, nil)
	for err == nil && !strings.HasPrefix(string(got), `{"jsonrpc":"2.0","id":1,`) {
		got, err = readMessage(r, nil)
	}
	require.NoError(t, err, "no reset took it along")
	assert.Greater(t, len(got), len(body))
	for err == nil {
		_, err = readMessage(r, nil)
	}
	assert.ErrorIs(t, err, io.EOF)
	assert.Empty(t, queue)
	server.Stop(time.Second)
	assert.True(t, server.Done())
	_, err = net.Dial("tcp", server.listener.Addr().String())
	assert.Error(t, err)
}

// A request is no longer open only once its answer is queued: Done looks at both and must not find neither.
func TestServer_DoneSeesEveryAnswer(t *testing.T) {
	server, queue, c, r := newTestServer(t, Limits{})
	for n := range 200 {
		send(c, lookRequest(n+1, fmt.Sprint("a", n)))
		s := queue.next(t).Request
		require.False(t, server.Done())
		go s.Client.Rejected(s.Tag, 5)
		for !server.Done() {
		}
		_, err := readMessage(r, nil)
		require.NoError(t, err)
	}
}

// A controller that is restarted may find its address still in use by the process before it.
func TestNewServer_RetriesAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { l.Close() })
	queue := make(fakeQueue, 1)
	server, err := NewServer(l.Addr().String(), nil, queue, dispatch.NewClock(), Limits{OutputBudget: netconn.NewByteBudget(1), RequestBudget: netconn.NewByteBudget(1)}, discardLog())
	require.NoError(t, err)
	server.Stop(0)
}

// A request that comes as its idle connection is ended is rejected before the end, whether it had been read by then or was still in
// the system's buffer.
func TestServer_RejectsRequestThatCrossesEnd(t *testing.T) {
	for name, unread := range map[string]bool{"read": false, "not yet read": true} {
		server, queue, c, r := newTestServer(t, Limits{})
		send(c, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
		assertReply(t, r, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
		server.mu.Lock()
		var here *clientConn
		for one := range server.connections {
			here = one
		}
		server.mu.Unlock()
		here.mu.Lock() // its goroutine stops at its next look at what is open
		if unread {
			here.Wake()
		}
		send(c, lookRequest(2, "a"))
		time.Sleep(30 * time.Millisecond) // it stands there now, with the request or before it
		here.closing = true
		here.End(false)
		here.mu.Unlock()
		got, err := readMessage(r, nil)
		if assert.NoError(t, err, name) {
			assert.Contains(t, string(got), `"id":2,"error":{"code":-32008`, name)
			_, err = r.ReadByte()
			assert.ErrorIs(t, err, io.EOF, name)
		}
		assert.Empty(t, queue, name)
	}
}

// One client that reads nothing uses up the output budget of all. The answers of others go out all the same, however many come at a
// time.
func TestServer_SlowReaderAffectsNoOther(t *testing.T) {
	server, queue, c, _ := newTestServer(t, Limits{})
	send(c, lookRequest(1, "stuck"))
	stuck := queue.next(t).Request
	good, r := dialServer(t, server)
	var open []*dispatch.Request
	for id := range 8 {
		send(good, lookRequest(id+1, fmt.Sprint("g", id)))
		open = append(open, queue.next(t).Request)
	}
	stuck.Client.Succeeded(stuck.Tag, make([]byte, 24<<20)) // far more than the budget of all, and than the system holds
	pipe := stuck.Client.(*clientConn)
	require.Eventually(t, func() bool { return !pipe.Flushed() }, 3*time.Second, time.Millisecond)
	here := open[0].Client.(*clientConn)
	here.mu.Lock() // its goroutine stops, so that all answers line up
	here.Wake()
	time.Sleep(30 * time.Millisecond)
	page := bytes.Repeat([]byte("x\ty\tz\n"), 5000)
	for _, s := range open {
		here.Push(func(b []byte) []byte { return appendResult(b, []byte(fmt.Sprint(s.Tag)), page) })
	}
	here.mu.Unlock()
	for id := range open {
		got, err := readMessage(r, nil)
		if !assert.NoError(t, err, "answer %d", id) {
			break
		}
		assert.Contains(t, string(got[:40]), fmt.Sprintf(`"id":%d,"result"`, id+1))
	}
}

// faultyListener fails some accepts, each in one of the ways that Linux documents.
type faultyListener struct {
	net.Listener
	errors chan error
}

func (l faultyListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errors:
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	default:
		return l.Listener.Accept()
	}
}

// A failed accept costs no idle client its connection, unless there is no descriptor left.
func TestServer_TransientAcceptErrorEvictsNobody(t *testing.T) {
	for errno, gone := range map[syscall.Errno]bool{syscall.ECONNABORTED: false, syscall.EINTR: false, syscall.EPROTO: false, syscall.ENOBUFS: false,
		syscall.ENOMEM: false, syscall.ENETDOWN: false, syscall.EHOSTUNREACH: false, syscall.EMFILE: true, syscall.ENFILE: true} {
		queue, errs := make(fakeQueue, 10), make(chan error, 10)
		server, err := NewServer("127.0.0.1:0", map[string]ClassLimits{"look": {}}, queue, dispatch.NewClock(),
			Limits{MaxConns: 5, OutputBudget: netconn.NewByteBudget(1 << 20), RequestBudget: netconn.NewByteBudget(1 << 20)}, discardLog())
		require.NoError(t, err)
		server.listener = faultyListener{server.listener, errs}
		go server.Run()
		t.Cleanup(func() { server.Stop(0) })
		idle, r := dialServer(t, server)
		send(idle, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
		assertReply(t, r, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
		errs <- errno
		for range 2 { // the accept under way, and the one behind the failure
			next, rr := dialServer(t, server)
			send(next, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
			assertReply(t, rr, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
		}
		assert.Equal(t, gone, server.Evicted.Load() > 0, errno.Error())
	}
}
