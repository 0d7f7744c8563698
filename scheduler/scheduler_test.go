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
	assert.Equal(t, 100*memoryStart, out[0].GrantMB)
}

func TestLevelsByHand(t *testing.T) {
	// 0.9^n * 10^4 over 100, in thirds of two decades: 3 up to n = 7, 2 up to 21, 1 up to 36, then 0.
	for n, want := range map[int]int{0: 3, 7: 3, 8: 2, 21: 2, 22: 1, 36: 1, 37: 0, 60: 0} {
		assert.Equal(t, want, levelOf(max(pFloor, pTop*math.Pow(decay, float64(n)))), "after %d quanta", n)
	}
}

func TestOnsetByHand(t *testing.T) {
	// 10+10+20+160 = 200; a quarter is 50: 10+10+15+15.
	assert.InDelta(t, 15, onsetOf([]float64{10, 10, 20, 160}), 1e-9)
	assert.Zero(t, onsetOf(nil))
}

func TestDecayStartsPastTheOnsetAndOnlyOnceTwentyHaveFinished(t *testing.T) {
	g := gateway(1, nil)
	take(g, 1000, "a", "read")
	s := &g.slab.places[0]
	g.onset = 300
	s.last().ran, s.quanta, g.now = 2000, 0, 3000
	g.age(s, s.last(), 0)
	assert.Equal(t, 3, s.level, "nothing has finished")
	for range onsetLeast {
		g.finished.add(3000, 300)
	}
	s.last().ran, s.quanta = 1200, 0
	g.age(s, s.last(), 0) // 12 quanta, of which 9 past the onset
	assert.InDelta(t, pTop*math.Pow(decay, 9), s.p, 1e-6)
	assert.Equal(t, 2, s.level)
	assert.Equal(t, Action{Kind: SetResources, Request: "a", GrantMB: 100 * memoryStart, Level: 2}, g.out[len(g.out)-1])
	marked := len(g.out)
	g.age(s, s.last(), 0)
	assert.Len(t, g.out, marked, "re-marked without a change of level")
}

func TestWaitingIsNotRunning(t *testing.T) {
	g := gateway(1, nil)
	take(g, 1000, "a", "mark")
	g.Step(1010, &Event{Kind: ProgressReported, Request: "a", Progress: Waiting, Value: 1}, nil)
	g.Step(1030, &Event{Kind: ProgressReported, Request: "a", Progress: Progress, Value: 0}, nil)
	beat(g, 1050)
	assert.Zero(t, g.slab.places[0].last().ran, "a share that does not grow is no sign of running")
	g.Step(1060, &Event{Kind: ProgressReported, Request: "a", Progress: Progress, Value: 0.2}, nil)
	beat(g, 1070)
	assert.Equal(t, float64(beatMS), g.slab.places[0].last().ran)
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
			if order(group, id) > order(group, best) {
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
	g := gateway(2, nil)
	first := take(g, 1000, "a", "read")[1].Executor
	for x := range g.executors {
		if e := &g.executors[x]; e.id == first {
			e.threads = 10
		}
	}
	assert.NotEqual(t, first, take(g, 1000, "b", "read")[1].Executor, "past the bound")
	g.executors[0].threads, g.executors[1].threads = 11, 12
	assert.Equal(t, uint32(1), take(g, 1000, "c", "read")[1].Executor, "fewest threads a core")
	g.executors[0].threads, g.executors[1].threads = 30, 30
	assert.Empty(t, take(g, 1000, "d", "read"))
	g.executors[1].threads = 1
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(beat(g, 1020)))
}

func TestEveryAnswerComesBeforeTheClientGivesUp(t *testing.T) {
	g := gateway(0, nil)
	assert.Empty(t, take(g, 1000, "a", "once"), "no executor")
	assert.Equal(t, []ActionKind{Reject}, kinds(beat(g, 8960)))
	assert.Empty(t, g.slab.byID)
	g = gateway(1, nil)
	take(g, 1000, "b", "once")
	assert.Equal(t, []ActionKind{Fail, Cancel, HealthCheck}, kinds(beat(g, 8980)))
	assert.Empty(t, kinds(ended(g, 8990, "b", 0, Cancelled)))
	assert.Empty(t, g.slab.byID)
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
		g := gateway(3, nil)
		take(g, 1000, "a", c.offering)
		assert.Equal(t, c.want, kinds(ended(g, 1010, "a", 0, c.outcome)), "%s after %d", c.offering, c.outcome)
	}
	g := gateway(3, nil)
	take(g, 1000, "a", "mark")
	assert.Equal(t, []ActionKind{Reject}, kinds(ended(g, 5990, "a", 0, Errored)), "past the window")
	g = gateway(3, func(s *Settings) { s.Classes[1].DedupScope = DedupZone })
	take(g, 1000, "a", "mark")
	for x := range g.executors {
		g.executors[x].place = []string{"there", "here"}[min(1, (x+2-g.slab.places[0].last().executor)%3)]
	}
	g.executors[g.slab.places[0].last().executor].standing = Removed
	s := &g.slab.places[0]
	s.state, s.out, s.attempts[0].out = waiting, 0, false
	assert.False(t, g.mayDeny(s), "repeats are dropped in one place alone")
	for x := range g.executors {
		same := g.executors[x].place == g.executors[s.attempts[0].executor].place
		assert.Equal(t, same && g.executors[x].standing == Active, g.maySend(s, x) == yes)
	}
}

// A repeat leaves within the window in which it is dropped, also where it waits for a connection in between.
func TestARepeatNamesTheLastMomentAtWhichItMayLeave(t *testing.T) {
	g := gateway(2, func(s *Settings) { s.Classes[1].DedupWindowMS = 700 })
	assert.Equal(t, 8975.0, take(g, 1000, "a", "mark")[1].LatestStart, "the first is bound by its client alone")
	assert.Equal(t, 1000.0+700-closingMS, ended(g, 1100, "a", 0, ConnectionLost)[1].LatestStart)
}

