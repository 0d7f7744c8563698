package handoff

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a panic on truncated or corrupted data, in the decoder and in a manager that handles what was decoded.
func TestReadBatch_SurvivesTruncationAndCorruption(t *testing.T) {
	registered := Copy{
		RequestData: RequestData{
			ID: "a", IdempotencyKey: "m", Class: "keyed", TableGroup: 5, MemoryMB: 1.5, Body: []byte("select"),
		},
		FirstAttemptAt: 900,
		Deadline:       4000,
		Cell:           -3,
		Complete:       true,
		Confirmed:      true,
	}
	batch := &Batch{From: Member{"n1", 7}, Version: 3, PlacementStep: 9, Items: []Item{
		{Op: OpRegister, Key: KeyOf("m", ""), Sequence: 2, Copy: &registered},
		{Op: OpClose, Outcome: Succeeded, Answer: []byte{}, From: Member{"n2", 1}},
		{Op: OpPage, Partition: 4, More: true, Copies: []Copy{{Idempotent: true, Deadline: 1}}},
	}}
	data := batch.Append(nil, 1000)
	whole, err := ReadBatch(data, 1000)
	require.NoError(t, err)
	got := whole.Items[0].Copy
	assert.Equal(t, []any{"a", uint64(5), int64(-3), 4000.0, true},
		[]any{got.ID, got.TableGroup, got.Cell, got.Deadline, got.Confirmed})
	assert.LessOrEqual(t, got.FirstAttemptAt, 900.0, "decoded time of the first attempt is too late")
	assert.NotNil(t, whole.Items[1].Answer, "empty answer became absent")
	assert.Nil(t, whole.Items[0].Answer, "absent answer became empty")
	for n := range data {
		_, _ = ReadBatch(data[:n], 1000)
		corrupted := append([]byte(nil), data...)
		corrupted[n] ^= 0x41
		if read, err := ReadBatch(corrupted, 1000); err == nil {
			m := New(Member{"n0", 1}, DefaultSettings(), 1)
			m.Step(1000, &Event{Kind: BatchReceived, Batch: read})
		}
	}
}

// FuzzReadBatch guards against a panic on arbitrary data, in the decoder and in a cluster that handles what was
// decoded.
func FuzzReadBatch(f *testing.F) {
	f.Add((&Batch{From: Member{"n1", 7}, Items: []Item{{Op: OpFetch, Partition: 3}}}).Append(nil, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		if batch, err := ReadBatch(data, 1000); err == nil {
			c := newCluster(t, 5, 1, nil)
			batch.Version, batch.PlacementStep, batch.From = c.table.Version, 0, Member{"n1", 1}
			c.step(0, &Event{Kind: BatchReceived, Batch: batch})
			c.tick(300)
		}
	})
}
