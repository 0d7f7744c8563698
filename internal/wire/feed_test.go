package wire

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/scheduler"
)

// changeLog is a stand-in that answers each call with the next page; an empty one closes the connection.
func changeLog(t *testing.T, pages ...string) (address string, calls chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	calls = make(chan string, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			for r := bufio.NewReader(c); ; {
				line, err := r.ReadString('\n')
				if err != nil || len(pages) == 0 {
					break
				}
				if strings.HasPrefix(line, "GET") {
					calls <- strings.TrimSpace(line)
				}
				if line == "\r\n" {
					page := pages[0]
					pages = pages[1:]
					if page == "" {
						break
					}
					if page == "silent" { // the connection stays open, and nothing comes
						continue
					}
					if page == "once" { // the log answers and closes: it is not out of reach
						fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+event(2, "s-2", "Ready"))
						break
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(page), page)
				}
			}
			c.Close()
		}
	}()
	return l.Addr().String(), calls
}

func event(seq int, name, status string) string {
	return fmt.Sprintf(`{"seq":%d,"results":[{"seq":%d,"fleet":{"endpoints":[{"name":"%s","address":"127.0.0.1:%d",`+
		`"status":"%s"}]}}]}`, seq, seq, name, 9+len(name)*100+int(name[len(name)-1]), status)
}

// Bad pages are asked for again from the last good number, and each event is applied once.
func TestTheListIsFollowedThroughFailures(t *testing.T) {
	at, calls := changeLog(t, "once", `{"seq":9,"results":[{"seq":3},{"seq":1}]}`, "",
		event(2, "s-2", "Gone"), event(3, "s-2", "Terminating"), "", "", "")
	m := make(mailbox, 100)
	fleet := NewExecutorClient(m, dispatch.NewClock(), NewByteBudget(1), ExecutorLimits{}, silentLog())
	f, err := NewDiscoveryClient(at, []byte(strings.Replace(event(1, "s-1", "Ready"), `"endpoints"`, `"snapshot":true,"endpoints"`, 1)),
		fleet, m, silentLog())
	require.NoError(t, err)
	f.Start()
	go f.Run()
	defer f.Stop()
	want := []scheduler.Event{{List: scheduler.ListRestored, Endpoints: []scheduler.Endpoint{{Executor: executorID("s-1")}}},
		{List: scheduler.ListDelta, Endpoints: []scheduler.Endpoint{{Executor: executorID("s-2")}}}, {List: scheduler.ListUnavailable},
		{List: scheduler.ListDelta, Endpoints: []scheduler.Endpoint{{Executor: executorID("s-2"), Availability: scheduler.Draining}}}}
	for _, ev := range want {
		ev.Kind = scheduler.EndpointsUpdated
		got := m.next(t).Event
		if got.List == scheduler.ListUnavailable {
			assert.InDelta(t, fleet.clock.Now(), got.Deadline, 3000, "when it was last heard")
			assert.InDelta(t, fleet.clock.Now()+brokenMS, got.PresumedAt, 1000, "a page that can't be read was to tell something")
			got.Deadline, got.PresumedAt = 0, 0
		}
		assert.Equal(t, ev, got)
	}
	for _, since := range []int{1, 2, 2, 2, 2, 3} {
		assert.Equal(t, fmt.Sprintf("GET /changes?since=%d&timeout=%d HTTP/1.1", since, pollMS), <-calls)
	}
	assert.Equal(t, uint64(1), f.Malformed.Load())
	_, err = NewDiscoveryClient(at, []byte("{}"), fleet, m, silentLog())
	assert.ErrorContains(t, err, "known")
}

// A list that is back with nothing new says so: what was unknown meanwhile is known again.
func TestAListThatIsBackUnchangedIsNews(t *testing.T) {
	at, _ := changeLog(t, `{"seq":1,"results":[]}`, "", `{"seq":1,"results":[]}`, "silent")
	m := make(mailbox, 100)
	f, err := NewDiscoveryClient(at, []byte(`{"seq":1,"results":[]}`), NewExecutorClient(m, dispatch.NewClock(), NewByteBudget(1), ExecutorLimits{}, silentLog()), m, silentLog())
	require.NoError(t, err)
	f.Start()
	go f.Run()
	defer f.Stop()
	for _, want := range []scheduler.ListKind{scheduler.ListUnavailable, scheduler.ListDelta} {
		ev := m.next(t).Event
		assert.Equal(t, []any{scheduler.EndpointsUpdated, want, 0}, []any{ev.Kind, ev.List, len(ev.Endpoints)})
	}
}

