package ledgerstore

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/ledger"
	"liftshift/internal/store"
	"liftshift/internal/vfs"
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

// goldenSettings has a retry budget, too, so that there is a record of one.
func goldenSettings() ledger.Settings {
	s := ledgerSettings()
	s.RetryBudget = scheduler.RetryBudget{WindowMS: 10000, Floor: 3, Share: 0.1}
	return s
}

// goldenFolder writes a store that has records of every kind, in a snapshot and behind it, at fixed times.
func goldenFolder(t *testing.T, stop bool) *vfs.MemoryFS {
	disk := vfs.NewMemory()
	c := &testController{now: 10000, reports: make(chan ledger.Event, 1000), engines: &testEngines{ran: map[string][]string{}}}
	var err error
	c.Store, _, err = OpenAt(disk, testOptions, goldenSettings(), func() float64 { return c.now }, clocksAt(c.now), func(ev ledger.Event) { c.reports <- ev }, quietLogger())
	require.NoError(t, err)
	step := func(ev ledger.Event) { c.Step(c.now, &ev) }
	requests := []struct{ id, class, key, ending string }{{"handled", "mark", "m0", "handled"}, {"out", "mark", "m1", ""}, {"denied", "mark", "m2", "unrun"},
		{"left", "mark", "m3", "before"}, {"writtenoff", "once", "", ""}, {"look", "look", "", "handled"}, {"waiting", "mark", "m4", "before"}}
	step(ledger.Event{Kind: ledger.EndpointsUpdated, Restored: true, Complete: true, Endpoints: []scheduler.Endpoint{{Executor: 1, Zone: "here"}, {Executor: 2, Zone: "there"}}})
	run := func(round string, ms float64) {
		for _, r := range requests {
			key := r.key
			if key != "" {
				key += round
			}
			c.request(r.id+round, r.class, key, r.ending, 1)
		}
		step(ledger.Event{Kind: ledger.RequestClosed, ID: "denied" + round, Outcome: ledger.Rejected})
		step(ledger.Event{Kind: ledger.RequestClosed, ID: "left" + round, Outcome: ledger.Abandoned})
		step(ledger.Event{Kind: ledger.RequestClosed, ID: "writtenoff" + round, Outcome: ledger.Failed})
		step(ledger.Event{Kind: ledger.OperatorNoteSet, ID: "limit " + round, IdempotencyKey: "ann", Body: []byte("{}")})
		c.now += ms
		step(ledger.Event{Kind: ledger.EndpointsUpdated, ListVersion: 7, Endpoints: []scheduler.Endpoint{{Executor: 2, Zone: "there", Cell: -3, Availability: scheduler.Draining, StartedAt: 5}}})
		step(ledger.Event{Kind: ledger.Ticked, ExecutorViews: []scheduler.ExecutorView{{Executor: 1, Ejected: true, Ejections: 3, WarmingUp: true, WarmupUntil: c.now + 2000}},
			Estimates: []scheduler.Estimate{{Name: "ran", Value: 2}, {Name: "look", Value: 0.5}}})
	}
	run("-1", 2500) // nothing expires before the snapshot, whose order would depend on when that is seen
	require.NoError(t, c.store.Snapshot())
	run("-2", 6000)
	step(ledger.Event{Kind: ledger.OperatorNoteSet, ID: "limit -1", IdempotencyKey: "ann"}) // ends it
	if stop {
		require.NoError(t, c.Close())
		return disk
	}
	require.NoError(t, c.store.Close())
	names, err := disk.List()
	require.NoError(t, err)
	for i := len(names) - 1; i >= 0; i-- { // the last batch was half written
		if strings.HasSuffix(names[i], ".log") {
			b := disk.Bytes(names[i])
			clear(b[len(strings.TrimRight(string(b), "\x00"))-10:])
			disk.SetFile(names[i], b)
			break
		}
	}
	return disk
}

// goldenCopy copies a golden folder to a new one.
func goldenCopy(t *testing.T, folder string) vfs.Dir {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "golden", folder))))
	fs, err := vfs.OpenDir(dir, false)
	require.NoError(t, err)
	return fs
}

