package jsonrpc

import (
	"bufio"
	"time"

	"liftshift/internal/netconn"
)

const (
	// unreservedMessageBytes is the size up to which a message is read without a reservation of memory, and up to which
	// its buffer is used again.
	unreservedMessageBytes = 8 << 10
	// messageWaitInterval is the time between two tries to reserve memory for a message.
	messageWaitInterval = 20 * time.Millisecond
	// scarceMessageTimeout replaces messageTimeout for messages that hold memory which others wait for.
	scarceMessageTimeout = 200 * time.Millisecond
	// scarcityCheckInterval is how often a connection that waits for the rest of such a message checks whether others wait.
	scarcityCheckInterval = 50 * time.Millisecond
)

// readMessage reads a message and returns its body, in buffer if that is large enough. A large message has to wait for
// memory while others hold it. An error that wraps netconn.ErrMalformed means that the framing is lost: nothing more can
// be read from the connection.
func (c *clientConn) readMessage(r *bufio.Reader, buffer []byte) ([]byte, error) {
	length, err := readHeader(r)
	if err != nil {
		return nil, err
	}
	if length > unreservedMessageBytes {
		if err = c.reserveMessage(); err != nil {
			return nil, err
		}
		buffer = c.messageBuffer[:0]
	}
	body, err := netconn.ReadBody(r, length, buffer)
	return body, netconn.UnexpectedEOF(err)
}

// reserveMessage sets messageBuffer to a buffer for a large message. It waits for the memory until the message must be
// complete, and goes on to write output meanwhile.
func (c *clientConn) reserveMessage() error {
	server := c.server
	if !server.messageBudget.Reserve(maxMessageBytes) {
		server.messageWaiters.Add(1)
		defer server.messageWaiters.Add(-1)
		for !server.messageBudget.Reserve(maxMessageBytes) {
			if time.Now().After(c.messageDeadline) {
				server.TimedOut.Add(1)
				return netconn.Malformed("no memory for a large message in time")
			}
			if _, err := c.Read(nil); err != nil { // writes the queued output
				return err
			}
			time.Sleep(messageWaitInterval)
		}
	}
	c.messageBuffer = server.messageBuffers.Get().(*[maxMessageBytes]byte)
	return nil
}

// freeMessage frees what reserveMessage has reserved, if anything. The message must not be used any more.
func (c *clientConn) freeMessage() {
	if c.messageBuffer != nil {
		c.server.messageBuffers.Put(c.messageBuffer)
		c.messageBuffer = nil
		c.server.messageBudget.Free(maxMessageBytes)
	}
}

// messageDue returns when the message that is being read must be complete: sooner if it holds memory that others wait
// for, so that clients that stop within large messages cannot keep out those of others.
func (c *clientConn) messageDue() time.Time {
	if c.messageBuffer != nil && c.server.messageWaiters.Load() > 0 {
		return c.messageDeadline.Add(scarceMessageTimeout - messageTimeout)
	}
	return c.messageDeadline
}

// messageReadDeadline returns until when to wait for more of the message that is being read.
func (c *clientConn) messageReadDeadline() time.Time {
	due := c.messageDue()
	if c.messageBuffer == nil {
		return due
	}
	if check := time.Now().Add(scarcityCheckInterval); check.Before(due) {
		return check
	}
	return due
}
