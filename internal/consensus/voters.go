package consensus

import (
	"cmp"
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// maxLearnerLag is the largest number of entries that a learner may lack when it is made a voter.
const maxLearnerLag = 16

// voterReplacement is an operator's request to replace the voter from by the member to, both by name.
type voterReplacement struct {
	from, to  string
	expiresAt float64 // the request is dropped if its learner has not been added by then; 0: not reviewed yet
}

// expireRequestedReplacement drops an operator's request that could not be started within ReplaceVoterMS. It is called
// while no other replacement is under way.
func (g *Group) expireRequestedReplacement() {
	requested := &g.requestedReplacement
	switch {
	case *requested == voterReplacement{}:
	case requested.expiresAt == 0:
		requested.expiresAt = g.now + g.settings.ReplaceVoterMS
	case g.now >= requested.expiresAt:
		*requested = voterReplacement{}
	}
}

// reviewVoters replaces a voter that has been unreachable for ReplaceVoterMS or that an operator wants replaced, and
// fills vacant places, one voter at a time. The new member is a learner first and becomes a voter once it has received
// the log.
func (g *Group) reviewVoters() {
	if g.isConfChangePending() || len(g.confState.GetVotersOutgoing()) > 0 {
		return
	}
	if g.learner.ID != 0 {
		g.promoteLearner()
		return
	}
	g.expireRequestedReplacement()
	replaced := g.voterToReplace()
	if replaced == nil && len(g.confState.GetVoters()) >= g.settings.Voters {
		return
	}
	if to := g.chooseLearner(replaced); to != "" {
		g.emit(Effect{Kind: RequestHello, To: to})
	}
}

// isConfChangePending reports whether a configuration change was proposed within ReplaceVoterMS and is not applied yet.
func (g *Group) isConfChangePending() bool {
	return g.confChangeProposedAt != 0 && g.now < g.confChangeProposedAt+g.settings.ReplaceVoterMS
}

// voterToReplace returns the voter that an operator wants replaced or one that has been unreachable for ReplaceVoterMS,
// whichever comes first in the record, or nil. It also updates since when voters have been unreachable.
func (g *Group) voterToReplace() *Voter {
	for i := range g.record.Voters {
		v := &g.record.Voters[i]
		if v.ID == g.nodeID || !slices.Contains(g.confState.GetVoters(), v.ID) {
			continue
		}
		if v.Name == g.requestedReplacement.from {
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

// voterKey returns the key of a voter in unseenSince. It differs from the member's own key, as a member that has lost
// its data folder is reachable while its former voter is not.
func voterKey(name string) string { return "voter " + name }

// isRecentlyActive reports whether the leader has recently received Raft messages from a voter.
func (g *Group) isRecentlyActive(id uint64) bool { return g.node.Status().Progress[id].RecentActive }

// chooseLearner returns the name of the member that is to become a voter, or "". If an operator requested the
// replacement of the replaced voter, it is the member that the operator named. Otherwise it is, of the eligible members
// in the zones with the fewest voters, the first by name.
func (g *Group) chooseLearner(replaced *Voter) string {
	if to := g.requestedReplacement.to; to != "" && replaced != nil && replaced.Name == g.requestedReplacement.from {
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

// handleLearnerHello adds the chosen member as a learner after it has reported its data folder.
func (g *Group) handleLearnerHello(h *Hello) {
	replaced := g.voterToReplace()
	if g.learner.ID != 0 || h.Folder == "" || h.Name != g.chooseLearner(replaced) || g.isConfChangePending() {
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

// proposeLearnerChange proposes to add the learner, or to make it a voter and remove the one that it replaces.
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
		g.confChangeProposedAt = g.now
	}
}

// confChange returns a change of a single node.
func confChange(kind raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(id)}
}

// promoteLearner makes the learner a voter once it has caught up, or drops it if it is no longer reachable.
func (g *Group) promoteLearner() {
	progress, isLearning := g.node.Status().Progress[g.learner.ID]
	switch {
	case slices.Contains(g.confState.GetVoters(), g.learner.ID):
		if g.learner.Name == g.requestedReplacement.to {
			g.requestedReplacement = voterReplacement{}
		}
		g.learner = Hello{}
		g.replacedID = 0
	case isLearning && progress.Match+maxLearnerLag >= g.appliedIndex:
		g.proposeLearnerChange(raftpb.ConfChangeAddNode)
	case !isLearning:
		g.learner = Hello{}
	case !g.observations[g.learner.Name].Alive:
		removal := confChange(raftpb.ConfChangeRemoveNode, g.learner.ID)
		change := &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{removal}}
		if g.node.ProposeConfChange(change) == nil {
			g.learner = Hello{}
			g.confChangeProposedAt = g.now
		}
	}
}

// applyConfChange applies a committed configuration change, whose context is the JSON encoding of the voters added.
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
	g.confChangeProposedAt = 0
	g.votersChanged = true
}

// isInConfiguration reports whether a node is a voter or learner, in a joint configuration also of the outgoing one.
func (g *Group) isInConfiguration(id uint64) bool {
	for _, ids := range [...][]uint64{g.confState.GetVoters(), g.confState.GetLearners(), g.confState.GetVotersOutgoing(),
		g.confState.GetLearnersNext()} {
		if slices.Contains(ids, id) {
			return true
		}
	}
	return false
}
