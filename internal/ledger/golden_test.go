package ledger

import (
	"encoding/hex"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/scheduler"

	"liftshift/internal/goldenfile"
)

// goldenRecord is a test case for one record: how a ledger writes it, how to read the restored state, and the value
// expected there.
type goldenRecord struct {
	name  string // of the golden file
	key   Key
	write func(*Ledger)
	read  func(*Ledger) any
	want  any
}

const goldenNow = 123456.5 // log time at which the records are written

func goldenRecords() (all []goldenRecord) {
	for state, name := range []string{"waiting", "out", "doubted", "handled", "denied", "writtenoff", "left"} {
		storeKey := requestKey("id-7")
		want := request{
			id: "id-7", idempotencyKey: "label-7", keyRecord: idempotencyRecordKey("label-7"), class: 1,
			state: requestState(state), updatedAt: goldenNow, deadline: 128000.25, inFlight: 5, mayHaveRun: true,
		}
		all = append(all, goldenRecord{
			"search-" + name, storeKey,
			func(l *Ledger) { l.persistRequest(storeKey, &want) },
			func(l *Ledger) any { return *l.requests.Get(storeKey) },
			want,
		})
	}
	for name, want := range map[string]idempotencyKey{
		"mark": {
			text: "label-7", firstAt: 123000.5, lastAt: 123400.25, executor: 9, zone: "here", cell: -4, class: 2,
			unresolved: 3, succeeded: true, answer: []byte("rows"),
		},
		"mark-no-body":    {text: "label-7", firstAt: math.Inf(-1), lastAt: 1, class: 1},
		"mark-empty-body": {text: "label-7", lastAt: 1, class: 1, answer: []byte{}},
	} {
		storeKey := idempotencyRecordKey("label-7")
		all = append(all, goldenRecord{
			name, storeKey,
			func(l *Ledger) { l.persistKey(storeKey, &want) },
			func(l *Ledger) any { return *l.keys.Get(storeKey) },
			want,
		})
	}
	slots := []budgetSlot{{1200, 300, 2}, {1233, 1, 0}, {1234, 0, 7}}
	executor := executorState{
		id: 9, zone: "here", cell: -4, warmupUntil: 130000.5, ejected: true, ejections: 3, drainVersion: 77,
		startedAt: 1000.5, persistedAt: goldenNow,
	}
	current := incarnation{
		startedAt: 100.5, clocks: Clocks{WallMS: 1e12 + 0.5, UptimeMS: 5000.25, BootID: "boot-1"},
		persistedAt: goldenNow, clean: true,
	}
	estimates := []scheduler.Estimate{
		{Name: "ran", Value: 1.5}, {Name: "threads.look", Value: -0.25}, {Name: "zero", Value: 0},
	}
	note := operatorNote{
		key: noteKey("limit model"), name: "limit model", author: "ann", body: []byte("{}"), at: goldenNow,
	}
	return append(all,
		goldenRecord{
			"ration", retryBudgetKey,
			func(l *Ledger) { l.retryBudget.slots = slots; l.persistRetryBudget() },
			func(l *Ledger) any { return l.retryBudget.slots },
			slots,
		},
		goldenRecord{
			"executor", executor.key(),
			func(l *Ledger) { written := executor; l.persistExecutor(&written) },
			func(l *Ledger) any { return *l.executors[9] },
			executor,
		},
		goldenRecord{
			"life", incarnationKey,
			func(l *Ledger) { l.incarnation, l.inDoubtUntil = current, 140000.5; l.persistIncarnation() },
			func(l *Ledger) any { return []any{l.incarnation, l.inDoubtUntil} },
			[]any{current, 140000.5},
		},
		goldenRecord{
			"learnt", estimatesKey,
			func(l *Ledger) { l.estimates = estimates; l.persistEstimates() },
			func(l *Ledger) any { return l.estimates },
			estimates,
		},
		goldenRecord{
			"note", note.key,
			func(l *Ledger) {
				l.persistNote(&Event{ID: note.name, IdempotencyKey: note.author, Body: note.body})
			},
			func(l *Ledger) any { return l.notes[0] },
			note,
		},
	)
}

// TestGolden_LedgerRecords checks that the encoding of each kind of record, and of a request in each state, does not
// change, and that it decodes to the value that was written.
func TestGolden_LedgerRecords(t *testing.T) {
	for _, r := range goldenRecords() {
		t.Run(r.name, func(t *testing.T) {
			l := New(testSettings())
			l.now = goldenNow
			r.write(l)
			e := l.effects[0]
			require.Equal(t, Persist, e.Kind, r.name)
			assert.Equal(t, r.key, e.Key, r.name)
			got := fmt.Appendf(nil, "key %x\nexpires %d\nvalue %x\n", e.Key[:], e.Expires, e.Value)
			text := goldenfile.Compare(t, r.name+".txt", got)
			var key, value string
			var expires int64
			_, err := fmt.Sscanf(string(text), "key %s\nexpires %d\nvalue %s\n", &key, &expires, &value)
			require.NoError(t, err, r.name)
			ev := Event{Kind: RecordRead, Expires: expires}
			_, err = hex.Decode(ev.Key[:], []byte(key))
			require.NoError(t, err, r.name)
			ev.Value, err = hex.DecodeString(value)
			require.NoError(t, err, r.name)
			l = New(testSettings())
			l.Step(0, &ev)
			assert.Equal(t, r.want, r.read(l), r.name)
			assert.Equal(t, goldenNow, l.now, r.name)
		})
	}
}
