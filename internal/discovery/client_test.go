package discovery

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
	"liftshift/internal/netconn"
	"liftshift/internal/resp"
	"liftshift/scheduler"
)

// newFakeDiscovery starts a server that answers each call with the next page; an empty one closes the connection.
func newFakeDiscovery(t *testing.T, pages ...string) (address string, calls chan string) {
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
					if page == "once" { // the log answers and closes: it is not unavailable
						fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+endpointEvent(2, "s-2", "Ready"))
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

func endpointEvent(seq int, name, status string) string {
	return fmt.Sprintf(`{"seq":%d,"results":[{"seq":%d,"fleet":{"endpoints":[{"name":"%s","address":"127.0.0.1:%d",`+
		`"status":"%s"}]}}]}`, seq, seq, name, 9+len(name)*100+int(name[len(name)-1]), status)
}

// Bad pages are requested again from the last good event, and each event is applied once.
func TestClient_FollowsListThroughFailures(t *testing.T) {
	at, calls := newFakeDiscovery(t, "once", `{"seq":9,"results":[{"seq":3},{"seq":1}]}`, "",
		endpointEvent(2, "s-2", "Gone"), endpointEvent(3, "s-2", "Terminating"), "", "", "")
	queue := make(fakeQueue, 100)
	fleet := resp.NewClient(queue, dispatch.NewClock(), netconn.NewByteBudget(1), resp.Limits{}, discardLog())
	client, err := NewClient(at, []byte(strings.Replace(endpointEvent(1, "s-1", "Ready"), `"endpoints"`, `"snapshot":true,"endpoints"`, 1)),
		fleet, dispatch.NewClock(), 0, queue, discardLog())
	require.NoError(t, err)
	client.Start()
	go client.Run()
	defer client.Stop()
	want := []scheduler.Event{{List: scheduler.ListRestored, Endpoints: []scheduler.Endpoint{{Executor: executorID("s-1")}}},
		{List: scheduler.ListDelta, Endpoints: []scheduler.Endpoint{{Executor: executorID("s-2")}}}, {List: scheduler.ListUnavailable},
		{List: scheduler.ListDelta, Endpoints: []scheduler.Endpoint{{Executor: executorID("s-2"), Availability: scheduler.Draining}}}}
	for _, ev := range want {
		ev.Kind = scheduler.EndpointsUpdated
		got := queue.next(t).Event
		if got.List == scheduler.ListUnavailable {
			assert.InDelta(t, dispatch.NewClock().Now(), got.Deadline, 3000, "when it was last heard")
			assert.InDelta(t, dispatch.NewClock().Now()+presumedAfterBreakMS, got.PresumedNotifiedAt, 1000, "a page that can't be read was to tell something")
			got.Deadline, got.PresumedNotifiedAt = 0, 0
		}
		assert.Equal(t, ev, got)
	}
	for _, since := range []int{1, 2, 2, 2, 2, 3} {
		assert.Equal(t, fmt.Sprintf("GET /changes?since=%d&timeout=%d HTTP/1.1", since, pollTimeoutMS), <-calls)
	}
	assert.Equal(t, uint64(1), client.Malformed.Load())
	_, err = NewClient(at, []byte("{}"), fleet, dispatch.NewClock(), 0, queue, discardLog())
	assert.ErrorContains(t, err, "known")
}

// A list that is available again without a change is reported: what was unknown meanwhile is known again.
func TestClient_ReportsUnchangedListAfterOutage(t *testing.T) {
	at, _ := newFakeDiscovery(t, `{"seq":1,"results":[]}`, "", `{"seq":1,"results":[]}`, "silent")
	queue := make(fakeQueue, 100)
	client, err := NewClient(at, []byte(`{"seq":1,"results":[]}`), resp.NewClient(queue, dispatch.NewClock(), netconn.NewByteBudget(1), resp.Limits{}, discardLog()), dispatch.NewClock(), 0, queue, discardLog())
	require.NoError(t, err)
	client.Start()
	go client.Run()
	defer client.Stop()
	for _, want := range []scheduler.ListKind{scheduler.ListUnavailable, scheduler.ListDelta} {
		ev := queue.next(t).Event
		assert.Equal(t, []any{scheduler.EndpointsUpdated, want, 0}, []any{ev.Kind, ev.List, len(ev.Endpoints)})
	}
}

// The log moves to another address while a call is under way: it is followed at once, from the last number, also from
// an address that takes connections and never answers.
func TestClient_FollowsChangeOfAddress(t *testing.T) {
	old, calls := newFakeDiscovery(t, endpointEvent(2, "s-2", "Ready"), "silent")
	next, moved := newFakeDiscovery(t, endpointEvent(3, "s-2", "Gone"), "silent")
	queue := make(fakeQueue, 100)
	client, err := NewClient(old, []byte(`{"seq":1,"results":[]}`), resp.NewClient(queue, dispatch.NewClock(), netconn.NewByteBudget(1), resp.Limits{}, discardLog()), dispatch.NewClock(), 0, queue,
		discardLog())
	require.NoError(t, err)
	client.Start()
	began := time.Now()
	go client.Run()
	defer client.Stop()
	queue.next(t)
	<-calls
	assert.Contains(t, <-calls, "since=2")
	client.Follow(old) // again and again, the same and others
	client.Follow(next)
	assert.Contains(t, <-moved, "since=2")
	assert.Equal(t, scheduler.Removed, queue.next(t).Event.Endpoints[0].Availability)
	assert.Less(t, time.Since(began), netconn.Millis(pollTimeoutMS))
	assert.Empty(t, queue, "nothing twice, and never out of reach")
	assert.Zero(t, client.Lost.Load())
}

// What the log owes counts as known after 2 s where it broke off within an answer, 2 s after the end of the poll where it fell silent,
// and 4 s after its address changed. And the list is no younger than the call that brought its last answer.
func TestClient_PresumesOwedChangesInTime(t *testing.T) {
	for name, dueMS := range map[string]float64{"cut": 2000, "silent": pollTimeoutMS + 2000, "moved": 4000, "moved while out of reach": 4000} {
		var asked float64 // of the last call, or of the move
		clock := dispatch.NewClock()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		queue := make(fakeQueue, 100)
		client, err := NewClient(l.Addr().String(), []byte(`{"seq":1,"results":[]}`), resp.NewClient(queue, clock, netconn.NewByteBudget(1), resp.Limits{}, discardLog()), clock, 0, queue, discardLog())
		require.NoError(t, err)
		client.Start()
		go client.Run()
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
		page := endpointEvent(2, "s-2", "Ready")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(page), page)
		queue.next(t)
		call()
		asked = clock.Now()
		l.Close()
		switch name {
		case "cut":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n%s", endpointEvent(3, "s-2", "Gone")[:40])
			c.Close()
		case "moved", "moved while out of reach":
			if name != "moved" {
				c.Close()
				assert.Zero(t, queue.next(t).Event.PresumedNotifiedAt, "out of reach alone")
			}
			asked = clock.Now()
			client.Follow(l.Addr().String())
		}
		ev := queue.next(t).Event
		assert.Equal(t, scheduler.ListUnavailable, ev.List, name)
		assert.InDelta(t, asked+dueMS, ev.PresumedNotifiedAt, 100, name)
		assert.LessOrEqual(t, ev.Deadline, first+5, "%s: by the call, not by its answer", name)
		client.Stop()
		c.Close()
	}
}

