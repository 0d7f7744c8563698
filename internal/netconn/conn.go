// Package netconn is what the packages of the protocols share: a buffered connection that one goroutine reads and writes, a budget for
// the bytes that connections hold, bounded readers, and the classes of network errors.
//
// It knows no protocol and no request.
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
	maxKeptBuffer          = 16 << 10               // of an output buffer that is reused
	writeChunkBytes        = 16 << 10               // written at a time
	scarceTimeout          = 200 * time.Millisecond // the longest that the other side may take nothing while the budget is exceeded
	briefReadTime          = time.Millisecond
	transientRetryInterval = 5 * time.Millisecond // after a call that failed with a transient error
	maxFailedReads         = 200                  // in a row
	endReadTime            = 5 * time.Millisecond // for which an ended connection still reads what is there already
	lingerTime             = 200 * time.Millisecond
	lingerBufferBytes      = 4 << 10
)

// WriteTurn is the time for a write, then for a read, while the other side takes nothing: a fifth of the time in which a cancellation
// must be noticed.
const WriteTurn = 20 * time.Millisecond

// LingerBytes is how many bytes are read and dropped behind the last answer, so that a reset does not overtake it.
const LingerBytes = 256 << 10

// pastDeadline makes a read return at once.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection whose one goroutine reads and writes. Read first writes what is queued, and is woken out of its wait when more
// is. While the other side takes nothing, Read goes on reading in between, so that a message of that side is handled however little
// it reads itself. A write on which nothing gets through in time ends the connection.
//
// The exported fields are set before the first call. Push, Wake, End and Flushed are safe for concurrent use; the other methods are
// for the connection's own goroutine.
type Conn struct {
	Socket       net.Conn
	Budget       *ByteBudget
	WriteTimeout time.Duration    // the longest that a write may make no progress
	OnIdle       func() error     // called when nothing came until IdleDeadline: returns why to end, if so
	IdleDeadline func() time.Time // returns how long to wait for something to come
	BeforeWrite  func()           // called before each look at what is queued: pushes what is encoded only at the last step; nil: nothing
	DrainOnEnd   bool             // after End, output for what was read already is still taken, and input that is there already is still read
	MaxQueued    int              // bytes of output

	LastWrite time.Time // when the last byte was written; for the connection's own goroutine

	mu      sync.Mutex
	queued  []byte
	spare   []byte // buffer for the next queued
	reading bool
	woken   bool // since the last look at what is queued
	writing bool
	stuck   bool // the other side takes nothing for now
	ended   bool // ends once all is written
	aborted bool // ends at once

	// These belong to the connection's own goroutine.
	output       []byte // being written
	outputDone   int    // bytes of it that are written
	lastProgress time.Time
	failedReads  int       // in a row
	endedAt      time.Time // when the goroutine found the connection ended; zero: it has not
}

// Push queues the bytes that write appends; false if the connection has ended. A connection that already has bytes queued is aborted
// where they are too many, or where its other side does not read and all connections together exceed the budget. Any other is written
// to, whatever the others hold: those that do not read get less time meanwhile.
func (c *Conn) Push(write func([]byte) []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended && (c.aborted || !c.DrainOnEnd) {
		return false
	}
	before := len(c.queued)
	c.queued = write(c.queued)
	added := len(c.queued) - before
	full := before > 0 && len(c.queued) > c.MaxQueued
	reserved := !full && c.Budget.Reserve(added)
	switch {
	case reserved:
	case full, before > 0 && c.stuck:
		c.queued = c.queued[:before]
		c.ended = true
		c.aborted = true
		c.wakeLocked()
		return false
	default: // past the budget
		c.Budget.Free(-added)
	}
	c.wakeLocked()
	return true
}

// Wake has the goroutine look again at what is to be written; false if the connection has ended.
func (c *Conn) Wake() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeLocked()
	return !c.ended
}

// End ends the connection, at once or when all that is queued is written.
func (c *Conn) End(atOnce bool) {
	c.mu.Lock()
	c.ended = true
	c.aborted = c.aborted || atOnce
	c.wakeLocked()
	c.mu.Unlock()
}

// wakeLocked gets the goroutine out of its wait.
func (c *Conn) wakeLocked() {
	c.woken = true
	if c.reading {
		c.reading = false
		_ = c.Socket.SetReadDeadline(pastDeadline)
	}
}

// Busy returns whether output that was begun waits for the other side.
func (c *Conn) Busy() bool { return c.output != nil }

// Flushed returns whether nothing waits to be written.
func (c *Conn) Flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queued) == 0 && !c.writing
}

// Read writes what is queued, then reads. It returns ErrClosed once the connection was ended on this side.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, again, err := c.readOnce(b)
		if !again {
			return n, err
		}
	}
}

