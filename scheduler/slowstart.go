package scheduler

// Slow start. An executor that warms up has little capacity, and collapses if it is overloaded then. Its
// warm-up budget is divided among the controllers: without coordination the shares add up to less than the
// budget, whatever is sent, and also after restarts of the controllers themselves.

import "math"

const (
	warmupMargin       = 0.9     // of the budget that is shared out: each controller learns the usual work alone
	maxWarmupPiece     = 0.8     // of that, for a single request: the rest goes on warming it up
	startsPerWindow    = 2       // of each controller that the budget outlasts
	restartChanceShare = 0.6     // of what restarted controllers may send, where chance decides which do
	fewRequests        = 30      // below which a budget tolerates a wider spread
	clockStepMS        = 5000    // by which a wall clock may have been corrected
	clockHourMS        = 3600000 // by which one may have been set wrong
)

// isNewStart reports whether an entry of the list names a start that has not been treated as one. Wall clocks
// may have been stepped, so that is any other time than before, or an executor that joins, whatever its time.
// Only in the list of the controller's own start the time is all there is to go by.
func (s *Scheduler) isNewStart(endpoint *Endpoint, e *executor, known bool, list ListKind) bool {
	switch {
	case endpoint.StartedAt == 0 || known && endpoint.StartedAt == e.startedAt:
		return false
	case !known && list == ListRestored:
		return s.mayBeWarmingUp(s.now - endpoint.StartedAt)
	}
	return true
}

// mayBeWarmingUp reports whether a start may lie within the warm-up, though wall clocks were corrected since
// or set by an hour.
func (s *Scheduler) mayBeWarmingUp(ageMS float64) bool {
	warmupMS := s.settings.WarmupMS + clockStepMS
	return ageMS < warmupMS || ageMS > clockHourMS-clockStepMS && ageMS < clockHourMS+warmupMS
}

// startTime returns the time before which attempts went to an earlier process: that of the entry, where it
// fits this clock.
func (s *Scheduler) startTime(endpoint *Endpoint) float64 {
	age := s.now - endpoint.StartedAt
	if age >= 0 && age <= s.settings.WarmupMS {
		return endpoint.StartedAt
	}
	return s.now
}

// startWarmup treats an executor as just started: the list says so, or it fell silent and may have been
// started again.
func (s *Scheduler) startWarmup(index int) {
	e := &s.executors[index]
	e.warmupUntil = s.now + s.settings.WarmupMS
	e.lastSignAt = s.now
	e.busySince = s.now
	e.failures = 0
	e.slowdown = 1
	e.probeFailed = false
	e.proven = false
	s.abandonAttempts(index, e.ejectedAt, true)
}

// fitsWarmupShare reports whether a usual request of a class fits this controller's share of an executor's
// warm-up budget.
func (s *Scheduler) fitsWarmupShare(class *classState, e *executor) bool {
	since := s.now - s.settings.CollapseWindowMS - tickMS
	e.warmupSent.forget(since, 0)
	share := s.warmupShare(e)
	if since < s.startedAt { // what was sent before the controller's own start is not known
		share = s.warmupShareAfterRestart(class, e, share)
	}
	return e.warmupSent.total()+class.usualWorkMS <= share
}

// warmupShareAfterRestart returns what a controller that has just started may use of its share, so that all
// of them, started several times within the window, keep within the budget: a part of the share or, where
// that holds no request, all of it by chance.
func (s *Scheduler) warmupShareAfterRestart(class *classState, e *executor, share float64) float64 {
	requests := s.warmupBudget(e) / s.meanWork(class)
	tolerated := 2*math.Sqrt(requests) + 2
	if requests < fewRequests {
		tolerated = 3*math.Sqrt(requests) + 3
	}
	part := ((requests+tolerated)/(warmupMargin*requests) - 1) / startsPerWindow
	reduced := share * min(1, part)
	if reduced >= class.usualWorkMS {
		return reduced
	}
	if s.randomAt(uint64(e.id)) < part*restartChanceShare {
		return share
	}
	return 0
}

// warmupBudget returns the work, in ms, that an executor stands within the window at its least capacity.
func (s *Scheduler) warmupBudget(e *executor) float64 {
	capacity := s.settings.ColdCapacity * e.cores
	return s.settings.CollapseMultiple * capacity * s.settings.CollapseWindowMS
}

// warmupShare returns this controller's share of the warm-up budget of an executor, in ms of work. Where an
// even one holds no request of the largest class, about half of the budget is dealt in pieces for these and
// the rest in pieces for the smallest class, each piece to one controller.
func (s *Scheduler) warmupShare(e *executor) float64 {
	budget := warmupMargin * s.warmupBudget(e)
	controllers := max(1, float64(s.settings.Controllers))
	smallest, largest := s.usualWorkRange()
	if largest <= budget/controllers {
		return budget / controllers
	}
	turn := math.Mod(float64(s.settings.ControllerIndex)+float64(e.id), controllers)
	share := 0.0
	largePieces := max(1, min(controllers, math.Floor(budget/2/largest)))
	piece := min(largest, maxWarmupPiece*budget)
	if turn < largePieces {
		share = piece
	}
	budget -= largePieces * piece
	smallPieces := max(1, min(controllers, math.Floor(budget/smallest)))
	if turn < smallPieces {
		share += budget / smallPieces
	}
	return share
}
