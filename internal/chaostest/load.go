package chaostest

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"liftshift/internal/testservers"
)

const (
	loadDialTimeout = 50 * time.Millisecond
	loadDeadline    = 2 * time.Second // of each request
)

// The request classes of the test configuration, named by how requests of the class may be retried.
const (
	classIdempotent    = "look"
	classKeyed         = "mark" // idempotent by its idempotency key
	classNonIdempotent = "once"
)

// Result is how a request ended from the point of view of its client.
type Result string

// The results of a request.
const (
	// ResultHandled means that the reply reports success.
	ResultHandled Result = "handled"
	// ResultRejected means that the controller refused the request.
	ResultRejected Result = "rejected"
	// ResultFailed means that the reply reports any other error.
	ResultFailed Result = "failed"
	// ResultDisconnected means that the connection ended, or could not be opened, before there was a reply.
	ResultDisconnected Result = "disconnected"
)

// resultOf classifies the reply, or the error, that a client received.
func resultOf(reply testservers.Reply, err error) Result {
	switch {
	case err != nil:
		return ResultDisconnected
	case reply.Code == 0:
		return ResultHandled
	case reply.Code == testservers.CodeRejected:
		return ResultRejected
	}
	return ResultFailed
}

// SentRequest is a request that a client has sent, and how it ended.
type SentRequest struct {
	ID, IdempotencyKey, Class string
	Controller                int // index of the controller that the request was sent to
	At                        time.Time
	Latency                   time.Duration
	Result                    Result
}

// History records the requests of all clients of a load.
type History struct {
	mu       sync.Mutex
	requests []SentRequest
}

// List returns a copy of the requests that have ended so far.
func (h *History) List() []SentRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]SentRequest(nil), h.requests...)
}

func (h *History) add(r SentRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// StartLoad starts clients that send requests until the returned function is called, which waits for them to end. Each
// client uses one controller, so that a suspended controller delays only its own clients.
func (cl *Cluster) StartLoad(clients int, pause time.Duration) (history *History, stop func()) {
	history = &History{}
	stopping := make(chan struct{})
	var running sync.WaitGroup
	var lastNumber atomic.Uint64
	for k := range clients {
		c := &loadClient{cluster: cl, controller: k % len(cl.Controllers), history: history}
		running.Add(1)
		go func() {
			defer running.Done()
			defer c.close()
			for {
				select {
				case <-stopping:
					return
				case <-time.After(pause):
				}
				c.submit(lastNumber.Add(1))
			}
		}()
	}
	var once sync.Once
	return history, func() {
		once.Do(func() { close(stopping) })
		running.Wait()
	}
}

// loadClient is a client that sends requests to one controller over one connection at a time.
type loadClient struct {
	cluster    *Cluster
	controller int
	history    *History
	conn       *testservers.Client // nil while not connected
}

func (c *loadClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// submit sends one request. It doesn't retry: if the connection ends, only the run log tells whether the request ran.
func (c *loadClient) submit(number uint64) {
	r := SentRequest{
		ID:         fmt.Sprintf("%016x", number),
		Class:      []string{classIdempotent, classKeyed, classNonIdempotent}[number%3],
		Controller: c.controller,
		At:         time.Now(),
	}
	if r.Class == classKeyed {
		r.IdempotencyKey = fmt.Sprintf("m%015x", number)
	}
	if c.conn == nil {
		conn, err := testservers.Dial(c.cluster.Controllers[c.controller].ClientAddress, loadDialTimeout)
		if err != nil {
			return // nothing was sent
		}
		c.conn = conn
	}
	reply, err := c.conn.Submit(r.Class, r.ID, r.IdempotencyKey, loadDeadline)
	r.Latency = time.Since(r.At)
	r.Result = resultOf(reply, err)
	if err != nil {
		c.close()
	}
	c.history.add(r)
}
