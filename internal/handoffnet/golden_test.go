package handoffnet

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/internal/goldenfile"
	"liftshift/internal/handoff"
	"liftshift/internal/store"
	"liftshift/internal/testlog"
	"liftshift/internal/vfs"
	"liftshift/scheduler"
)

// goldenNow is the fixed time, in ms, at which the copies are written.
const goldenNow = 50000.0

func goldenCopy(n int) handoff.Copy {
	return handoff.Copy{
		RequestData: handoff.RequestData{
			ID:             fmt.Sprint("id-", n),
			IdempotencyKey: fmt.Sprint("mark-", n),
			Class:          "mark",
			OrderKey:       "key",
			Team:           "model",
			Schema:         "s1",
			TableGroup:     12,
			MemoryMB:       1.5,
			WorkMS:         2.25,
			Body:           []byte("body"),
		},
		Owner:          handoff.Member{Name: "a", Incarnation: 3},
		Sequence:       17,
		Outcome:        handoff.Outcome(n % 7),
		RunState:       handoff.RunState(n % 3),
		FirstAttemptAt: 40000,
		Zone:           "here",
		Cell:           -5,
		Deadline:       52000,
		Answer:         []byte("answer"),
		Complete:       true,
		Idempotent:     n%2 == 0,
		Confirmed:      true,
	}
}

// goldenAgent returns an agent without a loop and a transport.
func goldenAgent() *Agent {
	log := testlog.Discard()
	settings := handoff.DefaultSettings()
	settings.Classes = []scheduler.RequestClass{
		{Name: "mark", Idempotency: scheduler.Keyed, DedupWindowMS: 20e3, DeadlineMS: 5e3},
	}
	return New(handoff.Member{Name: "b", Incarnation: 1}, settings, 1, nil, dispatch.NewClock(), nil, log)
}

// Guards the format of a replica's folder of copies: it is written as in the golden file, from which all copies are
// read back. The golden file lacks the zeros that pad a log file; its header has the length of the file.
func TestGolden_CopyFolder(t *testing.T) {
	disk, written := vfs.NewMemory(), make(chan any, 8)
	a := goldenAgent()
	require.NoError(t, a.PersistCopies(disk, func(message any) { written <- message }))
	var effects []handoff.Effect
	for n := range 7 {
		c := goldenCopy(n)
		effects = append(effects, handoff.Effect{
			Kind:    handoff.PersistCopy,
			Key:     handoff.KeyOf(c.IdempotencyKey, c.ID),
			Copy:    &c,
			Version: uint64(70000 + n),
		})
	}
	deletion := handoff.Effect{Kind: handoff.PersistCopy, Key: handoff.KeyOf("mark-6", "")}
	require.Equal(t, uint64(1), a.copies.write(goldenNow, effects[:3], true))
	require.Equal(t, copiesStored{token: 1}, <-written)
	require.Equal(t, uint64(0), a.copies.write(goldenNow, effects[3:], false))
	require.Equal(t, uint64(2), a.copies.write(goldenNow, []handoff.Effect{deletion}, true))
	require.Equal(t, copiesStored{token: 2}, <-written)
	a.Close()

	dir := t.TempDir()
	names, err := disk.List()
	require.NoError(t, err)
	files := 0
	for _, name := range names {
		if !strings.HasSuffix(name, ".log") && !strings.HasSuffix(name, ".snap") {
			continue
		}
		files++
		data := goldenfile.Compare(t, filepath.Join("copies", name), bytes.TrimRight(disk.Bytes(name), "\x00"))
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), data, 0o600))
		length := int64(binary.LittleEndian.Uint64(data[40:]))
		require.NoError(t, os.Truncate(filepath.Join(dir, name), length))
		assert.Len(t, disk.Bytes(name), int(length), "length of file %s", name)
	}
	require.Equal(t, 1, files)

	fs, err := vfs.OpenDir(dir, false)
	require.NoError(t, err)
	copies, expiries := map[string]handoff.Copy{}, map[string]int64{}
	_, err = store.Survey(fs, func(key store.Key, expires int64, value []byte) {
		if value == nil {
			assert.Equal(t, handoff.KeyOf("mark-6", ""), handoff.Key(key))
			delete(copies, "id-6")
			return
		}
		c, err := handoff.ReadCopy(value, goldenNow)
		assert.NoError(t, err)
		assert.Equal(t, handoff.KeyOf(c.IdempotencyKey, c.ID), handoff.Key(key))
		copies[c.ID], expiries[c.ID] = c, expires
	})
	require.NoError(t, err)
	assert.Len(t, copies, 6)
	for n := range 6 {
		c := goldenCopy(n)
		c.FirstAttemptAt -= 1000 // the age that was read may be too low by the longest time in transit
		assert.Equal(t, c, copies[c.ID])
		assert.Equal(t, int64(70000+n), expiries[c.ID], "expiry of the copy of %s", c.ID)
	}

	b := goldenAgent()
	require.NoError(t, b.PersistCopies(fs, func(any) {}))
	assert.Equal(t, 6, b.Manager().Counts().CopiesStored)
	b.Close()
}

// Guards the wire format of all kinds of datagrams.
func TestGolden_Datagrams(t *testing.T) {
	for name, kind := range map[string]byte{"word": frameBatch, "answer": frameReply, "call": frameMustCall} {
		goldenfile.Compare(t, name+".bin", encodeFrame(kind, 0x0123456789abcdef, []byte("batch")))
	}
}
