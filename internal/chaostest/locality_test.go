package chaostest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/adminapi"
)

const quickLocality = "stage = \"700ms\"\n return_wait = \"700ms\""

// startZones starts nine controllers in three zones, with three executors each.
func startZones(t *testing.T) *Cluster {
	cl := startCluster(t, Config{SecondAddressUsers: []int{4}, Controllers: 9, Executors: 9, Zones: 3, Founders: 3, Store: true, ClusterSettings: quickCluster, LocalitySettings: quickLocality, WorkMS: 20, Cores: 4, MaxInFlight: 64})
	waitConverged(t, cl, "all join")
	for z := range 3 {
		_, err := cl.WaitForZoneState(20*time.Second, cl.ZoneOf(z), "whole")
		require.NoError(t, err)
	}
	return cl
}

// order gives an order about a zone to a controller.
func order(cl *Cluster, k int, request adminapi.ZoneOrderRequest) error {
	_, err := ask[adminapi.ZoneOrderReply](cl, k, adminapi.OperationZoneOrder, request)
	return err
}

func countTraffic(requests []SentRequest) map[Result]int {
	counts := map[Result]int{}
	for _, r := range requests {
		counts[r.Result]++
	}
	return counts
}

// The executors of a zone are unreachable under load, and reachable again: requests stay local while that is safe, go to other zones within their
// caps, and come back by stages.
func TestLocality_SpillsFromLostZoneAndReturns(t *testing.T) {
	cl := startZones(t)
	time.Sleep(time.Second)
	load := cl.StartTraffic("t", 2, 20*time.Millisecond)
	defer load.Stop()
	start := time.Now()
	time.Sleep(3 * time.Second)
	local, remote := cl.CountRunsByLocality("t", start, time.Now())
	t.Logf("whole: %d local, %d remote, %v", local, remote, countTraffic(load.Between(start, time.Now())))
	assert.Greater(t, local, 100)
	assert.LessOrEqual(t, remote, local/50)
	cl.SetZoneUnreachable("z1", true)
	cut := time.Now()
	took, err := cl.WaitForZoneState(15*time.Second, "z1", "lost")
	require.NoError(t, err)
	t.Logf("lost in all plans after %v", took)
	time.Sleep(4 * time.Second)
	settled := time.Now().Add(-2 * time.Second)
	own := map[Result]int{}
	for _, a := range load.Between(settled, time.Now()) {
		if cl.ZoneOf(a.Controller) == "z1" {
			own[a.Result]++
		}
	}
	t.Logf("while lost, its own clients: %v; since then, all: %v", own, countTraffic(load.Between(cut, time.Now())))
	assert.Greater(t, own[ResultHandled], 9*(own[ResultRejected]+own[ResultFailed]+own[ResultDisconnected]), "others have capacity for them")
	cl.SetZoneUnreachable("z1", false)
	back := time.Now()
	_, err = cl.WaitForZoneState(15*time.Second, "z1", "returning", "whole")
	require.NoError(t, err)
	_, err = cl.WaitForZoneState(25*time.Second, "z1", "whole")
	require.NoError(t, err)
	t.Logf("whole again after %v", time.Since(back))
	time.Sleep(time.Second)
	start = time.Now()
	time.Sleep(2 * time.Second)
	local, remote = cl.CountRunsByLocality("t", start, time.Now())
	assert.LessOrEqual(t, remote, local/50, "local again")
}

// An operator orders a zone to be evacuated, and the order expires; the controller that took it and the leader are killed meanwhile.
func TestLocality_OrderOutlivesItsController(t *testing.T) {
	cl := startZones(t)
	err := order(cl, 4, adminapi.ZoneOrderRequest{Kind: "evacuate", Zone: "z2", For: "12s", Author: "kim"})
	require.NoError(t, err)
	ordered := time.Now()
	_, err = cl.WaitForZoneState(8*time.Second, "z2", "evacuated")
	require.NoError(t, err)
	cl.Kill(4)
	cl.Kill(waitForLeader(t, cl, -1))
	_, err = cl.WaitForZoneState(3*time.Second, "z2", "evacuated")
	require.NoError(t, err)
	_, err = cl.WaitForZoneState(30*time.Second, "z2", "returning", "whole")
	require.NoError(t, err)
	assert.Greater(t, time.Since(ordered), 11900*time.Millisecond, "not before its time")
	err = order(cl, 5, adminapi.ZoneOrderRequest{Kind: "evacuate", Zone: "z9", For: "6s"})
	assert.ErrorContains(t, err, "no zone")
	err = order(cl, 5, adminapi.ZoneOrderRequest{Kind: "evacuate", Zone: "z1"})
	assert.ErrorContains(t, err, "for how long")
}

