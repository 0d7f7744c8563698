package scheduler

// The tick: what time alone changes. Requests run out of time, priorities decay, executors that stay silent
// come under suspicion.

import (
	"cmp"
	"math"
)

const (
	tickMS        = 20  // a fifth of a decay quantum
	stallMS       = 100 // between ticks: then this controller itself stood still
	resubscribeMS = 1000
)

func (s *Scheduler) tick() {
	s.emit(Action{Kind: SetTimer, AfterMS: tickMS})
	elapsedMS := s.now - cmp.Or(s.tickedAt, s.now-tickMS)
	s.tickedAt = s.now
	s.dispatchNeeded = true
	s.addProbeTokens(elapsedMS * probesPerMS)
	s.updateDecayOnset()
	if s.settings.SubscribesToList && s.now >= s.resubscribeAt {
		s.resubscribeAt = math.Inf(1)
		s.emit(Action{Kind: Subscribe})
	}
	// After a stall of its own, signs of work may still wait behind this tick to be read: nobody is judged.
	stalled := elapsedMS >= stallMS
	for slot := range s.requests.entries {
		s.tickRequest(slot, elapsedMS, stalled)
	}
	if !stalled {
		for index := range s.executors {
			s.watchExecutor(index)
		}
	}
	s.expireOrderKeys()
}

func (s *Scheduler) tickRequest(slot int, elapsedMS float64, stalled bool) {
	r := s.requests.at(slot)
	if !r.inUse || r.state == requestDone {
		return
	}
	if s.now >= r.deadline-answerMarginMS && !r.responseStarted {
		s.applyToRequest(slot, inputUnservable)
		return
	}
	if r.state != requestRunning {
		return
	}
	s.advanceRun(r, r.lastAttempt(), elapsedMS)
	if !stalled && s.missedProgress(r, r.lastAttempt()) {
		s.applyToRequest(slot, inputAttemptAbandoned)
	}
}
