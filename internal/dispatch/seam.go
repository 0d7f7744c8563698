package dispatch

import (
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// Part is a subsystem that stands beside the module. It hears what happens, in order, and says what follows, which it appends to out.
// It is called by the desk's goroutine alone and never waits.
type Extension interface {
	Handle(now float64, h *Event, out []Command) []Command
}

// EventKind tells what happens.
type EventKind uint8

// What happens to a request, in this order; then what happens besides.
const (
	RequestArriving     EventKind = iota // first of all: a part may have it Await what others say; then it is on its own until Resume or Settle
	SuspendedClientLeft                  // the client of one that awaits has left
	RequestReceived                      // before it is entered, with the Prior that is known: a part may Answer or Admit it
	RequestEntered                       // before the module has it: a part may Detain it
	AttemptStarting                      // an attempt is about to be made: a part may Hold or Forbid it
	AttemptStarted                       // it has been made, and may be on its way
	AttemptEnded                         // it has its outcome
	RequestReturned                      // the module does not have the request any more
	RequestRejecting                     // it is being denied: a part may say when to ComeBack
	RequestEnding                        // it is about to be answered: a part may KeepBack the answer until LetGo
	RequestClosed                        // it has its final answer, or its client left
	EndpointsUpdated                     // of the list, once the module has heard it
	ListUnavailable                      // the list is out of reach
	ShutdownStarted                      // a planned stop has begun
	Ticked                               // each 100 ms
	PeerMessage                          // Data from the controller numbered Peer: a part may say that it is Mine, or the module gets it
	MessagePosted                        // Note, from a part's own goroutines
	OutcomeQueried                       // Ask: the part that replies, now or later, says that it is Mine, and no other is asked
)

// Event is one thing that happens. Only the fields of its kind are set.
type Event struct {
	Kind     EventKind
	Request  *Request // of what happens to one
	Attempt  int
	Executor uint32 // AttemptStarting
	GrantMB  float64
	NeverRan bool                   // AttemptEnded: the outcome proves that it never ran
	Prior    scheduler.PriorAttempt // RequestReceived
	Outcome  ledger.Outcome         // RequestEnding, RequestClosed
	Body     []byte                 // RequestEnding, RequestClosed: the answer
	CostMS   float64                // RequestClosed
	AfterMS  float64                // RequestRejecting: as the module has it
	List     *scheduler.Event       // EndpointsUpdated
	Peer     int
	Payload  []byte
	Message  any
	Query    *OutcomeQuery
	// SchedulerState gives what the module holds of executors and what it has learnt, on Ticks, to a part that wants it.
	SchedulerState func() ([]scheduler.ExecutorView, []scheduler.Estimate)
}

// CommandKind tells what follows.
type CommandKind uint8

// What follows.
const (
	Suspend          CommandKind = iota // RequestArriving
	Resume                              // ID, which awaits, goes on, with Prior
	AnswerSuspended                     // ID, which awaits, is answered: Outcome, Body, AfterMS
	Adopt                               // New is taken on, with Prior
	Discard                             // ID is somebody else's now, or over: it is dropped as if its client had left
	WithholdAnswer                      // RequestEnding
	DeliverAnswer                       // ID gets the answer that was kept back: Outcome, Body
	ForwardQuery                        // Ask goes to the parts behind the one that had it
	AnswerFromRecord                    // RequestReceived: by what is on record: Outcome, Body, AfterMS
	Admit                               // RequestReceived: with Prior; Barred: nothing may be sent for it
	HoldRequest                         // RequestEntered: it stands in line until it is offered
	HoldAttempt                         // AttemptStarting: it leaves only at Release
	BlockAttempt                        // AttemptStarting: it must not leave, and no other may now
	SetRetryAfter                       // RequestRejecting: after AfterMS
	Consume                             // PeerMessage, OutcomeQueried
	ReleaseAttempt                      // Attempt of ID leaves
	FailAttempt                         // Attempt of ID must not leave
	RestoreState                        // Event is for the module
	OfferRequest                        // the module gets ID, to start at Start with Part of its memory; Barred: to be denied; Now: or given back
	CapPriority                         // ID is held under Start
	SendPeer                            // Data to the controller numbered Peer, or to all below 0
	ReportWait                          // ID, if its client asked: how long until it starts and ends; below 0: not known
)

// Follow is one thing that follows.
type Command struct {
	Kind        CommandKind
	ID          string
	Attempt     int
	Prior       scheduler.PriorAttempt
	Blocked     bool
	Outcome     ledger.Outcome
	Body        []byte
	AfterMS     float64
	PriorityCap float64
	MemoryShare float64
	Immediate   bool
	Peer        int
	Payload     []byte
	StartMS     float64
	EndMS       float64
	Event       scheduler.Event
	Request     *Request
	Query       *OutcomeQuery
}

// Register puts a part beside the module. It is called before Run. Parts hear in the order in which they joined.
func (d *Loop) Register(p Extension) { d.parts = append(d.parts, p) }

// verdict is what parts say of what is about to happen.
type verdict struct {
	answer  *Command
	prior   scheduler.PriorAttempt
	barred  bool
	detain  bool
	holds   int
	forbid  bool
	mine    bool
	await   bool
	keep    bool
	afterMS float64
}

// happen tells all parts, does what follows, and gives what they say of what is about to happen. Without parts it costs nothing.
func (d *Loop) happen(h Event) verdict {
	if len(d.parts) == 0 {
		return verdict{afterMS: h.AfterMS}
	}
	return d.hear(h)
}

func (d *Loop) hear(h Event) (v verdict) {
	v.afterMS = h.AfterMS
	list := d.follows[:0]
	d.follows = nil // what follows may make more happen
	for _, p := range d.parts {
		list = p.Handle(d.clock.Now(), &h, list)
		if h.Kind == OutcomeQueried && len(list) > 0 {
			break
		}
	}
	d.follow(list, &v)
	d.follows = list
	return v
}

// Execute does what a part says outside of a happening, in a call on the desk's goroutine.
func (d *Loop) Execute(list []Command) { d.follow(list, &verdict{}) }

func (d *Loop) follow(list []Command, v *verdict) {
	for i := range list {
		switch f := &list[i]; f.Kind {
		case AnswerFromRecord:
			if v.answer == nil {
				one := *f
				v.answer = &one
			}
		case Admit:
			v.prior, v.barred = f.Prior, v.barred || f.Blocked
		case HoldRequest:
			v.detain = true
		case HoldAttempt:
			v.holds++
		case Suspend:
			v.await = true
		case WithholdAnswer:
			v.keep = true
		case Resume:
			if in := d.awaiting[f.ID]; in != nil {
				delete(d.awaiting, f.ID)
				d.later = append(d.later, QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived, Prior: f.Prior, Blocked: f.Blocked}, Request: in, resumed: true})
			}
		case AnswerSuspended:
			if in := d.awaiting[f.ID]; in != nil {
				delete(d.awaiting, f.ID)
				d.told(in, f)
			}
		case Adopt:
			d.open.Add(1)
			d.later = append(d.later, QueueItem{Event: scheduler.Event{Kind: scheduler.RequestArrived, Prior: f.Prior}, Request: f.Request, resumed: true})
		case Discard:
			if s := d.requests[f.ID]; s != nil {
				d.later = append(d.later, QueueItem{Event: scheduler.Event{Kind: scheduler.ClientLeft, Request: f.ID}, Client: s.Client, Token: s.Tag})
			}
		case DeliverAnswer:
			d.letGo(f)
		case ForwardQuery:
			d.askOn(f.Query)
		case BlockAttempt:
			v.forbid = true
		case SetRetryAfter:
			v.afterMS = f.AfterMS
		case Consume:
			v.mine = true
		case ReleaseAttempt:
			d.let(f.ID, f.Attempt)
		case FailAttempt:
			d.withhold(f.ID, f.Attempt)
		case RestoreState:
			d.later = append(d.later, QueueItem{Event: f.Event})
		case OfferRequest, CapPriority:
			d.offers = append(d.offers, *f)
		case SendPeer:
			d.Peers.SendPeer(f.Peer, f.Payload)
		case ReportWait:
			d.foretell(f)
		}
	}
}

