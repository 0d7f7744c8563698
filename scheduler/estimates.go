package scheduler

// Service-time estimates: the work of a request of a class, the running time of a class relative to its work, and the
// slowdown of an executor relative to the others. Each is an exponentially weighted moving average. New running times
// and costs are limited to badPlanFactor times what is expected, so that a single outlier has little influence.

import "cmp"

const (
	smoothingFactor     = 0.1  // weight of the newest value in a moving average
	costSmoothingFactor = 0.02 // weight of the newest cost or work: the estimates of a class are wrong in a stable way
	maxRestoredRuns     = 64   // running times kept across a restart: three times what the decay onset needs
)

// expectedWorkMS returns the expected work of a request: the client's estimate, corrected by the ratio of actual to
// estimated work of the class. Without an estimate it is the mean work of the class.
func (c *classState) expectedWorkMS(estimateMS float64) float64 {
	if c.estimatedWorkMS > 0 {
		estimateMS *= c.actualWorkMS / c.estimatedWorkMS
	}
	return cmp.Or(max(0, estimateMS), c.meanWorkMS, 1)
}

// recordArrival updates the mean work of a class with the work of a new request. The first arrivals are weighted
// equally.
func (c *classState) recordArrival(workMS float64) {
	c.workSamples++
	c.meanWorkMS += max(costSmoothingFactor, 1/c.workSamples) * (workMS - c.meanWorkMS)
}

// updateEstimates updates the estimates of a class and an executor with the running time and cost of an attempt that
// succeeded.
func (s *Scheduler) updateEstimates(r *request, class *classState, e *executor, a *attempt, ev *Event) {
	s.finishedRuns.add(s.now, a.runningMS)
	slowdown := a.runningMS / max(1, class.minRunMS(r))
	class.slowdown += smoothingFactor * (min(slowdown, badPlanFactor*class.slowdown+1) - class.slowdown)
	e.slowdown += smoothingFactor * (min(slowdown/max(class.slowdown, 0.1), badPlanFactor) - e.slowdown)
	if ev.CostMS > 0 && r.estimateMS > 0 {
		class.actualWorkMS += costSmoothingFactor * (min(ev.CostMS, badPlanFactor*r.workMS) - class.actualWorkMS)
		class.estimatedWorkMS += costSmoothingFactor * (r.estimateMS - class.estimatedWorkMS)
	}
}
