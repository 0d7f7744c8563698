package benchmark

import (
	"math"
	"slices"

	"liftshift/internal/clustersim"
	"liftshift/internal/membership"
)

const (
	crashRounds      = 20
	missedHeartbeats = 3    // in a row, after which plain heartbeats take a member for dead: fewer err with a tenth of them lost
	falselyDeadHours = 1000 // member-hours of the search for members falsely taken for dead
	shardMembers     = 100
)

// convergedCluster returns a simulated cluster whose views have converged.
func convergedCluster(n int, seed uint64, settings membership.Settings) *clustersim.Cluster {
	c := clustersim.New(n, seed)
	c.MembershipSettings = settings
	for k := range n {
		c.Start(k)
	}
	c.RunUntilConverged(60_000, 500)
	c.RunUntil(c.Now + 10_000)
	return c
}

// measureCrashes measures when the first and when all know of crashes, and what a quiet cluster sends.
func measureCrashes(n, rounds int) (first, all []float64, messages, bytes float64) {
	c := convergedCluster(n, uint64(n), membership.DefaultSettings())
	c.Messages, c.Bytes = 0, 0
	const quiet = 30_000
	c.RunUntil(c.Now + quiet)
	messages = float64(c.Messages) / float64(n) / quiet * 1000
	bytes = float64(c.Bytes) / float64(n) / quiet * 1000
	for r := range rounds {
		k := (r*7 + 3) % n
		name, began, known, firstAt, lastAt := c.Nodes[k].Name, c.Now, 0, 0.0, 0.0
		c.OnEffect = func(by int, e *membership.Effect) {
			if e.Kind == membership.MemberChanged && e.Member.Name == name && e.Member.State == membership.Dead && by != k {
				known++
				if known == 1 {
					firstAt = c.Now - began
				}
				lastAt = c.Now - began
			}
		}
		c.Kill(k)
		for known < n-1 && c.Now < began+60_000 {
			c.RunUntil(c.Now + 100)
		}
		if known < n-1 {
			lastAt = math.Inf(1)
		}
		first, all = append(first, firstAt), append(all, lastAt)
		c.OnEffect = nil
		c.Start(k)
		c.RunUntil(c.Now + 5000)
	}
	return first, all, messages, bytes
}

// falselyDeadRate returns how many members are taken for dead though they live, per 1000 member-hours, with a tenth of all messages lost
// and one member in twenty stalling for 2 s now and then.
func falselyDeadRate(hours float64, aware bool) float64 {
	shards := int(math.Ceil(hours / shardMembers * 6))
	counts := make([]int, shards)
	parallel(shards, func(s int) {
		settings := membership.DefaultSettings()
		settings.IgnoreOwnHealth = !aware
		c := convergedCluster(shardMembers, uint64(s)+1000, settings)
		c.Network.Loss = 0.1
		last := map[string]float64{}
		c.OnEffect = func(_ int, e *membership.Effect) {
			if e.Kind == membership.MemberChanged && e.Member.State == membership.Dead {
				if at, before := last[e.Member.Name]; !before || c.Now-at > 10_000 { // by whom ever: one mistake
					counts[s]++
				}
				last[e.Member.Name] = c.Now
			}
		}
		for k := 0; k < shardMembers; k += 20 {
			var again func()
			again = func() {
				c.Stall(k, 2000)
				c.Schedule(c.Now+20_000+20_000*c.Rand().Float64(), again)
			}
			c.Schedule(c.Now+20_000*c.Rand().Float64(), again)
		}
		c.RunUntil(c.Now + 600_000)
	})
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(sum) / (float64(shards) * shardMembers / 6) * 1000
}

// partitionRecovery returns how many probe intervals the views of 300 nodes need to converge after a partition, at the worst of some shapes.
func partitionRecovery() float64 {
	shapes := []func(a, b int) bool{
		func(a, b int) bool { return a%2 != b%2 }, func(a, b int) bool { return a%3 != b%3 },
		func(a, b int) bool { return a < 100 && b >= 100 }, func(a, b int) bool { return a == 7 || b == 7 },
		func(a, b int) bool { return (a < 30) != (b < 30) },
	}
	took := make([]float64, len(shapes))
	parallel(len(shapes), func(k int) {
		c := convergedCluster(300, uint64(k)+50, membership.DefaultSettings())
		c.Network.Blocked = shapes[k]
		c.RunUntil(c.Now + 60_000)
		c.Network.Blocked = nil
		took[k] = c.RunUntilConverged(120_000, 50) / 500
		if took[k] < 0 {
			took[k] = math.Inf(1)
		}
	})
	return slices.Max(took)
}
