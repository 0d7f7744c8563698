package scheduler

// Outlier ejection: which executors get nothing for a while because they show no sign of work, or only
// failures; which attempts there are cancelled to be sent anew; and how health checks bring an executor back.
// An executor is judged by progress reports, outcomes and health checks alone, never by how long its work
// takes. Where half of all look bad, nobody is ejected: the cause is something that they share, this
// controller's network among others.

import (
	"math"
)

const (
	lateProgressIntervals   = 1.5 // intervals until an attempt must have been reported: one, and its phase
	silentProgressIntervals = 3.0 // intervals without any sign, though health checks are answered
	progressSlackMS         = 100 // on top of both, for reports on their way
	probeIntervalMS         = 500
	probesToRecover         = 2 // in a row: one may be luck
	maxFailures             = 5 // in a row: broken connections hit good executors too
	avoidMS                 = 300
)

// eject cancels the attempts at an ejected executor, as far as others may follow them: it may only be cut
// off.
func (s *Scheduler) eject(index int) {
	e := &s.executors[index]
	e.ejectedAt = s.now
	e.probesAnswered = 0
	e.ejections++
	s.abandonAttempts(index, s.now, false)
}

// abandonAttempts gives up attempts that were sent before a time: all if they are surely gone, else those
// that may be replaced.
func (s *Scheduler) abandonAttempts(index int, before float64, surelyGone bool) {
	for slot := range s.requests.entries {
		r := s.requests.at(slot)
		if !r.inUse || r.state != requestRunning {
			continue
		}
		a := r.lastAttempt()
		if a.executor != index || a.sentAt >= before {
			continue
		}
		if surelyGone || s.classes[r.class].effect != NonIdempotent && s.mayReplaceAttempt(r) {
			s.applyToRequest(slot, inputAttemptAbandoned)
		}
	}
}

// suspect ejects an executor, unless half of all look bad.
func (s *Scheduler) suspect(index int) {
	bad := 1
	active := 0
	for other := range s.executors {
		e := &s.executors[other]
		if e.availability != Active {
			continue
		}
		active++
		if other != index && (e.state == executorEjected || s.silentMS(e) > s.progressIntervalMS()) {
			bad++
		}
	}
	if 2*bad <= active {
		s.applyToExecutor(index, inputUnresponsive)
	}
}

// recordFailure counts a failed attempt against its executor. A single one suffices while the executor has
// not done any work since it came back, or a refused connection where this controller's share is too small to
// see five.
func (s *Scheduler) recordFailure(index int, outcome Outcome) {
	e := &s.executors[index]
	e.failures++
	if e.failures > 1 || outcome == ConnectFailed {
		e.avoidUntil = s.now + avoidMS
	}
	if e.failures >= maxFailures || !e.proven || outcome == ConnectFailed && s.sharesUnderOneThread(e) {
		s.suspect(index)
	}
}

// recordHealthCheck takes the result of a health check. One that failed on this side says nothing of the
// executor.
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

// missedProgress reports whether an attempt is sent anew because its progress report is missing though its
// executor goes on reporting others: the reply was lost, the stream cut or the attempt dropped. One that is
// queued for memory reports nothing.
func (s *Scheduler) missedProgress(r *request, a *attempt) bool {
	interval := s.settings.ProgressEveryMS
	e := &s.executors[a.executor]
	isLate := interval > 0 && s.now-a.progressAt > lateProgressIntervals*interval+progressSlackMS && !a.queued
	if !isLate || e.lastSignAt <= a.progressAt || e.state == executorEjected {
		return false
	}
	return s.classes[r.class].effect != NonIdempotent && s.mayReplaceAttempt(r)
}

// watchExecutor ends a warm-up, has an executor checked that is ejected or shows no sign of work, and ejects
// it when that goes on.
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
		s.suspect(index)
	}
}

// checkExecutor sends a health check. Where there are none, time brings an ejected executor back, later after
// each ejection.
func (s *Scheduler) checkExecutor(index int) {
	e := &s.executors[index]
	if !s.settings.MayHealthCheck {
		if e.state == executorEjected && s.now > e.ejectedAt+s.progressIntervalMS()*float64(e.ejections) {
			s.applyToExecutor(index, inputProbesAnswered)
		}
		return
	}
	// All controllers together send as many as one would times the root of their number.
	if !e.probing && s.now >= e.probedAt+probeIntervalMS/math.Sqrt(s.trafficShare) {
		s.sendProbe(e)
	}
}

// isUnresponsive reports whether an executor has been silent for too long. Attempts that are queued for
// memory report nothing: where all are, silence counts only with a failed health check.
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
