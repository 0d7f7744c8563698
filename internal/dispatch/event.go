package dispatch

import (
	"liftshift/internal/invariant"
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// handleEvent updates the loop's state for an event and hands the event to the scheduler, unless it is outdated or an
// extension keeps it from the scheduler.
func (l *Loop) handleEvent(item QueueItem) {
	if item.refusal != nil {
		l.refuseUnsent(item.refusal)
		return
	}
	event := &item.Event
	state, deliver := l.prepare(&item)
	if !deliver {
		return
	}
	l.step(event)
	if state != nil {
		l.releaseRequest(state)
	}
	switch {
	case event.Kind == scheduler.EndpointsUpdated && event.List == scheduler.ListUnavailable:
		l.notify(Event{Kind: ListUnavailable})
	case event.Kind == scheduler.EndpointsUpdated:
		l.notify(Event{Kind: EndpointsUpdated, EndpointsUpdate: event})
	case event.Kind == scheduler.ShutdownStarted:
		l.shutdownDeadline = event.Deadline
		l.notify(Event{Kind: ShutdownStarted, Deadline: event.Deadline})
	}
}

// prepare updates the loop's state and completes the event. It returns the state of the request that the event is
// about, if any, and whether the scheduler gets the event.
func (l *Loop) prepare(item *QueueItem) (state *requestState, deliver bool) {
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
		state = l.requests[event.Request]
		if !state.isInFlight(event.Attempt) {
			l.counters.Stray++
			return nil, false
		}
		return state, true
	}
	return nil, true
}

// prepareArrival admits a request. The scheduler gets it later if an extension holds it.
func (l *Loop) prepareArrival(item *QueueItem) (state *requestState, deliver bool) {
	if !item.resumed && item.Request.Abandoned() && !item.Request.halfClosed() {
		l.dropAbandoned(item.Request)
		return nil, false
	}
	state = l.admit(item.Request, &item.Event, item.resumed)
	if state == nil {
		return nil, false
	}
	if l.notify(Event{Kind: RequestAdmitted, Request: &state.Request}).hold {
		state.queued = true
		return nil, false
	}
	return state, true
}

// prepareClientLeft closes the request of a client that has left. If the client closed only its writing side, the
// request still gets an answer.
func (l *Loop) prepareClientLeft(item *QueueItem) (state *requestState, deliver bool) {
	event := &item.Event
	request := l.suspended[event.Request]
	if request != nil && request.Client == item.Client && request.Tag == item.Token {
		if l.waitsOnlyForTurn(request) { // for the extensions it is not suspended any more
			l.resumeBlocked(request)
			l.pending = append(l.pending, *item)
			return nil, false
		}
		l.abandonSuspended(request, event.HalfClosed)
		return nil, false
	}
	state = l.requests[event.Request]
	if state == nil || state.Client != item.Client || state.Tag != item.Token || state.answered {
		return nil, false
	}
	if event.HalfClosed && state.queued { // offered as blocked, so that the scheduler rejects it
		l.handleOffer(&Command{Kind: OfferRequest, ID: state.ID, Blocked: true})
		return nil, false
	}
	if !event.HalfClosed { // a half-closed client gets its answer from the scheduler
		l.abandonRequest(state)
	}
	return state, true
}

// abandonSuspended drops a suspended request whose client has left.
func (l *Loop) abandonSuspended(request *Request, halfClosed bool) {
	l.takeSuspended(request.ID)
	l.openCount.Add(-1)
	l.counters.ClientLeft++
	l.notify(Event{Kind: SuspendedClientLeft, Request: request})
	request.freeBody()
	if halfClosed {
		request.Client.Failed(request.Tag)
	}
	l.passTurn(request.OrderKey)
}

// prepareAttemptEnd records the end of an attempt and answers the client if the attempt succeeded.
func (l *Loop) prepareAttemptEnd(event *scheduler.Event, body []byte) (state *requestState, deliver bool) {
	state = l.recordAttemptEnd(event)
	if state == nil {
		l.counters.Stray++
		return nil, false
	}
	// The attempt was not sent because the client is gone; the ClientLeft event is still in the queue.
	if event.Outcome == scheduler.NeverSent && !state.answered && state.Abandoned() {
		if state.halfClosed() {
			event.Blocked = true
		} else {
			l.abandonRequest(state)
		}
	}
	event.Final = state.answered
	if event.Outcome == scheduler.Succeeded && !state.answered {
		event.Final = true // before the answer, which may release the state
		l.answerRequest(state, ledger.Succeeded, body, 0, event.CostMS)
		l.counters.Succeeded++
	}
	return state, true
}

