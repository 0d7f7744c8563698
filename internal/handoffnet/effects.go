package handoffnet

import (
	"github.com/sirupsen/logrus"

	"liftshift/internal/consensus"
	"liftshift/internal/dispatch"
	"liftshift/internal/handoff"
	"liftshift/internal/ledger"
)

// Step plays an event that does not come from the dispatch loop; it is for a call on that one's goroutine.
func (a *Agent) Step(now float64, ev *handoff.Event) { a.loop.Execute(a.step(now, ev, nil)) }

// step has the manager take an event, carries its effects out, and appends the commands among them to out.
func (a *Agent) step(now float64, ev *handoff.Event, out []dispatch.Command) []dispatch.Command {
	ev.LeaseHeld = a.LeaseHeld()
	effects := a.manager.Step(now, ev)
	token := uint64(0)
	if a.copies != nil {
		token = a.copies.write(now, effects, ev.Kind == handoff.BatchReceived)
	}
	for i := range effects {
		out = a.execute(now, &effects[i], token, out)
	}
	return out
}

// execute carries one effect out. Token is that of the copies that the step had written, or 0.
func (a *Agent) execute(now float64, e *handoff.Effect, token uint64, out []dispatch.Command) []dispatch.Command {
	switch e.Kind {
	case handoff.SendBatch:
		a.sendBatch(e.To, e.Batch, now)
	case handoff.ReplyBatch:
		a.replyBatch(e, now, token)
	case handoff.ReplyOutcome:
		return a.replyOutcome(e, out)
	case handoff.Propose:
		a.log.WithFields(logrus.Fields{"proposal": e.Proposal, "member": e.Claim.Name, "incarnation": e.Claim.Incarnation,
			"partitions": e.Claim.Partitions}).Info("handoff: proposed")
		a.node.Propose(consensus.Proposal(consensus.EntryKind(e.Proposal), e.Claim, e.Version))
	case handoff.RefreshPlacement:
		if now > a.refreshedAt+refreshMS {
			a.refreshedAt = now
			a.node.RefreshConfiguration()
		}
	case handoff.LogMessage:
		a.log.WithFields(logrus.Fields{"id": e.ID, "count": e.Count}).Warn("handoff: " + e.Text)
	default:
		return appendCommands(e, out)
	}
	return out
}

// appendCommands appends the commands of an effect on a request to out.
func appendCommands(e *handoff.Effect, out []dispatch.Command) []dispatch.Command {
	switch e.Kind {
	case handoff.Suspend:
		return append(out, dispatch.Command{Kind: dispatch.Suspend})
	case handoff.Resume:
		return append(out, dispatch.Command{Kind: dispatch.Resume, ID: e.ID, Prior: e.Prior, Blocked: e.Blocked})
	case handoff.AnswerSuspended:
		return append(out, dispatch.Command{Kind: dispatch.AnswerSuspended, ID: e.ID, Outcome: toLedger[e.Outcome], Body: e.Answer, RetryAfterMS: e.AfterMS})
	case handoff.HoldAttempt:
		return append(out, dispatch.Command{Kind: dispatch.HoldAttempt})
	case handoff.BlockAttempt:
		return append(out, dispatch.Command{Kind: dispatch.HoldAttempt}, dispatch.Command{Kind: dispatch.BlockAttempt})
	case handoff.ReleaseAttempt:
		return append(out, dispatch.Command{Kind: dispatch.ReleaseAttempt, ID: e.ID, Attempt: e.Attempt})
	case handoff.FailAttempt:
		return append(out, dispatch.Command{Kind: dispatch.FailAttempt, ID: e.ID, Attempt: e.Attempt})
	case handoff.WithholdAnswer:
		return append(out, dispatch.Command{Kind: dispatch.WithholdAnswer})
	case handoff.DeliverAnswer:
		return append(out, dispatch.Command{Kind: dispatch.DeliverAnswer, ID: e.ID, Outcome: toLedger[e.Outcome], Body: e.Answer})
	case handoff.CancelLocal:
		return append(out, dispatch.Command{Kind: dispatch.Discard, ID: e.ID})
	case handoff.Adopt:
		return append(out, dispatch.Command{Kind: dispatch.Adopt, Prior: e.Prior, Request: adoptedRequest(e.Copy)})
	}
	return out // Admit and PersistCopy are no commands
}

// adoptedRequest returns the request of a copy, which no client of this controller waits for.
func adoptedRequest(c *handoff.Copy) *dispatch.Request {
	return &dispatch.Request{ID: c.ID, Class: c.Class, OrderKey: c.OrderKey, IdempotencyKey: c.IdempotencyKey, TableGroup: c.TableGroup,
		MemoryMB: c.MemoryMB, WorkMS: c.WorkMS, Deadline: c.Deadline, Team: c.Team, Schema: c.Schema, Retried: true, Body: c.Body,
		Client: nopClient{}}
}

// replyBatch replies to another member, where that is wanted once the copies it sent are on disk.
func (a *Agent) replyBatch(e *handoff.Effect, now float64, token uint64) {
	reply := a.replies[e.Token]
	delete(a.replies, e.Token)
	if reply == nil {
		return
	}
	data := e.Batch.Append(nil, now)
	if token != 0 {
		a.copies.waiting[token] = func(err error) { reply(data, err) }
		return
	}
	reply(data, nil)
}

// replyOutcome answers a query for an outcome. Where the replicas know nothing, the extensions behind this one are asked.
func (a *Agent) replyOutcome(e *handoff.Effect, out []dispatch.Command) []dispatch.Command {
	query := a.queries[e.Token]
	delete(a.queries, e.Token)
	if query == nil {
		return out
	}
	if e.Outcome == handoff.Unknown {
		return append(out, dispatch.Command{Kind: dispatch.ForwardQuery, Query: query})
	}
	query.Reply(ledger.Effect{Kind: ledger.AnswerFromRecord, Outcome: toLedger[e.Outcome], Body: e.Answer, AgeMS: e.AfterMS})
	return out
}

// nopClient is the client of an adopted request: its own went with its controller.
type nopClient struct{}

func (nopClient) Succeeded(uint64, []byte) {}
func (nopClient) Rejected(uint64, float64) {}
func (nopClient) Failed(uint64)            {}
