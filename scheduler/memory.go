package scheduler

// Memory grants: how much memory a request may use on its executor. Too little makes it spill, which costs
// far more work than memory left unused, so grants start above the estimate and grow with reports of
// spilling.

import (
	"cmp"
)

const (
	spillMemoryFactor   = 1.3 // memory granted for each MB that a spilling request turned out to need
	initialMemoryFactor = 1.5 // memory granted for each MB estimated, before anything is known
)

// memoryGrant returns the memory that a request gets on an executor. Executors that grant memory themselves
// go by the estimate.
func (s *Scheduler) memoryGrant(r *request, e *executor) float64 {
	wanted := r.memoryMB * cmp.Or(r.memoryShare, 1)
	if s.settings.HonorsGrants {
		wanted *= s.classes[r.class].memoryFactor
	}
	return min(wanted, e.memoryMB*s.settings.LargestShare)
}

// learnSpilling raises the grants of a class after a request of it has reported the memory that it lacks.
func (c *classState) learnSpilling(r *request, a *attempt, lackingMB float64) {
	if r.memoryMB <= 0 {
		return
	}
	needed := (a.grantMB + lackingMB) / r.memoryMB * spillMemoryFactor
	c.memoryFactor = max(c.memoryFactor, c.memoryFactor+smoothing*(needed-c.memoryFactor))
}
