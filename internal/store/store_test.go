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

// TestStore_DurableBatchesSurviveACrashAtAnyCall crashes the machine at every file system call, with all, part or none
// of the unsynced data lost, and again at every call of the recovery. No durable batch may be lost and no batch may
// appear in part.
func TestStore_DurableBatchesSurviveACrashAtAnyCall(t *testing.T) {
	const steps = 30
	uncrashed := vfs.NewMemory()
	s, _, _ := requireOpen(t, uncrashed, smallOptions)
	runWorkload(s, steps)
	require.NoError(t, s.Close())
	calls := uncrashed.Ops()
	require.Greater(t, calls, 100)
	for crashCall := 1; crashCall <= calls; crashCall++ {
		for _, loss := range []vfs.CrashLoss{vfs.LoseAll, vfs.LosePart, vfs.LoseNothing} {
			description := fmt.Sprintf("crash at call %d, loss %d", crashCall, loss)
			disk := vfs.NewMemory()
			disk.CrashAt = crashCall
			durable, attempted := map[Key]string{}, map[Key]string{}
			if s, _, _, err := openContents(disk, smallOptions); err == nil {
				durable, attempted = runWorkload(s, steps)
				_ = s.Close()
			}
			crashed := disk.Crash(loss, uint64(crashCall))
			crashedCopy := crashed.Clone()
			s, _, contents := requireOpen(t, crashed, smallOptions)
			require.True(t, maps.Equal(contents, durable) || maps.Equal(contents, attempted), description)
			recoveryCalls := crashed.Ops()
			require.NoError(t, s.Close())
			for secondCall := 1; secondCall <= recoveryCalls; secondCall++ {
				disk := crashedCopy.Clone()
				disk.CrashAt = secondCall
				if s, _, _, err := openContents(disk, smallOptions); err == nil {
					_ = s.Close()
				}
				s, _, recoveredTwice := requireOpen(t, disk.Crash(loss, uint64(secondCall)), smallOptions)
				require.True(t, maps.Equal(contents, recoveredTwice), "%s, then crash of the recovery at call %d",
					description, secondCall)
				require.NoError(t, s.Close())
			}
		}
	}
}

// storedWorkload returns the files of a closed store after a workload, and its contents.
func storedWorkload(t *testing.T) (*vfs.MemoryFS, map[Key]string) {
	disk := vfs.NewMemory()
	s, _, _ := requireOpen(t, disk, smallOptions)
	durable, _ := runWorkload(s, 30)
	require.NoError(t, s.Close())
	return disk, durable
}

