package scheduler

import "math"

const (
	coldMargin = 0.9  // part of the cold budget that all use together: what is usual is learnt by each alone
	stepMS     = 5000 // ms by which a wall clock may have been stepped a little
	hourMS     = 36e5 // ms by which one may have been stepped that was set to another hour
	coldStarts = 2    // starts of each controller within the window that the budget outlasts
	coldChance = 0.6  // of what these may send, where chance decides who sends it: two deviations are left
	coldLarge  = 0.8  // part of that which a single request may take: the rest keeps warming it up
)

// startedAnew tells whether an entry tells of a start that this instance has not treated as cold yet. Wall
// clocks may have been stepped, so a start is told by another figure than before, or by an executor that
// joins, whatever the figure. Only where the list of this instance's own start brings it, its figure is all
// there is: what started long ago is warm.
func (g *Scheduler) startedAnew(n *Endpoint, e *executor, known bool, list ListKind) bool {
	switch {
	case n.StartedAt == 0 || known && n.StartedAt == e.upSince:
		return false
	case !known && list == ListRestored:
		return g.mayBeCold(g.now - n.StartedAt)
	}
	return true
}

// mayBeCold tells whether a start so long ago by the wall clocks may lie within the warm-up: they may have
// been stepped since, by some seconds or by an hour.
func (g *Scheduler) mayBeCold(age float64) bool {
	warm := g.settings.WarmupMS + stepMS
	return age < warm || age > hourMS-stepMS && age < hourMS+warm
}

// startOf is the clock before which attempts were an earlier process's: the start told, where that fits this
// machine's clock.
func (g *Scheduler) startOf(n *Endpoint) float64 {
	if age := g.now - n.StartedAt; age >= 0 && age <= g.settings.WarmupMS {
		return n.StartedAt
	}
	return g.now
}

// chill takes an executor as cold from now on: it fell silent and may have started anew, list or no list.
func (g *Scheduler) chill(x int) {
	e := &g.executors[x]
	e.coldUntil = g.now + g.settings.WarmupMS
	e.heard, e.busySince, e.bad, e.pace, e.missed, e.proven = g.now, g.now, 0, 1, false, false
	g.lost(x, e.asideAt, true)
}

// warmEnough tells whether a request fits this part of what a cold executor may be sent at its least
// capacity; it weighs what is usual. The parts of all controllers add up to the budget, whatever each sends.
func (g *Scheduler) warmEnough(o *offering, e *executor) bool {
	since := g.now - g.settings.CollapseWindowMS - beatMS
	e.coldSent.forget(since, 0)
	part := g.coldPart(e)
	if since < g.began { // what this one sent before it was started again is not known
		part = g.partAnew(o, e, part)
	}
	return e.coldSent.total()+o.usual <= part
}

// partAnew is what a controller just started may use of its part, so that all of them, started anew
// coldStarts times within the window, stay below a fall: a share of it, or, where that holds no request, all
// of it by chance.
func (g *Scheduler) partAnew(o *offering, e *executor, part float64) float64 {
	requests := g.coldBudget(e) / g.usualWork(o)
	slack := 2*math.Sqrt(requests) + 2
	if requests < 30 {
		slack = 3*math.Sqrt(requests) + 3
	}
	share := ((requests+slack)/(coldMargin*requests) - 1) / coldStarts
	if anew := part * min(1, share); anew >= o.usual {
		return anew
	}
	if g.odds(uint64(e.id)) < share*coldChance {
		return part
	}
	return 0
}

// coldBudget is the work, in ms, that a cold executor stands within the window at its least capacity.
func (g *Scheduler) coldBudget(e *executor) float64 {
	capacity := g.settings.ColdCapacity * e.cores
	return g.settings.CollapseMultiple * capacity * g.settings.CollapseWindowMS
}

// usualWork is the mean work of a request, in ms, over all that were taken; that of an offering where none
// were.
func (g *Scheduler) usualWork(o *offering) float64 {
	work, taken := 0.0, 0.0
	for k := range g.offerings {
		work, taken = work+g.offerings[k].usual*g.offerings[k].taken, taken+g.offerings[k].taken
	}
	if work <= 0 {
		return max(1, o.usual)
	}
	return work / taken
}

// coldPart is that part, in ms of work. Where an even one holds no request of the largest kind, about half
// of the budget is dealt in pieces for these, the rest in pieces for the smallest kind, each to one
// controller.
func (g *Scheduler) coldPart(e *executor) (part float64) {
	budget := coldMargin * g.coldBudget(e)
	n := max(1, float64(g.settings.Controllers))
	turn := math.Mod(float64(g.settings.Slot)+float64(e.id), n)
	least, most := math.Inf(1), 0.0
	for k := range g.offerings {
		if usual := g.offerings[k].usual; usual > 0 {
			least, most = min(least, usual), max(most, usual)
		}
	}
	if most <= budget/n {
		return budget / n
	}
	large, piece := max(1, min(n, math.Floor(budget/2/most))), min(most, coldLarge*budget)
	if turn < large {
		part = piece
	}
	budget -= large * piece
	if small := max(1, min(n, math.Floor(budget/least))); turn < small {
		part += budget / small
	}
	return part
}
