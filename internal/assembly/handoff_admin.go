package assembly

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/bits"
	"slices"

	"liftshift/internal/adminapi"
	"liftshift/internal/handoff"
	"liftshift/internal/placement"
)

// routeHandoff serves the questions about copies of open requests.
func (x *Extensions) routeHandoff(r *adminapi.Router) {
	adminapi.Handle(r, adminapi.QuestionHandoff, func(context.Context, adminapi.Empty) (adminapi.HandoffReply, error) {
		return onHandoff(x, func(float64) (adminapi.HandoffReply, error) { return x.handoff.reply(), nil })
	})
	adminapi.Handle(r, adminapi.QuestionCopyExplain, func(_ context.Context, q adminapi.NameRequest) (adminapi.CopiesReply, error) {
		return onHandoff(x, func(now float64) (adminapi.CopiesReply, error) {
			return explainCopies(now, x.handoff.agent.Manager(), q.Name)
		})
	})
	adminapi.Handle(r, adminapi.QuestionRelease, func(_ context.Context, q adminapi.NameRequest) (adminapi.Accepted, error) {
		return onHandoff(x, func(now float64) (adminapi.Accepted, error) {
			x.log.WithField("request", q.Name).WithField("author", q.Author).Warn("handoff: an operator releases a request")
			x.handoff.agent.Step(now, &handoff.Event{Kind: handoff.ReleaseRequested, ID: q.Name})
			return adminapi.Accepted{Accepted: true}, nil
		})
	})
	adminapi.Handle(r, adminapi.QuestionAdopt, func(_ context.Context, q adminapi.NameRequest) (adminapi.Accepted, error) {
		return onHandoff(x, func(now float64) (adminapi.Accepted, error) {
			x.log.WithField("member", q.Name).WithField("author", q.Author).Warn("handoff: an operator has this controller adopt")
			x.handoff.agent.Step(now, &handoff.Event{Kind: handoff.AdoptionRequested, ID: q.Name})
			return adminapi.Accepted{Accepted: true}, nil
		})
	})
}

// onHandoff makes a call on the event loop's goroutine, which owns the copies, where there is a handoff.
func onHandoff[Reply any](x *Extensions, call func(now float64) (Reply, error)) (Reply, error) {
	if x.handoff == nil {
		var none Reply
		return none, adminapi.RequestErrorf("there is no handoff: the operators' file has no block handoff")
	}
	return onLoop(x, call)
}

// reply returns what is kept here, who keeps which partitions and what is claimed.
func (h *handoffExtension) reply() adminapi.HandoffReply {
	manager := h.agent.Manager()
	reply := adminapi.HandoffReply{HandoffCounts: h.counts(), LeaseHeld: h.agent.LeaseHeld()}
	orphaned := manager.OrphanedRequests()
	for _, name := range slices.Sorted(maps.Keys(orphaned)) {
		reply.Orphaned = append(reply.Orphaned, adminapi.OrphanedCopies{Member: name, Copies: orphaned[name]})
	}
	table := manager.Table()
	if table == nil {
		return reply
	}
	reply.PlacementSummary = &adminapi.PlacementSummary{CopiesWanted: table.Copies, Version: table.Version, Step: table.Step,
		Partitions: len(table.Partitions), PartitionsSettled: settledPartitions(table)}
	reply.Replicas = replicasByMember(table)
	for _, c := range table.Claims {
		reply.Claims = append(reply.Claims, adminapi.AdoptionClaim{Member: c.Name, Incarnation: fmt.Sprint(c.Incarnation),
			Successor: c.Successor, Partitions: bits.OnesCount32(c.Partitions)})
	}
	return reply
}

// counts returns what the agent has counted, as the socket names it.
func (h *handoffExtension) counts() adminapi.HandoffCounts {
	c := h.agent.Counts()
	return adminapi.HandoffCounts{
		CopiesStored:         c.CopiesStored,
		Open:                 c.Open,
		CopiesReceived:       c.CopiesReceived,
		Settled:              c.Settled,
		Adopted:              c.Adopted,
		Failed:               c.Failed,
		Dropped:              c.Dropped,
		OwnedRequests:        c.OwnedRequests,
		SuspendedRequests:    c.SuspendedRequests,
		Registered:           c.Registered,
		Waited:               c.Waited,
		AnsweredFromCopy:     c.AnsweredFromCopy,
		Refused:              c.Refused,
		Withheld:             c.AttemptsWithheld,
		AttemptsUnreplicated: c.AttemptsUnreplicated,
		AdoptionClaims:       c.AdoptionClaims,
		AdoptionsStarted:     c.AdoptionsStarted,
		AdoptionsDone:        c.AdoptionsDone,
		AdoptionsLate:        c.LateSuccesses,
		MessagesSent:         c.MessagesSent,
		MessagesLost:         c.MessagesLost,
		CopiesFetched:        c.CopiesFetched,
		Calls:                c.Calls,
		CallsFailed:          c.CallsFailed,
		QueueDropped:         c.QueueDropped,
		Datagrams:            c.Datagrams,
		DatagramsUnanswered:  c.DatagramsUnanswered,
	}
}

// settledPartitions counts the partitions whose replicas do not change just now.
func settledPartitions(t *placement.Table) (n int) {
	for _, p := range t.Partitions {
		if p.Previous == nil {
			n++
		}
	}
	return n
}

// replicasByMember counts the partitions of which each member is a replica.
func replicasByMember(t *placement.Table) (list []adminapi.MemberPartitions) {
	count := map[string]int{}
	for _, p := range t.Partitions {
		for _, r := range p.Current {
			count[r.Name]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(count)) {
		list = append(list, adminapi.MemberPartitions{Member: name, Partitions: count[name]})
	}
	return list
}

// runStates are what the socket says of whether a request may have run.
var runStates = map[handoff.RunState]string{
	handoff.NotRun:     "no attempt of it can have run",
	handoff.MayHaveRun: "an attempt of it may have run",
	handoff.Ran:        "it ran",
}

// explainCopies returns what is known here of a request or an idempotency key.
func explainCopies(now float64, manager *handoff.Manager, name string) (adminapi.CopiesReply, error) {
	var reply adminapi.CopiesReply
	for _, status := range manager.Explain(name) {
		c := &status.Copy
		reply.Copies = append(reply.Copies, adminapi.Copy{ID: c.ID, IdempotencyKey: c.IdempotencyKey, Class: c.Class, State: status.State,
			Owner: c.Owner.Name, Incarnation: fmt.Sprint(c.Owner.Incarnation), Sequence: c.Sequence, Outcome: c.Outcome.String(),
			RunState: runStates[c.RunState], Zone: c.Zone, LeftMS: math.Round(c.Deadline - now), AnswerKept: c.Answer != nil,
			InFlightHere: status.InFlightHere})
	}
	if reply.Copies == nil {
		return reply, adminapi.RequestErrorf("nothing is known here of a request or idempotency key %q; ask another controller, or the method outcome", name)
	}
	return reply, nil
}
