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
	"liftshift/internal/dispatchtest"
	"liftshift/scheduler"
)

// newClientWithGatedDial returns a client with one executor. Each dial waits until the test sends to the channel.
func newClientWithGatedDial(t *testing.T) (*Client, dispatchtest.Queue, *fakeExecutor, chan struct{}) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
	dialGate := make(chan struct{}, 10)
	client.dial = func(network, address string) (net.Conn, error) {
		<-dialGate
		return net.Dial(network, address)
	}
	return client, queue, fake, dialGate
}

// The state may change between Send and the write to the socket. The attempt must then not be sent, and end as such.
func TestClient_FinalCheckBlocksAttempt(t *testing.T) {
	for name, change := range map[string]func(*Client, *dispatch.Attempt){
		"client disconnected": func(_ *Client, spec *dispatch.Attempt) { spec.Request.ClientGone.Store(true) },
		"executor drains": func(client *Client, _ *dispatch.Attempt) {
			draining := scheduler.Endpoint{Executor: 1, Availability: scheduler.Draining}
			client.Update(false, []Endpoint{{draining, "s-1", client.executors[1].address}})
		},
		"executor listed elsewhere": func(client *Client, _ *dispatch.Attempt) {
			moved := scheduler.Endpoint{Executor: 1, Zone: "there"}
			client.Update(false, []Endpoint{{moved, "s-1", client.executors[1].address}})
		},
		"executor removed": func(client *Client, _ *dispatch.Attempt) { client.Update(true, nil) },
		"another executor at the address": func(client *Client, _ *dispatch.Attempt) {
			client.Update(false, []Endpoint{{scheduler.Endpoint{Executor: 2}, "s-2", client.executors[1].address}})
		},
		"latest start passed": func(*Client, *dispatch.Attempt) { time.Sleep(60 * time.Millisecond) },
		"lease lost":          func(client *Client, _ *dispatch.Attempt) { client.LeaseHeld = func() bool { return false } },
	} {
		client, queue, fake, dialGate := newClientWithGatedDial(t)
		spec := newAttempt("a")
		spec.Request.ClientGone = &atomic.Bool{}
		if name == "latest start passed" {
			spec.LatestStart = client.clock.Now() + 50
		}
		spec.Held = name == "lease lost" // others need no lease
		running, _ := client.Send(spec)
		require.NotNil(t, running)
		if spec.Held {
			running.Release()
		}
		change(client, &spec)
		dialGate <- struct{}{}
		item := queue.Next(t)
		assert.Equal(t, []any{scheduler.AttemptEnded, scheduler.NeverSent, false},
			[]any{item.Event.Kind, item.Event.Outcome, item.Event.Blocked}, name)
		assert.Equal(t, name == "lease lost", item.Event.Unrecorded, "%s: only the lease may return", name)
		assert.True(t, item.Event.Outcome.NeverRan())
		assert.Equal(t, dispatch.AlreadyEnded, running.Cancel(), name)
		client.Stop()
		fake.expect(t, "closed") // no command before it
		assert.Empty(t, queue, name)
	}
}

// The client hears of a new list before the scheduler does. An attempt that the scheduler decides by the list before must
// not go to a process in another zone or cell, or of another kind, than the one it was decided and recorded for.
func TestClient_RefusesAttemptForEarlierLocation(t *testing.T) {
	here := scheduler.Location{Zone: "here", Kind: "std", Cell: 1}
	for name, listed := range map[string]scheduler.Endpoint{
		"zone": {Executor: 1, Zone: "there", Kind: "std", Cell: 1, StartedAt: 5},
		"cell": {Executor: 1, Zone: "here", Kind: "std", Cell: 2, StartedAt: 5},
		"kind": {Executor: 1, Zone: "here", Kind: "big", Cell: 1, StartedAt: 5},
	} {
		fake := newFakeExecutor(t, "127.0.0.1:0")
		client, _ := newTestClient(t, fake.listener.Addr().String(), 15000)
		client.Update(false, []Endpoint{{listed, "s-1", fake.listener.Addr().String()}})
		spec := newAttempt("a")
		spec.Target = here
		running, _ := client.Send(spec)
		assert.Nil(t, running, name)
		spec.Target = listed.Location()
		running, _ = client.Send(spec)
		assert.NotNil(t, running, name)
	}
}

