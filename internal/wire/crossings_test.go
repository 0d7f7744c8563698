package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/scheduler"
)

// lateFleet has one executor whose connections come up only once the test lets them.
func lateFleet(t *testing.T) (*ExecutorClient, mailbox, *executor, chan struct{}) {
	e := standIn(t, "127.0.0.1:0")
	f, m := fleetOf(t, e.listener.Addr().String(), 15000)
	up := make(chan struct{}, 10)
	f.dial = func(network, address string) (net.Conn, error) {
		<-up
		return net.Dial(network, address)
	}
	return f, m, e, up
}

// What happens between the decision and the socket is seen at the last step: nothing leaves, and it is told as never sent.
func TestAnAttemptThatMayNotBeginAnyMoreNeverLeaves(t *testing.T) {
	for name, cross := range map[string]func(*ExecutorClient, *dispatch.Attempt){
		"its client has gone": func(_ *ExecutorClient, s *dispatch.Attempt) { s.Request.ClientGone.Store(true) },
		"its executor drains": func(f *ExecutorClient, _ *dispatch.Attempt) {
			f.update(false, []listed{{scheduler.Endpoint{Executor: 1, Availability: scheduler.Draining}, "s-1", f.machines[1].address}})
		},
		"its executor is gone": func(f *ExecutorClient, _ *dispatch.Attempt) { f.update(true, nil) },
		"a new executor has the address": func(f *ExecutorClient, _ *dispatch.Attempt) {
			f.update(false, []listed{{scheduler.Endpoint{Executor: 2}, "s-2", f.machines[1].address}})
		},
		"its time is over": func(*ExecutorClient, *dispatch.Attempt) { time.Sleep(60 * time.Millisecond) },
	} {
		f, m, e, up := lateFleet(t)
		shot := shotOf("a")
		shot.Request.ClientGone = &atomic.Bool{}
		if name == "its time is over" {
			shot.LatestStart = f.clock.Now() + 50
		}
		run, _ := f.Send(shot)
		require.NotNil(t, run)
		cross(f, &shot)
		up <- struct{}{}
		it := m.next(t)
		assert.Equal(t, []any{scheduler.AttemptEnded, scheduler.NeverSent, false}, []any{it.Event.Kind, it.Event.Outcome, it.Event.Blocked}, name)
		assert.True(t, it.Event.Outcome.NeverRan())
		assert.Equal(t, dispatch.AlreadyEnded, run.Cancel(), name)
		f.Stop()
		e.hears(t, "closed") // and nothing before it
		assert.Empty(t, m, name)
	}
}

// A second copy of an end, some ms later, must not pass for the end of the next attempt of the same request.
func TestAnEndToldTwiceEndsNoOtherAttempt(t *testing.T) {
	for _, word := range []string{"full", "failed", "moot"} {
		e := standIn(t, "127.0.0.1:0")
		f, m := fleetOf(t, e.listener.Addr().String(), 15000)
		f.Send(shotOf("a"))
		e.hears(t, "fetch a .*")
		first := e.conn(t)
		say(first, "a", word, "-", "")
		m.next(t)
		shot := shotOf("a")
		shot.Number = 1
		f.Send(shot)
		e.hears(t, "fetch a .*")
		second := e.conn(t) // not over the first
		say(first, "a", word, "-", "")
		say(first, "a", word, "-", "")
		assert.Eventually(t, func() bool { return f.Strays.Load() == 2 }, 3*time.Second, time.Millisecond)
		say(second, "a", "data", "-", "x\ty\tz\n")
		it := m.next(t)
		assert.Equal(t, []any{scheduler.Succeeded, 1}, []any{it.Event.Outcome, it.Event.Attempt}, word)
		assert.Empty(t, m)
	}
}

