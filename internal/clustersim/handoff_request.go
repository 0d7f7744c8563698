package clustersim

import (
	"math"

	"liftshift/internal/handoff"
)

// Behavior of the simulated executors and connections. Times are in milliseconds.
const (
	maxQueueMS         = 20.0   // longest time between the admission of a request and its first attempt
	maxDialMS          = 250.0  // longest time that an attempt waits for a new connection
	dialOneIn          = 3      // one attempt in this many waits for a new connection
	minExecutionMS     = 5.0    // shortest execution
	executionSpreadMS  = 300.0  // spread above minExecutionMS; the distribution favors short executions
	longExecutionMS    = 2500.0 // duration of a long execution
	longExecutionOneIn = 20     // one execution in this many is long
)

// nodeRequest is a request as one node handles it.
type nodeRequest struct {
	id, key, class string
	deadline       float64        // by the node's clock
	client         *ClientRequest // nil for an adopted request
	mayHaveRun     bool           // an earlier owner may have executed it
	attempts       int
	outstanding    bool // an attempt is in progress
	sent           bool // the attempt in progress may have left the node
	finished       bool
}

// executionKey returns the key by which HandoffCluster.Executions counts the executions of the request.
func (r *nodeRequest) executionKey() string {
	if r.key != "" {
		return r.key
	}
	return r.id
}

// unsentOutcome returns the outcome of a request whose current attempt is not sent.
func (r *nodeRequest) unsentOutcome() handoff.Outcome {
	if r.mayHaveRun {
		return handoff.Failed
	}
	return handoff.Rejected
}

// receiveRequest passes a client's request to the node's handoff manager.
func (c *HandoffCluster) receiveRequest(nodeIndex int, clientRequest *ClientRequest) {
	data := handoff.RequestData{ID: clientRequest.ID, IdempotencyKey: clientRequest.IdempotencyKey,
		Class: clientRequest.Class, Body: []byte("select")}
	copied := &handoff.Copy{RequestData: data, Deadline: c.LocalTime(nodeIndex) + requestDeadlineMS}
	c.HandoffNodes[nodeIndex].waiting[clientRequest.ID] = &nodeRequest{
		id:       clientRequest.ID,
		key:      clientRequest.IdempotencyKey,
		class:    clientRequest.Class,
		deadline: copied.Deadline,
		client:   clientRequest,
	}
	c.stepHandoff(nodeIndex, &handoff.Event{Kind: handoff.RequestArriving, ID: clientRequest.ID, Copy: copied})
}

// startWaitingRequest starts a request that was waiting for its admission, if the request is still there.
func (c *HandoffCluster) startWaitingRequest(nodeIndex int, id string, mayHaveRun bool) {
	if request := c.HandoffNodes[nodeIndex].waiting[id]; request != nil {
		c.startRequest(nodeIndex, request, mayHaveRun)
	}
}

// startRequest opens a request and schedules its first attempt. A request that may have been executed already and is
// not safe to repeat fails at once.
func (c *HandoffCluster) startRequest(nodeIndex int, request *nodeRequest, mayHaveRun bool) {
	handoffNode := c.HandoffNodes[nodeIndex]
	delete(handoffNode.waiting, request.id)
	handoffNode.open[request.id] = request
	request.mayHaveRun = mayHaveRun
	repeatable := request.class != nonIdempotentClass && c.DedupWindowMS != 0
	if mayHaveRun && !repeatable {
		c.finishRequest(nodeIndex, request, handoff.Failed)
		return
	}
	c.after(maxQueueMS*c.random.Float64(), nodeIndex, func() {
		if handoffNode.open[request.id] == request && !request.finished {
			c.startAttempt(nodeIndex, request)
		}
	})
}

// startAttempt starts the next attempt of a request, unless the handoff manager holds or blocks it.
func (c *HandoffCluster) startAttempt(nodeIndex int, request *nodeRequest) {
	request.outstanding = true
	request.sent = false
	request.attempts++
	starting := &handoff.Event{Kind: handoff.AttemptStarting, ID: request.id, Attempt: request.attempts - 1, Zone: "z"}
	switch c.stepHandoff(nodeIndex, starting) {
	case handoff.HoldAttempt:
		c.unsent.recorded[request.executionKey()] = attemptRecord{nodeIndex, c.Now}
		permitted := &handoff.Event{Kind: handoff.AttemptPermitted, ID: request.id, Attempt: request.attempts - 1}
		c.stepHandoff(nodeIndex, permitted)
	case handoff.BlockAttempt, handoff.PostponeAttempt:
		request.outstanding = false
		request.attempts--
		c.finishRequest(nodeIndex, request, request.unsentOutcome())
	default:
		c.releaseAttempt(nodeIndex, request)
	}
}

