package wire

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/scheduler"
)

// The change log's figures.
const (
	pollMS       = 1000                   // the longest that a call may be held: a log that fell silent shows by then
	pollGrace    = 500 * time.Millisecond // on top, until a call counts as lost; and for a connection to come up
	pollAgain    = 200 * time.Millisecond // after a failed call: far below the time that counts as told
	brokenMS     = 2000                   // after a break, or the end of a wait, what was owed counts as told
	movedMS      = 4000                   // the same after a move
	mostChanges  = 10000                  // events of one page, and entries of one event
	changeBuffer = 4 << 10
)

// listed is one executor of the list.
type listed struct {
	entry         scheduler.Endpoint
	name, address string
}

// executorID is an executor's number: of its name alone, so that all controllers have the same.
func executorID(name string) uint32 { return crc32.ChecksumIEEE([]byte(name)) }

// change is one event of the change log.
type change struct {
	seq   uint64
	index uint64 // of the list
	whole bool
	list  []listed
}

var standings = map[string]scheduler.Availability{"Ready": scheduler.Active, "Terminating": scheduler.Draining, "Gone": scheduler.Removed}

// readChanges reads a page of events, all or nothing. Those of other kinds only move the number on.
func readChanges(text []byte) (last uint64, changes []change, err error) {
	var page struct {
		Seq     *uint64 `json:"seq"`
		Results []struct {
			Seq   uint64 `json:"seq"`
			Fleet *struct {
				Index     uint64 `json:"index"`
				Snapshot  bool   `json:"snapshot"`
				Endpoints []struct {
					Name    string  `json:"name"`
					Address string  `json:"address"`
					Zone    string  `json:"zone"`
					Type    string  `json:"type"`
					Group   int64   `json:"group"`
					Status  string  `json:"status"`
					Weight  float64 `json:"weight"`
					Since   float64 `json:"since_ms"`
				} `json:"endpoints"`
			} `json:"fleet"`
		} `json:"results"`
	}
	if err := json.Unmarshal(text, &page); err != nil {
		return 0, nil, malformed("%v", err)
	}
	if page.Seq == nil || len(page.Results) > mostChanges {
		return 0, nil, malformed("a page without its number, or of %d events", len(page.Results))
	}
	for _, e := range page.Results {
		if e.Seq <= last {
			return 0, nil, malformed("event %d behind event %d", e.Seq, last)
		}
		last = e.Seq
		if e.Fleet == nil {
			continue
		}
		c := change{seq: e.Seq, index: e.Fleet.Index, whole: e.Fleet.Snapshot}
		if len(e.Fleet.Endpoints) > mostChanges {
			return 0, nil, malformed("event %d of %d entries", e.Seq, len(e.Fleet.Endpoints))
		}
		for _, x := range e.Fleet.Endpoints {
			standing, ok := standings[x.Status]
			if !ok || x.Name == "" || x.Address == "" && standing != scheduler.Removed {
				return 0, nil, malformed("event %d: executor %q at %q is %q", e.Seq, x.Name, x.Address, x.Status)
			}
			c.list = append(c.list, listed{name: x.Name, address: x.Address, entry: scheduler.Endpoint{
				Executor: executorID(x.Name), Zone: x.Zone, Kind: x.Type, Cell: x.Group, Availability: standing,
				Units: x.Weight, StartedAt: x.Since}})
		}
		changes = append(changes, c)
	}
	if *page.Seq < last {
		return 0, nil, malformed("page of event %d with event %d", *page.Seq, last)
	}
	return *page.Seq, changes, nil
}

// DiscoveryClient follows the change log.
type DiscoveryClient struct {
	fleet   *ExecutorClient
	queue   EventQueue
	log     logrus.FieldLogger
	last    uint64
	knownTo uint64
	heard   float64 // clock as of which the last whole answer told all there was
	asked   float64 // clock of the call under way
	deemed  float64 // clock at which what the call that failed was to tell counts as told; 0: nothing is known to be owed
	down    bool
	turns   uint32
	known   []change
	names   map[uint32]string // of the executors listed, by number
	ids     map[string]uint32 // the same the other way round
	ask     chan struct{}
	done    context.Context
	stop    context.CancelFunc

	mu      sync.Mutex
	address string
	leave   context.CancelFunc // ends what is under way at this address
	moved   float64            // clock of the last move that was not yet told

	Calls, Lost, Malformed atomic.Uint64
}

// NewDiscoveryClient returns a Feed that begins after the events of known.
func NewDiscoveryClient(address string, known []byte, fleet *ExecutorClient, queue EventQueue, log logrus.FieldLogger) (*DiscoveryClient, error) {
	f := &DiscoveryClient{address: address, fleet: fleet, queue: queue, log: log, ask: make(chan struct{}, 1), leave: func() {}, names: map[uint32]string{}, ids: map[string]uint32{}}
	f.done, f.stop = context.WithCancel(context.Background())
	last, changes, err := readChanges(known)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	f.known, f.knownTo = changes, last
	return f, nil
}

// Start hands on the events known at the start.
func (f *DiscoveryClient) Start() {
	f.heard = f.fleet.clock.Now()
	f.apply(f.knownTo, f.known, scheduler.ListRestored)
	f.known = nil
}

