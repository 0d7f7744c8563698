// Package invariant checks at run time that invariants hold. Built with the tag debug, a violation panics. Without the
// tag, violations are counted by the description of the invariant and the program goes on.
package invariant

import (
	"maps"
	"sync"
)

var (
	violationsMu sync.Mutex
	violations   = map[string]uint64{}
)

// Check returns whether an invariant holds. If it does not, Check panics or counts the violation, depending on the
// build.
func Check(holds bool, description string) bool {
	if !holds {
		reportViolation(description)
	}
	return holds
}

// Violations returns the number of violations by the description of the invariant. Invariants that always held are left
// out.
func Violations() map[string]uint64 {
	violationsMu.Lock()
	defer violationsMu.Unlock()
	return maps.Clone(violations)
}

// countViolation adds one violation of an invariant.
func countViolation(description string) {
	violationsMu.Lock()
	violations[description]++
	violationsMu.Unlock()
}
