package ledger

import (
	"flag"

	"liftshift/scheduler"
)

// testSettings has a class of each effect; executors of a zone drop repeats of a key for 20 s.
func testSettings() Settings {
	s := DefaultSettings()
	s.RememberMS, s.MaxAnswerBytes = 60000, 8
	s.RetryBudget = scheduler.RetryBudget{WindowMS: 10000, Floor: 3, Share: 0.1}
	for _, c := range []scheduler.RequestClass{
		{Name: "look", Idempotency: scheduler.Idempotent}, {Name: "mark", Idempotency: scheduler.Keyed}, {Name: "once", Idempotency: scheduler.NonIdempotent},
	} {
		c.DedupScope, c.DedupWindowMS, c.DeadlineMS = scheduler.DedupZone, 20000, 5000
		s.Classes = append(s.Classes, c)
	}
	return s
}

// memoryDisk holds the records of ledgers, as a store would, and can be looked at after any step.
type memoryDisk struct {
	records map[Key]Effect
}

// testLedger is a ledger on a memory disk.
type testLedger struct {
	*Ledger
	disk     *memoryDisk
	restored []scheduler.Event
	logged   []string
}

// startLedger returns a ledger that starts at a time with what the disk holds.
func startLedger(d *memoryDisk, now float64, m Clocks, doubt bool) *testLedger {
	l := &testLedger{Ledger: New(testSettings()), disk: d}
	for k, e := range d.records {
		l.Step(0, &Event{Kind: RecordRead, Key: k, Expires: e.Expires, Value: e.Value})
	}
	l.play(now, Event{Kind: RecoveryDone, Clocks: m, TailInDoubt: doubt})
	return l
}

func newTestLedger(now float64) *testLedger {
	return startLedger(&memoryDisk{records: map[Key]Effect{}}, now, clocksAt(now), false)
}

// clocksAt returns the clocks of a machine that was booted at 0.
func clocksAt(ms float64) Clocks { return Clocks{WallMS: ms + 1e12, UpMS: ms + 1, Boot: "b"} }

// play takes a step, stores its records, and returns the other effects.
func (l *testLedger) play(now float64, ev Event) (rest []Effect) {
	for _, e := range l.Step(now, &ev) {
		switch e.Kind {
		case Persist:
			e.Value = append([]byte(nil), e.Value...)
			l.disk.records[e.Key] = e
		case Delete:
			delete(l.disk.records, e.Key)
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

func (l *testLedger) receive(now float64, class, id, key string) Effect {
	return l.play(now, Event{Kind: RequestReceived, ID: id, IdempotencyKey: key, Class: class, Deadline: now + 5000})[0]
}

// startAttempt puts an attempt on record, reports that as durable, and tells whether the attempt was released.
func (l *testLedger) startAttempt(now float64, id string, n int, executor uint32) bool {
	for _, e := range l.play(now, Event{Kind: AttemptStarting, ID: id, Attempt: n, Executor: executor}) {
		if e.Kind == HoldAttempt {
			r := l.play(now, Event{Kind: RecordsStored, Token: e.Token, OK: true})
			return len(r) == 1 && r[0].Kind == ReleaseAttempt && r[0].ID == id && r[0].Attempt == n
		}
	}
	return true
}

// outcomes returns the outcome of a request id and that of an idempotency key.
func (l *testLedger) outcomes(now float64, id, key string) (ofID, ofKey Outcome) {
	ofID = l.play(now, Event{Kind: OutcomeQueried, ID: id})[0].Outcome
	return ofID, l.play(now, Event{Kind: OutcomeQueried, IdempotencyKey: key})[0].Outcome
}

// updateEndpoints sends a complete list: executors 1 and 2 in zone here, 3 in zone there, some of them draining.
func (l *testLedger) updateEndpoints(now float64, version uint64, draining ...uint32) {
	var list []scheduler.Endpoint
	for id := range uint32(3) {
		e := scheduler.Endpoint{Executor: id + 1, Zone: "here"}
		if id == 2 {
			e.Zone = "there"
		}
		for _, x := range draining {
			if x == id+1 {
				e.Availability = scheduler.Draining
			}
		}
		list = append(list, e)
	}
	l.play(now, Event{Kind: EndpointsUpdated, ListVersion: version, Restored: true, Complete: true, Endpoints: list})
}

// The same cases are drawn in every run, and no files are left behind, unless the command line says otherwise.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}
