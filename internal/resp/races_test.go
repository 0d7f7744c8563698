package resp

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/scheduler"
)

// newLateClient returns a client with one executor whose connections come up when the test says so.
func newLateClient(t *testing.T) (*Client, fakeQueue, *fakeExecutor, chan struct{}) {
	e := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, e.listener.Addr().String(), 15000)
	up := make(chan struct{}, 10)
	client.dial = func(network, address string) (net.Conn, error) {
		<-up
		return net.Dial(network, address)
	}
	return client, queue, e, up
}

// What happens between the decision and the socket is checked at the last step: nothing leaves, and the attempt ends as never sent.
func TestClient_FinalCheckBlocksAttempt(t *testing.T) {
	for name, cross := range map[string]func(*Client, *dispatch.Attempt){
		"its client has gone": func(_ *Client, s *dispatch.Attempt) { s.Request.ClientGone.Store(true) },
		"its executor drains": func(client *Client, _ *dispatch.Attempt) {
			client.Update(false, []Endpoint{{scheduler.Endpoint{Executor: 1, Availability: scheduler.Draining}, "s-1", client.executors[1].address}})
		},
		"its executor is gone": func(client *Client, _ *dispatch.Attempt) { client.Update(true, nil) },
		"a new executor has the address": func(client *Client, _ *dispatch.Attempt) {
			client.Update(false, []Endpoint{{scheduler.Endpoint{Executor: 2}, "s-2", client.executors[1].address}})
		},
		"its time is over": func(*Client, *dispatch.Attempt) { time.Sleep(60 * time.Millisecond) },
	} {
		client, queue, e, up := newLateClient(t)
		shot := newAttempt("a")
		shot.Request.ClientGone = &atomic.Bool{}
		if name == "its time is over" {
			shot.LatestStart = client.clock.Now() + 50
		}
		run, _ := client.Send(shot)
		require.NotNil(t, run)
		cross(client, &shot)
		up <- struct{}{}
		it := queue.next(t)
		assert.Equal(t, []any{scheduler.AttemptEnded, scheduler.NeverSent, false}, []any{it.Event.Kind, it.Event.Outcome, it.Event.Blocked}, name)
		assert.True(t, it.Event.Outcome.NeverRan())
		assert.Equal(t, dispatch.AlreadyEnded, run.Cancel(), name)
		client.Stop()
		e.expect(t, "closed") // and nothing before it
		assert.Empty(t, queue, name)
	}
}

// A second copy of an end, some ms later, must not pass for the end of the next attempt of the same request.
func TestClient_DuplicateEndEndsNoOtherAttempt(t *testing.T) {
	for _, word := range []string{"full", "failed", "moot"} {
		e := newFakeExecutor(t, "127.0.0.1:0")
		client, queue := newTestClient(t, e.listener.Addr().String(), 15000)
		client.Send(newAttempt("a"))
		e.expect(t, "fetch a .*")
		first := e.nextConn(t)
		sendReply(first, "a", word, "-", "")
		queue.next(t)
		shot := newAttempt("a")
		shot.Number = 1
		client.Send(shot)
		e.expect(t, "fetch a .*")
		second := e.nextConn(t) // not over the first
		sendReply(first, "a", word, "-", "")
		sendReply(first, "a", word, "-", "")
		assert.Eventually(t, func() bool { return client.Strays.Load() == 2 }, 3*time.Second, time.Millisecond)
		sendReply(second, "a", "data", "-", "x\ty\tz\n")
		it := queue.next(t)
		assert.Equal(t, []any{scheduler.Succeeded, 1}, []any{it.Event.Outcome, it.Event.Attempt}, word)
		assert.Empty(t, queue)
	}
}

