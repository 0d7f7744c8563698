package locality

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newSettledWorld returns a simulated fleet of three zones that has settled, at half load.
func newSettledWorld(t *testing.T, each int) *world {
	w := newWorld(t, 3, each, testSettings())
	for _, s := range w.sites {
		s.wants = 60 / float64(each)
	}
	w.run(5000)
	for z := range w.sites {
		require.Equal(t, Healthy, w.state(z))
	}
	return w
}

// While all zones are healthy, requests stay in their zone and the plan does not change.
func TestPlan_HealthyZonesUseOwnExecutors(t *testing.T) {
	w := newSettledWorld(t, 4)
	assert.Len(t, w.plan.Pairs, 6, "the standing caps between all zones")
	for k := range w.monitors {
		for place, r := range w.reaches[k] {
			assert.NotEqual(t, fmt.Sprint("z", w.zoneOf[k]), place, "its own zone has no limit")
			assert.EqualValues(t, 3, r.Capacity, "a fourth of half of half of the spare capacity")
			assert.Equal(t, 1, r.Tier)
		}
	}
	before := w.plan.Number
	w.run(10_000)
	assert.LessOrEqual(t, w.plan.Number-before, uint64(1), "without a change there is no new plan")
	w.assertNoViolations()
}

// At full load a zone's executors are lost: its requests go to the others within their spare capacity, and come back by stages.
func TestPlan_LostZoneFailsOverAndRecovers(t *testing.T) {
	w := newSettledWorld(t, 4)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(1500)
	assert.Equal(t, Lost, w.state(0))
	w.run(2000)
	left := 0.8 * (1.2*100 - 60)
	assert.InDelta(t, 60, w.reachableThreads(0, 1)+w.reachableThreads(0, 2), 10, "its demand")
	assert.LessOrEqual(t, w.reachableThreads(0, 1), left)
	assert.Greater(t, w.reachableThreads(0, 1), 10.0)
	assert.Greater(t, w.reachableThreads(0, 2), 10.0, "both zones take requests")
	assert.Zero(t, w.reachableThreads(1, 0)+w.reachableThreads(2, 0))
	assert.Equal(t, 0.0, w.reaches[0]["z0"].Capacity)
	w.sites[0].up, w.sites[0].listed = 1, 1
	last, seen := 0.0, map[float64]bool{}
	for range 200 {
		w.run(100)
		if w.state(0) == Recovering {
			share := w.reachableThreads(0, 0)
			assert.LessOrEqual(t, share, 0.7*1.2*100)
			assert.GreaterOrEqual(t, share, last, "without bad signs it only grows")
			last = share
			seen[recoveryStages[w.plan.findZone("z0").Stage]] = true
		}
	}
	assert.Len(t, seen, len(recoveryStages), "each stage")
	assert.Equal(t, Healthy, w.state(0))
	w.run(5000)
	assert.Nil(t, w.plan.Pair("z0", "z0"), "its own zone has no limit again")
	assert.LessOrEqual(t, w.reachableThreads(0, 1), 0.5*left/2)
	w.assertNoViolations()
}

// A zone's state follows the evidence of its own controllers, of others, of the endpoint list and of the membership view.
func TestPlan_ClassifiesZones(t *testing.T) {
	for name, c := range map[string]struct {
		cause func(w *world)
		want  State
	}{
		"lost for half of its controllers only": {func(w *world) { w.sites[0].hidden = map[int]bool{0: true, 3: true} }, Suspected},
		"cut off from others alone":             {func(w *world) { w.sites[0].foreign = true }, Healthy},
		"its list is gone, it is not":           {func(w *world) { w.listUnavailable = true }, Healthy},
		"slow":                                  {func(w *world) { w.sites[0].wants *= 3 }, Healthy},
		"half of it gone":                       {func(w *world) { w.sites[0].up, w.sites[0].listed = 0.5, 0.5 }, Degraded},
		"gone, with its controllers": {func(w *world) {
			w.sites[0].up, w.sites[0].listed = 0, 0
			for k := range w.monitors {
				w.down[k] = w.zoneOf[k] == 0
			}
		}, Lost},
		"gone, together with the list": {func(w *world) {
			w.sites[0].up, w.listUnavailable = 0, true
			for k := range w.monitors {
				w.down[k] = w.zoneOf[k] == 0
			}
		}, Lost},
		"gone for its own, the list out of reach": {func(w *world) { w.sites[0].up, w.listUnavailable = 0, true }, Suspected},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSettledWorld(t, 4)
			c.cause(w)
			w.run(4000)
			assert.Equal(t, c.want, w.state(0), "%v", w.plan.findZone("z0").Reason)
			assert.Equal(t, Healthy, w.state(1))
			w.assertNoViolations()
		})
	}
}

