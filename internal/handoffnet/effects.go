package handoffnet

import (
	"github.com/sirupsen/logrus"

	"liftshift/internal/consensus"
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
	"liftshift/internal/ledger"
)

// Step passes the manager an event that does not come from the dispatch loop and carries out its effects. It must be
// called on the loop's goroutine.
func (a *Agent) Step(now float64, event *handoff.Event) { a.loop.Execute(a.step(now, event, nil)) }

// step passes the manager an event, carries out its effects and appends those that are commands to the dispatch loop to
// out.
func (a *Agent) step(now float64, event *handoff.Event, out []dispatch.Command) []dispatch.Command {
	event.LeaseHeld = a.LeaseHeld()
	effects := a.manager.Step(now, event)
	token := uint64(0)
	if a.copies != nil {
		token = a.copies.write(now, effects, event.Kind == handoff.BatchReceived)
	}
	for i := range effects {
		out = a.executeEffect(now, &effects[i], token, out)
	}
	return out
}

// executeEffect carries out one effect of a step. The token is that of the copies that are being written in the step,
// or 0.
func (a *Agent) executeEffect(
	now float64, effect *handoff.Effect, token uint64, out []dispatch.Command,
) []dispatch.Command {
	switch effect.Kind {
	case handoff.SendBatch:
		a.sendBatch(effect.To, effect.Batch, now)
	case handoff.ReplyBatch:
		a.replyBatch(effect, now, token)
	case handoff.ReplyOutcome:
		return a.replyOutcome(effect, out)
	case handoff.Propose:
		a.log.WithFields(logrus.Fields{
			"proposal":    effect.Proposal,
			"member":      effect.Claim.Name,
			"incarnation": effect.Claim.Incarnation,
			"partitions":  effect.Claim.Partitions,
		}).Info("handoff: proposed")
		a.node.Propose(consensus.PlacementProposal(consensus.EntryKind(effect.Proposal), effect.Claim, effect.Version))
	case handoff.RefreshPlacement:
		if now > a.refreshedAt+refreshIntervalMS {
			a.refreshedAt = now
			a.node.RefreshConfiguration()
		}
	case handoff.LogMessage:
		a.log.WithFields(logrus.Fields{"id": effect.ID, "count": effect.Count}).Warn("handoff: " + effect.Text)
	default:
		return appendCommands(effect, out)
	}
	return out
}

// appendCommands appends the commands to the dispatch loop that an effect on a request stands for to out.
func appendCommands(effect *handoff.Effect, out []dispatch.Command) []dispatch.Command {
	switch effect.Kind {
	case handoff.Suspend:
		return append(out, dispatch.Command{Kind: dispatch.Suspend})
	case handoff.Resume:
		return append(out, dispatch.Command{
			Kind:    dispatch.Resume,
			ID:      effect.ID,
			Prior:   effect.Prior,
			Blocked: effect.Blocked,
		})
	case handoff.AnswerSuspended:
		return append(out, dispatch.Command{
			Kind:         dispatch.AnswerSuspended,
			ID:           effect.ID,
			Outcome:      outcomeToLedger[effect.Outcome],
			Body:         effect.Answer,
			RetryAfterMS: effect.AfterMS,
		})
	case handoff.HoldAttempt:
		return append(out, dispatch.Command{Kind: dispatch.HoldAttempt, Last: true})
	case handoff.BlockAttempt:
		return append(out, dispatch.Command{Kind: dispatch.HoldAttempt}, dispatch.Command{Kind: dispatch.BlockAttempt})
	case handoff.PostponeAttempt:
		return append(out, dispatch.Command{Kind: dispatch.HoldAttempt}, dispatch.Command{Kind: dispatch.PostponeAttempt})
	case handoff.ReleaseAttempt:
		return append(out, dispatch.Command{Kind: dispatch.ReleaseAttempt, ID: effect.ID, Attempt: effect.Attempt})
	case handoff.FailAttempt:
		return append(out, dispatch.Command{Kind: dispatch.FailAttempt, ID: effect.ID, Attempt: effect.Attempt})
	case handoff.WithholdAnswer:
		return append(out, dispatch.Command{Kind: dispatch.WithholdAnswer})
	case handoff.FailAnswer:
		return append(out, dispatch.Command{Kind: dispatch.FailAnswer})
	case handoff.DeliverAnswer:
		return append(out, dispatch.Command{
			Kind:    dispatch.DeliverAnswer,
			ID:      effect.ID,
			Outcome: outcomeToLedger[effect.Outcome],
			Body:    effect.Answer,
		})
	case handoff.CancelLocal:
		return append(out, dispatch.Command{Kind: dispatch.Discard, ID: effect.ID})
	case handoff.Adopt:
		return append(out, dispatch.Command{Kind: dispatch.Adopt, Prior: effect.Prior, Request: adoptedRequest(effect.Copy)})
	}
	return out // Admit needs no command; PersistCopy is carried out by copyStore.write
}

// adoptedRequest returns the request that a copy describes. No client of this controller waits for its answer.
func adoptedRequest(c *handoff.Copy) *dispatch.Request {
	return &dispatch.Request{
		ID:             c.ID,
		Class:          c.Class,
		OrderKey:       c.OrderKey,
		IdempotencyKey: c.IdempotencyKey,
		TableGroup:     c.TableGroup,
		MemoryMB:       c.MemoryMB,
		WorkMS:         c.WorkMS,
		Deadline:       c.Deadline,
		Team:           c.Team,
		Schema:         c.Schema,
		Retried:        true,
		Body:           c.Body,
		Client:         noClient{},
	}
}

// replyBatch sends the manager's reply to a batch of another member, once the copies that it confirms are on disk if
// they are persisted.
func (a *Agent) replyBatch(effect *handoff.Effect, now float64, token uint64) {
	reply := a.replies[effect.Token]
	delete(a.replies, effect.Token)
	if reply == nil {
		return
	}
	data := effect.Batch.Append(nil, now)
	if token != 0 {
		a.copies.waiting[token] = func(err error) { reply(data, err) }
		return
	}
	reply(data, nil)
}

// replyOutcome answers a query for the outcome of a request. If the replicas do not know it, the query is forwarded to
// the extensions that are registered after this one.
func (a *Agent) replyOutcome(effect *handoff.Effect, out []dispatch.Command) []dispatch.Command {
	query := a.queries[effect.Token]
	delete(a.queries, effect.Token)
	if query == nil {
		return out
	}
	if effect.Outcome == handoff.Unknown {
		return append(out, dispatch.Command{Kind: dispatch.ForwardQuery, Query: query})
	}
	query.Reply(ledger.Effect{
		Kind:    ledger.AnswerFromRecord,
		Outcome: outcomeToLedger[effect.Outcome],
		Body:    effect.Answer,
		AgeMS:   effect.AfterMS,
	})
	return out
}

// noClient is the client of an adopted request: it ignores the answer, as the real client was connected to the lost
// controller.
type noClient struct{}

func (noClient) Succeeded(uint64, []byte) {}
func (noClient) Rejected(uint64, float64) {}
func (noClient) Failed(uint64)            {}
