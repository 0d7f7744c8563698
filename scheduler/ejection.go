package scheduler

// Outlier ejection: which executors get no attempts for a while because they show no activity or only failures, which
// of their attempts are cancelled and retried elsewhere, and how health checks bring an executor back. Executors are
// judged only by progress reports, outcomes and health checks, never by how long their work takes. While more than
// half of the executors look unhealthy, no further one is ejected: the cause is then probably shared, for example this
// controller's own network.

import (
	"math"
)

const (
	lateProgressIntervals   = 1.5 // progress intervals after which a report is late: one, and the phase of the reports
	silentProgressIntervals = 3.0 // progress intervals without any activity, though health checks are answered
	progressSlackMS         = 100 // added to both, for reports in transit
	probeIntervalMS         = 500
	probesToRecover         = 2   // consecutive answers, as one may be chance; multiplied by the number of ejections
	maxFailures             = 5   // consecutive failures; a few lost connections don't eject a healthy executor
	avoidMS                 = 300 // time without new attempts after a failure or a refusal
)

// eject records an ejection and cancels the executor's attempts where a retry is allowed. The others stay in flight,
// since the executor may only be unreachable.
func (s *Scheduler) eject(index int) {
	e := &s.executors[index]
	e.ejectedAt = s.now
	e.probesAnswered = 0
	e.ejections++
	s.abandonAttempts(index, s.now, false)
}

// abandonAttempts abandons the attempts that were sent to an executor before a point in time. If they are known to be
// lost, it abandons all of them, and otherwise only those that another attempt may replace.
func (s *Scheduler) abandonAttempts(index int, before float64, lost bool) {
	for slot := range s.requests.entries {
		r := s.requests.at(slot)
		if !r.inUse || r.state != requestRunning {
			continue
		}
		a := r.lastAttempt()
		if a.executor != index || a.sentAt >= before {
			continue
		}
		if lost || s.classes[r.class].idempotency != NonIdempotent && s.mayReplaceAttempt(r) {
			s.applyToRequest(slot, inputAttemptAbandoned)
		}
	}
}

// tryEject ejects an executor, unless more than half of the active executors, this one included, look unhealthy.
func (s *Scheduler) tryEject(index int) {
	unhealthy := 1
	active := 0
	for other := range s.executors {
		e := &s.executors[other]
		if e.availability != Active {
			continue
		}
		active++
		if other != index && (e.state == executorEjected || s.silentMS(e) > s.progressIntervalMS()) {
			unhealthy++
		}
	}
	if 2*unhealthy <= active {
		s.applyToExecutor(index, inputUnresponsive)
	}
}

// recordFailure counts a failed attempt against its executor and ejects the executor after maxFailures consecutive
// failures. A single failure is enough while the executor has done no work since it last started or recovered, and a
// single refused connection where this controller's share of the executor is too small to see many attempts fail.
func (s *Scheduler) recordFailure(index int, outcome Outcome) {
	e := &s.executors[index]
	e.failures++
	if e.failures > 1 || outcome == ConnectFailed {
		e.avoidUntil = s.now + avoidMS
	}
	if e.failures >= maxFailures || !e.proven || outcome == ConnectFailed && s.sharesUnderOneThread(e) {
		s.tryEject(index)
	}
}

// recordHealthCheck applies the result of a health check. A local failure says nothing about the executor.
func (s *Scheduler) recordHealthCheck(ev *Event) {
	index := s.executorIndex(ev.Executor)
	if index < 0 {
		return
	}
	e := &s.executors[index]
	e.probing = false
	if ev.Outcome == LocalFailure {
		return
	}
	s.dispatchNeeded = true
	if len(ev.LoadReport) > 0 {
		s.recordLoadReport(e, ev)
	}
	e.probeFailed = ev.Outcome != Succeeded
	if e.probeFailed {
		e.probesAnswered = 0
		e.avoidUntil = s.now + avoidMS
		return
	}
	e.probesAnswered++
	if e.state == executorEjected && e.probesAnswered >= probesToRecover*e.ejections {
		s.applyToExecutor(index, inputProbesAnswered)
	}
}

// missedProgress reports whether an attempt is to be replaced because its progress report is late although its
// executor has sent others since: the attempt was dropped, or its reply or stream was lost. Attempts that wait in the
// executor's own queue send no reports.
func (s *Scheduler) missedProgress(r *request, a *attempt) bool {
	interval := s.settings.ProgressEveryMS
	e := &s.executors[a.executor]
	isLate := interval > 0 && s.now-a.progressAt > lateProgressIntervals*interval+progressSlackMS && !a.queued
	if !isLate || e.lastActivityAt <= a.progressAt || e.state == executorEjected {
		return false
	}
	return s.classes[r.class].idempotency != NonIdempotent && s.mayReplaceAttempt(r)
}

// watchExecutor ends a warm-up that is over, sends health checks to an ejected or silent executor, and ejects an
// executor that stays silent.
func (s *Scheduler) watchExecutor(index int) {
	e := &s.executors[index]
	if e.state == executorWarmingUp && s.now >= e.warmupUntil {
		e.ejections = 0
		s.applyToExecutor(index, inputWarmedUp)
	}
	if e.availability != Active {
		return
	}
	silentMS := s.silentMS(e)
	if e.state == executorEjected || silentMS > min(s.progressIntervalMS(), probeIntervalMS) {
		s.checkExecutor(index)
	}
	if s.isUnresponsive(e, silentMS) {
		s.tryEject(index)
	}
}

// checkExecutor sends a health check if one is due. In deployments without health checks an ejected executor returns
// after a time that grows with the number of its ejections.
func (s *Scheduler) checkExecutor(index int) {
	e := &s.executors[index]
	if !s.settings.MayHealthCheck {
		if e.state == executorEjected && s.now > e.ejectedAt+s.progressIntervalMS()*float64(e.ejections) {
			s.applyToExecutor(index, inputProbesAnswered)
		}
		return
	}
	// The total rate of health checks grows with the square root of the number of controllers.
	if !e.probing && s.now >= e.probedAt+probeIntervalMS/math.Sqrt(s.trafficShare) {
		s.sendProbe(e)
	}
}

// isUnresponsive reports whether an executor has been silent for too long. If all its attempts wait in its own queue,
// from where they send no reports, silence counts only together with a failed health check.
func (s *Scheduler) isUnresponsive(e *executor, silentMS float64) bool {
	allQueued := e.queued >= e.inFlight
	if e.state == executorEjected || allQueued && !e.probeFailed {
		return false
	}
	intervals := silentProgressIntervals
	if e.probeFailed && !allQueued {
		intervals = lateProgressIntervals
	}
	return silentMS > intervals*s.progressIntervalMS()+progressSlackMS
}
