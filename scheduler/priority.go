package scheduler

// Priority decay, the paper's mechanism. A request starts at the top priority (3.2). Once it has run past the
// decay onset, each quantum of its running time multiplies its priority by the decay factor, down to a floor
// (equation 2). The onset is learned from the workload: the least running time below which the requests
// finished lately spent a given share of theirs (section 4). The paper's local search for the decay factor is
// left out. Executors know a few levels, so a request's level is set anew only when it changes. A request
// that holds its table group keeps its priority (3.2, custom priorities): others stand still behind it.

import (
	"cmp"
	"math"
)

const (
	topPriority    = 1e4 // paper, section 4
	floorPriority  = 100 // paper, section 4: no request starves
	decayFactor    = 0.9
	decayQuantumMS = 100
	topLevel       = 3 // highest level on executors

	undecayedShare  = 0.25 // of running time; the paper has 5 to 35%
	onsetWindowMS   = 10000
	onsetMinRuns    = 20 // nothing decays until so many requests have finished
	onsetIntervalMS = 200
)

// setStartPriority sets the priority at which the next attempt of a request starts. For a team over its
// budget while others wait it is the paper's static p0 (3.2).
func (s *Scheduler) setStartPriority(r *request, class *classState) {
	r.priority = topPriority
	r.quanta = 0
	r.level = topLevel
	if r.startPriority > 0 && !class.holdsGroup {
		r.priority = min(r.startPriority, topPriority)
		r.level = levelFor(r.priority)
	}
}

// advanceRun adds the time since the last tick to the running time of an attempt, and decays its priority.
func (s *Scheduler) advanceRun(r *request, a *attempt, elapsedMS float64) {
	if a.queued { // waiting is not running
		return
	}
	class := &s.classes[r.class]
	a.ranMS += min(elapsedMS, s.now-a.sentAt)
	for float64(r.quanta+1)*decayQuantumMS <= a.ranMS {
		r.quanta++
		if s.decays(r, class) {
			r.priority = max(floorPriority, decayFactor*r.priority)
		}
	}
	s.updateLevel(r)
}

func (s *Scheduler) decays(r *request, class *classState) bool {
	isPastOnset := float64(r.quanta)*decayQuantumMS > s.decayOnsetMS
	return s.finishedRuns.count() >= onsetMinRuns && isPastOnset && !class.holdsGroup
}

func (s *Scheduler) updateLevel(r *request) {
	level := levelFor(min(r.priority, cmp.Or(r.priorityCap, topPriority)))
	if level == r.level {
		return
	}
	r.level = level
	s.setResources(r)
}

// capPriority keeps a request under a priority, and at a part of its memory, while another team lacks its
// share.
func (s *Scheduler) capPriority(slot int, ev *Event) {
	r := s.requests.at(slot)
	r.priorityCap = ev.PriorityCap
	r.memoryShare = ev.MemoryShare
	if s.classes[r.class].holdsGroup {
		r.priorityCap = 0
	}
	if r.state == requestRunning {
		s.updateGrant(r)
		s.updateLevel(r)
	}
}

// levelFor returns the level for a priority: equal steps of its logarithm between floor and top.
func levelFor(priority float64) int {
	return int(math.Round(topLevel * math.Log(priority/floorPriority) / math.Log(topPriority/floorPriority)))
}

// updateDecayOnset learns the decay onset from the requests finished lately. Where these are too few, it
// reaches further back.
func (s *Scheduler) updateDecayOnset() {
	s.finishedRuns.forget(s.now-onsetWindowMS, onsetMinRuns)
	if s.now < s.decayOnsetReadAt+onsetIntervalMS {
		return
	}
	s.decayOnsetReadAt = s.now
	s.decayOnsetMS = decayOnsetFor(s.finishedRuns.sorted())
}

// decayOnsetFor solves sum(min(run, onset)) = undecayedShare * sum(run) for sorted running times.
func decayOnsetFor(sorted []float64) float64 {
	want := 0.0
	for _, run := range sorted {
		want += undecayedShare * run
	}
	below := 0.0
	for i, run := range sorted {
		rest := float64(len(sorted) - i)
		if below+run*rest >= want {
			return (want - below) / rest
		}
		below += run
	}
	return 0
}
