package dispatch

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"liftshift/scheduler"
)

// fakePolicy records its events and answers each kind with fixed actions.
type fakePolicy struct {
	actions map[scheduler.EventKind][]scheduler.Action
	events  []scheduler.Event
}

func (s *fakePolicy) ExecutorViews(float64, []scheduler.ExecutorView) []scheduler.ExecutorView {
	return []scheduler.ExecutorView{{Executor: 7, InFlight: 3, Ejected: true}}
}

func (s *fakePolicy) Step(_ float64, ev *scheduler.Event, out []scheduler.Action) []scheduler.Action {
	s.events = append(s.events, *ev)
	return append(out, s.actions[ev.Kind]...)
}

// lastEvent returns the last event of a kind.
func (s *fakePolicy) lastEvent(kind scheduler.EventKind) *scheduler.Event {
	for k := len(s.events) - 1; k >= 0; k-- {
		if s.events[k].Kind == kind {
			return &s.events[k]
		}
	}
	return nil
}

// fakeTransport plays executors, attempt and client, and records calls.
type fakeTransport struct {
	cancelResult CancelResult
	heldMS       float64
	refuseSends  bool
	sent         []Attempt
	calls        []string
	body         string
}

func (t *fakeTransport) Send(s Attempt) (RunningAttempt, float64) {
	t.sent = append(t.sent, s)
	if t.refuseSends {
		return nil, 0
	}
	return t, t.heldMS
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
func (t *fakeTransport) Succeeded(_ uint64, b []byte) {
	t.calls, t.body = append(t.calls, "succeeded"), string(b)
}
func (t *fakeTransport) Rejected(uint64, float64) { t.calls = append(t.calls, "rejected") }
func (t *fakeTransport) Failed(uint64)            { t.calls = append(t.calls, "failed") }

// newLoopWithAttempt returns a loop whose scheduler has sent request a to executor 7 at level 3.
func newLoopWithAttempt(transport *fakeTransport, on map[scheduler.EventKind][]scheduler.Action) (*Loop, *fakePolicy) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	policy := &fakePolicy{actions: map[scheduler.EventKind][]scheduler.Action{scheduler.RequestArrived: {
		{Kind: scheduler.SetResources, Request: "a", GrantMB: 64, Level: 3}, {Kind: scheduler.Send, Request: "a", Executor: 7}}}}
	for k, v := range on {
		policy.actions[k] = v
	}
	loop := New(NewClock(), policy, log)
	loop.Executors, loop.HealthCheckTimeoutMS = transport, 250
	loop.openCount.Add(1)
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: newRequest(loop, transport)})
	return loop, policy
}

func newRequest(loop *Loop, transport *fakeTransport) *Request {
	return &Request{ID: "a", Class: "look", Deadline: loop.clock.Now() + 1000, Client: transport, Tag: 5}
}

func attemptEnded(o scheduler.Outcome) QueueItem {
	return QueueItem{Event: scheduler.Event{Kind: scheduler.AttemptEnded, Request: "a", Outcome: o}, Body: []byte("rows")}
}

func TestLoop_SendsAnswersAndReleasesRequest(t *testing.T) {
	transport := &fakeTransport{}
	loop, policy := newLoopWithAttempt(transport, nil)
	assert.Equal(t, []any{uint32(7), 64.0, 3, 0}, []any{transport.sent[0].Executor, transport.sent[0].GrantMB, transport.sent[0].Level, transport.sent[0].Number})
	assert.InDelta(t, 1000, transport.sent[0].TimeoutMS, 900)
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Equal(t, "rows", transport.body)
	ev := policy.lastEvent(scheduler.AttemptEnded)
	assert.True(t, ev.Final)
	assert.Equal(t, uint32(7), ev.Executor)
	assert.Zero(t, loop.OpenRequests())
	assert.Empty(t, loop.requests)
	loop.process(attemptEnded(scheduler.Succeeded)) // nothing is answered twice
	assert.Equal(t, []string{"succeeded"}, transport.calls)
	assert.Equal(t, uint64(1), loop.counters.Stray)
}

func TestLoop_ReleasesDelayedAttempt(t *testing.T) {
	transport := &fakeTransport{heldMS: 40}
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

// An answer that is in the queue when its attempt is cancelled counts, as long as nothing was answered.
func TestLoop_QueuedAnswerPrecedesCancellation(t *testing.T) {
	transport := &fakeTransport{cancelResult: AlreadyEnded}
	loop, policy := newLoopWithAttempt(transport, map[scheduler.EventKind][]scheduler.Action{scheduler.ProgressReported: {{Kind: scheduler.Cancel, Request: "a"}}})
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ProgressReported, Request: "a"}})
	assert.Nil(t, policy.lastEvent(scheduler.AttemptEnded), "its end comes by itself")
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Equal(t, []string{"cancel", "succeeded"}, transport.calls)
}

