// Package clustersim runs the decision packages of many controllers in simulated time, on a network that delays, loses, duplicates and
// blocks messages, with nodes that stall, crash and restart. One seed replays one history. A Cluster has membership views; a
// ConsensusCluster adds the consensus group and its disks, and a HandoffCluster the copies of open requests. RunLocality simulates
// failover between zones. Tests and measurements use the package; the serving daemon must not. It does no I/O and reads no clock.
package clustersim

import (
	"fmt"
	"math/rand/v2"

	"liftshift/internal/consensus"
	"liftshift/internal/membership"
)

const (
	seedNodes        = 3    // the nodes whose addresses all others start from
	firstIncarnation = 1000 // incarnations of started nodes are above it
	minTickDelayMS   = 0.01 // a view that wants its tick at once gets it this much later, so that time goes on
)

// Node is one simulated controller.
type Node struct {
	View    *membership.View
	Name    string
	Address string
	Up      bool
	Rate    float64 // of its clock, against true time

	stalledUntil float64
	run          int     // the number of its starts and ends; what was sent to an earlier run is not delivered
	nextTick     float64 // the tick that is valid; others in the queue were replaced
}

// event is either a call or a membership event for one run of a node.
type event struct {
	call func()
	to   int
	run  int
	from int // the sending node, or noSender
	ev   membership.Event
}

const noSender = -1

// Cluster is a number of controllers with membership views, in simulated time. Times are in milliseconds.
type Cluster struct {
	Now                float64
	Network            Network
	Nodes              []*Node
	Seeds              []string // addresses
	MembershipSettings membership.Settings
	ConsensusSettings  consensus.Settings
	Zones              int
	// OnEffect gets each effect of a view that sends nothing.
	OnEffect func(node int, e *membership.Effect)
	// OnDatagram gets each datagram that is going to arrive.
	OnDatagram func(from, to int, data []byte)

	Messages, Bytes uint64 // sent, exchanges included

	random          *rand.Rand
	queue           eventQueue[event]
	nodeByAddress   map[string]int
	lastIncarnation uint64
}

// New returns a cluster of n nodes, none of which is started.
func New(n int, seed uint64) *Cluster {
	c := &Cluster{
		MembershipSettings: membership.DefaultSettings(),
		ConsensusSettings:  consensus.DefaultSettings(),
		Network:            Network{MinDelayMS: 0.2, MaxDelayMS: 2},
		Zones:              3,
		random:             rand.New(rand.NewPCG(seed, 1)),
		nodeByAddress:      map[string]int{},
		lastIncarnation:    firstIncarnation,
	}
	for k := range n {
		node := &Node{Rate: 1, Name: fmt.Sprintf("n%d", k), Address: fmt.Sprintf("10.0.%d.%d:7", k/250, k%250)}
		c.Nodes = append(c.Nodes, node)
		c.nodeByAddress[node.Address] = k
		if k < seedNodes {
			c.Seeds = append(c.Seeds, node.Address)
		}
	}
	return c
}

// Rand returns the history's own source of random numbers.
func (c *Cluster) Rand() *rand.Rand { return c.random }

// Start starts a node with an empty view and a new incarnation.
func (c *Cluster) Start(k int) {
	node := c.Nodes[k]
	c.lastIncarnation++
	node.Up = true
	node.stalledUntil = 0
	node.run++
	self := membership.Member{Name: node.Name, Incarnation: c.lastIncarnation, Address: node.Address, Zone: fmt.Sprintf("z%d", k%c.Zones),
		Version: 1, Flags: membership.Ready}
	node.View = membership.New(c.LocalTime(k), "sim", self, c.Seeds, c.MembershipSettings, c.random.Uint32())
	node.nextTick = c.Now
	c.queue.schedule(c.Now, event{to: k, run: node.run, ev: membership.Event{Kind: membership.Ticked}})
}

// SetAddress gives a node another address before its next start.
func (c *Cluster) SetAddress(k int, address string) {
	c.Nodes[k].Address = address
	c.nodeByAddress[address] = k
}

// Kill ends a node without notice to the others.
func (c *Cluster) Kill(k int) {
	c.Nodes[k].Up = false
	c.Nodes[k].run++
}

// Stall suspends a node; what arrives meanwhile is delivered afterwards.
func (c *Cluster) Stall(k int, ms float64) { c.Nodes[k].stalledUntil = c.Now + ms }

// Schedule has a function called at a time.
func (c *Cluster) Schedule(at float64, call func()) {
	c.queue.schedule(at, event{to: -1, call: call})
}

// Deliver hands a membership event to a node now.
func (c *Cluster) Deliver(k int, ev membership.Event) { c.stepMembership(k, noSender, &ev) }

// RunUntil lets simulated time pass up to a time.
func (c *Cluster) RunUntil(until float64) {
	for {
		at, e, due := c.queue.popDue(until)
		if !due {
			break
		}
		c.Now = max(c.Now, at)
		if e.call != nil {
			e.call()
			continue
		}
		node := c.Nodes[e.to]
		if !node.Up || node.run != e.run {
			continue
		}
		if c.Now < node.stalledUntil {
			c.queue.schedule(node.stalledUntil, e)
			continue
		}
		if e.isTick() && node.nextTick != at && node.stalledUntil < at {
			continue // another tick took its place
		}
		c.stepMembership(e.to, e.from, &e.ev)
	}
	c.Now = until
}

func (e *event) isTick() bool { return e.ev.Kind == membership.Ticked && e.from == noSender }

// stepMembership hands an event to a node's view and carries out the effects.
func (c *Cluster) stepMembership(k, from int, ev *membership.Event) {
	node := c.Nodes[k]
	effects := node.View.Step(c.LocalTime(k), ev)
	for i := range effects {
		e := &effects[i]
		switch e.Kind {
		case membership.Send:
			c.sendDatagram(k, e.To, e.Data)
		case membership.Exchange:
			c.startExchange(k, e.To, e.Data)
		case membership.Reply:
			c.answerExchange(k, from, e.Data)
		default:
			if c.OnEffect != nil {
				c.OnEffect(k, e)
			}
		}
	}
	next := max(node.View.Next()/node.Rate, c.Now+minTickDelayMS)
	if next != node.nextTick || ev.Kind == membership.Ticked {
		node.nextTick = next
		c.queue.schedule(next, event{to: k, run: node.run, from: noSender, ev: membership.Event{Kind: membership.Ticked}})
	}
}

// LocalTime returns the time by a node's own clock.
func (c *Cluster) LocalTime(k int) float64 { return c.Now * c.Nodes[k].Rate }
