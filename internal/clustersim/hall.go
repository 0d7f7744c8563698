package clustersim

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"liftshift/internal/consensus"
	"liftshift/internal/membership"
)

// Seat is a node's end of the council, and its disk.
type Seat struct {
	Council *consensus.Group
	Disk    Disk
	life    uint64
	sawAt   float64
}

// Disk keeps what has been written; a crash loses what was not yet reported as written.
type Disk struct {
	Folder  string
	Entries map[uint64]*raftpb.Entry
	State   *raftpb.HardState
	Snap    *raftpb.Snapshot
	Fails   bool
}

// Claim is one thing that was asked of the council, and what came of it. Times are true ones.
type Claim struct {
	Node         int
	Kind         string // "granted", "refused", "declared"
	Name         string
	Life         uint64
	Call, Return float64
}

// Hall is a fleet with a council.
type Hall struct {
	*Fleet
	Seats    []*Seat
	Founders []string
	Claims   []Claim
	Broken   []string // what must never be, as it was seen
	Leader   string
	LedAt    float64
	Declared int
	Invented []consensus.Observation // that each view has besides: many names at once

	open    map[string]Claim // declarations that are under way
	folders int
	tokens  uint64
	answers map[uint64]func(consensus.LeaseReply)
	lost    map[string]bool // lives that are declared lost
}

// NewHall returns a fleet whose first so many nodes found a council.
func NewHall(n, founders int, seed uint64) *Hall {
	h := &Hall{Fleet: New(n, seed), open: map[string]Claim{}, answers: map[uint64]func(consensus.LeaseReply){}, lost: map[string]bool{}}
	for k := range n {
		h.Seats = append(h.Seats, &Seat{})
		h.Nodes[k].Rate = 1 + 0.001*(2*h.chance.Float64()-1)
		if k < founders {
			h.Founders = append(h.Founders, h.Nodes[k].Name)
		}
		h.Wipe(k)
	}
	return h
}

// Wipe gives a node an empty disk.
func (h *Hall) Wipe(k int) {
	h.folders++
	h.Seats[k].Disk = Disk{Folder: fmt.Sprint("folder-", h.folders), Entries: map[uint64]*raftpb.Entry{}}
}

// Open starts a node anew, with what is on its disk.
func (h *Hall) Open(k int) {
	h.Start(k)
	nd, s := h.Nodes[k], h.Seats[k]
	h.Tell(k, membership.Event{Kind: membership.FlagsChanged, Flags: membership.Ready | membership.CanVote})
	kept := consensus.PersistedState{State: s.Disk.State, Snapshot: s.Disk.Snap}
	if s.Disk.Snap != nil {
		for i := s.Disk.Snap.GetMetadata().GetIndex() + 1; s.Disk.Entries[i] != nil; i++ {
			kept.Entries = append(kept.Entries, s.Disk.Entries[i])
		}
	}
	s.life = nd.View.Self().Incarnation
	s.Council = consensus.New(h.Local(k), nd.Name, s.life, s.Disk.Folder, h.Founders, kept, h.Consensus, h.chance.Uint32())
	s.sawAt = -1000
	h.tick(k, nd.run)
}

// tick gives a council its time.
func (h *Hall) tick(k, run int) {
	nd, s := h.Nodes[k], h.Seats[k]
	if !nd.Up || nd.run != run {
		return
	}
	if h.Now < nd.until {
		h.At(nd.until, func() { h.tick(k, run) })
		return
	}
	if l := nd.View.Self().Incarnation; l != s.life {
		s.life = l
		h.step(k, consensus.Event{Kind: consensus.IncarnationChanged, Incarnation: l})
	}
	if h.Now >= s.sawAt+100 {
		s.sawAt = h.Now
		s.Council.Observe(append(Sights(nd.View), h.Invented...))
	}
	h.step(k, consensus.Event{Kind: consensus.Ticked})
	next := max(h.Now+1, min(s.Council.Next()/nd.Rate, h.Now+200))
	h.At(next, func() { h.tick(k, run) })
}

// Sights is a view as the council gets it.
func Sights(v *membership.View) (list []consensus.Observation) {
	for _, m := range v.Members() {
		list = append(list, consensus.Observation{Name: m.Name, Incarnation: m.Incarnation, Alive: m.State.IsLive(), LeftGracefully: m.State == membership.Left, Address: m.Address,
			Zone: m.Zone, CanVote: m.Flags&membership.CanVote != 0, Duplicated: m.Flags&membership.Duplicated != 0})
	}
	return list
}

// later has something done at a node after the way there, unless it is another run of it by then. Gone is called where it can't be.
func (h *Hall) later(from, to int, do, gone func()) {
	if !h.Nodes[to].Up || from != to && (!h.open2(from, to) || h.chance.Float64() < h.Net.Loss) {
		if gone != nil {
			h.At(h.Now+100, gone)
		}
		return
	}
	run := h.Nodes[to].run
	var arrive func()
	arrive = func() {
		switch nd := h.Nodes[to]; {
		case !nd.Up || nd.run != run:
			if gone != nil {
				gone()
			}
		case h.Now < nd.until:
			h.At(nd.until, arrive)
		default:
			do()
		}
	}
	h.At(h.Now+h.delay(), arrive)
}

func (h *Hall) open2(a, b int) bool { return h.Fleet.open(a, b) && h.Fleet.open(b, a) }

func (h *Hall) named(name string) int {
	return slices.IndexFunc(h.Nodes, func(n *Node) bool { return n.Name == name })
}

