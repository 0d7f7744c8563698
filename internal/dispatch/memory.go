package dispatch

import (
	"liftshift/internal/invariant"
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// RequestLedger remembers through crashes. Its methods are called by the desk's goroutine alone and never wait.
type RequestLedger interface {
	Step(now float64, ev *ledger.Event) []ledger.Effect
	WantsExecutorViews(now float64) bool
}

// OutcomeQuery asks what became of a request, by its id or its mark. Reply is called by the desk's goroutine and must not wait.
type OutcomeQuery struct {
	ID, IdempotencyKey string
	Reply              func(ledger.Effect)
}

// estimateReporter is a module that tells what it has learnt.
type estimateReporter interface {
	Estimates(out []scheduler.Estimate) []scheduler.Estimate
}

// LedgerExtension puts a memory beside the module.
func LedgerExtension(m RequestLedger) Extension { return remembering{m} }

type remembering struct{ RequestLedger }

// Handle tells the memory, in its own words.
func (r remembering) Handle(now float64, h *Event, out []Command) []Command {
	var ev ledger.Event
	switch s := h.Request; h.Kind {
	case RequestReceived:
		ev = ledger.Event{Kind: ledger.RequestReceived, ID: s.ID, IdempotencyKey: s.IdempotencyKey, Class: s.Class, Deadline: s.Deadline, Prior: h.Prior}
	case AttemptStarting:
		ev = ledger.Event{Kind: ledger.AttemptStarting, ID: s.ID, Attempt: h.Attempt, Executor: h.Executor}
	case AttemptEnded:
		ev = ledger.Event{Kind: ledger.AttemptEnded, ID: s.ID, Attempt: h.Attempt, NeverRan: h.NeverRan}
	case RequestClosed:
		ev = ledger.Event{Kind: ledger.RequestClosed, ID: s.ID, Outcome: h.Outcome, Body: h.Body}
	case EndpointsUpdated:
		l := h.List
		ev = ledger.Event{Kind: ledger.EndpointsUpdated, ListVersion: l.ListVersion, Restored: l.List == scheduler.ListRestored, Complete: l.List != scheduler.ListDelta, Endpoints: l.Endpoints}
	case Ticked:
		ev = ledger.Event{Kind: ledger.Ticked}
		if r.WantsExecutorViews(now) {
			ev.ExecutorViews, ev.Estimates = h.SchedulerState()
		}
	case MessagePosted:
		note, ours := h.Message.(*ledger.Event)
		if !ours {
			return out
		}
		ev = *note
	case OutcomeQueried:
		for _, e := range r.Step(now, &ledger.Event{Kind: ledger.OutcomeQueried, ID: h.Query.ID, IdempotencyKey: h.Query.IdempotencyKey}) {
			if e.Kind == ledger.AnswerFromRecord {
				h.Query.Reply(e)
			}
		}
		return append(out, Command{Kind: Consume})
	default:
		return out
	}
	effects := r.Step(now, &ev)
	for i := range effects {
		switch e := &effects[i]; e.Kind {
		case ledger.HoldAttempt:
			out = append(out, Command{Kind: HoldAttempt})
		case ledger.ReleaseAttempt:
			out = append(out, Command{Kind: ReleaseAttempt, ID: e.ID, Attempt: e.Attempt})
		case ledger.FailAttempt:
			f := Command{Kind: FailAttempt, ID: e.ID, Attempt: e.Attempt}
			if h.Kind == AttemptStarting { // its record could not even be lined up
				f.Kind = BlockAttempt
			}
			out = append(out, f)
		case ledger.Admit, ledger.AdmitBlocked:
			out = append(out, Command{Kind: Admit, Prior: e.Prior, Blocked: e.Kind == ledger.AdmitBlocked})
		case ledger.AnswerFromRecord:
			out = append(out, Command{Kind: AnswerFromRecord, Outcome: e.Outcome, Body: e.Body, AfterMS: e.AfterMS})
		case ledger.RestoreState:
			out = append(out, Command{Kind: RestoreState, Event: e.SchedulerEvent})
		}
	}
	return out
}

// HasLedger tells whether a part can say what became of requests.
func (d *Loop) HasLedger() bool {
	for _, p := range d.parts {
		if _, ok := p.(remembering); ok {
			return true
		}
	}
	return false
}

// told answers a request by what is on record.
func (d *Loop) told(in *Request, f *Command) {
	reply(in, f.Outcome, f.Body, f.AfterMS)
	d.open.Add(-1)
	d.tally.FromRecord++
}

// withhold ends an attempt whose record can't be made to last. It never left, and no other may leave now.
func (d *Loop) withhold(id string, n int) {
	s := d.requests[id]
	if s == nil || n >= s.fired || s.attempts[n].run == nil {
		return
	}
	before := len(d.later)
	d.halt(s, n, scheduler.NeverSent)
	for k := before; k < len(d.later); k++ {
		invariant.Check(d.later[k].Event.Outcome == scheduler.NeverSent, "a shot that is held has not left")
		d.later[k].Event.Blocked = true
	}
}
