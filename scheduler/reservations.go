package scheduler

import "math"

// reserve adds an attempt in flight to a request, and counts its threads and memory grant on the executor at an
// index. The attempt counts as a retry if an earlier attempt at the request has started.
func (s *Scheduler) reserve(r *request, index int, grantMB float64) {
	e := &s.executors[index]
	threads := s.classes[r.class].threads
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
	r.attempts[r.attemptCount] = attempt{
		executor:   index,
		zone:       e.zone,
		cell:       e.cell,
		sentAt:     s.now,
		progressAt: s.now,
		threads:    threads,
		grantMB:    grantMB,
		inFlight:   true,
		mayHaveRun: true,
	}
	r.attemptCount++
	r.inFlight++
	e.inFlight++
	e.threads += threads
	e.grantedMB += grantMB
	s.addRemoteThreads(e.zone, threads)
}

// releaseReservation ends an attempt and releases what reserve has counted for it on its executor.
func (s *Scheduler) releaseReservation(r *request, a *attempt, mayHaveRun bool) {
	e := &s.executors[a.executor]
	s.setQueued(a, false)
	a.inFlight = false
	a.mayHaveRun = mayHaveRun
	r.inFlight--
	e.inFlight--
	e.threads -= a.threads
	e.grantedMB -= a.grantMB
	s.addRemoteThreads(e.zone, -a.threads)
}

// setQueued records whether an attempt waits in its executor's own queue, and updates the executor's count of queued
// attempts.
func (s *Scheduler) setQueued(a *attempt, queued bool) {
	if a.queued == queued {
		return
	}
	e := &s.executors[a.executor]
	a.queued = queued
	if queued {
		e.queued++
	} else {
		e.queued--
	}
}

// updateGrant recomputes the memory grant of a running request and sends it to the executor if it has changed.
func (s *Scheduler) updateGrant(r *request) {
	a := r.lastAttempt()
	e := &s.executors[a.executor]
	before := a.grantMB
	a.grantMB = s.memoryGrant(r, e)
	e.grantedMB += a.grantMB - before
	if a.grantMB != before {
		s.setResources(r)
	}
}

// setResources emits the memory grant and the priority level of a running request. Callers whose executors support
// neither may ignore the action.
func (s *Scheduler) setResources(r *request) {
	s.emit(Action{Kind: SetResources, Request: r.id, Level: r.level, GrantMB: math.Ceil(r.lastAttempt().grantMB)})
}

// cancelAttempts cancels the attempts of a request that are in flight, if the settings allow cancelling.
func (s *Scheduler) cancelAttempts(slot int) {
	r := s.requests.at(slot)
	for i := range r.attemptCount {
		if r.attempts[i].inFlight && s.settings.MayCancel {
			s.emit(Action{Kind: Cancel, Request: r.id, Attempt: i})
		}
	}
	s.releaseIfSettled(slot)
}
