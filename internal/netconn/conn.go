// Package netconn holds what the protocol packages share: a buffered connection that one goroutine reads and writes, a
// budget for the bytes that connections buffer, bounded readers, and the classes of network errors.
//
// It knows neither protocols nor requests.
package netconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	maxReusedBufferBytes = 16 << 10 // a larger output buffer is not used again
	writeChunkBytes      = 16 << 10 // limit of one write

	// overBudgetTimeout limits the write timeout while the byte budget is exceeded.
	overBudgetTimeout = 200 * time.Millisecond

	// idleReadTimeout is for the last read before a connection counts as idle.
	idleReadTimeout = time.Millisecond

	// transientRetryInterval is the wait after a read that failed with a transient error.
	transientRetryInterval = 5 * time.Millisecond

	// maxFailedReads is the number of failed reads in a row that ends a connection even if each error was transient.
	maxFailedReads = 200

	// drainTimeout is the time for which an ended connection still reads input that has already arrived.
	drainTimeout = 5 * time.Millisecond

	// lingerTimeout limits the time for which Linger reads and drops input.
	lingerTimeout = 200 * time.Millisecond

	lingerBufferBytes = 4 << 10
)

// IOTimeSlice is the time slice for a write, and then for a read, while the remote end accepts no data. It is a fifth
// of the time within which a cancellation must be noticed.
const IOTimeSlice = 20 * time.Millisecond

// LingerBytes limits the input that is read and dropped after the last output, so that a reset of the connection does
// not destroy output that the remote end has not read yet.
const LingerBytes = 256 << 10

// pastDeadline makes a read return at once.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection that a single goroutine both reads and writes. Read first writes the queued output. More output
// wakes it from its wait for input. While the remote end accepts no data, Read alternates between writing and reading,
// so that messages are handled even from a remote end that does not read. A write that makes no progress for
// WriteTimeout ends the connection.
//
// The exported fields are set before the first call, except LastWrite. Push, Wake, End and Flushed are safe for
// concurrent use. The other methods are for the connection's own goroutine.
type Conn struct {
	Socket       net.Conn
	Budget       *ByteBudget   // of the output of all connections
	WriteTimeout time.Duration // limit of the time without write progress

	// OnIdle is called when no input arrived until IdleDeadline. An error ends the connection and is returned by Read.
	OnIdle func() error

	// IdleDeadline returns until when to wait for input.
	IdleDeadline func() time.Time

	// BeforeWrite, if set, is called before each check for queued output. It may push output that must not be encoded
	// any earlier.
	BeforeWrite func()

	// DrainOnEnd makes an ended connection still accept output, and read input that has already arrived.
	DrainOnEnd bool

	MaxQueuedBytes int // limit of the queued output, in bytes

	// LastWrite is the time at which the last byte was written. It is for the connection's own goroutine.
	LastWrite time.Time

	mu           sync.Mutex
	queued       []byte
	spare        []byte // empty buffer that becomes the next queued
	reading      bool   // the goroutine waits for input; cleared by a wake-up
	woken        bool   // since the last check for queued output
	writing      bool   // output is not completely written
	writeBlocked bool   // the remote end accepted no more data at the last write
	ended        bool   // ends once all output is written
	aborted      bool   // ends at once

	// These belong to the connection's own goroutine.
	output         []byte // the output that is being written
	outputWritten  int    // bytes of output that are already written
	lastProgressAt time.Time
	failedReads    int       // in a row
	drainStartedAt time.Time // when the goroutine first found the connection ended; zero before that
}

// Push queues the bytes that encode appends. It returns false if the connection has ended.
//
// A connection that already has output queued is aborted if the output exceeds its limit, or if the budget is exceeded
// while the remote end accepts no data. Any other connection may exceed the budget. While it is exceeded, connections
// whose remote end accepts no data have less time.
func (c *Conn) Push(encode func([]byte) []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended && (c.aborted || !c.DrainOnEnd) {
		return false
	}
	before := len(c.queued)
	c.queued = encode(c.queued)
	added := len(c.queued) - before
	full := before > 0 && len(c.queued) > c.MaxQueuedBytes
	reserved := !full && c.Budget.Reserve(added)
	switch {
	case reserved:
	case full, before > 0 && c.writeBlocked:
		c.queued = c.queued[:before]
		c.ended = true
		c.aborted = true
		c.wakeLocked()
		return false
	default: // exceeds the budget
		c.Budget.Free(-added)
	}
	c.wakeLocked()
	return true
}

