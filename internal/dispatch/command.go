package dispatch

import "liftshift/scheduler"

// WaitListener is a Client that can be told how long its requests will wait. Below 0: not known.
type WaitListener interface {
	WaitEstimated(tag uint64, startMS, endMS float64)
}

// decision is what the extensions together decide about an event.
type decision struct {
	answer         *Command // AnswerFromRecord, the first one
	prior          scheduler.PriorAttempt
	blocked        bool
	hold           bool
	holds          int // extensions that hold the attempt
	blockAttempt   bool
	consumed       bool
	suspend        bool
	withholdAnswer bool
	retryAfterMS   float64
}

// add adds a command that decides about the event at hand; false: it is another command.
func (d *decision) add(c *Command) bool {
	switch c.Kind {
	case AnswerFromRecord:
		if d.answer == nil {
			answer := *c
			d.answer = &answer
		}
	case Admit:
		d.prior = c.Prior
		d.blocked = d.blocked || c.Blocked
	case HoldRequest:
		d.hold = true
	case HoldAttempt:
		d.holds++
	case BlockAttempt:
		d.blockAttempt = true
	case Suspend:
		d.suspend = true
	case WithholdAnswer:
		d.withholdAnswer = true
	case SetRetryAfter:
		d.retryAfterMS = c.AfterMS
	case Consume:
		d.consumed = true
	default:
		return false
	}
	return true
}

// execute carries out commands in their order; those that decide about the event at hand are added to d.
func (l *Loop) execute(list []Command, d *decision) {
	for i := range list {
		if c := &list[i]; !d.add(c) {
			l.executeCommand(c)
		}
	}
}

func (l *Loop) executeCommand(c *Command) {
	switch c.Kind {
	case Resume:
		if in := l.takeSuspended(c.ID); in != nil {
			l.enterLater(in, scheduler.Event{Kind: scheduler.RequestArrived, Prior: c.Prior, Blocked: c.Blocked})
		}
	case AnswerSuspended:
		if in := l.takeSuspended(c.ID); in != nil {
			l.answerFromRecord(in, c)
		}
	case Adopt:
		l.openCount.Add(1)
		l.enterLater(c.Request, scheduler.Event{Kind: scheduler.RequestArrived, Prior: c.Prior})
	case Discard:
		l.discard(c.ID)
	case DeliverAnswer:
		l.deliverAnswer(c)
	case ForwardQuery:
		l.forwardQuery(c.Query)
	case ReleaseAttempt:
		l.releaseAttempt(c.ID, c.Attempt)
	case FailAttempt:
		l.failAttempt(c.ID, c.Attempt)
	case RestoreState:
		l.pending = append(l.pending, QueueItem{Event: c.Event})
	case OfferRequest, CapPriority:
		l.offers = append(l.offers, *c)
	case SendPeer:
		l.Peers.SendPeer(c.Peer, c.Payload)
	case ReportWait:
		l.reportWait(c)
	}
}

// takeSuspended ends the suspension of a request; nil if it is not suspended.
func (l *Loop) takeSuspended(id string) *Request {
	in := l.suspended[id]
	delete(l.suspended, id)
	return in
}

// enterLater queues a request that was suspended or is adopted.
func (l *Loop) enterLater(in *Request, event scheduler.Event) {
	l.pending = append(l.pending, QueueItem{Event: event, Request: in, resumed: true})
}

// discard drops an open request as if its client had left.
func (l *Loop) discard(id string) {
	r := l.requests[id]
	if r == nil {
		return
	}
	event := scheduler.Event{Kind: scheduler.ClientLeft, Request: id}
	l.pending = append(l.pending, QueueItem{Event: event, Client: r.Client, Token: r.Tag})
}

// reportWait tells a client that asked for it how long its request waits, as long as nothing was sent.
func (l *Loop) reportWait(c *Command) {
	r := l.requests[c.ID]
	if r == nil || r.answered || r.started > 0 || !r.WantsWaitEstimate {
		return
	}
	if listener, ok := r.Client.(WaitListener); ok {
		listener.WaitEstimated(r.Tag, c.StartMS, c.EndMS)
	}
}

// handleOffer hands the scheduler a request that was held, or a new priority cap.
func (l *Loop) handleOffer(c *Command) {
	r := l.requests[c.ID]
	if r == nil || r.answered {
		return // it was answered meanwhile
	}
	switch c.Kind {
	case OfferRequest:
		if !r.queued {
			return
		}
		r.queued = false
		l.step(&scheduler.Event{
			Kind:        scheduler.RequestArrived,
			Request:     r.ID,
			Class:       r.Class,
			TableGroup:  r.TableGroup,
			OrderKey:    r.OrderKey,
			MemoryMB:    r.MemoryMB,
			WorkMS:      r.WorkMS,
			Deadline:    r.Deadline,
			Retried:     r.Retried,
			Prior:       r.prior,
			Blocked:     r.blocked || c.Blocked,
			PriorityCap: c.PriorityCap,
			MemoryShare: c.MemoryShare,
			Immediate:   c.Immediate,
		})
	case CapPriority:
		l.step(&scheduler.Event{Kind: scheduler.PriorityCapped, Request: r.ID, PriorityCap: c.PriorityCap, MemoryShare: c.MemoryShare})
	}
	l.releaseRequest(r)
}