// Two zones that are partitioned from each other, in one direction or both, are not lost: their executors are reachable. A zone that comes and goes
// is not followed each time. One that fails with its controllers, among them the leader, is lost all the same, and comes back.
func TestLocality_KeepsReachableZonesThroughPartitions(t *testing.T) {
	cl := startZones(t)
	load := cl.StartTraffic("t", 1, 30*time.Millisecond)
	defer load.Stop()
	for _, oneWay := range []bool{true, false} {
		cl.Relay.SetLinks(func(a, b int) Link {
			return Link{Cut: a%3 == 1 && b%3 == 2 || !oneWay && a%3 == 2 && b%3 == 1}
		})
		for start := time.Now(); time.Since(start) < 4*time.Second; time.Sleep(100 * time.Millisecond) {
			for k := range cl.Controllers {
				states := cl.ZoneStates(k)
				for zone, s := range states {
					assert.NotContains(t, []string{"lost", "returning"}, s, "%s at c%d, one way: %v", zone, k, oneWay)
				}
			}
		}
		cl.healLinks()
		waitConverged(t, cl, "healed")
	}
	returns, was := 0, ""
	for n := range 10 {
		cl.SetZoneUnreachable("z1", n%2 == 0)
		for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
			s := cl.ZoneStates(0)
			if s["z1"] != was {
				if was = s["z1"]; was == "returning" {
					returns++
				}
			}
		}
	}
	t.Logf("in reach five times for 2 s: its return start %d times", returns)
	assert.LessOrEqual(t, returns, 3)
	_, err := cl.WaitForZoneState(90*time.Second, "z1", "whole")
	require.NoError(t, err)
	leader := waitForLeader(t, cl, -1)
	zone := cl.ZoneOf(leader)
	cl.SetZoneUnreachable(zone, true)
	for k := range cl.Controllers {
		if cl.ZoneOf(k) == zone {
			cl.Kill(k)
		}
	}
	took, err := cl.WaitForZoneState(25*time.Second, zone, "lost")
	require.NoError(t, err)
	t.Logf("with its controllers and the leader: lost in all plans after %v", took)
	cl.SetZoneUnreachable(zone, false)
	require.NoError(t, cl.StartAll())
	_, err = cl.WaitForZoneState(60*time.Second, zone, "whole")
	require.NoError(t, err)
}

// A zone that some of its controllers can't reach is not lost: the requests of those go elsewhere, the others stay. One that is lost together with
// discovery is not declared lost by its own reports alone; its requests go elsewhere all the same.
func TestLocality_KeepsZoneThatSomeCannotReach(t *testing.T) {
	cl := startZones(t)
	load := cl.StartTraffic("t", 2, 20*time.Millisecond)
	defer load.Stop()
	time.Sleep(2 * time.Second)
	results := func(from time.Time, some func(k int) bool) map[Result]int {
		counts := map[Result]int{}
		for _, a := range load.Between(from, time.Now().Add(-time.Second)) {
			if some(a.Controller) {
				counts[a.Result]++
			}
		}
		return counts
	}
	mostlyHandled := func(n map[Result]int) bool {
		return n[ResultHandled] > 0 && n[ResultHandled] > 9*(n[ResultRejected]+n[ResultFailed]+n[ResultDisconnected])
	}
	cl.SetZoneUnreachableForSome("z1", true)
	_, err := cl.WaitForZoneState(10*time.Second, "z1", "doubtful")
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	from := time.Now()
	time.Sleep(4 * time.Second)
	states := cl.ZoneStates(0)
	assert.Equal(t, "doubtful", states["z1"])
	local, remote := cl.CountRunsByLocality("t", from, time.Now())
	t.Logf("one of three can't reach it: %v of its requests, %v of the others', %d local and %d remote of all", results(from, func(k int) bool { return k == 4 }),
		results(from, func(k int) bool { return k == 1 || k == 7 }), local, remote)
	assert.True(t, mostlyHandled(results(from, func(k int) bool { return k == 4 })), "other zones have capacity")
	assert.True(t, mostlyHandled(results(from, func(k int) bool { return k == 1 || k == 7 })))
	assert.Greater(t, remote, 0)
	cl.SetZoneUnreachableForSome("z1", false)
	_, err = cl.WaitForZoneState(20*time.Second, "z1", "whole")
	require.NoError(t, err)

	cl.StopDiscovery()
	time.Sleep(3 * time.Second)
	cl.SetZoneUnreachable("z1", true)
	_, err = cl.WaitForZoneState(15*time.Second, "z1", "doubtful", "lost")
	require.NoError(t, err)
	time.Sleep(3 * time.Second)
	from = time.Now()
	time.Sleep(4 * time.Second)
	own := results(from, func(k int) bool { return cl.ZoneOf(k) == "z1" })
	states = cl.ZoneStates(0)
	t.Logf("with discovery: %s, %v", states["z1"], own)
	assert.True(t, mostlyHandled(own))
	assert.Equal(t, "whole", states["z0"], "that discovery is gone is no sign")
}
