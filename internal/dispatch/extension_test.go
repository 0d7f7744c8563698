package dispatch

import (
	"io"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// newExtendedLoop returns a loop with request a and an extension that answers events with the given commands and records their kinds.
func newExtendedLoop(transport *fakeTransport, at map[EventKind][]Command) (loop *Loop, policy *fakePolicy, heard *[]EventKind) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	policy = &fakePolicy{actions: map[scheduler.EventKind][]scheduler.Action{scheduler.RequestArrived: {{Kind: scheduler.SetResources, Request: "a", GrantMB: 64, Level: 3}, {Kind: scheduler.Send, Request: "a", Executor: 7}}}}
	loop = New(NewClock(), policy, log)
	loop.Executors, loop.HealthCheckTimeoutMS = transport, 250
	heard = &[]EventKind{}
	loop.Register(extensionFunc(func(h *Event, out []Command) []Command {
		*heard = append(*heard, h.Kind)
		return append(out, at[h.Kind]...)
	}))
	loop.openCount.Add(1)
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: newRequest(loop, transport)})
	return loop, policy, heard
}

var suspendCommands = []Command{{Kind: Suspend}}

func TestLoop_SuspendedRequestIsResumedOrAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		follow Command
		did    []string
		prior  float64
	}{
		"resumed":  {Command{Kind: Resume, ID: "a", Prior: scheduler.PriorAttempt{At: 7}}, nil, 7},
		"answered": {Command{Kind: AnswerSuspended, ID: "a", Outcome: ledger.Succeeded, Body: []byte("rows")}, []string{"succeeded"}, 0},
		"rejected": {Command{Kind: AnswerSuspended, ID: "a", Outcome: ledger.Rejected}, []string{"rejected"}, 0},
		"failed":   {Command{Kind: AnswerSuspended, ID: "a", Outcome: ledger.Succeeded}, []string{"failed"}, 0},
	} {
		for _, atOnce := range []bool{false, true} { // in the same step, or later
			transport, at := &fakeTransport{}, map[EventKind][]Command{RequestArriving: suspendCommands}
			if atOnce {
				at[RequestArriving] = append(suspendCommands[:1:1], c.follow)
			}
			loop, policy, heard := newExtendedLoop(transport, at)
			if !atOnce {
				assert.Nil(t, policy.lastEvent(scheduler.RequestArrived), "the scheduler does not have it yet")
				assert.Equal(t, 1, loop.OpenRequests())
				loop.Execute([]Command{c.follow})
				loop.processPending()
			}
			assert.Empty(t, loop.suspended, name)
			assert.Equal(t, c.did, transport.calls, name)
			if c.prior != 0 {
				require.NotNil(t, policy.lastEvent(scheduler.RequestArrived), name)
				assert.Equal(t, c.prior, policy.lastEvent(scheduler.RequestArrived).Prior.At)
				assert.Contains(t, *heard, RequestReceived)
			} else {
				assert.Nil(t, policy.lastEvent(scheduler.RequestArrived))
				assert.Zero(t, loop.OpenRequests())
			}
		}
	}
}

func TestLoop_SuspendedClientLeaves(t *testing.T) {
	transport := &fakeTransport{}
	loop, policy, heard := newExtendedLoop(transport, map[EventKind][]Command{RequestArriving: suspendCommands})
	loop.openCount.Add(1)
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: newRequest(loop, transport)})
	assert.Equal(t, []string{"failed"}, transport.calls, "its id came twice")
	loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}, Client: transport, Token: 5})
	assert.Equal(t, SuspendedClientLeft, (*heard)[len(*heard)-1])
	assert.Zero(t, loop.OpenRequests())
	loop.Execute([]Command{{Kind: Resume, ID: "a"}})
	loop.processPending()
	assert.Nil(t, policy.lastEvent(scheduler.RequestArrived))
}

func TestLoop_AttemptLeavesOnceAllExtensionsReleaseIt(t *testing.T) {
	transport := &fakeTransport{}
	loop, _, _ := newExtendedLoop(transport, map[EventKind][]Command{AttemptStarting: {{Kind: HoldAttempt}, {Kind: HoldAttempt}}})
	require.Len(t, transport.sent, 1)
	assert.True(t, transport.sent[0].Held)
	loop.Execute([]Command{{Kind: ReleaseAttempt, ID: "a"}})
	assert.Empty(t, transport.calls)
	loop.Execute([]Command{{Kind: ReleaseAttempt, ID: "a"}})
	assert.Equal(t, []string{"release"}, transport.calls)
}