// What waits behind bytes that an executor does not read never left, and ends as such.
func TestClient_AttemptBehindStuckWriteNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, queue := newTestClient(t, l.Addr().String(), 15000)
	client.maxConns, client.connectTimeout = 1, time.Minute
	big := newAttempt("big")
	big.Request.Body = bytes.Repeat([]byte("x"), 32<<20) // more than the system holds for both sides
	client.Send(big)
	c, err := l.Accept()
	require.NoError(t, err)
	defer c.Close()
	link := client.executors[1].conns[0]
	require.Eventually(t, func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return link.connected && !link.Flushed() && link.open["big"].written
	}, 3*time.Second, time.Millisecond)
	second, _ := client.Send(newAttempt("b"))
	assert.Equal(t, dispatch.CancelledUnsent, second.Cancel())
	third, _ := client.Send(newAttempt("c"))
	require.NotNil(t, third)
	c.Close()
	ends := map[string]scheduler.Outcome{}
	for range 2 {
		it := queue.next(t)
		ends[it.Event.Request] = it.Event.Outcome
	}
	assert.Equal(t, map[string]scheduler.Outcome{"big": scheduler.ConnectionLost, "c": scheduler.ConnectFailed}, ends)
}

// A new executor at an address shows that the one listed there is gone, whatever the list still says of it.
func TestClient_NewExecutorDisplacesOldAtAddress(t *testing.T) {
	client, _ := newTestClient(t, "127.0.0.1:9", 15000)
	old := Endpoint{scheduler.Endpoint{Executor: 1}, "s-1", "127.0.0.1:9"}
	next := Endpoint{scheduler.Endpoint{Executor: 2, StartedAt: 5}, "s-2", "127.0.0.1:9"}
	gone := old
	gone.Entry.Availability = scheduler.Removed
	assert.Equal(t, []Endpoint{gone}, client.Update(false, []Endpoint{next}))
	assert.Empty(t, client.Update(false, []Endpoint{next}), "told once")
	assert.Empty(t, client.Update(true, []Endpoint{next, {scheduler.Endpoint{Executor: 3}, "s-3", "127.0.0.1:10"}}))
	leaving := next
	leaving.Entry.Availability, leaving.Entry.Executor, leaving.Name = scheduler.Draining, 4, "s-4"
	assert.Empty(t, client.Update(false, []Endpoint{leaving}), "one that drains displaces nobody")
	assert.Contains(t, client.executors, uint32(2))
}

// Idle connections to some executors must not keep others from having their first one.
func TestClient_EvictsIdleConnectionForFirstOne(t *testing.T) {
	e, other := newFakeExecutor(t, "127.0.0.1:0"), newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, e.listener.Addr().String(), 15000)
	client.Update(false, []Endpoint{{scheduler.Endpoint{Executor: 2}, "s-2", other.listener.Addr().String()}})
	for range client.maxConns {
		client.Send(newAttempt(fmt.Sprint("a", len(client.connections))))
		e.expect(t, "fetch .*")
	}
	shot := newAttempt("b")
	shot.Executor = 2
	run, _ := client.Send(shot)
	assert.Nil(t, run, "none is idle")
	for k := range client.maxConns {
		sendReply(e.nextConn(t), fmt.Sprint("a", k), "data", "-", "")
		queue.next(t)
	}
	run, _ = client.Send(shot)
	assert.NotNil(t, run)
	other.expect(t, "fetch b .*")
	e.expect(t, "closed")
	client.Stop()
	run, _ = client.Send(newAttempt("c"))
	assert.Nil(t, run, "nothing begins after the end")
}

// What fails on this side tells nothing about an executor: no descriptor, port, buffer or route for a moment. It proves that nothing
// ran, and it is distinguished from an executor's refusal, for attempts and health checks.
func TestClient_LocalErrorIsLocalFailure(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EPERM} {
		client, queue := newTestClient(t, "127.0.0.1:9", 15000)
		client.dial = func(string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		client.Send(newAttempt("a"))
		assert.Equal(t, scheduler.LocalFailure, queue.next(t).Event.Outcome, errno.Error())
		assert.True(t, client.HealthCheck(1, 7))
		assert.Equal(t, scheduler.LocalFailure, queue.next(t).Event.Outcome, errno.Error())
	}
	for _, errno := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		client, queue := newTestClient(t, "127.0.0.1:9", 15000)
		client.dial = func(string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		client.Send(newAttempt("a"))
		assert.Equal(t, scheduler.ConnectFailed, queue.next(t).Event.Outcome, errno.Error())
	}
}
