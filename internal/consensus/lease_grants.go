package consensus

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3"
)

const (
	// maxClockDrift is the largest relative drift between two clocks that leases tolerate. It includes a safety factor
	// of two.
	maxClockDrift = 2e-3
	// maxLeaseRequests bounds the lease requests that wait at the leader for a read index.
	maxLeaseRequests = 1024
	// maxPendingReads bounds the read index requests in flight.
	maxPendingReads = 4
)

// leaseRequest is a member's lease request that waits at the leader until a quorum has confirmed the leadership.
type leaseRequest struct {
	name        string
	incarnation uint64
	token       uint64 // of the LeaseRequested event, returned with the reply
}

// handleLeaseRequest queues a member's lease request at the leader. The leader grants the lease only after a quorum has
// confirmed, later than the arrival of the request, that it still leads. Other members reply with the leader's name.
func (g *Group) handleLeaseRequest(event *Event) {
	if event.Release {
		g.releaseLease(event)
		return
	}
	if !g.isLeader || g.failed || len(g.leaseRequests) >= maxLeaseRequests {
		g.emit(Effect{Kind: ReplyLease, Token: event.Token, Reply: LeaseReply{Verdict: NotLeader, Leader: g.leaderToName()}})
		return
	}
	g.leaseRequests = append(g.leaseRequests, leaseRequest{event.Name, event.Incarnation, event.Token})
	g.requestReadIndex()
}

// leaderToName returns the leader that this member names to others, or "". A member that does not vote names the one
// that granted its lease: others may know no voter to ask.
func (g *Group) leaderToName() string {
	if name := g.leaderName(); name != "" || g.isVoter() || !g.LeaseHeld(g.now) {
		return name
	}
	return g.lease.leaderHint
}

// releaseLease handles a member that releases its lease because it shuts down. The leader forgets the grant and
// proposes that the member has left. The reply is Granted if the proposal was accepted or is not needed.
func (g *Group) releaseLease(event *Event) {
	reply := LeaseReply{Verdict: Granted}
	m := g.record.Members[event.Name]
	isCurrent := m.Incarnation == event.Incarnation && !m.Lost
	switch {
	case !g.isLeader:
		reply = LeaseReply{Verdict: NotLeader, Leader: g.leaderName()}
	case isCurrent:
		delete(g.grantedUntil, event.Name)
		if !g.propose(entry{Kind: EntryLeft, Name: event.Name, Incarnation: event.Incarnation}) {
			reply = LeaseReply{Verdict: NotLeader}
		}
	}
	g.emit(Effect{Kind: ReplyLease, Token: event.Token, Reply: reply})
}

// requestReadIndex starts one read index request, which has a quorum confirm the leadership, for all waiting lease
// requests.
func (g *Group) requestReadIndex() {
	if len(g.leaseRequests) == 0 || len(g.pendingReads) >= maxPendingReads || g.lagsBehindGroup() {
		return
	}
	token := g.nextToken()
	g.pendingReads[token] = g.leaseRequests
	g.leaseRequests = nil
	g.node.ReadIndex(binary.BigEndian.AppendUint64(nil, token))
}

// answerConfirmedReads replies to the lease requests whose read index the quorum has confirmed and this leader has
// applied. It must also have applied an entry of its own term, as only then does it know what was committed before.
func (g *Group) answerConfirmedReads() {
	waiting := g.confirmedReads
	g.confirmedReads = nil
	for _, state := range waiting {
		isApplied := state.Index <= g.appliedIndex && g.appliedTerm == g.node.BasicStatus().GetTerm()
		if g.isLeader && !isApplied {
			g.confirmedReads = append(g.confirmedReads, state)
			continue
		}
		g.answerRead(state)
	}
}

// answerRead replies to the lease requests that waited for a read index.
func (g *Group) answerRead(state raft.ReadState) {
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

// grantLease decides on a lease request after the quorum has confirmed the leadership, and returns the reply. The grant
// requires that the record includes the entry at the read index.
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
	return LeaseReply{Verdict: Granted, Leader: g.name, Term: m.Term, PlacementStep: g.record.Placement.Step,
		PlanNumber: g.record.PlanNumber}
}

// takeLeaseRequests removes and returns all lease requests that wait, those with a read index request in flight
// included.
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
