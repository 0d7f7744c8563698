package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Limits of the Raft library.
const (
	maxMessageBytes     = 64 << 10
	maxInflightMessages = 64
	maxUncommittedBytes = 4 << 20
)

// maxPeerNames bounds the voters that are remembered by ID.
const maxPeerNames = 32

// startNode starts to take part in Raft, from what is on the disk.
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
	node, err := raft.NewRawNode(&raft.Config{ID: g.nodeID, ElectionTick: int(electionMS / heartbeatMS), HeartbeatTick: 1, Storage: g.storage,
		Applied: g.appliedIndex, MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, CheckQuorum: true, PreVote: true,
		Logger: discardLogger{}, MaxUncommittedEntriesSize: maxUncommittedBytes, DisableProposalForwarding: true})
	g.failOn(err)
	if err == nil {
		g.node = node
	}
	g.tickAt = g.now
	g.postponeElection()
}

// tickNode gives the library the ticks that are due.
func (g *Group) tickNode() {
	for ; g.now >= g.tickAt; g.tickAt += heartbeatMS {
		if g.now > g.tickAt+2*electionMS { // the process was paused: that time is skipped
			g.tickAt = g.now
		}
		if g.isLeader {
			g.node.Tick()
		} else {
			g.node.TickQuiesced() // startElection begins elections, by this package's own randomness
		}
	}
}

// handleMessage takes a Raft message. Messages to another node ID and those that can't be decoded are ignored.
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
		return // local messages, never accepted from outside
	}
	_ = g.node.Step(m) // an error means that the library ignores the message
}

// startAsLearner starts a node that a leader has begun to replicate to, and reports whether it runs.
func (g *Group) startAsLearner(t raftpb.MessageType) bool {
	if t != raftpb.MsgApp && t != raftpb.MsgSnap && t != raftpb.MsgHeartbeat {
		return false
	}
	g.startNode(PersistedState{})
	return g.node != nil
}

// processReady takes batches from the library. A batch is persisted, then its messages are sent, then its committed entries applied.
// One batch at a time is being persisted.
func (g *Group) processReady() {
	for g.isRunning() && g.ready == nil && g.node.HasReady() {
		rd := g.node.Ready()
		g.ready = &rd
		if rd.SoftState != nil {
			g.handleSoftState(rd.SoftState)
		}
		hasSnapshot := rd.Snapshot.GetMetadata().GetIndex() > 0
		if hasSnapshot || len(rd.Entries) > 0 || rd.HardState != nil {
			g.persistToken = g.nextToken()
			e := Effect{Kind: Persist, Token: g.persistToken, Entries: rd.Entries, State: rd.HardState}
			if hasSnapshot {
				e.Snapshot = rd.Snapshot
			}
			g.emit(e)
			return
		}
		g.finishReady()
	}
}

// handleStored continues with the batch that is durable now.
func (g *Group) handleStored(ev *Event) {
	if g.ready == nil || ev.Token != g.persistToken {
		return
	}
	if ev.Failed {
		g.fail("the disk of this voter does not take what must last")
		return
	}
	g.finishReady()
}

// finishReady sends and applies a batch that has been persisted.
func (g *Group) finishReady() {
	rd := g.ready
	if rd.Snapshot.GetMetadata().GetIndex() > 0 {
		g.failOn(g.storage.ApplySnapshot(rd.Snapshot))
		g.restoreSnapshot(rd.Snapshot)
	}
	if rd.HardState != nil {
		g.failOn(g.storage.SetHardState(rd.HardState))
	}
	g.failOn(g.storage.Append(rd.Entries))
	for _, m := range rd.Messages {
		if data, err := proto.Marshal(m); err == nil {
			g.emit(Effect{Kind: SendMessage, To: g.peerName(m.GetTo()), Data: data})
		}
		if m.GetType() == raftpb.MsgSnap { // the peer's next request shows whether it arrived
			g.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	for _, e := range rd.CommittedEntries {
		g.applyEntry(e)
	}
	for _, state := range rd.ReadStates {
		g.handleReadState(state)
	}
	g.ready = nil
	g.persistToken = 0
	g.node.Advance(*rd)
	g.compactLog()
}

// peerName returns the name of the voter with a node ID, or "".
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
