package resp

import (
	"bufio"
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/dispatch"
	"liftshift/internal/netconn"
	"liftshift/scheduler"
)

const (
	maxOutputBytes    = 1 << 20 // that may be queued on one connection
	maxEndedIDs       = 1024    // on one connection, until it is replaced
	idleCheckInterval = time.Second
	answerBufferBytes = 4 << 10
)

// executorConn is one connection to an executor. Its fields are guarded by the client's lock.
type executorConn struct {
	netconn.Conn
	client       *Client
	executor     *executor
	connected    bool // before, attempts and health checks wait
	draining     bool // gets nothing new, and ends once nothing is open on it
	lastUsed     time.Time
	replies      uint64              // that came
	open         map[string]*attempt // by request id
	pending      []*attempt          // of those open: what the goroutine has still to write
	endedIDs     map[string]bool     // ended here but by their answer; further messages of that end may still come
	healthChecks map[string]uint64   // tokens by tag
}

// serve is the goroutine of a connection: it connects, then reads until the end.
func (c *executorConn) serve() {
	client := c.client
	client.Dials.Add(1)
	socket, err := client.dial("tcp", c.executor.address)
	if err != nil {
		client.DialFailures.Add(1)
		outcome := scheduler.ConnectFailed
		if netconn.IsLocal(err) {
			client.LocalFailures.Add(1)
			outcome = scheduler.LocalFailure
		}
		c.remove(outcome)
		return
	}
	c.begin(socket)
	err = c.readReplies(bufio.NewReaderSize(&c.Conn, answerBufferBytes))
	if errors.Is(err, netconn.ErrMalformed) {
		client.Malformed.Add(1)
		client.log.WithFields(logrus.Fields{"executor": c.executor.name, "error": err}).Warn("executor: malformed reply")
	}
	c.Close()
	if attempts := c.remove(scheduler.ConnectionLost); attempts > 0 {
		client.log.WithFields(logrus.Fields{"executor": c.executor.name, "error": err, "attempts": attempts, "replies": c.replies}).
			Info("executor: connection lost")
	}
}

// send queues a command; false if the connection has ended. The client's lock is held.
func (c *executorConn) send(words ...string) bool {
	c.lastUsed = time.Now()
	return c.Push(func(b []byte) []byte { return appendArray(b, words...) })
}

// drain keeps new attempts off a connection. The client's lock is held.
func (c *executorConn) drain() {
	c.draining = true
	c.endIfDrained()
}

// endIfDrained ends a connection that gets nothing new and has nothing open. The client's lock is held.
func (c *executorConn) endIfDrained() {
	if c.draining && len(c.open) == 0 {
		c.End(false)
	}
}

// isIdle returns whether a connection is up and unused. The client's lock is held.
func (c *executorConn) isIdle() bool {
	return c.connected && !c.draining && len(c.open) == 0 && len(c.healthChecks) == 0
}

// checkIdle returns why a connection on which nothing came for a while is to end, if so.
func (c *executorConn) checkIdle() error {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if len(c.open) == 0 && len(c.healthChecks) == 0 && time.Since(c.lastUsed) > c.client.idleTimeout {
		c.draining = true
	}
	if c.draining && len(c.open) == 0 {
		return netconn.ErrClosed
	}
	return nil
}

// excludeID keeps a request id off this connection: what still comes for it here would pass for the next attempt's. The client's lock
// is held.
func (c *executorConn) excludeID(id string) {
	c.endedIDs[id] = true
	c.draining = c.draining || len(c.endedIDs) >= maxEndedIDs
}

// openAttempts returns the open attempts in the order in which they were sent. The client's lock is held.
func (c *executorConn) openAttempts() []*attempt {
	list := make([]*attempt, 0, len(c.open))
	for _, a := range c.open {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// remove takes a connection out of the tables, ends all that was open on it and returns how many attempts that were. An attempt whose
// answer had begun may go on over another connection.
func (c *executorConn) remove(outcome scheduler.Outcome) int {
	client := c.client
	attempts, tokens := c.takeOpen()
	for _, a := range attempts {
		a.end.Outcome = a.outcomeOfLoss(outcome)
		client.queue.Put(dispatch.QueueItem{Event: a.end})
	}
	for _, token := range tokens {
		event := scheduler.Event{Kind: scheduler.HealthChecked, Executor: c.executor.id, Outcome: outcome}
		client.queue.Put(dispatch.QueueItem{Event: event, Token: token})
	}
	return len(attempts)
}

// takeOpen takes a connection and all that is open on it out of the tables and returns the attempts that end with it and the tokens of
// its health checks.
func (c *executorConn) takeOpen() (attempts []*attempt, tokens []uint64) {
	client := c.client
	client.mu.Lock()
	defer client.mu.Unlock()
	c.draining = true
	delete(client.connections, c)
	c.executor.conns = slices.DeleteFunc(c.executor.conns, func(o *executorConn) bool { return o == c })
	attempts = c.openAttempts()
	for _, a := range attempts {
		if a.written && c.replies == a.repliesBefore {
			client.losses.Record(a.onUsedConn, true)
		}
	}
	for _, token := range c.healthChecks {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	clear(c.open)
	clear(c.healthChecks)
	c.pending = nil
	return slices.DeleteFunc(attempts, c.resume), tokens
}

// readReplies handles replies until the connection ends.
func (c *executorConn) readReplies(r *bufio.Reader) error {
	var parts [][]byte
	for {
		var err error
		parts, err = readArray(r, parts)
		if err != nil {
			return err
		}
		if len(parts) < 2 {
			return netconn.Malformed("a reply of %d parts", len(parts))
		}
		parts = append(parts, nil, nil)[:4]
		item, ok, err := c.handleReply(string(parts[0]), string(parts[1]), string(parts[2]), parts[3])
		if err != nil {
			return err
		}
		if ok {
			c.client.queue.Put(item)
		}
	}
}
