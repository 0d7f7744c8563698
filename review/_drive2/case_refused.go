package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["refused"] = runsAfterRefusal }

// runsAfterRefusal: a keyed request waits at its controller, as the executors are full, and the controller is cut off
// from the others. Once its client was told that the request is refused, nothing of it may run.
func runsAfterRefusal(p *play) (held bool) {
	r := &runs{play: p, window: 20 * time.Second}
	var full atomic.Bool
	for _, name := range []string{"s-1", "s-2"} {
		e := p.addExecutor(name, r, 20*time.Millisecond)
		e.decide = func(string, string, string) (string, time.Duration) {
			if full.Load() {
				return "full", 0
			}
			return "data", 20 * time.Millisecond
		}
	}
	p.addRelay(5)
	var all []*node
	for k := range 5 {
		all = append(all, p.addNode(fmt.Sprint("n", k+1), settings(5, k, class("load", "keyed", 20*time.Second, 20*time.Second))))
	}
	for _, n := range all {
		n.operator = clusterFile(n, all, []string{"n1", "n2", "n3"}, "", "  copies = 2\n")
		n.start()
	}
	p.await("all five controllers serve keyed requests", 40*time.Second, func() bool { return p.allServe(all) })

	full.Store(true)
	p.note("the executors are full")
	owner, id, key := all[4], newRequestID(), newKey()
	answers := make(chan answer, 1)
	go func() { answers <- p.submit(owner, "load", id, key, 20*time.Second, nil) }()
	time.Sleep(120 * time.Millisecond)
	if p.trouble {
		p.cutOff(4)
	}
	time.Sleep(100 * time.Millisecond)
	full.Store(false)
	p.note("the executors have room")
	a := <-answers
	answered := time.Now()
	time.Sleep(time.Until(p.began.Add(30 * time.Second)))
	held = true
	for _, n := range r.of(key) {
		if n.at.After(answered) && a.kind == "refused" {
			p.note("req=%s ran at %s, %.1f s after its client was told that it is refused", n.id, n.executor, n.at.Sub(answered).Seconds())
			held = false
		}
	}
	return held
}
