package vfs

import (
	"errors"
	"io/fs"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writeFile creates a file with a text and does not sync it.
func writeFile(t *testing.T, dir FS, name, text string) File {
	t.Helper()
	file, err := dir.Create(name)
	require.NoError(t, err)
	_, err = file.WriteAt([]byte(text), 0)
	require.NoError(t, err)
	return file
}

// TestMemoryFS_CrashLosesUnsyncedChanges checks that a file survives with its content only if both the content and the
// name were synced.
func TestMemoryFS_CrashLosesUnsyncedChanges(t *testing.T) {
	for _, c := range []struct {
		name      string
		sync      bool
		syncNames bool
		loss      CrashLoss
		want      string
		exists    bool
	}{
		{"nothing synced", false, false, LoseAll, "", false},
		{"only the content synced", true, false, LoseAll, "", false},
		{"only the name synced", false, true, LoseAll, "", true},
		{"both synced", true, true, LoseAll, "text", true},
		{"only the process killed", false, false, LoseNothing, "text", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := NewMemory()
			file := writeFile(t, m, "a", "text")
			if c.sync {
				require.NoError(t, file.Sync())
			}
			if c.syncNames {
				require.NoError(t, m.SyncDir())
			}
			after := m.Crash(c.loss, 1)
			names, err := after.List()
			require.NoError(t, err)
			assert.Equal(t, c.exists, len(names) == 1)
			assert.Equal(t, c.want, string(after.Bytes("a")))
			_, err = m.List()
			assert.ErrorIs(t, err, ErrCrashed)
		})
	}
}

// TestMemoryFS_FailedSyncLosesItsData checks that data of a failed Sync stays lost after a later Sync that
// succeeds.
func TestMemoryFS_FailedSyncLosesItsData(t *testing.T) {
	m, errSync := NewMemory(), errors.New("sync failed")
	file := writeFile(t, m, "a", "text")
	require.NoError(t, m.SyncDir())
	m.Fail = func(op Op) error {
		if op.Call == "sync" {
			return errSync
		}
		return nil
	}
	assert.ErrorIs(t, file.Sync(), errSync)
	m.Fail = nil
	require.NoError(t, file.Sync())
	assert.Empty(t, m.Crash(LoseAll, 1).Bytes("a"))
}

// TestMemoryFS_RenameIsAtomic checks that a crash leaves a renamed file under exactly one of its names.
func TestMemoryFS_RenameIsAtomic(t *testing.T) {
	for seed := range uint64(50) {
		m := NewMemory()
		require.NoError(t, writeFile(t, m, "old", "text").Sync())
		require.NoError(t, m.SyncDir())
		require.NoError(t, m.Rename("old", "new"))
		names, err := m.Crash(LosePart, seed).List()
		require.NoError(t, err)
		assert.Len(t, names, 1, "seed %d", seed)
	}
}

// TestDir_ImplementsFS runs the calls of FS on a directory of the operating system.
func TestDir_ImplementsFS(t *testing.T) {
	dir, err := OpenDir(t.TempDir(), true)
	require.NoError(t, err)
	file := writeFile(t, dir, "a", "text")
	require.NoError(t, file.Allocate(4096))
	require.NoError(t, file.Sync())
	size, err := file.Size()
	require.NoError(t, err)
	assert.EqualValues(t, 4096, size)
	require.NoError(t, file.Close())
	_, err = dir.Create("a")
	assert.ErrorIs(t, err, fs.ErrExist)
	require.NoError(t, dir.Rename("a", "b"))
	require.NoError(t, dir.SyncDir())
	names, err := dir.List()
	require.NoError(t, err)
	assert.Equal(t, []string{"b"}, names)
	lock, err := dir.Lock("lock")
	require.NoError(t, err)
	_, err = dir.Lock("lock")
	assert.ErrorIs(t, err, ErrInUse)
	require.NoError(t, lock.Close())
	_, err = OpenDir(t.TempDir()+"/missing", false)
	assert.ErrorIs(t, err, fs.ErrNotExist)
}
