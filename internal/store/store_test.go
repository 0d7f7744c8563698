package store

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"liftshift/internal/vfs"
)

var smallOptions = Options{SegmentBytes: 700, FlushDelay: time.Hour}

// TestStore_DurableBatchesSurviveACrashAtAnyCall crashes the machine at every call in turn, where what was not synced is lost wholly, in part,
// or not at all, and then again at every call of the recovery. What was reported as durable is there, and nothing that never was.
func TestStore_DurableBatchesSurviveACrashAtAnyCall(t *testing.T) {
	const steps = 30
	whole := vfs.NewMemory()
	s, _, _ := requireOpen(t, whole, smallOptions)
	workload(s, steps)
	require.NoError(t, s.Close())
	calls := whole.Ops()
	require.Greater(t, calls, 100)
	for at := 1; at <= calls; at++ {
		for _, loss := range []vfs.CrashLoss{vfs.LoseAll, vfs.LosePart, vfs.LoseNothing} {
			what := fmt.Sprintf("crash at call %d, loss %d", at, loss)
			disk := vfs.NewMemory()
			disk.CrashAt = at
			reported, tried := map[Key]string{}, map[Key]string{}
			if s, _, _, err := openContents(disk, smallOptions); err == nil {
				reported, tried = workload(s, steps)
				_ = s.Close()
			}
			after := disk.Crash(loss, uint64(at))
			again := after.Clone()
			s, _, contents := requireOpen(t, after, smallOptions)
			require.True(t, maps.Equal(contents, reported) || maps.Equal(contents, tried), what)
			recovery := after.Ops()
			require.NoError(t, s.Close())
			for second := 1; second <= recovery; second++ {
				disk := again.Clone()
				disk.CrashAt = second
				if s, _, _, err := openContents(disk, smallOptions); err == nil {
					_ = s.Close()
				}
				s, _, twice := requireOpen(t, disk.Crash(loss, uint64(second)), smallOptions)
				require.True(t, maps.Equal(contents, twice), "%s, and again at call %d", what, second)
				require.NoError(t, s.Close())
			}
		}
	}
}

// storedWorkload returns the files of a store after a workload, with what was reported as durable.
func storedWorkload(t *testing.T) (*vfs.MemoryFS, map[Key]string) {
	disk := vfs.NewMemory()
	s, _, _ := requireOpen(t, disk, smallOptions)
	reported, _ := workload(s, 30)
	require.NoError(t, s.Close())
	return disk, reported
}

// TestStore_DetectsEveryCutAndFlippedByte cuts every file at every byte, and flips each byte in turn. The store opens whole, or says that its
// tail is in doubt, or refuses until it was repaired, and then opens in doubt. It never loses anything in silence.
func TestStore_DetectsEveryCutAndFlippedByte(t *testing.T) {
	disk, reported := storedWorkload(t)
	names, _ := disk.List()
	try := func(name string, bytes []byte, what string) {
		damaged := disk.Clone()
		damaged.Set(name, bytes)
		s, recovery, contents, err := openContents(damaged, smallOptions)
		if err != nil {
			require.ErrorIs(t, err, ErrDamaged, what)
			done, err := Repair(damaged, smallOptions)
			require.NoError(t, err, what)
			require.True(t, done.Needed, what)
			s, recovery, contents = requireOpen(t, damaged, smallOptions)
			require.True(t, recovery.InDoubt, what)
		}
		require.NoError(t, s.Close())
		require.True(t, recovery.InDoubt || maps.Equal(contents, reported), what)
		if recovery.InDoubt { // and nothing is there that never was
			for k, v := range contents {
				require.True(t, reported[k] == v || strings.HasPrefix(v, "again") || reported[k] == "", what)
			}
		}
	}
	files := 0
	for _, name := range names {
		bytes := disk.Bytes(name)
		if !strings.HasSuffix(name, ".log") && !strings.HasSuffix(name, ".snap") {
			continue
		}
		files++
		for at := range bytes {
			try(name, bytes[:at], fmt.Sprintf("%s cut at %d", name, at))
			flipped := slices.Clone(bytes)
			flipped[at] ^= 0x41
			try(name, flipped, fmt.Sprintf("%s flipped at %d", name, at))
		}
	}
	assert.GreaterOrEqual(t, files, 2, "a snapshot and a log file")
}

