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
	"liftshift/internal/dispatchtest"
	"liftshift/internal/netconn"
	"liftshift/internal/resp"
	"liftshift/internal/testlog"
	"liftshift/scheduler"
)

// emptyPage is a page of the change log without events.
const emptyPage = `{"seq":1,"results":[]}`

// newFakeDiscovery starts a server that answers each poll with the next page. Three values of a page are special: ""
// closes the connection, "silent" sends no response, and "once" sends a page and then closes the connection.
func newFakeDiscovery(t *testing.T, pages ...string) (address string, polls chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	polls = make(chan string, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			for reader := bufio.NewReader(conn); ; {
				line, err := reader.ReadString('\n')
				if err != nil || len(pages) == 0 {
					break
				}
				if strings.HasPrefix(line, "GET") {
					polls <- strings.TrimSpace(line)
				}
				if line == "\r\n" {
					page := pages[0]
					pages = pages[1:]
					if page == "" {
						break
					}
					if page == "silent" {
						continue
					}
					if page == "once" {
						fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+endpointEvent(2, "s-2", "Ready"))
						break
					}
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(page), page)
				}
			}
			conn.Close()
		}
	}()
	return listener.Addr().String(), polls
}

// newExecutors returns an empty endpoint table.
func newExecutors(queue dispatchtest.Queue) *resp.Client {
	return resp.NewClient(queue, dispatch.NewClock(), netconn.NewByteBudget(1), resp.Limits{}, testlog.Discard())
}

// endpointEvent returns a page with one event, which is about one executor.
func endpointEvent(seq int, name, status string) string {
	return fmt.Sprintf(`{"seq":%d,"results":[{"seq":%d,"fleet":{"endpoints":[{"name":"%s","address":"127.0.0.1:%d",`+
		`"status":"%s"}]}}]}`, seq, seq, name, 9+len(name)*100+int(name[len(name)-1]), status)
}

// Bad pages are requested again from the last good event on, and each event is applied once.
func TestClient_FollowsListThroughFailures(t *testing.T) {
	address, polls := newFakeDiscovery(t, "once", `{"seq":9,"results":[{"seq":3},{"seq":1}]}`, "",
		endpointEvent(2, "s-2", "Gone"), endpointEvent(3, "s-2", "Terminating"), "", "", "")
	queue := make(dispatchtest.Queue, 100)
	executors := newExecutors(queue)
	known := strings.Replace(endpointEvent(1, "s-1", "Ready"), `"endpoints"`, `"snapshot":true,"endpoints"`, 1)
	client, err := NewClient(address, []byte(known), executors, dispatch.NewClock(), 0, queue, testlog.Discard())
	require.NoError(t, err)
	client.Start()
	go client.Run()
	defer client.Stop()
	want := []scheduler.Event{
		{List: scheduler.ListRestored, Endpoints: []scheduler.Endpoint{{Executor: executorID("s-1")}}},
		{List: scheduler.ListDelta, Endpoints: []scheduler.Endpoint{{Executor: executorID("s-2")}}},
		{List: scheduler.ListUnavailable},
		{List: scheduler.ListDelta, Endpoints: []scheduler.Endpoint{
			{Executor: executorID("s-2"), Availability: scheduler.Draining},
		}},
	}
	for _, event := range want {
		event.Kind = scheduler.EndpointsUpdated
		got := queue.Next(t).Event
		if got.List == scheduler.ListUnavailable {
			now := dispatch.NewClock().Now()
			assert.InDelta(t, now, got.Deadline, 3000, "time of the last contact with the list")
			assert.InDelta(t, now+presumedNotifiedAfterFailureMS, got.PresumedNotifiedAt, 1000,
				"a malformed page counts as a missed notification")
			got.Deadline, got.PresumedNotifiedAt = 0, 0
		}
		assert.Equal(t, event, got)
	}
	for _, since := range []int{1, 2, 2, 2, 2, 3} {
		assert.Equal(t, fmt.Sprintf("GET /changes?since=%d&timeout=%d HTTP/1.1", since, pollTimeoutMS), <-polls)
	}
	assert.Equal(t, uint64(1), client.MalformedResponses.Load(), "malformed responses")
	_, err = NewClient(address, []byte("{}"), executors, dispatch.NewClock(), 0, queue, testlog.Discard())
	assert.ErrorContains(t, err, "known")
}

// A list that is available again is reported even if it has not changed, because the scheduler treats the list as
// unavailable until then.
func TestClient_ReportsUnchangedListAfterOutage(t *testing.T) {
	address, _ := newFakeDiscovery(t, emptyPage, "", emptyPage, "silent")
	queue := make(dispatchtest.Queue, 100)
	client, err := NewClient(address, []byte(emptyPage), newExecutors(queue), dispatch.NewClock(), 0, queue, testlog.Discard())
	require.NoError(t, err)
	client.Start()
	go client.Run()
	defer client.Stop()
	for _, want := range []scheduler.ListKind{scheduler.ListUnavailable, scheduler.ListDelta} {
		event := queue.Next(t).Event
		got := []any{event.Kind, event.List, len(event.Endpoints)}
		assert.Equal(t, []any{scheduler.EndpointsUpdated, want, 0}, got)
	}
}

