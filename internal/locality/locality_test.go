package locality

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// calm gives a world of three zones in two regions that has settled, at half load.
func calm(t *testing.T, each int) *world {
	w := newWorld(t, 3, each, testBounds())
	for _, s := range w.sites {
		s.wants = 60 / float64(each)
	}
	w.run(5000)
	for z := range w.sites {
		require.Equal(t, Healthy, w.state(z))
	}
	return w
}

func TestWholeZonesKeepToThemselves(t *testing.T) {
	w := calm(t, 4)
	assert.Len(t, w.plan.Pairs, 6, "what each may have of the others before it needs any")
	for k := range w.watches {
		for place, r := range w.reaches[k] {
			assert.NotEqual(t, fmt.Sprint("z", w.zoneOf[k]), place, "its own zone is near without bound")
			assert.EqualValues(t, 3, r.Capacity, "a fourth of half of half of what is left")
			assert.Equal(t, 1, r.Tier)
		}
	}
	before := w.plan.Number
	w.run(10_000)
	assert.LessOrEqual(t, w.plan.Number-before, uint64(1), "nothing changes, nothing is planned")
	w.clean()
}

// A zone's executors are lost at full load: what its controllers want goes to the others within what those have left, and back by stages.
func TestALostZone(t *testing.T) {
	w := calm(t, 4)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(1500)
	assert.Equal(t, Lost, w.state(0))
	w.run(2000)
	left := 0.8 * (1.2*100 - 60)
	assert.InDelta(t, 60, w.may(0, 1)+w.may(0, 2), 10, "what it wants")
	assert.LessOrEqual(t, w.may(0, 1), left)
	assert.Greater(t, w.may(0, 1), 10.0)
	assert.Greater(t, w.may(0, 2), 10.0, "both carry it")
	assert.Zero(t, w.may(1, 0)+w.may(2, 0))
	assert.Equal(t, 0.0, w.reaches[0]["z0"].Capacity)
	w.sites[0].up, w.sites[0].listed = 1, 1
	last, seen := 0.0, map[float64]bool{}
	for range 200 {
		w.run(100)
		if w.state(0) == Recovering {
			share := w.may(0, 0)
			assert.LessOrEqual(t, share, 0.7*1.2*100)
			assert.GreaterOrEqual(t, share, last, "good signs alone: it only grows")
			last = share
			seen[stages[w.plan.zone("z0").Stage]] = true
		}
	}
	assert.Len(t, seen, len(stages), "each stage")
	assert.Equal(t, Healthy, w.state(0))
	w.run(5000)
	assert.Nil(t, w.plan.Pair("z0", "z0"), "near again without bound")
	assert.LessOrEqual(t, w.may(0, 1), 0.5*left/2)
	w.clean()
}

func TestSignsOfAZone(t *testing.T) {
	for name, c := range map[string]struct {
		cause func(w *world)
		want  State
	}{
		"lost for half of its controllers only": {func(w *world) { w.sites[0].hidden = map[int]bool{0: true, 3: true} }, Suspected},
		"cut off from others alone":             {func(w *world) { w.sites[0].foreign = true }, Healthy},
		"its list is gone, it is not":           {func(w *world) { w.deaf = true }, Healthy},
		"slow":                                  {func(w *world) { w.sites[0].wants *= 3 }, Healthy},
		"half of it gone":                       {func(w *world) { w.sites[0].up, w.sites[0].listed = 0.5, 0.5 }, Degraded},
		"gone, with its controllers": {func(w *world) {
			w.sites[0].up, w.sites[0].listed = 0, 0
			for k := range w.watches {
				w.down[k] = w.zoneOf[k] == 0
			}
		}, Lost},
		"gone, together with the list": {func(w *world) {
			w.sites[0].up, w.deaf = 0, true
			for k := range w.watches {
				w.down[k] = w.zoneOf[k] == 0
			}
		}, Lost},
		"gone for its own, the list out of reach": {func(w *world) { w.sites[0].up, w.deaf = 0, true }, Suspected},
	} {
		t.Run(name, func(t *testing.T) {
			w := calm(t, 4)
			c.cause(w)
			w.run(4000)
			assert.Equal(t, c.want, w.state(0), "%v", w.plan.zone("z0").Reason)
			assert.Equal(t, Healthy, w.state(1))
			w.clean()
		})
	}
}