// A duplicate of the reply that ended an attempt must not end the next attempt of the same request.
func TestClient_DuplicateEndEndsNoOtherAttempt(t *testing.T) {
	for _, word := range []string{"full", "failed", "moot"} {
		fake := newFakeExecutor(t, "127.0.0.1:0")
		client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
		client.Send(newAttempt("a"))
		fake.expect(t, "fetch a .*")
		first := fake.nextConn(t)
		sendReply(first, "a", word, "-", "")
		queue.Next(t)
		spec := newAttempt("a")
		spec.Number = 1
		client.Send(spec)
		fake.expect(t, "fetch a .*")
		second := fake.nextConn(t) // the id is excluded from the first connection
		sendReply(first, "a", word, "-", "")
		sendReply(first, "a", word, "-", "")
		assert.Eventually(t, func() bool { return client.StrayReplies.Load() == 2 }, 3*time.Second, time.Millisecond)
		sendReply(second, "a", "data", "-", "x\ty\tz\n")
		item := queue.Next(t)
		assert.Equal(t, []any{scheduler.Succeeded, 1}, []any{item.Event.Outcome, item.Event.Attempt}, word)
		assert.Empty(t, queue)
	}
}

// An attempt that is queued behind output that the executor does not read was never sent, and must end as such.
func TestClient_AttemptBehindStuckWriteNeverRan(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, queue := newTestClient(t, listener.Addr().String(), 15000)
	client.maxConns, client.connectTimeout = 1, time.Minute
	big := newAttempt("big")
	big.Request.Body = bytes.Repeat([]byte("x"), 32<<20) // exceeds the socket buffers of both sides
	client.Send(big)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	conn := client.executors[1].conns[0]
	require.Eventually(t, func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return conn.connected && !conn.Flushed() && conn.openAttempts["big"].written
	}, 3*time.Second, time.Millisecond)
	second, _ := client.Send(newAttempt("b"))
	assert.Equal(t, dispatch.CancelledUnsent, second.Cancel())
	third, _ := client.Send(newAttempt("c"))
	require.NotNil(t, third)
	accepted.Close()
	outcomes := map[string]scheduler.Outcome{}
	for range 2 {
		item := queue.Next(t)
		outcomes[item.Event.Request] = item.Event.Outcome
	}
	assert.Equal(t, map[string]scheduler.Outcome{"big": scheduler.ConnectionLost, "c": scheduler.ConnectFailed}, outcomes)
}

// An executor that is listed at the address of another one shows that the other one is gone, even if the endpoint list
// has not reported that yet.
func TestClient_NewExecutorDisplacesOldAtAddress(t *testing.T) {
	client, _ := newTestClient(t, "127.0.0.1:9", 15000)
	old := Endpoint{scheduler.Endpoint{Executor: 1}, "s-1", "127.0.0.1:9"}
	next := Endpoint{scheduler.Endpoint{Executor: 2, StartedAt: 5}, "s-2", "127.0.0.1:9"}
	removed := old
	removed.Entry.Availability = scheduler.Removed
	assert.Equal(t, []Endpoint{removed}, client.Update(false, []Endpoint{next}))
	assert.Empty(t, client.Update(false, []Endpoint{next}), "it is reported once")
	assert.Empty(t, client.Update(true, []Endpoint{next, {scheduler.Endpoint{Executor: 3}, "s-3", "127.0.0.1:10"}}))
	draining := next
	draining.Entry.Availability, draining.Entry.Executor, draining.Name = scheduler.Draining, 4, "s-4"
	assert.Empty(t, client.Update(false, []Endpoint{draining}), "a draining executor displaces no other")
	assert.Contains(t, client.executors, uint32(2))
}

