package clustersim

import (
	"fmt"
	"math"
	"slices"
)

// FaultKind is a kind of fault that a history injects into a cluster.
type FaultKind int

// The kinds of faults. FaultStart and FaultHeal end earlier faults.
const (
	FaultKill      FaultKind = iota // stops a node without notice
	FaultStart                      // starts a stopped node
	FaultWipe                       // starts a stopped node with an empty disk
	FaultStall                      // suspends a node
	FaultPartition                  // partitions a third of the nodes from the others
	FaultMute                       // drops all messages that a node sends
	FaultHeal                       // repairs the network and all disks
	FaultLoss                       // drops a share of all messages
	FaultDiskFull                   // makes the writes to a node's disk fail
	// FaultStallAtDial suspends a node of a HandoffCluster once an attempt of a keyed request waits for a new
	// connection there, which may be later than the time of the fault. Other clusters ignore it.
	FaultStallAtDial
)

var faultNames = [...]string{"kill", "start", "wipe", "stall", "partition", "mute", "heal", "loss", "disk full",
	"stall at dial"}

// String returns the name of the kind.
func (k FaultKind) String() string { return faultNames[k] }

// Fault is a fault that is injected at one point of a history.
type Fault struct {
	At         float64 // in milliseconds
	Kind       FaultKind
	Node       int
	DurationMS float64 // of a FaultStall or FaultStallAtDial; the other kinds ignore it
}

// String returns the time, kind, node and duration of the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%.0f ms: %s %d %.0f", f.At, f.Kind, f.Node, f.DurationMS)
}

// faultDistribution lists the kinds of faults that histories draw from. A kind that is listed more often is drawn
// more often.
var faultDistribution = []FaultKind{
	FaultKill, FaultKill, FaultStart, FaultStart, FaultStart, FaultWipe, FaultStall, FaultStall, FaultPartition, FaultMute,
	FaultHeal, FaultHeal, FaultLoss, FaultDiskFull,
}

const (
	firstFaultMS  = 9000.0 // leaves the cluster time to form
	faultLossRate = 0.2    // probability that a message is lost during a FaultLoss
)

// drawFaults draws the faults of a history that ends at the time until.
func (c *ConsensusCluster) drawFaults(until float64) (faults []Fault) {
	for at := firstFaultMS; at < until; at += 300 + 4000*c.random.Float64() {
		fault := Fault{
			At:         at,
			Kind:       faultDistribution[c.random.IntN(len(faultDistribution))],
			Node:       c.random.IntN(len(c.Nodes)),
			DurationMS: 200 * math.Exp(5*c.random.Float64()),
		}
		// Wipes are rare because a group survives only the loss of a minority of its voters' disks.
		if fault.Kind == FaultWipe && c.random.IntN(3) > 0 {
			fault.Kind = FaultHeal
		}
		faults = append(faults, fault)
	}
	return faults
}

// inject applies a fault to the cluster now.
func (c *ConsensusCluster) inject(fault Fault) {
	switch fault.Kind {
	case FaultKill:
		c.Kill(fault.Node)
	case FaultStart:
		if !c.Nodes[fault.Node].Up {
			c.Start(fault.Node)
		}
	case FaultWipe:
		if c.canWipe(fault.Node) {
			c.WipeDisk(fault.Node)
			c.Start(fault.Node)
		}
	case FaultStall:
		c.Stall(fault.Node, fault.DurationMS)
	case FaultPartition:
		c.Network.Blocked = func(a, b int) bool { return (a+fault.Node)%3 == 0 != ((b+fault.Node)%3 == 0) }
	case FaultMute:
		c.Network.Blocked = func(a, _ int) bool { return a == fault.Node }
	case FaultHeal:
		c.Network.Blocked = nil
		c.Network.Loss = 0
		for _, node := range c.ConsensusNodes {
			node.Disk.Full = false
		}
	case FaultLoss:
		c.Network.Loss = faultLossRate
	case FaultDiskFull:
		if !slices.ContainsFunc(c.ConsensusNodes, func(n *ConsensusNode) bool { return n.Disk.Full }) {
			c.ConsensusNodes[fault.Node].Disk.Full = true
		}
	}
}

// canWipe reports whether a stopped node may lose its disk without making the group unrecoverable: all other initial
// voters must have state on disk. Node 0 always keeps its disk.
func (c *ConsensusCluster) canWipe(nodeIndex int) bool {
	if c.Nodes[nodeIndex].Up || nodeIndex == 0 {
		return false
	}
	for other, node := range c.ConsensusNodes[:len(c.InitialVoters)] {
		if other != nodeIndex && node.Disk.Snapshot == nil {
			return false
		}
	}
	return true
}