// An executor that reads nothing: what waits behind the bytes it doesn't take never left, and is told so.
func TestWhatWaitsBehindAStuckWriteNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	f, m := fleetOf(t, l.Addr().String(), 15000)
	f.links, f.connect = 1, time.Minute
	big := shotOf("big")
	big.Request.Body = bytes.Repeat([]byte("x"), 32<<20) // more than the system holds for both sides
	f.Send(big)
	c, err := l.Accept()
	require.NoError(t, err)
	defer c.Close()
	link := f.machines[1].links[0]
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return link.up && !link.written() && link.open["big"].left
	}, 3*time.Second, time.Millisecond)
	second, _ := f.Send(shotOf("b"))
	assert.Equal(t, dispatch.CancelledUnsent, second.Cancel())
	third, _ := f.Send(shotOf("c"))
	require.NotNil(t, third)
	c.Close()
	ends := map[string]scheduler.Outcome{}
	for range 2 {
		it := m.next(t)
		ends[it.Event.Request] = it.Event.Outcome
	}
	assert.Equal(t, map[string]scheduler.Outcome{"big": scheduler.ConnectionLost, "c": scheduler.ConnectFailed}, ends)
}

// A client that reads nothing is still heard: what it gives up is given up at once, though its answers are stuck.
func TestAClientThatReadsNothingIsHeard(t *testing.T) {
	_, m, c, _ := door(t, ServerLimits{})
	ask(c, look(1, "a"))
	first := m.next(t).Request
	ask(c, look(2, "b"))
	second := m.next(t).Request
	pipe := first.Client.(*client)
	pipe.patient = time.Minute // nothing but the word itself may end it
	first.Client.Succeeded(first.Tag, make([]byte, 24<<20))
	require.Eventually(t, func() bool { return !pipe.written() }, 3*time.Second, time.Millisecond)
	time.Sleep(2 * writeTurn) // into the stuck write
	ask(c, `{"jsonrpc":"2.0","method":"giveUp","params":{"req":"b"}}`)
	it := m.next(t)
	assert.Equal(t, []any{scheduler.ClientLeft, "b"}, []any{it.Event.Kind, it.Event.Request})
	assert.True(t, second.Abandoned())
	assert.False(t, pipe.written(), "it was stuck throughout")
}

// fullQueue takes nothing until it is let.
type fullQueue struct {
	mailbox
	room chan struct{}
}

func (q fullQueue) Put(it dispatch.QueueItem) { <-q.room; q.mailbox.Put(it) }

// All that is open on a connection that ends is marked at once, however long the words of it stand in line.
func TestTheMarkOfAClientThatLeftWaitsForNoQueue(t *testing.T) {
	f, m, c, _ := door(t, ServerLimits{})
	f.queue = fullQueue{m, make(chan struct{})}
	var open []*dispatch.Request
	for id := range 3 {
		ask(c, look(id+1, fmt.Sprint("a", id)))
		open = append(open, m.next(t).Request)
	}
	c.Close()
	assert.Eventually(t, func() bool { return open[0].Abandoned() && open[1].Abandoned() && open[2].Abandoned() }, 3*time.Second,
		time.Millisecond)
	assert.Empty(t, m)
	close(f.queue.(fullQueue).room)
}

