package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAFreshRequestIsSentAtTheTopLevel(t *testing.T) {
	out := take(gateway(2, nil), 1000, "a", "read")
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(out))
	assert.Equal(t, 3, out[0].Level)
	assert.Equal(t, 100*initialMemoryFactor, out[0].GrantMB)
}

func TestLevelsByHand(t *testing.T) {
	// 0.9^n * 10^4 over 100, in thirds of two decades: 3 up to n = 7, 2 up to 21, 1 up to 36, then 0.
	for n, want := range map[int]int{0: 3, 7: 3, 8: 2, 21: 2, 22: 1, 36: 1, 37: 0, 60: 0} {
		assert.Equal(t, want, levelFor(max(floorPriority, topPriority*math.Pow(decayFactor, float64(n)))), "after %d quanta", n)
	}
}

func TestOnsetByHand(t *testing.T) {
	// 10+10+20+160 = 200; a quarter is 50: 10+10+15+15.
	assert.InDelta(t, 15, decayOnsetFor([]float64{10, 10, 20, 160}), 1e-9)
	assert.Zero(t, decayOnsetFor(nil))
}

func TestDecayStartsPastTheOnsetAndOnlyOnceTwentyHaveFinished(t *testing.T) {
	s := gateway(1, nil)
	take(s, 1000, "a", "read")
	r := &s.requests.entries[0]
	s.decayOnsetMS = 300
	r.lastAttempt().ranMS, r.quanta, s.now = 2000, 0, 3000
	s.advanceRun(r, r.lastAttempt(), 0)
	assert.Equal(t, 3, r.level, "nothing has finished")
	for range onsetMinRuns {
		s.finishedRuns.add(3000, 300)
	}
	r.lastAttempt().ranMS, r.quanta = 1200, 0
	s.advanceRun(r, r.lastAttempt(), 0) // 12 quanta, of which 9 past the onset
	assert.InDelta(t, topPriority*math.Pow(decayFactor, 9), r.priority, 1e-6)
	assert.Equal(t, 2, r.level)
	assert.Equal(t, Action{Kind: SetResources, Request: "a", GrantMB: 100 * initialMemoryFactor, Level: 2}, s.actions[len(s.actions)-1])
	marked := len(s.actions)
	s.advanceRun(r, r.lastAttempt(), 0)
	assert.Len(t, s.actions, marked, "re-marked without a change of level")
}

func TestWaitingIsNotRunning(t *testing.T) {
	s := gateway(1, nil)
	take(s, 1000, "a", "mark")
	s.Step(1010, &Event{Kind: ProgressReported, Request: "a", Progress: Waiting, Value: 1}, nil)
	s.Step(1030, &Event{Kind: ProgressReported, Request: "a", Progress: Progress, Value: 0}, nil)
	beat(s, 1050)
	assert.Zero(t, s.requests.entries[0].lastAttempt().ranMS, "a share that does not grow is no sign of running")
	s.Step(1060, &Event{Kind: ProgressReported, Request: "a", Progress: Progress, Value: 0.2}, nil)
	beat(s, 1070)
	assert.Equal(t, float64(tickMS), s.requests.entries[0].lastAttempt().ranMS)
}

func TestOrderIsTheSameEverywhereAndEven(t *testing.T) {
	a, b := gateway(5, nil), New(99, testSettings())
	b.Step(0, &Event{Kind: EndpointsUpdated, List: ListComplete, Endpoints: []Endpoint{
		{Executor: 5, Kind: "big"}, {Executor: 3, Kind: "big"}, {Executor: 1, Kind: "big"},
		{Executor: 4, Kind: "big"}, {Executor: 2, Kind: "big"}}}, nil)
	x, y := take(a, 1000, "a", "read"), take(b, 1000, "b", "read")
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

func TestABoundedExecutorIsSkippedAndAFullOneWaitedFor(t *testing.T) {
	s := gateway(2, nil)
	first := take(s, 1000, "a", "read")[1].Executor
	for index := range s.executors {
		if e := &s.executors[index]; e.id == first {
			e.threads = 10
		}
	}
	assert.NotEqual(t, first, take(s, 1000, "b", "read")[1].Executor, "past the bound")
	s.executors[0].threads, s.executors[1].threads = 11, 12
	assert.Equal(t, uint32(1), take(s, 1000, "c", "read")[1].Executor, "fewest threads a core")
	s.executors[0].threads, s.executors[1].threads = 30, 30
	assert.Empty(t, take(s, 1000, "d", "read"))
	s.executors[1].threads = 1
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(beat(s, 1020)))
}

func TestEveryAnswerComesBeforeTheClientGivesUp(t *testing.T) {
	s := gateway(0, nil)
	assert.Empty(t, take(s, 1000, "a", "once"), "no executor")
	assert.Equal(t, []ActionKind{Reject}, kinds(beat(s, 8960)))
	assert.Empty(t, s.requests.byID)
	s = gateway(1, nil)
	take(s, 1000, "b", "once")
	assert.Equal(t, []ActionKind{Fail, Cancel, HealthCheck}, kinds(beat(s, 8980)))
	assert.Empty(t, kinds(ended(s, 8990, "b", 0, Cancelled)))
	assert.Empty(t, s.requests.byID)
}

func TestNoSecondEffect(t *testing.T) {
	for _, c := range []struct {
		offering string
		outcome  Outcome
		want     []ActionKind
	}{
		{"read", ConnectionLost, []ActionKind{SetResources, Send}}, {"mark", Errored, []ActionKind{SetResources, Send}},
		{"once", Errored, []ActionKind{Fail}}, {"once", ConnectionLost, []ActionKind{Fail}},
		{"once", Overloaded, []ActionKind{SetResources, Send}}, {"once", ConnectFailed, []ActionKind{SetResources, Send}},
	} {
		s := gateway(3, nil)
		take(s, 1000, "a", c.offering)
		assert.Equal(t, c.want, kinds(ended(s, 1010, "a", 0, c.outcome)), "%s after %d", c.offering, c.outcome)
	}
	s := gateway(3, nil)
	take(s, 1000, "a", "mark")
	assert.Equal(t, []ActionKind{Reject}, kinds(ended(s, 5990, "a", 0, Errored)), "past the window")
	s = gateway(3, func(s *Settings) { s.Classes[1].DedupScope = DedupZone })
	take(s, 1000, "a", "mark")
	for index := range s.executors {
		s.executors[index].zone = []string{"there", "here"}[min(1, (index+2-s.requests.entries[0].lastAttempt().executor)%3)]
	}
	s.executors[s.requests.entries[0].lastAttempt().executor].availability = Removed
	r := &s.requests.entries[0]
	r.state, r.inFlight, r.attempts[0].inFlight = requestQueued, 0, false
	assert.False(t, s.mayReject(r), "repeats are dropped in one place alone")
	for index := range s.executors {
		same := s.executors[index].zone == s.executors[r.attempts[0].executor].zone
		assert.Equal(t, same && s.executors[index].availability == Active, s.maySend(r, index) == sendAllowed)
	}
}

