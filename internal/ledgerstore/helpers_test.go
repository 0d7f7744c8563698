package ledgerstore

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/ledger"
	"liftshift/internal/store"
	"liftshift/internal/vfs"
	"liftshift/scheduler"
)

// testSettings has a class of each effect; executors of a zone drop repeats of a key for 20 s, those of others do not.
func testSettings() scheduler.Settings {
	s := scheduler.DefaultSettings()
	s.MaxAttempts, s.MayCancel = 4, true
	s.Kinds = []scheduler.ExecutorKind{{Name: "big", Cores: 8, MemoryMB: 16000}}
	for _, c := range []scheduler.RequestClass{
		{Name: "look", Idempotency: scheduler.Idempotent}, {Name: "mark", Idempotency: scheduler.Keyed}, {Name: "once", Idempotency: scheduler.NonIdempotent},
	} {
		c.DedupScope, c.DedupWindowMS, c.DeadlineMS = scheduler.DedupZone, 20000, 5000
		c.SoftDeadlineMS, c.Value, c.LateValueShare, c.Threads = 1000, 1, 0.5, 1
		s.Classes = append(s.Classes, c)
	}
	return s
}

func ledgerSettings() ledger.Settings {
	s := ledger.DefaultSettings()
	s.Classes, s.RetentionMS = testSettings().Classes, 60000
	return s
}

func quietLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

var testOptions = store.Options{SegmentBytes: 4096, FlushDelay: time.Millisecond}

// testEngines count the runs of idempotency keys. A zone drops repeats of its own, the others do not know of them.
type testEngines struct{ ran map[string][]string }

// run is a key that reaches an engine of a zone.
func (e *testEngines) run(key, zone string) {
	if !slices.Contains(e.ran[key], zone) {
		e.ran[key] = append(e.ran[key], zone)
	}
}

// ranTwice returns the keys that ran more than once.
func (e *testEngines) ranTwice() (keys []string) {
	for key, zones := range e.ran {
		if len(zones) > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}

// testController does what the event loop does with a Store, one request after the other.
type testController struct {
	*Store
	now     float64
	reports chan ledger.Event
	engines *testEngines
}

func clocksAt(ms float64) ledger.Clocks { return ledger.Clocks{WallMS: ms, UptimeMS: ms, BootID: "b"} }

// startController opens a Store. A damaged one is repaired first, as an operator would.
func startController(disk *vfs.MemoryFS, now float64, e *testEngines) (*testController, error) {
	c := &testController{now: now, reports: make(chan ledger.Event, 1000), engines: e}
	open := func() (err error) {
		c.Store, _, err = OpenAt(disk, testOptions, ledgerSettings(), func() float64 { return now }, clocksAt(now),
			func(ev ledger.Event) { c.reports <- ev }, quietLogger())
		return err
	}
	err := open()
	if err != nil {
		if _, rerr := store.Repair(disk, testOptions); rerr != nil {
			return nil, rerr
		}
		err = open()
	}
	if err != nil {
		return nil, err
	}
	var list []scheduler.Endpoint
	for id, zone := range []string{"here", "there"} {
		list = append(list, scheduler.Endpoint{Executor: uint32(id + 1), Zone: zone})
	}
	c.Step(now, &ledger.Event{Kind: ledger.EndpointsUpdated, Restored: true, Complete: true, Endpoints: list})
	return c, nil
}

// request receives a request, sends its attempt once that is on record, and ends it as given; it returns what became of it.
// Endings: "" leaves it open; "unrun": the attempt never ran; "handled"; "before": nothing is sent.
func (c *testController) request(id, class, key, ending string, executor uint32) ledger.EffectKind {
	c.now++
	effects := c.Step(c.now, &ledger.Event{Kind: ledger.RequestReceived, ID: id, IdempotencyKey: key, Class: class, Deadline: c.now + 5000})
	first := effects[0]
	if first.Kind != ledger.Admit || ending == "before" {
		return first.Kind
	}
	zone := []string{"here", "there"}[executor-1]
	if first.Prior.At != 0 {
		if c.now > first.Prior.At+20000 {
			return first.Kind // the scheduler never sends it
		}
		zone = first.Prior.Zone
		executor = map[string]uint32{"here": 1, "there": 2}[zone]
	}
	effects = slices.Clone(c.Step(c.now, &ledger.Event{Kind: ledger.AttemptStarting, ID: id, Executor: executor}))
	for len(effects) == 1 && effects[0].Kind == ledger.HoldAttempt {
		ev := <-c.reports
		effects = slices.Clone(c.Step(c.now, &ev))
		if len(effects) == 0 {
			effects = []ledger.Effect{{Kind: ledger.HoldAttempt}}
		}
	}
	if len(effects) > 0 && effects[len(effects)-1].Kind == ledger.FailAttempt {
		c.Step(c.now, &ledger.Event{Kind: ledger.AttemptEnded, ID: id, NeverRan: true})
		c.Step(c.now, &ledger.Event{Kind: ledger.RequestClosed, ID: id, Outcome: ledger.Rejected})
		return ledger.FailAttempt
	}
	if ending != "unrun" && key != "" {
		c.engines.run(key, zone)
	}
	if ending != "" {
		c.Step(c.now, &ledger.Event{Kind: ledger.AttemptEnded, ID: id, NeverRan: ending == "unrun"})
	}
	if ending == "handled" {
		c.Step(c.now, &ledger.Event{Kind: ledger.RequestClosed, ID: id, Outcome: ledger.Succeeded, Body: []byte("rows")})
	}
	return ledger.ReleaseAttempt
}

var endings = []string{"handled", "", "unrun", "before"}

// workload goes through every ending a few times and returns the ids that were open when it ended.
func (c *testController) workload(rounds int) (open []string) {
	for n := range rounds {
		id, key, ending := fmt.Sprint("a", n), fmt.Sprint("m", n), endings[n%len(endings)]
		if c.request(id, "mark", key, ending, 1) == ledger.ReleaseAttempt && ending == "" {
			open = append(open, id)
		}
		c.request(fmt.Sprint("l", n), "look", "", "handled", 1)
	}
	return open
}

// retries is what clients do after a crash: each key comes again, under a new id, and would go to the other zone.
func (c *testController) retries(rounds int) {
	for n := range rounds {
		c.request(fmt.Sprint("b", n), "mark", fmt.Sprint("m", n), "handled", 2)
	}
}

// copy returns engines that go on from here by themselves.
func (e *testEngines) copy() *testEngines {
	o := &testEngines{ran: map[string][]string{}}
	for key, zones := range e.ran {
		o.ran[key] = slices.Clone(zones)
	}
	return o
}

// answerRecorder is a client that records its answers.
type answerRecorder struct {
	mu      sync.Mutex
	answers map[uint64]string
}

func (b *answerRecorder) add(tag uint64, what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers[tag] += what
}
func (b *answerRecorder) Succeeded(tag uint64, _ []byte) { b.add(tag, "handled") }
func (b *answerRecorder) Rejected(tag uint64, _ float64) { b.add(tag, "denied") }
func (b *answerRecorder) Failed(tag uint64)              { b.add(tag, "written off") }
func (b *answerRecorder) get(tag uint64) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answers[tag]
}