// A zone that is lost again and again waits longer each time, up to a bound.
func TestPlan_FlappingZoneWaitsLonger(t *testing.T) {
	w := newSettledWorld(t, 4)
	recoveries, previous := 0, Healthy
	for range 6 {
		for _, up := range []float64{0, 1} {
			w.sites[0].up, w.sites[0].listed = up, up
			for range 50 {
				w.run(100)
				if s := w.state(0); s != previous {
					previous = s
					if s == Recovering {
						recoveries++
					}
				}
			}
		}
	}
	assert.LessOrEqual(t, recoveries, 3, "of six times that it was reachable for 5 s")
	assert.GreaterOrEqual(t, w.plan.findZone("z0").Flaps, 1)
	w.assertNoViolations()
	z := Zone{Flaps: 40}
	assert.Equal(t, float64(maxRecoveryWaitMS), z.recoveryWaitMS(&Settings{RecoveryWaitMS: 1000}))
}

// A partitioned controller goes on with its share, then with less and less of it; nobody else gets it meanwhile.
func TestShares_PartitionedControllerLosesItsShare(t *testing.T) {
	w := newSettledWorld(t, 4)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(4000)
	isolated := 9 // of z0, and no voter
	had := w.reaches[isolated]["z1"].Capacity + w.reaches[isolated]["z2"].Capacity
	require.Greater(t, had, 0.0)
	w.partitioned[isolated] = true
	last := had
	for range 80 {
		w.run(100)
		now := w.reaches[isolated]["z1"].Capacity + w.reaches[isolated]["z2"].Capacity
		assert.LessOrEqual(t, now, last, "it never grows")
		last = now
	}
	assert.Zero(t, last)
	w.partitioned[isolated] = false
	w.run(8000)
	assert.Greater(t, w.reaches[isolated]["z1"].Capacity+w.reaches[isolated]["z2"].Capacity, 0.0, "it has a share again")
	w.assertNoViolations()
}

// The leader is lost with its zone, then the majority: another leader makes the plans, or nobody does; no cap is exceeded.
func TestPlan_LeaderLostWithItsZone(t *testing.T) {
	w := newSettledWorld(t, 4)
	w.leader = 0
	w.run(1000)
	w.down[0] = true
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(6000)
	assert.Equal(t, Lost, w.state(0))
	assert.Greater(t, w.reachableThreads(0, 1), 0.0)
	before := w.plan.Number
	w.down[1] = true // no majority
	w.sites[0].up, w.sites[0].listed = 1, 1
	w.run(8000)
	assert.Equal(t, before, w.plan.Number, "without a majority there is no new plan")
	assert.Zero(t, w.reachableThreads(0, 1)+w.reachableThreads(0, 2), "no share outlives its confirmation")
	w.down[0], w.down[1] = false, false
	w.run(20_000)
	assert.Equal(t, Healthy, w.state(0))
	w.assertNoViolations()
}

// Where both other zones are full, nothing is sent there.
func TestPlan_FullZonesTakeNothing(t *testing.T) {
	w := newSettledWorld(t, 4)
	w.sites[1].wants, w.sites[2].wants = 30, 30 // for each controller: all of the capacity
	w.run(3000)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(5000)
	assert.Zero(t, w.reachableThreads(0, 1)+w.reachableThreads(0, 2))
	w.assertNoViolations()
}

// As a zone's own demand grows, others may use less of it.
func TestPlan_OwnRequestsComeFirst(t *testing.T) {
	w := newSettledWorld(t, 4)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(5000)
	before := w.reachableThreads(0, 1)
	w.sites[1].wants = 28
	w.run(5000)
	assert.Less(t, w.reachableThreads(0, 1), before/2)
	w.assertNoViolations()
}

