package benchmark

import (
	"fmt"
	"math"
	"sync"

	"liftshift/internal/clustersim"
	"liftshift/internal/consensus"
)

const consensusHistories = 2000

// leaderlessTime is how long a council is without a leader after that is killed.
func leaderlessTime() (median float64) {
	var times []float64
	for seed := range uint64(20) {
		h := clustersim.NewConsensusCluster(5, 3, seed)
		for k := range h.Nodes {
			h.Start(k)
		}
		h.RunUntil(15_000)
		at, was := h.Now, h.Leader
		for k, nd := range h.Nodes {
			if nd.Name == was {
				h.Kill(k)
			}
		}
		h.RunUntil(h.Now + 20_000)
		if h.Leader == was {
			times = append(times, math.Inf(1))
		} else {
			times = append(times, h.LeaderSince-at)
		}
	}
	return quantile(times, 0.5)
}

// consensusThroughput is how many entries a second a council of three takes, disks of up to 5 ms and links of up to 2 ms simulated, and how long
// the log is then at most.
func consensusThroughput() (rate, kept float64) {
	const names = 4000
	h := clustersim.NewConsensusCluster(3, 3, 77)
	for k := range h.Nodes {
		h.Start(k)
	}
	h.RunUntil(10_000)
	for n := range names {
		h.Observations = append(h.Observations, consensus.Observation{Name: fmt.Sprint("x", n), Incarnation: 1, Alive: true})
	}
	began := h.Now
	for h.Now < began+120_000 {
		h.RunUntil(h.Now + 20)
		least := names
		for k, s := range h.ConsensusNodes {
			st := s.Group.Status(h.LocalTime(k))
			kept, least = max(kept, float64(st.LogEntries)), min(least, len(st.Record.Members))
		}
		if least >= names {
			return names / (h.Now - began) * 1000, kept
		}
	}
	return 0, kept
}

// Consensus measures what is agreed: histories under faults, the time without a leader, and how much it takes.
func Consensus(string, string) ([]Figure, error) {
	var figures []Figure
	add := func(name string, value float64, unit, op string, want float64) {
		figures = append(figures, Figure{"fleet." + name, value, unit, op, want})
	}
	var mu sync.Mutex
	claims, declared, broken := 0, 0, 0
	parallel(consensusHistories, func(k int) {
		o := clustersim.RunConsensus(uint64(k), nil)
		mu.Lock()
		defer mu.Unlock()
		claims, declared = claims+o.Operations, declared+o.DeclaredLost
		if len(o.Violations) > 0 {
			broken++
			fmt.Println("# broken:", o.Seed, o.Violations)
		}
	})
	add("council_histories_broken", float64(broken), fmt.Sprintf("of %d, %d claims, %d lives lost", consensusHistories, claims, declared), "==", 0)
	gap := leaderlessTime()
	rate, kept := consensusThroughput()
	add("council_leaderless_median", gap/1000, "s", "<=", 3)
	add("council_entries_a_second", rate, "/s", ">=", 500)
	add("council_log_kept", kept, "entries", "<=", 1024)
	return figures, nil
}
