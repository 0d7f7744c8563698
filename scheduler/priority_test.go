package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_SendsNewRequestAtTopLevel(t *testing.T) {
	out := arrive(newTestScheduler(2, nil), 1000, "a", "read")
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(out))
	assert.Equal(t, 3, out[0].Level)
	assert.Equal(t, 100*initialMemoryFactor, out[0].GrantMB)
}

func TestLevelFor_DividesPrioritiesLogarithmically(t *testing.T) {
	// 0.9^n * 10^4 over 100, in thirds of two decades: 3 up to n = 7, 2 up to 21, 1 up to 36, then 0.
	for n, want := range map[int]int{0: 3, 7: 3, 8: 2, 21: 2, 22: 1, 36: 1, 37: 0, 60: 0} {
		assert.Equal(t, want, levelFor(max(floorPriority, topPriority*math.Pow(decayFactor, float64(n)))), "after %d quanta", n)
	}
}

func TestDecayOnsetFor_LeavesShareUndecayed(t *testing.T) {
	// 10+10+20+160 = 200; a quarter is 50: 10+10+15+15.
	assert.InDelta(t, 15, decayOnsetFor([]float64{10, 10, 20, 160}), 1e-9)
	assert.Zero(t, decayOnsetFor(nil))
}

func TestScheduler_DecaysPastOnsetOnceEnoughHaveFinished(t *testing.T) {
	s := newTestScheduler(1, nil)
	arrive(s, 1000, "a", "read")
	r := &s.requests.entries[0]
	s.decayOnsetMS = 300
	r.lastAttempt().ranMS, r.quanta, s.now = 2000, 0, 3000
	s.advanceRun(r, r.lastAttempt(), 0)
	assert.Equal(t, 3, r.level, "nothing has finished")
	for range onsetMinRuns {
		s.finishedRuns.add(3000, 300)
	}
	r.lastAttempt().ranMS, r.quanta = 1200, 0
	s.advanceRun(r, r.lastAttempt(), 0) // 12 quanta, of which 9 past the onset
	assert.InDelta(t, topPriority*math.Pow(decayFactor, 9), r.priority, 1e-6)
	assert.Equal(t, 2, r.level)
	assert.Equal(t, Action{Kind: SetResources, Request: "a", GrantMB: 100 * initialMemoryFactor, Level: 2}, s.actions[len(s.actions)-1])
	before := len(s.actions)
	s.advanceRun(r, r.lastAttempt(), 0)
	assert.Len(t, s.actions, before, "the level is set only where it changes")
}

func TestScheduler_DoesNotCountQueuedTimeAsRunning(t *testing.T) {
	s := newTestScheduler(1, nil)
	arrive(s, 1000, "a", "keyed")
	s.Step(1010, &Event{Kind: ProgressReported, Request: "a", Progress: Waiting, Value: 1}, nil)
	s.Step(1030, &Event{Kind: ProgressReported, Request: "a", Progress: Progress, Value: 0}, nil)
	tickAt(s, 1050)
	assert.Zero(t, s.requests.entries[0].lastAttempt().ranMS, "a share that does not grow is no sign of running")
	s.Step(1060, &Event{Kind: ProgressReported, Request: "a", Progress: Progress, Value: 0.2}, nil)
	tickAt(s, 1070)
	assert.Equal(t, float64(tickMS), s.requests.entries[0].lastAttempt().ranMS)
}

func TestScheduler_ReachesBackForOnsetRuns(t *testing.T) {
	s := newTestScheduler(1, nil)
	for k := range 30 {
		s.finishedRuns.add(float64(k), 100)
	}
	s.now = 60000
	s.updateDecayOnset()
	assert.Equal(t, onsetMinRuns, s.finishedRuns.count())
	assert.InDelta(t, 25, s.decayOnsetMS, 1e-9)
}

// A request of a team over its budget starts lower and gets less memory. A cap changes the level of what runs, and so does its
// end. A request that holds its table group starts at the top and is never capped: it would hold the group for longer.
func TestScheduler_CapsPriority(t *testing.T) {
	s := newTestScheduler(2, func(s *Settings) { s.Classes[1].HoldsTableGroup = true; s.Classes[0].BlockedByHolders = true })
	a := s.Step(2000, &Event{Kind: RequestArrived, Request: "a", Class: "read", WorkMS: 100, MemoryMB: 100, Deadline: 9000, PriorityCap: 500, MemoryShare: 0.5}, nil)
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(a))
	assert.Equal(t, 1, a[0].Level)
	assert.Equal(t, 0.5*initialMemoryFactor*100, a[0].GrantMB)
	a = s.Step(2000, &Event{Kind: RequestArrived, Request: "b", Class: "keyed", WorkMS: 100, Deadline: 9000, TableGroup: 5, PriorityCap: 500}, nil)
	assert.Equal(t, topLevel, a[0].Level, "it holds its group")
	arrive(s, 2000, "c", "read")
	limit := func(id string, priority float64) []Action {
		return s.Step(2010, &Event{Kind: PriorityCapped, Request: id, PriorityCap: priority}, nil)
	}
	assert.Equal(t, 1, limit("c", 500)[0].Level)
	assert.Empty(t, actionKinds(limit("c", 500)))
	assert.Equal(t, topLevel, limit("c", 0)[0].Level)
	assert.Empty(t, actionKinds(limit("b", 500)), "it holds its group")
	endAttempt(s, 2020, "c", 0, Succeeded)
	assert.Empty(t, actionKinds(limit("c", 500)), "it has its answer")
	assert.Empty(t, actionKinds(limit("nobody", 500)))
}

// A request that is capped when its connection breaks is sent no second time for that: a non-idempotent one fails, a keyed one
// goes only where repeats are dropped.
func TestScheduler_CapNeverRunsRequestTwice(t *testing.T) {
	for class, want := range map[string]ActionKind{"unsafe": Fail, "keyed": Send} {
		t.Run(class, func(t *testing.T) {
			s := newTestScheduler(2, nil)
			arrive(s, 2000, "a", class)
			s.Step(2010, &Event{Kind: PriorityCapped, Request: "a", PriorityCap: 500, MemoryShare: 0.7}, nil)
			a := endAttempt(s, 2010, "a", 0, ConnectionLost)
			assert.Equal(t, want, a[len(a)-1].Kind)
			a = s.Step(2011, &Event{Kind: PriorityCapped, Request: "a", PriorityCap: 0}, nil)
			assert.NotContains(t, actionKinds(a), Send)
		})
	}
}
