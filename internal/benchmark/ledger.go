package benchmark

import (
	"fmt"
	"testing"

	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// measureLedger measures what a lookup costs the event loop in the ledger.
func measureLedger(string) ([]Figure, error) {
	g := ledger.DefaultSettings()
	g.Classes = []scheduler.RequestClass{{Name: "look", Idempotency: scheduler.Idempotent, DeadlineMS: 5000}}
	g.RetryBudget.WindowMS = 10000
	l := ledger.New(g)
	l.Step(0, &ledger.Event{Kind: ledger.RecoveryDone})
	now, ids := 0.0, make([]string, 200_000)
	for k := range ids {
		ids[k] = fmt.Sprintf("%016x", k)
	}
	n := 0
	one := func() {
		now++
		id := ids[n%len(ids)]
		n++
		l.Step(now, &ledger.Event{Kind: ledger.RequestReceived, ID: id, Class: "look", Deadline: now + 5000})
		l.Step(now, &ledger.Event{Kind: ledger.AttemptStarting, ID: id, Executor: 1})
		l.Step(now, &ledger.Event{Kind: ledger.AttemptEnded, ID: id})
		l.Step(now, &ledger.Event{Kind: ledger.RequestClosed, ID: id, Outcome: ledger.Succeeded})
		if n%100 == 0 {
			l.Step(now, &ledger.Event{Kind: ledger.Ticked})
		}
	}
	for range 20_000 {
		one()
	}
	allocs := testing.AllocsPerRun(20_000, one)
	m := compareMedians(func() float64 {
		return elapsedSeconds(func() {
			for range 50_000 {
				one()
			}
		}) / 50_000
	})
	return []Figure{{"ledger.allocations_a_lookup", allocs, "", "==", 0}, {"ledger.us_a_lookup", m[0] * 1e6, "us", "<=", 10}}, nil
}