// A repeat leaves within the window in which it is dropped, also where it waits for a connection in between.
func TestARepeatNamesTheLastMomentAtWhichItMayLeave(t *testing.T) {
	s := gateway(2, func(s *Settings) { s.Classes[1].DedupWindowMS = 700 })
	assert.Equal(t, 8975.0, take(s, 1000, "a", "mark")[1].LatestStart, "the first is bound by its client alone")
	assert.Equal(t, 1000.0+700-answerMarginMS, ended(s, 1100, "a", 0, ConnectionLost)[1].LatestStart)
}

func TestNothingNewToADrainingExecutor(t *testing.T) {
	s := gateway(1, nil)
	s.Step(1000, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 1, Kind: "big", Availability: Draining}}}, nil)
	assert.Empty(t, take(s, 1001, "a", "read"))
	s = gateway(2, nil)
	s.Step(1000, &Event{Kind: EndpointsUpdated, List: ListComplete, Endpoints: []Endpoint{{Executor: 2, Kind: "big"}}}, nil)
	assert.Equal(t, uint32(2), take(s, 1001, "a", "read")[1].Executor, "what a whole list leaves out is gone")
}

// While the list is out of reach a drain counts as told all the same: an executor gets something new only within that time
// of the list's last word, or of an attempt that it took; the list's next word opens all.
func TestAListOutOfReachClosesWhatMayDrain(t *testing.T) {
	s := gateway(2, func(s *Settings) { s.NotifiedWithinMS = 7000; s.DrainGraceMS = 500 })
	s.Step(1500, &Event{Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400}, nil)
	first := take(s, 5000, "a", "read")
	assert.Equal(t, 1400+7000+500-float64(answerMarginMS), first[1].LatestStart)
	ended(s, 5100, "a", 0, Succeeded)
	for k, at := range []float64{8870, 8890, 12470} {
		id := string(rune('b' + k))
		ev := Event{Kind: RequestArrived, Request: id, Class: "read", TableGroup: uint64(k * 10), WorkMS: 100, Deadline: 20000}
		out := s.Step(at, &ev, nil)
		assert.Equal(t, []ActionKind{SetResources, Send}, kinds(out))
		if at > 8875 {
			assert.Equal(t, first[1].Executor, out[1].Executor, "the one that took something since")
		}
		s.Step(at, &Event{Kind: AttemptEnded, Request: id, Outcome: Overloaded}, nil)
		s.Step(at, &Event{Kind: ClientLeft, Request: id}, nil)
		s.executors[0].avoidUntil, s.executors[1].avoidUntil = 0, 0
	}
	ev := Event{Kind: RequestArrived, Request: "z", Class: "read", WorkMS: 100, Deadline: 20000}
	assert.Empty(t, kinds(s.Step(12480, &ev, nil)))
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(s.Step(12500, &Event{Kind: EndpointsUpdated, List: ListDelta}, nil)))
	s = gateway(1, func(s *Settings) { s.DrainGraceMS = 500 })
	s.Step(1500, &Event{Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400}, nil)
	assert.NotEmpty(t, take(s, 8900, "a", "read"), "where it does not count as told")
}

func TestAColdExecutorGetsItsPartOfTheBudget(t *testing.T) {
	// 3 * 0.3 * 8 cores * 2000 ms, of which nine tenths, between two: 6480 ms of work.
	s := gateway(1, func(s *Settings) { s.Controllers = 2 })
	s.Step(1500, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 1, Kind: "big", StartedAt: 1400}}}, nil)
	e, class := &s.executors[0], &s.classes[0]
	assert.Equal(t, executorWarmingUp, e.state)
	class.usualWorkMS = 1000
	e.warmupSent.add(1500, 5400)
	assert.True(t, s.fitsWarmupShare(class, e))
	e.warmupSent.add(1500, 100)
	assert.False(t, s.fitsWarmupShare(class, e))
	s.now = 4000
	assert.True(t, s.fitsWarmupShare(class, e), "the window has passed")
	s.Step(2500, &Event{Kind: Started}, nil)
	s.now = 4000
	for s.seed = range 100 { // what it sent before it started is not known: 0.61 of its part
		e.warmupSent.forget(1e9, 0)
		e.warmupSent.add(4000, 2950)
		assert.True(t, s.fitsWarmupShare(class, e))
		e.warmupSent.add(4000, 1000)
		assert.False(t, s.fitsWarmupShare(class, e))
	}
	e.warmupSent.forget(1e9, 0)
	parts := 0
	s.settings.Controllers = 12 // the part of a cold executor is reckoned from the settings
	for s.seed = range 100 {    // a share of these parts holds none: 0.37 of them by chance
		if s.fitsWarmupShare(class, e) {
			parts++
		}
	}
	assert.InDelta(t, 37, parts, 15)
	s.settings.Controllers = 2
	s.now = 4520
	assert.True(t, s.fitsWarmupShare(class, e))
	class.usualWorkMS = 13000
	assert.False(t, s.fitsWarmupShare(class, e), "what weighs more than the part waits until it is warm")
}

func TestRequestsOfAKeyRunInTurnAndTheKeyRests(t *testing.T) {
	s := gateway(3, func(s *Settings) { s.Classes[0].InOrder = true; s.OrderKeyRestMS = 400 })
	keyed := func(id string) []ActionKind {
		ev := Event{Kind: RequestArrived, Request: id, Class: "read", OrderKey: "k", WorkMS: 9, Deadline: 9000}
		return kinds(s.Step(1000, &ev, nil))
	}
	assert.Equal(t, []ActionKind{SetResources, Send}, keyed("a"))
	assert.Empty(t, keyed("b"))
	assert.Equal(t, []ActionKind{Cancel}, kinds(s.Step(1010, &Event{Kind: ClientLeft, Request: "a"}, nil)))
	assert.Empty(t, kinds(ended(s, 1020, "a", 0, Cancelled)), "the key rests")
	assert.Empty(t, kinds(beat(s, 1400)))
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(beat(s, 1425)))
}

func TestPlacementHoldsWithAllElseDown(t *testing.T) {
	s := gateway(2, func(s *Settings) { s.Classes[0].Kinds = []string{"odd"} })
	assert.Empty(t, take(s, 1000, "a", "read"))
	s.Step(1010, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 9, Kind: "odd"}}}, nil)
	assert.Equal(t, uint32(9), s.executors[s.requests.entries[0].lastAttempt().executor].id)
}

