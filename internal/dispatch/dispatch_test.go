package dispatch

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"liftshift/scheduler"
)

// script is a module that answers each kind of event with fixed actions and keeps what it was told.
type script struct {
	on   map[scheduler.EventKind][]scheduler.Action
	told []scheduler.Event
}

func (s *script) ExecutorViews(float64, []scheduler.ExecutorView) []scheduler.ExecutorView {
	return []scheduler.ExecutorView{{Executor: 7, InFlight: 3, Ejected: true}}
}

func (s *script) Step(_ float64, ev *scheduler.Event, out []scheduler.Action) []scheduler.Action {
	s.told = append(s.told, *ev)
	return append(out, s.on[ev.Kind]...)
}

// last is what the module was told last, of a kind.
func (s *script) last(kind scheduler.EventKind) *scheduler.Event {
	for k := len(s.told) - 1; k >= 0; k-- {
		if s.told[k].Kind == kind {
			return &s.told[k]
		}
	}
	return nil
}

// side plays executors and client: it keeps what it was asked for.
type side struct {
	stopped CancelResult
	held    float64
	refuse  bool
	sent    []Attempt
	did     []string
	body    string
}

func (f *side) Send(s Attempt) (RunningAttempt, float64) {
	f.sent = append(f.sent, s)
	if f.refuse {
		return nil, 0
	}
	return f, f.held
}
func (f *side) Release()                         { f.did = append(f.did, "release") }
func (f *side) HealthCheck(uint32, uint64) bool  { f.did = append(f.did, "probe"); return !f.refuse }
func (f *side) ForgetHealthCheck(uint32, uint64) { f.did = append(f.did, "unanswered") }
func (f *side) ConnectionState(uint32) ConnectionState {
	return ConnectionState{Name: "s-7", Attempts: 2}
}
func (f *side) Cancel() CancelResult         { f.did = append(f.did, "off"); return f.stopped }
func (f *side) SetLevel(int)                 { f.did = append(f.did, "level") }
func (f *side) Succeeded(_ uint64, b []byte) { f.did, f.body = append(f.did, "handled"), string(b) }
func (f *side) Rejected(uint64, float64)     { f.did = append(f.did, "denied") }
func (f *side) Failed(uint64)                { f.did = append(f.did, "written off") }

// sent is a desk whose module has sent request a to executor 7 at level 3.
func sent(f *side, on map[scheduler.EventKind][]scheduler.Action) (*Loop, *script) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	one := &script{on: map[scheduler.EventKind][]scheduler.Action{scheduler.RequestArrived: {
		{Kind: scheduler.SetResources, Request: "a", GrantMB: 64, Level: 3}, {Kind: scheduler.Send, Request: "a", Executor: 7}}}}
	for k, v := range on {
		one.on[k] = v
	}
	d := New(NewClock(), one, log)
	d.Executors, d.HealthCheckTimeoutMS = f, 250
	d.open.Add(1)
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: search0(d, f)})
	return d, one
}

func search0(d *Loop, f *side) *Request {
	return &Request{ID: "a", Class: "look", Deadline: d.clock.Now() + 1000, Client: f, Tag: 5}
}

func end(o scheduler.Outcome) QueueItem {
	return QueueItem{Event: scheduler.Event{Kind: scheduler.AttemptEnded, Request: "a", Outcome: o}, Body: []byte("rows")}
}

func TestARequestIsSentHandledAndForgotten(t *testing.T) {
	f := &side{}
	d, one := sent(f, nil)
	assert.Equal(t, []any{uint32(7), 64.0, 3, 0}, []any{f.sent[0].Executor, f.sent[0].GrantMB, f.sent[0].Level, f.sent[0].Number})
	assert.InDelta(t, 1000, f.sent[0].TimeoutMS, 900)
	d.play(end(scheduler.Succeeded))
	assert.Equal(t, "rows", f.body)
	ev := one.last(scheduler.AttemptEnded)
	assert.True(t, ev.Final)
	assert.Equal(t, uint32(7), ev.Executor)
	assert.Zero(t, d.OpenRequests())
	assert.Empty(t, d.requests)
	d.play(end(scheduler.Succeeded)) // nothing is answered twice
	assert.Equal(t, []string{"handled"}, f.did)
	assert.Equal(t, uint64(1), d.tally.Stray)
}

func TestAnAttemptHeldBackIsReleasedInItsTime(t *testing.T) {
	f := &side{held: 40}
	d, _ := sent(f, nil)
	d.due()
	assert.Empty(t, f.did)
	assert.Equal(t, releases, d.timers[0].what)
	assert.InDelta(t, d.clock.Now()+40, d.timers[0].at, 30)
	d.timers[0].at = 0
	d.timers.push(timer{at: d.clock.Now() + 1e6, what: tallies})
	d.due()
	assert.Equal(t, []string{"release"}, f.did)
}

