package scheduler

// The tick handles what changes with time alone: requests reach their deadlines, priorities decay, and silent executors
// are ejected.

import (
	"cmp"
	"math"
)

const (
	tickMS        = 20  // interval of the ticks: a fifth of a decay quantum
	stallMS       = 100 // gap between ticks from which on this controller itself counts as stalled
	resubscribeMS = 1000
)

// tick sets the timer of the next tick and updates requests and executors.
func (s *Scheduler) tick() {
	s.emit(Action{Kind: SetTimer, AfterMS: tickMS})
	elapsedMS := s.now - cmp.Or(s.tickedAt, s.now-tickMS)
	s.tickedAt = s.now
	s.dispatchNeeded = true
	s.addProbeTokens(elapsedMS * probesPerMS)
	s.updateDecayOnset()
	if s.settings.SubscribesToEndpoints && s.now >= s.resubscribeAt {
		s.resubscribeAt = math.Inf(1)
		s.emit(Action{Kind: Subscribe})
	}
	// After a stall of this controller, progress reports may still be waiting to be read, so neither attempts nor
	// executors are checked for missing ones.
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

// tickRequest rejects or fails a request that reaches its deadline. Otherwise it advances a running attempt, and
// abandons it if its progress report is missing.
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
	s.accountRunningTime(r, r.lastAttempt(), elapsedMS)
	if !stalled && s.missedProgress(r, r.lastAttempt()) {
		s.applyToRequest(slot, inputAttemptAbandoned)
	}
}
