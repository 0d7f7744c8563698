package dispatch

import (
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// RequestLedger records requests so that their outcome survives a crash. Its methods run on the loop's goroutine and
// must not block.
type RequestLedger interface {
	Step(now float64, event *ledger.Event) []ledger.Effect
	// WantsExecutorViews returns whether the next Ticked event has to carry the scheduler's executor views and
	// estimates.
	WantsExecutorViews(now float64) bool
}

// LedgerExtension returns the extension that records requests in a ledger.
func LedgerExtension(requestLedger RequestLedger) Extension { return ledgerExtension{requestLedger} }

type ledgerExtension struct{ RequestLedger }

// HasLedger returns whether a registered extension records the outcomes of requests.
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

// answerQuery replies to a query with what the ledger has on record.
func (l ledgerExtension) answerQuery(now float64, query *OutcomeQuery) {
	queried := &ledger.Event{Kind: ledger.OutcomeQueried, ID: query.ID, IdempotencyKey: query.IdempotencyKey}
	for _, effect := range l.Step(now, queried) {
		if effect.Kind == ledger.AnswerFromRecord {
			query.Reply(effect)
		}
	}
}

// translate returns the ledger's event for an event of the loop. It returns false if the ledger does not need the
// event.
func (l ledgerExtension) translate(now float64, event *Event) (ledger.Event, bool) {
	request := event.Request
	switch event.Kind {
	case RequestReceived:
		return ledger.Event{
			Kind:           ledger.RequestReceived,
			ID:             request.ID,
			IdempotencyKey: request.IdempotencyKey,
			Class:          request.Class,
			Deadline:       request.Deadline,
			Prior:          event.Prior,
		}, true
	case AttemptStarting:
		return ledger.Event{
			Kind:     ledger.AttemptStarting,
			ID:       request.ID,
			Attempt:  event.Attempt,
			Executor: event.Executor,
			Zone:     event.Target.Zone,
			Cell:     event.Target.Cell,

			LocationInDoubt: event.TargetInDoubt,
		}, true
	case AttemptEnded:
		return ledger.Event{
			Kind:     ledger.AttemptEnded,
			ID:       request.ID,
			Attempt:  event.Attempt,
			NeverRan: event.NeverRan,
		}, true
	case RequestClosed:
		return ledger.Event{
			Kind:    ledger.RequestClosed,
			ID:      request.ID,
			Outcome: event.Outcome,
			Body:    event.Body,
		}, true
	case EndpointsUpdated:
		update := event.EndpointsUpdate
		return ledger.Event{
			Kind:        ledger.EndpointsUpdated,
			ListVersion: update.ListVersion,
			Restored:    update.List == scheduler.ListRestored,
			Complete:    update.List != scheduler.ListDelta,
			Endpoints:   update.Endpoints,
		}, true
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

// appendLedgerCommand appends the command for an effect of the ledger. during is the kind of the event that caused it.
func appendLedgerCommand(out []Command, during EventKind, effect *ledger.Effect) []Command {
	switch effect.Kind {
	case ledger.HoldAttempt:
		return append(out, Command{Kind: HoldAttempt})
	case ledger.ReleaseAttempt:
		return append(out, Command{Kind: ReleaseAttempt, ID: effect.ID, Attempt: effect.Attempt})
	case ledger.FailAttempt:
		kind := FailAttempt
		if during == AttemptStarting { // the attempt's record could not be queued for writing
			kind = BlockAttempt
		}
		return append(out, Command{Kind: kind, ID: effect.ID, Attempt: effect.Attempt})
	case ledger.Admit, ledger.AdmitBlocked:
		return append(out, Command{Kind: Admit, Prior: effect.Prior, Blocked: effect.Kind == ledger.AdmitBlocked})
	case ledger.AnswerFromRecord:
		return append(out, Command{
			Kind:         AnswerFromRecord,
			Outcome:      effect.Outcome,
			Body:         effect.Body,
			RetryAfterMS: effect.RetryAfterMS,
		})
	case ledger.RestoreState:
		return append(out, Command{Kind: RestoreState, Event: effect.SchedulerEvent})
	}
	return out
}