func TestFurtherAttemptsAreRationed(t *testing.T) {
	more := func(s *Settings) { s.RetryBudget.WindowMS = 10000; s.RetryBudget.Floor = 1; s.RetryBudget.Share = 0.1 }
	s := gateway(3, more)
	take(s, 1000, "a", "read")
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(ended(s, 1010, "a", 0, Overloaded)), "the floor")
	assert.Equal(t, []ActionKind{Reject}, kinds(ended(s, 1020, "a", 1, Overloaded)), "a next try is not rationed")
	for range 9 {
		s.arrivals.add(1030, 1)
	}
	assert.True(t, s.retryBudgetLeft(0), "a tenth of ten")
	s.now = 11025
	assert.False(t, s.retryBudgetLeft(0), "the first was taken too long ago")
	s = gateway(1, func(s *Settings) { s.RetryBudget.WindowMS = 10000; s.RetryBudget.Floor = 1; s.ConnectTimeoutMS = 250 })
	s.retries.add(1000, 1)
	s.now = 11200
	assert.True(t, s.retryBudgetLeft(0), "one over it where connections come up late")
	s.retries.add(1000, 1)
	assert.False(t, s.retryBudgetLeft(0), "both may have begun late")
}

func TestAttemptsLeft(t *testing.T) {
	s := gateway(3, func(s *Settings) { s.MaxAttempts = 2 })
	take(s, 1000, "a", "read")
	ended(s, 1010, "a", 0, Overloaded)
	assert.Equal(t, []ActionKind{Reject}, kinds(ended(s, 1020, "a", 1, Overloaded)), "given up at once")
}

func TestABadPlanIsCalledOffAndSentAnew(t *testing.T) {
	s := gateway(2, nil)
	take(s, 1000, "a", "read")
	s.requests.entries[0].lastAttempt().ranMS = 1000
	out := s.Step(2000, &Event{Kind: ProgressReported, Request: "a", Progress: Progress, Value: 0.05}, nil)
	assert.Equal(t, []ActionKind{Cancel}, kinds(out))
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(ended(s, 2010, "a", 0, Cancelled)))
}

func TestAReaderBehindALoadGoesElsewhere(t *testing.T) {
	s := gateway(2, func(s *Settings) { s.Classes[0].BlockedByHolders = true })
	at := take(s, 1000, "a", "read")[1].Executor
	out := s.Step(1005, &Event{Kind: ProgressReported, Request: "a", Progress: Waiting, Value: 2}, nil)
	assert.Equal(t, []ActionKind{Cancel}, kinds(out))
	out = ended(s, 1010, "a", 0, Cancelled)
	assert.NotEqual(t, at, out[1].Executor)
}

func TestALostReplyIsNoticed(t *testing.T) {
	s := gateway(1, nil)
	take(s, 1000, "a", "read")
	take(s, 1000, "b", "read")
	s.Step(2000, &Event{Kind: ProgressReported, Request: "b", Progress: Progress, Value: 0.5}, nil)
	assert.Empty(t, kinds(beat(s, 2500)))
	s.requests.entries[0].lastAttempt().queued = true
	assert.Equal(t, []ActionKind{HealthCheck}, kinds(beat(s, 2610)), "it stands in line, where it sends no notes")
	s.requests.entries[0].lastAttempt().queued = false
	assert.Equal(t, []ActionKind{Cancel}, kinds(beat(s, 2611)))
}

func TestASilentExecutorIsSetAsideAndComesBackColdAfterProbes(t *testing.T) {
	s := gateway(3, nil)
	take(s, 1000, "a", "read")
	index := s.requests.entries[0].lastAttempt().executor
	e := &s.executors[index]
	out := beat(s, 1600)
	assert.Contains(t, kinds(out), HealthCheck)
	probe := Event{Kind: HealthChecked, Executor: e.id, Outcome: TimedOut}
	s.Step(1850, &probe, nil)
	out = beat(s, 2650)
	assert.Contains(t, kinds(out), Cancel)
	assert.Equal(t, executorEjected, e.state)
	out = ended(s, 2655, "a", 0, Cancelled)
	assert.NotEqual(t, e.id, out[1].Executor)
	probe.Outcome = Succeeded
	s.Step(3150, &probe, nil)
	assert.Equal(t, executorEjected, e.state)
	s.Step(3650, &probe, nil)
	assert.Equal(t, executorWarmingUp, e.state)
	assert.Equal(t, 13650.0, e.warmupUntil)
	assert.False(t, e.proven, "one shot at a time until it has done work")
}

func TestErrorsInARowSetAside(t *testing.T) {
	s := gateway(3, nil)
	take(s, 1000, "a", "read")
	index := s.requests.entries[0].lastAttempt().executor
	s.executors[index].failures = maxFailures - 2
	ended(s, 1000, "a", 0, Errored)
	assert.Equal(t, executorHealthy, s.executors[index].state)
	s.executors[index].avoidUntil = 0
	take(s, 1000, "b", "read")
	ended(s, 1000, "b", 0, Errored)
	assert.Equal(t, executorEjected, s.executors[index].state)
}

func TestWhenHalfLookBadNobodyIsSetAside(t *testing.T) {
	s := gateway(4, nil)
	for index := range 4 {
		s.suspect(index)
	}
	assert.Equal(t, []executorState{executorEjected, executorEjected, executorHealthy, executorHealthy},
		[]executorState{s.executors[0].state, s.executors[1].state, s.executors[2].state, s.executors[3].state})
}

func TestAHopelessRequestIsDeniedAtOnceWithATimeToComeBack(t *testing.T) {
	s := gateway(1, nil)
	out := s.Step(1000, &Event{Kind: RequestArrived, Request: "a", Class: "read", WorkMS: 5000, Deadline: 2000}, nil)
	assert.Equal(t, Reject, out[0].Kind)
	assert.InDelta(t, 375, out[0].AfterMS, 125)
}

func TestAStallOfItsOwnJudgesNobody(t *testing.T) {
	s := gateway(1, nil)
	take(s, 1000, "a", "read")
	take(s, 1000, "b", "read")
	beat(s, 1020)
	s.Step(3500, &Event{Kind: ProgressReported, Request: "b", Progress: Progress, Value: 0.5}, nil)
	assert.Empty(t, kinds(s.Step(3500, &Event{Kind: TimerFired}, nil)), "the note of a may stand in line")
	assert.Equal(t, 2500.0, s.requests.entries[0].lastAttempt().ranMS, "it ran all the while")
	assert.Contains(t, kinds(beat(s, 3520)), Cancel)
}

