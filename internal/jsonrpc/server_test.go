package jsonrpc

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/internal/ledger"
	"liftshift/internal/netconn"
	"liftshift/scheduler"
)

func TestServer_AnswersRequestOnce(t *testing.T) {
	server, queue, c, r := newTestServer(t, Limits{})
	send(c, lookRequest(7, "a1"))
	s := queue.next(t).Request
	assert.Equal(t, []any{"a1", "look", uint64(17), 96.0, 82.0, "SELECT 1 FROM sales_17.t"},
		[]any{s.ID, s.Class, s.TableGroup, s.MemoryMB, s.WorkMS, string(s.Body)})
	assert.InDelta(t, server.clock.Now()+1500, s.Deadline, 1400)
	s.Client.Succeeded(s.Tag, []byte("x\n"))
	s.Client.Rejected(s.Tag, 5)
	assertReply(t, r, `{"jsonrpc":"2.0","id":7,"result":{"data":"eAo="}}`)
	for id, give := range map[int]func(*dispatch.Request){8: func(s *dispatch.Request) { s.Client.Rejected(s.Tag, 200) },
		9: func(s *dispatch.Request) { s.Client.Failed(s.Tag) }} {
		send(c, lookRequest(id, "b"))
		give(queue.next(t).Request)
		got, _ := readMessage(r, nil)
		assert.Contains(t, string(got), map[int]string{8: `"code":-32008,"message":"denied","data":{"holdoff":200}`,
			9: `"code":-32000`}[id])
	}
	assert.Zero(t, server.requestBudget.Reserved())
}

// A bad request gets an error and affects no other on its connection.
func TestServer_BadRequestAffectsNoOther(t *testing.T) {
	_, queue, c, r := newTestServer(t, Limits{})
	send(c, lookRequest(1, "a"))
	s := queue.next(t).Request
	for _, bad := range []string{`{`, `[]`, `{"jsonrpc":"2.0","id":4,"method":"none"}`, lookRequest(1, "again"), lookRequest(5, "no good"),
		`{"jsonrpc":"2.0","method":"look","params":{}}`, strings.Replace(lookRequest(6, "b"), "look", "load", 1)} {
		send(c, bad)
		got, err := readMessage(r, nil)
		assert.NoError(t, err)
		assert.Contains(t, string(got), `"error"`, bad)
		assert.NotContains(t, string(got), `"id":1,`, "it would pass for the answer of the first")
	}
	send(c, `{"jsonrpc":"2.0","id":"p","method":"probe"}`)
	assertReply(t, r, `{"jsonrpc":"2.0","id":"p","result":{"fit":false}}`)
	s.Client.Succeeded(s.Tag, nil)
	assertReply(t, r, `{"jsonrpc":"2.0","id":1,"result":{"data":""}}`)
	assert.Empty(t, queue)
}

