package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRendezvousRank_IsSameOnAllControllersAndSpreadsEvenly(t *testing.T) {
	first, second := newTestScheduler(5, nil), New(99, testSettings())
	second.Step(0, &Event{Kind: EndpointsUpdated, List: ListComplete, Endpoints: []Endpoint{
		{Executor: 5, Kind: "big"}, {Executor: 3, Kind: "big"}, {Executor: 1, Kind: "big"},
		{Executor: 4, Kind: "big"}, {Executor: 2, Kind: "big"}}}, nil)
	firstActions, secondActions := arrive(first, 1000, "a", "read"), arrive(second, 1000, "b", "read")
	assert.Equal(t, firstActions[1].Executor, secondActions[1].Executor)
	var groupsByExecutor [8]int
	for group := range uint64(400) {
		best := uint32(1)
		for id := uint32(2); id <= 8; id++ {
			if rendezvousRank(group, id) > rendezvousRank(group, best) {
				best = id
			}
		}
		groupsByExecutor[best-1]++
	}
	for index, groups := range groupsByExecutor {
		assert.InDelta(t, 50, groups, 25, "table groups that rank executor %d first", index+1)
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
	assert.NotEqual(t, first, arrive(s, 1000, "b", "read")[1].Executor, "executor %d is past the bound", first)
	s.executors[0].threads, s.executors[1].threads = 11, 12
	assert.Equal(t, uint32(1), arrive(s, 1000, "c", "read")[1].Executor, "executor 1 has the fewest threads per core")
	s.executors[0].threads, s.executors[1].threads = 30, 30
	assert.Empty(t, arrive(s, 1000, "d", "read"))
	s.executors[1].threads = 1
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(tickAt(s, 1020)))
}

func TestScheduler_SendsNextRequestToExecutorWithoutBacklog(t *testing.T) {
	s := newSmallShareScheduler(4, nil)
	first := arrive(s, 1000, "a", "read")
	second := arrive(s, 1000, "b", "read")
	assert.NotEqual(t, first[1].Executor, second[1].Executor, "all controllers would send to the same executor")
	e := &s.executors[s.requests.entries[0].lastAttempt().executor]
	assert.Equal(t, 100.0, s.backlog(e))
	s.now += 100 / (backlogThreadsPerCore * e.cores / 200)
	assert.InDelta(t, 0, s.backlog(e), 1e-6)
}

func TestScheduler_AsksForLoadReportBeforeAttempt(t *testing.T) {
	s := newSmallShareScheduler(2, func(settings *Settings) {
		settings.ReportsByProbe = true
		settings.ReportNames = []string{"queue", "x0", "x1"}
	})
	s.lastLoadReportAt = 1000
	out := arrive(s, 1000, "a", "read")
	assert.Equal(t, []ActionKind{HealthCheck}, actionKinds(out))
	busy := Event{Kind: HealthChecked, Executor: out[0].Executor, LoadReport: []float64{3, 0.2, 0.2}}
	out = s.Step(1002, &busy, nil)
	assert.Equal(t, []ActionKind{HealthCheck}, actionKinds(out), "executor %d queues requests, so the other is asked",
		busy.Executor)
	assert.NotEqual(t, busy.Executor, out[0].Executor)
	idle := Event{Kind: HealthChecked, Executor: out[0].Executor, LoadReport: []float64{0, 0.2, 0.2}}
	out = s.Step(1004, &idle, nil)
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(out))
	assert.Equal(t, idle.Executor, out[1].Executor)
}

func TestScheduler_DoesNotAwaitMissingLoadReports(t *testing.T) {
	s := newSmallShareScheduler(2, func(settings *Settings) {
		settings.ReportsByProbe = true
		settings.ReportNames = []string{"queue"}
	})
	assert.Equal(t, []ActionKind{HealthCheck, SetResources, Send}, actionKinds(arrive(s, 5000, "a", "read")))
}

func TestScheduler_WorksWithoutControllersAndExecutors(t *testing.T) {
	s := newTestScheduler(0, func(settings *Settings) {
		settings.Controllers = 0
		settings.MayMessagePeers = true
		settings.ReportsByProbe = true
	})
	assert.Empty(t, actionKinds(arrive(s, 1000, "a", "read")))
	assert.Empty(t, actionKinds(tickAt(s, 1020)))
	assert.Equal(t, []ActionKind{Reject}, actionKinds(tickAt(s, 8990)))
}
