package jsonrpc

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/internal/dispatchtest"
	"liftshift/internal/netconn"
	"liftshift/internal/testlog"
)

// newTestServer starts a server with a request class without and one with idempotency keys. It returns the server, its
// event queue, and the connection of one client with its reader.
func newTestServer(t *testing.T, limits Limits) (*Server, dispatchtest.Queue, net.Conn, *bufio.Reader) {
	queue := make(dispatchtest.Queue, 100)
	if limits.MaxConns == 0 {
		limits.MaxConns = 5
	}
	limits.OutputBudget = netconn.NewByteBudget(1 << 20)
	if limits.MessageBudget == nil {
		limits.MessageBudget = netconn.NewByteBudget(1 << 20)
	}
	if limits.RequestBudget == nil {
		limits.RequestBudget = netconn.NewByteBudget(1 << 20)
	}
	classes := map[string]ClassLimits{"look": {}, "load": {Keyed: true}}
	server, err := NewServer("127.0.0.1:0", classes, queue, dispatch.NewClock(), limits, testlog.Discard())
	require.NoError(t, err)
	go server.Run()
	t.Cleanup(func() { server.Stop(0) })
	conn, reader := dialServer(t, server)
	return server, queue, conn, reader
}

// releaseBody does what the event loop does once it drops a request.
func releaseBody(request *dispatch.Request) { request.BodyBudget.Free(len(request.Body)) }

// dialServer connects a client to the server. Its reads and writes fail after 5 s.
func dialServer(t *testing.T, server *Server) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", server.listener.Addr().String())
	require.NoError(t, err)
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// send writes a message with its Content-Length header.
func send(conn net.Conn, text string) { fmt.Fprint(conn, withLength(text)) }

// withLength returns a message with its Content-Length header.
func withLength(text string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
}

// requestCall returns a call that submits the request "SELECT 1 FROM sales_17.t" of the class "look".
func requestCall(callID int, requestID string) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"look","params":{"req":"%s","timeout":1500,"ms":82,"ram":96,`+
		`"data":"U0VMRUNUIDEgRlJPTSBzYWxlc18xNy50"}}`, callID, requestID)
}

// readMessage reads a message from a server and returns its body.
func readMessage(r *bufio.Reader, buffer []byte) ([]byte, error) {
	length, err := readHeader(r)
	if err != nil {
		return nil, err
	}
	body, err := netconn.ReadBody(r, length, buffer)
	return body, netconn.UnexpectedEOF(err)
}

// assertReply reads a message and compares it with the expected JSON.
func assertReply(t *testing.T, reader *bufio.Reader, want string) {
	t.Helper()
	got, err := readMessage(reader, nil)
	require.NoError(t, err)
	assert.JSONEq(t, want, string(got))
}