// At a planned stop the last answers come whole, also to who has sent something that is not read any more; what comes on an open
// connection is refused, and a resting one ends without a reset.
func TestLeavingLosesNoAnswer(t *testing.T) {
	f, m, c, r := door(t, ServerLimits{})
	rest, rr := dial(t, f)
	ask(rest, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
	answered(t, rr, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
	ask(c, look(1, "a"))
	s := m.next(t).Request
	f.Drain()
	assert.False(t, f.Done())
	_, err := rr.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	ask(c, look(2, "b"))
	got, err := readMessage(r, nil)
	require.NoError(t, err)
	assert.Contains(t, string(got), `"id":2,"error":{"code":-32008,"message":"this connection takes no more"`)
	body := bytes.Repeat([]byte("x\ty\tz\n"), 7000)
	s.Client.Succeeded(s.Tag, body)
	ask(c, look(3, "c")) // crosses the end
	fmt.Fprint(c, "Content-Length: 60000\r\n\r\n")
	got, err = readMessage(r, nil)
	for err == nil && !strings.HasPrefix(string(got), `{"jsonrpc":"2.0","id":1,`) {
		got, err = readMessage(r, nil)
	}
	require.NoError(t, err, "no reset took it along")
	assert.Greater(t, len(got), len(body))
	for err == nil {
		_, err = readMessage(r, nil)
	}
	assert.ErrorIs(t, err, io.EOF)
	assert.Empty(t, m)
	f.Stop(time.Second)
	assert.True(t, f.Done())
	_, err = net.Dial("tcp", f.listener.Addr().String())
	assert.Error(t, err)
}

// A request is no longer open only once its answer stands in the output: who stops looks at both and must not find neither.
func TestAnAnswerIsAlwaysSeenByWhoStops(t *testing.T) {
	f, m, c, r := door(t, ServerLimits{})
	for n := range 200 {
		ask(c, look(n+1, fmt.Sprint("a", n)))
		s := m.next(t).Request
		require.False(t, f.Done())
		go s.Client.Rejected(s.Tag, 5)
		for !f.Done() {
		}
		_, err := readMessage(r, nil)
		require.NoError(t, err)
	}
}

// A deadline that passed while the process stood still tells nothing: what came meanwhile is read before the connection
// counts as idle.
func TestWhatCameDuringAStallIsReadBeforeTheClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	there, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer there.Close()
	here, err := l.Accept()
	require.NoError(t, err)
	defer here.Close()
	idle := errors.New("idle")
	p := &pipe{conn: here, budget: NewByteBudget(1), until: func() time.Time { return past }, quiet: func() error { return idle }}
	_, _ = there.Write([]byte("x"))
	var b [1]byte
	require.Eventually(t, func() bool { n, _ := p.Read(b[:]); return n == 1 }, 3*time.Second, time.Millisecond)
	_, err = p.Read(b[:])
	assert.ErrorIs(t, err, idle)
}

// A new executor at an address shows that the one listed there is gone, whatever the list still says of it.
func TestANewExecutorAtAnAddressDisplacesTheOldOne(t *testing.T) {
	f, _ := fleetOf(t, "127.0.0.1:9", 15000)
	old := listed{scheduler.Endpoint{Executor: 1}, "s-1", "127.0.0.1:9"}
	next := listed{scheduler.Endpoint{Executor: 2, StartedAt: 5}, "s-2", "127.0.0.1:9"}
	gone := old
	gone.entry.Availability = scheduler.Removed
	assert.Equal(t, []listed{gone}, f.update(false, []listed{next}))
	assert.Empty(t, f.update(false, []listed{next}), "told once")
	assert.Empty(t, f.update(true, []listed{next, {scheduler.Endpoint{Executor: 3}, "s-3", "127.0.0.1:10"}}))
	leaving := next
	leaving.entry.Availability, leaving.entry.Executor, leaving.name = scheduler.Draining, 4, "s-4"
	assert.Empty(t, f.update(false, []listed{leaving}), "one that drains displaces nobody")
	assert.Contains(t, f.machines, uint32(2))
}

// A controller that is restarted may find its address still held by the one before it.
func TestTheAddressMayBeFreeOnlyALittleLater(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { l.Close() })
	m := make(mailbox, 1)
	f, err := NewClientServer(l.Addr().String(), nil, m, dispatch.NewClock(), ServerLimits{AnswerBudget: NewByteBudget(1), BodyBudget: NewByteBudget(1)}, silentLog())
	require.NoError(t, err)
	f.Stop(0)
}

