package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/testlog"
	"liftshift/scheduler"
)

// stallingPolicy sets a timer each 20 ms, as the scheduler does, and stands still at the first one: whenStalled runs then. It
// notes the events that it gets after that, and when.
type stallingPolicy struct {
	clock       Clock
	whenStalled func()
	endedAt     float64 // of the stall
	events      []scheduler.Event
	at          []float64
}

func (p *stallingPolicy) Step(_ float64, event *scheduler.Event, out []scheduler.Action) []scheduler.Action {
	switch event.Kind {
	case scheduler.TimerFired:
		if p.endedAt == 0 {
			p.whenStalled()
			p.endedAt = p.clock.Now()
		}
	case scheduler.Started:
	default:
		p.events = append(p.events, *event)
		p.at = append(p.at, p.clock.Now())
		return out
	}
	return append(out, scheduler.Action{Kind: scheduler.SetTimer, AfterMS: 20})
}

// playStall runs a loop that stands still for longer than longStallMS. The given items are in its queue by then. It returns
// the events that the policy got, and the time from the end of the stall to the first of them.
func playStall(t *testing.T, items ...QueueItem) (events []scheduler.Event, afterMS float64) {
	policy := &stallingPolicy{clock: NewClock()}
	loop := New(policy.clock, policy, testlog.Discard())
	policy.whenStalled = func() {
		for _, item := range items {
			loop.openCount.Add(1)
			loop.Put(item)
		}
		time.Sleep((longStallMS + 50) * time.Millisecond)
	}
	go loop.Run()
	require.Eventually(t, func() bool {
		handled := 0
		loop.Call(func(float64) { handled = len(policy.events) })
		return handled == len(items)
	}, 3*time.Second, time.Millisecond, "all items are handled")
	loop.Stop()
	return policy.events, policy.at[0] - policy.endedAt
}

// After a stall the first thing to be read may be an executor's answer, upon which the scheduler sends a request whose
// client left 1.5 s ago: the end of its connection was not read yet. The connections get time to read it first.
func TestLoop_LetsConnectionsReadAfterStall(t *testing.T) {
	answer := QueueItem{Event: scheduler.Event{Kind: scheduler.ResponseStarted, Request: "a"}}
	events, afterMS := playStall(t, answer)
	require.Equal(t, scheduler.ResponseStarted, events[0].Kind)
	assert.GreaterOrEqual(t, afterMS, float64(collectMS))
}

// Requests of one order key that came on several connections during a stall ran in the order in which these were read, which
// was the reverse. What is no request stays in its place.
func TestLoop_HandlesRequestsOfStallInOrderOfArrival(t *testing.T) {
	request := func(id string, arrivedAt float64) QueueItem {
		client := &fakeTransport{}
		r := &Request{ID: id, Class: "read", ArrivedAt: arrivedAt, Deadline: NewClock().Now() + 5000, Client: client}
		return requestArrived(r)
	}
	progress := QueueItem{Event: scheduler.Event{Kind: scheduler.ResponseStarted, Request: "x"}}
	events, _ := playStall(t, request("d", 4), progress, request("b", 2), request("a", 1), request("c", 2))
	var order []string
	for _, event := range events {
		order = append(order, event.Request)
	}
	assert.Equal(t, []string{"a", "x", "b", "c", "d"}, order)
}
