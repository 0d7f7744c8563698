package benchmark

import (
	"fmt"
	"math"
	"sync"

	"liftshift/internal/clustersim"
	"liftshift/internal/consensus"
)

const consensusHistories = 2000

// leaderlessTime returns the median time that a consensus group has no leader after its leader was killed, in
// milliseconds.
func leaderlessTime() float64 {
	var times []float64
	for seed := range uint64(20) {
		cluster := clustersim.NewConsensusCluster(5, 3, seed)
		for k := range cluster.Nodes {
			cluster.Start(k)
		}
		cluster.RunUntil(15_000)
		killedAt, killedLeader := cluster.Now, cluster.Leader
		for k, node := range cluster.Nodes {
			if node.Name == killedLeader {
				cluster.Kill(k)
			}
		}
		cluster.RunUntil(cluster.Now + 20_000)
		if cluster.Leader == killedLeader {
			times = append(times, math.Inf(1))
		} else {
			times = append(times, cluster.LeaderSince-killedAt)
		}
	}
	return quantile(times, 0.5)
}

// consensusThroughput returns how many entries per second a group of three voters commits, with simulated disks of up
// to 5 ms and links of up to 2 ms, and the largest number of entries in a log.
func consensusThroughput() (entriesPerSecond, logEntries float64) {
	const admissions = 4000
	cluster := clustersim.NewConsensusCluster(3, 3, 77)
	for k := range cluster.Nodes {
		cluster.Start(k)
	}
	cluster.RunUntil(10_000)
	for n := range admissions {
		observation := consensus.Observation{Name: fmt.Sprint("x", n), Incarnation: 1, Alive: true}
		cluster.ExtraObservations = append(cluster.ExtraObservations, observation)
	}
	start := cluster.Now
	for cluster.Now < start+120_000 {
		cluster.RunUntil(cluster.Now + 20)
		leastAdmitted := admissions
		for k, node := range cluster.ConsensusNodes {
			status := node.Group.Status(cluster.LocalTime(k))
			logEntries = max(logEntries, float64(status.LogEntries))
			leastAdmitted = min(leastAdmitted, len(status.Record.Members))
		}
		if leastAdmitted >= admissions {
			return admissions / (cluster.Now - start) * 1000, logEntries
		}
	}
	return 0, logEntries
}

// Consensus measures the consensus group: histories with faults, the time without a leader, and the throughput.
func Consensus(string, string) ([]Figure, error) {
	set := figureSet{prefix: "fleet."}
	var mu sync.Mutex
	operations, declaredLost, violated := 0, 0, 0
	parallel(consensusHistories, func(k int) {
		result := clustersim.RunConsensus(uint64(k), nil)
		mu.Lock()
		defer mu.Unlock()
		operations += result.Operations
		declaredLost += result.DeclaredLost
		if len(result.Violations) > 0 {
			violated++
			fmt.Println("# violations: consensus history with seed", result.Seed, result.Violations)
		}
	})
	unit := fmt.Sprintf("of %d, %d claims, %d lives lost", consensusHistories, operations, declaredLost)
	set.add("council_histories_broken", float64(violated), unit, "==", 0)
	leaderless := leaderlessTime()
	entriesPerSecond, logEntries := consensusThroughput()
	set.add("council_leaderless_median", leaderless/1000, "s", "<=", 3)
	set.add("council_entries_a_second", entriesPerSecond, "/s", ">=", 500)
	set.add("council_log_kept", logEntries, "entries", "<=", 1024)
	return set.figures, nil
}
