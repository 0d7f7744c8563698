package locality

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newSettledFleet returns a simulated fleet of three zones that has settled, at half load.
func newSettledFleet(t *testing.T, controllersPerZone int) *simulatedFleet {
	fleet := newSimulatedFleet(t, 3, controllersPerZone, testSettings())
	for _, zone := range fleet.zones {
		zone.demandThreads = 60 / float64(controllersPerZone)
	}
	fleet.run(5000)
	for zone := range fleet.zones {
		require.Equal(t, Healthy, fleet.state(zone), zoneName(zone))
	}
	return fleet
}

// While all zones are healthy, requests stay in their zone except for the standing caps, and the plan does not change.
func TestPlan_HealthyZonesUseOwnExecutors(t *testing.T) {
	fleet := newSettledFleet(t, 4)
	assert.Len(t, fleet.plan.Pairs, 6, "there is a standing cap between any two zones")
	for k := range fleet.monitors {
		for zone, reach := range fleet.reaches[k] {
			assert.NotEqual(t, zoneName(fleet.zoneOf[k]), zone, "the controller's own zone has no limit")
			assert.EqualValues(t, 3, reach.Capacity, "one of 4 controllers gets a fourth of a standing cap")
			assert.Equal(t, 1, reach.Tier)
		}
	}
	before := fleet.plan.Number
	fleet.run(10_000)
	assert.LessOrEqual(t, fleet.plan.Number-before, uint64(1), "without a change there is at most one new plan")
	fleet.assertNoViolations()
}

// The requests of a lost zone go to the other zones within their spare capacity, and return in stages once the zone
// recovers.
func TestPlan_LostZoneFailsOverAndRecovers(t *testing.T) {
	fleet := newSettledFleet(t, 4)
	fleet.zones[0].reachable, fleet.zones[0].listed = 0, 0
	fleet.run(1500)
	assert.Equal(t, Lost, fleet.state(0))
	fleet.run(2000)
	spare := 0.8 * (1.2*100 - 60) // threads of each other zone
	assert.InDelta(t, 60, fleet.reachableThreads(0, 1)+fleet.reachableThreads(0, 2), 10, "the demand of the lost zone")
	assert.LessOrEqual(t, fleet.reachableThreads(0, 1), spare)
	assert.Greater(t, fleet.reachableThreads(0, 1), 10.0)
	assert.Greater(t, fleet.reachableThreads(0, 2), 10.0, "both other zones take requests")
	assert.Zero(t, fleet.reachableThreads(1, 0)+fleet.reachableThreads(2, 0))
	assert.Equal(t, 0.0, fleet.reaches[0]["z0"].Capacity)
	fleet.zones[0].reachable, fleet.zones[0].listed = 1, 1
	previous, stagesSeen := 0.0, map[float64]bool{}
	for range 200 {
		fleet.run(100)
		if fleet.state(0) == Recovering {
			threads := fleet.reachableThreads(0, 0)
			assert.LessOrEqual(t, threads, 0.7*1.2*100)
			assert.GreaterOrEqual(t, threads, previous, "the open capacity only grows while the zone is reachable")
			previous = threads
			stagesSeen[recoveryStages[fleet.plan.findZone("z0").Stage]] = true
		}
	}
	assert.Len(t, stagesSeen, len(recoveryStages), "the zone passes each stage")
	assert.Equal(t, Healthy, fleet.state(0))
	fleet.run(5000)
	assert.Nil(t, fleet.plan.Pair("z0", "z0"), "the own zone has no limit again")
	assert.LessOrEqual(t, fleet.reachableThreads(0, 1), 0.5*spare/2)
	fleet.assertNoViolations()
}

