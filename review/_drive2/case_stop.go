package main

import (
	"fmt"
	"time"
)

func init() { cases["stop"] = stopWithoutLease }

// stopWithoutLease: controllers of a cluster of five are stopped as planned, one after the other: first two founders, so
// that no lease is renewed any more, later one with an open keyed request. That request must get a final answer before
// its controller ends. Without the trouble only the last one is stopped.
func stopWithoutLease(p *play) (held bool) {
	const work = 11 * time.Second
	r := &runs{play: p, window: 20 * time.Second}
	for _, name := range []string{"s-1", "s-2"} {
		e := p.addExecutor(name, r, 20*time.Millisecond)
		e.decide = func(_, _, class string) (string, time.Duration) {
			if class == "batch" {
				return "data", work
			}
			return "data", 20 * time.Millisecond
		}
	}
	var all []*node
	for k := range 5 {
		all = append(all, p.addNode(fmt.Sprint("n", k+1), settings(5, k,
			class("load", "keyed", 20*time.Second, 20*time.Second), class("batch", "keyed", 20*time.Second, 20*time.Second))))
	}
	for _, n := range all {
		n.operator = clusterFile(n, all, []string{"n1", "n2", "n3"}, "", "  copies = 2\n")
		n.start()
	}
	p.await("all five controllers serve keyed requests", 40*time.Second, func() bool { return p.allServe(all) })

	stopped := all[4]
	answers := make(chan answer, 1)
	began := time.Now()
	go func() { answers <- p.submit(stopped, "batch", newRequestID(), newKey(), 20*time.Second, nil) }()
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		for _, n := range all[:2] {
			n.terminate()
		}
	}
	time.Sleep(time.Until(began.Add(work - 500*time.Millisecond)))
	for _, line := range stopped.logged("lease") {
		p.note("log of %s: %s", stopped.name, line)
	}
	stopped.terminate()
	a := <-answers
	p.note("the request that %s had taken: %s", stopped.name, a.kind)
	return a.kind != "none"
}
