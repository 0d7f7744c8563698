package ledger

import (
	"encoding/hex"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/scheduler"
)

var update = flag.Bool("update", false, "write the golden files anew")

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

// goldenRecord is a record of one kind: what writes it, what it is read into, and what must be read.
type goldenRecord struct {
	name  string
	key   Key
	write func(*Ledger)
	read  func(*Ledger) any
	want  any
}

const goldenNow = 123456.5

func goldenRecords() (all []goldenRecord) {
	for s, name := range []string{"waiting", "out", "doubted", "handled", "denied", "writtenoff", "left"} {
		k := searchKey("id-7")
		one := search{id: "id-7", label: "label-7", mark: markKey("label-7"), offering: 1, state: state(s), at: goldenNow, until: 128000.25, out: 5, ran: true}
		all = append(all, goldenRecord{"search-" + name, k, func(l *Ledger) { l.keepSearch(k, &one) },
			func(l *Ledger) any { return *l.searches.Get(k) }, one})
	}
	for name, one := range map[string]mark{
		"mark":            {label: "label-7", first: 123000.5, last: 123400.25, executor: 9, place: "here", cell: -4, offering: 2, unsure: 3, ran: true, body: []byte("rows")},
		"mark-no-body":    {label: "label-7", first: math.Inf(-1), last: 1, offering: 1},
		"mark-empty-body": {label: "label-7", last: 1, offering: 1, body: []byte{}}} {
		k := markKey("label-7")
		all = append(all, goldenRecord{name, k, func(l *Ledger) { l.keepMark(k, &one) }, func(l *Ledger) any { return *l.marks.Get(k) }, one})
	}
	slots := []slot{{1200, 300, 2}, {1233, 1, 0}, {1234, 0, 7}}
	executor := trust{id: 9, place: "here", cell: -4, coldUntil: 130000.5, aside: true, strikes: 3, drain: 77, upSince: 1000.5, told: goldenNow}
	this := life{at: 100.5, moment: Clocks{WallMS: 1e12 + 0.5, UpMS: 5000.25, Boot: "boot-1"}, told: goldenNow, clean: true}
	figures := []scheduler.Estimate{{Name: "ran", Value: 1.5}, {Name: "threads.look", Value: -0.25}, {Name: "zero", Value: 0}}
	set := note{key: noteKey("limit model"), name: "limit model", who: "ann", text: []byte("{}"), at: goldenNow}
	return append(all,
		goldenRecord{"ration", rationKey, func(l *Ledger) { l.ration.slots = slots; l.keepRation() }, func(l *Ledger) any { return l.ration.slots }, slots},
		goldenRecord{"executor", executor.key(), func(l *Ledger) { one := executor; l.keepTrust(&one) }, func(l *Ledger) any { return *l.trusts[9] }, executor},
		goldenRecord{"life", lifeKey, func(l *Ledger) { l.life, l.doubtUntil = this, 140000.5; l.keepLife() },
			func(l *Ledger) any { return []any{l.life, l.doubtUntil} }, []any{this, 140000.5}},
		goldenRecord{"learnt", learntKey, func(l *Ledger) { l.learnt = figures; l.keepLearnt() }, func(l *Ledger) any { return l.learnt }, figures},
		goldenRecord{"note", set.key, func(l *Ledger) { l.keepNote(&Event{ID: set.name, IdempotencyKey: set.who, Body: set.text}) },
			func(l *Ledger) any { return l.notes[0] }, set})
}

// Each kind of record, and a search in each of its states, is written as it always was, and read from that again.
func TestGolden_LedgerRecords(t *testing.T) {
	for _, r := range goldenRecords() {
		l := New(testSettings())
		l.now = goldenNow
		r.write(l)
		e := l.out[0]
		require.Equal(t, Persist, e.Kind, r.name)
		assert.Equal(t, r.key, e.Key, r.name)
		text := golden(t, r.name+".txt", fmt.Appendf(nil, "key %x\nexpires %d\nvalue %x\n", e.Key[:], e.Expires, e.Value))
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
	}
}
