package benchmark

import (
	"math"
	"slices"

	"liftshift/internal/clustersim"
	"liftshift/internal/membership"
)

const (
	crashRounds = 20
	// missedHeartbeats is how many heartbeats in a row must be missed until plain heartbeats would declare a member
	// dead. With a tenth of the messages lost, fewer would cause false positives.
	missedHeartbeats = 3
	falselyDeadHours = 1000 // member-hours in which members falsely declared dead are counted
	shardMembers     = 100  // members of each of the clusters that are simulated in parallel
)

// convergedCluster returns a simulated cluster whose views have converged.
func convergedCluster(n int, seed uint64, settings membership.Settings) *clustersim.Cluster {
	cluster := clustersim.New(n, seed)
	cluster.MembershipSettings = settings
	for k := range n {
		cluster.Start(k)
	}
	cluster.RunUntilConverged(60_000, 500)
	cluster.RunUntil(cluster.Now + 10_000)
	return cluster
}

// crashResult holds what was measured of a simulated cluster before and after crashes.
type crashResult struct {
	firstMS, allMS []float64 // by crash: until the first and until all other members consider the member dead
	// Messages and bytes that a member sends per second while nothing changes.
	messages, bytes float64
}

// measureCrashes measures the traffic of an idle cluster, and how long members take to detect crashes.
func measureCrashes(n, rounds int) (result crashResult) {
	cluster := convergedCluster(n, uint64(n), membership.DefaultSettings())
	cluster.Messages, cluster.Bytes = 0, 0
	const idleMS = 30_000
	cluster.RunUntil(cluster.Now + idleMS)
	result.messages = float64(cluster.Messages) / float64(n) / idleMS * 1000
	result.bytes = float64(cluster.Bytes) / float64(n) / idleMS * 1000
	for round := range rounds {
		crashed := (round*7 + 3) % n
		name, crashedAt := cluster.Nodes[crashed].Name, cluster.Now
		detections, first, last := 0, 0.0, 0.0
		cluster.OnEffect = func(observer int, e *membership.Effect) {
			declaredDead := e.Kind == membership.MemberChanged && e.Member.State == membership.Dead
			if declaredDead && e.Member.Name == name && observer != crashed {
				detections++
				if detections == 1 {
					first = cluster.Now - crashedAt
				}
				last = cluster.Now - crashedAt
			}
		}
		cluster.Kill(crashed)
		for detections < n-1 && cluster.Now < crashedAt+60_000 {
			cluster.RunUntil(cluster.Now + 100)
		}
		if detections < n-1 {
			last = math.Inf(1)
		}
		result.firstMS, result.allMS = append(result.firstMS, first), append(result.allMS, last)
		cluster.OnEffect = nil
		cluster.Start(crashed)
		cluster.RunUntil(cluster.Now + 5000)
	}
	return result
}

// falselyDeadRate returns how many live members are declared dead per 1000 member-hours, with a tenth of all messages
// lost and one member in twenty stalling for 2 s from time to time.
func falselyDeadRate(hours float64, useLocalHealth bool) float64 {
	shards := int(math.Ceil(hours / shardMembers * 6))
	counts := make([]int, shards)
	parallel(shards, func(shard int) {
		settings := membership.DefaultSettings()
		settings.IgnoreOwnHealth = !useLocalHealth
		cluster := convergedCluster(shardMembers, uint64(shard)+1000, settings)
		cluster.Network.Loss = 0.1
		lastDeclared := map[string]float64{}
		cluster.OnEffect = func(_ int, e *membership.Effect) {
			if e.Kind == membership.MemberChanged && e.Member.State == membership.Dead {
				// The declarations of a member within 10 s count as one, whoever made them.
				if at, before := lastDeclared[e.Member.Name]; !before || cluster.Now-at > 10_000 {
					counts[shard]++
				}
				lastDeclared[e.Member.Name] = cluster.Now
			}
		}
		for k := 0; k < shardMembers; k += 20 {
			var stall func()
			stall = func() {
				cluster.Stall(k, 2000)
				cluster.Schedule(cluster.Now+20_000+20_000*cluster.Rand().Float64(), stall)
			}
			cluster.Schedule(cluster.Now+20_000*cluster.Rand().Float64(), stall)
		}
		cluster.RunUntil(cluster.Now + 600_000)
	})
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(sum) / (float64(shards) * shardMembers / 6) * 1000
}

// partitionRecovery returns how many probe intervals the views of 300 nodes take to converge after a network partition,
// for the slowest of some partitions.
func partitionRecovery() float64 {
	partitions := []func(a, b int) bool{
		func(a, b int) bool { return a%2 != b%2 },
		func(a, b int) bool { return a%3 != b%3 },
		func(a, b int) bool { return a < 100 && b >= 100 },
		func(a, b int) bool { return a == 7 || b == 7 },
		func(a, b int) bool { return (a < 30) != (b < 30) },
	}
	intervals := make([]float64, len(partitions))
	parallel(len(partitions), func(k int) {
		cluster := convergedCluster(300, uint64(k)+50, membership.DefaultSettings())
		cluster.Network.Blocked = partitions[k]
		cluster.RunUntil(cluster.Now + 60_000)
		cluster.Network.Blocked = nil
		intervals[k] = cluster.RunUntilConverged(120_000, 50) / 500
		if intervals[k] < 0 {
			intervals[k] = math.Inf(1)
		}
	})
	return slices.Max(intervals)
}
