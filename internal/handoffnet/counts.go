package handoffnet

import "liftshift/internal/handoff"

// Counts returns what the manager has counted, as of its last tick. It may be called from any goroutine.
func (t *Agent) Counts() handoff.Counts {
	if c := t.counts.Load(); c != nil {
		return *c
	}
	return handoff.Counts{}
}
