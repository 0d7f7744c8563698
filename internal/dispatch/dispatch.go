// Package dispatch keeps what is in memory: the open requests and their attempts, the timers, the decision module and
// its clock. One goroutine owns all of it (Run); socket code reaches it through Put alone, and what it asks of
// the sockets in turn only lines up there, so that it never waits for one.
package dispatch

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/invariant"
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// Client is who gets the answer of a request. Tag is the client's own name for it.
type Client interface {
	Handled(tag uint64, body []byte)
	Denied(tag uint64, afterMS float64)
	Failed(tag uint64)
}

// Request is what a front hands over.
type Request struct {
	ID       string
	Offering string
	Key      string // of order
	Mark     string // against repeats
	Group    uint64
	NeedMB   float64
	WorkMS   float64
	Until    float64 // clock at which the client gives up
	Team     string  // whose it is, as the client says
	From     netip.Addr
	Schema   string
	Waits    bool // the client wants to be told how long it will wait
	Repeat   bool
	Body     []byte // goes on as it came
	Client   Client
	Tag      uint64
	Gone     *atomic.Bool // set as soon as its client is known to wait no more, before the word of it comes through the queue; nil: nobody may
	Half     *atomic.Bool // set before Gone where the client has only ended its writing side and may still read its answer
}

// Forsaken tells whether its client is known to wait no more.
func (s *Request) Forsaken() bool { return s.Gone != nil && s.Gone.Load() }

// halfClosed tells whether its client, which has ended its writing side, still gets an answer.
func (s *Request) halfClosed() bool { return s.Half != nil && s.Half.Load() }

// Attempt is one attempt as the executors' side gets it.
type Attempt struct {
	Request  *Request
	N        int
	Executor uint32
	GrantMB  float64
	Level    int
	MaxMS    float64
	By       float64 // clock until which it may leave; 0: any time
	Held     bool    // it leaves only at Release
}

// Stopped tells what calling off an attempt came to.
type Stopped uint8

// What calling off comes to.
const (
	Halted  Stopped = iota // it may have run
	Unsent                 // it never left
	Decided                // its end is in the queue already
)

// Run is an attempt under way. Its methods never wait. One that was held back goes out at Release.
type Run interface {
	Release()
	CallOff() Stopped
	Relevel(level int)
}

// Regranter is a Run whose memory can be changed while it is under way; not every protocol can.
type Regranter interface{ Regrant(mb float64) }

// Executors carries attempts and probes. Its methods never wait; ends come back through Put. A nil Run
// means that there was no way to send; one held back is to be released so many ms later.
type Executors interface {
	Send(shot Attempt) (run Run, heldMS float64)
	Probe(executor uint32, token uint64) bool
	Unanswered(executor uint32, token uint64) // a probe that nobody waits for any more
	Holds(executor uint32) Holding
}

// Holding is what the sockets have of one executor, to compare with what the module believes.
type Holding struct {
	Name                  string // empty: not listed
	Attempts, Connections int
	QuietMS               float64 // since anything was written or read; below 0: no connection
}

// believer is a module that tells what it holds of executors.
type believer interface {
	Beliefs(now float64, out []scheduler.Belief) []scheduler.Belief
}

// The other sides of a desk.
type (
	// Peers carries messages to other controllers.
	Peers interface{ Tell(peer int, data []byte) }
	// List asks for news of the list of executors.
	List interface{ Ask() }
)

// Item is one thing in the queue: an event for the module, and what belongs to it.
type Item struct {
	Event   scheduler.Event
	Request *Request // Taken
	Body    []byte   // Ended: the answer
	Client  Client   // Left: who left
	Token   uint64   // Probed: which probe; Left: the tag of the request
	Note    any      // for the part whose it is
	Ask     *Question
	Call    func(now float64) // for the operators' tools: looks at what the desk's goroutine owns, and must not wait
	at      float64

	resumed bool // Taken: it has awaited what others say, or was adopted
}

const (
	queueRoom = 1024  // items in the queue before socket code waits
	tallyMS   = 10000 // ms between two lines of counters
	tickMS    = 100   // ms between two ticks of the memory
	stoodMS   = 50    // ms by which a timer is late only if the whole controller stood still
)

// mostShots is the room for attempts of one request; the module never sends more.
const mostAttempts = 8

type attempt struct {
	run      Run
	executor uint32
	sent     float64
	due      float64 // when it may leave, as far as the sockets go
	holds    int     // parts that hold it
	out      bool
}

type request struct {
	Request
	prior    scheduler.Prior // what may have run under its mark
	barred   bool
	inLine   bool // the module does not have it yet
	attempts [mostAttempts]attempt
	fired    int
	out      int
	level    int
	grant    float64
	answered bool
	ending   bool // a part keeps its answer back
}

