package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_SendsNothingToDrainingExecutor(t *testing.T) {
	s := newTestScheduler(1, nil)
	draining := []Endpoint{{Executor: 1, Kind: "big", Availability: Draining}}
	s.Step(1000, &Event{Kind: EndpointsUpdated, Endpoints: draining}, nil)
	assert.Empty(t, arrive(s, 1001, "a", "read"))
	s = newTestScheduler(2, nil)
	remaining := []Endpoint{{Executor: 2, Kind: "big"}}
	s.Step(1000, &Event{Kind: EndpointsUpdated, List: ListComplete, Endpoints: remaining}, nil)
	assert.Equal(t, uint32(2), arrive(s, 1001, "a", "read")[1].Executor, "executor 1 is missing from a complete list")
}

// While the list is unavailable, an executor gets new attempts only for a limited time after the last contact with the
// list or after it last accepted an attempt. The next list update opens all executors again.
func TestScheduler_ClosesExecutorsWhileListIsUnavailable(t *testing.T) {
	s := newTestScheduler(2, func(settings *Settings) {
		settings.PresumedNotifiedAfterMS = 7000
		settings.DrainGraceMS = 500
	})
	s.Step(1500, &Event{Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400}, nil)
	first := arrive(s, 5000, "a", "read")
	assert.Equal(t, 1400+7000+500-float64(answerMarginMS), first[1].LatestStart)
	endAttempt(s, 5100, "a", 0, Succeeded)
	for k, at := range []float64{8870, 8890, 12470} {
		id := string(rune('b' + k))
		arrival := Event{
			Kind: RequestArrived, Request: id, Class: "read", TableGroup: uint64(k * 10), WorkMS: 100, Deadline: 20000,
		}
		out := s.Step(at, &arrival, nil)
		assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(out))
		if at > 8875 {
			assert.Equal(t, first[1].Executor, out[1].Executor, "only this executor has accepted an attempt since")
		}
		s.Step(at, &Event{Kind: AttemptEnded, Request: id, Outcome: Overloaded}, nil)
		s.Step(at, &Event{Kind: ClientLeft, Request: id}, nil)
		s.executors[0].avoidUntil, s.executors[1].avoidUntil = 0, 0
	}
	arrival := Event{Kind: RequestArrived, Request: "z", Class: "read", WorkMS: 100, Deadline: 20000}
	assert.Empty(t, actionKinds(s.Step(12480, &arrival, nil)))
	out := s.Step(12500, &Event{Kind: EndpointsUpdated, List: ListDelta}, nil)
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(out))
	s = newTestScheduler(1, func(settings *Settings) { settings.DrainGraceMS = 500 })
	s.Step(1500, &Event{Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400}, nil)
	assert.NotEmpty(t, arrive(s, 8900, "a", "read"),
		"without PresumedNotifiedAfterMS, the controller isn't presumed notified of drains")
}

// An executor that was closed because this controller is presumed notified of a drain stays closed: without news from the
// list, no later time may open it again.
func TestScheduler_KeepsExecutorClosedAfterPresumedNotification(t *testing.T) {
	s := newTestScheduler(1, func(settings *Settings) {
		settings.PresumedNotifiedAfterMS = 7000
		settings.DrainGraceMS = 500
	})
	e := &s.executors[0]
	lost := Event{Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400, PresumedNotifiedAt: 3400}
	s.Step(1500, &lost, nil)
	e.acceptedAt = 3200
	closedAt := s.drainSafeUntil(e)
	assert.Equal(t, 3400+500-float64(answerMarginMS), closedAt)
	for now := closedAt; now < 12000; now += 100 {
		s.Step(now, &Event{Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400}, nil)
		assert.Less(t, s.drainSafeUntil(e), now+1, "at %v the executor is open again", now)
	}
}

// List updates that were pending when the list became unavailable have their own time from which on the controller is
// presumed notified of them. From then on, executors that have not accepted an attempt since are closed. An executor
// that has accepted one stays open until the next such time or until PresumedNotifiedAfterMS has passed.
func TestScheduler_ClosesExecutorsOncePresumedNotified(t *testing.T) {
	s := newTestScheduler(1, func(settings *Settings) {
		settings.PresumedNotifiedAfterMS = 7000
		settings.DrainGraceMS = 500
	})
	e := &s.executors[0]
	loseList := func(now, presumedNotifiedAt float64) {
		lost := Event{
			Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400, PresumedNotifiedAt: presumedNotifiedAt,
		}
		s.Step(now, &lost, nil)
	}
	loseList(1500, 3400)
	assert.Equal(t, 3400+500-float64(answerMarginMS), s.drainSafeUntil(e))
	e.acceptedAt = 3500
	assert.Equal(t, 3500+7500-float64(answerMarginMS), s.drainSafeUntil(e))
	loseList(5000, 9000)
	assert.Equal(t, 9000+500-float64(answerMarginMS), s.drainSafeUntil(e))
	e.acceptedAt = 2000
	assert.Equal(t, 3400+500-float64(answerMarginMS), s.drainSafeUntil(e))
	loseList(6000, 0)
	assert.Equal(t, 3400+500-float64(answerMarginMS), s.drainSafeUntil(e))
	for k := range 100 {
		loseList(6000, 9100+float64(k))
	}
	assert.Len(t, s.presumedNotifiedAt, maxPresumedNotifications)
	s.Step(7000, &Event{Kind: EndpointsUpdated, List: ListDelta}, nil)
	assert.True(t, math.IsInf(s.drainSafeUntil(e), 1))
}