// Wake makes the goroutine check for output again. It returns false if the connection has ended.
func (c *Conn) Wake() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeLocked()
	return !c.ended
}

// End ends the connection, either at once or when all queued output is written.
func (c *Conn) End(atOnce bool) {
	c.mu.Lock()
	c.ended = true
	c.aborted = c.aborted || atOnce
	c.wakeLocked()
	c.mu.Unlock()
}

// wakeLocked makes the goroutine check for output, and interrupts its wait for input. The lock is held.
func (c *Conn) wakeLocked() {
	c.woken = true
	if c.reading {
		c.reading = false
		_ = c.Socket.SetReadDeadline(pastDeadline)
	}
}

// WriteInProgress returns whether output is partly written, so that further output has to wait.
func (c *Conn) WriteInProgress() bool { return c.output != nil }

// Flushed returns whether all output is written.
func (c *Conn) Flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queued) == 0 && !c.writing
}

// Read writes the queued output, then reads. It returns ErrClosed once this process has ended the connection.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, retry, err := c.readOnce(b)
		if !retry {
			return n, err
		}
	}
}

// readOnce writes the queued output and waits for input once. It returns retry if there is neither input nor a reason
// to end the connection.
func (c *Conn) readOnce(b []byte) (n int, retry bool, err error) {
	deadline := c.IdleDeadline()
	c.mu.Lock()
	c.woken = false
	c.mu.Unlock()
	if c.BeforeWrite != nil {
		c.BeforeWrite()
	}
	switch c.takeQueued() {
	case outputAborted:
		return 0, false, ErrClosed
	case outputEnded:
		n, err = c.readAfterEnd(b)
		return n, false, err
	case outputPending:
		blocked, err := c.flush()
		if err != nil {
			return 0, false, err
		}
		if !blocked {
			return 0, true, nil
		}
		deadline = time.Now().Add(IOTimeSlice)
	case outputNone:
	}
	blocked, ok := c.beginRead(deadline)
	if !ok {
		return 0, true, nil
	}
	n, err = c.Socket.Read(b)
	woken := c.endRead()
	if n > 0 || err == nil {
		c.failedReads = 0
		return n, false, nil
	}
	c.failedReads++
	if IsTransient(err) && c.failedReads < maxFailedReads {
		time.Sleep(transientRetryInterval)
		return 0, true, nil
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, false, err
	}
	if woken || blocked {
		return 0, true, nil
	}
	// If this process stalled past the deadline, input may have arrived in time.
	if n := c.readBeforeIdle(b); n > 0 {
		return n, false, nil
	}
	err = c.OnIdle()
	return 0, err == nil, err
}

// outputState is the result of a check for output.
type outputState uint8

const (
	outputNone    outputState = iota // there is no output, and the connection goes on
	outputPending                    // there is output to write
	outputEnded                      // the connection has ended and all output is written
	outputAborted                    // the connection ends at once
)

var outputStateNames = [...]string{
	outputNone:    "none",
	outputPending: "pending",
	outputEnded:   "ended",
	outputAborted: "aborted",
}

// String returns the name of the state.
func (s outputState) String() string { return outputStateNames[s] }

// takeQueued starts writing the queued bytes, unless earlier output is not completely written or the connection is
// aborted.
func (c *Conn) takeQueued() outputState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writing && len(c.queued) > 0 && !c.aborted {
		c.output = c.queued
		c.outputWritten = 0
		c.lastProgressAt = time.Now()
		c.writing = true
		c.queued = c.spare[:0]
		c.spare = nil
	}
	switch {
	case c.aborted:
		return outputAborted
	case c.writing:
		return outputPending
	case c.ended:
		return outputEnded
	}
	return outputNone
}

