package jsonrpc

import (
	"bufio"
	"fmt"
	"io"
	"net"
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
	server, queue, conn, reader := newTestServer(t, Limits{})
	send(conn, requestCall(7, "a1"))
	request := queue.Next(t).Request
	assert.Equal(t, []any{"a1", "look", uint64(17), 96.0, 82.0, "SELECT 1 FROM sales_17.t"},
		[]any{request.ID, request.Class, request.TableGroup, request.MemoryMB, request.WorkMS, string(request.Body)})
	assert.InDelta(t, server.clock.Now()+1500, request.Deadline, 1400)
	request.Client.Succeeded(request.Tag, []byte("x\n"))
	request.Client.Rejected(request.Tag, 5)
	assertReply(t, reader, `{"jsonrpc":"2.0","id":7,"result":{"data":"eAo="}}`)
	releaseBody(request)
	for id, answer := range map[int]func(*dispatch.Request){
		8: func(request *dispatch.Request) { request.Client.Rejected(request.Tag, 200) },
		9: func(request *dispatch.Request) { request.Client.Failed(request.Tag) },
	} {
		send(conn, requestCall(id, "b"))
		request = queue.Next(t).Request
		answer(request)
		releaseBody(request)
		got, _ := readMessage(reader, nil)
		assert.Contains(t, string(got), map[int]string{
			8: `"code":-32008,"message":"denied","data":{"holdoff":200}`,
			9: `"code":-32000`,
		}[id])
	}
	assert.Zero(t, server.requestBudget.Reserved())
}

// A bad request must get an error and must not affect other requests on its connection.
func TestServer_BadRequestAffectsNoOther(t *testing.T) {
	server, queue, conn, reader := newTestServer(t, Limits{})
	send(conn, requestCall(1, "a"))
	request := queue.Next(t).Request
	bodyBytes := server.requestBudget.Reserved()
	for _, bad := range []string{
		`{`,
		`[]`,
		`{"jsonrpc":"2.0","id":4,"method":"none"}`,
		requestCall(1, "again"),
		requestCall(5, "no good"),
		strings.Replace(requestCall(5, "c"), "U0VM", "%%%%", 1),
		`{"jsonrpc":"2.0","method":"look","params":{}}`,
		strings.Replace(requestCall(6, "b"), "look", "load", 1),
	} {
		send(conn, bad)
		got, err := readMessage(reader, nil)
		assert.NoError(t, err)
		assert.Contains(t, string(got), `"error"`, bad)
		assert.NotContains(t, string(got), `"id":1,`, "the client would take the error for the answer of call 1")
	}
	assert.Equal(t, bodyBytes, server.requestBudget.Reserved())
	send(conn, `{"jsonrpc":"2.0","id":"p","method":"probe"}`)
	assertReply(t, reader, `{"jsonrpc":"2.0","id":"p","result":{"fit":false}}`)
	request.Client.Succeeded(request.Tag, nil)
	assertReply(t, reader, `{"jsonrpc":"2.0","id":1,"result":{"data":""}}`)
	assert.Empty(t, queue)
}