// TestStore_FailedWritesNeverBecomeDurable: a failed sync, a full disk or a short write fails the batch, which no later sync makes durable, and
// the next batch goes to a new file.
func TestStore_FailedWritesNeverBecomeDurable(t *testing.T) {
	for _, call := range []string{"sync", "write", "allocate", "create", "rename", "syncdir"} {
		t.Run(call, func(t *testing.T) {
			disk := vfs.NewMemory()
			s, _, _ := requireOpen(t, disk, smallOptions)
			require.NoError(t, writeOne(s, 1, "before"))
			failing := true
			disk.Fail = func(op vfs.Op) error {
				if failing && op.Call == call {
					return syscall.ENOSPC
				}
				return nil
			}
			var failed []int
			for n := 2; n < 40; n++ { // enough to fill a file, so that a new one is needed
				if err := writeOne(s, n, fmt.Sprint(n)); err != nil {
					assert.ErrorIs(t, err, syscall.ENOSPC, call)
					failed = append(failed, n)
				}
			}
			assert.NotEmpty(t, failed, call)
			failing = false
			require.NoError(t, writeOne(s, 99, "after"), call)
			require.NoError(t, s.Close())
			s, _, contents := requireOpen(t, disk.Crash(vfs.LosePart, 3), smallOptions)
			assert.Equal(t, "after", contents[testKey(99)], call)
			assert.Equal(t, "before", contents[testKey(1)], call)
			for _, n := range failed {
				assert.NotContains(t, contents, testKey(n), call)
			}
			require.NoError(t, s.Close())
		})
	}
}

// TestStore_SnapshotFailsOnAnUnreadableRecord: a record that can't be read any more stops the snapshot. The old files stay, and nothing else
// suffers.
func TestStore_SnapshotFailsOnAnUnreadableRecord(t *testing.T) {
	disk := vfs.NewMemory()
	s, _, _ := requireOpen(t, disk, Options{SegmentBytes: 4096})
	require.NoError(t, writeOne(s, 1, "one"))
	require.NoError(t, writeOne(s, 2, "two"))
	f, err := disk.Open(fileName(1, logSuffix))
	require.NoError(t, err)
	_, err = f.WriteAt([]byte{0xff}, headerSize+recordHeaderSize) // the first byte of "one"
	require.NoError(t, err)
	_, err = s.Get(testKey(1))
	assert.ErrorIs(t, err, ErrDamaged)
	assert.Error(t, s.Snapshot())
	assert.EqualValues(t, 1, s.Stats().SnapshotsFailed)
	v, err := s.Get(testKey(2))
	assert.NoError(t, err)
	assert.Equal(t, "two", string(v))
	assert.NoError(t, writeOne(s, 3, "three"))
	assert.NotNil(t, disk.Bytes(fileName(1, logSuffix)))
	require.NoError(t, s.Close())
	_, _, _, err = openContents(disk, smallOptions)
	assert.ErrorIs(t, err, ErrDamaged, "what counts can't be read: not opened in silence")
}

// TestStore_RefusesFoldersInUseOrOfANewerVersion: a folder has one owner, and neither Open nor Repair touches a newer format.
func TestStore_RefusesFoldersInUseOrOfANewerVersion(t *testing.T) {
	path := t.TempDir()
	dir, err := vfs.OpenDir(filepath.Join(path, "new"), true)
	require.NoError(t, err)
	s, recovery, _ := requireOpen(t, dir, smallOptions)
	assert.True(t, recovery.Created)
	_, _, err = Open(dir, smallOptions, nil)
	assert.ErrorIs(t, err, ErrInUse)
	_, err = Repair(dir, smallOptions)
	assert.ErrorIs(t, err, ErrInUse)
	report, err := Survey(dir, nil)
	assert.NoError(t, err, "looking is allowed")
	assert.Empty(t, report.Damage)
	require.NoError(t, writeOne(s, 1, "one"))
	require.NoError(t, s.Close())
	assert.ErrorIs(t, writeOne(s, 1, "one"), ErrClosed)
	name := filepath.Join(path, "new", fileName(1, logSuffix))
	bytes, err := os.ReadFile(name)
	require.NoError(t, err)
	h := fileHeader{kind: kindLog, id: 1, length: smallOptions.SegmentBytes}.encode()
	h[8] = Version + 1
	copy(bytes, withChecksum(h))
	require.NoError(t, os.WriteFile(name, bytes, 0o600))
	_, _, err = Open(dir, smallOptions, nil)
	assert.ErrorIs(t, err, ErrNewer)
	_, err = Repair(dir, smallOptions)
	assert.ErrorIs(t, err, ErrNewer, "repair does not throw away what it can't read")
}

// TestStore_CommitsInGroupsWhileSnapshotsRun: writers by the dozen share syncs, snapshots run beside them, and a key has its last value.
func TestStore_CommitsInGroupsWhileSnapshotsRun(t *testing.T) {
	dir, err := vfs.OpenDir(t.TempDir(), true)
	require.NoError(t, err)
	s, _, _ := requireOpen(t, dir, Options{SegmentBytes: 16 << 10})
	var all sync.WaitGroup
	for w := range 32 {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := range 60 {
				assert.NoError(t, writeOne(s, w, fmt.Sprintf("%d of %d", n, w)))
			}
		}()
	}
	for range 5 {
		assert.NoError(t, s.Snapshot())
	}
	all.Wait()
	f := s.Stats()
	assert.Equal(t, 32, f.Live)
	assert.Less(t, f.Syncs, f.Batches)
	assert.GreaterOrEqual(t, f.Snapshots, uint64(5))
	require.NoError(t, s.Close())
	s, recovery, contents := requireOpen(t, dir, Options{})
	assert.False(t, recovery.InDoubt, recovery.Reason)
	for w := range 32 {
		assert.Equal(t, fmt.Sprintf("59 of %d", w), contents[testKey(w)])
	}
	require.NoError(t, s.Close())
}

