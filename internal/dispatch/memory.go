package dispatch

import (
	"liftshift/internal/invariant"
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// Memory remembers through crashes. Its methods are called by the desk's goroutine alone and never wait.
type Memory interface {
	Step(now float64, ev *ledger.Event) []ledger.Effect
	WantsBeliefs(now float64) bool
}

// Question asks what became of a request, by its id or its mark. Reply is called by the desk's goroutine and must not wait.
type Question struct {
	ID, Mark string
	Reply    func(ledger.Effect)
}

// learner is a module that tells what it has learnt.
type learner interface {
	Learnt(out []scheduler.Figure) []scheduler.Figure
}

// Remembering puts a memory beside the module.
func Remembering(m Memory) Part { return remembering{m} }

type remembering struct{ Memory }

// Hear tells the memory, in its own words.
func (r remembering) Hear(now float64, h *Happening, out []Follow) []Follow {
	var ev ledger.Event
	switch s := h.Request; h.Kind {
	case Came:
		ev = ledger.Event{Kind: ledger.Taken, ID: s.ID, Mark: s.Mark, Offering: s.Offering, Until: s.Until, Prior: h.Prior}
	case Firing:
		ev = ledger.Event{Kind: ledger.Fired, ID: s.ID, Shot: h.Attempt, Executor: h.Executor}
	case ShotOver:
		ev = ledger.Event{Kind: ledger.ShotEnded, ID: s.ID, Shot: h.Attempt, Unrun: h.Unrun}
	case Closed:
		ev = ledger.Event{Kind: ledger.Closed, ID: s.ID, Outcome: h.Outcome, Body: h.Body}
	case ListNews:
		l := h.List
		ev = ledger.Event{Kind: ledger.Listed, Index: l.Index, Restored: l.List == scheduler.Restored, Whole: l.List != scheduler.Changes, Entries: l.Entries}
	case Ticks:
		ev = ledger.Event{Kind: ledger.Ticked}
		if r.WantsBeliefs(now) {
			ev.Beliefs, ev.Figures = h.Beliefs()
		}
	case Told:
		note, ours := h.Note.(*ledger.Event)
		if !ours {
			return out
		}
		ev = *note
	case Inquiry:
		for _, e := range r.Step(now, &ledger.Event{Kind: ledger.Asked, ID: h.Ask.ID, Mark: h.Ask.Mark}) {
			if e.Kind == ledger.Tell {
				h.Ask.Reply(e)
			}
		}
		return append(out, Follow{Kind: Mine})
	default:
		return out
	}
	effects := r.Step(now, &ev)
	for i := range effects {
		switch e := &effects[i]; e.Kind {
		case ledger.Hold:
			out = append(out, Follow{Kind: Hold})
		case ledger.Release:
			out = append(out, Follow{Kind: Release, ID: e.ID, Attempt: e.Shot})
		case ledger.Refuse:
			f := Follow{Kind: Withhold, ID: e.ID, Attempt: e.Shot}
			if h.Kind == Firing { // its record could not even be lined up
				f.Kind = Forbid
			}
			out = append(out, f)
		case ledger.Admit, ledger.Bar:
			out = append(out, Follow{Kind: Admit, Prior: e.Prior, Barred: e.Kind == ledger.Bar})
		case ledger.Tell:
			out = append(out, Follow{Kind: Answer, Outcome: e.Outcome, Body: e.Body, AfterMS: e.AfterMS})
		case ledger.Recall:
			out = append(out, Follow{Kind: Recall, Event: e.Module})
		}
	}
	return out
}

// Remembers tells whether a part can say what became of requests.
func (d *Desk) Remembers() bool {
	for _, p := range d.parts {
		if _, ok := p.(remembering); ok {
			return true
		}
	}
	return false
}

// told answers a request by what is on record.
func (d *Desk) told(in *Request, f *Follow) {
	reply(in, f.Outcome, f.Body, f.AfterMS)
	d.open.Add(-1)
	d.tally.Told++
}

// withhold ends an attempt whose record can't be made to last. It never left, and no other may leave now.
func (d *Desk) withhold(id string, n int) {
	s := d.requests[id]
	if s == nil || n >= s.fired || s.attempts[n].run == nil {
		return
	}
	before := len(d.later)
	d.halt(s, n, scheduler.Superseded)
	for k := before; k < len(d.later); k++ {
		invariant.That(d.later[k].Event.Outcome == scheduler.Superseded, "a shot that is held has not left")
		d.later[k].Event.Barred = true
	}
}
