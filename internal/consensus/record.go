package consensus

import (
	"cmp"
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"liftshift/internal/placement"
)

// entry is one thing that is agreed.
type entry struct {
	Kind    string `json:"Kind"` // "in", "lost", "left"; of the chairs: "copies", "ready", "claim", "settled", "anew"; "plan", "order"
	Name    string `json:"Name"`
	Life    uint64 `json:"Life"`
	Address string `json:"Address,omitempty"`
	Zone    string `json:"Zone,omitempty"`
	// Of the chairs alone.
	Heir     string `json:"Heir,omitempty"`
	HeirLife uint64 `json:"HeirLife,omitempty"`
	Mask     uint32 `json:"Mask,omitempty"`
	Version  uint64 `json:"Version,omitempty"`
	Copies   int    `json:"Copies,omitempty"`
	// Of a plan or an order: Name is what it is about; without Data it is taken back.
	Number uint64          `json:"Number,omitempty"`
	Data   json.RawMessage `json:"Data,omitempty"`
}

// Proposal makes what a member may propose: that its chairs know all (ready), a claim, its end (settled), or that parts begin anew.
func Proposal(kind string, c placement.AdoptionClaim, version uint64) []byte {
	data, _ := json.Marshal(&entry{Kind: kind, Name: c.Name, Life: c.Incarnation, Heir: c.Successor, HeirLife: c.SuccessorIncarnation, Mask: c.Partitions, Version: version})
	return data
}

// PlanProposal makes a plan that is to follow the one numbered one less; OrderMotion an operator's order, or takes it back.
func PlanProposal(number uint64, plan []byte) []byte {
	data, _ := json.Marshal(&entry{Kind: "plan", Number: number, Data: plan})
	return data
}

// OrderProposal makes an operator's order about something, or takes it back: no data.
func OrderProposal(about string, order []byte) []byte {
	data, _ := json.Marshal(&entry{Kind: "order", Name: about, Data: order})
	return data
}

// replan takes in a plan or an order, and tells whether that changed anything. A plan that follows another one than is there is late.
func (r *Record) replan(e *entry) bool {
	switch {
	case e.Kind == "plan" && e.Number == r.PlanNumber+1 && len(e.Data) > 0 && len(e.Data) <= mostPlan:
		r.Plan, r.PlanNumber = e.Data, e.Number
		return true
	case e.Kind != "order" || len(e.Name) > mostPlanText:
		return false
	case len(e.Data) == 0:
		_, was := r.Orders[e.Name]
		delete(r.Orders, e.Name)
		return was
	case r.Orders[e.Name] == nil && len(r.Orders) >= mostOrders:
		return false
	}
	if r.Orders == nil {
		r.Orders = map[string]json.RawMessage{}
	}
	r.Orders[e.Name] = e.Data
	return true
}

// proposed takes what a member wants agreed. It is checked when it is applied.
func (c *Group) proposed(data []byte) {
	var e entry
	if !c.leads || c.broken || json.Unmarshal(data, &e) != nil {
		return
	}
	switch e.Kind {
	case "ready", "claim", "settled", "anew", "plan", "order":
		c.propose(e)
	}
}

