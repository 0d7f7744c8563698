package benchmark

import (
	"fmt"
	"math"
	"sync"

	"liftshift/internal/clustersim"
	"liftshift/internal/consensus"
)

const consensusHistories = 2000

// leaderlessTime returns how long a consensus group is without a leader after that is killed, in milliseconds.
func leaderlessTime() float64 {
	var times []float64
	for seed := range uint64(20) {
		c := clustersim.NewConsensusCluster(5, 3, seed)
		for k := range c.Nodes {
			c.Start(k)
		}
		c.RunUntil(15_000)
		killedAt, first := c.Now, c.Leader
		for k, node := range c.Nodes {
			if node.Name == first {
				c.Kill(k)
			}
		}
		c.RunUntil(c.Now + 20_000)
		if c.Leader == first {
			times = append(times, math.Inf(1))
		} else {
			times = append(times, c.LeaderSince-killedAt)
		}
	}
	return quantile(times, 0.5)
}

// consensusThroughput returns how many entries a second a group of three voters takes, with simulated disks of up to 5 ms and links of up
// to 2 ms, and how long the log is at most.
func consensusThroughput() (rate, logEntries float64) {
	const names = 4000
	c := clustersim.NewConsensusCluster(3, 3, 77)
	for k := range c.Nodes {
		c.Start(k)
	}
	c.RunUntil(10_000)
	for n := range names {
		c.Observations = append(c.Observations, consensus.Observation{Name: fmt.Sprint("x", n), Incarnation: 1, Alive: true})
	}
	began := c.Now
	for c.Now < began+120_000 {
		c.RunUntil(c.Now + 20)
		least := names
		for k, node := range c.ConsensusNodes {
			status := node.Group.Status(c.LocalTime(k))
			logEntries = max(logEntries, float64(status.LogEntries))
			least = min(least, len(status.Record.Members))
		}
		if least >= names {
			return names / (c.Now - began) * 1000, logEntries
		}
	}
	return 0, logEntries
}

// Consensus measures the consensus group: histories under faults, the time without a leader, and the throughput.
func Consensus(string, string) ([]Figure, error) {
	var figures []Figure
	add := func(name string, value float64, unit, op string, want float64) {
		figures = append(figures, Figure{"fleet." + name, value, unit, op, want})
	}
	var mu sync.Mutex
	operations, declared, broken := 0, 0, 0
	parallel(consensusHistories, func(k int) {
		result := clustersim.RunConsensus(uint64(k), nil)
		mu.Lock()
		defer mu.Unlock()
		operations += result.Operations
		declared += result.DeclaredLost
		if len(result.Violations) > 0 {
			broken++
			fmt.Println("# broken:", result.Seed, result.Violations)
		}
	})
	add("council_histories_broken", float64(broken), fmt.Sprintf("of %d, %d claims, %d lives lost", consensusHistories, operations, declared), "==", 0)
	leaderless := leaderlessTime()
	rate, logEntries := consensusThroughput()
	add("council_leaderless_median", leaderless/1000, "s", "<=", 3)
	add("council_entries_a_second", rate, "/s", ">=", 500)
	add("council_log_kept", logEntries, "entries", "<=", 1024)
	return figures, nil
}