func TestARequestSureToBeLateWaitsOnlyForWhatPays(t *testing.T) {
	for late, want := range map[float64][]ActionKind{0.1: {Reject}, 0.5: nil} {
		s := gateway(0, func(s *Settings) { s.Classes[0].LateShare = late })
		take(s, 1000, "a", "read")
		assert.Empty(t, kinds(beat(s, 1800)))
		assert.Equal(t, want, kinds(beat(s, 1950)))
	}
}

func TestTheOrdinaryPathAllocatesNothing(t *testing.T) {
	s, out := gateway(4, nil), make([]Action, 0, 64)
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

// many is a gateway over n executors whose part of each is far below one thread.
func many(n int, change func(*Settings)) *Scheduler {
	s := gateway(n, change)
	s.settings.Controllers, s.settings.Slot = 200, 0
	s.updateTrafficShare()
	return s
}

func TestTheOnsetReachesBackForItsTwenty(t *testing.T) {
	s := gateway(1, nil)
	for k := range 30 {
		s.finishedRuns.add(float64(k), 100)
	}
	s.now = 60000
	s.updateDecayOnset()
	assert.Equal(t, onsetMinRuns, s.finishedRuns.count())
	assert.InDelta(t, 25, s.decayOnsetMS, 1e-9)
}

func TestWhereOurPartIsSmallOwedWorkMovesTheNextRequestOn(t *testing.T) {
	s := many(4, nil)
	first := take(s, 1000, "a", "read")
	second := take(s, 1000, "b", "read")
	assert.NotEqual(t, first[1].Executor, second[1].Executor, "else all controllers herd on one")
	e := &s.executors[s.requests.entries[0].lastAttempt().executor]
	assert.Equal(t, 100.0, s.backlog(e))
	s.now += 100 / (backlogThreadsPerCore * e.cores / 200)
	assert.InDelta(t, 0, s.backlog(e), 1e-6)
}

func TestAnExecutorIsAskedBeforeAnAttemptWhereOurPartIsSmall(t *testing.T) {
	s := many(2, func(s *Settings) { s.ReportsByProbe = true; s.ReportNames = []string{"queue", "x0", "x1"} })
	s.reportedAt = 1000
	out := take(s, 1000, "a", "read")
	assert.Equal(t, []ActionKind{HealthCheck}, kinds(out))
	line := Event{Kind: HealthChecked, Executor: out[0].Executor, LoadReport: []float64{3, 0.2, 0.2}}
	out = s.Step(1002, &line, nil)
	assert.Equal(t, []ActionKind{HealthCheck}, kinds(out), "a line there: another is asked")
	assert.NotEqual(t, line.Executor, out[0].Executor)
	room := Event{Kind: HealthChecked, Executor: out[0].Executor, LoadReport: []float64{0, 0.2, 0.2}}
	out = s.Step(1004, &room, nil)
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(out))
	assert.Equal(t, room.Executor, out[1].Executor)
}

func TestReportsThatStayOutAreNotWaitedFor(t *testing.T) {
	s := many(2, func(s *Settings) { s.ReportsByProbe = true; s.ReportNames = []string{"queue"} })
	assert.Equal(t, []ActionKind{HealthCheck, SetResources, Send}, kinds(take(s, 5000, "a", "read")))
}

func TestWhatControllersHaveOutIsAddedUpAndTold(t *testing.T) {
	adds, tells := many(3, func(s *Settings) { s.MayMessagePeers = true }), many(3, func(s *Settings) { s.MayMessagePeers = true })
	tells.settings.Slot = 7
	e := &tells.executors[1]
	e.threads, e.grantedMB = 8, e.memoryMB/2
	tells.exchangeLoad()
	mail := tells.actions[0]
	assert.Equal(t, []ActionKind{SendPeer, SendPeer, SendPeer}, kinds(tells.actions))
	adds.Step(1010, &Event{Kind: PeerMessage, FromPeer: 7, Payload: mail.Payload}, nil)
	adds.exchangeLoad()
	told := adds.actions[len(adds.actions)-1]
	assert.Equal(t, -1, told.Peer)
	tells.Step(1020, &Event{Kind: PeerMessage, FromPeer: 0, Payload: told.Payload}, nil)
	assert.InDelta(t, 8, e.reportedThreads, levelThreadsPerCore*e.cores)
	assert.Zero(t, tells.executors[0].reportedThreads)
	tells.Step(1030, &Event{Kind: PeerMessage, FromPeer: 0, Payload: told.Payload[:2]}, nil) // another list there: passed over
	assert.Equal(t, 1020.0, e.reportedAt)
}

func TestADeadExecutorIsToldAsFuller(t *testing.T) {
	s := many(2, func(s *Settings) { s.MayMessagePeers = true })
	s.executors[0].failures, s.executors[0].state = 1, executorEjected
	s.exchangeLoad()
	s.sumPeerLoads(0)
	assert.Equal(t, float64(failingExtraThreads), s.executors[0].peerThreads)
	assert.Zero(t, s.executors[1].peerThreads)
}

func TestNobodyGoesToAnExecutorToldAsFull(t *testing.T) {
	s := many(2, func(s *Settings) { s.MayMessagePeers = true })
	for index := range s.executors {
		e := &s.executors[index]
		e.reportedThreads, e.reportedAt = 3*e.cores*float64(index), 1000
	}
	for k := range 5 {
		take(s, 1000, string(rune('a'+k)), "read")
	}
	assert.Zero(t, s.executors[1].inFlight)
	assert.Positive(t, s.executors[0].inFlight)
}

// Each of thirty controllers, or of three hundred, sends a cold executor all that it may, of every kind, and hears of no
// other: the sum keeps to the budget in every case, and there is room for large kinds and for small ones. What each takes for
// usual, wrong by up to a quarter either way, takes it past what makes an executor fall in none of the turns drawn.
func TestThePartsOfAColdExecutorAddUpToItsBudget(t *testing.T) {
	const allowed = 3 * 0.3 * 8 * 2000
	for _, n := range []float64{1, 2, 3, 30, 300} {
		for _, usual := range [][]float64{{1000}, {5600, 3400, 190}, {5000, 500, 50}, {2000, 300, 20}, {20000}, {40, 30, 20}} {
			for turn := range 5 {
				sent, truth, count, kindsSent := 0.0, 0.0, 0.0, map[int]bool{}
				for slot := range int(n) {
					s := gateway(1, func(s *Settings) { s.Controllers = int(n); s.Slot = slot })
					e := &s.executors[0]
					e.warmupUntil, s.seed = 9000, uint64(turn)<<32+uint64(slot)
					for k, ms := range usual {
						s.classes[k].usualWorkMS = ms * (1 + float64(min(1, turn))*(s.random()/2-0.25))
					}
					for k, ms := range usual {
						for class := &s.classes[k]; s.fitsWarmupShare(class, e); truth, count, kindsSent[k] = truth+ms, count+1, true {
							e.warmupSent.add(s.now, class.usualWorkMS)
						}
					}
					sent += e.warmupSent.total()
				}
				mean := truth / max(1, count)
				assert.LessOrEqual(t, truth, allowed+mean*(2*math.Sqrt(allowed/max(1, mean))+2), "%v controllers, %v", n, usual)
				if turn == 0 {
					assert.LessOrEqual(t, sent, warmupMargin*allowed+1e-6, "%v controllers, %v", n, usual)
					assert.True(t, usual[0] > 10000 || kindsSent[0], "%v controllers, %v: some may send the largest kind", n, usual)
					assert.True(t, usual[0] > 10000 || sent > 0.6*warmupMargin*allowed, "%v controllers, %v: %v", n, usual, sent)
				}
			}
		}
	}
}

