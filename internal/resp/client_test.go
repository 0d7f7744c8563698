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
	"liftshift/scheduler"
)

func TestClient_SendsAttemptAndJoinsPages(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, e.listener.Addr().String(), 15000)
	run, _ := client.Send(newAttempt("a"))
	e.expect(t, `fetch a profile=load,max=[1-4]\d\d\d,replay=k1,mb=64,nice=3 SELECT 1`)
	c := <-e.conns
	sendReply(c, "a", "news", "remark=queued,num=2", "")
	it := queue.next(t)
	assert.Equal(t, []any{scheduler.ProgressReported, scheduler.Waiting, 2.0}, []any{it.Event.Kind, it.Event.Progress, it.Event.Value})
	run.SetLevel(1)
	e.expect(t, "renice a 1")
	sendReply(c, "a", "data", "batches=3", "one\t1\tx\n")
	e.expect(t, "more a 1")
	e.expect(t, "more a 2")
	sendReply(c, "a", "data", "batches=3", "one\t2\tx\n") // second copies and what nobody asked for don't harm the good one
	sendReply(c, "a", "page", "batch=2", "three\t1\tx\n")
	sendReply(c, "a", "page", "batch=2", "four\t1\tx\n")
	sendReply(c, "zz", "data", "-", "never asked for\n")
	sendReply(c, "a", "page", "batch=1", "two\t1\tx\n")
	e.expect(t, "done a")
	it = queue.next(t)
	assert.Equal(t, scheduler.Succeeded, it.Event.Outcome)
	assert.Equal(t, "one\t1\tx\ntwo\t1\tx\nthree\t1\tx\n", string(it.Body))
	assert.Equal(t, dispatch.AlreadyEnded, run.Cancel())
	assert.Equal(t, uint64(3), client.Strays.Load())
	client.Send(newAttempt("b"))
	e.expect(t, "fetch b .*")
	sendReply(c, "b", "page", "batch=1", "two\t1\tx\n")
	sendReply(c, "b", "data", "-", "one\t1\tx\n")
	assert.Equal(t, "one\t1\tx\n", string(queue.next(t).Body))
}

// What shares a connection is lost with it: each attempt has one to itself while there may be more, and one that was cancelled without
// any reply has its connection closed, which may be dead.
func TestClient_AttemptsShareNoConnectionBelowLimit(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, e.listener.Addr().String(), 15000)
	client.Send(newAttempt("a"))
	e.expect(t, "fetch a .*")
	first := <-e.conns
	b, _ := client.Send(newAttempt("b"))
	e.expect(t, "fetch b .*")
	<-e.conns
	_, _ = first.Write([]byte("*1\r\n$9\r\nspoilt"))
	first.Close()
	assert.Equal(t, "a", queue.next(t).Event.Request)
	e.expect(t, "closed")
	assert.Empty(t, queue, "b goes on")
	assert.Equal(t, dispatch.CancelSent, b.Cancel())
	e.expect(t, "abort b")
	e.expect(t, "closed")
	client.HealthCheck(1, 1)
	e.expect(t, "alive probe-1")
	sendReply(<-e.conns, "probe-1", "well", "-", "")
	queue.next(t)
	client.Send(newAttempt("c"))
	e.expect(t, "fetch c .*")
	assert.Empty(t, e.conns, "an unused one is used again")
}

// A connection may end between the pages of an answer: the request has run, and the rest is asked for over another one.
func TestClient_ResumesPagesOnce(t *testing.T) {
	for _, known := range []bool{true, false} {
		e := newFakeExecutor(t, "127.0.0.1:0")
		client, queue := newTestClient(t, e.listener.Addr().String(), 15000)
		client.Send(newAttempt("a"))
		e.expect(t, "fetch a .*")
		c := e.nextConn(t)
		sendReply(c, "a", "data", "batches=3", "one\t1\tx\n")
		e.expect(t, "more a 1")
		e.expect(t, "more a 2")
		sendReply(c, "a", "page", "batch=2", "three\t1\tx\n")
		c.Close()
		e.expect(t, "closed|more a 1")
		e.expect(t, "closed|more a 1")
		c = e.nextConn(t)
		if !known {
			sendReply(c, "a", "failed", "-", "")
			assert.Equal(t, scheduler.Errored, queue.next(t).Event.Outcome)
			continue
		}
		sendReply(c, "a", "page", "batch=1", "two\t1\tx\n")
		e.expect(t, "done a")
		assert.Equal(t, "one\t1\tx\ntwo\t1\tx\nthree\t1\tx\n", string(queue.next(t).Body))
		assert.Equal(t, uint64(1), client.Resumed.Load())
	}
}