// Back and lost again and again: each time it waits longer, up to a bound, and the others are not asked to swing with it.
func TestAFlappingZone(t *testing.T) {
	w := calm(t, 4)
	returns, was := 0, Healthy
	for range 6 {
		for _, up := range []float64{0, 1} {
			w.sites[0].up, w.sites[0].listed = up, up
			for range 50 {
				w.run(100)
				if s := w.state(0); s != was {
					if was = s; s == Recovering {
						returns++
					}
				}
			}
		}
	}
	assert.LessOrEqual(t, returns, 3, "of six times that it was back for 5 s")
	assert.GreaterOrEqual(t, w.plan.zone("z0").Flaps, 1)
	w.clean()
	z := Zone{Flaps: 40}
	assert.Equal(t, float64(longWait), z.waits(&Settings{RecoveryWaitMS: 1000}))
}

// A controller that is cut off goes on with its part for a while, and with less and less of it; what it had is nobody else's meanwhile.
func TestCutOffWithAnOldPlan(t *testing.T) {
	w := calm(t, 4)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(4000)
	out := 9 // of z0, and no voter
	had := w.reaches[out]["z1"].Capacity + w.reaches[out]["z2"].Capacity
	require.Greater(t, had, 0.0)
	w.away[out] = true
	last := had
	for range 80 {
		w.run(100)
		now := w.reaches[out]["z1"].Capacity + w.reaches[out]["z2"].Capacity
		assert.LessOrEqual(t, now, last, "it never grows")
		last = now
	}
	assert.Zero(t, last)
	w.away[out] = false
	w.run(8000)
	assert.Greater(t, w.reaches[out]["z1"].Capacity+w.reaches[out]["z2"].Capacity, 0.0, "it is back")
	w.clean()
}

// The one who leads is lost with its zone, most voters are, there is no majority: plans are made by another, or none is; no cap is passed.
func TestTheCouncilAndTheZoneTogether(t *testing.T) {
	w := calm(t, 4)
	w.leader = 0
	w.run(1000)
	w.down[0] = true
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(6000)
	assert.Equal(t, Lost, w.state(0))
	assert.Greater(t, w.may(0, 1), 0.0)
	before := w.plan.Number
	w.down[1] = true // no majority
	w.sites[0].up, w.sites[0].listed = 1, 1
	w.run(8000)
	assert.Equal(t, before, w.plan.Number, "nothing is agreed")
	assert.Zero(t, w.may(0, 1)+w.may(0, 2), "no part outlives what confirms it")
	w.down[0], w.down[1] = false, false
	w.run(20_000)
	assert.Equal(t, Healthy, w.state(0))
	w.clean()
}

// Both others are thinned and full: nothing goes there that they can't carry.
func TestNoRoomElsewhere(t *testing.T) {
	w := calm(t, 4)
	w.sites[1].wants, w.sites[2].wants = 30, 30 // of each: as much as there is room
	w.run(3000)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(5000)
	assert.Zero(t, w.may(0, 1)+w.may(0, 2))
	w.clean()
}

// The receiving zone's own come first: as they want more, what others may have there shrinks.
func TestOwnSearchesFirst(t *testing.T) {
	w := calm(t, 4)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(5000)
	before := w.may(0, 1)
	w.sites[1].wants = 28
	w.run(5000)
	assert.Less(t, w.may(0, 1), before/2)
	w.clean()
}

func TestRegionsGoFirst(t *testing.T) {
	w := newWorld(t, 3, 4, testBounds())
	w.sites[2].region = "far"
	for k := range w.watches {
		w.watches[k].region = w.sites[w.zoneOf[k]].region
	}
	for _, s := range w.sites {
		s.wants = 10
	}
	w.run(5000)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(5000)
	assert.InDelta(t, 40, w.may(0, 1), 5, "the near one has room for all")
	assert.Zero(t, w.may(0, 2))
	w.sites[1].wants = 26
	w.run(8000)
	assert.Greater(t, w.may(0, 2), 10.0, "else the further one")
	assert.Equal(t, 2, w.reaches[0]["z2"].Tier)
	w.clean()
}

