package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against an executor table that grows with every replaced executor, and against reusing an index that a
// request still refers to.
func TestScheduler_ReusesIndexesOfRemovedExecutors(t *testing.T) {
	s := newTestScheduler(4, nil)
	arrive(s, 1000, "a", "unsafe")
	removed := s.requests.entries[0].lastAttempt().executor
	listed := []uint32{1, 2, 3, 4}
	for n := range uint32(200) {
		replacement := []Endpoint{
			{Executor: listed[n%4], Availability: Removed},
			{Executor: 100 + n, Kind: "big"},
		}
		s.Step(2000+float64(n), &Event{Kind: EndpointsUpdated, Endpoints: replacement}, nil)
		listed[n%4] = 100 + n
	}
	assert.Equal(t, 5, len(s.executors))
	assert.Equal(t, 5, len(s.ExecutorViews(2500, nil)), "the removed executor still has an attempt in flight")
	assert.Less(t, s.executors[removed].id, uint32(5), "a request in hand had its attempt on the removed executor")
	arrive(s, 3000, "b", "read")
	endAttempt(s, 3100, "b", 0, Succeeded)
	endAttempt(s, 3100, "a", 0, ConnectionLost)
	s.Step(9000, &Event{Kind: ClientLeft, Request: "a"}, nil)
	s.Step(9001, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 999, Kind: "big"}}}, nil)
	assert.Equal(t, uint32(999), s.executors[removed].id)
	assert.Equal(t, 5, len(s.executors))
	assert.Empty(t, s.requests.byID)
}

// The controller count changes the traffic share, but not the share of a warm-up budget.
func TestScheduler_ControllerCountSetsTrafficShare(t *testing.T) {
	s := newTestScheduler(1, func(settings *Settings) {
		settings.Controllers = 4
		settings.ControllerIndex = 1
	})
	assert.Equal(t, 0.25, s.trafficShare)
	e, class := &s.executors[0], &s.classes[0]
	class.meanWorkMS, e.warmupUntil = 100, 1e9
	before := s.warmupShare(e)
	s.Step(1001, &Event{Kind: ControllersCounted, Value: 2}, nil)
	assert.Equal(t, 0.5, s.trafficShare)
	assert.Equal(t, before, s.warmupShare(e))
	s.Step(1002, &Event{Kind: ControllersCounted, Value: 0}, nil)
	assert.Equal(t, 0.25, s.trafficShare, "without a count the settings decide")
}
