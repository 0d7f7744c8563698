package chaostest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/adminapi"
)

// fastLocalitySettings are lines of the locality block with short stages for the return of a zone.
const fastLocalitySettings = "stage = \"700ms\"\n return_wait = \"700ms\""

// startThreeZoneCluster starts three controllers and three executors in each of three zones, and waits until all zones
// are whole. Controller 4, in zone z1, reaches executors by their second addresses.
func startThreeZoneCluster(t *testing.T) *Cluster {
	cluster := startCluster(t, Config{
		SecondAddressUsers: []int{4},
		Controllers:        9,
		Executors:          9,
		Zones:              3,
		Founders:           3,
		Store:              true,
		ClusterSettings:    fastClusterSettings,
		LocalitySettings:   fastLocalitySettings,
		WorkMS:             20,
		Cores:              4,
		MaxInFlight:        64,
	})
	waitForConvergence(t, cluster, "after all controllers started")
	for z := range 3 {
		_, err := cluster.WaitForZoneState(20*time.Second, cluster.ZoneOf(z), "whole")
		require.NoError(t, err)
	}
	return cluster
}

// submitZoneOrder submits an operator's order about a zone to a controller.
func submitZoneOrder(cluster *Cluster, controller int, request adminapi.ZoneOrderRequest) error {
	_, err := ask[adminapi.ZoneOrderReply](cluster, controller, adminapi.OperationZoneOrder, request)
	return err
}

// countByResult counts requests by their results.
func countByResult(requests []SentRequest) map[Result]int {
	counts := map[Result]int{}
	for _, r := range requests {
		counts[r.Result]++
	}
	return counts
}

// mostlyHandled reports whether more than nine tenths of some requests were handled.
func mostlyHandled(counts map[Result]int) bool {
	return counts[ResultHandled] > 0 &&
		counts[ResultHandled] > 9*(counts[ResultRejected]+counts[ResultFailed]+counts[ResultDisconnected])
}

// While the executors of a zone are unreachable, other zones handle the requests of its clients. Requests are local
// again once the zone has returned.
func TestLocality_SpillsFromLostZoneAndReturns(t *testing.T) {
	cluster := startThreeZoneCluster(t)
	time.Sleep(time.Second)
	load := cluster.StartTraffic("t", 2, 20*time.Millisecond)
	defer load.Stop()
	start := time.Now()
	time.Sleep(3 * time.Second)
	local, remote := cluster.CountRunsByLocality("t", start, time.Now())
	t.Logf("all zones whole: %d local runs, %d remote runs, %v", local, remote,
		countByResult(load.Between(start, time.Now())))
	assert.Greater(t, local, 100, "local runs while all zones are whole")
	assert.LessOrEqual(t, remote, local/50, "remote runs while all zones are whole")
	cluster.SetZoneUnreachable("z1", true)
	unreachableAt := time.Now()
	elapsed, err := cluster.WaitForZoneState(15*time.Second, "z1", "lost")
	require.NoError(t, err)
	t.Logf("all controllers plan with z1 as lost after %v", elapsed)
	time.Sleep(4 * time.Second)
	twoSecondsAgo := time.Now().Add(-2 * time.Second)
	ownResults := map[Result]int{}
	for _, r := range load.Between(twoSecondsAgo, time.Now()) {
		if cluster.ZoneOf(r.Controller) == "z1" {
			ownResults[r.Result]++
		}
	}
	t.Logf("z1 lost: results of its own clients %v; of all clients since it became unreachable %v", ownResults,
		countByResult(load.Between(unreachableAt, time.Now())))
	assert.True(t, mostlyHandled(ownResults), "other zones must handle the requests of clients of z1: %v", ownResults)
	cluster.SetZoneUnreachable("z1", false)
	reachableAt := time.Now()
	_, err = cluster.WaitForZoneState(15*time.Second, "z1", "returning", "whole")
	require.NoError(t, err)
	_, err = cluster.WaitForZoneState(25*time.Second, "z1", "whole")
	require.NoError(t, err)
	t.Logf("z1 whole again after %v", time.Since(reachableAt))
	time.Sleep(time.Second)
	start = time.Now()
	time.Sleep(2 * time.Second)
	local, remote = cluster.CountRunsByLocality("t", start, time.Now())
	assert.LessOrEqual(t, remote, local/50, "remote runs after the return of z1")
}

// An order to evacuate a zone stays in force until it expires, although the controller that accepted it and the leader
// are killed. Invalid orders are rejected.
func TestLocality_OrderOutlivesItsController(t *testing.T) {
	cluster := startThreeZoneCluster(t)
	err := submitZoneOrder(cluster, 4, adminapi.ZoneOrderRequest{Kind: "evacuate", Zone: "z2", For: "12s", Author: "kim"})
	require.NoError(t, err)
	orderedAt := time.Now()
	_, err = cluster.WaitForZoneState(8*time.Second, "z2", "evacuated")
	require.NoError(t, err)
	cluster.Kill(4)
	cluster.Kill(waitForLeader(t, cluster, -1))
	_, err = cluster.WaitForZoneState(3*time.Second, "z2", "evacuated")
	require.NoError(t, err)
	_, err = cluster.WaitForZoneState(30*time.Second, "z2", "returning", "whole")
	require.NoError(t, err)
	assert.Greater(t, time.Since(orderedAt), 11900*time.Millisecond, "the order must not end before it expires")
	err = submitZoneOrder(cluster, 5, adminapi.ZoneOrderRequest{Kind: "evacuate", Zone: "z9", For: "6s"})
	assert.ErrorContains(t, err, "no zone")
	err = submitZoneOrder(cluster, 5, adminapi.ZoneOrderRequest{Kind: "evacuate", Zone: "z1"})
	assert.ErrorContains(t, err, "for how long")
}

