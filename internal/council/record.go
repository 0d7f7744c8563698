package council

import (
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// entry is one thing that is agreed.
type entry struct {
	Kind    string // "in", "lost", "left"
	Name    string
	Life    uint64
	Address string `json:",omitempty"`
	Zone    string `json:",omitempty"`
}

// entryTable has what an entry does to a name's place in the record. What is not in it does nothing: entries may come twice, or late.
//
//	place                 entry            next place                  effect
//	none, or lost         in, later life   that life, next term        Admitted
//	a life                lost, that life  lost, next term             Declared
//	a life                left, that life  lost and left, next term    Declared
func (r *Record) enter(e *entry) (Place, bool) {
	p, known := r.Places[e.Name]
	switch {
	case e.Kind == "in" && (!known || p.Lost && e.Life > p.Life) && (known || len(r.Places) < mostKept):
		p = Place{Life: e.Life, Term: p.Term + 1, Address: e.Address, Zone: e.Zone}
	case (e.Kind == "lost" || e.Kind == "left") && known && !p.Lost && e.Life == p.Life:
		p.Lost, p.Left, p.Term = true, e.Kind == "left", p.Term+1
		r.Declared++
	default:
		return p, false
	}
	r.Places[e.Name] = p
	return p, true
}

// apply takes an entry that is agreed.
func (c *Council) apply(e *raftpb.Entry) {
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
		if p, changed := c.record.enter(&n); changed {
			c.told(n.Name, p)
		}
		if c.doomed[n.Name] == n.Life {
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

// reform changes who votes.
func (c *Council) reform(cc raftpb.ConfChangeI, context []byte) {
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
func (c *Council) propose(e entry) bool {
	data, err := json.Marshal(&e)
	return err == nil && c.node.Propose(data) == nil
}
