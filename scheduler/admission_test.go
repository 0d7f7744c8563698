package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_AnswersBeforeDeadline(t *testing.T) {
	s := newTestScheduler(0, nil)
	assert.Empty(t, arrive(s, 1000, "a", "unsafe"), "no executor")
	assert.Equal(t, []ActionKind{Reject}, actionKinds(tickAt(s, 8960)))
	assert.Empty(t, s.requests.byID)
	s = newTestScheduler(1, nil)
	arrive(s, 1000, "b", "unsafe")
	assert.Equal(t, []ActionKind{Fail, Cancel, HealthCheck}, actionKinds(tickAt(s, 8980)))
	assert.Empty(t, actionKinds(endAttempt(s, 8990, "b", 0, Cancelled)))
	assert.Empty(t, s.requests.byID)
}

func TestScheduler_NeverRepeatsEffect(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		want    []ActionKind
	}{
		{"read", ConnectionLost, []ActionKind{SetResources, Send}},
		{"keyed", Errored, []ActionKind{SetResources, Send}},
		{"unsafe", Errored, []ActionKind{Fail}},
		{"unsafe", ConnectionLost, []ActionKind{Fail}},
		{"unsafe", Overloaded, []ActionKind{SetResources, Send}},
		{"unsafe", ConnectFailed, []ActionKind{SetResources, Send}},
	} {
		t.Run(c.class+" after "+c.outcome.String(), func(t *testing.T) {
			s := newTestScheduler(3, nil)
			arrive(s, 1000, "a", c.class)
			assert.Equal(t, c.want, actionKinds(endAttempt(s, 1010, "a", 0, c.outcome)))
		})
	}
}

func TestScheduler_RejectsRepeatAfterDedupWindow(t *testing.T) {
	s := newTestScheduler(3, nil)
	arrive(s, 1000, "a", "keyed")
	assert.Equal(t, []ActionKind{Reject}, actionKinds(endAttempt(s, 5990, "a", 0, Errored)), "past the window")
}

func TestScheduler_SendsRetryOnlyWithinDedupZone(t *testing.T) {
	s := newTestScheduler(3, func(s *Settings) { s.Classes[1].DedupScope = DedupZone })
	arrive(s, 1000, "a", "keyed")
	for index := range s.executors {
		s.executors[index].zone = []string{"there", "here"}[min(1, (index+2-s.requests.entries[0].lastAttempt().executor)%3)]
	}
	s.executors[s.requests.entries[0].lastAttempt().executor].availability = Removed
	r := &s.requests.entries[0]
	r.state, r.inFlight, r.attempts[0].inFlight = requestQueued, 0, false
	assert.False(t, s.mayReject(r), "repeats are dropped in one zone alone")
	for index := range s.executors {
		same := s.executors[index].zone == s.executors[r.attempts[0].executor].zone
		assert.Equal(t, same && s.executors[index].availability == Active, s.maySend(r, index) == sendAllowed)
	}
}

// A repeat leaves within the window in which it is dropped, also if it waits for a connection in between.
func TestScheduler_BoundsStartOfRepeatByDedupWindow(t *testing.T) {
	s := newTestScheduler(2, func(s *Settings) { s.Classes[1].DedupWindowMS = 700 })
	assert.Equal(t, 8975.0, arrive(s, 1000, "a", "keyed")[1].LatestStart, "the first one is bound by its deadline alone")
	assert.Equal(t, 1000.0+700-answerMarginMS, endAttempt(s, 1100, "a", 0, ConnectionLost)[1].LatestStart)
}

func TestScheduler_KeepsPlacementWithAllElseDown(t *testing.T) {
	s := newTestScheduler(2, func(s *Settings) { s.Classes[0].Kinds = []string{"odd"} })
	assert.Empty(t, arrive(s, 1000, "a", "read"))
	s.Step(1010, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 9, Kind: "odd"}}}, nil)
	assert.Equal(t, uint32(9), s.executors[s.requests.entries[0].lastAttempt().executor].id)
}

func TestScheduler_RejectsUnservableRequestWithRetryAfter(t *testing.T) {
	s := newTestScheduler(1, nil)
	out := s.Step(1000, &Event{Kind: RequestArrived, Request: "a", Class: "read", WorkMS: 5000, Deadline: 2000}, nil)
	assert.Equal(t, Reject, out[0].Kind)
	assert.InDelta(t, 375, out[0].AfterMS, 125)
}

// A planned shutdown leaves no long request without an answer, and keeps none that can't be answered any more.
func TestScheduler_AnswersAllBeforeShutdown(t *testing.T) {
	s := newTestScheduler(1, nil)
	arrive(s, 1000, "short", "read")
	arrive(s, 1000, "unsafe", "unsafe")
	s.Step(1100, &Event{Kind: ShutdownStarted, Deadline: 1500}, nil)
	out := s.Step(1110, &Event{Kind: RequestArrived, Request: "long", Class: "read", WorkMS: 5000, Deadline: 9000}, nil)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(out), "what can't end in time is rejected at once")
	assert.Empty(t, actionKinds(tickAt(s, 1460)))
	out = tickAt(s, 1480)
	assert.Equal(t, []ActionKind{Reject, Cancel, Fail, Cancel}, actionKinds(out))
}

// What may have run with an idempotency key, in another request or before a crash, goes only where it is known as a repeat, and
// only while it is known there. It is never rejected then, since another try might do harm.
func TestScheduler_SendsRepeatToItsDedupScope(t *testing.T) {
	s := newTestScheduler(1, func(s *Settings) { s.Classes[1].DedupScope = DedupZone })
	s.Step(1000, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Zone: "there", Kind: "big"}}}, nil)
	again := func(id, class string, p PriorAttempt) []Action {
		return s.Step(2000, &Event{Kind: RequestArrived, Request: id, Class: class, WorkMS: 100, Deadline: 9000, Prior: p}, nil)
	}
	for n, place := range []string{"there", "here"} {
		a := again("a"+place, "keyed", PriorAttempt{At: 1900, Zone: place})
		assert.Equal(t, Send, a[len(a)-1].Kind)
		assert.Equal(t, uint32(2-n), a[len(a)-1].Executor)
	}
	assert.Empty(t, actionKinds(again("b", "keyed", PriorAttempt{At: 1900, Zone: "lost"})), "it waits for its zone")
	a := tickAt(s, 8990)
	assert.Contains(t, actionKinds(a), Fail)
	assert.NotContains(t, actionKinds(a), Reject)
	assert.Equal(t, []ActionKind{Fail}, actionKinds(again("c", "keyed", PriorAttempt{At: -1e9, Zone: "here"})), "past the window")
	assert.Equal(t, []ActionKind{Fail}, actionKinds(again("d", "unsafe", PriorAttempt{At: 1900, Zone: "here"})))
}

// What can't be put on record must not run: it is rejected at once, not sent to a second executor.
func TestScheduler_RejectsBlockedRequestUnrun(t *testing.T) {
	s := newTestScheduler(2, nil)
	a := s.Step(2000, &Event{Kind: RequestArrived, Request: "a", Class: "unsafe", WorkMS: 100, Deadline: 9000, Blocked: true}, nil)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(a))
	arrive(s, 2000, "b", "keyed")
	a = s.Step(2010, &Event{Kind: AttemptEnded, Request: "b", Outcome: NeverSent, Blocked: true}, nil)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(a))
	assert.Empty(t, s.requests.byID)
}
