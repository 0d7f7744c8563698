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

// handoffCounts are the adoptions and violations of some histories.
type handoffCounts struct {
	adopted    int
	violations map[clustersim.ViolationKind]int
}

// runHandoffHistories runs histories in simulated time, with three deduplication windows of the executors.
func runHandoffHistories(n int) handoffCounts {
	counts := handoffCounts{violations: map[clustersim.ViolationKind]int{}}
	windowsMS := []float64{0, 6000, 20_000}
	var mu sync.Mutex
	parallel(n, func(k int) {
		scenario := clustersim.HandoffScenario{Seed: uint64(k), DedupWindowMS: windowsMS[k%len(windowsMS)]}
		result := clustersim.RunHandoff(scenario)
		mu.Lock()
		defer mu.Unlock()
		counts.adopted += result.Adopted
		for _, violation := range result.Violations {
			fmt.Println("# violation: handoff history with seed", result.Seed, violation)
			counts.violations[violation.Kind]++
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

// bytesPerCopy returns how many bytes of memory a copy takes at its replica, without the body of the request.
func bytesPerCopy() float64 {
	owner := handoff.Member{Name: "b", Incarnation: 1}
	members := []placement.Member{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}, {Name: "c", Incarnation: 1}}
	var table placement.Table
	table.Reassign(members, 1)
	table.Step = 1
	bytes, _ := heapBytes(func() any {
		settings := handoff.DefaultSettings()
		class := scheduler.RequestClass{Name: "mark", Idempotency: scheduler.Keyed, DedupWindowMS: 20e3}
		settings.Classes = []scheduler.RequestClass{class}
		manager := handoff.New(handoff.Member{Name: "a", Incarnation: 1}, settings, 1)
		manager.Step(1000, &handoff.Event{
			Kind:      handoff.PlacementChanged,
			LeaseHeld: true,
			Members:   members,
			Table:     &table,
		})
		for k := range copyCount {
			item := registerItem(k)
			batch := &handoff.Batch{From: owner, Version: table.Version, Items: []handoff.Item{item}}
			manager.Step(1000, &handoff.Event{Kind: handoff.BatchReceived, LeaseHeld: true, Token: 1, Batch: batch})
		}
		return manager
	})
	return bytes / copyCount
}

// registerItem returns the item that registers a numbered copy.
func registerItem(k int) handoff.Item {
	data := handoff.RequestData{ID: fmt.Sprint(k), IdempotencyKey: fmt.Sprint("m", k), Class: "mark"}
	return handoff.Item{
		Op:       handoff.OpRegister,
		Key:      handoff.KeyOf(fmt.Sprint("m", k), ""),
		Sequence: 1,
		Copy:     &handoff.Copy{RequestData: data, Deadline: 6000, Complete: true, Sequence: 1},
	}
}

// HandoffHistories measures what becomes of open requests in simulated time. The environment variable STORIES sets the
// number of histories.
func HandoffHistories(string, string) ([]Figure, error) {
	set := figureSet{prefix: "takeover."}
	copyBytes := bytesPerCopy()
	set.add("bytes_a_copy", copyBytes, "B", "<=", 1500)
	set.add("memory_of_1e5_copies", copyBytes*1e5/(1<<20), "MB", "<=", 143)
	n := envNumber("STORIES", handoffHistories)
	counts := runHandoffHistories(n)
	unit := fmt.Sprintf("of %d histories, %d adopted", n, counts.adopted)
	set.add("sim_ran_twice", float64(counts.violations[clustersim.RanTwice]), unit, "==", 0)
	set.add("sim_two_answers", float64(counts.violations[clustersim.ContradictoryAnswers]), unit, "==", 0)
	set.add("sim_without_outcome", float64(counts.violations[clustersim.WithoutOutcome]), unit, "==", 0)
	set.add("sim_otherwise_wrong", float64(counts.others()), unit, "==", 0)
	stalledUnit := fmt.Sprintf("of %d histories", stalledHistories)
	set.add("sim_ran_twice_without_leases", float64(countRunsWithoutLeases(stalledHistories)), stalledUnit, ">=", 1)
	return set.figures, nil
}
