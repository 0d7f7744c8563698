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
	"syscall"
	"time"

	"liftshift/internal/dispatch"
)

// EventQueue is the one way to who decides.
type EventQueue interface {
	Put(dispatch.QueueItem)
	Submit(*dispatch.Request)
	OpenRequests() int // requests taken and not answered
}

// errClosed is what a pipe reads once it was told to end.
var errClosed = errors.New("closed on this side")

// ByteBudget bounds the bytes that all connections together hold back.
type ByteBudget struct {
	most int64
	held atomic.Int64
}

// NewByteBudget returns a Budget of so many bytes.
func NewByteBudget(most int64) *ByteBudget { return &ByteBudget{most: most} }

// take books n bytes and tells whether they still fit; where they don't, they are not booked.
func (b *ByteBudget) take(n int) bool {
	if b.held.Add(int64(n)) > b.most {
		b.held.Add(int64(-n))
		return false
	}
	return true
}

// Held tells how many bytes are booked.
func (b *ByteBudget) Held() int64 { return b.held.Load() }

func (b *ByteBudget) give(n int) { b.held.Add(int64(-n)) }

// pipe is a connection whose one goroutine reads and writes: Read first writes what has lined up, and is woken
// out of its wait when more does. While the other side takes nothing, it goes on reading in between, so that a word of
// that side is heard however little it reads itself. A write on which nothing gets through in time ends the pipe.
type pipe struct {
	conn    net.Conn
	budget  *ByteBudget
	patient time.Duration    // for a write
	quiet   func() error     // asked when nothing came until then: why to end, if so
	until   func() time.Time // how long to wait for something to come
	fill    func()           // called before each look at what has lined up: adds what is written only at the last step; nil: nothing
	polite  bool             // what was told to end still answers what its goroutine has read, and reads what is there already

	mu      sync.Mutex
	out     []byte
	spare   []byte
	most    int // bytes that may line up here
	reading bool
	roused  bool // since the last look at what has lined up
	writing bool
	stuck   bool // the other side takes nothing for now
	ended   bool // lines up no more, and ends once all is written
	cut     bool // ends at once

	taken []byte    // out of out, by the goroutine; what of it is not yet written stands from done on
	done  int       //
	moved time.Time // when a step of it got through last, or when it was taken
	spoke time.Time // when the last byte was written

	passes  int       // reads in a row that failed for a moment
	endedAt time.Time // when its goroutine found it ended; zero: it has not
}

var past = time.Unix(1, 0)

// push lines up bytes; false if the pipe has ended. A pipe that has bytes lined up already ends where they are too many, or where
// its other side does not read and all pipes together hold too much. Any other is written to, whatever the others hold: who
// does not read is ended sooner meanwhile.
func (p *pipe) push(write func([]byte) []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended && (p.cut || !p.polite) {
		return false
	}
	before := len(p.out)
	p.out = write(p.out)
	n := len(p.out) - before
	full := before > 0 && len(p.out) > p.most
	booked := !full && p.budget.take(n)
	switch {
	case booked:
	case full, before > 0 && p.stuck:
		p.out, p.ended, p.cut = p.out[:before], true, true
		p.wake()
		return false
	default:
		p.budget.give(-n)
	}
	p.wake()
	return true
}

// rouse has the goroutine look anew at what is to be written; false if the pipe has ended.
func (p *pipe) rouse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake()
	return !p.ended
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
	p.roused = true
	if p.reading {
		p.reading = false
		_ = p.conn.SetReadDeadline(past)
	}
}