func TestNothingNewToADrainingExecutor(t *testing.T) {
	g := gateway(1, nil)
	g.Step(1000, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 1, Kind: "big", Availability: Draining}}}, nil)
	assert.Empty(t, take(g, 1001, "a", "read"))
	g = gateway(2, nil)
	g.Step(1000, &Event{Kind: EndpointsUpdated, List: ListComplete, Endpoints: []Endpoint{{Executor: 2, Kind: "big"}}}, nil)
	assert.Equal(t, uint32(2), take(g, 1001, "a", "read")[1].Executor, "what a whole list leaves out is gone")
}

// While the list is out of reach a drain counts as told all the same: an executor gets something new only within that time
// of the list's last word, or of an attempt that it took; the list's next word opens all.
func TestAListOutOfReachClosesWhatMayDrain(t *testing.T) {
	g := gateway(2, func(s *Settings) { s.NotifiedWithinMS = 7000; s.DrainGraceMS = 500 })
	g.Step(1500, &Event{Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400}, nil)
	first := take(g, 5000, "a", "read")
	assert.Equal(t, 1400+7000+500-float64(closingMS), first[1].LatestStart)
	ended(g, 5100, "a", 0, Succeeded)
	for k, at := range []float64{8870, 8890, 12470} {
		id := string(rune('b' + k))
		ev := Event{Kind: RequestArrived, Request: id, Class: "read", TableGroup: uint64(k * 10), WorkMS: 100, Deadline: 20000}
		out := g.Step(at, &ev, nil)
		assert.Equal(t, []ActionKind{SetResources, Send}, kinds(out))
		if at > 8875 {
			assert.Equal(t, first[1].Executor, out[1].Executor, "the one that took something since")
		}
		g.Step(at, &Event{Kind: AttemptEnded, Request: id, Outcome: Overloaded}, nil)
		g.Step(at, &Event{Kind: ClientLeft, Request: id}, nil)
		g.executors[0].restUntil, g.executors[1].restUntil = 0, 0
	}
	ev := Event{Kind: RequestArrived, Request: "z", Class: "read", WorkMS: 100, Deadline: 20000}
	assert.Empty(t, kinds(g.Step(12480, &ev, nil)))
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(g.Step(12500, &Event{Kind: EndpointsUpdated, List: ListDelta}, nil)))
	g = gateway(1, func(s *Settings) { s.DrainGraceMS = 500 })
	g.Step(1500, &Event{Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400}, nil)
	assert.NotEmpty(t, take(g, 8900, "a", "read"), "where it does not count as told")
}

func TestAColdExecutorGetsItsPartOfTheBudget(t *testing.T) {
	// 3 * 0.3 * 8 cores * 2000 ms, of which nine tenths, between two: 6480 ms of work.
	g := gateway(1, func(s *Settings) { s.Controllers = 2 })
	g.Step(1500, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 1, Kind: "big", StartedAt: 1400}}}, nil)
	e, o := &g.executors[0], &g.offerings[0]
	assert.Equal(t, chilled, e.state)
	o.usual = 1000
	e.coldSent.add(1500, 5400)
	assert.True(t, g.warmEnough(o, e))
	e.coldSent.add(1500, 100)
	assert.False(t, g.warmEnough(o, e))
	g.now = 4000
	assert.True(t, g.warmEnough(o, e), "the window has passed")
	g.Step(2500, &Event{Kind: Started}, nil)
	g.now = 4000
	for g.seed = range 100 { // what it sent before it started is not known: 0.61 of its part
		e.coldSent.forget(1e9, 0)
		e.coldSent.add(4000, 2950)
		assert.True(t, g.warmEnough(o, e))
		e.coldSent.add(4000, 1000)
		assert.False(t, g.warmEnough(o, e))
	}
	e.coldSent.forget(1e9, 0)
	parts := 0
	g.settings.Controllers = 12 // the part of a cold executor is reckoned from the settings
	for g.seed = range 100 {    // a share of these parts holds none: 0.37 of them by chance
		parts += count(g.warmEnough(o, e))
	}
	assert.InDelta(t, 37, parts, 15)
	g.settings.Controllers = 2
	g.now = 4520
	assert.True(t, g.warmEnough(o, e))
	o.usual = 13000
	assert.False(t, g.warmEnough(o, e), "what weighs more than the part waits until it is warm")
}

func TestRequestsOfAKeyRunInTurnAndTheKeyRests(t *testing.T) {
	g := gateway(3, func(s *Settings) { s.Classes[0].InOrder = true; s.OrderKeyRestMS = 400 })
	keyed := func(id string) []ActionKind {
		ev := Event{Kind: RequestArrived, Request: id, Class: "read", OrderKey: "k", WorkMS: 9, Deadline: 9000}
		return kinds(g.Step(1000, &ev, nil))
	}
	assert.Equal(t, []ActionKind{SetResources, Send}, keyed("a"))
	assert.Empty(t, keyed("b"))
	assert.Equal(t, []ActionKind{Cancel}, kinds(g.Step(1010, &Event{Kind: ClientLeft, Request: "a"}, nil)))
	assert.Empty(t, kinds(ended(g, 1020, "a", 0, Cancelled)), "the key rests")
	assert.Empty(t, kinds(beat(g, 1400)))
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(beat(g, 1425)))
}

func TestPlacementHoldsWithAllElseDown(t *testing.T) {
	g := gateway(2, func(s *Settings) { s.Classes[0].Kinds = []string{"odd"} })
	assert.Empty(t, take(g, 1000, "a", "read"))
	g.Step(1010, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 9, Kind: "odd"}}}, nil)
	assert.Equal(t, uint32(9), g.executors[g.slab.places[0].last().executor].id)
}

