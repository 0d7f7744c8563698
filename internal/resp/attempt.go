package resp

import (
	"math"
	"strconv"
	"time"

	"liftshift/internal/connpool"
	"liftshift/internal/dispatch"
	"liftshift/scheduler"
)

// resendDelayMS is the minimum time between the cancellation of an attempt and the next attempt of the same request on
// the same executor. The two travel over different connections, and a cancellation that arrives after the new attempt
// would cancel that one. The delay is well above the network latency and well below the run time of a request.
const resendDelayMS = 5

// attempt is an attempt that was assigned to a connection. It implements dispatch.RunningAttempt. The client's lock
// guards its fields.
type attempt struct {
	client        *Client
	conn          *executorConn
	spec          dispatch.Attempt
	seq           uint64
	repliesBefore uint64   // replies received on the connection before the attempt was written
	onUsedConn    bool     // the connection had received replies before the attempt was assigned to it
	resumed       bool     // the connection was lost during the answer, and another one fetches the missing pages
	pages         [][]byte // nil until the first page of the answer arrives
	pagesReceived int
	bytesReceived int
	held          bool // must not be written before Release
	written       bool // queued for the socket
	endEvent      scheduler.Event
}

// Send implements dispatch.ExecutorTransport.
func (c *Client) Send(spec dispatch.Attempt) (running dispatch.RunningAttempt, delayMS float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	target := c.executors[spec.Executor]
	if target == nil || target.hasMovedFrom(spec.Target) {
		return nil, 0
	}
	id := spec.Request.ID
	conn := c.pickConn(target, id)
	if conn == nil {
		return nil, 0
	}
	if cancelledAt, ok := target.cancelledAt[id]; ok {
		delayMS = max(0, cancelledAt+resendDelayMS-c.clock.Now())
	}
	c.lastSeq++
	a := &attempt{
		client:     c,
		conn:       conn,
		spec:       spec,
		seq:        c.lastSeq,
		onUsedConn: conn.replies > 0,
		held:       delayMS > 0 || spec.Held,
		endEvent:   scheduler.Event{Kind: scheduler.AttemptEnded, Request: id, Attempt: spec.Number},
	}
	conn.openAttempts[id] = a
	if !a.held && !conn.queueAttempt(a) {
		delete(conn.openAttempts, id)
		conn.drain()
		return nil, 0
	}
	return a, delayMS
}

// Release permits sending an attempt that was held or delayed. It has no effect on a cancelled attempt.
func (a *attempt) Release() {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	if a.held && a.conn.openAttempts[a.spec.Request.ID] == a {
		a.held = false
		a.conn.queueAttempt(a) // if the connection has ended, remove reports that the attempt was not sent
	}
}

// Cancel implements dispatch.RunningAttempt.
func (a *attempt) Cancel() dispatch.CancelResult {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	conn := a.conn
	id := a.spec.Request.ID
	if conn.openAttempts[id] != a {
		return dispatch.AlreadyEnded
	}
	delete(conn.openAttempts, id)
	defer conn.endIfDrained()
	if !a.written && a.pages == nil {
		return dispatch.CancelledUnsent
	}
	if a.pages != nil { // the request has run, only pages are outstanding
		conn.send("done", id)
	} else {
		conn.send("abort", id)
	}
	conn.executor.recordCancel(id, a.client.clock.Now())
	conn.excludeID(id)
	// The connection may be dead while the executor is not. It gets new attempts only if it has other open attempts and
	// has received a reply since this attempt was written.
	if len(conn.openAttempts) == 0 || conn.replies == a.repliesBefore {
		conn.draining = true
	}
	return dispatch.CancelSent
}

// recordCancel records the time of a cancellation and drops the times that no longer delay an attempt. The client's
// lock is held.
func (e *executor) recordCancel(id string, now float64) {
	for otherID, cancelledAt := range e.cancelledAt {
		if now > cancelledAt+resendDelayMS {
			delete(e.cancelledAt, otherID)
		}
	}
	e.cancelledAt[id] = now
}

