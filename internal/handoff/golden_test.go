package handoff

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/goldenfile"
)

// goldenNow is the time in ms at which golden files are encoded and decoded.
const goldenNow = 50000.0

// goldenCopy returns a copy with all fields set, whose id, key, outcome and run state depend on n.
func goldenCopy(n int) Copy {
	return Copy{
		RequestData: RequestData{
			ID:             fmt.Sprint("id-", n),
			IdempotencyKey: fmt.Sprint("mark-", n),
			Class:          "once",
			OrderKey:       "key",
			Team:           "model",
			Schema:         "s1",
			TableGroup:     12,
			MemoryMB:       1.5,
			WorkMS:         2.25,
			Body:           []byte("body"),
		},
		Owner:          Member{"a", 3},
		Sequence:       17,
		Outcome:        Outcome(n % 7),
		RunState:       RunState(n % 3),
		FirstAttemptAt: 40000,
		Zone:           "here",
		Cell:           -5,
		Deadline:       52000,
		Answer:         []byte("answer"),
		Complete:       true,
		Idempotent:     true,
		Confirmed:      true,
	}
}

// goldenOps are the names of the ops in the names of the golden files, in the order of their numbers.
var goldenOps = []string{
	"register", "shoot", "close", "withdraw", "take", "ask", "pull", "mind",
	"kept", "known", "none", "lacking", "higher", "refused", "page",
}

// goldenBatches returns, by the name of its golden file, a batch with all fields set for each op, one with all outcomes
// and run states, and some with few fields.
func goldenBatches() map[string]Batch {
	batches := map[string]Batch{
		"bare":         {From: Member{"a", 3}, Items: []Item{{Op: OpQuery}}},
		"behind":       {From: Member{"b", 4}, Version: 9, StalePlacement: true},
		"empty-answer": {From: Member{"a", 3}, Items: []Item{{Op: OpClose, Answer: []byte{}}}},
		"adoption":     {From: Member{"a", 3}, Items: []Item{{Op: OpAdopt, Sequence: 9, BaseSequence: 5}}},
		"clock": {
			From: Member{"a", 3}, Clock: 1234.5, StoreUntil: 2300.5, Items: []Item{{Op: OpAttempt, StoreUntil: 2345.5}},
		},
	}
	for k, name := range goldenOps {
		embedded := goldenCopy(k)
		item := Item{
			Op:             Op(k + 1),
			Key:            KeyOf("mark-1", ""),
			Sequence:       18,
			Copy:           &embedded,
			RunState:       RunState(k % 3),
			FirstAttemptAt: 41000,
			Zone:           "there",
			Cell:           -6,
			Outcome:        Outcome(k % 7),
			Answer:         []byte("told"),
			From:           Member{"c", 5},
			Partition:      33,
			After:          KeyOf("", "id-1"),
			More:           true,
			Reason:         "busy",
			Copies:         []Copy{goldenCopy(k + 1), goldenCopy(k + 2)},
		}
		batches[fmt.Sprintf("op-%02d-%s", k+1, name)] = Batch{
			From: Member{"a", 3}, Version: 9, PlacementStep: 8, StalePlacement: true, Items: []Item{item},
		}
	}
	var items []Item
	for outcome := range Unknown + 1 {
		for state := range Ran + 1 {
			items = append(items, Item{Op: OpStored, Outcome: outcome, RunState: state})
		}
	}
	batches["outcomes"] = Batch{From: Member{"a", 3}, Items: items}
	return batches
}

// asRead returns a copy as it is decoded: its first attempt counts as earlier by the longest time in transit.
func asRead(encoded Copy) Copy {
	encoded.FirstAttemptAt -= ageUncertaintyMS
	return encoded
}

// Guards against a change of the wire format of messages between controllers, which run mixed versions during an
// update.
func TestGolden_Messages(t *testing.T) {
	for name, batch := range goldenBatches() {
		data := goldenfile.Compare(t, name+".bin", batch.Append(nil, goldenNow))
		got, err := ReadBatch(data, goldenNow)
		require.NoError(t, err, "decode %s", name)
		for k := range batch.Items {
			item := &batch.Items[k]
			if item.FirstAttemptAt != 0 {
				item.FirstAttemptAt -= ageUncertaintyMS
			}
			if item.Copy != nil {
				embedded := asRead(*item.Copy)
				item.Copy = &embedded
			}
			for n := range item.Copies {
				item.Copies[n] = asRead(item.Copies[n])
			}
		}
		assert.Equal(t, &batch, got, "decoded from %s", name)
	}
}

// Guards against a change of the format of stored copies, which a later version must be able to read.
func TestGolden_Copies(t *testing.T) {
	for n := range 7 {
		written := goldenCopy(n)
		name := fmt.Sprintf("copy-%s.bin", written.Outcome)
		got, err := ReadCopy(goldenfile.Compare(t, name, AppendCopy(nil, &written, goldenNow)), goldenNow)
		require.NoError(t, err, "decode %s", name)
		assert.Equal(t, asRead(written), got, "decoded from %s", name)
	}
}

// Guards against renumbering of ops, outcomes and run states.
func TestGolden_Ops(t *testing.T) {
	assert.Equal(t, []Op{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}, []Op{
		OpRegister, OpAttempt, OpClose, OpWithdraw, OpAdopt, OpQuery, OpFetch, OpMapID,
		OpStored, OpKnown, OpUnknown, OpNeedCopy, OpNeedHigher, OpRefused, OpPage,
	})
	assert.Equal(t, []Outcome{0, 1, 2, 3, 4, 5, 6}, []Outcome{
		Open, Succeeded, Rejected, Failed, Abandoned, Withdrawn, Unknown,
	})
	assert.Equal(t, []RunState{0, 1, 2}, []RunState{NotRun, MayHaveRun, Ran})
}
