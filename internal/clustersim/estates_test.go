package clustersim

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Without faults all is handled once, whoever is asked, and nothing waits for a quorum that is not there.
func TestEstatesQuiet(t *testing.T) {
	o := PlayEstates(1, 20_000, []Fault{}, false)
	assert.Empty(t, o.Broken)
	t.Logf("%+v", o)
	require.Greater(t, o.Handled, 500)
}

// Histories with kills, stalls, cuts and loss: no mark runs twice, with engines that drop repeats for long, for less than a stall takes,
// or not at all; each search has one answer; what a lost one left is gone on with.
func TestEstateHistories(t *testing.T) {
	asked, handled, adopted := 0, 0, 0
	for seed := range uint64(10) {
		for _, window := range []float64{0, 6000, 20_000} {
			o := PlayEstates(seed, window, nil, false)
			assert.Empty(t, o.Broken, "seed %d, window %.0f: %v", seed, window, o.Faults)
			asked, handled, adopted = asked+o.Asked, handled+o.Handled, adopted+o.Adopted
		}
	}
	t.Logf("asked %d handled %d adopted %d", asked, handled, adopted)
	assert.Greater(t, adopted, 50, "there was something to take over")
}

// Two controllers stand still for longer than engines drop repeats, and wake up with shots on their way to a socket. Leases keep those
// from leaving. Where leases are not looked at, the same check finds marks that ran twice: it can see them.
func TestEstateSleepers(t *testing.T) {
	twice := map[bool]int{}
	for seed := range uint64(20) {
		faults := []Fault{{At: 12_000 + 40*float64(seed), Kind: "stall", Node: 4, MS: 24_000}, {At: 14_000, Kind: "stall", Node: 3, MS: 24_000}}
		for _, lawless := range []bool{false, true} {
			for _, b := range PlayEstates(seed, 10_000, faults, lawless).Broken {
				if strings.Contains(b, "times") {
					twice[lawless]++
				}
			}
		}
	}
	assert.Zero(t, twice[false])
	assert.NotZero(t, twice[true])
	t.Logf("ran twice without leases: %d", twice[true])
}
