package consensus

import (
	"encoding/json"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

const (
	entriesPerSnapshot = 512 // applied entries between two snapshots
	retainedLogEntries = 64  // entries kept in the log for followers that lag slightly
)

// compactLog takes a snapshot and truncates the log if entriesPerSnapshot entries were applied since the last snapshot.
// It does so too when the voters have changed, as the first snapshot sent to a learner has to include that learner.
func (g *Group) compactLog() {
	if g.appliedIndex < g.snapshotIndex+entriesPerSnapshot && !g.votersChanged {
		return
	}
	g.votersChanged = false
	data, err := json.Marshal(&g.record)
	if err != nil {
		g.failOn(err)
		return
	}
	snapshot, err := g.storage.CreateSnapshot(g.appliedIndex, g.confState, data)
	if err != nil {
		g.failOn(err)
		return
	}
	g.snapshotIndex = g.appliedIndex
	if first, err := g.storage.FirstIndex(); err == nil && g.appliedIndex > retainedLogEntries+first {
		g.failOn(g.storage.Compact(g.appliedIndex - retainedLogEntries))
	}
	g.emit(Effect{Kind: Persist, Snapshot: snapshot}) // no token: nothing waits for the snapshot to be durable
}

// restoreSnapshot replaces the record by that of a snapshot and emits effects for the differences.
func (g *Group) restoreSnapshot(snapshot *raftpb.Snapshot) {
	record := Record{}
	if err := json.Unmarshal(snapshot.GetData(), &record); err != nil {
		g.failOn(err)
		return
	}
	if record.Members == nil {
		record.Members = map[string]Member{}
	}
	before := g.record.Members
	g.record = record
	g.confState = snapshot.GetMetadata().GetConfState()
	g.appliedIndex = snapshot.GetMetadata().GetIndex()
	g.appliedTerm = snapshot.GetMetadata().GetTerm()
	g.snapshotIndex = g.appliedIndex
	for _, name := range slices.Sorted(maps.Keys(record.Members)) {
		if m := record.Members[name]; m != before[name] {
			g.emitMemberState(name, m)
		}
	}
	if record.Placement.Copies > 0 {
		g.emit(Effect{Kind: PlacementChanged})
	}
	if record.PlanNumber > 0 || len(record.Orders) > 0 {
		g.emit(Effect{Kind: PlanChanged})
	}
}

// emitMemberState emits MemberAdmitted or MemberLost for a member's new state in the record.
func (g *Group) emitMemberState(name string, m Member) {
	e := Effect{Kind: MemberAdmitted, Name: name, Incarnation: m.Incarnation, Term: m.Term}
	if m.Lost {
		e.Kind = MemberLost
	}
	if m.LeftGracefully {
		e.Reason = "graceful shutdown"
	}
	g.emit(e)
}
