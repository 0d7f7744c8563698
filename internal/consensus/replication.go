package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Limits passed to the Raft library.
const (
	maxMessageBytes     = 64 << 10
	maxInflightMessages = 64
	maxUncommittedBytes = 4 << 20
)

// maxPeerNames bounds the message senders whose names are kept.
const maxPeerNames = 32

// startNode starts the Raft node of this member from the persisted state.
func (g *Group) startNode(persisted PersistedState) {
	g.storage = raft.NewMemoryStorage()
	if persisted.Snapshot != nil {
		g.failOn(g.storage.ApplySnapshot(persisted.Snapshot))
		g.restoreSnapshot(persisted.Snapshot)
	}
	if persisted.State != nil {
		g.failOn(g.storage.SetHardState(persisted.State))
	}
	g.failOn(g.storage.Append(persisted.Entries))
	node, err := raft.NewRawNode(&raft.Config{ID: g.nodeID, ElectionTick: int(minElectionTimeoutMS / heartbeatIntervalMS),
		HeartbeatTick: 1, Storage: g.storage, Applied: g.appliedIndex, MaxSizePerMsg: maxMessageBytes,
		MaxInflightMsgs: maxInflightMessages, CheckQuorum: true, PreVote: true, Logger: discardLogger{},
		MaxUncommittedEntriesSize: maxUncommittedBytes, DisableProposalForwarding: true, AsyncStorageWrites: true})
	g.failOn(err)
	if err == nil {
		g.node = node
	}
	g.nextTickAt = g.now
	g.postponeElection()
}

// tickNode passes the due ticks to the Raft library.
func (g *Group) tickNode() {
	for ; g.now >= g.nextTickAt; g.nextTickAt += heartbeatIntervalMS {
		if g.now > g.nextTickAt+2*minElectionTimeoutMS { // the process was paused: skip the ticks of that time
			g.nextTickAt = g.now
		}
		switch {
		case !g.isLeader:
			g.node.TickQuiesced() // no election: startElection runs on this package's own timer and random numbers
		case !g.lagsBehindGroup():
			g.node.Tick()
		}
	}
}

// handleMessage passes a Raft message to the library. Messages to another node ID and malformed ones are ignored.
func (g *Group) handleMessage(from string, data []byte) {
	m := &raftpb.Message{}
	if g.nodeID == 0 || g.failed || proto.Unmarshal(data, m) != nil || m.GetTo() != g.nodeID {
		return
	}
	if len(g.peerNames) > maxPeerNames {
		clear(g.peerNames)
	}
	g.peerNames[m.GetFrom()] = from
	if g.node == nil && !g.startAsLearner(m.GetType()) {
		return
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= g.node.BasicStatus().GetTerm() {
			g.postponeElection()
		}
	case raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgProp, raftpb.MsgCheckQuorum, raftpb.MsgTransferLeader:
		return // local to a node, never accepted from peers
	}
	_ = g.node.Step(m) // an error means that the library has ignored the message
}

// startAsLearner starts the Raft node of a member to which a leader has begun to replicate, and reports whether the
// node runs.
func (g *Group) startAsLearner(t raftpb.MessageType) bool {
	if t != raftpb.MsgApp && t != raftpb.MsgSnap && t != raftpb.MsgHeartbeat {
		return false
	}
	g.startNode(PersistedState{})
	return g.node != nil
}

// processReady does the work that the Raft library has ready, and starts to persist what has queued up meanwhile.
func (g *Group) processReady() {
	for g.isRunning() {
		if g.node.HasReady() {
			g.handleReady()
			continue
		}
		if !g.persistNext() {
			return
		}
	}
}

// handleReady takes one batch of work from the Raft library. Only what has to wait for the disk is queued for it: votes
// and acknowledgements, which depend on a write. Heartbeats, and the replies to them, are sent while a write takes
// long, so that a disk that stalls does not cost the group its leader.
func (g *Group) handleReady() {
	ready := g.node.Ready()
	if ready.SoftState != nil {
		g.handleSoftState(ready.SoftState)
	}
	var afterWrite []*raftpb.Message
	for _, m := range ready.Messages {
		switch {
		case m.GetTo() == raft.LocalAppendThread:
			g.queueWrite(&ready, append(afterWrite, m.GetResponses()...))
		case m.GetTo() == raft.LocalApplyThread:
			g.applyCommitted(m)
		case m.GetType() == raftpb.MsgVote: // sent once the candidate's own vote is durable
			afterWrite = append(afterWrite, m)
		default:
			g.sendMessage(m)
		}
	}
	g.confirmedReads = append(g.confirmedReads, ready.ReadStates...)
	g.answerConfirmedReads()
}

// applyCommitted applies the committed entries of a message to the thread that applies them.
func (g *Group) applyCommitted(m *raftpb.Message) {
	for _, e := range m.GetEntries() {
		g.applyEntry(e)
	}
	g.deliver(m.GetResponses())
	g.compactLog()
}

// deliver passes messages of this member's storage to the Raft library, or to the peers that they are meant for.
func (g *Group) deliver(messages []*raftpb.Message) {
	for _, m := range messages {
		if m.GetTo() == g.nodeID {
			_ = g.node.Step(m) // an error means that the library has ignored the message
		} else {
			g.sendMessage(m)
		}
	}
}

// sendMessage sends a Raft message to a peer.
func (g *Group) sendMessage(m *raftpb.Message) {
	if data, err := proto.Marshal(m); err == nil {
		g.emit(Effect{Kind: SendMessage, To: g.peerName(m.GetTo()), Data: data})
	}
	if m.GetType() == raftpb.MsgSnap { // whether it arrived shows in the peer's next reply
		g.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// peerName returns the name of the voter or learner with the given Raft ID, or "".
func (g *Group) peerName(id uint64) string {
	for _, list := range [...][]Voter{g.record.Voters, g.record.Founders} {
		for _, v := range list {
			if v.ID == id {
				return v.Name
			}
		}
	}
	if id == g.learner.ID {
		return g.learner.Name
	}
	return g.peerNames[id]
}