func TestFurtherAttemptsAreRationed(t *testing.T) {
	more := func(s *Settings) { s.RetryBudget.WindowMS = 10000; s.RetryBudget.Floor = 1; s.RetryBudget.Share = 0.1 }
	g := gateway(3, more)
	take(g, 1000, "a", "read")
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(ended(g, 1010, "a", 0, Overloaded)), "the floor")
	assert.Equal(t, []ActionKind{Reject}, kinds(ended(g, 1020, "a", 1, Overloaded)), "a next try is not rationed")
	for range 9 {
		g.takes.add(1030, 1)
	}
	assert.True(t, g.rationLeft(0), "a tenth of ten")
	g.now = 11025
	assert.False(t, g.rationLeft(0), "the first was taken too long ago")
	g = gateway(1, func(s *Settings) { s.RetryBudget.WindowMS = 10000; s.RetryBudget.Floor = 1; s.ConnectTimeoutMS = 250 })
	g.extras.add(1000, 1)
	g.now = 11200
	assert.True(t, g.rationLeft(0), "one over it where connections come up late")
	g.extras.add(1000, 1)
	assert.False(t, g.rationLeft(0), "both may have begun late")
}

func TestAttemptsLeft(t *testing.T) {
	g := gateway(3, func(s *Settings) { s.MaxAttempts = 2 })
	take(g, 1000, "a", "read")
	ended(g, 1010, "a", 0, Overloaded)
	assert.Equal(t, []ActionKind{Reject}, kinds(ended(g, 1020, "a", 1, Overloaded)), "given up at once")
}

func TestABadPlanIsCalledOffAndSentAnew(t *testing.T) {
	g := gateway(2, nil)
	take(g, 1000, "a", "read")
	g.slab.places[0].last().ran = 1000
	out := g.Step(2000, &Event{Kind: ProgressReported, Request: "a", Progress: Progress, Value: 0.05}, nil)
	assert.Equal(t, []ActionKind{Cancel}, kinds(out))
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(ended(g, 2010, "a", 0, Cancelled)))
}

func TestAReaderBehindALoadGoesElsewhere(t *testing.T) {
	g := gateway(2, func(s *Settings) { s.Classes[0].BlockedByHolders = true })
	at := take(g, 1000, "a", "read")[1].Executor
	out := g.Step(1005, &Event{Kind: ProgressReported, Request: "a", Progress: Waiting, Value: 2}, nil)
	assert.Equal(t, []ActionKind{Cancel}, kinds(out))
	out = ended(g, 1010, "a", 0, Cancelled)
	assert.NotEqual(t, at, out[1].Executor)
}

func TestALostReplyIsNoticed(t *testing.T) {
	g := gateway(1, nil)
	take(g, 1000, "a", "read")
	take(g, 1000, "b", "read")
	g.Step(2000, &Event{Kind: ProgressReported, Request: "b", Progress: Progress, Value: 0.5}, nil)
	assert.Empty(t, kinds(beat(g, 2500)))
	g.slab.places[0].last().waits = Waiting
	assert.Equal(t, []ActionKind{HealthCheck}, kinds(beat(g, 2610)), "it stands in line, where it sends no notes")
	g.slab.places[0].last().waits = 0
	assert.Equal(t, []ActionKind{Cancel}, kinds(beat(g, 2611)))
}

func TestASilentExecutorIsSetAsideAndComesBackColdAfterProbes(t *testing.T) {
	g := gateway(3, nil)
	take(g, 1000, "a", "read")
	x := g.slab.places[0].last().executor
	e := &g.executors[x]
	out := beat(g, 1600)
	assert.Contains(t, kinds(out), HealthCheck)
	probe := Event{Kind: HealthChecked, Executor: e.id, Outcome: TimedOut}
	g.Step(1850, &probe, nil)
	out = beat(g, 2650)
	assert.Contains(t, kinds(out), Cancel)
	assert.Equal(t, aside, e.state)
	out = ended(g, 2655, "a", 0, Cancelled)
	assert.NotEqual(t, e.id, out[1].Executor)
	probe.Outcome = Succeeded
	g.Step(3150, &probe, nil)
	assert.Equal(t, aside, e.state)
	g.Step(3650, &probe, nil)
	assert.Equal(t, chilled, e.state)
	assert.Equal(t, 13650.0, e.coldUntil)
	assert.False(t, e.proven, "one shot at a time until it has done work")
}

func TestErrorsInARowSetAside(t *testing.T) {
	g := gateway(3, nil)
	take(g, 1000, "a", "read")
	x := g.slab.places[0].last().executor
	g.executors[x].bad = badInARow - 2
	ended(g, 1000, "a", 0, Errored)
	assert.Equal(t, fit, g.executors[x].state)
	g.executors[x].restUntil = 0
	take(g, 1000, "b", "read")
	ended(g, 1000, "b", 0, Errored)
	assert.Equal(t, aside, g.executors[x].state)
}

func TestWhenHalfLookBadNobodyIsSetAside(t *testing.T) {
	g := gateway(4, nil)
	for x := range 4 {
		g.suspect(x)
	}
	assert.Equal(t, []state{aside, aside, fit, fit},
		[]state{g.executors[0].state, g.executors[1].state, g.executors[2].state, g.executors[3].state})
}

func TestAHopelessRequestIsDeniedAtOnceWithATimeToComeBack(t *testing.T) {
	g := gateway(1, nil)
	out := g.Step(1000, &Event{Kind: RequestArrived, Request: "a", Class: "read", WorkMS: 5000, Deadline: 2000}, nil)
	assert.Equal(t, Reject, out[0].Kind)
	assert.InDelta(t, 375, out[0].AfterMS, 125)
}

func TestAStallOfItsOwnJudgesNobody(t *testing.T) {
	g := gateway(1, nil)
	take(g, 1000, "a", "read")
	take(g, 1000, "b", "read")
	beat(g, 1020)
	g.Step(3500, &Event{Kind: ProgressReported, Request: "b", Progress: Progress, Value: 0.5}, nil)
	assert.Empty(t, kinds(g.Step(3500, &Event{Kind: TimerFired}, nil)), "the note of a may stand in line")
	assert.Equal(t, 2500.0, g.slab.places[0].last().ran, "it ran all the while")
	assert.Contains(t, kinds(beat(g, 3520)), Cancel)
}

