package consensus

import "go.etcd.io/raft/v3"

const (
	heartbeatMS = 100 // between heartbeats of the leader
	electionMS  = 800 // least time without a heartbeat until an election
)

func (g *Group) postponeElection() { g.electionAt = g.now + electionMS*(1+g.random()) }

// startElection campaigns if this member is a voter.
func (g *Group) startElection() {
	g.postponeElection()
	if g.isVoter() {
		g.failOn(g.node.Campaign())
	}
}

// handleSoftState takes who leads now.
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

// becomeLeader resets the leader's state. The grants of the leader before are not known here.
func (g *Group) becomeLeader() {
	g.noLossUntil = g.now + g.settings.LeaseMS*(1+2*maxClockDrift)
	clear(g.grantedUntil)
	clear(g.unseenSince)
	clear(g.proposedLost)
	g.learner = Hello{}
	g.replacedID = 0
	g.confChangeAt = 0
	g.reviewAt = g.now
}

// stepDown turns away the lease requests that wait.
func (g *Group) stepDown() {
	for _, request := range g.takeLeaseRequests() {
		g.emit(Effect{Kind: ReplyLease, Token: request.token, Reply: LeaseReply{Verdict: NotLeader}})
	}
	g.postponeElection()
}

// leaderName returns the name of the leader by Raft's knowledge, or "".
func (g *Group) leaderName() string {
	if g.leaderID == 0 {
		return ""
	}
	return g.peerName(g.leaderID)
}
