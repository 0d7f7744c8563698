package scheduler

import (
	"cmp"
	"slices"
)

const (
	minLateShare   = 0.25 // share of the gain that a late answer must earn for a request to wait for it
	longQueue      = 50   // requests waiting that are a crowd: to go through them at each event costs too much
	answerMarginMS = 25   // ms before the client gives up at which it gets its answer: one beat and a tick
	maxErrors      = 2    // errors after which a request itself is at fault: a third executor would say the same
)

func (s *Scheduler) admit(ev *Event) {
	if _, ok := s.requests.find(ev.Request); ok {
		return
	}
	k := slices.IndexFunc(s.classes, func(class classState) bool { return class.name == ev.Class })
	if k < 0 { // an offering that the settings don't name: nothing is known that would let it run
		s.emit(Action{Kind: Reject, Request: ev.Request})
		return
	}
	class, r := &s.classes[k], s.addRequest(ev, k)
	if class.estimatedWorkMS > 0 {
		r.workMS *= class.actualWorkMS / class.estimatedWorkMS
	}
	r.workMS, r.deadline = cmp.Or(max(0, r.workMS), class.usualWorkMS, 1), min(r.deadline, s.shutdownDeadline)
	class.arrivals++
	class.usualWorkMS += max(costSmoothing, 1/class.arrivals) * (r.workMS - class.usualWorkMS)
	r.softDeadline = s.now + class.softDeadlineMS + class.softDeadlineStretch*r.workMS/float64(class.threads)
	s.probeTokens = min(maxProbeTokens, s.probeTokens+probesPerRequest)
	if s.dispatchNeeded = true; ev.Blocked { // a repeat of it could not be told after a crash
		slot, _ := s.requests.find(ev.Request)
		s.applyToRequest(slot, inputUnservable)
	}
}

// shutDown makes a planned end the hard limit of all in hand and to come: the rest is denied, or failed.
func (s *Scheduler) shutDown(by float64) {
	s.shutdownDeadline, s.dispatchNeeded = by, true
	for slot := range s.requests.entries {
		s.requests.entries[slot].deadline = min(s.requests.entries[slot].deadline, by)
	}
}

// maySend is the one place that decides whether an attempt at s may go to executor x. notHere: this one
// won't do; notNow: none will at this moment; never: none will any more.
func (s *Scheduler) maySend(r *request, index int) sendVerdict {
	class, e := &s.classes[r.class], &s.executors[index]
	if r.state != requestQueued || r.inFlight > 0 || s.now >= r.deadline-answerMarginMS || s.now < r.retryNotBefore {
		return sendLater // a second attempt beside the first is never sent
	}
	if !s.attemptsLeft(r) {
		return sendNever
	}
	for first := range s.priorAttempts(r) { // what may have run, under this mark
		if class.effect != Keyed || s.now > s.latestStart(r) {
			return sendNever
		}
		if class.dedupScope == DedupZone && first.Zone != e.zone || class.dedupScope == DedupCell && first.Cell != e.cell {
			return sendElsewhere
		}
	}
	if r.startedCount() > 0 && !s.retryBudgetLeft(0) || r.orderKey != "" && (s.now < s.orderKeyBlockedUntil[r.orderKey] || s.hasPredecessor(r)) {
		return sendLater
	}
	if !among(class.kinds, e.kind) || !among(class.zones, e.zone) || e.availability != Active || e.state == executorEjected ||
		s.now < e.warmupUntil && !s.fitsWarmupShare(class, e) || s.outOfReach(r, class, e.zone) || s.now > s.drainSafeUntil(e) {
		return sendElsewhere
	}
	return sendAllowed
}

// latestStart is the clock by which an attempt of s must have begun, wherever it waits before: later its client
// has its answer, or what drops its repeats may have forgotten it.
func (s *Scheduler) latestStart(r *request) float64 {
	by := r.deadline - answerMarginMS
	for first := range s.priorAttempts(r) {
		by = min(by, first.At+s.classes[r.class].dedupWindowMS-answerMarginMS)
	}
	return by
}

// outOfReach tells whether a place is too far for a request: no room left there, too little gain, too long a
// way.
func (s *Scheduler) outOfReach(r *request, class *classState, place string) bool {
	zone := s.remoteZoneFor(class, place)
	return zone != nil && (float64(zone.threads+class.threads) > zone.Capacity || r.density < zone.MinDensity ||
		s.now+zone.LatencyMS+r.workMS/float64(class.threads) > r.deadline-answerMarginMS)
}

// mayReject is the one place that decides whether a request may be denied: a new try must do no harm.
func (s *Scheduler) mayReject(r *request) bool {
	class := &s.classes[r.class]
	return class.effect == Idempotent || class.effect == Keyed && class.dedupScope == DedupAll || !r.mayHaveRun()
}

// dispatchDue tells whether to go through what waits: a crowd once a tick, not at each event.
func (s *Scheduler) dispatchDue() bool { return s.now > s.dispatchedAt || len(s.queue) < longQueue }

// place sends what waits, the most gain for its work first, and gives up what can't earn any more.
func (s *Scheduler) dispatch() {
	s.collectQueue()
	slices.SortFunc(s.queue, func(a, b int) int {
		r, other := &s.requests.entries[a], &s.requests.entries[b]
		return cmp.Or(cmp.Compare(other.density, r.density), cmp.Compare(r.sequence, other.sequence))
	})
	for _, slot := range s.queue {
		r := &s.requests.entries[slot]
		again := r.attemptCount > 0 || r.prior.At != 0 && len(s.executors) > 0
		if r.density == 0 || again && s.maySend(r, 0) == sendNever ||
			r.startedCount() > 0 && s.mayReject(r) && !s.retryBudgetLeft(0) {
			s.applyToRequest(slot, inputUnservable)
		} else if s.saturated && !r.immediate {
			continue // no executor has room for a single thread, so nobody need ask again in this pass
		} else if index := s.selectExecutor(r); index >= 0 {
			s.assignTo = index
			s.applyToRequest(slot, inputAssigned)
		} else if r.immediate {
			s.emit(Action{Kind: ReturnRequest, Request: r.id})
			s.requests.remove(slot)
		} else if class := &s.classes[r.class]; class.lateShare < minLateShare && s.now+r.workMS/float64(class.threads) > r.softDeadline {
			s.applyToRequest(slot, inputUnservable) // sure to be late, and then worth little: it would only fill the line
		}
	}
	s.dispatchNeeded = false
}

// valueDensity is the gain that a request can still earn, for its work.
func (s *Scheduler) valueDensity(r *request) float64 {
	class := &s.classes[r.class]
	least := r.workMS / float64(class.threads)
	switch {
	case s.now+least > r.deadline-answerMarginMS || r.errorCount >= maxErrors:
		return 0
	case s.now+least > r.softDeadline:
		return class.value * class.lateShare / r.workMS
	}
	return class.value / r.workMS
}

func (s *Scheduler) rejectOrFail(slot int) {
	r := &s.requests.entries[slot]
	if s.mayReject(r) {
		a := Action{Kind: Reject, Request: r.id}
		if s.settings.NamesRetryAfter {
			a.AfterMS = s.settings.MaxRetryAfterMS * (0.5 + 0.5*s.random())
		}
		s.emit(a)
	} else {
		s.emit(Action{Kind: Fail, Request: r.id})
	}
	s.cancelAttempts(slot)
}
