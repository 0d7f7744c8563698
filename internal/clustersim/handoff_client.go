package clustersim

import (
	"fmt"

	"liftshift/internal/handoff"
)

const (
	maxClientTries  = 3
	pickNodeTries   = 20    // of a client that looks for a running node
	impatientTries  = 2     // further requests of a client that does not wait
	impatientWithin = 300.0 // ms
)

// clientOperation is what a client wants, however often it asks for it.
type clientOperation struct {
	key, class  string
	tries       int
	firstSentAt float64
	succeeded   bool
	impatient   bool
}

// ClientRequest is one request of a client to one node.
type ClientRequest struct {
	ID, IdempotencyKey, Class string
	Node                      int
	SentAt                    float64
	Answers                   []handoff.Outcome // more than one is a violation
	Disconnected              bool              // the request did not arrive, or the node ended before it answered

	operation *clientOperation
}

// runKey is what the runs of the request are counted by.
func (r *ClientRequest) runKey() string {
	if r.IdempotencyKey != "" {
		return r.IdempotencyKey
	}
	return r.ID
}

// scheduleRetry has a client ask again elsewhere, with its idempotency key. A key is known for no longer than the deadline and the window
// where a partition has lost its replicas beyond a quorum.
func (c *HandoffCluster) scheduleRetry(o *clientOperation) {
	at := c.Now + 100 + 900*c.random.Float64()
	keyExpired := at > o.firstSentAt+max(maxDeadlineMS, c.DedupWindowMS)
	if o.succeeded || o.tries > maxClientTries || o.class != keyedClass || keyExpired {
		return
	}
	c.Schedule(at, func() { c.sendToAnyNode(o) })
}

// sendToAnyNode has a client ask a running node, if it finds one.
func (c *HandoffCluster) sendToAnyNode(o *clientOperation) {
	for range pickNodeTries {
		if k := c.random.IntN(len(c.Nodes)); c.Nodes[k].Up {
			c.sendRequest(k, o)
			return
		}
	}
}

// sendRequest has a client ask a node.
func (c *HandoffCluster) sendRequest(k int, o *clientOperation) {
	c.requestCount++
	o.tries++
	if o.tries == 1 {
		o.firstSentAt = c.Now
	}
	sent := &ClientRequest{ID: fmt.Sprintf("%016x", c.requestCount), IdempotencyKey: o.key, Class: o.class, Node: k, SentAt: c.Now, Disconnected: true, operation: o}
	c.Requests = append(c.Requests, sent)
	c.whenAwake(k, func() {
		sent.Disconnected = false
		c.receiveRequest(k, sent)
	})
	if !o.impatient || o.tries > 1 {
		return
	}
	for range impatientTries {
		c.Schedule(c.Now+impatientWithin*c.random.Float64(), func() {
			if !o.succeeded {
				c.sendToAnyNode(o)
			}
		})
	}
}

// answerClient gives the client of a request its outcome. An adopted request has none.
func (c *HandoffCluster) answerClient(r *request, outcome handoff.Outcome) {
	if r.client == nil {
		return
	}
	r.client.Answers = append(r.client.Answers, outcome)
	switch outcome {
	case handoff.Succeeded:
		r.client.operation.succeeded = true
	case handoff.Rejected:
		c.scheduleRetry(r.client.operation)
	}
}
