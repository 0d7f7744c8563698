package scheduler

// Attempts: how one starts, what its progress reports and its outcome lead to, and when it is cancelled to be
// sent anew. An attempt starts at the top priority level, whatever its request (paper, 3.2), unless its team
// is over its budget.

import "math"

const (
	holderReportMS    = 2000 // that a reported holder of a table group is taken to go on
	badPlanFactor     = 4.0  // times the expected running time
	badPlanMinMS      = 400  // that an attempt runs before its plan is judged
	badPlanLeftFactor = 2    // times the expected running time left: an estimate may be far too low

	waitsForHolder = 2 // value of a Waiting report: behind a holder of the table group
)

func (s *Scheduler) startAttempt(slot int) {
	r := s.requests.at(slot)
	e := &s.executors[s.assignTo]
	class := &s.classes[r.class]
	latest := min(s.latestStart(r), s.drainSafeUntil(e))
	s.setStartPriority(r, class)
	grant := s.memoryGrant(r, e)
	s.reserve(r, s.assignTo, grant)
	e.backlogMS = s.backlog(e) + r.workMS
	e.backlogAt = s.now
	e.reportedThreads += float64(class.threads)
	e.reportedMB += grant
	if s.now < e.warmupUntil {
		e.warmupSent.add(s.now, class.usualWorkMS)
	}
	if class.holdsGroup {
		s.groupHolders = append(s.groupHolders, groupHolder{r.tableGroup, s.assignTo, math.Inf(1)})
	}
	s.setResources(r)
	s.emit(Action{Kind: Send, Request: r.id, Executor: e.id, LatestStart: latest})
}

func (s *Scheduler) recordProgress(slot int, a *attempt, ev *Event) {
	r := s.requests.at(slot)
	class := &s.classes[r.class]
	e := &s.executors[a.executor]
	e.recordSign(s.now, a)
	a.progressAt = s.now
	switch ev.Progress {
	case Waiting:
		s.setQueued(a, true)
		s.dispatchNeeded = true
		if ev.Value == waitsForHolder {
			holder := groupHolder{group: r.tableGroup, executor: a.executor, until: s.now + holderReportMS}
			s.reportedHolders = append(s.reportedHolders, holder)
			if s.leavesHolder(r, class, a) {
				s.applyToRequest(slot, inputAttemptAbandoned)
			}
		}
	case Spilling:
		class.learnSpilling(r, a, ev.Value)
	case Progress:
		if ev.Value > a.doneShare { // an attempt that stands still goes on reporting the share that it has
			a.doneShare = ev.Value
			s.setQueued(a, false)
		}
		e.proven = e.proven || ev.Value > 0
		if s.hasBadPlan(r, class, e, a) {
			s.applyToRequest(slot, inputAttemptAbandoned)
		}
	}
}

// leavesHolder reports whether an attempt that stands still behind a holder is sent elsewhere: all that it
// loses is the attempt.
func (s *Scheduler) leavesHolder(r *request, class *classState, a *attempt) bool {
	mayRunAgain := r.state == requestRunning && class.effect == Idempotent
	return mayRunAgain && a.doneShare == 0 && s.mayReplaceAttempt(r)
}

// hasBadPlan reports whether an attempt is far slower than its class and executor: it has a bad plan, or was
// forgotten there.
func (s *Scheduler) hasBadPlan(r *request, class *classState, e *executor, a *attempt) bool {
	if r.state != requestRunning || class.effect != Idempotent || a.ranMS <= badPlanMinMS {
		return false
	}
	expected := class.minRunMS(r) * max(1, class.slowdown) * max(1, e.slowdown)
	projected := a.ranMS / max(a.doneShare, 0.01)
	if projected <= badPlanFactor*expected || projected-a.ranMS <= badPlanLeftFactor*expected {
		return false
	}
	return s.mayReplaceAttempt(r)
}

func (s *Scheduler) endAttempt(slot int, a *attempt, ev *Event) {
	r := s.requests.at(slot)
	s.releaseReservation(r, a, !ev.Outcome.NeverRan())
	s.dispatchNeeded = true
	s.judgeOutcome(r, a, ev)
	s.blockOrderKey(r, ev.Outcome)
	switch {
	case ev.Final:
		s.applyToRequest(slot, inputFinished)
	case ev.Blocked:
		s.applyToRequest(slot, inputUnservable)
	case r.state != requestDone && r.inFlight == 0:
		s.applyToRequest(slot, inputAttemptFailed)
	}
	s.releaseIfSettled(slot)
}

func (s *Scheduler) judgeOutcome(r *request, a *attempt, ev *Event) {
	class := &s.classes[r.class]
	e := &s.executors[a.executor]
	switch ev.Outcome {
	case Succeeded:
		e.recordSign(s.now, a)
		e.proven = true
		e.failures = 0
		s.learnFromAnswer(r, class, e, a, ev)
	case Overloaded:
		e.avoidUntil = s.now + avoidMS
	case LocalFailure:
		e.avoidUntil = s.now + avoidMS // others may have a connection already
		s.recordLocalFailure(r, a)
	case Errored, ConnectFailed, ConnectionLost:
		if ev.Outcome == Errored {
			r.errorCount++
		}
		s.recordFailure(a.executor, ev.Outcome)
	}
}