// An operator empties a zone; others join and leave meanwhile; the order lapses to the second, also where nobody can agree any more.
func TestOrders(t *testing.T) {
	w := calm(t, 4)
	w.orders = []Order{{Kind: Evacuate, Zone: "z0", Author: "kim", Until: w.unix + 5000}}
	for k := range w.watches {
		w.planned(k)
	}
	w.run(3000)
	assert.Equal(t, Evacuated, w.state(0))
	assert.Zero(t, w.may(0, 0))
	assert.Greater(t, w.may(0, 1), 0.0)
	w.run(2500)
	assert.Equal(t, Recovering, w.state(0))
	w.orders = append(w.orders, Order{Kind: Hold, Zone: "z0"})
	w.planned(w.leader)
	w.run(300)
	stage := w.plan.zone("z0").Stage
	w.run(5000)
	assert.Equal(t, stage, w.plan.zone("z0").Stage, "it is held")
	w.orders = []Order{{Kind: Evacuate, Zone: "z0", Until: w.unix + 4000}}
	for k := range w.watches {
		w.planned(k)
	}
	w.run(1500)
	w.down[1], w.down[2] = true, true
	w.run(8000)
	assert.Equal(t, Evacuated, w.state(0), "nobody could agree that it returns")
	assert.EqualValues(t, 1, w.reaches[3]["z0"].Capacity, "and yet it is not shut for ever")
	w.clean()
}

// The only zone with a kind: searches for it go there from everywhere as if it were near, and nowhere once it is lost.
func TestAKindThatOneZoneHas(t *testing.T) {
	w := newWorld(t, 2, 3, testBounds())
	w.sites[1].kinds = []string{"big", "type-a"}
	w.run(5000)
	assert.Equal(t, []string{"type-a"}, w.reaches[0]["z1"].ExclusiveKinds)
	w.sites[1].up, w.sites[1].listed = 0, 0
	w.run(4000)
	assert.Empty(t, w.reaches[0]["z1"].ExclusiveKinds)
	w.clean()
}

// Reports that are late, doubled, false by ten times, made up or of a version before do not open doors.
func TestFalseReports(t *testing.T) {
	w := calm(t, 4)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(5000)
	honest := w.may(0, 1) + w.may(0, 2)
	w.watches[3].own.DemandThreads *= 10
	for range 40 {
		w.run(100)
		w.watches[9].own.DemandThreads *= 10
	}
	assert.LessOrEqual(t, w.may(0, 1)+w.may(0, 2), 3*honest)
	leader := w.watches[w.leader]
	was := leader.Counts.Malformed
	for _, r := range []Report{{Zone: "z0", Observers: 1000}, {Zone: "z0", Observers: 2, DemandThreads: -1}, {Zone: "z0", Observers: 1, Observations: []Observation{{Zone: "z1", Unreachable: 5}}},
		{Zone: "z0", Observers: 2, WithoutList: 3}} {
		data, err := json.Marshal(letter{1 << 40, r})
		require.NoError(t, err)
		leader.Step(w.now, &Event{Kind: ReportReceived, From: w.name(0), Data: data})
	}
	leader.Step(w.now, &Event{Kind: ReportReceived, From: "x", Data: []byte("{")})
	assert.Equal(t, was+5, leader.Counts.Malformed)
	data, err := json.Marshal(letter{1, Report{Zone: "z2", Observers: 4, DemandThreads: 9}})
	require.NoError(t, err)
	stale := leader.Counts.Stale
	for range 2 {
		leader.Step(w.now, &Event{Kind: ReportReceived, From: w.name(2), Data: data})
	}
	assert.Greater(t, leader.Counts.Stale, stale, "the second is none")
	w.clean()
}

// A zone that is renamed by a reload: the old name goes, the new one is whole.
func TestARenamedZone(t *testing.T) {
	w := calm(t, 2)
	w.sites[2].listed = 0
	for k := range w.watches {
		w.down[k] = w.zoneOf[k] == 2
	}
	w.run(3000)
	assert.NotEqual(t, Healthy, w.state(2), "it looks lost first")
	w.run(200_000)
	assert.Equal(t, states, w.state(2), "and is forgotten in the end")
}

