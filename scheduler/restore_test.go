package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A restart must keep the used retries, the estimates, and which executors are ejected, warming up or draining. Invalid
// estimates and unknown executors are ignored.
func TestScheduler_RestoresState(t *testing.T) {
	before := newTestScheduler(1, nil)
	for n := range 40 {
		arrive(before, 1000, "x", "read")
		answer := Event{Kind: AttemptEnded, Request: "x", Outcome: Succeeded, Final: true, CostMS: 150}
		before.Step(1000+float64(20*n), &answer, nil)
	}
	tickAt(before, 3000)
	estimates := before.Estimates(nil)
	restored := newTestScheduler(4, func(s *Settings) { s.RetryBudget.WindowMS = 10000; s.RetryBudget.Floor = 1 })
	restored.Step(1000, &Event{
		Kind:      StateRestored,
		Retries:   []float64{900},
		Estimates: append(estimates, Estimate{"read.slow", -1}, Estimate{"unknown", 3}),
		RestoredExecutors: []RestoredExecutor{
			{Executor: 1, Ejected: true, Ejections: 2},
			{Executor: 2, WarmupUntil: 5000},
			{Executor: 3, Draining: true},
			{Executor: 99, Ejected: true},
		},
	}, nil)
	assert.Equal(t, before.decayOnsetMS, decayOnsetFor(restored.finishedRuns.sorted()))
	assert.Equal(t, before.classes[0].actualWorkMS, restored.classes[0].actualWorkMS)
	assert.Equal(t, executorEjected, restored.executors[0].state, "state of executor 1")
	assert.Equal(t, 2, restored.executors[0].ejections, "ejections of executor 1")
	assert.Equal(t, executorWarmingUp, restored.executors[1].state, "state of executor 2")
	assert.Equal(t, Draining, restored.executors[2].availability, "availability of executor 3")
	assert.False(t, restored.retryBudgetLeft(0), "the restored retry uses up the budget")
	restored.now = 10950
	assert.True(t, restored.retryBudgetLeft(0), "the restored retry has left the window")
}
