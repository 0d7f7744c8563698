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
		MaxUncommittedEntriesSize: maxUncommittedBytes, DisableProposalForwarding: true})
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
		if g.isLeader {
			g.node.Tick()
		} else {
			g.node.TickQuiesced() // no election: startElection runs on this package's own timer and random numbers
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

// processReady takes batches of work from the Raft library. Each batch is persisted first; then its messages are sent
// and its committed entries are applied. At most one batch is being persisted at a time.
func (g *Group) processReady() {
	for g.isRunning() && g.pendingReady == nil && g.node.HasReady() {
		ready := g.node.Ready()
		g.pendingReady = &ready
		if ready.SoftState != nil {
			g.handleSoftState(ready.SoftState)
		}
		hasSnapshot := ready.Snapshot.GetMetadata().GetIndex() > 0
		if hasSnapshot || len(ready.Entries) > 0 || ready.HardState != nil {
			g.persistToken = g.nextToken()
			e := Effect{Kind: Persist, Token: g.persistToken, Entries: ready.Entries, State: ready.HardState}
			if hasSnapshot {
				e.Snapshot = ready.Snapshot
			}
			g.emit(e)
			return
		}
		g.finishReady()
	}
}

// handleStored finishes the batch that has been persisted, or stops this voter if persisting failed.
func (g *Group) handleStored(event *Event) {
	if g.pendingReady == nil || event.Token != g.persistToken {
		return
	}
	if event.Failed {
		g.fail("persisting Raft state to the disk of this voter failed")
		return
	}
	g.finishReady()
}

// finishReady sends the messages of a persisted batch and applies its committed entries.
func (g *Group) finishReady() {
	ready := g.pendingReady
	if ready.Snapshot.GetMetadata().GetIndex() > 0 {
		g.failOn(g.storage.ApplySnapshot(ready.Snapshot))
		g.restoreSnapshot(ready.Snapshot)
	}
	if ready.HardState != nil {
		g.failOn(g.storage.SetHardState(ready.HardState))
	}
	g.failOn(g.storage.Append(ready.Entries))
	for _, m := range ready.Messages {
		if data, err := proto.Marshal(m); err == nil {
			g.emit(Effect{Kind: SendMessage, To: g.peerName(m.GetTo()), Data: data})
		}
		if m.GetType() == raftpb.MsgSnap { // whether it arrived shows in the peer's next reply
			g.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	for _, e := range ready.CommittedEntries {
		g.applyEntry(e)
	}
	for _, state := range ready.ReadStates {
		g.handleReadState(state)
	}
	g.pendingReady = nil
	g.persistToken = 0
	g.node.Advance(*ready)
	g.compactLog()
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
