package scheduler

import (
	"cmp"
	"math"
)

const (
	spillMemoryFactor   = 1.3 // memory granted for each MB that a spilling request turned out to need
	initialMemoryFactor = 1.5 // the same before anything is known: spilling costs far more than memory too much
)

func (s *Scheduler) memoryGrant(r *request, e *executor) float64 {
	wants := r.memoryMB * cmp.Or(r.memoryShare, 1) // executors that set the grants themselves go by the estimate
	if s.settings.HonorsGrants {
		wants *= s.classes[r.class].memoryFactor
	}
	return min(wants, e.memoryMB*s.settings.LargestShare)
}

// setResources names the memory and the level of s; what a deployment doesn't heed does no harm.
func (s *Scheduler) setResources(r *request) {
	s.emit(Action{Kind: SetResources, Request: r.id, Level: r.level, GrantMB: math.Ceil(r.lastAttempt().grantMB)})
}
