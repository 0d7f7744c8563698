package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_KeepsToRetryBudget(t *testing.T) {
	more := func(s *Settings) { s.RetryBudget.WindowMS = 10000; s.RetryBudget.Floor = 1; s.RetryBudget.Share = 0.1 }
	s := newTestScheduler(3, more)
	arrive(s, 1000, "a", "read")
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(endAttempt(s, 1010, "a", 0, Overloaded)), "the floor")
	assert.Equal(t, []ActionKind{Reject}, actionKinds(endAttempt(s, 1020, "a", 1, Overloaded)), "the client may retry")
	for range 9 {
		s.arrivals.add(1030, 1)
	}
	assert.True(t, s.retryBudgetLeft(0), "a tenth of ten")
	s.now = 11025
	assert.False(t, s.retryBudgetLeft(0), "the first arrived too long ago")
	s = newTestScheduler(1, func(s *Settings) { s.RetryBudget.WindowMS = 10000; s.RetryBudget.Floor = 1; s.ConnectTimeoutMS = 250 })
	s.retries.add(1000, 1)
	s.now = 11200
	assert.True(t, s.retryBudgetLeft(0), "one more where connections come up late")
	s.retries.add(1000, 1)
	assert.False(t, s.retryBudgetLeft(0), "both may have begun late")
}

func TestScheduler_GivesUpAfterMaxAttempts(t *testing.T) {
	s := newTestScheduler(3, func(s *Settings) { s.MaxAttempts = 2 })
	arrive(s, 1000, "a", "read")
	endAttempt(s, 1010, "a", 0, Overloaded)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(endAttempt(s, 1020, "a", 1, Overloaded)), "given up at once")
}

// A request that no executor can run must not use up the retry budget, nor go round all executors.
func TestScheduler_GivesUpAfterTwoErrors(t *testing.T) {
	s := newTestScheduler(4, nil)
	arrive(s, 1000, "a", "read")
	assert.Contains(t, actionKinds(endAttempt(s, 1100, "a", 0, Errored)), Send)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(endAttempt(s, 1200, "a", 1, Errored)), "the client hears so at once")
	arrive(s, 1300, "b", "unsafe")
	assert.Equal(t, []ActionKind{Fail}, actionKinds(endAttempt(s, 1400, "b", 0, Errored)))
	arrive(s, 1500, "c", "read") // a lost connection is no error of the request
	endAttempt(s, 1600, "c", 0, ConnectionLost)
	assert.Contains(t, actionKinds(endAttempt(s, 1700, "c", 1, ConnectionLost)), Send)
}

// An attempt that was cancelled without another to follow might still have succeeded.
func TestScheduler_KeepsAttemptWithoutBudgetForAnother(t *testing.T) {
	s := newTestScheduler(2, func(s *Settings) {
		s.RetryBudget.WindowMS = 10000
		s.RetryBudget.Floor = 1
		s.Classes[0].BlockedByHolders = true
	})
	for _, id := range []string{"a", "b"} {
		arrive(s, 1000, id, "read")
	}
	for k := range s.executors { // nobody else has room, so that the first waits for its next attempt
		s.executors[k].threads += 100
	}
	behind := func(id string) []ActionKind {
		return actionKinds(s.Step(1100, &Event{Kind: ProgressReported, Request: id, Progress: Waiting, Value: 2}, nil))
	}
	assert.Contains(t, behind("a"), Cancel)
	assert.Equal(t, 1, s.awaitingRetry())
	assert.NotContains(t, behind("b"), Cancel)
}

// An attempt that never left because of a failure on this side judges no executor and uses up no retry budget. It is made again
// after a while, also for a non-idempotent request, since nothing ran.
func TestScheduler_LocalFailureJudgesNoExecutor(t *testing.T) {
	for _, class := range []string{"read", "unsafe"} {
		t.Run(class, func(t *testing.T) {
			s := newTestScheduler(4, func(s *Settings) {
				s.Controllers = 300
				s.RetryBudget.WindowMS = 10000
				s.RetryBudget.Floor = 0
				s.MaxAttempts = 2
			})
			arrive(s, 1000, "a", class)
			for n := range 4 { // all executors, one after the other
				at := 1000 + 500*float64(n)
				assert.NotContains(t, actionKinds(endAttempt(s, at, "a", n, LocalFailure)), Send, "not in the same moment")
				assert.Contains(t, actionKinds(tickAt(s, at+450)), Send, class)
			}
			for index := range s.executors {
				assert.Equal(t, executorHealthy, s.executors[index].state)
				assert.Zero(t, s.executors[index].failures)
			}
			assert.Zero(t, s.retries.count())
			assert.Contains(t, actionKinds(endAttempt(s, 3000, "a", 4, ConnectFailed)), map[string]ActionKind{"read": Reject, "unsafe": Reject}[class],
				"the next one would be beyond the first")
		})
	}
}

func TestScheduler_LocalFailureOfHealthCheckJudgesNoExecutor(t *testing.T) {
	s := newTestScheduler(2, nil)
	arrive(s, 1000, "a", "read")
	s.executors[0].probing = true
	s.Step(1010, &Event{Kind: HealthChecked, Executor: 1, Outcome: LocalFailure}, nil)
	assert.Equal(t, []any{false, false, 0.0}, []any{s.executors[0].probing, s.executors[0].probeFailed, s.executors[0].avoidUntil})
}
