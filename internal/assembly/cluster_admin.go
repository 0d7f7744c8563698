package assembly

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"liftshift/internal/adminapi"
	"liftshift/internal/consensus"
	"liftshift/internal/membership"
)

// routeCluster registers the handlers for the members and the consensus group.
func (x *Extensions) routeCluster(router *adminapi.Router) {
	adminapi.Handle(router, adminapi.OperationMembers,
		func(context.Context, adminapi.Empty) (adminapi.MembersReply, error) {
			return onTransport(x.cluster, func(now float64, view *membership.View) (adminapi.MembersReply, error) {
				return x.cluster.membersReply(now, view), nil
			})
		})
	adminapi.Handle(router, adminapi.OperationMemberExplain,
		func(_ context.Context, request adminapi.NameRequest) (adminapi.MemberExplanation, error) {
			return onTransport(x.cluster, func(now float64, view *membership.View) (adminapi.MemberExplanation, error) {
				return explainMember(now, view, request.Name)
			})
		})
	adminapi.Handle(router, adminapi.OperationConsensus,
		func(context.Context, adminapi.Empty) (adminapi.ConsensusReply, error) {
			return x.cluster.consensusReply()
		})
	adminapi.Handle(router, adminapi.OperationReplaceVoter,
		func(_ context.Context, request adminapi.ReplaceVoterRequest) (adminapi.Accepted, error) {
			return onTransport(x.cluster, func(now float64, _ *membership.View) (adminapi.Accepted, error) {
				return x.cluster.replaceVoter(now, request)
			})
		})
}

// onTransport runs call on the transport's goroutine, which owns the membership view, and returns its result. It fails
// if there is no cluster, and with errStopping once the transport has ended.
func onTransport[Reply any](
	cluster *clusterExtension, call func(now float64, view *membership.View) (Reply, error),
) (reply Reply, err error) {
	if cluster == nil {
		return reply, adminapi.RequestErrorf("there is no cluster: the operators' file has no block cluster")
	}
	done := cluster.transport.Do(func(now float64, view *membership.View) { reply, err = call(now, view) })
	if !done {
		return reply, errStopping
	}
	return reply, err
}

// membersReply describes the membership view: its counters and all members.
func (c *clusterExtension) membersReply(now float64, view *membership.View) adminapi.MembersReply {
	counts := view.Counts()
	reply := adminapi.MembersReply{
		Cluster:    c.file.Name,
		Self:       view.Self().Name,
		Present:    view.ControllerCount(),
		Slowness:   view.LocalHealthScore(),
		Probes:     counts.Probes,
		Unanswered: counts.Unanswered,
		Sent:       counts.Sent,
		SentBytes:  counts.SentBytes,
		Received:   counts.Received,
		Hash:       strconv.FormatUint(view.Hash(), 16),
	}
	for _, m := range view.Members() {
		reply.Members = append(reply.Members, adminapi.Member{
			Name:        m.Name,
			Incarnation: strconv.FormatUint(m.Incarnation, 10),
			Refutation:  m.Refutation,
			State:       m.State.String(),
			Flags:       m.Flags.Names(),
			Address:     m.Address,
			Zone:        m.Zone,
			Region:      m.Region,
			Version:     m.Version,
			InStateMS:   math.Round(now - m.Since),
		})
	}
	return reply
}

// explainMember returns a member's state and the evidence for it.
func explainMember(now float64, view *membership.View, name string) (adminapi.MemberExplanation, error) {
	member, known := view.Find(name)
	if !known {
		return adminapi.MemberExplanation{}, adminapi.RequestErrorf("no member %q is known here", name)
	}
	reply := adminapi.MemberExplanation{
		Name:        member.Name,
		State:       member.State.String(),
		InStateMS:   math.Round(now - member.Since),
		Address:     member.Address,
		Incarnation: strconv.FormatUint(member.Incarnation, 10),
		Refutation:  member.Refutation,
		AccusedBy:   member.AccusedBy,
	}
	for _, e := range view.Explain(name) {
		reply.Evidence = append(reply.Evidence, adminapi.Evidence{
			AgoMS:       math.Round(now - e.At),
			Observation: e.Observation,
			Reporter:    e.Reporter,
		})
	}
	return reply, nil
}

// errNoGroup is the answer to requests about the consensus group of a cluster that has none.
var errNoGroup = adminapi.RequestErrorf("there is no consensus group: the block cluster names no founders")

// consensusReply describes this member's state in the consensus group and the leader's replicated record.
func (c *clusterExtension) consensusReply() (adminapi.ConsensusReply, error) {
	var record consensus.Record
	if c != nil && c.node != nil {
		var err error
		if record, err = c.node.Record(); err != nil {
			return adminapi.ConsensusReply{}, fmt.Errorf("consensus: the leader did not send the record: %w", err)
		}
	}
	return onTransport(c, func(now float64, view *membership.View) (adminapi.ConsensusReply, error) {
		if c.node == nil {
			return adminapi.ConsensusReply{}, errNoGroup
		}
		return c.describeRecord(now, view, record), nil
	})
}

// describeRecord combines the status of this member's node with the replicated record. It adds the voters' zones and
// states from the membership view.
func (c *clusterExtension) describeRecord(
	now float64, view *membership.View, record consensus.Record,
) adminapi.ConsensusReply {
	status := c.node.Status(now)
	reply := adminapi.ConsensusReply{
		Formed:       status.Formed,
		Voter:        status.Voter,
		Failed:       status.Failed,
		Leader:       status.Leader,
		Term:         status.Term,
		Commit:       status.Commit,
		LogEntries:   status.LogEntries,
		LeaseHeld:    status.LeaseHeld,
		LeaseLeftMS:  math.Round(status.LeaseLeftMS),
		DeclaredLost: record.DeclaredLost,
	}
	for _, voter := range record.Voters {
		m, _ := view.Find(voter.Name)
		reply.Voters = append(reply.Voters, adminapi.Voter{
			Name:  voter.Name,
			Zone:  m.Zone,
			State: m.State.String(),
			ID:    strconv.FormatUint(voter.ID, 16),
		})
	}
	for _, name := range slices.Sorted(maps.Keys(record.Members)) {
		m := record.Members[name]
		reply.Members = append(reply.Members, adminapi.AgreedMember{
			Name:           name,
			Incarnation:    strconv.FormatUint(m.Incarnation, 10),
			Term:           m.Term,
			Lost:           m.Lost,
			LeftGracefully: m.LeftGracefully,
		})
	}
	return reply
}

// replaceVoter proposes the replacement of a voter by another member. It fails if this member is not the leader.
func (c *clusterExtension) replaceVoter(
	now float64, request adminapi.ReplaceVoterRequest,
) (adminapi.Accepted, error) {
	if c.node == nil {
		return adminapi.Accepted{}, errNoGroup
	}
	if err := c.node.ReplaceVoter(now, request.From, request.To); err != nil {
		return adminapi.Accepted{}, adminapi.RequestErrorf("%w", err)
	}
	return adminapi.Accepted{Accepted: true}, nil
}