// apply hands on events that come after the last.
func (f *DiscoveryClient) apply(last uint64, changes []change, whole scheduler.ListKind) {
	for _, c := range changes {
		if c.seq <= f.last {
			continue
		}
		f.number(c.whole, c.list)
		displaced := f.fleet.update(c.whole, c.list)
		for _, e := range displaced {
			f.log.WithFields(logrus.Fields{"name": e.name, "address": e.address, "event": c.seq}).Info("list: displaced")
		}
		c.list = append(c.list, displaced...)
		ev := scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListDelta, ListVersion: c.index}
		if c.whole {
			ev.List = whole
		}
		for _, e := range c.list {
			ev.Endpoints = append(ev.Endpoints, e.entry)
			f.log.WithFields(logrus.Fields{"name": e.name, "address": e.address, "since": e.entry.StartedAt,
				"standing": e.entry.Availability, "event": c.seq}).Debug("list")
		}
		f.queue.Put(dispatch.QueueItem{Event: ev})
		f.log.WithFields(logrus.Fields{"event": c.seq, "entries": len(c.list), "whole": c.whole}).Info("list: changed")
	}
	f.last = max(f.last, last)
}

// number gives each entry the number of its executor: that of its name, or, where another that is listed has that one, the next
// that is free. All controllers have the same numbers but for those few.
func (f *DiscoveryClient) number(whole bool, list []listed) {
	if whole {
		named := map[string]bool{}
		for _, e := range list {
			named[e.name] = true
		}
		maps.DeleteFunc(f.names, func(_ uint32, name string) bool { return !named[name] })
		maps.DeleteFunc(f.ids, func(name string, _ uint32) bool { return !named[name] })
	}
	for k := range list {
		e := &list[k]
		id, known := f.ids[e.name]
		if !known {
			for id = executorID(e.name); f.names[id] != ""; {
				id++
			}
		}
		if e.entry.Executor = id; e.entry.Availability == scheduler.Removed {
			delete(f.names, id)
			delete(f.ids, e.name)
		} else {
			f.names[id], f.ids[e.name] = e.name, id
		}
	}
}

// Refresh cuts the wait after a failed call short.
func (f *DiscoveryClient) Refresh() {
	select {
	case f.ask <- struct{}{}:
	default:
	}
}

// Follow goes on with the log at another address, from the last number, without waiting for a call under way.
// The same address begins a new connection: the old one may tell nothing more.
func (f *DiscoveryClient) Follow(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.address, f.moved = address, f.fleet.clock.Now()
	f.leave()
}

// Run polls until Stop.
func (f *DiscoveryClient) Run() {
	for f.done.Err() == nil {
		f.mu.Lock()
		address, here := f.address, context.Context(nil)
		here, f.leave = context.WithCancel(f.done)
		leave := f.leave
		f.mu.Unlock()
		began := time.Now()
		err := f.follow(here, address)
		switch moved := here.Err() != nil; {
		case f.done.Err() != nil:
		case moved:
			f.log.WithField("from", address).Info("list: moves")
		case err != nil:
			f.Lost.Add(1)
			f.lose(err)
		}
		f.turns++ // never in a tight loop, nor all controllers at once, but at once where a connection broke that had held for a while
		wait := pollAgain + pollAgain*time.Duration(f.fleet.odds(f.turns))/256
		if here.Err() != nil || time.Since(began) > pollAgain {
			wait = 0
		}
		select {
		case <-here.Done():
		case <-f.ask:
		case <-time.After(wait):
		}
		leave()
	}
}

// lose tells that the list is out of reach, and when what it owes counts as told, where that is known.
func (f *DiscoveryClient) lose(why error) {
	f.mu.Lock()
	deemed := f.deemed
	if f.moved > 0 && (deemed == 0 || f.moved+movedMS < deemed) {
		deemed = f.moved + movedMS
	}
	f.deemed, f.moved = 0, 0
	f.mu.Unlock()
	if f.down && deemed == 0 {
		return
	}
	if !f.down {
		f.log.WithField("why", why).Warn("list: out of reach")
	}
	f.down = true
	f.queue.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListUnavailable, Deadline: f.heard, PresumedAt: deemed}})
}

// Stop ends Run.
func (f *DiscoveryClient) Stop() { f.stop() }

// follow calls over one connection until that fails, serves no more calls, or is to be left.
func (f *DiscoveryClient) follow(here context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: pollGrace}).DialContext(here, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(here, func() { _ = conn.Close() })()
	r := bufio.NewReaderSize(conn, changeBuffer)
	for {
		f.Calls.Add(1)
		began := time.Now()
		f.asked = f.fleet.clock.Now()
		_ = conn.SetDeadline(time.Now().Add(millis(pollMS) + pollGrace))
		call := fmt.Sprintf("GET /changes?since=%d&timeout=%d HTTP/1.1\r\nHost: %s\r\n\r\n", f.last, pollMS, address)
		if _, err := conn.Write([]byte(call)); err != nil {
			return err
		}
		if _, err := r.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				f.deemed = f.asked + pollMS + brokenMS
			}
			return err
		}
		a, err := readResponse(r)
		if err == nil && a.status != 200 {
			return fmt.Errorf("status %d", a.status)
		}
		var last uint64
		var changes []change
		if err == nil {
			last, changes, err = readChanges(a.body)
		}
		if errors.Is(err, errMalformed) {
			f.Malformed.Add(1)
		}
		if err != nil { // there was something to tell
			f.deemed = f.fleet.clock.Now() + brokenMS
			return err
		}
		f.mu.Lock()
		if f.moved < f.asked {
			f.moved = 0
		}
		f.mu.Unlock()
		if f.heard = f.asked; len(changes) == 0 && time.Since(began) >= millis(pollMS) {
			f.heard += pollMS // it was held for as long as was asked: there was nothing until then
		}
		if f.down && len(changes) == 0 { // nothing has changed: that is news too
			f.queue.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListDelta}})
		}
		f.apply(last, changes, scheduler.ListComplete)
		if f.down {
			f.down = false
			f.log.Info("list: back")
		}
		// A log that doesn't hold calls until there is news must not be called without end.
		if a.closes || len(changes) == 0 && time.Since(began) < pollAgain {
			return nil
		}
	}
}
