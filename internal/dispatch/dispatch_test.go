package dispatch

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"liftshift/internal/testlog"
	"liftshift/scheduler"
)

// actionsByEvent are the actions with which a fakePolicy answers each kind of event.
type actionsByEvent = map[scheduler.EventKind][]scheduler.Action

// fakePolicy records its events and answers each kind of event with fixed actions.
type fakePolicy struct {
	actions actionsByEvent
	events  []scheduler.Event
}

func (p *fakePolicy) ExecutorViews(float64, []scheduler.ExecutorView) []scheduler.ExecutorView {
	return []scheduler.ExecutorView{{Executor: 7, InFlight: 3, Ejected: true}}
}

func (p *fakePolicy) Step(_ float64, event *scheduler.Event, out []scheduler.Action) []scheduler.Action {
	p.events = append(p.events, *event)
	return append(out, p.actions[event.Kind]...)
}

// lastEvent returns the last event of a kind, or nil if there was none.
func (p *fakePolicy) lastEvent(kind scheduler.EventKind) *scheduler.Event {
	for i := len(p.events) - 1; i >= 0; i-- {
		if p.events[i].Kind == kind {
			return &p.events[i]
		}
	}
	return nil
}

// fakeTransport is an ExecutorTransport, a RunningAttempt and a Client at once, and records the calls of their methods.
type fakeTransport struct {
	cancelResult CancelResult
	delayMS      float64
	refuseSends  bool
	sent         []Attempt
	calls        []string
	body         string
}

func (t *fakeTransport) Send(attempt Attempt) (RunningAttempt, float64) {
	t.sent = append(t.sent, attempt)
	if t.refuseSends {
		return nil, 0
	}
	return t, t.delayMS
}
func (t *fakeTransport) Release() { t.calls = append(t.calls, "release") }
func (t *fakeTransport) HealthCheck(uint32, uint64) bool {
	t.calls = append(t.calls, "health check")
	return !t.refuseSends
}
func (t *fakeTransport) ForgetHealthCheck(uint32, uint64) {
	t.calls = append(t.calls, "forget health check")
}
func (t *fakeTransport) ConnectionState(uint32) ConnectionState {
	return ConnectionState{Name: "s-7", Attempts: 2}
}
func (t *fakeTransport) Cancel() CancelResult {
	t.calls = append(t.calls, "cancel")
	return t.cancelResult
}
func (t *fakeTransport) SetLevel(int) { t.calls = append(t.calls, "set level") }
func (t *fakeTransport) Succeeded(_ uint64, body []byte) {
	t.calls, t.body = append(t.calls, "succeeded"), string(body)
}
func (t *fakeTransport) Rejected(uint64, float64) { t.calls = append(t.calls, "rejected") }
func (t *fakeTransport) Failed(uint64)            { t.calls = append(t.calls, "failed") }

// sendToExecutor7 makes a fakePolicy send request a to executor 7 at level 3 when it arrives.
func sendToExecutor7() actionsByEvent {
	return actionsByEvent{scheduler.RequestArrived: {
		{Kind: scheduler.SetResources, Request: "a", GrantMB: 64, Level: 3},
		{Kind: scheduler.Send, Request: "a", Executor: 7},
	}}
}

// newLoopWithAttempt returns a loop whose scheduler has sent request a to executor 7 at level 3. The given actions are
// added to those of its policy.
func newLoopWithAttempt(transport *fakeTransport, actions actionsByEvent) (*Loop, *fakePolicy) {
	log := testlog.Discard()
	policy := &fakePolicy{actions: sendToExecutor7()}
	for kind, list := range actions {
		policy.actions[kind] = list
	}
	loop := New(NewClock(), policy, log)
	loop.Executors, loop.HealthCheckTimeoutMS = transport, 250
	loop.openCount.Add(1)
	loop.process(requestArrived(newRequest(loop, transport)))
	return loop, policy
}

