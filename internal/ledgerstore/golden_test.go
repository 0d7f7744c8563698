package ledgerstore

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/goldenfile"
	"liftshift/internal/ledger"
	"liftshift/internal/store"
	"liftshift/internal/testlog"
	"liftshift/internal/vfs"
	"liftshift/scheduler"
)

// goldenSettings returns ledgerSettings with a retry budget, so that the ledger writes a record of it.
func goldenSettings() ledger.Settings {
	s := ledgerSettings()
	s.RetryBudget = scheduler.RetryBudget{WindowMS: 10000, Floor: 3, Share: 0.1}
	return s
}

// goldenEndpoints returns the endpoint list that is known at the start.
func goldenEndpoints() ledger.Event {
	return ledger.Event{Kind: ledger.EndpointsUpdated, Restored: true, Complete: true, Endpoints: []scheduler.Endpoint{
		{Executor: 1, Zone: dedupZone}, {Executor: 2, Zone: otherZone},
	}}
}

// goldenRequests are the requests of each round in a golden folder. Their IDs are part of the golden files.
var goldenRequests = []struct {
	id, class, key string
	end            requestEnd
}{
	{"handled", "mark", "m0", requestSucceeds},
	{"out", "mark", "m1", attemptStaysOpen},
	{"denied", "mark", "m2", attemptNeverRuns},
	{"left", "mark", "m3", attemptNeverSent},
	{"writtenoff", "once", "", attemptStaysOpen},
	{"look", "look", "", requestSucceeds},
	{"waiting", "mark", "m4", attemptNeverSent},
}

// writeGoldenFolder writes a store with records of every kind, in a snapshot and in the log after it, at fixed times.
// The controller either shuts down cleanly or leaves a torn tail.
func writeGoldenFolder(t *testing.T, cleanShutdown bool) *vfs.MemoryFS {
	disk := vfs.NewMemory()
	c := &testController{now: 10000, stored: make(chan ledger.Event, 1000), runs: newRunRecorder()}
	var err error
	c.Store, _, err = OpenAt(disk, testOptions, goldenSettings(), func() float64 { return c.now }, clocksAt(c.now),
		func(event ledger.Event) { c.stored <- event }, testlog.Discard())
	require.NoError(t, err)
	step := func(event ledger.Event) { c.Step(c.now, &event) }
	step(goldenEndpoints())
	runRound := func(round string, elapsedMS float64) {
		for _, r := range goldenRequests {
			key := r.key
			if key != "" {
				key += round
			}
			c.request(r.id+round, r.class, key, r.end, 1)
		}
		step(ledger.Event{Kind: ledger.RequestClosed, ID: "denied" + round, Outcome: ledger.Rejected})
		step(ledger.Event{Kind: ledger.RequestClosed, ID: "left" + round, Outcome: ledger.Abandoned})
		step(ledger.Event{Kind: ledger.RequestClosed, ID: "writtenoff" + round, Outcome: ledger.Failed})
		step(ledger.Event{Kind: ledger.OperatorNoteSet, ID: "limit " + round, IdempotencyKey: "ann", Body: []byte("{}")})
		c.now += elapsedMS
		step(ledger.Event{Kind: ledger.EndpointsUpdated, ListVersion: 7, Endpoints: []scheduler.Endpoint{
			{Executor: 2, Zone: otherZone, Cell: -3, Availability: scheduler.Draining, StartedAt: 5},
		}})
		step(ledger.Event{
			Kind: ledger.Ticked,
			ExecutorViews: []scheduler.ExecutorView{
				{Executor: 1, Ejected: true, Ejections: 3, WarmingUp: true, WarmupUntil: c.now + 2000},
			},
			Estimates: []scheduler.Estimate{{Name: "ran", Value: 2}, {Name: "look", Value: 0.5}},
		})
	}
	// No record expires before the snapshot: the order of the records in it would depend on when the store notices that.
	runRound("-1", 2500)
	require.NoError(t, c.store.Snapshot())
	runRound("-2", 6000)
	step(ledger.Event{Kind: ledger.OperatorNoteSet, ID: "limit -1", IdempotencyKey: "ann"}) // no body: deletes the note
	if cleanShutdown {
		require.NoError(t, c.Close())
		return disk
	}
	require.NoError(t, c.store.Close())
	tearLogTail(t, disk)
	return disk
}

// tearLogTail overwrites the last bytes of the newest log file with zeros, as if its last batch was partly written.
func tearLogTail(t *testing.T, disk *vfs.MemoryFS) {
	names, err := disk.List()
	require.NoError(t, err)
	for i := len(names) - 1; i >= 0; i-- {
		if strings.HasSuffix(names[i], ".log") {
			data := disk.Bytes(names[i])
			clear(data[len(strings.TrimRight(string(data), "\x00"))-10:])
			disk.SetFile(names[i], data)
			break
		}
	}
}

