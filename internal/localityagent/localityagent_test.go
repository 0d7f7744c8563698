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

// What the module holds reaches the watch in the watch's own words: executors by zone with what is known of them, what searches in hand
// want in threads, and whether the list is out of reach.
func TestWhatTheModuleHolds(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := &scheduler.Settings{Kinds: []scheduler.ExecutorKind{{Name: "big", Cores: 8}}, Classes: []scheduler.RequestClass{{Name: "look", Threads: 4}}}
	s := New(locality.New("a", "z0", "r", locality.DefaultSettings()), "a", settings, nil, nil, nil, nil, log)
	hear := func(h dispatch.Event) { assert.Empty(t, s.Handle(1, &h, nil)) }
	hear(dispatch.Event{Kind: dispatch.RequestEntered, Request: &dispatch.Request{Class: "look"}})
	hear(dispatch.Event{Kind: dispatch.RequestEntered, Request: &dispatch.Request{Class: "look"}})
	hear(dispatch.Event{Kind: dispatch.RequestClosed, Request: &dispatch.Request{Class: "look"}})
	assert.Equal(t, 4.0, s.wants)
	hear(dispatch.Event{Kind: dispatch.RequestClosed, Request: &dispatch.Request{Class: "look"}})
	hear(dispatch.Event{Kind: dispatch.RequestClosed, Request: &dispatch.Request{Class: "look"}})
	assert.Zero(t, s.wants, "never below")
	hear(dispatch.Event{Kind: dispatch.ListUnavailable})
	assert.True(t, s.deaf)
	hear(dispatch.Event{Kind: dispatch.EndpointsUpdated, List: &scheduler.Event{List: scheduler.ListComplete, Endpoints: []scheduler.Endpoint{{Executor: 1, Zone: "z0", Kind: "big"},
		{Executor: 2, Zone: "z1", Kind: "big"}, {Executor: 3, Zone: "z1", Kind: "odd"}}}})
	assert.False(t, s.deaf)
	list := s.executors([]scheduler.ExecutorView{{Executor: 1, InFlight: 2, Threads: 8, SinceSignMS: 5, SinceReportMS: -1}, {Executor: 2, Ejected: true, SinceSignMS: -1, SinceReportMS: -1},
		{Executor: 3, SinceSignMS: knownMS + 1, SinceReportMS: -1, Availability: scheduler.Draining}, {Executor: 9}})
	assert.Equal(t, []locality.Executor{{Zone: "z0", Kind: "big", Cores: 8, Listed: true, Known: true, InFlight: 8},
		{Zone: "z1", Kind: "big", Cores: 8, Listed: true, Known: true, Ejected: true}, {Zone: "z1", Kind: "odd", Cores: 1}}, list)
	hear(dispatch.Event{Kind: dispatch.EndpointsUpdated, List: &scheduler.Event{List: scheduler.ListDelta, Endpoints: []scheduler.Endpoint{{Executor: 2, Availability: scheduler.Removed}}}})
	assert.Len(t, s.executors([]scheduler.ExecutorView{{Executor: 1}, {Executor: 2}}), 1)
	for _, data := range []string{"", "r", "r\xff", "r\x05ab", "?\x01a", "x\x01a"} {
		s.heard(netip.AddrPort{}, []byte(data)) // nothing of it reaches the watch, which is not there
	}
}
