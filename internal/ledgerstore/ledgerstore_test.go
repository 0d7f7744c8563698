package ledgerstore

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/internal/ledger"
	"liftshift/internal/store"
	"liftshift/internal/testlog"
	"liftshift/internal/vfs"
	"liftshift/scheduler"
)

const (
	workloadRounds = 12
	answerTimeout  = 5 * time.Second
)

// requireRecovers starts a controller on a damaged disk and retries every key. It requires that the requests that were
// open have a final outcome and that no key runs a second time.
func requireRecovers(t *testing.T, disk *vfs.MemoryFS, now float64, runs *runRecorder, open []string, damage string) {
	c, err := startController(disk, now, runs)
	require.NoError(t, err, damage)
	for _, id := range open {
		outcome := c.Step(c.now, &ledger.Event{Kind: ledger.OutcomeQueried, ID: id})[0].Outcome
		require.NotContains(t, []ledger.Outcome{ledger.Unknown, ledger.Open, ledger.Rejected}, outcome,
			"%s: outcome of request %s", damage, id)
	}
	c.retryKeys(workloadRounds)
	require.Empty(t, runs.repeatedKeys(), "%s: keys that ran more than once", damage)
	require.NoError(t, c.store.Close(), damage)
}

// TestStore_RunsNoKeyTwiceWhateverIsDamaged damages the files of a store, lets every client retry, and checks that no
// idempotency key runs in two zones. It truncates each file at each byte and flips a bit in each byte of the headers,
// the last records and the snapshot.
func TestStore_RunsNoKeyTwiceWhateverIsDamaged(t *testing.T) {
	disk, runs := vfs.NewMemory(), newRunRecorder()
	c, err := startController(disk, 1000, runs)
	require.NoError(t, err)
	c.workload(workloadRounds / 2)
	require.NoError(t, c.store.Snapshot())
	open := c.workload(workloadRounds)
	require.Len(t, open, 1, "the keys of the first half of the rounds are on record already")
	open = []string{"a1", "a5", "a9"}
	require.NoError(t, c.store.Close())
	names, _ := disk.List()
	damagedDisks := 0
	for _, name := range names {
		content := disk.Bytes(name)
		end := len(strings.TrimRight(string(content), "\x00"))
		requireRecoversWith := func(damaged []byte, damage string, offset int) {
			damagedDisks++
			damagedDisk := disk.Clone()
			damagedDisk.SetFile(name, damaged)
			requireRecovers(t, damagedDisk, 3000, runs.clone(), open, fmt.Sprint(name, damage, offset))
		}
		for offset := 0; offset < len(content); offset++ {
			if offset > end+64 && offset%509 != 0 {
				continue // a sample of the offsets is enough in the zeros reserved at the end
			}
			requireRecoversWith(content[:offset], " truncated at ", offset)
		}
		for offset := 0; offset < end; offset++ {
			if offset > 200 && offset < end-600 && strings.HasSuffix(name, ".log") {
				continue
			}
			flipped := append([]byte(nil), content...)
			flipped[offset] ^= 1 << (offset % 8)
			requireRecoversWith(flipped, " bit flipped at ", offset)
		}
	}
	assert.Greater(t, damagedDisks, 4000, "number of damaged disks tried")
}

// TestStore_RunsNoKeyTwiceThroughACrashAtAnyCall crashes the machine at each file system call of a workload in turn.
// The crashes hit between record and send, between send and outcome, and between answer and record.
func TestStore_RunsNoKeyTwiceThroughACrashAtAnyCall(t *testing.T) {
	runWorkload := func(disk *vfs.MemoryFS) (*runRecorder, []string) {
		runs := newRunRecorder()
		c, err := startController(disk, 1000, runs)
		if err != nil {
			return runs, nil
		}
		open := c.workload(workloadRounds)
		_ = c.store.Close()
		return runs, open
	}
	intactDisk := vfs.NewMemory()
	_, open := runWorkload(intactDisk)
	require.Len(t, open, 3)
	for call := 1; call <= intactDisk.Ops(); call++ {
		for _, loss := range []vfs.CrashLoss{vfs.LoseAll, vfs.LosePart, vfs.LoseNothing} {
			disk := vfs.NewMemory()
			disk.CrashAt = call
			runs, open := runWorkload(disk)
			requireRecovers(t, disk.Crash(loss, uint64(call)), 3000, runs, open,
				fmt.Sprintf("crash at call %d, loss %d", call, loss))
		}
	}
}