func TestARequestSureToBeLateWaitsOnlyForWhatPays(t *testing.T) {
	for late, want := range map[float64][]ActionKind{0.1: {Reject}, 0.5: nil} {
		g := gateway(0, func(s *Settings) { s.Classes[0].LateShare = late })
		take(g, 1000, "a", "read")
		assert.Empty(t, kinds(beat(g, 1800)))
		assert.Equal(t, want, kinds(beat(g, 1950)))
	}
}

func TestTheOrdinaryPathAllocatesNothing(t *testing.T) {
	g, out := gateway(4, nil), make([]Action, 0, 64)
	taken := Event{Kind: RequestArrived, Request: "a", Class: "read", MemoryMB: 100, WorkMS: 100, Deadline: 9e9}
	done := Event{Kind: AttemptEnded, Request: "a", Outcome: Succeeded, Final: true}
	rang, now := Event{Kind: TimerFired}, 1000.0
	round := func() {
		now += 100
		out = g.Step(now, &taken, out[:0])
		out = g.Step(now+50, &rang, out[:0])
		done.Executor = g.executors[g.slab.places[0].last().executor].id
		out = g.Step(now+90, &done, out[:0])
	}
	for range 500 {
		round()
	}
	assert.Zero(t, testing.AllocsPerRun(500, round))
}

// many is a gateway over n executors whose part of each is far below one thread.
func many(n int, change func(*Settings)) *Scheduler {
	g := gateway(n, change)
	g.settings.Controllers, g.settings.Slot = 200, 0
	g.reckonShare()
	return g
}

func TestTheOnsetReachesBackForItsTwenty(t *testing.T) {
	g := gateway(1, nil)
	for k := range 30 {
		g.finished.add(float64(k), 100)
	}
	g.now = 60000
	g.readOnset()
	assert.Equal(t, onsetLeast, g.finished.count())
	assert.InDelta(t, 25, g.onset, 1e-9)
}

func TestWhereOurPartIsSmallOwedWorkMovesTheNextRequestOn(t *testing.T) {
	g := many(4, nil)
	first := take(g, 1000, "a", "read")
	second := take(g, 1000, "b", "read")
	assert.NotEqual(t, first[1].Executor, second[1].Executor, "else all controllers herd on one")
	e := &g.executors[g.slab.places[0].last().executor]
	assert.Equal(t, 100.0, g.owed(e))
	g.now += 100 / (drainPerCore * e.cores / 200)
	assert.InDelta(t, 0, g.owed(e), 1e-6)
}

func TestAnExecutorIsAskedBeforeAnAttemptWhereOurPartIsSmall(t *testing.T) {
	g := many(2, func(s *Settings) { s.ReportsByProbe = true; s.ReportNames = []string{"queue", "x0", "x1"} })
	g.reportedAt = 1000
	out := take(g, 1000, "a", "read")
	assert.Equal(t, []ActionKind{HealthCheck}, kinds(out))
	line := Event{Kind: HealthChecked, Executor: out[0].Executor, LoadReport: []float64{3, 0.2, 0.2}}
	out = g.Step(1002, &line, nil)
	assert.Equal(t, []ActionKind{HealthCheck}, kinds(out), "a line there: another is asked")
	assert.NotEqual(t, line.Executor, out[0].Executor)
	room := Event{Kind: HealthChecked, Executor: out[0].Executor, LoadReport: []float64{0, 0.2, 0.2}}
	out = g.Step(1004, &room, nil)
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(out))
	assert.Equal(t, room.Executor, out[1].Executor)
}

func TestReportsThatStayOutAreNotWaitedFor(t *testing.T) {
	g := many(2, func(s *Settings) { s.ReportsByProbe = true; s.ReportNames = []string{"queue"} })
	assert.Equal(t, []ActionKind{HealthCheck, SetResources, Send}, kinds(take(g, 5000, "a", "read")))
}

func TestWhatControllersHaveOutIsAddedUpAndTold(t *testing.T) {
	adds, tells := many(3, func(s *Settings) { s.MayMessagePeers = true }), many(3, func(s *Settings) { s.MayMessagePeers = true })
	tells.settings.Slot = 7
	e := &tells.executors[1]
	e.threads, e.memory = 8, e.ram/2
	tells.tell()
	mail := tells.out[0]
	assert.Equal(t, []ActionKind{SendPeer, SendPeer, SendPeer}, kinds(tells.out))
	adds.Step(1010, &Event{Kind: PeerMessage, FromPeer: 7, Payload: mail.Payload}, nil)
	adds.tell()
	told := adds.out[len(adds.out)-1]
	assert.Equal(t, -1, told.Peer)
	tells.Step(1020, &Event{Kind: PeerMessage, FromPeer: 0, Payload: told.Payload}, nil)
	assert.InDelta(t, 8, e.seen, toldStep*e.cores)
	assert.Zero(t, tells.executors[0].seen)
	tells.Step(1030, &Event{Kind: PeerMessage, FromPeer: 0, Payload: told.Payload[:2]}, nil) // another list there: passed over
	assert.Equal(t, 1020.0, e.seenAt)
}

func TestADeadExecutorIsToldAsFuller(t *testing.T) {
	g := many(2, func(s *Settings) { s.MayMessagePeers = true })
	g.executors[0].bad, g.executors[0].state = 1, aside
	g.tell()
	g.addUp(0)
	assert.Equal(t, float64(warning), g.executors[0].sum)
	assert.Zero(t, g.executors[1].sum)
}

