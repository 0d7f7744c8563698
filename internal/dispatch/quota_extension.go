package dispatch

import (
	"liftshift/internal/ledger"
	"liftshift/internal/quota"
	"liftshift/internal/quotashare"
	"liftshift/scheduler"
)

// QuotaManager decides which queued request the scheduler gets next. Its methods run on the loop's goroutine and must
// not block.
type QuotaManager interface {
	Step(now float64, event *quota.Event) []quota.Effect
	// TeamOf returns the team whose quota a request counts against.
	TeamOf(request *Request) string
	EndpointsUpdated(now float64, list scheduler.ListKind, entries []scheduler.Endpoint) []quota.Effect
	// WaitEstimate returns the times from now until a queued request starts and ends. Below 0: unknown.
	WaitEstimate(now float64, id string) (startMS, endMS float64)
	// PeerMessages returns the messages that are due to other controllers.
	PeerMessages(now float64) []quotashare.Message
	// HandlePeerMessage handles a message from another controller and returns the replies to it.
	HandlePeerMessage(now float64, from int, data []byte) []quotashare.Message
	// ChangedEstimates calls report for each wait estimate that differs much from the one reported last.
	ChangedEstimates(now float64, report func(id string, startMS, endMS float64))
}

// QuotaExtension returns the extension that queues requests until their team's quota permits them.
func QuotaExtension(manager QuotaManager) Extension { return quotaExtension{manager} }

type quotaExtension struct{ QuotaManager }

// Handle implements Extension.
func (q quotaExtension) Handle(now float64, event *Event, out []Command) []Command {
	request := event.Request
	switch event.Kind {
	case RequestAdmitted:
		out = append(out, Command{Kind: HoldRequest})
		out = AppendQuotaCommands(out, q.Step(now, &quota.Event{
			Kind:     quota.RequestQueued,
			ID:       request.ID,
			Team:     q.TeamOf(request),
			Class:    request.Class,
			WorkMS:   request.WorkMS,
			MemoryMB: request.MemoryMB,
			Deadline: request.Deadline,
			Ordered:  request.OrderKey != "",
		}))
		if request.WantsWaitEstimate {
			startMS, endMS := q.WaitEstimate(now, request.ID)
			out = append(out, Command{Kind: ReportWait, ID: request.ID, StartMS: startMS, EndMS: endMS})
		}
	case AttemptStarted:
		started := &quota.Event{Kind: quota.AttemptStarted, ID: request.ID, GrantMB: event.GrantMB}
		out = AppendQuotaCommands(out, q.Step(now, started))
	case AttemptEnded:
		out = AppendQuotaCommands(out, q.Step(now, &quota.Event{Kind: quota.AttemptEnded, ID: request.ID}))
	case RequestReturned:
		out = AppendQuotaCommands(out, q.Step(now, &quota.Event{Kind: quota.RequestReturned, ID: request.ID}))
	case RequestClosed:
		out = AppendQuotaCommands(out, q.Step(now, &quota.Event{
			Kind:      quota.RequestClosed,
			ID:        request.ID,
			CostMS:    event.CostMS,
			Succeeded: event.Outcome == ledger.Succeeded,
		}))
	case RequestRejecting:
		// The client may retry when the request would have started, but after at most twice the scheduler's time.
		if startMS, _ := q.WaitEstimate(now, request.ID); event.RetryAfterMS > 0 && startMS > 0 {
			out = append(out, Command{Kind: SetRetryAfter, RetryAfterMS: min(startMS, 2*event.RetryAfterMS)})
		}
	case EndpointsUpdated:
		out = AppendQuotaCommands(out, q.EndpointsUpdated(now, event.EndpointsUpdate.List, event.EndpointsUpdate.Endpoints))
	case ShutdownStarted:
		out = AppendQuotaCommands(out, q.Step(now, &quota.Event{Kind: quota.ShutdownStarted}))
	case Ticked:
		out = q.tick(now, out)
	case PeerMessage:
		if len(event.Payload) > 0 && event.Payload[0] == quotashare.Tag {
			out = append(out, Command{Kind: Consume})
			out = appendPeerMessages(out, q.HandlePeerMessage(now, event.Peer, event.Payload))
		}
	}
	return out
}

// tick advances the quotas, then reports changed wait estimates to clients and sends due messages to other controllers.
func (q quotaExtension) tick(now float64, out []Command) []Command {
	out = AppendQuotaCommands(out, q.Step(now, &quota.Event{Kind: quota.Ticked}))
	q.ChangedEstimates(now, func(id string, startMS, endMS float64) {
		out = append(out, Command{Kind: ReportWait, ID: id, StartMS: startMS, EndMS: endMS})
	})
	return appendPeerMessages(out, q.PeerMessages(now))
}

// AppendQuotaCommands appends the commands for the effects of a quota step.
func AppendQuotaCommands(out []Command, effects []quota.Effect) []Command {
	for _, effect := range effects {
		kind := CapPriority
		if effect.Kind == quota.Offer {
			kind = OfferRequest
		}
		out = append(out, Command{
			Kind:        kind,
			ID:          effect.ID,
			PriorityCap: effect.PriorityCap,
			MemoryShare: effect.MemoryShare,
			Blocked:     effect.QueueFull,
			Immediate:   effect.Immediate,
		})
	}
	return out
}

// appendPeerMessages appends the commands that send messages to other controllers.
func appendPeerMessages(out []Command, messages []quotashare.Message) []Command {
	for _, message := range messages {
		out = append(out, Command{Kind: SendPeer, Peer: message.To, Payload: message.Data})
	}
	return out
}