// testExecutors answer each attempt at once and count the attempts that were sent.
type testExecutors struct {
	loop *dispatch.Loop
	sent atomic.Int64
}

// testAttempt is an attempt at testExecutors. If it is held, it is sent on Release.
type testAttempt struct {
	executors *testExecutors
	attempt   dispatch.Attempt
	done      atomic.Bool
}

func (e *testExecutors) Send(attempt dispatch.Attempt) (dispatch.RunningAttempt, float64) {
	a := &testAttempt{executors: e, attempt: attempt}
	if !attempt.Held {
		a.Release()
	}
	return a, 0
}

func (a *testAttempt) Release() {
	if a.done.CompareAndSwap(false, true) {
		a.executors.sent.Add(1)
		ended := scheduler.Event{
			Kind: scheduler.AttemptEnded, Request: a.attempt.Request.ID, Attempt: a.attempt.Number,
		}
		go a.executors.loop.Put(dispatch.QueueItem{Event: ended, Body: []byte("rows")})
	}
}

func (a *testAttempt) Cancel() dispatch.CancelResult {
	if a.done.CompareAndSwap(false, true) {
		return dispatch.CancelledUnsent
	}
	return dispatch.AlreadyEnded
}

func (a *testAttempt) SetLevel(int)                       { _ = a }
func (e *testExecutors) HealthCheck(uint32, uint64) bool  { return false }
func (e *testExecutors) ForgetHealthCheck(uint32, uint64) {}
func (e *testExecutors) ConnectionState(uint32) dispatch.ConnectionState {
	return dispatch.ConnectionState{}
}
func (e *testExecutors) SendPeer(peer int, data []byte) {}
func (e *testExecutors) Refresh()                       {}

// startLoop starts an event loop with a scheduler, a Store on a disk, and test executors.
func startLoop(t *testing.T, disk *vfs.MemoryFS) (*dispatch.Loop, *testExecutors, *Store) {
	clock := dispatch.NewClock()
	loop := dispatch.New(clock, scheduler.New(7, testSettings()), testlog.Discard())
	s, _, err := Open(disk, testOptions, ledgerSettings(), clock.Now,
		func(event ledger.Event) { loop.Put(dispatch.QueueItem{Message: &event}) }, testlog.Discard())
	require.NoError(t, err)
	executors := &testExecutors{loop: loop}
	loop.Executors, loop.Peers, loop.EndpointList, loop.HealthCheckTimeoutMS = executors, executors, executors, 250
	loop.Register(dispatch.LedgerExtension(s))
	go loop.Run()
	for _, event := range s.RestoredEvents() {
		loop.Put(dispatch.QueueItem{Event: event})
	}
	loop.Put(dispatch.QueueItem{Event: scheduler.Event{
		Kind: scheduler.EndpointsUpdated, List: scheduler.ListRestored,
		Endpoints: []scheduler.Endpoint{
			{Executor: 1, Zone: dedupZone, Kind: "big"}, {Executor: 2, Zone: dedupZone, Kind: "big"},
		},
	}})
	return loop, executors, s
}

