package benchmark

import (
	"fmt"
	"testing"

	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// measureLedger measures the time that a lookup takes in the ledger, which runs in the event loop.
func measureLedger(string) ([]Figure, error) {
	settings := ledger.DefaultSettings()
	class := scheduler.RequestClass{Name: "look", Idempotency: scheduler.Idempotent, DeadlineMS: 5000}
	settings.Classes = []scheduler.RequestClass{class}
	settings.RetryBudget.WindowMS = 10000
	requests := ledger.New(settings)
	requests.Step(0, &ledger.Event{Kind: ledger.RecoveryDone})
	now, ids := 0.0, make([]string, 200_000)
	for k := range ids {
		ids[k] = fmt.Sprintf("%016x", k)
	}
	n := 0
	lookup := func() {
		now++
		id := ids[n%len(ids)]
		n++
		requests.Step(now, &ledger.Event{Kind: ledger.RequestReceived, ID: id, Class: "look", Deadline: now + 5000})
		requests.Step(now, &ledger.Event{Kind: ledger.AttemptStarting, ID: id, Executor: 1})
		requests.Step(now, &ledger.Event{Kind: ledger.AttemptEnded, ID: id})
		requests.Step(now, &ledger.Event{Kind: ledger.RequestClosed, ID: id, Outcome: ledger.Succeeded})
		if n%100 == 0 {
			requests.Step(now, &ledger.Event{Kind: ledger.Ticked})
		}
	}
	for range 20_000 {
		lookup()
	}
	allocations := testing.AllocsPerRun(20_000, lookup)
	seconds := compareMedians(func() float64 {
		return elapsedSeconds(func() {
			for range 50_000 {
				lookup()
			}
		}) / 50_000
	})
	return []Figure{
		{"ledger.allocations_a_lookup", allocations, "", "==", 0},
		{"ledger.us_a_lookup", seconds[0] * 1e6, "us", "<=", 10},
	}, nil
}