func TestNobodyGoesToAnExecutorToldAsFull(t *testing.T) {
	g := many(2, func(s *Settings) { s.MayMessagePeers = true })
	for x := range g.executors {
		e := &g.executors[x]
		e.seen, e.seenAt = 3*e.cores*float64(x), 1000
	}
	for k := range 5 {
		take(g, 1000, string(rune('a'+k)), "read")
	}
	assert.Zero(t, g.executors[1].out)
	assert.Positive(t, g.executors[0].out)
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
					g := gateway(1, func(s *Settings) { s.Controllers = int(n); s.Slot = slot })
					e := &g.executors[0]
					e.coldUntil, g.seed = 9000, uint64(turn)<<32+uint64(slot)
					for k, ms := range usual {
						g.offerings[k].usual = ms * (1 + float64(min(1, turn))*(g.chance()/2-0.25))
					}
					for k, ms := range usual {
						for o := &g.offerings[k]; g.warmEnough(o, e); truth, count, kindsSent[k] = truth+ms, count+1, true {
							e.coldSent.add(g.now, o.usual)
						}
					}
					sent += e.coldSent.total()
				}
				mean := truth / max(1, count)
				assert.LessOrEqual(t, truth, allowed+mean*(2*math.Sqrt(allowed/max(1, mean))+2), "%v controllers, %v", n, usual)
				if turn == 0 {
					assert.LessOrEqual(t, sent, coldMargin*allowed+1e-6, "%v controllers, %v", n, usual)
					assert.True(t, usual[0] > 10000 || kindsSent[0], "%v controllers, %v: some may send the largest kind", n, usual)
					assert.True(t, usual[0] > 10000 || sent > 0.6*coldMargin*allowed, "%v controllers, %v: %v", n, usual, sent)
				}
			}
		}
	}
}

func TestOneRefusedConnectionSetsAsideWhereOurPartIsSmall(t *testing.T) {
	g := many(3, nil)
	take(g, 1000, "a", "read")
	x := g.slab.places[0].last().executor
	ended(g, 1001, "a", 0, ConnectFailed)
	assert.Equal(t, aside, g.executors[x].state)
}

func TestStandingInLineIsNoSilence(t *testing.T) {
	g := gateway(3, nil)
	take(g, 1000, "a", "read")
	e := &g.executors[g.slab.places[0].last().executor]
	g.line(g.slab.places[0].last(), true)
	g.now = 8000
	g.watch(g.slab.places[0].last().executor)
	assert.Equal(t, fit, e.state)
	e.missed = true
	g.watch(g.slab.places[0].last().executor)
	assert.Equal(t, aside, e.state, "missed probes still tell")
}

func TestNoControllersNamedAndAnEmptyListDoNoHarm(t *testing.T) {
	g := gateway(0, func(s *Settings) { s.Controllers = 0; s.MayMessagePeers = true; s.ReportsByProbe = true })
	assert.Empty(t, kinds(take(g, 1000, "a", "read")))
	assert.Empty(t, kinds(beat(g, 1020)))
	assert.Equal(t, []ActionKind{Reject}, kinds(beat(g, 8990)))
}

func TestLongRequestsLeaveMemoryToShortOnesPastTheBound(t *testing.T) {
	g := gateway(1, nil)
	e := &g.executors[0]
	e.threads, e.memory = 10, 0.8*e.ram
	assert.Empty(t, kinds(take(g, 1000, "a", "read")))
	g.onset = 200
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(take(g, 1000, "b", "mark"))[:2])
}

func TestGrantsStartAboveTheEstimateAndGrowWithSpilling(t *testing.T) {
	g := gateway(1, nil)
	take(g, 1000, "a", "read")
	h := g.slab.places[0].last()
	assert.Equal(t, 100*memoryStart, h.grant)
	g.note(0, h, &Event{Kind: ProgressReported, Progress: Spilling, Value: 250})
	assert.InDelta(t, memoryStart+fade*(4*memorySpare-memoryStart), g.offerings[0].memory, 1e-9)
}

// A planned stop must not leave long requests to be lost, nor keep one that can't be handled any more.
func TestAPlannedStopAnswersAllInTime(t *testing.T) {
	g := gateway(1, nil)
	take(g, 1000, "short", "read")
	take(g, 1000, "once", "once")
	g.Step(1100, &Event{Kind: ShutdownStarted, Deadline: 1500}, nil)
	out := g.Step(1110, &Event{Kind: RequestArrived, Request: "long", Class: "read", WorkMS: 5000, Deadline: 9000}, nil)
	assert.Equal(t, []ActionKind{Reject}, kinds(out), "what can't end in time asks elsewhere at once")
	assert.Empty(t, kinds(beat(g, 1460)))
	out = beat(g, 1480)
	assert.Equal(t, []ActionKind{Reject, Cancel, Fail, Cancel}, kinds(out))
}

// A message is whatever another machine sent: no bytes may stop the module or make it act for a stranger.
func FuzzHeard(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3}, 0)
	f.Add([]byte{1, 2, 0x53}, 7)
	f.Fuzz(func(t *testing.T, data []byte, from int) {
		g := gateway(3, func(s *Settings) { s.MayMessagePeers = true; s.Controllers = 40 })
		out := g.Step(1100, &Event{Kind: PeerMessage, FromPeer: from, Payload: data}, nil)
		out = g.Step(1400, &Event{Kind: TimerFired}, out)
		for _, a := range out {
			if a.Kind == Send || len(a.Payload) > 256 {
				t.Fatalf("%+v", a)
			}
		}
	})
}

// Executors are replaced without end, ids are always new: places return, but not while a request still names one.
func TestPlacesOfExecutorsThatAreGoneAreUsedAgain(t *testing.T) {
	g := gateway(4, nil)
	take(g, 1000, "a", "once")
	held := g.slab.places[0].last().executor
	live := []uint32{1, 2, 3, 4}
	for n := range uint32(200) {
		g.Step(2000+float64(n), &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: live[n%4], Availability: Removed},
			{Executor: 100 + n, Kind: "big"}}}, nil)
		live[n%4] = 100 + n
	}
	assert.Equal(t, 5, len(g.executors))
	assert.Equal(t, 5, len(g.ExecutorViews(2500, nil)), "the one gone still has a shot")
	assert.Less(t, g.executors[held].id, uint32(5), "a search in hand had its shot there")
	take(g, 3000, "b", "read")
	ended(g, 3100, "b", 0, Succeeded)
	ended(g, 3100, "a", 0, ConnectionLost)
	g.Step(9000, &Event{Kind: ClientLeft, Request: "a"}, nil)
	g.Step(9001, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 999, Kind: "big"}}}, nil)
	assert.Equal(t, uint32(999), g.executors[held].id)
	assert.Equal(t, 5, len(g.executors))
	assert.Empty(t, g.slab.byID)
}

