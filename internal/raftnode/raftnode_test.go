package raftnode

import (
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"

	"liftshift/internal/clusternet"
	"liftshift/internal/consensus"
	"liftshift/internal/membership"
	"liftshift/internal/testlog"
	"liftshift/internal/vfs"
)

// Durable state is recovered after a crash, whether or not unsynced writes survive it. Overwritten entries are not
// recovered.
func TestStorage_RecoversAfterCrash(t *testing.T) {
	fs := vfs.NewMemory()
	original, err := openStorage(fs, &Node{}, testlog.Discard())
	require.NoError(t, err)
	id := original.folderID
	persistAndSync(t, original, consensus.Effect{Snapshot: snapshotAt(1), State: hardState(1, 7, 1)})
	persistAndSync(t, original, consensus.Effect{Entries: []*raftpb.Entry{entryAt(2, 1), entryAt(3, 1), entryAt(4, 1)}})
	persistAndSync(t, original, consensus.Effect{Entries: []*raftpb.Entry{entryAt(3, 2)}, State: hardState(2, 9, 2)})
	for seed, loss := range []vfs.CrashLoss{vfs.LoseAll, vfs.LoseNothing} {
		reopened, err := openStorage(fs.Clone().Crash(loss, uint64(seed)), &Node{}, testlog.Discard())
		require.NoError(t, err)
		assert.Equal(t, id, reopened.folderID)
		assert.Equal(t, uint64(9), reopened.persisted.State.GetVote())
		require.Len(t, reopened.persisted.Entries, 2, "entry 4 was overwritten by the one at index 3")
		assert.Equal(t, uint64(2), reopened.persisted.Entries[1].GetTerm())
		reopened.close()
	}
	persistAndSync(t, original, consensus.Effect{Snapshot: snapshotAt(3)})
	persistAndSync(t, original, consensus.Effect{Entries: []*raftpb.Entry{entryAt(4, 2)}})
	original.close()
	reopened, err := openStorage(fs, &Node{}, testlog.Discard())
	require.NoError(t, err)
	defer reopened.close()
	assert.Equal(t, uint64(3), reopened.persisted.Snapshot.GetMetadata().GetIndex())
	require.Len(t, reopened.persisted.Entries, 1)
	assert.Equal(t, uint64(4), reopened.persisted.Entries[0].GetIndex())
}

// A torn log may lack durable state: the folder gets another ID and loses all state, so that it cannot vote twice.
func TestStorage_TornLogBecomesAnotherVoter(t *testing.T) {
	fs := vfs.NewMemory()
	original, err := openStorage(fs, &Node{}, testlog.Discard())
	require.NoError(t, err)
	id := original.folderID
	persistAndSync(t, original, consensus.Effect{Snapshot: snapshotAt(1), State: hardState(1, 7, 1)})
	persistAndSync(t, original, consensus.Effect{Entries: []*raftpb.Entry{entryAt(2, 1)}})
	original.close()
	names, err := fs.List()
	require.NoError(t, err)
	for _, name := range names {
		if content := fs.Bytes(name); strings.HasSuffix(name, ".log") && len(content) > 64 {
			end := len(strings.TrimRight(string(content), "\x00"))
			fs.SetFile(name, append(content[:end-5], make([]byte, 64)...))
		}
	}
	reopened, err := openStorage(fs, &Node{}, testlog.Discard())
	require.NoError(t, err)
	defer reopened.close()
	assert.NotEqual(t, id, reopened.folderID)
	assert.Nil(t, reopened.persisted.Snapshot)
	assert.Empty(t, reopened.persisted.Entries)
}

// When the disk of one of three voters fills up, that voter stops, the other two continue, and its controller still
// gets leases.
func TestNode_FullDiskStopsOneVoter(t *testing.T) {
	var full atomic.Bool
	names := []string{"a", "b", "c"}
	nodes := map[string]*Node{}
	var failed atomic.Bool
	leader := ""
	findLeader := func() string {
		for _, name := range names {
			node := nodes[name]
			node.transport.Do(func(now float64, _ *membership.View) {
				if status := node.Status(now); status.Leader == name {
					leader = name
				}
			})
		}
		return leader
	}
	addresses := freeAddresses(t, 3)
	for i, name := range names {
		fs := vfs.NewMemory()
		if name == "b" {
			fs.Fail = func(op vfs.Op) error {
				if full.Load() {
					return syscall.ENOSPC
				}
				return nil
			}
		}
		transport := clusternet.New(addresses[i], testlog.Discard())
		self := membership.Member{Name: name, Incarnation: 1, Address: addresses[i]}
		view := membership.New(transport.Now(), "f", self, addresses, membership.DefaultSettings(), uint32(i))
		node, err := New(transport, view, fs, names, consensus.DefaultSettings(), uint32(i), testlog.Discard())
		require.NoError(t, err)
		if name == "b" {
			node.OnEffect = func(_ float64, e consensus.Effect) {
				if e.Kind == consensus.VoterFailed {
					failed.Store(true)
				}
			}
		}
		require.NoError(t, transport.Start(view, node))
		nodes[name] = node
		t.Cleanup(transport.Stop)
	}
	holdsLease := func(name string) func() bool { return func() bool { return nodes[name].LeaseHeld() } }
	for _, name := range names {
		require.Eventually(t, holdsLease(name), 20*time.Second, 20*time.Millisecond, "member %s has no lease", name)
	}
	full.Store(true)
	leaderNode := nodes[findLeader()]
	require.True(t, leaderNode.transport.Do(func(now float64, _ *membership.View) {
		// The release of a lease adds an entry to the log, which each voter has to persist.
		leaderNode.step(now, consensus.Event{Kind: consensus.LeaseRequested, Name: "c", Incarnation: 1, Release: true})
	}))
	require.Eventually(t, failed.Load, 10*time.Second, 20*time.Millisecond, "voter b did not fail with its disk full")
	isLedByOther := func() bool {
		leader = ""
		return findLeader() != "" && leader != "b"
	}
	require.Eventually(t, isLedByOther, 20*time.Second, 50*time.Millisecond, "the other voters have no leader")
	time.Sleep(7 * time.Second) // longer than a lease
	assert.True(t, nodes["b"].LeaseHeld(), "the member of the failed voter gets its lease from the others")
}
