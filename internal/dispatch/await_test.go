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

// asker is a desk whose first part has request a wait, and which then hears what follows.
func asker(f *side, at map[EventKind][]Command) (d *Loop, one *script, heard *[]EventKind) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	one = &script{on: map[scheduler.EventKind][]scheduler.Action{scheduler.RequestArrived: {{Kind: scheduler.SetResources, Request: "a", GrantMB: 64, Level: 3}, {Kind: scheduler.Send, Request: "a", Executor: 7}}}}
	d = New(NewClock(), one, log)
	d.Executors, d.HealthCheckTimeoutMS = f, 250
	heard = &[]EventKind{}
	d.Register(part(func(h *Event, out []Command) []Command {
		*heard = append(*heard, h.Kind)
		return append(out, at[h.Kind]...)
	}))
	d.open.Add(1)
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: search0(d, f)})
	return d, one, heard
}

var awaits = []Command{{Kind: Suspend}}

func TestARequestAwaitsWhatOthersSay(t *testing.T) {
	for name, c := range map[string]struct {
		follow Command
		did    []string
		prior  float64
	}{
		"goes on":     {Command{Kind: Resume, ID: "a", Prior: scheduler.PriorAttempt{At: 7}}, nil, 7},
		"told":        {Command{Kind: AnswerSuspended, ID: "a", Outcome: ledger.Succeeded, Body: []byte("rows")}, []string{"handled"}, 0},
		"denied":      {Command{Kind: AnswerSuspended, ID: "a", Outcome: ledger.Rejected}, []string{"denied"}, 0},
		"written off": {Command{Kind: AnswerSuspended, ID: "a", Outcome: ledger.Succeeded}, []string{"written off"}, 0},
	} {
		for _, atOnce := range []bool{false, true} { // in the same step, or later
			f, at := &side{}, map[EventKind][]Command{RequestArriving: awaits}
			if atOnce {
				at[RequestArriving] = append(awaits[:1:1], c.follow)
			}
			d, one, heard := asker(f, at)
			if !atOnce {
				assert.Nil(t, one.last(scheduler.RequestArrived), "the module does not have it yet")
				assert.Equal(t, 1, d.OpenRequests())
				d.Execute([]Command{c.follow})
				d.rest()
			}
			assert.Empty(t, d.awaiting, name)
			assert.Equal(t, c.did, f.did, name)
			if c.prior != 0 {
				require.NotNil(t, one.last(scheduler.RequestArrived), name)
				assert.Equal(t, c.prior, one.last(scheduler.RequestArrived).Prior.At)
				assert.Contains(t, *heard, RequestReceived)
			} else {
				assert.Nil(t, one.last(scheduler.RequestArrived))
				assert.Zero(t, d.OpenRequests())
			}
		}
	}
}

func TestAClientLeavesWhileItsRequestAwaits(t *testing.T) {
	f := &side{}
	d, one, heard := asker(f, map[EventKind][]Command{RequestArriving: awaits})
	d.open.Add(1)
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: search0(d, f)})
	assert.Equal(t, []string{"written off"}, f.did, "its id came twice")
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}, Client: f, Token: 5})
	assert.Equal(t, SuspendedClientLeft, (*heard)[len(*heard)-1])
	assert.Zero(t, d.OpenRequests())
	d.Execute([]Command{{Kind: Resume, ID: "a"}})
	d.rest()
	assert.Nil(t, one.last(scheduler.RequestArrived))
}

func TestAnAttemptLeavesOnceAllPartsLetItGo(t *testing.T) {
	f := &side{}
	d, _, _ := asker(f, map[EventKind][]Command{AttemptStarting: {{Kind: HoldAttempt}, {Kind: HoldAttempt}}})
	require.Len(t, f.sent, 1)
	assert.True(t, f.sent[0].Held)
	d.Execute([]Command{{Kind: ReleaseAttempt, ID: "a"}})
	assert.Empty(t, f.did)
	d.Execute([]Command{{Kind: ReleaseAttempt, ID: "a"}})
	assert.Equal(t, []string{"release"}, f.did)
}