// foretell tells a client that asked for it how long its request waits.
func (d *Loop) foretell(f *Command) {
	s := d.requests[f.ID]
	if s == nil || s.answered || s.fired > 0 || !s.WantsWaitEstimate {
		return
	}
	if w, ok := s.Client.(WaitListener); ok {
		w.WaitEstimated(s.Tag, f.StartMS, f.EndMS)
	}
}

// offer hands the module what was in line, or tells it that one is held down, or no more.
func (d *Loop) offer(o *Command) {
	s := d.requests[o.ID]
	if s == nil || s.answered {
		return // it has gone meanwhile
	}
	switch o.Kind {
	case OfferRequest:
		if !s.inLine {
			return
		}
		s.inLine = false
		d.step(&scheduler.Event{Kind: scheduler.RequestArrived, Request: s.ID, Class: s.Class, TableGroup: s.TableGroup, OrderKey: s.OrderKey, MemoryMB: s.MemoryMB,
			WorkMS: s.WorkMS, Deadline: s.Deadline, Retried: s.Retried, Prior: s.prior, Blocked: s.barred || o.Blocked, PriorityCap: o.PriorityCap,
			MemoryShare: o.MemoryShare, Immediate: o.Immediate})
	case CapPriority:
		d.step(&scheduler.Event{Kind: scheduler.PriorityCapped, Request: s.ID, PriorityCap: o.PriorityCap, MemoryShare: o.MemoryShare})
	}
	d.release(s)
}

