package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["outcome"] = outcomeOfOpenKey }

// outcomeOfOpenKey: a controller with a store has an open keyed request. An executor is full at its first attempt, and
// slow at the second one. Whoever asks for the outcome of its idempotency key meanwhile must not be told a final one
// that is not so.
func outcomeOfOpenKey(p *play) (held bool) {
	r := &runs{play: p, window: 20 * time.Second}
	var tries atomic.Int32
	e := p.addExecutor("s-1", r, 20*time.Millisecond)
	e.decide = func(string, string, string) (string, time.Duration) {
		switch try := tries.Add(1); {
		case !p.trouble:
			return "data", 20 * time.Millisecond
		case try <= 2:
			return "full", 0
		}
		return "data", 1500 * time.Millisecond
	}
	n := p.addNode("n1", settings(1, 0, class("load", "keyed", 20*time.Second, 20*time.Second)))
	n.operator = fmt.Sprintf("store {\n  directory = %q\n}\n", n.store())
	n.start()
	p.await("n1 is fit", 20*time.Second, n.fit)

	id, key := newRequestID(), newKey()
	answers := make(chan answer, 1)
	go func() { answers <- p.submit(n, "load", id, key, 10*time.Second, nil) }()
	told := map[string]bool{}
	var a answer
	for open := true; open; {
		select {
		case a = <-answers:
			open = false
		case <-time.After(100 * time.Millisecond):
			told[p.outcome(n, "opkey", key)] = true
		}
	}
	last := p.outcome(n, "opkey", key)
	p.note("told while it was open: %v; its answer: %s; told afterwards: %s", told, a.kind, last)
	if a.kind != "served" {
		panic(giveUp{"the request was not served"})
	}
	return !told["denied"] && !told["written_off"] && !told["left"]
}
