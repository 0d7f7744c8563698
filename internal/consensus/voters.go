package consensus

import (
	"cmp"
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// maxLearnerLag is the number of entries that a learner may lack to be made a voter.
const maxLearnerLag = 16

// voterMove is an operator's request to replace one voter by another.
type voterMove struct{ from, to string }

// reviewVoters replaces a voter that has been unreachable for long, one at a time: first a learner receives the log, then it takes the
// voter's place.
func (g *Group) reviewVoters() {
	if g.isConfChangeRecent() || len(g.confState.GetVotersOutgoing()) > 0 {
		return
	}
	if g.learner.ID != 0 {
		g.promoteLearner()
		return
	}
	replaced := g.voterToReplace()
	if replaced == nil && len(g.confState.GetVoters()) >= g.settings.Voters {
		return
	}
	if to := g.chooseLearner(replaced); to != "" {
		g.emit(Effect{Kind: SendHello, To: to})
	}
}

// isConfChangeRecent reports whether a configuration change was proposed lately and not applied yet.
func (g *Group) isConfChangeRecent() bool {
	return g.confChangeAt != 0 && g.now < g.confChangeAt+g.settings.ReplaceVoterMS
}

// voterToReplace returns the voter that an operator named, or one that has been unreachable for long, or nil.
func (g *Group) voterToReplace() *Voter {
	for k := range g.record.Voters {
		v := &g.record.Voters[k]
		if v.ID == g.nodeID || !slices.Contains(g.confState.GetVoters(), v.ID) {
			continue
		}
		if v.Name == g.voterMove.from {
			return v
		}
		key := voterKey(v.Name)
		o, observed := g.observations[v.Name]
		if observed && o.Alive && g.isRecentlyActive(v.ID) {
			delete(g.unseenSince, key)
			continue
		}
		if since, known := g.unseenSince[key]; !known {
			g.unseenSince[key] = g.now
		} else if g.now > since+g.settings.ReplaceVoterMS {
			return v
		}
	}
	return nil
}

// voterKey is the key of a voter in unseenSince. A member can be seen while its vote, in a lost data folder, is not.
func voterKey(name string) string { return "voter " + name }

// isRecentlyActive reports whether a voter has answered Raft messages lately.
func (g *Group) isRecentlyActive(id uint64) bool { return g.node.Status().Progress[id].RecentActive }

// chooseLearner returns the member that is to become a voter: the one that an operator named, or of those with a disk the first by name
// in the zone with the fewest voters.
func (g *Group) chooseLearner(replaced *Voter) string {
	if to := g.voterMove.to; to != "" {
		if o, observed := g.observations[to]; observed && o.Alive && o.CanVote {
			return to
		}
		return ""
	}
	votersInZone := map[string]int{}
	isVoter := map[string]bool{}
	for _, v := range g.record.Voters {
		if replaced != nil && v.ID == replaced.ID {
			continue
		}
		votersInZone[g.observations[v.Name].Zone]++
		isVoter[v.Name] = true
	}
	var eligible []Observation
	for _, o := range g.observations {
		if o.Alive && o.CanVote && !o.Duplicated && !isVoter[o.Name] {
			eligible = append(eligible, o)
		}
	}
	if len(eligible) == 0 {
		return ""
	}
	return slices.MinFunc(eligible, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(votersInZone[a.Zone], votersInZone[b.Zone]), cmp.Compare(a.Name, b.Name))
	}).Name
}

// handleLearnerHello adds the chosen member as a learner, once it has told its data folder.
func (g *Group) handleLearnerHello(h *Hello) {
	replaced := g.voterToReplace()
	if g.learner.ID != 0 || h.Folder == "" || h.Name != g.chooseLearner(replaced) || g.isConfChangeRecent() {
		return
	}
	id := NodeID(h.Name, h.Folder)
	if slices.Contains(g.confState.GetVoters(), id) {
		return
	}
	g.learner = Hello{Name: h.Name, Folder: h.Folder, ID: id}
	g.replacedID = 0
	if replaced != nil {
		g.replacedID = replaced.ID
	}
	g.proposeLearnerChange(raftpb.ConfChangeAddLearnerNode)
}

// proposeLearnerChange proposes to add the learner, or to make it a voter in the place of the replaced one.
func (g *Group) proposeLearnerChange(kind raftpb.ConfChangeType) {
	id := g.learner.ID
	context, err := json.Marshal([]Voter{{ID: id, Name: g.learner.Name, Zone: g.observations[g.learner.Name].Zone}})
	if err != nil {
		return
	}
	change := &raftpb.ConfChangeV2{Context: context, Changes: []*raftpb.ConfChangeSingle{confChange(kind, id)}}
	if kind == raftpb.ConfChangeAddNode && g.replacedID != 0 {
		change.Changes = append(change.Changes, confChange(raftpb.ConfChangeRemoveNode, g.replacedID))
	}
	if g.node.ProposeConfChange(change) == nil {
		g.confChangeAt = g.now
	}
}

func confChange(kind raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(id)}
}

// promoteLearner makes the learner a voter once it has caught up, or gives it up if it is gone.
func (g *Group) promoteLearner() {
	progress, isLearning := g.node.Status().Progress[g.learner.ID]
	switch {
	case slices.Contains(g.confState.GetVoters(), g.learner.ID):
		g.learner = Hello{}
		g.replacedID = 0
		g.voterMove = voterMove{}
	case isLearning && progress.Match+maxLearnerLag >= g.appliedIndex:
		g.proposeLearnerChange(raftpb.ConfChangeAddNode)
	case !isLearning:
		g.learner = Hello{}
	case !g.observations[g.learner.Name].Alive:
		change := &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeRemoveNode, g.learner.ID)}}
		if g.node.ProposeConfChange(change) == nil {
			g.learner = Hello{}
			g.confChangeAt = g.now
		}
	}
}

// applyConfChange applies a configuration change; its context names the voter that is added.
func (g *Group) applyConfChange(change raftpb.ConfChangeI, context []byte) {
	g.confState = g.node.ApplyConfChange(change)
	var added []Voter
	if len(context) > 0 {
		_ = json.Unmarshal(context, &added)
	}
	voters := g.record.Voters[:0:0]
	for _, v := range slices.Concat(g.record.Voters, added) {
		isKnown := slices.ContainsFunc(voters, func(other Voter) bool { return other.ID == v.ID })
		if g.isInConfiguration(v.ID) && !isKnown {
			voters = append(voters, v)
		}
	}
	sortVoters(voters)
	g.record.Voters = voters
	g.confChangeAt = 0
	g.votersChanged = true
}

// isInConfiguration reports whether a node is a voter or learner, also of a configuration that is being left.
func (g *Group) isInConfiguration(id uint64) bool {
	for _, ids := range [...][]uint64{g.confState.GetVoters(), g.confState.GetLearners(), g.confState.GetVotersOutgoing(),
		g.confState.GetLearnersNext()} {
		if slices.Contains(ids, id) {
			return true
		}
	}
	return false
}