// TestStore_DetectsEveryCutAndFlippedByte truncates every file at every byte and flips every byte. The store must open
// with all records, open in doubt, or refuse to open until Repair was called and then open in doubt.
func TestStore_DetectsEveryCutAndFlippedByte(t *testing.T) {
	disk, durable := storedWorkload(t)
	names, _ := disk.List()
	requireDetected := func(name string, bytes []byte, description string) {
		damaged := disk.Clone()
		damaged.SetFile(name, bytes)
		s, recovery, contents, err := openContents(damaged, smallOptions)
		if err != nil {
			require.ErrorIs(t, err, ErrDamaged, description)
			result, err := Repair(damaged, smallOptions)
			require.NoError(t, err, description)
			require.True(t, result.Needed, description)
			s, recovery, contents = requireOpen(t, damaged, smallOptions)
			require.True(t, recovery.InDoubt, description)
		}
		require.NoError(t, s.Close())
		require.True(t, recovery.InDoubt || maps.Equal(contents, durable), description)
		if recovery.InDoubt { // each record has its last value or an earlier one, or was deleted later
			for k, v := range contents {
				require.True(t, durable[k] == v || strings.HasPrefix(v, "again") || durable[k] == "", description)
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
		for offset := range bytes {
			requireDetected(name, bytes[:offset], fmt.Sprintf("%s truncated at %d", name, offset))
			flipped := slices.Clone(bytes)
			flipped[offset] ^= 0x41
			requireDetected(name, flipped, fmt.Sprintf("%s with byte %d flipped", name, offset))
		}
	}
	assert.GreaterOrEqual(t, files, 2, "the workload must leave a snapshot and a log file")
}

// TestStore_FailedWritesNeverBecomeDurable guards against batches that were reported as failed and are durable after
// all, and against a store that does not recover once the disk does.
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
			for n := 2; n < 40; n++ { // enough to fill a log file, so that a new one is created
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

// TestStore_SnapshotFailsOnAnUnreadableRecord guards against a snapshot that drops a damaged record and then removes
// the old files. The other records stay usable.
func TestStore_SnapshotFailsOnAnUnreadableRecord(t *testing.T) {
	disk := vfs.NewMemory()
	s, _, _ := requireOpen(t, disk, Options{SegmentBytes: 4096})
	require.NoError(t, writeOne(s, 1, "one"))
	require.NoError(t, writeOne(s, 2, "two"))
	file, err := disk.Open(fileName(1, logSuffix))
	require.NoError(t, err)
	_, err = file.WriteAt([]byte{0xff}, headerSize+recordHeaderSize) // the first byte of "one"
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
	assert.ErrorIs(t, err, ErrDamaged, "a store with a damaged record must not open")
}

// TestStore_SnapshotReportsThatNoLogFileCouldBeCreated guards against a snapshot that is reported as made although it was
// never begun.
func TestStore_SnapshotReportsThatNoLogFileCouldBeCreated(t *testing.T) {
	disk := vfs.NewMemory()
	s, _, _ := requireOpen(t, disk, smallOptions)
	require.NoError(t, writeOne(s, 1, "one"))
	disk.Fail = func(op vfs.Op) error {
		if op.Call == "create" {
			return syscall.ENOSPC
		}
		return nil
	}
	for n := range 50_000 {
		require.Error(t, s.Snapshot(), "request %d", n)
	}
	require.NoError(t, s.Close())
}

// TestStore_RefusesFoldersInUseOrOfANewerVersion checks that a directory has one owner, that Survey works beside it,
// and that neither Open nor Repair accepts a newer format.
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
	assert.NoError(t, err, "Survey needs no lock")
	assert.Empty(t, report.Damage)
	require.NoError(t, writeOne(s, 1, "one"))
	require.NoError(t, s.Close())
	assert.ErrorIs(t, writeOne(s, 1, "one"), ErrClosed)
	name := filepath.Join(path, "new", fileName(1, logSuffix))
	bytes, err := os.ReadFile(name)
	require.NoError(t, err)
	header := fileHeader{kind: kindLog, id: 1, length: smallOptions.SegmentBytes}.encode()
	header[8] = Version + 1
	copy(bytes, withChecksum(header))
	require.NoError(t, os.WriteFile(name, bytes, 0o600))
	_, _, err = Open(dir, smallOptions, nil)
	assert.ErrorIs(t, err, ErrNewer)
	_, err = Repair(dir, smallOptions)
	assert.ErrorIs(t, err, ErrNewer, "Repair must not discard a format that it does not know")
}

// TestStore_CommitsInGroupsWhileSnapshotsRun checks that concurrent writers share syncs and that snapshots beside them
// lose no write.
func TestStore_CommitsInGroupsWhileSnapshotsRun(t *testing.T) {
	dir, err := vfs.OpenDir(t.TempDir(), true)
	require.NoError(t, err)
	s, _, _ := requireOpen(t, dir, Options{SegmentBytes: 16 << 10})
	var writers sync.WaitGroup
	for writer := range 32 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for n := range 60 {
				assert.NoError(t, writeOne(s, writer, fmt.Sprintf("%d of %d", n, writer)))
			}
		}()
	}
	for range 5 {
		assert.NoError(t, s.Snapshot())
	}
	writers.Wait()
	stats := s.Stats()
	assert.Equal(t, 32, stats.LiveRecords)
	assert.Less(t, stats.Syncs, stats.Batches)
	assert.GreaterOrEqual(t, stats.Snapshots, uint64(5))
	require.NoError(t, s.Close())
	s, recovery, contents := requireOpen(t, dir, Options{})
	assert.False(t, recovery.InDoubt, recovery.Reason)
	for writer := range 32 {
		assert.Equal(t, fmt.Sprintf("59 of %d", writer), contents[testKey(writer)])
	}
	require.NoError(t, s.Close())
}