// The log moves to another address while a call is under way: it is followed at once, from the last number, also from
// an address that takes connections and never answers.
func TestTheListMovesToAnotherAddress(t *testing.T) {
	old, calls := changeLog(t, event(2, "s-2", "Ready"), "silent")
	next, moved := changeLog(t, event(3, "s-2", "Gone"), "silent")
	m := make(mailbox, 100)
	f, err := NewDiscoveryClient(old, []byte(`{"seq":1,"results":[]}`), NewExecutorClient(m, dispatch.NewClock(), NewByteBudget(1), ExecutorLimits{}, silentLog()), m,
		silentLog())
	require.NoError(t, err)
	f.Start()
	began := time.Now()
	go f.Run()
	defer f.Stop()
	m.next(t)
	<-calls
	assert.Contains(t, <-calls, "since=2")
	f.Follow(old) // again and again, the same and others
	f.Follow(next)
	assert.Contains(t, <-moved, "since=2")
	assert.Equal(t, scheduler.Removed, m.next(t).Event.Endpoints[0].Availability)
	assert.Less(t, time.Since(began), millis(pollMS))
	assert.Empty(t, m, "nothing twice, and never out of reach")
	assert.Zero(t, f.Lost.Load())
}

func TestMessagesOfControllers(t *testing.T) {
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	free, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	here := free.LocalAddr()
	free.Close()
	m := make(mailbox, 10)
	p, err := NewPeerNetwork(here.String(), []string{here.String(), other.LocalAddr().String()}, other.LocalAddr().String(), m,
		silentLog())
	require.NoError(t, err)
	go p.Run()
	defer p.Stop()
	p.SendPeer(1, []byte("one"))
	p.SendPeer(-1, []byte("all"))
	p.SendPeer(7, []byte("nobody"))
	p.SendPeer(1, make([]byte, mostDatagram+1))
	var b [300]byte
	for _, want := range []string{"one", "all"} {
		_ = other.SetReadDeadline(time.Now().Add(3 * time.Second))
		n, _, err := other.ReadFrom(b[:])
		assert.NoError(t, err)
		assert.Equal(t, want, string(b[:n]))
	}
	assert.Equal(t, uint64(2), p.Dropped.Load())
	stranger, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer stranger.Close()
	_, _ = stranger.WriteTo([]byte("x"), here)
	_, _ = other.WriteTo(make([]byte, mostDatagram+1), here)
	_, _ = other.WriteTo([]byte("hi"), here)
	it := m.next(t)
	assert.Equal(t, []any{scheduler.PeerMessage, 1, "hi"}, []any{it.Event.Kind, it.Event.FromPeer, string(it.Event.Payload)})
	assert.Equal(t, uint64(2), p.Foreign.Load())
	quiet, err := NewPeerNetwork("", nil, "", m, silentLog())
	assert.NoError(t, err)
	quiet.SendPeer(-1, []byte("x"))
	assert.Equal(t, uint64(1), quiet.Dropped.Load())
}

