package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"liftshift/internal/chaostest"
	"liftshift/internal/testservers"
)

// play is one play of a case: its record, its folder for files, and all that it started.
type play struct {
	trouble bool
	folder  string // temporary
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	nodes     []*node
	executors []*executor
	discovery *testservers.Discovery
	relay     *chaostest.Relay // between the controllers; nil: they reach each other directly
	closed    bool
}

func newPlay(folder string, trouble bool) (*play, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &play{trouble: trouble, folder: temporary, began: time.Now(), record: record}, nil
}

// note writes a line to the record, with the time since the start.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// must ends the case if something that it needs did not work.
func (p *play) must(err error, what string) {
	if err != nil {
		panic(giveUp{what + ": " + err.Error()})
	}
}

// await waits until a condition holds, and ends the case if it does not within the time.
func (p *play) await(what string, within time.Duration, holds func() bool) {
	for start := time.Now(); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > within {
			panic(giveUp{"waited " + within.String() + " for: " + what})
		}
	}
	p.note("now: %s", what)
}

// close ends all processes and stand-ins of the case and removes its files.
func (p *play) close() {
	p.mu.Lock()
	p.closed = true
	nodes := p.nodes
	p.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	for _, e := range p.executors {
		e.stop()
	}
	if p.relay != nil {
		p.relay.Close()
	}
	if p.discovery != nil {
		p.discovery.Stop()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		for _, n := range nodes {
			_ = exec.Command("cp", n.logFile(), filepath.Join(keep, n.name+".log")).Run()
		}
	}
	_ = os.RemoveAll(p.folder)
	_ = p.record.Close()
}

// node is one controller: its files and its process.
type node struct {
	play     *play
	name     string
	folder   string
	listen   string // for clients
	cluster  string // address of the block cluster, as others reach it
	inside   string // on which the block cluster listens, where a relay stands between
	cmd      *exec.Cmd
	exited   chan struct{}
	operator string // text of the operators' file; "" for none
}

func (n *node) logFile() string      { return filepath.Join(n.folder, "log") }
func (n *node) operatorFile() string { return filepath.Join(n.folder, "office.hcl") }
func (n *node) store() string        { return filepath.Join(n.folder, "store") }

// addNode prepares a controller. start starts it.
func (p *play) addNode(name string, settings map[string]any) *node {
	n := &node{play: p, name: name, folder: filepath.Join(p.folder, name)}
	p.must(os.MkdirAll(n.folder, 0o755), "folder")
	var err error
	n.listen, err = testservers.FreeAddress()
	p.must(err, "address")
	n.cluster, err = testservers.FreeAddress()
	p.must(err, "address")
	n.inside = n.cluster
	if p.relay != nil {
		n.cluster, n.inside = p.relay.AdvertiseAddress(len(p.nodes)), p.relay.ListenAddress(len(p.nodes))
	}
	if p.discovery == nil {
		p.discovery, err = testservers.NewDiscovery()
		p.must(err, "discovery")
	}
	var endpoints []any
	for _, e := range p.executors {
		endpoints = append(endpoints, map[string]any{"name": e.name, "address": e.address(), "zone": e.zone,
			"type": "std", "group": 0, "status": "Ready", "weight": 8, "since_ms": 0})
	}
	update := map[string]any{"index": 1, "snapshot": true, "endpoints": endpoints}
	text, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": n.listen, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "changelog": p.discovery.Address,
		"known":    map[string]any{"seq": 1, "results": []any{map[string]any{"seq": 1, "fleet": update}}},
		"settings": settings,
	}, "", " ")
	p.must(err, "configuration")
	p.must(os.WriteFile(filepath.Join(n.folder, "config.json"), text, 0o644), "configuration")
	p.nodes = append(p.nodes, n)
	return n
}

// start starts the process with the command run of the deploy file, from the root of the repository.
func (n *node) start() {
	p := n.play
	if n.operator != "" {
		p.must(os.WriteFile(n.operatorFile(), []byte(n.operator), 0o644), "operators' file")
	}
	log, err := os.OpenFile(n.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	p.must(err, "log")
	defer log.Close()
	temporary := filepath.Join(n.folder, "tmp")
	_ = os.RemoveAll(temporary)
	p.must(os.MkdirAll(temporary, 0o755), "TMPDIR")
	cmd := exec.Command("/bin/sh", "-c", "exec bin/liftshift")
	cmd.Env = append(os.Environ(), "RELAY_NAME="+n.name, "RELAY_LISTEN="+n.listen, "TMPDIR="+temporary,
		"RELAY_CONFIG="+filepath.Join(n.folder, "config.json"))
	if n.operator != "" {
		cmd.Env = append(cmd.Env, "LIFTSHIFT_FILE="+n.operatorFile())
	}
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		panic(giveUp{"closed"})
	}
	err = cmd.Start()
	n.cmd, n.exited = cmd, make(chan struct{})
	exited := n.exited
	p.mu.Unlock()
	p.must(err, "start")
	go func() { _ = cmd.Wait(); close(exited) }()
	p.note("%s: started", n.name)
}

// signal sends the process a signal.
func (n *node) signal(s syscall.Signal) {
	n.play.note("%s: gets %v", n.name, s)
	n.play.must(n.cmd.Process.Signal(s), "signal")
}

// kill ends the process, if it runs, and waits until it is gone.
func (n *node) kill() {
	if n.cmd == nil || n.exited == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// terminate sends SIGTERM and, as the platform does no sooner than 3.7 s later, SIGKILL.
func (n *node) terminate() {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited:
		n.play.note("%s: ended, %v", n.name, n.cmd.ProcessState)
	case <-time.After(4 * time.Second):
		n.play.note("%s: gets SIGKILL, 4 s after SIGTERM", n.name)
		n.kill()
	}
}

// fit reports whether the controller answers the method probe with fit.
func (n *node) fit() bool {
	c, err := dial(n.listen)
	if err != nil {
		return false
	}
	defer c.close()
	a := c.call("probe", nil, time.Second)
	return strings.Contains(a.text, `"fit":true`)
}

// command runs an operators' command for this controller and returns what it printed.
func (n *node) command(words ...string) string {
	cmd := exec.Command("bin/liftshift", append(words, "--file", n.operatorFile())...)
	out, _ := cmd.CombinedOutput()
	return strings.TrimSpace(string(out))
}

// logged returns the lines of the controller's log that contain a text.
func (n *node) logged(part string) (lines []string) {
	text, _ := os.ReadFile(n.logFile())
	for _, line := range strings.Split(string(text), "\n") {
		if strings.Contains(line, part) {
			lines = append(lines, line)
		}
	}
	return lines
}

// addRelay has the controllers that are added after it reach each other through a relay.
func (p *play) addRelay(controllers int) {
	var err error
	p.relay, err = chaostest.NewRelay(controllers, uint64(time.Now().UnixNano()), false)
	p.must(err, "relay")
}

// cutOff cuts one controller off from all others.
func (p *play) cutOff(index int) {
	p.note("%s: is cut off from the other controllers", p.nodes[index].name)
	p.relay.SetLinks(func(from, to int) chaostest.Link { return chaostest.Link{Cut: from == index || to == index} })
}

// heal makes all links between controllers whole.
func (p *play) heal() {
	p.note("all links between controllers are whole")
	p.relay.SetLinks(func(int, int) chaostest.Link { return chaostest.Link{} })
}

// writeFile replaces a file as a whole.
func writeFile(name, text string) error {
	if err := os.WriteFile(name+".new", []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}
