package consensus

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3"
)

const (
	maxClockDrift    = 2e-3 // by which two clocks may drift apart, doubled for safety
	maxLeaseRequests = 1024 // that wait at the leader
	maxPendingReads  = 4
)

// leaseRequest is a member's request that waits at the leader.
type leaseRequest struct {
	name        string
	incarnation uint64
	token       uint64
}

// handleLeaseRequest takes a member's request for a lease. The leader grants it once a quorum has confirmed, after the request came in,
// that it still leads.
func (g *Group) handleLeaseRequest(ev *Event) {
	if ev.Release {
		g.releaseLease(ev)
		return
	}
	if !g.isLeader || g.failed || len(g.leaseRequests) >= maxLeaseRequests {
		g.emit(Effect{Kind: ReplyLease, Token: ev.Token, Reply: LeaseReply{Verdict: NotLeader, Leader: g.leaderName()}})
		return
	}
	g.leaseRequests = append(g.leaseRequests, leaseRequest{ev.Name, ev.Incarnation, ev.Token})
	g.requestReadIndex()
}

// releaseLease takes a lease back: the member shuts down.
func (g *Group) releaseLease(ev *Event) {
	if m := g.record.Members[ev.Name]; g.isLeader && m.Incarnation == ev.Incarnation && !m.Lost {
		delete(g.grantedUntil, ev.Name)
		g.propose(entry{Kind: EntryLeft, Name: ev.Name, Incarnation: ev.Incarnation})
	}
	g.emit(Effect{Kind: ReplyLease, Token: ev.Token, Reply: LeaseReply{Verdict: Granted}})
}

// requestReadIndex asks the quorum to confirm the leadership, for all requests that wait.
func (g *Group) requestReadIndex() {
	if len(g.leaseRequests) == 0 || len(g.pendingReads) >= maxPendingReads {
		return
	}
	token := g.nextToken()
	g.pendingReads[token] = g.leaseRequests
	g.leaseRequests = nil
	g.node.ReadIndex(binary.BigEndian.AppendUint64(nil, token))
}

// handleReadState answers the requests that came in before the quorum was asked.
func (g *Group) handleReadState(state raft.ReadState) {
	if len(state.RequestCtx) != 8 {
		return
	}
	token := binary.BigEndian.Uint64(state.RequestCtx)
	requests := g.pendingReads[token]
	delete(g.pendingReads, token)
	for _, request := range requests {
		g.emit(Effect{Kind: ReplyLease, Token: request.token, Reply: g.grantLease(&request, state.Index)})
	}
	g.requestReadIndex()
}

func (g *Group) grantLease(request *leaseRequest, index uint64) LeaseReply {
	m, known := g.record.Members[request.name]
	isProposedLost := request.incarnation != 0 && g.proposedLost[request.name] == request.incarnation
	switch {
	case !g.isLeader || g.appliedIndex < index:
		return LeaseReply{Verdict: NotLeader}
	case known && (m.Incarnation > request.incarnation || m.Incarnation == request.incarnation && m.Lost):
		return LeaseReply{Verdict: IncarnationLost, Term: m.Term}
	case !known || m.Incarnation != request.incarnation || isProposedLost:
		return LeaseReply{Verdict: NotAdmitted}
	}
	g.grantedUntil[request.name] = g.now + g.settings.LeaseMS*(1+maxClockDrift)
	return LeaseReply{Verdict: Granted, Leader: g.name, Term: m.Term, PlacementStep: g.record.Placement.Step, PlanNumber: g.record.PlanNumber}
}

// takeLeaseRequests removes and returns all requests that wait.
func (g *Group) takeLeaseRequests() []leaseRequest {
	all := g.leaseRequests
	tokens := make([]uint64, 0, len(g.pendingReads))
	for token := range g.pendingReads {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	for _, token := range tokens {
		all = append(all, g.pendingReads[token]...)
	}
	g.leaseRequests = nil
	clear(g.pendingReads)
	return all
}