// An answer that is in the queue when its attempt is called off counts, as long as nothing was answered.
func TestAnAnswerOnItsWayGoesBeforeACallOff(t *testing.T) {
	f := &side{stopped: AlreadyEnded}
	d, one := sent(f, map[scheduler.EventKind][]scheduler.Action{scheduler.ProgressReported: {{Kind: scheduler.Cancel, Request: "a"}}})
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.ProgressReported, Request: "a"}})
	assert.Nil(t, one.last(scheduler.AttemptEnded), "its end comes by itself")
	d.play(end(scheduler.Succeeded))
	assert.Equal(t, []string{"off", "handled"}, f.did)
}

func TestWhatACallOffComesTo(t *testing.T) {
	for stopped, want := range map[CancelResult]scheduler.Outcome{CancelSent: scheduler.Cancelled, CancelledUnsent: scheduler.NeverSent} {
		f := &side{stopped: stopped}
		d, one := sent(f, map[scheduler.EventKind][]scheduler.Action{scheduler.ProgressReported: {{Kind: scheduler.Cancel, Request: "a"},
			{Kind: scheduler.SetResources, Request: "a", Level: 1}}}) // terms for an attempt whose end stands in line
		d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.ProgressReported, Request: "a"}})
		assert.Equal(t, want, one.last(scheduler.AttemptEnded).Outcome)
		assert.Equal(t, []string{"off"}, f.did)
	}
}

func TestAnAttemptThatCannotGoOutHereIsUnsent(t *testing.T) {
	_, one := sent(&side{refuse: true}, nil)
	assert.Equal(t, scheduler.LocalFailure, one.last(scheduler.AttemptEnded).Outcome)
}

// Silence shows by the hard limit: the attempt is told as timed out, whoever forgot to look.
func TestSilenceShowsByTheHardLimit(t *testing.T) {
	f := &side{}
	d, one := sent(f, nil)
	d.expire("a")
	assert.Nil(t, one.last(scheduler.AttemptEnded), "not before it")
	d.requests["a"].Deadline = d.clock.Now() - 1
	d.expire("a")
	assert.Equal(t, scheduler.TimedOut, one.last(scheduler.AttemptEnded).Outcome)
	assert.Equal(t, uint64(1), d.tally.Overdue)
}

func TestDeniedOnceAndNothingAfter(t *testing.T) {
	f := &side{}
	d, _ := sent(f, map[scheduler.EventKind][]scheduler.Action{scheduler.ProgressReported: {{Kind: scheduler.Reject, Request: "a"},
		{Kind: scheduler.Cancel, Request: "a"}}})
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.ProgressReported, Request: "a"}})
	d.play(end(scheduler.Succeeded))
	assert.Equal(t, []string{"denied", "off"}, f.did)
	assert.Zero(t, d.OpenRequests())
}

func TestAClientEndsItsOwnRequestsAlone(t *testing.T) {
	f := &side{}
	d, one := sent(f, nil)
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}, Client: &side{}, Token: 5})
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}, Client: f, Token: 4})
	assert.Nil(t, one.last(scheduler.ClientLeft))
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}, Client: f, Token: 5})
	assert.NotNil(t, one.last(scheduler.ClientLeft))
	assert.Zero(t, d.OpenRequests())
}

func TestAnIDThatIsOpenIsFailedTheSecondTime(t *testing.T) {
	f, other := &side{}, &side{}
	d, _ := sent(f, nil)
	s := search0(d, other)
	d.open.Add(1)
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: s})
	assert.Equal(t, []string{"written off"}, other.did)
	assert.Equal(t, 1, d.OpenRequests())
	assert.Len(t, f.sent, 1)
	d.play(end(scheduler.Succeeded))
	d.open.Add(1)
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: search0(d, other)})
	assert.Len(t, f.sent, 1, "nor once the first is over: its shot would be a further one")
	assert.Len(t, d.spent, 1)
	d.expire("a")
	assert.Empty(t, d.spent, "ids are kept no longer than up to the hard limit")
}

func TestProbes(t *testing.T) {
	probe := map[scheduler.EventKind][]scheduler.Action{scheduler.TimerFired: {{Kind: scheduler.HealthCheck, Executor: 7}}}
	f := &side{}
	d, one := sent(f, probe)
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.TimerFired}})
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.HealthChecked, Executor: 7}, Token: 9})
	assert.Nil(t, one.last(scheduler.HealthChecked), "an older probe's answer")
	d.HealthCheckTimeoutMS = 0
	for d.timers[0].what != probes {
		d.timers.pop()
	}
	d.timers[0].at = d.clock.Now() - 2*stoodMS // this controller stood still: the answer may wait to be read
	d.due()
	assert.Nil(t, one.last(scheduler.HealthChecked))
	for d.timers[0].what != probes {
		d.timers.pop()
	}
	d.timers[0].at = d.clock.Now()
	d.due()
	assert.Equal(t, scheduler.TimedOut, one.last(scheduler.HealthChecked).Outcome)
	assert.Equal(t, []string{"probe", "unanswered"}, f.did)
	d, one = sent(&side{refuse: true}, probe)
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.TimerFired}})
	assert.Equal(t, scheduler.LocalFailure, one.last(scheduler.HealthChecked).Outcome)
}

