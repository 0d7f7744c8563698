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
	loadDeadline    = 2 * time.Second
)

// The request classes of the settings, by what may be done with a request.
const (
	classIdempotent    = "look"
	classKeyed         = "mark" // idempotent with an idempotency key
	classNonIdempotent = "once"
)

// Result is how a request ended for its client.
type Result string

// The results of a request.
const (
	ResultHandled      Result = "handled"
	ResultRejected     Result = "rejected"
	ResultFailed       Result = "failed"
	ResultDisconnected Result = "disconnected" // the connection ended without a reply
)

// resultOf returns the result of a call.
func resultOf(answer testservers.Reply, err error) Result {
	switch {
	case err != nil:
		return ResultDisconnected
	case answer.Code == 0:
		return ResultHandled
	case answer.Code == testservers.CodeRejected:
		return ResultRejected
	}
	return ResultFailed
}

// SentRequest is one request as its client saw it.
type SentRequest struct {
	ID, IdempotencyKey, Class string
	Controller                int
	At                        time.Time
	Latency                   time.Duration
	Result                    Result
}

// History is what all clients saw.
type History struct {
	mu       sync.Mutex
	requests []SentRequest
}

// List returns the requests that have ended so far.
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

// StartLoad starts clients that send requests until the returned function is called, which waits for them. Each client has one controller,
// so that a controller that is suspended holds up its own clients alone.
func (cl *Cluster) StartLoad(clients int, pause time.Duration) (history *History, stop func()) {
	history = &History{}
	stopping := make(chan struct{})
	var running sync.WaitGroup
	var lastNumber atomic.Uint64
	for w := range clients {
		c := &loadClient{cluster: cl, controller: w % len(cl.Controllers), history: history}
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

// loadClient is a client of one controller.
type loadClient struct {
	cluster    *Cluster
	controller int
	history    *History
	conn       *testservers.Client // nil: not connected
}

func (c *loadClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// submit sends one request. One whose connection ends is not sent again: whether it ran is in the run log.
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
	answer, err := c.conn.Submit(r.Class, r.ID, r.IdempotencyKey, loadDeadline)
	r.Latency = time.Since(r.At)
	r.Result = resultOf(answer, err)
	if err != nil {
		c.close()
	}
	c.history.add(r)
}
