package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A request that may have run waits for its next attempt to be recorded, with a growing delay, where executors drop the
// repeat. One that may be rejected is, so that its client can go elsewhere. No request waits during a shutdown.
func TestScheduler_TriesAgainIfAttemptWasNotRecorded(t *testing.T) {
	unrecorded := func(s *Scheduler, now float64, id string, attempt int) []ActionKind {
		ev := Event{Kind: AttemptEnded, Request: id, Attempt: attempt, Outcome: NeverSent, Unrecorded: true}
		return actionKinds(s.Step(now, &ev, nil))
	}
	for name, test := range map[string]struct {
		class    string
		prior    PriorAttempt
		shutDown bool
		want     []ActionKind
	}{
		"never sent":               {"keyed", PriorAttempt{}, false, []ActionKind{Reject}},
		"may have run":             {"keyed", PriorAttempt{At: 900, Zone: "here"}, false, nil},
		"may have run, at the end": {"keyed", PriorAttempt{At: 900, Zone: "here"}, true, []ActionKind{Fail}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestScheduler(2, func(s *Settings) { s.Classes[1].DedupScope = DedupZone })
			if test.shutDown {
				s.Step(1000, &Event{Kind: ShutdownStarted, Deadline: 4000}, nil)
			}
			s.Step(1000, &Event{Kind: RequestArrived, Request: "a", Class: test.class, WorkMS: 100, Deadline: 9000,
				Prior: test.prior}, nil)
			assert.Equal(t, test.want, unrecorded(s, 1300, "a", 0))
			if test.want != nil {
				return
			}
			assert.Empty(t, actionKinds(tickAt(s, 1310)), "before the delay is over")
			assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(tickAt(s, 1340)))
			assert.Empty(t, unrecorded(s, 1640, "a", 0), "it has the number of the one before, which nobody has seen")
			assert.Empty(t, actionKinds(tickAt(s, 1680)), "the delay doubles")
			assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(tickAt(s, 1700)))
		})
	}
}

// A request that may have run is tried again until its deadline, however often its attempts are not recorded in time,
// and without using up its attempts or the retry budget.
func TestScheduler_UnrecordedAttemptsAreNotCounted(t *testing.T) {
	s := newTestScheduler(2, func(s *Settings) {
		s.Classes[1].DedupScope, s.Classes[1].DedupWindowMS = DedupZone, 20000
		s.RetryBudget = RetryBudget{WindowMS: 10000, Floor: 1}
	})
	actions := s.Step(1000, &Event{Kind: RequestArrived, Request: "a", Class: "keyed", WorkMS: 100, Deadline: 9000,
		Prior: PriorAttempt{At: 900, Zone: "here"}}, nil)
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(actions))
	const holdMS = 300
	tries, now := 1, 1000.0+holdMS
	for ; now < 8000; now += holdMS {
		actions = s.Step(now, &Event{Kind: AttemptEnded, Request: "a", Outcome: NeverSent, Unrecorded: true}, nil)
		assert.Empty(t, actionKinds(actions), "after %d tries", tries)
		now += maxLocalRetryBackoffMS
		assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(tickAt(s, now)), "after %d tries", tries)
		tries++
	}
	assert.Greater(t, tries, attemptCapacity)
	actions = endAttempt(s, now, "a", 0, Overloaded)
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(actions), "the floor of the budget allows one retry")
}

// Attempts that were never sent do not load their executor: as many as it has room for are tried again, without waiting
// for its next load report.
func TestScheduler_UnrecordedAttemptsLoadNoExecutor(t *testing.T) {
	s := newTestScheduler(1, func(s *Settings) {
		s.Classes[1].DedupScope, s.Classes[1].DedupWindowMS = DedupZone, 20000
	})
	s.executors[0].lastLoadReportAt = 999 // it reports no load
	sentIn := func(actions []Action) (ids []string) {
		for _, action := range actions {
			if action.Kind == Send {
				ids = append(ids, action.Request)
			}
		}
		return ids
	}
	var sent []string
	for n := range 100 {
		sent = append(sent, sentIn(s.Step(1000, &Event{Kind: RequestArrived, Request: fmt.Sprint(n), Class: "keyed",
			WorkMS: 1000, Deadline: 9000, Prior: PriorAttempt{At: 900, Zone: "here"}}, nil))...)
	}
	require.NotEmpty(t, sent)
	require.Less(t, len(sent), 100, "the executor must be full")
	var sentAgain []string
	for _, id := range sent {
		sentAgain = append(sentAgain, sentIn(s.Step(1300, &Event{Kind: AttemptEnded, Request: id, Outcome: NeverSent,
			Unrecorded: true}, nil))...)
	}
	sentAgain = append(sentAgain, sentIn(tickAt(s, 1300+localRetryBackoffMS))...)
	assert.Len(t, sentAgain, len(sent))
	assert.LessOrEqual(t, s.executors[0].reportedThreads, float64(len(sent)))
}