// TestStore_ShedsDurableWorkWhileTheDiskFails checks that keyed and non-idempotent requests are rejected unsent while
// the disk is full or its syncs fail, that idempotent ones succeed, and that all succeed once the disk works again.
func TestStore_ShedsDurableWorkWhileTheDiskFails(t *testing.T) {
	for _, call := range []string{"write", "sync", "rename"} {
		t.Run(call, func(t *testing.T) {
			disk := vfs.NewMemory()
			var failing atomic.Bool
			disk.Fail = func(op vfs.Op) error {
				if failing.Load() && (op.Call == call || call == "rename" && op.Call == "sync") {
					return syscall.ENOSPC
				}
				return nil
			}
			loop, executors, s := startLoop(t, disk)
			client, lastTag := &answerRecorder{answers: map[uint64]string{}}, uint64(0)
			submit := func(class string) string {
				lastTag++
				tag := lastTag
				request := &dispatch.Request{
					ID: fmt.Sprint("s", tag), Class: class, WorkMS: 1, MemoryMB: 1,
					Deadline: float64(time.Now().UnixMilli()) + 5000, Client: client, Tag: tag,
				}
				if class == "mark" {
					request.IdempotencyKey = fmt.Sprint("m", tag)
				}
				loop.Submit(request)
				require.Eventually(t, func() bool { return client.answer(tag) != "" }, answerTimeout, 200*time.Microsecond,
					"%s: no answer to request %s", call, request.ID)
				return client.answer(tag)
			}
			for _, class := range []string{"mark", "once", "look"} {
				require.Equal(t, answerSucceeded, submit(class), "class %s before %s fails", class, call)
			}
			failing.Store(true)
			sent := executors.sent.Load()
			for range 10 {
				require.Equal(t, answerRejected, submit("mark"), "keyed request while %s fails", call)
				require.Equal(t, answerRejected, submit("once"), "non-idempotent request while %s fails", call)
			}
			require.Equal(t, sent, executors.sent.Load(), "no rejected request was sent")
			require.Equal(t, answerSucceeded, submit("look"), "idempotent request while %s fails", call)
			failing.Store(false)
			require.Eventually(t, func() bool { return submit("mark") == answerSucceeded }, answerTimeout, 50*time.Millisecond,
				"keyed request after %s works again", call)
			require.Equal(t, answerSucceeded, submit("once"), "non-idempotent request after %s works again", call)
			loop.Stop()
			require.NoError(t, s.Close())
			reopened, _, err := Open(disk, testOptions, ledgerSettings(), func() float64 { return 0 },
				func(ledger.Event) {}, testlog.Discard())
			require.NoError(t, err)
			query := &ledger.Event{Kind: ledger.OutcomeQueried, IdempotencyKey: "m1"}
			assert.Equal(t, ledger.Succeeded, reopened.Step(1, query)[0].Outcome, "outcome of key m1 after a restart")
			require.NoError(t, reopened.store.Close())
		})
	}
}

// TestStore_SendsAnAttemptOnlyOnceItsRecordIsDurable checks that a keyed attempt waits until its record is synced, and
// that an idempotent one does not wait for the disk.
func TestStore_SendsAnAttemptOnlyOnceItsRecordIsDurable(t *testing.T) {
	disk, syncsMayFinish := vfs.NewMemory(), make(chan struct{})
	var blockSyncs atomic.Bool
	disk.Fail = func(op vfs.Op) error {
		if op.Call == "sync" && blockSyncs.Load() {
			<-syncsMayFinish
		}
		return nil
	}
	loop, executors, s := startLoop(t, disk)
	client := &answerRecorder{answers: map[uint64]string{}}
	deadline := float64(time.Now().UnixMilli()) + 5000
	requireSucceeds := func(tag uint64) {
		t.Helper()
		require.Eventually(t, func() bool { return client.answer(tag) == answerSucceeded }, answerTimeout, time.Millisecond,
			"request with tag %d has not succeeded", tag)
	}
	loop.Submit(&dispatch.Request{ID: "w", Class: "look", WorkMS: 1, Deadline: deadline, Client: client, Tag: 1})
	requireSucceeds(1)
	blockSyncs.Store(true)
	loop.Submit(&dispatch.Request{
		ID: "a", Class: "mark", IdempotencyKey: "m", WorkMS: 1, Deadline: deadline, Client: client, Tag: 2,
	})
	loop.Submit(&dispatch.Request{ID: "b", Class: "look", WorkMS: 1, Deadline: deadline, Client: client, Tag: 3})
	requireSucceeds(3)
	assert.NotEqual(t, answerSucceeded, client.answer(2), "the keyed request succeeded before its record was synced")
	assert.EqualValues(t, 2, executors.sent.Load(), "attempts sent while syncs are blocked")
	blockSyncs.Store(false)
	close(syncsMayFinish)
	require.Eventually(t, func() bool { return client.answer(2) != "" }, answerTimeout, time.Millisecond,
		"no answer to the keyed request after its record was synced")
	loop.Stop()
	require.NoError(t, s.Close())
}

// TestReadClocks_ReadsTheMachinesClocks checks that the wall clock is current, that uptime and boot ID are read both or
// not at all, and that a Store opens with these clocks.
func TestReadClocks_ReadsTheMachinesClocks(t *testing.T) {
	clocks := ReadClocks()
	assert.InDelta(t, float64(time.Now().UnixMilli()), clocks.WallMS, 5000)
	assert.Equal(t, clocks.UptimeMS > 0, clocks.BootID != "", "uptime %g ms, boot ID %q", clocks.UptimeMS, clocks.BootID)
	_, _, err := Open(vfs.NewMemory(), store.Options{}, ledgerSettings(), func() float64 { return 0 },
		func(ledger.Event) {}, testlog.Discard())
	assert.NoError(t, err)
}
