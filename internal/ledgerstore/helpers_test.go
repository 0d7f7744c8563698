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
		{Name: "look", Effect: scheduler.Idempotent}, {Name: "mark", Effect: scheduler.Keyed}, {Name: "once", Effect: scheduler.NonIdempotent},
	} {
		c.DedupScope, c.DedupWindowMS, c.DeadlineMS = scheduler.DedupZone, 20000, 5000
		c.SoftDeadlineMS, c.Value, c.LateShare, c.Threads = 1000, 1, 0.5, 1
		s.Classes = append(s.Classes, c)
	}
	return s
}

func ledgerSettings() ledger.Settings {
	s := ledger.DefaultSettings()
	s.Classes, s.RememberMS = testSettings().Classes, 60000
	return s
}

func silent() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

var bounds = store.Options{SegmentBytes: 4096, FlushDelay: time.Millisecond}

// engines count the runs of marks; a place drops repeats, the others do not know of it.
type engines struct{ ran map[string][]string }

// run is a mark that reaches an engine of a place.
func (e *engines) run(mark, place string) {
	if !slices.Contains(e.ran[mark], place) {
		e.ran[mark] = append(e.ran[mark], place)
	}
}

// twice names the marks that ran more than once.
func (e *engines) twice() (marks []string) {
	for m, places := range e.ran {
		if len(places) > 1 {
			marks = append(marks, m)
		}
	}
	return marks
}

// controller does what a desk does with a keeper, one search after the other.
type controller struct {
	*Store
	now    float64
	heard  chan ledger.Event
	engine *engines
}

func up(ms float64) ledger.Clocks { return ledger.Clocks{WallMS: ms, UpMS: ms, Boot: "b"} }

// begin opens a keeper; a store that is damaged is repaired first, as an operator would.
func begin(disk *vfs.MemoryFS, now float64, e *engines) (*controller, error) {
	c := &controller{now: now, heard: make(chan ledger.Event, 1000), engine: e}
	open := func() (err error) {
		c.Store, _, err = OpenAt(disk, bounds, ledgerSettings(), func() float64 { return now }, up(now),
			func(ev ledger.Event) { c.heard <- ev }, silent())
		return err
	}
	err := open()
	if err != nil {
		if _, rerr := store.Repair(disk, bounds); rerr != nil {
			return nil, rerr
		}
		err = open()
	}
	if err != nil {
		return nil, err
	}
	var list []scheduler.Endpoint
	for id, place := range []string{"here", "there"} {
		list = append(list, scheduler.Endpoint{Executor: uint32(id + 1), Zone: place})
	}
	c.Step(now, &ledger.Event{Kind: ledger.EndpointsUpdated, Restored: true, Complete: true, Endpoints: list})
	return c, nil
}

// search takes a search, sends its shot once that is on record, and ends it as it is told; it gives what came of it.
// Ends: "" leaves it open; "unrun": the shot never ran; "handled"; "before": nothing is sent.
func (c *controller) search(id, offering, mark, ends string, executor uint32) ledger.EffectKind {
	c.now++
	effects := c.Step(c.now, &ledger.Event{Kind: ledger.RequestReceived, ID: id, IdempotencyKey: mark, Class: offering, Deadline: c.now + 5000})
	first := effects[0]
	if first.Kind != ledger.Admit || ends == "before" {
		return first.Kind
	}
	place := []string{"here", "there"}[executor-1]
	if first.Prior.At != 0 {
		if c.now > first.Prior.At+20000 {
			return first.Kind // the module never sends it
		}
		if place = first.Prior.Zone; place == "there" {
			executor = 2
		} else {
			executor = 1
		}
	}
	effects = slices.Clone(c.Step(c.now, &ledger.Event{Kind: ledger.AttemptStarting, ID: id, Executor: executor}))
	for len(effects) == 1 && effects[0].Kind == ledger.HoldAttempt {
		ev := <-c.heard
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
	if ends != "unrun" && mark != "" {
		c.engine.run(mark, place)
	}
	if ends != "" {
		c.Step(c.now, &ledger.Event{Kind: ledger.AttemptEnded, ID: id, NeverRan: ends == "unrun"})
	}
	if ends == "handled" {
		c.Step(c.now, &ledger.Event{Kind: ledger.RequestClosed, ID: id, Outcome: ledger.Succeeded, Body: []byte("rows")})
	}
	return ledger.ReleaseAttempt
}

var gaps = []string{"handled", "", "unrun", "before"}

// workload goes through every gap a few times; it gives the ids that were open when it ended.
func (c *controller) workload(rounds int) (open []string) {
	for n := range rounds {
		id, m, ends := fmt.Sprint("a", n), fmt.Sprint("m", n), gaps[n%len(gaps)]
		if c.search(id, "mark", m, ends, 1) == ledger.ReleaseAttempt && ends == "" {
			open = append(open, id)
		}
		c.search(fmt.Sprint("l", n), "look", "", "handled", 1)
	}
	return open
}

// retries is what clients do after a crash: each mark comes again, under a new id, and would go to the other place.
func (c *controller) retries(rounds int) {
	for n := range rounds {
		c.search(fmt.Sprint("b", n), "mark", fmt.Sprint("m", n), "handled", 2)
	}
}

// copy gives engines that go on from here by themselves.
func (e *engines) copy() *engines {
	o := &engines{ran: map[string][]string{}}
	for m, places := range e.ran {
		o.ran[m] = slices.Clone(places)
	}
	return o
}

// box is an answer for a client that counts.
type box struct {
	mu      sync.Mutex
	answers map[uint64]string
}

func (b *box) put(tag uint64, what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers[tag] += what
}
func (b *box) Succeeded(tag uint64, _ []byte) { b.put(tag, "handled") }
func (b *box) Rejected(tag uint64, _ float64) { b.put(tag, "denied") }
func (b *box) Failed(tag uint64)              { b.put(tag, "written off") }
func (b *box) get(tag uint64) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answers[tag]
}
