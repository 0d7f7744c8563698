package dispatch

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/ledger"
	"liftshift/internal/testlog"
	"liftshift/scheduler"
)

// extensionFunc is an Extension without state.
type extensionFunc func(event *Event, out []Command) []Command

func (f extensionFunc) Handle(_ float64, event *Event, out []Command) []Command { return f(event, out) }

// commandsByEvent are the commands with which an extension answers each kind of event.
type commandsByEvent = map[EventKind][]Command

// newExtendedLoop returns a loop with request a and an extension that answers events with the given commands. The
// extension appends the kind of each event to received.
func newExtendedLoop(transport *fakeTransport, commands commandsByEvent) (
	loop *Loop, policy *fakePolicy, received *[]EventKind,
) {
	log := testlog.Discard()
	policy = &fakePolicy{actions: sendToExecutor7()}
	loop = New(NewClock(), policy, log)
	loop.Executors, loop.HealthCheckTimeoutMS = transport, 250
	received = &[]EventKind{}
	loop.Register(extensionFunc(func(event *Event, out []Command) []Command {
		*received = append(*received, event.Kind)
		return append(out, commands[event.Kind]...)
	}))
	loop.openCount.Add(1)
	loop.process(requestArrived(newRequest(loop, transport)))
	return loop, policy, received
}

var suspendCommands = []Command{{Kind: Suspend}}

func TestLoop_SuspendedRequestIsResumedOrAnswered(t *testing.T) {
	answer := func(outcome ledger.Outcome, body []byte) Command {
		return Command{Kind: AnswerSuspended, ID: "a", Outcome: outcome, Body: body}
	}
	for name, c := range map[string]struct {
		followUp    Command // ends the suspension
		calls       []string
		wantPriorAt float64 // 0: the scheduler does not get the request
	}{
		"resumed":  {Command{Kind: Resume, ID: "a", Prior: scheduler.PriorAttempt{At: 7}}, nil, 7},
		"answered": {answer(ledger.Succeeded, []byte("rows")), []string{"succeeded"}, 0},
		"rejected": {answer(ledger.Rejected, nil), []string{"rejected"}, 0},
		"failed":   {answer(ledger.Succeeded, nil), []string{"failed"}, 0},
	} {
		for _, sameStep := range []bool{false, true} { // whether the follow-up comes in the same step as Suspend
			transport, commands := &fakeTransport{}, commandsByEvent{RequestArriving: suspendCommands}
			if sameStep {
				commands[RequestArriving] = append(suspendCommands[:1:1], c.followUp)
			}
			loop, policy, received := newExtendedLoop(transport, commands)
			if !sameStep {
				assert.Nil(t, policy.lastEvent(scheduler.RequestArrived), "%s: not scheduled yet", name)
				assert.Equal(t, 1, loop.OpenRequests(), name)
				loop.Execute([]Command{c.followUp})
				loop.processPending()
			}
			assert.Empty(t, loop.suspended, name)
			assert.Equal(t, c.calls, transport.calls, name)
			if c.wantPriorAt != 0 {
				require.NotNil(t, policy.lastEvent(scheduler.RequestArrived), name)
				assert.Equal(t, c.wantPriorAt, policy.lastEvent(scheduler.RequestArrived).Prior.At, name)
				assert.Contains(t, *received, RequestReceived, name)
			} else {
				assert.Nil(t, policy.lastEvent(scheduler.RequestArrived), name)
				assert.Zero(t, loop.OpenRequests(), name)
			}
		}
	}
}

func TestLoop_DropsSuspendedRequestOfClientThatLeft(t *testing.T) {
	transport := &fakeTransport{}
	loop, policy, received := newExtendedLoop(transport, commandsByEvent{RequestArriving: suspendCommands})
	loop.openCount.Add(1)
	loop.process(requestArrived(newRequest(loop, transport)))
	assert.Equal(t, []string{"failed"}, transport.calls, "a second request with the id of a suspended one fails")
	loop.process(clientLeft(transport, 5))
	assert.Equal(t, SuspendedClientLeft, (*received)[len(*received)-1])
	assert.Zero(t, loop.OpenRequests())
	loop.Execute([]Command{{Kind: Resume, ID: "a"}})
	loop.processPending()
	assert.Nil(t, policy.lastEvent(scheduler.RequestArrived))
}

