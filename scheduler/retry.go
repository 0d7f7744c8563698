package scheduler

// Retry budget: over a sliding window, the retries of a controller are bounded by a floor and a share of its
// arrivals. An attempt is cancelled to be sent anew only where the budget covers it besides all requests that
// wait for their retry already; otherwise work that might still succeed would be thrown away.

const (
	localRetryMS    = 25  // until the first retry after a failure on this side; twice as long each time
	maxLocalRetryMS = 400 // descriptors and ports come back in such times
)

// retryBudgetLeft reports whether the budget has one more retry besides the pending ones. A retry may begin
// as late as its connection comes up, so they are counted from there, too: then no more than one is over the
// budget.
func (s *Scheduler) retryBudgetLeft(pending int) bool {
	budget := &s.settings.RetryBudget
	s.retries.forget(s.now-budget.WindowMS-s.settings.ConnectTimeoutMS-tickMS, 0)
	s.arrivals.forget(s.now-budget.WindowMS, 0)
	if budget.WindowMS == 0 {
		return true
	}
	allowed := budget.Floor + budget.Share*float64(s.arrivals.count())
	recent := s.retries.countSince(s.now - budget.WindowMS - tickMS)
	return float64(recent+pending+1) <= allowed && float64(s.retries.count()+pending) <= allowed
}

// mayReplaceAttempt reports whether an attempt may be cancelled because another one can follow it.
func (s *Scheduler) mayReplaceAttempt(r *request) bool {
	return s.settings.MayCancel && s.attemptsLeft(r) && s.retryBudgetLeft(s.awaitingRetry())
}

func (s *Scheduler) attemptsLeft(r *request) bool {
	return r.attemptCount < attemptCapacity && r.startedCount() < s.settings.MaxAttempts
}

// recordLocalFailure takes back what was counted for an attempt that never left, and has the next one wait a
// while.
func (s *Scheduler) recordLocalFailure(r *request, a *attempt) {
	r.unsentCount++
	if r.startedCount() > 0 {
		s.retries.remove(a.sentAt)
	}
	r.retryNotBefore = s.now + min(maxLocalRetryMS, localRetryMS*float64(uint(1)<<(r.unsentCount-1)))
}
