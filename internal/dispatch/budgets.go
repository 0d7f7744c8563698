package dispatch

import (
	"liftshift/internal/ledger"
	"liftshift/internal/quota"
	"liftshift/internal/quotashare"
	"liftshift/scheduler"
)

// Budgets decide who is offered to the module next. Their methods are called by the desk's goroutine alone and never wait.
type Budgets interface {
	Step(now float64, ev *quota.Event) []quota.Effect
	Whose(s *Request) string // the team of a request
	Listed(now float64, list scheduler.ListKind, entries []scheduler.Entry) []quota.Effect
	Wait(now float64, id string) (startMS, endMS float64) // of a request that waits; below 0: not known
	Tell(now float64) []quotashare.Message                // what other controllers are to hear
	Heard(now float64, from int, data []byte) []quotashare.Message
	Changed(now float64, each func(id string, startMS, endMS float64)) // figures that changed much, of those that asked
}

// Waiter is a client that can be told how long its requests will wait. Below 0: not known.
type Waiter interface {
	Waits(tag uint64, startMS, endMS float64)
}

// Budgeting puts budgets beside the module.
func Budgeting(b Budgets) Part { return budgeting{b} }

type budgeting struct{ Budgets }

// Hear tells the budgets, in their own words.
func (b budgeting) Hear(now float64, h *Happening, out []Follow) []Follow {
	switch s := h.Request; h.Kind {
	case Entered:
		out = append(out, Follow{Kind: Detain})
		out = Offers(out, b.Step(now, &quota.Event{Kind: quota.Asked, ID: s.ID, Team: b.Whose(s), Offering: s.Offering, WorkMS: s.WorkMS,
			NeedMB: s.NeedMB, Until: s.Until, Ordered: s.Key != ""}))
		if s.Waits {
			start, end := b.Wait(now, s.ID)
			out = append(out, Follow{Kind: Foretell, ID: s.ID, StartMS: start, EndMS: end})
		}
	case Fired:
		out = Offers(out, b.Step(now, &quota.Event{Kind: quota.Sent, ID: s.ID, GrantMB: h.GrantMB}))
	case ShotOver:
		out = Offers(out, b.Step(now, &quota.Event{Kind: quota.ShotEnded, ID: s.ID}))
	case GivenBack:
		out = Offers(out, b.Step(now, &quota.Event{Kind: quota.Back, ID: s.ID}))
	case Closed:
		out = Offers(out, b.Step(now, &quota.Event{Kind: quota.Closed, ID: s.ID, SpentMS: h.SpentMS, Handled: h.Outcome == ledger.Handled}))
	case Denying:
		// When its request would have begun, where that is known and no longer than may be told.
		if start, _ := b.Wait(now, s.ID); h.AfterMS > 0 && start > 0 {
			out = append(out, Follow{Kind: ComeBack, AfterMS: min(start, 2*h.AfterMS)})
		}
	case ListNews:
		out = Offers(out, b.Listed(now, h.List.List, h.List.Entries))
	case Stopping:
		out = Offers(out, b.Step(now, &quota.Event{Kind: quota.Closing}))
	case Ticks:
		out = Offers(out, b.Step(now, &quota.Event{Kind: quota.Ticked}))
		b.Changed(now, func(id string, start, end float64) {
			out = append(out, Follow{Kind: Foretell, ID: id, StartMS: start, EndMS: end})
		})
		out = posts(out, b.Tell(now))
	case Letter:
		if len(h.Data) > 0 && h.Data[0] == quotashare.Tag {
			out = posts(append(out, Follow{Kind: Mine}), b.Heard(now, h.Peer, h.Data))
		}
	}
	return out
}

// Offers appends what budgets want.
func Offers(out []Follow, effects []quota.Effect) []Follow {
	for _, e := range effects {
		f := Follow{Kind: Press, ID: e.ID, Start: e.Start, Part: e.Grant, Barred: e.Full, Now: e.Now}
		if e.Kind == quota.Offer {
			f.Kind = Offer
		}
		out = append(out, f)
	}
	return out
}

// posts appends what other controllers are to hear of ceilings.
func posts(out []Follow, list []quotashare.Message) []Follow {
	for _, m := range list {
		out = append(out, Follow{Kind: Post, Peer: m.To, Data: m.Data})
	}
	return out
}
