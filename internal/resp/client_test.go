package resp

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/connpool"
	"liftshift/internal/dispatch"
	"liftshift/internal/dispatchtest"
	"liftshift/scheduler"
)

func TestClient_SendsAttemptAndJoinsPages(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
	running, _ := client.Send(newAttempt("a"))
	fake.expect(t, `fetch a profile=load,max=[1-4]\d\d\d,replay=k1,mb=64,nice=3 SELECT 1`)
	conn := <-fake.conns
	sendReply(conn, "a", "news", "remark=queued,num=2", "")
	item := queue.Next(t)
	assert.Equal(t, []any{scheduler.ProgressReported, scheduler.Waiting, 2.0},
		[]any{item.Event.Kind, item.Event.Progress, item.Event.Value})
	running.SetLevel(1)
	fake.expect(t, "renice a 1")
	sendReply(conn, "a", "data", "batches=3", "one\t1\tx\n")
	fake.expect(t, "more a 1")
	fake.expect(t, "more a 2")
	sendReply(conn, "a", "data", "batches=3", "one\t2\tx\n") // duplicates and unrequested pages are ignored
	sendReply(conn, "a", "page", "batch=2", "three\t1\tx\n")
	sendReply(conn, "a", "page", "batch=2", "four\t1\tx\n")
	sendReply(conn, "zz", "data", "-", "unrequested\n")
	sendReply(conn, "a", "page", "batch=1", "two\t1\tx\n")
	fake.expect(t, "done a")
	item = queue.Next(t)
	assert.Equal(t, scheduler.Succeeded, item.Event.Outcome)
	assert.Equal(t, "one\t1\tx\ntwo\t1\tx\nthree\t1\tx\n", string(item.Body))
	assert.Equal(t, dispatch.AlreadyEnded, running.Cancel())
	assert.Equal(t, uint64(3), client.StrayReplies.Load())
	client.Send(newAttempt("b"))
	fake.expect(t, "fetch b .*")
	sendReply(conn, "b", "page", "batch=1", "two\t1\tx\n")
	sendReply(conn, "b", "data", "-", "one\t1\tx\n")
	assert.Equal(t, "one\t1\tx\n", string(queue.Next(t).Body))
}

// Attempts that share a connection are lost together, so each one gets its own while connections are available. The
// connection of an attempt that was cancelled before any reply may be dead and must be closed.
func TestClient_AttemptsShareNoConnectionBelowLimit(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
	client.Send(newAttempt("a"))
	fake.expect(t, "fetch a .*")
	first := <-fake.conns
	b, _ := client.Send(newAttempt("b"))
	fake.expect(t, "fetch b .*")
	<-fake.conns
	_, _ = first.Write([]byte("*1\r\n$9\r\nspoilt"))
	first.Close()
	assert.Equal(t, "a", queue.Next(t).Event.Request)
	fake.expect(t, "closed")
	assert.Empty(t, queue, "attempt b is not affected")
	assert.Equal(t, dispatch.CancelSent, b.Cancel())
	fake.expect(t, "abort b")
	fake.expect(t, "closed")
	client.HealthCheck(1, 1)
	fake.expect(t, "alive probe-1")
	sendReply(<-fake.conns, "probe-1", "well", "-", "")
	queue.Next(t)
	client.Send(newAttempt("c"))
	fake.expect(t, "fetch c .*")
	assert.Empty(t, fake.conns, "the unused connection is used again")
}

// If a connection is lost between the pages of an answer, the missing pages must be requested over another one.
func TestClient_ResumesPagesOnce(t *testing.T) {
	for _, pagesKept := range []bool{true, false} {
		fake := newFakeExecutor(t, "127.0.0.1:0")
		client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
		client.Send(newAttempt("a"))
		fake.expect(t, "fetch a .*")
		conn := fake.nextConn(t)
		sendReply(conn, "a", "data", "batches=3", "one\t1\tx\n")
		fake.expect(t, "more a 1")
		fake.expect(t, "more a 2")
		sendReply(conn, "a", "page", "batch=2", "three\t1\tx\n")
		conn.Close()
		fake.expect(t, "closed|more a 1")
		fake.expect(t, "closed|more a 1")
		conn = fake.nextConn(t)
		if !pagesKept {
			sendReply(conn, "a", "failed", "-", "")
			assert.Equal(t, scheduler.Errored, nextExceptLoss(t, queue).Event.Outcome)
			continue
		}
		sendReply(conn, "a", "page", "batch=1", "two\t1\tx\n")
		fake.expect(t, "done a")
		assert.Equal(t, "one\t1\tx\ntwo\t1\tx\nthree\t1\tx\n", string(nextExceptLoss(t, queue).Body))
		assert.Equal(t, uint64(1), client.ResumedAnswers.Load())
	}
}

