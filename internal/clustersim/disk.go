package clustersim

import (
	"go.etcd.io/raft/v3/raftpb"

	"liftshift/internal/consensus"
)

// Disk simulates the durable storage of a node's consensus group. A crash loses writes that were not yet reported as
// done.
type Disk struct {
	Directory string                   // identifies the disk; a wiped disk gets a new one
	Entries   map[uint64]*raftpb.Entry // by index
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Full      bool // all writes fail
}

// load returns the persisted state from which a group restarts.
func (d *Disk) load() consensus.PersistedState {
	state := consensus.PersistedState{State: d.HardState, Snapshot: d.Snapshot}
	if d.Snapshot == nil {
		return state
	}
	for index := d.Snapshot.GetMetadata().GetIndex() + 1; d.Entries[index] != nil; index++ {
		state.Entries = append(state.Entries, d.Entries[index])
	}
	return state
}

// write stores the snapshot, hard state and log entries of a Persist effect. New entries replace the existing
// ones from their first index on.
func (d *Disk) write(effect *consensus.Effect) {
	if effect.Snapshot != nil {
		d.Snapshot = effect.Snapshot
	}
	if effect.State != nil {
		d.HardState = effect.State
	}
	if len(effect.Entries) > 0 {
		d.truncateAfter(effect.Entries[0].GetIndex())
	}
	for _, entry := range effect.Entries {
		d.Entries[entry.GetIndex()] = entry
	}
}

// truncateAfter deletes all log entries with a higher index.
func (d *Disk) truncateAfter(index uint64) {
	for stored := range d.Entries {
		if stored > index {
			delete(d.Entries, stored)
		}
	}
}

// persist executes a Persist effect after a simulated write delay and reports the result to the group. The write is
// lost if the node crashes first.
func (c *ConsensusCluster) persist(nodeIndex, generation int, effect consensus.Effect) {
	stored := consensus.Event{Kind: consensus.Stored, Token: effect.Token, Failed: c.ConsensusNodes[nodeIndex].Disk.Full}
	c.Schedule(c.Now+0.2+5*c.random.Float64(), func() {
		if !c.Nodes[nodeIndex].Up || c.Nodes[nodeIndex].generation != generation {
			return
		}
		disk := &c.ConsensusNodes[nodeIndex].Disk
		if !disk.Full {
			disk.write(&effect)
		}
		c.deliverConsensus(nodeIndex, generation, stored)
	})
}
