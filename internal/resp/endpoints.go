package resp

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/scheduler"
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Entry         scheduler.Endpoint
	Name, Address string
}

// executor is the client's state of one executor of the endpoint list. Connections belong to an executor, not to an
// address: another executor may get the same address later.
type executor struct {
	id            uint32
	name, address string
	entry         scheduler.Endpoint // the latest
	conns         []*executorConn
	cancelledAt   map[string]float64 // times of the cancellations of the last resendDelayMS, by request id
	closed        bool               // takes no new attempts: draining or removed, or its address was reassigned
}

// Update applies entries of the endpoint list: all entries if complete is set, only the changed ones otherwise. It must
// be called before the scheduler gets the entries. It returns removed entries for the executors that an entry displaced
// from their address, although the list does not report them as removed yet.
func (c *Client) Update(complete bool, list []Endpoint) (displaced []Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[uint32]bool{} // executors that the list contains and does not report as removed
	for _, endpoint := range list {
		listed[endpoint.Entry.Executor] = endpoint.Entry.Availability != scheduler.Removed
		c.updateEndpoint(endpoint)
	}
	if complete {
		for id, known := range c.executors {
			if !listed[id] {
				c.removeExecutor(known)
			}
		}
	}
	return c.displace(list, listed)
}

// updateEndpoint applies one entry. The lock is held.
func (c *Client) updateEndpoint(endpoint Endpoint) {
	id := endpoint.Entry.Executor
	known := c.executors[id]
	if known != nil {
		known.closed = endpoint.Entry.Availability != scheduler.Active
		if known.name != endpoint.Name {
			c.log.WithFields(logrus.Fields{"one": known.name, "other": endpoint.Name}).Error("executor ids collide")
		}
	}
	if known != nil && known.isReplacedBy(endpoint) {
		known.retire()
		known = nil
	}
	switch {
	case endpoint.Entry.Availability == scheduler.Removed:
		delete(c.executors, id)
	case known != nil:
		known.entry = endpoint.Entry
	default:
		c.executors[id] = &executor{
			id:          id,
			name:        endpoint.Name,
			address:     endpoint.Address,
			entry:       endpoint.Entry,
			cancelledAt: map[string]float64{},
			closed:      endpoint.Entry.Availability != scheduler.Active,
		}
	}
}

// isReplacedBy returns whether an entry shows that the executor is removed or now is another process.
func (e *executor) isReplacedBy(endpoint Endpoint) bool {
	return e.address != endpoint.Address || endpoint.Entry.StartedAt != e.entry.StartedAt ||
		endpoint.Entry.Availability == scheduler.Removed
}

// hasMovedFrom returns whether the executor is listed at another location than the one for which the scheduler decided an
// attempt. This client hears of a list before the scheduler does, and an attempt may wait after it was decided.
func (e *executor) hasMovedFrom(target scheduler.Location) bool { return e.entry.Location() != target }

// displace removes the executors whose address belongs to an active entry of the list and which the list does not
// contain themselves. The lock is held.
func (c *Client) displace(list []Endpoint, listed map[uint32]bool) (displaced []Endpoint) {
	activeAddresses := map[string]bool{}
	for _, endpoint := range list {
		if endpoint.Entry.Availability == scheduler.Active {
			activeAddresses[endpoint.Address] = true
		}
	}
	for id, known := range c.executors {
		if activeAddresses[known.address] && !listed[id] {
			c.removeExecutor(known)
			removed := Endpoint{Entry: known.entry, Name: known.name, Address: known.address}
			removed.Entry.Availability = scheduler.Removed
			displaced = append(displaced, removed)
		}
	}
	slices.SortFunc(displaced, func(a, b Endpoint) int { return cmp.Compare(a.Entry.Executor, b.Entry.Executor) })
	return displaced
}

// removeExecutor retires an executor and removes it from the table. The lock is held.
func (c *Client) removeExecutor(known *executor) {
	known.retire()
	delete(c.executors, known.id)
}

// retire keeps new attempts off an executor and drains its connections. The lock is held.
func (e *executor) retire() {
	e.closed = true // also blocks attempts that are queued on a connection that is not yet established
	for _, conn := range e.conns {
		conn.drain()
	}
}

// ConnectionState implements dispatch.ExecutorTransport.
func (c *Client) ConnectionState(id uint32) dispatch.ConnectionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.executors[id]
	if known == nil {
		return dispatch.ConnectionState{}
	}
	state := dispatch.ConnectionState{Name: known.name, Connections: len(known.conns), IdleMS: -1}
	lastUsed := time.Time{}
	for _, conn := range known.conns {
		state.Attempts += len(conn.openAttempts)
		if conn.lastUsed.After(lastUsed) {
			lastUsed = conn.lastUsed
			state.IdleMS = float64(time.Since(lastUsed)) / float64(time.Millisecond)
		}
	}
	return state
}
