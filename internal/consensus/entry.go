package consensus

import (
	"encoding/json"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"liftshift/internal/placement"
)

// EntryKind is the kind of an entry of the replicated log. The values are part of the log's format.
type EntryKind string

// Kinds of entries. Of these, the leader itself proposes EntryAdmit, EntryLost, EntryLeft and EntryCopies.
const (
	EntryAdmit        EntryKind = "in"
	EntryLost         EntryKind = "lost"
	EntryLeft         EntryKind = "left"
	EntryCopies       EntryKind = "copies"
	EntryReady        EntryKind = "ready"
	EntryClaim        EntryKind = "claim"
	EntrySettled      EntryKind = "settled"
	EntryReinitialize EntryKind = "anew"
	EntryPlan         EntryKind = "plan"
	EntryOrder        EntryKind = "order"
)

// isMembership reports whether an entry admits a member or declares it lost.
func (k EntryKind) isMembership() bool { return k == EntryAdmit || k == EntryLost || k == EntryLeft }

// isPlan reports whether an entry is a plan or an order.
func (k EntryKind) isPlan() bool { return k == EntryPlan || k == EntryOrder }

// isProposable reports whether members other than the leader may propose an entry.
func (k EntryKind) isProposable() bool {
	switch k {
	case EntryReady, EntryClaim, EntrySettled, EntryReinitialize, EntryPlan, EntryOrder:
		return true
	}
	return false
}

// entry is the content of an entry of the replicated log.
type entry struct {
	Kind        EntryKind `json:"Kind"`
	Name        string    `json:"Name"` // of a member; for an order, what it is about
	Incarnation uint64    `json:"Life"`
	Address     string    `json:"Address,omitempty"`
	Zone        string    `json:"Zone,omitempty"`
	// Placement.
	Successor            string `json:"Heir,omitempty"`
	SuccessorIncarnation uint64 `json:"HeirLife,omitempty"`
	Partitions           uint32 `json:"Mask,omitempty"`
	Version              uint64 `json:"Version,omitempty"`
	Copies               int    `json:"Copies,omitempty"`
	// Plans and orders. An order without data revokes the one before.
	Number uint64          `json:"Number,omitempty"`
	Data   json.RawMessage `json:"Data,omitempty"`
}

// Proposal encodes an entry about placement: EntryReady, EntryClaim, EntrySettled or EntryReinitialize.
func Proposal(kind EntryKind, c placement.AdoptionClaim, version uint64) []byte {
	data, _ := json.Marshal(&entry{Kind: kind, Name: c.Name, Incarnation: c.Incarnation, Successor: c.Successor,
		SuccessorIncarnation: c.SuccessorIncarnation, Partitions: c.Partitions, Version: version})
	return data
}

// PlanProposal encodes a plan, whose number is one more than that of the plan in force.
func PlanProposal(number uint64, plan []byte) []byte {
	data, _ := json.Marshal(&entry{Kind: EntryPlan, Number: number, Data: plan})
	return data
}

// OrderProposal encodes an operator's order about something, or revokes it if there is no data.
func OrderProposal(about string, order []byte) []byte {
	data, _ := json.Marshal(&entry{Kind: EntryOrder, Name: about, Data: order})
	return data
}

// handleProposal proposes an entry for a member. It is validated when it is applied.
func (g *Group) handleProposal(data []byte) {
	var e entry
	if !g.isLeader || g.failed || json.Unmarshal(data, &e) != nil {
		return
	}
	if e.Kind.isProposable() {
		g.propose(e)
	}
}

// propose appends an entry to the log and reports whether the library took it. The entry may still get lost with this leader.
func (g *Group) propose(e entry) bool {
	data, err := json.Marshal(&e)
	return err == nil && g.node.Propose(data) == nil
}

// applyEntry applies a committed entry.
func (g *Group) applyEntry(e *raftpb.Entry) {
	if e.GetIndex() <= g.appliedIndex {
		return
	}
	g.appliedIndex = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryNormal:
		g.applyNormalEntry(e.GetData())
	case raftpb.EntryConfChange:
		change := &raftpb.ConfChange{}
		g.failOn(proto.Unmarshal(e.GetData(), change))
		g.applyConfChange(change, change.GetContext())
	case raftpb.EntryConfChangeV2:
		change := &raftpb.ConfChangeV2{}
		g.failOn(proto.Unmarshal(e.GetData(), change))
		g.applyConfChange(change, change.GetContext())
	}
}

func (g *Group) applyNormalEntry(data []byte) {
	var e entry
	if len(data) == 0 || json.Unmarshal(data, &e) != nil {
		return
	}
	if e.Kind.isPlan() {
		if g.record.applyPlan(&e) {
			g.emit(Effect{Kind: PlanChanged})
		}
		return
	}
	member, changed := g.record.applyMembership(&e)
	if changed {
		g.emitMember(e.Name, member)
	}
	if (changed || !e.Kind.isMembership()) && g.record.applyPlacement(&e) {
		g.emit(Effect{Kind: PlacementChanged})
	}
	if e.Kind.isMembership() && g.proposedLost[e.Name] == e.Incarnation {
		delete(g.proposedLost, e.Name)
	}
}
