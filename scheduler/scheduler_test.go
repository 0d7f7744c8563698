package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_AllocatesNothingOnOrdinaryPath(t *testing.T) {
	s, out := newTestScheduler(4, nil), make([]Action, 0, 64)
	taken := Event{Kind: RequestArrived, Request: "a", Class: "read", MemoryMB: 100, WorkMS: 100, Deadline: 9e9}
	done := Event{Kind: AttemptEnded, Request: "a", Outcome: Succeeded, Final: true}
	rang, now := Event{Kind: TimerFired}, 1000.0
	round := func() {
		now += 100
		out = s.Step(now, &taken, out[:0])
		out = s.Step(now+50, &rang, out[:0])
		done.Executor = s.executors[s.requests.entries[0].lastAttempt().executor].id
		out = s.Step(now+90, &done, out[:0])
	}
	for range 500 {
		round()
	}
	assert.Zero(t, testing.AllocsPerRun(500, round))
}
