package scheduler

import "cmp"

// share is this controller's part of the traffic.
func (g *Scheduler) share() float64 { return g.traffic }

// reckonShare reckons this controller's share, and its part of each executor, anew.
func (g *Scheduler) reckonShare() {
	g.traffic = 1 / max(1, cmp.Or(g.present, float64(g.settings.Controllers)))
	for x := range g.executors {
		g.executors[x].part = partOf(g.traffic, g.executors[x].cores)
	}
}
