package consensus

import (
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// helloIntervalMS is the mean time between two rounds of Hello requests to the other founders.
const helloIntervalMS = 500

// requestHellos asks the other founders for their Hello, if a round is due. Once a founder knows the data folders of
// all founders, it forms the group locally; all founders start from the same first snapshot.
func (g *Group) requestHellos() {
	if !g.isFounder() || g.now < g.nextHelloAt {
		return
	}
	g.nextHelloAt = g.now + helloIntervalMS*(0.75+0.5*g.random())
	for _, name := range g.founders {
		if name != g.name {
			g.emit(Effect{Kind: RequestHello, To: name})
		}
	}
}

// handleHello handles the Hello of another member: the leader may add it as a learner, and a founder that has no group
// yet may form one.
func (g *Group) handleHello(h *Hello) {
	if g.isLeader {
		g.handleLearnerHello(h)
		return
	}
	if g.node != nil || g.nodeID == 0 || !g.isFounder() {
		return
	}
	if len(h.Founders) > 0 { // the sender knows an existing group
		if slices.ContainsFunc(h.Founders, func(v Voter) bool { return v.ID == g.nodeID }) {
			g.formGroup(h.Founders)
		}
		return // this data folder was not part of the formation: the leader may add this member as a voter later
	}
	if h.Folder == "" || !slices.Contains(g.founders, h.Name) {
		return
	}
	g.hellos[h.Name] = *h
	voters := []Voter{{ID: g.nodeID, Name: g.name}}
	for _, name := range g.founders {
		if other, known := g.hellos[name]; known {
			voters = append(voters, Voter{ID: NodeID(name, other.Folder), Name: name})
		}
	}
	if len(voters) == len(g.founders) {
		sortVoters(voters)
		g.formGroup(voters)
	}
}

// formGroup persists the first snapshot, in which the founders are the voters, and starts Raft from it.
func (g *Group) formGroup(founders []Voter) {
	record := Record{Members: map[string]Member{}, Voters: founders, Founders: founders}
	data, err := json.Marshal(&record)
	if err != nil {
		g.failOn(err)
		return
	}
	conf := &raftpb.ConfState{}
	for _, v := range founders {
		conf.Voters = append(conf.Voters, v.ID)
	}
	slices.Sort(conf.Voters)
	metadata := &raftpb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}
	snapshot := &raftpb.Snapshot{Data: data, Metadata: metadata}
	state := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	g.emit(Effect{Kind: Persist, Snapshot: snapshot, State: state})
	g.startNode(PersistedState{Snapshot: snapshot, State: state})
	g.emit(Effect{Kind: GroupFormed})
}
