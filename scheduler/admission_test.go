package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestScheduler_AnswersBeforeDeadline(t *testing.T) {
	s := newTestScheduler(0, nil)
	assert.Empty(t, arrive(s, 1000, "a", "unsafe"), "without an executor the request must stay queued")
	assert.Equal(t, []ActionKind{Reject}, actionKinds(tickAt(s, 8960)))
	assert.Empty(t, s.requests.byID)
	s = newTestScheduler(1, nil)
	arrive(s, 1000, "b", "unsafe")
	assert.Equal(t, []ActionKind{Fail, Cancel, HealthCheck}, actionKinds(tickAt(s, 8980)))
	assert.Empty(t, actionKinds(endAttempt(s, 8990, "b", 0, Cancelled)))
	assert.Empty(t, s.requests.byID)
}

// A request that fails at its deadline may be rejected instead if its caller knows that the attempt in flight was not
// sent, but not if an earlier attempt may have run.
func TestScheduler_FailsUnlessOnlyAttemptIsUnsent(t *testing.T) {
	s := newTestScheduler(3, nil)
	arrive(s, 1000, "a", "unsafe")
	arrive(s, 1000, "b", "unsafe")
	endAttempt(s, 1010, "b", 0, ConnectFailed)
	for _, action := range tickAt(s, 8980) {
		assert.Equal(t, action.Kind == Fail, action.RejectIfUnsent, "%v of %s", action.Kind, action.Request)
	}
	s = newTestScheduler(3, func(s *Settings) { s.Classes[1].DedupScope, s.Classes[1].DedupWindowMS = DedupZone, 9000 })
	arrive(s, 1000, "c", "keyed")
	endAttempt(s, 1010, "c", 0, ConnectionLost)
	actions := tickAt(s, 8980)
	assert.Contains(t, actionKinds(actions), Fail)
	for _, action := range actions {
		assert.False(t, action.RejectIfUnsent, "%v: the first attempt may have run", action.Kind)
	}
}

func TestScheduler_RepeatsOnlyAsIdempotencyAllows(t *testing.T) {
	for _, test := range []struct {
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
		t.Run(test.class+" after "+test.outcome.String(), func(t *testing.T) {
			s := newTestScheduler(3, nil)
			arrive(s, 1000, "a", test.class)
			assert.Equal(t, test.want, actionKinds(endAttempt(s, 1010, "a", 0, test.outcome)))
		})
	}
}

func TestScheduler_RejectsRepeatAfterDedupWindow(t *testing.T) {
	s := newTestScheduler(3, nil)
	arrive(s, 1000, "a", "keyed")
	actions := endAttempt(s, 5990, "a", 0, Errored)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(actions), "no repeat may be sent past the dedup window")
}

func TestScheduler_SendsRetryOnlyWithinDedupZone(t *testing.T) {
	s := newTestScheduler(3, func(s *Settings) { s.Classes[1].DedupScope = DedupZone })
	arrive(s, 1000, "a", "keyed")
	r := &s.requests.entries[0]
	first := r.lastAttempt().executor
	for index := range s.executors {
		s.executors[index].zone = []string{"there", "here"}[min(1, (index+2-first)%3)]
	}
	s.executors[first].availability = Removed
	r.state, r.inFlight, r.attempts[0].inFlight = requestQueued, 0, false
	assert.False(t, s.mayReject(r), "repeats are deduplicated only in the zone of the first attempt")
	for index := range s.executors {
		e := &s.executors[index]
		want := e.zone == s.executors[first].zone && e.availability == Active
		assert.Equal(t, want, s.maySend(r, index) == sendAllowed, "executor %d", e.id)
	}
}

// A repeat that waits for its connection must not start after the dedup window of the first attempt.
func TestScheduler_BoundsStartOfRepeatByDedupWindow(t *testing.T) {
	s := newTestScheduler(2, func(s *Settings) { s.Classes[1].DedupWindowMS = 700 })
	first := arrive(s, 1000, "a", "keyed")[1]
	assert.Equal(t, 8975.0, first.LatestStart, "only the deadline bounds the first attempt")
	repeat := endAttempt(s, 1100, "a", 0, ConnectionLost)[1]
	assert.Equal(t, 1000.0+700-answerMarginMS, repeat.LatestStart)
}

func TestScheduler_KeepsPlacementWithAllElseDown(t *testing.T) {
	s := newTestScheduler(2, func(s *Settings) { s.Classes[0].Kinds = []string{"odd"} })
	assert.Empty(t, arrive(s, 1000, "a", "read"))
	s.Step(1010, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 9, Kind: "odd"}}}, nil)
	assert.Equal(t, uint32(9), s.executors[s.requests.entries[0].lastAttempt().executor].id)
}

func TestScheduler_RejectsUnservableRequestWithRetryAfter(t *testing.T) {
	s := newTestScheduler(1, nil)
	actions := s.Step(1000, &Event{Kind: RequestArrived, Request: "a", Class: "read", WorkMS: 5000, Deadline: 2000}, nil)
	assert.Equal(t, Reject, actions[0].Kind)
	assert.InDelta(t, 375, actions[0].AfterMS, 125)
}

