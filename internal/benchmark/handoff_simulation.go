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

// countHandoffViolations plays histories in simulated time and counts what is wrong, by kind.
func countHandoffViolations(n int) (twice, two, without, other, adopted int) {
	var mu sync.Mutex
	parallel(n, func(k int) {
		o := clustersim.RunHandoff(clustersim.HandoffScenario{Seed: uint64(k), DedupWindowMS: []float64{0, 6000, 20_000}[k%3]})
		mu.Lock()
		defer mu.Unlock()
		adopted += o.Adopted
		for _, v := range o.Violations {
			fmt.Println("# broken:", o.Seed, v)
			switch v.Kind {
			case clustersim.RanTwice:
				twice++
			case clustersim.ContradictoryAnswers:
				two++
			case clustersim.WithoutOutcome:
				without++
			default:
				other++
			}
		}
	})
	return twice, two, without, other, adopted
}

// bytesPerCopy gives the bytes that a copy costs its holder, without its body.
func bytesPerCopy() float64 {
	places := []placement.Member{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}, {Name: "c", Incarnation: 1}}
	var t placement.Table
	t.Reassign(places, 1)
	t.Step = 1
	bytes, _ := heapBytes(func() any {
		settings := handoff.DefaultSettings()
		settings.Classes = []scheduler.RequestClass{{Name: "mark", Effect: scheduler.Keyed, DedupWindowMS: 20e3}}
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

// HandoffHistories measures what becomes of work in hand in simulated time. STORIES sets how many histories are played.
func HandoffHistories(string, string) ([]Figure, error) {
	var figures []Figure
	add := func(name string, value float64, unit, op string, want float64) {
		figures = append(figures, Figure{"takeover." + name, value, unit, op, want})
	}
	a := bytesPerCopy()
	add("bytes_a_copy", a, "B", "<=", 1500)
	add("memory_of_1e5_copies", a*1e5/(1<<20), "MB", "<=", 143)
	n := number("STORIES", handoffHistories)
	twice, two, without, other, adopted := countHandoffViolations(n)
	unit := fmt.Sprintf("of %d histories, %d adopted", n, adopted)
	add("sim_ran_twice", float64(twice), unit, "==", 0)
	add("sim_two_answers", float64(two), unit, "==", 0)
	add("sim_without_outcome", float64(without), unit, "==", 0)
	add("sim_otherwise_wrong", float64(other), unit, "==", 0)
	add("sim_ran_twice_without_leases", float64(countRunsWithoutLeases(stalledHistories)), fmt.Sprintf("of %d histories", stalledHistories), ">=", 1)
	return figures, nil
}