// A zone's state follows the evidence of its own controllers, of others, of the endpoint list and of the membership
// view.
func TestPlan_ClassifiesZones(t *testing.T) {
	for name, test := range map[string]struct {
		cause func(fleet *simulatedFleet)
		want  State
	}{
		"unreachable for half of its controllers": {func(fleet *simulatedFleet) {
			fleet.zones[0].hiddenFrom = map[int]bool{0: true, 3: true}
		}, Suspected},
		"unreachable for other zones only": {func(fleet *simulatedFleet) { fleet.zones[0].hiddenFromOthers = true }, Healthy},
		"endpoint list unavailable":        {func(fleet *simulatedFleet) { fleet.listUnavailable = true }, Healthy},
		"overloaded":                       {func(fleet *simulatedFleet) { fleet.zones[0].demandThreads *= 3 }, Healthy},
		"half of its executors lost": {func(fleet *simulatedFleet) {
			fleet.zones[0].reachable, fleet.zones[0].listed = 0.5, 0.5
		}, Degraded},
		"executors and controllers lost": {func(fleet *simulatedFleet) {
			fleet.zones[0].reachable, fleet.zones[0].listed = 0, 0
			for k := range fleet.monitors {
				fleet.down[k] = fleet.zoneOf[k] == 0
			}
		}, Lost},
		"executors and controllers lost, endpoint list unavailable": {func(fleet *simulatedFleet) {
			fleet.zones[0].reachable, fleet.listUnavailable = 0, true
			for k := range fleet.monitors {
				fleet.down[k] = fleet.zoneOf[k] == 0
			}
		}, Lost},
		"executors lost, endpoint list unavailable": {func(fleet *simulatedFleet) {
			fleet.zones[0].reachable, fleet.listUnavailable = 0, true
		}, Suspected},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newSettledFleet(t, 4)
			test.cause(fleet)
			fleet.run(4000)
			assert.Equal(t, test.want, fleet.state(0), "z0: %s", fleet.plan.findZone("z0").Reason)
			assert.Equal(t, Healthy, fleet.state(1))
			fleet.assertNoViolations()
		})
	}
}

// A zone that is lost repeatedly waits longer each time before it recovers, up to a limit.
func TestPlan_FlappingZoneWaitsLonger(t *testing.T) {
	fleet := newSettledFleet(t, 4)
	recoveries, previous := 0, Healthy
	for range 6 {
		for _, up := range []float64{0, 1} {
			fleet.zones[0].reachable, fleet.zones[0].listed = up, up
			for range 50 {
				fleet.run(100)
				if s := fleet.state(0); s != previous {
					previous = s
					if s == Recovering {
						recoveries++
					}
				}
			}
		}
	}
	assert.LessOrEqual(t, recoveries, 3, "z0 was reachable six times for 5 s")
	assert.GreaterOrEqual(t, fleet.plan.findZone("z0").Flaps, 1)
	fleet.assertNoViolations()
	zone := Zone{Flaps: 40}
	assert.Equal(t, float64(maxRecoveryWaitMS), zone.recoveryWaitMS(&Settings{RecoveryWaitMS: 1000}))
}

// A partitioned controller keeps its share at first and loses it gradually. No other controller gets it meanwhile.
func TestShares_PartitionedControllerLosesItsShare(t *testing.T) {
	fleet := newSettledFleet(t, 4)
	fleet.zones[0].reachable, fleet.zones[0].listed = 0, 0
	fleet.run(4000)
	isolated := 9 // a controller of z0 that is no voter
	threadsBefore := fleet.reaches[isolated]["z1"].Capacity + fleet.reaches[isolated]["z2"].Capacity
	require.Greater(t, threadsBefore, 0.0)
	fleet.partitioned[isolated] = true
	last := threadsBefore
	for range 80 {
		fleet.run(100)
		threads := fleet.reaches[isolated]["z1"].Capacity + fleet.reaches[isolated]["z2"].Capacity
		assert.LessOrEqual(t, threads, last, "the share of a partitioned controller never grows")
		last = threads
	}
	assert.Zero(t, last, "the share ends with the lease")
	fleet.partitioned[isolated] = false
	fleet.run(8000)
	assert.Greater(t, fleet.reaches[isolated]["z1"].Capacity+fleet.reaches[isolated]["z2"].Capacity, 0.0,
		"the controller has a share again")
	fleet.assertNoViolations()
}

// Another leader continues when the leader is lost with its zone. Without a majority there is no new plan, and no cap
// is exceeded.
func TestPlan_LeaderLostWithItsZone(t *testing.T) {
	fleet := newSettledFleet(t, 4)
	fleet.leader = 0
	fleet.run(1000)
	fleet.down[0] = true
	fleet.zones[0].reachable, fleet.zones[0].listed = 0, 0
	fleet.run(6000)
	assert.Equal(t, Lost, fleet.state(0))
	assert.Greater(t, fleet.reachableThreads(0, 1), 0.0)
	before := fleet.plan.Number
	fleet.down[1] = true // no majority
	fleet.zones[0].reachable, fleet.zones[0].listed = 1, 1
	fleet.run(8000)
	assert.Equal(t, before, fleet.plan.Number, "without a majority there is no new plan")
	assert.Zero(t, fleet.reachableThreads(0, 1)+fleet.reachableThreads(0, 2),
		"no share outlasts the lease that confirmed it")
	fleet.down[0], fleet.down[1] = false, false
	fleet.run(20_000)
	assert.Equal(t, Healthy, fleet.state(0))
	fleet.assertNoViolations()
}

