package resp

import (
	"bufio"
	"net"
	"strings"
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

// fakeExecutor records the commands that it receives, and "closed" for each connection that ends. The test sends the
// replies.
type fakeExecutor struct {
	listener net.Listener
	conns    chan net.Conn
	received chan string
}

func newFakeExecutor(t *testing.T, address string) *fakeExecutor {
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	fake := &fakeExecutor{listener: listener, conns: make(chan net.Conn, 20), received: make(chan string, 100)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			fake.conns <- conn
			go func() {
				r := bufio.NewReader(conn)
				for {
					parts, err := readArray(r, nil)
					if err != nil {
						fake.received <- "closed"
						return
					}
					words := make([]string, len(parts))
					for k := range parts {
						words[k] = string(parts[k])
					}
					fake.received <- strings.Join(words, " ")
				}
			}()
		}
	}()
	return fake
}

func (e *fakeExecutor) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-e.received:
		assert.Regexp(t, "^"+want+"$", got)
	case <-time.After(3 * time.Second):
		require.Fail(t, "the executor received no command that matches "+want)
	}
}

func (e *fakeExecutor) nextConn(t *testing.T) net.Conn {
	select {
	case conn := <-e.conns:
		return conn
	case <-time.After(3 * time.Second):
		require.Fail(t, "the executor accepted no connection")
	}
	return nil
}

func sendReply(conn net.Conn, words ...string) { _, _ = conn.Write(appendArray(nil, words...)) }

// newTestClient returns a client with executor 1 at the address. It allows 3 connections with 2 attempts each.
func newTestClient(t *testing.T, address string, idleMS float64, reports ...string) (*Client, dispatchtest.Queue) {
	queue := make(dispatchtest.Queue, 100)
	limits := Limits{ConnectMS: 200, IdleMS: idleMS, MaxPerConn: 2, MaxConns: 3, ReportNames: reports}
	client := NewClient(queue, dispatch.NewClock(), netconn.NewByteBudget(1<<20), limits, testlog.Discard())
	client.Update(true, []Endpoint{{scheduler.Endpoint{Executor: 1}, "s-1", address}})
	t.Cleanup(client.Stop)
	return client, queue
}

func newAttempt(id string) dispatch.Attempt {
	request := &dispatch.Request{
		ID:             id,
		Class:          "load",
		IdempotencyKey: "k1",
		Body:           []byte("SELECT 1"),
		Deadline:       dispatch.NewClock().Now() + 5000,
	}
	return dispatch.Attempt{Request: request, Executor: 1, GrantMB: 63.2, Level: 3}
}
