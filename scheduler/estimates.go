package scheduler

const (
	smoothing     = 0.1  // weight of the newest figure in fading means
	costSmoothing = 0.02 // weight of one answer's true cost: estimates are wrong by offering, and that stays
)

func (s *Scheduler) learnFromAnswer(r *request, class *classState, e *executor, a *attempt, ev *Event) {
	s.finishedRuns.add(s.now, a.ranMS)
	ratio := a.ranMS / max(1, r.workMS/float64(class.threads))
	class.slowdown += smoothing * (min(ratio, badPlanFactor*class.slowdown+1) - class.slowdown)
	e.slowdown += smoothing * (min(ratio/max(class.slowdown, 0.1), badPlanFactor) - e.slowdown)
	if ev.CostMS > 0 && r.estimateMS > 0 {
		class.actualWorkMS += costSmoothing * (min(ev.CostMS, badPlanFactor*r.workMS) - class.actualWorkMS)
		class.estimatedWorkMS += costSmoothing * (r.estimateMS - class.estimatedWorkMS)
	}
}
