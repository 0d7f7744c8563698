package dispatch

import (
	"liftshift/internal/invariant"
	"liftshift/scheduler"
)

// maxAttempts bounds the attempts of one request. The scheduler never sends more.
const maxAttempts = 8

// attempt is the state of one attempt of a request.
type attempt struct {
	running   RunningAttempt // nil once the attempt has ended or its end is pending
	executor  uint32
	sentAt    float64
	releaseAt float64 // earliest time at which the transport allows it to be sent
	holds     int     // number of extensions that hold it
	lastHolds int     // those of them that wait for AttemptPermitted; 0 once they have got it
	inFlight  bool
}

// startAttempt hands an attempt to the transport. If an extension blocks it, it ends at once and is not sent.
func (l *Loop) startAttempt(now float64, state *requestState, action *scheduler.Action) {
	if !invariant.Check(state.started < maxAttempts && !state.answered, "attempts start for open requests only") {
		return
	}
	number := state.started
	request, executor := &state.Request, action.Executor
	decided := l.notify(Event{
		Kind:     AttemptStarting,
		Request:  request,
		Attempt:  number,
		Executor: executor,
		Target:   action.Target,

		TargetInDoubt: action.TargetInDoubt,
	})
	held := decided.holds > 0
	running, delayMS := l.Executors.Send(Attempt{
		Request:     request,
		Number:      number,
		Executor:    executor,
		Target:      action.Target,
		GrantMB:     state.grantMB,
		Level:       state.level,
		TimeoutMS:   state.Deadline - now,
		LatestStart: action.LatestStart,
		Held:        held,
	})
	state.attempts[number] = attempt{
		running:   running,
		executor:  executor,
		sentAt:    now,
		releaseAt: now + delayMS,
		holds:     decided.holds,
		lastHolds: decided.lastHolds,
		inFlight:  true,
	}
	state.started++
	state.inFlight++
	l.notify(Event{
		Kind:     AttemptStarted,
		Request:  request,
		Attempt:  number,
		Executor: executor,
		GrantMB:  state.grantMB,
	})
	switch {
	case running == nil:
		l.endAttempt(state, number, scheduler.LocalFailure)
	case decided.blockAttempt:
		l.failAttempt(state.ID, number, attemptBlocked)
	case decided.postpone:
		l.failAttempt(state.ID, number, attemptUnrecorded)
	case held: // sent at ReleaseAttempt
		l.permitLastHolders(state, number)
	case delayMS > 0:
		l.timers.push(timer{at: now + delayMS, kind: releaseTimer, running: running})
	}
}

// releaseAttempt drops one extension's hold on an attempt. When no hold is left, the attempt is sent, but not before
// the time that the transport set.
func (l *Loop) releaseAttempt(id string, number int) {
	state := l.requests[id]
	if state == nil || number >= state.started || state.attempts[number].running == nil {
		return // cancelled while it was held
	}
	held := &state.attempts[number]
	held.holds--
	if held.holds > 0 {
		l.permitLastHolders(state, number)
		return
	}
	l.counters.heldAttempts++
	l.counters.holdSumMS += l.clock.Now() - held.sentAt
	if now := l.clock.Now(); now < held.releaseAt {
		l.timers.push(timer{at: held.releaseAt, kind: releaseTimer, running: held.running})
	} else {
		held.running.Release()
	}
}

// permitLastHolders notifies the extensions that hold an attempt last, once no other extension holds it.
func (l *Loop) permitLastHolders(state *requestState, number int) {
	held := &state.attempts[number]
	if held.lastHolds == 0 || held.holds > held.lastHolds {
		return
	}
	held.lastHolds = 0
	l.notify(Event{Kind: AttemptPermitted, Request: &state.Request, Attempt: number})
}

// unsentReason is why a held attempt was not sent.
type unsentReason int

