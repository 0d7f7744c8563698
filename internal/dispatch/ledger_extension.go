package dispatch

import (
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// RequestLedger records requests so that their outcome survives a crash. Its methods run on the loop's goroutine and never wait.
type RequestLedger interface {
	Step(now float64, ev *ledger.Event) []ledger.Effect
	// WantsExecutorViews returns whether the next Ticked event is to carry the scheduler's state.
	WantsExecutorViews(now float64) bool
}

// LedgerExtension returns the extension that records requests in a ledger.
func LedgerExtension(m RequestLedger) Extension { return ledgerExtension{m} }

type ledgerExtension struct{ RequestLedger }

// HasLedger returns whether a registered extension can tell what became of requests.
func (l *Loop) HasLedger() bool {
	for _, e := range l.extensions {
		if _, ok := e.(ledgerExtension); ok {
			return true
		}
	}
	return false
}

// Handle implements Extension.
func (l ledgerExtension) Handle(now float64, event *Event, out []Command) []Command {
	if event.Kind == OutcomeQueried {
		l.answerQuery(now, event.Query)
		return append(out, Command{Kind: Consume})
	}
	ledgerEvent, ok := l.translate(now, event)
	if !ok {
		return out
	}
	effects := l.Step(now, &ledgerEvent)
	for i := range effects {
		out = appendLedgerCommand(out, event.Kind, &effects[i])
	}
	return out
}

func (l ledgerExtension) answerQuery(now float64, q *OutcomeQuery) {
	for _, e := range l.Step(now, &ledger.Event{Kind: ledger.OutcomeQueried, ID: q.ID, IdempotencyKey: q.IdempotencyKey}) {
		if e.Kind == ledger.AnswerFromRecord {
			q.Reply(e)
		}
	}
}

// translate returns the ledger's event for an event of the loop; false if it is none of the ledger's.
func (l ledgerExtension) translate(now float64, event *Event) (ledger.Event, bool) {
	r := event.Request
	switch event.Kind {
	case RequestReceived:
		return ledger.Event{Kind: ledger.RequestReceived, ID: r.ID, IdempotencyKey: r.IdempotencyKey, Class: r.Class, Deadline: r.Deadline,
			Prior: event.Prior}, true
	case AttemptStarting:
		return ledger.Event{Kind: ledger.AttemptStarting, ID: r.ID, Attempt: event.Attempt, Executor: event.Executor}, true
	case AttemptEnded:
		return ledger.Event{Kind: ledger.AttemptEnded, ID: r.ID, Attempt: event.Attempt, NeverRan: event.NeverRan}, true
	case RequestClosed:
		return ledger.Event{Kind: ledger.RequestClosed, ID: r.ID, Outcome: event.Outcome, Body: event.Body}, true
	case EndpointsUpdated:
		list := event.List
		return ledger.Event{Kind: ledger.EndpointsUpdated, ListVersion: list.ListVersion, Restored: list.List == scheduler.ListRestored,
			Complete: list.List != scheduler.ListDelta, Endpoints: list.Endpoints}, true
	case Ticked:
		ticked := ledger.Event{Kind: ledger.Ticked}
		if l.WantsExecutorViews(now) {
			ticked.ExecutorViews, ticked.Estimates = event.SchedulerState()
		}
		return ticked, true
	case MessagePosted:
		if posted, ok := event.Message.(*ledger.Event); ok {
			return *posted, true
		}
	}
	return ledger.Event{}, false
}

// appendLedgerCommand appends the command for an effect of the ledger on an event of the given kind.
func appendLedgerCommand(out []Command, during EventKind, e *ledger.Effect) []Command {
	switch e.Kind {
	case ledger.HoldAttempt:
		return append(out, Command{Kind: HoldAttempt})
	case ledger.ReleaseAttempt:
		return append(out, Command{Kind: ReleaseAttempt, ID: e.ID, Attempt: e.Attempt})
	case ledger.FailAttempt:
		kind := FailAttempt
		if during == AttemptStarting { // its record could not even be queued
			kind = BlockAttempt
		}
		return append(out, Command{Kind: kind, ID: e.ID, Attempt: e.Attempt})
	case ledger.Admit, ledger.AdmitBlocked:
		return append(out, Command{Kind: Admit, Prior: e.Prior, Blocked: e.Kind == ledger.AdmitBlocked})
	case ledger.AnswerFromRecord:
		return append(out, Command{Kind: AnswerFromRecord, Outcome: e.Outcome, Body: e.Body, AfterMS: e.AfterMS})
	case ledger.RestoreState:
		return append(out, Command{Kind: RestoreState, Event: e.SchedulerEvent})
	}
	return out
}
