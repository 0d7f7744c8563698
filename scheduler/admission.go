package scheduler

// Admission decides which requests are accepted, which attempts may be sent and which requests may be rejected.
//
// Every accepted request gets exactly one final answer before its deadline. Side effects are never duplicated: after
// an attempt that may have run, a non-idempotent request gets no further attempt, and a keyed request gets one only on
// executors that deduplicate it, within the dedup window. Requests with the same order key run one at a time. The
// placement constraints of a class (executor kinds and zones) always hold.

import "math"

const (
	answerMarginMS     = 25 // time before the deadline at which a request is answered: one tick and the timer delay
	maxErroredAttempts = 2  // attempts that end in an error, after which the request itself is considered faulty
)

// admit adds a new request to the request table and rejects it at once if its class is unknown or it is blocked.
// A request that is already in the table is ignored.
func (s *Scheduler) admit(ev *Event) {
	if _, known := s.requests.find(ev.Request); known {
		return
	}
	index := s.classIndex(ev.Class)
	if index < 0 { // without a class, the idempotency and the placement constraints are unknown
		s.emit(Action{Kind: Reject, Request: ev.Request})
		return
	}
	slot := s.addRequest(ev, index)
	r := s.requests.at(slot)
	class := &s.classes[index]
	r.workMS = class.expectedWorkMS(r.estimateMS)
	class.recordArrival(r.workMS)
	r.deadline = min(r.deadline, s.shutdownDeadline)
	r.softDeadline = s.now + class.softDeadlineMS + class.softDeadlineWorkFactor*r.workMS/float64(class.threads)
	s.addProbeTokens(probesPerRequest)
	s.dispatchNeeded = true
	if ev.Immediate {
		s.dispatchedAt = math.Inf(-1) // it does not wait for the next pass
	}
	if ev.Blocked { // the request is not on record, so a repeat of it after a crash could not be recognized
		s.applyToRequest(slot, inputUnservable)
	}
}

// shutDown limits the deadlines of all current and future requests to the deadline of a planned shutdown.
func (s *Scheduler) shutDown(deadline float64) {
	s.shutdownDeadline = deadline
	s.dispatchNeeded = true
	for slot := range s.requests.entries {
		r := s.requests.at(slot)
		r.deadline = min(r.deadline, deadline)
	}
}

// maySend decides whether an attempt at a request may be sent to the executor at an index. No attempt is sent
// without this check.
func (s *Scheduler) maySend(r *request, index int) sendVerdict {
	class := &s.classes[r.class]
	e := &s.executors[index]
	if !s.isReady(r) {
		return sendLater
	}
	if !s.attemptsLeft(r) {
		return sendNever
	}
	scoped := class.deduplicatesByLocation()
	if scoped && s.ranInDoubt(r) {
		return sendNever
	}
	for prior := range s.priorAttempts(r) {
		if class.idempotency != Keyed || s.now > s.latestStart(r) {
			return sendNever
		}
		if !class.deduplicates(prior, e) || scoped && s.mayBeReplaced(e) {
			return sendElsewhere
		}
	}
	if r.startedCount() > 0 && !s.retryBudgetLeft(0) || s.orderKeyBlocked(r) {
		return sendLater
	}
	if !s.isEligible(r, class, e) {
		return sendElsewhere
	}
	return sendAllowed
}

// isReady reports whether a request is queued with no attempt in flight, past its local retry backoff and early
// enough before its deadline. A request never has two attempts in flight.
func (s *Scheduler) isReady(r *request) bool {
	inTime := s.now >= r.retryNotBefore && s.now < r.deadline-answerMarginMS
	return r.state == requestQueued && r.inFlight == 0 && inTime
}

// isEligible reports whether an executor may currently run a request of a class: its kind and zone satisfy the
// placement constraints, its zone is within reach, this controller's share of its warm-up budget has room, and it is
// neither ejected nor possibly draining.
func (s *Scheduler) isEligible(r *request, class *classState, e *executor) bool {
	if !allows(class.kinds, e.kind) || !allows(class.zones, e.zone) {
		return false
	}
	if e.availability != Active || e.state == executorEjected {
		return false
	}
	if s.now < e.warmupUntil && !s.fitsWarmupShare(class, e) {
		return false
	}
	return !s.zoneOutOfReach(r, class, e.zone) && s.now <= s.drainSafeUntil(e)
}

// latestStart returns the latest time at which an attempt at a request may start. Later the client already has its
// final answer, or the dedup window of a prior attempt is over and executors may not drop the repeat.
func (s *Scheduler) latestStart(r *request) float64 {
	latest := r.deadline - answerMarginMS
	for prior := range s.priorAttempts(r) {
		latest = min(latest, prior.At+s.classes[r.class].dedupWindowMS-answerMarginMS)
	}
	return latest
}

// zoneOutOfReach reports whether a zone is remote for a class and has no capacity left, requires a higher value
// density than the request has, or is too far away to answer before the deadline.
func (s *Scheduler) zoneOutOfReach(r *request, class *classState, name string) bool {
	zone := s.remoteZoneFor(class, name)
	if zone == nil {
		return false
	}
	if float64(zone.threads+class.threads) > zone.Capacity || r.density < zone.MinDensity {
		return true
	}
	return s.now+zone.LatencyMS+class.minRunMS(r) > r.deadline-answerMarginMS
}

// mayReject decides whether a request may be rejected. Clients retry rejected requests, so nothing of the request
// may have run unless every executor that a repeat can reach drops the repeat or may run it again.
func (s *Scheduler) mayReject(r *request) bool {
	class := &s.classes[r.class]
	droppedEverywhere := class.idempotency == Keyed && class.dedupScope == DedupAll
	return class.idempotency == Idempotent || droppedEverywhere || !r.mayHaveRun()
}

// rejectOrFail gives a request its final answer without a result and cancels its attempts in flight. The request
// fails where rejecting it could make the client run it twice.
func (s *Scheduler) rejectOrFail(slot int) {
	r := s.requests.at(slot)
	if s.mayReject(r) {
		s.emit(Action{Kind: Reject, Request: r.id, AfterMS: s.retryAfterMS()})
	} else {
		s.fail(r)
	}
	s.cancelAttempts(slot)
}

// fail fails a request. An attempt in flight may not have been sent yet, for example because its record is not durable,
// which only the caller knows.
func (s *Scheduler) fail(r *request) {
	action := Action{Kind: Fail, Request: r.id, RejectIfUnsent: !r.mayHaveRunBefore()}
	if action.RejectIfUnsent && s.settings.SendsRetryAfter {
		action.AfterMS = s.settings.MaxRetryAfterMS
	}
	s.emit(action)
}

// retryAfterMS returns the delay after which a rejected client is asked to retry, or 0 if rejections carry none. The
// delay is randomized so that rejected clients don't all return at once.
func (s *Scheduler) retryAfterMS() float64 {
	if !s.settings.SendsRetryAfter {
		return 0
	}
	return s.settings.MaxRetryAfterMS * (0.5 + 0.5*s.random())
}
