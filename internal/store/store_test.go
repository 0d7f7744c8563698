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

var small = Options{SegmentBytes: 700, FlushDelay: time.Hour}

// The machine goes down at every call in turn, and what was not synced is lost wholly, in part, or not at all; then it
// goes down again at every call of the recovery. What was told as lasting is there, and nothing that never was.
func TestWhatWasToldAsLastingOutlivesACrashAtAnyCall(t *testing.T) {
	const steps = 30
	whole := vfs.NewMemory()
	s, _, _ := opened(t, whole, small)
	workload(s, steps)
	require.NoError(t, s.Close())
	calls := whole.Ops()
	require.Greater(t, calls, 100)
	for at := 1; at <= calls; at++ {
		for _, loss := range []vfs.CrashLoss{vfs.LoseAll, vfs.LosePart, vfs.LoseNothing} {
			what := fmt.Sprintf("crash at call %d, loss %d", at, loss)
			disk := vfs.NewMemory()
			disk.CrashAt = at
			told, tried := map[Key]string{}, map[Key]string{}
			if s, _, _, err := content(disk, small); err == nil {
				told, tried = workload(s, steps)
				_ = s.Close()
			}
			after := disk.Crash(loss, uint64(at))
			again := after.Clone()
			s, _, held := opened(t, after, small)
			require.True(t, maps.Equal(held, told) || maps.Equal(held, tried), what)
			recovery := after.Ops()
			require.NoError(t, s.Close())
			for second := 1; second <= recovery; second++ {
				disk := again.Clone()
				disk.CrashAt = second
				if s, _, _, err := content(disk, small); err == nil {
					_ = s.Close()
				}
				s, _, twice := opened(t, disk.Crash(loss, uint64(second)), small)
				require.True(t, maps.Equal(held, twice), "%s, and again at call %d", what, second)
				require.NoError(t, s.Close())
			}
		}
	}
}

// lives is a store's files after a workload, with what was told of them.
func lives(t *testing.T) (*vfs.MemoryFS, map[Key]string) {
	disk := vfs.NewMemory()
	s, _, _ := opened(t, disk, small)
	told, _ := workload(s, 30)
	require.NoError(t, s.Close())
	return disk, told
}

