package resp

import (
	"math"
	"strconv"
	"time"

	"liftshift/internal/connpool"
	"liftshift/internal/dispatch"
	"liftshift/scheduler"
)

// resendDelayMS is the least time between the cancellation of an attempt and sending its request to the same executor again. They go
// over different connections, and a cancellation that came last would end the new attempt. It is far above the way to an executor and
// far below what a request takes.
const resendDelayMS = 5

// attempt is an attempt on a connection. It implements dispatch.RunningAttempt. Its fields are guarded by the client's lock.
type attempt struct {
	client        *Client
	conn          *executorConn
	spec          dispatch.Attempt
	seq           uint64
	repliesBefore uint64   // replies on the connection when the attempt was written
	onUsedConn    bool     // its connection had carried others
	resumed       bool     // its connection was lost between pages: the rest comes over another
	pages         [][]byte // nil: its answer has not begun
	pagesReceived int
	bytesReceived int
	held          bool // until Release
	written       bool // its bytes were handed to the socket
	end           scheduler.Event
}

// Send implements dispatch.ExecutorTransport.
func (c *Client) Send(spec dispatch.Attempt) (running dispatch.RunningAttempt, delayMS float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.executors[spec.Executor]
	if e == nil {
		return nil, 0
	}
	id := spec.Request.ID
	conn := c.pickConn(e, id)
	if conn == nil {
		return nil, 0
	}
	if at, ok := e.cancelledAt[id]; ok {
		delayMS = max(0, at+resendDelayMS-c.clock.Now())
	}
	c.lastSeq++
	a := &attempt{
		client:     c,
		conn:       conn,
		spec:       spec,
		seq:        c.lastSeq,
		onUsedConn: conn.replies > 0,
		held:       delayMS > 0 || spec.Held,
		end:        scheduler.Event{Kind: scheduler.AttemptEnded, Request: id, Attempt: spec.Number},
	}
	conn.open[id] = a
	if !a.held && !conn.queueAttempt(a) {
		delete(conn.open, id)
		conn.drain()
		return nil, 0
	}
	return a, delayMS
}

// Release lets an attempt leave that was held or delayed, unless it was cancelled meanwhile.
func (a *attempt) Release() {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	if a.held && a.conn.open[a.spec.Request.ID] == a {
		a.held = false
		a.conn.queueAttempt(a) // on a connection that has ended meanwhile it never leaves: remove reports that
	}
}

// Cancel implements dispatch.RunningAttempt.
func (a *attempt) Cancel() dispatch.CancelResult {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	c := a.conn
	id := a.spec.Request.ID
	if c.open[id] != a {
		return dispatch.AlreadyEnded
	}
	delete(c.open, id)
	defer c.endIfDrained()
	if !a.written && a.pages == nil {
		return dispatch.CancelledUnsent
	}
	if a.pages != nil { // only pages are still under way
		c.send("done", id)
	} else {
		c.send("abort", id)
	}
	c.executor.recordCancel(id, a.client.clock.Now())
	c.excludeID(id)
	// It may be the connection that is lost, not the executor: it gets nothing new, unless other attempts still get replies on it.
	if len(c.open) == 0 || c.replies == a.repliesBefore {
		c.draining = true
	}
	return dispatch.CancelSent
}

// recordCancel records the time of a cancellation and drops those that are past. The client's lock is held.
func (e *executor) recordCancel(id string, now float64) {
	for other, at := range e.cancelledAt {
		if now > at+resendDelayMS {
			delete(e.cancelledAt, other)
		}
	}
	e.cancelledAt[id] = now
}

// SetLevel implements dispatch.RunningAttempt.
func (a *attempt) SetLevel(level int) {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	c := a.conn
	a.spec.Level = level
	if a.written && c.open[a.spec.Request.ID] == a && a.pages == nil {
		c.send("renice", a.spec.Request.ID, strconv.Itoa(level))
	}
}

// outcomeOfLoss returns the outcome of an attempt whose connection ended with the given one.
func (a *attempt) outcomeOfLoss(outcome scheduler.Outcome) scheduler.Outcome {
	switch {
	case a.pages != nil:
		return scheduler.ConnectionLost // it ran, whatever became of the second connection
	case !a.written && outcome == scheduler.ConnectionLost:
		return scheduler.ConnectFailed // no byte of it left
	}
	return outcome
}

// queueAttempt has the goroutine of the connection write an attempt, or ask for the pages that are missing, once it is connected.
// Nothing is encoded before that: an attempt that is cancelled, or may not start any more, until the socket takes it has surely never
// run. The client's lock is held.
func (c *executorConn) queueAttempt(a *attempt) bool {
	c.pending = append(c.pending, a)
	return !c.connected || c.Wake()
}

// writePending encodes what is pending. It is the last step before the socket and the last check whether an attempt may start.
func (c *executorConn) writePending() {
	client := c.client
	client.mu.Lock()
	if len(c.pending) == 0 || c.Busy() {
		client.mu.Unlock()
		return
	}
	var blocked []dispatch.QueueItem
	for _, a := range c.pending {
		switch {
		case c.open[a.spec.Request.ID] != a: // cancelled
		case a.pages != nil:
			c.requestPages(a)
		default:
			reason := c.finalCheck(a)
			if reason == 0 {
				c.writeAttempt(a)
				continue
			}
			client.Blocked.Add(1)
			delete(c.open, a.spec.Request.ID)
			event := a.end
			event.Outcome = scheduler.NeverSent
			event.Blocked = reason == connpool.LeaseLost
			blocked = append(blocked, dispatch.QueueItem{Event: event})
		}
	}
	clear(c.pending)
	c.pending = c.pending[:0]
	c.endIfDrained()
	client.mu.Unlock()
	for _, item := range blocked {
		client.queue.Put(item) // not under the lock
	}
}

// finalCheck returns why an attempt may not start any more; 0: it may. The client's lock is held.
func (c *executorConn) finalCheck(a *attempt) connpool.BlockReason {
	client := c.client
	check := connpool.FinalCheck{
		ClientGone:     a.spec.Request.Abandoned(),
		ExecutorClosed: c.executor.closed,
		NowMS:          client.clock.Now(),
		LatestStartMS:  a.spec.LatestStart,
		LeaseLost:      a.spec.Held && client.LeaseHeld != nil && !client.LeaseHeld(),
	}
	return check.Reason()
}

// writeAttempt encodes an attempt. The client's lock is held.
func (c *executorConn) writeAttempt(a *attempt) {
	r := a.spec.Request
	c.lastUsed = time.Now()
	a.repliesBefore = c.replies
	list := make([]byte, 0, 128)
	list = append(append(list, "profile="...), r.Class...)
	list = strconv.AppendInt(append(list, ",max="...), int64(max(1, r.Deadline-c.client.clock.Now())), 10)
	if r.IdempotencyKey != "" {
		list = append(append(list, ",replay="...), r.IdempotencyKey...)
	}
	if a.spec.GrantMB > 0 {
		list = strconv.AppendInt(append(list, ",mb="...), int64(math.Ceil(a.spec.GrantMB)), 10)
	}
	list = strconv.AppendInt(append(list, ",nice="...), int64(a.spec.Level), 10)
	a.written = c.Push(func(b []byte) []byte { return appendArray(b, "fetch", r.ID, string(list), string(r.Body)) })
}