func TestOneRefusedConnectionSetsAsideWhereOurPartIsSmall(t *testing.T) {
	s := many(3, nil)
	take(s, 1000, "a", "read")
	index := s.requests.entries[0].lastAttempt().executor
	ended(s, 1001, "a", 0, ConnectFailed)
	assert.Equal(t, executorEjected, s.executors[index].state)
}

func TestStandingInLineIsNoSilence(t *testing.T) {
	s := gateway(3, nil)
	take(s, 1000, "a", "read")
	e := &s.executors[s.requests.entries[0].lastAttempt().executor]
	s.setQueued(s.requests.entries[0].lastAttempt(), true)
	s.now = 8000
	s.watchExecutor(s.requests.entries[0].lastAttempt().executor)
	assert.Equal(t, executorHealthy, e.state)
	e.probeFailed = true
	s.watchExecutor(s.requests.entries[0].lastAttempt().executor)
	assert.Equal(t, executorEjected, e.state, "missed probes still tell")
}

func TestNoControllersNamedAndAnEmptyListDoNoHarm(t *testing.T) {
	s := gateway(0, func(s *Settings) { s.Controllers = 0; s.MayMessagePeers = true; s.ReportsByProbe = true })
	assert.Empty(t, kinds(take(s, 1000, "a", "read")))
	assert.Empty(t, kinds(beat(s, 1020)))
	assert.Equal(t, []ActionKind{Reject}, kinds(beat(s, 8990)))
}

func TestLongRequestsLeaveMemoryToShortOnesPastTheBound(t *testing.T) {
	s := gateway(1, nil)
	e := &s.executors[0]
	e.threads, e.grantedMB = 10, 0.8*e.memoryMB
	assert.Empty(t, kinds(take(s, 1000, "a", "read")))
	s.decayOnsetMS = 200
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(take(s, 1000, "b", "mark"))[:2])
}

func TestGrantsStartAboveTheEstimateAndGrowWithSpilling(t *testing.T) {
	s := gateway(1, nil)
	take(s, 1000, "a", "read")
	a := s.requests.entries[0].lastAttempt()
	assert.Equal(t, 100*initialMemoryFactor, a.grantMB)
	s.recordProgress(0, a, &Event{Kind: ProgressReported, Progress: Spilling, Value: 250})
	assert.InDelta(t, initialMemoryFactor+smoothing*(4*spillMemoryFactor-initialMemoryFactor), s.classes[0].memoryFactor, 1e-9)
}

// A planned stop must not leave long requests to be lost, nor keep one that can't be handled any more.
func TestAPlannedStopAnswersAllInTime(t *testing.T) {
	s := gateway(1, nil)
	take(s, 1000, "short", "read")
	take(s, 1000, "once", "once")
	s.Step(1100, &Event{Kind: ShutdownStarted, Deadline: 1500}, nil)
	out := s.Step(1110, &Event{Kind: RequestArrived, Request: "long", Class: "read", WorkMS: 5000, Deadline: 9000}, nil)
	assert.Equal(t, []ActionKind{Reject}, kinds(out), "what can't end in time asks elsewhere at once")
	assert.Empty(t, kinds(beat(s, 1460)))
	out = beat(s, 1480)
	assert.Equal(t, []ActionKind{Reject, Cancel, Fail, Cancel}, kinds(out))
}

// A message is whatever another machine sent: no bytes may stop the module or make it act for a stranger.
func FuzzHeard(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3}, 0)
	f.Add([]byte{1, 2, 0x53}, 7)
	f.Fuzz(func(t *testing.T, data []byte, from int) {
		s := gateway(3, func(s *Settings) { s.MayMessagePeers = true; s.Controllers = 40 })
		out := s.Step(1100, &Event{Kind: PeerMessage, FromPeer: from, Payload: data}, nil)
		out = s.Step(1400, &Event{Kind: TimerFired}, out)
		for _, a := range out {
			if a.Kind == Send || len(a.Payload) > 256 {
				t.Fatalf("%+v", a)
			}
		}
	})
}

// Executors are replaced without end, ids are always new: places return, but not while a request still names one.
func TestPlacesOfExecutorsThatAreGoneAreUsedAgain(t *testing.T) {
	s := gateway(4, nil)
	take(s, 1000, "a", "once")
	held := s.requests.entries[0].lastAttempt().executor
	live := []uint32{1, 2, 3, 4}
	for n := range uint32(200) {
		s.Step(2000+float64(n), &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: live[n%4], Availability: Removed},
			{Executor: 100 + n, Kind: "big"}}}, nil)
		live[n%4] = 100 + n
	}
	assert.Equal(t, 5, len(s.executors))
	assert.Equal(t, 5, len(s.ExecutorViews(2500, nil)), "the one gone still has a shot")
	assert.Less(t, s.executors[held].id, uint32(5), "a search in hand had its shot there")
	take(s, 3000, "b", "read")
	ended(s, 3100, "b", 0, Succeeded)
	ended(s, 3100, "a", 0, ConnectionLost)
	s.Step(9000, &Event{Kind: ClientLeft, Request: "a"}, nil)
	s.Step(9001, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 999, Kind: "big"}}}, nil)
	assert.Equal(t, uint32(999), s.executors[held].id)
	assert.Equal(t, 5, len(s.executors))
	assert.Empty(t, s.requests.byID)
}

// A request that no executor can use must not eat the ration of further attempts, nor go round all executors.
func TestARequestThatErrsTwiceIsAtFaultItself(t *testing.T) {
	s := gateway(4, nil)
	take(s, 1000, "a", "read")
	assert.Contains(t, kinds(ended(s, 1100, "a", 0, Errored)), Send)
	assert.Equal(t, []ActionKind{Reject}, kinds(ended(s, 1200, "a", 1, Errored)), "the client hears so at once")
	take(s, 1300, "b", "once")
	assert.Equal(t, []ActionKind{Fail}, kinds(ended(s, 1400, "b", 0, Errored)))
	take(s, 1500, "c", "read") // breaks are no errors of the request
	ended(s, 1600, "c", 0, ConnectionLost)
	assert.Contains(t, kinds(ended(s, 1700, "c", 1, ConnectionLost)), Send)
}

