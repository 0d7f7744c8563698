package clustersim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Without faults requests must succeed exactly once at any node, and none may wait for a quorum in vain.
func TestRunHandoff_SucceedsWithoutFaults(t *testing.T) {
	result := RunHandoff(HandoffScenario{Seed: 1, DedupWindowMS: 20_000, Faults: []Fault{}})
	assert.Empty(t, result.Violations)
	t.Logf("%+v", result)
	require.Greater(t, result.Succeeded, 500, "too few requests succeeded without faults")
}

// Under kills, stalls, partitions and message loss, no key may be executed twice, each request must have one answer,
// and the requests of a lost node must be adopted. This must hold for executors without deduplication, with a window
// shorter than stalls, and with a long window.
func TestRunHandoff_HoldsInvariantsUnderFaults(t *testing.T) {
	requests, succeeded, adopted := 0, 0, 0
	for seed := range uint64(10) {
		for _, window := range []float64{0, 6000, 20_000} {
			result := RunHandoff(HandoffScenario{Seed: seed, DedupWindowMS: window})
			assert.Empty(t, result.Violations, "seed %d, deduplication window %.0f ms, faults %v", seed, window, result.Faults)
			requests += result.Requests
			succeeded += result.Succeeded
			adopted += result.Adopted
		}
	}
	t.Logf("requests %d succeeded %d adopted %d", requests, succeeded, adopted)
	assert.Greater(t, adopted, 50, "too few requests adopted to test the invariants")
}

// Leases must stop controllers that stall for longer than the deduplication window from sending the attempts that
// they had in progress. With leases ignored, the same histories must have keys that were executed twice, which shows
// that the check detects them.
func TestRunHandoff_LeasesStopStalledOwners(t *testing.T) {
	ranTwice := map[bool]int{}
	for seed := range uint64(20) {
		faults := []Fault{
			{At: 12_000 + 40*float64(seed), Kind: FaultStall, Node: 4, DurationMS: 24_000},
			{At: 14_000, Kind: FaultStall, Node: 3, DurationMS: 24_000},
		}
		for _, ignoreLeases := range []bool{false, true} {
			result := RunHandoff(HandoffScenario{
				Seed: seed, DedupWindowMS: 10_000, Faults: faults, IgnoreLeases: ignoreLeases,
			})
			for _, violation := range result.Violations {
				if violation.Kind == RanTwice {
					ranTwice[ignoreLeases]++
				}
			}
		}
	}
	assert.Zero(t, ranTwice[false], "keys executed twice with leases")
	assert.NotZero(t, ranTwice[true], "keys executed twice with leases ignored")
	t.Logf("executed twice with leases ignored: %d", ranTwice[true])
}