// A client that sends what can't be read gets an error at once, and what is open there fails: an answer that came later would pass for
// a good one, and the connection would be kept for as long as the longest request.
func TestServer_LostFramingFailsOpenRequests(t *testing.T) {
	server, queue, c, r := newTestServer(t, Limits{})
	for _, bad := range []string{"no head\r\n\r\n", "Content-Length: 60000000\r\n\r\n", "Content-Length: -1\r\n\r\n"} {
		send(c, lookRequest(1, "a"))
		s := queue.next(t).Request
		fmt.Fprint(c, bad+strings.Repeat("x", 1000))
		assertReply(t, r, `{"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"framing lost"}}`)
		assertReply(t, r, `{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"framing lost"}}`)
		assert.Equal(t, scheduler.ClientLeft, queue.next(t).Event.Kind, "its attempts are cancelled")
		s.Client.Succeeded(s.Tag, nil)
		_, err := r.ReadByte()
		assert.Error(t, err)
		c, r = dialServer(t, server)
	}
	for id := range maxBadMessages { // the same again as soon as it is rejected
		send(c, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"none"}`, id+1))
		_, err := readMessage(r, nil)
		assert.NoError(t, err)
	}
	assertReply(t, r, `{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"framing lost"}}`)
	assert.Zero(t, server.requestBudget.Reserved())
}

// Silent connections and incomplete messages cost other clients nothing: they are closed soon, and sooner where slots are needed.
func TestServer_EvictsSilentConnections(t *testing.T) {
	server, queue, c, r := newTestServer(t, Limits{MaxConns: 3})
	send(c, lookRequest(1, "a"))
	s := queue.next(t).Request
	began := time.Now()
	silent, _ := dialServer(t, server)
	half, _ := dialServer(t, server)
	fmt.Fprint(half, "Content-Length: 100\r\n\r\n{")
	late, rl := dialServer(t, server) // no place: the silent one gives way at once
	send(late, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
	assertReply(t, rl, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
	assert.Less(t, time.Since(began), messageTimeout/2)
	_, err := silent.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, []uint64{1, 0}, []uint64{server.Evicted.Load(), server.AcceptPauses.Load()})
	got, _ := readMessage(bufio.NewReader(half), nil)
	assert.Contains(t, string(got), "error")
	assert.Less(t, time.Since(began), 3*time.Second)
	s.Client.Succeeded(s.Tag, nil)
	assertReply(t, r, `{"jsonrpc":"2.0","id":1,"result":{"data":""}}`)
	old := &clientConn{server: server, lastMessage: time.Now().Add(-idleTimeout)}
	assert.NoError(t, (&clientConn{server: server, lastMessage: time.Now()}).checkIdle())
	assert.ErrorIs(t, old.checkIdle(), netconn.ErrClosed, "asked once and stayed")
	assert.Equal(t, codeRejected, old.admit(&openRequest{}).code, "what crosses the close is not taken")
	assert.False(t, old.closeIfIdle())
}

func TestServer_CancelAndCloseEndRequests(t *testing.T) {
	_, queue, c, r := newTestServer(t, Limits{})
	var open []*dispatch.Request
	for id := 1; id < 5; id++ {
		send(c, lookRequest(id, fmt.Sprint("a", id)))
		open = append(open, queue.next(t).Request)
	}
	for _, give := range []string{`{"jsonrpc":"2.0","method":"giveUp","params":{"req":"a1"}}`,
		`{"jsonrpc":"2.0","id":2,"method":"giveUp"}`, `{"jsonrpc":"2.0","id":77,"method":"giveUp","params":{"id":3}}`} {
		send(c, give)
		it := queue.next(t)
		assert.Equal(t, []any{scheduler.ClientLeft, open[0].ID, open[0].Tag}, []any{it.Event.Kind, it.Event.Request, it.Token})
		open[0].Client.Succeeded(open[0].Tag, nil) // too late: no answer is owed
		open = open[1:]
	}
	assertReply(t, r, `{"jsonrpc":"2.0","id":77,"result":{}}`)
	c.Close()
	assert.Equal(t, "a4", queue.next(t).Event.Request)
}

func TestServer_LimitsConnectionsAndBytes(t *testing.T) {
	server, queue, c, r := newTestServer(t, Limits{MaxConns: 2, RequestBudget: netconn.NewByteBudget(60), RetryAfterMS: 300})
	send(c, lookRequest(1, "a"))
	s := queue.next(t).Request
	send(c, strings.Replace(lookRequest(2, "b"), "U0VM", strings.Repeat("U0VM", 20), 1)) // more bytes than may be open
	got, _ := readMessage(r, nil)
	assert.Contains(t, string(got), `-32008,"message":"too much is open here","data":{"holdoff":300}`)
	s.Client.Failed(s.Tag)
	_, _ = readMessage(r, nil)
	send(c, lookRequest(4, "d"))
	queue.next(t)
	busy, _ := dialServer(t, server)
	send(busy, lookRequest(5, "e"))
	queue.next(t)
	waits, rw := dialServer(t, server) // no place, and nobody idle: it has its turn once another leaves
	send(waits, lookRequest(3, "c"))
	assert.Eventually(t, func() bool { return server.AcceptPauses.Load() > 0 }, 3*time.Second, time.Millisecond)
	assert.Empty(t, queue)
	c.Close()
	assert.Equal(t, scheduler.ClientLeft, queue.next(t).Event.Kind)
	s = queue.next(t).Request
	s.Client.Succeeded(s.Tag, nil)
	assertReply(t, rw, `{"jsonrpc":"2.0","id":3,"result":{"data":""}}`)
}

func TestServer_LimitsOpenRequestsPerConnection(t *testing.T) {
	_, queue, c, r := newTestServer(t, Limits{})
	for id := 1; id <= maxOpenRequests+1; id++ {
		send(c, lookRequest(id, fmt.Sprint("a", id)))
	}
	got, _ := readMessage(r, nil)
	assert.Contains(t, string(got), fmt.Sprintf(`"id":%d,"error":{"code":-32008`, maxOpenRequests+1))
	assert.Len(t, queue, maxOpenRequests)
}

// A client that doesn't read must not fill the memory: past its limit it is closed, and its bytes are freed.
func TestServer_ClosesSlowReader(t *testing.T) {
	server, queue, c, _ := newTestServer(t, Limits{})
	page := make([]byte, 48000)
	cut := false
	for id := 1; id < 500 && !cut; id++ {
		send(c, lookRequest(id, fmt.Sprint("a", id)))
		select {
		case it := <-queue:
			cut = it.Event.Kind == scheduler.ClientLeft
			if !cut {
				it.Request.Client.Succeeded(it.Request.Tag, page)
			}
		case <-time.After(2500 * time.Millisecond):
			cut = true
		}
		assert.LessOrEqual(t, server.outputBudget.Reserved(), int64(2<<20))
	}
	assert.True(t, cut)
	assert.Eventually(t, func() bool { return server.outputBudget.Reserved() == 0 }, 5*time.Second, time.Millisecond)
}

// Nothing is kept of clients and connections that are gone.
func TestServer_KeepsNothingOfGoneClients(t *testing.T) {
	server, queue, first, _ := newTestServer(t, Limits{MaxConns: 10})
	first.Close()
	for n := range 100 {
		c, r := dialServer(t, server)
		send(c, lookRequest(1, fmt.Sprint("a", n)))
		s := queue.next(t).Request
		if n%2 == 0 {
			s.Client.Succeeded(s.Tag, nil)
			_, _ = readMessage(r, nil)
		}
		c.Close()
		if n%2 == 1 {
			assert.Equal(t, scheduler.ClientLeft, queue.next(t).Event.Kind)
		}
	}
	assert.Eventually(t, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.connections) == 0 && len(server.slots) == 0
	}, 3*time.Second, time.Millisecond)
	assert.Zero(t, server.requestBudget.Reserved()+server.outputBudget.Reserved())
}

// A client learns what became of a request by its id or its idempotency key, where outcomes are served; a call that can't be used gets
// an error, and no call opens a request.
func TestServer_AnswersOutcomeQuery(t *testing.T) {
	server, queue, c, r := newTestServer(t, Limits{ServeOutcomes: true})
	call := func(params string) string {
		return `{"jsonrpc":"2.0","id":4,"method":"outcome","params":` + params + `}`
	}
	send(c, call(`{"req":"a1"}`))
	it := queue.next(t)
	assert.Equal(t, []string{"a1", ""}, []string{it.Query.ID, it.Query.IdempotencyKey})
	it.Query.Reply(ledger.Effect{Outcome: ledger.Succeeded, AgeMS: 1520.7, Body: []byte("x\n")})
	assertReply(t, r, `{"jsonrpc":"2.0","id":4,"result":{"outcome":"handled","age":1520,"data":"eAo="}}`)
	send(c, call(`{"opkey":"k9"}`))
	it = queue.next(t)
	assert.Equal(t, []string{"", "k9"}, []string{it.Query.ID, it.Query.IdempotencyKey})
	it.Query.Reply(ledger.Effect{})
	assertReply(t, r, `{"jsonrpc":"2.0","id":4,"result":{"outcome":"unknown"}}`)
	for _, params := range []string{`{}`, `{"req":"a","opkey":"b"}`, `{"req":3}`, `[]`, `{"req":"a b"}`} {
		send(c, call(params))
		got, err := readMessage(r, nil)
		require.NoError(t, err)
		assert.Contains(t, string(got), `"code":-32602`, params)
	}
	assert.Empty(t, queue)
	_, _, c, r = newTestServer(t, Limits{})
	send(c, call(`{"req":"a1"}`))
	got, err := readMessage(r, nil)
	require.NoError(t, err)
	assert.Contains(t, string(got), `"code":-32601`, "off where nothing is kept")
	assert.Zero(t, server.requestBudget.Reserved())
}

// What is read after a stall of this process may have come as that began: its deadline counts from there.
func TestServer_DeadlineCountsFromBeforeStall(t *testing.T) {
	server, queue, c, _ := newTestServer(t, Limits{Arrival: func(now float64) float64 { return now - 700 }})
	now := server.clock.Now()
	send(c, lookRequest(1, "a"))
	assert.InDelta(t, now+1500-700, queue.next(t).Request.Deadline, 200)
}

// A request may be in the system's buffer for long before its connection is accepted: its deadline counts from when it came there.
func TestServer_DeadlineCountsWaitForAccept(t *testing.T) {
	server, queue, busy, _ := newTestServer(t, Limits{MaxConns: 1})
	send(busy, lookRequest(1, "a"))
	queue.next(t)
	waits, _ := dialServer(t, server)
	send(waits, lookRequest(2, "b"))
	came := server.clock.Now()
	time.Sleep(600 * time.Millisecond)
	busy.Close()
	it := queue.next(t)
	for it.Request == nil {
		it = queue.next(t)
	}
	assert.InDelta(t, came+1500, it.Request.Deadline, 100)
}

// Where all slots are taken by clients that wait for answers, the next client waits only until one of them has its answer and is idle.
func TestServer_WaitingClientGetsSlotOfIdleOne(t *testing.T) {
	server, queue, busy, r := newTestServer(t, Limits{MaxConns: 1})
	send(busy, lookRequest(1, "a"))
	first := queue.next(t).Request
	waits, _ := dialServer(t, server)
	send(waits, lookRequest(2, "b"))
	require.Eventually(t, func() bool { return server.AcceptPauses.Load() > 0 }, 3*time.Second, time.Millisecond)
	first.Client.Succeeded(first.Tag, nil)
	assertReply(t, r, `{"jsonrpc":"2.0","id":1,"result":{"data":""}}`)
	go func() { // as clients do that find their connection ended
		_, _ = r.ReadByte()
		busy.Close()
	}()
	began := time.Now()
	assert.Equal(t, "b", queue.next(t).Request.ID)
	assert.Less(t, time.Since(began), 200*time.Millisecond)
}

// A request on a connection that waits for a slot, or that only the system has accepted, is rejected in a shutdown and not closed
// without an answer.
func TestServer_DrainRejectsWaitingConnections(t *testing.T) {
	server, queue, busy, _ := newTestServer(t, Limits{MaxConns: 1})
	send(busy, lookRequest(1, "a"))
	queue.next(t)
	var readers []*bufio.Reader
	for id := range 3 { // one waits for a place, the others in the system
		c, r := dialServer(t, server)
		send(c, lookRequest(id+2, fmt.Sprint("b", id)))
		readers = append(readers, r)
	}
	require.Eventually(t, func() bool { return server.AcceptPauses.Load() > 0 }, 3*time.Second, time.Millisecond)
	server.Drain()
	for k, r := range readers {
		got, err := readMessage(r, nil)
		if assert.NoError(t, err, "%d", k) {
			assert.Contains(t, string(got), fmt.Sprintf(`"id":%d,"error":{"code":-32008`, k+2))
			_, err = r.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		}
	}
	assert.Empty(t, queue)
}