func TestLoop_WithheldAnswerIsDeliveredOnce(t *testing.T) {
	transport := &fakeTransport{}
	loop, _, heard := newExtendedLoop(transport, map[EventKind][]Command{RequestEnding: {{Kind: WithholdAnswer}}})
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Empty(t, transport.calls)
	assert.Equal(t, 1, loop.OpenRequests(), "a graceful shutdown waits for it")
	assert.Contains(t, *heard, RequestClosed)
	loop.Execute([]Command{{Kind: DeliverAnswer, ID: "a", Outcome: ledger.Succeeded, Body: []byte("rows")}})
	assert.Equal(t, []string{"succeeded"}, transport.calls)
	assert.Zero(t, loop.OpenRequests())
	assert.Empty(t, loop.requests)
	loop.Execute([]Command{{Kind: DeliverAnswer, ID: "a", Outcome: ledger.Rejected}})
	assert.Len(t, transport.calls, 1, "once")
}

func TestLoop_AdoptsAndDiscardsRequest(t *testing.T) {
	transport := &fakeTransport{cancelResult: CancelSent}
	loop, policy, heard := newExtendedLoop(transport, map[EventKind][]Command{RequestArriving: {{Kind: Suspend}, {Kind: AnswerSuspended, ID: "a", Outcome: ledger.Rejected}}})
	*heard = nil
	loop.Execute([]Command{{Kind: Adopt, Request: newRequest(loop, transport), Prior: scheduler.PriorAttempt{At: 9}}})
	loop.processPending()
	assert.NotContains(t, *heard, RequestArriving, "its extension has it already")
	assert.Equal(t, 9.0, policy.lastEvent(scheduler.RequestArrived).Prior.At)
	loop.Execute([]Command{{Kind: Discard, ID: "a"}})
	loop.processPending()
	assert.NotNil(t, policy.lastEvent(scheduler.ClientLeft))
	assert.Zero(t, loop.OpenRequests())
}

// A client that closed its writing side only gets its answer whether its request is suspended, queued, or was stopped at the last
// check before its attempt left.
func TestLoop_AnswersHalfClosedClientInEveryState(t *testing.T) {
	half := func(loop *Loop, c Client) {
		loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a", HalfClosed: true}, Client: c, Token: 5})
	}
	transport := &fakeTransport{}
	loop, policy, _ := newExtendedLoop(transport, map[EventKind][]Command{RequestArriving: suspendCommands})
	half(loop, transport)
	assert.Equal(t, []string{"failed"}, transport.calls, "what other controllers know of it is not known here")
	assert.Nil(t, policy.lastEvent(scheduler.RequestArrived))
	assert.Zero(t, loop.OpenRequests())

	transport = &fakeTransport{}
	loop, policy, _ = newExtendedLoop(transport, map[EventKind][]Command{RequestEntered: {{Kind: HoldRequest}}})
	policy.actions = map[scheduler.EventKind][]scheduler.Action{scheduler.RequestArrived: {{Kind: scheduler.Reject, Request: "a"}}}
	half(loop, transport)
	assert.True(t, policy.lastEvent(scheduler.RequestArrived).Blocked, "the scheduler gets it to reject it")
	assert.Equal(t, []string{"rejected"}, transport.calls)
	assert.Zero(t, loop.OpenRequests())

	transport = &fakeTransport{}
	loop, policy = newLoopWithAttempt(transport, map[scheduler.EventKind][]scheduler.Action{scheduler.AttemptEnded: {{Kind: scheduler.Reject, Request: "a"}}})
	s := loop.requests["a"]
	s.ClientGone, s.HalfClosed = &atomic.Bool{}, &atomic.Bool{}
	s.HalfClosed.Store(true)
	s.ClientGone.Store(true)
	loop.process(attemptEnded(scheduler.NeverSent))
	assert.Equal(t, []bool{true, false}, []bool{policy.lastEvent(scheduler.AttemptEnded).Blocked, policy.lastEvent(scheduler.AttemptEnded).Final})
	assert.Equal(t, []string{"rejected"}, transport.calls)
	half(loop, transport)
	assert.Nil(t, policy.lastEvent(scheduler.ClientLeft), "told once")
	assert.Zero(t, loop.OpenRequests())
	assert.Equal(t, []uint64{1, 0}, []uint64{loop.counters.ClientLeft, loop.counters.Rejected}, "most likely it has gone")
}
