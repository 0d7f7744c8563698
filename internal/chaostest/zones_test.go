package chaostest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const quickLocality = "stage = \"700ms\"\n return_wait = \"700ms\""

// startZones starts nine controllers in three zones, with three engines each.
func startZones(t *testing.T) *Cluster {
	cl := startCluster(t, Config{SecondAddressUsers: []int{4}, Controllers: 9, Executors: 9, Zones: 3, Founders: 3, Store: true, ClusterSettings: quickCluster, LocalitySettings: quickLocality, WorkMS: 20, Cores: 4, MaxInFlight: 64})
	waitConverged(t, cl, "all join")
	for z := range 3 {
		_, err := cl.WaitForZoneState(20*time.Second, cl.ZoneOf(z), "whole")
		require.NoError(t, err)
	}
	return cl
}

func countTraffic(list []SentRequest) map[string]int {
	n := map[string]int{}
	for _, a := range list {
		n[a.Result]++
	}
	return n
}

// A zone's engines are out of reach under load, and in reach again: traffic is near while that is safe, goes to the others within their
// caps, and comes back by stages.
func TestAZoneLostUnderLoad(t *testing.T) {
	cl := startZones(t)
	time.Sleep(time.Second)
	load := cl.StartTraffic("t", 2, 20*time.Millisecond)
	defer load.Stop()
	began := time.Now()
	time.Sleep(3 * time.Second)
	near, far := cl.CountRunsByLocality("t", began, time.Now())
	t.Logf("whole: %d near, %d far, %v", near, far, countTraffic(load.Between(began, time.Now())))
	assert.Greater(t, near, 100)
	assert.LessOrEqual(t, far, near/50)
	cl.SetZoneUnreachable("z1", true)
	cut := time.Now()
	took, err := cl.WaitForZoneState(15*time.Second, "z1", "lost")
	require.NoError(t, err)
	t.Logf("lost in all plans after %v", took)
	time.Sleep(4 * time.Second)
	settled := time.Now().Add(-2 * time.Second)
	mine := map[string]int{}
	for _, a := range load.Between(settled, time.Now()) {
		if cl.ZoneOf(a.Controller) == "z1" {
			mine[a.Result]++
		}
	}
	t.Logf("while lost, its own clients: %v; since the cut, all: %v", mine, countTraffic(load.Between(cut, time.Now())))
	assert.Greater(t, mine["handled"], 9*(mine["denied"]+mine["written off"]+mine["cut off"]), "others have room for them")
	cl.SetZoneUnreachable("z1", false)
	back := time.Now()
	_, err = cl.WaitForZoneState(15*time.Second, "z1", "returning", "whole")
	require.NoError(t, err)
	_, err = cl.WaitForZoneState(25*time.Second, "z1", "whole")
	require.NoError(t, err)
	t.Logf("whole again after %v", time.Since(back))
	time.Sleep(time.Second)
	began = time.Now()
	time.Sleep(2 * time.Second)
	near, far = cl.CountRunsByLocality("t", began, time.Now())
	assert.LessOrEqual(t, far, near/50, "back near")
}

// A zone is emptied by an operator and the order lapses; the one who leads is killed meanwhile.
func TestAnOrderOutlivesWhoGaveIt(t *testing.T) {
	cl := startZones(t)
	_, err := cl.Call(4, "zones order", map[string]any{"kind": "evacuate", "zone": "z2", "for": "12s", "who": "kim"})
	require.NoError(t, err)
	given := time.Now()
	_, err = cl.WaitForZoneState(8*time.Second, "z2", "evacuated")
	require.NoError(t, err)
	cl.Kill(4)
	cl.Kill(waitForLeader(t, cl, -1))
	_, err = cl.WaitForZoneState(3*time.Second, "z2", "evacuated")
	require.NoError(t, err)
	_, err = cl.WaitForZoneState(30*time.Second, "z2", "returning", "whole")
	require.NoError(t, err)
	assert.Greater(t, time.Since(given), 11900*time.Millisecond, "not before its time")
	_, err = cl.Call(5, "zones order", map[string]any{"kind": "evacuate", "zone": "z9", "for": "6s"})
	assert.ErrorContains(t, err, "no zone")
	_, err = cl.Call(5, "zones order", map[string]any{"kind": "evacuate", "zone": "z1"})
	assert.ErrorContains(t, err, "for how long")
}