// TestGolden_StoreFolders checks that a folder is written as it always was, after a planned shutdown and with a torn tail, and that the same is
// found in it: each record in its order, what is said of the tail, and what a controller makes of it.
func TestGolden_StoreFolders(t *testing.T) {
	for _, folder := range []string{"clean", "torn"} {
		t.Run(folder, func(t *testing.T) {
			disk := goldenFolder(t, folder == "clean")
			if *update {
				require.NoError(t, os.RemoveAll(filepath.Join("testdata", "golden", folder)))
			}
			names, err := disk.List()
			require.NoError(t, err)
			var written []string
			for _, name := range names {
				if strings.HasSuffix(name, ".log") || strings.HasSuffix(name, ".snap") {
					written = append(written, name)
					golden(t, filepath.Join(folder, name), disk.Bytes(name))
				}
			}
			there, err := os.ReadDir(filepath.Join("testdata", "golden", folder))
			require.NoError(t, err)
			assert.Len(t, there, len(written), folder)

			var text strings.Builder
			kinds := map[string]bool{}
			s, found, err := store.Open(goldenCopy(t, folder), testOptions, func(k store.Key, expires int64, value []byte) {
				fmt.Fprintf(&text, "%x %d %x\n", k[:], expires, value)
				kind, _, _ := ledger.DescribeRecord(value)
				kinds[kind] = true
			})
			require.NoError(t, err, folder)
			require.NoError(t, s.Close())
			fmt.Fprintf(&text, "records %d files %d bytes %d doubt %v why %q removed %q began %v snapshot %d\n", found.Records, found.Files, found.Bytes, found.InDoubt,
				found.Reason, found.Removed, found.Created, found.Snapshot)
			golden(t, folder+".txt", []byte(text.String()))
			assert.Equal(t, folder == "torn", found.InDoubt)
			for _, kind := range []string{"search", "mark", "ration", "executor", "life", "learnt", "note"} {
				assert.True(t, kinds[kind], "%s: no record of kind %s", folder, kind)
			}

			const now = 30000
			again := goldenCopy(t, folder)
			k, _, err := OpenAt(again, testOptions, goldenSettings(), func() float64 { return now }, clocksAt(now), func(ledger.Event) {}, quietLogger())
			require.NoError(t, err, folder)
			var answers strings.Builder
			for _, id := range []string{"handled", "out", "denied", "left", "writtenoff", "look", "waiting"} {
				for _, round := range []string{"-1", "-2"} {
					e := k.Step(now, &ledger.Event{Kind: ledger.OutcomeQueried, ID: id + round})[0]
					fmt.Fprintf(&answers, "%s %s %q %g\n", id+round, e.Outcome, e.Body, e.AgeMS)
				}
			}
			for _, n := range k.OperatorNotes() {
				fmt.Fprintf(&answers, "note %q by %q: %q %g\n", n.ID, n.Text, n.Body, n.AgeMS)
			}
			restored := k.RestoredEvents()
			for _, e := range k.Step(now, &ledger.Event{Kind: ledger.EndpointsUpdated, Restored: true, Complete: true, Endpoints: []scheduler.Endpoint{{Executor: 1, Zone: "here"},
				{Executor: 2, Zone: "there"}}}) {
				restored = append(restored, e.SchedulerEvent)
			}
			for _, ev := range restored {
				fmt.Fprintf(&answers, "figures %v trusts %v\n", ev.Estimates, ev.RestoredExecutors)
			}
			golden(t, folder+"-told.txt", []byte(answers.String()))
			require.NoError(t, k.store.Close())
			next, err := again.Open("0000000000000003.log") // what this incarnation wrote; its header tells of the doubt
			require.NoError(t, err)
			data := make([]byte, testOptions.SegmentBytes)
			_, err = next.ReadAt(data, 0)
			require.NoError(t, err)
			require.NoError(t, next.Close())
			golden(t, folder+"-next.log", data)
		})
	}
}
