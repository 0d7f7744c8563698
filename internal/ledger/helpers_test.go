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
		{Name: "look", Effect: scheduler.Idempotent}, {Name: "mark", Effect: scheduler.Keyed}, {Name: "once", Effect: scheduler.NonIdempotent},
	} {
		c.DedupScope, c.DedupWindowMS, c.DeadlineMS = scheduler.DedupZone, 20000, 5000
		s.Classes = append(s.Classes, c)
	}
	return s
}

// disk keeps what ledgers want kept, as a store would, and can be looked at as of any step.
type disk struct {
	kept map[Key]Effect
}

// lives is a ledger on a disk, with its own idea of the time.
type lives struct {
	*Ledger
	disk   *disk
	recall []scheduler.Event
	said   []string
}

// born is a ledger that begins at a clock with what the disk holds.
func born(d *disk, now float64, m Clocks, doubt bool) *lives {
	l := &lives{Ledger: New(testSettings()), disk: d}
	for k, e := range d.kept {
		l.Step(0, &Event{Kind: RecordRead, Key: k, Expires: e.Expires, Value: e.Value})
	}
	l.do(now, Event{Kind: RecoveryDone, Clocks: m, TailInDoubt: doubt})
	return l
}

func firstLife(now float64) *lives { return born(&disk{kept: map[Key]Effect{}}, now, up(now), false) }

// up is a moment of a machine that has run since 0.
func up(ms float64) Clocks { return Clocks{WallMS: ms + 1e12, UpMS: ms + 1, Boot: "b"} }

// do plays an event, keeps what is to be kept, and gives the rest.
func (l *lives) do(now float64, ev Event) (rest []Effect) {
	for _, e := range l.Step(now, &ev) {
		switch e.Kind {
		case Persist:
			e.Value = append([]byte(nil), e.Value...)
			l.disk.kept[e.Key] = e
		case Delete:
			delete(l.disk.kept, e.Key)
		case RestoreState:
			l.recall = append(l.recall, e.SchedulerEvent)
		case LogMessage:
			l.said = append(l.said, e.Text)
		case Sync:
		default:
			rest = append(rest, e)
		}
	}
	return rest
}

func (l *lives) take(now float64, offering, id, label string) Effect {
	return l.do(now, Event{Kind: RequestReceived, ID: id, IdempotencyKey: label, Class: offering, Deadline: now + 5000})[0]
}

// send puts a shot on record and has that last; it tells whether the shot left.
func (l *lives) send(now float64, id string, n int, executor uint32) bool {
	for _, e := range l.do(now, Event{Kind: AttemptStarting, ID: id, Attempt: n, Executor: executor}) {
		if e.Kind == HoldAttempt {
			r := l.do(now, Event{Kind: RecordsStored, Token: e.Token, OK: true})
			return len(r) == 1 && r[0].Kind == ReleaseAttempt && r[0].ID == id && r[0].Attempt == n
		}
	}
	return true
}

// outcome is what is told of an id, then of a mark.
func (l *lives) outcome(now float64, id, label string) (a, b Outcome) {
	a = l.do(now, Event{Kind: OutcomeQueried, ID: id})[0].Outcome
	return a, l.do(now, Event{Kind: OutcomeQueried, IdempotencyKey: label})[0].Outcome
}

// listed tells of executors 1 and 2 here and 3 there.
func (l *lives) listed(now float64, index uint64, leaving ...uint32) {
	var list []scheduler.Endpoint
	for id := range uint32(3) {
		e := scheduler.Endpoint{Executor: id + 1, Zone: "here"}
		if id == 2 {
			e.Zone = "there"
		}
		for _, x := range leaving {
			if x == id+1 {
				e.Availability = scheduler.Draining
			}
		}
		list = append(list, e)
	}
	l.do(now, Event{Kind: EndpointsUpdated, ListVersion: index, Restored: true, Complete: true, Endpoints: list})
}

// The same cases in every run, and no files left behind; the command line may say otherwise.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}