const (
	attemptBlocked    unsentReason = iota // no attempt of the request may be sent
	attemptUnrecorded                     // not recorded in time, or no lease; another attempt, with its number, may be
)

// failAttempt ends a held attempt that an extension does not permit. The attempt was not sent, and its event tells the
// scheduler why.
func (l *Loop) failAttempt(id string, number int, reason unsentReason) {
	state := l.requests[id]
	if state == nil || number >= state.started || state.attempts[number].running == nil {
		return
	}
	first := len(l.pending)
	l.cancelAttempt(state, number, scheduler.NeverSent)
	for k := first; k < len(l.pending); k++ {
		invariant.Check(l.pending[k].Event.Outcome == scheduler.NeverSent, "a held attempt has not left")
		l.pending[k].Event.Blocked = reason == attemptBlocked
		l.pending[k].Event.Unrecorded = reason == attemptUnrecorded
	}
}

// cancelHeldAttempt cancels the attempt of a request that an extension still holds, and returns whether there is one. It
// was not sent.
func (l *Loop) cancelHeldAttempt(state *requestState) bool {
	for n := range state.started {
		if state.attempts[n].inFlight && state.attempts[n].holds > 0 {
			l.cancelAttempt(state, n, scheduler.NeverSent)
			return true
		}
	}
	return false
}

// cancelAttempt cancels an attempt and queues the event of its end, unless that event is queued already.
func (l *Loop) cancelAttempt(state *requestState, number int, outcome scheduler.Outcome) {
	if state.attempts[number].running == nil {
		return // its end is pending
	}
	switch state.attempts[number].running.Cancel() {
	case CancelSent:
		l.endAttempt(state, number, outcome)
	case CancelledUnsent:
		l.endAttempt(state, number, scheduler.NeverSent)
	case AlreadyEnded:
	}
}

// endAttempt queues the event of an attempt's end.
func (l *Loop) endAttempt(state *requestState, number int, outcome scheduler.Outcome) {
	state.attempts[number].running = nil
	event := scheduler.Event{Kind: scheduler.AttemptEnded, Request: state.ID, Attempt: number, Outcome: outcome}
	l.pending = append(l.pending, QueueItem{Event: event})
}

// recordAttemptEnd records the end of an attempt and completes the event for the scheduler. It returns nil if the
// attempt had ended before.
func (l *Loop) recordAttemptEnd(event *scheduler.Event) *requestState {
	state := l.requests[event.Request]
	if !state.isInFlight(event.Attempt) {
		return nil
	}
	ended := &state.attempts[event.Attempt]
	ended.inFlight = false
	ended.running = nil
	state.inFlight--
	if event.Unrecorded {
		state.started-- // the scheduler gives its number to the next attempt
	}
	event.Executor = ended.executor
	event.ElapsedMS = l.clock.Now() - ended.sentAt
	l.counters.AttemptEnds[event.Outcome]++
	l.notify(Event{
		Kind:     AttemptEnded,
		Request:  &state.Request,
		Attempt:  event.Attempt,
		NeverRan: event.Outcome.NeverRan(),
	})
	return state
}

// isInFlight returns whether an attempt was started and has not ended. A nil state has no attempts.
func (r *requestState) isInFlight(number int) bool {
	return r != nil && number < r.started && r.attempts[number].inFlight
}

// setMemory changes the memory grant of a request and of its running attempts, where their protocol supports that.
func (r *requestState) setMemory(grantMB float64) {
	if r.grantMB == grantMB {
		return
	}
	r.grantMB = grantMB
	for n := range r.started {
		if setter, ok := r.attempts[n].running.(MemorySetter); ok {
			setter.SetMemory(grantMB)
		}
	}
}

// setLevel changes the priority level of a request and of its running attempts.
func (r *requestState) setLevel(level int) {
	if r.level == level {
		return
	}
	r.level = level
	for n := range r.started {
		if running := r.attempts[n].running; running != nil {
			running.SetLevel(level)
		}
	}
}
