package scheduler

// Attempts: how an attempt starts, how its progress reports and its outcome are handled, and when it is cancelled to
// be replaced by another one. An attempt starts at the top priority (section 3.2 of the paper cited in priority.go)
// unless the request's team is over its quota.

import "math"

const (
	holderReportLifetimeMS = 2000 // time for which a reported holder is assumed to keep holding its table group
	badPlanFactor          = 4.0  // multiple of the expected running time above which an attempt has a bad plan
	badPlanMinRunMS        = 400  // running time before which an attempt isn't checked for a bad plan

	// badPlanRemainingFactor is the multiple of the expected running time that must remain for an attempt to have a
	// bad plan. It keeps attempts whose work was estimated far too low but that are close to their end.
	badPlanRemainingFactor = 2

	// waitingForGroupHolder is the Value of a Waiting report of an attempt that waits for a holder of its table
	// group.
	waitingForGroupHolder = 2
)

// startAttempt sends the next attempt at a request to the executor in assignTo, and counts it against the executor
// until its next load report.
func (s *Scheduler) startAttempt(slot int) {
	r := s.requests.at(slot)
	e := &s.executors[s.assignTo]
	class := &s.classes[r.class]
	latest := min(s.latestStart(r), s.drainSafeUntil(e))
	s.setStartPriority(r, class)
	grant := s.memoryGrant(r, e)
	s.reserve(r, s.assignTo, grant)
	inDoubt := s.mayBeReplaced(e)
	if inDoubt {
		r.lastAttempt().doubtSince = e.lostAt
	}
	e.backlogMS = s.backlog(e) + r.workMS
	e.backlogAt = s.now
	e.reportedThreads += float64(class.threads)
	e.reportedMB += grant
	if s.now < e.warmupUntil {
		e.warmupSent.add(s.now, class.meanWorkMS)
	}
	if class.holdsGroup {
		s.groupHolders = append(s.groupHolders, groupHolder{r.tableGroup, s.assignTo, math.Inf(1)})
	}
	s.setResources(r)
	s.emit(Action{
		Kind:          Send,
		Request:       r.id,
		Executor:      e.id,
		LatestStart:   latest,
		Target:        e.location(),
		TargetInDoubt: inDoubt && class.deduplicatesByLocation(),
	})
}

// recordProgress handles a progress report of an attempt in flight. It abandons an attempt that waits for a
// holder of its table group or has a bad plan, if another attempt can follow.
func (s *Scheduler) recordProgress(slot int, a *attempt, ev *Event) {
	r := s.requests.at(slot)
	class := &s.classes[r.class]
	e := &s.executors[a.executor]
	e.recordActivity(s.now, a)
	a.progressAt = s.now
	switch ev.Progress {
	case Waiting:
		s.setQueued(a, true)
		s.dispatchNeeded = true
		if ev.Value == waitingForGroupHolder {
			holder := groupHolder{group: r.tableGroup, executor: a.executor, until: s.now + holderReportLifetimeMS}
			s.reportedHolders = append(s.reportedHolders, holder)
			if s.shouldLeaveHolder(r, class, a) {
				s.applyToRequest(slot, inputAttemptAbandoned)
			}
		}
	case Spilling:
		class.recordSpilling(r, a, ev.Value)
	case Progress:
		if ev.Value > a.completedShare { // a queued attempt keeps reporting the share that it has already completed
			a.completedShare = ev.Value
			s.setQueued(a, false)
		}
		e.proven = e.proven || ev.Value > 0
		if s.hasBadPlan(r, class, e, a) {
			s.applyToRequest(slot, inputAttemptAbandoned)
		}
	}
}

// shouldLeaveHolder reports whether an attempt that waits for a holder of its table group is sent to another
// executor instead. That is so only for an idempotent request whose attempt has completed nothing yet.
func (s *Scheduler) shouldLeaveHolder(r *request, class *classState, a *attempt) bool {
	mayRunAgain := r.state == requestRunning && class.idempotency == Idempotent
	return mayRunAgain && a.completedShare == 0 && s.mayReplaceAttempt(r)
}

// hasBadPlan reports whether an attempt is much slower than expected for its class and executor and may be replaced.
// The executor has chosen a bad execution plan for it, or has lost it.
func (s *Scheduler) hasBadPlan(r *request, class *classState, e *executor, a *attempt) bool {
	if r.state != requestRunning || class.idempotency != Idempotent || a.runningMS <= badPlanMinRunMS {
		return false
	}
	expected := class.minRunMS(r) * max(1, class.slowdown) * max(1, e.slowdown)
	projected := a.runningMS / max(a.completedShare, 0.01)
	if projected <= badPlanFactor*expected || projected-a.runningMS <= badPlanRemainingFactor*expected {
		return false
	}
	return s.mayReplaceAttempt(r)
}

// endAttempt handles the outcome of an attempt: it releases what the attempt had reserved, records the outcome, and
// finishes the request or returns it to the queue.
func (s *Scheduler) endAttempt(slot int, a *attempt, ev *Event) {
	r := s.requests.at(slot)
	s.releaseReservation(r, a, !ev.Outcome.NeverRan())
	s.dispatchNeeded = true
	s.recordOutcome(r, a, ev)
	s.blockOrderKey(r, ev.Outcome)
	switch {
	case ev.Final:
		s.applyToRequest(slot, inputFinished)
	case ev.Blocked, ev.Unrecorded && !s.awaitsRecord(r):
		s.applyToRequest(slot, inputUnservable)
	case r.state != requestDone && r.inFlight == 0:
		s.applyToRequest(slot, inputAttemptFailed)
	}
	s.releaseIfSettled(slot)
}

// recordOutcome records the outcome of an attempt for its request, its class and its executor.
func (s *Scheduler) recordOutcome(r *request, a *attempt, ev *Event) {
	class := &s.classes[r.class]
	e := &s.executors[a.executor]
	switch ev.Outcome {
	case Succeeded:
		e.recordActivity(s.now, a)
		e.proven = true
		e.failures = 0
		s.updateEstimates(r, class, e, a, ev)
	case Overloaded:
		e.avoidUntil = s.now + avoidMS
	case NeverSent:
		if ev.Unrecorded {
			s.withdrawUnrecorded(r, a)
		}
	case LocalFailure:
		e.avoidUntil = s.now + avoidMS // another executor may already have an open connection
		s.recordLocalFailure(r, a)
	case Errored, ConnectFailed, ConnectionLost:
		if ev.Outcome == Errored {
			r.errorCount++
		} else {
			e.lostAt = s.now
		}
		s.recordFailure(a.executor, ev.Outcome)
	}
}
