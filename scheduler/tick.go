package scheduler

import (
	"cmp"
	"math"
)

const (
	askMS   = 1000 // ms until a list out of reach is asked for again: longer than most calls take
	beatMS  = 20   // ms between looks at what runs: a fifth of a quantum
	stallMS = 100  // ms between beats from which this instance itself stood still: five beats
)

// beat looks at all that runs: levels, time left, executors under suspicion.
func (g *Scheduler) beat() {
	g.do(Action{Kind: SetTimer, AfterMS: beatMS})
	gap := g.now - cmp.Or(g.beatAt, g.now-beatMS)
	g.dirty, g.beatAt = true, g.now
	g.asks = min(asksSaved, g.asks+gap*asksPerMS)
	g.readOnset()
	if g.settings.SubscribesToList && g.now >= g.askAt {
		g.askAt = math.Inf(1)
		g.do(Action{Kind: Subscribe})
	}
	for i := range g.slab.places {
		s := &g.slab.places[i]
		switch {
		case !s.used || s.state == over:
		case g.now >= s.until-closingMS && !s.bound:
			g.request(i, hopeless)
		case s.state == running:
			g.age(s, s.last(), gap)
			if gap < stallMS && g.forgotten(s, s.last()) {
				g.request(i, doomed)
			}
		}
	}
	// After a stall of its own, signs of work may still stand in line behind this beat: nobody is judged.
	for x := 0; gap < stallMS && x < len(g.executors); x++ {
		g.watch(x)
	}
	g.endRests()
}
