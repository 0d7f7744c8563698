package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_AllocatesNothingOnOrdinaryPath(t *testing.T) {
	s := newTestScheduler(4, nil)
	actions := make([]Action, 0, 64)
	arrival := Event{Kind: RequestArrived, Request: "a", Class: "read", MemoryMB: 100, WorkMS: 100, Deadline: 9e9}
	tick := Event{Kind: TimerFired}
	answer := Event{Kind: AttemptEnded, Request: "a", Outcome: Succeeded, Final: true}
	now := 1000.0
	handleRequest := func() {
		now += 100
		actions = s.Step(now, &arrival, actions[:0])
		actions = s.Step(now+50, &tick, actions[:0])
		answer.Executor = s.executors[s.requests.entries[0].lastAttempt().executor].id
		actions = s.Step(now+90, &answer, actions[:0])
	}
	for range 500 { // until the buffers have reached their final size
		handleRequest()
	}
	assert.Zero(t, testing.AllocsPerRun(500, handleRequest), "allocations per request")
}