// newRequest returns request a of a client, with tag 5 and a deadline in 1000 ms.
func newRequest(loop *Loop, client *fakeTransport) *Request {
	return &Request{ID: "a", Class: "read", Deadline: loop.clock.Now() + 1000, Client: client, Tag: 5}
}

func requestArrived(request *Request) QueueItem {
	return QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: request}
}

// attemptEnded returns the end of the first attempt of request a.
func attemptEnded(outcome scheduler.Outcome) QueueItem {
	event := scheduler.Event{Kind: scheduler.AttemptEnded, Request: "a", Outcome: outcome}
	return QueueItem{Event: event, Body: []byte("rows")}
}

// progressReported returns a progress report of the first attempt of request a.
func progressReported() QueueItem {
	return QueueItem{Event: scheduler.Event{Kind: scheduler.ProgressReported, Request: "a"}}
}

// clientLeft returns the event that a client has left request a.
func clientLeft(client Client, tag uint64) QueueItem {
	event := scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}
	return QueueItem{Event: event, Client: client, Token: tag}
}

func TestLoop_SendsAnswersAndReleasesRequest(t *testing.T) {
	transport := &fakeTransport{}
	loop, policy := newLoopWithAttempt(transport, nil)
	sent := transport.sent[0]
	assert.Equal(t, []any{uint32(7), 64.0, 3, 0}, []any{sent.Executor, sent.GrantMB, sent.Level, sent.Number})
	assert.InDelta(t, 1000, sent.TimeoutMS, 900)
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Equal(t, "rows", transport.body)
	ended := policy.lastEvent(scheduler.AttemptEnded)
	assert.True(t, ended.Final)
	assert.Equal(t, uint32(7), ended.Executor)
	assert.Zero(t, loop.OpenRequests())
	assert.Empty(t, loop.requests)
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Equal(t, []string{"succeeded"}, transport.calls, "the second end of an attempt does not answer again")
	assert.Equal(t, uint64(1), loop.counters.Stray)
}

func TestLoop_ReleasesDelayedAttempt(t *testing.T) {
	transport := &fakeTransport{delayMS: 40}
	loop, _ := newLoopWithAttempt(transport, nil)
	loop.fireTimers()
	assert.Empty(t, transport.calls)
	assert.Equal(t, releaseTimer, loop.timers[0].kind)
	assert.InDelta(t, loop.clock.Now()+40, loop.timers[0].at, 30)
	loop.timers[0].at = 0
	loop.timers.push(timer{at: loop.clock.Now() + 1e6, kind: countersTimer})
	loop.fireTimers()
	assert.Equal(t, []string{"release"}, transport.calls)
}

// An answer that is in the queue when its attempt is cancelled still answers the request.
func TestLoop_QueuedAnswerPrecedesCancellation(t *testing.T) {
	transport := &fakeTransport{cancelResult: AlreadyEnded}
	loop, policy := newLoopWithAttempt(transport, actionsByEvent{
		scheduler.ProgressReported: {{Kind: scheduler.Cancel, Request: "a"}},
	})
	loop.process(progressReported())
	assert.Nil(t, policy.lastEvent(scheduler.AttemptEnded), "the cancellation queues no second end of the attempt")
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Equal(t, []string{"cancel", "succeeded"}, transport.calls)
}

func TestLoop_CancelResultGivesOutcome(t *testing.T) {
	for cancelResult, want := range map[CancelResult]scheduler.Outcome{
		CancelSent:      scheduler.Cancelled,
		CancelledUnsent: scheduler.NeverSent,
	} {
		transport := &fakeTransport{cancelResult: cancelResult}
		loop, policy := newLoopWithAttempt(transport, actionsByEvent{scheduler.ProgressReported: {
			{Kind: scheduler.Cancel, Request: "a"},
			{Kind: scheduler.SetResources, Request: "a", Level: 1}, // ignored: the end of the attempt is pending
		}})
		loop.process(progressReported())
		assert.Equal(t, want, policy.lastEvent(scheduler.AttemptEnded).Outcome)
		assert.Equal(t, []string{"cancel"}, transport.calls)
	}
}