// Called off without a further attempt to follow, an attempt that might still be handled would be thrown away.
func TestNobodyIsCalledOffForAnAttemptThatTheRationLacks(t *testing.T) {
	s := gateway(2, func(s *Settings) {
		s.RetryBudget.WindowMS = 10000
		s.RetryBudget.Floor = 1
		s.Classes[0].BlockedByHolders = true
	})
	for _, id := range []string{"a", "b"} {
		take(s, 1000, id, "read")
	}
	for k := range s.executors { // nobody else has room, so that the first waits for its next attempt
		s.executors[k].threads += 100
	}
	behind := func(id string) []ActionKind {
		return kinds(s.Step(1100, &Event{Kind: ProgressReported, Request: id, Progress: Waiting, Value: 2}, nil))
	}
	assert.Contains(t, behind("a"), Cancel)
	assert.Equal(t, 1, s.awaitingRetry())
	assert.NotContains(t, behind("b"), Cancel)
}

// What may have run under a mark, in another request or before a crash, goes only where it is known as a repeat, and no
// longer than it is known there; it is never denied then, since a new try might do harm.
func TestWhatMayHaveRunBeforeGoesToItsGroup(t *testing.T) {
	s := gateway(1, func(s *Settings) { s.Classes[1].DedupScope = DedupZone })
	s.Step(1000, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Zone: "there", Kind: "big"}}}, nil)
	again := func(id, offering string, p PriorAttempt) []Action {
		return s.Step(2000, &Event{Kind: RequestArrived, Request: id, Class: offering, WorkMS: 100, Deadline: 9000, Prior: p}, nil)
	}
	for n, place := range []string{"there", "here"} {
		a := again("a"+place, "mark", PriorAttempt{At: 1900, Zone: place})
		assert.Equal(t, Send, a[len(a)-1].Kind)
		assert.Equal(t, uint32(2-n), a[len(a)-1].Executor)
	}
	assert.Empty(t, kinds(again("b", "mark", PriorAttempt{At: 1900, Zone: "lost"})), "it waits for its group")
	a := beat(s, 8990)
	assert.Contains(t, kinds(a), Fail)
	assert.NotContains(t, kinds(a), Reject)
	assert.Equal(t, []ActionKind{Fail}, kinds(again("c", "mark", PriorAttempt{At: -1e9, Zone: "here"})), "past the window")
	assert.Equal(t, []ActionKind{Fail}, kinds(again("d", "once", PriorAttempt{At: 1900, Zone: "here"})))
}

// What can't be put on record must not run: it is denied unrun at once, not sent to a second executor.
func TestWhatCannotBeRecordedIsDeniedUnrun(t *testing.T) {
	s := gateway(2, nil)
	a := s.Step(2000, &Event{Kind: RequestArrived, Request: "a", Class: "once", WorkMS: 100, Deadline: 9000, Blocked: true}, nil)
	assert.Equal(t, []ActionKind{Reject}, kinds(a))
	take(s, 2000, "b", "mark")
	a = s.Step(2010, &Event{Kind: AttemptEnded, Request: "b", Outcome: NeverSent, Blocked: true}, nil)
	assert.Equal(t, []ActionKind{Reject}, kinds(a))
	assert.Empty(t, s.requests.byID)
}

// What was known before a restart holds: the ration used up, executors aside, cold or leaving, and the figures learnt.
func TestWhatWasKnownBeforeARestartHolds(t *testing.T) {
	before := gateway(1, nil)
	for n := range 40 {
		take(before, 1000, "x", "read")
		before.Step(1000+float64(20*n), &Event{Kind: AttemptEnded, Request: "x", Outcome: Succeeded, Final: true, CostMS: 150}, nil)
	}
	beat(before, 3000)
	figures := before.Estimates(nil)
	s := gateway(4, func(s *Settings) { s.RetryBudget.WindowMS = 10000; s.RetryBudget.Floor = 1 })
	s.Step(1000, &Event{Kind: StateRestored, Retries: []float64{900}, Estimates: append(figures, Estimate{"read.slow", -1}, Estimate{"odd", 3}),
		ExecutorStates: []ExecutorState{{Executor: 1, Ejected: true, Ejections: 2}, {Executor: 2, WarmupUntil: 5000}, {Executor: 3, Draining: true},
			{Executor: 99, Ejected: true}}}, nil)
	assert.Equal(t, before.decayOnsetMS, decayOnsetFor(s.finishedRuns.sorted()))
	assert.Equal(t, before.classes[0].actualWorkMS, s.classes[0].actualWorkMS)
	assert.Equal(t, []any{executorEjected, 2, executorWarmingUp, Draining}, []any{s.executors[0].state, s.executors[0].ejections, s.executors[1].state,
		s.executors[2].availability})
	assert.False(t, s.retryBudgetLeft(0))
	s.now = 10950
	assert.True(t, s.retryBudgetLeft(0))
}

// A request of a team past its budget starts lower and gets less memory; held under a level while it runs it is re-marked, and
// again when it is no more. A load starts at the top and is never held: it would hold its group for longer.
func TestStartsAndPressingMoveLevels(t *testing.T) {
	s := gateway(2, func(s *Settings) { s.Classes[1].HoldsTableGroup = true; s.Classes[0].BlockedByHolders = true })
	a := s.Step(2000, &Event{Kind: RequestArrived, Request: "a", Class: "read", WorkMS: 100, MemoryMB: 100, Deadline: 9000, PriorityCap: 500, MemoryShare: 0.5}, nil)
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(a))
	assert.Equal(t, 1, a[0].Level)
	assert.Equal(t, 0.5*initialMemoryFactor*100, a[0].GrantMB)
	a = s.Step(2000, &Event{Kind: RequestArrived, Request: "b", Class: "mark", WorkMS: 100, Deadline: 9000, TableGroup: 5, PriorityCap: 500}, nil)
	assert.Equal(t, topLevel, a[0].Level, "a load")
	take(s, 2000, "c", "read")
	press := func(id string, under float64) []Action {
		return s.Step(2010, &Event{Kind: PriorityCapped, Request: id, PriorityCap: under}, nil)
	}
	assert.Equal(t, 1, press("c", 500)[0].Level)
	assert.Empty(t, kinds(press("c", 500)))
	assert.Equal(t, topLevel, press("c", 0)[0].Level)
	assert.Empty(t, kinds(press("b", 500)), "a load is not pressed")
	ended(s, 2020, "c", 0, Succeeded)
	assert.Empty(t, kinds(press("c", 500)), "it has its answer")
	assert.Empty(t, kinds(press("nobody", 500)))
}