// What a controller sends does not grow with the fleet, and a plan is in force everywhere within a second or two.
func TestTrafficOfManyControllers(t *testing.T) {
	per := map[int]float64{}
	for _, each := range []int{10, 100} {
		w := newWorld(t, 3, each, testBounds())
		for _, s := range w.sites {
			s.wants = 60 / float64(each)
		}
		w.run(4000)
		w.bytes = 0
		w.run(4000)
		per[each] = float64(w.bytes) / float64(3*each) / 4
		w.sites[0].up, w.sites[0].listed = 0, 0
		at, took := w.now, 0.0
		for took == 0 && w.now < at+6000 {
			w.run(50)
			n := 0
			for k := range w.watches {
				if z := w.watches[k].Plan().zone("z0"); z != nil && z.State == Lost {
					n++
				}
			}
			if 100*n >= 95*len(w.watches) {
				took = w.now - at
			}
		}
		t.Logf("%d controllers: %.0f bytes/s each, the plan in force at 95%% after %.0f ms", 3*each, per[each], took)
		assert.NotZero(t, took)
		assert.Less(t, took, 2500.0)
		w.clean()
	}
	assert.Less(t, per[100], 1.5*per[10])
}

// A controller whose zone is written otherwise than the list has it takes all executors for near, and says so: nothing is denied for it.
func TestAZoneThatNobodyKnows(t *testing.T) {
	w := newWorld(t, 2, 2, testBounds())
	warned := 0
	x := New("c000", "zO", "r", testBounds())
	for range 3 {
		w.now += 300
		for _, ev := range []*Event{{Kind: Observed, Executors: w.sees(0)}, {Kind: Ticked}} {
			for _, e := range x.Step(w.now, ev) {
				if e.Kind == LogWarning {
					warned++
				}
			}
		}
	}
	assert.Equal(t, 1, warned)
	assert.Empty(t, x.Reaches())
}

// Where a leader gives on at once what it takes away, all together may have more than a cap: the check sees that.
func TestTheCheckSeesPartsGivenOnTooSoon(t *testing.T) {
	w := calm(t, 4)
	for k := range w.watches {
		w.watches[k].planner.careless = true
	}
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(6000)
	for _, k := range []int{9, 6} {
		w.away[k] = true
		w.run(2000)
	}
	assert.NotEmpty(t, w.over)
}

// What if: the same figures as a plan's, at what is wanted now and at the last hour's peak; nothing comes of it.
func TestWhatIf(t *testing.T) {
	w := calm(t, 4)
	leader := w.watches[w.leader]
	for k := range w.sites {
		w.sites[k].wants = 25
	}
	w.run(3000)
	for k := range w.sites {
		w.sites[k].wants = 10
	}
	w.run(4000)
	before := w.plan.Number
	now, err := leader.WhatIf("z0", false)
	require.NoError(t, err)
	peak, err := leader.WhatIf("z0", true)
	require.NoError(t, err)
	find := func(lines []string, text string) string {
		for _, line := range lines {
			if strings.Contains(line, text) {
				return line
			}
		}
		return ""
	}
	assert.Contains(t, find(now, "searches want"), "want 40 threads, 40 find room elsewhere, for 0")
	assert.Contains(t, find(peak, "searches want"), "want 100 threads")
	assert.NotContains(t, find(peak, "searches want"), "for 0 there")
	assert.NotEmpty(t, find(now, "fills first"))
	assert.NotEmpty(t, find(now, "z0 to z2"))
	_, err = leader.WhatIf("nowhere", false)
	assert.Error(t, err)
	both, err := leader.WhatIf("r", false)
	require.NoError(t, err)
	assert.NotEmpty(t, find(both, "z1 alone has executors of kind big"), "a region: nobody is left")
	assert.Equal(t, before, w.plan.Number)
	assert.Equal(t, Healthy, w.state(0))
}

