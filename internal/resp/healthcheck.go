package resp

import (
	"net"
	"slices"
	"strconv"

	"liftshift/internal/dispatch"
	"liftshift/scheduler"
)

// HealthCheck implements dispatch.ExecutorTransport. It asks for a load report, too, where there are any.
func (c *Client) HealthCheck(id uint32, token uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.executors[id]
	if e == nil {
		return false
	}
	conn := c.pickConn(e, "")
	if conn == nil {
		return false
	}
	tag := healthCheckTag(token)
	conn.healthChecks[tag] = token
	if conn.connected && !conn.send(c.healthCheckCommand, tag) {
		delete(conn.healthChecks, tag)
		conn.drain()
		return false
	}
	return true
}

func healthCheckTag(token uint64) string { return "probe-" + strconv.FormatUint(token, 10) }

// ForgetHealthCheck implements dispatch.ExecutorTransport. A connection that left a check unanswered gets no new attempts: on a new
// one a dead executor shows by never coming up, which proves that nothing ran.
func (c *Client) ForgetHealthCheck(id uint32, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.executors[id]
	if e == nil {
		return
	}
	tag := healthCheckTag(token)
	for _, conn := range e.conns {
		if _, ok := conn.healthChecks[tag]; ok {
			delete(conn.healthChecks, tag)
			conn.drain()
		}
	}
}

// begin takes over the socket of a connection that came up and sends the health checks that waited for it.
func (c *executorConn) begin(socket net.Conn) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.Socket = socket
	c.connected = true
	tags := make([]string, 0, len(c.healthChecks))
	for tag := range c.healthChecks {
		tags = append(tags, tag)
	}
	slices.Sort(tags)
	for _, tag := range tags {
		c.send(c.client.healthCheckCommand, tag)
	}
	c.endIfDrained()
}

// healthCheckResult returns the result of a health check that was answered. The client's lock is held.
func (c *executorConn) healthCheckResult(tag string, token uint64, healthy bool, report []float64) dispatch.QueueItem {
	delete(c.healthChecks, tag)
	event := scheduler.Event{Kind: scheduler.HealthChecked, Executor: c.executor.id, LoadReport: report}
	if !healthy {
		event.Outcome = scheduler.Errored
	}
	return dispatch.QueueItem{Event: event, Token: token}
}
