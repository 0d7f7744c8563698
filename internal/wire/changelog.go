package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/desk"
	"liftshift/rules"
)

// The change log's figures.
const (
	pollMS       = 5000                   // the longest that a call may be held
	pollGrace    = time.Second            // on top, until a call counts as lost
	pollAgain    = 200 * time.Millisecond // after a failed call: far below the time that counts as told
	mostChanges  = 10000                  // events of one page, and entries of one event
	changeBuffer = 4 << 10
)

// listed is one executor of the list.
type listed struct {
	entry         rules.Entry
	name, address string
}

// executorID is an executor's number: of its name alone, so that all controllers have the same.
func executorID(name string) uint32 { return crc32.ChecksumIEEE([]byte(name)) }

// change is one event of the change log.
type change struct {
	seq   uint64
	whole bool
	list  []listed
}

var standings = map[string]rules.Standing{"Ready": rules.Active, "Terminating": rules.Leaving, "Gone": rules.Gone}

// readChanges reads a page of events, all or nothing. Those of other kinds only move the number on.
func readChanges(text []byte) (last uint64, changes []change, err error) {
	var page struct {
		Seq     *uint64 `json:"seq"`
		Results []struct {
			Seq   uint64 `json:"seq"`
			Fleet *struct {
				Snapshot  bool `json:"snapshot"`
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
		c := change{seq: e.Seq, whole: e.Fleet.Snapshot}
		if len(e.Fleet.Endpoints) > mostChanges {
			return 0, nil, malformed("event %d of %d entries", e.Seq, len(e.Fleet.Endpoints))
		}
		for _, x := range e.Fleet.Endpoints {
			standing, ok := standings[x.Status]
			if !ok || x.Name == "" || x.Address == "" && standing != rules.Gone {
				return 0, nil, malformed("event %d: executor %q at %q is %q", e.Seq, x.Name, x.Address, x.Status)
			}
			c.list = append(c.list, listed{name: x.Name, address: x.Address, entry: rules.Entry{
				Executor: executorID(x.Name), Place: x.Zone, Kind: x.Type, Cell: x.Group, Standing: standing,
				Units: x.Weight, UpSince: x.Since}})
		}
		changes = append(changes, c)
	}
	if *page.Seq < last {
		return 0, nil, malformed("page of event %d with event %d", *page.Seq, last)
	}
	return *page.Seq, changes, nil
}

// Feed follows the change log.
type Feed struct {
	address string
	fleet   *Fleet
	queue   Queue
	log     logrus.FieldLogger
	last    uint64
	knownTo uint64
	down    bool
	known   []change
	ask     chan struct{}
	stop    chan struct{}

	mu   sync.Mutex
	conn net.Conn

	Calls, Lost, Malformed atomic.Uint64
}

// NewFeed returns a Feed that begins after the events of known.
func NewFeed(address string, known []byte, fleet *Fleet, queue Queue, log logrus.FieldLogger) (*Feed, error) {
	f := &Feed{address: address, fleet: fleet, queue: queue, log: log, ask: make(chan struct{}, 1),
		stop: make(chan struct{})}
	last, changes, err := readChanges(known)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	f.known, f.knownTo = changes, last
	return f, nil
}

// Begin hands on the events known at the start.
func (f *Feed) Begin() {
	f.apply(f.knownTo, f.known, rules.Restored)
	f.known = nil
}

// apply hands on events that come after the last.
func (f *Feed) apply(last uint64, changes []change, whole rules.ListKind) {
	for _, c := range changes {
		if c.seq <= f.last {
			continue
		}
		f.fleet.update(c.whole, c.list)
		ev := rules.Event{Kind: rules.Listed, List: rules.Changes}
		if c.whole {
			ev.List = whole
		}
		for _, e := range c.list {
			ev.Entries = append(ev.Entries, e.entry)
			f.log.WithFields(logrus.Fields{"name": e.name, "address": e.address, "since": e.entry.UpSince,
				"standing": e.entry.Standing, "event": c.seq}).Debug("list")
		}
		f.queue.Put(desk.Item{Event: ev})
		f.log.WithFields(logrus.Fields{"event": c.seq, "entries": len(c.list), "whole": c.whole}).Info("list: changed")
	}
	f.last = max(f.last, last)
}

// Ask cuts the wait after a failed call short.
func (f *Feed) Ask() {
	select {
	case f.ask <- struct{}{}:
	default:
	}
}

// Run polls until Stop.
func (f *Feed) Run() {
	for {
		err := f.follow()
		select {
		case <-f.stop:
			return
		default:
		}
		if err != nil {
			f.Lost.Add(1)
		}
		if err != nil && !f.down {
			f.down = true
			f.log.WithField("why", err).Warn("list: out of reach")
			f.queue.Put(desk.Item{Event: rules.Event{Kind: rules.Listed, List: rules.NoList}})
		}
		select {
		case <-f.stop:
			return
		case <-f.ask:
		case <-time.After(pollAgain):
		}
	}
}

// Stop ends Run.
func (f *Feed) Stop() {
	close(f.stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		_ = f.conn.Close()
	}
}

// follow calls over one connection until that fails, or serves no more calls.
func (f *Feed) follow() error {
	conn, err := net.DialTimeout("tcp", f.address, pollGrace)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.conn = conn
	f.mu.Unlock()
	defer conn.Close()
	select {
	case <-f.stop:
		return errClosed
	default:
	}
	r := bufio.NewReaderSize(conn, changeBuffer)
	for {
		f.Calls.Add(1)
		began := time.Now()
		_ = conn.SetDeadline(time.Now().Add(millis(pollMS) + pollGrace))
		call := fmt.Sprintf("GET /changes?since=%d&timeout=%d HTTP/1.1\r\nHost: %s\r\n\r\n", f.last, pollMS, f.address)
		if _, err := conn.Write([]byte(call)); err != nil {
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
		if err != nil {
			return err
		}
		f.apply(last, changes, rules.Whole)
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
