package vfs

import (
	"errors"
	"io/fs"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writeFile makes a file with a text; the caller syncs.
func writeFile(t *testing.T, folder FS, name, text string) File {
	t.Helper()
	f, err := folder.Create(name)
	require.NoError(t, err)
	_, err = f.WriteAt([]byte(text), 0)
	require.NoError(t, err)
	return f
}

func TestMemoryFS_CrashForgetsWhatWasNotSynced(t *testing.T) {
	for _, c := range []struct {
		name      string
		sync      bool
		syncNames bool
		loss      CrashLoss
		want      string
		there     bool
	}{
		{"nothing synced", false, false, LoseAll, "", false},
		{"only the content synced", true, false, LoseAll, "", false},
		{"only the name synced", false, true, LoseAll, "", true},
		{"both synced", true, true, LoseAll, "text", true},
		{"only the process killed", false, false, LoseNothing, "text", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := NewMemory()
			f := writeFile(t, m, "a", "text")
			if c.sync {
				require.NoError(t, f.Sync())
			}
			if c.syncNames {
				require.NoError(t, m.SyncDir())
			}
			after := m.Crash(c.loss, 1)
			names, err := after.List()
			require.NoError(t, err)
			assert.Equal(t, c.there, len(names) == 1)
			assert.Equal(t, c.want, string(after.Bytes("a")))
			_, err = m.List()
			assert.ErrorIs(t, err, ErrCrashed)
		})
	}
}

func TestMemoryFS_FailedSyncIsNeverMadeUpFor(t *testing.T) {
	m, broken := NewMemory(), errors.New("broken")
	f := writeFile(t, m, "a", "text")
	require.NoError(t, m.SyncDir())
	m.Fail = func(op Op) error {
		if op.Call == "sync" {
			return broken
		}
		return nil
	}
	assert.ErrorIs(t, f.Sync(), broken)
	m.Fail = nil
	require.NoError(t, f.Sync())
	assert.Empty(t, m.Crash(LoseAll, 1).Bytes("a"))
}

func TestMemoryFS_RenameIsDurableWholeOrNotAtAll(t *testing.T) {
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

func TestDir_BehavesAsAFolder(t *testing.T) {
	dir, err := OpenDir(t.TempDir(), true)
	require.NoError(t, err)
	f := writeFile(t, dir, "a", "text")
	require.NoError(t, f.Allocate(4096))
	require.NoError(t, f.Sync())
	size, err := f.Size()
	require.NoError(t, err)
	assert.EqualValues(t, 4096, size)
	require.NoError(t, f.Close())
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
