package scheduler

import (
	"cmp"
	"math"
)

const (
	topPriority     = 1e4   // priority of a fresh query (paper, section 4)
	floorPriority   = 100   // priority that no query sinks below, so that none starves
	decayFactor     = 0.9   // factor a quantum; the paper's first value
	decayQuantumMS  = 100   // running time of one quantum: the design's start
	undecayedShare  = 0.25  // share of running time that stays undecayed: middle of the paper's 5 to 35%
	onsetWindowMS   = 10000 // ms of finished queries that the onset is read from
	onsetMinRuns    = 20    // finished queries before anything decays
	onsetIntervalMS = 200   // ms between readings of the onset: far below its window, and cheap
	topLevel        = 3     // highest level on the engines
)

// advanceRun adds a beat of running time to an attempt and lets its priority decay.
func (s *Scheduler) advanceRun(r *request, a *attempt, gap float64) {
	if a.waiting != 0 {
		return // waiting is not running
	}
	class := &s.classes[r.class]
	a.ranMS += min(gap, s.now-a.sentAt)
	for float64(r.quanta+1)*decayQuantumMS <= a.ranMS {
		r.quanta++
		// A load keeps its priority (paper, 3.2, custom priorities): demoted, it would hold up its readers longer.
		if s.finishedRuns.count() >= onsetMinRuns && float64(r.quanta)*decayQuantumMS > s.decayOnsetMS && !class.holdsGroup {
			r.priority = max(floorPriority, decayFactor*r.priority)
		}
	}
	s.updateLevel(r)
}

// updateLevel names the level of s where it has changed.
func (s *Scheduler) updateLevel(r *request) {
	if level := levelFor(min(r.priority, cmp.Or(r.priorityCap, topPriority))); level != r.level {
		r.level = level
		s.setResources(r)
	}
}

// capPriority holds a request under a priority while others lack their due; a load never: its group would wait.
func (s *Scheduler) capPriority(slot int, ev *Event) {
	r := &s.requests.entries[slot]
	if r.priorityCap, r.memoryShare = ev.PriorityCap, ev.MemoryShare; s.classes[r.class].holdsGroup {
		r.priorityCap = 0
	}
	if r.state == requestRunning {
		s.updateGrant(r)
		s.updateLevel(r)
	}
}

func levelFor(p float64) int {
	return int(math.Round(topLevel * math.Log(p/floorPriority) / math.Log(topPriority/floorPriority)))
}

// updateDecayOnset reads the least running time below which the queries finished lately spent onsetShare of theirs.
func (s *Scheduler) updateDecayOnset() {
	s.finishedRuns.forget(s.now-onsetWindowMS, onsetMinRuns) // it reaches back as far as it must for its twenty
	if s.now < s.decayOnsetReadAt+onsetIntervalMS {
		return
	}
	s.decayOnsetReadAt, s.decayOnsetMS = s.now, decayOnsetFor(s.finishedRuns.sorted())
}

// decayOnsetFor solves sum(min(t, onset)) = onsetShare * sum(t) for sorted running times t.
func decayOnsetFor(sorted []float64) float64 {
	want, below := 0.0, 0.0
	for _, t := range sorted {
		want += undecayedShare * t
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