// SetLevel implements dispatch.RunningAttempt.
func (a *attempt) SetLevel(level int) {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	conn := a.conn
	a.spec.Level = level
	if a.written && conn.openAttempts[a.spec.Request.ID] == a && a.pages == nil {
		conn.send("renice", a.spec.Request.ID, strconv.Itoa(level))
	}
}

// outcomeOfLoss returns the outcome of an attempt whose connection ended with the given outcome.
func (a *attempt) outcomeOfLoss(connOutcome scheduler.Outcome) scheduler.Outcome {
	switch {
	case a.pages != nil:
		return scheduler.ConnectionLost // the request ran, even if a second connection could not be established
	case !a.written && connOutcome == scheduler.ConnectionLost:
		return scheduler.ConnectFailed // the executor received no byte of the attempt
	}
	return connOutcome
}

// queueAttempt has the connection's goroutine write the attempt, or request its missing pages, once the connection is
// established. It returns false if the connection has ended. The attempt is encoded only right before the write, so
// that an attempt that is cancelled or blocked until then has certainly not run. The client's lock is held.
func (c *executorConn) queueAttempt(a *attempt) bool {
	c.pending = append(c.pending, a)
	return !c.connected || c.Wake()
}

// writePending encodes the pending attempts. It runs right before the connection writes to its socket and is the last
// check whether an attempt may still be sent.
func (c *executorConn) writePending() {
	client := c.client
	client.mu.Lock()
	if len(c.pending) == 0 || c.WriteInProgress() {
		client.mu.Unlock()
		return
	}
	var blocked []dispatch.QueueItem
	for _, a := range c.pending {
		switch {
		case c.openAttempts[a.spec.Request.ID] != a: // cancelled
		case a.pages != nil:
			c.requestPages(a)
		default:
			reason := c.finalCheck(a)
			if reason == 0 {
				c.writeAttempt(a)
				continue
			}
			client.BlockedAttempts.Add(1)
			delete(c.openAttempts, a.spec.Request.ID)
			event := a.endEvent
			event.Outcome = scheduler.NeverSent
			event.Unrecorded = reason == connpool.LeaseLost // the lease may return
			blocked = append(blocked, dispatch.QueueItem{Event: event})
		}
	}
	clear(c.pending)
	c.pending = c.pending[:0]
	c.endIfDrained()
	client.mu.Unlock()
	for _, item := range blocked {
		client.queue.Put(item) // may block, so not under the lock
	}
}

// finalCheck returns why an attempt must no longer be sent, or 0 if it may be sent. The client's lock is held.
func (c *executorConn) finalCheck(a *attempt) connpool.BlockReason {
	client := c.client
	check := connpool.FinalCheck{
		ClientGone:     a.spec.Request.Abandoned(),
		ExecutorClosed: c.executor.closed,
		ExecutorMoved:  c.executor.hasMovedFrom(a.spec.Target),
		NowMS:          client.clock.Now(),
		LatestStartMS:  a.spec.LatestStart,
		LeaseLost:      a.spec.Held && client.LeaseHeld != nil && !client.LeaseHeld(),
	}
	return check.Reason()
}

// writeAttempt encodes an attempt. The client's lock is held.
func (c *executorConn) writeAttempt(a *attempt) {
	request := a.spec.Request
	c.lastUsed = time.Now()
	a.repliesBefore = c.replies
	fields := make([]byte, 0, 128)
	fields = append(append(fields, "profile="...), request.Class...)
	fields = strconv.AppendInt(append(fields, ",max="...), int64(max(1, request.Deadline-c.client.clock.Now())), 10)
	if request.IdempotencyKey != "" {
		fields = append(append(fields, ",replay="...), request.IdempotencyKey...)
	}
	if a.spec.GrantMB > 0 {
		fields = strconv.AppendInt(append(fields, ",mb="...), int64(math.Ceil(a.spec.GrantMB)), 10)
	}
	fields = strconv.AppendInt(append(fields, ",nice="...), int64(a.spec.Level), 10)
	a.written = c.Push(func(b []byte) []byte {
		return appendArray(b, "fetch", request.ID, string(fields), string(request.Body))
	})
}
