package consensus

import (
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// helloMS is the time between two rounds of Hello requests to the other founders.
const helloMS = 500

// greetFounders asks the other founders for their Hello until each has told its data folder. Then each founder forms the group by
// itself, with an equal first snapshot.
func (g *Group) greetFounders() {
	if !g.isFounder() || g.now < g.helloAt {
		return
	}
	g.helloAt = g.now + helloMS*(0.75+0.5*g.random())
	for _, name := range g.founders {
		if name != g.name {
			g.emit(Effect{Kind: SendHello, To: name})
		}
	}
}

// handleHello takes what another member tells of itself.
func (g *Group) handleHello(h *Hello) {
	if g.isLeader {
		g.handleLearnerHello(h)
		return
	}
	if g.node != nil || g.nodeID == 0 || !g.isFounder() {
		return
	}
	if len(h.Founders) > 0 { // the group exists
		if slices.ContainsFunc(h.Founders, func(v Voter) bool { return v.ID == g.nodeID }) {
			g.form(h.Founders)
		}
		return // another data folder than at formation: it waits to be made a voter
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
		g.form(voters)
	}
}

// form starts the group with its founders as voters.
func (g *Group) form(founders []Voter) {
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
	snapshot := &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	state := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	g.emit(Effect{Kind: Persist, Snapshot: snapshot, State: state})
	g.startNode(PersistedState{Snapshot: snapshot, State: state})
	g.emit(Effect{Kind: GroupFormed})
}
