package clustersim

import (
	"maps"
	"slices"

	"liftshift/internal/handoff"
	"liftshift/internal/placement"
	"liftshift/scheduler"
)

const (
	keyedClass         = "mark" // idempotent by means of an idempotency key
	nonIdempotentClass = "once"

	requestDeadlineMS     = 5000.0 // counted from the arrival of the request
	maxDeadlineMS         = 6000.0 // deadline limit of both classes
	keyRetentionMS        = 60e3
	handoffTickIntervalMS = 100.0 // between two ticks of a node's handoff manager, each with a placement refresh
	deadlineMarginMS      = 20.0  // an open request is answered this long before its deadline
)

// HandoffNode holds a node's handoff manager and its open requests. It stands in for the node's scheduler and
// connections.
type HandoffNode struct {
	Manager *handoff.Manager

	incarnation        uint64
	placementStep      uint64
	open               map[string]*nodeRequest // by request id
	waiting            map[string]*nodeRequest // requests that the manager has not admitted yet, by request id
	lastToken          uint64
	batchReplyHandlers map[uint64]func(*handoff.Batch) // by token
	stallAtDialMS      float64                         // duration of the FaultStallAtDial that is set; 0: none
}

// HandoffCluster is a ConsensusCluster whose nodes replicate copies of their open requests to each other.
type HandoffCluster struct {
	*ConsensusCluster
	HandoffNodes  []*HandoffNode
	Requests      []*ClientRequest
	Executions    map[string]int // number of executions by idempotency key, or by request id without a key
	DedupWindowMS float64        // time for which executors drop duplicates of a key; 0 disables deduplication
	IgnoreLeases  bool           // lets nodes act without a lease, to show that the checks detect it

	lastExecution map[string]float64 // time of the last execution, by the keys of Executions
	unsent        *unsentTracker
	requestCount  int
	settings      handoff.Settings
}

