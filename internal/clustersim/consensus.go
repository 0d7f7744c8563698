package clustersim

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"liftshift/internal/consensus"
	"liftshift/internal/membership"
)

const (
	maxClockDrift        = 0.001 // largest relative error of a node's clock rate
	observeIntervalMS    = 100.0 // between two observations of the membership view by a group
	maxTickIntervalMS    = 200.0
	minTickIntervalMS    = 1.0
	unreachableTimeoutMS = 100.0 // after which a call to an unreachable node fails
)

// ConsensusNode holds a node's consensus group member and the disk that it persists to.
type ConsensusNode struct {
	Group *consensus.Group
	Disk  Disk

	incarnation    uint64
	lastObservedAt float64
}

// ConsensusCluster is a Cluster whose nodes also run a consensus group. It records the lease operations and checks
// the invariants of leases as the history runs.
type ConsensusCluster struct {
	*Cluster
	ConsensusNodes    []*ConsensusNode
	InitialVoters     []string
	Operations        []Operation
	Violations        []Violation
	Leader            string
	LeaderSince       float64
	DeclaredLost      int                     // number of incarnations that were declared lost
	ExtraObservations []consensus.Observation // added to the observations of every node, to simulate more members

	pendingDeclarations map[memberIncarnation]Operation // proposed losses that are not committed yet
	lostIncarnations    map[memberIncarnation]bool
	directoryCount      int
	lastToken           uint64
	leaseReplyHandlers  map[uint64]func(consensus.LeaseReply) // by token
}

// NewConsensusCluster returns a cluster of n nodes whose first nodes are the initial voters. None of them is started.
func NewConsensusCluster(n, initialVoters int, seed uint64) *ConsensusCluster {
	c := &ConsensusCluster{
		Cluster:             New(n, seed),
		pendingDeclarations: map[memberIncarnation]Operation{},
		lostIncarnations:    map[memberIncarnation]bool{},
		leaseReplyHandlers:  map[uint64]func(consensus.LeaseReply){},
	}
	for k := range n {
		c.ConsensusNodes = append(c.ConsensusNodes, &ConsensusNode{})
		c.Nodes[k].ClockRate = 1 + maxClockDrift*(2*c.random.Float64()-1)
		if k < initialVoters {
			c.InitialVoters = append(c.InitialVoters, c.Nodes[k].Name)
		}
		c.WipeDisk(k)
	}
	return c
}

// WipeDisk replaces a node's disk by an empty one.
func (c *ConsensusCluster) WipeDisk(nodeIndex int) {
	c.directoryCount++
	c.ConsensusNodes[nodeIndex].Disk = Disk{
		Directory: fmt.Sprint("folder-", c.directoryCount),
		Entries:   map[uint64]*raftpb.Entry{},
	}
}

// Start starts a node with a new incarnation and the state on its disk.
func (c *ConsensusCluster) Start(nodeIndex int) {
	c.Cluster.Start(nodeIndex)
	c.Deliver(nodeIndex, membership.Event{Kind: membership.FlagsChanged, Flags: membership.Ready | membership.CanVote})
	node, consensusNode := c.Nodes[nodeIndex], c.ConsensusNodes[nodeIndex]
	consensusNode.incarnation = node.View.Self().Incarnation
	consensusNode.Group = consensus.New(c.LocalTime(nodeIndex), node.Name, consensusNode.incarnation,
		consensusNode.Disk.Directory, c.InitialVoters, consensusNode.Disk.load(), c.ConsensusSettings, c.random.Uint32())
	consensusNode.lastObservedAt = -1000 // the first tick observes the view
	c.tickConsensus(nodeIndex, node.generation)
}

// tickConsensus ticks a node's group, passes changes of the membership view to it, and schedules the next tick.
func (c *ConsensusCluster) tickConsensus(nodeIndex, generation int) {
	node, consensusNode := c.Nodes[nodeIndex], c.ConsensusNodes[nodeIndex]
	if !node.Up || node.generation != generation {
		return
	}
	if c.Now < node.stalledUntil {
		c.Schedule(node.stalledUntil, func() { c.tickConsensus(nodeIndex, generation) })
		return
	}
	if current := node.View.Self().Incarnation; current != consensusNode.incarnation {
		consensusNode.incarnation = current
		c.stepConsensus(nodeIndex, consensus.Event{Kind: consensus.IncarnationChanged, Incarnation: current})
	}
	if c.Now >= consensusNode.lastObservedAt+observeIntervalMS {
		consensusNode.lastObservedAt = c.Now
		consensusNode.Group.Observe(append(observations(node.View), c.ExtraObservations...))
	}
	c.stepConsensus(nodeIndex, consensus.Event{Kind: consensus.Ticked})
	next := max(c.Now+minTickIntervalMS, min(consensusNode.Group.Next()/node.ClockRate, c.Now+maxTickIntervalMS))
	c.Schedule(next, func() { c.tickConsensus(nodeIndex, generation) })
}

