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
	maxOutputBytes    = 1 << 20 // queued on one connection
	maxEndedIDs       = 1024    // on one connection before it is replaced
	idleCheckInterval = time.Second
	lossNoticeTime    = time.Second // within which the losses of all connections to a process that ended are noticed
	answerBufferBytes = 4 << 10
)

// executorConn is one connection to an executor. The client's lock guards its fields.
type executorConn struct {
	netconn.Conn
	client       *Client
	executor     *executor
	connected    bool // attempts and health checks are queued until it is set
	draining     bool // takes no new attempts and ends once no attempt is open
	connectedAt  time.Time
	lastUsed     time.Time
	replies      uint64              // replies received
	openAttempts map[string]*attempt // by request id
	pending      []*attempt          // attempts that the connection's goroutine has yet to write
	endedIDs     map[string]bool     // ids of attempts that ended without an answer; late replies may still carry them
	healthChecks map[string]uint64   // tokens by tag
}

// serve is the goroutine of a connection. It connects and reads replies until the connection ends.
func (c *executorConn) serve() {
	client := c.client
	client.Dials.Add(1)
	socket, err := client.dial("tcp", c.executor.address)
	if err != nil {
		client.DialFailures.Add(1)
		outcome := scheduler.ConnectFailed
		if netconn.IsLocal(err) {
			client.LocalDialFailures.Add(1)
			outcome = scheduler.LocalFailure
		}
		c.remove(outcome)
		return
	}
	c.onConnected(socket)
	err = c.readReplies(bufio.NewReaderSize(&c.Conn, answerBufferBytes))
	if errors.Is(err, netconn.ErrMalformed) {
		client.MalformedReplies.Add(1)
		client.log.WithFields(logrus.Fields{"executor": c.executor.name, "error": err}).Warn("executor: malformed reply")
	}
	c.Close()
	if attempts := c.remove(scheduler.ConnectionLost); attempts > 0 {
		client.log.WithFields(logrus.Fields{
			"executor": c.executor.name,
			"error":    err,
			"attempts": attempts,
			"replies":  c.replies,
		}).Info("executor: connection lost")
	}
}

// send queues a command and returns false if the connection has ended. The client's lock is held.
func (c *executorConn) send(words ...string) bool {
	c.lastUsed = time.Now()
	return c.Push(func(b []byte) []byte { return appendArray(b, words...) })
}

// drain excludes the connection from new attempts and ends it once no attempt is open. The client's lock is held.
func (c *executorConn) drain() {
	c.draining = true
	c.endIfDrained()
}

// endIfDrained ends the connection if it is draining and no attempt is open on it. The client's lock is held.
func (c *executorConn) endIfDrained() {
	if c.draining && len(c.openAttempts) == 0 {
		c.End(false)
	}
}

// isIdle returns whether the connection is established and unused. The client's lock is held.
func (c *executorConn) isIdle() bool {
	return c.connected && !c.draining && len(c.openAttempts) == 0 && len(c.healthChecks) == 0
}

// checkIdle is called when nothing was received for idleCheckInterval. It returns an error if the connection is drained
// or has been unused for longer than the idle timeout, which closes it.
func (c *executorConn) checkIdle() error {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if len(c.openAttempts) == 0 && len(c.healthChecks) == 0 && time.Since(c.lastUsed) > c.client.idleTimeout {
		c.draining = true
	}
	if c.draining && len(c.openAttempts) == 0 {
		return netconn.ErrClosed
	}
	return nil
}

// outlivesLoss returns whether the connection shows that its executor lives on after another connection was lost: it is
// established, and for so long that it leads to no later process at the same address. The client's lock is held.
func (c *executorConn) outlivesLoss() bool {
	return c.connected && time.Since(c.connectedAt) >= lossNoticeTime
}

// excludeID keeps further attempts of a request off this connection, because late replies to the ended attempt would be
// taken for replies to the next one. The client's lock is held.
func (c *executorConn) excludeID(id string) {
	c.endedIDs[id] = true
	c.draining = c.draining || len(c.endedIDs) >= maxEndedIDs
}

// sortedOpenAttempts returns the open attempts in the order of Send. The client's lock is held.
func (c *executorConn) sortedOpenAttempts() []*attempt {
	list := make([]*attempt, 0, len(c.openAttempts))
	for _, a := range c.openAttempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// remove takes the connection out of the tables, reports the end of its attempts and health checks with the given
// outcome, and returns the number of attempts that ended. Attempts whose answer is resumed over another connection do
// not end. The loss of the last connection is reported even if no attempt ends with it.
func (c *executorConn) remove(outcome scheduler.Outcome) int {
	client := c.client
	attempts, tokens, wasLast := c.detach()
	if wasLast && len(attempts) == 0 {
		event := scheduler.Event{Kind: scheduler.LastConnectionLost, Executor: c.executor.id}
		client.queue.Put(dispatch.QueueItem{Event: event})
	}
	for _, a := range attempts {
		a.endEvent.Outcome = a.outcomeOfLoss(outcome)
		client.queue.Put(dispatch.QueueItem{Event: a.endEvent})
	}
	for _, token := range tokens {
		event := scheduler.Event{Kind: scheduler.HealthChecked, Executor: c.executor.id, Outcome: outcome}
		client.queue.Put(dispatch.QueueItem{Event: event, Token: token})
	}
	return len(attempts)
}

// detach takes the connection and everything open on it out of the tables. It returns the attempts that end with the
// connection, the tokens of its health checks, and whether the executor ended its last connection.
func (c *executorConn) detach() (attempts []*attempt, tokens []uint64, wasLast bool) {
	client := c.client
	client.mu.Lock()
	defer client.mu.Unlock()
	endedByExecutor := c.connected && !c.draining
	c.draining = true
	delete(client.connections, c)
	c.executor.conns = slices.DeleteFunc(c.executor.conns, func(other *executorConn) bool { return other == c })
	wasLast = endedByExecutor && !slices.ContainsFunc(c.executor.conns, (*executorConn).outlivesLoss)
	attempts = c.sortedOpenAttempts()
	for _, a := range attempts {
		if a.written && c.replies == a.repliesBefore {
			client.losses.Record(a.onUsedConn, true)
		}
	}
	for _, token := range c.healthChecks {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	clear(c.openAttempts)
	clear(c.healthChecks)
	c.pending = nil
	return slices.DeleteFunc(attempts, c.resume), tokens, wasLast
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
			return netconn.Malformed("reply has %d parts, want at least 2", len(parts))
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