// A request that no executor can use must not eat the ration of further attempts, nor go round all executors.
func TestARequestThatErrsTwiceIsAtFaultItself(t *testing.T) {
	g := gateway(4, nil)
	take(g, 1000, "a", "read")
	assert.Contains(t, kinds(ended(g, 1100, "a", 0, Errored)), Send)
	assert.Equal(t, []ActionKind{Reject}, kinds(ended(g, 1200, "a", 1, Errored)), "the client hears so at once")
	take(g, 1300, "b", "once")
	assert.Equal(t, []ActionKind{Fail}, kinds(ended(g, 1400, "b", 0, Errored)))
	take(g, 1500, "c", "read") // breaks are no errors of the request
	ended(g, 1600, "c", 0, ConnectionLost)
	assert.Contains(t, kinds(ended(g, 1700, "c", 1, ConnectionLost)), Send)
}

// Called off without a further attempt to follow, an attempt that might still be handled would be thrown away.
func TestNobodyIsCalledOffForAnAttemptThatTheRationLacks(t *testing.T) {
	g := gateway(2, func(s *Settings) {
		s.RetryBudget.WindowMS = 10000
		s.RetryBudget.Floor = 1
		s.Classes[0].BlockedByHolders = true
	})
	for _, id := range []string{"a", "b"} {
		take(g, 1000, id, "read")
	}
	for k := range g.executors { // nobody else has room, so that the first waits for its next attempt
		g.executors[k].threads += 100
	}
	behind := func(id string) []ActionKind {
		return kinds(g.Step(1100, &Event{Kind: ProgressReported, Request: id, Progress: Waiting, Value: 2}, nil))
	}
	assert.Contains(t, behind("a"), Cancel)
	assert.Equal(t, 1, g.returning())
	assert.NotContains(t, behind("b"), Cancel)
}

// What may have run under a mark, in another request or before a crash, goes only where it is known as a repeat, and no
// longer than it is known there; it is never denied then, since a new try might do harm.
func TestWhatMayHaveRunBeforeGoesToItsGroup(t *testing.T) {
	g := gateway(1, func(s *Settings) { s.Classes[1].DedupScope = DedupZone })
	g.Step(1000, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Zone: "there", Kind: "big"}}}, nil)
	again := func(id, offering string, p PriorAttempt) []Action {
		return g.Step(2000, &Event{Kind: RequestArrived, Request: id, Class: offering, WorkMS: 100, Deadline: 9000, Prior: p}, nil)
	}
	for n, place := range []string{"there", "here"} {
		a := again("a"+place, "mark", PriorAttempt{At: 1900, Zone: place})
		assert.Equal(t, Send, a[len(a)-1].Kind)
		assert.Equal(t, uint32(2-n), a[len(a)-1].Executor)
	}
	assert.Empty(t, kinds(again("b", "mark", PriorAttempt{At: 1900, Zone: "lost"})), "it waits for its group")
	a := beat(g, 8990)
	assert.Contains(t, kinds(a), Fail)
	assert.NotContains(t, kinds(a), Reject)
	assert.Equal(t, []ActionKind{Fail}, kinds(again("c", "mark", PriorAttempt{At: -1e9, Zone: "here"})), "past the window")
	assert.Equal(t, []ActionKind{Fail}, kinds(again("d", "once", PriorAttempt{At: 1900, Zone: "here"})))
}

// What can't be put on record must not run: it is denied unrun at once, not sent to a second executor.
func TestWhatCannotBeRecordedIsDeniedUnrun(t *testing.T) {
	g := gateway(2, nil)
	a := g.Step(2000, &Event{Kind: RequestArrived, Request: "a", Class: "once", WorkMS: 100, Deadline: 9000, Blocked: true}, nil)
	assert.Equal(t, []ActionKind{Reject}, kinds(a))
	take(g, 2000, "b", "mark")
	a = g.Step(2010, &Event{Kind: AttemptEnded, Request: "b", Outcome: NeverSent, Blocked: true}, nil)
	assert.Equal(t, []ActionKind{Reject}, kinds(a))
	assert.Empty(t, g.slab.byID)
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
	g := gateway(4, func(s *Settings) { s.RetryBudget.WindowMS = 10000; s.RetryBudget.Floor = 1 })
	g.Step(1000, &Event{Kind: StateRestored, Retries: []float64{900}, Estimates: append(figures, Estimate{"read.slow", -1}, Estimate{"odd", 3}),
		ExecutorStates: []ExecutorState{{Executor: 1, Ejected: true, Ejections: 2}, {Executor: 2, WarmupUntil: 5000}, {Executor: 3, Draining: true},
			{Executor: 99, Ejected: true}}}, nil)
	assert.Equal(t, before.onset, onsetOf(g.finished.sorted()))
	assert.Equal(t, before.offerings[0].worked, g.offerings[0].worked)
	assert.Equal(t, []any{aside, 2, chilled, Draining}, []any{g.executors[0].state, g.executors[0].strikes, g.executors[1].state,
		g.executors[2].standing})
	assert.False(t, g.rationLeft(0))
	g.now = 10950
	assert.True(t, g.rationLeft(0))
}