// copyGoldenFolder copies a golden folder to a temporary one.
func copyGoldenFolder(t *testing.T, folder string) vfs.Dir {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "golden", folder))))
	fs, err := vfs.OpenDir(dir, false)
	require.NoError(t, err)
	return fs
}

// TestGolden_StoreFolders guards the format of the store on disk, after a clean shutdown and with a torn tail. Golden
// files hold the files of the store, the records and the recovery report that are read from them, the state that a
// controller restores, and the log that it begins.
func TestGolden_StoreFolders(t *testing.T) {
	for _, folder := range []string{"clean", "torn"} {
		t.Run(folder, func(t *testing.T) {
			compareStoreFiles(t, folder)
			compareRecords(t, folder)

			const now = 30000
			disk := copyGoldenFolder(t, folder)
			s, _, err := OpenAt(disk, testOptions, goldenSettings(), func() float64 { return now }, clocksAt(now),
				func(ledger.Event) {}, testlog.Discard())
			require.NoError(t, err, folder)
			compareRestoredState(t, folder, s, now)
			require.NoError(t, s.store.Close())
			compareNextLog(t, folder, disk)
		})
	}
}

// compareStoreFiles writes a store and compares its files with those of a golden folder.
func compareStoreFiles(t *testing.T, folder string) {
	t.Helper()
	disk := writeGoldenFolder(t, folder == "clean")
	if goldenfile.Updating() {
		require.NoError(t, os.RemoveAll(filepath.Join("testdata", "golden", folder)))
	}
	names, err := disk.List()
	require.NoError(t, err)
	var written []string
	for _, name := range names {
		if strings.HasSuffix(name, ".log") || strings.HasSuffix(name, ".snap") {
			written = append(written, name)
			goldenfile.Compare(t, filepath.Join(folder, name), disk.Bytes(name))
		}
	}
	files, err := os.ReadDir(filepath.Join("testdata", "golden", folder))
	require.NoError(t, err)
	assert.Len(t, files, len(written), "files in folder %s", folder)
}

// compareRecords compares the records in a golden folder, and the report of their recovery, with a golden file.
func compareRecords(t *testing.T, folder string) {
	t.Helper()
	var text strings.Builder
	kinds := map[string]bool{}
	readRecord := func(key store.Key, expires int64, value []byte) {
		fmt.Fprintf(&text, "%x %d %x\n", key[:], expires, value)
		kind, _, _ := ledger.DescribeRecord(value)
		kinds[kind] = true
	}
	s, recovery, err := store.Open(copyGoldenFolder(t, folder), testOptions, readRecord)
	require.NoError(t, err, folder)
	require.NoError(t, s.Close())
	fmt.Fprintf(&text, "records %d files %d bytes %d doubt %v why %q removed %q began %v snapshot %d\n",
		recovery.Records, recovery.Files, recovery.Bytes, recovery.InDoubt, recovery.Reason, recovery.Removed,
		recovery.Created, recovery.Snapshot)
	goldenfile.Compare(t, folder+".txt", []byte(text.String()))
	assert.Equal(t, folder == "torn", recovery.InDoubt, "%s: the tail of the log is in doubt", folder)
	for _, kind := range []string{"search", "mark", "ration", "executor", "life", "learnt", "note"} {
		assert.True(t, kinds[kind], "%s: no record of kind %s", folder, kind)
	}
}

// compareRestoredState compares the outcomes, the operator notes and the scheduler state that a Store restored with a
// golden file.
func compareRestoredState(t *testing.T, folder string, s *Store, now float64) {
	t.Helper()
	var text strings.Builder
	for _, id := range []string{"handled", "out", "denied", "left", "writtenoff", "look", "waiting"} {
		for _, round := range []string{"-1", "-2"} {
			answer := s.Step(now, &ledger.Event{Kind: ledger.OutcomeQueried, ID: id + round})[0]
			fmt.Fprintf(&text, "%s %s %q %g\n", id+round, answer.Outcome, answer.Body, answer.AgeMS)
		}
	}
	for _, note := range s.OperatorNotes() {
		fmt.Fprintf(&text, "note %q by %q: %q %g\n", note.ID, note.Text, note.Body, note.AgeMS)
	}
	restored := s.RestoredEvents()
	endpoints := goldenEndpoints()
	for _, effect := range s.Step(now, &endpoints) {
		restored = append(restored, effect.SchedulerEvent)
	}
	for _, event := range restored {
		fmt.Fprintf(&text, "figures %v trusts %v\n", event.Estimates, event.RestoredExecutors)
	}
	goldenfile.Compare(t, folder+"-told.txt", []byte(text.String()))
}

// compareNextLog compares the log file that a restarted controller has begun with a golden file. Its header says
// whether the tail of the log before was in doubt.
func compareNextLog(t *testing.T, folder string, disk vfs.Dir) {
	t.Helper()
	file, err := disk.Open("0000000000000003.log")
	require.NoError(t, err)
	data := make([]byte, testOptions.SegmentBytes)
	_, err = file.ReadAt(data, 0)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	goldenfile.Compare(t, folder+"-next.log", data)
}
