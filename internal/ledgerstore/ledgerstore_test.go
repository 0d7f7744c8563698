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
	"liftshift/internal/vfs"
	"liftshift/scheduler"
)

const rounds = 12

// requireRecovers checks what must hold after any damage: no key runs a second time, and what was open has a final outcome.
func requireRecovers(t *testing.T, disk *vfs.MemoryFS, now float64, e *testEngines, open []string, what string) {
	c, err := startController(disk, now, e)
	require.NoError(t, err, what)
	for _, id := range open {
		got := c.Step(c.now, &ledger.Event{Kind: ledger.OutcomeQueried, ID: id})[0].Outcome
		require.NotContains(t, []ledger.Outcome{ledger.Unknown, ledger.Open, ledger.Rejected}, got, what)
	}
	c.retries(rounds)
	require.Empty(t, e.ranTwice(), what)
	require.NoError(t, c.store.Close(), what)
}

// TestStore_RunsNoKeyTwiceWhateverIsDamaged cuts the files of a workload at every byte and flips each byte of the last records, of the headers
// and of the snapshot; then every client retries. Engines count runs and do not all drop repeats.
func TestStore_RunsNoKeyTwiceWhateverIsDamaged(t *testing.T) {
	disk, e := vfs.NewMemory(), &testEngines{ran: map[string][]string{}}
	c, err := startController(disk, 1000, e)
	require.NoError(t, err)
	c.workload(rounds / 2)
	require.NoError(t, c.store.Snapshot())
	open := c.workload(rounds)
	require.Len(t, open, 1, "the first half is on record")
	open = []string{"a1", "a5", "a9"}
	require.NoError(t, c.store.Close())
	names, _ := disk.List()
	tried := 0
	for _, name := range names {
		bytes := disk.Bytes(name)
		end := len(strings.TrimRight(string(bytes), "\x00"))
		damage := func(b []byte, what string, at int) {
			tried++
			d := disk.Clone()
			d.SetFile(name, b)
			requireRecovers(t, d, 3000, e.copy(), open, fmt.Sprint(name, what, at))
		}
		for at := 0; at < len(bytes); at++ {
			if at > end+64 && at%509 != 0 {
				continue // zeros, all alike
			}
			damage(bytes[:at], " cut at ", at)
		}
		for at := 0; at < end; at++ {
			if at > 200 && at < end-600 && strings.HasSuffix(name, ".log") {
				continue
			}
			b := append([]byte(nil), bytes...)
			b[at] ^= 1 << (at % 8)
			damage(b, " flipped at ", at)
		}
	}
	assert.Greater(t, tried, 4000)
}

// TestStore_RunsNoKeyTwiceThroughACrashAtAnyCall crashes the machine at each call on the file system in turn: between record and send, send and
// report, answer and record.
func TestStore_RunsNoKeyTwiceThroughACrashAtAnyCall(t *testing.T) {
	run := func(disk *vfs.MemoryFS) (*testEngines, []string) {
		e := &testEngines{ran: map[string][]string{}}
		c, err := startController(disk, 1000, e)
		if err != nil {
			return e, nil
		}
		open := c.workload(rounds)
		_ = c.store.Close()
		return e, open
	}
	whole := vfs.NewMemory()
	_, open := run(whole)
	require.Len(t, open, 3)
	for at := 1; at <= whole.Ops(); at++ {
		for _, loss := range []vfs.CrashLoss{vfs.LoseAll, vfs.LosePart, vfs.LoseNothing} {
			disk := vfs.NewMemory()
			disk.CrashAt = at
			e, open := run(disk)
			requireRecovers(t, disk.Crash(loss, uint64(at)), 3000, e, open, fmt.Sprintf("crash at call %d, loss %d", at, loss))
		}
	}
}

// testExecutors answer at once, and count.
type testExecutors struct {
	loop *dispatch.Loop
	sent atomic.Int64
}

type testAttempt struct {
	executors *testExecutors
	attempt   dispatch.Attempt
	done      atomic.Bool
}

func (f *testExecutors) Send(s dispatch.Attempt) (dispatch.RunningAttempt, float64) {
	r := &testAttempt{executors: f, attempt: s}
	if !s.Held {
		r.Release()
	}
	return r, 0
}

func (r *testAttempt) Release() {
	if r.done.CompareAndSwap(false, true) {
		r.executors.sent.Add(1)
		go r.executors.loop.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.AttemptEnded, Request: r.attempt.Request.ID, Attempt: r.attempt.Number}, Body: []byte("rows")})
	}
}

func (r *testAttempt) Cancel() dispatch.CancelResult {
	if r.done.CompareAndSwap(false, true) {
		return dispatch.CancelledUnsent
	}
	return dispatch.AlreadyEnded
}
func (r *testAttempt) SetLevel(int)                       { _ = r }
func (f *testExecutors) HealthCheck(uint32, uint64) bool  { return false }
func (f *testExecutors) ForgetHealthCheck(uint32, uint64) {}
func (f *testExecutors) ConnectionState(uint32) dispatch.ConnectionState {
	return dispatch.ConnectionState{}
}
func (f *testExecutors) SendPeer(peer int, data []byte) {}
func (f *testExecutors) Refresh()                       {}