func TestScheduler_KeepsToRetryBudget(t *testing.T) {
	s := newTestScheduler(3, func(s *Settings) {
		s.RetryBudget.WindowMS = 10000
		s.RetryBudget.Floor = 1
		s.RetryBudget.Share = 0.1
	})
	arrive(s, 1000, "a", "read")
	actions := endAttempt(s, 1010, "a", 0, Overloaded)
	assert.Equal(t, []ActionKind{SetResources, Send}, actionKinds(actions), "the floor must allow one retry")
	actions = endAttempt(s, 1020, "a", 1, Overloaded)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(actions), "beyond the budget the retry is left to the client")
	for range 9 {
		s.arrivals.add(1030, 1)
	}
	assert.True(t, s.retryBudgetLeft(0), "a tenth of ten arrivals must allow one more retry")
	s.now = 11025
	assert.False(t, s.retryBudgetLeft(0), "an arrival that has left the window must not count")
	s = newTestScheduler(1, func(s *Settings) {
		s.RetryBudget.WindowMS = 10000
		s.RetryBudget.Floor = 1
		s.ConnectTimeoutMS = 250
	})
	s.retries.add(1000, 1)
	s.now = 11200
	assert.True(t, s.retryBudgetLeft(0), "one retry that may have connected late must leave room for one more")
	s.retries.add(1000, 1)
	assert.False(t, s.retryBudgetLeft(0), "two retries that may have connected late must use up the budget")
}

func TestScheduler_GivesUpAfterMaxAttempts(t *testing.T) {
	s := newTestScheduler(3, func(s *Settings) { s.MaxAttempts = 2 })
	arrive(s, 1000, "a", "read")
	endAttempt(s, 1010, "a", 0, Overloaded)
	actions := endAttempt(s, 1020, "a", 1, Overloaded)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(actions), "the request must be rejected after its last attempt")
}

// A request that fails on every executor must not use up the retry budget or be tried on all executors.
func TestScheduler_GivesUpAfterTwoErrors(t *testing.T) {
	s := newTestScheduler(4, nil)
	arrive(s, 1000, "a", "read")
	assert.Contains(t, actionKinds(endAttempt(s, 1100, "a", 0, Errored)), Send)
	actions := endAttempt(s, 1200, "a", 1, Errored)
	assert.Equal(t, []ActionKind{Reject}, actionKinds(actions), "the request must be rejected after its second error")
	arrive(s, 1300, "b", "unsafe")
	assert.Equal(t, []ActionKind{Fail}, actionKinds(endAttempt(s, 1400, "b", 0, Errored)))
	arrive(s, 1500, "c", "read") // a lost connection doesn't count as an error of the request
	endAttempt(s, 1600, "c", 0, ConnectionLost)
	assert.Contains(t, actionKinds(endAttempt(s, 1700, "c", 1, ConnectionLost)), Send)
}

// An attempt must not be cancelled without budget for another one, since it might still succeed.
func TestScheduler_KeepsAttemptWithoutBudgetForAnother(t *testing.T) {
	s := newTestScheduler(2, func(s *Settings) {
		s.RetryBudget.WindowMS = 10000
		s.RetryBudget.Floor = 1
		s.Classes[0].BlockedByHolders = true
	})
	for _, id := range []string{"a", "b"} {
		arrive(s, 1000, id, "read")
	}
	for index := range s.executors { // no executor has capacity left, so the first request has to wait for its retry
		s.executors[index].threads += 100
	}
	reportHolder := func(id string) []ActionKind {
		ev := Event{Kind: ProgressReported, Request: id, Progress: Waiting, Value: 2}
		return actionKinds(s.Step(1100, &ev, nil))
	}
	assert.Contains(t, reportHolder("a"), Cancel)
	assert.Equal(t, 1, s.awaitingRetry())
	assert.NotContains(t, reportHolder("b"), Cancel)
}