// observations converts a membership view to the form that consensus groups observe.
func observations(view *membership.View) (list []consensus.Observation) {
	for _, member := range view.Members() {
		list = append(list, consensus.Observation{
			Name: member.Name, Incarnation: member.Incarnation, Address: member.Address, Zone: member.Zone,
			Alive: member.State.IsLive(), LeftGracefully: member.State == membership.Left,
			CanVote: member.Flags&membership.CanVote != 0, Duplicated: member.Flags&membership.Duplicated != 0,
		})
	}
	return list
}

// sendCall simulates a call from one node to another. It calls arrived after the network delay, and after a stall
// of the receiver, if the receiver is still in the same generation. Otherwise it calls failed, which may be nil.
func (c *ConsensusCluster) sendCall(from, to int, arrived, failed func()) {
	if c.dropsMessage(from, to) {
		if failed != nil {
			c.Schedule(c.Now+unreachableTimeoutMS, failed)
		}
		return
	}
	generation := c.Nodes[to].generation
	var arrive func()
	arrive = func() {
		switch node := c.Nodes[to]; {
		case !node.Up || node.generation != generation:
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

// dropsMessage reports whether a call between two nodes is lost. A running node always reaches itself.
func (c *ConsensusCluster) dropsMessage(from, to int) bool {
	if !c.Nodes[to].Up {
		return true
	}
	if from == to {
		return false
	}
	return !c.connected(from, to) || c.random.Float64() < c.Network.Loss
}

// nodeIndexOf returns the index of the node with a name, or -1 if there is none.
func (c *ConsensusCluster) nodeIndexOf(name string) int {
	return slices.IndexFunc(c.Nodes, func(n *Node) bool { return n.Name == name })
}

// stepConsensus passes an event to a node's group and applies the effects.
func (c *ConsensusCluster) stepConsensus(nodeIndex int, event consensus.Event) {
	generation := c.Nodes[nodeIndex].generation
	effects := slices.Clone(c.ConsensusNodes[nodeIndex].Group.Step(c.LocalTime(nodeIndex), &event))
	for _, effect := range effects {
		c.applyConsensusEffect(nodeIndex, generation, effect)
	}
}

// applyConsensusEffect applies an effect of a node's group, and records what it means for the lease operations.
func (c *ConsensusCluster) applyConsensusEffect(nodeIndex, generation int, effect consensus.Effect) {
	node, consensusNode := c.Nodes[nodeIndex], c.ConsensusNodes[nodeIndex]
	to := c.nodeIndexOf(effect.To)
	switch effect.Kind {
	case consensus.Persist:
		c.persist(nodeIndex, generation, effect)
	case consensus.SendMessage:
		if to >= 0 {
			c.sendCall(nodeIndex, to, func() {
				c.stepConsensus(to, consensus.Event{Kind: consensus.MessageReceived, Name: node.Name, Data: effect.Data})
			}, nil)
		}
	case consensus.RequestLease:
		c.requestLease(nodeIndex, generation, to, effect)
	case consensus.ReplyLease:
		if answer := c.leaseReplyHandlers[effect.Token]; answer != nil {
			delete(c.leaseReplyHandlers, effect.Token)
			answer(effect.Reply)
		}
	case consensus.RequestHello:
		if to >= 0 {
			c.requestHello(nodeIndex, generation, to)
		}
	case consensus.LeaderChanged:
		if effect.Name != "" && effect.Name != c.Leader {
			c.Leader = effect.Name
			c.LeaderSince = c.Now
		}
	case consensus.LossProposed:
		subject := memberIncarnation{effect.Name, effect.Incarnation}
		if _, pending := c.pendingDeclarations[subject]; !pending && !c.lostIncarnations[subject] {
			c.pendingDeclarations[subject] = Operation{Node: nodeIndex, Kind: LossDeclared, Member: effect.Name,
				Incarnation: effect.Incarnation, CalledAt: c.Now}
		}
	case consensus.MemberLost:
		c.declareLost(memberIncarnation{effect.Name, effect.Incarnation})
	case consensus.IncarnationRevoked:
		c.Deliver(nodeIndex, membership.Event{Kind: membership.IncarnationRaised})
	case consensus.VoterFailed:
		if !consensusNode.Disk.Full {
			c.Violations = append(c.Violations,
				newViolation(VoterStopped, "at %.0f ms: voter %s failed: %s", c.Now, node.Name, effect.Reason))
		}
	}
}

// deliverConsensus passes an event to one generation of a node's group, after the stall if the node is stalled.
func (c *ConsensusCluster) deliverConsensus(nodeIndex, generation int, event consensus.Event) {
	node := c.Nodes[nodeIndex]
	if !node.Up || node.generation != generation {
		return
	}
	if c.Now >= node.stalledUntil {
		c.stepConsensus(nodeIndex, event)
		return
	}
	c.Schedule(node.stalledUntil, func() {
		if node.Up && node.generation == generation {
			c.stepConsensus(nodeIndex, event)
		}
	})
}

// requestHello fetches another node's hello and delivers it to a node's group.
func (c *ConsensusCluster) requestHello(nodeIndex, generation, to int) {
	c.sendCall(nodeIndex, to, func() {
		hello := c.ConsensusNodes[to].Group.Hello()
		c.sendCall(to, nodeIndex, func() {
			c.deliverConsensus(nodeIndex, generation, consensus.Event{Kind: consensus.HelloReceived, Hello: hello})
		}, nil)
	}, nil)
}