// startLoop runs an event loop with a scheduler, a Store on a disk, and executors that answer.
func startLoop(t *testing.T, disk *vfs.MemoryFS) (*dispatch.Loop, *testExecutors, *Store) {
	clock := dispatch.NewClock()
	d := dispatch.New(clock, scheduler.New(7, testSettings()), quietLogger())
	k, _, err := Open(disk, testOptions, ledgerSettings(), clock.Now, func(ev ledger.Event) { d.Put(dispatch.QueueItem{Message: &ev}) }, quietLogger())
	require.NoError(t, err)
	f := &testExecutors{loop: d}
	d.Executors, d.Peers, d.EndpointList, d.HealthCheckTimeoutMS = f, f, f, 250
	d.Register(dispatch.LedgerExtension(k))
	go d.Run()
	for _, ev := range k.RestoredEvents() {
		d.Put(dispatch.QueueItem{Event: ev})
	}
	d.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListRestored,
		Endpoints: []scheduler.Endpoint{{Executor: 1, Zone: "here", Kind: "big"}, {Executor: 2, Zone: "here", Kind: "big"}}}})
	return d, f, k
}

// TestStore_ShedsDurableWorkWhileTheDiskFails has a full disk, or one whose syncs fail, under load: keyed and non-idempotent requests are rejected
// and none of them has run; idempotent ones go on; all is as before once the disk is well.
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
			d, f, k := startLoop(t, disk)
			b, tag := &answerRecorder{answers: map[uint64]string{}}, uint64(0)
			submit := func(class string) string {
				tag++
				at := tag
				s := &dispatch.Request{ID: fmt.Sprint("s", at), Class: class, WorkMS: 1, MemoryMB: 1, Deadline: float64(time.Now().UnixMilli()) + 5000,
					Client: b, Tag: at}
				if class == "mark" {
					s.IdempotencyKey = fmt.Sprint("m", at)
				}
				d.Submit(s)
				require.Eventually(t, func() bool { return b.get(at) != "" }, 5*time.Second, 200*time.Microsecond, call)
				return b.get(at)
			}
			for _, class := range []string{"mark", "once", "look"} {
				require.Equal(t, "handled", submit(class), call)
			}
			failing.Store(true)
			ran := f.sent.Load()
			for range 10 {
				require.Equal(t, "denied", submit("mark"), call)
				require.Equal(t, "denied", submit("once"), call)
			}
			require.Equal(t, ran, f.sent.Load(), "none of them was sent")
			require.Equal(t, "handled", submit("look"), call)
			failing.Store(false)
			require.Eventually(t, func() bool { return submit("mark") == "handled" }, 5*time.Second, 50*time.Millisecond, call)
			require.Equal(t, "handled", submit("once"), call)
			d.Stop()
			require.NoError(t, k.Close())
			again, _, err := Open(disk, testOptions, ledgerSettings(), func() float64 { return 0 }, func(ledger.Event) {}, quietLogger())
			require.NoError(t, err)
			assert.Equal(t, ledger.Succeeded, again.Step(1, &ledger.Event{Kind: ledger.OutcomeQueried, IdempotencyKey: "m1"})[0].Outcome)
			require.NoError(t, again.store.Close())
		})
	}
}

// TestStore_SendsAnAttemptOnlyOnceItsRecordIsDurable: a keyed attempt waits for its record; an idempotent one does not wait for the disk.
func TestStore_SendsAnAttemptOnlyOnceItsRecordIsDurable(t *testing.T) {
	disk, gate := vfs.NewMemory(), make(chan struct{})
	var closed atomic.Bool
	disk.Fail = func(op vfs.Op) error {
		if op.Call == "sync" && closed.Load() {
			<-gate
		}
		return nil
	}
	d, f, k := startLoop(t, disk)
	b := &answerRecorder{answers: map[uint64]string{}}
	until := float64(time.Now().UnixMilli()) + 5000
	d.Submit(&dispatch.Request{ID: "w", Class: "look", WorkMS: 1, Deadline: until, Client: b, Tag: 1})
	require.Eventually(t, func() bool { return b.get(1) == "handled" }, 5*time.Second, time.Millisecond)
	closed.Store(true)
	d.Submit(&dispatch.Request{ID: "a", Class: "mark", IdempotencyKey: "m", WorkMS: 1, Deadline: until, Client: b, Tag: 2})
	d.Submit(&dispatch.Request{ID: "b", Class: "look", WorkMS: 1, Deadline: until, Client: b, Tag: 3})
	require.Eventually(t, func() bool { return b.get(3) == "handled" }, 5*time.Second, time.Millisecond)
	assert.NotEqual(t, "handled", b.get(2))
	assert.EqualValues(t, 2, f.sent.Load())
	closed.Store(false)
	close(gate)
	require.Eventually(t, func() bool { return b.get(2) != "" }, 5*time.Second, time.Millisecond)
	d.Stop()
	require.NoError(t, k.Close())
}

func TestReadClocks_ReadsTheMachinesClocks(t *testing.T) {
	m := ReadClocks()
	assert.InDelta(t, float64(time.Now().UnixMilli()), m.WallMS, 5000)
	assert.Equal(t, m.UptimeMS > 0, m.BootID != "")
	_, _, err := Open(vfs.NewMemory(), store.Options{}, ledgerSettings(), func() float64 { return 0 }, func(ledger.Event) {}, quietLogger())
	assert.NoError(t, err)
}
