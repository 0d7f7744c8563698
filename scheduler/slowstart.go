package scheduler

// Slow start. An executor that is warming up has little capacity, and collapses if it is overloaded during that time.
// Its warm-up budget is the work that it can take within a window. The budget is divided among the controllers without
// communication, so that the shares add up to less than the budget whatever each controller sends, even if
// controllers restart during the warm-up.

import "math"

const (
	// warmupMargin is the fraction of the warm-up budget that is divided. The rest allows for differences between the
	// controllers' estimates of mean work.
	warmupMargin = 0.9

	// maxWarmupPieceShare is the largest fraction of the divided budget that is reserved for one large request. The rest
	// goes to small requests, which continue the warm-up.
	maxWarmupPieceShare = 0.8

	restartsPerWindow   = 2       // restarts of each controller within the window that the budget allows for
	restartChanceFactor = 0.6     // margin on the probability with which a restarted controller uses its full share
	smallBudgetRequests = 30      // budgets of fewer requests tolerate a larger relative excess
	maxClockStepMS      = 5000    // largest ordinary correction of a wall clock
	clockOffsetMS       = 3600000 // one hour, by which a misconfigured wall clock may be off
)

// isNewStart reports whether an endpoint list entry states a start of the executor that has not been handled yet.
// Wall clocks may be stepped, so any start time other than the last one counts, as does any executor that joins. Only
// in the list restored when the controller itself starts, the start time decides for executors not known before.
func (s *Scheduler) isNewStart(endpoint *Endpoint, e *executor, known bool, list ListKind) bool {
	switch {
	case endpoint.StartedAt == 0 || known && endpoint.StartedAt == e.startedAt:
		return false
	case !known && list == ListRestored:
		return s.mayBeWarmingUp(s.now - endpoint.StartedAt)
	}
	return true
}

// mayBeWarmingUp reports whether an executor that started a given time ago may still be warming up. It allows for
// wall clocks that were corrected in the meantime or that are ahead or behind by an hour.
func (s *Scheduler) mayBeWarmingUp(ageMS float64) bool {
	warmupMS := s.settings.WarmupMS + maxClockStepMS
	return ageMS < warmupMS || ageMS > clockOffsetMS-maxClockStepMS && ageMS < clockOffsetMS+warmupMS
}

// processStartTime returns the time before which attempts were sent to an earlier process of the executor. That is
// the start time of the list entry if it is plausible by this controller's clock, and otherwise the current time.
func (s *Scheduler) processStartTime(endpoint *Endpoint) float64 {
	age := s.now - endpoint.StartedAt
	if age >= 0 && age <= s.settings.WarmupMS {
		return endpoint.StartedAt
	}
	return s.now
}

// startWarmup resets an executor that has just started, or that returns from an ejection and may have been restarted
// in the meantime. Attempts sent before the ejection count as lost.
func (s *Scheduler) startWarmup(index int) {
	e := &s.executors[index]
	e.warmupUntil = s.now + s.settings.WarmupMS
	e.lastActivityAt = s.now
	e.busySince = s.now
	e.failures = 0
	e.slowdown = 1
	e.probeFailed = false
	e.proven = false
	s.abandonAttempts(index, e.ejectedAt, true)
}

// fitsWarmupShare reports whether a request with the mean work of a class fits into what is left of this
// controller's share of an executor's warm-up budget.
func (s *Scheduler) fitsWarmupShare(class *classState, e *executor) bool {
	since := s.now - s.settings.CollapseWindowMS - tickMS
	e.warmupSent.evictBefore(since, 0)
	share := s.warmupShare(e)
	if since < s.startedAt { // the controller doesn't know what it sent in this window before its own start
		share = s.warmupShareAfterRestart(class, e, share)
	}
	return e.warmupSent.total()+class.meanWorkMS <= share
}

// warmupShareAfterRestart reduces the warm-up share of a controller that started within the window, so that all
// controllers stay within the budget even if each of them starts several times. If the reduced share is too small for
// a request of the class, some of the controllers get the full share instead, chosen at random, and the others none.
func (s *Scheduler) warmupShareAfterRestart(class *classState, e *executor, share float64) float64 {
	requests := s.warmupBudget(e) / s.overallMeanWork(class)
	toleratedExcess := 2*math.Sqrt(requests) + 2
	if requests < smallBudgetRequests {
		toleratedExcess = 3*math.Sqrt(requests) + 3
	}
	fraction := ((requests+toleratedExcess)/(warmupMargin*requests) - 1) / restartsPerWindow
	reduced := share * min(1, fraction)
	if reduced >= class.meanWorkMS {
		return reduced
	}
	if s.randomAt(uint64(e.id)) < fraction*restartChanceFactor {
		return share
	}
	return 0
}

// warmupBudget returns the warm-up budget of an executor: the work, in milliseconds of one thread, that it can take
// within the window at its lowest capacity without collapsing.
func (s *Scheduler) warmupBudget(e *executor) float64 {
	capacity := s.settings.ColdCapacity * e.cores
	return s.settings.CollapseMultiple * capacity * s.settings.CollapseWindowMS
}

// warmupShare returns this controller's share of the warm-up budget of an executor, in milliseconds of one thread. The
// shares are equal if an equal share can hold a request of the largest class. Otherwise about half of the budget is
// split into pieces the size of such a request and the rest into pieces for the smallest class; a controller gets at
// most one piece of each size.
func (s *Scheduler) warmupShare(e *executor) float64 {
	budget := warmupMargin * s.warmupBudget(e)
	controllers := max(1, float64(s.settings.Controllers))
	smallest, largest := s.meanWorkRange()
	if largest <= budget/controllers {
		return budget / controllers
	}
	// The order of the controllers is rotated by executor id, so that each executor serves other controllers first.
	position := math.Mod(float64(s.settings.ControllerIndex)+float64(e.id), controllers)
	share := 0.0
	largePieces := max(1, min(controllers, math.Floor(budget/2/largest)))
	largePiece := min(largest, maxWarmupPieceShare*budget)
	if position < largePieces {
		share = largePiece
	}
	budget -= largePieces * largePiece
	smallPieces := max(1, min(controllers, math.Floor(budget/smallest)))
	if position < smallPieces {
		share += budget / smallPieces
	}
	return share
}
