package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRendezvousRank_IsSameEverywhereAndEven(t *testing.T) {
	a, b := newTestScheduler(5, nil), New(99, testSettings())
	b.Step(0, &Event{Kind: EndpointsUpdated, List: ListComplete, Endpoints: []Endpoint{
		{Executor: 5, Kind: "big"}, {Executor: 3, Kind: "big"}, {Executor: 1, Kind: "big"},
		{Executor: 4, Kind: "big"}, {Executor: 2, Kind: "big"}}}, nil)
	x, y := arrive(a, 1000, "a", "read"), arrive(b, 1000, "b", "read")
	assert.Equal(t, x[1].Executor, y[1].Executor)
	var first [8]int
	for group := range uint64(400) {
		best := uint32(1)
		for id := uint32(2); id <= 8; id++ {
			if rendezvousRank(group, id) > rendezvousRank(group, best) {
				best = id
			}
		}
		first[best-1]++
	}
	for _, n := range first {
		assert.InDelta(t, 50, n, 25, "groups are spread evenly")
	}
}

func TestScheduler_SkipsExecutorPastBoundAndWaitsForFullOnes(t *testing.T) {
	s := newTestScheduler(2, nil)
	first := arrive(s, 1000, "a", "read")[1].Executor
	for index := range s.executors {
		if e := &s.executors[index]; e.id == first {
			e.threads = 10
		}
	}
	assert.NotEqual(t, first, arrive(s, 1000, "b", "read")[1].Executor, "past the bound")
	s.executors[0].threads, s.executors[1].threads = 11, 12
	assert.Equal(t, uint32(1), arrive(s, 1000, "c", "read")[1].Executor, "fewest threads a core")
	s.executors[0].threads, s.executors[1].threads = 30, 30
	assert.Empty(t, arrive(s, 1000, "d", "read"))
	s.executors[1].threads = 1
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(tickAt(s, 1020)))
}

func TestScheduler_BacklogMovesNextRequestOn(t *testing.T) {
	s := newSmallShareScheduler(4, nil)
	first := arrive(s, 1000, "a", "read")
	second := arrive(s, 1000, "b", "read")
	assert.NotEqual(t, first[1].Executor, second[1].Executor, "otherwise all controllers send to the same one")
	e := &s.executors[s.requests.entries[0].lastAttempt().executor]
	assert.Equal(t, 100.0, s.backlog(e))
	s.now += 100 / (backlogThreadsPerCore * e.cores / 200)
	assert.InDelta(t, 0, s.backlog(e), 1e-6)
}

func TestScheduler_AsksForLoadReportBeforeAttempt(t *testing.T) {
	s := newSmallShareScheduler(2, func(s *Settings) { s.ReportsByProbe = true; s.ReportNames = []string{"queue", "x0", "x1"} })
	s.reportedAt = 1000
	out := arrive(s, 1000, "a", "read")
	assert.Equal(t, []ActionKind{HealthCheck}, actionKinds(out))
	busy := Event{Kind: HealthChecked, Executor: out[0].Executor, LoadReport: []float64{3, 0.2, 0.2}}
	out = s.Step(1002, &busy, nil)
	assert.Equal(t, []ActionKind{HealthCheck}, actionKinds(out), "requests are queued there: another one is asked")
	assert.NotEqual(t, busy.Executor, out[0].Executor)
	room := Event{Kind: HealthChecked, Executor: out[0].Executor, LoadReport: []float64{0, 0.2, 0.2}}
	out = s.Step(1004, &room, nil)
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(out))
	assert.Equal(t, room.Executor, out[1].Executor)
}

func TestScheduler_DoesNotAwaitMissingLoadReports(t *testing.T) {
	s := newSmallShareScheduler(2, func(s *Settings) { s.ReportsByProbe = true; s.ReportNames = []string{"queue"} })
	assert.Equal(t, []ActionKind{HealthCheck, SetResources, Send}, actionKinds(arrive(s, 5000, "a", "read")))
}

func TestScheduler_WorksWithoutControllersAndExecutors(t *testing.T) {
	s := newTestScheduler(0, func(s *Settings) { s.Controllers = 0; s.MayMessagePeers = true; s.ReportsByProbe = true })
	assert.Empty(t, actionKinds(arrive(s, 1000, "a", "read")))
	assert.Empty(t, actionKinds(tickAt(s, 1020)))
	assert.Equal(t, []ActionKind{Reject}, actionKinds(tickAt(s, 8990)))
}
