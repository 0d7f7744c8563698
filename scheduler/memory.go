package scheduler

import (
	"cmp"
	"math"
)

const (
	memorySpare = 1.3 // memory granted for each MB that a spilling request turned out to need
	memoryStart = 1.5 // the same before anything is known: spilling costs far more than memory too much
)

func (g *Scheduler) grant(s *request, e *executor) float64 {
	wants := s.need * cmp.Or(s.part, 1) // executors that set the grants themselves go by the estimate
	if g.settings.HonorsGrants {
		wants *= g.offerings[s.offering].memory
	}
	return min(wants, e.ram*g.settings.LargestShare)
}

// terms names the memory and the level of s; what a deployment doesn't heed does no harm.
func (g *Scheduler) terms(s *request) {
	g.do(Action{Kind: SetResources, Request: s.id, Level: s.level, GrantMB: math.Ceil(s.last().grant)})
}