// Idle connections to some executors must not keep others from having their first: that is no fault of theirs.
func TestAnIdleConnectionGivesWayToAFirstOne(t *testing.T) {
	e, other := standIn(t, "127.0.0.1:0"), standIn(t, "127.0.0.1:0")
	f, m := fleetOf(t, e.listener.Addr().String(), 15000)
	f.update(false, []listed{{scheduler.Endpoint{Executor: 2}, "s-2", other.listener.Addr().String()}})
	for range f.links {
		f.Send(shotOf(fmt.Sprint("a", len(f.all))))
		e.hears(t, "fetch .*")
	}
	shot := shotOf("b")
	shot.Executor = 2
	run, _ := f.Send(shot)
	assert.Nil(t, run, "none is idle")
	for k := range f.links {
		say(e.conn(t), fmt.Sprint("a", k), "data", "-", "")
		m.next(t)
	}
	run, _ = f.Send(shot)
	assert.NotNil(t, run)
	other.hears(t, "fetch b .*")
	e.hears(t, "closed")
	f.Stop()
	run, _ = f.Send(shotOf("c"))
	assert.Nil(t, run, "nothing begins after the end")
}

// A request that is read in the moment in which its resting connection is ended gets a refusal before the end, whether it had
// been read by then or still stood in the system's buffer.
func TestARequestThatMeetsTheEndOfItsConnectionIsRefused(t *testing.T) {
	for name, unread := range map[string]bool{"read": false, "not yet read": true} {
		f, m, c, r := door(t, ServerLimits{})
		ask(c, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
		answered(t, r, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
		f.mu.Lock()
		var here *client
		for one := range f.clients {
			here = one
		}
		f.mu.Unlock()
		here.lock.Lock() // its goroutine stops at its next look at what is open
		if unread {
			here.rouse()
		}
		ask(c, look(2, "a"))
		time.Sleep(30 * time.Millisecond) // it stands there now, with the request or before it
		here.left = true
		here.end(false)
		here.lock.Unlock()
		got, err := readMessage(r, nil)
		if assert.NoError(t, err, name) {
			assert.Contains(t, string(got), `"id":2,"error":{"code":-32008`, name)
			_, err = r.ReadByte()
			assert.ErrorIs(t, err, io.EOF, name)
		}
		assert.Empty(t, m, name)
	}
}

// What fails on this side says nothing of an executor: no descriptor, port, buffer or route for a moment. It proves that nothing
// ran, and it is told apart from an executor's refusal, for attempts and probes, as is having no room for one more connection.
func TestWhatFailsHereIsNoRefusalOfTheExecutor(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EPERM} {
		f, m := fleetOf(t, "127.0.0.1:9", 15000)
		f.dial = func(string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		f.Send(shotOf("a"))
		assert.Equal(t, scheduler.LocalFailure, m.next(t).Event.Outcome, errno.Error())
		assert.True(t, f.HealthCheck(1, 7))
		assert.Equal(t, scheduler.LocalFailure, m.next(t).Event.Outcome, errno.Error())
	}
	for _, errno := range []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
		f, m := fleetOf(t, "127.0.0.1:9", 15000)
		f.dial = func(string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		f.Send(shotOf("a"))
		assert.Equal(t, scheduler.ConnectFailed, m.next(t).Event.Outcome, errno.Error())
	}
}

// One client that reads nothing fills what may line up for all. The answers of others go out all the same, however many come at a
// time: trouble with one client frees no other's request of its answer.
func TestAClientThatReadsNothingCostsNoOtherItsAnswers(t *testing.T) {
	f, m, c, _ := door(t, ServerLimits{})
	ask(c, look(1, "stuck"))
	stuck := m.next(t).Request
	good, r := dial(t, f)
	var open []*dispatch.Request
	for id := range 8 {
		ask(good, look(id+1, fmt.Sprint("g", id)))
		open = append(open, m.next(t).Request)
	}
	stuck.Client.Succeeded(stuck.Tag, make([]byte, 24<<20)) // far more than the budget of all, and than the system holds
	pipe := stuck.Client.(*client)
	require.Eventually(t, func() bool { return !pipe.written() }, 3*time.Second, time.Millisecond)
	here := open[0].Client.(*client)
	here.lock.Lock() // its goroutine stops, so that all answers line up
	here.rouse()
	time.Sleep(30 * time.Millisecond)
	page := bytes.Repeat([]byte("x\ty\tz\n"), 5000)
	for _, s := range open {
		here.push(func(b []byte) []byte { return appendResult(b, []byte(fmt.Sprint(s.Tag)), page) })
	}
	here.lock.Unlock()
	for id := range open {
		got, err := readMessage(r, nil)
		if !assert.NoError(t, err, "answer %d", id) {
			break
		}
		assert.Contains(t, string(got[:40]), fmt.Sprintf(`"id":%d,"result"`, id+1))
	}
}

// faultyListener fails some accepts, each in one of the ways that Linux documents.
type faultyListener struct {
	net.Listener
	errors chan error
}

func (l faultyListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errors:
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	default:
		return l.Listener.Accept()
	}
}

// An accept that fails for a moment costs no idle client its connection, unless it is for want of descriptors.
func TestAnAcceptThatFailsForAMomentEndsNoIdleClient(t *testing.T) {
	for errno, gone := range map[syscall.Errno]bool{syscall.ECONNABORTED: false, syscall.EINTR: false, syscall.EPROTO: false, syscall.ENOBUFS: false,
		syscall.ENOMEM: false, syscall.ENETDOWN: false, syscall.EHOSTUNREACH: false, syscall.EMFILE: true, syscall.ENFILE: true} {
		m, errs := make(mailbox, 10), make(chan error, 10)
		f, err := NewClientServer("127.0.0.1:0", map[string]ClassLimits{"look": {}}, m, dispatch.NewClock(),
			ServerLimits{Clients: 5, AnswerBudget: NewByteBudget(1 << 20), BodyBudget: NewByteBudget(1 << 20)}, silentLog())
		require.NoError(t, err)
		f.listener = faultyListener{f.listener, errs}
		go f.Run()
		t.Cleanup(func() { f.Stop(0) })
		idle, r := dial(t, f)
		ask(idle, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
		answered(t, r, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
		errs <- errno
		for range 2 { // the accept under way, and the one behind the failure
			next, rr := dial(t, f)
			ask(next, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
			answered(t, rr, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
		}
		assert.Equal(t, gone, f.Evicted.Load() > 0, errno.Error())
	}
}

// flaky is a connection whose calls fail for a moment, each a few times.
type flaky struct {
	net.Conn
	reads, writes atomic.Int32 // failures left
	errno         syscall.Errno
}

func (f *flaky) Read(b []byte) (int, error) {
	if f.reads.Add(-1) >= 0 {
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", f.errno)}
	}
	return f.Conn.Read(b)
}

func (f *flaky) Write(b []byte) (int, error) {
	if f.writes.Add(-1) >= 0 {
		return 1, &net.OpError{Op: "write", Err: os.NewSyscallError("write", f.errno)} // a short one
	}
	return f.Conn.Write(b)
}

// A call that fails for a moment ends no connection: what came is read, and what is written goes out whole and once.
func TestACallThatFailsForAMomentEndsNoConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR} {
		here, there := net.Pipe()
		f := &flaky{Conn: here, errno: errno}
		f.reads.Store(3)
		f.writes.Store(3)
		p := &pipe{conn: f, budget: NewByteBudget(1 << 20), patient: time.Second, most: 1 << 20,
			until: func() time.Time { return time.Now().Add(time.Second) }, quiet: func() error { return errClosed }}
		p.push(func(b []byte) []byte { return append(b, "what is written"...) })
		got := make(chan string, 1)
		go func() {
			b := make([]byte, len("what is written")-3) // of which the failing writes took three
			_, _ = io.ReadFull(there, b)
			got <- string(b)
			_, _ = there.Write([]byte("x"))
		}()
		var b [1]byte
		n, err := p.Read(b[:])
		require.NoError(t, err, errno.Error())
		assert.Equal(t, []any{1, "t is written"}, []any{n, <-got}, errno.Error())
		here.Close()
	}
}
