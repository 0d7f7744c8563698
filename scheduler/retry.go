package scheduler

import "math"

// The retry budget bounds the retries of a controller within a sliding window to a floor plus a share of its arrivals.
// An attempt is cancelled to be replaced only where the budget also covers all requests that already wait for a
// retry. Otherwise work that might still succeed would be discarded.

const (
	localRetryBackoffMS    = 25  // delay of the first retry after a local failure; it doubles with each further one
	maxLocalRetryBackoffMS = 400 // longest such delay: file descriptors and ports become available again by then
)

// retryBudgetLeft reports whether the budget covers one more retry besides the pending ones. A retry may start as
// late as its connection is established, so the retries are also counted over a window that is longer by the connect
// timeout. As a result, the retries that start within a window exceed the budget by one at most.
func (s *Scheduler) retryBudgetLeft(pending int) bool {
	budget := &s.settings.RetryBudget
	s.retries.evictBefore(s.now-budget.WindowMS-s.settings.ConnectTimeoutMS-tickMS, 0)
	s.arrivals.evictBefore(s.now-budget.WindowMS, 0)
	if budget.WindowMS == 0 {
		return true
	}
	allowed := budget.Floor + budget.Share*float64(s.arrivals.count())
	recent := s.retries.countSince(s.now - budget.WindowMS - tickMS)
	return float64(recent+pending+1) <= allowed && float64(s.retries.count()+pending) <= allowed
}

// mayReplaceAttempt reports whether an attempt at a request may be cancelled so that another one can follow it.
func (s *Scheduler) mayReplaceAttempt(r *request) bool {
	return s.settings.MayCancel && s.attemptsLeft(r) && s.retryBudgetLeft(s.awaitingRetry())
}

// attemptsLeft reports whether a request may have another attempt. Attempts that were never sent because of a local
// failure don't count towards MaxAttempts, but take up attempt capacity. Unrecorded ones take up nothing.
func (s *Scheduler) attemptsLeft(r *request) bool {
	return r.attemptCount < attemptCapacity && r.startedCount() < s.settings.MaxAttempts
}

// awaitsRecord reports whether a request whose attempt was not recorded in time is tried again. One that may be rejected
// is not: its client tries again by itself. For the others, waiting for the records is better than a failure.
func (s *Scheduler) awaitsRecord(r *request) bool {
	shuttingDown := !math.IsInf(s.shutdownDeadline, 1)
	return !s.mayReject(r) && !shuttingDown
}

// recordLocalFailure removes an attempt that was never sent from the retry count, and delays the next attempt at its
// request.
func (s *Scheduler) recordLocalFailure(r *request, a *attempt) {
	r.unsentCount++
	if r.startedCount() > 0 {
		s.retries.remove(a.sentAt)
	}
	s.delayLocalRetry(r)
}

// withdrawUnrecorded removes the latest attempt at a request, which was never sent because it was not recorded in time,
// and delays the next one, which gets its number. What keeps attempts from being recorded may last longer than any
// number of them, and nothing has left this controller.
func (s *Scheduler) withdrawUnrecorded(r *request, a *attempt) {
	s.withdrawLoad(r, a)
	sentAt := a.sentAt
	r.attemptCount--
	r.unrecordedCount++
	if r.startedCount() > 0 {
		s.retries.remove(sentAt)
	}
	s.delayLocalRetry(r)
}

// withdrawLoad takes back the load that startAttempt has added to an executor's, unless a load report has replaced it.
func (s *Scheduler) withdrawLoad(r *request, a *attempt) {
	e := &s.executors[a.executor]
	e.backlogMS = max(0, e.backlogMS-r.workMS)
	if e.lastLoadReportAt <= a.sentAt {
		e.reportedThreads = max(0, e.reportedThreads-float64(a.threads))
		e.reportedMB = max(0, e.reportedMB-a.grantMB)
	}
}

// delayLocalRetry delays the next attempt at a request with exponential backoff.
func (s *Scheduler) delayLocalRetry(r *request) {
	doublings := r.unsentCount + r.unrecordedCount - 1
	backoffMS := math.Ldexp(localRetryBackoffMS, doublings)
	r.retryNotBefore = s.now + min(maxLocalRetryBackoffMS, backoffMS)
}
