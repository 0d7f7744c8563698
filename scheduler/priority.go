package scheduler

// Priority decay as in "Self-Tuning Query Scheduling for Analytical Workloads" ("the paper" in this package). A
// request starts at the top priority (section 3.2). Once it has run longer than the decay onset, each quantum of its
// running time multiplies its priority by the decay factor, down to a floor (equation 2). The onset is learned from
// the workload (section 4): it is the least running time such that the recently finished requests spent a given share
// of their total running time below it. The paper's local search for the decay factor is not implemented.
//
// Executors know only a few priority levels, so a request's level is set again only when it changes. A request that
// holds its table group keeps its priority (section 3.2, custom priorities), because other requests wait for it.

import (
	"cmp"
	"math"
)

const (
	topPriority    = 1e4 // the paper, section 4
	floorPriority  = 100 // the paper, section 4: keeps long requests from starving
	decayFactor    = 0.9
	decayQuantumMS = 100
	topLevel       = 3 // highest priority level of executors

	undecayedShare  = 0.25 // share of the running time without decay; the paper uses 5 to 35%
	onsetWindowMS   = 10000
	onsetMinRuns    = 20 // finished requests without which no priority decays
	onsetIntervalMS = 200
)

// setStartPriority sets the priority at which the next attempt at a request starts: the top priority, or the lower
// start priority (the paper's static p0, section 3.2) of a request whose team is over its quota while others wait.
func (s *Scheduler) setStartPriority(r *request, class *classState) {
	r.priority = topPriority
	r.elapsedQuanta = 0
	r.level = topLevel
	if r.startPriority > 0 && !class.holdsGroup {
		r.priority = min(r.startPriority, topPriority)
		r.level = levelFor(r.priority)
	}
}

// accountRunningTime adds the time since the last tick to the running time of an attempt, and decays its priority. An
// attempt that waits in its executor's own queue isn't running.
func (s *Scheduler) accountRunningTime(r *request, a *attempt, elapsedMS float64) {
	if a.queued {
		return
	}
	class := &s.classes[r.class]
	a.runningMS += min(elapsedMS, s.now-a.sentAt)
	for float64(r.elapsedQuanta+1)*decayQuantumMS <= a.runningMS {
		r.elapsedQuanta++
		if s.decays(r, class) {
			r.priority = max(floorPriority, decayFactor*r.priority)
		}
	}
	s.updateLevel(r)
}

// decays reports whether the latest quantum of a request lies past the decay onset and lowers its priority.
func (s *Scheduler) decays(r *request, class *classState) bool {
	isPastOnset := float64(r.elapsedQuanta)*decayQuantumMS > s.decayOnsetMS
	return s.finishedRuns.count() >= onsetMinRuns && isPastOnset && !class.holdsGroup
}

// updateLevel sets the level of a running request again if its priority or its cap has led to another one.
func (s *Scheduler) updateLevel(r *request) {
	level := levelFor(min(r.priority, cmp.Or(r.priorityCap, topPriority)))
	if level == r.level {
		return
	}
	r.level = level
	s.setResources(r)
}

// capPriority limits a request to a priority and to a share of its memory while another team lacks its own share, or
// lifts the limits. A request that holds its table group isn't limited in priority.
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

// levelFor returns the level for a priority. The levels divide the logarithm of the range from floor to top evenly.
func levelFor(priority float64) int {
	return int(math.Round(topLevel * math.Log(priority/floorPriority) / math.Log(topPriority/floorPriority)))
}

// updateDecayOnset recomputes the decay onset from the requests that finished within the onset window, or from the
// last onsetMinRuns requests if fewer did.
func (s *Scheduler) updateDecayOnset() {
	s.finishedRuns.evictBefore(s.now-onsetWindowMS, onsetMinRuns)
	if s.now < s.decayOnsetUpdatedAt+onsetIntervalMS {
		return
	}
	s.decayOnsetUpdatedAt = s.now
	s.decayOnsetMS = decayOnsetFor(s.finishedRuns.sorted())
}

// decayOnsetFor solves sum(min(run, onset)) = undecayedShare * sum(run) for the onset. The running times are sorted in
// increasing order.
func decayOnsetFor(sortedRuns []float64) float64 {
	target := 0.0
	for _, run := range sortedRuns {
		target += undecayedShare * run
	}
	shorterRuns := 0.0 // sum of the running times before the current one
	for i, run := range sortedRuns {
		remaining := float64(len(sortedRuns) - i)
		if shorterRuns+run*remaining >= target {
			return (target - shorterRuns) / remaining
		}
		shorterRuns += run
	}
	return 0
}