// A request of a team past its budget starts lower and gets less memory; held under a level while it runs it is re-marked, and
// again when it is no more. A load starts at the top and is never held: it would hold its group for longer.
func TestStartsAndPressingMoveLevels(t *testing.T) {
	g := gateway(2, func(s *Settings) { s.Classes[1].HoldsTableGroup = true; s.Classes[0].BlockedByHolders = true })
	a := g.Step(2000, &Event{Kind: RequestArrived, Request: "a", Class: "read", WorkMS: 100, MemoryMB: 100, Deadline: 9000, PriorityCap: 500, MemoryShare: 0.5}, nil)
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(a))
	assert.Equal(t, 1, a[0].Level)
	assert.Equal(t, 0.5*memoryStart*100, a[0].GrantMB)
	a = g.Step(2000, &Event{Kind: RequestArrived, Request: "b", Class: "mark", WorkMS: 100, Deadline: 9000, TableGroup: 5, PriorityCap: 500}, nil)
	assert.Equal(t, topLevel, a[0].Level, "a load")
	take(g, 2000, "c", "read")
	press := func(id string, under float64) []Action {
		return g.Step(2010, &Event{Kind: PriorityCapped, Request: id, PriorityCap: under}, nil)
	}
	assert.Equal(t, 1, press("c", 500)[0].Level)
	assert.Empty(t, kinds(press("c", 500)))
	assert.Equal(t, topLevel, press("c", 0)[0].Level)
	assert.Empty(t, kinds(press("b", 500)), "a load is not pressed")
	ended(g, 2020, "c", 0, Succeeded)
	assert.Empty(t, kinds(press("c", 500)), "it has its answer")
	assert.Empty(t, kinds(press("nobody", 500)))
}

// The memory of a request that runs goes down and up again with what it is held under, and the books of its executor with it.
func TestPressingChangesTheGrantOfWhatRuns(t *testing.T) {
	g := gateway(1, nil)
	a := take(g, 2000, "a", "read")
	full := a[0].GrantMB
	a = g.Step(2010, &Event{Kind: PriorityCapped, Request: "a", PriorityCap: pTop, MemoryShare: 0.5}, nil)
	assert.Equal(t, []ActionKind{SetResources}, kinds(a))
	assert.Equal(t, []float64{full / 2, full / 2}, []float64{a[0].GrantMB, g.executors[0].memory})
	a = g.Step(2020, &Event{Kind: PriorityCapped, Request: "a"}, nil)
	assert.Equal(t, full, a[0].GrantMB)
	ended(g, 2030, "a", 0, Succeeded)
	assert.Zero(t, g.executors[0].memory)
}

// What is to be sent now or not at all takes no room that another waits for, counts for the ration only once it is sent, and
// leaves nothing behind when it is given back.
func TestWhatIsSentNowOrGivenBack(t *testing.T) {
	g := gateway(1, func(s *Settings) { s.Kinds[0].Cores = 1; s.RetryBudget.WindowMS = 10000 })
	now := func(at float64, id string) []Action {
		return g.Step(at, &Event{Kind: RequestArrived, Request: id, Class: "read", WorkMS: 100, Deadline: 9000, Immediate: true}, nil)
	}
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(now(2000, "a")))
	assert.Equal(t, 1, g.takes.count())
	for n := range 3 {
		a := now(2010+float64(n), "b")
		assert.Equal(t, []ActionKind{ReturnRequest}, kinds(a))
		assert.Equal(t, "b", a[0].Request)
	}
	assert.Equal(t, 1, g.takes.count())
	assert.Len(t, g.slab.byID, 1)
	ended(g, 2100, "a", 0, Succeeded)
	assert.Equal(t, []ActionKind{SetResources, Send}, kinds(now(2200, "b")))
	assert.Equal(t, []ActionKind{Reject}, kinds(g.Step(2300, &Event{Kind: RequestArrived, Request: "c", Class: "read", WorkMS: 100, Deadline: 2310,
		Immediate: true}, nil)), "what can't be done in time is turned away, not given back")
}

// A request that is pressed at the moment when its connection breaks is sent no second time for that: an irreversible one ends
// failed, a keyed one goes only to the group that drops its repeats.
func TestPressingNeverRunsARequestTwice(t *testing.T) {
	for offering, want := range map[string]ActionKind{"once": Fail, "mark": Send} {
		g := gateway(2, nil)
		take(g, 2000, "a", offering)
		g.Step(2010, &Event{Kind: PriorityCapped, Request: "a", PriorityCap: 500, MemoryShare: 0.7}, nil)
		a := ended(g, 2010, "a", 0, ConnectionLost)
		assert.Equal(t, want, a[len(a)-1].Kind, offering)
		a = g.Step(2011, &Event{Kind: PriorityCapped, Request: "a", PriorityCap: 0}, nil)
		assert.NotContains(t, kinds(a), Send, offering)
	}
}

// How many controllers there are is heard: the part of an executor follows, the part of a cold one stays that of the settings.
func TestCountedControllers(t *testing.T) {
	g := gateway(1, func(s *Settings) { s.Controllers = 4; s.Slot = 1 })
	assert.Equal(t, 0.25, g.share())
	e, o := &g.executors[0], &g.offerings[0]
	o.usual, e.coldUntil = 100, 1e9
	before := g.coldPart(e)
	g.Step(1001, &Event{Kind: ControllersCounted, Value: 2}, nil)
	assert.Equal(t, 0.5, g.share())
	assert.Equal(t, before, g.coldPart(e))
	g.Step(1002, &Event{Kind: ControllersCounted, Value: 0}, nil)
	assert.Equal(t, 0.25, g.share(), "nothing is known")
}