// busy tells whether bytes that were taken still wait for the other side; only the pipe's own goroutine calls it.
func (p *pipe) busy() bool { return p.taken != nil }

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
		p.roused = false
		p.mu.Unlock()
		if p.fill != nil {
			p.fill()
		}
		p.mu.Lock()
		if !p.writing && len(p.out) > 0 && !p.cut {
			p.taken, p.done, p.moved, p.writing = p.out, 0, time.Now(), true
			p.out, p.spare = p.spare[:0], nil
		}
		switch {
		case p.cut:
			p.mu.Unlock()
			return 0, errClosed
		case p.writing:
			p.mu.Unlock()
			stuck, err := p.write()
			if err != nil {
				return 0, err
			}
			if !stuck {
				continue
			}
			p.mu.Lock()
			p.stuck = true
			until = time.Now().Add(writeTurn)
		case p.ended:
			p.mu.Unlock()
			if p.polite && p.endedAt.IsZero() {
				p.endedAt = time.Now()
			}
			if p.polite && time.Since(p.endedAt) < endLook {
				if n := p.atHand(b); n > 0 {
					return n, nil
				}
			}
			return 0, errClosed
		}
		if p.roused && !p.writing || p.cut { // since the look above
			p.mu.Unlock()
			continue
		}
		stuck := p.writing
		_ = p.conn.SetReadDeadline(until)
		p.reading = true
		p.mu.Unlock()
		n, err := p.conn.Read(b)
		p.mu.Lock()
		woken := !p.reading
		p.reading = false
		p.mu.Unlock()
		if n > 0 || err == nil {
			p.passes = 0
			return n, nil
		}
		if p.passes++; isPassing(err) && p.passes < mostPasses {
			time.Sleep(passAgain)
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		if woken || stuck {
			continue
		}
		// A deadline that passed while this process stood still tells nothing: what came meanwhile is read first.
		if n := p.glance(b); n > 0 {
			return n, nil
		}
		if err := p.quiet(); err != nil {
			return 0, err
		}
	}
}

// glance reads what is there already.
func (p *pipe) glance(b []byte) int {
	_ = p.conn.SetReadDeadline(time.Now().Add(glanceTime))
	n, _ := p.conn.Read(b)
	return n
}

// atHand reads what stands in the system's buffer, without any wait.
func (p *pipe) atHand(b []byte) (n int) {
	c, ok := p.conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = p.conn.SetReadDeadline(time.Time{})
	_ = raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true
	})
	return max(0, n)
}

const (
	keepRoom   = 16 << 10               // size of an output buffer that is worth keeping
	writeStep  = 16 << 10               // what is written at a time
	writeTurn  = 20 * time.Millisecond  // for a write, then for a read, while the other side takes nothing: a fifth of what a notice may take
	scarceTurn = 200 * time.Millisecond // the longest that a side may take nothing while too much is held back for all
	glanceTime = time.Millisecond
	passAgain  = 5 * time.Millisecond // after a call that failed for a moment
	mostPasses = 200                  // such failures of reads in a row
	endLook    = 5 * time.Millisecond // for which what is there already is still read where a pipe was told to end
)

// write writes what was taken, as far as that goes; stuck if the other side takes no more for now.
func (p *pipe) write() (stuck bool, err error) {
	for p.done < len(p.taken) {
		_ = p.conn.SetWriteDeadline(time.Now().Add(writeTurn))
		n, err := p.conn.Write(p.taken[p.done:min(len(p.taken), (p.done/writeStep+1)*writeStep)])
		now := time.Now()
		if p.done += n; n > 0 {
			p.spoke = now
		}
		if err == nil { // a whole step: a slow reader is no dead one, one that takes a byte at a time is
			p.moved = now
		}
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded) && !isPassing(err), now.Sub(p.moved) > p.patience():
			return false, err // close gives back what is left
		default:
			return true, nil
		}
	}
	p.budget.give(len(p.taken))
	p.mu.Lock()
	if p.writing, p.stuck = false, false; cap(p.taken) <= keepRoom {
		p.spare = p.taken[:0]
	}
	p.taken = nil
	p.mu.Unlock()
	return false, nil
}

// patience is how long the other side may take nothing: less while all hold back too much.
func (p *pipe) patience() time.Duration {
	if p.budget.Held() > p.budget.most {
		return min(p.patient, scarceTurn)
	}
	return p.patient
}

// close ends the connection and gives back what had lined up.
func (p *pipe) close() {
	_ = p.conn.Close()
	p.mu.Lock()
	p.ended, p.cut = true, true
	p.budget.give(len(p.out) + len(p.taken))
	p.out, p.spare, p.taken = nil, nil, nil
	p.mu.Unlock()
}

// bidFarewell ends the writing side and reads, and drops, what still comes, for a limited time: a close over unread bytes
// resets the connection, and what was written last goes with it. Only the pipe's own goroutine calls it, once all is
// written.
func (p *pipe) bidFarewell() {
	tcp, ok := p.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	var scrap [clientBuffer]byte
	_ = tcp.SetReadDeadline(time.Now().Add(lastWords))
	for read := 0; read < lastBytes; {
		n, err := tcp.Read(scrap[:])
		if err != nil {
			return
		}
		read += n
	}
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
