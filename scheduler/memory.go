package scheduler

// Memory grants limit how much memory a request may use on its executor. A request with too little memory spills to
// disk, which costs far more than leaving memory unused. Grants therefore start above the estimate and grow with
// reports of spilling.

import (
	"cmp"
)

const (
	spillMemoryFactor   = 1.3 // memory granted for each MB that a spilling request has turned out to need
	initialMemoryFactor = 1.5 // memory granted for each estimated MB of a class that has not spilled yet
)

// memoryGrant returns the memory in MB that a request is granted on an executor. Executors that don't keep to grants
// use the client's estimate, so that is what counts for them.
func (s *Scheduler) memoryGrant(r *request, e *executor) float64 {
	wanted := r.memoryMB * cmp.Or(r.memoryShare, 1)
	if s.settings.HonorsGrants {
		wanted *= s.classes[r.class].memoryFactor
	}
	return min(wanted, e.memoryMB*s.settings.MaxGrantShare)
}

// recordSpilling raises the memory factor of a class after a request of the class has reported that it spills and how
// much memory it lacks.
func (c *classState) recordSpilling(r *request, a *attempt, lackingMB float64) {
	if r.memoryMB <= 0 {
		return
	}
	needed := (a.grantMB + lackingMB) / r.memoryMB * spillMemoryFactor
	c.memoryFactor = max(c.memoryFactor, c.memoryFactor+smoothingFactor*(needed-c.memoryFactor))
}