// If no second connection can be established for the missing pages, the request has still run.
func TestClient_AnswerLostBetweenPagesMayHaveRun(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
	client.Send(newAttempt("b"))
	fake.expect(t, "fetch b .*")
	conn := fake.nextConn(t)
	fake.listener.Close()
	sendReply(conn, "b", "data", "batches=2", "one\t1\tx\n")
	fake.expect(t, "more b 1")
	conn.Close()
	assert.Equal(t, scheduler.ConnectionLost, nextExceptLoss(t, queue).Event.Outcome)
}

// nextExceptLoss returns the next item of the queue that does not report the loss of the last connection. That report may
// come before or after what the next connection brings.
func nextExceptLoss(t *testing.T, queue dispatchtest.Queue) dispatch.QueueItem {
	item := queue.Next(t)
	if item.Event.Kind == scheduler.LastConnectionLost {
		item = queue.Next(t)
	}
	return item
}

// Losses must be counted separately for new connections and those that have carried an attempt before.
func TestClient_CountsLossesByKindOfConnection(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
	client.Send(newAttempt("a"))
	fake.expect(t, "fetch a .*")
	conn := fake.nextConn(t)
	sendReply(conn, "a", "data", "-", "")
	queue.Next(t)
	client.Send(newAttempt("b")) // over the same connection, and lost with it
	fake.expect(t, "fetch b .*")
	conn.Close()
	assert.Equal(t, scheduler.ConnectionLost, queue.Next(t).Event.Outcome)
	want := connpool.LossStats{New: connpool.LossCount{Attempts: 1}, Used: connpool.LossCount{Attempts: 1, Lost: 1}}
	assert.Equal(t, want, client.losses)
}

// Corruption that leaves all lengths consistent must be detected.
func TestIsCompleteRows(t *testing.T) {
	for page, want := range map[string]bool{
		"":                true,
		"a\tb\tc\n":       true,
		"a\tb\tc\n\t\t\n": true,
		"ä\t\u20ac\t\n":   true,
		"a\tb\tc":         false,
		"a\tb\n":          false,
		"a\tb\tc\td\n":    false,
		"a\t\xff\tc\n":    false,
		"a\t\x01\tc\n":    false,
		"a\tb\tc\r\n":     false,
		"\n":              false,
	} {
		assert.Equal(t, want, isCompleteRows([]byte(page)), "%q", page)
	}
}

func TestClient_EndWordGivesOutcome(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
	var conn net.Conn
	for word, want := range map[string]scheduler.Outcome{
		"full":   scheduler.Overloaded,
		"failed": scheduler.Errored,
		"moot":   scheduler.NeverSent,
	} {
		client.Send(newAttempt(word))
		fake.expect(t, "fetch .*")
		if conn == nil {
			conn = <-fake.conns
		}
		sendReply(conn, word, word, "-", "")
		assert.Equal(t, want, queue.Next(t).Event.Outcome)
	}
	client.Send(newAttempt("lost")) // the executor lost the pages, the request may have run
	fake.expect(t, "fetch .*")
	sendReply(conn, "lost", "data", "batches=2", "one\t1\tx\n")
	fake.expect(t, "more lost 1")
	sendReply(conn, "lost", "failed", "-", "")
	assert.Equal(t, scheduler.Errored, queue.Next(t).Event.Outcome)
}

// A refused connection proves that the attempt did not run. A reset or a malformed reply does not.
func TestClient_ConnectionFailureGivesOutcome(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
	for _, reply := range []string{
		"", // the executor closes the connection instead of replying
		"*9\r\n",
		"*4\r\n$1\r\na\r\n$4\r\ndata\r\n$1\r\n-\r\n$5\r\nnoise\r\n",
		"*1\r\n$1\r\na\r\n",
		"*3\r\n$1\r\na\r\n$4\r\ndata\r\n$11\r\nbatches=999\r\n",
		"*3\r\n$1\r\na\r\n$4\r\nwhat\r\n$1\r\n-\r\n",
	} {
		client.Send(newAttempt("a"))
		fake.expect(t, "fetch .*")
		conn := <-fake.conns
		if reply == "" {
			conn.Close()
		}
		_, _ = conn.Write([]byte(reply))
		assert.Equal(t, scheduler.ConnectionLost, queue.Next(t).Event.Outcome, "%q", reply)
		fake.expect(t, "closed")
	}
	assert.Equal(t, uint64(5), client.MalformedReplies.Load())
	fake.listener.Close()
	client.Send(newAttempt("b"))
	assert.Equal(t, scheduler.ConnectFailed, queue.Next(t).Event.Outcome)
	client.HealthCheck(1, 4)
	item := queue.Next(t)
	assert.Equal(t, []any{scheduler.HealthChecked, scheduler.ConnectFailed, uint64(4)},
		[]any{item.Event.Kind, item.Event.Outcome, item.Token})
	running, _ := client.Send(dispatch.Attempt{Request: &dispatch.Request{}, Executor: 9})
	assert.Nil(t, running, "executor 9 is not in the endpoint list")
}

