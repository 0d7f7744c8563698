package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// newRemoteZoneScheduler returns an instance with executor 1 of kind "big" in the near zone "here", and executors 2 of
// kind "big" and 3 of kind "odd" in the remote zone "there". Requests of the class "unsafe" need the kind "odd".
func newRemoteZoneScheduler(limits ZoneReach) *Scheduler {
	s := newTestScheduler(1, func(s *Settings) { s.Classes[2].Kinds = []string{"odd"} })
	s.Step(1000, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{
		{Executor: 2, Zone: "there", Kind: "big"},
		{Executor: 3, Zone: "there", Kind: "odd"},
	}}, nil)
	limits.Zone = "there"
	limits.Tier = 1
	s.Step(1000, &Event{Kind: ReachabilityChanged, RemoteZones: []ZoneReach{limits}}, nil)
	return s
}

// countSends has requests of a class arrive and returns the number of attempts sent to each executor, by executor ID.
func countSends(s *Scheduler, class string, requests int) (sends [4]int) {
	for k := range requests {
		for _, action := range arrive(s, 1001, class+string(rune('a'+k)), class) {
			if action.Kind == Send {
				sends[action.Executor]++
			}
		}
	}
	return sends
}

// A remote zone must get requests only where no near zone has room, no more threads than its capacity, and no requests
// whose value is too low or whose deadline is too close. For requests that need its exclusive kinds, the zone is near.
func TestScheduler_LimitsRequestsToRemoteZones(t *testing.T) {
	closed := countSends(newRemoteZoneScheduler(ZoneReach{}), "read", 24)
	assert.Greater(t, closed[1], 7, "the near zone is used as far as it has room")
	assert.Zero(t, closed[2]+closed[3], "the remote zone has no capacity")

	limited := countSends(newRemoteZoneScheduler(ZoneReach{Capacity: 3}), "read", 24)
	assert.Equal(t, closed[1], limited[1], "the near zone is used first")
	assert.Equal(t, 3, limited[2]+limited[3], "the remote zone is used up to its capacity")

	unlimited := countSends(newRemoteZoneScheduler(ZoneReach{Capacity: math.Inf(1)}), "read", 24)
	assert.Equal(t, closed[1], unlimited[1], "the near zone is used first")
	assert.Equal(t, 24-closed[1], unlimited[2]+unlimited[3], "the remote zone gets the rest")

	lowValue := countSends(newRemoteZoneScheduler(ZoneReach{Capacity: 9, MinDensity: 1}), "read", 24)
	assert.Zero(t, lowValue[2], "the requests have a value density of 0.01")
	distant := countSends(newRemoteZoneScheduler(ZoneReach{Capacity: 9, LatencyMS: 7900}), "read", 24)
	assert.Zero(t, distant[2], "the requests have 8 s until their deadline")

	shared := countSends(newRemoteZoneScheduler(ZoneReach{}), "unsafe", 3)
	assert.Zero(t, shared[3], "the kind is not exclusive to the zone")
	exclusiveKind := ZoneReach{ExclusiveKinds: []string{"odd"}}
	exclusive := countSends(newRemoteZoneScheduler(exclusiveKind), "unsafe", 3)
	assert.Equal(t, 3, exclusive[3], "the class needs the exclusive kind")
	other := countSends(newRemoteZoneScheduler(exclusiveKind), "read", 24)
	assert.Zero(t, other[3], "the class may run on near executors")
}

// A zone that a new list names has no limit yet, as that is set by who hears of the list later. Requests that waited as the
// list came went there without any limit.
func TestScheduler_ZoneOfNewListIsClosedUntilItsLimitIsKnown(t *testing.T) {
	s := newTestScheduler(1)
	s.Step(1000, &Event{Kind: ReachabilityChanged, OwnZone: "here"}, nil)
	before := countSends(s, "read", 24)
	assert.Positive(t, before[1], "the own zone has no limit")
	newZone := []Endpoint{{Executor: 2, Zone: "there", Kind: "big"}}
	actions := s.Step(1001, &Event{Kind: EndpointsUpdated, Endpoints: newZone}, nil)
	assert.NotContains(t, actionKinds(actions), Send, "the zone of the new list is closed")
	limited := &Event{Kind: ReachabilityChanged, OwnZone: "here", RemoteZones: []ZoneReach{{Zone: "there", Capacity: 3}}}
	sends := 0
	for _, action := range s.Step(1002, limited, nil) {
		if action.Kind == Send {
			sends++
		}
	}
	assert.Equal(t, 3, sends, "up to its limit, once that is known")
}

// Requests that are queued because a remote zone has no capacity left must be sent once the limit is gone.
func TestScheduler_SendsQueuedRequestsWhenZoneBecomesNear(t *testing.T) {
	s := newRemoteZoneScheduler(ZoneReach{Capacity: 1})
	countSends(s, "read", 24)
	sends := 0
	for _, action := range s.Step(1002, &Event{Kind: ReachabilityChanged}, nil) {
		if action.Kind == Send && action.Executor > 1 {
			sends++
		}
	}
	assert.Positive(t, sends, "attempts sent to the zone that became near")
}