// When framing is lost, the client must get an error and its open requests must fail at once: otherwise the connection
// stays open for as long as its longest request, and the client may trust answers that arrive after the error.
func TestServer_LostFramingFailsOpenRequests(t *testing.T) {
	server, queue, conn, reader := newTestServer(t, Limits{})
	for _, malformed := range []string{
		"no head\r\n\r\n",
		"Content-Length: 60000000\r\n\r\n",
		"Content-Length: -1\r\n\r\n",
	} {
		send(conn, requestCall(1, "a"))
		request := queue.Next(t).Request
		fmt.Fprint(conn, malformed+strings.Repeat("x", 1000))
		assertReply(t, reader, `{"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"framing lost"}}`)
		assertReply(t, reader, `{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"framing lost"}}`)
		assert.Equal(t, scheduler.ClientLeft, queue.Next(t).Event.Kind, "the attempts of the request are not cancelled")
		request.Client.Succeeded(request.Tag, nil)
		releaseBody(request)
		_, err := reader.ReadByte()
		assert.Error(t, err)
		conn, reader = dialServer(t, server)
	}
	for id := range maxBadMessages { // a client that resends each message as soon as it is rejected
		send(conn, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"none"}`, id+1))
		_, err := readMessage(reader, nil)
		assert.NoError(t, err)
	}
	assertReply(t, reader, `{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"framing lost"}}`)
	assert.Zero(t, server.requestBudget.Reserved())
}

// Silent connections and incomplete messages must not affect other clients: they are closed after a timeout, or as soon
// as a slot is needed.
func TestServer_EvictsSilentConnections(t *testing.T) {
	server, queue, conn, reader := newTestServer(t, Limits{MaxConns: 3})
	send(conn, requestCall(1, "a"))
	request := queue.Next(t).Request
	start := time.Now()
	silentConn, _ := dialServer(t, server)
	incompleteConn, _ := dialServer(t, server)
	fmt.Fprint(incompleteConn, "Content-Length: 100\r\n\r\n{")
	lateConn, lateReader := dialServer(t, server) // no slot is free: the silent connection is evicted at once
	send(lateConn, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
	assertReply(t, lateReader, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
	assert.Less(t, time.Since(start), messageTimeout/2)
	_, err := silentConn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, []uint64{1, 0}, []uint64{server.Evicted.Load(), server.AcceptPauses.Load()})
	got, _ := readMessage(bufio.NewReader(incompleteConn), nil)
	assert.Contains(t, string(got), "error")
	assert.Less(t, time.Since(start), 3*time.Second)
	request.Client.Succeeded(request.Tag, nil)
	assertReply(t, reader, `{"jsonrpc":"2.0","id":1,"result":{"data":""}}`)
	idleConn := &clientConn{server: server, lastMessage: time.Now().Add(-idleTimeout)}
	assert.NoError(t, (&clientConn{server: server, lastMessage: time.Now()}).checkIdle())
	assert.ErrorIs(t, idleConn.checkIdle(), netconn.ErrClosed, "a connection idle for idleTimeout is not closed")
	assert.Equal(t, codeRejected, idleConn.admit(&openRequest{}, 0).code, "a closing connection admits a request")
	assert.False(t, idleConn.closeIfIdle())
}

func TestServer_CancelAndCloseEndRequests(t *testing.T) {
	_, queue, conn, reader := newTestServer(t, Limits{})
	var open []*dispatch.Request
	for id := 1; id < 5; id++ {
		send(conn, requestCall(id, fmt.Sprint("a", id)))
		open = append(open, queue.Next(t).Request)
	}
	for _, cancellation := range []string{
		`{"jsonrpc":"2.0","method":"giveUp","params":{"req":"a1"}}`,
		`{"jsonrpc":"2.0","id":2,"method":"giveUp"}`,
		`{"jsonrpc":"2.0","id":77,"method":"giveUp","params":{"id":3}}`,
	} {
		send(conn, cancellation)
		item := queue.Next(t)
		assert.Equal(t, []any{scheduler.ClientLeft, open[0].ID, open[0].Tag},
			[]any{item.Event.Kind, item.Event.Request, item.Token})
		open[0].Client.Succeeded(open[0].Tag, nil) // an answer after the cancellation is dropped
		open = open[1:]
	}
	assertReply(t, reader, `{"jsonrpc":"2.0","id":77,"result":{}}`)
	conn.Close()
	assert.Equal(t, "a4", queue.Next(t).Event.Request)
}

func TestServer_LimitsConnectionsAndBytes(t *testing.T) {
	limits := Limits{MaxConns: 2, RequestBudget: netconn.NewByteBudget(60), RetryAfterMS: 300}
	server, queue, conn, reader := newTestServer(t, limits)
	send(conn, requestCall(1, "a"))
	request := queue.Next(t).Request
	send(conn, strings.Replace(requestCall(2, "b"), "U0VM", strings.Repeat("U0VM", 20), 1)) // body over the request budget
	got, _ := readMessage(reader, nil)
	assert.Contains(t, string(got), `-32008,"message":"too much is open here","data":{"holdoff":300}`)
	request.Client.Failed(request.Tag)
	releaseBody(request)
	_, _ = readMessage(reader, nil)
	send(conn, requestCall(4, "d"))
	first := queue.Next(t).Request
	busyConn, _ := dialServer(t, server)
	send(busyConn, requestCall(5, "e"))
	queue.Next(t)
	waitingConn, waitingReader := dialServer(t, server) // no slot is free and no connection idle: waits until one ends
	send(waitingConn, requestCall(3, "c"))
	assert.Eventually(t, func() bool { return server.AcceptPauses.Load() > 0 }, 3*time.Second, time.Millisecond)
	assert.Empty(t, queue)
	releaseBody(first)
	conn.Close()
	assert.Equal(t, scheduler.ClientLeft, queue.Next(t).Event.Kind)
	request = queue.Next(t).Request
	request.Client.Succeeded(request.Tag, nil)
	assertReply(t, waitingReader, `{"jsonrpc":"2.0","id":3,"result":{"data":""}}`)
}

func TestServer_LimitsOpenRequestsPerConnection(t *testing.T) {
	_, queue, conn, reader := newTestServer(t, Limits{})
	for id := 1; id <= maxOpenRequests+1; id++ {
		send(conn, requestCall(id, fmt.Sprint("a", id)))
	}
	got, _ := readMessage(reader, nil)
	assert.Contains(t, string(got), fmt.Sprintf(`"id":%d,"error":{"code":-32008`, maxOpenRequests+1))
	assert.Len(t, queue, maxOpenRequests)
}

// Guards against a client losing its open requests because later ones were rejected over a limit.
func TestServer_RequestsOverLimitDoNotEndConnection(t *testing.T) {
	_, queue, conn, reader := newTestServer(t, Limits{})
	for id := 1; id <= maxOpenRequests; id++ {
		send(conn, requestCall(id, fmt.Sprint("a", id)))
	}
	first := queue.Next(t).Request
	for id := range 2 * maxBadMessages {
		send(conn, requestCall(1000+id, fmt.Sprint("b", id)))
		got, err := readMessage(reader, nil)
		require.NoError(t, err)
		require.Contains(t, string(got), fmt.Sprintf(`"id":%d,"error":{"code":-32008`, 1000+id))
	}
	first.Client.Succeeded(first.Tag, nil)
	assertReply(t, reader, `{"jsonrpc":"2.0","id":1,"result":{"data":""}}`)
}

// Guards against requests without any answer: a connection must not end at a number of rejections, as requests that came
// in the same write are then never read.
func TestServer_AnswersRequestsBehindRejections(t *testing.T) {
	server, queue, conn, reader := newTestServer(t, Limits{RequestBudget: netconn.NewByteBudget(60)})
	send(conn, requestCall(1, "a"))
	open := queue.Next(t).Request
	var burst strings.Builder
	for id := range 2 * maxBadMessages {
		call := requestCall(1000+id, fmt.Sprint("b", id))
		burst.WriteString(withLength(strings.Replace(call, "U0VM", strings.Repeat("U0VM", 20), 1))) // over the budget
	}
	fmt.Fprint(conn, burst.String())
	for id := range 2 * maxBadMessages {
		assertReply(t, reader, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"error":{"code":-32008,"message":"too much is open here"}}`, 1000+id))
	}
	open.Client.Succeeded(open.Tag, nil)
	assertReply(t, reader, `{"jsonrpc":"2.0","id":1,"result":{"data":""}}`)
	assert.Zero(t, server.FramingErrors.Load())
}

