package dispatch

import (
	"net/netip"
	"sync/atomic"

	"liftshift/internal/invariant"
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// Client receives the answers of its requests. A tag is the client's own number of a request. The methods must not
// block.
type Client interface {
	Succeeded(tag uint64, body []byte)
	Rejected(tag uint64, retryAfterMS float64)
	Failed(tag uint64)
}

// BodyBudget accounts for the memory of request bodies.
type BodyBudget interface{ Free(bytes int) }

// Request is a request as a client server submits it.
type Request struct {
	ID                string
	Class             string
	OrderKey          string // requests with the same key run in order
	IdempotencyKey    string
	TableGroup        uint64
	MemoryMB          float64
	WorkMS            float64
	ArrivedAt         float64 // when its message arrived, which may be before it was read
	Deadline          float64 // time at which the client gives up
	Team              string  // as the client claims
	ClientAddr        netip.Addr
	Schema            string
	WantsWaitEstimate bool // the client accepts estimates of how long the request will wait
	Retried           bool
	Body              []byte     // passed on unchanged
	BodyBudget        BodyBudget // gets the length of Body back once the loop has dropped the request; nil: there is none
	Client            Client
	Tag               uint64
	// ClientGone is set once the client is known to have left, which may be before ClientLeft is read from the queue.
	// Nil if that is not tracked.
	ClientGone *atomic.Bool
	// HalfClosed is set before ClientGone if the client closed only its writing side and may still read its answer.
	HalfClosed *atomic.Bool
}

// Abandoned returns whether the client is known to have left.
func (r *Request) Abandoned() bool { return r.ClientGone != nil && r.ClientGone.Load() }

// freeBody returns the length of the body to its budget, as the loop drops the request.
func (r *Request) freeBody() {
	if r.BodyBudget != nil {
		r.BodyBudget.Free(len(r.Body))
		r.BodyBudget = nil
	}
}

// halfClosed returns whether the client closed only its writing side and still gets an answer.
func (r *Request) halfClosed() bool { return r.HalfClosed != nil && r.HalfClosed.Load() }

// requestState is the loop's state of an admitted request.
type requestState struct {
	Request
	prior          scheduler.PriorAttempt // an earlier attempt with the same idempotency key that may have run
	blocked        bool                   // no attempt may be sent
	queued         bool                   // held by an extension; the scheduler does not have the request
	attempts       [maxAttempts]attempt
	started        int // attempts that were started
	inFlight       int // attempts that have not ended
	level          int
	grantMB        float64
	answered       bool
	answerWithheld bool    // answered, but an extension withholds the answer from the client
	idKnownUntil   float64 // its deadline timer fires then, and the id is forgotten
}

// lateIDKnownMS is how long an id stays known if its request arrives after its deadline.
const lateIDKnownMS = 1000

// isKnown returns whether an id belongs to a request that is admitted or suspended.
func (l *Loop) isKnown(id string) bool { return l.requests[id] != nil || l.suspended[id] != nil }

// admit creates the state of a request and completes its event for the scheduler. It returns nil if the request is
// suspended or answered instead.
//
// A request with a known id fails, and the first request with that id goes on. An id stays known until the deadline of
// its request even after that is closed, because running it again would count as another attempt. If that deadline has
// passed, the id is known for lateIDKnownMS: each request counts as an arrival for the retry budget, and a client that
// sent one id many times would raise the budget of all others.
func (l *Loop) admit(request *Request, event *scheduler.Event, resumed bool) *requestState {
	_, closed := l.closedIDs[request.ID]
	if !resumed {
		l.counters.Received++
		if !closed && !l.isKnown(request.ID) && l.remembersMaxIDs() {
			l.rejectUnadmitted(request)
			return nil
		}
		if len(l.extensions) > 0 && !closed && !l.isKnown(request.ID) && l.suspend(request, event) {
			return nil
		}
	}
	if !l.isKnown(request.ID) && l.receive(request, event, resumed) {
		return nil
	}
	if closed || l.isKnown(request.ID) {
		l.failDuplicate(request, resumed)
		return nil
	}
	state := l.newRequestState()
	*state = requestState{Request: *request, prior: event.Prior, blocked: event.Blocked}
	state.idKnownUntil = request.Deadline
	if now := l.clock.Now(); request.Deadline <= now {
		state.idKnownUntil = now + lateIDKnownMS
	}
	l.requests[request.ID] = state
	event.Request = request.ID
	event.Class = request.Class
	event.TableGroup = request.TableGroup
	event.OrderKey = request.OrderKey
	event.MemoryMB = request.MemoryMB
	event.WorkMS = request.WorkMS
	event.Deadline = request.Deadline
	event.Retried = request.Retried
	l.timers.push(timer{at: state.idKnownUntil, kind: deadlineTimer, request: request.ID})
	return state
}

// dropAbandoned drops a request whose client left while the request was in the queue. Nothing has been sent for it, so
// its id is not remembered.
func (l *Loop) dropAbandoned(request *Request) {
	l.counters.Received++
	l.counters.ClientLeft++
	l.openCount.Add(-1)
	request.freeBody()
}

// remembersMaxIDs returns whether no further id can be remembered.
func (l *Loop) remembersMaxIDs() bool {
	return l.MaxKnownIDs > 0 && len(l.requests)+len(l.suspended)+len(l.closedIDs) >= l.MaxKnownIDs
}

// rejectUnadmitted rejects a request that the loop has no room for.
func (l *Loop) rejectUnadmitted(request *Request) {
	request.Client.Rejected(request.Tag, l.RetryAfterMS)
	request.freeBody()
	l.openCount.Add(-1)
	l.counters.NoRoom++
}

// suspend returns whether an extension suspends a request, or has answered or resumed it already, or the request has to
// wait for suspended ones with its order key.
func (l *Loop) suspend(request *Request, arrival *scheduler.Event) bool {
	l.suspended[request.ID] = request // set before the event, because a command may resume or answer it at once
	l.orderTurns.add(request)
	if l.notify(Event{Kind: RequestArriving, Request: request}).suspend || l.suspended[request.ID] == nil {
		return true
	}
	if !l.orderTurns.isFirst(request) {
		l.resumeInTurn(request, *arrival)
		return true
	}
	l.takeSuspended(request.ID)
	return false
}

// receive lets the extensions answer a request from their records. If none does, it adds to the event what they know of
// earlier attempts.
func (l *Loop) receive(request *Request, event *scheduler.Event, resumed bool) (answered bool) {
	decided := l.notify(Event{Kind: RequestReceived, Request: request, Prior: event.Prior})
	if decided.answer != nil {
		l.answerFromRecord(request, decided.answer)
		if resumed {
			l.notify(Event{
				Kind:    RequestClosed,
				Request: request,
				Outcome: decided.answer.Outcome,
				Body:    decided.answer.Body,
			})
		}
		return true
	}
	event.Blocked = event.Blocked || decided.blocked
	if decided.prior.At != 0 && (event.Prior.At == 0 || decided.prior.At < event.Prior.At) {
		event.Prior = decided.prior
	}
	return false
}

// failDuplicate fails a request whose id is known already.
func (l *Loop) failDuplicate(request *Request, resumed bool) {
	request.Client.Failed(request.Tag)
	request.freeBody()
	l.openCount.Add(-1)
	l.counters.DuplicateIDs++
	if resumed {
		l.notify(Event{Kind: RequestClosed, Request: request, Outcome: ledger.Failed})
	}
}

// newRequestState returns a released state for reuse, or a new one.
func (l *Loop) newRequestState() *requestState {
	last := len(l.freeRequests) - 1
	if last < 0 {
		return &requestState{}
	}
	state := l.freeRequests[last]
	l.freeRequests = l.freeRequests[:last]
	return state
}

// answerRequest closes a request with its final answer. If an extension withholds the answer, the client gets it at
// DeliverAnswer; if one has no time for that, the client is told of a failure.
func (l *Loop) answerRequest(state *requestState, outcome ledger.Outcome, body []byte, retryAfterMS, costMS float64) {
	decided := l.notify(Event{Kind: RequestEnding, Request: &state.Request, Outcome: outcome, Body: body})
	switch {
	case decided.withholdAnswer:
		state.answerWithheld = true
		l.openCount.Add(1) // until it is delivered
	case decided.failAnswer:
		state.Client.Failed(state.Tag)
	case outcome == ledger.Succeeded:
		state.Client.Succeeded(state.Tag, body)
	default:
		reply(&state.Request, outcome, body, retryAfterMS)
	}
	l.closeRequest(state, outcome, body, costMS)
}

// deliverAnswer gives a client the answer of a command, in place of the answer that was withheld.
func (l *Loop) deliverAnswer(command *Command) {
	state := l.requests[command.ID]
	if state == nil || !state.answerWithheld {
		return
	}
	state.answerWithheld = false
	l.openCount.Add(-1)
	reply(&state.Request, command.Outcome, command.Body, command.RetryAfterMS)
	l.releaseRequest(state)
}

// answerFromRecord answers a request that was never admitted.
func (l *Loop) answerFromRecord(request *Request, command *Command) {
	reply(request, command.Outcome, command.Body, command.RetryAfterMS)
	request.freeBody()
	l.openCount.Add(-1)
	l.counters.FromRecord++
}

// reply gives a client its answer. A success without a body is reported as failed, because there is nothing to return.
func reply(request *Request, outcome ledger.Outcome, body []byte, retryAfterMS float64) {
	switch {
	case outcome == ledger.Succeeded && body != nil:
		request.Client.Succeeded(request.Tag, body)
	case outcome == ledger.Rejected:
		request.Client.Rejected(request.Tag, retryAfterMS)
	default:
		request.Client.Failed(request.Tag)
	}
}

// closeRequest marks a request as answered.
func (l *Loop) closeRequest(state *requestState, outcome ledger.Outcome, body []byte, costMS float64) {
	if !invariant.Check(!state.answered, "a request is answered once") {
		return
	}
	state.answered = true
	l.openCount.Add(-1)
	l.notify(Event{Kind: RequestClosed, Request: &state.Request, Outcome: outcome, Body: body, CostMS: costMS})
}

// abandonRequest closes a request whose client has left.
func (l *Loop) abandonRequest(state *requestState) {
	l.closeRequest(state, ledger.Abandoned, nil, 0)
	l.counters.ClientLeft++
}

// releaseRequest drops the state of a request that is answered and has no attempt in flight.
func (l *Loop) releaseRequest(state *requestState) {
	if !state.answered || state.answerWithheld || state.inFlight > 0 || l.requests[state.ID] != state {
		return
	}
	delete(l.requests, state.ID)
	if l.clock.Now() < state.idKnownUntil { // its deadline timer has not fired yet and will delete the id
		l.closedIDs[state.ID] = struct{}{}
	}
	state.freeBody()
	*state = requestState{}
	l.freeRequests = append(l.freeRequests, state)
}

// expireRequest cancels the attempts of a request whose deadline has passed.
func (l *Loop) expireRequest(id string) {
	delete(l.closedIDs, id)
	state := l.requests[id]
	if state == nil || l.clock.Now() < state.Deadline {
		return
	}
	if !state.answered {
		l.counters.Overdue++
	}
	for n := range state.started {
		if state.attempts[n].inFlight {
			l.cancelAttempt(state, n, scheduler.TimedOut)
		}
	}
	l.processPending()
}
