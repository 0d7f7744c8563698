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
	"liftshift/internal/dispatchtest"
	"liftshift/internal/netconn"
	"liftshift/internal/testlog"
	"liftshift/scheduler"
)

// Guards against a client that does not read blocking its own cancellations: they must be handled while its answers are
// stuck.
func TestServer_HandlesCancelOfClientThatDoesNotRead(t *testing.T) {
	_, queue, conn, _ := newTestServer(t, Limits{})
	send(conn, requestCall(1, "a"))
	first := queue.Next(t).Request
	send(conn, requestCall(2, "b"))
	second := queue.Next(t).Request
	serverConn := first.Client.(*clientConn)
	serverConn.WriteTimeout = time.Minute // so that only the cancellation ends the request
	first.Client.Succeeded(first.Tag, make([]byte, 24<<20))
	require.Eventually(t, func() bool { return !serverConn.Flushed() }, 3*time.Second, time.Millisecond)
	time.Sleep(2 * netconn.IOTimeSlice) // until the connection's goroutine is in the stuck write
	send(conn, `{"jsonrpc":"2.0","method":"giveUp","params":{"req":"b"}}`)
	item := queue.Next(t)
	assert.Equal(t, []any{scheduler.ClientLeft, "b"}, []any{item.Event.Kind, item.Event.Request})
	assert.True(t, second.Abandoned())
	assert.False(t, serverConn.Flushed(), "the first answer was written before the cancellation was handled")
}

// fullQueue blocks Put until there is room.
type fullQueue struct {
	dispatchtest.Queue
	room chan struct{}
}

func (q fullQueue) Put(item dispatch.QueueItem) { <-q.room; q.Queue.Put(item) }

// When a connection ends, all of its open requests must be marked as abandoned at once, even while the event queue is
// full.
func TestServer_MarksAllRequestsOfGoneClientAtOnce(t *testing.T) {
	server, queue, conn, _ := newTestServer(t, Limits{})
	server.queue = fullQueue{queue, make(chan struct{})}
	var open []*dispatch.Request
	for id := range 3 {
		send(conn, requestCall(id+1, fmt.Sprint("a", id)))
		open = append(open, queue.Next(t).Request)
	}
	conn.Close()
	allAbandoned := func() bool { return open[0].Abandoned() && open[1].Abandoned() && open[2].Abandoned() }
	assert.Eventually(t, allAbandoned, 3*time.Second, time.Millisecond)
	assert.Empty(t, queue)
	close(server.queue.(fullQueue).room)
}

// signallingQueue signals when Put begins, and blocks it until there is room.
type signallingQueue struct {
	fullQueue
	began chan struct{}
}

func (q signallingQueue) Put(item dispatch.QueueItem) {
	q.began <- struct{}{}
	q.fullQueue.Put(item)
}

// Guards against a race in which Done finds the requests of a connection gone and the replies about them not queued yet,
// where the event loop is told of a request's end first.
func TestServer_DoneSeesRepliesWhileEventQueueIsFull(t *testing.T) {
	for name, test := range map[string]struct{ message, reply string }{
		"cancellation": {
			withLength(`{"jsonrpc":"2.0","id":2,"method":"giveUp","params":{"req":"a"}}`),
			`{"jsonrpc":"2.0","id":2,"result":{}}`,
		},
		"lost framing": {
			"no head\r\n\r\n",
			`{"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"framing lost"}}`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			server, queue, conn, reader := newTestServer(t, Limits{})
			blocked := signallingQueue{fullQueue{queue, make(chan struct{})}, make(chan struct{}, 1)}
			server.queue = blocked
			send(conn, requestCall(1, "a"))
			queue.Next(t)
			fmt.Fprint(conn, test.message)
			select {
			case <-blocked.began:
			case <-time.After(3 * time.Second):
				require.Fail(t, "the event loop is not told within 3 s")
			}
			assert.False(t, server.Done(), "the reply has not been written")
			close(blocked.room)
			assertReply(t, reader, test.reply)
			assert.Equal(t, scheduler.ClientLeft, queue.Next(t).Event.Kind)
		})
	}
}

// A drain must deliver the last answers completely, also to a client that has sent bytes that are no longer read. It
// must reject requests on open connections and end idle connections without a reset.
func TestServer_DrainLosesNoAnswer(t *testing.T) {
	server, queue, conn, reader := newTestServer(t, Limits{})
	idleConn, idleReader := dialServer(t, server)
	send(idleConn, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
	assertReply(t, idleReader, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
	send(conn, requestCall(1, "a"))
	request := queue.Next(t).Request
	server.Drain()
	assert.False(t, server.Done())
	_, err := idleReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	send(conn, requestCall(2, "b"))
	got, err := readMessage(reader, nil)
	require.NoError(t, err)
	assert.Contains(t, string(got), `"id":2,"error":{"code":-32008,"message":"this connection takes no more"`)
	body := bytes.Repeat([]byte("x\ty\tz\n"), 7000)
	request.Client.Succeeded(request.Tag, body)
	send(conn, requestCall(3, "c")) // arrives while the connection ends
	fmt.Fprint(conn, "Content-Length: 60000\r\n\r\n")
	got, err = readMessage(reader, nil)
	for err == nil && !strings.HasPrefix(string(got), `{"jsonrpc":"2.0","id":1,`) {
		got, err = readMessage(reader, nil)
	}
	require.NoError(t, err, "the answer was lost, possibly to a reset of the connection")
	assert.Greater(t, len(got), len(body))
	for err == nil {
		_, err = readMessage(reader, nil)
	}
	assert.ErrorIs(t, err, io.EOF)
	assert.Empty(t, queue)
	server.Stop(time.Second)
	assert.True(t, server.Done())
	_, err = net.Dial("tcp", server.listener.Addr().String())
	assert.Error(t, err)
}

// Guards against a race in which Done finds a request closed and its answer not queued yet.
func TestServer_DoneSeesEveryAnswer(t *testing.T) {
	server, queue, conn, reader := newTestServer(t, Limits{})
	for n := range 200 {
		send(conn, requestCall(n+1, fmt.Sprint("a", n)))
		request := queue.Next(t).Request
		require.False(t, server.Done())
		go request.Client.Rejected(request.Tag, 5)
		for !server.Done() {
		}
		_, err := readMessage(reader, nil)
		require.NoError(t, err)
	}
}

// A restarted controller may find its address still in use by the previous process.
func TestNewServer_RetriesAddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { listener.Close() })
	queue := make(dispatchtest.Queue, 1)
	limits := Limits{OutputBudget: netconn.NewByteBudget(1), RequestBudget: netconn.NewByteBudget(1)}
	server, err := NewServer(listener.Addr().String(), nil, queue, dispatch.NewClock(), limits, testlog.Discard())
	require.NoError(t, err)
	server.Stop(0)
}

