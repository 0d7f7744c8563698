package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_ReplacesAttemptWithBadPlan(t *testing.T) {
	s := newTestScheduler(2, nil)
	arrive(s, 1000, "a", "read")
	s.requests.entries[0].lastAttempt().runningMS = 1000
	actions := s.Step(2000, &Event{Kind: ProgressReported, Request: "a", Progress: Progress, Value: 0.05}, nil)
	assert.Equal(t, []ActionKind{Cancel}, actionKinds(actions))
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(endAttempt(s, 2010, "a", 0, Cancelled)))
}

func TestScheduler_MovesAttemptBlockedByGroupHolder(t *testing.T) {
	s := newTestScheduler(2, func(s *Settings) { s.Classes[0].BlockedByHolders = true })
	firstExecutor := arrive(s, 1000, "a", "read")[1].Executor
	actions := s.Step(1005, &Event{Kind: ProgressReported, Request: "a", Progress: Waiting, Value: 2}, nil)
	assert.Equal(t, []ActionKind{Cancel}, actionKinds(actions))
	actions = endAttempt(s, 1010, "a", 0, Cancelled)
	assert.NotEqual(t, firstExecutor, actions[1].Executor)
}
