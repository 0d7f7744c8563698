package handoff

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Batches that are truncated or corrupted are refused, or read as something; none ends the process.
func TestReadBatch_TruncatedAndCorrupted(t *testing.T) {
	b := &Batch{From: Member{"n1", 7}, Version: 3, PlacementStep: 9, Items: []Item{{Op: OpRegister, Key: KeyOf("m", ""), Sequence: 2, Copy: &Copy{
		RequestData: RequestData{ID: "a", IdempotencyKey: "m", Class: "keyed", TableGroup: 5, MemoryMB: 1.5, Body: []byte("select")}, FirstAttemptAt: 900, Deadline: 4000, Cell: -3, Complete: true, Confirmed: true}},
		{Op: OpClose, Outcome: Succeeded, Answer: []byte{}, From: Member{"n2", 1}}, {Op: OpPage, Partition: 4, More: true, Copies: []Copy{{Idempotent: true, Deadline: 1}}}}}
	data := b.Append(nil, 1000)
	whole, err := ReadBatch(data, 1000)
	require.NoError(t, err)
	got := whole.Items[0].Copy
	assert.Equal(t, []any{"a", 5.0 - 5, int64(-3), 4000.0, true}, []any{got.ID, float64(got.TableGroup) - 5, got.Cell, got.Deadline, got.Confirmed})
	assert.LessOrEqual(t, got.FirstAttemptAt, 900.0, "never younger than it is")
	assert.NotNil(t, whole.Items[1].Answer)
	assert.Nil(t, whole.Items[0].Answer)
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

func FuzzReadBatch(f *testing.F) {
	f.Add((&Batch{From: Member{"n1", 7}, Items: []Item{{Op: OpFetch, Partition: 3}}}).Append(nil, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		if b, err := ReadBatch(data, 1000); err == nil {
			c := newCluster(t, 5, 1, nil)
			b.Version, b.PlacementStep, b.From = c.table.Version, 0, Member{"n1", 1}
			c.step(0, &Event{Kind: BatchReceived, Batch: b})
			c.tick(300)
		}
	})
}
