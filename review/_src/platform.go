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
	"time"
)

// object is a JSON object.
type object = map[string]any

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{start: time.Now(), file: file}, err
}

// add writes a line with the milliseconds since the start.
func (r *record) add(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.1f ms  %s\n", float64(at.Sub(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// note writes a line for now, and prints it.
func (r *record) note(format string, args ...any) {
	r.add(time.Now(), format, args...)
	fmt.Printf(format+"\n", args...)
}

// changeLog is a stand-in for the platform's change log.
type changeLog struct {
	address string
	mu      sync.Mutex
	events  []object      // event 1 is the first one
	changed chan struct{} // closed at the next event
}

func (l *changeLog) startServing() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.address = listener.Addr().String()
	l.changed = make(chan struct{})
	go func() { _ = http.Serve(listener, http.HandlerFunc(l.serve)) }()
	return nil
}

// publish adds an event about the list of executors.
func (l *changeLog) publish(snapshot bool, endpoints []object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := len(l.events) + 1
	l.events = append(l.events, object{
		"seq": number, "fleet": object{"index": number, "snapshot": snapshot, "endpoints": endpoints},
	})
	close(l.changed)
	l.changed = make(chan struct{})
}

// page returns the events after a number, and a channel that is closed at the next event.
func (l *changeLog) page(since int) (object, int, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newer := append([]object{}, l.events[min(max(0, since), len(l.events)):]...)
	return object{"seq": len(l.events), "results": newer}, len(newer), l.changed
}

func (l *changeLog) serve(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout"))
	timeout := time.After(time.Duration(min(wait, 5000)) * time.Millisecond)
	for {
		page, count, changed := l.page(since)
		if count > 0 {
			_ = json.NewEncoder(w).Encode(page)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_ = json.NewEncoder(w).Encode(page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// deployment is a small deployment: stand-ins for the platform and the executors, and the controllers' processes.
type deployment struct {
	record      *record
	directory   string
	fleet       *fleet
	log         *changeLog
	executors   []*executor
	controllers []*controller
}

// entry returns the entry of an executor in the list.
func entry(e *executor, group int, status string) object {
	return object{
		"name": e.name, "address": e.address(), "zone": e.zone, "type": e.kind, "group": group, "status": status,
		"weight": 1, "since_ms": 0,
	}
}

// plan describes a deployment.
type plan struct {
	executors   []*executor
	controllers int
	settings    object
	memoryMB    int
	peers       bool   // controllers may send one another datagrams
	handoff     string // lines of the block handoff; empty: no operators' file
	cluster     string // further lines of the block cluster
}

// newDeployment starts the stand-ins and writes the controllers' files. It starts no controller.
func newDeployment(rec *record, p plan) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: rec, directory: directory, log: &changeLog{},
		fleet: &fleet{record: rec, keys: map[string]time.Time{}},
	}
	opened.mu.Lock()
	opened.list = append(opened.list, d)
	opened.mu.Unlock()
	if err := d.log.startServing(); err != nil {
		return d, err
	}
	var entries []object
	for _, e := range p.executors {
		e.fleet = d.fleet
		if err := e.start(); err != nil {
			return d, err
		}
		d.executors = append(d.executors, e)
		entries = append(entries, entry(e, 0, "Ready"))
	}
	d.log.publish(true, entries)
	var peers, members []string
	for range p.controllers {
		peer, err := freeAddress()
		if err != nil {
			return d, err
		}
		member, err := freeAddress()
		if err != nil {
			return d, err
		}
		peers, members = append(peers, peer), append(members, member)
	}
	for k := range p.controllers {
		if err := d.addController(k, p, peers, members); err != nil {
			return d, err
		}
	}
	return d, nil
}

// addController writes the files of a controller.
func (d *deployment) addController(k int, p plan, peers, members []string) error {
	name := fmt.Sprint("n", k+1)
	folder := filepath.Join(d.directory, name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	c := &controller{
		name: name, listen: listen, config: filepath.Join(folder, "config.json"), logPath: filepath.Join(folder, "log"),
	}
	d.controllers = append(d.controllers, c)
	settings := object{}
	for key, value := range p.settings {
		settings[key] = value
	}
	settings["Siblings"], settings["SlotNo"] = p.controllers, k
	known, _, _ := d.log.page(0)
	config := object{
		"name": name, "listen": listen, "seed": newID(8), "changelog": d.log.address, "known": known, "settings": settings,
		"limits": object{"cores": 1.0, "memory_mb": p.memoryMB, "sockets": 1024},
	}
	if p.peers {
		config["peer_listen"], config["peers"] = peers[k], peers
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.config, text, 0o600); err != nil {
		return err
	}
	if p.handoff == "" {
		return nil
	}
	seeds, _ := json.Marshal(members[:min(3, len(members))])
	var founders []string
	for i := range min(3, p.controllers) {
		founders = append(founders, fmt.Sprint("n", i+1))
	}
	names, _ := json.Marshal(founders)
	c.operate = filepath.Join(folder, "office.hcl")
	hcl := fmt.Sprintf("store {\n  directory = %q\n}\ncluster {\n  name = \"review\"\n  address = %q\n  seeds = %s\n"+
		"  zone = \"room-a\"\n  founders = %s\n%s}\nhandoff {\n%s}\n",
		filepath.Join(folder, "store"), members[k], seeds, names, p.cluster, p.handoff)
	return os.WriteFile(c.operate, []byte(hcl), 0o600)
}

// startAll starts all controllers and waits until they are ready.
func (d *deployment) startAll() error {
	for _, c := range d.controllers {
		if err := c.start(); err != nil {
			return err
		}
	}
	for _, c := range d.controllers {
		if err := c.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes, also stopped ones, and removes the temporary folder. No controller can be started afterwards.
func (d *deployment) close() {
	for _, c := range d.controllers {
		c.end()
	}
	_ = os.RemoveAll(d.directory)
}

// opened holds the deployments of this process, for closeAll.
var opened struct {
	mu   sync.Mutex
	list []*deployment
}

// closeAll closes all deployments where the case can't do so itself.
func closeAll() {
	opened.mu.Lock()
	defer opened.mu.Unlock()
	for _, d := range opened.list {
		d.close()
	}
}
