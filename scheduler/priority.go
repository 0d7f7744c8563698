package scheduler

import (
	"cmp"
	"math"
)

const (
	pTop       = 1e4   // priority of a fresh query (paper, section 4)
	pFloor     = 100   // priority that no query sinks below, so that none starves
	decay      = 0.9   // factor a quantum; the paper's first value
	quantumMS  = 100   // running time of one quantum: the design's start
	onsetShare = 0.25  // share of running time that stays undecayed: middle of the paper's 5 to 35%
	onsetMS    = 10000 // ms of finished queries that the onset is read from
	onsetLeast = 20    // finished queries before anything decays
	onsetEvery = 200   // ms between readings of the onset: far below its window, and cheap
	topLevel   = 3     // highest level on the engines
)

// age adds a beat of running time to an attempt and lets its priority decay.
func (g *Scheduler) age(s *request, h *attempt, gap float64) {
	if h.waits != 0 {
		return // waiting is not running
	}
	o := &g.offerings[s.offering]
	h.ran += min(gap, g.now-h.sent)
	for float64(s.quanta+1)*quantumMS <= h.ran {
		s.quanta++
		// A load keeps its priority (paper, 3.2, custom priorities): demoted, it would hold up its readers longer.
		if g.finished.count() >= onsetLeast && float64(s.quanta)*quantumMS > g.onset && !o.holds {
			s.p = max(pFloor, decay*s.p)
		}
	}
	g.remark(s)
}

// remark names the level of s where it has changed.
func (g *Scheduler) remark(s *request) {
	if level := levelOf(min(s.p, cmp.Or(s.under, pTop))); level != s.level {
		s.level = level
		g.terms(s)
	}
}

// press holds a request under a priority while others lack their due; a load never: its group would wait.
func (g *Scheduler) press(i int, ev *Event) {
	s := &g.slab.places[i]
	if s.under, s.part = ev.PriorityCap, ev.MemoryShare; g.offerings[s.offering].holds {
		s.under = 0
	}
	if s.state == running {
		g.regrant(s)
		g.remark(s)
	}
}

func levelOf(p float64) int {
	return int(math.Round(topLevel * math.Log(p/pFloor) / math.Log(pTop/pFloor)))
}

// readOnset reads the least running time below which the queries finished lately spent onsetShare of theirs.
func (g *Scheduler) readOnset() {
	g.finished.forget(g.now-onsetMS, onsetLeast) // it reaches back as far as it must for its twenty
	if g.now < g.onsetAt+onsetEvery {
		return
	}
	g.onsetAt, g.onset = g.now, onsetOf(g.finished.sorted())
}

// onsetOf solves sum(min(t, onset)) = onsetShare * sum(t) for sorted running times t.
func onsetOf(sorted []float64) float64 {
	want, below := 0.0, 0.0
	for _, t := range sorted {
		want += onsetShare * t
	}
	for k, t := range sorted {
		rest := float64(len(sorted) - k)
		if below+t*rest >= want {
			return (want - below) / rest
		}
		below += t
	}
	return 0
}
