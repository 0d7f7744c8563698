// Package invariant watches what must hold. Built with the tag debug, a broken claim stops the program; without it,
// the claim is counted under its name and the program goes on.
package invariant

import (
	"maps"
	"sync"
)

var (
	mu     sync.Mutex
	broken = map[string]uint64{}
)

// Check tells whether a claim holds, and sees to it if it does not.
func Check(holds bool, claim string) bool {
	if !holds {
		fail(claim)
	}
	return holds
}

// Violations gives the claims that did not hold, with how often.
func Violations() map[string]uint64 {
	mu.Lock()
	defer mu.Unlock()
	return maps.Clone(broken)
}

func count(claim string) {
	mu.Lock()
	broken[claim]++
	mu.Unlock()
}
