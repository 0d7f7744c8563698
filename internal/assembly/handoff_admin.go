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

// routeHandoff registers the handlers for the handoff and the copies of open requests.
func (x *Extensions) routeHandoff(router *adminapi.Router) {
	adminapi.Handle(router, adminapi.OperationHandoff,
		func(context.Context, adminapi.Empty) (adminapi.HandoffReply, error) {
			return onHandoff(x, func(float64) (adminapi.HandoffReply, error) { return x.handoff.reply(), nil })
		})
	adminapi.Handle(router, adminapi.OperationCopyExplain,
		func(_ context.Context, request adminapi.NameRequest) (adminapi.CopiesReply, error) {
			return onHandoff(x, func(now float64) (adminapi.CopiesReply, error) {
				return explainCopies(now, x.handoff.agent.Manager(), request.Name)
			})
		})
	adminapi.Handle(router, adminapi.OperationRelease,
		func(_ context.Context, request adminapi.NameRequest) (adminapi.Accepted, error) {
			return onHandoff(x, func(now float64) (adminapi.Accepted, error) {
				x.log.WithField("request", request.Name).WithField("author", request.Author).
					Warn("handoff: an operator releases a request")
				x.handoff.agent.Step(now, &handoff.Event{Kind: handoff.ReleaseRequested, ID: request.Name})
				return adminapi.Accepted{Accepted: true}, nil
			})
		})
	adminapi.Handle(router, adminapi.OperationAdopt,
		func(_ context.Context, request adminapi.NameRequest) (adminapi.Accepted, error) {
			return onHandoff(x, func(now float64) (adminapi.Accepted, error) {
				x.log.WithField("member", request.Name).WithField("author", request.Author).
					Warn("handoff: an operator has this controller adopt")
				x.handoff.agent.Step(now, &handoff.Event{Kind: handoff.AdoptionRequested, ID: request.Name})
				return adminapi.Accepted{Accepted: true}, nil
			})
		})
}

// onHandoff is onLoop for requests about the handoff, whose manager belongs to the event loop's goroutine. It fails if
// the operators' file configures no handoff.
func onHandoff[Reply any](x *Extensions, call func(now float64) (Reply, error)) (Reply, error) {
	if x.handoff == nil {
		var none Reply
		return none, adminapi.RequestErrorf("there is no handoff: the operators' file has no block handoff")
	}
	return onLoop(x, call)
}

// reply describes the copies stored here, the placement of the partitions and the adoption claims. Without a placement
// table it leaves out the last two.
func (h *handoffExtension) reply() adminapi.HandoffReply {
	manager := h.agent.Manager()
	reply := adminapi.HandoffReply{HandoffCounts: h.counts(), LeaseHeld: h.agent.LeaseHeld()}
	orphaned := manager.OrphanedRequests()
	for _, owner := range slices.Sorted(maps.Keys(orphaned)) {
		reply.Orphaned = append(reply.Orphaned, adminapi.OrphanedCopies{Member: owner, Copies: orphaned[owner]})
	}
	table := manager.Table()
	if table == nil {
		return reply
	}
	reply.PlacementSummary = &adminapi.PlacementSummary{
		CopiesWanted:      table.Copies,
		Version:           table.Version,
		Step:              table.Step,
		Partitions:        len(table.Partitions),
		PartitionsSettled: settledPartitions(table),
	}
	reply.Replicas = replicasByMember(table)
	for _, claim := range table.Claims {
		reply.Claims = append(reply.Claims, adminapi.AdoptionClaim{
			Member:      claim.Name,
			Incarnation: fmt.Sprint(claim.Incarnation),
			Successor:   claim.Successor,
			Partitions:  bits.OnesCount32(claim.Partitions),
		})
	}
	return reply
}

// counts converts the agent's counters to those of the administrative API.
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

// settledPartitions counts the partitions that are not being moved to other replicas.
func settledPartitions(table *placement.Table) (count int) {
	for _, partition := range table.Partitions {
		if partition.Previous == nil {
			count++
		}
	}
	return count
}

// replicasByMember counts, for each member, the partitions of which it is a replica. The list is sorted by name.
func replicasByMember(table *placement.Table) (list []adminapi.MemberPartitions) {
	counts := map[string]int{}
	for _, partition := range table.Partitions {
		for _, replica := range partition.Current {
			counts[replica.Name]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, adminapi.MemberPartitions{Member: name, Partitions: counts[name]})
	}
	return list
}

// runStateTexts describes, in replies of the administrative API, whether a request may have run.
var runStateTexts = map[handoff.RunState]string{
	handoff.NotRun:     "no attempt of it can have run",
	handoff.MayHaveRun: "an attempt of it may have run",
	handoff.Ran:        "it ran",
}

// explainCopies returns the copies known here of a request, named by its id or its idempotency key.
func explainCopies(now float64, manager *handoff.Manager, name string) (adminapi.CopiesReply, error) {
	var reply adminapi.CopiesReply
	for _, status := range manager.Explain(name) {
		c := &status.Copy
		reply.Copies = append(reply.Copies, adminapi.Copy{
			ID:             c.ID,
			IdempotencyKey: c.IdempotencyKey,
			Class:          c.Class,
			State:          status.State,
			Owner:          c.Owner.Name,
			Incarnation:    fmt.Sprint(c.Owner.Incarnation),
			Sequence:       c.Sequence,
			Outcome:        c.Outcome.String(),
			RunState:       runStateTexts[c.RunState],
			Zone:           c.Zone,
			LeftMS:         math.Round(c.Deadline - now),
			AnswerKept:     c.Answer != nil,
			InFlightHere:   status.InFlightHere,
		})
	}
	if reply.Copies == nil {
		return reply, adminapi.RequestErrorf(
			"nothing is known here of a request or idempotency key %q; ask another controller, or the method outcome",
			name,
		)
	}
	return reply, nil
}
