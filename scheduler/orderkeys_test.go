package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_RunsOrderKeyInTurnAndBlocksItAfterUnknownOutcome(t *testing.T) {
	s := newTestScheduler(3, func(s *Settings) { s.Classes[0].InOrder = true; s.OrderKeyHoldoffMS = 400 })
	arriveWithOrderKey := func(id string) []ActionKind {
		ev := Event{Kind: RequestArrived, Request: id, Class: "read", OrderKey: "k", WorkMS: 9, Deadline: 9000}
		return actionKinds(s.Step(1000, &ev, nil))
	}
	assert.Equal(t, []ActionKind{SetResources, Send}, arriveWithOrderKey("a"))
	assert.Empty(t, arriveWithOrderKey("b"))
	assert.Equal(t, []ActionKind{Cancel}, actionKinds(s.Step(1010, &Event{Kind: ClientLeft, Request: "a"}, nil)))
	actions := endAttempt(s, 1020, "a", 0, Cancelled)
	assert.Empty(t, actionKinds(actions), "the key must stay blocked while the cancelled attempt may still run")
	assert.Empty(t, actionKinds(tickAt(s, 1400)))
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(tickAt(s, 1425)))
}
