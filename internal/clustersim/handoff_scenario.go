package clustersim

import (
	"fmt"
	"maps"
	"slices"

	"liftshift/internal/handoff"
)

const (
	handoffHistoryMS    = 40_000.0
	firstRequestMS      = 9000.0 // leaves the cluster time to form
	maxRequestSpacingMS = 100.0  // longest time between the starts of two clients
	// recoveryMS is added to the deduplication window at the end of a history. A partition without a quorum restarts from
	// empty once its keys have expired, which takes a window.
	recoveryMS         = 25_000.0
	hedgingClientOneIn = 8 // one client in this many sends hedged requests
	nonIdempotentOneIn = 3 // one client in this many sends a non-idempotent request
)

// HandoffScenario describes one history of a HandoffCluster.
type HandoffScenario struct {
	Seed          uint64
	DedupWindowMS float64 // see HandoffCluster
	Faults        []Fault // nil: drawn from the seed
	IgnoreLeases  bool    // see HandoffCluster
	SingleCopy    bool    // three nodes that keep one copy of each open request, in place of five that keep two
	SpacingMS     float64 // longest time between the starts of two clients; 0: maxRequestSpacingMS
}

// HandoffResult is the result of one history of a HandoffCluster. Keys counts the executed operations. Adopted and
// AdoptionClaims are summed over the counters of all nodes. The other numbers count requests.
type HandoffResult struct {
	Seed                                    uint64
	Faults                                  []Fault
	Violations                              []Violation
	Keys, Requests, Succeeded, Disconnected int
	Adopted, AdoptionClaims                 int
	UnsentFailures                          []UnsentFailure
}

// RunHandoff runs one history: nodes that keep copies of each other's open requests, clients that retry at other
// nodes, and faults. At the end it heals the network, starts all stopped nodes and checks the invariants.
func RunHandoff(scenario HandoffScenario) HandoffResult {
	nodes, copies := 5, 2
	if scenario.SingleCopy {
		nodes, copies = 3, 1
	}
	c := NewHandoffCluster(nodes, copies, scenario.Seed, scenario.DedupWindowMS)
	c.IgnoreLeases = scenario.IgnoreLeases
	c.Network.Duplication = 0
	if scenario.Faults == nil {
		scenario.Faults = c.drawFaults(handoffHistoryMS)
	}
	for k := range c.Nodes {
		c.Start(k)
	}
	spacingMS := scenario.SpacingMS
	if spacingMS == 0 {
		spacingMS = maxRequestSpacingMS
	}
	for at := firstRequestMS; at < handoffHistoryMS; at += spacingMS * c.random.Float64() {
		c.Schedule(at, c.startClient)
	}
	for _, fault := range scenario.Faults {
		c.RunUntil(fault.At)
		c.inject(fault)
	}
	c.RunUntil(handoffHistoryMS)
	c.inject(Fault{Kind: FaultHeal})
	for k, node := range c.Nodes {
		c.RunUntil(max(c.Now, node.stalledUntil))
		if !node.Up {
			c.Start(k)
		}
	}
	c.RunUntil(c.Now + recoveryMS + c.DedupWindowMS)
	return c.check(scenario)
}

// startClient starts a client with a new operation.
func (c *HandoffCluster) startClient() {
	operation := &clientOperation{
		class:  keyedClass,
		key:    fmt.Sprintf("m%d", c.requestCount),
		hedges: c.random.IntN(hedgingClientOneIn) == 0,
	}
	if c.random.IntN(nonIdempotentOneIn) == 0 {
		operation = &clientOperation{class: nonIdempotentClass}
	}
	c.sendToAnyNode(operation)
}

// check compares the answers that clients got with the executions, and checks the state of all nodes.
func (c *HandoffCluster) check(scenario HandoffScenario) HandoffResult {
	result := HandoffResult{
		Seed:       scenario.Seed,
		Faults:     scenario.Faults,
		Violations: c.Violations,
		Keys:       len(c.Executions),
		Requests:   len(c.Requests),
	}
	for _, key := range slices.Sorted(maps.Keys(c.Executions)) {
		if c.Executions[key] > 1 {
			result.addViolation(RanTwice, "key %s was executed %d times", key, c.Executions[key])
		}
	}
	for _, request := range c.Requests {
		result.checkAnswers(request, c.Executions[request.executionKey()])
		if failure, found := c.unsent.find(request); found {
			result.UnsentFailures = append(result.UnsentFailures, failure)
		}
	}
	for k, node := range c.HandoffNodes {
		result.checkNode(k, node.Manager)
	}
	return result
}

// addViolation adds a violation whose detail is formatted as by fmt.Sprintf.
func (r *HandoffResult) addViolation(kind ViolationKind, format string, args ...any) {
	r.Violations = append(r.Violations, newViolation(kind, format, args...))
}

// checkAnswers compares the answers to a request with the number of its executions.
func (r *HandoffResult) checkAnswers(request *ClientRequest, executions int) {
	if len(request.Answers) == 0 {
		if request.Disconnected {
			r.Disconnected++
		} else {
			r.addViolation(WithoutOutcome, "request %s (class %s, sent to node %d at %.0f ms) has no answer",
				request.ID, request.Class, request.Node, request.SentAt)
		}
		return
	}
	if len(request.Answers) > 1 {
		r.addViolation(ContradictoryAnswers, "request %s has more than one answer: %v", request.ID, request.Answers)
		return
	}
	switch request.Answers[0] {
	case handoff.Succeeded:
		r.Succeeded++
		if executions == 0 {
			r.addViolation(WrongOutcome, "request %s succeeded but was never executed", request.ID)
		}
	case handoff.Rejected:
		if request.Class == nonIdempotentClass && executions > 0 {
			r.addViolation(WrongOutcome, "non-idempotent request %s was rejected after it was executed", request.ID)
		}
	}
}

// checkNode checks that a node's counters add up and that it has no copies that no node has adopted.
func (r *HandoffResult) checkNode(nodeIndex int, manager *handoff.Manager) {
	counts := manager.Counts()
	r.Adopted += int(counts.AdoptionsStarted)
	r.AdoptionClaims += int(counts.AdoptionClaims)
	if counts.CopiesReceived != counts.Settled+counts.Adopted+counts.Failed+counts.Dropped+counts.Open {
		r.addViolation(InconsistentCounts, "the handoff counters of node %d do not add up: %+v", nodeIndex, counts)
	}
	for owner, copies := range manager.OrphanedRequests() {
		r.addViolation(WithoutOutcome, "node %d holds %d open copies from lost owner %s that no node has adopted",
			nodeIndex, copies, owner)
	}
}