// A second connection that doesn't come up proves nothing: the request ran.
func TestClient_AnswerLostBetweenPagesMayHaveRun(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, e.listener.Addr().String(), 15000)
	client.Send(newAttempt("b"))
	e.expect(t, "fetch b .*")
	c := e.nextConn(t)
	e.listener.Close()
	sendReply(c, "b", "data", "batches=2", "one\t1\tx\n")
	e.expect(t, "more b 1")
	c.Close()
	assert.Equal(t, scheduler.ConnectionLost, queue.next(t).Event.Outcome)
}

// A lost attempt is counted by whether its connection had carried others.
func TestClient_CountsLossesByKindOfConnection(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, e.listener.Addr().String(), 15000)
	client.Send(newAttempt("a"))
	e.expect(t, "fetch a .*")
	c := e.nextConn(t)
	sendReply(c, "a", "data", "-", "")
	queue.next(t)
	client.Send(newAttempt("b")) // over the same, and lost with it
	e.expect(t, "fetch b .*")
	c.Close()
	assert.Equal(t, scheduler.ConnectionLost, queue.next(t).Event.Outcome)
	assert.Equal(t, connpool.LossStats{New: connpool.LossCount{Attempts: 1}, Used: connpool.LossCount{Attempts: 1, Lost: 1}}, client.losses)
}

// Bytes may be corrupted where every length still fits.
func TestIsCompleteRows(t *testing.T) {
	for page, want := range map[string]bool{"": true, "a\tb\tc\n": true, "a\tb\tc\n\t\t\n": true, "ä\t\u20ac\t\n": true, "a\tb\tc": false,
		"a\tb\n": false, "a\tb\tc\td\n": false, "a\t\xff\tc\n": false, "a\t\x01\tc\n": false, "a\tb\tc\r\n": false, "\n": false} {
		assert.Equal(t, want, isCompleteRows([]byte(page)), "%q", page)
	}
}

func TestClient_EndWordGivesOutcome(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, e.listener.Addr().String(), 15000)
	var c net.Conn
	for word, want := range map[string]scheduler.Outcome{"full": scheduler.Overloaded, "failed": scheduler.Errored, "moot": scheduler.NeverSent} {
		client.Send(newAttempt(word))
		e.expect(t, "fetch .*")
		if c == nil {
			c = <-e.conns
		}
		sendReply(c, word, word, "-", "")
		assert.Equal(t, want, queue.next(t).Event.Outcome)
	}
	client.Send(newAttempt("lost")) // pages lost: it may have run
	e.expect(t, "fetch .*")
	sendReply(c, "lost", "data", "batches=2", "one\t1\tx\n")
	e.expect(t, "more lost 1")
	sendReply(c, "lost", "failed", "-", "")
	assert.Equal(t, scheduler.Errored, queue.next(t).Event.Outcome)
}

// Refused proves that nothing ran; reset or malformed answers do not.
func TestClient_ConnectionFailureGivesOutcome(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, e.listener.Addr().String(), 15000)
	for _, last := range []string{"", "*9\r\n", "*4\r\n$1\r\na\r\n$4\r\ndata\r\n$1\r\n-\r\n$5\r\nnoise\r\n", "*1\r\n$1\r\na\r\n",
		"*3\r\n$1\r\na\r\n$4\r\ndata\r\n$11\r\nbatches=999\r\n", "*3\r\n$1\r\na\r\n$4\r\nwhat\r\n$1\r\n-\r\n"} {
		client.Send(newAttempt("a"))
		e.expect(t, "fetch .*")
		c := <-e.conns
		if last == "" {
			c.Close()
		}
		_, _ = c.Write([]byte(last))
		assert.Equal(t, scheduler.ConnectionLost, queue.next(t).Event.Outcome, last)
		e.expect(t, "closed")
	}
	assert.Equal(t, uint64(5), client.Malformed.Load())
	e.listener.Close()
	client.Send(newAttempt("b"))
	assert.Equal(t, scheduler.ConnectFailed, queue.next(t).Event.Outcome)
	client.HealthCheck(1, 4)
	it := queue.next(t)
	assert.Equal(t, []any{scheduler.HealthChecked, scheduler.ConnectFailed, uint64(4)}, []any{it.Event.Kind, it.Event.Outcome, it.Token})
	run, _ := client.Send(dispatch.Attempt{Request: &dispatch.Request{}, Executor: 9})
	assert.Nil(t, run, "an executor that isn't listed")
}

