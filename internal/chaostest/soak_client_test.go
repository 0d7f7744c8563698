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

// soakRequest is a request that a client has sent.
type soakRequest struct {
	id, class string
	sentAt    time.Time // when its last byte was written
	deadline  time.Duration
	// abandonedAt is when the client closed its connection or its writing side; zero if it did neither.
	abandonedAt time.Time
}

// soakClient is a client connection that carries several requests at once.
type soakClient struct {
	soak *soak
	conn *net.TCPConn
	done chan struct{} // closed when the connection has ended

	mu         sync.Mutex
	open       map[int]soakRequest // requests without a reply, by their JSON-RPC IDs
	halfClosed bool                // the client has closed its writing side
	abandoned  bool                // the client has closed the connection
	ended      bool                // no further reply can be read
}

// clientBehavior is how a client uses a connection. It is drawn from [0, behaviorRange); values without a name below
// send requests at short intervals until the controller closes the connection.
type clientBehavior int

const (
	sendsRarely     clientBehavior = iota // sends requests at long intervals
	disconnects                           // closes the connection after a few requests
	closesWriteSide                       // closes its writing side after a few requests
	behaviorRange   = 20
)

// runClient runs one client until finished is closed or no new connections may be opened. The client uses each
// connection until it ends, and then opens another one.
func (s *soak) runClient(address string, random *rand.Rand, finished chan struct{}) {
	for {
		select {
		case <-finished:
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
		c.sendRequests(random, finished)
	}
}

// dial connects to a controller and starts to read replies; nil if it can't connect.
func (s *soak) dial(address string) *soakClient {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	c := &soakClient{soak: s, conn: conn.(*net.TCPConn), open: map[int]soakRequest{}, done: make(chan struct{})}
	go c.readReplies()
	return c
}

// sendRequests sends requests until the connection ends or finished is closed.
func (c *soakClient) sendRequests(random *rand.Rand, finished chan struct{}) {
	classes := []string{classIdempotent, classIdempotent, classIdempotent, classKeyed, classNonIdempotent}
	deadline := c.soak.config.deadline
	maxOpen := 1 + random.IntN(6)
	behavior := clientBehavior(random.IntN(behaviorRange))
	for id := 1; ; id++ {
		pause := time.Duration(random.IntN(20)) * time.Millisecond
		if behavior == sendsRarely {
			pause = time.Duration(random.IntN(1500)) * time.Millisecond
		}
		select {
		case <-finished:
			c.abandon()
			return
		case <-c.done:
		case <-time.After(pause):
		}
		open, ended := c.state()
		if ended {
			return
		}
		if open < maxOpen &&
			!c.submit(id, classes[random.IntN(len(classes))], deadline-time.Duration(random.IntN(int(deadline/5)))) {
			<-c.done
			return
		}
		if behavior == disconnects && id > 5 {
			c.abandon()
			<-c.done
			return
		}
		if behavior == closesWriteSide && id > 5 {
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

// submit sends a request with a JSON-RPC ID; false if the connection has ended or its writing side is closed.
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
		return false // the controller has at most part of the request
	}
	r.sentAt = time.Now()
	c.open[id] = r
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	c.soak.sent[r.id] = r
	return true
}

// readReplies reads replies until the connection ends, and then reports each open request that is owed a reply.
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
		crossedIdleClose := now.Sub(r.sentAt) < idleCloseRace+schedulingSlack && !c.halfClosed
		if c.abandoned || crossedIdleClose {
			continue
		}
		c.soak.addViolation("request %s (%s): no reply; it was sent %v before its connection ended (%v; half-closed: %v)",
			r.id, r.class, now.Sub(r.sentAt), err, c.halfClosed)
	}
}

// readReply reads and checks one reply.
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
		c.soak.addViolation("reply with the ID %d, which no open request has: %s", reply.ID, body)
		return nil
	}
	if latency := time.Since(r.sentAt); latency > r.deadline+lateReplyLimit+schedulingSlack {
		c.soak.addViolation("request %s was answered after %v, too long past its deadline of %v", r.id, latency, r.deadline)
	}
	c.soak.recordReply(r.id, reply.Error.Code)
	return nil
}

// recordReply counts the reply to a request by its outcome, and records whether the request was rejected.
func (s *soak) recordReply(id string, code int) {
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

// abandon closes the connection although requests may be open.
func (c *soakClient) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	c.markAbandoned()
	_ = c.conn.Close()
}

// closeWrite closes the writing side. Open requests are still owed their replies.
func (c *soakClient) closeWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halfClosed = true
	c.markAbandoned()
	_ = c.conn.CloseWrite()
}

// markAbandoned records that the client abandons all open requests now. The caller holds c.mu.
func (c *soakClient) markAbandoned() {
	now := time.Now()
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	for _, r := range c.open {
		r.abandonedAt = now
		c.soak.sent[r.id] = r
	}
}
