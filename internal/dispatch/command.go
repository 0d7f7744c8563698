package dispatch

import "liftshift/scheduler"

// WaitListener is a Client that accepts wait estimates of its requests. A time below 0 is unknown.
type WaitListener interface {
	WaitEstimated(tag uint64, startMS, endMS float64)
}

// decision combines what all extensions decide about one event.
type decision struct {
	answer         *Command // the first AnswerFromRecord
	prior          scheduler.PriorAttempt
	blocked        bool
	hold           bool
	holds          int // number of extensions that hold the attempt
	lastHolds      int // those of them that wait for AttemptPermitted
	blockAttempt   bool
	postpone       bool // the attempt
	consumed       bool
	suspend        bool
	withholdAnswer bool
	failAnswer     bool
	retryAfterMS   float64
}

// add applies a command that decides about the current event. It returns false for any other command.
func (d *decision) add(command *Command) bool {
	switch command.Kind {
	case AnswerFromRecord:
		if d.answer == nil {
			answer := *command
			d.answer = &answer
		}
	case Admit:
		d.prior = command.Prior
		d.blocked = d.blocked || command.Blocked
	case HoldRequest:
		d.hold = true
	case HoldAttempt:
		d.holds++
		if command.Last {
			d.lastHolds++
		}
	case BlockAttempt:
		d.blockAttempt = true
	case PostponeAttempt:
		d.postpone = true
	case Suspend:
		d.suspend = true
	case WithholdAnswer:
		d.withholdAnswer = true
	case FailAnswer:
		d.failAnswer = true
	case SetRetryAfter:
		d.retryAfterMS = command.RetryAfterMS
	case Consume:
		d.consumed = true
	default:
		return false
	}
	return true
}

// execute carries out commands in their order. Those that decide about the current event are added to decided.
func (l *Loop) execute(list []Command, decided *decision) {
	for i := range list {
		if command := &list[i]; !decided.add(command) {
			l.executeCommand(command)
		}
	}
}

// executeCommand carries out a command that does not depend on the current event.
func (l *Loop) executeCommand(command *Command) {
	switch command.Kind {
	case Resume:
		if request := l.suspended[command.ID]; request != nil {
			event := scheduler.Event{Kind: scheduler.RequestArrived, Prior: command.Prior, Blocked: command.Blocked}
			l.resumeInTurn(request, event)
		}
	case AnswerSuspended:
		if request := l.takeSuspended(command.ID); request != nil {
			l.answerFromRecord(request, command)
			l.passTurn(request.OrderKey)
		}
	case Adopt:
		l.openCount.Add(1)
		l.queueResumed(command.Request, scheduler.Event{Kind: scheduler.RequestArrived, Prior: command.Prior})
	case Discard:
		l.discard(command.ID)
	case DeliverAnswer:
		l.deliverAnswer(command)
	case ForwardQuery:
		l.forwardQuery(command.Query)
	case ReleaseAttempt:
		l.releaseAttempt(command.ID, command.Attempt)
	case FailAttempt:
		l.failAttempt(command.ID, command.Attempt, attemptUnrecorded)
	case RestoreState:
		l.pending = append(l.pending, QueueItem{Event: command.Event})
	case OfferRequest, CapPriority:
		l.offers = append(l.offers, *command)
	case SendPeer:
		l.Peers.SendPeer(command.Peer, command.Payload)
	case ReportWait:
		l.reportWait(command)
	}
}

// takeSuspended ends the suspension of a request and returns the request. It returns nil if none is suspended by this
// id.
func (l *Loop) takeSuspended(id string) *Request {
	request := l.suspended[id]
	if request != nil {
		delete(l.suspended, id)
		l.orderTurns.remove(request)
	}
	return request
}

// queueResumed queues the arrival of a request that was suspended or is adopted.
func (l *Loop) queueResumed(request *Request, event scheduler.Event) {
	l.pending = append(l.pending, QueueItem{Event: event, Request: request, resumed: true})
}

// discard drops an open request as if its client had left.
func (l *Loop) discard(id string) {
	state := l.requests[id]
	if state == nil {
		return
	}
	event := scheduler.Event{Kind: scheduler.ClientLeft, Request: id}
	l.pending = append(l.pending, QueueItem{Event: event, Client: state.Client, Token: state.Tag})
}

// reportWait passes a wait estimate to a client that wants it, as long as no attempt of its request was started.
func (l *Loop) reportWait(command *Command) {
	state := l.requests[command.ID]
	if state == nil || state.answered || state.started > 0 || !state.WantsWaitEstimate {
		return
	}
	if listener, ok := state.Client.(WaitListener); ok {
		listener.WaitEstimated(state.Tag, command.StartMS, command.EndMS)
	}
}

// handleOffer hands the scheduler a request that an extension held, or a new priority cap.
func (l *Loop) handleOffer(command *Command) {
	state := l.requests[command.ID]
	if state == nil || state.answered {
		return // answered before the command was handled
	}
	switch command.Kind {
	case OfferRequest:
		if !state.queued {
			return
		}
		state.queued = false
		l.step(&scheduler.Event{
			Kind:        scheduler.RequestArrived,
			Request:     state.ID,
			Class:       state.Class,
			TableGroup:  state.TableGroup,
			OrderKey:    state.OrderKey,
			MemoryMB:    state.MemoryMB,
			WorkMS:      state.WorkMS,
			Deadline:    state.Deadline,
			Retried:     state.Retried,
			Prior:       state.prior,
			Blocked:     state.blocked || command.Blocked,
			PriorityCap: command.PriorityCap,
			MemoryShare: command.MemoryShare,
			Immediate:   command.Immediate,
		})
	case CapPriority:
		l.step(&scheduler.Event{
			Kind:        scheduler.PriorityCapped,
			Request:     state.ID,
			PriorityCap: command.PriorityCap,
			MemoryShare: command.MemoryShare,
		})
	}
	l.releaseRequest(state)
}
