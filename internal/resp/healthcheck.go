package resp

import (
	"net"
	"slices"
	"strconv"
	"time"

	"liftshift/internal/dispatch"
	"liftshift/scheduler"
)

// HealthCheck implements dispatch.ExecutorTransport. It also requests a load report if the platform has load reports.
func (c *Client) HealthCheck(id uint32, token uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	target := c.executors[id]
	if target == nil {
		return false
	}
	conn := c.pickConn(target, "")
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

// ForgetHealthCheck implements dispatch.ExecutorTransport. It drains the connection that left the health check
// unanswered, so that further attempts need a new connection: if the executor is dead, that one cannot be established,
// which proves that the attempts did not run.
func (c *Client) ForgetHealthCheck(id uint32, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	target := c.executors[id]
	if target == nil {
		return
	}
	tag := healthCheckTag(token)
	for _, conn := range target.conns {
		if _, ok := conn.healthChecks[tag]; ok {
			delete(conn.healthChecks, tag)
			conn.drain()
		}
	}
}

// onConnected stores the socket of a connection that was established and sends the health checks that are queued on it.
func (c *executorConn) onConnected(socket net.Conn) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.Socket = socket
	c.connected = true
	c.connectedAt = time.Now()
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

// healthCheckResult closes an answered health check and returns its result. The client's lock is held.
func (c *executorConn) healthCheckResult(
	tag string, token uint64, healthy bool, report []float64,
) dispatch.QueueItem {
	delete(c.healthChecks, tag)
	event := scheduler.Event{Kind: scheduler.HealthChecked, Executor: c.executor.id, LoadReport: report}
	if !healthy {
		event.Outcome = scheduler.Errored
	}
	return dispatch.QueueItem{Event: event, Token: token}
}
