package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_ReplacesAttemptWithoutProgress(t *testing.T) {
	s := newTestScheduler(1, nil)
	arrive(s, 1000, "a", "read")
	arrive(s, 1000, "b", "read")
	s.Step(2000, &Event{Kind: ProgressReported, Request: "b", Progress: Progress, Value: 0.5}, nil)
	assert.Empty(t, actionKinds(tickAt(s, 2500)))
	s.requests.entries[0].lastAttempt().queued = true
	assert.Equal(t, []ActionKind{HealthCheck}, actionKinds(tickAt(s, 2610)), "an attempt queued there sends no reports")
	s.requests.entries[0].lastAttempt().queued = false
	assert.Equal(t, []ActionKind{Cancel}, actionKinds(tickAt(s, 2611)))
}

func TestScheduler_EjectsSilentExecutorUntilProbesAreAnswered(t *testing.T) {
	s := newTestScheduler(3, nil)
	arrive(s, 1000, "a", "read")
	index := s.requests.entries[0].lastAttempt().executor
	e := &s.executors[index]
	out := tickAt(s, 1600)
	assert.Contains(t, actionKinds(out), HealthCheck)
	probe := Event{Kind: HealthChecked, Executor: e.id, Outcome: TimedOut}
	s.Step(1850, &probe, nil)
	out = tickAt(s, 2650)
	assert.Contains(t, actionKinds(out), Cancel)
	assert.Equal(t, executorEjected, e.state)
	out = endAttempt(s, 2655, "a", 0, Cancelled)
	assert.NotEqual(t, e.id, out[1].Executor)
	probe.Outcome = Succeeded
	s.Step(3150, &probe, nil)
	assert.Equal(t, executorEjected, e.state)
	s.Step(3650, &probe, nil)
	assert.Equal(t, executorWarmingUp, e.state)
	assert.Equal(t, 13650.0, e.warmupUntil)
	assert.False(t, e.proven, "the executor gets one attempt at a time until it has done work")
}

func TestScheduler_EjectsAfterConsecutiveFailures(t *testing.T) {
	s := newTestScheduler(3, nil)
	arrive(s, 1000, "a", "read")
	index := s.requests.entries[0].lastAttempt().executor
	s.executors[index].failures = maxFailures - 2
	endAttempt(s, 1000, "a", 0, Errored)
	assert.Equal(t, executorHealthy, s.executors[index].state)
	s.executors[index].avoidUntil = 0
	arrive(s, 1000, "b", "read")
	endAttempt(s, 1000, "b", 0, Errored)
	assert.Equal(t, executorEjected, s.executors[index].state)
}

func TestScheduler_EjectsAtMostHalfOfExecutors(t *testing.T) {
	s := newTestScheduler(4, nil)
	for index := range 4 {
		s.tryEject(index)
	}
	assert.Equal(t, []executorState{executorEjected, executorEjected, executorHealthy, executorHealthy},
		[]executorState{s.executors[0].state, s.executors[1].state, s.executors[2].state, s.executors[3].state})
}

func TestScheduler_EjectsAfterOneRefusedConnectionOfSmallShare(t *testing.T) {
	s := newSmallShareScheduler(3, nil)
	arrive(s, 1000, "a", "read")
	index := s.requests.entries[0].lastAttempt().executor
	endAttempt(s, 1001, "a", 0, ConnectFailed)
	assert.Equal(t, executorEjected, s.executors[index].state)
}

func TestScheduler_KeepsExecutorWhoseAttemptsAreQueued(t *testing.T) {
	s := newTestScheduler(3, nil)
	arrive(s, 1000, "a", "read")
	e := &s.executors[s.requests.entries[0].lastAttempt().executor]
	s.setQueued(s.requests.entries[0].lastAttempt(), true)
	s.now = 8000
	s.watchExecutor(s.requests.entries[0].lastAttempt().executor)
	assert.Equal(t, executorHealthy, e.state)
	e.probeFailed = true
	s.watchExecutor(s.requests.entries[0].lastAttempt().executor)
	assert.Equal(t, executorEjected, e.state, "a failed health check still counts")
}
