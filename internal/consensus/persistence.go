package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// maxLeaderWriteMS is how long a write of the leader may take while the other voters commit entries without it. Then
// it sends no heartbeats, so that a voter with a faster disk is elected.
const maxLeaderWriteMS = minElectionTimeoutMS

// raftWrite is what the Raft library wants persisted, and the messages that may be sent only after that.
type raftWrite struct {
	term      uint64 // of the Raft node
	entries   []*raftpb.Entry
	state     *raftpb.HardState // nil: unchanged
	snapshot  *raftpb.Snapshot  // nil: none
	responses []*raftpb.Message
}

// isEmpty reports whether there is nothing to write: the responses wait only for the writes before.
func (w *raftWrite) isEmpty() bool {
	return len(w.entries) == 0 && w.state == nil && w.snapshot == nil
}

// canAdd reports whether a later write may be persisted together with this one.
func (w *raftWrite) canAdd(later *raftWrite) bool {
	return later.snapshot == nil && later.term == w.term
}

// add appends a later write. Its entries replace those of the same and of higher indexes.
func (w *raftWrite) add(later *raftWrite) {
	if len(later.entries) > 0 {
		kept := 0
		for kept < len(w.entries) && w.entries[kept].GetIndex() < later.entries[0].GetIndex() {
			kept++
		}
		w.entries = append(w.entries[:kept:kept], later.entries...)
	}
	if later.state != nil {
		w.state = later.state
	}
	w.responses = append(w.responses, later.responses...)
}

// queueWrite queues the part of a batch of the Raft library that is to be persisted, with the messages that wait for it.
func (g *Group) queueWrite(ready *raft.Ready, responses []*raftpb.Message) {
	write := &raftWrite{
		term:      g.node.BasicStatus().GetTerm(),
		entries:   ready.Entries,
		state:     ready.HardState,
		responses: responses,
	}
	if ready.Snapshot.GetMetadata().GetIndex() > 0 {
		write.snapshot = ready.Snapshot
	}
	g.queuedWrites = append(g.queuedWrites, write)
}

// persistNext starts the next write unless one is in flight: the queued writes are combined as far as possible. It
// reports whether that finished at once, as there was nothing to write, so that the Raft library may have more work.
func (g *Group) persistNext() (finished bool) {
	if g.writing != nil || len(g.queuedWrites) == 0 {
		return false
	}
	write := g.queuedWrites[0]
	taken := 1
	for taken < len(g.queuedWrites) && write.canAdd(g.queuedWrites[taken]) {
		write.add(g.queuedWrites[taken])
		taken++
	}
	g.queuedWrites = append(g.queuedWrites[:0], g.queuedWrites[taken:]...)
	g.writing = write
	if write.isEmpty() {
		g.finishWrite()
		return true
	}
	g.writeToken = g.nextToken()
	g.writingSince = g.now
	g.emit(Effect{Kind: Persist, Token: g.writeToken, Entries: write.entries, State: write.state, Snapshot: write.snapshot})
	return false
}

// handleStored finishes the write in flight, or stops this voter if it failed.
func (g *Group) handleStored(event *Event) {
	if g.writing == nil || event.Token != g.writeToken {
		return
	}
	if event.Failed {
		g.fail("persisting Raft state to the disk of this voter failed")
		return
	}
	g.finishWrite()
}

// finishWrite updates the Raft library's storage with a write that is durable, and delivers the messages that waited.
func (g *Group) finishWrite() {
	write := g.writing
	g.writing = nil
	g.writeToken = 0
	if write.snapshot != nil {
		g.failOn(g.storage.ApplySnapshot(write.snapshot))
		g.restoreSnapshot(write.snapshot)
	}
	if write.state != nil {
		g.failOn(g.storage.SetHardState(write.state))
	}
	g.failOn(g.storage.Append(write.entries))
	g.deliver(write.responses)
}

// lagsBehindGroup reports whether the other voters have committed entries that a slow disk keeps this leader from
// applying. It can then grant no leases.
func (g *Group) lagsBehindGroup() bool {
	if g.writing == nil || g.now < g.writingSince+maxLeaderWriteMS {
		return false
	}
	return g.node.BasicStatus().GetCommit() > g.appliedIndex
}