// The late answer of a cancelled attempt must not be taken for the next attempt's. That one must go over another
// connection, and be delayed so that the cancellation cannot arrive after it and end it.
func TestClient_LateAnswerIsNotTheNextAttempts(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
	running, delayMS := client.Send(newAttempt("a"))
	assert.Zero(t, delayMS)
	fake.expect(t, "fetch a .*")
	first := <-fake.conns
	client.maxConns = 2
	client.Send(newAttempt("other"))
	fake.expect(t, "fetch other .*")
	client.Send(newAttempt("shared")) // shares a connection, as the limit is reached
	fake.expect(t, "fetch shared .*")
	sendReply(first, "shared", "news", "remark=pct,num=0.5", "")
	queue.Next(t)
	assert.Equal(t, dispatch.CancelSent, running.Cancel())
	fake.expect(t, "abort a")
	client.mu.Lock()
	assert.InDelta(t, client.clock.Now(), client.executors[1].cancelledAt["a"], 2000)
	client.executors[1].cancelledAt["a"] += 60000 // far enough ahead that the delay cannot pass on a slow machine
	client.mu.Unlock()
	running, delayMS = client.Send(newAttempt("a"))
	assert.InDelta(t, 60000+resendDelayMS, delayMS, 5000)
	second := <-fake.conns
	assert.Equal(t, dispatch.CancelledUnsent, running.Cancel(), "a delayed attempt is not sent")
	running.Release()
	running, _ = client.Send(newAttempt("a"))
	running.Release()
	fake.expect(t, "fetch a .*")
	sendReply(first, "a", "data", "-", "old\t1\tx\n")
	assert.Eventually(t, func() bool { return client.StrayReplies.Load() == 1 }, 3*time.Second, time.Millisecond)
	sendReply(second, "a", "data", "-", "new\t1\tx\n")
	assert.Equal(t, "new\t1\tx\n", string(queue.Next(t).Body))
	sendReply(second, "zz", "data", "-", "unrequested\n")
	assert.Eventually(t, func() bool { return client.StrayReplies.Load() == 2 }, 3*time.Second, time.Millisecond)
	assert.Empty(t, queue)
	assert.Empty(t, fake.received)
}

func TestClient_CancelBeforeWriteIsUnsent(t *testing.T) {
	client, _ := newTestClient(t, "127.0.0.1:9", 15000)
	client.mu.Lock()
	conn := &executorConn{client: client, openAttempts: map[string]*attempt{}, endedIDs: map[string]bool{}}
	pending := &attempt{client: client, conn: conn, spec: newAttempt("a")}
	conn.openAttempts["a"] = pending
	client.mu.Unlock()
	assert.Equal(t, dispatch.CancelledUnsent, pending.Cancel())
	assert.Empty(t, conn.openAttempts)
}

// A host that is down refuses no connection. The connect timeout must end the attempts that wait for a connection.
func TestClient_ConnectTimeoutProvesNothingRan(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer syscall.Close(fd)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	socketName, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", socketName.(*syscall.SockaddrInet4).Port)
	for range 3 { // fill the accept queue
		if conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			defer conn.Close()
		}
	}
	client, queue := newTestClient(t, address, 15000)
	start := time.Now()
	client.Send(newAttempt("a"))
	assert.Equal(t, scheduler.ConnectFailed, queue.Next(t).Event.Outcome)
	assert.GreaterOrEqual(t, time.Since(start), 150*time.Millisecond)
}

func TestClient_ClosesIdleConnectionsFirst(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 50)
	client.Send(newAttempt("a"))
	fake.expect(t, "fetch a .*")
	sendReply(<-fake.conns, "a", "data", "-", "")
	queue.Next(t)
	time.Sleep(60 * time.Millisecond) // the connection is idle for too long
	client.Send(newAttempt("b"))
	select {
	case <-fake.conns:
	case <-time.After(3 * time.Second):
		t.Fatal("the idle connection was used for attempt b, want a new one")
	}
}

