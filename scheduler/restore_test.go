package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A restart keeps the retries that were used, executors that are ejected, warming up or draining, and the estimates.
func TestScheduler_RestoresState(t *testing.T) {
	before := newTestScheduler(1, nil)
	for n := range 40 {
		arrive(before, 1000, "x", "read")
		before.Step(1000+float64(20*n), &Event{Kind: AttemptEnded, Request: "x", Outcome: Succeeded, Final: true, CostMS: 150}, nil)
	}
	tickAt(before, 3000)
	estimates := before.Estimates(nil)
	s := newTestScheduler(4, func(s *Settings) { s.RetryBudget.WindowMS = 10000; s.RetryBudget.Floor = 1 })
	s.Step(1000, &Event{Kind: StateRestored, Retries: []float64{900}, Estimates: append(estimates, Estimate{"read.slow", -1}, Estimate{"odd", 3}),
		ExecutorStates: []ExecutorState{{Executor: 1, Ejected: true, Ejections: 2}, {Executor: 2, WarmupUntil: 5000}, {Executor: 3, Draining: true},
			{Executor: 99, Ejected: true}}}, nil)
	assert.Equal(t, before.decayOnsetMS, decayOnsetFor(s.finishedRuns.sorted()))
	assert.Equal(t, before.classes[0].actualWorkMS, s.classes[0].actualWorkMS)
	assert.Equal(t, []any{executorEjected, 2, executorWarmingUp, Draining}, []any{s.executors[0].state, s.executors[0].ejections, s.executors[1].state,
		s.executors[2].availability})
	assert.False(t, s.retryBudgetLeft(0))
	s.now = 10950
	assert.True(t, s.retryBudgetLeft(0))
}