// step plays an event to a node's council and carries what follows.
func (h *Hall) step(k int, ev consensus.Event) {
	nd, s := h.Nodes[k], h.Seats[k]
	run := nd.run
	effects := slices.Clone(s.Council.Step(h.Local(k), &ev))
	for _, e := range effects {
		to := h.named(e.To)
		mine := func(ev consensus.Event) func() {
			return func() {
				if nd.Up && nd.run == run {
					if h.Now < nd.until {
						h.At(nd.until, func() { h.stepIf(k, run, ev) })
						return
					}
					h.step(k, ev)
				}
			}
		}
		switch e.Kind {
		case consensus.Persist:
			h.keep(k, run, e, mine(consensus.Event{Kind: consensus.Stored, Token: e.Token, Failed: s.Disk.Fails}))
		case consensus.SendMessage:
			if to >= 0 {
				h.later(k, to, func() { h.step(to, consensus.Event{Kind: consensus.MessageReceived, Name: nd.Name, Data: e.Data}) }, nil)
			}
		case consensus.RequestLease:
			h.ask(k, to, e, mine)
		case consensus.ReplyLease:
			if back := h.answers[e.Token]; back != nil {
				delete(h.answers, e.Token)
				back(e.Reply)
			}
		case consensus.SendHello:
			if to >= 0 {
				h.later(k, to, func() {
					hello := h.Seats[to].Council.Hello()
					h.later(to, k, mine(consensus.Event{Kind: consensus.HelloReceived, Hello: hello}), nil)
				}, nil)
			}
		case consensus.LeaderChanged:
			if e.Name != "" && e.Name != h.Leader {
				h.Leader, h.LedAt = e.Name, h.Now
			}
		case consensus.LossProposed:
			key := fmt.Sprint(e.Name, "/", e.Incarnation)
			if _, under := h.open[key]; !under && !h.lost[key] {
				h.open[key] = Claim{Node: k, Kind: "declared", Name: e.Name, Life: e.Incarnation, Call: h.Now}
			}
		case consensus.MemberLost:
			h.declared(&e)
		case consensus.IncarnationRevoked:
			h.Tell(k, membership.Event{Kind: membership.IncarnationRaised})
		case consensus.VoterFailed:
			if !s.Disk.Fails {
				h.Broken = append(h.Broken, fmt.Sprintf("%.0f: voter %s: %s", h.Now, nd.Name, e.Reason))
			}
		}
	}
}

func (h *Hall) stepIf(k, run int, ev consensus.Event) {
	if h.Nodes[k].Up && h.Nodes[k].run == run {
		h.step(k, ev)
	}
}

// keep writes; what a crash overtakes is lost.
func (h *Hall) keep(k, run int, e consensus.Effect, done func()) {
	h.At(h.Now+0.2+5*h.chance.Float64(), func() {
		if !h.Nodes[k].Up || h.Nodes[k].run != run {
			return
		}
		d := &h.Seats[k].Disk
		if !d.Fails {
			if e.Snapshot != nil {
				d.Snap = e.Snapshot
			}
			if e.State != nil {
				d.State = e.State
			}
			for n, x := range e.Entries {
				if n == 0 {
					for i := range d.Entries {
						if i > x.GetIndex() {
							delete(d.Entries, i)
						}
					}
				}
				d.Entries[x.GetIndex()] = x
			}
		}
		done()
	})
}

// ask carries an asking for a lease and what is answered.
func (h *Hall) ask(k, to int, e consensus.Effect, mine func(consensus.Event) func()) {
	called := h.Now
	failed := mine(consensus.Event{Kind: consensus.LeaseReplied, Token: e.Token, Failed: true})
	if to < 0 {
		failed()
		return
	}
	h.later(k, to, func() {
		h.tokens++
		token := h.tokens
		h.answers[token] = func(r consensus.LeaseReply) {
			h.later(to, k, func() {
				kind := map[consensus.Verdict]string{consensus.Granted: "granted", consensus.IncarnationLost: "refused"}[r.Verdict]
				if kind != "" {
					h.Claims = append(h.Claims, Claim{Node: k, Kind: kind, Name: e.Name, Life: e.Incarnation, Call: called, Return: h.Now})
				}
				mine(consensus.Event{Kind: consensus.LeaseReplied, Token: e.Token, Reply: r})()
			}, failed)
		}
		h.step(to, consensus.Event{Kind: consensus.LeaseRequested, Token: token, Name: e.Name, Incarnation: e.Incarnation})
	}, failed)
}

// declared checks that the one who is declared lost does not act on a lease.
func (h *Hall) declared(e *consensus.Effect) {
	key := fmt.Sprint(e.Name, "/", e.Incarnation)
	if !h.lost[key] {
		h.lost[key] = true
		h.Declared++
		c := h.open[key]
		c.Return = h.Now
		if c.Kind != "" {
			h.Claims = append(h.Claims, c)
			delete(h.open, key)
		}
	}
	k := h.named(e.Name)
	if k < 0 || !h.Nodes[k].Up || h.Now < h.Nodes[k].until { // one that stands still looks at its clock before anything leaves
		return
	}
	if s := h.Seats[k]; s.life == e.Incarnation && s.Council.LeaseHeld(h.Local(k)) {
		h.Broken = append(h.Broken, fmt.Sprintf("%.0f: %s holds the lease of life %d, which is declared lost", h.Now, e.Name, e.Incarnation))
	}
}
