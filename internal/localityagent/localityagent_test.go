package localityagent

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/dispatch"
	"liftshift/internal/locality"
	"liftshift/internal/testlog"
	"liftshift/scheduler"
)

// eventRecorder is a scheduling policy that keeps the events that it gets.
type eventRecorder struct{ events []scheduler.Event }

func (r *eventRecorder) Step(_ float64, event *scheduler.Event, out []scheduler.Action) []scheduler.Action {
	r.events = append(r.events, *event)
	return out
}

// Until the monitor had observed a list and set its limits, requests of a controller that had just started went to all
// zones alike.
func TestAgent_KeepsToOwnZoneFromTheFirstList(t *testing.T) {
	recorder := &eventRecorder{}
	loop := dispatch.New(dispatch.NewClock(), recorder, testlog.Discard())
	monitor := locality.New("a", "z0", "r", locality.DefaultSettings())
	New(monitor, "a", &scheduler.Settings{}, loop, nil, nil, nil, testlog.Discard()).closeOtherZones()
	loop.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.EndpointsUpdated}})
	go loop.Run()
	loop.Call(func(float64) {})
	loop.Stop()
	assert.Len(t, recorder.events, 3)
	assert.Equal(t, scheduler.ReachabilityChanged, recorder.events[1].Kind, "before the endpoint list")
	assert.Equal(t, "z0", recorder.events[1].OwnZone)
}

// The agent must keep the demand of the open requests and whether the endpoint list is available, and translate the
// scheduler's views of the listed executors. It must ignore malformed datagrams.
func TestAgent_CollectsObservations(t *testing.T) {
	settings := &scheduler.Settings{
		Kinds:   []scheduler.ExecutorKind{{Name: "big", Cores: 8}},
		Classes: []scheduler.RequestClass{{Name: "look", Threads: 4}},
	}
	a := New(locality.New("a", "z0", "r", locality.DefaultSettings()), "a", settings, nil, nil, nil, nil, testlog.Discard())
	handle := func(ev dispatch.Event) {
		assert.Empty(t, a.Handle(1, &ev, nil), "commands for event kind %d", ev.Kind)
	}
	request := &dispatch.Request{Class: "look"}
	handle(dispatch.Event{Kind: dispatch.RequestAdmitted, Request: request})
	handle(dispatch.Event{Kind: dispatch.RequestAdmitted, Request: request})
	handle(dispatch.Event{Kind: dispatch.RequestClosed, Request: request})
	assert.Equal(t, 4.0, a.collector.demandThreads, "demand of one open request")
	handle(dispatch.Event{Kind: dispatch.RequestClosed, Request: request})
	handle(dispatch.Event{Kind: dispatch.RequestClosed, Request: request})
	assert.Zero(t, a.collector.demandThreads, "the demand never falls below 0")

	handle(dispatch.Event{Kind: dispatch.ListUnavailable})
	assert.True(t, a.collector.listUnavailable, "after the list became unavailable")
	handle(dispatch.Event{Kind: dispatch.EndpointsUpdated, EndpointsUpdate: &scheduler.Event{
		List: scheduler.ListComplete,
		Endpoints: []scheduler.Endpoint{
			{Executor: 1, Zone: "z0", Kind: "big"},
			{Executor: 2, Zone: "z1", Kind: "big"},
			{Executor: 3, Zone: "z1", Kind: "odd"},
		},
	}})
	assert.False(t, a.collector.listUnavailable, "after the list was updated")

	executors := a.collector.executors([]scheduler.ExecutorView{
		{Executor: 1, InFlight: 2, Threads: 8, SinceActivityMS: 5, SinceReportMS: -1},
		{Executor: 2, Ejected: true, SinceActivityMS: -1, SinceReportMS: -1},
		{Executor: 3, SinceActivityMS: evidenceMaxAgeMS + 1, SinceReportMS: -1, Availability: scheduler.Draining},
		{Executor: 9}, // not in the endpoint list
	})
	assert.Equal(t, []locality.Executor{
		{Zone: "z0", Kind: "big", Cores: 8, Listed: true, HasEvidence: true, InFlight: 8},
		{Zone: "z1", Kind: "big", Cores: 8, Listed: true, HasEvidence: true, Ejected: true},
		{Zone: "z1", Kind: "odd", Cores: 1},
	}, executors)

	handle(dispatch.Event{Kind: dispatch.EndpointsUpdated, EndpointsUpdate: &scheduler.Event{
		List:      scheduler.ListDelta,
		Endpoints: []scheduler.Endpoint{{Executor: 2, Availability: scheduler.Removed}},
	}})
	executors = a.collector.executors([]scheduler.ExecutorView{{Executor: 1}, {Executor: 2}})
	assert.Len(t, executors, 1, "executors after the removal of executor 2")

	for _, data := range []string{"", "r", "r\xff", "r\x05ab", "?\x01a", "x\x01a"} {
		// A datagram that is not ignored would be passed to the transport, which is nil here.
		a.receiveDatagram(netip.AddrPort{}, []byte(data))
	}
}