// An attempt that was never sent because of a local failure must not count against its executor or the retry budget.
// It is retried after a backoff, for a non-idempotent request too, since nothing ran.
func TestScheduler_LocalFailureJudgesNoExecutor(t *testing.T) {
	for _, class := range []string{"read", "unsafe"} {
		t.Run(class, func(t *testing.T) {
			s := newTestScheduler(4, func(s *Settings) {
				s.Controllers = 300
				s.RetryBudget.WindowMS = 10000
				s.RetryBudget.Floor = 0
				s.MaxAttempts = 2
			})
			arrive(s, 1000, "a", class)
			for i := range 4 { // once per executor
				now := 1000 + 500*float64(i)
				actions := endAttempt(s, now, "a", i, LocalFailure)
				assert.NotContains(t, actionKinds(actions), Send, "the retry must wait for its backoff")
				assert.Contains(t, actionKinds(tickAt(s, now+450)), Send, class)
			}
			for index := range s.executors {
				assert.Equal(t, executorHealthy, s.executors[index].state)
				assert.Zero(t, s.executors[index].failures)
			}
			assert.Zero(t, s.retries.count())
			actions := endAttempt(s, 3000, "a", 4, ConnectFailed)
			assert.Contains(t, actionKinds(actions), Reject, "a retry after a sent attempt must need budget")
		})
	}
}

func TestScheduler_LocalFailureOfHealthCheckJudgesNoExecutor(t *testing.T) {
	s := newTestScheduler(2, nil)
	arrive(s, 1000, "a", "read")
	s.executors[0].probing = true
	s.Step(1010, &Event{Kind: HealthChecked, Executor: 1, Outcome: LocalFailure}, nil)
	assert.False(t, s.executors[0].probing)
	assert.False(t, s.executors[0].probeFailed)
	assert.Zero(t, s.executors[0].avoidUntil)
}

// Guards against keys that run in two zones: another process may have come up at the address of an executor whose
// connection was lost. A repeat of a key goes to that executor only once the process has shown that it is the same, the
// list has named the executor again, or the list would have told that it is gone.
func TestScheduler_RepeatsNoKeyWhereExecutorMayBeReplaced(t *testing.T) {
	inZone := func(settings *Settings) {
		settings.Classes[1].DedupScope = DedupZone
		settings.Classes[1].DedupWindowMS = 60e3
		settings.PresumedNotifiedAfterMS = 7000
	}
	here := Endpoint{Executor: 1, Zone: "here", Kind: "big"}
	for name, confirm := range map[string]func(*Scheduler) float64{
		"activity of an earlier attempt": func(s *Scheduler) float64 { endAttempt(s, 3000, "b", 0, Succeeded); return 3000 },
		"the list": func(s *Scheduler) float64 {
			s.Step(3000, &Event{Kind: EndpointsUpdated, List: ListDelta, Endpoints: []Endpoint{here}}, nil)
			return 3000
		},
		"time": func(*Scheduler) float64 { return 2000 + 7000 },
	} {
		s := newTestScheduler(1, inZone)
		arriveKeyed(s, 1500, "a")
		arriveKeyed(s, 1500, "b")
		endAttempt(s, 2000, "a", 0, ConnectionLost)
		slot, _ := s.requests.find("a")
		r := s.requests.at(slot)
		r.retryNotBefore = 0
		s.executors[0].avoidUntil = 0
		assert.Equal(t, sendElsewhere, s.maySend(r, 0), "%s: before", name)
		s.now = confirm(s)
		assert.NotEqual(t, sendElsewhere, s.maySend(r, 0), "%s: after", name)
	}

	s := newTestScheduler(1, inZone)
	arriveKeyed(s, 1500, "a")
	endAttempt(s, 2000, "a", 0, ConnectFailed) // it has not run, so it may be sent there again
	s.executors[0].avoidUntil = 0
	s.executors[0].state = executorHealthy
	tickAt(s, 2100)
	slot, _ := s.requests.find("a")
	assert.Equal(t, 2, s.requests.at(slot).attemptCount)
	assert.Contains(t, actionKinds(endAttempt(s, 2200, "a", 1, ConnectionLost)), Fail,
		"nobody knows which zone it ran in")
}