// Guards against memory that nobody counts: the event loop may still hold the bodies of clients that have left.
func TestServer_CountsBodiesOfGoneClients(t *testing.T) {
	server, queue, conn, _ := newTestServer(t, Limits{RequestBudget: netconn.NewByteBudget(40)}) // one body
	send(conn, requestCall(1, "a"))
	held := queue.Next(t).Request
	require.NoError(t, conn.(*net.TCPConn).SetLinger(0)) // a reset, after which nothing is waited for
	conn.Close()
	assert.Equal(t, scheduler.ClientLeft, queue.Next(t).Event.Kind)
	nextConn, nextReader := dialServer(t, server)
	send(nextConn, requestCall(1, "b"))
	got, err := readMessage(nextReader, nil)
	require.NoError(t, err)
	assert.Contains(t, string(got), `"id":1,"error":{"code":-32008`)
	releaseBody(held)
	send(nextConn, requestCall(2, "c"))
	assert.Equal(t, "c", queue.Next(t).Request.ID)
}

// A client that does not read must not exhaust the memory: its connection is closed at a limit, and its queued bytes
// are freed.
func TestServer_ClosesSlowReader(t *testing.T) {
	server, queue, conn, _ := newTestServer(t, Limits{})
	body := make([]byte, 48000)
	closed := false
	for id := 1; id < 500 && !closed; id++ {
		send(conn, requestCall(id, fmt.Sprint("a", id)))
		select {
		case item := <-queue:
			closed = item.Event.Kind == scheduler.ClientLeft
			if !closed {
				item.Request.Client.Succeeded(item.Request.Tag, body)
			}
		case <-time.After(2500 * time.Millisecond):
			closed = true
		}
		assert.LessOrEqual(t, server.outputBudget.Reserved(), int64(2<<20))
	}
	assert.True(t, closed)
	assert.Eventually(t, func() bool { return server.outputBudget.Reserved() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against leaks of connections, slots and budgets after clients have left.
func TestServer_KeepsNothingOfGoneClients(t *testing.T) {
	server, queue, firstConn, _ := newTestServer(t, Limits{MaxConns: 10})
	firstConn.Close()
	for n := range 100 {
		conn, reader := dialServer(t, server)
		send(conn, requestCall(1, fmt.Sprint("a", n)))
		request := queue.Next(t).Request
		releaseBody(request)
		if n%2 == 0 {
			request.Client.Succeeded(request.Tag, nil)
			_, _ = readMessage(reader, nil)
		}
		conn.Close()
		if n%2 == 1 {
			assert.Equal(t, scheduler.ClientLeft, queue.Next(t).Event.Kind)
		}
	}
	assert.Eventually(t, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.connections) == 0 && len(server.slots) == 0
	}, 3*time.Second, time.Millisecond)
	assert.Zero(t, server.requestBudget.Reserved()+server.outputBudget.Reserved())
}

// A client can query the outcome of a request by its id or its idempotency key, if the server serves outcomes. An
// invalid query must get an error, and no query may open a request.
func TestServer_AnswersOutcomeQuery(t *testing.T) {
	server, queue, conn, reader := newTestServer(t, Limits{ServeOutcomes: true})
	outcomeCall := func(params string) string {
		return `{"jsonrpc":"2.0","id":4,"method":"outcome","params":` + params + `}`
	}
	send(conn, outcomeCall(`{"req":"a1"}`))
	item := queue.Next(t)
	assert.Equal(t, []string{"a1", ""}, []string{item.Query.ID, item.Query.IdempotencyKey})
	item.Query.Reply(ledger.Effect{Outcome: ledger.Succeeded, AgeMS: 1520.7, Body: []byte("x\n")})
	assertReply(t, reader, `{"jsonrpc":"2.0","id":4,"result":{"outcome":"handled","age":1520,"data":"eAo="}}`)
	send(conn, outcomeCall(`{"opkey":"k9"}`))
	item = queue.Next(t)
	assert.Equal(t, []string{"", "k9"}, []string{item.Query.ID, item.Query.IdempotencyKey})
	item.Query.Reply(ledger.Effect{})
	assertReply(t, reader, `{"jsonrpc":"2.0","id":4,"result":{"outcome":"unknown"}}`)
	for _, params := range []string{`{}`, `{"req":"a","opkey":"b"}`, `{"req":3}`, `[]`, `{"req":"a b"}`} {
		send(conn, outcomeCall(params))
		got, err := readMessage(reader, nil)
		require.NoError(t, err)
		assert.Contains(t, string(got), `"code":-32602`, params)
	}
	assert.Empty(t, queue)
	_, _, conn, reader = newTestServer(t, Limits{})
	send(conn, outcomeCall(`{"req":"a1"}`))
	got, err := readMessage(reader, nil)
	require.NoError(t, err)
	assert.Contains(t, string(got), `"code":-32601`, "a server without ServeOutcomes serves the method outcome")
	assert.Zero(t, server.requestBudget.Reserved())
}

// Data that is read after a stall of the process may have arrived at the start of the stall: deadlines count from
// there. The order of requests goes by what the kernel knows of each connection.
func TestServer_DeadlineCountsFromBeforeStall(t *testing.T) {
	server, queue, conn, _ := newTestServer(t, Limits{EarliestArrival: func(now float64) float64 { return now - 700 }})
	for _, id := range []string{"a", "b"} {
		now := server.clock.Now()
		send(conn, requestCall(1, id))
		request := queue.Next(t).Request
		assert.InDelta(t, now+1500-700, request.Deadline, 200, id)
		assert.InDelta(t, now, request.ArrivedAt, 200, id)
		request.Client.Rejected(request.Tag, 0)
	}
}

// A request may wait in the kernel's buffer until its connection is accepted: its deadline must count from its arrival
// in that buffer.
func TestServer_DeadlineCountsWaitForAccept(t *testing.T) {
	server, queue, busyConn, _ := newTestServer(t, Limits{MaxConns: 1})
	send(busyConn, requestCall(1, "a"))
	queue.Next(t)
	waitingConn, _ := dialServer(t, server)
	send(waitingConn, requestCall(2, "b"))
	sentAt := server.clock.Now()
	time.Sleep(600 * time.Millisecond)
	busyConn.Close()
	item := queue.Next(t)
	for item.Request == nil {
		item = queue.Next(t)
	}
	assert.InDelta(t, sentAt+1500, item.Request.Deadline, 100)
	assert.InDelta(t, sentAt, item.Request.ArrivedAt, 100)
}

// While clients with open requests take all slots, the next client must wait only until one of them has its answer and
// is idle.
func TestServer_WaitingClientGetsSlotOfIdleOne(t *testing.T) {
	server, queue, busyConn, reader := newTestServer(t, Limits{MaxConns: 1})
	send(busyConn, requestCall(1, "a"))
	first := queue.Next(t).Request
	waitingConn, _ := dialServer(t, server)
	send(waitingConn, requestCall(2, "b"))
	require.Eventually(t, func() bool { return server.AcceptPauses.Load() > 0 }, 3*time.Second, time.Millisecond)
	first.Client.Succeeded(first.Tag, nil)
	assertReply(t, reader, `{"jsonrpc":"2.0","id":1,"result":{"data":""}}`)
	go func() { // like a client that closes its connection once the server has ended it
		_, _ = reader.ReadByte()
		busyConn.Close()
	}()
	start := time.Now()
	assert.Equal(t, "b", queue.Next(t).Request.ID)
	assert.Less(t, time.Since(start), 200*time.Millisecond)
}

// During a drain, a request on a connection that waits for a slot or in the listen backlog must be rejected, not closed
// without an answer.
func TestServer_DrainRejectsWaitingConnections(t *testing.T) {
	server, queue, busyConn, _ := newTestServer(t, Limits{MaxConns: 1})
	send(busyConn, requestCall(1, "a"))
	queue.Next(t)
	var readers []*bufio.Reader
	for id := range 3 { // the first waits for a slot, the others in the listen backlog
		conn, reader := dialServer(t, server)
		send(conn, requestCall(id+2, fmt.Sprint("b", id)))
		readers = append(readers, reader)
	}
	require.Eventually(t, func() bool { return server.AcceptPauses.Load() > 0 }, 3*time.Second, time.Millisecond)
	server.Drain()
	for i, reader := range readers {
		got, err := readMessage(reader, nil)
		if assert.NoError(t, err, "connection %d", i) {
			assert.Contains(t, string(got), fmt.Sprintf(`"id":%d,"error":{"code":-32008`, i+2))
			_, err = reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		}
	}
	assert.Empty(t, queue)
}

// Guards against memory that half-sent messages take up: a large message waits while others hold the buffers, a client
// that stops within one gives its buffer up when others wait, and small messages, and answers, wait for nothing.
func TestServer_LargeMessagesWaitForMemory(t *testing.T) {
	limits := Limits{MessageBudget: netconn.NewByteBudget(maxMessageBytes)} // one large message
	server, queue, halfSent, halfReader := newTestServer(t, limits)
	large := strings.Replace(requestCall(1, "large"), "U0VM", strings.Repeat("U0VM", 4000), 1)
	start := time.Now()
	fmt.Fprint(halfSent, withLength(large)[:12000])
	require.Eventually(t, func() bool { return server.messageBudget.Reserved() > 0 }, time.Second, time.Millisecond)

	conn, reader := dialServer(t, server)
	send(conn, requestCall(2, "small"))
	small := queue.Next(t).Request
	send(conn, large)
	require.Eventually(t, func() bool { return server.messageWaiters.Load() > 0 }, time.Second, time.Millisecond)
	small.Client.Failed(small.Tag)
	got, err := readMessage(reader, nil)
	require.NoError(t, err, "answers are written meanwhile")
	assert.Contains(t, string(got), `"id":2`)
	assert.Equal(t, int64(maxMessageBytes), server.messageBudget.Reserved())
	assert.Equal(t, "large", queue.Next(t).Request.ID)
	assert.Less(t, time.Since(start), messageTimeout, "the half-sent message has made room")
	got, err = readMessage(halfReader, nil)
	require.NoError(t, err)
	assert.Contains(t, string(got), "framing lost")
	assert.Eventually(t, func() bool { return server.messageBudget.Reserved() == 0 }, time.Second, time.Millisecond)

	waiting, waitingReader := dialServer(t, server)
	server.messageBudget.Reserve(maxMessageBytes)
	send(waiting, large)
	got, err = readMessage(waitingReader, nil)
	require.NoError(t, err, "a message that finds no buffer in time is answered")
	assert.Contains(t, string(got), "framing lost")
}
