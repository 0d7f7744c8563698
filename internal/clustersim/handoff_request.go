package clustersim

import (
	"math"

	"liftshift/internal/handoff"
)

// The simulated executors and connections. Times are in milliseconds.
const (
	queueTime         = 20.0  // the longest between the admission and the attempt
	dialTime          = 250.0 // the longest of an attempt that waits for a new connection: one in dialShare
	dialShare         = 3
	minExecutionTime  = 5.0
	executionSpread   = 300.0 // most executions are short
	longExecutionTime = 2500.0
	longShare         = 20 // one execution in so many is long
)

// request is one request at a node.
type request struct {
	id, key, class string
	deadline       float64        // by the node's clock
	client         *ClientRequest // nil: adopted
	mayHaveRun     bool           // at a former owner
	attempts       int
	outstanding    bool // an attempt is under way
	sent           bool // it may have left the node
	finished       bool
}

// unsentOutcome is the outcome of a request whose attempt must not leave.
func (r *request) unsentOutcome() handoff.Outcome {
	if r.mayHaveRun {
		return handoff.Failed
	}
	return handoff.Rejected
}

// receiveRequest hands a client's request to the node's manager.
func (c *HandoffCluster) receiveRequest(k int, sent *ClientRequest) {
	data := handoff.RequestData{ID: sent.ID, IdempotencyKey: sent.IdempotencyKey, Class: sent.Class, Body: []byte("select")}
	copied := &handoff.Copy{RequestData: data, Deadline: c.LocalTime(k) + requestDeadlineMS}
	c.HandoffNodes[k].waiting[sent.ID] = &request{id: sent.ID, key: sent.IdempotencyKey, class: sent.Class, deadline: copied.Deadline, client: sent}
	c.stepHandoff(k, &handoff.Event{Kind: handoff.RequestArriving, ID: sent.ID, Copy: copied})
}

func (c *HandoffCluster) startWaiting(k int, id string, mayHaveRun bool) {
	if r := c.HandoffNodes[k].waiting[id]; r != nil {
		c.startRequest(k, r, mayHaveRun)
	}
}

// startRequest opens a request and has its first attempt start soon. One that may have run and can't be repeated fails.
func (c *HandoffCluster) startRequest(k int, r *request, mayHaveRun bool) {
	own := c.HandoffNodes[k]
	delete(own.waiting, r.id)
	own.open[r.id] = r
	r.mayHaveRun = mayHaveRun
	repeatable := r.class != nonIdempotentClass && c.DedupWindowMS != 0
	if mayHaveRun && !repeatable {
		c.finishRequest(k, r, handoff.Failed)
		return
	}
	c.after(queueTime*c.random.Float64(), k, func() {
		if own.open[r.id] == r && !r.finished {
			c.startAttempt(k, r)
		}
	})
}

func (c *HandoffCluster) startAttempt(k int, r *request) {
	r.outstanding = true
	r.sent = false
	r.attempts++
	switch c.stepHandoff(k, &handoff.Event{Kind: handoff.AttemptStarting, ID: r.id, Attempt: r.attempts - 1, Zone: "z"}) {
	case handoff.HoldAttempt:
	case handoff.BlockAttempt:
		r.outstanding = false
		r.attempts--
		c.finishRequest(k, r, r.unsentOutcome())
	default:
		c.releaseAttempt(k, r)
	}
}

// releaseAttempt sends an attempt; some wait for a new connection.
func (c *HandoffCluster) releaseAttempt(k int, r *request) {
	if c.random.IntN(dialShare) > 0 {
		c.sendAttempt(k, r)
		return
	}
	c.after(dialTime*c.random.Float64(), k, func() { c.sendAttempt(k, r) })
}

// sendAttempt looks at the lease at the last step before anything leaves, and has the attempt run.
func (c *HandoffCluster) sendAttempt(k int, r *request) {
	if !r.outstanding || r.sent || r.finished {
		return
	}
	r.sent = true
	if !c.leaseHeld(k) {
		c.endAttempt(k, r, true)
		c.finishRequest(k, r, r.unsentOutcome())
		return
	}
	executionTime := minExecutionTime + executionSpread*math.Pow(c.random.Float64(), 3)
	if c.random.IntN(longShare) == 0 {
		executionTime = longExecutionTime
	}
	c.Schedule(c.Now+1+3*c.random.Float64(), func() { c.execute(r) })
	c.after(5+executionTime, k, func() {
		if c.HandoffNodes[k].open[r.id] == r && !r.finished {
			c.endAttempt(k, r, false)
			c.finishRequest(k, r, handoff.Succeeded)
		}
	})
}

func (c *HandoffCluster) endAttempt(k int, r *request, neverRan bool) {
	r.outstanding = false
	c.stepHandoff(k, &handoff.Event{Kind: handoff.AttemptEnded, ID: r.id, Attempt: r.attempts - 1, NeverRan: neverRan})
}

// execute runs a request at an executor, unless that drops it as a repeat.
func (c *HandoffCluster) execute(r *request) {
	key := r.key
	if key == "" {
		key = r.id
	}
	if at, ran := c.lastRun[key]; ran && c.Now < at+c.DedupWindowMS {
		return
	}
	c.lastRun[key] = c.Now
	c.Runs[key]++
}

// finishRequest answers a request, or withholds the answer as the manager wants it.
func (c *HandoffCluster) finishRequest(k int, r *request, outcome handoff.Outcome) {
	if r.finished {
		return
	}
	r.finished = true
	ending := &handoff.Event{Kind: handoff.RequestEnding, ID: r.id, Outcome: outcome, Answer: []byte("rows")}
	if c.stepHandoff(k, ending) != handoff.WithholdAnswer {
		delete(c.HandoffNodes[k].open, r.id)
		c.answerClient(r, outcome)
	}
	c.stepHandoff(k, &handoff.Event{Kind: handoff.RequestClosed, ID: r.id, Outcome: outcome, Answer: []byte("rows")})
}