// prepareHealthCheck returns whether a result belongs to the outstanding health check of its executor.
func (l *Loop) prepareHealthCheck(executor uint32, token uint64) bool {
	if l.healthChecks[executor] != token {
		l.counters.Stray++
		return false
	}
	delete(l.healthChecks, executor)
	return true
}

// step hands an event to the scheduler and carries out the actions that it returns.
func (l *Loop) step(event *scheduler.Event) {
	now := l.clock.Now()
	l.actions = l.policy.Step(now, event, l.actions[:0])
	l.counters.recordStep(l.clock.Now() - now)
	for i := range l.actions {
		l.apply(now, &l.actions[i])
	}
}

// apply carries out one action of the scheduler.
func (l *Loop) apply(now float64, action *scheduler.Action) {
	switch action.Kind {
	case scheduler.SetTimer:
		l.timers.push(timer{at: now + action.AfterMS, kind: schedulerTimer, token: action.Token})
	case scheduler.HealthCheck:
		l.startHealthCheck(now, action.Executor)
	case scheduler.Subscribe:
		l.EndpointList.Refresh()
	case scheduler.SendPeer:
		l.Peers.SendPeer(action.Peer, action.Payload)
	case scheduler.Log:
		l.log.WithField("text", action.Text).Info("scheduler")
	default:
		state := l.requests[action.Request]
		if invariant.Check(state != nil, "the scheduler names open requests only") {
			l.applyToRequest(now, state, action)
		}
	}
}

// applyToRequest carries out an action that concerns one request.
func (l *Loop) applyToRequest(now float64, state *requestState, action *scheduler.Action) {
	switch action.Kind {
	case scheduler.Send:
		l.startAttempt(now, state, action)
	case scheduler.ReturnRequest:
		state.queued = true
		l.notify(Event{Kind: RequestReturned, Request: &state.Request})
	case scheduler.SetResources:
		state.setMemory(action.GrantMB)
		state.setLevel(action.Level)
	case scheduler.Cancel:
		if state.isInFlight(action.Attempt) {
			l.cancelAttempt(state, action.Attempt, scheduler.Cancelled)
		}
	case scheduler.Reject, scheduler.Fail:
		l.refuse(state, action)
	}
}

// refuse closes a request that the scheduler rejects or fails.
func (l *Loop) refuse(state *requestState, action *scheduler.Action) {
	if state.answered {
		return
	}
	if action.Kind == scheduler.Fail && action.RejectIfUnsent && l.cancelHeldAttempt(state) {
		rejection := *action
		rejection.Kind = scheduler.Reject
		l.pending = append(l.pending, QueueItem{refusal: &rejection})
		return
	}
	l.counters.recordRefusal(action.Kind, state.halfClosed())
	if action.Kind == scheduler.Fail {
		l.answerRequest(state, ledger.Failed, nil, 0, 0)
		return
	}
	decided := l.notify(Event{Kind: RequestRejecting, Request: &state.Request, RetryAfterMS: action.AfterMS})
	l.answerRequest(state, ledger.Rejected, nil, decided.retryAfterMS, 0)
}

// refuseUnsent refuses a request after the end of its held attempt, so that the extensions learn first that it never
// ran.
func (l *Loop) refuseUnsent(action *scheduler.Action) {
	if state := l.requests[action.Request]; state != nil {
		l.refuse(state, action)
		l.releaseRequest(state)
	}
}

// startHealthCheck sends a health check and sets its timeout.
func (l *Loop) startHealthCheck(now float64, executor uint32) {
	l.lastToken++
	l.counters.HealthChecks++
	l.healthChecks[executor] = l.lastToken
	if !l.Executors.HealthCheck(executor, l.lastToken) {
		event := scheduler.Event{Kind: scheduler.HealthChecked, Executor: executor, Outcome: scheduler.LocalFailure}
		l.pending = append(l.pending, QueueItem{Event: event, Token: l.lastToken})
	}
	l.timers.push(timer{
		at:       now + l.HealthCheckTimeoutMS,
		kind:     healthCheckTimer,
		token:    l.lastToken,
		executor: executor,
	})
}

// expireHealthCheck reports an unanswered health check as timed out. If this process stalled, the answer may have
// arrived without being read yet, so the check gets additional time.
func (l *Loop) expireHealthCheck(now float64, due timer) {
	if l.healthChecks[due.executor] != due.token {
		return
	}
	if now-due.at > stallThresholdMS {
		due.at = now + stallThresholdMS
		l.timers.push(due)
		return
	}
	l.Executors.ForgetHealthCheck(due.executor, due.token)
	event := scheduler.Event{
		Kind:      scheduler.HealthChecked,
		Executor:  due.executor,
		Outcome:   scheduler.TimedOut,
		ElapsedMS: l.HealthCheckTimeoutMS,
	}
	l.process(QueueItem{Event: event, Token: due.token, queuedAt: due.at})
}
