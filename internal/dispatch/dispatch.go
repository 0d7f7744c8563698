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
	Succeeded(tag uint64, body []byte)
	Rejected(tag uint64, afterMS float64)
	Failed(tag uint64)
}

// Request is what a front hands over.
type Request struct {
	ID                string
	Class             string
	OrderKey          string // of order
	IdempotencyKey    string // against repeats
	TableGroup        uint64
	MemoryMB          float64
	WorkMS            float64
	Deadline          float64 // clock at which the client gives up
	Team              string  // whose it is, as the client says
	ClientAddr        netip.Addr
	Schema            string
	WantsWaitEstimate bool // the client wants to be told how long it will wait
	Retried           bool
	Body              []byte // goes on as it came
	Client            Client
	Tag               uint64
	ClientGone        *atomic.Bool // set as soon as its client is known to wait no more, before the word of it comes through the queue; nil: nobody may
	HalfClosed        *atomic.Bool // set before Gone where the client has only ended its writing side and may still read its answer
}

// Abandoned tells whether its client is known to wait no more.
func (s *Request) Abandoned() bool { return s.ClientGone != nil && s.ClientGone.Load() }

// halfClosed tells whether its client, which has ended its writing side, still gets an answer.
func (s *Request) halfClosed() bool { return s.HalfClosed != nil && s.HalfClosed.Load() }

// Attempt is one attempt as the executors' side gets it.
type Attempt struct {
	Request     *Request
	Number      int
	Executor    uint32
	GrantMB     float64
	Level       int
	TimeoutMS   float64
	LatestStart float64 // clock until which it may leave; 0: any time
	Held        bool    // it leaves only at Release
}

// CancelResult tells what calling off an attempt came to.
type CancelResult uint8

// What calling off comes to.
const (
	CancelSent      CancelResult = iota // it may have run
	CancelledUnsent                     // it never left
	AlreadyEnded                        // its end is in the queue already
)

// RunningAttempt is an attempt under way. Its methods never wait. One that was held back goes out at Release.
type RunningAttempt interface {
	Release()
	Cancel() CancelResult
	SetLevel(level int)
}

// MemorySetter is a Run whose memory can be changed while it is under way; not every protocol can.
type MemorySetter interface{ SetMemory(mb float64) }

// ExecutorTransport carries attempts and probes. Its methods never wait; ends come back through Put. A nil Run
// means that there was no way to send; one held back is to be released so many ms later.
type ExecutorTransport interface {
	Send(shot Attempt) (run RunningAttempt, heldMS float64)
	HealthCheck(executor uint32, token uint64) bool
	ForgetHealthCheck(executor uint32, token uint64) // a probe that nobody waits for any more
	ConnectionState(executor uint32) ConnectionState
}

// ConnectionState is what the sockets have of one executor, to compare with what the module believes.
type ConnectionState struct {
	Name                  string // empty: not listed
	Attempts, Connections int
	IdleMS                float64 // since anything was written or read; below 0: no connection
}

// stateReporter is a module that tells what it holds of executors.
type stateReporter interface {
	ExecutorViews(now float64, out []scheduler.ExecutorView) []scheduler.ExecutorView
}

// The other sides of a desk.
type (
	// PeerSender carries messages to other controllers.
	PeerSender interface{ SendPeer(peer int, data []byte) }
	// ListWatcher asks for news of the list of executors.
	ListWatcher interface{ Refresh() }
)

// QueueItem is one thing in the queue: an event for the module, and what belongs to it.
type QueueItem struct {
	Event   scheduler.Event
	Request *Request // Taken
	Body    []byte   // Ended: the answer
	Client  Client   // Left: who left
	Token   uint64   // Probed: which probe; Left: the tag of the request
	Message any      // for the part whose it is
	Query   *OutcomeQuery
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
	run      RunningAttempt
	executor uint32
	sent     float64
	due      float64 // when it may leave, as far as the sockets go
	holds    int     // parts that hold it
	out      bool
}