func TestLoop_RefusedSendIsLocalFailure(t *testing.T) {
	_, policy := newLoopWithAttempt(&fakeTransport{refuseSends: true}, nil)
	assert.Equal(t, scheduler.LocalFailure, policy.lastEvent(scheduler.AttemptEnded).Outcome)
}

// The deadline ends an attempt without any answer, even if the scheduler set no timer.
func TestLoop_DeadlineEndsSilentAttempt(t *testing.T) {
	transport := &fakeTransport{}
	loop, policy := newLoopWithAttempt(transport, nil)
	loop.expireRequest("a")
	assert.Nil(t, policy.lastEvent(scheduler.AttemptEnded), "the deadline has not passed yet")
	loop.requests["a"].Deadline = loop.clock.Now() - 1
	loop.expireRequest("a")
	assert.Equal(t, scheduler.TimedOut, policy.lastEvent(scheduler.AttemptEnded).Outcome)
	assert.Equal(t, uint64(1), loop.counters.Overdue)
}

func TestLoop_RejectsOnce(t *testing.T) {
	transport := &fakeTransport{}
	loop, _ := newLoopWithAttempt(transport, actionsByEvent{scheduler.ProgressReported: {
		{Kind: scheduler.Reject, Request: "a"},
		{Kind: scheduler.Cancel, Request: "a"},
	}})
	loop.process(progressReported())
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Equal(t, []string{"rejected", "cancel"}, transport.calls)
	assert.Zero(t, loop.OpenRequests())
}

func TestLoop_ClientEndsOnlyItsOwnRequests(t *testing.T) {
	transport := &fakeTransport{}
	loop, policy := newLoopWithAttempt(transport, nil)
	loop.process(clientLeft(&fakeTransport{}, 5))
	loop.process(clientLeft(transport, 4))
	assert.Nil(t, policy.lastEvent(scheduler.ClientLeft))
	loop.process(clientLeft(transport, 5))
	assert.NotNil(t, policy.lastEvent(scheduler.ClientLeft))
	assert.Zero(t, loop.OpenRequests())
}

func TestLoop_FailsDuplicateID(t *testing.T) {
	transport, other := &fakeTransport{}, &fakeTransport{}
	loop, _ := newLoopWithAttempt(transport, nil)
	duplicate := newRequest(loop, other)
	loop.openCount.Add(1)
	loop.process(requestArrived(duplicate))
	assert.Equal(t, []string{"failed"}, other.calls)
	assert.Equal(t, 1, loop.OpenRequests())
	assert.Len(t, transport.sent, 1)
	loop.process(attemptEnded(scheduler.Succeeded))
	loop.openCount.Add(1)
	loop.process(requestArrived(newRequest(loop, other)))
	assert.Len(t, transport.sent, 1, "a duplicate of a closed request is not sent either")
	assert.Len(t, loop.closedIDs, 1)
	loop.expireRequest("a")
	assert.Empty(t, loop.closedIDs, "an id is forgotten at the deadline of its request")
}

// Guards against a client that sends one id many times raising the retry budget of all others, where the first request
// arrives after its deadline: each request that the scheduler gets counts as an arrival.
func TestLoop_FailsDuplicateOfLateRequest(t *testing.T) {
	transport, other := &fakeTransport{}, &fakeTransport{}
	log := testlog.Discard()
	reject := actionsByEvent{scheduler.RequestArrived: {{Kind: scheduler.Reject, Request: "a"}}}
	policy := &fakePolicy{actions: reject}
	loop := New(NewClock(), policy, log)
	late := func(client *fakeTransport) QueueItem {
		request := newRequest(loop, client)
		request.Deadline = loop.clock.Now() - 5
		loop.openCount.Add(1)
		return requestArrived(request)
	}
	loop.process(late(transport))
	assert.Equal(t, []string{"rejected"}, transport.calls)
	for range 3 {
		loop.process(late(other))
	}
	assert.Equal(t, []string{"failed", "failed", "failed"}, other.calls)
	assert.Len(t, policy.events, 1, "the scheduler gets the id once")
	assert.Len(t, loop.closedIDs, 1)
	assert.InDelta(t, loop.clock.Now()+lateIDKnownMS, loop.timers[0].at, 500)
	loop.expireRequest("a")
	assert.Empty(t, loop.closedIDs, "the id is forgotten")
	assert.Zero(t, loop.OpenRequests())
}

