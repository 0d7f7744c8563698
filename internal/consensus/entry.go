package consensus

import (
	"encoding/json"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"liftshift/internal/placement"
)

// EntryKind is the kind of an entry of the replicated log. The values are part of the log format.
type EntryKind string

// Kinds of entries. Only the leader proposes EntryAdmit, EntryLost, EntryLeft and EntryCopies.
const (
	// EntryAdmit admits an incarnation of a member.
	EntryAdmit EntryKind = "in"
	// EntryLost declares an incarnation of a member lost.
	EntryLost EntryKind = "lost"
	// EntryLeft records that an incarnation of a member has shut down gracefully.
	EntryLeft EntryKind = "left"
	// EntryCopies sets the number of replicas of each partition.
	EntryCopies EntryKind = "copies"
	// EntryReady marks a member's replicas of some partitions as ready.
	EntryReady EntryKind = "ready"
	// EntryClaim claims partitions of a lost member for its successor.
	EntryClaim EntryKind = "claim"
	// EntrySettled ends a successor's claim on partitions once it has adopted all requests in them.
	EntrySettled EntryKind = "settled"
	// EntryReinitialize starts partitions afresh that have lost their quorum.
	EntryReinitialize EntryKind = "anew"
	// EntryPlan replaces the plan for traffic between zones.
	EntryPlan EntryKind = "plan"
	// EntryOrder sets or revokes an operator's order.
	EntryOrder EntryKind = "order"
)

// isMembership reports whether an entry admits a member, declares it lost or records that it left.
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
	Name        string    `json:"Name"` // the member's name; for an order, its subject
	Incarnation uint64    `json:"Life"`
	Address     string    `json:"Address,omitempty"`
	Zone        string    `json:"Zone,omitempty"`
	// Fields of entries about placement.
	Successor            string `json:"Heir,omitempty"`
	SuccessorIncarnation uint64 `json:"HeirLife,omitempty"`
	Partitions           uint32 `json:"Mask,omitempty"`
	Version              uint64 `json:"Version,omitempty"`
	Copies               int    `json:"Copies,omitempty"`
	// Fields of plans and orders. An order without data revokes the standing order on the same subject.
	Number uint64          `json:"Number,omitempty"`
	Data   json.RawMessage `json:"Data,omitempty"`
}

// PlacementProposal encodes a log entry that changes the placement, of the kind EntryReady, EntryClaim, EntrySettled or
// EntryReinitialize.
func PlacementProposal(kind EntryKind, c placement.AdoptionClaim, version uint64) []byte {
	data, _ := json.Marshal(&entry{Kind: kind, Name: c.Name, Incarnation: c.Incarnation, Successor: c.Successor,
		SuccessorIncarnation: c.SuccessorIncarnation, Partitions: c.Partitions, Version: version})
	return data
}

// PlanProposal encodes a plan. It is applied only if number is one more than that of the plan in force.
func PlanProposal(number uint64, plan []byte) []byte {
	data, _ := json.Marshal(&entry{Kind: EntryPlan, Number: number, Data: plan})
	return data
}

// OrderProposal encodes an operator's order on a subject, or the revocation of that order if it is empty.
func OrderProposal(subject string, order []byte) []byte {
	data, _ := json.Marshal(&entry{Kind: EntryOrder, Name: subject, Data: order})
	return data
}

// handleProposal proposes an entry on behalf of a member. The entry is validated when it is applied.
func (g *Group) handleProposal(data []byte) {
	var e entry
	if !g.isLeader || g.failed || json.Unmarshal(data, &e) != nil {
		return
	}
	if e.Kind.isProposable() {
		g.propose(e)
	}
}

// propose appends an entry to the log and reports whether the Raft library accepted it. The entry is lost if this
// leader fails before it is committed.
func (g *Group) propose(e entry) bool {
	data, err := json.Marshal(&e)
	return err == nil && g.node.Propose(data) == nil
}

// applyEntry applies a committed entry once: an entry that the record includes already is skipped.
func (g *Group) applyEntry(e *raftpb.Entry) {
	if e.GetIndex() <= g.appliedIndex {
		return
	}
	g.appliedIndex = e.GetIndex()
	g.appliedTerm = e.GetTerm()
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

// applyNormalEntry applies an entry of this package to the record and emits effects for what changed.
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
		g.emitMemberState(e.Name, member)
	}
	if (changed || !e.Kind.isMembership()) && g.record.applyPlacement(&e) {
		g.emit(Effect{Kind: PlacementChanged})
	}
	if e.Kind.isMembership() && g.proposedLost[e.Name] == e.Incarnation {
		delete(g.proposedLost, e.Name)
	}
}
