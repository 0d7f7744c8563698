package scheduler

import (
	"math"
	"strings"
)

const (
	keptRuns = 64 // running times kept through a restart: three times the least that tells an onset
)

// recall takes over what was known before a restart: it narrows sending, and saves learning.
func (g *Scheduler) recall(ev *Event) {
	g.recount(ev)
	for _, t := range ev.ExecutorStates {
		if x := g.at(t.Executor); x >= 0 {
			e := &g.executors[x]
			if t.Draining && e.standing == Active {
				e.standing = Draining
			}
			if t.WarmupUntil > max(g.now, e.coldUntil) {
				e.state, e.coldUntil, e.proven = chilled, t.WarmupUntil, false
			}
			if e.strikes = t.Ejections; t.Ejected {
				e.strikes--
				g.judge(x, silent)
			}
		}
	}
}

// facts names what is learnt of an offering, for Learnt and relearn.
var facts = []struct {
	name string
	of   func(*offering) *float64
}{
	{"usual", func(o *offering) *float64 { return &o.usual }},
	{"slow", func(o *offering) *float64 { return &o.slow }},
	{"memory", func(o *offering) *float64 { return &o.memory }},
	{"worked", func(o *offering) *float64 { return &o.worked }},
	{"estimated", func(o *offering) *float64 { return &o.estimated }},
}

// ranName is the name of a finished request's running time among figures: the onset is read from those.
const ranName = "ran"

// Estimates appends what this instance has learnt, the last running times oldest first.
func (g *Scheduler) Estimates(out []Estimate) []Estimate {
	for k := range g.offerings {
		for f := range facts {
			out = append(out, Estimate{g.offerings[k].name + "." + facts[f].name, *facts[f].of(&g.offerings[k])})
		}
	}
	ran := g.finished.live()
	for _, ms := range ran[max(0, len(ran)-keptRuns):] {
		out = append(out, Estimate{ranName, ms})
	}
	return out
}

// recount takes over the counts of the ration, and what Learnt gave; what can't be, is left out.
func (g *Scheduler) recount(ev *Event) {
	for _, at := range ev.Arrivals {
		g.takes.add(at, 1)
	}
	for _, at := range ev.Retries {
		g.extras.add(at, 1)
	}
	for _, f := range ev.Estimates {
		if !(f.Value > 0) || math.IsInf(f.Value, 0) {
			continue
		}
		if f.Name == ranName {
			g.finished.add(g.now, f.Value)
		}
		for k := range g.offerings {
			name, ok := strings.CutPrefix(f.Name, g.offerings[k].name+".")
			for j := range facts {
				if ok && facts[j].name == name {
					*facts[j].of(&g.offerings[k]) = f.Value
					g.offerings[k].taken = 1 / learnt
				}
			}
		}
	}
}
