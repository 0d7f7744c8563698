package scheduler

// Admission: which requests are accepted, which attempts may be sent, and which requests may be rejected.
//
// Every request is answered once, before its deadline. Effects are never duplicated: after an attempt that
// may have run, a non-idempotent request gets no other, and a keyed one only on executors that deduplicate
// it, within the dedup window. Requests with one order key are serialized. The placement constraints of a
// class always hold.

const (
	answerMarginMS = 25 // before the deadline: a tick and a timer's delay
	maxErrors      = 2  // then the request is taken to be at fault itself
)

func (s *Scheduler) admit(ev *Event) {
	if _, known := s.requests.find(ev.Request); known {
		return
	}
	index := s.classIndex(ev.Class)
	if index < 0 { // nothing is known that would let it run
		s.emit(Action{Kind: Reject, Request: ev.Request})
		return
	}
	slot := s.addRequest(ev, index)
	r := s.requests.at(slot)
	class := &s.classes[index]
	r.workMS = class.expectedWorkMS(r.estimateMS)
	class.learnArrival(r.workMS)
	r.deadline = min(r.deadline, s.shutdownDeadline)
	r.softDeadline = s.now + class.softDeadlineMS + class.softDeadlineStretch*r.workMS/float64(class.threads)
	s.addProbeTokens(probesPerRequest)
	s.dispatchNeeded = true
	if ev.Blocked { // after a crash a repeat of it could not be recognized
		s.applyToRequest(slot, inputUnservable)
	}
}

// shutDown makes a planned end the deadline of all requests, those in hand and those to come.
func (s *Scheduler) shutDown(deadline float64) {
	s.shutdownDeadline = deadline
	s.dispatchNeeded = true
	for slot := range s.requests.entries {
		r := s.requests.at(slot)
		r.deadline = min(r.deadline, deadline)
	}
}

// maySend is the one place that decides whether an attempt at a request may go to the executor at an index.
func (s *Scheduler) maySend(r *request, index int) sendVerdict {
	class := &s.classes[r.class]
	e := &s.executors[index]
	if !s.isReady(r) {
		return sendLater
	}
	if !s.attemptsLeft(r) {
		return sendNever
	}
	for prior := range s.priorAttempts(r) {
		if class.effect != Keyed || s.now > s.latestStart(r) {
			return sendNever
		}
		if !class.dropsRepeat(prior, e) {
			return sendElsewhere
		}
	}
	if r.startedCount() > 0 && !s.retryBudgetLeft(0) || s.orderKeyBlocked(r) {
		return sendLater
	}
	if !s.accepts(r, class, e) {
		return sendElsewhere
	}
	return sendAllowed
}

// isReady reports whether a request waits for an attempt. It never gets a second one beside the first.
func (s *Scheduler) isReady(r *request) bool {
	inTime := s.now >= r.retryNotBefore && s.now < r.deadline-answerMarginMS
	return r.state == requestQueued && r.inFlight == 0 && inTime
}

// accepts reports whether an executor may get anything of a class at this moment.
func (s *Scheduler) accepts(r *request, class *classState, e *executor) bool {
	if !allows(class.kinds, e.kind) || !allows(class.zones, e.zone) {
		return false
	}
	if e.availability != Active || e.state == executorEjected {
		return false
	}
	if s.now < e.warmupUntil && !s.fitsWarmupShare(class, e) {
		return false
	}
	return !s.outOfReach(r, class, e.zone) && s.now <= s.drainSafeUntil(e)
}

// latestStart returns when an attempt must have begun: later its client has its answer, or its repeats may
// not be dropped.
func (s *Scheduler) latestStart(r *request) float64 {
	latest := r.deadline - answerMarginMS
	for prior := range s.priorAttempts(r) {
		latest = min(latest, prior.At+s.classes[r.class].dedupWindowMS-answerMarginMS)
	}
	return latest
}

// outOfReach reports whether a zone has no capacity left, or is too far for what a request is worth or for
// its deadline.
func (s *Scheduler) outOfReach(r *request, class *classState, name string) bool {
	zone := s.remoteZoneFor(class, name)
	if zone == nil {
		return false
	}
	if float64(zone.threads+class.threads) > zone.Capacity || r.density < zone.MinDensity {
		return true
	}
	return s.now+zone.LatencyMS+class.minRunMS(r) > r.deadline-answerMarginMS
}

// mayReject is the one place that decides whether a request may be rejected. Clients retry what is rejected,
// so nothing of the request may have run unless a repeat of it is harmless wherever it goes.
func (s *Scheduler) mayReject(r *request) bool {
	class := &s.classes[r.class]
	droppedEverywhere := class.effect == Keyed && class.dedupScope == DedupAll
	return class.effect == Idempotent || droppedEverywhere || !r.mayHaveRun()
}

// rejectOrFail gives a request its final answer without a result.
func (s *Scheduler) rejectOrFail(slot int) {
	r := s.requests.at(slot)
	if s.mayReject(r) {
		s.emit(Action{Kind: Reject, Request: r.id, AfterMS: s.retryAfterMS()})
	} else {
		s.emit(Action{Kind: Fail, Request: r.id})
	}
	s.cancelAttempts(slot)
}

// retryAfterMS returns when a rejected client is to come back: at random times, so that not all come at once.
func (s *Scheduler) retryAfterMS() float64 {
	if !s.settings.NamesRetryAfter {
		return 0
	}
	return s.settings.MaxRetryAfterMS * (0.5 + 0.5*s.random())
}
