package clustersim

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"liftshift/internal/consensus"
	"liftshift/internal/membership"
)

const (
	clockDrift         = 0.001 // largest error of a node's clock
	observeIntervalMS  = 100.0 // between two looks of a group at the view
	maxTickIntervalMS  = 200.0
	minTickIntervalMS  = 1.0
	unreachableAfterMS = 100.0 // until a call to a node that can't be reached fails
)

// ConsensusNode is a node's part of the consensus group, and its disk.
type ConsensusNode struct {
	Group *consensus.Group
	Disk  Disk

	incarnation uint64
	observedAt  float64
}

// ConsensusCluster is a cluster with a consensus group.
type ConsensusCluster struct {
	*Cluster
	ConsensusNodes []*ConsensusNode
	InitialVoters  []string
	Operations     []Operation
	Violations     []Violation
	Leader         string
	LeaderSince    float64
	DeclaredLost   int                     // incarnations
	Observations   []consensus.Observation // what every view has besides: for many names at once

	pending     map[incarnation]Operation // declarations under way
	lost        map[incarnation]bool      // declared lost
	directories int
	lastToken   uint64
	answers     map[uint64]func(consensus.LeaseReply)
}

// NewConsensusCluster returns a cluster of n nodes, none of which is started. The first of them are the initial voters.
func NewConsensusCluster(n, initialVoters int, seed uint64) *ConsensusCluster {
	c := &ConsensusCluster{
		Cluster: New(n, seed),
		pending: map[incarnation]Operation{},
		lost:    map[incarnation]bool{},
		answers: map[uint64]func(consensus.LeaseReply){},
	}
	for k := range n {
		c.ConsensusNodes = append(c.ConsensusNodes, &ConsensusNode{})
		c.Nodes[k].Rate = 1 + clockDrift*(2*c.random.Float64()-1)
		if k < initialVoters {
			c.InitialVoters = append(c.InitialVoters, c.Nodes[k].Name)
		}
		c.WipeDisk(k)
	}
	return c
}

// WipeDisk gives a node an empty disk.
func (c *ConsensusCluster) WipeDisk(k int) {
	c.directories++
	c.ConsensusNodes[k].Disk = Disk{Directory: fmt.Sprint("folder-", c.directories), Entries: map[uint64]*raftpb.Entry{}}
}

// Start starts a node with a new incarnation and what is on its disk.
func (c *ConsensusCluster) Start(k int) {
	c.Cluster.Start(k)
	c.Deliver(k, membership.Event{Kind: membership.FlagsChanged, Flags: membership.Ready | membership.CanVote})
	node, own := c.Nodes[k], c.ConsensusNodes[k]
	own.incarnation = node.View.Self().Incarnation
	own.Group = consensus.New(c.LocalTime(k), node.Name, own.incarnation, own.Disk.Directory, c.InitialVoters, own.Disk.load(), c.ConsensusSettings, c.random.Uint32())
	own.observedAt = -1000 // its first tick observes
	c.tickConsensus(k, node.run)
}

// tickConsensus gives a group its time, and schedules its next tick.
func (c *ConsensusCluster) tickConsensus(k, run int) {
	node, own := c.Nodes[k], c.ConsensusNodes[k]
	if !node.Up || node.run != run {
		return
	}
	if c.Now < node.stalledUntil {
		c.Schedule(node.stalledUntil, func() { c.tickConsensus(k, run) })
		return
	}
	if current := node.View.Self().Incarnation; current != own.incarnation {
		own.incarnation = current
		c.stepConsensus(k, consensus.Event{Kind: consensus.IncarnationChanged, Incarnation: current})
	}
	if c.Now >= own.observedAt+observeIntervalMS {
		own.observedAt = c.Now
		own.Group.Observe(append(observations(node.View), c.Observations...))
	}
	c.stepConsensus(k, consensus.Event{Kind: consensus.Ticked})
	next := max(c.Now+minTickIntervalMS, min(own.Group.Next()/node.Rate, c.Now+maxTickIntervalMS))
	c.Schedule(next, func() { c.tickConsensus(k, run) })
}

// observations is a view as the consensus group gets it.
func observations(view *membership.View) (list []consensus.Observation) {
	for _, m := range view.Members() {
		list = append(list, consensus.Observation{
			Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, Zone: m.Zone,
			Alive: m.State.IsLive(), LeftGracefully: m.State == membership.Left,
			CanVote: m.Flags&membership.CanVote != 0, Duplicated: m.Flags&membership.Duplicated != 0,
		})
	}
	return list
}

