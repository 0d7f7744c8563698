package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_SendsNothingToDrainingExecutor(t *testing.T) {
	s := newTestScheduler(1, nil)
	s.Step(1000, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 1, Kind: "big", Availability: Draining}}}, nil)
	assert.Empty(t, arrive(s, 1001, "a", "read"))
	s = newTestScheduler(2, nil)
	s.Step(1000, &Event{Kind: EndpointsUpdated, List: ListComplete, Endpoints: []Endpoint{{Executor: 2, Kind: "big"}}}, nil)
	assert.Equal(t, uint32(2), arrive(s, 1001, "a", "read")[1].Executor, "what a complete list leaves out is gone")
}

// While the list is out of reach a drain counts as told after a given time: an executor gets something new only within that time
// since the list was last heard, or since it took an attempt. The next news of the list opens all.
func TestScheduler_ClosesExecutorsWhileListIsUnavailable(t *testing.T) {
	s := newTestScheduler(2, func(s *Settings) { s.NotifiedWithinMS = 7000; s.DrainGraceMS = 500 })
	s.Step(1500, &Event{Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400}, nil)
	first := arrive(s, 5000, "a", "read")
	assert.Equal(t, 1400+7000+500-float64(answerMarginMS), first[1].LatestStart)
	endAttempt(s, 5100, "a", 0, Succeeded)
	for k, at := range []float64{8870, 8890, 12470} {
		id := string(rune('b' + k))
		ev := Event{Kind: RequestArrived, Request: id, Class: "read", TableGroup: uint64(k * 10), WorkMS: 100, Deadline: 20000}
		out := s.Step(at, &ev, nil)
		assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(out))
		if at > 8875 {
			assert.Equal(t, first[1].Executor, out[1].Executor, "the one that has taken an attempt since")
		}
		s.Step(at, &Event{Kind: AttemptEnded, Request: id, Outcome: Overloaded}, nil)
		s.Step(at, &Event{Kind: ClientLeft, Request: id}, nil)
		s.executors[0].avoidUntil, s.executors[1].avoidUntil = 0, 0
	}
	ev := Event{Kind: RequestArrived, Request: "z", Class: "read", WorkMS: 100, Deadline: 20000}
	assert.Empty(t, actionKinds(s.Step(12480, &ev, nil)))
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(s.Step(12500, &Event{Kind: EndpointsUpdated, List: ListDelta}, nil)))
	s = newTestScheduler(1, func(s *Settings) { s.DrainGraceMS = 500 })
	s.Step(1500, &Event{Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400}, nil)
	assert.NotEmpty(t, arrive(s, 8900, "a", "read"), "where drains don't count as told")
}

// What a list that broke off had pending counts as known at a time of its own: then an executor that has taken no attempt since is
// closed. One that has is open until the next such time, or until drains count as told.
func TestScheduler_ClosesExecutorsOncePendingNewsCountsAsKnown(t *testing.T) {
	s := newTestScheduler(1, func(s *Settings) { s.NotifiedWithinMS = 7000; s.DrainGraceMS = 500 })
	e := &s.executors[0]
	lose := func(now, deemed float64) {
		s.Step(now, &Event{Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400, PresumedAt: deemed}, nil)
	}
	lose(1500, 3400)
	assert.Equal(t, 3400+500-float64(answerMarginMS), s.drainSafeUntil(e))
	e.acceptedAt = 3500
	assert.Equal(t, 3500+7500-float64(answerMarginMS), s.drainSafeUntil(e))
	lose(5000, 9000)
	assert.Equal(t, 9000+500-float64(answerMarginMS), s.drainSafeUntil(e))
	e.acceptedAt = 2000
	assert.Equal(t, 3400+500-float64(answerMarginMS), s.drainSafeUntil(e))
	lose(6000, 0)
	assert.Equal(t, 3400+500-float64(answerMarginMS), s.drainSafeUntil(e))
	for k := range 100 {
		lose(6000, 9100+float64(k))
	}
	assert.Len(t, s.presumedNotifiedAt, maxPresumed)
	s.Step(7000, &Event{Kind: EndpointsUpdated, List: ListDelta}, nil)
	assert.True(t, math.IsInf(s.drainSafeUntil(e), 1))
}