// Desk is the owner of the module.
type Desk struct {
	Executors Executors
	Peers     Peers
	List      List
	ProbeMS   float64     // how long a probe is waited for
	Gate      func() bool // asked at the last step before an attempt that was held leaves; nil: it may

	clock    Clock
	one      scheduler.Instance
	log      logrus.FieldLogger
	queue    chan Item
	stop     chan struct{}
	done     chan struct{}
	requests map[string]*request
	awaiting map[string]*Request // that wait for what others say
	spent    map[string]struct{} // ids of requests that are over, until their hard limit: ids are always new
	free     []*request
	timers   timers
	probes   map[uint32]uint64 // the probe out at each executor
	token    uint64
	later    []Item // ends that came of the module's own actions
	actions  []scheduler.Action
	tally    Tally
	offers   []Follow // what parts offer, in order
	parts    []Part   // beside the module; none: it gets every request as it comes, and a crash forgets all
	follows  []Follow
	beliefs  []scheduler.Belief
	figures  []scheduler.Figure
	open     atomic.Int64
	pulse    pulse
}

// New returns a Desk for one instance of the module.
func New(clock Clock, one scheduler.Instance, log logrus.FieldLogger) *Desk {
	return &Desk{clock: clock, one: one, log: log, queue: make(chan Item, queueRoom), stop: make(chan struct{}),
		done: make(chan struct{}), requests: map[string]*request{}, awaiting: map[string]*Request{}, spent: map[string]struct{}{}, probes: map[uint32]uint64{}}
}

// Put lines up an item; it waits while the queue is full.
func (d *Desk) Put(it Item) {
	it.at = d.clock.Now()
	select {
	case d.queue <- it:
	case <-d.done:
	}
}

// TryPut lines up an item, or tells that the queue is full: for who must not wait, and will be asked again.
func (d *Desk) TryPut(it Item) bool {
	it.at = d.clock.Now()
	select {
	case d.queue <- it:
		return true
	default:
		return false
	}
}

// Open tells how many requests have been taken and not answered, those still in the queue included.
func (d *Desk) Open() int { return int(d.open.Load()) }

// Take lines up a request.
func (d *Desk) Take(s *Request) {
	d.open.Add(1)
	d.Put(Item{Event: scheduler.Event{Kind: scheduler.Taken}, Request: s})
}

// Close tells the module that this controller stops: all that has been taken must be answered by then.
func (d *Desk) Close(by float64) {
	d.Put(Item{Event: scheduler.Event{Kind: scheduler.Closing, Until: by}})
}

// Arrival gives the earliest clock at which what is read now may have come; it may be called from anywhere.
func (d *Desk) Arrival(now float64) float64 { return d.pulse.arrival(now) }

// Do has a call made on the desk's goroutine and waits for it; false if the desk has ended.
func (d *Desk) Do(call func(now float64)) bool {
	made := make(chan struct{})
	d.Put(Item{Call: func(now float64) { call(now); close(made) }})
	select {
	case <-made:
		return true
	case <-d.done:
		return false
	}
}

// Stop ends Run and waits for it.
func (d *Desk) Stop() {
	close(d.stop)
	<-d.done
}

// Run plays all that comes to the module, until Stop. What has come goes before what is due: signs of work
// that wait in the queue must not be overtaken by a look at who showed none.
func (d *Desk) Run() {
	defer close(d.done)
	alarm, armed := time.NewTimer(time.Hour), 0.0
	defer alarm.Stop()
	d.play(Item{Event: scheduler.Event{Kind: scheduler.Began}, at: d.clock.Now()})
	d.timers.push(timer{at: d.clock.Now() + tallyMS, what: tallies})
	if len(d.parts) > 0 {
		d.timers.push(timer{at: d.clock.Now() + tickMS, what: ticks})
	}
	for {
		d.pulse.beat(d.clock.Now())
		for n := len(d.queue); n > 0; n-- {
			d.play(<-d.queue)
		}
		d.due()
		if next := d.timers[0].at; next != armed {
			armed = next
			alarm.Reset(d.clock.until(next))
		}
		select {
		case it := <-d.queue:
			d.play(it)
		case <-alarm.C:
			armed = 0
		case <-d.stop:
			d.tell("end")
			d.compare()
			return
		}
	}
}

