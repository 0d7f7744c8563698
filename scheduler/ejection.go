package scheduler

import (
	"cmp"
	"math"
)

const (
	lateProgressIntervals   = 1.5 // note intervals until a running attempt must have been told of: one, and its phase
	silentProgressIntervals = 3.0 // note intervals without any sign though probes are answered
	progressSlackMS         = 100 // ms on top of both, for notes on their way
	probeIntervalMS         = 500 // ms between probes of an executor under suspicion: two probe time-outs
	probesToRecover         = 2   // probes in a row that bring an executor back: one may be luck
	maxFailures             = 5   // failures in a row that set aside, as breaks hit good ones too; one, after a return
	avoidMS                 = 300 // ms that an executor is left alone after it refused
)

// eject calls off the attempts at an executor set aside, but irreversible ones: it may only be cut off.
func (s *Scheduler) eject(index int) {
	e := &s.executors[index]
	e.ejectedAt, e.probesAnswered, e.ejections = s.now, 0, e.ejections+1
	s.abandonAttempts(index, s.now, false)
}

// abandonAttempts calls off the attempts at x that went out before; unless surely gone, only those another may follow.
func (s *Scheduler) abandonAttempts(index int, before float64, surely bool) {
	for slot := range s.requests.entries {
		r := &s.requests.entries[slot]
		if r.inUse && r.state == requestRunning && r.lastAttempt().executor == index && r.lastAttempt().sentAt < before &&
			(surely || s.classes[r.class].effect != NonIdempotent && s.mayReplaceAttempt(r)) {
			s.applyToRequest(slot, inputAttemptAbandoned)
		}
	}
}

// suspect sets an executor aside, unless half of all look bad: then it is something they share.
func (s *Scheduler) suspect(index int) {
	bad, all := 1, 0
	for other := range s.executors {
		if e := &s.executors[other]; e.availability == Active {
			all++
			bad += count(other != index && (e.state == executorEjected || s.silentMS(e) > s.progressIntervalMS()))
		}
	}
	if 2*bad <= all {
		s.applyToExecutor(index, inputUnresponsive)
	}
}

func (s *Scheduler) progressIntervalMS() float64 {
	return cmp.Or(s.settings.ProgressEveryMS, reportsLostMS)
}

func (s *Scheduler) recordHealthCheck(ev *Event) {
	index := s.executorIndex(ev.Executor)
	if index < 0 {
		return
	}
	e := &s.executors[index]
	if ev.Outcome == LocalFailure {
		e.probing = false
		return
	}
	e.probing, e.probeFailed = false, ev.Outcome != Succeeded
	if s.dispatchNeeded = true; len(ev.LoadReport) > 0 {
		e.reportedAt, s.reportedAt = s.now, s.now
		e.reportedMB = s.reportFigure(ev, ReportMemoryShare) * e.memoryMB
		e.reportedThreads = s.reportFigure(ev, ReportInFlight) + s.reportFigure(ev, ReportDiskShare)*diskThreadsPerCore*e.cores
		if s.reportFigure(ev, ReportQueued) > 0.5 { // what comes now stands in line
			e.reportedThreads += maxShortThreadsPerCore * e.cores
		}
	}
	if e.probesAnswered++; e.probeFailed {
		e.probesAnswered, e.avoidUntil = 0, s.now+avoidMS
	} else if e.state == executorEjected && e.probesAnswered >= probesToRecover*e.ejections {
		s.applyToExecutor(index, inputProbesAnswered)
	}
}

// missedProgress tells whether an attempt has missed a note while its executor goes on working: lost replies, cut
// streams, dropped attempts. It harms where notes alone are lost; one in line for memory sends none.
func (s *Scheduler) missedProgress(r *request, a *attempt) bool {
	every := s.settings.ProgressEveryMS
	e := &s.executors[a.executor]
	return every > 0 && s.now-a.progressAt > lateProgressIntervals*every+progressSlackMS && a.waiting == 0 && e.lastSignAt > a.progressAt &&
		e.state != executorEjected && s.classes[r.class].effect != NonIdempotent && s.mayReplaceAttempt(r)
}

// watchExecutor probes an executor that is aside or shows no sign of work, and sets it aside when that goes on.
func (s *Scheduler) watchExecutor(index int) {
	e := &s.executors[index]
	if e.state == executorWarmingUp && s.now >= e.warmupUntil {
		e.ejections = 0
		s.applyToExecutor(index, inputWarmedUp)
	}
	if e.availability != Active {
		return
	}
	quiet, every := s.silentMS(e), s.progressIntervalMS()
	look := e.state == executorEjected || quiet > min(every, probeIntervalMS)
	if look && !s.settings.MayHealthCheck {
		if e.state == executorEjected && s.now > e.ejectedAt+every*float64(e.ejections) {
			s.applyToExecutor(index, inputProbesAnswered)
		}
	} else if look && !e.probing && s.now >= e.probedAt+probeIntervalMS/math.Sqrt(s.share()) {
		e.probing, e.probedAt = true, s.now
		s.emit(Action{Kind: HealthCheck, Executor: e.id})
	}
	// An attempt in line for memory sends no notes: where all of ours are, silence needs a missed probe too.
	slack := silentProgressIntervals
	if e.probeFailed && e.queued < e.inFlight {
		slack = lateProgressIntervals
	}
	if e.state != executorEjected && quiet > slack*every+progressSlackMS && (e.probeFailed || e.queued < e.inFlight) {
		s.suspect(index)
	}
}
