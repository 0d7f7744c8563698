package resp

import (
	"bufio"
	"io"
	"net"
	"strings"
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

// fakeExecutor records the commands that it gets and lets the test reply.
type fakeExecutor struct {
	listener net.Listener
	conns    chan net.Conn
	received chan string
}

func newFakeExecutor(t *testing.T, at string) *fakeExecutor {
	l, err := net.Listen("tcp", at)
	require.NoError(t, err)
	e := &fakeExecutor{listener: l, conns: make(chan net.Conn, 20), received: make(chan string, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.conns <- c
			go func() {
				r := bufio.NewReader(c)
				for {
					parts, err := readArray(r, nil)
					if err != nil {
						e.received <- "closed"
						return
					}
					words := make([]string, len(parts))
					for k := range parts {
						words[k] = string(parts[k])
					}
					e.received <- strings.Join(words, " ")
				}
			}()
		}
	}()
	return e
}

func (e *fakeExecutor) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-e.received:
		assert.Regexp(t, "^"+want+"$", got)
	case <-time.After(3 * time.Second):
		require.Fail(t, "not received: "+want)
	}
}

func (e *fakeExecutor) nextConn(t *testing.T) net.Conn {
	select {
	case c := <-e.conns:
		return c
	case <-time.After(3 * time.Second):
		require.Fail(t, "no connection")
	}
	return nil
}

func sendReply(c net.Conn, words ...string) { _, _ = c.Write(appendArray(nil, words...)) }

// newTestClient returns a client with executor 1 at an address, which closes unused connections after idleMS.
func newTestClient(t *testing.T, at string, idleMS float64, reports ...string) (*Client, fakeQueue) {
	m := make(fakeQueue, 100)
	f := NewClient(m, dispatch.NewClock(), netconn.NewByteBudget(1<<20), Limits{ConnectMS: 200, IdleMS: idleMS, MaxPerConn: 2, MaxConns: 3,
		ReportNames: reports},
		discardLog())
	f.Update(true, []Endpoint{{scheduler.Endpoint{Executor: 1}, "s-1", at}})
	t.Cleanup(f.Stop)
	return f, m
}

func newAttempt(id string) dispatch.Attempt {
	s := &dispatch.Request{ID: id, Class: "load", IdempotencyKey: "k1", Body: []byte("SELECT 1"), Deadline: dispatch.NewClock().Now() + 5000}
	return dispatch.Attempt{Request: s, Executor: 1, GrantMB: 63.2, Level: 3}
}
