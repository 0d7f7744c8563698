package ledger

import (
	"flag"

	"liftshift/scheduler"
)

// testSettings has one class of each scheduler.Idempotency, with a deduplication window of 20 s within the zone.
func testSettings() Settings {
	s := DefaultSettings()
	s.RetentionMS, s.MaxAnswerBytes = 60000, 8
	s.RetryBudget = scheduler.RetryBudget{WindowMS: 10000, Floor: 3, Share: 0.1}
	for _, class := range []scheduler.RequestClass{
		{Name: "look", Idempotency: scheduler.Idempotent},
		{Name: "mark", Idempotency: scheduler.Keyed},
		{Name: "once", Idempotency: scheduler.NonIdempotent},
	} {
		class.DedupScope, class.DedupWindowMS, class.DeadlineMS = scheduler.DedupZone, 20000, 5000
		s.Classes = append(s.Classes, class)
	}
	return s
}

// memoryStore keeps the records of a ledger in memory, so that a test can start another ledger from them after any
// step.
type memoryStore struct {
	records map[Key]Effect
}

// testLedger is a ledger whose records go to a memoryStore.
type testLedger struct {
	*Ledger
	store    *memoryStore
	restored []scheduler.Event // of the RestoreState effects
	logged   []string
}

// startLedger returns a ledger that recovers from a store at the given time.
func startLedger(store *memoryStore, now float64, clocks Clocks, tailInDoubt bool) *testLedger {
	l := &testLedger{Ledger: New(testSettings()), store: store}
	for key, record := range store.records {
		l.Step(0, &Event{Kind: RecordRead, Key: key, Expires: record.Expires, Value: record.Value})
	}
	l.step(now, Event{Kind: RecoveryDone, Clocks: clocks, TailInDoubt: tailInDoubt})
	return l
}

// newTestLedger returns a ledger that starts with an empty store.
func newTestLedger(now float64) *testLedger {
	return startLedger(&memoryStore{records: map[Key]Effect{}}, now, clocksAt(now), false)
}

// clocksAt returns the clocks of a machine that was booted at time 0.
func clocksAt(ms float64) Clocks { return Clocks{WallMS: ms + 1e12, UptimeMS: ms + 1, BootID: "b"} }

// step takes one step, applies its records to the store, and returns the effects that neither the store nor the
// scheduler nor the log gets.
func (l *testLedger) step(now float64, ev Event) (rest []Effect) {
	for _, e := range l.Step(now, &ev) {
		switch e.Kind {
		case Persist:
			e.Value = append([]byte(nil), e.Value...)
			l.store.records[e.Key] = e
		case Delete:
			delete(l.store.records, e.Key)
		case RestoreState:
			l.restored = append(l.restored, e.SchedulerEvent)
		case LogMessage:
			l.logged = append(l.logged, e.Text)
		case Sync:
		default:
			rest = append(rest, e)
		}
	}
	return rest
}

// receive receives a request with a deadline in 5 s and returns the effect that decides on it.
func (l *testLedger) receive(now float64, class, id, key string) Effect {
	return l.step(now, Event{Kind: RequestReceived, ID: id, IdempotencyKey: key, Class: class, Deadline: now + 5000})[0]
}

// attemptStarting returns the event of an attempt on one of the executors of updateEndpoints.
func attemptStarting(id string, attempt int, executor uint32) Event {
	return Event{Kind: AttemptStarting, ID: id, Attempt: attempt, Executor: executor, Zone: zoneOf(executor)}
}

// startAttempt starts an attempt, reports its record as durable, and returns whether the attempt may be sent.
func (l *testLedger) startAttempt(now float64, id string, attempt int, executor uint32) bool {
	for _, e := range l.step(now, attemptStarting(id, attempt, executor)) {
		if e.Kind == HoldAttempt {
			r := l.step(now, Event{Kind: RecordsStored, Token: e.Token, OK: true})
			return len(r) == 1 && r[0].Kind == ReleaseAttempt && r[0].ID == id && r[0].Attempt == attempt
		}
	}
	return true
}

// outcomes returns the outcome of a request id and that of an idempotency key.
func (l *testLedger) outcomes(now float64, id, key string) (ofID, ofKey Outcome) {
	ofID = l.step(now, Event{Kind: OutcomeQueried, ID: id})[0].Outcome
	return ofID, l.step(now, Event{Kind: OutcomeQueried, IdempotencyKey: key})[0].Outcome
}

// zoneOf returns the zone of an executor: "here" for 1 and 2, "there" for 3.
func zoneOf(executor uint32) string {
	if executor == 3 {
		return "there"
	}
	return "here"
}

// updateEndpoints sends a complete list with executors 1 to 3. The executors in draining are marked as draining.
func (l *testLedger) updateEndpoints(now float64, version uint64, draining ...uint32) {
	var list []scheduler.Endpoint
	for id := range uint32(3) {
		endpoint := scheduler.Endpoint{Executor: id + 1, Zone: zoneOf(id + 1)}
		for _, executor := range draining {
			if executor == id+1 {
				endpoint.Availability = scheduler.Draining
			}
		}
		list = append(list, endpoint)
	}
	l.step(now, Event{Kind: EndpointsUpdated, ListVersion: version, Restored: true, Complete: true, Endpoints: list})
}

// init makes rapid generate the same cases in every run and write no failure files, unless the command line says
// otherwise.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}