func TestLoop_SendsHeldAttemptOnceAllExtensionsReleaseIt(t *testing.T) {
	transport := &fakeTransport{}
	loop, _, _ := newExtendedLoop(transport, commandsByEvent{
		AttemptStarting: {{Kind: HoldAttempt}, {Kind: HoldAttempt}},
	})
	require.Len(t, transport.sent, 1)
	assert.True(t, transport.sent[0].Held)
	loop.Execute([]Command{{Kind: ReleaseAttempt, ID: "a"}})
	assert.Empty(t, transport.calls)
	loop.Execute([]Command{{Kind: ReleaseAttempt, ID: "a"}})
	assert.Equal(t, []string{"release"}, transport.calls)
}

// An extension that holds an attempt last is told when no other extension holds it any more, and once.
func TestLoop_PermitsAttemptToLastHolder(t *testing.T) {
	for name, c := range map[string]struct {
		holds          []Command
		othersToExpect int
	}{
		"beside another hold": {[]Command{{Kind: HoldAttempt, Last: true}, {Kind: HoldAttempt}}, 1},
		"alone":               {[]Command{{Kind: HoldAttempt, Last: true}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			transport := &fakeTransport{}
			loop, _, received := newExtendedLoop(transport, commandsByEvent{AttemptStarting: c.holds})
			for range c.othersToExpect {
				assert.NotContains(t, *received, AttemptPermitted)
				loop.Execute([]Command{{Kind: ReleaseAttempt, ID: "a"}})
			}
			assert.Equal(t, AttemptPermitted, (*received)[len(*received)-1])
			assert.Empty(t, transport.calls)
			*received = nil
			loop.Execute([]Command{{Kind: ReleaseAttempt, ID: "a"}})
			assert.Equal(t, []string{"release"}, transport.calls)
			assert.NotContains(t, *received, AttemptPermitted)
		})
	}
}

// A request that fails while an extension holds its only attempt has not been sent to anyone. Its client must be told
// that it is rejected, and the extensions that the attempt never ran before they learn of the rejection.
func TestLoop_RejectsRequestWhoseAttemptIsHeld(t *testing.T) {
	for name, c := range map[string]struct {
		action   scheduler.Action
		released bool
		want     []string
	}{
		"held":                 {scheduler.Action{RejectIfUnsent: true}, false, []string{"cancel", "rejected"}},
		"released":             {scheduler.Action{RejectIfUnsent: true}, true, []string{"release", "failed"}},
		"held, but ran before": {scheduler.Action{}, false, []string{"failed"}},
	} {
		t.Run(name, func(t *testing.T) {
			transport := &fakeTransport{cancelResult: CancelledUnsent}
			loop, policy, received := newExtendedLoop(transport, commandsByEvent{AttemptStarting: {{Kind: HoldAttempt}}})
			if c.released {
				loop.Execute([]Command{{Kind: ReleaseAttempt, ID: "a"}})
			}
			c.action.Kind, c.action.Request = scheduler.Fail, "a"
			policy.actions = actionsByEvent{scheduler.TimerFired: {c.action}}
			*received = nil
			loop.process(QueueItem{Event: scheduler.Event{Kind: scheduler.TimerFired}})
			assert.Equal(t, c.want, transport.calls)
			assert.Zero(t, loop.OpenRequests())
			if name == "held" {
				assert.Equal(t, []EventKind{AttemptEnded, RequestRejecting, RequestEnding, RequestClosed}, *received)
				assert.Equal(t, scheduler.NeverSent, policy.lastEvent(scheduler.AttemptEnded).Outcome)
				assert.Empty(t, loop.requests)
			}
		})
	}
}