// The late answer of a cancelled attempt must not pass for the next attempt's, which goes out on another connection and not before the
// cancellation has arrived: coming last, that would end the new attempt.
func TestClient_LateAnswerIsNotTheNextAttempts(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, e.listener.Addr().String(), 15000)
	run, held := client.Send(newAttempt("a"))
	assert.Zero(t, held)
	e.expect(t, "fetch a .*")
	first := <-e.conns
	client.maxConns = 2
	client.Send(newAttempt("other"))
	e.expect(t, "fetch other .*")
	client.Send(newAttempt("heard")) // it shares, as there may be no more connections
	e.expect(t, "fetch heard .*")
	sendReply(first, "heard", "news", "remark=pct,num=0.5", "")
	queue.next(t)
	assert.Equal(t, dispatch.CancelSent, run.Cancel())
	e.expect(t, "abort a")
	client.mu.Lock()
	assert.InDelta(t, client.clock.Now(), client.executors[1].cancelledAt["a"], 2000)
	client.executors[1].cancelledAt["a"] += 60000 // later than it was, so that a slow machine doesn't let the time go by
	client.mu.Unlock()
	run, held = client.Send(newAttempt("a"))
	assert.InDelta(t, 60000+resendDelayMS, held, 5000)
	second := <-e.conns
	assert.Equal(t, dispatch.CancelledUnsent, run.Cancel(), "held back, it never ran")
	run.Release()
	run, _ = client.Send(newAttempt("a"))
	run.Release()
	e.expect(t, "fetch a .*")
	sendReply(first, "a", "data", "-", "old\t1\tx\n")
	assert.Eventually(t, func() bool { return client.Strays.Load() == 1 }, 3*time.Second, time.Millisecond)
	sendReply(second, "a", "data", "-", "new\t1\tx\n")
	assert.Equal(t, "new\t1\tx\n", string(queue.next(t).Body))
	sendReply(second, "zz", "data", "-", "never asked for\n")
	assert.Eventually(t, func() bool { return client.Strays.Load() == 2 }, 3*time.Second, time.Millisecond)
	assert.Empty(t, queue)
	assert.Empty(t, e.received)
}

func TestClient_CancelBeforeWriteIsUnsent(t *testing.T) {
	client, _ := newTestClient(t, "127.0.0.1:9", 15000)
	client.mu.Lock() // the connection can't come up meanwhile
	l := &executorConn{client: client, open: map[string]*attempt{}, endedIDs: map[string]bool{}}
	r := &attempt{client: client, conn: l, spec: newAttempt("a")}
	l.open["a"] = r
	client.mu.Unlock()
	assert.Equal(t, dispatch.CancelledUnsent, r.Cancel())
	assert.Empty(t, l.open)
}

// A machine that vanished refuses no connection: none comes up, and what waited for one never ran.
func TestClient_ConnectTimeoutProvesNothingRan(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer syscall.Close(fd)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	at := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	for range 3 { // nobody accepts: its line is full from then on
		if c, err := net.DialTimeout("tcp", at, 50*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	client, queue := newTestClient(t, at, 15000)
	began := time.Now()
	client.Send(newAttempt("a"))
	assert.Equal(t, scheduler.ConnectFailed, queue.next(t).Event.Outcome)
	assert.GreaterOrEqual(t, time.Since(began), 150*time.Millisecond)
}

func TestClient_ClosesIdleConnectionsFirst(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, e.listener.Addr().String(), 50)
	client.Send(newAttempt("a"))
	e.expect(t, "fetch a .*")
	sendReply(<-e.conns, "a", "data", "-", "")
	queue.next(t)
	time.Sleep(60 * time.Millisecond) // the executor may close it from now on
	client.Send(newAttempt("b"))
	select {
	case <-e.conns:
	case <-time.After(3 * time.Second):
		t.Fatal("an old connection was used")
	}
}

func TestClient_HealthChecks(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, e.listener.Addr().String(), 15000, "queue", "x0")
	assert.True(t, client.HealthCheck(1, 7))
	e.expect(t, "stats probe-7")
	c := <-e.conns
	sendReply(c, "probe-7", "well", "report=backlog:1;x0:2", "")
	it := queue.next(t)
	assert.Equal(t, []any{scheduler.Succeeded, uint64(7), []float64{1, 2}}, []any{it.Event.Outcome, it.Token, it.Event.LoadReport})
	client.HealthCheck(1, 8)
	e.expect(t, "stats probe-8")
	sendReply(c, "probe-8", "ill", "-", "")
	assert.Equal(t, scheduler.Errored, queue.next(t).Event.Outcome)
	client.HealthCheck(1, 9)
	e.expect(t, "stats probe-9")
	client.ForgetHealthCheck(1, 9) // a connection that fell silent gets nothing new
	client.Send(newAttempt("a"))
	<-e.conns
}