// Zones without spare capacity take no requests of a lost zone.
func TestPlan_FullZonesTakeNothing(t *testing.T) {
	fleet := newSettledFleet(t, 4)
	fleet.zones[1].demandThreads, fleet.zones[2].demandThreads = 30, 30 // of 4 controllers: all of the capacity
	fleet.run(3000)
	fleet.zones[0].reachable, fleet.zones[0].listed = 0, 0
	fleet.run(5000)
	assert.Zero(t, fleet.reachableThreads(0, 1)+fleet.reachableThreads(0, 2))
	fleet.assertNoViolations()
}

// As a zone's own demand grows, the controllers of other zones may use less of it.
func TestPlan_OwnRequestsComeFirst(t *testing.T) {
	fleet := newSettledFleet(t, 4)
	fleet.zones[0].reachable, fleet.zones[0].listed = 0, 0
	fleet.run(5000)
	before := fleet.reachableThreads(0, 1)
	fleet.zones[1].demandThreads = 28
	fleet.run(5000)
	assert.Less(t, fleet.reachableThreads(0, 1), before/2)
	fleet.assertNoViolations()
}

// Requests go to another region only if the zones of their own region have no capacity.
func TestPlan_PrefersSameRegion(t *testing.T) {
	fleet := newSimulatedFleet(t, 3, 4, testSettings())
	fleet.zones[2].region = "far"
	for k := range fleet.monitors {
		fleet.monitors[k].region = fleet.zones[fleet.zoneOf[k]].region
	}
	for _, zone := range fleet.zones {
		zone.demandThreads = 10
	}
	fleet.run(5000)
	fleet.zones[0].reachable, fleet.zones[0].listed = 0, 0
	fleet.run(5000)
	assert.InDelta(t, 40, fleet.reachableThreads(0, 1), 5, "the zone of the same region takes all requests")
	assert.Zero(t, fleet.reachableThreads(0, 2))
	fleet.zones[1].demandThreads = 26
	fleet.run(8000)
	assert.Greater(t, fleet.reachableThreads(0, 2), 10.0, "the zone of the other region takes the rest")
	assert.Equal(t, 2, fleet.reaches[0]["z2"].Tier)
	fleet.assertNoViolations()
}

// An evacuation and a hold take effect. An evacuation ends in time, even if no majority can agree on a new plan.
func TestPlan_FollowsOrders(t *testing.T) {
	fleet := newSettledFleet(t, 4)
	fleet.orders = []Order{{Kind: Evacuate, Zone: "z0", Author: "kim", Until: fleet.unixMS + 5000}}
	for k := range fleet.monitors {
		fleet.deliverPlan(k)
	}
	fleet.run(3000)
	assert.Equal(t, Evacuated, fleet.state(0))
	assert.Zero(t, fleet.reachableThreads(0, 0))
	assert.Greater(t, fleet.reachableThreads(0, 1), 0.0)
	fleet.run(2500)
	assert.Equal(t, Recovering, fleet.state(0))
	fleet.orders = append(fleet.orders, Order{Kind: Hold, Zone: "z0"})
	fleet.deliverPlan(fleet.leader)
	fleet.run(300)
	stage := fleet.plan.findZone("z0").Stage
	fleet.run(5000)
	assert.Equal(t, stage, fleet.plan.findZone("z0").Stage, "the hold keeps the stage")
	fleet.orders = []Order{{Kind: Evacuate, Zone: "z0", Until: fleet.unixMS + 4000}}
	for k := range fleet.monitors {
		fleet.deliverPlan(k)
	}
	fleet.run(1500)
	fleet.down[1], fleet.down[2] = true, true
	fleet.run(8000)
	assert.Equal(t, Evacuated, fleet.state(0), "without a majority no plan can end the evacuation")
	assert.EqualValues(t, 1, fleet.reaches[3]["z0"].Capacity,
		"after the order ended, a controller sends one request at a time")
	fleet.assertNoViolations()
}