// beginRead sets the deadline of a read that can be woken. It returns whether output is blocked by the remote end, and
// false for ok if there is something else to do before the read.
func (c *Conn) beginRead(deadline time.Time) (blocked, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		c.writeBlocked = true
	}
	if c.woken && !c.writing || c.aborted {
		return c.writing, false
	}
	_ = c.Socket.SetReadDeadline(deadline)
	c.reading = true
	return c.writing, true
}

// endRead ends the read that beginRead has begun, and returns whether it was woken.
func (c *Conn) endRead() (woken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	woken = !c.reading
	c.reading = false
	return woken
}

// readAfterEnd reads input that has already arrived on an ended connection, for a limited time and only with
// DrainOnEnd. If there is none, it returns ErrClosed.
func (c *Conn) readAfterEnd(b []byte) (int, error) {
	if !c.DrainOnEnd {
		return 0, ErrClosed
	}
	if c.drainStartedAt.IsZero() {
		c.drainStartedAt = time.Now()
	}
	if time.Since(c.drainStartedAt) < drainTimeout {
		if n := c.readBuffered(b); n > 0 {
			return n, nil
		}
	}
	return 0, ErrClosed
}

// readBeforeIdle reads with a short timeout and returns the number of bytes read.
func (c *Conn) readBeforeIdle(b []byte) int {
	_ = c.Socket.SetReadDeadline(time.Now().Add(idleReadTimeout))
	n, _ := c.Socket.Read(b)
	return n
}

// readBuffered reads from the kernel's buffer without waiting. It returns 0 if the buffer is empty or can't be read.
func (c *Conn) readBuffered(b []byte) (n int) {
	socket, ok := c.Socket.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	_ = c.Socket.SetReadDeadline(time.Time{})
	_ = raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true
	})
	return max(0, n)
}

// flush writes the output. It returns blocked if the remote end accepts no more data for now.
func (c *Conn) flush() (blocked bool, err error) {
	for c.outputWritten < len(c.output) {
		_ = c.Socket.SetWriteDeadline(time.Now().Add(IOTimeSlice))
		chunkEnd := min(len(c.output), (c.outputWritten/writeChunkBytes+1)*writeChunkBytes)
		n, err := c.Socket.Write(c.output[c.outputWritten:chunkEnd])
		now := time.Now()
		c.outputWritten += n
		if n > 0 {
			c.LastWrite = now
		}
		// Only a whole chunk counts as progress: a slow remote end goes on, one that takes a byte at a time times out.
		if err == nil {
			c.lastProgressAt = now
			continue
		}
		retryable := errors.Is(err, os.ErrDeadlineExceeded) || IsTransient(err)
		if !retryable || now.Sub(c.lastProgressAt) > c.stallTimeout() {
			return false, err // Close returns the reserved bytes to the budget
		}
		return true, nil
	}
	c.Budget.Free(len(c.output))
	c.mu.Lock()
	c.writing = false
	c.writeBlocked = false
	if cap(c.output) <= maxReusedBufferBytes {
		c.spare = c.output[:0]
	}
	c.output = nil
	c.mu.Unlock()
	return false, nil
}

// stallTimeout returns the limit of the time without write progress, which is shorter while the budget is exceeded.
func (c *Conn) stallTimeout() time.Duration {
	if c.Budget.Reserved() > c.Budget.limit {
		return min(c.WriteTimeout, overBudgetTimeout)
	}
	return c.WriteTimeout
}

// Close closes the socket, discards the output that is not written and returns its bytes to the budget.
func (c *Conn) Close() {
	_ = c.Socket.Close()
	c.mu.Lock()
	c.ended = true
	c.aborted = true
	c.Budget.Free(len(c.queued) + len(c.output))
	c.queued, c.spare, c.output = nil, nil, nil
	c.mu.Unlock()
}

// Linger shuts down the writing side, then reads and drops input for a limited time. A close with unread input would
// reset the connection, and the remote end could lose the last output. Linger is called once all output is written.
func (c *Conn) Linger() {
	tcp, ok := c.Socket.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	var discarded [lingerBufferBytes]byte
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	for read := 0; read < LingerBytes; {
		n, err := tcp.Read(discarded[:])
		if err != nil {
			return
		}
		read += n
	}
}
