package handoffnet

import (
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
	"liftshift/internal/ledger"
)

var outcomeFromLedger = map[ledger.Outcome]handoff.Outcome{
	ledger.Succeeded: handoff.Succeeded,
	ledger.Rejected:  handoff.Rejected,
	ledger.Failed:    handoff.Failed,
	ledger.Abandoned: handoff.Abandoned,
}

var outcomeToLedger = map[handoff.Outcome]ledger.Outcome{
	handoff.Open:      ledger.Open,
	handoff.Succeeded: ledger.Succeeded,
	handoff.Rejected:  ledger.Rejected,
	handoff.Failed:    ledger.Failed,
	handoff.Abandoned: ledger.Abandoned,
	handoff.Unknown:   ledger.Unknown,
}

// Handle implements dispatch.Extension: it passes an event of the dispatch loop to the manager and appends the
// resulting commands to out.
func (a *Agent) Handle(now float64, event *dispatch.Event, out []dispatch.Command) []dispatch.Command {
	switch event.Kind {
	case dispatch.OutcomeQueried:
		out = append(out, dispatch.Command{Kind: dispatch.Consume})
	case dispatch.MessagePosted:
		if stored, ok := event.Message.(copiesStored); ok {
			a.copies.complete(stored)
			return out
		}
	}
	translated, ok := a.translate(event)
	if !ok {
		return out
	}
	out = a.step(now, &translated, out)
	if event.Kind == dispatch.Ticked {
		a.tick(now)
	}
	return out
}

// tick publishes the manager's counters and tells the store of copies the time, by which its records expire.
func (a *Agent) tick(now float64) {
	counts := a.manager.Counts()
	a.managerCounts.Store(&counts)
	if a.copies != nil {
		a.copies.store.Advance(int64(now))
	}
}

// translate converts an event of the dispatch loop to an event of the manager; ok is false if the event does not
// concern the manager.
func (a *Agent) translate(event *dispatch.Event) (translated handoff.Event, ok bool) {
	request := event.Request
	switch event.Kind {
	case dispatch.RequestArriving:
		return handoff.Event{Kind: handoff.RequestArriving, ID: request.ID, Copy: newCopy(request)}, true
	case dispatch.SuspendedClientLeft:
		return handoff.Event{Kind: handoff.ClientLeft, ID: request.ID}, true
	case dispatch.AttemptStarting:
		return handoff.Event{
			Kind:    handoff.AttemptStarting,
			ID:      request.ID,
			Attempt: event.Attempt,
			Zone:    event.Target.Zone,
			Cell:    event.Target.Cell,

			LocationInDoubt: event.TargetInDoubt,
		}, true
	case dispatch.AttemptPermitted:
		return handoff.Event{Kind: handoff.AttemptPermitted, ID: request.ID, Attempt: event.Attempt}, true
	case dispatch.AttemptEnded:
		return handoff.Event{
			Kind:     handoff.AttemptEnded,
			ID:       request.ID,
			Attempt:  event.Attempt,
			NeverRan: event.NeverRan,
		}, true
	case dispatch.RequestEnding:
		return handoff.Event{
			Kind:    handoff.RequestEnding,
			ID:      request.ID,
			Outcome: outcomeFromLedger[event.Outcome],
			Answer:  event.Body,
		}, true
	case dispatch.RequestClosed:
		return handoff.Event{
			Kind:    handoff.RequestClosed,
			ID:      request.ID,
			Outcome: outcomeFromLedger[event.Outcome],
			Answer:  event.Body,
		}, true
	case dispatch.ShutdownStarted:
		return handoff.Event{Kind: handoff.ShutdownStarted, Deadline: event.Deadline}, true
	case dispatch.Ticked:
		return handoff.Event{Kind: handoff.Ticked}, true
	case dispatch.OutcomeQueried:
		a.lastToken++
		a.queries[a.lastToken] = event.Query
		return handoff.Event{
			Kind:           handoff.OutcomeQueried,
			ID:             event.Query.ID,
			IdempotencyKey: event.Query.IdempotencyKey,
			Token:          a.lastToken,
		}, true
	case dispatch.MessagePosted:
		return a.translateMessage(event.Message)
	}
	return handoff.Event{}, false
}

// translateMessage converts a message that this agent posted to the dispatch loop to an event of the manager. For
// messages of other extensions, ok is false.
func (a *Agent) translateMessage(message any) (translated handoff.Event, ok bool) {
	switch msg := message.(type) {
	case batchReceived:
		a.lastToken++
		a.replies[a.lastToken] = msg.reply
		return handoff.Event{Kind: handoff.BatchReceived, Batch: msg.batch, Token: a.lastToken}, true
	case batchAnswered:
		return handoff.Event{Kind: handoff.BatchAnswered, To: msg.to, Sent: msg.sent, Batch: msg.reply}, true
	case configurationChanged:
		return handoff.Event{
			Kind:    handoff.PlacementChanged,
			Members: msg.configuration.Members,
			Table:   &msg.configuration.Table,
		}, true
	case incarnationChanged:
		return handoff.Event{Kind: handoff.IncarnationChanged, Incarnation: msg.incarnation}, true
	}
	return handoff.Event{}, false
}

// newCopy returns the copy of a request that replicas store.
func newCopy(r *dispatch.Request) *handoff.Copy {
	return &handoff.Copy{
		Deadline: r.Deadline,
		RequestData: handoff.RequestData{
			ID:             r.ID,
			IdempotencyKey: r.IdempotencyKey,
			Class:          r.Class,
			OrderKey:       r.OrderKey,
			Team:           r.Team,
			Schema:         r.Schema,
			TableGroup:     r.TableGroup,
			MemoryMB:       r.MemoryMB,
			WorkMS:         r.WorkMS,
			Body:           r.Body,
		},
	}
}
