// Package wire speaks with clients, executors, the change log and other controllers. Every connection has one
// goroutine; the words of the protocols end here. What is decided elsewhere only lines up at a connection, so
// that who decides never waits for a socket.
package wire

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"liftshift/internal/desk"
)

// Queue is the one way to who decides.
type Queue interface {
	Put(desk.Item)
	Take(*desk.Search)
	Open() int // searches taken and not answered
}

// errClosed is what a pipe reads once it was told to end.
var errClosed = errors.New("closed on this side")

// Budget bounds the bytes that all connections together hold back.
type Budget struct {
	most int64
	held atomic.Int64
}

// NewBudget returns a Budget of so many bytes.
func NewBudget(most int64) *Budget { return &Budget{most: most} }

// take books n bytes and tells whether they still fit; where they don't, they are not booked.
func (b *Budget) take(n int) bool {
	if b.held.Add(int64(n)) > b.most {
		b.held.Add(int64(-n))
		return false
	}
	return true
}

// Held tells how many bytes are booked.
func (b *Budget) Held() int64 { return b.held.Load() }

func (b *Budget) give(n int) { b.held.Add(int64(-n)) }

// pipe is a connection whose one goroutine reads and writes: Read first writes what has lined up, and is woken
// out of its wait when more does. A write that doesn't get through in time ends the pipe.
type pipe struct {
	conn    net.Conn
	budget  *Budget
	patient time.Duration    // for a write
	quiet   func() error     // asked when nothing came until then: why to end, if so
	until   func() time.Time // how long to wait for something to come

	mu      sync.Mutex
	out     []byte
	spare   []byte
	most    int // bytes that may line up here
	reading bool
	writing bool
	ended   bool // lines up no more, and ends once all is written
	cut     bool // ends at once
}

var past = time.Unix(1, 0)

// push lines up bytes; false if the pipe has ended. A pipe that has bytes lined up already, and for which there
// is no room for more, ends: the other side doesn't read. One that has none is written to whatever the others hold.
func (p *pipe) push(write func([]byte) []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	before := len(p.out)
	p.out = write(p.out)
	n := len(p.out) - before
	if before > 0 && len(p.out) > p.most || !p.budget.take(n) {
		if before > 0 {
			p.out, p.ended, p.cut = p.out[:before], true, true
			p.wake()
			return false
		}
		p.budget.give(-n)
	}
	p.wake()
	return true
}

// end lets the pipe end, at once or when all that has lined up is written.
func (p *pipe) end(atOnce bool) {
	p.mu.Lock()
	p.ended, p.cut = true, p.cut || atOnce
	p.wake()
	p.mu.Unlock()
}

// wake gets the goroutine out of its wait; called under the lock.
func (p *pipe) wake() {
	if p.reading {
		p.reading = false
		_ = p.conn.SetReadDeadline(past)
	}
}

// written tells whether nothing waits to be written.
func (p *pipe) written() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.out) == 0 && !p.writing
}

// Read writes what has lined up, then reads. Only the pipe's own goroutine calls it.
func (p *pipe) Read(b []byte) (int, error) {
	for {
		until := p.until()
		p.mu.Lock()
		switch {
		case p.cut:
			p.mu.Unlock()
			return 0, errClosed
		case len(p.out) > 0:
			out := p.out
			p.out, p.spare, p.writing = p.spare[:0], nil, true
			p.mu.Unlock()
			if err := p.write(out); err != nil {
				return 0, err
			}
			continue
		case p.ended:
			p.mu.Unlock()
			return 0, errClosed
		}
		_ = p.conn.SetReadDeadline(until)
		p.reading = true
		p.mu.Unlock()
		n, err := p.conn.Read(b)
		p.mu.Lock()
		woken := !p.reading
		p.reading = false
		p.mu.Unlock()
		if n > 0 || err == nil {
			return n, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		if !woken {
			if err := p.quiet(); err != nil {
				return 0, err
			}
		}
	}
}

// keepRoom is the size of an output buffer that is worth keeping, writeStep what has to get through in the time
// for a write: a slow reader is no dead one.
const (
	keepRoom  = 16 << 10
	writeStep = 16 << 10
)

func (p *pipe) write(out []byte) (err error) {
	for at := 0; at < len(out) && err == nil; at += writeStep {
		_ = p.conn.SetWriteDeadline(time.Now().Add(p.patient))
		_, err = p.conn.Write(out[at:min(len(out), at+writeStep)])
	}
	p.budget.give(len(out))
	p.mu.Lock()
	p.writing = false
	if cap(out) <= keepRoom {
		p.spare = out[:0]
	}
	p.mu.Unlock()
	return err
}

// close ends the connection and gives back what had lined up.
func (p *pipe) close() {
	_ = p.conn.Close()
	p.mu.Lock()
	p.ended, p.cut = true, true
	p.budget.give(len(p.out))
	p.out, p.spare = nil, nil
	p.mu.Unlock()
}

// readBody reads n bytes in steps, so that a claimed length alone takes no memory; into room, as far as that goes.
func readBody(r io.Reader, n int, room []byte) ([]byte, error) {
	const step = 4 << 10
	body := room[:0]
	if cap(room) == 0 {
		body = make([]byte, 0, min(n, step))
	}
	for len(body) < n {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(n, 2*cap(body)))
			copy(grown, body)
			body = grown
		}
		m, err := io.ReadFull(r, body[len(body):min(n, cap(body))])
		body = body[:len(body)+m]
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}
