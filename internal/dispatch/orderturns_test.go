package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/ledger"
	"liftshift/internal/testlog"
	"liftshift/scheduler"
)

// orderKeyTest is a loop with an extension that suspends requests of class "upload".
type orderKeyTest struct {
	*Loop
	policy    *fakePolicy
	transport *fakeTransport
	closed    []string // requests that were closed, in order
}

func newOrderKeyTest() *orderKeyTest {
	test := &orderKeyTest{policy: &fakePolicy{}, transport: &fakeTransport{}}
	test.Loop = New(NewClock(), test.policy, testlog.Discard())
	test.Executors = test.transport
	test.Register(extensionFunc(func(event *Event, out []Command) []Command {
		switch {
		case event.Kind == RequestArriving && event.Request.Class == "upload":
			return append(out, Command{Kind: Suspend})
		case event.Kind == RequestClosed:
			test.closed = append(test.closed, event.Request.ID)
		}
		return out
	}))
	return test
}

// submit passes the loop a request with an order key. Its tag is 5.
func (o *orderKeyTest) submit(id, class, key string) *Request {
	request := newRequest(o.Loop, o.transport)
	request.ID, request.Class, request.OrderKey = id, class, key
	o.openCount.Add(1)
	o.process(requestArrived(request))
	return request
}

// execute passes the loop commands of the extension.
func (o *orderKeyTest) execute(commands ...Command) {
	o.Execute(commands)
	o.processPending()
}

func resume(id string) Command { return Command{Kind: Resume, ID: id} }

// scheduled returns the requests that the scheduler has got, in order. A blocked one has an exclamation mark.
func (o *orderKeyTest) scheduled() (ids []string) {
	for _, event := range o.policy.events {
		if event.Kind != scheduler.RequestArrived {
			continue
		}
		id := event.Request
		if event.Blocked {
			id += "!"
		}
		ids = append(ids, id)
	}
	return ids
}

// Guards against requests of one order key that run in reverse: each waits for replicas of its own, and the scheduler got
// them in the order in which these had answered.
func TestLoop_ResumesRequestsOfOrderKeyInOrderOfArrival(t *testing.T) {
	o := newOrderKeyTest()
	o.submit("a", "upload", "k")
	o.submit("b", "upload", "k")
	o.submit("c", "upload", "other")
	o.submit("d", "upload", "")
	o.submit("e", "read", "k") // not suspended, and arrived after a and b
	o.submit("f", "upload", "k")
	o.execute(resume("d"), resume("c"), resume("b"))
	assert.Equal(t, []string{"d", "c"}, o.scheduled(), "b and e wait for a")
	o.execute(resume("a"))
	assert.Equal(t, []string{"d", "c", "a", "b", "e"}, o.scheduled())
	o.execute(resume("f"))
	assert.Equal(t, []string{"d", "c", "a", "b", "e", "f"}, o.scheduled())
	assert.Empty(t, o.suspended)
	assert.Empty(t, o.orderTurns)
}

func TestLoop_AnsweredRequestsPassTheirTurnOn(t *testing.T) {
	o := newOrderKeyTest()
	for _, id := range []string{"a", "b", "c"} {
		o.submit(id, "upload", "k")
	}
	o.execute(resume("c"), Command{Kind: AnswerSuspended, ID: "a", Outcome: ledger.Rejected})
	assert.Empty(t, o.scheduled(), "c waits for b")
	o.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "b"}, Client: o.transport, Token: 5})
	assert.Equal(t, []string{"c"}, o.scheduled())
	assert.Equal(t, []string{"rejected"}, o.transport.calls)
	assert.Empty(t, o.suspended)
	assert.Empty(t, o.orderTurns)
}

// A request that waits for its turn past the time for that, or whose client leaves, reaches the scheduler at once, but
// may not be sent: it would run before an earlier one.
func TestLoop_RequestThatCannotWaitForItsTurnIsBlocked(t *testing.T) {
	for name, end := range map[string]func(o *orderKeyTest, waiting *Request){
		"deadline": func(o *orderKeyTest, waiting *Request) {
			waiting.Deadline = o.clock.Now() + orderTurnMarginMS
			o.tick()
		},
		"shutdown": func(o *orderKeyTest, _ *Request) {
			o.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ShutdownStarted, Deadline: o.clock.Now() + 100}})
			o.tick()
		},
		"client left": func(o *orderKeyTest, waiting *Request) {
			o.process(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "b"}, Client: o.transport, Token: 5})
			assert.Equal(t, []string{"b"}, o.closed, "the extensions learn that it has ended")
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOrderKeyTest()
			o.submit("a", "upload", "k")
			waiting := o.submit("b", "upload", "k")
			o.execute(resume("b"))
			o.tick()
			require.Empty(t, o.scheduled())
			end(o, waiting)
			assert.Equal(t, []string{"b!"}, o.scheduled())
			o.execute(resume("a"))
			assert.Equal(t, []string{"b!", "a"}, o.scheduled())
			assert.Empty(t, o.orderTurns)
		})
	}

	o := newOrderKeyTest()
	o.submit("a", "upload", "k")
	o.submit("b", "upload", "k").Deadline = o.clock.Now() + orderTurnMarginMS
	o.execute(resume("b"))
	assert.Equal(t, []string{"b!"}, o.scheduled(), "no time is left to wait")
}
