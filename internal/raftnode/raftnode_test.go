package raftnode

import (
	"io"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"

	"liftshift/internal/clusternet"
	"liftshift/internal/consensus"
	"liftshift/internal/membership"
	"liftshift/internal/vfs"
)

// Durable state is recovered after a crash, whatever became of unsynced writes; overridden entries are not.
func TestStorage_RecoversAfterCrash(t *testing.T) {
	fs := vfs.NewMemory()
	d, err := openStorage(fs, &Node{}, discardLog())
	require.NoError(t, err)
	id := d.id
	persistAndSync(t, d, consensus.Effect{Snapshot: snapshotAt(1), State: hardState(1, 7, 1)})
	persistAndSync(t, d, consensus.Effect{Entries: []*raftpb.Entry{entryAt(2, 1), entryAt(3, 1), entryAt(4, 1)}})
	persistAndSync(t, d, consensus.Effect{Entries: []*raftpb.Entry{entryAt(3, 2)}, State: hardState(2, 9, 2)})
	for seed, loss := range []vfs.CrashLoss{vfs.LoseAll, vfs.LoseNothing} {
		reopened, err := openStorage(fs.Clone().Crash(loss, uint64(seed)), &Node{}, discardLog())
		require.NoError(t, err)
		assert.Equal(t, id, reopened.id)
		assert.Equal(t, uint64(9), reopened.persisted.State.GetVote())
		require.Len(t, reopened.persisted.Entries, 2, "entry 4 was overridden")
		assert.Equal(t, uint64(2), reopened.persisted.Entries[1].GetTerm())
		reopened.close()
	}
	persistAndSync(t, d, consensus.Effect{Snapshot: snapshotAt(3)})
	persistAndSync(t, d, consensus.Effect{Entries: []*raftpb.Entry{entryAt(4, 2)}})
	d.close()
	reopened, err := openStorage(fs, &Node{}, discardLog())
	require.NoError(t, err)
	defer reopened.close()
	assert.Equal(t, uint64(3), reopened.persisted.Snapshot.GetMetadata().GetIndex())
	require.Len(t, reopened.persisted.Entries, 1)
	assert.Equal(t, uint64(4), reopened.persisted.Entries[0].GetIndex())
}

// A log whose end is torn may lack durable state: the folder becomes another voter, without any state.
func TestStorage_TornLogBecomesAnotherVoter(t *testing.T) {
	fs := vfs.NewMemory()
	d, err := openStorage(fs, &Node{}, discardLog())
	require.NoError(t, err)
	id := d.id
	persistAndSync(t, d, consensus.Effect{Snapshot: snapshotAt(1), State: hardState(1, 7, 1)})
	persistAndSync(t, d, consensus.Effect{Entries: []*raftpb.Entry{entryAt(2, 1)}})
	d.close()
	names, err := fs.List()
	require.NoError(t, err)
	for _, name := range names {
		if b := fs.Bytes(name); strings.HasSuffix(name, ".log") && len(b) > 64 {
			end := len(strings.TrimRight(string(b), "\x00"))
			fs.Set(name, append(b[:end-5], make([]byte, 64)...))
		}
	}
	reopened, err := openStorage(fs, &Node{}, discardLog())
	require.NoError(t, err)
	defer reopened.close()
	assert.NotEqual(t, id, reopened.id)
	assert.Nil(t, reopened.persisted.Snapshot)
	assert.Empty(t, reopened.persisted.Entries)
}

// Three members form a group over real sockets. One's disk fills up: it stops voting, the others go on, and so does its process.
func TestNode_FullDiskStopsOneVoter(t *testing.T) {
	var full atomic.Bool
	names := []string{"a", "b", "c"}
	nodes := map[string]*Node{}
	var failed atomic.Bool
	leader := ""
	findLeader := func() string {
		for _, n := range names {
			s := nodes[n]
			s.transport.Do(func(now float64, _ *membership.View) {
				if st := s.Status(now); st.Leader == n {
					leader = n
				}
			})
		}
		return leader
	}
	at := freeAddresses(t, 3)
	for k, name := range names {
		fs := vfs.NewMemory()
		if name == "b" {
			fs.Fail = func(op vfs.Op) error {
				if full.Load() {
					return syscall.ENOSPC
				}
				return nil
			}
		}
		c := clusternet.New(at[k], discardLog())
		v := membership.New(c.Now(), "f", membership.Member{Name: name, Incarnation: 1, Address: at[k]}, at, membership.DefaultSettings(), uint32(k))
		s, err := New(c, v, fs, names, consensus.DefaultSettings(), uint32(k), discardLog())
		require.NoError(t, err)
		if name == "b" {
			s.OnEffect = func(_ float64, e consensus.Effect) {
				if e.Kind == consensus.VoterFailed {
					failed.Store(true)
				}
			}
		}
		require.NoError(t, c.Start(v, s))
		nodes[name] = s
		t.Cleanup(c.Stop)
	}
	holdsLease := func(n string) func() bool { return func() bool { return nodes[n].LeaseHeld() } }
	for _, n := range names {
		require.Eventually(t, holdsLease(n), 20*time.Second, 20*time.Millisecond, n)
	}
	full.Store(true)
	s := nodes[findLeader()] // an entry that all have to persist
	require.True(t, s.transport.Do(func(now float64, _ *membership.View) {
		s.step(now, consensus.Event{Kind: consensus.LeaseRequested, Name: "c", Incarnation: 1, Release: true})
	}))
	require.Eventually(t, failed.Load, 10*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { leader = ""; return findLeader() != "" && leader != "b" }, 20*time.Second, 50*time.Millisecond, "the others go on")
	time.Sleep(7 * time.Second)
	assert.True(t, nodes["b"].LeaseHeld(), "it requests its lease from the others")
}

func discardLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