// NewHandoffCluster returns a cluster of n nodes that keep the given number of copies of each open request. None of
// the nodes is started.
func NewHandoffCluster(n, copies int, seed uint64, dedupWindowMS float64) *HandoffCluster {
	c := &HandoffCluster{
		ConsensusCluster: NewConsensusCluster(n, 3, seed),
		Executions:       map[string]int{},
		DedupWindowMS:    dedupWindowMS,
		lastExecution:    map[string]float64{},
		unsent:           newUnsentTracker(),
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
func (c *HandoffCluster) Start(nodeIndex int) {
	c.ConsensusCluster.Start(nodeIndex)
	incarnation := c.ConsensusNodes[nodeIndex].incarnation
	c.HandoffNodes[nodeIndex] = &HandoffNode{
		Manager: handoff.New(handoff.Member{Name: c.Nodes[nodeIndex].Name, Incarnation: incarnation}, c.settings,
			c.random.Uint32()),
		incarnation:        incarnation,
		open:               map[string]*nodeRequest{},
		waiting:            map[string]*nodeRequest{},
		lastToken:          uint64(nodeIndex) << 32,
		batchReplyHandlers: map[uint64]func(*handoff.Batch){},
	}
	c.tickHandoff(nodeIndex, c.Nodes[nodeIndex].generation)
}

// Kill stops a node without notice. The clients of its open requests retry at other nodes.
func (c *HandoffCluster) Kill(nodeIndex int) {
	c.ConsensusCluster.Kill(nodeIndex)
	for _, request := range c.Requests {
		if request.Node == nodeIndex && len(request.Answers) == 0 && !request.Disconnected {
			request.Disconnected = true
			c.scheduleRetry(request.operation)
		}
	}
}

// inject applies a fault to the cluster now. It ignores disk faults, which only the histories of a ConsensusCluster
// have.
func (c *HandoffCluster) inject(fault Fault) {
	c.unsent.observeFault(c.Now, fault)
	switch fault.Kind {
	case FaultKill:
		if c.Nodes[fault.Node].Up {
			c.Kill(fault.Node)
		}
	case FaultStart:
		if !c.Nodes[fault.Node].Up {
			c.Start(fault.Node)
		}
	case FaultStallAtDial:
		c.HandoffNodes[fault.Node].stallAtDialMS = fault.DurationMS
	case FaultWipe, FaultDiskFull:
	default:
		c.ConsensusCluster.inject(fault)
	}
}

// afterStall calls a function now, or at the end of the stall if the node is stalled. It does not call the function
// if the node is stopped, or ends its current generation before the end of the stall.
func (c *HandoffCluster) afterStall(nodeIndex int, call func()) {
	node, generation := c.Nodes[nodeIndex], c.Nodes[nodeIndex].generation
	if !node.Up {
		return
	}
	if c.Now >= node.stalledUntil {
		call()
		return
	}
	c.Schedule(node.stalledUntil, func() {
		if node.generation == generation {
			c.afterStall(nodeIndex, call)
		}
	})
}

// after calls a function after a delay, and after a stall if the node is stalled then. It does not call the function
// if the node ends its current generation before.
func (c *HandoffCluster) after(ms float64, nodeIndex int, call func()) {
	generation := c.Nodes[nodeIndex].generation
	c.Schedule(c.Now+ms, func() {
		c.afterStall(nodeIndex, func() {
			if c.Nodes[nodeIndex].generation == generation {
				call()
			}
		})
	})
}

// leaseHeld reports whether a node may act as the owner of its requests.
func (c *HandoffCluster) leaseHeld(nodeIndex int) bool {
	return c.IgnoreLeases || c.ConsensusNodes[nodeIndex].Group.LeaseHeld(c.LocalTime(nodeIndex))
}

// tickHandoff ticks a node's handoff manager, refreshes its placement, answers the requests that reach their
// deadline, and schedules the next tick.
func (c *HandoffCluster) tickHandoff(nodeIndex, generation int) {
	node, handoffNode := c.Nodes[nodeIndex], c.HandoffNodes[nodeIndex]
	if !node.Up || node.generation != generation {
		return
	}
	if c.Now < node.stalledUntil {
		c.Schedule(node.stalledUntil, func() { c.tickHandoff(nodeIndex, generation) })
		return
	}
	if current := c.ConsensusNodes[nodeIndex].incarnation; current != handoffNode.incarnation {
		handoffNode.incarnation = current
		c.stepHandoff(nodeIndex, &handoff.Event{Kind: handoff.IncarnationChanged, Incarnation: current})
	}
	c.refreshPlacement(nodeIndex)
	c.stepHandoff(nodeIndex, &handoff.Event{Kind: handoff.Ticked})
	for _, id := range slices.Sorted(maps.Keys(handoffNode.open)) {
		request := handoffNode.open[id]
		if request == nil || c.LocalTime(nodeIndex) < request.deadline-deadlineMarginMS {
			continue
		}
		outcome := handoff.Failed
		if request.attempts == 0 && !request.mayHaveRun {
			outcome = handoff.Rejected
		}
		c.finishRequest(nodeIndex, request, outcome)
	}
	c.Schedule(c.Now+handoffTickIntervalMS, func() { c.tickHandoff(nodeIndex, generation) })
}

// refreshPlacement updates a node's placement from its own group if it is a voter, and always from the leader as
// well, since a voter may have been replaced without its knowledge.
func (c *HandoffCluster) refreshPlacement(nodeIndex int) {
	group := c.ConsensusNodes[nodeIndex].Group
	if group.Status(c.LocalTime(nodeIndex)).Voter {
		members, table := group.Configuration()
		c.applyPlacement(nodeIndex, members, table)
	}
	for to := range c.Nodes {
		if to == nodeIndex || !c.isLeader(to) {
			continue
		}
		c.sendCall(nodeIndex, to, func() {
			members, table := c.ConsensusNodes[to].Group.Configuration()
			c.sendCall(to, nodeIndex, func() { c.applyPlacement(nodeIndex, members, table) }, nil)
		}, nil)
	}
}

// isLeader reports whether a node regards itself as the leader. It can be true of a stopped node, too.
func (c *HandoffCluster) isLeader(nodeIndex int) bool {
	group := c.ConsensusNodes[nodeIndex].Group
	return group != nil && group.Status(c.LocalTime(nodeIndex)).Leader == c.Nodes[nodeIndex].Name
}

// applyPlacement passes a placement to a node's handoff manager if it is newer than the manager's current one.
func (c *HandoffCluster) applyPlacement(nodeIndex int, members []placement.Member, table placement.Table) {
	if table.Step > c.HandoffNodes[nodeIndex].placementStep {
		c.HandoffNodes[nodeIndex].placementStep = table.Step
		c.stepHandoff(nodeIndex, &handoff.Event{Kind: handoff.PlacementChanged, Members: members, Table: &table})
	}
}
