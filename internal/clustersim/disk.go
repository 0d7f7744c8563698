package clustersim

import (
	"go.etcd.io/raft/v3/raftpb"

	"liftshift/internal/consensus"
)

// Disk has what was written. A crash loses what was not yet reported as written.
type Disk struct {
	Directory string
	Entries   map[uint64]*raftpb.Entry // by index
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Full      bool // writes fail
}

// load returns what a group starts from.
func (d *Disk) load() consensus.PersistedState {
	state := consensus.PersistedState{State: d.HardState, Snapshot: d.Snapshot}
	if d.Snapshot == nil {
		return state
	}
	for i := d.Snapshot.GetMetadata().GetIndex() + 1; d.Entries[i] != nil; i++ {
		state.Entries = append(state.Entries, d.Entries[i])
	}
	return state
}

// write writes what an effect persists.
func (d *Disk) write(e *consensus.Effect) {
	if e.Snapshot != nil {
		d.Snapshot = e.Snapshot
	}
	if e.State != nil {
		d.HardState = e.State
	}
	if len(e.Entries) > 0 {
		d.truncateAfter(e.Entries[0].GetIndex())
	}
	for _, entry := range e.Entries {
		d.Entries[entry.GetIndex()] = entry
	}
}

func (d *Disk) truncateAfter(index uint64) {
	for i := range d.Entries {
		if i > index {
			delete(d.Entries, i)
		}
	}
}

// persist writes for one run of a node and reports it to the group; what a crash overtakes is lost.
func (c *ConsensusCluster) persist(k, run int, e consensus.Effect) {
	stored := consensus.Event{Kind: consensus.Stored, Token: e.Token, Failed: c.ConsensusNodes[k].Disk.Full}
	c.Schedule(c.Now+0.2+5*c.random.Float64(), func() {
		if !c.Nodes[k].Up || c.Nodes[k].run != run {
			return
		}
		disk := &c.ConsensusNodes[k].Disk
		if !disk.Full {
			disk.write(&e)
		}
		c.deliverConsensus(k, run, stored)
	})
}
