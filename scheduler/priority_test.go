package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_SendsNewRequestAtTopLevel(t *testing.T) {
	actions := arrive(newTestScheduler(2, nil), 1000, "a", "read")
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(actions))
	assert.Equal(t, 3, actions[0].Level)
	assert.Equal(t, 100*initialMemoryFactor, actions[0].GrantMB)
}

func TestLevelFor_DividesPrioritiesLogarithmically(t *testing.T) {
	// Priorities are 0.9^quanta * 10^4 and levels are thirds of the two decades above 100, rounded to the nearest one:
	// level 3 up to 7 quanta, level 2 up to 21, level 1 up to 36, then level 0.
	for quanta, want := range map[int]int{0: 3, 7: 3, 8: 2, 21: 2, 22: 1, 36: 1, 37: 0, 60: 0} {
		priority := max(floorPriority, topPriority*math.Pow(decayFactor, float64(quanta)))
		assert.Equal(t, want, levelFor(priority), "after %d quanta", quanta)
	}
}

func TestDecayOnsetFor_LeavesShareUndecayed(t *testing.T) {
	// 10+10+20+160 = 200, of which a quarter is 50 = 10+10+15+15.
	assert.InDelta(t, 15, decayOnsetFor([]float64{10, 10, 20, 160}), 1e-9)
	assert.Zero(t, decayOnsetFor(nil))
}

func TestScheduler_DecaysPastOnsetOnceEnoughHaveFinished(t *testing.T) {
	s := newTestScheduler(1, nil)
	arrive(s, 1000, "a", "read")
	r := &s.requests.entries[0]
	s.decayOnsetMS = 300
	r.lastAttempt().runningMS, r.elapsedQuanta, s.now = 2000, 0, 3000
	s.accountRunningTime(r, r.lastAttempt(), 0)
	assert.Equal(t, 3, r.level, "no priority may decay before enough requests have finished")
	for range onsetMinRuns {
		s.finishedRuns.add(3000, 300)
	}
	r.lastAttempt().runningMS, r.elapsedQuanta = 1200, 0
	s.accountRunningTime(r, r.lastAttempt(), 0) // 12 quanta, 9 of them past the onset
	assert.InDelta(t, topPriority*math.Pow(decayFactor, 9), r.priority, 1e-6)
	assert.Equal(t, 2, r.level)
	want := Action{Kind: SetResources, Request: "a", GrantMB: 100 * initialMemoryFactor, Level: 2}
	assert.Equal(t, want, s.actions[len(s.actions)-1])
	before := len(s.actions)
	s.accountRunningTime(r, r.lastAttempt(), 0)
	assert.Len(t, s.actions, before, "an unchanged level must not be sent again")
}

func TestScheduler_DoesNotCountQueuedTimeAsRunning(t *testing.T) {
	s := newTestScheduler(1, nil)
	arrive(s, 1000, "a", "keyed")
	s.Step(1010, &Event{Kind: ProgressReported, Request: "a", Progress: Waiting, Value: 1}, nil)
	s.Step(1030, &Event{Kind: ProgressReported, Request: "a", Progress: Progress, Value: 0}, nil)
	tickAt(s, 1050)
	assert.Zero(t, s.requests.entries[0].lastAttempt().runningMS, "unchanged progress must not count as running")
	s.Step(1060, &Event{Kind: ProgressReported, Request: "a", Progress: Progress, Value: 0.2}, nil)
	tickAt(s, 1070)
	assert.Equal(t, float64(tickMS), s.requests.entries[0].lastAttempt().runningMS)
}

func TestScheduler_KeepsEnoughRunsForDecayOnset(t *testing.T) {
	s := newTestScheduler(1, nil)
	for i := range 30 {
		s.finishedRuns.add(float64(i), 100)
	}
	s.now = 60000
	s.updateDecayOnset()
	assert.Equal(t, onsetMinRuns, s.finishedRuns.count())
	assert.InDelta(t, 25, s.decayOnsetMS, 1e-9)
}

// A request of a team over its quota starts at a lower priority and with less memory, and a running request changes
// its level when a cap is set or lifted. A request that holds its table group must not be slowed down by either, since
// it would hold the group for longer.
func TestScheduler_CapsPriority(t *testing.T) {
	s := newTestScheduler(2, func(s *Settings) {
		s.Classes[1].HoldsTableGroup = true
		s.Classes[0].BlockedByHolders = true
	})
	ev := Event{
		Kind: RequestArrived, Request: "a", Class: "read", WorkMS: 100, MemoryMB: 100, Deadline: 9000,
		PriorityCap: 500, MemoryShare: 0.5,
	}
	actions := s.Step(2000, &ev, nil)
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(actions))
	assert.Equal(t, 1, actions[0].Level)
	assert.Equal(t, 0.5*initialMemoryFactor*100, actions[0].GrantMB)
	ev = Event{
		Kind: RequestArrived, Request: "b", Class: "keyed", WorkMS: 100, Deadline: 9000, TableGroup: 5, PriorityCap: 500,
	}
	actions = s.Step(2000, &ev, nil)
	assert.Equal(t, topLevel, actions[0].Level, "a holder of its table group must start at the top level")
	arrive(s, 2000, "c", "read")
	capPriority := func(id string, priority float64) []Action {
		return s.Step(2010, &Event{Kind: PriorityCapped, Request: id, PriorityCap: priority}, nil)
	}
	assert.Equal(t, 1, capPriority("c", 500)[0].Level)
	assert.Empty(t, actionKinds(capPriority("c", 500)))
	assert.Equal(t, topLevel, capPriority("c", 0)[0].Level)
	assert.Empty(t, actionKinds(capPriority("b", 500)), "a holder of its table group must not be capped")
	endAttempt(s, 2020, "c", 0, Succeeded)
	assert.Empty(t, actionKinds(capPriority("c", 500)), "a finished request must not be capped")
	assert.Empty(t, actionKinds(capPriority("nobody", 500)))
}

// A request that is capped when its connection breaks must not run twice because of the cap: a non-idempotent request
// fails, and a keyed one is sent again only where repeats are dropped.
func TestScheduler_CapNeverRunsRequestTwice(t *testing.T) {
	for class, want := range map[string]ActionKind{"unsafe": Fail, "keyed": Send} {
		t.Run(class, func(t *testing.T) {
			s := newTestScheduler(2, nil)
			arrive(s, 2000, "a", class)
			s.Step(2010, &Event{Kind: PriorityCapped, Request: "a", PriorityCap: 500, MemoryShare: 0.7}, nil)
			actions := endAttempt(s, 2010, "a", 0, ConnectionLost)
			assert.Equal(t, want, actions[len(actions)-1].Kind)
			actions = s.Step(2011, &Event{Kind: PriorityCapped, Request: "a", PriorityCap: 0}, nil)
			assert.NotContains(t, actionKinds(actions), Send)
		})
	}
}