func TestLoop_HealthChecks(t *testing.T) {
	checkOnTimer := actionsByEvent{scheduler.TimerFired: {{Kind: scheduler.HealthCheck, Executor: 7}}}
	timerFired := QueueItem{Event: scheduler.Event{Kind: scheduler.TimerFired}}
	transport := &fakeTransport{}
	loop, policy := newLoopWithAttempt(transport, checkOnTimer)
	loop.process(timerFired)
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.HealthChecked, Executor: 7}, Token: 9})
	assert.Nil(t, policy.lastEvent(scheduler.HealthChecked), "the result of an older health check is ignored")
	loop.HealthCheckTimeoutMS = 0
	for loop.timers[0].kind != healthCheckTimer {
		loop.timers.pop()
	}
	loop.timers[0].at = loop.clock.Now() - 2*stallThresholdMS
	loop.fireTimers()
	assert.Nil(t, policy.lastEvent(scheduler.HealthChecked), "after a stall the answer may not have been read yet")
	for loop.timers[0].kind != healthCheckTimer {
		loop.timers.pop()
	}
	loop.timers[0].at = loop.clock.Now()
	loop.fireTimers()
	assert.Equal(t, scheduler.TimedOut, policy.lastEvent(scheduler.HealthChecked).Outcome)
	assert.Equal(t, []string{"health check", "forget health check"}, transport.calls)
	loop, policy = newLoopWithAttempt(&fakeTransport{refuseSends: true}, checkOnTimer)
	loop.process(timerFired)
	assert.Equal(t, scheduler.LocalFailure, policy.lastEvent(scheduler.HealthChecked).Outcome)
}

func TestTimers_PopInOrder(t *testing.T) {
	var heap timers
	for k := range 200 {
		heap.push(timer{at: float64(k * 7919 % 200)})
	}
	for k := range 200 {
		assert.Equal(t, float64(k), heap.pop().at)
	}
}

func TestLoop_PutReturnsAfterStop(t *testing.T) {
	loop, policy := newLoopWithAttempt(&fakeTransport{}, actionsByEvent{
		scheduler.Started: {{Kind: scheduler.SetTimer, AfterMS: 1, Token: 3}},
	})
	go loop.Run()
	for range 2 * queueCapacity {
		loop.Put(QueueItem{Event: scheduler.Event{Kind: scheduler.PeerMessage}})
	}
	assert.Eventually(t, func() bool { return len(loop.queue) == 0 }, 5*time.Second, time.Millisecond)
	loop.Stop()
	assert.Equal(t, uint64(3), policy.lastEvent(scheduler.TimerFired).Token)
	for range 2 * queueCapacity {
		loop.Put(QueueItem{})
	}
}

func TestClock_StartsAtUnixTime(t *testing.T) {
	clock := NewClock()
	first := clock.Now()
	assert.InDelta(t, float64(clock.start.UnixMilli()), first, 1000)
	assert.GreaterOrEqual(t, clock.Now(), first)
	assert.Zero(t, clock.until(first-5))
}