// Zones whose controllers are partitioned from one another are not declared lost, since their executors are reachable.
// A zone that flaps does not start to return each time. A zone that fails together with its controllers and the leader
// is declared lost, and returns.
func TestLocality_KeepsReachableZonesThroughPartitions(t *testing.T) {
	cluster := startThreeZoneCluster(t)
	load := cluster.StartTraffic("t", 1, 30*time.Millisecond)
	defer load.Stop()
	for _, oneWay := range []bool{true, false} {
		cluster.Relay.SetLinks(func(from, to int) Link {
			return Link{Cut: from%3 == 1 && to%3 == 2 || !oneWay && from%3 == 2 && to%3 == 1}
		})
		for start := time.Now(); time.Since(start) < 4*time.Second; time.Sleep(100 * time.Millisecond) {
			for k := range cluster.Controllers {
				states := cluster.ZoneStates(k)
				for zone, state := range states {
					assert.NotContains(t, []string{"lost", "returning"}, state,
						"zone %s at c%d, partitioned in one direction only: %v", zone, k, oneWay)
				}
			}
		}
		cluster.healLinks()
		waitForConvergence(t, cluster, "after the links healed")
	}
	returnCount, lastState := 0, ""
	for n := range 10 {
		cluster.SetZoneUnreachable("z1", n%2 == 0)
		for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
			states := cluster.ZoneStates(0)
			if states["z1"] != lastState {
				if lastState = states["z1"]; lastState == "returning" {
					returnCount++
				}
			}
		}
	}
	t.Logf("z1 reachable five times for 2 s: it started to return %d times", returnCount)
	assert.LessOrEqual(t, returnCount, 3, "times that z1 started to return")
	_, err := cluster.WaitForZoneState(90*time.Second, "z1", "whole")
	require.NoError(t, err)
	leader := waitForLeader(t, cluster, -1)
	zone := cluster.ZoneOf(leader)
	cluster.SetZoneUnreachable(zone, true)
	for k := range cluster.Controllers {
		if cluster.ZoneOf(k) == zone {
			cluster.Kill(k)
		}
	}
	elapsed, err := cluster.WaitForZoneState(25*time.Second, zone, "lost")
	require.NoError(t, err)
	t.Logf("%s failed with its controllers, among them the leader: all controllers plan with it as lost after %v", zone,
		elapsed)
	cluster.SetZoneUnreachable(zone, false)
	require.NoError(t, cluster.StartAll())
	_, err = cluster.WaitForZoneState(60*time.Second, zone, "whole")
	require.NoError(t, err)
}

// A zone that only some of its controllers can't reach becomes doubtful, not lost, and other zones handle the requests
// of those controllers. If discovery fails, too, other zones handle the requests of a zone that becomes unreachable,
// and reachable zones stay whole.
func TestLocality_KeepsZoneThatSomeCannotReach(t *testing.T) {
	cluster := startThreeZoneCluster(t)
	load := cluster.StartTraffic("t", 2, 20*time.Millisecond)
	defer load.Stop()
	time.Sleep(2 * time.Second)
	resultsSince := func(from time.Time, includes func(controller int) bool) map[Result]int {
		counts := map[Result]int{}
		for _, r := range load.Between(from, time.Now().Add(-time.Second)) {
			if includes(r.Controller) {
				counts[r.Result]++
			}
		}
		return counts
	}
	usesSecondAddresses := func(k int) bool { return k == 4 }
	inSameZone := func(k int) bool { return k == 1 || k == 7 }
	cluster.SetZoneUnreachableForSome("z1", true)
	_, err := cluster.WaitForZoneState(10*time.Second, "z1", "doubtful")
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	from := time.Now()
	time.Sleep(4 * time.Second)
	states := cluster.ZoneStates(0)
	assert.Equal(t, "doubtful", states["z1"], "state of z1 at c0")
	local, remote := cluster.CountRunsByLocality("t", from, time.Now())
	t.Logf("c4 can't reach z1: results of c4 %v, of c1 and c7 %v; %d local and %d remote runs of all requests",
		resultsSince(from, usesSecondAddresses), resultsSince(from, inSameZone), local, remote)
	assert.True(t, mostlyHandled(resultsSince(from, usesSecondAddresses)), "other zones must handle the requests of c4")
	assert.True(t, mostlyHandled(resultsSince(from, inSameZone)), "the requests of c1 and c7 must be handled")
	assert.Greater(t, remote, 0, "remote runs while c4 can't reach its zone")
	cluster.SetZoneUnreachableForSome("z1", false)
	_, err = cluster.WaitForZoneState(20*time.Second, "z1", "whole")
	require.NoError(t, err)

	cluster.StopDiscovery()
	time.Sleep(3 * time.Second)
	cluster.SetZoneUnreachable("z1", true)
	_, err = cluster.WaitForZoneState(15*time.Second, "z1", "doubtful", "lost")
	require.NoError(t, err)
	time.Sleep(3 * time.Second)
	from = time.Now()
	time.Sleep(4 * time.Second)
	ownResults := resultsSince(from, func(k int) bool { return cluster.ZoneOf(k) == "z1" })
	states = cluster.ZoneStates(0)
	t.Logf("z1 unreachable without discovery: state %s at c0, results of its clients %v", states["z1"], ownResults)
	assert.True(t, mostlyHandled(ownResults), "other zones must handle the requests of clients of z1: %v", ownResults)
	assert.Equal(t, "whole", states["z0"], "the failure of discovery must not affect the state of z0")
}