// releaseAttempt sends an attempt, at once or after a wait for a new connection.
func (c *HandoffCluster) releaseAttempt(nodeIndex int, request *nodeRequest) {
	c.unsent.released[request.executionKey()] = true
	if c.random.IntN(dialOneIn) > 0 {
		c.sendAttempt(nodeIndex, request)
		return
	}
	dialMS := maxDialMS * c.random.Float64()
	if request.class == keyedClass && c.stallAtDial(nodeIndex) {
		dialMS = 0
	}
	c.after(dialMS, nodeIndex, func() { c.sendAttempt(nodeIndex, request) })
}

// stallAtDial stalls a node whose attempt is about to wait for a new connection, and reports true, if a
// FaultStallAtDial is set there. The stall starts after the current event.
func (c *HandoffCluster) stallAtDial(nodeIndex int) bool {
	durationMS := c.HandoffNodes[nodeIndex].stallAtDialMS
	if durationMS == 0 {
		return false
	}
	c.HandoffNodes[nodeIndex].stallAtDialMS = 0
	c.Schedule(c.Now, func() { c.Stall(nodeIndex, durationMS) })
	return true
}

// sendAttempt checks the lease immediately before the attempt leaves the node, and simulates the execution.
func (c *HandoffCluster) sendAttempt(nodeIndex int, request *nodeRequest) {
	if !request.outstanding || request.sent || request.finished {
		return
	}
	request.sent = true
	if !c.leaseHeld(nodeIndex) {
		c.endAttempt(nodeIndex, request, true)
		c.finishRequest(nodeIndex, request, request.unsentOutcome())
		return
	}
	c.unsent.sent[request.executionKey()] = true
	if request.client == nil && request.class == nonIdempotentClass {
		c.Violations = append(c.Violations,
			newViolation(SentWithoutClient, "node %d sent request %s of a lost owner", nodeIndex, request.id))
	}
	executionMS := minExecutionMS + executionSpreadMS*math.Pow(c.random.Float64(), 3)
	if c.random.IntN(longExecutionOneIn) == 0 {
		executionMS = longExecutionMS
	}
	c.Schedule(c.Now+1+3*c.random.Float64(), func() { c.execute(request) })
	c.after(5+executionMS, nodeIndex, func() {
		if c.HandoffNodes[nodeIndex].open[request.id] == request && !request.finished {
			c.endAttempt(nodeIndex, request, false)
			c.finishRequest(nodeIndex, request, handoff.Succeeded)
		}
	})
}

// endAttempt reports the end of a request's current attempt to the handoff manager.
func (c *HandoffCluster) endAttempt(nodeIndex int, request *nodeRequest, neverRan bool) {
	request.outstanding = false
	c.stepHandoff(nodeIndex, &handoff.Event{
		Kind: handoff.AttemptEnded, ID: request.id, Attempt: request.attempts - 1, NeverRan: neverRan,
	})
}

// execute counts an execution of a request, unless the executor drops the request as a duplicate.
func (c *HandoffCluster) execute(request *nodeRequest) {
	key := request.executionKey()
	if at, ran := c.lastExecution[key]; ran && c.Now < at+c.DedupWindowMS {
		return
	}
	c.lastExecution[key] = c.Now
	c.Executions[key]++
}

// finishRequest ends a request with an outcome. It answers the client unless the handoff manager withholds the
// answer, with a failure if the manager replaces it.
func (c *HandoffCluster) finishRequest(nodeIndex int, request *nodeRequest, outcome handoff.Outcome) {
	if request.finished {
		return
	}
	request.finished = true
	ending := &handoff.Event{Kind: handoff.RequestEnding, ID: request.id, Outcome: outcome, Answer: []byte("rows")}
	switch c.stepHandoff(nodeIndex, ending) {
	case handoff.WithholdAnswer:
	case handoff.FailAnswer:
		delete(c.HandoffNodes[nodeIndex].open, request.id)
		c.answerClient(request, handoff.Failed)
	default:
		delete(c.HandoffNodes[nodeIndex].open, request.id)
		c.answerClient(request, outcome)
	}
	c.stepHandoff(nodeIndex, &handoff.Event{
		Kind: handoff.RequestClosed, ID: request.id, Outcome: outcome, Answer: []byte("rows"),
	})
}
