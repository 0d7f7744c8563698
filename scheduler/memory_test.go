package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_AdmitsOnlyShortRequestsPastMemoryBound(t *testing.T) {
	s := newTestScheduler(1, nil)
	e := &s.executors[0]
	e.threads, e.grantedMB = 10, 0.8*e.memoryMB
	assert.Empty(t, actionKinds(arrive(s, 1000, "a", "read")))
	s.decayOnsetMS = 200
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(arrive(s, 1000, "b", "keyed"))[:2])
}

func TestScheduler_GrowsGrantsWithSpilling(t *testing.T) {
	s := newTestScheduler(1, nil)
	arrive(s, 1000, "a", "read")
	a := s.requests.entries[0].lastAttempt()
	assert.Equal(t, 100*initialMemoryFactor, a.grantMB)
	s.recordProgress(0, a, &Event{Kind: ProgressReported, Progress: Spilling, Value: 250})
	want := initialMemoryFactor + smoothingFactor*(4*spillMemoryFactor-initialMemoryFactor)
	assert.InDelta(t, want, s.classes[0].memoryFactor, 1e-9)
}

// A cap on a running request must change both the request's grant and the memory granted on its executor.
func TestScheduler_CapChangesGrantOfRunningRequest(t *testing.T) {
	s := newTestScheduler(1, nil)
	full := arrive(s, 2000, "a", "read")[0].GrantMB
	ev := Event{Kind: PriorityCapped, Request: "a", PriorityCap: topPriority, MemoryShare: 0.5}
	actions := s.Step(2010, &ev, nil)
	assert.Equal(t, []ActionKind{SetResources}, actionKinds(actions))
	assert.Equal(t, full/2, actions[0].GrantMB)
	assert.Equal(t, full/2, s.executors[0].grantedMB)
	actions = s.Step(2020, &Event{Kind: PriorityCapped, Request: "a"}, nil)
	assert.Equal(t, full, actions[0].GrantMB)
	endAttempt(s, 2030, "a", 0, Succeeded)
	assert.Zero(t, s.executors[0].grantedMB)
}
