package jsonrpc

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/internal/netconn"
	"liftshift/scheduler"
)

// fakeQueue is an event queue that a test reads.
type fakeQueue chan dispatch.QueueItem

func (m fakeQueue) Put(it dispatch.QueueItem) { m <- it }

func (m fakeQueue) Submit(s *dispatch.Request) {
	m <- dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: s}
}

func (m fakeQueue) OpenRequests() int { return 0 }

func (m fakeQueue) next(t *testing.T) dispatch.QueueItem {
	select {
	case it := <-m:
		return it
	case <-time.After(3 * time.Second):
		require.Fail(t, "nothing came")
	}
	return dispatch.QueueItem{}
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// newTestServer returns a server with a request class of each kind, and one client.
func newTestServer(t *testing.T, doors Limits) (*Server, fakeQueue, net.Conn, *bufio.Reader) {
	m := make(fakeQueue, 100)
	if doors.MaxConns == 0 {
		doors.MaxConns = 5
	}
	doors.OutputBudget = netconn.NewByteBudget(1 << 20)
	if doors.RequestBudget == nil {
		doors.RequestBudget = netconn.NewByteBudget(1 << 20)
	}
	f, err := NewServer("127.0.0.1:0", map[string]ClassLimits{"look": {}, "load": {Keyed: true}}, m, dispatch.NewClock(),
		doors, discardLog())
	require.NoError(t, err)
	go f.Run()
	t.Cleanup(func() { f.Stop(0) })
	c, r := dialServer(t, f)
	return f, m, c, r
}

func dialServer(t *testing.T, f *Server) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", f.listener.Addr().String())
	require.NoError(t, err)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func send(c net.Conn, text string) { fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(text), text) }

func lookRequest(id int, req string) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"look","params":{"req":"%s","timeout":1500,"ms":82,"ram":96,`+
		`"data":"U0VMRUNUIDEgRlJPTSBzYWxlc18xNy50"}}`, id, req)
}

func assertReply(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	got, err := readMessage(r, nil)
	require.NoError(t, err)
	assert.JSONEq(t, want, string(got))
}
