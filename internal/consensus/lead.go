package consensus

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// ---- leases, as the leader grants them

// asks takes somebody's wish for a lease. It is granted once the leader has heard, after it was asked, that it leads still.
func (c *Group) asks(ev *Event) {
	if ev.Release {
		if p := c.record.Members[ev.Name]; c.leads && p.Incarnation == ev.Incarnation && !p.Lost {
			delete(c.granted, ev.Name)
			c.propose(entry{Kind: "left", Name: ev.Name, Life: ev.Incarnation})
		}
		c.do(Effect{Kind: ReplyLease, Token: ev.Token, Reply: LeaseReply{Verdict: Granted}})
		return
	}
	if !c.leads || c.broken || len(c.asking) >= mostOpen {
		c.do(Effect{Kind: ReplyLease, Token: ev.Token, Reply: LeaseReply{Verdict: NotLeader, Leader: c.leaderName()}})
		return
	}
	c.asking = append(c.asking, asking{ev.Name, ev.Incarnation, ev.Token})
	c.read()
}

// read asks the others whether this one leads still, for all that wait; one such question is out at a time, or a few.
func (c *Group) read() {
	if len(c.asking) == 0 || len(c.reads) >= 4 {
		return
	}
	c.tokens++
	c.reads[c.tokens] = c.asking
	c.asking = nil
	c.node.ReadIndex(binary.BigEndian.AppendUint64(nil, c.tokens))
}

// confirmed grants what was asked for before the question went out.
func (c *Group) confirmed(r raft.ReadState) {
	if len(r.RequestCtx) != 8 {
		return
	}
	token := binary.BigEndian.Uint64(r.RequestCtx)
	list := c.reads[token]
	delete(c.reads, token)
	for _, a := range list {
		c.do(Effect{Kind: ReplyLease, Token: a.token, Reply: c.grant(&a, r.Index)})
	}
	c.read()
}

func (c *Group) grant(a *asking, index uint64) LeaseReply {
	p, known := c.record.Members[a.name]
	switch {
	case !c.leads || c.applied < index:
		return LeaseReply{Verdict: NotLeader}
	case known && (p.Incarnation > a.life || p.Incarnation == a.life && p.Lost):
		return LeaseReply{Verdict: IncarnationLost, Term: p.Term}
	case !known || p.Incarnation != a.life || c.doomed[a.name] == a.life && a.life != 0:
		return LeaseReply{Verdict: NotAdmitted}
	}
	c.granted[a.name] = c.now + c.leaseMS*(1+drift)
	return LeaseReply{Verdict: Granted, Leader: c.name, Term: p.Term, PlacementStep: c.record.Placement.Step, PlanNumber: c.record.PlanNumber}
}

// ---- who is in, and who is lost

