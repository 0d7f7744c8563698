package clustersim

import (
	"maps"
	"slices"
)

// ConsensusResult is the result of one history of a ConsensusCluster.
type ConsensusResult struct {
	Seed         uint64
	Faults       []Fault
	Violations   []Violation
	Operations   int // number of completed lease operations
	DeclaredLost int // number of incarnations that were declared lost
}

const (
	consensusHistoryMS   = 90_000.0
	convergenceTimeoutMS = 20_000.0 // at the end of a history; long enough to resolve suspicions raised just before it
	convergenceStepMS    = 100.0
	datagramDuplication  = 0.02 // probability that the network duplicates a datagram
)

// RunConsensus runs one history: a cluster of seven nodes with three initial voters under the given faults, or under
// faults drawn from the seed if they are nil. At the end it heals the network and the disks, and the membership views
// must converge.
func RunConsensus(seed uint64, faults []Fault) ConsensusResult {
	c := NewConsensusCluster(7, 3, seed)
	c.Network.Duplication = datagramDuplication
	if faults == nil {
		faults = c.drawFaults(consensusHistoryMS)
	}
	for k := range c.Nodes {
		c.Start(k)
	}
	for _, fault := range faults {
		c.RunUntil(fault.At)
		c.inject(fault)
	}
	c.RunUntil(consensusHistoryMS)
	c.inject(Fault{Kind: FaultHeal})
	for _, node := range c.Nodes {
		c.RunUntil(max(c.Now, node.stalledUntil))
	}
	if c.RunUntilConverged(convergenceTimeoutMS, convergenceStepMS) < 0 {
		c.Violations = append(c.Violations, newViolation(NotConverged,
			"the membership views have not converged %.0f ms after all faults were healed", convergenceTimeoutMS))
	}
	pending := slices.Collect(maps.Values(c.pendingDeclarations))
	if !Linearizable(c.Operations, pending) {
		c.Violations = append(c.Violations, newViolation(NotLinearizable, "the lease operations are not linearizable"))
	}
	return ConsensusResult{
		Seed:         seed,
		Faults:       faults,
		Violations:   c.Violations,
		Operations:   len(c.Operations),
		DeclaredLost: c.DeclaredLost,
	}
}

// Shrink removes faults from a history with violations, one at a time, until no further fault can be removed without
// losing the violations.
func Shrink(result ConsensusResult) ConsensusResult {
	for {
		smaller, found := shrinkOnce(result)
		if !found {
			return result
		}
		result = smaller
	}
}

// shrinkOnce looks for a single fault without which the history still has violations.
func shrinkOnce(result ConsensusResult) (smaller ConsensusResult, found bool) {
	for k := range result.Faults {
		smaller = RunConsensus(result.Seed, slices.Delete(slices.Clone(result.Faults), k, k+1))
		if len(smaller.Violations) > 0 {
			return smaller, true
		}
	}
	return result, false
}
