package benchmark

import (
	"fmt"
	"sync"

	"liftshift/internal/clustersim"
	"liftshift/internal/handoff"
	"liftshift/internal/placement"
	"liftshift/scheduler"
)

const (
	handoffHistories = 10_000
	stalledHistories = 60
	copyCount        = 100_000
)

// handoffCounts are the adoptions and violations of histories.
type handoffCounts struct {
	adopted    int
	violations map[clustersim.ViolationKind]int
}

// runHandoffHistories runs histories in simulated time, with three windows of executors that drop repeats.
func runHandoffHistories(n int) handoffCounts {
	counts := handoffCounts{violations: map[clustersim.ViolationKind]int{}}
	windowsMS := []float64{0, 6000, 20_000}
	var mu sync.Mutex
	parallel(n, func(k int) {
		result := clustersim.RunHandoff(clustersim.HandoffScenario{Seed: uint64(k), DedupWindowMS: windowsMS[k%len(windowsMS)]})
		mu.Lock()
		defer mu.Unlock()
		counts.adopted += result.Adopted
		for _, v := range result.Violations {
			fmt.Println("# broken:", result.Seed, v)
			counts.violations[v.Kind]++
		}
	})
	return counts
}

// others counts the violations that have no figure of their own.
func (c *handoffCounts) others() (sum int) {
	for kind, n := range c.violations {
		switch kind {
		case clustersim.RanTwice, clustersim.ContradictoryAnswers, clustersim.WithoutOutcome:
		default:
			sum += n
		}
	}
	return sum
}

// bytesPerCopy returns the bytes that a copy costs its replica, without its body.
func bytesPerCopy() float64 {
	places := []placement.Member{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}, {Name: "c", Incarnation: 1}}
	var t placement.Table
	t.Reassign(places, 1)
	t.Step = 1
	bytes, _ := heapBytes(func() any {
		settings := handoff.DefaultSettings()
		settings.Classes = []scheduler.RequestClass{{Name: "mark", Idempotency: scheduler.Keyed, DedupWindowMS: 20e3}}
		e := handoff.New(handoff.Member{Name: "a", Incarnation: 1}, settings, 1)
		e.Step(1000, &handoff.Event{Kind: handoff.PlacementChanged, LeaseHeld: true, Members: places, Table: &t})
		for k := range copyCount {
			key := handoff.KeyOf(fmt.Sprint("m", k), "")
			e.Step(1000, &handoff.Event{Kind: handoff.BatchReceived, LeaseHeld: true, Token: 1, Batch: &handoff.Batch{From: handoff.Member{Name: "b", Incarnation: 1}, Version: t.Version,
				Items: []handoff.Item{{Op: handoff.OpRegister, Key: key, Sequence: 1, Copy: &handoff.Copy{RequestData: handoff.RequestData{ID: fmt.Sprint(k), IdempotencyKey: fmt.Sprint("m", k), Class: "mark"},
					Deadline: 6000, Complete: true, Sequence: 1}}}}})
		}
		return e
	})
	return bytes / copyCount
}

// HandoffHistories measures what becomes of open requests in simulated time. STORIES sets how many histories are run.
func HandoffHistories(string, string) ([]Figure, error) {
	var figures []Figure
	add := func(name string, value float64, unit, op string, want float64) {
		figures = append(figures, Figure{"takeover." + name, value, unit, op, want})
	}
	a := bytesPerCopy()
	add("bytes_a_copy", a, "B", "<=", 1500)
	add("memory_of_1e5_copies", a*1e5/(1<<20), "MB", "<=", 143)
	n := envNumber("STORIES", handoffHistories)
	counts := runHandoffHistories(n)
	unit := fmt.Sprintf("of %d histories, %d adopted", n, counts.adopted)
	add("sim_ran_twice", float64(counts.violations[clustersim.RanTwice]), unit, "==", 0)
	add("sim_two_answers", float64(counts.violations[clustersim.ContradictoryAnswers]), unit, "==", 0)
	add("sim_without_outcome", float64(counts.violations[clustersim.WithoutOutcome]), unit, "==", 0)
	add("sim_otherwise_wrong", float64(counts.others()), unit, "==", 0)
	add("sim_ran_twice_without_leases", float64(countRunsWithoutLeases(stalledHistories)), fmt.Sprintf("of %d histories", stalledHistories), ">=", 1)
	return figures, nil
}
