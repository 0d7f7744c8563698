package ledgerstore

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"liftshift/internal/ledger"
	"liftshift/internal/store"
	"liftshift/internal/testlog"
	"liftshift/internal/vfs"
	"liftshift/scheduler"
)

// The zones and the deduplication window of the test executors.
const (
	dedupZone     = "here"  // zone of executor 1
	otherZone     = "there" // zone of executor 2
	dedupWindowMS = 20000   // time for which a zone drops repeats of an idempotency key
)

// The answers that answerRecorder records.
const (
	answerSucceeded = "succeeded"
	answerRejected  = "rejected"
	answerFailed    = "failed"
)

// testSettings returns settings with one request class of each idempotency: "look", "mark" and "once".
func testSettings() scheduler.Settings {
	s := scheduler.DefaultSettings()
	s.MaxAttempts, s.MayCancel = 4, true
	s.Kinds = []scheduler.ExecutorKind{{Name: "big", Cores: 8, MemoryMB: 16000}}
	for _, class := range []scheduler.RequestClass{
		{Name: "look", Idempotency: scheduler.Idempotent},
		{Name: "mark", Idempotency: scheduler.Keyed},
		{Name: "once", Idempotency: scheduler.NonIdempotent},
	} {
		class.DedupScope, class.DedupWindowMS, class.DeadlineMS = scheduler.DedupZone, dedupWindowMS, 5000
		class.SoftDeadlineMS, class.Value, class.LateValueShare, class.Threads = 1000, 1, 0.5, 1
		s.Classes = append(s.Classes, class)
	}
	return s
}

func ledgerSettings() ledger.Settings {
	s := ledger.DefaultSettings()
	s.Classes, s.RetentionMS = testSettings().Classes, 60000
	return s
}

var testOptions = store.Options{SegmentBytes: 4096, FlushDelay: time.Millisecond}

// runRecorder records in which zones each idempotency key ran. A zone runs a key once and drops repeats of it; it does
// not know which keys ran in the other zone.
type runRecorder struct{ zonesByKey map[string][]string }

func newRunRecorder() *runRecorder { return &runRecorder{zonesByKey: map[string][]string{}} }

// run records that an attempt with a key ran in a zone.
func (r *runRecorder) run(key, zone string) {
	if !slices.Contains(r.zonesByKey[key], zone) {
		r.zonesByKey[key] = append(r.zonesByKey[key], zone)
	}
}

