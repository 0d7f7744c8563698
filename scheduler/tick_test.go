package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// After a stall of its own, a controller must not abandon attempts whose progress reports may be waiting to be read.
func TestScheduler_IgnoresMissingProgressAfterOwnStall(t *testing.T) {
	s := newTestScheduler(1, nil)
	arrive(s, 1000, "a", "read")
	arrive(s, 1000, "b", "read")
	tickAt(s, 1020)
	s.Step(3500, &Event{Kind: ProgressReported, Request: "b", Progress: Progress, Value: 0.5}, nil)
	lateTick := s.Step(3500, &Event{Kind: TimerFired}, nil)
	assert.Empty(t, actionKinds(lateTick), "the progress report of request a may be waiting to be read")
	assert.Equal(t, 2500.0, s.requests.entries[0].lastAttempt().runningMS, "running time of request a, the stall included")
	assert.Contains(t, actionKinds(tickAt(s, 3520)), Cancel, "the progress report of request a is missing")
}
