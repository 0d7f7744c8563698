package dispatch

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// freedBytes is a budget of bodies that counts what it gets back.
type freedBytes int

func (f *freedBytes) Free(bytes int) { *f += freedBytes(bytes) }

// withBody gives a request a body of 5 bytes.
func withBody(request *Request, budget *freedBytes) *Request {
	request.Body, request.BodyBudget = []byte("12345"), budget
	return request
}

// Guards against memory that nobody counts: a body is given back once, and only when the loop has dropped its request.
func TestLoop_FreesBodyWithRequest(t *testing.T) {
	transport := &fakeTransport{cancelResult: CancelSent}
	var freed freedBytes

	loop, _ := newLoopWithAttempt(transport, nil)
	loop.process(attemptEnded(scheduler.Succeeded))
	loop.closedIDs = map[string]struct{}{}
	loop.process(requestArrived(withBody(newRequest(loop, transport), &freed)))
	loop.process(requestArrived(withBody(newRequest(loop, transport), &freed)))
	assert.Equal(t, freedBytes(5), freed, "the duplicate is dropped, the first request is open")
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Equal(t, freedBytes(10), freed, "answered")

	answer := commandsByEvent{RequestReceived: {{Kind: AnswerFromRecord, Outcome: ledger.Failed}}}
	loop, _, _ = newExtendedLoop(transport, answer)
	loop.process(requestArrived(withBody(newRequest(loop, transport), &freed)))
	assert.Equal(t, freedBytes(15), freed, "answered from record")

	loop, _, _ = newExtendedLoop(transport, commandsByEvent{RequestArriving: {{Kind: Suspend}}})
	loop.suspended = map[string]*Request{}
	loop.process(requestArrived(withBody(newRequest(loop, transport), &freed)))
	assert.Equal(t, freedBytes(15), freed, "suspended")
	loop.process(clientLeft(transport, 5))
	assert.Equal(t, freedBytes(20), freed, "its client has left")
}

// Guards against work and memory for clients that have left: a request whose client left while it was in the queue is
// dropped, and a later request with its id is new, as nothing was sent for the first one.
func TestLoop_DropsRequestsOfClientsThatLeftInQueue(t *testing.T) {
	transport := &fakeTransport{}
	var freed freedBytes
	loop, policy := newLoopWithAttempt(transport, nil)
	request := withBody(newRequest(loop, transport), &freed)
	request.ID, request.ClientGone, request.HalfClosed = "b", &atomic.Bool{}, &atomic.Bool{}
	request.ClientGone.Store(true)
	loop.openCount.Add(1)
	arrivals := len(policy.events)
	loop.process(requestArrived(request))
	assert.Len(t, policy.events, arrivals, "the scheduler does not get it")
	assert.Equal(t, freedBytes(5), freed)
	assert.Equal(t, 1, loop.OpenRequests(), "the other request")
	assert.False(t, loop.isKnown("b"))

	request = newRequest(loop, transport)
	request.ID, request.ClientGone, request.HalfClosed = "b", &atomic.Bool{}, &atomic.Bool{}
	request.ClientGone.Store(true)
	request.HalfClosed.Store(true)
	loop.process(requestArrived(request))
	assert.True(t, loop.isKnown("b"), "a client that may still read gets its answer from the scheduler")
}

// Guards against memory that grows with a flood of new ids: past a limit, requests with new ids are rejected until the
// deadlines of earlier ones have passed. A repeat of a known id still fails, as its first request may have run.
func TestLoop_LimitsRememberedIDs(t *testing.T) {
	transport := &fakeTransport{}
	loop, policy := newLoopWithAttempt(transport, nil)
	loop.MaxKnownIDs = 1
	transport.calls = nil
	second := newRequest(loop, transport)
	second.ID = "b"
	loop.process(requestArrived(second))
	loop.process(requestArrived(newRequest(loop, transport)))
	assert.Equal(t, []string{"rejected", "failed"}, transport.calls)
	loop.process(attemptEnded(scheduler.Succeeded))
	loop.process(requestArrived(second))
	assert.Equal(t, []string{"rejected", "failed", "succeeded", "rejected"}, transport.calls, "the id of a is remembered")
	loop.expireRequest("a")
	policy.actions = nil // a is closed
	arrivals := len(policy.events)
	loop.process(requestArrived(second))
	assert.Len(t, policy.events, arrivals+1)
}