// One controller of a zone wants more of another than its part, its mates less: it borrows, they do without, and all together stay within
// the cap, also while messages are lost, doubled, and a lender or borrower is cut off.
func TestPartsAreLent(t *testing.T) {
	w := calm(t, 8)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(6000)
	had := w.reaches[0]["z1"].Capacity + w.reaches[0]["z2"].Capacity
	require.Greater(t, had, 0.0)
	for k := range w.watches {
		if w.zoneOf[k] == 0 {
			w.outs[k] = map[string]float64{"wants": 0}
		}
	}
	w.outs[0]["wants"] = 40
	w.outs[3]["wants"] = 3
	most := 0.0
	for n := range 100 {
		for k := range w.outs { // each has out what it wants and may, the first zone first
			left := w.outs[k]["wants"]
			for _, z := range []string{"z1", "z2"} {
				w.outs[k][z] = min(left, w.reaches[k][z].Capacity)
				left -= w.outs[k][z]
			}
		}
		w.run(100)
		most = max(most, w.reaches[0]["z1"].Capacity+w.reaches[0]["z2"].Capacity)
		if n == 40 {
			w.loss = 0.2
		}
		if n == 70 {
			w.away[6] = true
		}
		for _, z := range []string{"z1", "z2"} {
			out := 0.0
			for k := range w.outs {
				out += min(w.outs[k][z], max(w.outs[k][z], 0))
			}
			assert.LessOrEqual(t, out, 50.0)
		}
	}
	assert.Greater(t, most, had+3, "it borrowed")
	assert.NotZero(t, w.watches[0].Counts.Borrowed)
	w.clean()
	w.away[0] = true
	w.run(4000)
	assert.Empty(t, w.watches[0].loans.got, "a loan ends by itself")
	w.run(4000)
	for _, x := range w.watches {
		assert.Empty(t, x.loans.lent)
	}
	w.clean()
}

// A loan is of what the module is seen not to use: as long as it has more out than what would be left, nothing is lent; what comes twice, late,
// unasked or from elsewhere counts for nothing.
func TestLoansRest(t *testing.T) {
	w := calm(t, 4)
	x := w.watches[3] // of z0
	ask := func(from string, nonce uint64) (given float64) {
		for _, e := range x.Step(w.now, &Event{Kind: LoanRequested, From: from, Zone: "z1", PlanNumber: nonce}) {
			if e.Kind == GrantLoan {
				given += e.Threads
			}
		}
		return given
	}
	seen := func(out float64, applied uint64) {
		w.outs[3] = map[string]float64{"wants": out, "z1": out}
		x.Step(w.now, &Event{Kind: Observed, Executors: w.sees(3), DemandThreads: out, Applied: applied})
	}
	part := x.plan.Pair("z0", "z1").part("c003")
	require.GreaterOrEqual(t, part, 3.0)
	seen(0, x.gen)
	assert.Zero(t, ask("c000", 1), "it is kept first")
	assert.Less(t, x.room("z1", 1), part)
	seen(0, x.gen-1)
	assert.Zero(t, ask("c000", 2), "the module may not have heard yet")
	seen(part, x.gen)
	assert.Zero(t, ask("c000", 3), "it has too much out")
	seen(0, x.gen)
	assert.Zero(t, ask("c001", 4), "of another zone")
	given := ask("c000", 5)
	assert.Positive(t, given)
	assert.Zero(t, ask("c000", 5), "it came twice")
	assert.LessOrEqual(t, x.room("z1", 1)+given, part)
	assert.Empty(t, x.Step(w.now, &Event{Kind: LoanGranted, From: "c000", Zone: "z1", PlanNumber: 77, Threads: 5}), "nobody asked")
	w.now += 10_000
	seen(0, x.gen)
	assert.Zero(t, ask("c000", 6), "its part is not confirmed any more")
}

// An order lasts for a span of real time: wall clocks that are stepped by an hour, forward or back, neither end it nor prolong it.
func TestAnOrderLastsForItsSpanWhateverTheWallClocksSay(t *testing.T) {
	for _, step := range []int64{-3600_000, 3600_000} {
		w := calm(t, 4)
		w.orders = []Order{{Kind: Evacuate, Zone: "z0", Author: "kim", Until: w.unix + 5000, SpanMS: 5000}}
		for k := range w.watches {
			w.planned(k)
		}
		w.run(1500)
		w.unix += step
		w.run(2500)
		assert.Equal(t, Evacuated, w.state(0), "stepped by %d ms: it holds", step)
		w.run(2500)
		assert.Equal(t, Recovering, w.state(0), "stepped by %d ms: it has ended", step)
		w.clean()
	}
}
