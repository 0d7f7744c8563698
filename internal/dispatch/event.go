package dispatch

import (
	"liftshift/internal/invariant"
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// handleEvent brings the loop's state up to date with an event and hands it to the scheduler, unless it concerns nothing any more.
func (l *Loop) handleEvent(item QueueItem) {
	event := &item.Event
	r, deliver := l.prepare(&item)
	if !deliver {
		return
	}
	l.step(event)
	if r != nil {
		l.releaseRequest(r)
	}
	switch {
	case event.Kind == scheduler.EndpointsUpdated && event.List == scheduler.ListUnavailable:
		l.notify(Event{Kind: ListUnavailable})
	case event.Kind == scheduler.EndpointsUpdated:
		l.notify(Event{Kind: EndpointsUpdated, List: event})
	case event.Kind == scheduler.ShutdownStarted:
		l.notify(Event{Kind: ShutdownStarted})
	}
}

// prepare updates the loop's state and completes the event. It returns the request concerned, if any, and whether the scheduler
// gets the event.
func (l *Loop) prepare(item *QueueItem) (r *request, deliver bool) {
	event := &item.Event
	switch event.Kind {
	case scheduler.RequestArrived:
		return l.prepareArrival(item)
	case scheduler.ClientLeft:
		return l.prepareClientLeft(item)
	case scheduler.AttemptEnded:
		return l.prepareAttemptEnd(event, item.Body)
	case scheduler.HealthChecked:
		return nil, l.prepareHealthCheck(event.Executor, item.Token)
	case scheduler.ProgressReported:
		r = l.requests[event.Request]
		if !r.isInFlight(event.Attempt) {
			l.counters.Stray++
			return nil, false
		}
		return r, true
	}
	return nil, true
}

func (l *Loop) prepareArrival(item *QueueItem) (r *request, deliver bool) {
	r = l.admit(item.Request, &item.Event, item.resumed)
	if r == nil {
		return nil, false
	}
	if l.notify(Event{Kind: RequestEntered, Request: &r.Request}).hold {
		r.queued = true
		return nil, false
	}
	return r, true
}

func (l *Loop) prepareClientLeft(item *QueueItem) (r *request, deliver bool) {
	event := &item.Event
	in := l.suspended[event.Request]
	if in != nil && in.Client == item.Client && in.Tag == item.Token {
		l.abandonSuspended(in, event.HalfClosed)
		return nil, false
	}
	r = l.requests[event.Request]
	if r == nil || r.Client != item.Client || r.Tag != item.Token || r.answered {
		return nil, false
	}
	if event.HalfClosed && r.queued { // the scheduler gets it, to reject it
		l.handleOffer(&Command{Kind: OfferRequest, ID: r.ID, Blocked: true})
		return nil, false
	}
	if !event.HalfClosed { // otherwise the scheduler gives it its answer
		l.abandonRequest(r)
	}
	return r, true
}

// abandonSuspended drops a suspended request whose client has left.
func (l *Loop) abandonSuspended(in *Request, halfClosed bool) {
	delete(l.suspended, in.ID)
	l.openCount.Add(-1)
	l.counters.ClientLeft++
	l.notify(Event{Kind: SuspendedClientLeft, Request: in})
	if halfClosed {
		in.Client.Failed(in.Tag)
	}
}

func (l *Loop) prepareAttemptEnd(event *scheduler.Event, body []byte) (r *request, deliver bool) {
	r = l.recordAttemptEnd(event)
	if r == nil {
		l.counters.Stray++
		return nil, false
	}
	if event.Outcome == scheduler.NeverSent && !r.answered && r.Abandoned() { // its ClientLeft is still in the queue
		if r.halfClosed() {
			event.Blocked = true
		} else {
			l.abandonRequest(r)
		}
	}
	if event.Outcome == scheduler.Succeeded && !r.answered {
		l.answerRequest(r, ledger.Succeeded, body, 0, event.CostMS)
		l.counters.Succeeded++
	}
	event.Final = r.answered
	return r, true
}

// prepareHealthCheck returns whether a result belongs to the check that is out.
func (l *Loop) prepareHealthCheck(executor uint32, token uint64) bool {
	if l.healthChecks[executor] != token {
		l.counters.Stray++
		return false
	}
	delete(l.healthChecks, executor)
	return true
}

// step hands an event to the scheduler and applies the actions that it returns.
func (l *Loop) step(event *scheduler.Event) {
	now := l.clock.Now()
	l.actions = l.policy.Step(now, event, l.actions[:0])
	l.counters.recordStep(l.clock.Now() - now)
	for i := range l.actions {
		l.apply(now, &l.actions[i])
	}
}

// apply carries out an action of the scheduler.
func (l *Loop) apply(now float64, a *scheduler.Action) {
	switch a.Kind {
	case scheduler.SetTimer:
		l.timers.push(timer{at: now + a.AfterMS, kind: schedulerTimer, token: a.Token})
	case scheduler.HealthCheck:
		l.startHealthCheck(now, a.Executor)
	case scheduler.Subscribe:
		l.List.Refresh()
	case scheduler.SendPeer:
		l.Peers.SendPeer(a.Peer, a.Payload)
	case scheduler.Log:
		l.log.WithField("text", a.Text).Info("scheduler")
	default:
		r := l.requests[a.Request]
		if invariant.Check(r != nil, "the scheduler names open requests only") {
			l.applyToRequest(now, r, a)
		}
	}
}

func (l *Loop) applyToRequest(now float64, r *request, a *scheduler.Action) {
	switch a.Kind {
	case scheduler.Send:
		l.startAttempt(now, r, a)
	case scheduler.ReturnRequest:
		r.queued = true
		l.notify(Event{Kind: RequestReturned, Request: &r.Request})
	case scheduler.SetResources:
		r.setMemory(a.GrantMB)
		r.setLevel(a.Level)
	case scheduler.Cancel:
		if r.isInFlight(a.Attempt) {
			l.cancelAttempt(r, a.Attempt, scheduler.Cancelled)
		}
	case scheduler.Reject, scheduler.Fail:
		l.refuse(r, a)
	}
}

// refuse closes a request that the scheduler rejects or fails.
func (l *Loop) refuse(r *request, a *scheduler.Action) {
	if r.answered {
		return
	}
	l.counters.recordRefusal(a.Kind, r.halfClosed())
	if a.Kind == scheduler.Fail {
		l.answerRequest(r, ledger.Failed, nil, 0, 0)
		return
	}
	d := l.notify(Event{Kind: RequestRejecting, Request: &r.Request, AfterMS: a.AfterMS})
	l.answerRequest(r, ledger.Rejected, nil, d.retryAfterMS, 0)
}

// startHealthCheck sends a health check and sets the timer that counts it as missed.
func (l *Loop) startHealthCheck(now float64, executor uint32) {
	l.lastToken++
	l.counters.HealthChecks++
	l.healthChecks[executor] = l.lastToken
	if !l.Executors.HealthCheck(executor, l.lastToken) {
		event := scheduler.Event{Kind: scheduler.HealthChecked, Executor: executor, Outcome: scheduler.LocalFailure}
		l.pending = append(l.pending, QueueItem{Event: event, Token: l.lastToken})
	}
	l.timers.push(timer{at: now + l.HealthCheckTimeoutMS, kind: healthCheckTimer, token: l.lastToken, executor: executor})
}

// expireHealthCheck counts a health check as missed. Where this process stalled, the answer may be there and not be read yet:
// it gets a little more time.
func (l *Loop) expireHealthCheck(now float64, t timer) {
	if l.healthChecks[t.executor] != t.token {
		return
	}
	if now-t.at > stallMS {
		t.at = now + stallMS
		l.timers.push(t)
		return
	}
	l.Executors.ForgetHealthCheck(t.executor, t.token)
	event := scheduler.Event{Kind: scheduler.HealthChecked, Executor: t.executor, Outcome: scheduler.TimedOut, ElapsedMS: l.HealthCheckTimeoutMS}
	l.process(QueueItem{Event: event, Token: t.token, queuedAt: t.at})
}
