package clustersim

import (
	"fmt"

	"liftshift/internal/handoff"
)

const (
	maxClientTries     = 3     // a client does not retry once it has sent more requests than this
	maxNodePicks       = 20    // random picks of a client that looks for a running node
	hedgedRequestCount = 2     // further requests that a hedging client sends without waiting for the first answer
	maxHedgeDelayMS    = 300.0 // largest delay of a hedged request after the first one
)

// clientOperation is one logical operation of a client, which may need several requests.
type clientOperation struct {
	key, class  string
	tries       int // number of requests sent
	firstSentAt float64
	succeeded   bool
	hedges      bool // whether the client sends hedged requests
}

// ClientRequest is one request that a client has sent to one node.
type ClientRequest struct {
	ID, IdempotencyKey, Class string
	Node                      int
	SentAt                    float64
	Answers                   []handoff.Outcome // more than one is a violation
	Disconnected              bool              // the request did not arrive, or the node stopped before it answered

	operation *clientOperation
}

// executionKey returns the key by which HandoffCluster.Executions counts the executions of the request.
func (r *ClientRequest) executionKey() string {
	if r.IdempotencyKey != "" {
		return r.IdempotencyKey
	}
	return r.ID
}

// scheduleRetry makes a client retry an operation with the same idempotency key at a random node. The client does not
// retry after the longer of the deadline and the deduplication window, because a partition that has lost a quorum of
// its replicas remembers a key for no longer than that.
func (c *HandoffCluster) scheduleRetry(operation *clientOperation) {
	at := c.Now + 100 + 900*c.random.Float64()
	keyExpired := at > operation.firstSentAt+max(maxDeadlineMS, c.DedupWindowMS)
	if operation.succeeded || operation.tries > maxClientTries || operation.class != keyedClass || keyExpired {
		return
	}
	c.Schedule(at, func() { c.sendToAnyNode(operation) })
}

// sendToAnyNode sends a request for an operation to a random running node. It gives up if it picks only stopped
// nodes.
func (c *HandoffCluster) sendToAnyNode(operation *clientOperation) {
	for range maxNodePicks {
		if k := c.random.IntN(len(c.Nodes)); c.Nodes[k].Up {
			c.sendRequest(k, operation)
			return
		}
	}
}

// sendRequest sends a request for an operation to a node. The first request of a hedging client is followed by more.
func (c *HandoffCluster) sendRequest(nodeIndex int, operation *clientOperation) {
	c.requestCount++
	operation.tries++
	if operation.tries == 1 {
		operation.firstSentAt = c.Now
	}
	clientRequest := &ClientRequest{
		ID:             fmt.Sprintf("%016x", c.requestCount),
		IdempotencyKey: operation.key,
		Class:          operation.class,
		Node:           nodeIndex,
		SentAt:         c.Now,
		Disconnected:   true,
		operation:      operation,
	}
	c.Requests = append(c.Requests, clientRequest)
	c.afterStall(nodeIndex, func() {
		clientRequest.Disconnected = false
		c.receiveRequest(nodeIndex, clientRequest)
	})
	if !operation.hedges || operation.tries > 1 {
		return
	}
	for range hedgedRequestCount {
		c.Schedule(c.Now+maxHedgeDelayMS*c.random.Float64(), func() {
			if !operation.succeeded {
				c.sendToAnyNode(operation)
			}
		})
	}
}

// answerClient answers the client of a request with an outcome. Adopted requests have no client.
func (c *HandoffCluster) answerClient(request *nodeRequest, outcome handoff.Outcome) {
	if request.client == nil {
		return
	}
	request.client.Answers = append(request.client.Answers, outcome)
	switch outcome {
	case handoff.Succeeded:
		request.client.operation.succeeded = true
	case handoff.Rejected:
		c.scheduleRetry(request.client.operation)
	}
}