// The scheduler's view of an executor and the state of its connections are in the same log line.
func TestLoop_LogsExecutorViewBesideConnectionState(t *testing.T) {
	loop, _ := newLoopWithAttempt(&fakeTransport{}, nil)
	var text bytes.Buffer
	log := logrus.New()
	log.SetOutput(&text)
	loop.log = log
	loop.logExecutorStates()
	want := `msg=executor .*connection_attempts=2 .*ejected=true executor=s-7 id=7 .*in_flight=3`
	assert.Regexp(t, want, text.String())
}

// Guards against a leak: every request has a new id, so the loop must drop all state of a request at its deadline,
// however the request ended.
func TestLoop_KeepsNothingPastDeadline(t *testing.T) {
	transport := &fakeTransport{cancelResult: CancelSent}
	log := testlog.Discard()
	loop := New(NewClock(), &fakePolicy{}, log)
	loop.Executors = transport
	for n := range 300 {
		request := newRequest(loop, transport)
		request.ID, request.Deadline = fmt.Sprint("a", n), loop.clock.Now()+200
		loop.openCount.Add(1)
		loop.process(requestArrived(request))
		send := &scheduler.Action{Kind: scheduler.Send, Request: request.ID, Executor: uint32(n)}
		loop.apply(loop.clock.Now(), send)
		switch n % 3 {
		case 0:
			loop.process(QueueItem{Event: scheduler.Event{
				Kind:    scheduler.AttemptEnded,
				Request: request.ID,
				Outcome: scheduler.Succeeded,
			}})
		case 1:
			left := scheduler.Event{Kind: scheduler.ClientLeft, Request: request.ID}
			loop.process(QueueItem{Event: left, Client: transport, Token: request.Tag})
			loop.apply(loop.clock.Now(), &scheduler.Action{Kind: scheduler.Cancel, Request: request.ID})
			loop.processPending()
		default:
			loop.apply(loop.clock.Now(), &scheduler.Action{Kind: scheduler.Reject, Request: request.ID})
		}
	}
	time.Sleep(250 * time.Millisecond) // until all deadlines have passed
	loop.timers.push(timer{at: loop.clock.Now() + 1e6, kind: countersTimer})
	loop.fireTimers()
	assert.Empty(t, loop.requests)
	assert.Empty(t, loop.closedIDs)
	assert.Len(t, loop.timers, 1, "only the counters timer is left")
	assert.Zero(t, loop.OpenRequests())
}

// If an attempt was not sent because its client is gone, the scheduler learns that the request is over before
// ClientLeft is read from the queue, and sends no other attempt.
func TestLoop_AttemptNotSentForGoneClientIsFinal(t *testing.T) {
	transport := &fakeTransport{}
	loop, policy := newLoopWithAttempt(transport, nil)
	state := loop.requests["a"]
	state.ClientGone = &atomic.Bool{}
	state.ClientGone.Store(true)
	loop.process(attemptEnded(scheduler.NeverSent))
	assert.True(t, policy.lastEvent(scheduler.AttemptEnded).Final)
	assert.Zero(t, loop.OpenRequests())
	loop.process(clientLeft(transport, 5))
	assert.Nil(t, policy.lastEvent(scheduler.ClientLeft), "the scheduler knows already that the request is over")
	assert.Equal(t, uint64(1), loop.counters.ClientLeft)
	assert.Empty(t, transport.calls)
	assert.Len(t, transport.sent, 1)
}

// Data that is read during a stall of this process, or shortly after it, may have arrived when the stall began.
func TestStallDetector_EarliestArrival(t *testing.T) {
	var detector stallDetector
	assert.Equal(t, 500.0, detector.earliestArrival(500), "no turn was recorded yet")
	detector.recordTurn(1000)
	assert.Equal(t, 1040.0, detector.earliestArrival(1040))
	assert.Equal(t, 1000.0, detector.earliestArrival(1600))
	detector.recordTurn(1600)
	assert.Equal(t, 1000.0, detector.earliestArrival(1620))
	detector.recordTurn(1620)
	detector.recordTurn(1640)
	detector.recordTurn(1655)
	assert.Equal(t, 1655.0, detector.earliestArrival(1655))
}
