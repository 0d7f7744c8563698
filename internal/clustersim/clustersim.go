// Package clustersim is a deterministic simulation of many controllers. It runs their state machines in simulated
// time, on a network that delays, loses, duplicates and blocks messages, with nodes that stall, crash and restart.
// The same seed always replays the same history.
//
// A Cluster simulates membership. A ConsensusCluster adds the consensus group and its disks, and a HandoffCluster
// adds the replicated copies of open requests. RunLocality simulates failover between zones.
//
// The package is for tests and benchmarks only; the daemon must not import it. It does no I/O and reads no clock.
package clustersim

import (
	"fmt"
	"math/rand/v2"

	"liftshift/internal/consensus"
	"liftshift/internal/membership"
)

const (
	seedNodeCount   = 3    // the first nodes; their addresses are the seeds of every node
	incarnationBase = 1000 // started nodes get incarnations above this number
	minTickDelayMS  = 0.01 // smallest delay of a tick, so that simulated time always advances
)

// Node is one simulated controller.
type Node struct {
	View      *membership.View
	Name      string
	Address   string
	Up        bool
	ClockRate float64 // speed of the node's clock relative to true time

	stalledUntil float64
	generation   int     // incremented at each start and kill; events for an earlier generation are not delivered
	nextTick     float64 // time of the valid tick; queued ticks with another time have been replaced
}

// queuedEvent is either a function call or a membership event for one generation of a node.
type queuedEvent struct {
	call       func()
	to         int
	generation int
	from       int // the sending node, or noSender
	event      membership.Event
}

// noSender is the sender of events that no other node has sent, such as ticks.
const noSender = -1

// Cluster simulates a number of controllers with membership views. Nodes are identified by their index in Nodes, and
// times are in milliseconds.
type Cluster struct {
	Now                float64
	Network            Network
	Nodes              []*Node
	Seeds              []string // addresses of the seed nodes
	MembershipSettings membership.Settings
	ConsensusSettings  consensus.Settings
	Zones              int
	// OnEffect is called with each effect of a view that is not a message.
	OnEffect func(node int, e *membership.Effect)
	// OnDatagram is called with each datagram that the network is going to deliver.
	OnDatagram func(from, to int, data []byte)

	Messages, Bytes uint64 // sent datagrams and exchange messages, and their total size

	random          *rand.Rand
	queue           eventQueue[queuedEvent]
	nodeByAddress   map[string]int
	lastIncarnation uint64
}

// New returns a cluster of n nodes. None of them is started.
func New(n int, seed uint64) *Cluster {
	c := &Cluster{
		MembershipSettings: membership.DefaultSettings(),
		ConsensusSettings:  consensus.DefaultSettings(),
		Network:            Network{MinDelayMS: 0.2, MaxDelayMS: 2},
		Zones:              3,
		random:             rand.New(rand.NewPCG(seed, 1)),
		nodeByAddress:      map[string]int{},
		lastIncarnation:    incarnationBase,
	}
	for k := range n {
		node := &Node{ClockRate: 1, Name: fmt.Sprintf("n%d", k), Address: fmt.Sprintf("10.0.%d.%d:7", k/250, k%250)}
		c.Nodes = append(c.Nodes, node)
		c.nodeByAddress[node.Address] = k
		if k < seedNodeCount {
			c.Seeds = append(c.Seeds, node.Address)
		}
	}
	return c
}

// Rand returns the random number generator from which the whole history is drawn.
func (c *Cluster) Rand() *rand.Rand { return c.random }

// Start starts a node with an empty view and a new incarnation.
func (c *Cluster) Start(nodeIndex int) {
	node := c.Nodes[nodeIndex]
	c.lastIncarnation++
	node.Up = true
	node.stalledUntil = 0
	node.generation++
	self := membership.Member{Name: node.Name, Incarnation: c.lastIncarnation, Address: node.Address,
		Zone: fmt.Sprintf("z%d", nodeIndex%c.Zones), Version: 1, Flags: membership.Ready}
	node.View = membership.New(c.LocalTime(nodeIndex), "sim", self, c.Seeds, c.MembershipSettings, c.random.Uint32())
	node.nextTick = c.Now
	c.queue.schedule(c.Now, queuedEvent{to: nodeIndex, generation: node.generation,
		event: membership.Event{Kind: membership.Ticked}})
}

// SetAddress changes the address that a node uses from its next start on.
func (c *Cluster) SetAddress(nodeIndex int, address string) {
	c.Nodes[nodeIndex].Address = address
	c.nodeByAddress[address] = nodeIndex
}

// Kill stops a node without notice to the others.
func (c *Cluster) Kill(nodeIndex int) {
	c.Nodes[nodeIndex].Up = false
	c.Nodes[nodeIndex].generation++
}

// Stall suspends a node for some milliseconds. Events that arrive meanwhile are delivered when the stall ends.
func (c *Cluster) Stall(nodeIndex int, ms float64) { c.Nodes[nodeIndex].stalledUntil = c.Now + ms }

// Schedule calls a function at a simulated time.
func (c *Cluster) Schedule(at float64, call func()) {
	c.queue.schedule(at, queuedEvent{to: -1, call: call})
}

// Deliver delivers a membership event to a node now, even if the node is stalled.
func (c *Cluster) Deliver(nodeIndex int, event membership.Event) {
	c.stepMembership(nodeIndex, noSender, &event)
}

// RunUntil processes all events that are due up to a simulated time, and advances the clock to it.
func (c *Cluster) RunUntil(until float64) {
	for {
		at, queued, due := c.queue.popDue(until)
		if !due {
			break
		}
		c.Now = max(c.Now, at)
		if queued.call != nil {
			queued.call()
			continue
		}
		node := c.Nodes[queued.to]
		if !node.Up || node.generation != queued.generation {
			continue
		}
		if c.Now < node.stalledUntil {
			c.queue.schedule(node.stalledUntil, queued)
			continue
		}
		if queued.isTick() && node.nextTick != at && node.stalledUntil < at {
			continue // another tick has replaced it
		}
		c.stepMembership(queued.to, queued.from, &queued.event)
	}
	c.Now = until
}

// isTick reports whether the event is a tick that the node has scheduled for itself.
func (e *queuedEvent) isTick() bool { return e.event.Kind == membership.Ticked && e.from == noSender }

// stepMembership passes an event to a node's view, applies the effects and schedules the next tick.
func (c *Cluster) stepMembership(nodeIndex, from int, event *membership.Event) {
	node := c.Nodes[nodeIndex]
	effects := node.View.Step(c.LocalTime(nodeIndex), event)
	for i := range effects {
		effect := &effects[i]
		switch effect.Kind {
		case membership.Send:
			c.sendDatagram(nodeIndex, effect.To, effect.Data)
		case membership.Exchange:
			c.startExchange(nodeIndex, effect.To, effect.Data)
		case membership.Reply:
			c.answerExchange(nodeIndex, from, effect.Data)
		default:
			if c.OnEffect != nil {
				c.OnEffect(nodeIndex, effect)
			}
		}
	}
	next := max(node.View.Next()/node.ClockRate, c.Now+minTickDelayMS)
	if next != node.nextTick || event.Kind == membership.Ticked {
		node.nextTick = next
		c.queue.schedule(next, queuedEvent{to: nodeIndex, generation: node.generation, from: noSender,
			event: membership.Event{Kind: membership.Ticked}})
	}
}

// LocalTime returns the current time on a node's clock, which drifts from true time by the node's ClockRate.
func (c *Cluster) LocalTime(nodeIndex int) float64 { return c.Now * c.Nodes[nodeIndex].ClockRate }