// If the address changes during a poll, the client polls the new address at once and from the last event on, even if
// the old address holds the connection open without a response.
func TestClient_FollowsChangeOfAddress(t *testing.T) {
	oldAddress, oldPolls := newFakeDiscovery(t, endpointEvent(2, "s-2", "Ready"), "silent")
	newAddress, newPolls := newFakeDiscovery(t, endpointEvent(3, "s-2", "Gone"), "silent")
	queue := make(dispatchtest.Queue, 100)
	executors := newExecutors(queue)
	client, err := NewClient(oldAddress, []byte(emptyPage), executors, dispatch.NewClock(), 0, queue, testlog.Discard())
	require.NoError(t, err)
	client.Start()
	startedAt := time.Now()
	go client.Run()
	defer client.Stop()
	queue.Next(t)
	<-oldPolls
	assert.Contains(t, <-oldPolls, "since=2")
	client.SetAddress(oldAddress) // the same address first, then another one
	client.SetAddress(newAddress)
	assert.Contains(t, <-newPolls, "since=2")
	assert.Equal(t, scheduler.Removed, queue.Next(t).Event.Endpoints[0].Availability)
	assert.Less(t, time.Since(startedAt), netconn.Millis(pollTimeoutMS))
	assert.Empty(t, queue, "no event is applied twice, and the list is never reported as unavailable")
	assert.Zero(t, client.FailedPolls.Load(), "failed polls")
}

// The controller counts as notified of missed changes 2 s after a response that breaks off, 2 s after the end of a poll
// without a response, and 4 s after a change of the address. The time of the last contact with the list is the start of
// the last successful poll, not its end.
func TestClient_PresumesMissedChangesNotifiedInTime(t *testing.T) {
	for name, dueMS := range map[string]float64{
		"cut":                     2000,
		"silent":                  pollTimeoutMS + 2000,
		"moved":                   4000,
		"moved while unavailable": 4000,
	} {
		var missedSince float64 // start of the last poll, or time of the address change
		clock := dispatch.NewClock()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		queue := make(dispatchtest.Queue, 100)
		executors := resp.NewClient(queue, clock, netconn.NewByteBudget(1), resp.Limits{}, testlog.Discard())
		client, err := NewClient(listener.Addr().String(), []byte(emptyPage), executors, clock, 0, queue, testlog.Discard())
		require.NoError(t, err)
		client.Start()
		go client.Run()
		conn, err := listener.Accept()
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		readPoll := func() {
			for line := ""; line != "\r\n"; {
				line, err = reader.ReadString('\n')
				require.NoError(t, err)
			}
		}
		readPoll()
		firstPollAt := clock.Now()
		time.Sleep(300 * time.Millisecond) // delays the response
		page := endpointEvent(2, "s-2", "Ready")
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(page), page)
		queue.Next(t)
		readPoll()
		missedSince = clock.Now()
		listener.Close()
		switch name {
		case "cut":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n%s", endpointEvent(3, "s-2", "Gone")[:40])
			conn.Close()
		case "moved", "moved while unavailable":
			if name != "moved" {
				conn.Close()
				assert.Zero(t, queue.Next(t).Event.PresumedNotifiedAt, "a lost connection alone shows no missed change")
			}
			missedSince = clock.Now()
			client.SetAddress(listener.Addr().String())
		}
		event := queue.Next(t).Event
		assert.Equal(t, scheduler.ListUnavailable, event.List, name)
		assert.InDelta(t, missedSince+dueMS, event.PresumedNotifiedAt, 100, name)
		assert.LessOrEqual(t, event.Deadline, firstPollAt+5, "%s: last contact is the start of the poll, not its end", name)
		client.Stop()
		conn.Close()
	}
}

// Two executors whose names have the same checksum get different ids: each is reached and removed separately.
func TestClient_CollidingIDsStayApart(t *testing.T) {
	namesByChecksum, first, second := map[uint32]string{}, "", ""
	for rng := rand.New(rand.NewPCG(1, 1)); second == ""; {
		name := fmt.Sprintf("s-%016x", rng.Uint64())
		if earlier, ok := namesByChecksum[executorID(name)]; ok {
			first, second = earlier, name
		}
		namesByChecksum[executorID(name)] = name
	}
	queue := make(dispatchtest.Queue, 100)
	executors := newExecutors(queue)
	client, err := NewClient("127.0.0.1:9", []byte(emptyPage), executors, dispatch.NewClock(), 0, queue, testlog.Discard())
	require.NoError(t, err)
	applyEvent := func(seq int, entries ...string) (list []scheduler.Endpoint) {
		text := fmt.Appendf(nil, `{"seq":%d,"results":[{"seq":%d,"fleet":{"snapshot":%v,"endpoints":[%s]}}]}`,
			seq, seq, seq == 2 || seq == 5, strings.Join(entries, ","))
		last, changes, err := parseChanges(text)
		require.NoError(t, err)
		client.apply(last, changes, scheduler.ListComplete)
		return queue.Next(t).Event.Endpoints
	}
	entry := func(name, kind, status string) string {
		return fmt.Sprintf(`{"name":"%s","address":"127.0.0.1:%s","type":"%s","status":"%s"}`,
			name, name[len(name)-3:], kind, status)
	}
	connectionNames := func(list []scheduler.Endpoint) []string {
		return []string{executors.ConnectionState(list[0].Executor).Name, executors.ConnectionState(list[1].Executor).Name}
	}
	list := applyEvent(2, entry(first, "a", "Ready"), entry(second, "b", "Ready"))
	assert.NotEqual(t, list[0].Executor, list[1].Executor)
	assert.Equal(t, []string{first, second}, connectionNames(list))
	gone := applyEvent(3, entry(first, "a", "Gone"))
	assert.Equal(t, list[0].Executor, gone[0].Executor)
	assert.Equal(t, []string{"", second}, connectionNames(list))
	draining := applyEvent(4, entry(second, "b", "Terminating"))
	assert.Equal(t, list[1].Executor, draining[0].Executor, "the remaining executor keeps its id")
	assert.Equal(t, list[0].Executor, applyEvent(5, entry(first, "a", "Ready"))[0].Executor)
	assert.Len(t, client.namesByID, 1, "a complete list drops the ids of the executors that it does not contain")
}
