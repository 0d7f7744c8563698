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

// maxPageItems limits both the events of one page and the endpoints of one event.
const maxPageItems = 10000

// listChange is one event of the change log that is about the endpoint list.
type listChange struct {
	seq       uint64 // sequence number of the event
	version   uint64 // version of the endpoint list
	complete  bool   // endpoints is the whole list, not only the entries that changed
	endpoints []resp.Endpoint
}

// changesPage is the JSON form of one page of the change log. Seq is a pointer to tell a missing number from 0.
type changesPage struct {
	Seq     *uint64        `json:"seq"`
	Results []changesEvent `json:"results"`
}

// changesEvent is the JSON form of one event. Fleet is nil for events that are not about the endpoint list.
type changesEvent struct {
	Seq   uint64 `json:"seq"`
	Fleet *struct {
		Index     uint64            `json:"index"`
		Snapshot  bool              `json:"snapshot"`
		Endpoints []changesEndpoint `json:"endpoints"`
	} `json:"fleet"`
}

// changesEndpoint is the JSON form of one entry of the endpoint list.
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

// availabilities maps the statuses of the change log to those of the scheduler.
var availabilities = map[string]scheduler.Availability{
	"Ready":       scheduler.Active,
	"Terminating": scheduler.Draining,
	"Gone":        scheduler.Removed,
}

// parseChanges parses a page of events and returns the page's sequence number and its changes of the endpoint list.
// If any event is malformed, it returns no change at all. Events of other kinds only advance the sequence number.
func parseChanges(text []byte) (last uint64, changes []listChange, err error) {
	var page changesPage
	if err := json.Unmarshal(text, &page); err != nil {
		return 0, nil, netconn.Malformed("page of changes: %v", err)
	}
	if page.Seq == nil || len(page.Results) > maxPageItems {
		return 0, nil, netconn.Malformed("page of changes without a seq, or with %d events where %d are allowed",
			len(page.Results), maxPageItems)
	}
	for _, event := range page.Results {
		if event.Seq <= last {
			return 0, nil, netconn.Malformed("event %d follows event %d: sequence numbers must ascend from 1", event.Seq, last)
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
		return 0, nil, netconn.Malformed("page of changes with seq %d has the later event %d", *page.Seq, last)
	}
	return *page.Seq, changes, nil
}

// listChange converts an event about the endpoint list.
func (e *changesEvent) listChange() (listChange, error) {
	change := listChange{seq: e.Seq, version: e.Fleet.Index, complete: e.Fleet.Snapshot}
	if len(e.Fleet.Endpoints) > maxPageItems {
		return change, netconn.Malformed("event %d has %d endpoints where %d are allowed",
			e.Seq, len(e.Fleet.Endpoints), maxPageItems)
	}
	for _, entry := range e.Fleet.Endpoints {
		availability, ok := availabilities[entry.Status]
		if !ok || entry.Name == "" || entry.Address == "" && availability != scheduler.Removed {
			return change, netconn.Malformed("event %d: invalid endpoint with name %q, address %q and status %q",
				e.Seq, entry.Name, entry.Address, entry.Status)
		}
		change.endpoints = append(change.endpoints, resp.Endpoint{
			Name:    entry.Name,
			Address: entry.Address,
			Entry: scheduler.Endpoint{
				Executor:     executorID(entry.Name),
				Zone:         entry.Zone,
				Kind:         entry.Type,
				Cell:         entry.Group,
				Availability: availability,
				Units:        entry.Weight,
				StartedAt:    entry.Since,
			},
		})
	}
	return change, nil
}

// executorID derives the id of an executor from its name alone, so that all controllers use the same id.
func executorID(name string) uint32 { return crc32.ChecksumIEEE([]byte(name)) }

// apply applies the changes that are later than the last one applied, and advances the sequence number. The endpoint table
// has all of them before the event loop has any, so that nothing is sent by a list that a later change has replaced.
func (c *Client) apply(last uint64, changes []listChange, completeKind scheduler.ListKind) {
	var updates []listUpdate
	for _, change := range changes {
		if change.seq > c.lastSeq {
			updates = appendUpdate(updates, c.applyChange(change, completeKind))
		}
	}
	c.lastSeq = max(c.lastSeq, last)
	for _, update := range updates {
		c.queue.Put(dispatch.QueueItem{Event: update.event})
	}
}

// applyChange applies one change to the endpoint table and returns it for the event loop, together with the executors
// that it displaced. A complete list gets the kind completeKind.
func (c *Client) applyChange(change listChange, completeKind scheduler.ListKind) listUpdate {
	c.assignIDs(change.complete, change.endpoints)
	displaced := c.table.Update(change.complete, change.endpoints)
	for _, e := range displaced {
		c.log.WithFields(logrus.Fields{"name": e.Name, "address": e.Address, "seq": change.seq}).
			Info("discovery: endpoint displaced")
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
	c.log.WithFields(logrus.Fields{"seq": change.seq, "entries": len(change.endpoints), "complete": change.complete}).
		Info("discovery: endpoints changed")
	return newListUpdate(event)
}

// assignIDs sets the executor id of each entry: the one derived from the name or, if another listed executor has that
// id, the next free one. Only ids assigned after such a collision can differ between controllers.
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

// forgetUnlisted drops the ids of the executors that a complete list does not contain.
func (c *Client) forgetUnlisted(list []resp.Endpoint) {
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.Name] = true
	}
	maps.DeleteFunc(c.namesByID, func(_ uint32, name string) bool { return !listed[name] })
	maps.DeleteFunc(c.idsByName, func(name string, _ uint32) bool { return !listed[name] })
}
