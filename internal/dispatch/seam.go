package dispatch

import (
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// Part is a subsystem that stands beside the module. It hears what happens, in order, and says what follows, which it appends to out.
// It is called by the desk's goroutine alone and never waits.
type Part interface {
	Hear(now float64, h *Happening, out []Follow) []Follow
}

// HappeningKind tells what happens.
type HappeningKind uint8

// What happens to a request, in this order; then what happens besides.
const (
	Arriving  HappeningKind = iota // first of all: a part may have it Await what others say; then it is on its own until Resume or Settle
	Departed                       // the client of one that awaits has left
	Came                           // before it is entered, with the Prior that is known: a part may Answer or Admit it
	Entered                        // before the module has it: a part may Detain it
	Firing                         // an attempt is about to be made: a part may Hold or Forbid it
	Fired                          // it has been made, and may be on its way
	ShotOver                       // it has its outcome
	GivenBack                      // the module does not have the request any more
	Denying                        // it is being denied: a part may say when to ComeBack
	Ending                         // it is about to be answered: a part may KeepBack the answer until LetGo
	Closed                         // it has its final answer, or its client left
	ListNews                       // of the list, once the module has heard it
	ListLost                       // the list is out of reach
	Stopping                       // a planned stop has begun
	Ticks                          // each 100 ms
	Letter                         // Data from the controller numbered Peer: a part may say that it is Mine, or the module gets it
	Told                           // Note, from a part's own goroutines
	Inquiry                        // Ask: the part that replies, now or later, says that it is Mine, and no other is asked
)

// Happening is one thing that happens. Only the fields of its kind are set.
type Happening struct {
	Kind     HappeningKind
	Request  *Request // of what happens to one
	Attempt  int
	Executor uint32 // Firing
	GrantMB  float64
	Unrun    bool             // ShotOver: the outcome proves that it never ran
	Prior    scheduler.Prior  // Came
	Outcome  ledger.Outcome   // Ending, Closed
	Body     []byte           // Ending, Closed: the answer
	SpentMS  float64          // Closed
	AfterMS  float64          // Denying: as the module has it
	List     *scheduler.Event // ListNews
	Peer     int
	Data     []byte
	Note     any
	Ask      *Question
	// Beliefs gives what the module holds of executors and what it has learnt, on Ticks, to a part that wants it.
	Beliefs func() ([]scheduler.Belief, []scheduler.Figure)
}

// FollowKind tells what follows.
type FollowKind uint8

// What follows.
const (
	Await    FollowKind = iota // Arriving
	Resume                     // ID, which awaits, goes on, with Prior
	Settle                     // ID, which awaits, is answered: Outcome, Body, AfterMS
	Adopt                      // New is taken on, with Prior
	Dismiss                    // ID is somebody else's now, or over: it is dropped as if its client had left
	KeepBack                   // Ending
	LetGo                      // ID gets the answer that was kept back: Outcome, Body
	AskOn                      // Ask goes to the parts behind the one that had it
	Answer                     // Came: by what is on record: Outcome, Body, AfterMS
	Admit                      // Came: with Prior; Barred: nothing may be sent for it
	Detain                     // Entered: it stands in line until it is offered
	Hold                       // Firing: it leaves only at Release
	Forbid                     // Firing: it must not leave, and no other may now
	ComeBack                   // Denying: after AfterMS
	Mine                       // Letter, Inquiry
	Release                    // Attempt of ID leaves
	Withhold                   // Attempt of ID must not leave
	Recall                     // Event is for the module
	Offer                      // the module gets ID, to start at Start with Part of its memory; Barred: to be denied; Now: or given back
	Press                      // ID is held under Start
	Post                       // Data to the controller numbered Peer, or to all below 0
	Foretell                   // ID, if its client asked: how long until it starts and ends; below 0: not known
)

// Follow is one thing that follows.
type Follow struct {
	Kind    FollowKind
	ID      string
	Attempt int
	Prior   scheduler.Prior
	Barred  bool
	Outcome ledger.Outcome
	Body    []byte
	AfterMS float64
	Start   float64
	Part    float64
	Now     bool
	Peer    int
	Data    []byte
	StartMS float64
	EndMS   float64
	Event   scheduler.Event
	New     *Request
	Ask     *Question
}

// Join puts a part beside the module. It is called before Run. Parts hear in the order in which they joined.
func (d *Desk) Join(p Part) { d.parts = append(d.parts, p) }

// verdict is what parts say of what is about to happen.
type verdict struct {
	answer  *Follow
	prior   scheduler.Prior
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
func (d *Desk) happen(h Happening) verdict {
	if len(d.parts) == 0 {
		return verdict{afterMS: h.AfterMS}
	}
	return d.hear(h)
}

func (d *Desk) hear(h Happening) (v verdict) {
	v.afterMS = h.AfterMS
	list := d.follows[:0]
	d.follows = nil // what follows may make more happen
	for _, p := range d.parts {
		list = p.Hear(d.clock.Now(), &h, list)
		if h.Kind == Inquiry && len(list) > 0 {
			break
		}
	}
	d.follow(list, &v)
	d.follows = list
	return v
}

// Follow does what a part says outside of a happening, in a call on the desk's goroutine.
func (d *Desk) Follow(list []Follow) { d.follow(list, &verdict{}) }

func (d *Desk) follow(list []Follow, v *verdict) {
	for i := range list {
		switch f := &list[i]; f.Kind {
		case Answer:
			if v.answer == nil {
				one := *f
				v.answer = &one
			}
		case Admit:
			v.prior, v.barred = f.Prior, v.barred || f.Barred
		case Detain:
			v.detain = true
		case Hold:
			v.holds++
		case Await:
			v.await = true
		case KeepBack:
			v.keep = true
		case Resume:
			if in := d.awaiting[f.ID]; in != nil {
				delete(d.awaiting, f.ID)
				d.later = append(d.later, Item{Event: scheduler.Event{Kind: scheduler.Taken, Prior: f.Prior, Barred: f.Barred}, Request: in, resumed: true})
			}
		case Settle:
			if in := d.awaiting[f.ID]; in != nil {
				delete(d.awaiting, f.ID)
				d.told(in, f)
			}
		case Adopt:
			d.open.Add(1)
			d.later = append(d.later, Item{Event: scheduler.Event{Kind: scheduler.Taken, Prior: f.Prior}, Request: f.New, resumed: true})
		case Dismiss:
			if s := d.requests[f.ID]; s != nil {
				d.later = append(d.later, Item{Event: scheduler.Event{Kind: scheduler.Left, Request: f.ID}, Client: s.Client, Token: s.Tag})
			}
		case LetGo:
			d.letGo(f)
		case AskOn:
			d.askOn(f.Ask)
		case Forbid:
			v.forbid = true
		case ComeBack:
			v.afterMS = f.AfterMS
		case Mine:
			v.mine = true
		case Release:
			d.let(f.ID, f.Attempt)
		case Withhold:
			d.withhold(f.ID, f.Attempt)
		case Recall:
			d.later = append(d.later, Item{Event: f.Event})
		case Offer, Press:
			d.offers = append(d.offers, *f)
		case Post:
			d.Peers.Tell(f.Peer, f.Data)
		case Foretell:
			d.foretell(f)
		}
	}
}

// foretell tells a client that asked for it how long its request waits.
func (d *Desk) foretell(f *Follow) {
	s := d.requests[f.ID]
	if s == nil || s.answered || s.fired > 0 || !s.Waits {
		return
	}
	if w, ok := s.Client.(Waiter); ok {
		w.Waits(s.Tag, f.StartMS, f.EndMS)
	}
}

// offer hands the module what was in line, or tells it that one is held down, or no more.
func (d *Desk) offer(o *Follow) {
	s := d.requests[o.ID]
	if s == nil || s.answered {
		return // it has gone meanwhile
	}
	switch o.Kind {
	case Offer:
		if !s.inLine {
			return
		}
		s.inLine = false
		d.step(&scheduler.Event{Kind: scheduler.Taken, Request: s.ID, Offering: s.Offering, Group: s.Group, Key: s.Key, NeedMB: s.NeedMB,
			WorkMS: s.WorkMS, Until: s.Until, Repeat: s.Repeat, Prior: s.prior, Barred: s.barred || o.Barred, Start: o.Start,
			Part: o.Part, Now: o.Now})
	case Press:
		d.step(&scheduler.Event{Kind: scheduler.Pressed, Request: s.ID, Start: o.Start, Part: o.Part})
	}
	d.release(s)
}

// let lets an attempt leave whose record lasts, unless its connection asks for more time.
func (d *Desk) let(id string, n int) {
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
func (d *Desk) tick() {
	d.happen(Happening{Kind: Ticks, Beliefs: func() ([]scheduler.Belief, []scheduler.Figure) {
		if one, ok := d.one.(believer); ok {
			d.beliefs = one.Beliefs(d.clock.Now(), d.beliefs[:0])
		}
		if one, ok := d.one.(learner); ok {
			d.figures = one.Learnt(d.figures[:0])
		}
		return d.beliefs, d.figures
	}})
	d.rest()
}

// ask answers a question about a request. One that is open here has no outcome yet, whatever is on record.
func (d *Desk) ask(q *Question) {
	if q.ID != "" && d.requests[q.ID] != nil && !d.requests[q.ID].answered {
		q.Reply(ledger.Effect{Outcome: ledger.Open})
		return
	}
	if v := d.happen(Happening{Kind: Inquiry, Ask: q}); !v.mine {
		q.Reply(ledger.Effect{})
	}
}

// askOn asks the parts behind the first one, which does not know.
func (d *Desk) askOn(q *Question) {
	for k := 1; k < len(d.parts); k++ {
		if f := d.parts[k].Hear(d.clock.Now(), &Happening{Kind: Inquiry, Ask: q}, nil); len(f) > 0 {
			return
		}
	}
	q.Reply(ledger.Effect{})
}

// conclude gives a request its final answer, unless a part keeps that back: then it is given at LetGo.
func (d *Desk) conclude(s *request, as ledger.Outcome, body []byte, afterMS, spentMS float64) {
	if d.happen(Happening{Kind: Ending, Request: &s.Request, Outcome: as, Body: body}).keep {
		s.ending = true
		d.open.Add(1) // until it is let go
	} else if as == ledger.Handled {
		s.Client.Handled(s.Tag, body)
	} else {
		reply(&s.Request, as, body, afterMS)
	}
	d.answered(s, as, body, spentMS)
}

// letGo gives the answer that was kept back, or what has become of the request instead.
func (d *Desk) letGo(f *Follow) {
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
	case as == ledger.Handled && body != nil:
		s.Client.Handled(s.Tag, body)
	case as == ledger.Denied:
		s.Client.Denied(s.Tag, afterMS)
	default:
		s.Client.Failed(s.Tag)
	}
}