// The memory of a request that runs goes down and up again with what it is held under, and the books of its executor with it.
func TestPressingChangesTheGrantOfWhatRuns(t *testing.T) {
	s := gateway(1, nil)
	a := take(s, 2000, "a", "read")
	full := a[0].GrantMB
	a = s.Step(2010, &Event{Kind: PriorityCapped, Request: "a", PriorityCap: topPriority, MemoryShare: 0.5}, nil)
	assert.Equal(t, []ActionKind{SetResources}, kinds(a))
	assert.Equal(t, []float64{full / 2, full / 2}, []float64{a[0].GrantMB, s.executors[0].grantedMB})
	a = s.Step(2020, &Event{Kind: PriorityCapped, Request: "a"}, nil)
	assert.Equal(t, full, a[0].GrantMB)
	ended(s, 2030, "a", 0, Succeeded)
	assert.Zero(t, s.executors[0].grantedMB)
}

// What is to be sent now or not at all takes no room that another waits for, counts for the ration only once it is sent, and
// leaves nothing behind when it is given back.
func TestWhatIsSentNowOrGivenBack(t *testing.T) {
	s := gateway(1, func(s *Settings) { s.Kinds[0].Cores = 1; s.RetryBudget.WindowMS = 10000 })
	now := func(at float64, id string) []Action {
		return s.Step(at, &Event{Kind: RequestArrived, Request: id, Class: "read", WorkMS: 100, Deadline: 9000, Immediate: true}, nil)
	}
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(now(2000, "a")))
	assert.Equal(t, 1, s.arrivals.count())
	for n := range 3 {
		a := now(2010+float64(n), "b")
		assert.Equal(t, []ActionKind{ReturnRequest}, kinds(a))
		assert.Equal(t, "b", a[0].Request)
	}
	assert.Equal(t, 1, s.arrivals.count())
	assert.Len(t, s.requests.byID, 1)
	ended(s, 2100, "a", 0, Succeeded)
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(now(2200, "b")))
	assert.Equal(t, []ActionKind{Reject}, kinds(s.Step(2300, &Event{Kind: RequestArrived, Request: "c", Class: "read", WorkMS: 100, Deadline: 2310,
		Immediate: true}, nil)), "what can't be done in time is turned away, not given back")
}

// A request that is pressed at the moment when its connection breaks is sent no second time for that: an irreversible one ends
// failed, a keyed one goes only to the group that drops its repeats.
func TestPressingNeverRunsARequestTwice(t *testing.T) {
	for offering, want := range map[string]ActionKind{"once": Fail, "mark": Send} {
		s := gateway(2, nil)
		take(s, 2000, "a", offering)
		s.Step(2010, &Event{Kind: PriorityCapped, Request: "a", PriorityCap: 500, MemoryShare: 0.7}, nil)
		a := ended(s, 2010, "a", 0, ConnectionLost)
		assert.Equal(t, want, a[len(a)-1].Kind, offering)
		a = s.Step(2011, &Event{Kind: PriorityCapped, Request: "a", PriorityCap: 0}, nil)
		assert.NotContains(t, kinds(a), Send, offering)
	}
}

// How many controllers there are is heard: the part of an executor follows, the part of a cold one stays that of the settings.
func TestCountedControllers(t *testing.T) {
	s := gateway(1, func(s *Settings) { s.Controllers = 4; s.Slot = 1 })
	assert.Equal(t, 0.25, s.trafficShare)
	e, class := &s.executors[0], &s.classes[0]
	class.usualWorkMS, e.warmupUntil = 100, 1e9
	before := s.warmupShare(e)
	s.Step(1001, &Event{Kind: ControllersCounted, Value: 2}, nil)
	assert.Equal(t, 0.5, s.trafficShare)
	assert.Equal(t, before, s.warmupShare(e))
	s.Step(1002, &Event{Kind: ControllersCounted, Value: 0}, nil)
	assert.Equal(t, 0.25, s.trafficShare, "nothing is known")
}

// Places that are far get requests only where no near one has room, no more threads than are open there, none that it is not worth, and
// none that would be late on the way; what runs on kinds that are nowhere near goes there as if it were near.
func TestHowFarRequestsGo(t *testing.T) {
	far := func(r ZoneReach) *Scheduler {
		s := gateway(1, func(s *Settings) { s.Classes[2].Kinds = []string{"odd"} })
		s.Step(1000, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Zone: "there", Kind: "big"}, {Executor: 3, Zone: "there", Kind: "odd"}}}, nil)
		r.Zone, r.Tier = "there", 1
		s.Step(1000, &Event{Kind: ReachabilityChanged, Reaches: []ZoneReach{r}}, nil)
		return s
	}
	sent := func(s *Scheduler, offering string, n int) (by [4]int) {
		for k := range n {
			for _, a := range take(s, 1001, offering+string(rune('a'+k)), offering) {
				if a.Kind == Send {
					by[a.Executor]++
				}
			}
		}
		return by
	}
	shut := sent(far(ZoneReach{}), "read", 24)
	assert.Greater(t, shut[1], 7, "near ones as far as there is room")
	assert.Zero(t, shut[2]+shut[3])
	some := sent(far(ZoneReach{Capacity: 3}), "read", 24)
	assert.Equal(t, shut[1], some[1], "near ones first")
	assert.Equal(t, 3, some[2]+some[3])
	all := sent(far(ZoneReach{Capacity: math.Inf(1)}), "read", 24)
	assert.Equal(t, shut[1], all[1])
	assert.Equal(t, 24-shut[1], all[2]+all[3])
	assert.Zero(t, sent(far(ZoneReach{Capacity: 9, MinDensity: 1}), "read", 24)[2], "its gain for its work is a hundredth")
	assert.Zero(t, sent(far(ZoneReach{Capacity: 9, LatencyMS: 7900}), "read", 24)[2], "it has 8 s")
	assert.Zero(t, sent(far(ZoneReach{}), "once", 3)[3])
	assert.Equal(t, 3, sent(far(ZoneReach{ExclusiveKinds: []string{"odd"}}), "once", 3)[3])
	assert.Zero(t, sent(far(ZoneReach{ExclusiveKinds: []string{"odd"}}), "read", 24)[3], "others may run near")
	s := far(ZoneReach{Capacity: 1})
	sent(s, "read", 24)
	moved := 0
	for _, a := range s.Step(1002, &Event{Kind: ReachabilityChanged}, nil) {
		if a.Kind == Send && a.Executor > 1 {
			moved++
		}
	}
	assert.Positive(t, moved, "once all is near, what waits goes on")
}