// Idle connections to some executors must not keep another executor from getting its first connection.
func TestClient_EvictsIdleConnectionForFirstOne(t *testing.T) {
	fake, other := newFakeExecutor(t, "127.0.0.1:0"), newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
	client.Update(false, []Endpoint{{scheduler.Endpoint{Executor: 2}, "s-2", other.listener.Addr().String()}})
	for range client.maxConns {
		client.Send(newAttempt(fmt.Sprint("a", len(client.connections))))
		fake.expect(t, "fetch .*")
	}
	spec := newAttempt("b")
	spec.Executor = 2
	running, _ := client.Send(spec)
	assert.Nil(t, running, "no connection is idle")
	for k := range client.maxConns {
		sendReply(fake.nextConn(t), fmt.Sprint("a", k), "data", "-", "")
		queue.Next(t)
	}
	running, _ = client.Send(spec)
	assert.NotNil(t, running)
	other.expect(t, "fetch b .*")
	fake.expect(t, "closed")
	client.Stop()
	running, _ = client.Send(newAttempt("c"))
	assert.Nil(t, running, "no attempt can be sent after Stop")
}

// A dial that fails for lack of descriptors, ports, buffers or a route says nothing about the executor. For attempts
// and health checks it must be distinguished from a refusal by the executor.
func TestClient_LocalErrorIsLocalFailure(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EPERM,
	} {
		client, queue := newTestClient(t, "127.0.0.1:9", 15000)
		client.dial = func(string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		client.Send(newAttempt("a"))
		assert.Equal(t, scheduler.LocalFailure, queue.Next(t).Event.Outcome, errno.Error())
		assert.True(t, client.HealthCheck(1, 7))
		assert.Equal(t, scheduler.LocalFailure, queue.Next(t).Event.Outcome, errno.Error())
	}
	for _, errno := range []syscall.Errno{
		syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	} {
		client, queue := newTestClient(t, "127.0.0.1:9", 15000)
		client.dial = func(string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		client.Send(newAttempt("a"))
		assert.Equal(t, scheduler.ConnectFailed, queue.Next(t).Event.Outcome, errno.Error())
	}
}

// Guards against replaced executors that nobody notices: a process that ends closes all its connections, also idle ones,
// and the loss of the last one is reported. Neither is the loss of one of several, nor the end of one by this client.
func TestClient_ReportsLossOfLastConnection(t *testing.T) {
	fake := newFakeExecutor(t, "127.0.0.1:0")
	client, queue := newTestClient(t, fake.listener.Addr().String(), 15000)
	connectIdle := func(ids ...string) (conns []net.Conn) {
		for _, id := range ids {
			client.Send(newAttempt(id))
			fake.expect(t, "fetch "+id+" .*")
			conns = append(conns, fake.nextConn(t))
		}
		for k, id := range ids {
			sendReply(conns[k], id, "data", "-", "")
			assert.Equal(t, scheduler.Succeeded, queue.Next(t).Event.Outcome)
		}
		return conns
	}
	expectLoss := func() {
		event := queue.Next(t).Event
		assert.Equal(t, []any{scheduler.LastConnectionLost, uint32(1)}, []any{event.Kind, event.Executor})
	}
	setAge := func(age time.Duration) {
		client.mu.Lock()
		defer client.mu.Unlock()
		for conn := range client.connections {
			conn.connectedAt = time.Now().Add(-age)
		}
	}
	conns := connectIdle("a", "b")
	setAge(lossNoticeTime)
	conns[0].Close()
	fake.expect(t, "closed")
	expectConnections(t, client, 1)
	assert.Empty(t, queue, "the other connection shows that the process lives on")
	conns[1].Close()
	fake.expect(t, "closed")
	expectLoss()

	conns = connectIdle("c", "d")
	setAge(-time.Minute) // young however long the test takes
	conns[0].Close()
	fake.expect(t, "closed")
	expectLoss() // the other one is so young that it may lead to the next process
	client.Update(true, nil)
	fake.expect(t, "closed")
	expectConnections(t, client, 0)
	assert.Empty(t, queue, "the client itself ends its connections to removed executors")
}

// expectConnections waits until the client has count connections.
func expectConnections(t *testing.T, client *Client, count int) {
	t.Helper()
	assert.Eventually(t, func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return len(client.connections) == count
	}, 3*time.Second, time.Millisecond)
}
