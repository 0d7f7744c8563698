package discovery

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/internal/dispatchtest"
	"liftshift/internal/resp"
	"liftshift/internal/testlog"
	"liftshift/scheduler"
)

// A page that ends an outage has several changes. The scheduler acted on the first ones before it knew the last: it took
// the list for current, and sent what waited to an executor that had been draining for seconds.
func TestClient_SchedulerActsOnThePageAsAWhole(t *testing.T) {
	queue := make(dispatchtest.Queue, 100)
	executors := newExecutors(queue)
	client, err := NewClient("127.0.0.1:9", []byte(emptyPage), executors, dispatch.NewClock(), 0, queue, testlog.Discard())
	require.NoError(t, err)
	settings := scheduler.DefaultSettings()
	settings.PresumedNotifiedAfterMS, settings.DrainGraceMS = 7000, 1000
	settings.Kinds = []scheduler.ExecutorKind{{Name: "std", Cores: 8, MemoryMB: 16000}}
	settings.Classes = []scheduler.RequestClass{{
		Name: "read", SoftDeadlineMS: 60000, Value: 1, LateValueShare: 0.5, Threads: 1, Kinds: []string{"std"},
	}}
	policy := scheduler.New(1, settings)
	step := func(now float64, event scheduler.Event) (sentTo []uint32) {
		for _, action := range policy.Step(now, &event, nil) {
			if action.Kind == scheduler.Send {
				sentTo = append(sentTo, action.Executor)
			}
		}
		return sentTo
	}
	apply := func(now float64, page string) (sentTo []uint32) {
		last, changes, err := parseChanges([]byte(page))
		require.NoError(t, err)
		client.apply(last, changes, scheduler.ListComplete)
		for len(queue) > 0 {
			sentTo = append(sentTo, step(now, queue.Next(t).Event)...)
		}
		return sentTo
	}
	entry := func(name, kind, status string) string {
		return `{"name":"` + name + `","address":"127.0.0.1:10` + name[2:] + `","type":"` + kind + `","status":"` + status + `"}`
	}
	apply(1000, `{"seq":1,"results":[{"seq":1,"fleet":{"snapshot":true,"endpoints":[`+entry("s-1", "std", "Ready")+`]}}]}`)
	step(2000, scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListUnavailable, Deadline: 1000})
	arrived := scheduler.Event{Kind: scheduler.RequestArrived, Request: "a", Class: "read", WorkMS: 10, Deadline: 60000}
	require.Empty(t, step(12000, arrived), "a drain that was missed may have taken effect")
	sentTo := apply(12001, `{"seq":4,"results":[{"seq":2,"fleet":{"endpoints":[`+entry("s-2", "other", "Ready")+`]}},`+
		`{"seq":3,"fleet":{"endpoints":[`+entry("s-1", "std", "Terminating")+`]}},`+
		`{"seq":4,"fleet":{"endpoints":[`+entry("s-3", "std", "Ready")+`]}}]}`)
	assert.Equal(t, []uint32{executorID("s-3")}, sentTo, "s-1 has been draining for longer than the grace")
}

// tableRecorder is an event queue that notes, as each item is put, which executor the endpoint table has by an id.
type tableRecorder struct {
	executors *resp.Client
	executor  uint32
	items     []dispatch.QueueItem
	names     []string
}

func (r *tableRecorder) Put(item dispatch.QueueItem) {
	r.items = append(r.items, item)
	r.names = append(r.names, r.executors.ConnectionState(r.executor).Name)
}

// Changes of one executor that follow one another stay apart, as the scheduler has to see each. The endpoint table has all
// of them before the scheduler has any: an attempt for the first could be written before the table had the second.
func TestClient_EndpointTablePrecedesTheScheduler(t *testing.T) {
	executors := newExecutors(make(dispatchtest.Queue, 100))
	recorder := &tableRecorder{executors: executors, executor: executorID("s-1")}
	client, err := NewClient("127.0.0.1:9", []byte(emptyPage), executors, dispatch.NewClock(), 0, recorder, testlog.Discard())
	require.NoError(t, err)
	last, changes, err := parseChanges([]byte(`{"seq":3,"results":[` +
		`{"seq":2,"fleet":{"index":2,"endpoints":[{"name":"s-1","address":"127.0.0.1:101","status":"Ready"}]}},` +
		`{"seq":3,"fleet":{"index":3,"endpoints":[{"name":"s-1","status":"Gone"}]}}]}`))
	require.NoError(t, err)
	client.apply(last, changes, scheduler.ListComplete)
	require.Len(t, recorder.items, 2)
	first, second := recorder.items[0].Event, recorder.items[1].Event
	assert.Equal(t, []uint64{2, 3}, []uint64{first.ListVersion, second.ListVersion})
	assert.Equal(t, []scheduler.Availability{scheduler.Active, scheduler.Removed},
		[]scheduler.Availability{first.Endpoints[0].Availability, second.Endpoints[0].Availability})
	assert.Equal(t, []string{"", ""}, recorder.names, "the table no longer has s-1")
}