func TestTimersComeInOrder(t *testing.T) {
	var h timers
	for k := range 200 {
		h.push(timer{at: float64(k * 7919 % 200)})
	}
	for k := range 200 {
		assert.Equal(t, float64(k), h.pop().at)
	}
}

func TestRunStopsAndPutNeverHangsAfter(t *testing.T) {
	d, one := sent(&side{}, map[scheduler.EventKind][]scheduler.Action{scheduler.Started: {{Kind: scheduler.SetTimer, AfterMS: 1, Token: 3}}})
	go d.Run()
	for range 2 * queueRoom {
		d.Put(QueueItem{Event: scheduler.Event{Kind: scheduler.PeerMessage}})
	}
	assert.Eventually(t, func() bool { return len(d.queue) == 0 }, 5e9, 1e6)
	d.Stop()
	assert.Equal(t, uint64(3), one.last(scheduler.TimerFired).Token)
	for range 2 * queueRoom {
		d.Put(QueueItem{})
	}
}

func TestTheClockStandsOnUnixTime(t *testing.T) {
	c := NewClock()
	a := c.Now()
	assert.InDelta(t, float64(c.start.UnixMilli()), a, 1000)
	assert.GreaterOrEqual(t, c.Now(), a)
	assert.Zero(t, c.until(a-5))
}

// What the module believes of an executor must be seen beside what passes on the sockets.
func TestBeliefsAreLoggedBesideTheSockets(t *testing.T) {
	d, _ := sent(&side{}, nil)
	var text bytes.Buffer
	log := logrus.New()
	log.SetOutput(&text)
	d.log = log
	d.compare()
	assert.Regexp(t, `belief aside=true .*executor=s-7 .*id=7 open=2 out=3`, text.String())
}

// Ids are always new: nothing is kept of a request past its hard limit, however it ended.
func TestNothingIsKeptOfRequestsThatAreOver(t *testing.T) {
	f := &side{stopped: CancelSent}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := New(NewClock(), &script{}, log)
	d.Executors = f
	for n := range 300 {
		s := search0(d, f)
		s.ID, s.Deadline = fmt.Sprint("a", n), d.clock.Now()+200
		d.open.Add(1)
		d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: s})
		d.act(d.clock.Now(), &scheduler.Action{Kind: scheduler.Send, Request: s.ID, Executor: uint32(n)})
		switch n % 3 {
		case 0:
			d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.AttemptEnded, Request: s.ID, Outcome: scheduler.Succeeded}})
		case 1:
			d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: s.ID}, Client: f, Token: s.Tag})
			d.act(d.clock.Now(), &scheduler.Action{Kind: scheduler.Cancel, Request: s.ID})
			d.rest()
		default:
			d.act(d.clock.Now(), &scheduler.Action{Kind: scheduler.Reject, Request: s.ID})
		}
	}
	time.Sleep(250 * time.Millisecond) // all hard limits go by
	d.timers.push(timer{at: d.clock.Now() + 1e6, what: tallies})
	d.due()
	assert.Equal(t, []int{0, 0, 1, 0}, []int{len(d.requests), len(d.spent), len(d.timers), d.OpenRequests()})
}

// An attempt that was stopped at the last step, as its client had gone: the module is told that the request is over, before the
// word of it has come through the queue, and sends it nowhere else.
func TestAnAttemptStoppedForAClientThatLeftIsTheLast(t *testing.T) {
	f := &side{}
	d, one := sent(f, nil)
	s := d.requests["a"]
	s.ClientGone = &atomic.Bool{}
	s.ClientGone.Store(true)
	d.play(end(scheduler.NeverSent))
	assert.True(t, one.last(scheduler.AttemptEnded).Final)
	assert.Zero(t, d.OpenRequests())
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: "a"}, Client: f, Token: 5})
	assert.Nil(t, one.last(scheduler.ClientLeft), "told once")
	assert.Equal(t, uint64(1), d.tally.ClientLeft)
	assert.Empty(t, f.did)
	assert.Len(t, f.sent, 1)
}

// What is read during a stand-still of this process, or just after it, may have come as that began.
func TestArrivalsAroundAStandStill(t *testing.T) {
	var p pulse
	assert.Equal(t, 500.0, p.arrival(500), "nothing is known before the first turn")
	p.beat(1000)
	assert.Equal(t, 1040.0, p.arrival(1040))
	assert.Equal(t, 1000.0, p.arrival(1600))
	p.beat(1600)
	assert.Equal(t, 1000.0, p.arrival(1620))
	p.beat(1620)
	p.beat(1640)
	p.beat(1655)
	assert.Equal(t, 1655.0, p.arrival(1655))
}
