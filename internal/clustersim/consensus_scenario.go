package clustersim

import (
	"maps"
	"slices"
)

// ConsensusResult is what a history of a ConsensusCluster came to.
type ConsensusResult struct {
	Seed         uint64
	Faults       []Fault
	Violations   []Violation
	Operations   int
	DeclaredLost int
}

const (
	consensusHistoryMS  = 90_000.0
	convergenceTimeout  = 20_000.0 // of views at the end of a history: suspicions raised just before have to be settled, too
	convergenceStepMS   = 100.0
	consensusDuplicates = 0.02 // share of datagrams
)

// RunConsensus runs one history: a cluster of seven with three initial voters, under the given faults, or under those that the seed draws
// if they are nil. At its end all is made whole, and the views must converge.
func RunConsensus(seed uint64, faults []Fault) ConsensusResult {
	c := NewConsensusCluster(7, 3, seed)
	c.Network.Duplication = consensusDuplicates
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
	if c.RunUntilConverged(convergenceTimeout, convergenceStepMS) < 0 {
		c.Violations = append(c.Violations, violation(NotConverged, "the views are not equal %.0f ms after all is whole again", convergenceTimeout))
	}
	pending := slices.Collect(maps.Values(c.pending))
	if !Linearizable(c.Operations, pending) {
		c.Violations = append(c.Violations, violation(NotLinearizable, "the lease operations are not linearizable"))
	}
	return ConsensusResult{Seed: seed, Faults: faults, Violations: c.Violations, Operations: len(c.Operations), DeclaredLost: c.DeclaredLost}
}

// Shrink returns a history with as few faults as can be that still has violations.
func Shrink(result ConsensusResult) ConsensusResult {
	for {
		smaller, found := shrinkOnce(result)
		if !found {
			return result
		}
		result = smaller
	}
}

// shrinkOnce leaves out one fault.
func shrinkOnce(result ConsensusResult) (smaller ConsensusResult, found bool) {
	for k := range result.Faults {
		smaller = RunConsensus(result.Seed, slices.Delete(slices.Clone(result.Faults), k, k+1))
		if len(smaller.Violations) > 0 {
			return smaller, true
		}
	}
	return result, false
}