// due plays the timers whose time has come.
func (d *Desk) due() {
	for now := d.clock.Now(); d.timers[0].at <= now; {
		switch t := d.timers.pop(); t.what {
		case wakes:
			d.play(Item{Event: scheduler.Event{Kind: scheduler.Rang, Token: t.token}, at: t.at})
		case limits:
			d.expire(t.request)
		case releases:
			t.run.Release()
		case probes:
			if d.probes[t.executor] != t.token {
				break
			}
			// Where the controller itself stood still, the answer may be there and not yet be read: it gets its chance.
			if now-t.at > stoodMS {
				t.at = now + stoodMS
				d.timers.push(t)
			} else {
				d.Executors.Unanswered(t.executor, t.token)
				d.play(Item{Event: scheduler.Event{Kind: scheduler.Probed, Executor: t.executor, Outcome: scheduler.TimedOut,
					TookMS: d.ProbeMS}, Token: t.token, at: t.at})
			}
		case ticks:
			d.timers.push(timer{at: now + tickMS, what: ticks})
			d.tick()
		case tallies:
			d.tell("tally")
			d.compare()
			d.timers.push(timer{at: now + tallyMS, what: tallies})
		}
		if len(d.timers) == 0 {
			return
		}
	}
}

// play hands an item to the module, then all that comes of it.
func (d *Desk) play(it Item) {
	d.tally.waited(d.clock.Now() - it.at)
	switch {
	case it.Note != nil:
		d.happen(Happening{Kind: Told, Note: it.Note})
	case it.Ask != nil:
		d.ask(it.Ask)
	case it.Call != nil:
		it.Call(d.clock.Now())
	case it.Event.Kind == scheduler.Heard && d.happen(Happening{Kind: Letter, Peer: it.Event.FromPeer, Data: it.Event.Data}).mine:
	default:
		d.hand(it)
	}
	d.rest()
}

// rest hands over the ends that came of the module's own actions.
func (d *Desk) rest() {
	for {
		switch {
		case len(d.later) > 0:
			next := d.later[0]
			d.later = append(d.later[:0], d.later[1:]...)
			d.hand(next)
		case len(d.offers) > 0:
			next := d.offers[0]
			d.offers = append(d.offers[:0], d.offers[1:]...)
			d.offer(&next)
		default:
			return
		}
	}
}

func (d *Desk) hand(it Item) {
	ev := &it.Event
	var s *request
	switch ev.Kind {
	case scheduler.Taken:
		if s = d.take(it.Request, ev, it.resumed); s == nil {
			return
		}
		if d.happen(Happening{Kind: Entered, Request: &s.Request}).detain {
			s.inLine = true
			return
		}
	case scheduler.Left:
		if in := d.awaiting[ev.Request]; in != nil && in.Client == it.Client && in.Tag == it.Token {
			delete(d.awaiting, ev.Request)
			d.open.Add(-1)
			d.tally.Left++
			d.happen(Happening{Kind: Departed, Request: in})
			if ev.HalfClosed {
				in.Client.Failed(in.Tag)
			}
			return
		}
		if s = d.requests[ev.Request]; s == nil || s.Client != it.Client || s.Tag != it.Token || s.answered {
			return
		}
		if ev.HalfClosed && s.inLine { // the module does not have it yet: it gets it to be turned away
			d.offer(&Follow{Kind: Offer, ID: s.ID, Barred: true})
			return
		}
		if !ev.HalfClosed { // else the module gives it its answer
			d.answered(s, ledger.Left, nil, 0)
			d.tally.Left++
		}
	case scheduler.Ended:
		if s = d.settle(ev); s == nil {
			d.tally.Stray++
			return
		}
		if ev.Outcome == scheduler.Superseded && !s.answered && s.Forsaken() { // the word of it still stands in the queue
			if ev.Barred = ev.Barred || s.halfClosed(); !s.halfClosed() {
				d.answered(s, ledger.Left, nil, 0)
				d.tally.Left++
			}
		}
		if ev.Outcome == scheduler.Handled && !s.answered {
			d.conclude(s, ledger.Handled, it.Body, 0, ev.SpentMS)
			d.tally.Handled++
		}
		ev.Over = s.answered
	case scheduler.Probed:
		if d.probes[ev.Executor] != it.Token {
			d.tally.Stray++
			return
		}
		delete(d.probes, ev.Executor)
	case scheduler.Noted:
		if s = d.requests[ev.Request]; s == nil || ev.Attempt >= s.fired || !s.attempts[ev.Attempt].out {
			d.tally.Stray++
			return
		}
	}
	d.step(ev)
	if s != nil {
		d.release(s)
	}
	if ev.Kind == scheduler.Listed && ev.List != scheduler.NoList {
		d.happen(Happening{Kind: ListNews, List: ev})
	} else if ev.Kind == scheduler.Listed {
		d.happen(Happening{Kind: ListLost})
	} else if ev.Kind == scheduler.Closing {
		d.happen(Happening{Kind: Stopping})
	}
}