// repeatedKeys returns the keys that ran more than once.
func (r *runRecorder) repeatedKeys() (keys []string) {
	for key, zones := range r.zonesByKey {
		if len(zones) > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}

// clone returns an independent copy.
func (r *runRecorder) clone() *runRecorder {
	copied := newRunRecorder()
	for key, zones := range r.zonesByKey {
		copied.zonesByKey[key] = slices.Clone(zones)
	}
	return copied
}

// testController drives a Store as the event loop does, one request at a time.
type testController struct {
	*Store
	now    float64
	stored chan ledger.Event // the events that the Store passes to onStored
	runs   *runRecorder
}

func clocksAt(ms float64) ledger.Clocks { return ledger.Clocks{WallMS: ms, UptimeMS: ms, BootID: "b"} }

// startController opens a Store and repairs it first if it is damaged, as an operator would.
func startController(disk *vfs.MemoryFS, now float64, runs *runRecorder) (*testController, error) {
	c := &testController{now: now, stored: make(chan ledger.Event, 1000), runs: runs}
	open := func() (err error) {
		c.Store, _, err = OpenAt(disk, testOptions, ledgerSettings(), func() float64 { return now }, clocksAt(now),
			func(event ledger.Event) { c.stored <- event }, testlog.Discard())
		return err
	}
	err := open()
	if err != nil {
		if _, repairErr := store.Repair(disk, testOptions); repairErr != nil {
			return nil, repairErr
		}
		err = open()
	}
	if err != nil {
		return nil, err
	}
	var endpoints []scheduler.Endpoint
	for i, zone := range []string{dedupZone, otherZone} {
		endpoints = append(endpoints, scheduler.Endpoint{Executor: uint32(i + 1), Zone: zone})
	}
	c.Step(now, &ledger.Event{Kind: ledger.EndpointsUpdated, Restored: true, Complete: true, Endpoints: endpoints})
	return c, nil
}

// requestEnd tells how far a test request gets.
type requestEnd uint8

const (
	requestSucceeds requestEnd = iota
	attemptStaysOpen
	attemptNeverRuns
	attemptNeverSent
)

var allRequestEnds = []requestEnd{requestSucceeds, attemptStaysOpen, attemptNeverRuns, attemptNeverSent}

// request receives a request, sends an attempt once its record is durable, and ends it as given. It returns the effect
// that decided on the request.
func (c *testController) request(id, class, key string, end requestEnd, executor uint32) ledger.EffectKind {
	c.now++
	effects := c.Step(c.now, &ledger.Event{
		Kind: ledger.RequestReceived, ID: id, IdempotencyKey: key, Class: class, Deadline: c.now + 5000,
	})
	first := effects[0]
	if first.Kind != ledger.Admit || end == attemptNeverSent {
		return first.Kind
	}
	zone := []string{dedupZone, otherZone}[executor-1]
	if first.Prior.At != 0 {
		if c.now > first.Prior.At+dedupWindowMS {
			return first.Kind // the scheduler would never send an attempt
		}
		zone = first.Prior.Zone
		executor = map[string]uint32{dedupZone: 1, otherZone: 2}[zone]
	}
	effects = c.startAttempt(id, executor, zone)
	if len(effects) > 0 && effects[len(effects)-1].Kind == ledger.FailAttempt {
		c.Step(c.now, &ledger.Event{Kind: ledger.AttemptEnded, ID: id, NeverRan: true})
		c.Step(c.now, &ledger.Event{Kind: ledger.RequestClosed, ID: id, Outcome: ledger.Rejected})
		return ledger.FailAttempt
	}
	if end != attemptNeverRuns && key != "" {
		c.runs.run(key, zone)
	}
	if end != attemptStaysOpen {
		c.Step(c.now, &ledger.Event{Kind: ledger.AttemptEnded, ID: id, NeverRan: end == attemptNeverRuns})
	}
	if end == requestSucceeds {
		c.Step(c.now, &ledger.Event{
			Kind: ledger.RequestClosed, ID: id, Outcome: ledger.Succeeded, Body: []byte("rows"),
		})
	}
	return ledger.ReleaseAttempt
}

// startAttempt starts an attempt and returns its effects. If the attempt is held, it returns those that end the hold.
func (c *testController) startAttempt(id string, executor uint32, zone string) []ledger.Effect {
	starting := &ledger.Event{Kind: ledger.AttemptStarting, ID: id, Executor: executor, Zone: zone}
	effects := slices.Clone(c.Step(c.now, starting))
	for len(effects) == 1 && effects[0].Kind == ledger.HoldAttempt {
		event := <-c.stored
		effects = slices.Clone(c.Step(c.now, &event))
		if len(effects) == 0 {
			effects = []ledger.Effect{{Kind: ledger.HoldAttempt}}
		}
	}
	return effects
}

// workload runs requests that end in each way in turn, and returns the IDs of those whose attempts stay open.
func (c *testController) workload(rounds int) (open []string) {
	for round := range rounds {
		id, key, end := fmt.Sprint("a", round), fmt.Sprint("m", round), allRequestEnds[round%len(allRequestEnds)]
		if c.request(id, "mark", key, end, 1) == ledger.ReleaseAttempt && end == attemptStaysOpen {
			open = append(open, id)
		}
		c.request(fmt.Sprint("l", round), "look", "", requestSucceeds, 1)
	}
	return open
}

// retryKeys sends each key of a workload again, as clients do after a crash: under a new request ID and to the executor
// of the other zone.
func (c *testController) retryKeys(rounds int) {
	for round := range rounds {
		c.request(fmt.Sprint("b", round), "mark", fmt.Sprint("m", round), requestSucceeds, 2)
	}
}

// answerRecorder is a client that records the answers to its requests by their tags.
type answerRecorder struct {
	mu      sync.Mutex
	answers map[uint64]string
}

// record appends an answer, so that a second answer to the same request shows.
func (r *answerRecorder) record(tag uint64, answer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[tag] += answer
}

// Succeeded implements dispatch.Client.
func (r *answerRecorder) Succeeded(tag uint64, _ []byte) { r.record(tag, answerSucceeded) }

// Rejected implements dispatch.Client.
func (r *answerRecorder) Rejected(tag uint64, _ float64) { r.record(tag, answerRejected) }

// Failed implements dispatch.Client.
func (r *answerRecorder) Failed(tag uint64) { r.record(tag, answerFailed) }

// answer returns the recorded answer to a request, or "".
func (r *answerRecorder) answer(tag uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers[tag]
}
