package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"liftshift/internal/chaostest"
)

func init() { cases["order"] = order }

// order: a class keeps the order of its requests by their keys, and datagrams between controllers take up to 30 ms. Two requests of one key that a controller took one after the other must run in that order, one at a time.
func order(p *play) (held bool) {
	r := &runs{play: p}
	p.addExecutor("s-1", r, 20*time.Millisecond)
	p.addExecutor("s-2", r, 20*time.Millisecond)
	upload := class("upload", "unsafe", 10*time.Second, 0)
	upload["OneAtATime"] = true
	p.addRelay(5)
	var all []*node
	for k := range 5 {
		s := settings(5, k, upload, class("load", "keyed", 10*time.Second, 10*time.Second))
		s["Invariants"].(map[string]any)["KeyQuiet"] = 200000
		all = append(all, p.addNode(fmt.Sprint("n", k+1), s))
	}
	for _, n := range all {
		n.operator = clusterFile(n, all, []string{"n1", "n2", "n3"}, "", "  copies = 1\n")
		n.start()
	}
	p.await("all five controllers serve keyed requests", 40*time.Second, func() bool { return p.allServe(all) })
	if p.trouble {
		p.note("datagrams between controllers take up to 30 ms from now on")
		p.relay.SetLinks(func(int, int) chaostest.Link { return chaostest.Link{DelayMS: 30} })
	}
	held = true
	for round := range 20 {
		if !p.playPairs(all[0], r, round) {
			held = false
		}
	}
	return held
}

// playPairs sends pairs of requests, each with a key of its own, over one connection, the second of each 10 ms after the
// first. It returns whether each pair ran in the order in which it was sent.
func (p *play) playPairs(n *node, r *runs, round int) (held bool) {
	const pairs = 8
	c, err := dial(n.listen)
	p.must(err, "client")
	defer c.close()
	_ = c.conn.SetDeadline(time.Now().Add(12 * time.Second))
	ids := [2 * pairs]string{}
	var reading sync.WaitGroup
	reading.Go(func() {
		for range ids {
			text, err := c.readMessage()
			if err != nil {
				p.note("client: %v", err)
				return
			}
			p.note("client <- %s: %s", n.name, text)
		}
	})
	for k := range ids {
		pair, place := k%pairs, k/pairs
		if place == 1 && pair == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		ids[k] = newRequestID()
		subject := fmt.Sprintf("%016x", round*pairs+pair+1)
		text, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": k + 1, "method": "upload", "params": map[string]any{
			"req": ids[k], "timeout": 8000, "ms": 20, "ram": 16, "subject": subject,
			"data": base64.StdEncoding.EncodeToString([]byte("insert into sales_17.orders select " + ids[k]))}})
		p.note("client -> %s: id=%d upload req=%s subject=%s", n.name, k+1, ids[k], subject)
		_, err := fmt.Fprintf(c.conn, "Content-Length: %d\r\n\r\n%s", len(text), text)
		p.must(err, "client")
	}
	reading.Wait()
	held = true
	for pair := range pairs {
		first, second := r.ofRequest(ids[pair]), r.ofRequest(ids[pairs+pair])
		if len(first) > 0 && len(second) > 0 && second[0].at.Before(first[0].at) {
			p.note("req=%s was taken after req=%s of the same key and ran before it", ids[pairs+pair], ids[pair])
			held = false
		}
	}
	return held
}
