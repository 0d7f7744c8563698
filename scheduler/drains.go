package scheduler

import (
	"math"
	"slices"
)

// mostDeemed is the room for clocks at which what the list owes counts as told: a few in each second that
// these count.
const mostDeemed = 32

// openUntil is the clock until which an executor surely may be sent something new. While the list is out of
// reach, a drain counts as told in its time all the same; what an executor took proves that it took new
// work.
func (g *Scheduler) openUntil(e *executor) float64 {
	if g.unheard <= 0 {
		return math.Inf(1)
	}
	told := g.settings.NotifiedWithinMS
	if told <= 0 {
		return math.Inf(1)
	}
	known := max(g.unheard, e.tookAt)
	by := known + told
	for _, at := range g.deemed {
		if at > known {
			by = min(by, at)
		}
	}
	return by + g.settings.DrainGraceMS - closingMS
}

// deem notes when what the list owes counts as told. One that passed so long ago that it closes nothing by
// itself is forgotten.
func (g *Scheduler) deem(at float64) {
	past := g.now - g.settings.NotifiedWithinMS
	g.deemed = slices.DeleteFunc(g.deemed, func(one float64) bool { return one < past })
	if at > 0 && len(g.deemed) < mostDeemed {
		g.deemed = append(g.deemed, at)
	}
}
