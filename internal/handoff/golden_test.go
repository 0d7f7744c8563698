package handoff

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files")

// golden compares what was written with a golden file and gives that; with -update it writes the file first.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), "%s is written otherwise", name)
	return want
}

const goldenNow = 50000.0

// goldenCopy has all fields set, and a run state and an outcome by its number.
func goldenCopy(n int) Copy {
	return Copy{RequestData: RequestData{ID: fmt.Sprint("id-", n), IdempotencyKey: fmt.Sprint("mark-", n), Class: "once", OrderKey: "key", Team: "model", Schema: "s1",
		TableGroup: 12, MemoryMB: 1.5, WorkMS: 2.25, Body: []byte("body")}, Owner: Member{"a", 3}, Sequence: 17, Outcome: Outcome(n % 7), RunState: RunState(n % 3),
		FirstAttemptAt: 40000, Zone: "here", Cell: -5, Deadline: 52000, Answer: []byte("answer"), Complete: true, Idempotent: true, Confirmed: true}
}

// goldenOps are the names of the golden files of the ops, in the order of their numbers.
var goldenOps = []string{"register", "shoot", "close", "withdraw", "take", "ask", "pull", "mind", "kept", "known", "none", "lacking", "higher", "refused", "page"}

// goldenBatches is one batch for each op with all fields set, one that has all outcomes and run states, and small ones.
func goldenBatches() map[string]Batch {
	all := map[string]Batch{"bare": {From: Member{"a", 3}, Items: []Item{{Op: OpQuery}}}, "behind": {From: Member{"b", 4}, Version: 9, StalePlacement: true},
		"empty-answer": {From: Member{"a", 3}, Items: []Item{{Op: OpClose, Answer: []byte{}}}}}
	for k, name := range goldenOps {
		c := goldenCopy(k)
		all[fmt.Sprintf("op-%02d-%s", k+1, name)] = Batch{From: Member{"a", 3}, Version: 9, PlacementStep: 8, StalePlacement: true, Items: []Item{{Op: Op(k + 1),
			Key: KeyOf("mark-1", ""), Sequence: 18, Copy: &c, RunState: RunState(k % 3), FirstAttemptAt: 41000, Zone: "there", Cell: -6, Outcome: Outcome(k % 7),
			Answer: []byte("told"), From: Member{"c", 5}, Partition: 33, After: KeyOf("", "id-1"), More: true, Reason: "busy",
			Copies: []Copy{goldenCopy(k + 1), goldenCopy(k + 2)}}}}
	}
	var items []Item
	for o := range Unknown + 1 {
		for s := range Ran + 1 {
			items = append(items, Item{Op: OpStored, Outcome: o, RunState: s})
		}
	}
	all["outcomes"] = Batch{From: Member{"a", 3}, Items: items}
	return all
}

// later is what a copy is read as: its first attempt may have been made earlier by as long as its message may have taken.
func later(c Copy) Copy {
	c.FirstAttemptAt -= ageUncertaintyMS
	return c
}

// Each kind of message between controllers is written as it always was, and can be read back.
func TestGolden_Messages(t *testing.T) {
	for name, b := range goldenBatches() {
		data := golden(t, name+".bin", b.Append(nil, goldenNow))
		got, err := ReadBatch(data, goldenNow)
		require.NoError(t, err, name)
		for k := range b.Items {
			it := &b.Items[k]
			if it.FirstAttemptAt != 0 {
				it.FirstAttemptAt -= ageUncertaintyMS
			}
			if it.Copy != nil {
				c := later(*it.Copy)
				it.Copy = &c
			}
			for n := range it.Copies {
				it.Copies[n] = later(it.Copies[n])
			}
		}
		assert.Equal(t, &b, got, name)
	}
}

// A copy on a disk is written as it always was, in each outcome, and can be read back.
func TestGolden_Copies(t *testing.T) {
	for n := range 7 {
		c := goldenCopy(n)
		got, err := ReadCopy(golden(t, fmt.Sprintf("copy-%s.bin", c.Outcome), AppendCopy(nil, &c, goldenNow)), goldenNow)
		require.NoError(t, err)
		assert.Equal(t, later(c), got)
	}
}

// The ops, outcomes and run states have the numbers on the wire that they always had.
func TestGolden_Ops(t *testing.T) {
	assert.Equal(t, []Op{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}, []Op{OpRegister, OpAttempt, OpClose, OpWithdraw, OpAdopt, OpQuery, OpFetch, OpMapID, OpStored, OpKnown,
		OpUnknown, OpNeedCopy, OpNeedHigher, OpRefused, OpPage})
	assert.Equal(t, []Outcome{0, 1, 2, 3, 4, 5, 6}, []Outcome{Open, Succeeded, Rejected, Failed, Abandoned, Withdrawn, Unknown})
	assert.Equal(t, []RunState{0, 1, 2}, []RunState{NotRun, MayHaveRun, Ran})
}