// let lets an attempt leave whose record lasts, unless its connection asks for more time.
func (d *Loop) let(id string, n int) {
	s := d.requests[id]
	if s == nil || n >= s.fired || s.attempts[n].run == nil {
		return // it was called off meanwhile
	}
	h := &s.attempts[n]
	if h.holds--; h.holds > 0 {
		return // another part holds it still
	}
	d.tally.holds++
	d.tally.holdSum += d.clock.Now() - h.sent
	if now := d.clock.Now(); now < h.due {
		d.timers.push(timer{at: h.due, what: releases, run: h.run})
	} else {
		h.run.Release()
	}
}

// tick gives all parts their time.
func (d *Loop) tick() {
	d.happen(Event{Kind: Ticked, SchedulerState: func() ([]scheduler.ExecutorView, []scheduler.Estimate) {
		if one, ok := d.one.(stateReporter); ok {
			d.beliefs = one.ExecutorViews(d.clock.Now(), d.beliefs[:0])
		}
		if one, ok := d.one.(estimateReporter); ok {
			d.figures = one.Estimates(d.figures[:0])
		}
		return d.beliefs, d.figures
	}})
	d.rest()
}

// ask answers a question about a request. One that is open here has no outcome yet, whatever is on record.
func (d *Loop) ask(q *OutcomeQuery) {
	if q.ID != "" && d.requests[q.ID] != nil && !d.requests[q.ID].answered {
		q.Reply(ledger.Effect{Outcome: ledger.Open})
		return
	}
	if v := d.happen(Event{Kind: OutcomeQueried, Query: q}); !v.mine {
		q.Reply(ledger.Effect{})
	}
}

// askOn asks the parts behind the first one, which does not know.
func (d *Loop) askOn(q *OutcomeQuery) {
	for k := 1; k < len(d.parts); k++ {
		if f := d.parts[k].Handle(d.clock.Now(), &Event{Kind: OutcomeQueried, Query: q}, nil); len(f) > 0 {
			return
		}
	}
	q.Reply(ledger.Effect{})
}

// conclude gives a request its final answer, unless a part keeps that back: then it is given at LetGo.
func (d *Loop) conclude(s *request, as ledger.Outcome, body []byte, afterMS, spentMS float64) {
	if d.happen(Event{Kind: RequestEnding, Request: &s.Request, Outcome: as, Body: body}).keep {
		s.ending = true
		d.open.Add(1) // until it is let go
	} else if as == ledger.Succeeded {
		s.Client.Succeeded(s.Tag, body)
	} else {
		reply(&s.Request, as, body, afterMS)
	}
	d.answered(s, as, body, spentMS)
}

// letGo gives the answer that was kept back, or what has become of the request instead.
func (d *Loop) letGo(f *Command) {
	s := d.requests[f.ID]
	if s == nil || !s.ending {
		return
	}
	s.ending = false
	d.open.Add(-1)
	reply(&s.Request, f.Outcome, f.Body, f.AfterMS)
	d.release(s)
}

// reply tells a client how its request ended.
func reply(s *Request, as ledger.Outcome, body []byte, afterMS float64) {
	switch {
	case as == ledger.Succeeded && body != nil:
		s.Client.Succeeded(s.Tag, body)
	case as == ledger.Rejected:
		s.Client.Rejected(s.Tag, afterMS)
	default:
		s.Client.Failed(s.Tag)
	}
}
