package jsonrpc

import (
	"bufio"
	"errors"
	"io"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"time"

	"liftshift/internal/dispatch"
	"liftshift/internal/netconn"
	"liftshift/scheduler"
)

// lingerAfterWrite is how long after the last write the client may not have read everything yet. A connection that is
// closed within this time lingers, since a reset would discard the unread output.
const lingerAfterWrite = time.Second

// clientConn is a connection of a client. It implements dispatch.Client for the requests that are open on it.
type clientConn struct {
	netconn.Conn
	server     *Server
	clientAddr netip.Addr
	hasSlot    bool // occupies an element of Server.slots

	// Used only by the connection's goroutine.
	badMessages     int
	receivedAny     bool                   // a message was read before
	dataArrivedAt   float64                // when the data of the latest message arrived, as far as is known
	messageDeadline time.Time              // when the message that is being read must be complete; zero between messages
	messageBuffer   *[maxMessageBytes]byte // reserved for a large message that is being read or handled

	mu           sync.Mutex    // guards the fields below
	openRequests []openRequest // in ascending order of their tags
	lastTag      uint64
	lastMessage  time.Time // when the last message was read, or the connection was accepted
	closing      bool      // further requests are rejected
}

// serve reads and handles messages until the connection ends, then cleans up. It runs on the connection's goroutine.
func (c *clientConn) serve() {
	server := c.server
	err := c.readMessages(bufio.NewReaderSize(&c.Conn, readBufferBytes))
	switch {
	case errors.Is(err, netconn.ErrMalformed):
		c.failAndClose(err)
	case errors.Is(err, netconn.ErrClosed) && time.Since(c.LastWrite) < lingerAfterWrite:
		c.Linger()
	case errors.Is(err, io.EOF):
		c.answerHalfClosed()
	}
	c.freeMessage()
	c.Close()
	c.abandonOpenRequests()
	server.mu.Lock()
	delete(server.connections, c)
	server.mu.Unlock()
	if c.hasSlot {
		<-server.slots
	}
}

// readMessages handles messages until the connection ends.
func (c *clientConn) readMessages(r *bufio.Reader) error {
	var buffer []byte
	for {
		if r.Buffered() == 0 {
			if _, err := r.Peek(1); err != nil {
				return err
			}
		}
		if c.messageDeadline.IsZero() {
			c.messageDeadline = time.Now().Add(messageTimeout)
		}
		text, err := c.readMessage(r, buffer)
		if err != nil {
			return err
		}
		buffer = nil
		if cap(text) <= unreservedMessageBytes {
			buffer = text[:0]
		}
		c.messageDeadline = time.Time{}
		c.mu.Lock()
		c.lastMessage = time.Now()
		c.mu.Unlock()
		c.handleMessage(text, c.arrivalTime()) // a request's deadline counts from the last byte of its message
		c.freeMessage()
		if c.badMessages >= maxBadMessages {
			return netconn.Malformed("%d messages that can't be used", c.badMessages)
		}
		runtime.Gosched() // a client that sends at full speed must not keep the event loop from running
	}
}

// arrivalTime returns the time at which the message that was just read arrived. The first message may have been in the
// kernel's buffer for as long as the connection waited to be accepted.
func (c *clientConn) arrivalTime() float64 {
	now := c.server.clock.Now()
	earliest := c.server.earliestArrivalAt(now)
	if c.receivedAny && earliest == now {
		c.dataArrivedAt = now
		return now
	}
	lastData := now - netconn.SinceLastData(c.Socket)
	c.dataArrivedAt = max(c.dataArrivedAt, lastData) // messages of one connection stay in their order
	if c.receivedAny {
		return earliest
	}
	c.receivedAny = true
	return min(earliest, lastData)
}

// answerHalfClosed ends a connection whose client has closed its writing side. The client may have left, or may still
// read. No further attempt is started for its open requests, and each request gets its final answer. The connection
// stays open until the answers are written, for at most writeTimeout.
func (c *clientConn) answerHalfClosed() {
	c.mu.Lock()
	c.closing = true
	waiting := slices.Clone(c.openRequests)
	for _, r := range waiting {
		r.halfClosed.Store(true)
		r.clientGone.Store(true)
	}
	c.mu.Unlock()
	for _, r := range waiting {
		event := scheduler.Event{Kind: scheduler.ClientLeft, Request: r.requestID, HalfClosed: true}
		c.server.queue.Put(dispatch.QueueItem{Event: event, Client: c, Token: r.tag})
	}
	var discarded [1]byte
	for start := time.Now(); time.Since(start) < writeTimeout; time.Sleep(stopPollInterval) {
		if c.isDone() {
			return
		}
		if _, err := c.Read(discarded[:]); !errors.Is(err, io.EOF) { // Read writes the queued output first
			return
		}
	}
}

// failAndClose ends a connection whose framing is lost, or that has sent too many unusable messages. Its open requests
// fail at once, so that the client does not wait for them, and nothing is written after the last error.
func (c *clientConn) failAndClose(cause error) {
	server := c.server
	if server.FramingErrors.Add(1) == 1 {
		server.log.WithField("error", cause).Warn("client server: framing lost")
	}
	c.mu.Lock()
	failed := c.takeOpenRequestsLocked()
	for _, r := range failed { // queued while holding mu, as in reply
		c.Push(func(b []byte) []byte { return appendError(b, r.callID, rpcError{codeFailed, "framing lost"}, 0) })
	}
	c.Push(func(b []byte) []byte { return appendError(b, nil, rpcError{codeParseError, "framing lost"}, 0) })
	c.mu.Unlock()
	for _, r := range failed {
		c.abandon(r)
	}
	c.End(false)
	var discarded [readBufferBytes]byte
	for read := 0; read < netconn.LingerBytes; { // Read returns ErrClosed once everything is written
		n, err := c.Read(discarded[:])
		if errors.Is(err, netconn.ErrClosed) {
			c.Linger()
		}
		if err != nil {
			return
		}
		read += n
	}
}

// idleDeadline returns the time by which the client must send something.
func (c *clientConn) idleDeadline() time.Time {
	if !c.messageDeadline.IsZero() {
		return c.messageReadDeadline()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openRequests) > 0 {
		return time.Now().Add(openCheckInterval)
	}
	return c.lastMessage.Add(idleTimeout)
}

// checkIdle is called when nothing arrived before the idle deadline. It returns why the connection must end, or nil if
// it may go on.
func (c *clientConn) checkIdle() error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.messageDeadline.IsZero() && now.After(c.messageDue()):
		c.server.TimedOut.Add(1)
		return netconn.Malformed("no whole message in time")
	case c.messageDeadline.IsZero() && len(c.openRequests) == 0 && now.After(c.lastMessage.Add(idleTimeout)):
		c.closing = true
		return netconn.ErrClosed
	}
	return nil
}

// idleSince returns when the last message arrived, and whether the connection is idle.
func (c *clientConn) idleSince() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastMessage, c.isIdleLocked()
}

// closeIfIdle makes an idle connection reject further requests. It returns false if the connection is not idle.
func (c *clientConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.isIdleLocked()
	c.closing = c.closing || idle
	return idle
}

// isIdleLocked reports whether the connection has no open request and is not closing. The caller holds mu.
func (c *clientConn) isIdleLocked() bool { return len(c.openRequests) == 0 && !c.closing }