// A new executor at the address of one that is gone must not get that one's connections.
func TestClient_ReusedAddressGetsNewConnections(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	at := e.listener.Addr().String()
	client, _ := newTestClient(t, at, 15000)
	client.Send(newAttempt("a"))
	e.expect(t, "fetch a .*")
	<-e.conns
	client.Update(false, []Endpoint{{scheduler.Endpoint{Executor: 1, Availability: scheduler.Removed}, "s-1", at},
		{scheduler.Endpoint{Executor: 2}, "s-2", at}})
	run, _ := client.Send(newAttempt("b"))
	assert.Nil(t, run)
	s := newAttempt("c")
	s.Executor = 2
	client.Send(s)
	<-e.conns
	e.expect(t, "fetch c .*")
	client.Update(true, nil)
	s.Request.ID = "d"
	run, _ = client.Send(s)
	assert.Nil(t, run, "a complete list leaves out what is gone")
}

func TestClient_LimitsConnections(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	client, _ := newTestClient(t, e.listener.Addr().String(), 15000)
	for _, id := range strings.Fields("a b c d e f") { // three connections of two attempts each
		run, _ := client.Send(newAttempt(id))
		assert.NotNil(t, run)
	}
	run, _ := client.Send(newAttempt("g"))
	assert.Nil(t, run)
}

// Nothing is kept of executors that are gone, also where others come at their address.
func TestClient_KeepsNothingOfGoneExecutors(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	at := e.listener.Addr().String()
	client, queue := newTestClient(t, at, 15000)
	client.maxConns = 100
	for id := uint32(1); id <= 50; id++ {
		shot := newAttempt(fmt.Sprint("a", id))
		shot.Executor = id
		run, _ := client.Send(shot)
		assert.True(t, client.HealthCheck(id, uint64(id)))
		e.expect(t, "fetch .*|alive .*")
		e.expect(t, "fetch .*|alive .*")
		if id%2 == 0 {
			run.Cancel()
		}
		client.Update(false, []Endpoint{{scheduler.Endpoint{Executor: id, Availability: scheduler.Removed}, "s", at},
			{scheduler.Endpoint{Executor: id + 1}, "s", at}})
		for range 2 {
			e.nextConn(t).Close() // it ends, and its connections with it
		}
		for closed := 0; closed < 2; {
			select {
			case word := <-e.received:
				closed += strings.Count(word, "closed")
			case <-time.After(3 * time.Second):
				require.Fail(t, "a connection stays")
			}
		}
	}
	assert.Equal(t, 1, len(client.executors))
	assert.Eventually(t, func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return len(client.connections) == 0 && len(client.executors[51].conns) == 0
	}, 3*time.Second, time.Millisecond)
	assert.GreaterOrEqual(t, len(queue), 25+50, "each attempt and each health check has its end")
	assert.Zero(t, client.budget.Held())
}

// An attempt that is held leaves at its release and not before, also when its connection is up; cancelled before, it never left.
func TestClient_HeldAttemptLeavesAtRelease(t *testing.T) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, e.listener.Addr().String(), 15000)
	shot := newAttempt("a")
	shot.Held = true
	run, _ := client.Send(shot)
	e.nextConn(t)
	client.HealthCheck(1, 7) // its own connection, heard
	e.expect(t, "alive probe-7")
	select {
	case got := <-e.received:
		assert.Fail(t, "left early: "+got)
	case <-time.After(50 * time.Millisecond):
	}
	run.Release()
	e.expect(t, "fetch a .*")
	shot = newAttempt("b")
	shot.Held = true
	run, _ = client.Send(shot)
	assert.Equal(t, dispatch.CancelledUnsent, run.Cancel())
	run.Release()
	assert.Empty(t, queue)
}