type request struct {
	Request
	prior    scheduler.PriorAttempt // what may have run under its mark
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

// Loop is the owner of the module.
type Loop struct {
	Executors            ExecutorTransport
	Peers                PeerSender
	List                 ListWatcher
	HealthCheckTimeoutMS float64     // how long a probe is waited for
	LeaseHeld            func() bool // asked at the last step before an attempt that was held leaves; nil: it may

	clock    Clock
	one      scheduler.Policy
	log      logrus.FieldLogger
	queue    chan QueueItem
	stop     chan struct{}
	done     chan struct{}
	requests map[string]*request
	awaiting map[string]*Request // that wait for what others say
	spent    map[string]struct{} // ids of requests that are over, until their hard limit: ids are always new
	free     []*request
	timers   timers
	probes   map[uint32]uint64 // the probe out at each executor
	token    uint64
	later    []QueueItem // ends that came of the module's own actions
	actions  []scheduler.Action
	tally    Counters
	offers   []Command   // what parts offer, in order
	parts    []Extension // beside the module; none: it gets every request as it comes, and a crash forgets all
	follows  []Command
	beliefs  []scheduler.ExecutorView
	figures  []scheduler.Estimate
	open     atomic.Int64
	pulse    pulse
}

// New returns a Desk for one instance of the module.
func New(clock Clock, one scheduler.Policy, log logrus.FieldLogger) *Loop {
	return &Loop{clock: clock, one: one, log: log, queue: make(chan QueueItem, queueRoom), stop: make(chan struct{}),
		done: make(chan struct{}), requests: map[string]*request{}, awaiting: map[string]*Request{}, spent: map[string]struct{}{}, probes: map[uint32]uint64{}}
}

// Put lines up an item; it waits while the queue is full.
func (d *Loop) Put(it QueueItem) {
	it.at = d.clock.Now()
	select {
	case d.queue <- it:
	case <-d.done:
	}
}

// TryPut lines up an item, or tells that the queue is full: for who must not wait, and will be asked again.
func (d *Loop) TryPut(it QueueItem) bool {
	it.at = d.clock.Now()
	select {
	case d.queue <- it:
		return true
	default:
		return false
	}
}

// OpenRequests tells how many requests have been taken and not answered, those still in the queue included.
func (d *Loop) OpenRequests() int { return int(d.open.Load()) }

// Submit lines up a request.
func (d *Loop) Submit(s *Request) {
	d.open.Add(1)
	d.Put(QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived}, Request: s})
}

// BeginShutdown tells the module that this controller stops: all that has been taken must be answered by then.
func (d *Loop) BeginShutdown(by float64) {
	d.Put(QueueItem{Event: scheduler.Event{Kind: scheduler.ShutdownStarted, Deadline: by}})
}

// Arrival gives the earliest clock at which what is read now may have come; it may be called from anywhere.
func (d *Loop) Arrival(now float64) float64 { return d.pulse.arrival(now) }

// Call has a call made on the desk's goroutine and waits for it; false if the desk has ended.
func (d *Loop) Call(call func(now float64)) bool {
	made := make(chan struct{})
	d.Put(QueueItem{Call: func(now float64) { call(now); close(made) }})
	select {
	case <-made:
		return true
	case <-d.done:
		return false
	}
}

// Stop ends Run and waits for it.
func (d *Loop) Stop() {
	close(d.stop)
	<-d.done
}

// Run plays all that comes to the module, until Stop. What has come goes before what is due: signs of work
// that wait in the queue must not be overtaken by a look at who showed none.
func (d *Loop) Run() {
	defer close(d.done)
	alarm, armed := time.NewTimer(time.Hour), 0.0
	defer alarm.Stop()
	d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.Started}, at: d.clock.Now()})
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
func (d *Loop) due() {
	for now := d.clock.Now(); d.timers[0].at <= now; {
		switch t := d.timers.pop(); t.what {
		case wakes:
			d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.TimerFired, Token: t.token}, at: t.at})
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
				d.Executors.ForgetHealthCheck(t.executor, t.token)
				d.play(QueueItem{Event: scheduler.Event{Kind: scheduler.HealthChecked, Executor: t.executor, Outcome: scheduler.TimedOut,
					ElapsedMS: d.HealthCheckTimeoutMS}, Token: t.token, at: t.at})
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
func (d *Loop) play(it QueueItem) {
	d.tally.waited(d.clock.Now() - it.at)
	switch {
	case it.Message != nil:
		d.happen(Event{Kind: MessagePosted, Message: it.Message})
	case it.Query != nil:
		d.ask(it.Query)
	case it.Call != nil:
		it.Call(d.clock.Now())
	case it.Event.Kind == scheduler.PeerMessage && d.happen(Event{Kind: PeerMessage, Peer: it.Event.FromPeer, Payload: it.Event.Payload}).mine:
	default:
		d.hand(it)
	}
	d.rest()
}

