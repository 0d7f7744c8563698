package clustersim

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// successorsStalledBeforeKills returns faults that stall all other nodes at once before a node is killed.
func successorsStalledBeforeKills(seed uint64, nodes int) (faults []Fault) {
	random := rand.New(rand.NewPCG(seed, 3))
	for at := 12_000.0; at < 35_000; at += 8000 {
		killed := random.IntN(nodes)
		stalledAt := at - 60 - 200*random.Float64()
		for k := range nodes {
			if k != killed {
				faults = append(faults, Fault{At: stalledAt, Kind: FaultStall, Node: k, DurationMS: 300 + 500*random.Float64()})
			}
		}
		faults = append(faults, Fault{At: at, Kind: FaultKill, Node: killed},
			Fault{At: at + 5000, Kind: FaultStart, Node: killed})
	}
	return faults
}

// recordTransitMS is the time within which a record reaches a replica that may still store it, and the acknowledgement
// of that replica reaches the owner.
const recordTransitMS = 40

// A request that no node has sent may fail only if its owner is lost while an attempt waits for the replicas'
// acknowledgements, or, once it is released, for a connection. With a single copy the acknowledgement of one other node
// releases it, so that the first wait is short however long the other nodes are stalled.
func TestRunHandoff_FailsUnsentOnlyIfOwnerIsLostInAttempt(t *testing.T) {
	requests, adopted, released := 0, 0, 0
	for seed := range uint64(4) {
		faults := successorsStalledBeforeKills(seed, 3)
		result := RunHandoff(HandoffScenario{Seed: seed, Faults: faults, SingleCopy: true, SpacingMS: 10})
		assert.Empty(t, result.Violations, "seed %d, faults %v", seed, faults)
		for _, failure := range result.UnsentFailures {
			if failure.Released {
				released++
				continue
			}
			assert.LessOrEqual(t, failure.OwnerUpMS, float64(recordTransitMS),
				"seed %d, faults %v: request %s failed unsent", seed, faults, failure.Request)
		}
		requests += result.Requests
		adopted += result.Adopted
	}
	t.Logf("requests %d adopted %d, failed while a released attempt waited for a connection: %d",
		requests, adopted, released)
	assert.Greater(t, adopted, 50, "too few requests adopted to test the invariants")
}