// places gives the record as the table of chairs wants it, in order.
func (r *Record) places() []placement.Member {
	list := make([]placement.Member, 0, len(r.Members))
	for name, p := range r.Members {
		list = append(list, placement.Member{Name: name, Incarnation: p.Incarnation, Lost: p.Lost, Zone: p.Zone})
	}
	slices.SortFunc(list, func(a, b placement.Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// reseat has the table of chairs take in an entry, and tells whether that changed it.
func (r *Record) reseat(e *entry) (changed bool) {
	if e.Kind != "copies" && r.Placement.Copies == 0 {
		return false // nobody has asked for chairs
	}
	places, t := r.places(), &r.Placement
	claim := placement.AdoptionClaim{Name: e.Name, Incarnation: e.Life, Successor: e.Heir, SuccessorIncarnation: e.HeirLife, Partitions: e.Mask}
	switch e.Kind {
	case "in", "lost", "left":
		t.Reassign(places, 0)
		changed = true // who is lost counts, whoever sits
	case "copies":
		changed = t.Reassign(places, e.Copies)
	case "ready":
		changed = t.MarkReady(places, e.Name, e.Life, e.Mask, e.Version)
	case "claim":
		changed = t.Claim(places, claim)
	case "settled":
		changed = t.Settle(claim)
	case "anew":
		changed = t.Reinitialize(places, e.Mask)
	}
	if changed {
		t.Step++
	}
	return changed
}

// entryTable has what an entry does to a name's place in the record. What is not in it does nothing: entries may come twice, or late.
//
//	place                 entry            next place                  effect
//	none, or lost         in, later life   that life, next term        Admitted
//	a life                lost, that life  lost, next term             Declared
//	a life                left, that life  lost and left, next term    Declared
func (r *Record) enter(e *entry) (Member, bool) {
	p, known := r.Members[e.Name]
	switch {
	case e.Kind == "in" && (!known || p.Lost && e.Life > p.Incarnation) && (known || len(r.Members) < mostKept):
		p = Member{Incarnation: e.Life, Term: p.Term + 1, Address: e.Address, Zone: e.Zone}
	case (e.Kind == "lost" || e.Kind == "left") && known && !p.Lost && e.Life == p.Incarnation:
		p.Lost, p.LeftGracefully, p.Term = true, e.Kind == "left", p.Term+1
		r.DeclaredLost++
	default:
		return p, false
	}
	r.Members[e.Name] = p
	return p, true
}

// apply takes an entry that is agreed.
func (c *Group) apply(e *raftpb.Entry) {
	if e.GetIndex() <= c.applied {
		return
	}
	c.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryNormal:
		var n entry
		if len(e.GetData()) == 0 || json.Unmarshal(e.GetData(), &n) != nil {
			return
		}
		if n.Kind == "plan" || n.Kind == "order" {
			if c.record.replan(&n) {
				c.do(Effect{Kind: PlanChanged})
			}
			return
		}
		p, changed := c.record.enter(&n)
		if changed {
			c.told(n.Name, p)
		}
		if (changed || n.ofChairs()) && c.record.reseat(&n) {
			c.do(Effect{Kind: PlacementChanged})
		}
		if !n.ofChairs() && c.doomed[n.Name] == n.Life {
			delete(c.doomed, n.Name)
		}
	case raftpb.EntryConfChange:
		cc := &raftpb.ConfChange{}
		c.must(proto.Unmarshal(e.GetData(), cc))
		c.reform(cc, cc.GetContext())
	case raftpb.EntryConfChangeV2:
		cc := &raftpb.ConfChangeV2{}
		c.must(proto.Unmarshal(e.GetData(), cc))
		c.reform(cc, cc.GetContext())
	}
}

func (e *entry) ofChairs() bool { return e.Kind != "in" && e.Kind != "lost" && e.Kind != "left" }

// reform changes who votes.
func (c *Group) reform(cc raftpb.ConfChangeI, context []byte) {
	c.conf = c.node.ApplyConfChange(cc)
	var come []Voter
	if len(context) > 0 {
		_ = json.Unmarshal(context, &come)
	}
	all := append(c.record.Voters, come...)
	c.record.Voters = c.record.Voters[:0:0]
	for _, v := range all {
		in := slices.Contains(c.conf.GetVoters(), v.ID) || slices.Contains(c.conf.GetLearners(), v.ID) ||
			slices.Contains(c.conf.GetVotersOutgoing(), v.ID) || slices.Contains(c.conf.GetLearnersNext(), v.ID)
		if in && !slices.ContainsFunc(c.record.Voters, func(o Voter) bool { return o.ID == v.ID }) {
			c.record.Voters = append(c.record.Voters, v)
		}
	}
	sortVoters(c.record.Voters)
	c.proposedAt, c.reformed = 0, true
}

// propose has something agreed; what comes of it is heard by apply, or it is proposed again.
func (c *Group) propose(e entry) bool {
	data, err := json.Marshal(&e)
	return err == nil && c.node.Propose(data) == nil
}
