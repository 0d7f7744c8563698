package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_QueuesLateRequestOnlyWithEnoughLateValueShare(t *testing.T) {
	for lateValueShare, want := range map[float64][]ActionKind{0.1: {Reject}, 0.5: nil} {
		s := newTestScheduler(0, func(s *Settings) { s.Classes[0].LateValueShare = lateValueShare })
		arrive(s, 1000, "a", "read")
		assert.Empty(t, actionKinds(tickAt(s, 1800)))
		assert.Equal(t, want, actionKinds(tickAt(s, 1950)), "late value share %v", lateValueShare)
	}
}

// An immediate request must count as an arrival for the retry budget only once it is sent, and must leave no state
// behind when it is returned.
func TestScheduler_ReturnsImmediateRequestWithoutCapacity(t *testing.T) {
	s := newTestScheduler(1, func(s *Settings) { s.Kinds[0].Cores = 1; s.RetryBudget.WindowMS = 10000 })
	arriveImmediate := func(now float64, id string, deadline float64) []Action {
		ev := Event{Kind: RequestArrived, Request: id, Class: "read", WorkMS: 100, Deadline: deadline, Immediate: true}
		return s.Step(now, &ev, nil)
	}
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(arriveImmediate(2000, "a", 9000)))
	assert.Equal(t, 1, s.arrivals.count())
	for i := range 3 {
		actions := arriveImmediate(2010+float64(i), "b", 9000)
		assert.Equal(t, []ActionKind{ReturnRequest}, actionKinds(actions))
		assert.Equal(t, "b", actions[0].Request)
	}
	assert.Equal(t, 1, s.arrivals.count())
	assert.Len(t, s.requests.byID, 1)
	endAttempt(s, 2100, "a", 0, Succeeded)
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(arriveImmediate(2200, "b", 9000)))
	actions := arriveImmediate(2300, "c", 2310)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(actions),
		"a request that can't end before its deadline must be rejected, not returned")
}

// Guards against an event loop that does nothing but go through a long queue: passes come at intervals in proportion to
// its length. A short queue, and an immediate request, do not wait.
func TestScheduler_DispatchesLongQueueAtIntervals(t *testing.T) {
	s := newTestScheduler(0, nil)
	passes := func(fromMS float64) (count int) {
		for k := range 100 {
			pass := s.dispatchedAt
			ev := Event{Kind: ClientLeft, Request: "unknown"}
			s.dispatchNeeded = true
			s.Step(fromMS+float64(k)*0.1, &ev, nil)
			if s.dispatchedAt != pass {
				count++
			}
		}
		return count
	}
	for n := range 1000 {
		arrive(s, 1000+0.1*float64(n), fmt.Sprint("a", n), "read")
	}
	assert.InDelta(t, 10, passes(1200), 1, "in 10 ms, with 1000 in the queue")
	pass := s.dispatchedAt
	ev := Event{Kind: RequestArrived, Request: "now", Class: "read", WorkMS: 100, Deadline: 9000, Immediate: true}
	assert.Equal(t, []ActionKind{ReturnRequest}, actionKinds(s.Step(1210, &ev, nil)), "last pass at %v", pass)
	s = newTestScheduler(0, nil)
	for n := range longQueueLength - 1 {
		arrive(s, 1000, fmt.Sprint("a", n), "read")
	}
	assert.Equal(t, 100, passes(1200), "a short queue")
}