func TestAnAnswerIsKeptBackUntilItIsLetGo(t *testing.T) {
	f := &side{}
	d, _, heard := asker(f, map[EventKind][]Command{RequestEnding: {{Kind: WithholdAnswer}}})
	d.play(end(scheduler.Succeeded))
	assert.Empty(t, f.did)
	assert.Equal(t, 1, d.OpenRequests(), "a planned stop waits for it")
	assert.Contains(t, *heard, RequestClosed)
	d.Execute([]Command{{Kind: DeliverAnswer, ID: "a", Outcome: ledger.Succeeded, Body: []byte("rows")}})
	assert.Equal(t, []string{"handled"}, f.did)
	assert.Zero(t, d.OpenRequests())
	assert.Empty(t, d.requests)
	d.Execute([]Command{{Kind: DeliverAnswer, ID: "a", Outcome: ledger.Rejected}})
	assert.Len(t, f.did, 1, "once")
}

func TestARequestIsAdoptedAndDismissed(t *testing.T) {
	f := &side{stopped: CancelSent}
	d, one, heard := asker(f, map[EventKind][]Command{RequestArriving: {{Kind: Suspend}, {Kind: AnswerSuspended, ID: "a", Outcome: ledger.Rejected}}})
	*heard = nil
	d.Execute([]Command{{Kind: Adopt, Request: search0(d, f), Prior: scheduler.PriorAttempt{At: 9}}})
	d.rest()
	assert.NotContains(t, *heard, RequestArriving, "its own part has it already")
	assert.Equal(t, 9.0, one.last(scheduler.RequestArrived).Prior.At)
	d.Execute([]Command{{Kind: Discard, ID: "a"}})
	d.rest()
	assert.NotNil(t, one.last(scheduler.ClientLeft))
	assert.Zero(t, d.OpenRequests())
}

// A client that has ended its writing side alone gets its answer wherever its request stands: with others, in line, or stopped at the
// last step before its attempt left.
func TestAHalfClosedClientIsAnsweredWhereverItsRequestStands(t *testing.T) {
	half := func(d *Loop, c Client) {
		d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a", HalfClosed: true}, Client: c, Token: 5})
	}
	f := &side{}
	d, one, _ := asker(f, map[EventKind][]Command{RequestArriving: awaits})
	half(d, f)
	assert.Equal(t, []string{"written off"}, f.did, "what others know of it is not known here")
	assert.Nil(t, one.last(scheduler.RequestArrived))
	assert.Zero(t, d.OpenRequests())

	f = &side{}
	d, one, _ = asker(f, map[EventKind][]Command{RequestEntered: {{Kind: HoldRequest}}})
	one.on = map[scheduler.EventKind][]scheduler.Action{scheduler.RequestArrived: {{Kind: scheduler.Reject, Request: "a"}}}
	half(d, f)
	assert.True(t, one.last(scheduler.RequestArrived).Blocked, "the module gets it to turn it away")
	assert.Equal(t, []string{"denied"}, f.did)
	assert.Zero(t, d.OpenRequests())

	f = &side{}
	d, one = sent(f, map[scheduler.EventKind][]scheduler.Action{scheduler.AttemptEnded: {{Kind: scheduler.Reject, Request: "a"}}})
	s := d.requests["a"]
	s.ClientGone, s.HalfClosed = &atomic.Bool{}, &atomic.Bool{}
	s.HalfClosed.Store(true)
	s.ClientGone.Store(true)
	d.play(end(scheduler.NeverSent))
	assert.Equal(t, []bool{true, false}, []bool{one.last(scheduler.AttemptEnded).Blocked, one.last(scheduler.AttemptEnded).Final})
	assert.Equal(t, []string{"denied"}, f.did)
	half(d, f)
	assert.Nil(t, one.last(scheduler.ClientLeft), "told once")
	assert.Zero(t, d.OpenRequests())
	assert.Equal(t, []uint64{1, 0}, []uint64{d.tally.ClientLeft, d.tally.Rejected}, "most likely it has gone")
}