// Requests go to another region only where their own has no capacity.
func TestPlan_PrefersSameRegion(t *testing.T) {
	w := newWorld(t, 3, 4, testSettings())
	w.sites[2].region = "far"
	for k := range w.monitors {
		w.monitors[k].region = w.sites[w.zoneOf[k]].region
	}
	for _, s := range w.sites {
		s.wants = 10
	}
	w.run(5000)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(5000)
	assert.InDelta(t, 40, w.reachableThreads(0, 1), 5, "the zone of the same region takes all")
	assert.Zero(t, w.reachableThreads(0, 2))
	w.sites[1].wants = 26
	w.run(8000)
	assert.Greater(t, w.reachableThreads(0, 2), 10.0, "the other region takes the rest")
	assert.Equal(t, 2, w.reaches[0]["z2"].Tier)
	w.assertNoViolations()
}

// An operator evacuates a zone; the order ends in time, also where nobody can agree any more.
func TestPlan_FollowsOrders(t *testing.T) {
	w := newSettledWorld(t, 4)
	w.orders = []Order{{Kind: Evacuate, Zone: "z0", Author: "kim", Until: w.unix + 5000}}
	for k := range w.monitors {
		w.deliverPlan(k)
	}
	w.run(3000)
	assert.Equal(t, Evacuated, w.state(0))
	assert.Zero(t, w.reachableThreads(0, 0))
	assert.Greater(t, w.reachableThreads(0, 1), 0.0)
	w.run(2500)
	assert.Equal(t, Recovering, w.state(0))
	w.orders = append(w.orders, Order{Kind: Hold, Zone: "z0"})
	w.deliverPlan(w.leader)
	w.run(300)
	stage := w.plan.findZone("z0").Stage
	w.run(5000)
	assert.Equal(t, stage, w.plan.findZone("z0").Stage, "the stage is on hold")
	w.orders = []Order{{Kind: Evacuate, Zone: "z0", Until: w.unix + 4000}}
	for k := range w.monitors {
		w.deliverPlan(k)
	}
	w.run(1500)
	w.down[1], w.down[2] = true, true
	w.run(8000)
	assert.Equal(t, Evacuated, w.state(0), "nobody can agree on its recovery")
	assert.EqualValues(t, 1, w.reaches[3]["z0"].Capacity, "it takes one request at a time all the same")
	w.assertNoViolations()
}

// Requests for a kind that one zone alone has go there from everywhere, and nowhere once it is lost.
func TestReach_KindOfOneZoneOnly(t *testing.T) {
	w := newWorld(t, 2, 3, testSettings())
	w.sites[1].kinds = []string{"big", "type-a"}
	w.run(5000)
	assert.Equal(t, []string{"type-a"}, w.reaches[0]["z1"].ExclusiveKinds)
	w.sites[1].up, w.sites[1].listed = 0, 0
	w.run(4000)
	assert.Empty(t, w.reaches[0]["z1"].ExclusiveKinds)
	w.assertNoViolations()
}

// Reports that are late, duplicated, wrong by far, forged or malformed do not open zones.
func TestMonitor_RejectsImplausibleReports(t *testing.T) {
	w := newSettledWorld(t, 4)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(5000)
	honest := w.reachableThreads(0, 1) + w.reachableThreads(0, 2)
	w.monitors[3].ownReport.DemandThreads *= 10
	for range 40 {
		w.run(100)
		w.monitors[9].ownReport.DemandThreads *= 10
	}
	assert.LessOrEqual(t, w.reachableThreads(0, 1)+w.reachableThreads(0, 2), 3*honest)
	leader := w.monitors[w.leader]
	malformed := leader.Counts.Malformed
	for _, r := range []Report{{Zone: "z0", Observers: 1000}, {Zone: "z0", Observers: 2, DemandThreads: -1}, {Zone: "z0", Observers: 1, Observations: []Observation{{Zone: "z1", Unreachable: 5}}},
		{Zone: "z0", Observers: 2, WithoutList: 3}} {
		data, err := json.Marshal(reportMessage{1 << 40, r})
		require.NoError(t, err)
		leader.Step(w.now, &Event{Kind: ReportReceived, From: w.name(0), Data: data})
	}
	leader.Step(w.now, &Event{Kind: ReportReceived, From: "x", Data: []byte("{")})
	assert.Equal(t, malformed+5, leader.Counts.Malformed)
	data, err := json.Marshal(reportMessage{1, Report{Zone: "z2", Observers: 4, DemandThreads: 9}})
	require.NoError(t, err)
	stale := leader.Counts.Stale
	for range 2 {
		leader.Step(w.now, &Event{Kind: ReportReceived, From: w.name(2), Data: data})
	}
	assert.Greater(t, leader.Counts.Stale, stale, "the duplicate does not count")
	w.assertNoViolations()
}

