package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_JudgesNobodyAfterOwnStall(t *testing.T) {
	s := newTestScheduler(1, nil)
	arrive(s, 1000, "a", "read")
	arrive(s, 1000, "b", "read")
	tickAt(s, 1020)
	s.Step(3500, &Event{Kind: ProgressReported, Request: "b", Progress: Progress, Value: 0.5}, nil)
	assert.Empty(t, actionKinds(s.Step(3500, &Event{Kind: TimerFired}, nil)), "the report of a may wait to be read")
	assert.Equal(t, 2500.0, s.requests.entries[0].lastAttempt().ranMS, "it ran all the while")
	assert.Contains(t, actionKinds(tickAt(s, 3520)), Cancel)
}
