package scheduler

import "math"

const (
	holderReportMS = 2000 // ms that a load met once is taken to go on: a part of what loads take
	badPlanFactor  = 4.0  // times the expected running time at which a plan counts as bad; more tells no pace
	badPlanMinMS   = 400  // ms that an attempt runs before its plan is judged
)

// startAttempt sends the attempt placed, at the top level.
func (s *Scheduler) startAttempt(slot int) {
	r, e := &s.requests.entries[slot], &s.executors[s.assignTo]
	class, by := &s.classes[r.class], min(s.latestStart(r), s.drainSafeUntil(e))
	r.priority, r.quanta, r.level = topPriority, 0, topLevel
	if r.startPriority > 0 && !class.holdsGroup { // past its budget while others wait: the paper's static p0 (3.2)
		r.priority, r.level = min(r.startPriority, topPriority), levelFor(min(r.startPriority, topPriority))
	}
	s.reserve(r, s.assignTo, s.memoryGrant(r, e))
	e.backlogMS, e.backlogAt = s.backlog(e)+r.workMS, s.now
	e.reportedThreads, e.reportedMB = e.reportedThreads+float64(class.threads), e.reportedMB+s.memoryGrant(r, e)
	if s.now < e.warmupUntil {
		e.warmupSent.add(s.now, class.usualWorkMS)
	}
	if class.holdsGroup {
		s.groupHolders = append(s.groupHolders, groupHolder{r.tableGroup, s.assignTo, math.Inf(1)})
	}
	s.setResources(r)
	s.emit(Action{Kind: Send, Request: r.id, Executor: e.id, LatestStart: by})
}

func (s *Scheduler) cancelAttempts(slot int) {
	r := &s.requests.entries[slot]
	for k := range r.attemptCount {
		if r.attempts[k].inFlight && s.settings.MayCancel {
			s.emit(Action{Kind: Cancel, Request: r.id, Attempt: k})
		}
	}
	s.releaseIfSettled(slot)
}

func (s *Scheduler) recordProgress(slot int, a *attempt, ev *Event) {
	r := &s.requests.entries[slot]
	class, e := &s.classes[r.class], &s.executors[a.executor]
	e.lastSignAt, e.probeFailed, a.progressAt, e.acceptedAt = s.now, false, s.now, max(e.acceptedAt, a.sentAt)
	switch ev.Progress {
	case Waiting:
		s.setQueued(a, true)
		s.dispatchNeeded = true
		// A reader that stands behind a load goes elsewhere at once: all it loses is the attempt that it uses up.
		if ev.Value == 2 {
			s.reportedHolders = append(s.reportedHolders, groupHolder{r.tableGroup, a.executor, s.now + holderReportMS})
			if r.state == requestRunning && class.effect == Idempotent && a.doneShare == 0 && s.mayReplaceAttempt(r) {
				s.applyToRequest(slot, inputAttemptAbandoned)
			}
		}
	case Spilling:
		if r.memoryMB > 0 {
			class.memoryFactor = max(class.memoryFactor, class.memoryFactor+smoothing*((a.grantMB+ev.Value)/r.memoryMB*spillMemoryFactor-class.memoryFactor))
		}
	case Progress:
		if ev.Value > a.doneShare { // an attempt that stands still goes on telling the share that it has
			a.doneShare = ev.Value
			s.setQueued(a, false)
		}
		e.proven = e.proven || ev.Value > 0
		least := r.workMS / float64(class.threads)
		expected := least * max(1, class.slowdown) * max(1, e.slowdown)
		projected := a.ranMS / max(a.doneShare, 0.01)
		// A bad plan, told by a pace far under that of offering and executor, or an attempt that was forgotten
		// there. It harms when an estimate is far too low, hence the limit on what is left.
		if r.state == requestRunning && a.ranMS > badPlanMinMS && projected > badPlanFactor*expected &&
			projected-a.ranMS > 2*expected && class.effect == Idempotent && s.mayReplaceAttempt(r) {
			s.applyToRequest(slot, inputAttemptAbandoned)
		}
	}
}

func (s *Scheduler) endAttempt(slot int, a *attempt, ev *Event) {
	r := &s.requests.entries[slot]
	class, e := &s.classes[r.class], &s.executors[a.executor]
	s.releaseReservation(r, a, !ev.Outcome.NeverRan())
	s.dispatchNeeded = true
	switch ev.Outcome {
	case Succeeded:
		e.lastSignAt, e.probeFailed, e.proven, e.failures, e.acceptedAt = s.now, false, true, 0, max(e.acceptedAt, a.sentAt)
		s.learnFromAnswer(r, class, e, a, ev)
	case Overloaded:
		e.avoidUntil = s.now + avoidMS
	case LocalFailure:
		e.avoidUntil = s.now + avoidMS // others may have a connection already
		s.recordLocalFailure(r, a)
	case Errored, ConnectFailed, ConnectionLost:
		r.errorCount += count(ev.Outcome == Errored)
		if e.failures++; e.failures > 1 || ev.Outcome == ConnectFailed {
			e.avoidUntil = s.now + avoidMS
		}
		if e.failures >= maxFailures || !e.proven || ev.Outcome == ConnectFailed && s.sharesUnderOneThread(e) {
			s.suspect(a.executor)
		}
	}
	if rest := s.settings.OrderKeyRestMS; r.orderKey != "" && rest > 0 &&
		(ev.Outcome == TimedOut || ev.Outcome == ConnectionLost || ev.Outcome == Cancelled) {
		s.orderKeyBlockedUntil[r.orderKey] = s.now + rest
	}
	if ev.Final {
		s.applyToRequest(slot, inputFinished)
	} else if ev.Blocked {
		s.applyToRequest(slot, inputUnservable)
	} else if r.state != requestDone && r.inFlight == 0 {
		s.applyToRequest(slot, inputAttemptFailed)
	}
	s.releaseIfSettled(slot)
}
