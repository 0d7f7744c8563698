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

// after is what must hold after any damage: no mark runs a second time, and what was open has a final outcome.
func after(t *testing.T, disk *vfs.MemoryFS, now float64, e *engines, open []string, what string) {
	c, err := begin(disk, now, e)
	require.NoError(t, err, what)
	for _, id := range open {
		got := c.Step(c.now, &ledger.Event{Kind: ledger.OutcomeQueried, ID: id})[0].Outcome
		require.NotContains(t, []ledger.Outcome{ledger.Unknown, ledger.Open, ledger.Rejected}, got, what)
	}
	c.retries(rounds)
	require.Empty(t, e.twice(), what)
	require.NoError(t, c.store.Close(), what)
}

// The files of a workload are cut at every byte offset, and each byte of the last records, of the heads and of the snapshot
// is flipped; then every client comes again. Engines count runs and do not all drop repeats.
func TestNoMarkRunsTwiceHoweverTheFilesAreHurt(t *testing.T) {
	disk, e := vfs.NewMemory(), &engines{ran: map[string][]string{}}
	c, err := begin(disk, 1000, e)
	require.NoError(t, err)
	c.workload(rounds / 2)
	require.NoError(t, c.store.Snapshot())
	open := c.workload(rounds)
	require.Len(t, open, 1, "the first half is known and told")
	open = []string{"a1", "a5", "a9"}
	require.NoError(t, c.store.Close())
	names, _ := disk.List()
	tried := 0
	for _, name := range names {
		bytes := disk.Bytes(name)
		end := len(strings.TrimRight(string(bytes), "\x00"))
		hurt := func(b []byte, what string, at int) {
			tried++
			d := disk.Clone()
			d.Set(name, b)
			after(t, d, 3000, e.copy(), open, fmt.Sprint(name, what, at))
		}
		for at := 0; at < len(bytes); at++ {
			if at > end+64 && at%509 != 0 {
				continue // zeros, all alike
			}
			hurt(bytes[:at], " cut at ", at)
		}
		for at := 0; at < end; at++ {
			if at > 200 && at < end-600 && strings.HasSuffix(name, ".log") {
				continue
			}
			b := append([]byte(nil), bytes...)
			b[at] ^= 1 << (at % 8)
			hurt(b, " flipped at ", at)
		}
	}
	assert.Greater(t, tried, 4000)
}

// The machine goes down at each call on the file system in turn: between record and send, send and note, answer and record.
func TestNoMarkRunsTwiceThroughACrashAtAnyCall(t *testing.T) {
	run := func(disk *vfs.MemoryFS) (*engines, []string) {
		e := &engines{ran: map[string][]string{}}
		c, err := begin(disk, 1000, e)
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
			after(t, disk.Crash(loss, uint64(at)), 3000, e, open, fmt.Sprintf("crash at call %d, loss %d", at, loss))
		}
	}
}

// fleet is executors that answer at once, and count.
type fleet struct {
	desk *dispatch.Loop
	sent atomic.Int64
}

type flight struct {
	f    *fleet
	shot dispatch.Attempt
	gone atomic.Bool
}

func (f *fleet) Send(s dispatch.Attempt) (dispatch.RunningAttempt, float64) {
	r := &flight{f: f, shot: s}
	if !s.Held {
		r.Release()
	}
	return r, 0
}

func (r *flight) Release() {
	if r.gone.CompareAndSwap(false, true) {
		r.f.sent.Add(1)
		go r.f.desk.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.AttemptEnded, Request: r.shot.Request.ID, Attempt: r.shot.Number}, Body: []byte("rows")})
	}
}

func (r *flight) Cancel() dispatch.CancelResult {
	if r.gone.CompareAndSwap(false, true) {
		return dispatch.CancelledUnsent
	}
	return dispatch.AlreadyEnded
}
func (r *flight) SetLevel(int)                                   { _ = r }
func (f *fleet) HealthCheck(uint32, uint64) bool                 { return false }
func (f *fleet) ForgetHealthCheck(uint32, uint64)                {}
func (f *fleet) ConnectionState(uint32) dispatch.ConnectionState { return dispatch.ConnectionState{} }
func (f *fleet) SendPeer(peer int, data []byte)                  {}
func (f *fleet) Refresh()                                        {}