// look compares the record with what the view has. What it proposes rests on the view alone where that does no harm: one that is let
// in can be declared lost again. One is declared lost only when its lease is over, whatever the view says.
func (c *Group) look() {
	names := make([]string, 0, len(c.sights))
	for name := range c.sights {
		names = append(names, name)
	}
	for name := range c.record.Members {
		if _, seen := c.sights[name]; !seen {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	in := 0
	for _, name := range names {
		s, seen := c.sights[name]
		p, known := c.record.Members[name]
		switch {
		case (!known || p.Lost) && seen && s.Alive && !s.Duplicated && s.Incarnation > p.Incarnation:
			if in++; in > mostIn {
				continue
			}
			c.propose(entry{Kind: "in", Name: name, Life: s.Incarnation, Address: s.Address, Zone: s.Zone})
		case known && !p.Lost:
			c.judge(name, p, s, seen)
		}
	}
	if c.copies > 0 && c.copies != c.record.Placement.Copies {
		c.propose(entry{Kind: "copies", Copies: c.copies})
	}
	for name := range c.granted {
		if c.granted[name] <= c.now && c.record.Members[name].Lost {
			delete(c.granted, name)
		}
	}
	if c.applied >= c.snapped { // a new term's first entry is there
		c.reseat()
	}
}

// judge declares a life lost that is not seen any more, once its lease is over.
func (c *Group) judge(name string, p Member, s Observation, seen bool) {
	if seen && s.Incarnation == p.Incarnation && s.Alive {
		delete(c.goneAt, name)
		return
	}
	since, already := c.goneAt[name]
	if !already {
		since = c.now
		c.goneAt[name] = since
	}
	wait := c.declareMS
	if seen && s.Incarnation > p.Incarnation {
		wait = 0 // another life of it is there: only the lease keeps the two apart
	}
	if c.now < since+wait || c.now < c.quietUntil || c.now < c.granted[name] {
		return
	}
	if c.propose(entry{Kind: "lost", Name: name, Life: p.Incarnation}) {
		c.doomed[name] = p.Incarnation // nothing is granted to it from here on
		c.do(Effect{Kind: LossProposed, Name: name, Incarnation: p.Incarnation})
	}
}

// ---- who votes

// reseat replaces a voter that stays gone, one at a time: first the newcomer learns all that was agreed, then it takes the place.
func (c *Group) reseat() {
	if c.proposedAt != 0 && c.now < c.proposedAt+c.replaceMS || len(c.conf.GetVotersOutgoing()) > 0 {
		return
	}
	if c.newcomer.ID != 0 {
		c.seatNewcomer()
		return
	}
	out := c.worst()
	if out == nil && len(c.conf.GetVoters()) >= c.want {
		return
	}
	if to := c.candidate(out); to != "" {
		c.do(Effect{Kind: SendHello, To: to})
	}
}

// worst gives the voter that is to be replaced, if any: the one that an operator names, or one that has been gone for long, or whose
// folder is lost.
func (c *Group) worst() *Voter {
	for k := range c.record.Voters {
		v := &c.record.Voters[k]
		s, seen := c.sights[v.Name]
		if v.ID == c.id || !slices.Contains(c.conf.GetVoters(), v.ID) {
			continue
		}
		if v.Name == c.move[0] {
			return v
		}
		key := "voter " + v.Name
		if seen && s.Alive && c.heardOf(v.ID) {
			delete(c.goneAt, key)
			continue
		}
		if since, already := c.goneAt[key]; !already {
			c.goneAt[key] = c.now
		} else if c.now > since+c.replaceMS {
			return v
		}
	}
	return nil
}

// heardOf tells whether a voter has answered lately.
func (c *Group) heardOf(id uint64) bool {
	return c.node.Status().Progress[id].RecentActive
}

// candidate chooses who is to vote by rule: one with a disk, in the zone with the fewest voters, the first by name.
func (c *Group) candidate(out *Voter) string {
	if c.move[1] != "" {
		if s, seen := c.sights[c.move[1]]; seen && s.Alive && s.CanVote {
			return c.move[1]
		}
		return ""
	}
	zones, votes := map[string]int{}, map[string]bool{}
	for _, v := range c.record.Voters {
		if out != nil && v.ID == out.ID {
			continue
		}
		zones[c.sights[v.Name].Zone]++
		votes[v.Name] = true
	}
	var fit []Observation
	for _, s := range c.sights {
		if s.Alive && s.CanVote && !s.Duplicated && !votes[s.Name] {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		return ""
	}
	return slices.MinFunc(fit, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(zones[a.Zone], zones[b.Zone]), cmp.Compare(a.Name, b.Name))
	}).Name
}

// meetNewcomer lets one who said which folder it votes with learn what was agreed.
func (c *Group) meetNewcomer(h *Hello) {
	out := c.worst()
	if c.newcomer.ID != 0 || h.Folder == "" || h.Name != c.candidate(out) || c.proposedAt != 0 && c.now < c.proposedAt+c.replaceMS {
		return
	}
	id := NodeID(h.Name, h.Folder)
	if slices.Contains(c.conf.GetVoters(), id) {
		return
	}
	c.newcomer, c.retiring = Hello{Name: h.Name, Folder: h.Folder, ID: id}, 0
	if out != nil {
		c.retiring = out.ID
	}
	c.change(Voter{ID: id, Name: h.Name, Zone: c.sights[h.Name].Zone}, raftpb.ConfChangeAddLearnerNode)
}

// change proposes one more who learns, or the change of places.
func (c *Group) change(v Voter, kind raftpb.ConfChangeType) {
	context, err := json.Marshal([]Voter{v})
	if err != nil {
		return
	}
	cc := &raftpb.ConfChangeV2{Context: context, Changes: []*raftpb.ConfChangeSingle{{Type: kind.Enum(), NodeId: proto.Uint64(v.ID)}}}
	if kind == raftpb.ConfChangeAddNode && c.retiring != 0 {
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(c.retiring)})
	}
	if c.node.ProposeConfChange(cc) == nil {
		c.proposedAt = c.now
	}
}

