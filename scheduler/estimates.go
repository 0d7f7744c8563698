package scheduler

const (
	fade   = 0.1  // weight of the newest figure in fading means
	learnt = 0.02 // weight of one answer's true cost: estimates are wrong by offering, and that stays
)

func (g *Scheduler) learn(s *request, o *offering, e *executor, h *attempt, ev *Event) {
	g.finished.add(g.now, h.ran)
	ratio := h.ran / max(1, s.work/float64(o.threads))
	o.slow += fade * (min(ratio, badPlan*o.slow+1) - o.slow)
	e.pace += fade * (min(ratio/max(o.slow, 0.1), badPlan) - e.pace)
	if ev.CostMS > 0 && s.estimate > 0 {
		o.worked += learnt * (min(ev.CostMS, badPlan*s.work) - o.worked)
		o.estimated += learnt * (s.estimate - o.estimated)
	}
}