func TestClient_ReportsHealthCheckResults(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 15000, "queue", "x0")
	assert.True(t, client.HealthCheck(1, 7))
	fake.expect(t, "stats probe-7")
	conn := <-fake.conns
	sendReply(conn, "probe-7", "well", "report=backlog:1;x0:2", "")
	item := queue.Next(t)
	assert.Equal(t, []any{scheduler.Succeeded, uint64(7), []float64{1, 2}},
		[]any{item.Event.Outcome, item.Token, item.Event.LoadReport})
	client.HealthCheck(1, 8)
	fake.expect(t, "stats probe-8")
	sendReply(conn, "probe-8", "ill", "-", "")
	assert.Equal(t, scheduler.Errored, queue.Next(t).Event.Outcome)
	client.HealthCheck(1, 9)
	fake.expect(t, "stats probe-9")
	client.ForgetHealthCheck(1, 9) // drains the unresponsive connection
	client.Send(newAttempt("a"))
	<-fake.conns
}

// A new executor at the address of a removed one must not get its connections.
func TestClient_ReusedAddressGetsNewConnections(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	address := fake.listener.Addr().String()
	client, _ := newTestClient(t, address, 15000)
	client.Send(newAttempt("a"))
	fake.expect(t, "fetch a .*")
	<-fake.conns
	client.Update(false, []Endpoint{{scheduler.Endpoint{Executor: 1, Availability: scheduler.Removed}, "s-1", address},
		{scheduler.Endpoint{Executor: 2}, "s-2", address}})
	running, _ := client.Send(newAttempt("b"))
	assert.Nil(t, running)
	spec := newAttempt("c")
	spec.Executor = 2
	client.Send(spec)
	<-fake.conns
	fake.expect(t, "fetch c .*")
	client.Update(true, nil)
	spec.Request.ID = "d"
	running, _ = client.Send(spec)
	assert.Nil(t, running, "an executor missing from a complete list is removed")
}

func TestClient_LimitsConnections(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, _ := newTestClient(t, fake.listener.Addr().String(), 15000)
	for _, id := range strings.Fields("a b c d e f") { // 3 connections of 2 attempts
		running, _ := client.Send(newAttempt(id))
		assert.NotNil(t, running)
	}
	running, _ := client.Send(newAttempt("g"))
	assert.Nil(t, running)
}

// The state of removed executors must be freed, also if other executors get their address.
func TestClient_FreesStateOfRemovedExecutors(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	address := fake.listener.Addr().String()
	client, queue := newTestClient(t, address, 15000)
	client.maxConns = 100
	for id := uint32(1); id <= 50; id++ {
		spec := newAttempt(fmt.Sprint("a", id))
		spec.Executor = id
		running, _ := client.Send(spec)
		assert.True(t, client.HealthCheck(id, uint64(id)))
		fake.expect(t, "fetch .*|alive .*")
		fake.expect(t, "fetch .*|alive .*")
		if id%2 == 0 {
			running.Cancel()
		}
		client.Update(false, []Endpoint{{scheduler.Endpoint{Executor: id, Availability: scheduler.Removed}, "s", address},
			{scheduler.Endpoint{Executor: id + 1}, "s", address}})
		for range 2 {
			fake.nextConn(t).Close() // the removed executor exits
		}
		for closed := 0; closed < 2; {
			select {
			case word := <-fake.received:
				closed += strings.Count(word, "closed")
			case <-time.After(3 * time.Second):
				require.Fail(t, "a connection to a removed executor was not closed", "executor %d, closed %d of 2", id, closed)
			}
		}
	}
	assert.Equal(t, 1, len(client.executors))
	assert.Eventually(t, func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return len(client.connections) == 0 && len(client.executors[51].conns) == 0
	}, 3*time.Second, time.Millisecond)
	assert.GreaterOrEqual(t, len(queue), 25+50, "each uncancelled attempt and each health check has an end event")
	assert.Zero(t, client.budget.Reserved())
}

// A held attempt must not be sent before Release, even if its connection is established, and never if it is cancelled
// before.
func TestClient_HeldAttemptIsSentAtRelease(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
	spec := newAttempt("a")
	spec.Held = true
	running, _ := client.Send(spec)
	fake.nextConn(t)
	client.HealthCheck(1, 7) // over a second connection
	fake.expect(t, "alive probe-7")
	select {
	case got := <-fake.received:
		assert.Fail(t, "sent before Release: "+got)
	case <-time.After(50 * time.Millisecond):
	}
	running.Release()
	fake.expect(t, "fetch a .*")
	spec = newAttempt("b")
	spec.Held = true
	running, _ = client.Send(spec)
	assert.Equal(t, dispatch.CancelledUnsent, running.Cancel())
	running.Release()
	assert.Empty(t, queue)
}