// A zone that was renamed looks lost and is forgotten in the end.
func TestPlan_ForgetsRenamedZone(t *testing.T) {
	w := newSettledWorld(t, 2)
	w.sites[2].listed = 0
	for k := range w.monitors {
		w.down[k] = w.zoneOf[k] == 2
	}
	w.run(3000)
	assert.NotEqual(t, Healthy, w.state(2), "it looks lost at first")
	w.run(200_000)
	assert.Equal(t, stateCount, w.state(2), "it is forgotten in the end")
}

// What a controller sends does not grow with the fleet, and a plan is in force everywhere within seconds.
func TestMonitor_TrafficDoesNotGrowWithFleet(t *testing.T) {
	per := map[int]float64{}
	for _, each := range []int{10, 100} {
		w := newWorld(t, 3, each, testSettings())
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
			for k := range w.monitors {
				if z := w.monitors[k].Plan().findZone("z0"); z != nil && z.State == Lost {
					n++
				}
			}
			if 100*n >= 95*len(w.monitors) {
				took = w.now - at
			}
		}
		t.Logf("%d controllers: %.0f bytes/s each, the plan in force at 95%% after %.0f ms", 3*each, per[each], took)
		assert.NotZero(t, took)
		assert.Less(t, took, 2500.0)
		w.assertNoViolations()
	}
	assert.Less(t, per[100], 1.5*per[10])
}

