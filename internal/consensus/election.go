package consensus

import "go.etcd.io/raft/v3"

const (
	heartbeatIntervalMS  = 100 // time between heartbeats of the leader
	minElectionTimeoutMS = 800 // minimum time without a heartbeat before an election
)

// postponeElection restarts the election timeout, which is randomized between one and two minElectionTimeoutMS.
func (g *Group) postponeElection() { g.electionDueAt = g.now + minElectionTimeoutMS*(1+g.random()) }

// startElection restarts the election timeout and campaigns if this member is a voter.
func (g *Group) startElection() {
	g.postponeElection()
	if g.isVoter() {
		g.failOn(g.node.Campaign())
	}
}

// handleSoftState handles a change of the leader.
func (g *Group) handleSoftState(s *raft.SoftState) {
	isLeader := s.RaftState == raft.StateLeader
	if isLeader && !g.isLeader {
		g.becomeLeader()
	}
	if !isLeader && g.isLeader {
		g.stepDown()
	}
	g.isLeader = isLeader
	if s.Lead != g.leaderID {
		g.leaderID = s.Lead
		g.rejectedLeader = ""
		g.emit(Effect{Kind: LeaderChanged, Name: g.leaderName()})
	}
}

// becomeLeader initializes the leader's state. The leases that the previous leader granted are unknown, so that no
// member is declared lost until all of them have expired.
func (g *Group) becomeLeader() {
	g.noLossUntil = g.now + g.settings.LeaseMS*(1+2*maxClockDrift)
	clear(g.grantedUntil)
	clear(g.unseenSince)
	clear(g.proposedLost)
	g.learner = Hello{}
	g.replacedID = 0
	g.requestedReplacement = voterReplacement{}
	g.confChangeProposedAt = 0
	g.nextReviewAt = g.now
}

// stepDown rejects the lease requests that wait.
func (g *Group) stepDown() {
	for _, request := range g.takeLeaseRequests() {
		g.emit(Effect{Kind: ReplyLease, Token: request.token, Reply: LeaseReply{Verdict: NotLeader}})
	}
	g.confirmedReads = nil
	g.postponeElection()
}

// forgetLeader is called when this voter fails and no longer learns from Raft who leads. A leader steps down.
func (g *Group) forgetLeader() {
	if g.isLeader {
		g.isLeader = false
		g.stepDown()
	}
	if g.lease.leaderHint == g.name {
		g.lease.leaderHint = ""
	}
	if g.leaderID != 0 {
		g.leaderID = 0
		g.rejectedLeader = ""
		g.emit(Effect{Kind: LeaderChanged})
	}
}

// leaderName returns the name of the leader that Raft knows, or "".
func (g *Group) leaderName() string {
	if g.leaderID == 0 {
		return ""
	}
	return g.peerName(g.leaderID)
}
