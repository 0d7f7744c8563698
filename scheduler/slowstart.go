package scheduler

import "math"

const (
	warmupMargin       = 0.9  // part of the cold budget that all use together: what is usual is learnt by each alone
	clockStepMS        = 5000 // ms by which a wall clock may have been stepped a little
	clockHourMS        = 36e5 // ms by which one may have been stepped that was set to another hour
	startsPerWindow    = 2    // starts of each controller within the window that the budget outlasts
	restartChanceShare = 0.6  // of what these may send, where chance decides who sends it: two deviations are left
	maxWarmupPiece     = 0.8  // part of that which a single request may take: the rest keeps warming it up
)

// isNewStart tells whether an entry tells of a start that this instance has not treated as cold yet. Wall
// clocks may have been stepped, so a start is told by another figure than before, or by an executor that
// joins, whatever the figure. Only where the list of this instance's own start brings it, its figure is all
// there is: what started long ago is warm.
func (s *Scheduler) isNewStart(endpoint *Endpoint, e *executor, known bool, list ListKind) bool {
	switch {
	case endpoint.StartedAt == 0 || known && endpoint.StartedAt == e.startedAt:
		return false
	case !known && list == ListRestored:
		return s.mayBeWarmingUp(s.now - endpoint.StartedAt)
	}
	return true
}

// mayBeWarmingUp tells whether a start so long ago by the wall clocks may lie within the warm-up: they may have
// been stepped since, by some seconds or by an hour.
func (s *Scheduler) mayBeWarmingUp(age float64) bool {
	warm := s.settings.WarmupMS + clockStepMS
	return age < warm || age > clockHourMS-clockStepMS && age < clockHourMS+warm
}

// startTime is the clock before which attempts were an earlier process's: the start told, where that fits this
// machine's clock.
func (s *Scheduler) startTime(endpoint *Endpoint) float64 {
	if age := s.now - endpoint.StartedAt; age >= 0 && age <= s.settings.WarmupMS {
		return endpoint.StartedAt
	}
	return s.now
}

// startWarmup takes an executor as cold from now on: it fell silent and may have started anew, list or no list.
func (s *Scheduler) startWarmup(index int) {
	e := &s.executors[index]
	e.warmupUntil = s.now + s.settings.WarmupMS
	e.lastSignAt, e.busySince, e.failures, e.slowdown, e.probeFailed, e.proven = s.now, s.now, 0, 1, false, false
	s.abandonAttempts(index, e.ejectedAt, true)
}

// fitsWarmupShare tells whether a request fits this part of what a cold executor may be sent at its least
// capacity; it weighs what is usual. The parts of all controllers add up to the budget, whatever each sends.
func (s *Scheduler) fitsWarmupShare(class *classState, e *executor) bool {
	since := s.now - s.settings.CollapseWindowMS - tickMS
	e.warmupSent.forget(since, 0)
	part := s.warmupShare(e)
	if since < s.startedAt { // what this one sent before it was started again is not known
		part = s.shareAfterRestart(class, e, part)
	}
	return e.warmupSent.total()+class.usualWorkMS <= part
}

// shareAfterRestart is what a controller just started may use of its part, so that all of them, started anew
// coldStarts times within the window, stay below a fall: a share of it, or, where that holds no request, all
// of it by chance.
func (s *Scheduler) shareAfterRestart(class *classState, e *executor, part float64) float64 {
	requests := s.warmupBudget(e) / s.meanWork(class)
	slack := 2*math.Sqrt(requests) + 2
	if requests < 30 {
		slack = 3*math.Sqrt(requests) + 3
	}
	share := ((requests+slack)/(warmupMargin*requests) - 1) / startsPerWindow
	if anew := part * min(1, share); anew >= class.usualWorkMS {
		return anew
	}
	if s.randomAt(uint64(e.id)) < share*restartChanceShare {
		return part
	}
	return 0
}

// warmupBudget is the work, in ms, that a cold executor stands within the window at its least capacity.
func (s *Scheduler) warmupBudget(e *executor) float64 {
	capacity := s.settings.ColdCapacity * e.cores
	return s.settings.CollapseMultiple * capacity * s.settings.CollapseWindowMS
}

// meanWork is the mean work of a request, in ms, over all that were taken; that of an offering where none
// were.
func (s *Scheduler) meanWork(class *classState) float64 {
	work, taken := 0.0, 0.0
	for k := range s.classes {
		work, taken = work+s.classes[k].usualWorkMS*s.classes[k].arrivals, taken+s.classes[k].arrivals
	}
	if work <= 0 {
		return max(1, class.usualWorkMS)
	}
	return work / taken
}

// warmupShare is that part, in ms of work. Where an even one holds no request of the largest kind, about half
// of the budget is dealt in pieces for these, the rest in pieces for the smallest kind, each to one
// controller.
func (s *Scheduler) warmupShare(e *executor) (part float64) {
	budget := warmupMargin * s.warmupBudget(e)
	n := max(1, float64(s.settings.Controllers))
	turn := math.Mod(float64(s.settings.Slot)+float64(e.id), n)
	least, most := math.Inf(1), 0.0
	for k := range s.classes {
		if usual := s.classes[k].usualWorkMS; usual > 0 {
			least, most = min(least, usual), max(most, usual)
		}
	}
	if most <= budget/n {
		return budget / n
	}
	large, piece := max(1, min(n, math.Floor(budget/2/most))), min(most, maxWarmupPiece*budget)
	if turn < large {
		part = piece
	}
	budget -= large * piece
	if small := max(1, min(n, math.Floor(budget/least))); turn < small {
		part += budget / small
	}
	return part
}