// rest hands over the ends that came of the module's own actions.
func (d *Loop) rest() {
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

func (d *Loop) hand(it QueueItem) {
	ev := &it.Event
	var s *request
	switch ev.Kind {
	case scheduler.RequestArrived:
		if s = d.take(it.Request, ev, it.resumed); s == nil {
			return
		}
		if d.happen(Event{Kind: RequestEntered, Request: &s.Request}).detain {
			s.inLine = true
			return
		}
	case scheduler.ClientLeft:
		if in := d.awaiting[ev.Request]; in != nil && in.Client == it.Client && in.Tag == it.Token {
			delete(d.awaiting, ev.Request)
			d.open.Add(-1)
			d.tally.ClientLeft++
			d.happen(Event{Kind: SuspendedClientLeft, Request: in})
			if ev.HalfClosed {
				in.Client.Failed(in.Tag)
			}
			return
		}
		if s = d.requests[ev.Request]; s == nil || s.Client != it.Client || s.Tag != it.Token || s.answered {
			return
		}
		if ev.HalfClosed && s.inLine { // the module does not have it yet: it gets it to be turned away
			d.offer(&Command{Kind: OfferRequest, ID: s.ID, Blocked: true})
			return
		}
		if !ev.HalfClosed { // else the module gives it its answer
			d.answered(s, ledger.Abandoned, nil, 0)
			d.tally.ClientLeft++
		}
	case scheduler.AttemptEnded:
		if s = d.settle(ev); s == nil {
			d.tally.Stray++
			return
		}
		if ev.Outcome == scheduler.NeverSent && !s.answered && s.Abandoned() { // the word of it still stands in the queue
			if ev.Blocked = ev.Blocked || s.halfClosed(); !s.halfClosed() {
				d.answered(s, ledger.Abandoned, nil, 0)
				d.tally.ClientLeft++
			}
		}
		if ev.Outcome == scheduler.Succeeded && !s.answered {
			d.conclude(s, ledger.Succeeded, it.Body, 0, ev.CostMS)
			d.tally.Succeeded++
		}
		ev.Final = s.answered
	case scheduler.HealthChecked:
		if d.probes[ev.Executor] != it.Token {
			d.tally.Stray++
			return
		}
		delete(d.probes, ev.Executor)
	case scheduler.ProgressReported:
		if s = d.requests[ev.Request]; s == nil || ev.Attempt >= s.fired || !s.attempts[ev.Attempt].out {
			d.tally.Stray++
			return
		}
	}
	d.step(ev)
	if s != nil {
		d.release(s)
	}
	if ev.Kind == scheduler.EndpointsUpdated && ev.List != scheduler.ListUnavailable {
		d.happen(Event{Kind: EndpointsUpdated, List: ev})
	} else if ev.Kind == scheduler.EndpointsUpdated {
		d.happen(Event{Kind: ListUnavailable})
	} else if ev.Kind == scheduler.ShutdownStarted {
		d.happen(Event{Kind: ShutdownStarted})
	}
}

// step plays an event to the module and does what it asks for.
func (d *Loop) step(ev *scheduler.Event) {
	now := d.clock.Now()
	d.actions = d.one.Step(now, ev, d.actions[:0])
	d.tally.stepped(d.clock.Now() - now)
	for i := range d.actions {
		d.act(now, &d.actions[i])
	}
}

// take enters a request. One whose id is still known gets a failure: the first of that id goes on. That holds for an
// id given back or answered, too, up to its hard limit: run anew, each copy would count as a further attempt.
func (d *Loop) take(in *Request, ev *scheduler.Event, resumed bool) *request {
	_, spent := d.spent[in.ID]
	if !resumed {
		d.tally.Received++
		if len(d.parts) > 0 && d.requests[in.ID] == nil && d.awaiting[in.ID] == nil && !spent && d.awaits(in) {
			return nil
		}
	}
	if d.requests[in.ID] == nil && d.awaiting[in.ID] == nil {
		v := d.happen(Event{Kind: RequestReceived, Request: in, Prior: ev.Prior})
		if v.answer != nil {
			d.told(in, v.answer)
			if resumed {
				d.happen(Event{Kind: RequestClosed, Request: in, Outcome: v.answer.Outcome, Body: v.answer.Body})
			}
			return nil
		}
		ev.Blocked = ev.Blocked || v.barred
		if v.prior.At != 0 && (ev.Prior.At == 0 || v.prior.At < ev.Prior.At) {
			ev.Prior = v.prior
		}
	}
	if spent || d.requests[in.ID] != nil || d.awaiting[in.ID] != nil {
		in.Client.Failed(in.Tag)
		d.open.Add(-1)
		d.tally.DuplicateIDs++
		if resumed {
			d.happen(Event{Kind: RequestClosed, Request: in, Outcome: ledger.Failed})
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
	s.prior, s.barred = ev.Prior, ev.Blocked
	ev.Request, ev.Class, ev.TableGroup, ev.OrderKey, ev.MemoryMB = in.ID, in.Class, in.TableGroup, in.OrderKey, in.MemoryMB
	ev.WorkMS, ev.Deadline, ev.Retried = in.WorkMS, in.Deadline, in.Retried
	d.timers.push(timer{at: in.Deadline, what: limits, request: in.ID})
	return s
}

// awaits tells whether a request waits for what others say, or has been answered by that already.
func (d *Loop) awaits(in *Request) bool {
	d.awaiting[in.ID] = in // what follows may be said at once
	if d.happen(Event{Kind: RequestArriving, Request: in}).await || d.awaiting[in.ID] == nil {
		return true
	}
	delete(d.awaiting, in.ID)
	return false
}

// settle books the end of an attempt; nil if that has ended before.
func (d *Loop) settle(ev *scheduler.Event) *request {
	s := d.requests[ev.Request]
	if s == nil || ev.Attempt >= s.fired || !s.attempts[ev.Attempt].out {
		return nil
	}
	h := &s.attempts[ev.Attempt]
	h.out, s.out, h.run = false, s.out-1, nil
	ev.Executor, ev.ElapsedMS = h.executor, d.clock.Now()-h.sent
	d.tally.AttemptEnds[ev.Outcome]++
	d.happen(Event{Kind: AttemptEnded, Request: &s.Request, Attempt: ev.Attempt, NeverRan: ev.Outcome.NeverRan()})
	return s
}

func (d *Loop) answered(s *request, as ledger.Outcome, body []byte, spentMS float64) {
	if invariant.Check(!s.answered, "a search is answered once") {
		s.answered = true
		d.open.Add(-1)
		d.happen(Event{Kind: RequestClosed, Request: &s.Request, Outcome: as, Body: body, CostMS: spentMS})
	}
}

// release forgets a request that is answered and has no attempt out.
func (d *Loop) release(s *request) {
	if s.answered && !s.ending && s.out == 0 && d.requests[s.ID] == s {
		delete(d.requests, s.ID)
		if d.clock.Now() < s.Deadline { // its timer is still to come
			d.spent[s.ID] = struct{}{}
		}
		*s = request{}
		d.free = append(d.free, s)
	}
}

// act does what the module asks for.
func (d *Loop) act(now float64, a *scheduler.Action) {
	switch a.Kind {
	case scheduler.SetTimer:
		d.timers.push(timer{at: now + a.AfterMS, what: wakes, token: a.Token})
		return
	case scheduler.HealthCheck:
		d.token++
		d.tally.HealthChecks++
		d.probes[a.Executor] = d.token
		if !d.Executors.HealthCheck(a.Executor, d.token) {
			d.later = append(d.later, QueueItem{Event: scheduler.Event{Kind: scheduler.HealthChecked, Executor: a.Executor,
				Outcome: scheduler.LocalFailure}, Token: d.token})
		}
		d.timers.push(timer{at: now + d.HealthCheckTimeoutMS, what: probes, token: d.token, executor: a.Executor})
		return
	case scheduler.Subscribe:
		d.List.Refresh()
		return
	case scheduler.SendPeer:
		d.Peers.SendPeer(a.Peer, a.Payload)
		return
	case scheduler.Log:
		d.log.WithField("says", a.Text).Info("module")
		return
	}
	s := d.requests[a.Request]
	if !invariant.Check(s != nil, "the module names open searches") {
		return
	}
	switch a.Kind {
	case scheduler.Send:
		d.send(now, s, a)
	case scheduler.ReturnRequest:
		s.inLine = true
		d.happen(Event{Kind: RequestReturned, Request: &s.Request})
	case scheduler.SetResources:
		if s.grant != a.GrantMB {
			s.grant = a.GrantMB
			for k := range s.fired {
				if r, ok := s.attempts[k].run.(MemorySetter); ok {
					r.SetMemory(a.GrantMB)
				}
			}
		}
		if s.level != a.Level {
			s.level = a.Level
			for k := range s.fired {
				if s.attempts[k].run != nil {
					s.attempts[k].run.SetLevel(a.Level)
				}
			}
		}
	case scheduler.Cancel:
		if a.Attempt < s.fired && s.attempts[a.Attempt].out {
			d.halt(s, a.Attempt, scheduler.Cancelled)
		}
	case scheduler.Reject, scheduler.Fail:
		if s.answered {
			return
		}
		d.tally.turnedAway(a.Kind, s.halfClosed())
		if a.Kind == scheduler.Reject {
			d.conclude(s, ledger.Rejected, nil, d.happen(Event{Kind: RequestRejecting, Request: &s.Request, AfterMS: a.AfterMS}).afterMS, 0)
		} else {
			d.conclude(s, ledger.Failed, nil, 0, 0)
		}
	}
}

func (d *Loop) send(now float64, s *request, a *scheduler.Action) {
	if !invariant.Check(s.fired < mostAttempts && !s.answered, "shots go out for open searches alone") {
		return
	}
	n := s.fired
	v := d.happen(Event{Kind: AttemptStarting, Request: &s.Request, Attempt: n, Executor: a.Executor})
	kept := v.holds > 0
	run, held := d.Executors.Send(Attempt{Request: &s.Request, Number: n, Executor: a.Executor, GrantMB: s.grant,
		Level: s.level, TimeoutMS: s.Deadline - now, LatestStart: a.LatestStart, Held: kept})
	s.attempts[n] = attempt{run: run, executor: a.Executor, sent: now, due: now + held, holds: v.holds, out: true}
	s.fired, s.out = n+1, s.out+1
	d.happen(Event{Kind: AttemptStarted, Request: &s.Request, Attempt: n, Executor: a.Executor, GrantMB: s.grant})
	if run == nil {
		d.end(s, n, scheduler.LocalFailure)
	} else if v.forbid {
		d.withhold(s.ID, n) // its record could not even be lined up
	} else if kept {
		return // until its record lasts
	} else if held > 0 {
		d.timers.push(timer{at: now + held, what: releases, run: run})
	}
}

// halt calls an attempt off and lines up its end, unless that is on its way.
func (d *Loop) halt(s *request, n int, as scheduler.Outcome) {
	if s.attempts[n].run == nil {
		return // its end stands in line
	}
	switch s.attempts[n].run.Cancel() {
	case CancelSent:
		d.end(s, n, as)
	case CancelledUnsent:
		d.end(s, n, scheduler.NeverSent)
	}
}

func (d *Loop) end(s *request, n int, as scheduler.Outcome) {
	s.attempts[n].run = nil
	d.later = append(d.later, QueueItem{Event: scheduler.Event{Kind: scheduler.AttemptEnded, Request: s.ID, Attempt: n, Outcome: as}})
}

// expire ends the attempts of a request whose hard limit has come: silence shows by then at the latest.
func (d *Loop) expire(id string) {
	delete(d.spent, id)
	s := d.requests[id]
	if s == nil || d.clock.Now() < s.Deadline {
		return
	}
	if !s.answered {
		d.tally.Overdue++
	}
	for n := range s.fired {
		if s.attempts[n].out {
			d.halt(s, n, scheduler.TimedOut)
		}
	}
	d.rest()
}
