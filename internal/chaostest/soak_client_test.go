package chaostest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"liftshift/internal/testservers"
)

// soakRequest is one request as its client sent it.
type soakRequest struct {
	id, class   string
	at          time.Time // when its last byte was written
	deadline    time.Duration
	abandonedAt time.Time // when its client left; zero: it waited
}

// soakClient is one connection that carries several requests.
type soakClient struct {
	soak *soak
	conn *net.TCPConn
	done chan struct{} // closed when the connection has ended

	mu         sync.Mutex
	open       map[int]soakRequest
	halfClosed bool // it has ended its writing side
	abandoned  bool // it has left by itself
	ended      bool
}

// soakManner is how a client behaves on a connection.
type soakManner int

// Of twenty manners that are drawn, the others are ordinary.
const (
	idling soakManner = iota
	abandoning
	halfClosing
	mannerCount = 20
)

// playClient plays one client until the stop is over: it goes on sending on its open connections until they end.
func (s *soak) playClient(address string, random *rand.Rand, over chan struct{}) {
	for {
		select {
		case <-over:
			return
		default:
		}
		if !s.mayDial() {
			return
		}
		c := s.dial(address)
		if c == nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c.play(random, over)
	}
}

func (s *soak) dial(address string) *soakClient {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	c := &soakClient{soak: s, conn: conn.(*net.TCPConn), open: map[int]soakRequest{}, done: make(chan struct{})}
	go c.readReplies()
	return c
}

// play sends requests until the connection ends or the run is over.
func (c *soakClient) play(random *rand.Rand, over chan struct{}) {
	classes := []string{classIdempotent, classIdempotent, classIdempotent, classKeyed, classNonIdempotent}
	deadline := c.soak.config.deadline
	maxOpen := 1 + random.IntN(6)
	manner := soakManner(random.IntN(mannerCount))
	for id := 1; ; id++ {
		pause := time.Duration(random.IntN(20)) * time.Millisecond
		if manner == idling {
			pause = time.Duration(random.IntN(1500)) * time.Millisecond
		}
		select {
		case <-over:
			c.abandon()
			return
		case <-c.done:
		case <-time.After(pause):
		}
		open, ended := c.state()
		if ended {
			return
		}
		if open < maxOpen && !c.submit(id, classes[random.IntN(len(classes))], deadline-time.Duration(random.IntN(int(deadline/5)))) {
			<-c.done
			return
		}
		if manner == abandoning && id > 5 {
			c.abandon()
			<-c.done
			return
		}
		if manner == halfClosing && id > 5 {
			c.closeWrite()
			<-c.done
			return
		}
	}
}

// state returns how many requests are open, and whether the connection has ended.
func (c *soakClient) state() (open int, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), c.ended
}

// submit sends a request; false if the connection has ended.
func (c *soakClient) submit(id int, class string, deadline time.Duration) bool {
	r := soakRequest{id: fmt.Sprintf("%016x", c.soak.lastNumber.Add(1)), class: class, deadline: deadline}
	params := map[string]any{"req": r.id, "timeout": deadline.Milliseconds(), "ms": 5, "ram": 1, "data": "c2VsZWN0IDE="}
	if class == classKeyed {
		params["opkey"] = "m" + r.id
	}
	text, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": id, "method": class, "params": params})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.halfClosed {
		return false
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(c.conn, "Content-Length: %d\r\n\r\n%s", len(text), text); err != nil {
		return false // no whole request was sent
	}
	r.at = time.Now()
	c.open[id] = r
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	c.soak.sent[r.id] = r
	return true
}

// readReplies reads replies until the connection ends, and then checks what is still open.
func (c *soakClient) readReplies() {
	defer close(c.done)
	reader := bufio.NewReader(c.conn)
	var err error
	for err == nil {
		err = c.readReply(reader)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, r := range c.open {
		crossed := now.Sub(r.at) < idleCloseRace+machineSlack && !c.halfClosed
		if c.abandoned || crossed {
			continue
		}
		c.soak.fail("request %s (%s), sent %v before its connection ended (%v; half-closed %v): no reply", r.id, r.class, now.Sub(r.at), err, c.halfClosed)
	}
}

func (c *soakClient) readReply(reader *bufio.Reader) error {
	header, err := reader.ReadString('\n')
	if err != nil {
		return err
	}
	length, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(header, "Content-Length:")))
	if err != nil {
		return err
	}
	body := make([]byte, len("\r\n")+length)
	if _, err := io.ReadFull(reader, body); err != nil {
		return err
	}
	var reply struct {
		ID    int
		Error struct{ Code int }
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return err
	}
	c.mu.Lock()
	r, known := c.open[reply.ID]
	delete(c.open, reply.ID)
	c.mu.Unlock()
	if !known {
		c.soak.fail("a reply to %d, which is not open: %s", reply.ID, body)
		return nil
	}
	if latency := time.Since(r.at); latency > r.deadline+lateReplyLimit+machineSlack {
		c.soak.fail("request %s was answered after %v of %v", r.id, latency, r.deadline)
	}
	c.soak.noteReply(r.id, reply.Error.Code)
	return nil
}

// noteReply notes the reply to a request.
func (s *soak) noteReply(id string, code int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[id] = code == testservers.CodeRejected
	switch code {
	case 0:
		s.outcomes["handled"]++
	case testservers.CodeRejected:
		s.outcomes["rejected"]++
	default:
		s.outcomes["failed"]++
	}
}

// abandon ends the connection from this side.
func (c *soakClient) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	c.noteAbandoned()
	_ = c.conn.Close()
}

// closeWrite ends the writing side; what is open is still owed its reply.
func (c *soakClient) closeWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halfClosed = true
	c.noteAbandoned()
	_ = c.conn.CloseWrite()
}

// noteAbandoned notes that the client of all open requests leaves now. The caller holds mu.
func (c *soakClient) noteAbandoned() {
	now := time.Now()
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	for _, r := range c.open {
		r.abandonedAt = now
		c.soak.sent[r.id] = r
	}
}