// Two names with the same id are two executors all the same: none gets what is meant for the other, and each is removed alone.
func TestClient_CollidingIDsStayApart(t *testing.T) {
	seen, one, other := map[uint32]string{}, "", ""
	for rng := rand.New(rand.NewPCG(1, 1)); other == ""; {
		name := fmt.Sprintf("s-%016x", rng.Uint64())
		if was, ok := seen[executorID(name)]; ok {
			one, other = was, name
		}
		seen[executorID(name)] = name
	}
	queue := make(fakeQueue, 100)
	fleet := resp.NewClient(queue, dispatch.NewClock(), netconn.NewByteBudget(1), resp.Limits{}, discardLog())
	client, err := NewClient("127.0.0.1:9", []byte(`{"seq":1,"results":[]}`), fleet, dispatch.NewClock(), 0, queue, discardLog())
	require.NoError(t, err)
	play := func(seq int, events ...string) (list []scheduler.Endpoint) {
		text := strings.Join(events, ",")
		last, changes, err := parseChanges(fmt.Appendf(nil, `{"seq":%d,"results":[{"seq":%d,"fleet":{"snapshot":%v,"endpoints":[%s]}}]}`, seq, seq, seq == 2 || seq == 5, text))
		require.NoError(t, err)
		client.apply(last, changes, scheduler.ListComplete)
		return queue.next(t).Event.Endpoints
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
	assert.Len(t, client.namesByID, 1, "nobody is kept that a whole list leaves out")
}
