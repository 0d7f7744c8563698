package scheduler

const (
	localRetryMS    = 25  // ms until a request whose attempt could not leave is tried again; doubled each time
	maxLocalRetryMS = 400 // ms of that at most: descriptors and ports come back in such times
)

// retryBudgetLeft tells whether one more attempt beyond a request's first, besides those coming, is in the
// ration. One may begin as late as its connection comes up: counted from there, too, no more than one is
// over it.
func (s *Scheduler) retryBudgetLeft(coming int) bool {
	length, late := s.settings.RetryBudget.WindowMS, s.settings.ConnectTimeoutMS
	s.retries.forget(s.now-length-late-tickMS, 0)
	s.arrivals.forget(s.now-length, 0)
	most := s.settings.RetryBudget.Floor + s.settings.RetryBudget.Share*float64(s.arrivals.count())
	return length == 0 || float64(s.retries.countSince(s.now-length-tickMS)+coming+1) <= most &&
		float64(s.retries.count()+coming) <= most
}

func (s *Scheduler) mayReplaceAttempt(r *request) bool {
	return s.settings.MayCancel && s.attemptsLeft(r) && s.retryBudgetLeft(s.awaitingRetry())
}

func (s *Scheduler) attemptsLeft(r *request) bool {
	return r.attemptCount < maxAttempts && r.startedCount() < s.settings.MaxAttempts
}

// awaitingRetry counts the requests whose attempt was lost or called off and that wait for their next one. Whoever is called off
// besides them needs one more: without it an attempt would be thrown away that might still have been handled.
func (s *Scheduler) awaitingRetry() (n int) {
	for slot := range s.requests.entries {
		r := &s.requests.entries[slot]
		n += count(r.inUse && r.startedCount() > 0 && (r.state == requestQueued || r.state == requestCancelling))
	}
	return n
}

// recordLocalFailure takes back what was counted for the latest attempt of s, as it never left, and has the next one wait a while.
func (s *Scheduler) recordLocalFailure(r *request, a *attempt) {
	r.unsentCount++
	if r.startedCount() > 0 {
		s.retries.remove(a.sentAt)
	}
	r.retryNotBefore = s.now + min(maxLocalRetryMS, localRetryMS*float64(uint(1)<<(r.unsentCount-1)))
}
