package clustersim

import (
	"maps"
	"slices"

	"liftshift/internal/handoff"
	"liftshift/internal/placement"
	"liftshift/scheduler"
)

const (
	keyedClass         = "mark" // idempotent with an idempotency key
	nonIdempotentClass = "once"

	requestDeadlineMS = 5000.0 // from the arrival
	maxDeadlineMS     = 6000.0 // the longest of the classes' deadlines
	keyRetentionMS    = 60e3
	heartbeatMS       = 100.0 // between a node's ticks, and between its looks at the placement
	giveUpBeforeMS    = 20.0  // a request is answered this long before its deadline
)

// HandoffNode is a node's handoff manager, with a stand-in for its scheduler and connections.
type HandoffNode struct {
	Manager *handoff.Manager

	incarnation   uint64
	placementStep uint64
	open          map[string]*request // by id
	waiting       map[string]*request // those that the manager has not admitted yet
	lastToken     uint64
	replies       map[uint64]func(*handoff.Batch)
}

// HandoffCluster is a cluster whose nodes keep copies of their open requests.
type HandoffCluster struct {
	*ConsensusCluster
	HandoffNodes  []*HandoffNode
	Requests      []*ClientRequest
	Runs          map[string]int // what had an effect, by idempotency key, or by id where there is none
	DedupWindowMS float64        // for which executors drop repeats; 0: they drop none
	IgnoreLeases  bool           // the checks must be able to see what happens without leases

	lastRun      map[string]float64 // the time of the last run, by the key of Runs
	requestCount int
	settings     handoff.Settings
}

// NewHandoffCluster returns a cluster of n nodes with so many copies of each request. None of the nodes is started.
func NewHandoffCluster(n, copies int, seed uint64, dedupWindowMS float64) *HandoffCluster {
	c := &HandoffCluster{
		ConsensusCluster: NewConsensusCluster(n, 3, seed),
		Runs:             map[string]int{},
		DedupWindowMS:    dedupWindowMS,
		lastRun:          map[string]float64{},
		settings:         handoff.DefaultSettings(),
	}
	c.ConsensusSettings.LeaseMS = 2000
	c.ConsensusSettings.DeclareLostMS = 500
	c.ConsensusSettings.Copies = copies
	c.settings.KeyRetentionMS = keyRetentionMS
	c.settings.Classes = []scheduler.RequestClass{
		{Name: keyedClass, Idempotency: scheduler.Keyed, DedupWindowMS: dedupWindowMS, DeadlineMS: maxDeadlineMS},
		{Name: nonIdempotentClass, Idempotency: scheduler.NonIdempotent, DeadlineMS: maxDeadlineMS},
	}
	for range n {
		c.HandoffNodes = append(c.HandoffNodes, &HandoffNode{})
	}
	return c
}

// Start starts a node with an empty handoff manager.
func (c *HandoffCluster) Start(k int) {
	c.ConsensusCluster.Start(k)
	incarnation := c.ConsensusNodes[k].incarnation
	c.HandoffNodes[k] = &HandoffNode{
		Manager:     handoff.New(handoff.Member{Name: c.Nodes[k].Name, Incarnation: incarnation}, c.settings, c.random.Uint32()),
		incarnation: incarnation,
		open:        map[string]*request{},
		waiting:     map[string]*request{},
		lastToken:   uint64(k) << 32,
		replies:     map[uint64]func(*handoff.Batch){},
	}
	c.heartbeat(k, c.Nodes[k].run)
}

// Kill ends a node without notice; the clients of its open requests retry elsewhere.
func (c *HandoffCluster) Kill(k int) {
	c.ConsensusCluster.Kill(k)
	for _, r := range c.Requests {
		if r.Node == k && len(r.Answers) == 0 && !r.Disconnected {
			r.Disconnected = true
			c.scheduleRetry(r.operation)
		}
	}
}

