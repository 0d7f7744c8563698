package scheduler

import (
	"cmp"
	"math"
)

const (
	resubscribeMS = 1000 // ms until a list out of reach is asked for again: longer than most calls take
	tickMS        = 20   // ms between looks at what runs: a fifth of a quantum
	stallMS       = 100  // ms between beats from which this instance itself stood still: five beats
)

// tick looks at all that runs: levels, time left, executors under suspicion.
func (s *Scheduler) tick() {
	s.emit(Action{Kind: SetTimer, AfterMS: tickMS})
	gap := s.now - cmp.Or(s.tickedAt, s.now-tickMS)
	s.dispatchNeeded, s.tickedAt = true, s.now
	s.probeTokens = min(maxProbeTokens, s.probeTokens+gap*probesPerMS)
	s.updateDecayOnset()
	if s.settings.SubscribesToList && s.now >= s.resubscribeAt {
		s.resubscribeAt = math.Inf(1)
		s.emit(Action{Kind: Subscribe})
	}
	for slot := range s.requests.entries {
		r := &s.requests.entries[slot]
		switch {
		case !r.inUse || r.state == requestDone:
		case s.now >= r.deadline-answerMarginMS && !r.responseStarted:
			s.applyToRequest(slot, inputUnservable)
		case r.state == requestRunning:
			s.advanceRun(r, r.lastAttempt(), gap)
			if gap < stallMS && s.missedProgress(r, r.lastAttempt()) {
				s.applyToRequest(slot, inputAttemptAbandoned)
			}
		}
	}
	// After a stall of its own, signs of work may still stand in line behind this beat: nobody is judged.
	for index := 0; gap < stallMS && index < len(s.executors); index++ {
		s.watchExecutor(index)
	}
	s.expireOrderKeys()
}
