package consensus

import (
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// helloIntervalMS is the mean time between two rounds of Hello requests to the other founders.
const helloIntervalMS = 500

// requestHellos asks the other founders for their Hello, if a round is due, and until this member knows of a group, also
// the other members that may vote and have not answered yet. Once a founder knows the data folders of all founders and
// that nobody knows of a group, it forms the group locally; all founders start from the same first snapshot.
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
	if g.groupKnown {
		return
	}
	for _, name := range g.unansweredMembers() {
		g.emit(Effect{Kind: RequestHello, To: name})
	}
}

// unansweredMembers returns the names, sorted, of the reachable members that are no founders, may vote in an existing
// group, and have not sent their Hello.
func (g *Group) unansweredMembers() []string {
	return slices.DeleteFunc(g.otherPossibleVoters(g.founders), func(name string) bool {
		_, answered := g.hellos[name]
		return answered
	})
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
	if len(h.Founders) > 0 || h.GroupKnown {
		g.groupKnown = true
		clear(g.hellos)
	}
	if slices.ContainsFunc(h.Founders, func(v Voter) bool { return v.ID == g.nodeID }) {
		g.formGroup(h.Founders)
		return
	}
	if g.groupKnown { // this data folder was not part of the formation: the leader may add this member as a voter later
		return
	}
	relevant := g.observations[h.Name].CanVote
	if slices.Contains(g.founders, h.Name) {
		relevant = h.Folder != ""
	}
	if relevant {
		g.hellos[h.Name] = *h
		g.formGroupIfNew()
	}
}

// formGroupIfNew forms the group if the data folders of all founders are known and no reachable member can know of an
// existing group. A founder that has lost its data folder knows nothing of the group that goes on without it.
func (g *Group) formGroupIfNew() {
	voters := []Voter{{ID: g.nodeID, Name: g.name}}
	for _, name := range g.founders {
		if other, known := g.hellos[name]; known {
			voters = append(voters, Voter{ID: NodeID(name, other.Folder), Name: name})
		}
	}
	if len(voters) < len(g.founders) || len(g.unansweredMembers()) > 0 {
		return
	}
	sortVoters(voters)
	g.formGroup(voters)
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
