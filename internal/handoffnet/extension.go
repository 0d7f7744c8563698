package handoffnet

import (
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

var fromLedger = map[ledger.Outcome]handoff.Outcome{ledger.Succeeded: handoff.Succeeded, ledger.Rejected: handoff.Rejected,
	ledger.Failed: handoff.Failed, ledger.Abandoned: handoff.Abandoned}

var toLedger = map[handoff.Outcome]ledger.Outcome{handoff.Open: ledger.Open, handoff.Succeeded: ledger.Succeeded, handoff.Rejected: ledger.Rejected,
	handoff.Failed: ledger.Failed, handoff.Abandoned: ledger.Abandoned, handoff.Unknown: ledger.Unknown}

// Handle takes an event of the dispatch loop; it implements dispatch.Extension.
func (a *Agent) Handle(now float64, event *dispatch.Event, out []dispatch.Command) []dispatch.Command {
	switch event.Kind {
	case dispatch.EndpointsUpdated:
		a.updateEndpoints(event.EndpointsUpdate)
		return out
	case dispatch.OutcomeQueried:
		out = append(out, dispatch.Command{Kind: dispatch.Consume})
	case dispatch.MessagePosted:
		if s, stored := event.Message.(copiesStored); stored {
			a.copies.complete(s)
			return out
		}
	}
	ev, known := a.translate(event)
	if !known {
		return out
	}
	out = a.step(now, &ev, out)
	if event.Kind == dispatch.Ticked {
		a.tick(now)
	}
	return out
}

// tick publishes the counters, and lets the store of copies follow the clock.
func (a *Agent) tick(now float64) {
	c := a.manager.Counts()
	a.counts.Store(&c)
	if a.copies != nil {
		a.copies.store.Advance(int64(now))
	}
}

// translate returns an event of the dispatch loop as one of the manager, if it is one.
func (a *Agent) translate(event *dispatch.Event) (ev handoff.Event, known bool) {
	request := event.Request
	switch event.Kind {
	case dispatch.RequestArriving:
		return handoff.Event{Kind: handoff.RequestArriving, ID: request.ID, Copy: copyOf(request)}, true
	case dispatch.SuspendedClientLeft:
		return handoff.Event{Kind: handoff.ClientLeft, ID: request.ID}, true
	case dispatch.AttemptStarting:
		endpoint := a.endpoints[event.Executor]
		return handoff.Event{Kind: handoff.AttemptStarting, ID: request.ID, Attempt: event.Attempt, Zone: endpoint.Zone, Cell: endpoint.Cell}, true
	case dispatch.AttemptEnded:
		return handoff.Event{Kind: handoff.AttemptEnded, ID: request.ID, Attempt: event.Attempt, NeverRan: event.NeverRan}, true
	case dispatch.RequestEnding:
		return handoff.Event{Kind: handoff.RequestEnding, ID: request.ID, Outcome: fromLedger[event.Outcome], Answer: event.Body}, true
	case dispatch.RequestClosed:
		return handoff.Event{Kind: handoff.RequestClosed, ID: request.ID, Outcome: fromLedger[event.Outcome], Answer: event.Body}, true
	case dispatch.ShutdownStarted:
		return handoff.Event{Kind: handoff.ShutdownStarted}, true
	case dispatch.Ticked:
		return handoff.Event{Kind: handoff.Ticked}, true
	case dispatch.OutcomeQueried:
		a.tokens++
		a.queries[a.tokens] = event.Query
		return handoff.Event{Kind: handoff.OutcomeQueried, ID: event.Query.ID, IdempotencyKey: event.Query.IdempotencyKey, Token: a.tokens}, true
	case dispatch.MessagePosted:
		return a.translateMessage(event.Message)
	}
	return handoff.Event{}, false
}

// translateMessage returns a message of the agent's own goroutines as an event of the manager.
func (a *Agent) translateMessage(message any) (ev handoff.Event, known bool) {
	switch msg := message.(type) {
	case batchReceived:
		a.tokens++
		a.replies[a.tokens] = msg.reply
		return handoff.Event{Kind: handoff.BatchReceived, Batch: msg.batch, Token: a.tokens}, true
	case batchAnswered:
		return handoff.Event{Kind: handoff.BatchAnswered, To: msg.to, Sent: msg.sent, Batch: msg.reply}, true
	case configurationChanged:
		return handoff.Event{Kind: handoff.PlacementChanged, Members: msg.configuration.Members, Table: &msg.configuration.Table}, true
	case incarnationChanged:
		return handoff.Event{Kind: handoff.IncarnationChanged, Incarnation: msg.incarnation}, true
	}
	return handoff.Event{}, false
}

// copyOf returns what replicas need of a request.
func copyOf(r *dispatch.Request) *handoff.Copy {
	return &handoff.Copy{Deadline: r.Deadline, RequestData: handoff.RequestData{ID: r.ID, IdempotencyKey: r.IdempotencyKey, Class: r.Class,
		OrderKey: r.OrderKey, Team: r.Team, Schema: r.Schema, TableGroup: r.TableGroup, MemoryMB: r.MemoryMB, WorkMS: r.WorkMS, Body: r.Body}}
}

// updateEndpoints notes where executors are.
func (a *Agent) updateEndpoints(list *scheduler.Event) {
	if list.List != scheduler.ListDelta {
		clear(a.endpoints)
	}
	for _, e := range list.Endpoints {
		delete(a.endpoints, e.Executor)
		if e.Availability != scheduler.Removed {
			a.endpoints[e.Executor] = e
		}
	}
}
