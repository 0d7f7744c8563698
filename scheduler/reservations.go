package scheduler

// reserve counts an attempt of s as out, settle as back.
func (s *Scheduler) reserve(r *request, index int, grant float64) *attempt {
	e, a, threads := &s.executors[index], &r.attempts[r.attemptCount], s.classes[r.class].threads
	*a = attempt{executor: index, sentAt: s.now, progressAt: s.now, threads: threads, grantMB: grant, inFlight: true, mayHaveRun: true}
	if r.startedCount() > 0 {
		s.retries.add(s.now, 1)
	}
	if r.immediate {
		r.immediate = false
		s.arrivals.add(s.now, 1)
	}
	if e.inFlight == 0 {
		e.busySince = s.now
	}
	r.attemptCount, r.inFlight = r.attemptCount+1, r.inFlight+1
	e.inFlight, e.threads, e.grantedMB = e.inFlight+1, e.threads+threads, e.grantedMB+grant
	s.addRemoteThreads(e.zone, threads)
	return a
}

// updateGrant books the memory that a running request is to have now, and names it where that is another amount.
func (s *Scheduler) updateGrant(r *request) {
	a := r.lastAttempt()
	e := &s.executors[a.executor]
	was := a.grantMB
	a.grantMB = s.memoryGrant(r, e)
	if e.grantedMB += a.grantMB - was; a.grantMB != was {
		s.setResources(r)
	}
}

// setQueued counts an attempt as standing in a line of its executor, or not.
func (s *Scheduler) setQueued(a *attempt, waits bool) {
	e := &s.executors[a.executor]
	if a.waiting != 0 {
		a.waiting, e.queued = 0, e.queued-1
	}
	if waits {
		a.waiting, e.queued = Waiting, e.queued+1
	}
}

func (s *Scheduler) releaseReservation(r *request, a *attempt, doubt bool) {
	e := &s.executors[a.executor]
	s.setQueued(a, false)
	a.inFlight, a.mayHaveRun = false, doubt
	r.inFlight, e.inFlight, e.threads, e.grantedMB = r.inFlight-1, e.inFlight-1, e.threads-a.threads, e.grantedMB-a.grantMB
	s.addRemoteThreads(e.zone, -a.threads)
}
