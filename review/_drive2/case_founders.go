package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["founders"] = founders }

// founders: each of the three founders loses its disk, one after the other, and comes back with an empty one after
// another controller has taken its place as a voter. Idempotency keys that ran before must not run again. Without the
// trouble the same controllers are killed, replaced and started again with their disks.
func founders(p *play) (held bool) {
	const window = 20 * time.Second
	r := &runs{play: p, window: window}
	p.addExecutor("s-1", r, 20*time.Millisecond)
	p.addExecutor("s-2", r, 20*time.Millisecond)
	var all []*node
	for k := range 6 {
		all = append(all, p.addNode(fmt.Sprint("n", k+1), settings(6, k, class("load", "keyed", 20*time.Second, window))))
	}
	names := []string{"n4", "n5", "n6"}
	for _, n := range all {
		n.operator = clusterFile(n, all, names, "", "  copies = 1\n")
		n.start()
	}
	first := all[0]
	p.await("all six controllers serve keyed requests", 40*time.Second, func() bool { return p.allServe(all) })

	var keys []string
	for range 24 {
		key := newKey()
		if a := p.submit(first, "load", newRequestID(), key, 3*time.Second, nil); a.kind == "served" {
			keys = append(keys, key)
		}
	}
	for _, f := range all[3:] {
		f.signal(syscall.SIGKILL)
		f.kill()
		if p.trouble {
			p.must(os.RemoveAll(f.store()), "empty disk")
			p.note("%s: its disk is empty now", f.name)
		}
		p.await(f.name+" is replaced as a voter", 30*time.Second, func() bool {
			voters := first.command("consensus", "voters")
			return strings.Contains(voters, "n1 ") && !strings.Contains(voters, f.name+" ")
		})
		p.note("voters by n1:\n%s", first.command("consensus", "voters"))
		f.start()
		p.await(f.name+" serves again, n1 serves keyed requests", 10*time.Second, func() bool {
			return f.fit() && p.serves(first)
		})
	}
	time.Sleep(8 * time.Second)
	for _, n := range all {
		p.note("consensus show at %s:\n%s", n.name, n.command("consensus", "show"))
	}
	var clients sync.WaitGroup
	for k, key := range keys {
		clients.Go(func() { p.submit(all[3+k%3], "load", newRequestID(), key, 3*time.Second, nil) })
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

// serves reports whether a controller serves a keyed request now.
func (p *play) serves(n *node) bool {
	return p.submit(n, "load", newRequestID(), newKey(), 2*time.Second, nil).kind == "served"
}

// allServe reports whether all controllers serve keyed requests now.
func (p *play) allServe(all []*node) bool {
	for _, n := range all {
		if !n.fit() || !p.serves(n) {
			return false
		}
	}
	return true
}
