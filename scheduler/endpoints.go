package scheduler

func (g *Scheduler) list(ev *Event) {
	if ev.List == ListUnavailable {
		g.askAt, g.unheard = g.now+askMS, ev.Deadline
		g.deem(ev.PresumedAt)
		return
	}
	g.unheard, g.deemed = 0, g.deemed[:0]
	for x := range g.executors {
		if ev.List != ListDelta { // what a whole list leaves out is gone
			g.executors[x].standing = Removed
		}
	}
	for k := range ev.Endpoints {
		n := &ev.Endpoints[k]
		known := g.at(n.Executor) >= 0
		x := g.enter(n, executor{id: n.Executor, state: fit, pace: 1, proven: true})
		e := &g.executors[x]
		if g.startedAnew(n, e, known, ev.List) {
			g.judge(x, restarted)
			g.lost(x, g.startOf(n), true)
		}
		e.upSince, e.standing = n.StartedAt, n.Availability
	}
	for x := range g.executors {
		if g.executors[x].standing == Removed {
			g.lost(x, g.now, true)
		}
	}
	g.dirty = true
}
