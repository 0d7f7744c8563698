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

// routeCluster serves the questions about members and the consensus group.
func (x *Extensions) routeCluster(r *adminapi.Router) {
	adminapi.Handle(r, adminapi.QuestionMembers, func(context.Context, adminapi.Empty) (adminapi.MembersReply, error) {
		return onTransport(x.cluster, func(now float64, v *membership.View) (adminapi.MembersReply, error) {
			return x.cluster.membersReply(now, v), nil
		})
	})
	adminapi.Handle(r, adminapi.QuestionMemberExplain, func(_ context.Context, q adminapi.NameRequest) (adminapi.MemberExplanation, error) {
		return onTransport(x.cluster, func(now float64, v *membership.View) (adminapi.MemberExplanation, error) {
			return explainMember(now, v, q.Name)
		})
	})
	adminapi.Handle(r, adminapi.QuestionConsensus, func(context.Context, adminapi.Empty) (adminapi.ConsensusReply, error) {
		return x.cluster.consensusReply()
	})
	adminapi.Handle(r, adminapi.QuestionReplaceVoter, func(_ context.Context, q adminapi.ReplaceVoterRequest) (adminapi.Accepted, error) {
		return onTransport(x.cluster, func(now float64, _ *membership.View) (adminapi.Accepted, error) {
			return x.cluster.replaceVoter(now, q)
		})
	})
}

// onTransport makes a call on the transport's goroutine, which owns the view, where there is a cluster.
func onTransport[Reply any](c *cluster, call func(now float64, v *membership.View) (Reply, error)) (reply Reply, err error) {
	if c == nil {
		return reply, adminapi.RequestErrorf("there is no cluster: the operators' file has no block cluster")
	}
	done := c.transport.Do(func(now float64, v *membership.View) { reply, err = call(now, v) })
	if !done {
		return reply, errStopping
	}
	return reply, err
}

// membersReply returns the whole view.
func (c *cluster) membersReply(now float64, v *membership.View) adminapi.MembersReply {
	n := v.Counts()
	reply := adminapi.MembersReply{Cluster: c.file.Name, Self: v.Self().Name, Present: v.ControllerCount(), Slowness: v.LocalHealthScore(),
		Probes: n.Probes, Unanswered: n.Unanswered, Sent: n.Sent, SentBytes: n.SentBytes, Received: n.Received,
		Hash: strconv.FormatUint(v.Hash(), 16)}
	for _, m := range v.Members() {
		reply.Members = append(reply.Members, adminapi.Member{Name: m.Name, Incarnation: strconv.FormatUint(m.Incarnation, 10),
			Refutation: m.Refutation, State: m.State.String(), Flags: m.Flags.Names(), Address: m.Address, Zone: m.Zone,
			Region: m.Region, Version: m.Version, InStateMS: math.Round(now - m.Since)})
	}
	return reply
}

// explainMember returns what was observed of a member.
func explainMember(now float64, v *membership.View, name string) (adminapi.MemberExplanation, error) {
	m, known := v.Find(name)
	if !known {
		return adminapi.MemberExplanation{}, adminapi.RequestErrorf("no member %q is known here", name)
	}
	reply := adminapi.MemberExplanation{Name: m.Name, State: m.State.String(), InStateMS: math.Round(now - m.Since), Address: m.Address,
		Incarnation: strconv.FormatUint(m.Incarnation, 10), Refutation: m.Refutation, AccusedBy: m.AccusedBy}
	for _, e := range v.Explain(name) {
		reply.Evidence = append(reply.Evidence, adminapi.Evidence{AgoMS: math.Round(now - e.At), Observation: e.Observation, Reporter: e.Reporter})
	}
	return reply, nil
}

// errNoGroup is returned where the cluster has no consensus group.
var errNoGroup = adminapi.RequestErrorf("there is no consensus group: the block cluster names no founders")

// consensusReply returns how this member stands to the consensus group, with the record of the member that leads.
func (c *cluster) consensusReply() (adminapi.ConsensusReply, error) {
	var record consensus.Record
	if c != nil && c.node != nil {
		var err error
		if record, err = c.node.Record(); err != nil {
			return adminapi.ConsensusReply{}, fmt.Errorf("consensus: the leader did not send the record: %w", err)
		}
	}
	return onTransport(c, func(now float64, v *membership.View) (adminapi.ConsensusReply, error) {
		if c.node == nil {
			return adminapi.ConsensusReply{}, errNoGroup
		}
		return c.describeRecord(now, v, record), nil
	})
}

func (c *cluster) describeRecord(now float64, v *membership.View, record consensus.Record) adminapi.ConsensusReply {
	s := c.node.Status(now)
	reply := adminapi.ConsensusReply{Formed: s.Formed, Voter: s.Voter, Failed: s.Failed, Leader: s.Leader, Term: s.Term, Commit: s.Commit,
		LogEntries: s.LogEntries, LeaseHeld: s.LeaseHeld, LeaseLeftMS: math.Round(s.LeaseLeftMS), DeclaredLost: record.DeclaredLost}
	for _, voter := range record.Voters {
		m, _ := v.Find(voter.Name)
		reply.Voters = append(reply.Voters, adminapi.Voter{Name: voter.Name, Zone: m.Zone, State: m.State.String(), ID: strconv.FormatUint(voter.ID, 16)})
	}
	for _, name := range slices.Sorted(maps.Keys(record.Members)) {
		m := record.Members[name]
		reply.Members = append(reply.Members, adminapi.AgreedMember{Name: name, Incarnation: strconv.FormatUint(m.Incarnation, 10),
			Term: m.Term, Lost: m.Lost, LeftGracefully: m.LeftGracefully})
	}
	return reply
}

// replaceVoter has one voter replaced by another member, where this member leads.
func (c *cluster) replaceVoter(now float64, q adminapi.ReplaceVoterRequest) (adminapi.Accepted, error) {
	if c.node == nil {
		return adminapi.Accepted{}, errNoGroup
	}
	if err := c.node.ReplaceVoter(now, q.From, q.To); err != nil {
		return adminapi.Accepted{}, adminapi.RequestErrorf("%w", err)
	}
	return adminapi.Accepted{Accepted: true}, nil
}
