package benchmark

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"liftshift/internal/chaostest"
)

const (
	zoneRounds  = 3 // rounds with controller processes
	zoneCount   = 3
	lostZone    = "z1"
	zoneTimeout = 20 * time.Second
	// recoveryTime is the shortest time in which a zone that returns can recover: a wait and four stages.
	recoveryTime = recoveryWait + 4*recoveryStage
	// recoveryStage and recoveryWait match localitySettings.
	recoveryStage    = 700 * time.Millisecond
	recoveryWait     = 700 * time.Millisecond
	localitySettings = "stage = \"700ms\"\n return_wait = \"700ms\""
)

// Locality measures the effect of the coordinated failover of zones on requests: in simulated time with the planner,
// and with nine controller processes. The environment variable ZONES_MANY=0 leaves out the simulation of 300
// controllers, and ZONES_REAL=0 the processes.
func Locality(dir, programs string) ([]Figure, error) {
	set := &figureSet{prefix: "zones.", echo: true}
	set.add("cost_of_a_choice", reachCost(), "x without zones", "<=", 1.5)
	if envNumber("ZONES_REAL", zoneRounds) > 0 {
		if err := measureZoneLoss(dir, filepath.Join(programs, "liftshift"), set); err != nil {
			return set.figures, err
		}
	}
	for _, load := range []float64{0.5, 0.65, 0.8} {
		simulatePolicies(load, set)
	}
	if envNumber("ZONES_MANY", 1) > 0 {
		simulateSizes(set)
	}
	return set.figures, nil
}

// zoneLossResult holds what was measured of the loss and the return of a zone.
type zoneLossResult struct {
	localPercent      float64 // of the runs before the loss
	lostMS            float64 // until all controllers have a plan in which the zone is lost
	recoveryRatio     float64 // of the time until the zone has recovered to recoveryTime
	handledPercent    float64 // of the requests of the lost zone's clients, from the loss to the return
	otherZonesP99Rise float64 // ratio of the latency in the other zones during the loss to that before
}

// measureZoneLoss makes one of three zones unreachable under load, in rounds with controller processes.
func measureZoneLoss(dir, program string, set *figureSet) error {
	var local, lost, recovery, handled, otherZones []float64
	for k := range zoneRounds {
		cluster, err := startCluster(chaostest.Config{
			Program:          program,
			Directory:        filepath.Join(dir, fmt.Sprint("zones", k)),
			Controllers:      9,
			Executors:        12,
			Zones:            zoneCount,
			Founders:         3,
			Store:            true,
			ClusterSettings:  fastClusterSettings,
			LocalitySettings: localitySettings,
			WorkMS:           20,
			Cores:            4,
			MaxInFlight:      64,
			Seed:             uint64(90 + k),
		})
		if err != nil {
			return err
		}
		result, err := playZoneLoss(cluster)
		cluster.Close()
		if err != nil {
			return err
		}
		local = append(local, result.localPercent)
		lost = append(lost, result.lostMS)
		recovery = append(recovery, result.recoveryRatio)
		handled = append(handled, result.handledPercent)
		otherZones = append(otherZones, result.otherZonesP99Rise)
	}
	set.add("real_near", slices.Min(local), "% while whole, the least of 3 rounds", ">=", 99)
	set.add("real_lost_in_all_plans", median(lost), "ms", ">=", 0)
	set.add("real_handled_of_its_clients", slices.Min(handled), "% from the loss to the return, the least", ">=", 95)
	set.add("real_own_p99", median(otherZones), "x before", "<=", 1.2)
	set.add("real_whole_again", median(recovery), "x the stages' sum", "<=", 2)
	return nil
}

// playZoneLoss makes a zone unreachable and reachable again while clients send requests.
func playZoneLoss(cluster *chaostest.Cluster) (result zoneLossResult, err error) {
	for zone := range zoneCount {
		if _, err := cluster.WaitForZoneState(zoneTimeout, cluster.ZoneOf(zone), "whole"); err != nil {
			return result, err
		}
	}
	traffic := cluster.StartTraffic("t", 2, 20*time.Millisecond)
	defer traffic.Stop()
	time.Sleep(time.Second)
	start := time.Now()
	time.Sleep(4 * time.Second)
	lostAt := time.Now()
	local, remote := cluster.CountRunsByLocality("t", start, lostAt)
	cluster.SetZoneUnreachable(lostZone, true)
	lostAfter, err := cluster.WaitForZoneState(15*time.Second, lostZone, "lost")
	if err != nil {
		return result, err
	}
	time.Sleep(4 * time.Second)
	cluster.SetZoneUnreachable(lostZone, false)
	returnedAt := time.Now()
	if _, err := cluster.WaitForZoneState(30*time.Second, lostZone, "whole"); err != nil {
		return result, err
	}
	recoveredAfter := time.Since(returnedAt)
	result.localPercent = 100 * float64(local) / float64(local+remote)
	result.lostMS = lostAfter.Seconds() * 1000
	result.recoveryRatio = recoveredAfter.Seconds() / recoveryTime.Seconds()
	result.addRequests(cluster, traffic.Between(start, returnedAt), lostAt)
	return result, nil
}

// addRequests evaluates the requests from before the loss of the zone until its return.
func (r *zoneLossResult) addRequests(cluster *chaostest.Cluster, requests []chaostest.SentRequest, lostAt time.Time) {
	handled, sent := 0.0, 0.0
	var before, during []float64
	for _, request := range requests {
		switch inLostZone := cluster.ZoneOf(request.Controller) == lostZone; {
		case inLostZone && request.At.After(lostAt):
			if sent++; request.Result == "handled" {
				handled++
			}
		case !inLostZone && request.At.Before(lostAt):
			before = append(before, request.Latency.Seconds())
		case !inLostZone:
			during = append(during, request.Latency.Seconds())
		}
	}
	r.handledPercent = 100 * handled / sent
	r.otherZonesP99Rise = quantile(during, 0.99) / quantile(before, 0.99)
}