// step plays an event to the module and does what it asks for.
func (d *Desk) step(ev *scheduler.Event) {
	now := d.clock.Now()
	d.actions = d.one.Step(now, ev, d.actions[:0])
	d.tally.stepped(d.clock.Now() - now)
	for i := range d.actions {
		d.act(now, &d.actions[i])
	}
}

// take enters a request. One whose id is still known gets a failure: the first of that id goes on. That holds for an
// id given back or answered, too, up to its hard limit: run anew, each copy would count as a further attempt.
func (d *Desk) take(in *Request, ev *scheduler.Event, resumed bool) *request {
	_, spent := d.spent[in.ID]
	if !resumed {
		d.tally.Taken++
		if len(d.parts) > 0 && d.requests[in.ID] == nil && d.awaiting[in.ID] == nil && !spent && d.awaits(in) {
			return nil
		}
	}
	if d.requests[in.ID] == nil && d.awaiting[in.ID] == nil {
		v := d.happen(Happening{Kind: Came, Request: in, Prior: ev.Prior})
		if v.answer != nil {
			d.told(in, v.answer)
			if resumed {
				d.happen(Happening{Kind: Closed, Request: in, Outcome: v.answer.Outcome, Body: v.answer.Body})
			}
			return nil
		}
		ev.Barred = ev.Barred || v.barred
		if v.prior.At != 0 && (ev.Prior.At == 0 || v.prior.At < ev.Prior.At) {
			ev.Prior = v.prior
		}
	}
	if spent || d.requests[in.ID] != nil || d.awaiting[in.ID] != nil {
		in.Client.Failed(in.Tag)
		d.open.Add(-1)
		d.tally.Twice++
		if resumed {
			d.happen(Happening{Kind: Closed, Request: in, Outcome: ledger.WrittenOff})
		}
		return nil
	}
	var s *request
	if n := len(d.free); n > 0 {
		s, d.free = d.free[n-1], d.free[:n-1]
	} else {
		s = &request{}
	}
	*s = request{Request: *in}
	d.requests[in.ID] = s
	s.prior, s.barred = ev.Prior, ev.Barred
	ev.Request, ev.Offering, ev.Group, ev.Key, ev.NeedMB = in.ID, in.Offering, in.Group, in.Key, in.NeedMB
	ev.WorkMS, ev.Until, ev.Repeat = in.WorkMS, in.Until, in.Repeat
	d.timers.push(timer{at: in.Until, what: limits, request: in.ID})
	return s
}

// awaits tells whether a request waits for what others say, or has been answered by that already.
func (d *Desk) awaits(in *Request) bool {
	d.awaiting[in.ID] = in // what follows may be said at once
	if d.happen(Happening{Kind: Arriving, Request: in}).await || d.awaiting[in.ID] == nil {
		return true
	}
	delete(d.awaiting, in.ID)
	return false
}

// settle books the end of an attempt; nil if that has ended before.
func (d *Desk) settle(ev *scheduler.Event) *request {
	s := d.requests[ev.Request]
	if s == nil || ev.Attempt >= s.fired || !s.attempts[ev.Attempt].out {
		return nil
	}
	h := &s.attempts[ev.Attempt]
	h.out, s.out, h.run = false, s.out-1, nil
	ev.Executor, ev.TookMS = h.executor, d.clock.Now()-h.sent
	d.tally.Ends[ev.Outcome]++
	d.happen(Happening{Kind: ShotOver, Request: &s.Request, Attempt: ev.Attempt, Unrun: ev.Outcome.NeverRan()})
	return s
}

func (d *Desk) answered(s *request, as ledger.Outcome, body []byte, spentMS float64) {
	if invariant.That(!s.answered, "a search is answered once") {
		s.answered = true
		d.open.Add(-1)
		d.happen(Happening{Kind: Closed, Request: &s.Request, Outcome: as, Body: body, SpentMS: spentMS})
	}
}

// release forgets a request that is answered and has no attempt out.
func (d *Desk) release(s *request) {
	if s.answered && !s.ending && s.out == 0 && d.requests[s.ID] == s {
		delete(d.requests, s.ID)
		if d.clock.Now() < s.Until { // its timer is still to come
			d.spent[s.ID] = struct{}{}
		}
		*s = request{}
		d.free = append(d.free, s)
	}
}