// seatNewcomer gives the newcomer its place once it has caught up, or gives it up.
func (c *Group) seatNewcomer() {
	p, learns := c.node.Status().Progress[c.newcomer.ID]
	switch {
	case slices.Contains(c.conf.GetVoters(), c.newcomer.ID):
		c.newcomer, c.retiring, c.move = Hello{}, 0, [2]string{}
	case learns && p.Match+caughtUp >= c.applied:
		c.change(Voter{ID: c.newcomer.ID, Name: c.newcomer.Name, Zone: c.sights[c.newcomer.Name].Zone}, raftpb.ConfChangeAddNode)
	case !learns:
		c.newcomer = Hello{}
	case !c.sights[c.newcomer.Name].Alive:
		cc := &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(c.newcomer.ID)}}}
		if c.node.ProposeConfChange(cc) == nil {
			c.newcomer, c.proposedAt = Hello{}, c.now
		}
	}
}

// ---- this controller's own lease

// renew asks for the lease again in time, and says when it is over.
func (c *Group) renew() {
	if c.asked != 0 && c.now >= c.askedAt+answerMS {
		c.asked, c.leader, c.askAt = 0, "", c.now // whoever that was does not answer
		c.tries++
	}
	if held := c.LeaseHeld(c.now); held != c.held {
		c.held = held
		c.do(Effect{Kind: LeaseChanged, Held: held})
	}
	if c.asked != 0 || c.now < c.askAt || len(c.founders) == 0 {
		return
	}
	to := c.thought()
	if to == "" || c.tries%4 == 3 { // anyone who may know who leads
		names := c.founders
		if len(c.record.Voters) > 0 {
			names = names[:0:0]
			for _, v := range c.record.Voters {
				names = append(names, v.Name)
			}
		}
		to = names[c.tries%len(names)]
		c.tries++
	}
	c.tokens++
	c.asked, c.askedAt, c.askedOf = c.tokens, c.now, to
	c.askAt = c.now + c.leaseMS/renewals*(0.9+0.1*c.chance())
	c.do(Effect{Kind: RequestLease, To: to, Token: c.asked, Name: c.name, Incarnation: c.life})
}

// thought is who is thought to lead: as the library has it, unless that one has said that it does not.
func (c *Group) thought() string {
	if to := c.leaderName(); to != "" && to != c.astray {
		return to
	}
	return c.leader
}

// replied takes the answer to our asking. The lease counts from when it was asked for.
func (c *Group) replied(ev *Event) {
	if ev.Token != c.asked {
		return // it came too late to be told apart from what came since
	}
	c.asked = 0
	soon := c.now + heartMS*(1+c.chance())
	switch {
	case ev.Failed:
		c.leader, c.askAt = "", soon
	case ev.Reply.Verdict == Granted:
		c.leader = ev.Reply.Leader
		c.until = max(c.until, c.askedAt+c.leaseMS*(1-drift))
		if ev.Reply.PlanNumber > 0 {
			c.do(Effect{Kind: PlanConfirmed, Number: ev.Reply.PlanNumber, At: c.askedAt})
		}
	case ev.Reply.Verdict == NotLeader:
		c.leader, c.askAt = ev.Reply.Leader, soon
		c.tries++
		if c.askedOf == c.leaderName() { // one that votes no more hears of no later leader from the library
			c.astray = c.askedOf
		}
	case ev.Reply.Verdict == IncarnationLost:
		c.until, c.askAt = 0, math.Inf(1)
		c.do(Effect{Kind: IncarnationRevoked})
	default:
		c.askAt = soon
	}
	if held := c.LeaseHeld(c.now); held != c.held {
		c.held = held
		c.do(Effect{Kind: LeaseChanged, Held: held})
	}
}
