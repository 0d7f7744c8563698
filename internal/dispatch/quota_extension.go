package dispatch

import (
	"liftshift/internal/ledger"
	"liftshift/internal/quota"
	"liftshift/internal/quotashare"
	"liftshift/scheduler"
)

// QuotaManager decides which queued request the scheduler gets next. Its methods run on the loop's goroutine and never wait.
type QuotaManager interface {
	Step(now float64, ev *quota.Event) []quota.Effect
	// TeamOf returns the team that a request counts for.
	TeamOf(s *Request) string
	EndpointsUpdated(now float64, list scheduler.ListKind, entries []scheduler.Endpoint) []quota.Effect
	// WaitEstimate returns when a queued request will start and end, from now; below 0: not known.
	WaitEstimate(now float64, id string) (startMS, endMS float64)
	// PeerMessages returns what other controllers are to be sent now.
	PeerMessages(now float64) []quotashare.Message
	HandlePeerMessage(now float64, from int, data []byte) []quotashare.Message
	// ChangedEstimates calls each for the estimates that changed much since they were reported.
	ChangedEstimates(now float64, each func(id string, startMS, endMS float64))
}

// QuotaExtension returns the extension that queues requests by quota.
func QuotaExtension(m QuotaManager) Extension { return quotaExtension{m} }

type quotaExtension struct{ QuotaManager }

// Handle implements Extension.
func (q quotaExtension) Handle(now float64, event *Event, out []Command) []Command {
	r := event.Request
	switch event.Kind {
	case RequestEntered:
		out = append(out, Command{Kind: HoldRequest})
		out = AppendQuotaCommands(out, q.Step(now, &quota.Event{
			Kind:     quota.RequestQueued,
			ID:       r.ID,
			Team:     q.TeamOf(r),
			Class:    r.Class,
			WorkMS:   r.WorkMS,
			MemoryMB: r.MemoryMB,
			Deadline: r.Deadline,
			Ordered:  r.OrderKey != "",
		}))
		if r.WantsWaitEstimate {
			start, end := q.WaitEstimate(now, r.ID)
			out = append(out, Command{Kind: ReportWait, ID: r.ID, StartMS: start, EndMS: end})
		}
	case AttemptStarted:
		out = AppendQuotaCommands(out, q.Step(now, &quota.Event{Kind: quota.AttemptStarted, ID: r.ID, GrantMB: event.GrantMB}))
	case AttemptEnded:
		out = AppendQuotaCommands(out, q.Step(now, &quota.Event{Kind: quota.AttemptEnded, ID: r.ID}))
	case RequestReturned:
		out = AppendQuotaCommands(out, q.Step(now, &quota.Event{Kind: quota.RequestReturned, ID: r.ID}))
	case RequestClosed:
		succeeded := event.Outcome == ledger.Succeeded
		out = AppendQuotaCommands(out, q.Step(now, &quota.Event{Kind: quota.RequestClosed, ID: r.ID, CostMS: event.CostMS, Succeeded: succeeded}))
	case RequestRejecting:
		// When the request would have started, where that is known, but at most twice what the scheduler says.
		if start, _ := q.WaitEstimate(now, r.ID); event.AfterMS > 0 && start > 0 {
			out = append(out, Command{Kind: SetRetryAfter, AfterMS: min(start, 2*event.AfterMS)})
		}
	case EndpointsUpdated:
		out = AppendQuotaCommands(out, q.EndpointsUpdated(now, event.List.List, event.List.Endpoints))
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

func (q quotaExtension) tick(now float64, out []Command) []Command {
	out = AppendQuotaCommands(out, q.Step(now, &quota.Event{Kind: quota.Ticked}))
	q.ChangedEstimates(now, func(id string, start, end float64) {
		out = append(out, Command{Kind: ReportWait, ID: id, StartMS: start, EndMS: end})
	})
	return appendPeerMessages(out, q.PeerMessages(now))
}

// AppendQuotaCommands appends the commands for the effects of a quota tree.
func AppendQuotaCommands(out []Command, effects []quota.Effect) []Command {
	for _, e := range effects {
		kind := CapPriority
		if e.Kind == quota.Offer {
			kind = OfferRequest
		}
		out = append(out, Command{
			Kind:        kind,
			ID:          e.ID,
			PriorityCap: e.PriorityCap,
			MemoryShare: e.MemoryShare,
			Blocked:     e.QueueFull,
			Immediate:   e.Immediate,
		})
	}
	return out
}

// appendPeerMessages appends the commands that send messages to other controllers.
func appendPeerMessages(out []Command, messages []quotashare.Message) []Command {
	for _, m := range messages {
		out = append(out, Command{Kind: SendPeer, Peer: m.To, Payload: m.Data})
	}
	return out
}