// A planned shutdown must answer long requests too, and must not keep requests that can't end before it.
func TestScheduler_AnswersAllBeforeShutdown(t *testing.T) {
	s := newTestScheduler(1, nil)
	arrive(s, 1000, "short", "read")
	arrive(s, 1000, "unsafe", "unsafe")
	s.Step(1100, &Event{Kind: ShutdownStarted, Deadline: 1500}, nil)
	long := Event{Kind: RequestArrived, Request: "long", Class: "read", WorkMS: 5000, Deadline: 9000}
	actions := s.Step(1110, &long, nil)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(actions),
		"a request that can't end before the shutdown must be rejected at once")
	assert.Empty(t, actionKinds(tickAt(s, 1460)))
	actions = tickAt(s, 1480)
	assert.Equal(t, []ActionKind{Reject, Cancel, Fail, Cancel}, actionKinds(actions))
}

// A request whose idempotency key may have run in another request or before a crash must go only to executors that
// drop the repeat, and only within the dedup window. It must not be rejected, since the client's retry could run it
// twice.
func TestScheduler_SendsRepeatToItsDedupScope(t *testing.T) {
	s := newTestScheduler(1, func(s *Settings) { s.Classes[1].DedupScope = DedupZone })
	s.Step(1000, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Zone: "there", Kind: "big"}}}, nil)
	arriveWithPrior := func(id, class string, prior PriorAttempt) []Action {
		ev := Event{Kind: RequestArrived, Request: id, Class: class, WorkMS: 100, Deadline: 9000, Prior: prior}
		return s.Step(2000, &ev, nil)
	}
	for i, zone := range []string{"there", "here"} {
		actions := arriveWithPrior("a"+zone, "keyed", PriorAttempt{At: 1900, Zone: zone})
		assert.Equal(t, Send, actions[len(actions)-1].Kind)
		assert.Equal(t, uint32(2-i), actions[len(actions)-1].Executor)
	}
	actions := arriveWithPrior("b", "keyed", PriorAttempt{At: 1900, Zone: "lost"})
	assert.Empty(t, actionKinds(actions), "the request must wait for an executor of its dedup zone")
	actions = tickAt(s, 8990)
	assert.Contains(t, actionKinds(actions), Fail)
	assert.NotContains(t, actionKinds(actions), Reject)
	actions = arriveWithPrior("c", "keyed", PriorAttempt{At: -1e9, Zone: "here"})
	assert.Equal(t, []ActionKind{Fail}, actionKinds(actions), "no repeat may be sent past the dedup window")
	actions = arriveWithPrior("d", "unsafe", PriorAttempt{At: 1900, Zone: "here"})
	assert.Equal(t, []ActionKind{Fail}, actionKinds(actions))
}

// A request that can't be put on record must not run: it is rejected at once and not sent to another executor.
func TestScheduler_RejectsBlockedRequestUnrun(t *testing.T) {
	s := newTestScheduler(2, nil)
	ev := Event{Kind: RequestArrived, Request: "a", Class: "unsafe", WorkMS: 100, Deadline: 9000, Blocked: true}
	assert.Equal(t, []ActionKind{Reject}, actionKinds(s.Step(2000, &ev, nil)))
	arrive(s, 2000, "b", "keyed")
	ev = Event{Kind: AttemptEnded, Request: "b", Outcome: NeverSent, Blocked: true}
	assert.Equal(t, []ActionKind{Reject}, actionKinds(s.Step(2010, &ev, nil)))
	assert.Empty(t, s.requests.byID)
}

// A list that names an executor in another zone and cell, as it was replaced under its name, moved the attempts that may
// have run there along with it: their repeats went to a group that does not drop them.
func TestScheduler_RepeatsKeyWhereItsAttemptWasSent(t *testing.T) {
	entry := func(executor uint32, zone string, cell int64, startedAt float64) Endpoint {
		return Endpoint{Executor: executor, Zone: zone, Kind: "big", Cell: cell, StartedAt: startedAt}
	}
	replaced := entry(1, "there", 2, 2000)
	draining := entry(1, "", 0, 0)
	draining.Availability = Draining
	for name, moved := range map[string]Endpoint{"replaced": replaced, "drains without a zone": draining} {
		for _, scope := range []DedupScope{DedupZone, DedupCell} {
			s := newTestScheduler(0, func(settings *Settings) {
				for i := range settings.Classes {
					settings.Classes[i].DedupScope = scope
				}
			})
			s.Step(1100, &Event{Kind: EndpointsUpdated, List: ListDelta, Endpoints: []Endpoint{entry(1, "here", 1, 0)}}, nil)
			first := arrive(s, 1200, "a", "keyed")
			requireSend(t, first, 1)
			others := []Endpoint{moved, entry(3, "there", 2, 0)}
			s.Step(2100, &Event{Kind: EndpointsUpdated, List: ListDelta, Endpoints: others}, nil)
			actions := endAttempt(s, 2200, "a", 0, ConnectionLost)
			assert.NotContains(t, actionKinds(actions), Send, "%s, scope %v: only here are repeats dropped", name, scope)
			back := []Endpoint{entry(2, "here", 1, 0)}
			actions = s.Step(2300, &Event{Kind: EndpointsUpdated, List: ListDelta, Endpoints: back}, nil)
			requireSend(t, actions, 2)
		}
	}
}

// requireSend requires that exactly one attempt is sent, to the given executor.
func requireSend(t *testing.T, actions []Action, executor uint32) {
	t.Helper()
	var sent []uint32
	for _, action := range actions {
		if action.Kind == Send {
			sent = append(sent, action.Executor)
		}
	}
	require.Equal(t, []uint32{executor}, sent)
}
