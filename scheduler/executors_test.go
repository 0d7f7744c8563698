package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Executors are replaced without end and ids are always new: indexes return, but not while a request refers to one.
func TestScheduler_ReusesIndexesOfRemovedExecutors(t *testing.T) {
	s := newTestScheduler(4, nil)
	arrive(s, 1000, "a", "unsafe")
	removed := s.requests.entries[0].lastAttempt().executor
	live := []uint32{1, 2, 3, 4}
	for n := range uint32(200) {
		s.Step(2000+float64(n), &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: live[n%4], Availability: Removed},
			{Executor: 100 + n, Kind: "big"}}}, nil)
		live[n%4] = 100 + n
	}
	assert.Equal(t, 5, len(s.executors))
	assert.Equal(t, 5, len(s.ExecutorViews(2500, nil)), "the removed one still has an attempt")
	assert.Less(t, s.executors[removed].id, uint32(5), "a request in hand had its attempt there")
	arrive(s, 3000, "b", "read")
	endAttempt(s, 3100, "b", 0, Succeeded)
	endAttempt(s, 3100, "a", 0, ConnectionLost)
	s.Step(9000, &Event{Kind: ClientLeft, Request: "a"}, nil)
	s.Step(9001, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 999, Kind: "big"}}}, nil)
	assert.Equal(t, uint32(999), s.executors[removed].id)
	assert.Equal(t, 5, len(s.executors))
	assert.Empty(t, s.requests.byID)
}

// The share of an executor follows the counted controllers; the share of a warm-up budget stays that of the settings.
func TestScheduler_CountedControllersSetShare(t *testing.T) {
	s := newTestScheduler(1, func(s *Settings) { s.Controllers = 4; s.ControllerIndex = 1 })
	assert.Equal(t, 0.25, s.trafficShare)
	e, class := &s.executors[0], &s.classes[0]
	class.usualWorkMS, e.warmupUntil = 100, 1e9
	before := s.warmupShare(e)
	s.Step(1001, &Event{Kind: ControllersCounted, Value: 2}, nil)
	assert.Equal(t, 0.5, s.trafficShare)
	assert.Equal(t, before, s.warmupShare(e))
	s.Step(1002, &Event{Kind: ControllersCounted, Value: 0}, nil)
	assert.Equal(t, 0.25, s.trafficShare, "nothing is known")
}