// Two zones that do not hear each other, one way or both, are not lost: their engines are in reach. One that is in reach and out again is
// not followed each time. One that goes with its controllers, that of the council's leader, is lost all the same, and comes back.
func TestZonesAndPartings(t *testing.T) {
	cl := startZones(t)
	load := cl.StartTraffic("t", 1, 30*time.Millisecond)
	defer load.Stop()
	for _, oneWay := range []bool{true, false} {
		cl.Relay.SetLinks(func(a, b int) Link {
			return Link{Cut: a%3 == 1 && b%3 == 2 || !oneWay && a%3 == 2 && b%3 == 1}
		})
		for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(100 * time.Millisecond) {
			for k := range cl.Controllers {
				states, _ := cl.ZoneStates(k)
				for zone, s := range states {
					assert.NotContains(t, []string{"lost", "returning"}, s, "%s at c%d, one way: %v", zone, k, oneWay)
				}
			}
		}
		cl.Relay.SetLinks(func(int, int) Link { return Link{} })
		waitConverged(t, cl, "healed")
	}
	returns, was := 0, ""
	for n := range 10 {
		cl.SetZoneUnreachable("z1", n%2 == 0)
		for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(50 * time.Millisecond) {
			s, _ := cl.ZoneStates(0)
			if s["z1"] != was {
				if was = s["z1"]; was == "returning" {
					returns++
				}
			}
		}
	}
	t.Logf("in reach five times for 2 s: its return began %d times", returns)
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

// A zone that some of its controllers can't reach is not lost: those go elsewhere, the others stay. One that is lost together with the list is
// not taken for lost by its own word alone; its searches go elsewhere all the same.
func TestAZoneThatSomeCannotReach(t *testing.T) {
	cl := startZones(t)
	load := cl.StartTraffic("t", 2, 20*time.Millisecond)
	defer load.Stop()
	time.Sleep(2 * time.Second)
	heard := func(from time.Time, some func(k int) bool) (n map[string]int) {
		n = map[string]int{}
		for _, a := range load.Between(from, time.Now().Add(-time.Second)) {
			if some(a.Controller) {
				n[a.Result]++
			}
		}
		return n
	}
	good := func(n map[string]int) bool {
		return n["handled"] > 0 && n["handled"] > 9*(n["denied"]+n["written off"]+n["cut off"])
	}
	cl.SetZoneUnreachableForSome("z1", true)
	_, err := cl.WaitForZoneState(10*time.Second, "z1", "doubtful")
	require.NoError(t, err)
	time.Sleep(2 * time.Second)
	from := time.Now()
	time.Sleep(4 * time.Second)
	states, _ := cl.ZoneStates(0)
	assert.Equal(t, "doubtful", states["z1"])
	near, far := cl.CountRunsByLocality("t", from, time.Now())
	t.Logf("one of three can't reach it: %v of its searches, %v of the others', %d near and %d far of all", heard(from, func(k int) bool { return k == 4 }),
		heard(from, func(k int) bool { return k == 1 || k == 7 }), near, far)
	assert.True(t, good(heard(from, func(k int) bool { return k == 4 })), "elsewhere there is room")
	assert.True(t, good(heard(from, func(k int) bool { return k == 1 || k == 7 })))
	assert.Greater(t, far, 0)
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
	mine := heard(from, func(k int) bool { return cl.ZoneOf(k) == "z1" })
	states, _ = cl.ZoneStates(0)
	t.Logf("with the list: %s, %v", states["z1"], mine)
	assert.True(t, good(mine))
	assert.Equal(t, "whole", states["z0"], "the list that is gone is no sign")
}
