package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["scope"] = scope }

// changeLog is a stand-in for the change log. Event 1 is the list of the start.
type changeLog struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	events  []any // from event 1 on
	changed chan struct{}
}

// addChangeLog starts a change log whose first event holds the given executors.
func (p *play) addChangeLog(executors ...*executor) *changeLog {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	p.must(err, "change log")
	c := &changeLog{address: listener.Addr().String(), changed: make(chan struct{})}
	c.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: c}
	go func() { _ = c.server.Serve(listener) }()
	c.publish(true, executors...)
	return c
}

// publish adds an event that says that some executors are ready.
func (c *changeLog) publish(whole bool, executors ...*executor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var endpoints []any
	for _, e := range executors {
		endpoints = append(endpoints, map[string]any{"name": e.name, "address": e.address(), "zone": e.zone, "type": "std",
			"group": 0, "status": "Ready", "weight": 8, "since_ms": 0})
	}
	seq := len(c.events) + 1
	update := map[string]any{"index": seq, "snapshot": whole, "endpoints": endpoints}
	c.events = append(c.events, map[string]any{"seq": seq, "fleet": update})
	close(c.changed)
	c.changed = make(chan struct{})
}

// known returns all events so far, in the form of `known` in a configuration.
func (c *changeLog) known() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return map[string]any{"seq": len(c.events), "results": c.events[:len(c.events):len(c.events)]}
}

func (c *changeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	timeout := time.After(min(5*time.Second, time.Duration(ms)*time.Millisecond))
	for {
		c.mu.Lock()
		changed, last := c.changed, len(c.events)
		newer := c.events[min(last, max(0, since)):]
		c.mu.Unlock()
		if len(newer) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"seq": last, "results": newer})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_, _ = fmt.Fprintf(w, `{"seq":%d,"results":[]}`, last)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// scope: the executors of one zone are full when one of another zone joins and takes a keyed request that waits. The
// controller is killed meanwhile and starts again. The request's client sends its idempotency key again: nothing may be
// sent outside the zone in which it ran, as only that drops the repeat.
func scope(p *play) (held bool) {
	const window = 5 * time.Second
	rooms := [2]*runs{{play: p, window: window}, {play: p, window: window}}
	var room atomic.Bool // s-1 has room
	old := p.addExecutor("s-1", rooms[0], 20*time.Millisecond)
	old.zone = "room-1"
	old.decide = func(string, string, string) (string, time.Duration) {
		if room.Load() {
			return "data", 20 * time.Millisecond
		}
		return "full", 0
	}
	joins := p.addExecutor("s-2", rooms[1], 2*time.Second)
	joins.zone = "room-2"
	load := class("load", "keyed", 20*time.Second, window)
	load["DedupScope"] = "zone"
	s := settings(1, 0, load)
	s["Zones"], s["Zone"] = []string{"room-1", "room-2"}, "room-1"
	log := p.addChangeLog(old)
	defer func() { _ = log.server.Close() }()
	n := p.addNode("n1", s)
	configure := func() {
		text, err := os.ReadFile(filepath.Join(n.folder, "config.json"))
		p.must(err, "configuration")
		config := map[string]any{}
		p.must(json.Unmarshal(text, &config), "configuration")
		config["changelog"], config["known"] = log.address, log.known()
		text, err = json.Marshal(config)
		p.must(err, "configuration")
		p.must(writeFile(filepath.Join(n.folder, "config.json"), string(text)), "configuration")
	}
	configure()
	n.operator = fmt.Sprintf("store {\n  directory = %q\n}\n", n.store())
	n.start()
	p.await("n1 is fit", 20*time.Second, n.fit)
	time.Sleep(300 * time.Millisecond)

	key := newKey()
	first := make(chan answer, 1)
	go func() { first <- p.submit(n, "load", newRequestID(), key, 15*time.Second, nil) }()
	time.Sleep(150 * time.Millisecond)
	p.note("s-2 of room-2 joins")
	log.publish(false, joins)
	p.await("the key runs", 5*time.Second, func() bool { return len(rooms[0].of(key))+len(rooms[1].of(key)) > 0 })
	room.Store(true)
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		n.signal(syscall.SIGKILL)
		n.kill()
		<-first
		p.submit(n, "load", newRequestID(), key, 5*time.Second, nil) // finds its controller unreachable
		time.Sleep(1500 * time.Millisecond)
		configure()
		n.start()
		p.await("n1 is fit again", 20*time.Second, n.fit)
	} else {
		<-first
	}
	p.submit(n, "load", newRequestID(), key, 5*time.Second, nil)
	time.Sleep(500 * time.Millisecond)
	a, b := len(rooms[0].of(key)), len(rooms[1].of(key))
	p.note("the key was sent and ran %d times in room-1 and %d times in room-2, all within %v", a, b, window)
	return a == 0 || b == 0
}
