package consensus

import (
	"encoding/json"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

const (
	snapshotEntries = 512 // applied entries after which the log is compacted
	retainedEntries = 64  // entries that stay in the log for followers that lag a little
)

// compactLog writes a snapshot and shortens the log, where the log is long or the voters have changed: a learner's first snapshot has to
// name it.
func (g *Group) compactLog() {
	if g.appliedIndex < g.snapshotIndex+snapshotEntries && !g.votersChanged {
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
	if first, err := g.storage.FirstIndex(); err == nil && g.appliedIndex > retainedEntries+first {
		g.failOn(g.storage.Compact(g.appliedIndex - retainedEntries))
	}
	g.emit(Effect{Kind: Persist, Snapshot: snapshot}) // nothing waits for it
}

// restoreSnapshot replaces the record by that of a snapshot and reports what is new in it.
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
	g.snapshotIndex = g.appliedIndex
	for _, name := range slices.Sorted(maps.Keys(record.Members)) {
		if m := record.Members[name]; m != before[name] {
			g.emitMember(name, m)
		}
	}
	if record.Placement.Copies > 0 {
		g.emit(Effect{Kind: PlacementChanged})
	}
	if record.PlanNumber > 0 || len(record.Orders) > 0 {
		g.emit(Effect{Kind: PlanChanged})
	}
}

// emitMember reports a member's new state in the record.
func (g *Group) emitMember(name string, m Member) {
	e := Effect{Kind: MemberAdmitted, Name: name, Incarnation: m.Incarnation, Term: m.Term}
	if m.Lost {
		e.Kind = MemberLost
	}
	if m.LeftGracefully {
		e.Reason = "it left"
	}
	g.emit(e)
}