// desks is a desk with the decision module, a keeper on a disk, and executors that answer.
func desks(t *testing.T, disk *vfs.MemoryFS) (*dispatch.Loop, *fleet, *Store) {
	clock := dispatch.NewClock()
	d := dispatch.New(clock, scheduler.New(7, testSettings()), silent())
	k, _, err := Open(disk, bounds, ledgerSettings(), clock.Now, func(ev ledger.Event) { d.Put(dispatch.QueueItem{Message: &ev}) }, silent())
	require.NoError(t, err)
	f := &fleet{desk: d}
	d.Executors, d.Peers, d.List, d.HealthCheckTimeoutMS = f, f, f, 250
	d.Register(dispatch.LedgerExtension(k))
	go d.Run()
	for _, ev := range k.RestoredEvents() {
		d.Put(dispatch.QueueItem{Event: ev})
	}
	d.Put(dispatch.QueueItem{Event: scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListRestored,
		Endpoints: []scheduler.Endpoint{{Executor: 1, Zone: "here", Kind: "big"}, {Executor: 2, Zone: "here", Kind: "big"}}}})
	return d, f, k
}

// A full disk, or one whose syncs fail, under load: labelled and irreversible work is denied, and none of it has run;
// redoable work goes on; all is as before once the disk is well.
func TestWorkGoesOnWhileTheDiskFails(t *testing.T) {
	for _, call := range []string{"write", "sync", "rename"} {
		disk := vfs.NewMemory()
		var sickly atomic.Bool
		disk.Fail = func(op vfs.Op) error {
			if sickly.Load() && (op.What == call || call == "rename" && op.What == "sync") {
				return syscall.ENOSPC
			}
			return nil
		}
		d, f, k := desks(t, disk)
		b, tag := &box{answers: map[uint64]string{}}, uint64(0)
		ask := func(offering string) string {
			tag++
			at := tag
			s := &dispatch.Request{ID: fmt.Sprint("s", at), Class: offering, WorkMS: 1, MemoryMB: 1, Deadline: float64(time.Now().UnixMilli()) + 5000,
				Client: b, Tag: at}
			if offering == "mark" {
				s.IdempotencyKey = fmt.Sprint("m", at)
			}
			d.Submit(s)
			require.Eventually(t, func() bool { return b.get(at) != "" }, 5*time.Second, 200*time.Microsecond, call)
			return b.get(at)
		}
		for _, offering := range []string{"mark", "once", "look"} {
			require.Equal(t, "handled", ask(offering), call)
		}
		sickly.Store(true)
		ran := f.sent.Load()
		for range 10 {
			require.Equal(t, "denied", ask("mark"), call)
			require.Equal(t, "denied", ask("once"), call)
		}
		require.Equal(t, ran, f.sent.Load(), "none of them left")
		require.Equal(t, "handled", ask("look"), call)
		sickly.Store(false)
		require.Eventually(t, func() bool { return ask("mark") == "handled" }, 5*time.Second, 50*time.Millisecond, call)
		require.Equal(t, "handled", ask("once"), call)
		d.Stop()
		require.NoError(t, k.Close())
		again, _, err := Open(disk, bounds, ledgerSettings(), func() float64 { return 0 }, func(ledger.Event) {}, silent())
		require.NoError(t, err)
		assert.Equal(t, ledger.Succeeded, again.Step(1, &ledger.Event{Kind: ledger.OutcomeQueried, IdempotencyKey: "m1"})[0].Outcome)
		require.NoError(t, again.store.Close())
	}
}

// A labelled shot leaves once its record lasts, not before; a redoable one does not wait for the disk.
func TestAShotLeavesOnlyOnceItsRecordLasts(t *testing.T) {
	disk, gate := vfs.NewMemory(), make(chan struct{})
	var closed atomic.Bool
	disk.Fail = func(op vfs.Op) error {
		if op.What == "sync" && closed.Load() {
			<-gate
		}
		return nil
	}
	d, f, k := desks(t, disk)
	b := &box{answers: map[uint64]string{}}
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

func TestTheMomentIsReadWhereThereIsOne(t *testing.T) {
	m := ReadClocks()
	assert.InDelta(t, float64(time.Now().UnixMilli()), m.WallMS, 5000)
	assert.Equal(t, m.UpMS > 0, m.Boot != "")
	_, _, err := Open(vfs.NewMemory(), store.Options{}, ledgerSettings(), func() float64 { return 0 }, func(ledger.Event) {}, silent())
	assert.NoError(t, err)
}