func TestLoop_CancelResultGivesOutcome(t *testing.T) {
	for stopped, want := range map[CancelResult]scheduler.Outcome{CancelSent: scheduler.Cancelled, CancelledUnsent: scheduler.NeverSent} {
		transport := &fakeTransport{cancelResult: stopped}
		loop, policy := newLoopWithAttempt(transport, map[scheduler.EventKind][]scheduler.Action{scheduler.ProgressReported: {{Kind: scheduler.Cancel, Request: "a"},
			{Kind: scheduler.SetResources, Request: "a", Level: 1}}}) // resources for an attempt whose end is pending
		loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ProgressReported, Request: "a"}})
		assert.Equal(t, want, policy.lastEvent(scheduler.AttemptEnded).Outcome)
		assert.Equal(t, []string{"cancel"}, transport.calls)
	}
}

func TestLoop_RefusedSendIsLocalFailure(t *testing.T) {
	_, policy := newLoopWithAttempt(&fakeTransport{refuseSends: true}, nil)
	assert.Equal(t, scheduler.LocalFailure, policy.lastEvent(scheduler.AttemptEnded).Outcome)
}

// The deadline ends an attempt that shows no sign, also where the scheduler set no timer.
func TestLoop_DeadlineEndsSilentAttempt(t *testing.T) {
	transport := &fakeTransport{}
	loop, policy := newLoopWithAttempt(transport, nil)
	loop.expireRequest("a")
	assert.Nil(t, policy.lastEvent(scheduler.AttemptEnded), "not before it")
	loop.requests["a"].Deadline = loop.clock.Now() - 1
	loop.expireRequest("a")
	assert.Equal(t, scheduler.TimedOut, policy.lastEvent(scheduler.AttemptEnded).Outcome)
	assert.Equal(t, uint64(1), loop.counters.Overdue)
}

func TestLoop_RejectsOnce(t *testing.T) {
	transport := &fakeTransport{}
	loop, _ := newLoopWithAttempt(transport, map[scheduler.EventKind][]scheduler.Action{scheduler.ProgressReported: {{Kind: scheduler.Reject, Request: "a"},
		{Kind: scheduler.Cancel, Request: "a"}}})
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ProgressReported, Request: "a"}})
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Equal(t, []string{"rejected", "cancel"}, transport.calls)
	assert.Zero(t, loop.OpenRequests())
}

func TestLoop_ClientEndsOnlyItsOwnRequests(t *testing.T) {
	transport := &fakeTransport{}
	loop, policy := newLoopWithAttempt(transport, nil)
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}, Client: &fakeTransport{}, Token: 5})
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}, Client: transport, Token: 4})
	assert.Nil(t, policy.lastEvent(scheduler.ClientLeft))
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}, Client: transport, Token: 5})
	assert.NotNil(t, policy.lastEvent(scheduler.ClientLeft))
	assert.Zero(t, loop.OpenRequests())
}

func TestLoop_FailsDuplicateID(t *testing.T) {
	transport, other := &fakeTransport{}, &fakeTransport{}
	loop, _ := newLoopWithAttempt(transport, nil)
	s := newRequest(loop, other)
	loop.openCount.Add(1)
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: s})
	assert.Equal(t, []string{"failed"}, other.calls)
	assert.Equal(t, 1, loop.OpenRequests())
	assert.Len(t, transport.sent, 1)
	loop.process(attemptEnded(scheduler.Succeeded))
	loop.openCount.Add(1)
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: newRequest(loop, other)})
	assert.Len(t, transport.sent, 1, "nor once the first is closed: its attempt would be one more")
	assert.Len(t, loop.closedIDs, 1)
	loop.expireRequest("a")
	assert.Empty(t, loop.closedIDs, "ids are kept no longer than their deadline")
}

func TestLoop_HealthChecks(t *testing.T) {
	probe := map[scheduler.EventKind][]scheduler.Action{scheduler.TimerFired: {{Kind: scheduler.HealthCheck, Executor: 7}}}
	transport := &fakeTransport{}
	loop, policy := newLoopWithAttempt(transport, probe)
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.TimerFired}})
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.HealthChecked, Executor: 7}, Token: 9})
	assert.Nil(t, policy.lastEvent(scheduler.HealthChecked), "the answer of an older check")
	loop.HealthCheckTimeoutMS = 0
	for loop.timers[0].kind != healthCheckTimer {
		loop.timers.pop()
	}
	loop.timers[0].at = loop.clock.Now() - 2*stallMS // this process stalled: the answer may be there and not be read yet
	loop.fireTimers()
	assert.Nil(t, policy.lastEvent(scheduler.HealthChecked))
	for loop.timers[0].kind != healthCheckTimer {
		loop.timers.pop()
	}
	loop.timers[0].at = loop.clock.Now()
	loop.fireTimers()
	assert.Equal(t, scheduler.TimedOut, policy.lastEvent(scheduler.HealthChecked).Outcome)
	assert.Equal(t, []string{"health check", "forget health check"}, transport.calls)
	loop, policy = newLoopWithAttempt(&fakeTransport{refuseSends: true}, probe)
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.TimerFired}})
	assert.Equal(t, scheduler.LocalFailure, policy.lastEvent(scheduler.HealthChecked).Outcome)
}

