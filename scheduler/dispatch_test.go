package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_KeepsLateRequestOnlyForItsLateShare(t *testing.T) {
	for late, want := range map[float64][]ActionKind{0.1: {Reject}, 0.5: nil} {
		s := newTestScheduler(0, func(s *Settings) { s.Classes[0].LateShare = late })
		arrive(s, 1000, "a", "read")
		assert.Empty(t, actionKinds(tickAt(s, 1800)))
		assert.Equal(t, want, actionKinds(tickAt(s, 1950)))
	}
}

// An immediate request counts for the retry budget only once it is sent, and leaves nothing behind when it is given back.
func TestScheduler_ReturnsImmediateRequestWithoutRoom(t *testing.T) {
	s := newTestScheduler(1, func(s *Settings) { s.Kinds[0].Cores = 1; s.RetryBudget.WindowMS = 10000 })
	now := func(at float64, id string) []Action {
		return s.Step(at, &Event{Kind: RequestArrived, Request: id, Class: "read", WorkMS: 100, Deadline: 9000, Immediate: true}, nil)
	}
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(now(2000, "a")))
	assert.Equal(t, 1, s.arrivals.count())
	for n := range 3 {
		a := now(2010+float64(n), "b")
		assert.Equal(t, []ActionKind{ReturnRequest}, actionKinds(a))
		assert.Equal(t, "b", a[0].Request)
	}
	assert.Equal(t, 1, s.arrivals.count())
	assert.Len(t, s.requests.byID, 1)
	endAttempt(s, 2100, "a", 0, Succeeded)
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(now(2200, "b")))
	assert.Equal(t, []ActionKind{Reject}, actionKinds(s.Step(2300, &Event{Kind: RequestArrived, Request: "c", Class: "read", WorkMS: 100, Deadline: 2310,
		Immediate: true}, nil)), "what can't be done in time is rejected, not given back")
}