// Requests for a kind of executor that only one zone has go there from all zones, and nowhere once that zone is lost.
func TestReach_KindOfOneZoneOnly(t *testing.T) {
	fleet := newSimulatedFleet(t, 2, 3, testSettings())
	fleet.zones[1].kinds = []string{"big", "type-a"}
	fleet.run(5000)
	assert.Equal(t, []string{"type-a"}, fleet.reaches[0]["z1"].ExclusiveKinds)
	fleet.zones[1].reachable, fleet.zones[1].listed = 0, 0
	fleet.run(4000)
	assert.Empty(t, fleet.reaches[0]["z1"].ExclusiveKinds)
	fleet.assertNoViolations()
}

// Late, duplicate, grossly wrong, forged and malformed reports do not open zones.
func TestMonitor_RejectsImplausibleReports(t *testing.T) {
	fleet := newSettledFleet(t, 4)
	fleet.zones[0].reachable, fleet.zones[0].listed = 0, 0
	fleet.run(5000)
	expected := fleet.reachableThreads(0, 1) + fleet.reachableThreads(0, 2)
	fleet.monitors[3].ownReport.DemandThreads *= 10
	for range 40 {
		fleet.run(100)
		fleet.monitors[9].ownReport.DemandThreads *= 10
	}
	assert.LessOrEqual(t, fleet.reachableThreads(0, 1)+fleet.reachableThreads(0, 2), 3*expected,
		"a tenfold demand opens no more than that")
	leader := fleet.monitors[fleet.leader]
	malformed := leader.Counts.Malformed
	for _, report := range []Report{
		{Zone: "z0", Observers: 1000},
		{Zone: "z0", Observers: 2, DemandThreads: -1},
		{Zone: "z0", Observers: 1, Observations: []Observation{{Zone: "z1", Unreachable: 5}}},
		{Zone: "z0", Observers: 2, ObserversWithoutList: 3},
	} {
		data, err := json.Marshal(reportMessage{1 << 40, report})
		require.NoError(t, err)
		leader.Step(fleet.now, &Event{Kind: ReportReceived, From: fleet.name(0), Data: data})
	}
	leader.Step(fleet.now, &Event{Kind: ReportReceived, From: "x", Data: []byte("{")})
	assert.Equal(t, malformed+5, leader.Counts.Malformed)
	data, err := json.Marshal(reportMessage{1, Report{Zone: "z2", Observers: 4, DemandThreads: 9}})
	require.NoError(t, err)
	stale := leader.Counts.Stale
	for range 2 {
		leader.Step(fleet.now, &Event{Kind: ReportReceived, From: fleet.name(2), Data: data})
	}
	assert.Greater(t, leader.Counts.Stale, stale, "the duplicate is ignored")
	fleet.assertNoViolations()
}

// A zone that was renamed counts as lost at first and is removed from the plan in the end.
func TestPlan_ForgetsRenamedZone(t *testing.T) {
	fleet := newSettledFleet(t, 2)
	fleet.zones[2].listed = 0
	for k := range fleet.monitors {
		fleet.down[k] = fleet.zoneOf[k] == 2
	}
	fleet.run(3000)
	assert.NotEqual(t, Healthy, fleet.state(2), "the zone counts as lost at first")
	fleet.run(200_000)
	assert.Equal(t, stateCount, fleet.state(2), "the zone is removed from the plan in the end")
}

// The report traffic of a controller does not grow with the fleet, and a new plan reaches all controllers within
// seconds.
func TestMonitor_TrafficDoesNotGrowWithFleet(t *testing.T) {
	bytesPerSecond := map[int]float64{} // of a controller, by the number of controllers per zone
	for _, controllersPerZone := range []int{10, 100} {
		fleet := newSimulatedFleet(t, 3, controllersPerZone, testSettings())
		for _, zone := range fleet.zones {
			zone.demandThreads = 60 / float64(controllersPerZone)
		}
		fleet.run(4000)
		fleet.reportBytes = 0
		fleet.run(4000)
		bytesPerSecond[controllersPerZone] = float64(fleet.reportBytes) / float64(3*controllersPerZone) / 4
		fleet.zones[0].reachable, fleet.zones[0].listed = 0, 0
		lostAt, tookMS := fleet.now, 0.0
		for tookMS == 0 && fleet.now < lostAt+6000 {
			fleet.run(50)
			informed := 0
			for k := range fleet.monitors {
				if zone := fleet.monitors[k].Plan().findZone("z0"); zone != nil && zone.State == Lost {
					informed++
				}
			}
			if 100*informed >= 95*len(fleet.monitors) {
				tookMS = fleet.now - lostAt
			}
		}
		t.Logf("%d controllers: %.0f bytes/s each, 95%% of them have the plan after %.0f ms", 3*controllersPerZone,
			bytesPerSecond[controllersPerZone], tookMS)
		assert.NotZero(t, tookMS, "the plan did not reach the controllers")
		assert.Less(t, tookMS, 2500.0)
		fleet.assertNoViolations()
	}
	assert.Less(t, bytesPerSecond[100], 1.5*bytesPerSecond[10])
}