// Every file is cut at every byte, and each byte is flipped in turn. The store opens whole, or says that its end is in
// doubt, or refuses until it was repaired; then it opens in doubt. It never loses anything in silence.
func TestNoCutAndNoFlippedByteIsSilent(t *testing.T) {
	disk, told := lives(t)
	names, _ := disk.List()
	try := func(name string, bytes []byte, what string) {
		hurt := disk.Clone()
		hurt.Set(name, bytes)
		s, found, held, err := content(hurt, small)
		if err != nil {
			require.ErrorIs(t, err, ErrDamaged, what)
			done, err := Repair(hurt, small)
			require.NoError(t, err, what)
			require.True(t, done.Needed, what)
			s, found, held = opened(t, hurt, small)
			require.True(t, found.InDoubt, what)
		}
		require.NoError(t, s.Close())
		require.True(t, found.InDoubt || maps.Equal(held, told), what)
		if found.InDoubt { // and what is there is nothing made up
			for k, v := range held {
				require.True(t, told[k] == v || strings.HasPrefix(v, "again") || told[k] == "", what)
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

// A failed sync, a full disk or a short write fails the batch, is never taken to have come through by a later sync, and
// the next batch goes to a new file.
func TestAFailedWriteIsNeverTakenForLasting(t *testing.T) {
	for _, call := range []string{"sync", "write", "allocate", "create", "rename", "syncdir"} {
		disk := vfs.NewMemory()
		s, _, _ := opened(t, disk, small)
		require.NoError(t, write(s, 1, "before"))
		failing := true
		disk.Fail = func(op vfs.Op) error {
			if failing && op.What == call {
				return syscall.ENOSPC
			}
			return nil
		}
		var failed []int
		for n := 2; n < 40; n++ { // enough to fill a file, so that a new one is needed
			if err := write(s, n, fmt.Sprint(n)); err != nil {
				assert.ErrorIs(t, err, syscall.ENOSPC, call)
				failed = append(failed, n)
			}
		}
		assert.NotEmpty(t, failed, call)
		failing = false
		require.NoError(t, write(s, 99, "after"), call)
		require.NoError(t, s.Close())
		s, _, held := opened(t, disk.Crash(vfs.LosePart, 3), small)
		assert.Equal(t, "after", held[key(99)], call)
		assert.Equal(t, "before", held[key(1)], call)
		for _, n := range failed {
			assert.NotContains(t, held, key(n), call)
		}
		require.NoError(t, s.Close())
	}
}

// A record that can't be read any more stops the snapshot: the old files stay, and nothing else suffers.
func TestASnapshotGivesNothingUpForARecordThatItCannotRead(t *testing.T) {
	disk := vfs.NewMemory()
	s, _, _ := opened(t, disk, Options{SegmentBytes: 4096})
	require.NoError(t, write(s, 1, "one"))
	require.NoError(t, write(s, 2, "two"))
	f, err := disk.Open(fileName(1, logEnding))
	require.NoError(t, err)
	_, err = f.WriteAt([]byte{0xff}, headSize+recordHead) // the first byte of "one"
	require.NoError(t, err)
	_, err = s.Get(key(1))
	assert.ErrorIs(t, err, ErrDamaged)
	assert.Error(t, s.Snapshot())
	assert.EqualValues(t, 1, s.Stats().SnapshotsFailed)
	v, err := s.Get(key(2))
	assert.NoError(t, err)
	assert.Equal(t, "two", string(v))
	assert.NoError(t, write(s, 3, "three"))
	assert.NotNil(t, disk.Bytes(fileName(1, logEnding)))
	require.NoError(t, s.Close())
	_, _, _, err = content(disk, small)
	assert.ErrorIs(t, err, ErrDamaged, "what counts can't be read: not opened in silence")
}

func TestAFolderHasOneOwnerAndAnOlderProgramKeepsOff(t *testing.T) {
	path := t.TempDir()
	dir, err := vfs.OpenDir(filepath.Join(path, "new"), true)
	require.NoError(t, err)
	s, found, _ := opened(t, dir, small)
	assert.True(t, found.Began)
	_, _, err = Open(dir, small, nil)
	assert.ErrorIs(t, err, ErrInUse)
	_, err = Repair(dir, small)
	assert.ErrorIs(t, err, ErrInUse)
	report, err := Survey(dir, nil)
	assert.NoError(t, err, "looking is allowed")
	assert.Empty(t, report.Damage)
	require.NoError(t, write(s, 1, "one"))
	require.NoError(t, s.Close())
	assert.ErrorIs(t, write(s, 1, "one"), ErrClosed)
	name := filepath.Join(path, "new", fileName(1, logEnding))
	bytes, err := os.ReadFile(name)
	require.NoError(t, err)
	h := head{kind: logFile, id: 1, length: small.SegmentBytes}.bytes()
	h[8] = Version + 1
	copy(bytes, resealed(h))
	require.NoError(t, os.WriteFile(name, bytes, 0o600))
	_, _, err = Open(dir, small, nil)
	assert.ErrorIs(t, err, ErrNewer)
	_, err = Repair(dir, small)
	assert.ErrorIs(t, err, ErrNewer, "repair does not throw away what it can't read")
}

// Writers by the dozen share syncs, snapshots run beside them, and a key has the value that was written last.
func TestWritersShareSyncsWhileSnapshotsRun(t *testing.T) {
	dir, err := vfs.OpenDir(t.TempDir(), true)
	require.NoError(t, err)
	s, _, _ := opened(t, dir, Options{SegmentBytes: 16 << 10})
	var all sync.WaitGroup
	for w := range 32 {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := range 60 {
				assert.NoError(t, write(s, w, fmt.Sprintf("%d of %d", n, w)))
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
	s, found, held := opened(t, dir, Options{})
	assert.False(t, found.InDoubt, found.Reason)
	for w := range 32 {
		assert.Equal(t, fmt.Sprintf("59 of %d", w), held[key(w)])
	}
	require.NoError(t, s.Close())
}

func TestWhatWaitsIsBoundedAndWhatNobodyWaitsForIsWrittenInTime(t *testing.T) {
	disk := vfs.NewMemory()
	s, _, _ := opened(t, disk, Options{MaxWaiting: 300, FlushDelay: 20 * time.Millisecond})
	b := &Batch{}
	b.Put(key(1), 0, []byte("x"))
	n := 0
	for ; s.Append(0, b, nil, 0) == nil; n++ {
		require.Less(t, n, 20)
	}
	assert.ErrorIs(t, s.Append(0, b, nil, 0), ErrFull)
	assert.Eventually(t, func() bool { return s.Stats().Batches == uint64(n) }, 5*time.Second, time.Millisecond)
	b.Reset()
	b.Put(key(1), 0, make([]byte, MaxValue+1))
	assert.ErrorIs(t, s.Append(0, b, nil, 0), ErrTooLong)
	require.NoError(t, s.Close())
}

// Churn of records that go by themselves leaves no more on disk than the bound says, and nothing of what has gone.
func TestWhatHasLapsedLeavesTheDisk(t *testing.T) {
	disk := vfs.NewMemory()
	s, _, _ := opened(t, disk, Options{SegmentBytes: 64 << 10, SnapshotRatio: 1.5})
	value := make([]byte, 200)
	for now := int64(0); now < 400_000; now += 100 {
		b := &Batch{}
		for n := range 10 {
			b.Put(key(int(now)+n), now+20_000, value)
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

// Any sequence of writes, ends, snapshots, reopenings and crashes leaves what a plain map holds.
func TestAStoreHoldsWhatAMapHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := vfs.NewMemory()
		s, _, _ := opened(t, disk, small)
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
				var held map[Key]string
				s, _, held = opened(t, disk, small)
				require.Equal(t, plain, held)
				_ = old.Close()
			case 3:
				k := key(rapid.IntRange(0, 9).Draw(t, "key"))
				b := &Batch{}
				b.Delete(k)
				require.NoError(t, s.Write(0, b))
				delete(plain, k)
			default:
				b := &Batch{}
				for range rapid.IntRange(1, 4).Draw(t, "batch") {
					k := rapid.IntRange(0, 9).Draw(t, "key")
					text := rapid.StringN(0, 40, 80).Draw(t, "value")
					b.Put(key(k), 0, []byte(text))
					plain[key(k)] = text
				}
				require.NoError(t, s.Write(0, b))
			}
			k := key(rapid.IntRange(0, 9).Draw(t, "ask"))
			v, err := s.Get(k)
			require.NoError(t, err)
			require.Equal(t, plain[k], string(v))
		}
		require.NoError(t, s.Close())
	})
}

func TestARepairLeavesASoundStoreAlone(t *testing.T) {
	disk, told := lives(t)
	done, err := Repair(disk, small)
	assert.NoError(t, err)
	assert.False(t, done.Needed)
	_, _, held := opened(t, disk, small)
	assert.Equal(t, told, held)
	other := vfs.NewMemory()
	other.Fail = func(op vfs.Op) error { return errors.New("no") }
	_, _, _, err = content(other, small)
	assert.ErrorContains(t, err, "no")
}