// An attempt that was not recorded in time leaves its number to the next one. Requests have room for any number of such
// attempts.
func TestLoop_UnrecordedAttemptLeavesItsNumber(t *testing.T) {
	transport := &fakeTransport{cancelResult: CancelledUnsent}
	loop, policy, _ := newExtendedLoop(transport, commandsByEvent{AttemptStarting: {{Kind: HoldAttempt}}})
	policy.actions = actionsByEvent{scheduler.AttemptEnded: {{Kind: scheduler.Send, Request: "a", Executor: 7}}}
	for range maxAttempts + 1 {
		loop.Execute([]Command{{Kind: FailAttempt, ID: "a"}})
		loop.processPending()
		ended := policy.lastEvent(scheduler.AttemptEnded)
		assert.Equal(t, 0, ended.Attempt)
		assert.True(t, ended.Unrecorded)
	}
	require.Len(t, transport.sent, maxAttempts+2)
	assert.Equal(t, 0, transport.sent[maxAttempts+1].Number)
	loop.Execute([]Command{{Kind: ReleaseAttempt, ID: "a"}})
	assert.Equal(t, "release", transport.calls[len(transport.calls)-1])
}

// An attempt that an extension does not permit is not sent. The scheduler learns whether another one may be.
func TestLoop_EndsAttemptThatIsNotPermitted(t *testing.T) {
	for kind, mayRetry := range map[CommandKind]bool{BlockAttempt: false, PostponeAttempt: true} {
		transport := &fakeTransport{cancelResult: CancelledUnsent}
		_, policy, _ := newExtendedLoop(transport, commandsByEvent{AttemptStarting: {{Kind: HoldAttempt}, {Kind: kind}}})
		ended := policy.lastEvent(scheduler.AttemptEnded)
		require.NotNil(t, ended)
		assert.Equal(t, []any{scheduler.NeverSent, !mayRetry, mayRetry}, []any{ended.Outcome, ended.Blocked, ended.Unrecorded})
		assert.Equal(t, []string{"cancel"}, transport.calls)
	}
}

func TestLoop_WithheldAnswerIsDeliveredOnce(t *testing.T) {
	transport := &fakeTransport{}
	loop, _, received := newExtendedLoop(transport, commandsByEvent{RequestEnding: {{Kind: WithholdAnswer}}})
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Empty(t, transport.calls)
	assert.Equal(t, 1, loop.OpenRequests(), "a graceful shutdown waits for the withheld answer")
	assert.Contains(t, *received, RequestClosed)
	loop.Execute([]Command{{Kind: DeliverAnswer, ID: "a", Outcome: ledger.Succeeded, Body: []byte("rows")}})
	assert.Equal(t, []string{"succeeded"}, transport.calls)
	assert.Zero(t, loop.OpenRequests())
	assert.Empty(t, loop.requests)
	loop.Execute([]Command{{Kind: DeliverAnswer, ID: "a", Outcome: ledger.Rejected}})
	assert.Len(t, transport.calls, 1, "the answer is delivered once")
}

// Guards against a further attempt at a request that was answered: its withheld answer may be delivered as it is closed.
func TestLoop_DeliveryAtCloseEndsRequest(t *testing.T) {
	loop, policy, _ := newExtendedLoop(&fakeTransport{}, commandsByEvent{
		RequestEnding: {{Kind: WithholdAnswer}},
		RequestClosed: {{Kind: DeliverAnswer, ID: "a", Outcome: ledger.Failed}},
	})
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.True(t, policy.lastEvent(scheduler.AttemptEnded).Final)
	assert.Zero(t, loop.OpenRequests())
}

// Guards against a client without any answer: an answer that can't wait for an extension any more goes out as a failure.
func TestLoop_FailedAnswerReplacesAnswer(t *testing.T) {
	transport := &fakeTransport{}
	loop, _, received := newExtendedLoop(transport, commandsByEvent{RequestEnding: {{Kind: FailAnswer}}})
	loop.process(attemptEnded(scheduler.Succeeded))
	assert.Equal(t, []string{"failed"}, transport.calls)
	assert.Contains(t, *received, RequestClosed)
	assert.Zero(t, loop.OpenRequests())
}

func TestLoop_AdoptsAndDiscardsRequest(t *testing.T) {
	transport := &fakeTransport{cancelResult: CancelSent}
	loop, policy, received := newExtendedLoop(transport, commandsByEvent{
		RequestArriving: {{Kind: Suspend}, {Kind: AnswerSuspended, ID: "a", Outcome: ledger.Rejected}},
	})
	*received = nil
	adopted := newRequest(loop, transport)
	loop.Execute([]Command{{Kind: Adopt, Request: adopted, Prior: scheduler.PriorAttempt{At: 9}}})
	loop.processPending()
	assert.NotContains(t, *received, RequestArriving, "the extension that adopts a request knows it already")
	assert.Equal(t, 9.0, policy.lastEvent(scheduler.RequestArrived).Prior.At)
	loop.Execute([]Command{{Kind: Discard, ID: "a"}})
	loop.processPending()
	assert.NotNil(t, policy.lastEvent(scheduler.ClientLeft))
	assert.Zero(t, loop.OpenRequests())
}