// A controller whose zone has no executors treats all executors as local and logs one warning.
func TestReach_UnknownOwnZoneIsUnlimited(t *testing.T) {
	fleet := newSimulatedFleet(t, 2, 2, testSettings())
	warnings := 0
	var ownZones []string // as passed to the scheduler: others without a limit are closed
	monitor := New("c000", "zO", "r", testSettings())
	monitor.Step(fleet.now, &Event{Kind: Ticked})
	assert.Equal(t, "zO", monitor.reachOwnZone, "before anything was observed")
	for range 3 {
		fleet.now += 300
		for _, ev := range []*Event{{Kind: Observed, Executors: fleet.executorsSeenBy(0)}, {Kind: Ticked}} {
			for _, effect := range monitor.Step(fleet.now, ev) {
				switch effect.Kind {
				case LogWarning:
					warnings++
				case SetReach:
					ownZones = append(ownZones, effect.Zone)
				}
			}
		}
	}
	assert.Equal(t, 1, warnings)
	assert.Equal(t, []string{""}, ownZones, "no zone is closed")
	assert.Empty(t, monitor.Reaches(), "all zones are treated as local")
}

// The cap check of the simulation detects a planner that grants revoked shares before their lease has ended.
func TestSimulatedFleet_DetectsSharesGrantedTooSoon(t *testing.T) {
	fleet := newSettledFleet(t, 4)
	for k := range fleet.monitors {
		fleet.monitors[k].planner.skipRevocationWait = true
	}
	fleet.zones[0].reachable, fleet.zones[0].listed = 0, 0
	fleet.run(6000)
	for _, k := range []int{9, 6} {
		fleet.partitioned[k] = true
		fleet.run(2000)
	}
	assert.NotEmpty(t, fleet.violations, "the fleet detects that a cap was exceeded")
}

// WhatIf computes with the present demand or the peak demand of the last hour, and changes nothing.
func TestMonitor_WhatIf(t *testing.T) {
	fleet := newSettledFleet(t, 4)
	leader := fleet.monitors[fleet.leader]
	for k := range fleet.zones {
		fleet.zones[k].demandThreads = 25
	}
	fleet.run(3000)
	for k := range fleet.zones {
		fleet.zones[k].demandThreads = 10
	}
	fleet.run(4000)
	before := fleet.plan.Number
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
	assert.NotEmpty(t, find(both, "z1 alone has executors of kind big"),
		"all zones of the region are lost, so no zone has the kind")
	assert.Equal(t, before, fleet.plan.Number)
	assert.Equal(t, Healthy, fleet.state(0))
}

// A controller that needs more threads in a zone than its share borrows from controllers of its own zone. Together they
// stay within the cap, even if messages are lost and a lender or borrower is partitioned.
func TestLoans_StayWithinCap(t *testing.T) {
	fleet := newSettledFleet(t, 8)
	fleet.zones[0].reachable, fleet.zones[0].listed = 0, 0
	fleet.run(6000)
	ownThreads := fleet.reaches[0]["z1"].Capacity + fleet.reaches[0]["z2"].Capacity
	require.Greater(t, ownThreads, 0.0)
	for k := range fleet.monitors {
		if fleet.zoneOf[k] == 0 {
			fleet.inFlight[k] = map[string]float64{}
			fleet.demandThreads[k] = 0
		}
	}
	fleet.demandThreads[0] = 40
	fleet.demandThreads[3] = 3
	most := 0.0
	for n := range 100 {
		for k := range fleet.inFlight { // each controller uses z1 and then z2 up to its demand and its capacity there
			left := fleet.demandThreads[k]
			for _, zone := range []string{"z1", "z2"} {
				fleet.inFlight[k][zone] = min(left, fleet.reaches[k][zone].Capacity)
				left -= fleet.inFlight[k][zone]
			}
		}
		fleet.run(100)
		most = max(most, fleet.reaches[0]["z1"].Capacity+fleet.reaches[0]["z2"].Capacity)
		if n == 40 {
			fleet.loss = 0.2
		}
		if n == 70 {
			fleet.partitioned[6] = true
		}
		for _, zone := range []string{"z1", "z2"} {
			total := 0.0
			for k := range fleet.inFlight {
				total += min(fleet.inFlight[k][zone], max(fleet.inFlight[k][zone], 0))
			}
			assert.LessOrEqual(t, total, 50.0, "threads in flight in %s", zone)
		}
	}
	assert.Greater(t, most, ownThreads+3, "the controller borrowed threads")
	assert.NotZero(t, fleet.monitors[0].Counts.Borrowed)
	fleet.assertNoViolations()
	fleet.partitioned[0] = true
	fleet.run(4000)
	assert.Empty(t, fleet.monitors[0].loans.borrowed, "the loans of a partitioned borrower expire")
	fleet.run(4000)
	for _, monitor := range fleet.monitors {
		assert.Empty(t, monitor.loans.lent, "loans of %s", monitor.name)
	}
	fleet.assertNoViolations()
}

