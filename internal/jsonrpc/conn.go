package jsonrpc

import (
	"bufio"
	"errors"
	"io"
	"net/netip"
	"slices"
	"sync"
	"time"

	"liftshift/internal/dispatch"
	"liftshift/internal/netconn"
	"liftshift/scheduler"
)

// lingerAfterWrite is the time after a write within which the other side may not have read all: a reset would take it along.
const lingerAfterWrite = time.Second

// clientConn is one connection of a client. It implements dispatch.Client for the requests that are open on it.
type clientConn struct {
	netconn.Conn
	server  *Server
	addr    netip.Addr
	hasSlot bool

	// These belong to the connection's own goroutine.
	badMessages     int
	receivedAny     bool
	messageDeadline time.Time // when the message that is being read must be complete; zero: none is

	mu          sync.Mutex
	open        []openRequest // by ascending tag
	lastTag     uint64
	lastMessage time.Time
	closing     bool // takes no more requests
}

// serve is the goroutine of a connection.
func (c *clientConn) serve() {
	s := c.server
	err := c.readMessages(bufio.NewReaderSize(&c.Conn, readBufferBytes))
	switch {
	case errors.Is(err, netconn.ErrMalformed):
		c.failAndClose(err)
	case errors.Is(err, netconn.ErrClosed) && time.Since(c.LastWrite) < lingerAfterWrite:
		c.Linger()
	case errors.Is(err, io.EOF):
		c.answerHalfClosed()
	}
	c.Close()
	c.abandonOpen()
	s.mu.Lock()
	delete(s.connections, c)
	s.mu.Unlock()
	if c.hasSlot {
		<-s.slots
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
		text, err := readMessage(r, buffer)
		if err != nil {
			return err
		}
		buffer = nil
		if cap(text) <= maxKeptBuffer {
			buffer = text[:0]
		}
		c.messageDeadline = time.Time{}
		c.mu.Lock()
		c.lastMessage = time.Now()
		c.mu.Unlock()
		c.handleMessage(text, c.arrivalTime()) // deadlines count from the last byte
		if c.badMessages >= maxBadMessages {
			return netconn.Malformed("%d messages that can't be used", c.badMessages)
		}
	}
}

// arrivalTime returns the clock at which the message that was just read came. The first one may have been in the system's buffer for
// as long as the connection waited to be accepted.
func (c *clientConn) arrivalTime() float64 {
	now := c.server.arrivalTime()
	if c.receivedAny {
		return now
	}
	c.receivedAny = true
	return min(now, c.server.clock.Now()-netconn.SinceLastData(c.Socket))
}

// answerHalfClosed ends a connection whose client has closed its writing side: it may have gone, or may still read. Nothing begins
// any more for its open requests, and each gets its final answer, for as long as that takes to be written.
func (c *clientConn) answerHalfClosed() {
	c.mu.Lock()
	c.closing = true
	waiting := slices.Clone(c.open)
	for _, r := range waiting {
		r.halfClosed.Store(true)
		r.clientGone.Store(true)
	}
	c.mu.Unlock()
	for _, r := range waiting {
		event := scheduler.Event{Kind: scheduler.ClientLeft, Request: r.requestID, HalfClosed: true}
		c.server.queue.Put(dispatch.QueueItem{Event: event, Client: c, Token: r.tag})
	}
	var scrap [1]byte
	for began := time.Now(); time.Since(began) < writeTimeout; time.Sleep(stopPollInterval) {
		if c.isDone() {
			return
		}
		if _, err := c.Read(scrap[:]); !errors.Is(err, io.EOF) { // it writes what is queued first
			return
		}
	}
}

// failAndClose ends a connection whose framing is lost, or that sends nothing but messages that can't be used. All that is open on it
// fails at once, so that nobody waits, and nothing is written behind the error.
func (c *clientConn) failAndClose(why error) {
	s := c.server
	if s.FramingErrors.Add(1) == 1 {
		s.log.WithField("error", why).Warn("client server: framing lost")
	}
	for _, r := range c.takeOpen() {
		c.abandon(r)
		c.Push(func(b []byte) []byte { return appendError(b, r.id, rpcError{codeFailed, "framing lost"}, 0) })
	}
	c.Push(func(b []byte) []byte { return appendError(b, nil, rpcError{codeParseError, "framing lost"}, 0) })
	c.End(false)
	var scrap [readBufferBytes]byte
	for read := 0; read < netconn.LingerBytes; { // until all is written
		n, err := c.Read(scrap[:])
		if errors.Is(err, netconn.ErrClosed) {
			c.Linger()
		}
		if err != nil {
			return
		}
		read += n
	}
}

// idleDeadline returns until when something must come.
func (c *clientConn) idleDeadline() time.Time {
	if !c.messageDeadline.IsZero() {
		return c.messageDeadline
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) > 0 {
		return time.Now().Add(openCheckInterval)
	}
	return c.lastMessage.Add(idleTimeout)
}

// checkIdle returns why a connection on which nothing came in time is to end, if so.
func (c *clientConn) checkIdle() error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.messageDeadline.IsZero() && now.After(c.messageDeadline):
		c.server.TimedOut.Add(1)
		return netconn.Malformed("no whole message within %v", messageTimeout)
	case c.messageDeadline.IsZero() && len(c.open) == 0 && now.After(c.lastMessage.Add(idleTimeout)):
		c.closing = true
		return netconn.ErrClosed
	}
	return nil
}

// idleSince returns when the last message came, and whether the connection is idle.
func (c *clientConn) idleSince() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastMessage, c.isIdleLocked()
}

// closeIfIdle has an idle connection take no more requests; false if it is not idle.
func (c *clientConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.isIdleLocked()
	c.closing = c.closing || idle
	return idle
}

func (c *clientConn) isIdleLocked() bool { return len(c.open) == 0 && !c.closing }
