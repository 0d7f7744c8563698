package clustersim

import (
	"fmt"
	"math"
	"slices"
)

// FaultKind is what is done to a cluster.
type FaultKind int

// The faults.
const (
	FaultKill      FaultKind = iota // a node ends without notice
	FaultStart                      // a node that is down starts
	FaultWipe                       // a node that is down starts with an empty disk
	FaultStall                      // a node stands still
	FaultPartition                  // a third of the nodes is cut off from the others
	FaultMute                       // nothing that a node sends arrives
	FaultHeal                       // network and disks are whole again
	FaultLoss                       // messages are lost
	FaultDiskFull                   // a node's disk takes no writes
)

var faultNames = [...]string{"kill", "start", "wipe", "stall", "partition", "mute", "heal", "loss", "disk full"}

// String returns the name of the kind.
func (k FaultKind) String() string { return faultNames[k] }

// Fault is one thing that is done to a cluster at a time.
type Fault struct {
	At         float64
	Kind       FaultKind
	Node       int
	DurationMS float64
}

// String returns the fault on one line: its time, kind, node and duration.
func (f Fault) String() string {
	return fmt.Sprintf("%.0f ms: %s %d %.0f", f.At, f.Kind, f.Node, f.DurationMS)
}

// drawnFaults are the kinds that histories draw from; those that stand more often are drawn more often.
var drawnFaults = []FaultKind{FaultKill, FaultKill, FaultStart, FaultStart, FaultStart, FaultWipe, FaultStall, FaultStall, FaultPartition, FaultMute,
	FaultHeal, FaultHeal, FaultLoss, FaultDiskFull}

const (
	firstFaultMS = 9000.0 // the cluster has formed by then
	faultLoss    = 0.2    // share of messages
)

// drawFaults draws a history's faults.
func (c *ConsensusCluster) drawFaults(until float64) (faults []Fault) {
	for at := firstFaultMS; at < until; at += 300 + 4000*c.random.Float64() {
		fault := Fault{At: at, Kind: drawnFaults[c.random.IntN(len(drawnFaults))], Node: c.random.IntN(len(c.Nodes)), DurationMS: 200 * math.Exp(5*c.random.Float64())}
		if fault.Kind == FaultWipe && c.random.IntN(3) > 0 { // a group does not survive the loss of more disks than a minority of its voters
			fault.Kind = FaultHeal
		}
		faults = append(faults, fault)
	}
	return faults
}

// inject does a fault to the cluster now.
func (c *ConsensusCluster) inject(fault Fault) {
	switch fault.Kind {
	case FaultKill:
		c.Kill(fault.Node)
	case FaultStart:
		if !c.Nodes[fault.Node].Up {
			c.Start(fault.Node)
		}
	case FaultWipe:
		if c.mayWipe(fault.Node) {
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
		c.Network.Loss = faultLoss
	case FaultDiskFull:
		if !slices.ContainsFunc(c.ConsensusNodes, func(n *ConsensusNode) bool { return n.Disk.Full }) {
			c.ConsensusNodes[fault.Node].Disk.Full = true
		}
	}
}

// mayWipe reports whether a node may lose its disk: at most one voter at a time may have none.
func (c *ConsensusCluster) mayWipe(k int) bool {
	if c.Nodes[k].Up || k == 0 {
		return false
	}
	for other, node := range c.ConsensusNodes[:len(c.InitialVoters)] {
		if other != k && node.Disk.Snapshot == nil {
			return false
		}
	}
	return true
}
