package resp

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/scheduler"
)

// Endpoint is one entry of the list of executors.
type Endpoint struct {
	Entry         scheduler.Endpoint
	Name, Address string
}

// executor is one executor as listed. Its connections belong to it, not to its address.
type executor struct {
	id            uint32
	name, address string
	entry         scheduler.Endpoint // as it was listed first
	startedAt     float64
	conns         []*executorConn
	cancelledAt   map[string]float64 // by request id: clocks of cancellations within the last resendDelayMS
	closed        bool               // it drains or is gone by the list, or another has its address
}

// Update takes over entries of the list, all there are or only those that changed. It is called before the scheduler gets them. It
// returns what follows besides: an executor whose address a new one has is gone, though the list does not say so yet.
func (c *Client) Update(complete bool, list []Endpoint) (displaced []Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[uint32]bool{} // and not removed
	for _, e := range list {
		listed[e.Entry.Executor] = e.Entry.Availability != scheduler.Removed
		c.updateEndpoint(e)
	}
	if complete {
		for id, e := range c.executors {
			if !listed[id] {
				c.removeExecutor(e)
			}
		}
	}
	return c.displace(list, listed)
}

// updateEndpoint takes over one entry. The lock is held.
func (c *Client) updateEndpoint(e Endpoint) {
	id := e.Entry.Executor
	known := c.executors[id]
	if known != nil {
		known.closed = e.Entry.Availability != scheduler.Active
		if known.name != e.Name {
			c.log.WithFields(logrus.Fields{"one": known.name, "other": e.Name}).Error("executor ids collide")
		}
	}
	if known != nil && known.isReplacedBy(e) {
		known.retire()
		known = nil
	}
	switch {
	case e.Entry.Availability == scheduler.Removed:
		delete(c.executors, id)
	case known == nil:
		c.executors[id] = &executor{
			id:          id,
			name:        e.Name,
			address:     e.Address,
			entry:       e.Entry,
			startedAt:   e.Entry.StartedAt,
			cancelledAt: map[string]float64{},
			closed:      e.Entry.Availability != scheduler.Active,
		}
	}
}

// isReplacedBy returns whether an entry tells that this executor is gone, or is another process now.
func (e *executor) isReplacedBy(entry Endpoint) bool {
	return e.address != entry.Address || entry.Entry.StartedAt != e.startedAt || entry.Entry.Availability == scheduler.Removed
}

// displace removes executors whose address an active entry has and that are not listed with it. The lock is held.
func (c *Client) displace(list []Endpoint, listed map[uint32]bool) (displaced []Endpoint) {
	taken := map[string]bool{}
	for _, e := range list {
		if e.Entry.Availability == scheduler.Active {
			taken[e.Address] = true
		}
	}
	for id, e := range c.executors {
		if taken[e.address] && !listed[id] {
			c.removeExecutor(e)
			gone := Endpoint{Entry: e.entry, Name: e.name, Address: e.address}
			gone.Entry.Availability = scheduler.Removed
			displaced = append(displaced, gone)
		}
	}
	slices.SortFunc(displaced, func(a, b Endpoint) int { return cmp.Compare(a.Entry.Executor, b.Entry.Executor) })
	return displaced
}

// removeExecutor retires an executor and forgets it. The lock is held.
func (c *Client) removeExecutor(e *executor) {
	e.retire()
	delete(c.executors, e.id)
}

// retire keeps new attempts off an executor. The lock is held.
func (e *executor) retire() {
	e.closed = true // also for what still waits for a connection to come up
	for _, conn := range e.conns {
		conn.drain()
	}
}

// ConnectionState implements dispatch.ExecutorTransport.
func (c *Client) ConnectionState(id uint32) dispatch.ConnectionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.executors[id]
	if e == nil {
		return dispatch.ConnectionState{}
	}
	state := dispatch.ConnectionState{Name: e.name, Connections: len(e.conns), IdleMS: -1}
	lastUsed := time.Time{}
	for _, conn := range e.conns {
		state.Attempts += len(conn.open)
		if conn.lastUsed.After(lastUsed) {
			lastUsed = conn.lastUsed
			state.IdleMS = float64(time.Since(lastUsed)) / float64(time.Millisecond)
		}
	}
	return state
}