// A request that arrives while its idle connection is being ended must be rejected before the end, whether the server
// has read it by then or it is still in the kernel's buffer.
func TestServer_RejectsRequestThatCrossesEnd(t *testing.T) {
	for name, unread := range map[string]bool{"read": false, "not yet read": true} {
		server, queue, conn, reader := newTestServer(t, Limits{})
		send(conn, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
		assertReply(t, reader, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
		server.mu.Lock()
		var serverConn *clientConn
		for c := range server.connections {
			serverConn = c
		}
		server.mu.Unlock()
		serverConn.mu.Lock() // blocks the connection's goroutine the next time that it needs the lock
		if unread {
			serverConn.Wake()
		}
		send(conn, requestCall(2, "a"))
		time.Sleep(30 * time.Millisecond) // until the goroutine is blocked, after or before it reads the request
		serverConn.closing = true
		serverConn.End(false)
		serverConn.mu.Unlock()
		got, err := readMessage(reader, nil)
		if assert.NoError(t, err, name) {
			assert.Contains(t, string(got), `"id":2,"error":{"code":-32008`, name)
			_, err = reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF, name)
		}
		assert.Empty(t, queue, name)
	}
}

// A client that does not read uses up the output budget that all connections share. The answers of other clients must
// still go out, however many are queued at once.
func TestServer_SlowReaderAffectsNoOther(t *testing.T) {
	server, queue, slowConn, _ := newTestServer(t, Limits{})
	send(slowConn, requestCall(1, "stuck"))
	stuck := queue.Next(t).Request
	conn, reader := dialServer(t, server)
	var open []*dispatch.Request
	for id := range 8 {
		send(conn, requestCall(id+1, fmt.Sprint("g", id)))
		open = append(open, queue.Next(t).Request)
	}
	stuck.Client.Succeeded(stuck.Tag, make([]byte, 24<<20)) // far more than the output budget and the kernel's buffers
	slowServerConn := stuck.Client.(*clientConn)
	require.Eventually(t, func() bool { return !slowServerConn.Flushed() }, 3*time.Second, time.Millisecond)
	serverConn := open[0].Client.(*clientConn)
	serverConn.mu.Lock() // blocks the connection's goroutine, so that all answers are queued at once
	serverConn.Wake()
	time.Sleep(30 * time.Millisecond)
	body := bytes.Repeat([]byte("x\ty\tz\n"), 5000)
	for _, request := range open {
		serverConn.Push(func(b []byte) []byte { return appendResult(b, []byte(fmt.Sprint(request.Tag)), body) })
	}
	serverConn.mu.Unlock()
	for id := range open {
		got, err := readMessage(reader, nil)
		if !assert.NoError(t, err, "answer %d", id) {
			break
		}
		assert.Contains(t, string(got[:40]), fmt.Sprintf(`"id":%d,"result"`, id+1))
	}
}

// faultyListener fails one Accept for each error that the test sends.
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

// A failed accept must not evict an idle client, unless the file descriptors have run out. The errors are those that
// Linux documents for accept.
func TestServer_TransientAcceptErrorEvictsNobody(t *testing.T) {
	for errno, evicts := range map[syscall.Errno]bool{
		syscall.ECONNABORTED: false,
		syscall.EINTR:        false,
		syscall.EPROTO:       false,
		syscall.ENOBUFS:      false,
		syscall.ENOMEM:       false,
		syscall.ENETDOWN:     false,
		syscall.EHOSTUNREACH: false,
		syscall.EMFILE:       true,
		syscall.ENFILE:       true,
	} {
		queue, acceptErrors := make(dispatchtest.Queue, 10), make(chan error, 10)
		limits := Limits{
			MaxConns:      5,
			OutputBudget:  netconn.NewByteBudget(1 << 20),
			RequestBudget: netconn.NewByteBudget(1 << 20),
		}
		classes := map[string]ClassLimits{"look": {}}
		server, err := NewServer("127.0.0.1:0", classes, queue, dispatch.NewClock(), limits, testlog.Discard())
		require.NoError(t, err)
		server.listener = faultyListener{server.listener, acceptErrors}
		go server.Run()
		t.Cleanup(func() { server.Stop(0) })
		idleConn, idleReader := dialServer(t, server)
		send(idleConn, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
		assertReply(t, idleReader, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
		acceptErrors <- errno
		for range 2 { // the first connects to the accept that already waits, the second after the failed one
			conn, reader := dialServer(t, server)
			send(conn, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
			assertReply(t, reader, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
		}
		assert.Equal(t, evicts, server.Evicted.Load() > 0, errno.Error())
	}
}