// inject does a fault to the cluster now. Lost and full disks are left to the histories of a ConsensusCluster.
func (c *HandoffCluster) inject(fault Fault) {
	switch fault.Kind {
	case FaultKill:
		if c.Nodes[fault.Node].Up {
			c.Kill(fault.Node)
		}
	case FaultStart:
		if !c.Nodes[fault.Node].Up {
			c.Start(fault.Node)
		}
	case FaultWipe, FaultDiskFull:
	default:
		c.ConsensusCluster.inject(fault)
	}
}

// whenAwake calls a function for the node's current run, after a stall if the node stands still.
func (c *HandoffCluster) whenAwake(k int, call func()) {
	node, run := c.Nodes[k], c.Nodes[k].run
	if !node.Up {
		return
	}
	if c.Now >= node.stalledUntil {
		call()
		return
	}
	c.Schedule(node.stalledUntil, func() {
		if node.run == run {
			c.whenAwake(k, call)
		}
	})
}

// after calls a function after a delay, for the node's current run.
func (c *HandoffCluster) after(ms float64, k int, call func()) {
	run := c.Nodes[k].run
	c.Schedule(c.Now+ms, func() {
		c.whenAwake(k, func() {
			if c.Nodes[k].run == run {
				call()
			}
		})
	})
}

func (c *HandoffCluster) leaseHeld(k int) bool {
	return c.IgnoreLeases || c.ConsensusNodes[k].Group.LeaseHeld(c.LocalTime(k))
}

// heartbeat gives a node its ticks and the agreed placement, and ends its requests that are due.
func (c *HandoffCluster) heartbeat(k, run int) {
	node, own := c.Nodes[k], c.HandoffNodes[k]
	if !node.Up || node.run != run {
		return
	}
	if c.Now < node.stalledUntil {
		c.Schedule(node.stalledUntil, func() { c.heartbeat(k, run) })
		return
	}
	if current := c.ConsensusNodes[k].incarnation; current != own.incarnation {
		own.incarnation = current
		c.stepHandoff(k, &handoff.Event{Kind: handoff.IncarnationChanged, Incarnation: current})
	}
	c.refreshPlacement(k)
	c.stepHandoff(k, &handoff.Event{Kind: handoff.Ticked})
	for _, id := range slices.Sorted(maps.Keys(own.open)) {
		r := own.open[id]
		if r == nil || c.LocalTime(k) < r.deadline-giveUpBeforeMS {
			continue
		}
		outcome := handoff.Failed
		if r.attempts == 0 && !r.mayHaveRun {
			outcome = handoff.Rejected
		}
		c.finishRequest(k, r, outcome)
	}
	c.Schedule(c.Now+heartbeatMS, func() { c.heartbeat(k, run) })
}

// refreshPlacement brings a node the agreed placement: a voter's own, and that of the leader, for the voter may have been replaced without
// its knowledge.
func (c *HandoffCluster) refreshPlacement(k int) {
	group := c.ConsensusNodes[k].Group
	if group.Status(c.LocalTime(k)).Voter {
		members, table := group.Configuration()
		c.applyPlacement(k, members, table)
	}
	for to := range c.Nodes {
		if to == k || !c.isLeader(to) {
			continue
		}
		c.call(k, to, func() {
			members, table := c.ConsensusNodes[to].Group.Configuration()
			c.call(to, k, func() { c.applyPlacement(k, members, table) }, nil)
		}, nil)
	}
}

// isLeader reports whether a node takes itself for the leader, also when it is down.
func (c *HandoffCluster) isLeader(k int) bool {
	group := c.ConsensusNodes[k].Group
	return group != nil && group.Status(c.LocalTime(k)).Leader == c.Nodes[k].Name
}

func (c *HandoffCluster) applyPlacement(k int, members []placement.Member, table placement.Table) {
	if table.Step > c.HandoffNodes[k].placementStep {
		c.HandoffNodes[k].placementStep = table.Step
		c.stepHandoff(k, &handoff.Event{Kind: handoff.PlacementChanged, Members: members, Table: &table})
	}
}