func TestTimers_PopInOrder(t *testing.T) {
	var h timers
	for k := range 200 {
		h.push(timer{at: float64(k * 7919 % 200)})
	}
	for k := range 200 {
		assert.Equal(t, float64(k), h.pop().at)
	}
}

func TestLoop_PutReturnsAfterStop(t *testing.T) {
	loop, policy := newLoopWithAttempt(&fakeTransport{}, map[scheduler.EventKind][]scheduler.Action{scheduler.Started: {{Kind: scheduler.SetTimer, AfterMS: 1, Token: 3}}})
	go loop.Run()
	for range 2 * queueCapacity {
		loop.Put(QueueItem{Event: scheduler.Event{Kind: scheduler.PeerMessage}})
	}
	assert.Eventually(t, func() bool { return len(loop.queue) == 0 }, 5e9, 1e6)
	loop.Stop()
	assert.Equal(t, uint64(3), policy.lastEvent(scheduler.TimerFired).Token)
	for range 2 * queueCapacity {
		loop.Put(QueueItem{})
	}
}

func TestClock_StartsAtUnixTime(t *testing.T) {
	c := NewClock()
	a := c.Now()
	assert.InDelta(t, float64(c.start.UnixMilli()), a, 1000)
	assert.GreaterOrEqual(t, c.Now(), a)
	assert.Zero(t, c.until(a-5))
}

// The scheduler's view of an executor is logged beside the state of its connections.
func TestLoop_LogsExecutorViewBesideConnectionState(t *testing.T) {
	loop, _ := newLoopWithAttempt(&fakeTransport{}, nil)
	var text bytes.Buffer
	log := logrus.New()
	log.SetOutput(&text)
	loop.log = log
	loop.logExecutorStates()
	assert.Regexp(t, `msg=executor .*connection_attempts=2 .*ejected=true executor=s-7 id=7 .*in_flight=3`, text.String())
}

// Ids are always new: nothing is kept of a request past its deadline, however it ended.
func TestLoop_KeepsNothingPastDeadline(t *testing.T) {
	transport := &fakeTransport{cancelResult: CancelSent}
	log := logrus.New()
	log.SetOutput(io.Discard)
	loop := New(NewClock(), &fakePolicy{}, log)
	loop.Executors = transport
	for n := range 300 {
		s := newRequest(loop, transport)
		s.ID, s.Deadline = fmt.Sprint("a", n), loop.clock.Now()+200
		loop.openCount.Add(1)
		loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: s})
		loop.apply(loop.clock.Now(), &scheduler.Action{Kind: scheduler.Send, Request: s.ID, Executor: uint32(n)})
		switch n % 3 {
		case 0:
			loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.AttemptEnded, Request: s.ID, Outcome: scheduler.Succeeded}})
		case 1:
			loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: s.ID}, Client: transport, Token: s.Tag})
			loop.apply(loop.clock.Now(), &scheduler.Action{Kind: scheduler.Cancel, Request: s.ID})
			loop.processPending()
		default:
			loop.apply(loop.clock.Now(), &scheduler.Action{Kind: scheduler.Reject, Request: s.ID})
		}
	}
	time.Sleep(250 * time.Millisecond) // all deadlines pass
	loop.timers.push(timer{at: loop.clock.Now() + 1e6, kind: countersTimer})
	loop.fireTimers()
	assert.Equal(t, []int{0, 0, 1, 0}, []int{len(loop.requests), len(loop.closedIDs), len(loop.timers), loop.OpenRequests()})
}

// An attempt was not sent as its client had gone: the scheduler learns that the request is over before ClientLeft has come through
// the queue, and sends it nowhere else.
func TestLoop_AttemptNotSentForGoneClientIsFinal(t *testing.T) {
	transport := &fakeTransport{}
	loop, policy := newLoopWithAttempt(transport, nil)
	s := loop.requests["a"]
	s.ClientGone = &atomic.Bool{}
	s.ClientGone.Store(true)
	loop.process(attemptEnded(scheduler.NeverSent))
	assert.True(t, policy.lastEvent(scheduler.AttemptEnded).Final)
	assert.Zero(t, loop.OpenRequests())
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}, Client: transport, Token: 5})
	assert.Nil(t, policy.lastEvent(scheduler.ClientLeft), "told once")
	assert.Equal(t, uint64(1), loop.counters.ClientLeft)
	assert.Empty(t, transport.calls)
	assert.Len(t, transport.sent, 1)
}

// What is read during a stall of this process, or just after it, may have come as that began.
func TestStallDetector_EarliestArrival(t *testing.T) {
	var p stallDetector
	assert.Equal(t, 500.0, p.earliestArrival(500), "no turn was recorded yet")
	p.recordTurn(1000)
	assert.Equal(t, 1040.0, p.earliestArrival(1040))
	assert.Equal(t, 1000.0, p.earliestArrival(1600))
	p.recordTurn(1600)
	assert.Equal(t, 1000.0, p.earliestArrival(1620))
	p.recordTurn(1620)
	p.recordTurn(1640)
	p.recordTurn(1655)
	assert.Equal(t, 1655.0, p.earliestArrival(1655))
}