// A client that closed only its writing side gets an answer whether its request is suspended, queued, or was blocked at
// the last check before its attempt was sent.
func TestLoop_AnswersHalfClosedClientInEveryState(t *testing.T) {
	halfClose := func(loop *Loop, client Client) {
		event := scheduler.Event{Kind: scheduler.ClientLeft, Request: "a", HalfClosed: true}
		loop.process(QueueItem{Event: event, Client: client, Token: 5})
	}
	rejectA := []scheduler.Action{{Kind: scheduler.Reject, Request: "a"}}

	transport := &fakeTransport{}
	loop, policy, _ := newExtendedLoop(transport, commandsByEvent{RequestArriving: suspendCommands})
	halfClose(loop, transport)
	assert.Equal(t, []string{"failed"}, transport.calls, "a suspended request may have run on another controller")
	assert.Nil(t, policy.lastEvent(scheduler.RequestArrived))
	assert.Zero(t, loop.OpenRequests())

	transport = &fakeTransport{}
	loop, policy, _ = newExtendedLoop(transport, commandsByEvent{RequestAdmitted: {{Kind: HoldRequest}}})
	policy.actions = actionsByEvent{scheduler.RequestArrived: rejectA}
	halfClose(loop, transport)
	assert.True(t, policy.lastEvent(scheduler.RequestArrived).Blocked, "the scheduler gets the request to reject it")
	assert.Equal(t, []string{"rejected"}, transport.calls)
	assert.Zero(t, loop.OpenRequests())

	transport = &fakeTransport{}
	loop, policy = newLoopWithAttempt(transport, actionsByEvent{scheduler.AttemptEnded: rejectA})
	state := loop.requests["a"]
	state.ClientGone, state.HalfClosed = &atomic.Bool{}, &atomic.Bool{}
	state.HalfClosed.Store(true)
	state.ClientGone.Store(true)
	loop.process(attemptEnded(scheduler.NeverSent))
	assert.True(t, policy.lastEvent(scheduler.AttemptEnded).Blocked)
	assert.False(t, policy.lastEvent(scheduler.AttemptEnded).Final)
	assert.Equal(t, []string{"rejected"}, transport.calls)
	halfClose(loop, transport)
	assert.Nil(t, policy.lastEvent(scheduler.ClientLeft), "the scheduler knows already that the request is over")
	assert.Zero(t, loop.OpenRequests())
	assert.Equal(t, uint64(1), loop.counters.ClientLeft, "a half-closed client has probably left")
	assert.Zero(t, loop.counters.Rejected, "the request counts under ClientLeft instead")
}

// Extensions get events in the order of their registration and decide together. Without extensions nothing is
// allocated.
func TestLoop_NotifiesExtensionsInOrder(t *testing.T) {
	loop, _ := newLoopWithAttempt(&fakeTransport{}, nil)
	assert.Zero(t, testing.AllocsPerRun(100, func() { loop.notify(Event{Kind: Ticked}) }))
	var notified []string
	loop.Register(extensionFunc(func(_ *Event, out []Command) []Command {
		notified = append(notified, "first")
		return append(out, Command{Kind: Admit, Blocked: true}, Command{Kind: HoldAttempt})
	}))
	loop.Register(extensionFunc(func(_ *Event, out []Command) []Command {
		notified = append(notified, "second")
		prior := scheduler.PriorAttempt{At: 7}
		return append(out, Command{Kind: Admit, Prior: prior}, Command{Kind: SetRetryAfter, RetryAfterMS: 3})
	}))
	decided := loop.notify(Event{Kind: RequestReceived, RetryAfterMS: 9})
	assert.Equal(t, []string{"first", "second"}, notified)
	want := decision{blocked: true, prior: scheduler.PriorAttempt{At: 7}, holds: 1, retryAfterMS: 3}
	assert.Equal(t, want, decided)
}
