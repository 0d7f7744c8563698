package clustersim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Without faults all requests succeed once, whichever node is asked, and nothing waits for a quorum that is not there.
func TestRunHandoff_SucceedsWithoutFaults(t *testing.T) {
	result := RunHandoff(HandoffScenario{Seed: 1, DedupWindowMS: 20_000, Faults: []Fault{}})
	assert.Empty(t, result.Violations)
	t.Logf("%+v", result)
	require.Greater(t, result.Succeeded, 500)
}

// Histories with kills, stalls, partitions and loss: no key runs twice, with executors that drop repeats for long, for less than a stall
// takes, or not at all; each request has one answer; what a lost node left is adopted.
func TestRunHandoff_HoldsInvariantsUnderFaults(t *testing.T) {
	requests, succeeded, adopted := 0, 0, 0
	for seed := range uint64(10) {
		for _, window := range []float64{0, 6000, 20_000} {
			result := RunHandoff(HandoffScenario{Seed: seed, DedupWindowMS: window})
			assert.Empty(t, result.Violations, "seed %d, window %.0f: %v", seed, window, result.Faults)
			requests += result.Requests
			succeeded += result.Succeeded
			adopted += result.Adopted
		}
	}
	t.Logf("requests %d succeeded %d adopted %d", requests, succeeded, adopted)
	assert.Greater(t, adopted, 50, "there was something to take over")
}

// Two controllers stand still for longer than executors drop repeats, and wake up with attempts on their way to a socket. Leases keep those
// from leaving. Where leases are ignored, the same check finds keys that ran twice: it can see them.
func TestRunHandoff_LeasesStopStalledOwners(t *testing.T) {
	ranTwice := map[bool]int{}
	for seed := range uint64(20) {
		faults := []Fault{{At: 12_000 + 40*float64(seed), Kind: FaultStall, Node: 4, DurationMS: 24_000}, {At: 14_000, Kind: FaultStall, Node: 3, DurationMS: 24_000}}
		for _, ignoreLeases := range []bool{false, true} {
			result := RunHandoff(HandoffScenario{Seed: seed, DedupWindowMS: 10_000, Faults: faults, IgnoreLeases: ignoreLeases})
			for _, v := range result.Violations {
				if v.Kind == RanTwice {
					ranTwice[ignoreLeases]++
				}
			}
		}
	}
	assert.Zero(t, ranTwice[false])
	assert.NotZero(t, ranTwice[true])
	t.Logf("ran twice without leases: %d", ranTwice[true])
}
