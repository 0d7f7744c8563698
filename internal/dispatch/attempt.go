package dispatch

import (
	"liftshift/internal/invariant"
	"liftshift/scheduler"
)

// maxAttempts is the room for attempts of one request; the scheduler never sends more.
const maxAttempts = 8

// attempt is the state of one attempt of a request.
type attempt struct {
	running   RunningAttempt // nil: it has ended, or its end is pending
	executor  uint32
	sentAt    float64
	releaseAt float64 // when it may leave, as far as the transport is concerned
	holds     int     // extensions that hold it
	inFlight  bool
}

// startAttempt makes an attempt, unless an extension blocks it.
func (l *Loop) startAttempt(now float64, r *request, a *scheduler.Action) {
	if !invariant.Check(r.started < maxAttempts && !r.answered, "attempts start for open requests only") {
		return
	}
	n := r.started
	d := l.notify(Event{Kind: AttemptStarting, Request: &r.Request, Attempt: n, Executor: a.Executor})
	held := d.holds > 0
	running, delayMS := l.Executors.Send(Attempt{Request: &r.Request, Number: n, Executor: a.Executor, GrantMB: r.grantMB,
		Level: r.level, TimeoutMS: r.Deadline - now, LatestStart: a.LatestStart, Held: held})
	r.attempts[n] = attempt{running: running, executor: a.Executor, sentAt: now, releaseAt: now + delayMS, holds: d.holds, inFlight: true}
	r.started++
	r.inFlight++
	l.notify(Event{Kind: AttemptStarted, Request: &r.Request, Attempt: n, Executor: a.Executor, GrantMB: r.grantMB})
	switch {
	case running == nil:
		l.endAttempt(r, n, scheduler.LocalFailure)
	case d.blockAttempt:
		l.failAttempt(r.ID, n)
	case held: // until ReleaseAttempt
	case delayMS > 0:
		l.timers.push(timer{at: now + delayMS, kind: releaseTimer, running: running})
	}
}

// releaseAttempt lets an attempt leave once no extension holds it, and no sooner than its transport allows.
func (l *Loop) releaseAttempt(id string, n int) {
	r := l.requests[id]
	if r == nil || n >= r.started || r.attempts[n].running == nil {
		return // it was cancelled meanwhile
	}
	a := &r.attempts[n]
	a.holds--
	if a.holds > 0 {
		return // another extension still holds it
	}
	l.counters.heldAttempts++
	l.counters.holdSum += l.clock.Now() - a.sentAt
	if now := l.clock.Now(); now < a.releaseAt {
		l.timers.push(timer{at: a.releaseAt, kind: releaseTimer, running: a.running})
	} else {
		a.running.Release()
	}
}

// failAttempt ends an attempt that an extension forbids. It has not left, and the scheduler is told to send no other.
func (l *Loop) failAttempt(id string, n int) {
	r := l.requests[id]
	if r == nil || n >= r.started || r.attempts[n].running == nil {
		return
	}
	first := len(l.pending)
	l.cancelAttempt(r, n, scheduler.NeverSent)
	for k := first; k < len(l.pending); k++ {
		invariant.Check(l.pending[k].Event.Outcome == scheduler.NeverSent, "a held attempt has not left")
		l.pending[k].Event.Blocked = true
	}
}

// cancelAttempt cancels an attempt and queues its end, unless that is on its way.
func (l *Loop) cancelAttempt(r *request, n int, outcome scheduler.Outcome) {
	if r.attempts[n].running == nil {
		return // its end is pending
	}
	switch r.attempts[n].running.Cancel() {
	case CancelSent:
		l.endAttempt(r, n, outcome)
	case CancelledUnsent:
		l.endAttempt(r, n, scheduler.NeverSent)
	case AlreadyEnded:
	}
}

// endAttempt queues the end of an attempt.
func (l *Loop) endAttempt(r *request, n int, outcome scheduler.Outcome) {
	r.attempts[n].running = nil
	event := scheduler.Event{Kind: scheduler.AttemptEnded, Request: r.ID, Attempt: n, Outcome: outcome}
	l.pending = append(l.pending, QueueItem{Event: event})
}

// recordAttemptEnd records the end of an attempt and completes its event; nil if the attempt has ended before.
func (l *Loop) recordAttemptEnd(event *scheduler.Event) *request {
	r := l.requests[event.Request]
	if !r.isInFlight(event.Attempt) {
		return nil
	}
	a := &r.attempts[event.Attempt]
	a.inFlight = false
	a.running = nil
	r.inFlight--
	event.Executor = a.executor
	event.ElapsedMS = l.clock.Now() - a.sentAt
	l.counters.AttemptEnds[event.Outcome]++
	l.notify(Event{Kind: AttemptEnded, Request: &r.Request, Attempt: event.Attempt, NeverRan: event.Outcome.NeverRan()})
	return r
}

// isInFlight returns whether a request is open and its attempt has not ended.
func (r *request) isInFlight(n int) bool { return r != nil && n < r.started && r.attempts[n].inFlight }

// setMemory changes the memory of a request's attempts, where their protocol can.
func (r *request) setMemory(mb float64) {
	if r.grantMB == mb {
		return
	}
	r.grantMB = mb
	for n := range r.started {
		if setter, ok := r.attempts[n].running.(MemorySetter); ok {
			setter.SetMemory(mb)
		}
	}
}

// setLevel changes the level of a request's attempts.
func (r *request) setLevel(level int) {
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
