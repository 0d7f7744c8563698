package localityagent

import (
	"io"
	"net/netip"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"liftshift/internal/dispatch"
	"liftshift/internal/locality"
	"liftshift/scheduler"
)

// The agent keeps the demand of open requests and whether the endpoint list is available, and translates the scheduler's executors.
// Malformed datagrams are ignored.
func TestAgent_CollectsObservations(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := &scheduler.Settings{Kinds: []scheduler.ExecutorKind{{Name: "big", Cores: 8}}, Classes: []scheduler.RequestClass{{Name: "look", Threads: 4}}}
	a := New(locality.New("a", "z0", "r", locality.DefaultSettings()), "a", settings, nil, nil, nil, nil, log)
	handle := func(ev dispatch.Event) { assert.Empty(t, a.Handle(1, &ev, nil)) }
	handle(dispatch.Event{Kind: dispatch.RequestAdmitted, Request: &dispatch.Request{Class: "look"}})
	handle(dispatch.Event{Kind: dispatch.RequestAdmitted, Request: &dispatch.Request{Class: "look"}})
	handle(dispatch.Event{Kind: dispatch.RequestClosed, Request: &dispatch.Request{Class: "look"}})
	assert.Equal(t, 4.0, a.collector.demandThreads)
	handle(dispatch.Event{Kind: dispatch.RequestClosed, Request: &dispatch.Request{Class: "look"}})
	handle(dispatch.Event{Kind: dispatch.RequestClosed, Request: &dispatch.Request{Class: "look"}})
	assert.Zero(t, a.collector.demandThreads, "never below 0")
	handle(dispatch.Event{Kind: dispatch.ListUnavailable})
	assert.True(t, a.collector.listUnavailable)
	handle(dispatch.Event{Kind: dispatch.EndpointsUpdated, EndpointsUpdate: &scheduler.Event{List: scheduler.ListComplete, Endpoints: []scheduler.Endpoint{{Executor: 1, Zone: "z0", Kind: "big"},
		{Executor: 2, Zone: "z1", Kind: "big"}, {Executor: 3, Zone: "z1", Kind: "odd"}}}})
	assert.False(t, a.collector.listUnavailable)
	list := a.collector.executors([]scheduler.ExecutorView{{Executor: 1, InFlight: 2, Threads: 8, SinceActivityMS: 5, SinceReportMS: -1}, {Executor: 2, Ejected: true, SinceActivityMS: -1, SinceReportMS: -1},
		{Executor: 3, SinceActivityMS: evidenceMS + 1, SinceReportMS: -1, Availability: scheduler.Draining}, {Executor: 9}})
	assert.Equal(t, []locality.Executor{{Zone: "z0", Kind: "big", Cores: 8, Listed: true, Known: true, InFlight: 8},
		{Zone: "z1", Kind: "big", Cores: 8, Listed: true, Known: true, Ejected: true}, {Zone: "z1", Kind: "odd", Cores: 1}}, list)
	handle(dispatch.Event{Kind: dispatch.EndpointsUpdated, EndpointsUpdate: &scheduler.Event{List: scheduler.ListDelta, Endpoints: []scheduler.Endpoint{{Executor: 2, Availability: scheduler.Removed}}}})
	assert.Len(t, a.collector.executors([]scheduler.ExecutorView{{Executor: 1}, {Executor: 2}}), 1)
	for _, data := range []string{"", "r", "r\xff", "r\x05ab", "?\x01a", "x\x01a"} {
		a.receiveDatagram(netip.AddrPort{}, []byte(data)) // none of them reaches the transport, which is nil here
	}
}
