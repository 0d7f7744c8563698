package discovery

import (
	"encoding/json"
	"hash/crc32"
	"maps"

	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/internal/netconn"
	"liftshift/internal/resp"
	"liftshift/scheduler"
)

// maxChanges is the limit of events of one page, and of entries of one event.
const maxChanges = 10000

// listChange is one event of the change log about the list of executors.
type listChange struct {
	seq       uint64
	version   uint64 // of the list
	complete  bool   // it has all entries that there are
	endpoints []resp.Endpoint
}

// changesPage is a page of the change log.
type changesPage struct {
	Seq     *uint64        `json:"seq"`
	Results []changesEvent `json:"results"`
}

type changesEvent struct {
	Seq   uint64 `json:"seq"`
	Fleet *struct {
		Index     uint64            `json:"index"`
		Snapshot  bool              `json:"snapshot"`
		Endpoints []changesEndpoint `json:"endpoints"`
	} `json:"fleet"`
}

type changesEndpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int64   `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   float64 `json:"since_ms"`
}

var availabilities = map[string]scheduler.Availability{"Ready": scheduler.Active, "Terminating": scheduler.Draining, "Gone": scheduler.Removed}

// parseChanges parses a page of events, all or nothing. Events of other kinds only advance the sequence number.
func parseChanges(text []byte) (last uint64, changes []listChange, err error) {
	var page changesPage
	if err := json.Unmarshal(text, &page); err != nil {
		return 0, nil, netconn.Malformed("%v", err)
	}
	if page.Seq == nil || len(page.Results) > maxChanges {
		return 0, nil, netconn.Malformed("a page without its number, or of %d events", len(page.Results))
	}
	for _, event := range page.Results {
		if event.Seq <= last {
			return 0, nil, netconn.Malformed("event %d behind event %d", event.Seq, last)
		}
		last = event.Seq
		if event.Fleet == nil {
			continue
		}
		change, err := event.listChange()
		if err != nil {
			return 0, nil, err
		}
		changes = append(changes, change)
	}
	if *page.Seq < last {
		return 0, nil, netconn.Malformed("page of event %d with event %d", *page.Seq, last)
	}
	return *page.Seq, changes, nil
}

func (e *changesEvent) listChange() (listChange, error) {
	change := listChange{seq: e.Seq, version: e.Fleet.Index, complete: e.Fleet.Snapshot}
	if len(e.Fleet.Endpoints) > maxChanges {
		return change, netconn.Malformed("event %d of %d entries", e.Seq, len(e.Fleet.Endpoints))
	}
	for _, entry := range e.Fleet.Endpoints {
		availability, ok := availabilities[entry.Status]
		if !ok || entry.Name == "" || entry.Address == "" && availability != scheduler.Removed {
			return change, netconn.Malformed("event %d: executor %q at %q is %q", e.Seq, entry.Name, entry.Address, entry.Status)
		}
		change.endpoints = append(change.endpoints, resp.Endpoint{Name: entry.Name, Address: entry.Address, Entry: scheduler.Endpoint{
			Executor:     executorID(entry.Name),
			Zone:         entry.Zone,
			Kind:         entry.Type,
			Cell:         entry.Group,
			Availability: availability,
			Units:        entry.Weight,
			StartedAt:    entry.Since,
		}})
	}
	return change, nil
}

// executorID returns the id that an executor has by its name alone, so that all controllers have the same.
func executorID(name string) uint32 { return crc32.ChecksumIEEE([]byte(name)) }

// apply hands on the changes behind the last one that was applied.
func (c *Client) apply(last uint64, changes []listChange, completeKind scheduler.ListKind) {
	for _, change := range changes {
		if change.seq > c.lastSeq {
			c.applyChange(change, completeKind)
		}
	}
	c.lastSeq = max(c.lastSeq, last)
}

// applyChange hands one change to the table, then, with the executors that it displaced, to the event loop.
func (c *Client) applyChange(change listChange, completeKind scheduler.ListKind) {
	c.assignIDs(change.complete, change.endpoints)
	displaced := c.table.Update(change.complete, change.endpoints)
	for _, e := range displaced {
		c.log.WithFields(logrus.Fields{"name": e.Name, "address": e.Address, "seq": change.seq}).Info("discovery: endpoint displaced")
	}
	change.endpoints = append(change.endpoints, displaced...)
	event := scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListDelta, ListVersion: change.version}
	if change.complete {
		event.List = completeKind
	}
	for _, e := range change.endpoints {
		event.Endpoints = append(event.Endpoints, e.Entry)
		c.log.WithFields(logrus.Fields{"name": e.Name, "address": e.Address, "started_at": e.Entry.StartedAt,
			"availability": e.Entry.Availability, "seq": change.seq}).Debug("discovery: endpoint")
	}
	c.queue.Put(dispatch.QueueItem{Event: event})
	c.log.WithFields(logrus.Fields{"seq": change.seq, "entries": len(change.endpoints), "complete": change.complete}).
		Info("discovery: endpoints changed")
}

// assignIDs gives each entry the id of its executor: that of its name, or, where another executor that is listed has that id, the next
// free one. All controllers have the same ids but for those few.
func (c *Client) assignIDs(complete bool, list []resp.Endpoint) {
	if complete {
		c.forgetUnlisted(list)
	}
	for k := range list {
		e := &list[k]
		id, known := c.idsByName[e.Name]
		if !known {
			id = executorID(e.Name)
			for c.namesByID[id] != "" {
				id++
			}
		}
		e.Entry.Executor = id
		if e.Entry.Availability == scheduler.Removed {
			delete(c.namesByID, id)
			delete(c.idsByName, e.Name)
		} else {
			c.namesByID[id] = e.Name
			c.idsByName[e.Name] = id
		}
	}
}

// forgetUnlisted drops the ids of executors that a complete list leaves out.
func (c *Client) forgetUnlisted(list []resp.Endpoint) {
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.Name] = true
	}
	maps.DeleteFunc(c.namesByID, func(_ uint32, name string) bool { return !listed[name] })
	maps.DeleteFunc(c.idsByName, func(name string, _ uint32) bool { return !listed[name] })
}