// Places that are far get requests only where no near one has room, no more threads than are open there, none that it is not worth, and
// none that would be late on the way; what runs on kinds that are nowhere near goes there as if it were near.
func TestHowFarRequestsGo(t *testing.T) {
	far := func(r ZoneReach) *Scheduler {
		g := gateway(1, func(s *Settings) { s.Classes[2].Kinds = []string{"odd"} })
		g.Step(1000, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Zone: "there", Kind: "big"}, {Executor: 3, Zone: "there", Kind: "odd"}}}, nil)
		r.Zone, r.Tier = "there", 1
		g.Step(1000, &Event{Kind: ReachabilityChanged, Reaches: []ZoneReach{r}}, nil)
		return g
	}
	sent := func(g *Scheduler, offering string, n int) (by [4]int) {
		for k := range n {
			for _, a := range take(g, 1001, offering+string(rune('a'+k)), offering) {
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
	g := far(ZoneReach{Capacity: 1})
	sent(g, "read", 24)
	moved := 0
	for _, a := range g.Step(1002, &Event{Kind: ReachabilityChanged}, nil) {
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
		g := New(7, testSettings())
		g.began = -1e6
		g.Step(now-5000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: []Endpoint{{Executor: 1, Kind: "big"}, {Executor: 2, Kind: "big",
			StartedAt: now - hour/2}}}, nil)
		assert.Zero(t, g.executors[0].coldUntil+g.executors[1].coldUntil, name)
		g.Step(now, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 3, Kind: "big", StartedAt: since}}}, nil)
		assert.Equal(t, now+10000, g.executors[2].coldUntil, "%s: joined", name)
		g.Step(now+10, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Kind: "big", StartedAt: since}}}, nil)
		assert.Equal(t, now+10010, g.executors[1].coldUntil, "%s: started anew", name)
		g.Step(now+20, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Kind: "big", StartedAt: since}}}, nil)
		assert.Equal(t, now+10010, g.executors[1].coldUntil, "%s: told again", name)
	}
}

// What never left for want of something on this side judges no executor, uses up nothing of the ration, and is tried again after
// a while, elsewhere meanwhile; an irreversible request too, as nothing ran.
func TestWhatNeverLeftHereJudgesNoExecutor(t *testing.T) {
	for _, offering := range []string{"read", "once"} {
		g := gateway(4, func(s *Settings) {
			s.Controllers = 300
			s.RetryBudget.WindowMS = 10000
			s.RetryBudget.Floor = 0
			s.MaxAttempts = 2
		})
		take(g, 1000, "a", offering)
		for n := range 4 { // all executors, one after the other
			at := 1000 + 500*float64(n)
			assert.NotContains(t, kinds(ended(g, at, "a", n, LocalFailure)), Send, "not in the same moment")
			assert.Contains(t, kinds(beat(g, at+450)), Send, offering)
		}
		for x := range g.executors {
			assert.Equal(t, fit, g.executors[x].state)
			assert.Zero(t, g.executors[x].bad)
		}
		assert.Zero(t, g.extras.count())
		assert.Contains(t, kinds(ended(g, 3000, "a", 4, ConnectFailed)), map[string]ActionKind{"read": Reject, "once": Reject}[offering],
			"the next one would be beyond the first")
	}
	g := gateway(2, nil)
	take(g, 1000, "a", "read")
	g.executors[0].probeOut = true
	g.Step(1010, &Event{Kind: HealthChecked, Executor: 1, Outcome: LocalFailure}, nil)
	assert.Equal(t, []any{false, false, 0.0}, []any{g.executors[0].probeOut, g.executors[0].missed, g.executors[0].restUntil})
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
						g := New(uint64(slot*3+turn+1), testSettings(func(s *Settings) { s.Controllers = n; s.Slot = slot }))
						if g.began = -1e6; turn > 0 {
							g.Step(900, &Event{Kind: Started}, nil)
						}
						g.Step(1000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: []Endpoint{{Executor: 1, Kind: "big", StartedAt: 950}}}, nil)
						e, o := &g.executors[0], &g.offerings[0]
						o.usual, o.taken = usual, 50
						for ; g.warmEnough(o, e); sent++ {
							e.coldSent.add(g.now, usual)
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
	g := gateway(1, func(s *Settings) { s.NotifiedWithinMS = 7000; s.DrainGraceMS = 500 })
	e := &g.executors[0]
	lose := func(now, deemed float64) {
		g.Step(now, &Event{Kind: EndpointsUpdated, List: ListUnavailable, Deadline: 1400, PresumedAt: deemed}, nil)
	}
	lose(1500, 3400)
	assert.Equal(t, 3400+500-float64(closingMS), g.openUntil(e))
	e.tookAt = 3500
	assert.Equal(t, 3500+7500-float64(closingMS), g.openUntil(e))
	lose(5000, 9000)
	assert.Equal(t, 9000+500-float64(closingMS), g.openUntil(e))
	e.tookAt = 2000
	assert.Equal(t, 3400+500-float64(closingMS), g.openUntil(e))
	lose(6000, 0)
	assert.Equal(t, 3400+500-float64(closingMS), g.openUntil(e))
	for k := range 100 {
		lose(6000, 9100+float64(k))
	}
	assert.Len(t, g.deemed, mostDeemed)
	g.Step(7000, &Event{Kind: EndpointsUpdated, List: ListDelta}, nil)
	assert.True(t, math.IsInf(g.openUntil(e), 1))
}

// What controllers tell one another fits a datagram, however many executors there are: a longer one voids the run.
func TestTellingsFitADatagram(t *testing.T) {
	for _, n := range []int{80, 300, 508, 509, 3200} {
		g := New(7, testSettings(func(s *Settings) { s.MayMessagePeers = true; s.Controllers = 900; s.Slot = 0; s.Classes[0].Threads = 1 }))
		g.began = -1e6
		var list []Endpoint
		for x := range n {
			list = append(list, Endpoint{Executor: uint32(x)*2654435761 + 1, Kind: "big"})
		}
		g.Step(1000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: list}, nil)
		for x := range g.executors {
			g.executors[x].threads, g.executors[x].out = 1, 1
		}
		told := 0
		for _, a := range beat(g, 2000) {
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
		g := New(7, testSettings())
		g.began = -1e6
		g.Step(now, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: []Endpoint{{Executor: 1, Kind: "big", StartedAt: now - c.age}}}, nil)
		assert.Equal(t, c.cold, g.executors[0].coldUntil > now, "%v ms old by the clocks", c.age)
	}
}
