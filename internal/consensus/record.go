package consensus

import (
	"cmp"
	"encoding/json"
	"slices"

	"liftshift/internal/placement"
)

const (
	maxMembers        = 8192 // member names in the record, lost ones included
	maxOrders         = 64
	maxPlanBytes      = 1 << 20
	maxOrderNameBytes = 80
)

// Member is the agreed state of a controller.
type Member struct {
	Incarnation    uint64 `json:"Life"`
	Term           uint64 `json:"Term"` // grows by one when an incarnation of the name is admitted or declared lost
	Lost           bool   `json:"Lost"`
	LeftGracefully bool   `json:"Left"` // lost because it shut down gracefully
	Address        string `json:"Address"`
	Zone           string `json:"Zone"`
}

// Voter is a voter of the group, or a learner that is about to become one.
type Voter struct {
	ID   uint64 `json:"ID"`
	Name string `json:"Name"`
	Zone string `json:"Zone"`
}

// sortVoters sorts voters by name.
func sortVoters(list []Voter) {
	slices.SortStableFunc(list, func(a, b Voter) int { return cmp.Compare(a.Name, b.Name) })
}

// Record is the replicated state, which entries of the log change. It is also the content of snapshots.
type Record struct {
	Members      map[string]Member `json:"Places"` // by name
	Voters       []Voter           `json:"Voters"` // learners included
	Founders     []Voter           `json:"Founding"`
	DeclaredLost uint64            `json:"Declared"` // number of incarnations declared lost so far
	Placement    placement.Table   `json:"Chairs"`
	// Plan is the plan for traffic between zones in the format of package locality. It is opaque to this package.
	Plan       json.RawMessage            `json:"Plan,omitempty"`
	PlanNumber uint64                     `json:"Number,omitempty"` // grows by one with each plan
	Orders     map[string]json.RawMessage `json:"Orders,omitempty"` // operators' orders, by subject
}

// Configuration returns the members of the record, sorted by name, and a copy of its placement table.
func (g *Group) Configuration() ([]placement.Member, placement.Table) {
	return g.record.Configuration()
}

// Configuration returns the members, sorted by name, and a copy of the placement table.
func (r *Record) Configuration() ([]placement.Member, placement.Table) {
	return r.placementMembers(), r.Placement.Clone()
}

// placementMembers returns the members in the type that package placement takes, sorted by name.
func (r *Record) placementMembers() []placement.Member {
	list := make([]placement.Member, 0, len(r.Members))
	for name, m := range r.Members {
		list = append(list, placement.Member{Name: name, Incarnation: m.Incarnation, Lost: m.Lost, Zone: m.Zone})
	}
	slices.SortFunc(list, func(a, b placement.Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// applyMembership applies an entry to a member and reports whether the member changed. An entry may be committed twice
// or late; an entry that matches no row of this table changes nothing:
//
//	member                  entry                           member afterwards
//	none, or lost           EntryAdmit, later incarnation   that incarnation, next term
//	an incarnation          EntryLost, that incarnation     lost, next term
//	an incarnation          EntryLeft, that incarnation     lost and left, next term
func (r *Record) applyMembership(e *entry) (Member, bool) {
	m, known := r.Members[e.Name]
	isLater := !known || m.Lost && e.Incarnation > m.Incarnation
	hasRoom := known || len(r.Members) < maxMembers
	isCurrent := known && !m.Lost && e.Incarnation == m.Incarnation
	switch {
	case e.Kind == EntryAdmit && isLater && hasRoom:
		m = Member{Incarnation: e.Incarnation, Term: m.Term + 1, Address: e.Address, Zone: e.Zone}
	case (e.Kind == EntryLost || e.Kind == EntryLeft) && isCurrent:
		m.Lost = true
		m.LeftGracefully = e.Kind == EntryLeft
		m.Term++
		r.DeclaredLost++
	default:
		return m, false
	}
	r.Members[e.Name] = m
	return m, true
}

// applyPlacement applies an entry to the placement table and reports whether the table changed.
func (r *Record) applyPlacement(e *entry) (changed bool) {
	if e.Kind != EntryCopies && r.Placement.Copies == 0 {
		return false // no replicas are configured
	}
	members := r.placementMembers()
	table := &r.Placement
	claim := placement.AdoptionClaim{Name: e.Name, Incarnation: e.Incarnation, Successor: e.Successor,
		SuccessorIncarnation: e.SuccessorIncarnation, Partitions: e.Partitions}
	switch e.Kind {
	case EntryAdmit, EntryLost, EntryLeft:
		table.Reassign(members, 0)
		changed = true // the set of lost members matters even if no replica moves
	case EntryCopies:
		changed = table.Reassign(members, e.Copies)
	case EntryReady:
		changed = table.MarkReady(members, e.Name, e.Incarnation, e.Partitions, e.Version)
	case EntryClaim:
		changed = table.Claim(members, claim)
	case EntrySettled:
		changed = table.Settle(claim)
	case EntryReinitialize:
		changed = table.Reinitialize(members, e.Partitions)
	}
	if changed {
		table.Step++
	}
	return changed
}

// applyPlan applies a plan or an order and reports whether the record changed. A plan is stale unless its number
// follows that of the plan in force.
func (r *Record) applyPlan(e *entry) bool {
	if e.Kind == EntryPlan {
		if e.Number != r.PlanNumber+1 || len(e.Data) == 0 || len(e.Data) > maxPlanBytes {
			return false
		}
		r.Plan = e.Data
		r.PlanNumber = e.Number
		return true
	}
	if e.Kind != EntryOrder || len(e.Name) > maxOrderNameBytes {
		return false
	}
	if len(e.Data) == 0 {
		_, existed := r.Orders[e.Name]
		delete(r.Orders, e.Name)
		return existed
	}
	if r.Orders[e.Name] == nil && len(r.Orders) >= maxOrders {
		return false
	}
	if r.Orders == nil {
		r.Orders = map[string]json.RawMessage{}
	}
	r.Orders[e.Name] = e.Data
	return true
}
