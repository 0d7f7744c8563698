package dispatch

import (
	"liftshift/internal/ledger"
	"liftshift/internal/quota"
	"liftshift/internal/quotashare"
	"liftshift/scheduler"
)

// QuotaManager decide who is offered to the module next. Their methods are called by the desk's goroutine alone and never wait.
type QuotaManager interface {
	Step(now float64, ev *quota.Event) []quota.Effect
	TeamOf(s *Request) string // the team of a request
	EndpointsUpdated(now float64, list scheduler.ListKind, entries []scheduler.Endpoint) []quota.Effect
	WaitEstimate(now float64, id string) (startMS, endMS float64) // of a request that waits; below 0: not known
	PeerMessages(now float64) []quotashare.Message                // what other controllers are to hear
	HandlePeerMessage(now float64, from int, data []byte) []quotashare.Message
	ChangedEstimates(now float64, each func(id string, startMS, endMS float64)) // figures that changed much, of those that asked
}

// WaitListener is a client that can be told how long its requests will wait. Below 0: not known.
type WaitListener interface {
	WaitEstimated(tag uint64, startMS, endMS float64)
}

// QuotaExtension puts budgets beside the module.
func QuotaExtension(b QuotaManager) Extension { return budgeting{b} }

type budgeting struct{ QuotaManager }

// Handle tells the budgets, in their own words.
func (b budgeting) Handle(now float64, h *Event, out []Command) []Command {
	switch s := h.Request; h.Kind {
	case RequestEntered:
		out = append(out, Command{Kind: HoldRequest})
		out = AppendQuotaCommands(out, b.Step(now, &quota.Event{Kind: quota.RequestQueued, ID: s.ID, Team: b.TeamOf(s), Class: s.Class, WorkMS: s.WorkMS,
			MemoryMB: s.MemoryMB, Deadline: s.Deadline, Ordered: s.OrderKey != ""}))
		if s.WantsWaitEstimate {
			start, end := b.WaitEstimate(now, s.ID)
			out = append(out, Command{Kind: ReportWait, ID: s.ID, StartMS: start, EndMS: end})
		}
	case AttemptStarted:
		out = AppendQuotaCommands(out, b.Step(now, &quota.Event{Kind: quota.AttemptStarted, ID: s.ID, GrantMB: h.GrantMB}))
	case AttemptEnded:
		out = AppendQuotaCommands(out, b.Step(now, &quota.Event{Kind: quota.AttemptEnded, ID: s.ID}))
	case RequestReturned:
		out = AppendQuotaCommands(out, b.Step(now, &quota.Event{Kind: quota.RequestReturned, ID: s.ID}))
	case RequestClosed:
		out = AppendQuotaCommands(out, b.Step(now, &quota.Event{Kind: quota.RequestClosed, ID: s.ID, CostMS: h.CostMS, Succeeded: h.Outcome == ledger.Succeeded}))
	case RequestRejecting:
		// When its request would have begun, where that is known and no longer than may be told.
		if start, _ := b.WaitEstimate(now, s.ID); h.AfterMS > 0 && start > 0 {
			out = append(out, Command{Kind: SetRetryAfter, AfterMS: min(start, 2*h.AfterMS)})
		}
	case EndpointsUpdated:
		out = AppendQuotaCommands(out, b.EndpointsUpdated(now, h.List.List, h.List.Endpoints))
	case ShutdownStarted:
		out = AppendQuotaCommands(out, b.Step(now, &quota.Event{Kind: quota.ShutdownStarted}))
	case Ticked:
		out = AppendQuotaCommands(out, b.Step(now, &quota.Event{Kind: quota.Ticked}))
		b.ChangedEstimates(now, func(id string, start, end float64) {
			out = append(out, Command{Kind: ReportWait, ID: id, StartMS: start, EndMS: end})
		})
		out = posts(out, b.PeerMessages(now))
	case PeerMessage:
		if len(h.Payload) > 0 && h.Payload[0] == quotashare.Tag {
			out = posts(append(out, Command{Kind: Consume}), b.HandlePeerMessage(now, h.Peer, h.Payload))
		}
	}
	return out
}

// AppendQuotaCommands appends what budgets want.
func AppendQuotaCommands(out []Command, effects []quota.Effect) []Command {
	for _, e := range effects {
		f := Command{Kind: CapPriority, ID: e.ID, PriorityCap: e.PriorityCap, MemoryShare: e.MemoryShare, Blocked: e.QueueFull, Immediate: e.Immediate}
		if e.Kind == quota.Offer {
			f.Kind = OfferRequest
		}
		out = append(out, f)
	}
	return out
}

// posts appends what other controllers are to hear of ceilings.
func posts(out []Command, list []quotashare.Message) []Command {
	for _, m := range list {
		out = append(out, Command{Kind: SendPeer, Peer: m.To, Payload: m.Data})
	}
	return out
}
