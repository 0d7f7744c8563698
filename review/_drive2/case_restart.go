package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart"] = restart }

// restart: all six controllers are lost at once, with their disks whole. Three start again at once, the other three 12 s
// later. Replicas keep their copies on disk, so that idempotency keys that ran before are never sent again.
func restart(p *play) (held bool) {
	const window = 20 * time.Second
	r := &runs{play: p, window: window}
	p.addExecutor("s-1", r, 20*time.Millisecond)
	p.addExecutor("s-2", r, 20*time.Millisecond)
	var all []*node
	for k := range 6 {
		all = append(all, p.addNode(fmt.Sprint("n", k+1), settings(6, k, class("load", "keyed", 20*time.Second, window))))
	}
	for _, n := range all {
		n.operator = clusterFile(n, all, []string{"n4", "n5", "n6"}, "",
			"  copies    = 1\n  condition = \"disk and replicas' disks\"\n")
		n.start()
	}
	p.await("all six controllers serve keyed requests", 40*time.Second, func() bool { return p.allServe(all) })

	var keys []string
	for range 60 {
		key := newKey()
		if a := p.submit(all[0], "load", newRequestID(), key, 5*time.Second, nil); a.kind == "served" {
			keys = append(keys, key)
		}
	}
	p.note("%d keys have run", len(keys))
	time.Sleep(2 * time.Second)
	if p.trouble {
		for _, n := range all {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range all {
			n.kill()
		}
		for k, n := range append(all[3:6:6], all[:3]...) {
			if k == 3 {
				time.Sleep(12 * time.Second)
			}
			n.start()
		}
	}
	time.Sleep(window)
	p.await("all six controllers serve keyed requests again", 40*time.Second, func() bool {
		return p.allServe(all) && p.servesMany(all[5], 12)
	})
	var clients sync.WaitGroup
	for _, key := range keys {
		clients.Go(func() { p.submit(all[5], "load", newRequestID(), key, 5*time.Second, nil) })
	}
	clients.Wait()
	held = true
	for _, key := range keys {
		if list := r.of(key); len(list) > 1 {
			p.note("opkey=%s ran %d times, the last time %.1f s after the first, past the window of %v", key, len(list),
				list[len(list)-1].at.Sub(list[0].at).Seconds(), window)
			held = false
		}
	}
	return held
}

// servesMany reports whether a controller serves a number of keyed requests now, whose keys differ.
func (p *play) servesMany(n *node, count int) bool {
	for range count {
		if !p.serves(n) {
			return false
		}
	}
	return true
}
