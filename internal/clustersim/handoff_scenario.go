package clustersim

import (
	"fmt"
	"maps"
	"slices"

	"liftshift/internal/handoff"
)

const (
	handoffHistoryMS = 40_000.0
	firstRequestMS   = 9000.0   // the cluster has formed by then
	requestSpacingMS = 100.0    // the longest between two requests
	recoveryMS       = 25_000.0 // at the end: a partition without a quorum begins anew once its keys are past, a window later
	impatientShare   = 8        // one client in so many
	unkeyedShare     = 3
)

// HandoffScenario is what a history of a HandoffCluster is made of.
type HandoffScenario struct {
	Seed          uint64
	DedupWindowMS float64
	Faults        []Fault // nil: those that the seed draws
	IgnoreLeases  bool
}

// HandoffResult is what a history of a HandoffCluster came to.
type HandoffResult struct {
	Seed                                    uint64
	Faults                                  []Fault
	Violations                              []Violation
	Keys, Requests, Succeeded, Disconnected int
	Adopted, AdoptionClaims                 int
}

// RunHandoff runs one history: five nodes that keep two copies, clients that retry elsewhere, and faults. At its end all is made whole.
func RunHandoff(s HandoffScenario) HandoffResult {
	c := NewHandoffCluster(5, 2, s.Seed, s.DedupWindowMS)
	c.IgnoreLeases = s.IgnoreLeases
	c.Network.Duplication = 0
	if s.Faults == nil {
		s.Faults = c.drawFaults(handoffHistoryMS)
	}
	for k := range c.Nodes {
		c.Start(k)
	}
	for at := firstRequestMS; at < handoffHistoryMS; at += requestSpacingMS * c.random.Float64() {
		c.Schedule(at, c.startClient)
	}
	for _, fault := range s.Faults {
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
	return c.check(s)
}

// startClient has a client come with an operation of its own.
func (c *HandoffCluster) startClient() {
	o := &clientOperation{class: keyedClass, key: fmt.Sprintf("m%d", c.requestCount), impatient: c.random.IntN(impatientShare) == 0}
	if c.random.IntN(unkeyedShare) == 0 {
		o = &clientOperation{class: nonIdempotentClass}
	}
	c.sendToAnyNode(o)
}

// check compares what clients were answered with what ran.
func (c *HandoffCluster) check(s HandoffScenario) HandoffResult {
	result := HandoffResult{Seed: s.Seed, Faults: s.Faults, Violations: c.Violations, Keys: len(c.Runs), Requests: len(c.Requests)}
	for _, key := range slices.Sorted(maps.Keys(c.Runs)) {
		if c.Runs[key] > 1 {
			result.add(RanTwice, "%s ran %d times", key, c.Runs[key])
		}
	}
	for _, r := range c.Requests {
		result.checkAnswers(r, c.Runs[r.runKey()])
	}
	for k, node := range c.HandoffNodes {
		result.checkNode(k, node.Manager)
	}
	return result
}

func (r *HandoffResult) add(kind ViolationKind, format string, args ...any) {
	r.Violations = append(r.Violations, violation(kind, format, args...))
}

// checkAnswers compares the answers to a request with how often it ran.
func (r *HandoffResult) checkAnswers(q *ClientRequest, runs int) {
	if len(q.Answers) == 0 {
		if q.Disconnected {
			r.Disconnected++
		} else {
			r.add(WithoutOutcome, "%s (%s at %d since %.0f) has no answer", q.ID, q.Class, q.Node, q.SentAt)
		}
		return
	}
	if len(q.Answers) > 1 {
		r.add(ContradictoryAnswers, "%s has two answers: %v", q.ID, q.Answers)
		return
	}
	switch q.Answers[0] {
	case handoff.Succeeded:
		r.Succeeded++
		if runs == 0 {
			r.add(WrongOutcome, "%s succeeded and never ran", q.ID)
		}
	case handoff.Rejected:
		if q.Class == nonIdempotentClass && runs > 0 {
			r.add(WrongOutcome, "%s is rejected, ran, and may not run again", q.ID)
		}
	}
}

// checkNode looks at a node's counters, and for copies that nobody has adopted.
func (r *HandoffResult) checkNode(k int, manager *handoff.Manager) {
	counts := manager.Counts()
	r.Adopted += int(counts.AdoptionsStarted)
	r.AdoptionClaims += int(counts.AdoptionClaims)
	if counts.CopiesReceived != counts.Settled+counts.Adopted+counts.Failed+counts.Dropped+counts.Open {
		r.add(InconsistentCounts, "the counts of %d do not add up: %+v", k, counts)
	}
	for name, n := range manager.OrphanedRequests() {
		r.add(WithoutOutcome, "%d copies of %s are open at %d, and nobody has adopted them", n, name, k)
	}
}