// TestStore_BoundsItsQueueAndFlushesInTime: the queue takes no more than MaxWaiting, and a batch without a notifier is written within FlushDelay.
func TestStore_BoundsItsQueueAndFlushesInTime(t *testing.T) {
	disk := vfs.NewMemory()
	s, _, _ := requireOpen(t, disk, Options{MaxWaiting: 300, FlushDelay: 20 * time.Millisecond})
	b := &Batch{}
	b.Put(testKey(1), 0, []byte("x"))
	n := 0
	for ; s.Append(0, b, nil, 0) == nil; n++ {
		require.Less(t, n, 20)
	}
	assert.ErrorIs(t, s.Append(0, b, nil, 0), ErrFull)
	assert.Eventually(t, func() bool { return s.Stats().Batches == uint64(n) }, 5*time.Second, time.Millisecond)
	b.Reset()
	b.Put(testKey(1), 0, make([]byte, MaxValue+1))
	assert.ErrorIs(t, s.Append(0, b, nil, 0), ErrTooLong)
	require.NoError(t, s.Close())
}

// TestStore_ExpiredRecordsLeaveTheDisk: churn of records that expire leaves no more on disk than the bound says.
func TestStore_ExpiredRecordsLeaveTheDisk(t *testing.T) {
	disk := vfs.NewMemory()
	s, _, _ := requireOpen(t, disk, Options{SegmentBytes: 64 << 10, SnapshotRatio: 1.5})
	value := make([]byte, 200)
	for now := int64(0); now < 400_000; now += 100 {
		b := &Batch{}
		for n := range 10 {
			b.Put(testKey(int(now)+n), now+20_000, value)
		}
		require.NoError(t, s.Write(now, b))
	}
	require.NoError(t, s.Snapshot())
	f := s.Stats()
	assert.InDelta(t, 2000, f.Live, 30)
	assert.Greater(t, f.Snapshots, uint64(3))
	assert.Less(t, float64(f.DiskBytes), 1.1*float64(f.LiveBytes))
	require.NoError(t, s.Close())
}

// TestStore_MatchesAMap: any sequence of writes, deletions, snapshots, reopenings and crashes leaves what a plain map holds.
func TestStore_MatchesAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := vfs.NewMemory()
		s, _, _ := requireOpen(t, disk, smallOptions)
		plain := map[Key]string{}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				require.NoError(t, s.Snapshot())
			case 1, 2:
				if rapid.Bool().Draw(t, "crash") {
					disk = disk.Crash(vfs.LosePart, uint64(n))
				} else {
					require.NoError(t, s.Close())
				}
				old := s
				var contents map[Key]string
				s, _, contents = requireOpen(t, disk, smallOptions)
				require.Equal(t, plain, contents)
				_ = old.Close()
			case 3:
				k := testKey(rapid.IntRange(0, 9).Draw(t, "key"))
				b := &Batch{}
				b.Delete(k)
				require.NoError(t, s.Write(0, b))
				delete(plain, k)
			default:
				b := &Batch{}
				for range rapid.IntRange(1, 4).Draw(t, "batch") {
					k := rapid.IntRange(0, 9).Draw(t, "key")
					text := rapid.StringN(0, 40, 80).Draw(t, "value")
					b.Put(testKey(k), 0, []byte(text))
					plain[testKey(k)] = text
				}
				require.NoError(t, s.Write(0, b))
			}
			k := testKey(rapid.IntRange(0, 9).Draw(t, "ask"))
			v, err := s.Get(k)
			require.NoError(t, err)
			require.Equal(t, plain[k], string(v))
		}
		require.NoError(t, s.Close())
	})
}

// TestRepair_LeavesASoundStoreAlone: a store that opens is not changed, and another error is no damage.
func TestRepair_LeavesASoundStoreAlone(t *testing.T) {
	disk, reported := storedWorkload(t)
	done, err := Repair(disk, smallOptions)
	assert.NoError(t, err)
	assert.False(t, done.Needed)
	_, _, contents := requireOpen(t, disk, smallOptions)
	assert.Equal(t, reported, contents)
	other := vfs.NewMemory()
	other.Fail = func(op vfs.Op) error { return errors.New("no") }
	_, _, _, err = openContents(other, smallOptions)
	assert.ErrorContains(t, err, "no")
}