// sendToPossiblyReplaced returns an instance whose executor 1 has lost its connections, after which it was sent request a,
// which is keyed and deduplicated by zone. Executor 2 is in the same zone.
func sendToPossiblyReplaced(t *testing.T) *Scheduler {
	s := newTestScheduler(2, func(settings *Settings) {
		settings.Classes[1].DedupScope = DedupZone
		settings.Classes[1].DedupWindowMS = 60e3
		settings.PresumedNotifiedAfterMS = 7000
	})
	s.executors[1].avoidUntil = 1e6 // the request goes to executor 1
	s.Step(1500, &Event{Kind: LastConnectionLost, Executor: 1}, nil)
	s.Step(1500, &Event{Kind: LastConnectionLost, Executor: 9}, nil) // not listed: no effect
	require.Contains(t, actionKinds(arriveKeyed(s, 2000, "a")), Send)
	s.executors[1].avoidUntil = 0
	return s
}

func arriveKeyed(s *Scheduler, now float64, id string) []Action {
	ev := Event{Kind: RequestArrived, Request: id, Class: "keyed", MemoryMB: 100, WorkMS: 100, Deadline: 30e3}
	return s.Step(now, &ev, nil)
}

func listExecutor(s *Scheduler, now float64, endpoint Endpoint) {
	s.Step(now, &Event{Kind: EndpointsUpdated, List: ListDelta, Endpoints: []Endpoint{endpoint}}, nil)
}

// Guards against keys that run in two zones: an executor whose connections were lost while nothing was in flight there may
// be replaced as well. What was sent there since, and was abandoned when the list told that it is gone, is not repeated.
func TestScheduler_RepeatsNoKeySentAfterLastConnectionWasLost(t *testing.T) {
	s := sendToPossiblyReplaced(t)
	listExecutor(s, 2500, Endpoint{Executor: 1, Zone: "here", Kind: "big", Availability: Removed})
	actions := actionKinds(endAttempt(s, 2501, "a", 0, Cancelled))
	assert.NotContains(t, actions, Send)
	assert.Contains(t, actions, Fail, "nobody knows which zone it ran in")
}

// Guards against keys that run in two zones: what was sent to an executor in doubt is repeated only where the list names
// that executor at the same location. The list may name the process that has replaced it under its name.
func TestScheduler_RepeatsNoKeySentBeforeListToldOfReplacement(t *testing.T) {
	for zone, want := range map[string]ActionKind{"here": Send, "there": Fail} {
		s := sendToPossiblyReplaced(t)
		listExecutor(s, 2500, Endpoint{Executor: 1, Zone: zone, Kind: "big", StartedAt: 1600})
		assert.Contains(t, actionKinds(endAttempt(s, 2600, "a", 0, Errored)), want, zone)
	}
}

// Guards against keys that run in two zones: an attempt that was itself sent in doubt does not show that the process lives
// on, although its connection is older than another loss.
func TestScheduler_AttemptInDoubtConfirmsNoProcess(t *testing.T) {
	s := sendToPossiblyReplaced(t)
	s.executors[1].avoidUntil = 1e6
	require.Contains(t, actionKinds(arriveKeyed(s, 2100, "b")), Send)
	require.Contains(t, actionKinds(arriveKeyed(s, 2100, "c")), Send)
	endAttempt(s, 2300, "c", 0, ConnectionLost)
	s.executors[1].avoidUntil = 0
	endAttempt(s, 2400, "b", 0, Succeeded)
	assert.Contains(t, actionKinds(endAttempt(s, 2600, "a", 0, Errored)), Fail, "nobody knows which zone it ran in")
}
