package scheduler

// Service-time estimates: what requests of a class cost, how much longer they run than their work says, and
// how slow an executor is against the others. Each is a fading mean. A single figure far off moves it no more
// than a bad plan would.

import "cmp"

const (
	smoothing     = 0.1  // weight of the newest figure
	costSmoothing = 0.02 // the same for costs: a class's estimates stay wrong in the same way
	restoredRuns  = 64   // running times taken over through a restart: three times what the decay onset needs
)

func (c *classState) expectedWorkMS(estimateMS float64) float64 {
	if c.estimatedWorkMS > 0 {
		estimateMS *= c.actualWorkMS / c.estimatedWorkMS
	}
	return cmp.Or(max(0, estimateMS), c.usualWorkMS, 1)
}

func (c *classState) learnArrival(workMS float64) {
	c.arrivals++
	c.usualWorkMS += max(costSmoothing, 1/c.arrivals) * (workMS - c.usualWorkMS)
}

func (s *Scheduler) learnFromAnswer(r *request, class *classState, e *executor, a *attempt, ev *Event) {
	s.finishedRuns.add(s.now, a.ranMS)
	slowdown := a.ranMS / max(1, class.minRunMS(r))
	class.slowdown += smoothing * (min(slowdown, badPlanFactor*class.slowdown+1) - class.slowdown)
	e.slowdown += smoothing * (min(slowdown/max(class.slowdown, 0.1), badPlanFactor) - e.slowdown)
	if ev.CostMS > 0 && r.estimateMS > 0 {
		class.actualWorkMS += costSmoothing * (min(ev.CostMS, badPlanFactor*r.workMS) - class.actualWorkMS)
		class.estimatedWorkMS += costSmoothing * (r.estimateMS - class.estimatedWorkMS)
	}
}