// act does what the module asks for.
func (d *Desk) act(now float64, a *scheduler.Action) {
	switch a.Kind {
	case scheduler.Wake:
		d.timers.push(timer{at: now + a.AfterMS, what: wakes, token: a.Token})
		return
	case scheduler.Probe:
		d.token++
		d.tally.Probes++
		d.probes[a.Executor] = d.token
		if !d.Executors.Probe(a.Executor, d.token) {
			d.later = append(d.later, Item{Event: scheduler.Event{Kind: scheduler.Probed, Executor: a.Executor,
				Outcome: scheduler.Unsent}, Token: d.token})
		}
		d.timers.push(timer{at: now + d.ProbeMS, what: probes, token: d.token, executor: a.Executor})
		return
	case scheduler.Listen:
		d.List.Ask()
		return
	case scheduler.Tell:
		d.Peers.Tell(a.Peer, a.Data)
		return
	case scheduler.Log:
		d.log.WithField("says", a.Text).Info("module")
		return
	}
	s := d.requests[a.Request]
	if !invariant.That(s != nil, "the module names open searches") {
		return
	}
	switch a.Kind {
	case scheduler.Send:
		d.send(now, s, a)
	case scheduler.Back:
		s.inLine = true
		d.happen(Happening{Kind: GivenBack, Request: &s.Request})
	case scheduler.Terms:
		if s.grant != a.GrantMB {
			s.grant = a.GrantMB
			for k := range s.fired {
				if r, ok := s.attempts[k].run.(Regranter); ok {
					r.Regrant(a.GrantMB)
				}
			}
		}
		if s.level != a.Level {
			s.level = a.Level
			for k := range s.fired {
				if s.attempts[k].run != nil {
					s.attempts[k].run.Relevel(a.Level)
				}
			}
		}
	case scheduler.CallOff:
		if a.Attempt < s.fired && s.attempts[a.Attempt].out {
			d.halt(s, a.Attempt, scheduler.Recalled)
		}
	case scheduler.Deny, scheduler.Fail:
		if s.answered {
			return
		}
		d.tally.turnedAway(a.Kind, s.halfClosed())
		if a.Kind == scheduler.Deny {
			d.conclude(s, ledger.Denied, nil, d.happen(Happening{Kind: Denying, Request: &s.Request, AfterMS: a.AfterMS}).afterMS, 0)
		} else {
			d.conclude(s, ledger.WrittenOff, nil, 0, 0)
		}
	}
}

func (d *Desk) send(now float64, s *request, a *scheduler.Action) {
	if !invariant.That(s.fired < mostAttempts && !s.answered, "shots go out for open searches alone") {
		return
	}
	n := s.fired
	v := d.happen(Happening{Kind: Firing, Request: &s.Request, Attempt: n, Executor: a.Executor})
	kept := v.holds > 0
	run, held := d.Executors.Send(Attempt{Request: &s.Request, N: n, Executor: a.Executor, GrantMB: s.grant,
		Level: s.level, MaxMS: s.Until - now, By: a.By, Held: kept})
	s.attempts[n] = attempt{run: run, executor: a.Executor, sent: now, due: now + held, holds: v.holds, out: true}
	s.fired, s.out = n+1, s.out+1
	d.happen(Happening{Kind: Fired, Request: &s.Request, Attempt: n, Executor: a.Executor, GrantMB: s.grant})
	if run == nil {
		d.end(s, n, scheduler.Unsent)
	} else if v.forbid {
		d.withhold(s.ID, n) // its record could not even be lined up
	} else if kept {
		return // until its record lasts
	} else if held > 0 {
		d.timers.push(timer{at: now + held, what: releases, run: run})
	}
}

// halt calls an attempt off and lines up its end, unless that is on its way.
func (d *Desk) halt(s *request, n int, as scheduler.Outcome) {
	if s.attempts[n].run == nil {
		return // its end stands in line
	}
	switch s.attempts[n].run.CallOff() {
	case Halted:
		d.end(s, n, as)
	case Unsent:
		d.end(s, n, scheduler.Superseded)
	}
}

func (d *Desk) end(s *request, n int, as scheduler.Outcome) {
	s.attempts[n].run = nil
	d.later = append(d.later, Item{Event: scheduler.Event{Kind: scheduler.Ended, Request: s.ID, Attempt: n, Outcome: as}})
}

// expire ends the attempts of a request whose hard limit has come: silence shows by then at the latest.
func (d *Desk) expire(id string) {
	delete(d.spent, id)
	s := d.requests[id]
	if s == nil || d.clock.Now() < s.Until {
		return
	}
	if !s.answered {
		d.tally.Late++
	}
	for n := range s.fired {
		if s.attempts[n].out {
			d.halt(s, n, scheduler.TimedOut)
		}
	}
	d.rest()
}