// A warm-up is a span of real time: an executor that joins or starts anew is cold from when this instance was told, wherever its
// wall clock, or this machine's, had been set to. One that was listed at the start, long up, is not.
func TestAStartIsColdWhateverTheWallClocksSay(t *testing.T) {
	const now, hour = 1e9, 3.6e6
	for name, since := range map[string]float64{"an hour behind": now - hour, "right": now - 20, "an hour ahead": now + hour} {
		s := New(7, testSettings())
		s.startedAt = -1e6
		s.Step(now-5000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: []Endpoint{{Executor: 1, Kind: "big"}, {Executor: 2, Kind: "big",
			StartedAt: now - hour/2}}}, nil)
		assert.Zero(t, s.executors[0].warmupUntil+s.executors[1].warmupUntil, name)
		s.Step(now, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 3, Kind: "big", StartedAt: since}}}, nil)
		assert.Equal(t, now+10000, s.executors[2].warmupUntil, "%s: joined", name)
		s.Step(now+10, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Kind: "big", StartedAt: since}}}, nil)
		assert.Equal(t, now+10010, s.executors[1].warmupUntil, "%s: started anew", name)
		s.Step(now+20, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Kind: "big", StartedAt: since}}}, nil)
		assert.Equal(t, now+10010, s.executors[1].warmupUntil, "%s: told again", name)
	}
}

// What never left for want of something on this side judges no executor, uses up nothing of the ration, and is tried again after
// a while, elsewhere meanwhile; an irreversible request too, as nothing ran.
func TestWhatNeverLeftHereJudgesNoExecutor(t *testing.T) {
	for _, offering := range []string{"read", "once"} {
		s := gateway(4, func(s *Settings) {
			s.Controllers = 300
			s.RetryBudget.WindowMS = 10000
			s.RetryBudget.Floor = 0
			s.MaxAttempts = 2
		})
		take(s, 1000, "a", offering)
		for n := range 4 { // all executors, one after the other
			at := 1000 + 500*float64(n)
			assert.NotContains(t, kinds(ended(s, at, "a", n, LocalFailure)), Send, "not in the same moment")
			assert.Contains(t, kinds(beat(s, at+450)), Send, offering)
		}
		for index := range s.executors {
			assert.Equal(t, executorHealthy, s.executors[index].state)
			assert.Zero(t, s.executors[index].failures)
		}
		assert.Zero(t, s.retries.count())
		assert.Contains(t, kinds(ended(s, 3000, "a", 4, ConnectFailed)), map[string]ActionKind{"read": Reject, "once": Reject}[offering],
			"the next one would be beyond the first")
	}
	s := gateway(2, nil)
	take(s, 1000, "a", "read")
	s.executors[0].probing = true
	s.Step(1010, &Event{Kind: HealthChecked, Executor: 1, Outcome: LocalFailure}, nil)
	assert.Equal(t, []any{false, false, 0.0}, []any{s.executors[0].probing, s.executors[0].probeFailed, s.executors[0].avoidUntil})
}

// A cold executor stands what all controllers send it though seven in ten of them, or all, are killed once they have sent their
// part, and again once they have sent what they may after that, all within the window in which it may fall.
func TestTheBudgetOfAColdExecutorOutlastsControllersThatStartAnew(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10, 30, 300} {
		for _, usual := range []float64{20, 100, 300, 1000, 3000} {
			for _, killed := range []int{7, 10} {
				allowed := 3 * 0.3 * 8 * 2000 / usual
				slack := 2*math.Sqrt(allowed) + 2
				if allowed < 30 {
					slack = 3*math.Sqrt(allowed) + 3
				}
				sent := 0
				for slot := range n {
					for turn := range 3 {
						if turn > 0 && slot%10 >= killed {
							break
						}
						s := New(uint64(slot*3+turn+1), testSettings(func(s *Settings) { s.Controllers = n; s.Slot = slot }))
						if s.startedAt = -1e6; turn > 0 {
							s.Step(900, &Event{Kind: Started}, nil)
						}
						s.Step(1000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: []Endpoint{{Executor: 1, Kind: "big", StartedAt: 950}}}, nil)
						e, class := &s.executors[0], &s.classes[0]
						class.usualWorkMS, class.arrivals = usual, 50
						for ; s.fitsWarmupShare(class, e); sent++ {
							e.warmupSent.add(s.now, usual)
						}
					}
				}
				assert.LessOrEqual(t, float64(sent), allowed+slack, "%d controllers, %d in ten killed, %v ms", n, killed, usual)
			}
		}
	}
}

// A list that broke off, fell silent or moved owes what it had to tell until a clock of its own: an executor that has not taken
// anything since is closed by then, one that has is open until the next such clock, or for as long as counts otherwise.
func TestWhatCountsAsToldClosesWhatMayDrain(t *testing.T) {
	s := gateway(1, func(s *Settings) { s.NotifiedWithinMS = 7000; s.DrainGraceMS = 500 })
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

// What controllers tell one another fits a datagram, however many executors there are: a longer one voids the run.
func TestTellingsFitADatagram(t *testing.T) {
	for _, n := range []int{80, 300, 508, 509, 3200} {
		s := New(7, testSettings(func(s *Settings) { s.MayMessagePeers = true; s.Controllers = 900; s.Slot = 0; s.Classes[0].Threads = 1 }))
		s.startedAt = -1e6
		var list []Endpoint
		for index := range n {
			list = append(list, Endpoint{Executor: uint32(index)*2654435761 + 1, Kind: "big"})
		}
		s.Step(1000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: list}, nil)
		for index := range s.executors {
			s.executors[index].threads, s.executors[index].inFlight = 1, 1
		}
		told := 0
		for _, a := range beat(s, 2000) {
			if a.Kind == SendPeer {
				told++
				assert.LessOrEqual(t, len(a.Payload), 256, "%d executors", n)
			}
		}
		assert.Equal(t, n <= 508, told > 0, "%d executors", n)
	}
}

// The figure of a start is all that a controller has which starts itself. Clocks that were stepped by some seconds, or by an hour, make
// nothing warm that may be cold.
func TestAStartIsColdThroughARestartWhateverTheWallClocksSay(t *testing.T) {
	const now, hour = 1e9, 3.6e6
	for _, c := range []struct {
		age  float64
		cold bool
	}{{20, true}, {9000, true}, {14000, true}, {20000, false}, {hour / 2, false}, {hour - 4000, true}, {hour + 3000, true}, {hour + 14000, true},
		{hour + 60000, false}, {-4000, true}, {-hour, true}, {-hour + 3000, true}, {30 * hour, false}} {
		s := New(7, testSettings())
		s.startedAt = -1e6
		s.Step(now, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: []Endpoint{{Executor: 1, Kind: "big", StartedAt: now - c.age}}}, nil)
		assert.Equal(t, c.cold, s.executors[0].warmupUntil > now, "%v ms old by the clocks", c.age)
	}
}