// What the change log has to tell counts as told in its time, heard or not: 2 s after it broke off within an answer, 2 s after the
// wait that was asked for where it fell silent, 4 s after it moved. And it is no younger than the call that brought its last answer.
func TestWhatTheListOwesCountsAsToldInItsTime(t *testing.T) {
	for name, dueMS := range map[string]float64{"cut": 2000, "silent": pollMS + 2000, "moved": 4000, "moved while out of reach": 4000} {
		var asked float64 // of the last call, or of the move
		clock := dispatch.NewClock()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		m := make(mailbox, 100)
		f, err := NewDiscoveryClient(l.Addr().String(), []byte(`{"seq":1,"results":[]}`), NewExecutorClient(m, clock, NewByteBudget(1), ExecutorLimits{}, silentLog()), m, silentLog())
		require.NoError(t, err)
		f.Start()
		go f.Run()
		c, err := l.Accept()
		require.NoError(t, err)
		r := bufio.NewReader(c)
		call := func() {
			for line := ""; line != "\r\n"; {
				line, err = r.ReadString('\n')
				require.NoError(t, err)
			}
		}
		call()
		first := clock.Now()
		time.Sleep(300 * time.Millisecond) // a slow answer, of an event
		page := event(2, "s-2", "Ready")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(page), page)
		m.next(t)
		call()
		asked = clock.Now()
		l.Close()
		switch name {
		case "cut":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n%s", event(3, "s-2", "Gone")[:40])
			c.Close()
		case "moved", "moved while out of reach":
			if name != "moved" {
				c.Close()
				assert.Zero(t, m.next(t).Event.PresumedAt, "out of reach alone")
			}
			asked = clock.Now()
			f.Follow(l.Addr().String())
		}
		ev := m.next(t).Event
		assert.Equal(t, scheduler.ListUnavailable, ev.List, name)
		assert.InDelta(t, asked+dueMS, ev.PresumedAt, 100, name)
		assert.LessOrEqual(t, ev.Deadline, first+5, "%s: by the call, not by its answer", name)
		f.Stop()
		c.Close()
	}
}

// Two names whose numbers are the same are two executors all the same: none gets what is meant for the other, and each goes alone.
func TestExecutorsWhoseNumbersCollideStayApart(t *testing.T) {
	seen, one, other := map[uint32]string{}, "", ""
	for rng := rand.New(rand.NewPCG(1, 1)); other == ""; {
		name := fmt.Sprintf("s-%016x", rng.Uint64())
		if was, ok := seen[executorID(name)]; ok {
			one, other = was, name
		}
		seen[executorID(name)] = name
	}
	m := make(mailbox, 100)
	fleet := NewExecutorClient(m, dispatch.NewClock(), NewByteBudget(1), ExecutorLimits{}, silentLog())
	f, err := NewDiscoveryClient("127.0.0.1:9", []byte(`{"seq":1,"results":[]}`), fleet, m, silentLog())
	require.NoError(t, err)
	play := func(seq int, events ...string) (list []scheduler.Endpoint) {
		text := strings.Join(events, ",")
		last, changes, err := readChanges(fmt.Appendf(nil, `{"seq":%d,"results":[{"seq":%d,"fleet":{"snapshot":%v,"endpoints":[%s]}}]}`, seq, seq, seq == 2 || seq == 5, text))
		require.NoError(t, err)
		f.apply(last, changes, scheduler.ListComplete)
		return m.next(t).Event.Endpoints
	}
	entry := func(name, kind, status string) string {
		return fmt.Sprintf(`{"name":"%s","address":"127.0.0.1:%s","type":"%s","status":"%s"}`, name, name[len(name)-3:], kind, status)
	}
	list := play(2, entry(one, "a", "Ready"), entry(other, "b", "Ready"))
	assert.NotEqual(t, list[0].Executor, list[1].Executor)
	assert.Equal(t, []string{one, other}, []string{fleet.ConnectionState(list[0].Executor).Name, fleet.ConnectionState(list[1].Executor).Name})
	gone := play(3, entry(one, "a", "Gone"))
	assert.Equal(t, list[0].Executor, gone[0].Executor)
	assert.Equal(t, []string{"", other}, []string{fleet.ConnectionState(list[0].Executor).Name, fleet.ConnectionState(list[1].Executor).Name})
	assert.Equal(t, list[1].Executor, play(4, entry(other, "b", "Terminating"))[0].Executor, "the one that stays keeps its number")
	assert.Equal(t, list[0].Executor, play(5, entry(one, "a", "Ready"))[0].Executor)
	assert.Len(t, f.names, 1, "nobody is kept that a whole list leaves out")
}

// An address, descriptor or buffer that is not to be had for a moment is no reason not to start.
func TestWhatFailsForAMomentAtTheStartIsTriedAgain(t *testing.T) {
	held, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { held.Close() })
	p, err := NewPeerNetwork(held.LocalAddr().String(), nil, "", make(mailbox, 1), silentLog())
	if assert.NoError(t, err) {
		p.Stop()
	}
}
