package raftnode

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"liftshift/internal/consensus"
	"liftshift/internal/store"
	"liftshift/internal/testservers"
)

// entryAt returns a log entry with an index and a term.
func entryAt(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Type: raftpb.EntryNormal.Enum(),
		Data: []byte("x")}
}

// hardState returns a Raft hard state.
func hardState(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(vote), Commit: proto.Uint64(commit)}
}

// snapshotAt returns an empty snapshot of term 1 at an index.
func snapshotAt(index uint64) *raftpb.Snapshot {
	return &raftpb.Snapshot{Data: []byte("{}"), Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(index),
		Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{1}}}}
}

// persistAndSync persists an effect and waits until it is durable, by a synchronous write after it.
func persistAndSync(t *testing.T, s *storage, e consensus.Effect) {
	t.Helper()
	s.persist(&e)
	var batch store.Batch
	batch.Put(recordKey('x', 0), 0, []byte{'x'})
	require.NoError(t, s.store.Write(recordTime, &batch))
}

// freeAddresses returns free addresses on the loopback interface.
func freeAddresses(t *testing.T, n int) (list []string) {
	for range n {
		address, err := testservers.FreeAddress()
		require.NoError(t, err)
		list = append(list, address)
	}
	return list
}
