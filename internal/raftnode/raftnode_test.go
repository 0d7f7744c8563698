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

// What a voter keeps is there again after a crash, whatever became of what was not synced; entries that lost against others are not.
func TestAVotersDisk(t *testing.T) {
	fs := vfs.NewMemory()
	d, err := openDisk(fs, &Node{}, silent())
	require.NoError(t, err)
	id := d.id
	write(t, d, consensus.Effect{Snapshot: snapAt(1), State: state(1, 7, 1)})
	write(t, d, consensus.Effect{Entries: []*raftpb.Entry{entryAt(2, 1), entryAt(3, 1), entryAt(4, 1)}})
	write(t, d, consensus.Effect{Entries: []*raftpb.Entry{entryAt(3, 2)}, State: state(2, 9, 2)})
	for seed, loss := range []vfs.CrashLoss{vfs.LoseAll, vfs.LoseNothing} {
		again, err := openDisk(fs.Clone().Crash(loss, uint64(seed)), &Node{}, silent())
		require.NoError(t, err)
		assert.Equal(t, id, again.id)
		assert.Equal(t, uint64(9), again.kept.State.GetVote())
		require.Len(t, again.kept.Entries, 2, "the one at 4 lost")
		assert.Equal(t, uint64(2), again.kept.Entries[1].GetTerm())
		again.close()
	}
	write(t, d, consensus.Effect{Snapshot: snapAt(3)})
	write(t, d, consensus.Effect{Entries: []*raftpb.Entry{entryAt(4, 2)}})
	d.close()
	again, err := openDisk(fs, &Node{}, silent())
	require.NoError(t, err)
	defer again.close()
	assert.Equal(t, uint64(3), again.kept.Snapshot.GetMetadata().GetIndex())
	require.Len(t, again.kept.Entries, 1)
	assert.Equal(t, uint64(4), again.kept.Entries[0].GetIndex())
}

// A log whose end is torn may lack what was promised: the folder comes as another voter, with nothing of what it held.
func TestATornLogIsAnotherVoter(t *testing.T) {
	fs := vfs.NewMemory()
	d, err := openDisk(fs, &Node{}, silent())
	require.NoError(t, err)
	id := d.id
	write(t, d, consensus.Effect{Snapshot: snapAt(1), State: state(1, 7, 1)})
	write(t, d, consensus.Effect{Entries: []*raftpb.Entry{entryAt(2, 1)}})
	d.close()
	names, err := fs.List()
	require.NoError(t, err)
	for _, name := range names {
		if b := fs.Bytes(name); strings.HasSuffix(name, ".log") && len(b) > 64 {
			end := len(strings.TrimRight(string(b), "\x00"))
			fs.Set(name, append(b[:end-5], make([]byte, 64)...))
		}
	}
	again, err := openDisk(fs, &Node{}, silent())
	require.NoError(t, err)
	defer again.close()
	assert.NotEqual(t, id, again.id)
	assert.Nil(t, again.kept.Snapshot)
	assert.Empty(t, again.kept.Entries)
}

// Three members found a council over real sockets. One's disk fills: it falls silent, the others go on, and its process too.
func TestAFullDiskSilencesOneVoter(t *testing.T) {
	var full atomic.Bool
	names := []string{"a", "b", "c"}
	seats := map[string]*Node{}
	var broken atomic.Bool
	leader := ""
	lead := func() string {
		for _, n := range names {
			s := seats[n]
			s.carrier.Do(func(now float64, _ *membership.View) {
				if st := s.Status(now); st.Leader == n {
					leader = n
				}
			})
		}
		return leader
	}
	at := addresses(t, 3)
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
		c := clusternet.New(at[k], silent())
		v := membership.New(c.Now(), "f", membership.Member{Name: name, Incarnation: 1, Address: at[k]}, at, membership.DefaultSettings(), uint32(k))
		s, err := New(c, v, fs, names, consensus.DefaultSettings(), uint32(k), silent())
		require.NoError(t, err)
		if name == "b" {
			s.OnEffect = func(_ float64, e consensus.Effect) {
				if e.Kind == consensus.VoterFailed {
					broken.Store(true)
				}
			}
		}
		require.NoError(t, c.Start(v, s))
		seats[name] = s
		t.Cleanup(c.Stop)
	}
	held := func(n string) func() bool { return func() bool { return seats[n].LeaseHeld() } }
	for _, n := range names {
		require.Eventually(t, held(n), 20*time.Second, 20*time.Millisecond, n)
	}
	full.Store(true)
	s := seats[lead()] // something to be kept by all
	require.True(t, s.carrier.Do(func(now float64, _ *membership.View) {
		s.step(now, consensus.Event{Kind: consensus.LeaseRequested, Name: "c", Incarnation: 1, Release: true})
	}))
	require.Eventually(t, broken.Load, 10*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { leader = ""; return lead() != "" && leader != "b" }, 20*time.Second, 50*time.Millisecond, "the others go on")
	time.Sleep(7 * time.Second)
	assert.True(t, seats["b"].LeaseHeld(), "it asks the others for its lease")
}

func silent() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
