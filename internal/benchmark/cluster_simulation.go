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

// convergedCluster is a simulated fleet whose views are settled.
func convergedCluster(n int, seed uint64, settings membership.Settings) *clustersim.Cluster {
	f := clustersim.New(n, seed)
	f.MembershipSettings = settings
	for k := range n {
		f.Start(k)
	}
	f.RunUntilConverged(60_000, 500)
	f.RunUntil(f.Now + 10_000)
	return f
}

// measureCrashes measures when the first and when all know of crashes, and what a quiet fleet says.
func measureCrashes(n, rounds int) (first, all []float64, messages, bytes float64) {
	f := convergedCluster(n, uint64(n), membership.DefaultSettings())
	f.Messages, f.Bytes = 0, 0
	const quiet = 30_000
	f.RunUntil(f.Now + quiet)
	messages = float64(f.Messages) / float64(n) / quiet * 1000
	bytes = float64(f.Bytes) / float64(n) / quiet * 1000
	for r := range rounds {
		k := (r*7 + 3) % n
		name, began, known, firstAt, lastAt := f.Nodes[k].Name, f.Now, 0, 0.0, 0.0
		f.OnEffect = func(by int, e *membership.Effect) {
			if e.Kind == membership.MemberChanged && e.Member.Name == name && e.Member.State == membership.Dead && by != k {
				if known++; known == 1 {
					firstAt = f.Now - began
				}
				lastAt = f.Now - began
			}
		}
		f.Kill(k)
		for known < n-1 && f.Now < began+60_000 {
			f.RunUntil(f.Now + 100)
		}
		if known < n-1 {
			lastAt = math.Inf(1)
		}
		first, all = append(first, firstAt), append(all, lastAt)
		f.OnEffect = nil
		f.Start(k)
		f.RunUntil(f.Now + 5000)
	}
	return first, all, messages, bytes
}

// falselyDeadRate counts who is held for gone though it lives, in so many member-hours with a tenth of all messages lost and one in twenty
// stalling for 2 s now and then.
func falselyDeadRate(hours float64, aware bool) float64 {
	shards := int(math.Ceil(hours / shardMembers * 6))
	counts := make([]int, shards)
	parallel(shards, func(s int) {
		settings := membership.DefaultSettings()
		settings.IgnoreOwnHealth = !aware
		f := convergedCluster(shardMembers, uint64(s)+1000, settings)
		f.Network.Loss = 0.1
		last := map[string]float64{}
		f.OnEffect = func(_ int, e *membership.Effect) {
			if e.Kind == membership.MemberChanged && e.Member.State == membership.Dead {
				if at, before := last[e.Member.Name]; !before || f.Now-at > 10_000 { // all that hold it so: one mistake
					counts[s]++
				}
				last[e.Member.Name] = f.Now
			}
		}
		for k := 0; k < shardMembers; k += 20 {
			var again func()
			again = func() {
				f.Stall(k, 2000)
				f.Schedule(f.Now+20_000+20_000*f.Rand().Float64(), again)
			}
			f.Schedule(f.Now+20_000*f.Rand().Float64(), again)
		}
		f.RunUntil(f.Now + 600_000)
	})
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(sum) / (float64(shards) * shardMembers / 6) * 1000
}

// partitionRecovery is how many probe intervals views need to be equal after a parting of 300, at the worst of some shapes.
func partitionRecovery() float64 {
	shapes := []func(a, b int) bool{
		func(a, b int) bool { return a%2 != b%2 }, func(a, b int) bool { return a%3 != b%3 },
		func(a, b int) bool { return a < 100 && b >= 100 }, func(a, b int) bool { return a == 7 || b == 7 },
		func(a, b int) bool { return (a < 30) != (b < 30) },
	}
	took := make([]float64, len(shapes))
	parallel(len(shapes), func(k int) {
		f := convergedCluster(300, uint64(k)+50, membership.DefaultSettings())
		f.Network.Blocked = shapes[k]
		f.RunUntil(f.Now + 60_000)
		f.Network.Blocked = nil
		if took[k] = f.RunUntilConverged(120_000, 50) / 500; took[k] < 0 {
			took[k] = math.Inf(1)
		}
	})
	return slices.Max(took)
}