// TestStore_BoundsItsQueueAndFlushesInTime checks that the queue takes no more than MaxQueuedBytes, that a batch
// without a notifier is written without further calls, and that a value over MaxValue is refused.
func TestStore_BoundsItsQueueAndFlushesInTime(t *testing.T) {
	disk := vfs.NewMemory()
	s, _, _ := requireOpen(t, disk, Options{MaxQueuedBytes: 300, FlushDelay: 20 * time.Millisecond})
	b := &Batch{}
	b.Put(testKey(1), 0, []byte("x"))
	queued := 0
	for ; s.Append(0, b, nil, 0) == nil; queued++ {
		require.Less(t, queued, 20)
	}
	assert.ErrorIs(t, s.Append(0, b, nil, 0), ErrFull)
	assert.Eventually(t, func() bool { return s.Stats().Batches == uint64(queued) }, 5*time.Second, time.Millisecond)
	b.Reset()
	b.Put(testKey(1), 0, make([]byte, MaxValue+1))
	assert.ErrorIs(t, s.Append(0, b, nil, 0), ErrTooLong)
	require.NoError(t, s.Close())
}

// TestStore_ExpiredRecordsLeaveTheDisk checks that snapshots keep the files near the size of the live records while all
// records expire after a while.
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
	stats := s.Stats()
	assert.InDelta(t, 2000, stats.LiveRecords, 30)
	assert.Greater(t, stats.Snapshots, uint64(3))
	assert.Less(t, float64(stats.DiskBytes), 1.1*float64(stats.LiveBytes))
	require.NoError(t, s.Close())
}

// TestStore_MatchesAMap compares the store with a map under random writes, deletions, snapshots, reopenings and
// crashes.
func TestStore_MatchesAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := vfs.NewMemory()
		s, _, _ := requireOpen(t, disk, smallOptions)
		model := map[Key]string{}
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
				previous := s
				var contents map[Key]string
				s, _, contents = requireOpen(t, disk, smallOptions)
				require.Equal(t, model, contents)
				_ = previous.Close()
			case 3:
				k := testKey(rapid.IntRange(0, 9).Draw(t, "key"))
				b := &Batch{}
				b.Delete(k)
				require.NoError(t, s.Write(0, b))
				delete(model, k)
			default:
				b := &Batch{}
				for range rapid.IntRange(1, 4).Draw(t, "batch") {
					k := rapid.IntRange(0, 9).Draw(t, "key")
					text := rapid.StringN(0, 40, 80).Draw(t, "value")
					b.Put(testKey(k), 0, []byte(text))
					model[testKey(k)] = text
				}
				require.NoError(t, s.Write(0, b))
			}
			k := testKey(rapid.IntRange(0, 9).Draw(t, "ask"))
			v, err := s.Get(k)
			require.NoError(t, err)
			require.Equal(t, model[k], string(v))
		}
		require.NoError(t, s.Close())
	})
}

// TestRepair_NeverNamesASnapshotWhoseSyncFailed guards against a snapshot in the store whose content a crash may lose.
func TestRepair_NeverNamesASnapshotWhoseSyncFailed(t *testing.T) {
	disk, _ := storedWorkload(t)
	names, err := disk.List()
	require.NoError(t, err)
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) {
			damaged := disk.Bytes(name)
			damaged[headerSize+recordHeaderSize] ^= 0x41
			disk.SetFile(name, damaged)
			break
		}
	}
	disk.Fail = func(op vfs.Op) error {
		if op.Call == "sync" && strings.HasSuffix(op.Name, snapshotSuffix+temporarySuffix) {
			return syscall.EIO
		}
		return nil
	}
	_, err = Repair(disk, smallOptions)
	require.ErrorIs(t, err, syscall.EIO)
	after, err := disk.List()
	require.NoError(t, err)
	for _, name := range after {
		if strings.HasSuffix(name, snapshotSuffix) {
			assert.Contains(t, names, name, "the snapshot that was not synced has its final name")
		}
	}
	disk.Fail = nil
	result, err := Repair(disk, smallOptions)
	require.NoError(t, err)
	assert.True(t, result.Needed)
}

// TestRepair_LeavesAnUndamagedStoreUnchanged also checks that Open returns an error of the file system that is not
// transient.
func TestRepair_LeavesAnUndamagedStoreUnchanged(t *testing.T) {
	disk, durable := storedWorkload(t)
	result, err := Repair(disk, smallOptions)
	assert.NoError(t, err)
	assert.False(t, result.Needed)
	_, _, contents := requireOpen(t, disk, smallOptions)
	assert.Equal(t, durable, contents)
	failing := vfs.NewMemory()
	failing.Fail = func(op vfs.Op) error { return errors.New("no") }
	_, _, _, err = openContents(failing, smallOptions)
	assert.ErrorContains(t, err, "no")
}
