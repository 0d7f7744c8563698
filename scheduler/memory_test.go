package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_LeavesMemoryToShortRequestsPastBound(t *testing.T) {
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
	assert.InDelta(t, initialMemoryFactor+smoothing*(4*spillMemoryFactor-initialMemoryFactor), s.classes[0].memoryFactor, 1e-9)
}

// A cap changes the memory of a running request, and what counts as granted on its executor.
func TestScheduler_CapChangesGrantOfRunningRequest(t *testing.T) {
	s := newTestScheduler(1, nil)
	a := arrive(s, 2000, "a", "read")
	full := a[0].GrantMB
	a = s.Step(2010, &Event{Kind: PriorityCapped, Request: "a", PriorityCap: topPriority, MemoryShare: 0.5}, nil)
	assert.Equal(t, []ActionKind{SetResources}, actionKinds(a))
	assert.Equal(t, []float64{full / 2, full / 2}, []float64{a[0].GrantMB, s.executors[0].grantedMB})
	a = s.Step(2020, &Event{Kind: PriorityCapped, Request: "a"}, nil)
	assert.Equal(t, full, a[0].GrantMB)
	endAttempt(s, 2030, "a", 0, Succeeded)
	assert.Zero(t, s.executors[0].grantedMB)
}
