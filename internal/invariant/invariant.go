// Package invariant checks claims that must hold at run time. Built with the tag debug, a violated claim panics; without it, the
// violation is counted under the claim's text and the program goes on. The package knows nothing of who checks.
package invariant

import (
	"maps"
	"sync"
)

var (
	violationsMu sync.Mutex
	violations   = map[string]uint64{}
)

// Check returns whether a claim holds. If it does not, it panics or counts the violation, as the build says.
func Check(holds bool, claim string) bool {
	if !holds {
		fail(claim)
	}
	return holds
}

// Violations returns how often each violated claim did not hold.
func Violations() map[string]uint64 {
	violationsMu.Lock()
	defer violationsMu.Unlock()
	return maps.Clone(violations)
}

func count(claim string) {
	violationsMu.Lock()
	violations[claim]++
	violationsMu.Unlock()
}