// A controller lends only threads that its scheduler was observed not to use. It ignores duplicate requests, requests
// from other zones and unrequested loans, and does not lend after its lease has ended.
func TestLoans_LendOnlyWhatIsUnused(t *testing.T) {
	fleet := newSettledFleet(t, 4)
	monitor := fleet.monitors[3] // of a controller of z0
	request := func(from string, id uint64) (lent float64) {
		ev := &Event{Kind: LoanRequested, From: from, Zone: "z1", Number: id}
		for _, effect := range monitor.Step(fleet.now, ev) {
			if effect.Kind == GrantLoan {
				lent += effect.Threads
			}
		}
		return lent
	}
	observe := func(inFlight float64, applied uint64) {
		fleet.inFlight[3] = map[string]float64{"z1": inFlight}
		fleet.demandThreads[3] = inFlight
		monitor.Step(fleet.now, &Event{Kind: Observed, Executors: fleet.executorsSeenBy(3), DemandThreads: inFlight,
			AppliedReachVersion: applied})
	}
	share := monitor.plan.Pair("z0", "z1").threadsOf("c003")
	require.GreaterOrEqual(t, share, 3.0)
	observe(0, monitor.reachVersion)
	assert.Zero(t, request("c000", 1), "the threads are reserved first")
	assert.Less(t, monitor.capacityOf("z1", 1), share)
	observe(0, monitor.reachVersion-1)
	assert.Zero(t, request("c000", 2), "the scheduler has not applied the lower limit yet")
	observe(share, monitor.reachVersion)
	assert.Zero(t, request("c000", 3), "more is in flight than the lower limit allows")
	observe(0, monitor.reachVersion)
	assert.Zero(t, request("c001", 4), "the borrower is of another zone")
	lent := request("c000", 5)
	assert.Positive(t, lent, "all conditions are met")
	assert.Zero(t, request("c000", 5), "the request is a duplicate")
	assert.LessOrEqual(t, monitor.capacityOf("z1", 1)+lent, share)
	unrequested := &Event{Kind: LoanGranted, From: "c000", Zone: "z1", Number: 77, Threads: 5}
	assert.Empty(t, monitor.Step(fleet.now, unrequested), "there was no request for this loan")
	fleet.now += 10_000
	observe(0, monitor.reachVersion)
	assert.Zero(t, request("c000", 6), "the lease of the share has ended")
}

// An order with a SpanMS ends after that time, even if the wall clocks are stepped by an hour in either direction.
func TestOrders_SpanIgnoresWallClockSteps(t *testing.T) {
	for _, step := range []int64{-3600_000, 3600_000} {
		fleet := newSettledFleet(t, 4)
		fleet.orders = []Order{{Kind: Evacuate, Zone: "z0", Author: "kim", Until: fleet.unixMS + 5000, SpanMS: 5000}}
		for k := range fleet.monitors {
			fleet.deliverPlan(k)
		}
		fleet.run(1500)
		fleet.unixMS += step
		fleet.run(2500)
		assert.Equal(t, Evacuated, fleet.state(0), "wall clock stepped by %d ms, order in force", step)
		fleet.run(2500)
		assert.Equal(t, Recovering, fleet.state(0), "wall clock stepped by %d ms, order ended", step)
		fleet.assertNoViolations()
	}
}