// A controller whose zone has no executors treats all executors as local and warns once.
func TestReach_UnknownOwnZoneIsUnlimited(t *testing.T) {
	w := newWorld(t, 2, 2, testSettings())
	warned := 0
	x := New("c000", "zO", "r", testSettings())
	for range 3 {
		w.now += 300
		for _, ev := range []*Event{{Kind: Observed, Executors: w.executorsSeenBy(0)}, {Kind: Ticked}} {
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

// The world's check detects a planner that grants revoked shares at once.
func TestWorld_DetectsSharesGrantedTooSoon(t *testing.T) {
	w := newSettledWorld(t, 4)
	for k := range w.monitors {
		w.monitors[k].planner.skipRevocation = true
	}
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(6000)
	for _, k := range []int{9, 6} {
		w.partitioned[k] = true
		w.run(2000)
	}
	assert.NotEmpty(t, w.violations)
}

// WhatIf uses the figures of a plan, for the present demand and for that of the last hour's peak, and changes nothing.
func TestMonitor_WhatIf(t *testing.T) {
	w := newSettledWorld(t, 4)
	leader := w.monitors[w.leader]
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
	assert.Contains(t, find(now, "requests demand"), "demand 40 threads, 40 find capacity elsewhere, for 0")
	assert.Contains(t, find(peak, "requests demand"), "demand 100 threads")
	assert.NotContains(t, find(peak, "requests demand"), "for 0 there")
	assert.NotEmpty(t, find(now, "fills first"))
	assert.NotEmpty(t, find(now, "z0 to z2"))
	_, err = leader.WhatIf("nowhere", false)
	assert.Error(t, err)
	both, err := leader.WhatIf("r", false)
	require.NoError(t, err)
	assert.NotEmpty(t, find(both, "z1 alone has executors of kind big"), "in a region, no zone is left")
	assert.Equal(t, before, w.plan.Number)
	assert.Equal(t, Healthy, w.state(0))
}

// A controller that needs more of a zone than its share borrows from others of its zone. Together they stay within the cap, also while
// messages are lost and a lender or borrower is partitioned.
func TestLoans_StayWithinCap(t *testing.T) {
	w := newSettledWorld(t, 8)
	w.sites[0].up, w.sites[0].listed = 0, 0
	w.run(6000)
	had := w.reaches[0]["z1"].Capacity + w.reaches[0]["z2"].Capacity
	require.Greater(t, had, 0.0)
	for k := range w.monitors {
		if w.zoneOf[k] == 0 {
			w.inFlight[k] = map[string]float64{"wants": 0}
		}
	}
	w.inFlight[0]["wants"] = 40
	w.inFlight[3]["wants"] = 3
	most := 0.0
	for n := range 100 {
		for k := range w.inFlight { // each uses what it needs and may, the first zone first
			left := w.inFlight[k]["wants"]
			for _, z := range []string{"z1", "z2"} {
				w.inFlight[k][z] = min(left, w.reaches[k][z].Capacity)
				left -= w.inFlight[k][z]
			}
		}
		w.run(100)
		most = max(most, w.reaches[0]["z1"].Capacity+w.reaches[0]["z2"].Capacity)
		if n == 40 {
			w.loss = 0.2
		}
		if n == 70 {
			w.partitioned[6] = true
		}
		for _, z := range []string{"z1", "z2"} {
			out := 0.0
			for k := range w.inFlight {
				out += min(w.inFlight[k][z], max(w.inFlight[k][z], 0))
			}
			assert.LessOrEqual(t, out, 50.0)
		}
	}
	assert.Greater(t, most, had+3, "it borrowed")
	assert.NotZero(t, w.monitors[0].Counts.Borrowed)
	w.assertNoViolations()
	w.partitioned[0] = true
	w.run(4000)
	assert.Empty(t, w.monitors[0].loans.borrowed, "a loan expires by itself")
	w.run(4000)
	for _, x := range w.monitors {
		assert.Empty(t, x.loans.lent)
	}
	w.assertNoViolations()
}

// A controller lends only what its scheduler is seen not to use. Duplicate, late, unrequested and foreign messages are ignored.
func TestLoans_LendOnlyWhatIsUnused(t *testing.T) {
	w := newSettledWorld(t, 4)
	x := w.monitors[3] // of z0
	request := func(from string, nonce uint64) (given float64) {
		for _, e := range x.Step(w.now, &Event{Kind: LoanRequested, From: from, Zone: "z1", PlanNumber: nonce}) {
			if e.Kind == GrantLoan {
				given += e.Threads
			}
		}
		return given
	}
	observe := func(inFlight float64, applied uint64) {
		w.inFlight[3] = map[string]float64{"wants": inFlight, "z1": inFlight}
		x.Step(w.now, &Event{Kind: Observed, Executors: w.executorsSeenBy(3), DemandThreads: inFlight, Applied: applied})
	}
	share := x.plan.Pair("z0", "z1").threadsOf("c003")
	require.GreaterOrEqual(t, share, 3.0)
	observe(0, x.reachVersion)
	assert.Zero(t, request("c000", 1), "it is reserved first")
	assert.Less(t, x.capacityOf("z1", 1), share)
	observe(0, x.reachVersion-1)
	assert.Zero(t, request("c000", 2), "the scheduler may not have applied it yet")
	observe(share, x.reachVersion)
	assert.Zero(t, request("c000", 3), "too much is in flight")
	observe(0, x.reachVersion)
	assert.Zero(t, request("c001", 4), "of another zone")
	given := request("c000", 5)
	assert.Positive(t, given)
	assert.Zero(t, request("c000", 5), "a duplicate")
	assert.LessOrEqual(t, x.capacityOf("z1", 1)+given, share)
	assert.Empty(t, x.Step(w.now, &Event{Kind: LoanGranted, From: "c000", Zone: "z1", PlanNumber: 77, Threads: 5}), "there was no request")
	w.now += 10_000
	observe(0, x.reachVersion)
	assert.Zero(t, request("c000", 6), "its share is not confirmed any more")
}

// An order with a span ends after that span, even if wall clocks are stepped by an hour either way.
func TestOrders_SpanIgnoresWallClockSteps(t *testing.T) {
	for _, step := range []int64{-3600_000, 3600_000} {
		w := newSettledWorld(t, 4)
		w.orders = []Order{{Kind: Evacuate, Zone: "z0", Author: "kim", Until: w.unix + 5000, SpanMS: 5000}}
		for k := range w.monitors {
			w.deliverPlan(k)
		}
		w.run(1500)
		w.unix += step
		w.run(2500)
		assert.Equal(t, Evacuated, w.state(0), "stepped by %d ms: in force", step)
		w.run(2500)
		assert.Equal(t, Recovering, w.state(0), "stepped by %d ms: ended", step)
		w.assertNoViolations()
	}
}
