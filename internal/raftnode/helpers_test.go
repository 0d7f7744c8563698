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

func entryAt(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Type: raftpb.EntryNormal.Enum(), Data: []byte("x")}
}

func state(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(vote), Commit: proto.Uint64(commit)}
}

func snapAt(index uint64) *raftpb.Snapshot {
	return &raftpb.Snapshot{Data: []byte("{}"), Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(1),
		ConfState: &raftpb.ConfState{Voters: []uint64{1}}}}
}

// write keeps something and waits until all before it lasts.
func write(t *testing.T, d *disk, e consensus.Effect) {
	t.Helper()
	d.keep(&e)
	var b store.Batch
	b.Put(key('x', 0), 0, []byte{'x'})
	require.NoError(t, d.store.Write(logTime, &b))
}

// addresses gives free ones on loopback.
func addresses(t *testing.T, n int) (list []string) {
	for range n {
		at, err := testservers.FreeAddress()
		require.NoError(t, err)
		list = append(list, at)
	}
	return list
}
