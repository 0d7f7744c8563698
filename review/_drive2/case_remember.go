package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["remember"] = remember }

// remember: `remember` is raised from 5s to 10m by a new operators' file and SIGHUP. An idempotency key that runs after
// that must not run again within the 10 minutes. Without the trouble the file says 10m from the start.
func remember(p *play) (held bool) {
	const window = 20 * time.Second
	r := &runs{play: p, window: window}
	p.addExecutor("s-1", r, 20*time.Millisecond)
	p.addExecutor("s-2", r, 20*time.Millisecond)
	var all []*node
	for k := range 3 {
		all = append(all, p.addNode(fmt.Sprint("n", k+1), settings(3, k, class("load", "keyed", 20*time.Second, window))))
	}
	lasts := func(n *node, remember string) string {
		text := clusterFile(n, all, []string{"n1", "n2", "n3"}, "", "  copies = 1\n")
		return strings.Replace(text, "store {\n", "store {\n  remember  = \""+remember+"\"\n", 1)
	}
	for _, n := range all {
		n.operator = lasts(n, "10m")
		if p.trouble {
			n.operator = lasts(n, "5s")
		}
		n.start()
	}
	p.await("all three controllers serve keyed requests", 40*time.Second, func() bool { return p.allServe(all) })
	if p.trouble {
		for _, n := range all {
			n.reload(lasts(n, "10m"))
		}
		time.Sleep(time.Second)
		for _, n := range all {
			p.note("log of %s: %s", n.name, strings.Join(n.logged("reload"), "; "))
		}
	}
	var keys []string
	for range 6 {
		key := newKey()
		if a := p.submit(all[0], "load", newRequestID(), key, 5*time.Second, nil); a.kind == "served" {
			keys = append(keys, key)
		}
	}
	time.Sleep(window + 8*time.Second)
	for _, key := range keys {
		p.submit(all[1], "load", newRequestID(), key, 5*time.Second, nil)
	}
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

// reload gives a controller another operators' file and SIGHUP.
func (n *node) reload(operator string) {
	p := n.play
	n.operator = operator
	p.must(writeFile(n.operatorFile(), operator), "operators' file")
	n.signal(syscall.SIGHUP)
}