// readOnce writes what is queued and waits for input once; again: there was none.
func (c *Conn) readOnce(b []byte) (n int, again bool, err error) {
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
		stuck, err := c.flush()
		if err != nil {
			return 0, false, err
		}
		if !stuck {
			return 0, true, nil
		}
		deadline = time.Now().Add(WriteTurn)
	case outputNone:
	}
	stuck, ok := c.beginRead(deadline)
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
	if woken || stuck {
		return 0, true, nil
	}
	// A deadline that passed while this process stalled tells nothing: what came meanwhile is read first.
	if n := c.readBriefly(b); n > 0 {
		return n, false, nil
	}
	err = c.OnIdle()
	return 0, err == nil, err
}

// outputState is what the goroutine finds to write.
type outputState uint8

const (
	outputNone    outputState = iota
	outputPending             // there is output
	outputEnded               // the connection is ended and all is written
	outputAborted             // the connection ends at once
)

var outputStateNames = [...]string{outputNone: "none", outputPending: "pending", outputEnded: "ended", outputAborted: "aborted"}

// String returns the name of the state.
func (s outputState) String() string { return outputStateNames[s] }

// takeQueued makes the queued bytes the output that is being written, unless some is already.
func (c *Conn) takeQueued() outputState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writing && len(c.queued) > 0 && !c.aborted {
		c.output = c.queued
		c.outputDone = 0
		c.lastProgress = time.Now()
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

// beginRead sets the deadline of a read that may be woken; false if there is something to do first. Stuck tells that output waits for
// the other side.
func (c *Conn) beginRead(deadline time.Time) (stuck, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		c.stuck = true
	}
	if c.woken && !c.writing || c.aborted {
		return c.writing, false
	}
	_ = c.Socket.SetReadDeadline(deadline)
	c.reading = true
	return c.writing, true
}

// endRead returns whether the read was woken.
func (c *Conn) endRead() (woken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	woken = !c.reading
	c.reading = false
	return woken
}

// readAfterEnd reads what is there already, for a limited time, where the connection drains on its end.
func (c *Conn) readAfterEnd(b []byte) (int, error) {
	if !c.DrainOnEnd {
		return 0, ErrClosed
	}
	if c.endedAt.IsZero() {
		c.endedAt = time.Now()
	}
	if time.Since(c.endedAt) < endReadTime {
		if n := c.readBuffered(b); n > 0 {
			return n, nil
		}
	}
	return 0, ErrClosed
}

// readBriefly reads what is there already.
func (c *Conn) readBriefly(b []byte) int {
	_ = c.Socket.SetReadDeadline(time.Now().Add(briefReadTime))
	n, _ := c.Socket.Read(b)
	return n
}

// readBuffered reads what is in the system's buffer, without any wait.
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

// flush writes the output, as far as that goes; stuck if the other side takes no more for now.
func (c *Conn) flush() (stuck bool, err error) {
	for c.outputDone < len(c.output) {
		_ = c.Socket.SetWriteDeadline(time.Now().Add(WriteTurn))
		chunkEnd := min(len(c.output), (c.outputDone/writeChunkBytes+1)*writeChunkBytes)
		n, err := c.Socket.Write(c.output[c.outputDone:chunkEnd])
		now := time.Now()
		c.outputDone += n
		if n > 0 {
			c.LastWrite = now
		}
		if err == nil { // a whole chunk: a slow reader makes progress, one that takes a byte at a time does not
			c.lastProgress = now
			continue
		}
		retriable := errors.Is(err, os.ErrDeadlineExceeded) || IsTransient(err)
		if !retriable || now.Sub(c.lastProgress) > c.stallTimeout() {
			return false, err // Close frees what is left
		}
		return true, nil
	}
	c.Budget.Free(len(c.output))
	c.mu.Lock()
	c.writing = false
	c.stuck = false
	if cap(c.output) <= maxKeptBuffer {
		c.spare = c.output[:0]
	}
	c.output = nil
	c.mu.Unlock()
	return false, nil
}

// stallTimeout is how long the other side may take nothing: less while the budget is exceeded.
func (c *Conn) stallTimeout() time.Duration {
	if c.Budget.Held() > c.Budget.max {
		return min(c.WriteTimeout, scarceTimeout)
	}
	return c.WriteTimeout
}

// Close closes the socket and frees what is queued.
func (c *Conn) Close() {
	_ = c.Socket.Close()
	c.mu.Lock()
	c.ended = true
	c.aborted = true
	c.Budget.Free(len(c.queued) + len(c.output))
	c.queued, c.spare, c.output = nil, nil, nil
	c.mu.Unlock()
}

// Linger ends the writing side and drops what still comes, for a limited time: a close over unread bytes resets the connection, and
// what was written last is lost with it. It is called once all is written.
func (c *Conn) Linger() {
	tcp, ok := c.Socket.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	var scrap [lingerBufferBytes]byte
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
	for read := 0; read < LingerBytes; {
		n, err := tcp.Read(scrap[:])
		if err != nil {
			return
		}
		read += n
	}
}
