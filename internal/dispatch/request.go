package dispatch

import (
	"net/netip"
	"sync/atomic"

	"liftshift/internal/invariant"
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// Client gets the answer of a request. Tag is the client's own name for the request. Its methods never wait.
type Client interface {
	Succeeded(tag uint64, body []byte)
	Rejected(tag uint64, afterMS float64)
	Failed(tag uint64)
}

// Request is what a client server hands over.
type Request struct {
	ID                string
	Class             string
	OrderKey          string // requests of one key run in order
	IdempotencyKey    string
	TableGroup        uint64
	MemoryMB          float64
	WorkMS            float64
	Deadline          float64 // clock at which the client gives up
	Team              string  // as the client says
	ClientAddr        netip.Addr
	Schema            string
	WantsWaitEstimate bool // the client wants to be told how long it will wait
	Retried           bool
	Body              []byte // passed on unchanged
	Client            Client
	Tag               uint64
	ClientGone        *atomic.Bool // set once its client is known to have left, before ClientLeft comes through the queue; nil: not known
	HalfClosed        *atomic.Bool // set before ClientGone where the client closed its writing side only and may still read its answer
}

// Abandoned returns whether the client is known to have left.
func (r *Request) Abandoned() bool { return r.ClientGone != nil && r.ClientGone.Load() }

// halfClosed returns whether the client closed its writing side only and still gets an answer.
func (r *Request) halfClosed() bool { return r.HalfClosed != nil && r.HalfClosed.Load() }

// request is the state of an open request.
type request struct {
	Request
	prior          scheduler.PriorAttempt // what may have run under its idempotency key
	blocked        bool                   // nothing may be sent for it
	queued         bool                   // held by an extension: the scheduler does not have it
	attempts       [maxAttempts]attempt
	started        int // attempts
	inFlight       int // attempts
	level          int
	grantMB        float64
	answered       bool
	answerWithheld bool // answered, but an extension still withholds the answer from the client
}

// isKnown returns whether an id belongs to a request that is open or suspended.
func (l *Loop) isKnown(id string) bool { return l.requests[id] != nil || l.suspended[id] != nil }

// admit enters a request and completes its event for the scheduler; nil if the request is suspended or answered instead.
// A duplicate of an id fails and the first one goes on, also if that is closed, up to its deadline: a copy that ran
// anew would count as one more attempt.
func (l *Loop) admit(in *Request, event *scheduler.Event, resumed bool) *request {
	_, closed := l.closedIDs[in.ID]
	if !resumed {
		l.counters.Received++
		if len(l.extensions) > 0 && !closed && !l.isKnown(in.ID) && l.suspend(in) {
			return nil
		}
	}
	if !l.isKnown(in.ID) && l.receive(in, event, resumed) {
		return nil
	}
	if closed || l.isKnown(in.ID) {
		l.failDuplicate(in, resumed)
		return nil
	}
	r := l.newRequest()
	*r = request{Request: *in, prior: event.Prior, blocked: event.Blocked}
	l.requests[in.ID] = r
	event.Request = in.ID
	event.Class = in.Class
	event.TableGroup = in.TableGroup
	event.OrderKey = in.OrderKey
	event.MemoryMB = in.MemoryMB
	event.WorkMS = in.WorkMS
	event.Deadline = in.Deadline
	event.Retried = in.Retried
	l.timers.push(timer{at: in.Deadline, kind: deadlineTimer, request: in.ID})
	return r
}

// suspend returns whether an extension suspends a request, or has had it answered already.
func (l *Loop) suspend(in *Request) bool {
	l.suspended[in.ID] = in // before the event: a command may resume or answer it at once
	if l.notify(Event{Kind: RequestArriving, Request: in}).suspend || l.suspended[in.ID] == nil {
		return true
	}
	delete(l.suspended, in.ID)
	return false
}

// receive lets the extensions answer a request from their records; if none does, it adds what they know of it to its event.
func (l *Loop) receive(in *Request, event *scheduler.Event, resumed bool) (answered bool) {
	d := l.notify(Event{Kind: RequestReceived, Request: in, Prior: event.Prior})
	if d.answer != nil {
		l.answerFromRecord(in, d.answer)
		if resumed {
			l.notify(Event{Kind: RequestClosed, Request: in, Outcome: d.answer.Outcome, Body: d.answer.Body})
		}
		return true
	}
	event.Blocked = event.Blocked || d.blocked
	if d.prior.At != 0 && (event.Prior.At == 0 || d.prior.At < event.Prior.At) {
		event.Prior = d.prior
	}
	return false
}

func (l *Loop) failDuplicate(in *Request, resumed bool) {
	in.Client.Failed(in.Tag)
	l.openCount.Add(-1)
	l.counters.DuplicateIDs++
	if resumed {
		l.notify(Event{Kind: RequestClosed, Request: in, Outcome: ledger.Failed})
	}
}

// newRequest returns a request that was released, or a new one.
func (l *Loop) newRequest() *request {
	last := len(l.freeRequests) - 1
	if last < 0 {
		return &request{}
	}
	r := l.freeRequests[last]
	l.freeRequests = l.freeRequests[:last]
	return r
}

// answerRequest closes a request with its final answer. Where an extension withholds the answer, the client gets it at DeliverAnswer.
func (l *Loop) answerRequest(r *request, outcome ledger.Outcome, body []byte, afterMS, costMS float64) {
	switch {
	case l.notify(Event{Kind: RequestEnding, Request: &r.Request, Outcome: outcome, Body: body}).withholdAnswer:
		r.answerWithheld = true
		l.openCount.Add(1) // until it is delivered
	case outcome == ledger.Succeeded:
		r.Client.Succeeded(r.Tag, body)
	default:
		reply(&r.Request, outcome, body, afterMS)
	}
	l.closeRequest(r, outcome, body, costMS)
}

// deliverAnswer gives a client the answer that was withheld, or what has become of the request instead.
func (l *Loop) deliverAnswer(c *Command) {
	r := l.requests[c.ID]
	if r == nil || !r.answerWithheld {
		return
	}
	r.answerWithheld = false
	l.openCount.Add(-1)
	reply(&r.Request, c.Outcome, c.Body, c.AfterMS)
	l.releaseRequest(r)
}

// answerFromRecord answers a request that was never entered.
func (l *Loop) answerFromRecord(in *Request, c *Command) {
	reply(in, c.Outcome, c.Body, c.AfterMS)
	l.openCount.Add(-1)
	l.counters.FromRecord++
}

// reply gives a client its answer.
func reply(r *Request, outcome ledger.Outcome, body []byte, afterMS float64) {
	switch {
	case outcome == ledger.Succeeded && body != nil:
		r.Client.Succeeded(r.Tag, body)
	case outcome == ledger.Rejected:
		r.Client.Rejected(r.Tag, afterMS)
	default:
		r.Client.Failed(r.Tag)
	}
}

// closeRequest marks a request as answered.
func (l *Loop) closeRequest(r *request, outcome ledger.Outcome, body []byte, costMS float64) {
	if !invariant.Check(!r.answered, "a request is answered once") {
		return
	}
	r.answered = true
	l.openCount.Add(-1)
	l.notify(Event{Kind: RequestClosed, Request: &r.Request, Outcome: outcome, Body: body, CostMS: costMS})
}

// abandonRequest closes a request whose client has left.
func (l *Loop) abandonRequest(r *request) {
	l.closeRequest(r, ledger.Abandoned, nil, 0)
	l.counters.ClientLeft++
}

// releaseRequest drops the state of a request that is answered and has no attempt in flight.
func (l *Loop) releaseRequest(r *request) {
	if !r.answered || r.answerWithheld || r.inFlight > 0 || l.requests[r.ID] != r {
		return
	}
	delete(l.requests, r.ID)
	if l.clock.Now() < r.Deadline { // its deadline timer is still to come and deletes the id
		l.closedIDs[r.ID] = struct{}{}
	}
	*r = request{}
	l.freeRequests = append(l.freeRequests, r)
}

// expireRequest ends the attempts of a request whose deadline has come.
func (l *Loop) expireRequest(id string) {
	delete(l.closedIDs, id)
	r := l.requests[id]
	if r == nil || l.clock.Now() < r.Deadline {
		return
	}
	if !r.answered {
		l.counters.Overdue++
	}
	for n := range r.started {
		if r.attempts[n].inFlight {
			l.cancelAttempt(r, n, scheduler.TimedOut)
		}
	}
	l.processPending()
}