// call carries a message to a node and has arrived called there, unless the node is in another run by then. Where it can't arrive, failed
// is called, if there is one.
func (c *ConsensusCluster) call(from, to int, arrived, failed func()) {
	if c.isLost(from, to) {
		if failed != nil {
			c.Schedule(c.Now+unreachableAfterMS, failed)
		}
		return
	}
	run := c.Nodes[to].run
	var arrive func()
	arrive = func() {
		switch node := c.Nodes[to]; {
		case !node.Up || node.run != run:
			if failed != nil {
				failed()
			}
		case c.Now < node.stalledUntil:
			c.Schedule(node.stalledUntil, arrive)
		default:
			arrived()
		}
	}
	c.Schedule(c.Now+c.delay(), arrive)
}

// isLost reports whether a message does not arrive. A node always reaches itself.
func (c *ConsensusCluster) isLost(from, to int) bool {
	if !c.Nodes[to].Up {
		return true
	}
	if from == to {
		return false
	}
	return !c.connected(from, to) || c.random.Float64() < c.Network.Loss
}

// nodeNamed returns the number of a node, or -1.
func (c *ConsensusCluster) nodeNamed(name string) int {
	return slices.IndexFunc(c.Nodes, func(n *Node) bool { return n.Name == name })
}

// stepConsensus hands an event to a node's group and carries out the effects.
func (c *ConsensusCluster) stepConsensus(k int, ev consensus.Event) {
	run := c.Nodes[k].run
	effects := slices.Clone(c.ConsensusNodes[k].Group.Step(c.LocalTime(k), &ev))
	for _, e := range effects {
		c.applyConsensusEffect(k, run, e)
	}
}

func (c *ConsensusCluster) applyConsensusEffect(k, run int, e consensus.Effect) {
	node, own := c.Nodes[k], c.ConsensusNodes[k]
	to := c.nodeNamed(e.To)
	switch e.Kind {
	case consensus.Persist:
		c.persist(k, run, e)
	case consensus.SendMessage:
		if to >= 0 {
			c.call(k, to, func() {
				c.stepConsensus(to, consensus.Event{Kind: consensus.MessageReceived, Name: node.Name, Data: e.Data})
			}, nil)
		}
	case consensus.RequestLease:
		c.requestLease(k, run, to, e)
	case consensus.ReplyLease:
		if answer := c.answers[e.Token]; answer != nil {
			delete(c.answers, e.Token)
			answer(e.Reply)
		}
	case consensus.RequestHello:
		if to >= 0 {
			c.requestHello(k, run, to)
		}
	case consensus.LeaderChanged:
		if e.Name != "" && e.Name != c.Leader {
			c.Leader = e.Name
			c.LeaderSince = c.Now
		}
	case consensus.LossProposed:
		subject := incarnation{e.Name, e.Incarnation}
		if _, pending := c.pending[subject]; !pending && !c.lost[subject] {
			c.pending[subject] = Operation{Node: k, Kind: LossDeclared, Member: e.Name, Incarnation: e.Incarnation, CalledAt: c.Now}
		}
	case consensus.MemberLost:
		c.declareLost(incarnation{e.Name, e.Incarnation})
	case consensus.IncarnationRevoked:
		c.Deliver(k, membership.Event{Kind: membership.IncarnationRaised})
	case consensus.VoterFailed:
		if !own.Disk.Full {
			c.Violations = append(c.Violations, violation(VoterStopped, "%.0f: voter %s: %s", c.Now, node.Name, e.Reason))
		}
	}
}

// deliverConsensus hands an event to one run of a node's group, after a stall if the node stands still.
func (c *ConsensusCluster) deliverConsensus(k, run int, ev consensus.Event) {
	node := c.Nodes[k]
	if !node.Up || node.run != run {
		return
	}
	if c.Now >= node.stalledUntil {
		c.stepConsensus(k, ev)
		return
	}
	c.Schedule(node.stalledUntil, func() {
		if node.Up && node.run == run {
			c.stepConsensus(k, ev)
		}
	})
}

func (c *ConsensusCluster) requestHello(k, run, to int) {
	c.call(k, to, func() {
		hello := c.ConsensusNodes[to].Group.Hello()
		c.call(to, k, func() {
			c.deliverConsensus(k, run, consensus.Event{Kind: consensus.HelloReceived, Hello: hello})
		}, nil)
	}, nil)
}
