package benchmark

import (
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/chaostest"
	"liftshift/internal/clusternet"
	"liftshift/internal/consensus"
	"liftshift/internal/handoff"
	"liftshift/internal/membership"
	"liftshift/internal/raftnode"
	"liftshift/internal/testservers"
)

const (
	defaultOrphans      = 20_000
	orphanLimit         = 90 * time.Second // the hard limit of orphans: nothing is lost for want of time
	orphanBatch         = 100
	lookupClients       = 10
	lookupPause         = 5 * time.Millisecond
	undisturbedTime     = 12 * time.Second
	executorCores       = 8
	executorMaxInFlight = 4 * executorCores // as many as the settings' highest level allows of one thread's work
)

// departingOwner is a member in this program that has searches kept by the others, as a controller does, and is then cut off.
type departingOwner struct {
	transport     *clusternet.Transport
	node          *raftnode.Node
	self          handoff.Member
	configuration atomic.Pointer[raftnode.Configuration]
}

func joinOwner(f *chaostest.Cluster, k int) (*departingOwner, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &departingOwner{self: handoff.Member{Name: fmt.Sprint("c", k), Incarnation: uint64(time.Now().UnixMilli())}}
	l.transport = clusternet.New(f.Relay.ListenAddress(k), log)
	seen, agreed := membership.DefaultSettings(), consensus.DefaultSettings()
	seen.ProbeMS, seen.AnswerMS, seen.SuspectMS = 200, 80, 800
	agreed.LeaseMS, agreed.DeclareLostMS = 2000, 500
	view := membership.New(l.transport.Now(), "rehearsal", membership.Member{Name: l.self.Name, Incarnation: l.self.Incarnation, Address: f.Relay.AdvertiseAddress(k), Zone: "z0", Version: 1},
		[]string{f.Relay.AdvertiseAddress(0), f.Relay.AdvertiseAddress(1)}, seen, 5)
	var err error
	if l.node, err = raftnode.New(l.transport, view, nil, []string{"c0", "c1", "c2"}, agreed, 5, log); err != nil {
		return nil, err
	}
	l.node.OnConfiguration = func(r raftnode.Configuration) { l.configuration.Store(&r) }
	if err := l.transport.Start(view, l.node); err != nil {
		return nil, err
	}
	l.transport.SetFlags(membership.Ready)
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if r := l.configuration.Load(); r != nil && l.node.LeaseHeld() && len(r.Table.Partitions) > 0 {
			return l, nil
		}
		if time.Since(began) > 20*time.Second {
			return nil, fmt.Errorf("%s is not let in", l.self.Name)
		}
	}
}

// registerRequests has so many labelled searches kept by all that sit, none of them sent.
func (l *departingOwner) registerRequests(f *chaostest.Cluster, n int) error {
	r := l.configuration.Load()
	var wait sync.WaitGroup
	var failed atomic.Pointer[error]
	for to := range len(f.Controllers) - 1 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for from := 0; from < n; from += orphanBatch {
				b := &handoff.Batch{From: l.self, Version: r.Table.Version}
				for k := from; k < min(n, from+orphanBatch); k++ {
					w := handoff.RequestData{ID: fmt.Sprintf("orphan-%d", k), IdempotencyKey: fmt.Sprintf("o%d", k), Class: "mark", TableGroup: uint64(k % 97), MemoryMB: 1, WorkMS: 5, Body: []byte(`"c2VsZWN0IDE="`)}
					b.Items = append(b.Items, handoff.Item{Op: handoff.OpRegister, Key: handoff.KeyOf(w.IdempotencyKey, ""), Sequence: 1, From: l.self,
						Copy: &handoff.Copy{RequestData: w, Owner: l.self, Sequence: 1, Deadline: l.transport.Now() + float64(orphanLimit.Milliseconds()), Complete: true}})
				}
				data, err := l.transport.CallSync(f.Relay.AdvertiseAddress(to), clusternet.HandoffMethod, b.Append(nil, l.transport.Now()))
				var back *handoff.Batch
				if err == nil {
					back, err = handoff.ReadBatch(data, 0)
				}
				if err == nil && (back.StalePlacement || len(back.Items) != len(b.Items) || back.Items[0].Op != handoff.OpStored) {
					err = fmt.Errorf("c%d does not keep them: %+v", to, back)
				}
				if err != nil {
					failed.Store(&err)
					return
				}
			}
		}()
	}
	wait.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

// startLookups has clients look things up at all controllers, and gives a call that ends them and tells how long they took, with when each began.
func startLookups(f *chaostest.Cluster, controllers int) func() (at []time.Time, ms []float64, failed int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	var at []time.Time
	var ms []float64
	failed, stop := 0, make(chan struct{})
	for w := range lookupClients {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := testservers.Dial(f.Controllers[w%controllers].ClientAddress, time.Second)
			for k := 0; err == nil; k++ {
				select {
				case <-stop:
					c.Close()
					return
				case <-time.After(lookupPause):
				}
				began := time.Now()
				var a testservers.Reply
				a, err = c.Submit("look", fmt.Sprintf("own-%d-%d", w, k), "", 5*time.Second)
				mu.Lock()
				if at, ms = append(at, began), append(ms, time.Since(began).Seconds()*1000); err != nil || a.Code != 0 {
					failed++
				}
				mu.Unlock()
			}
		}()
	}
	return func() ([]time.Time, []float64, int) {
		close(stop)
		all.Wait()
		return at, ms, failed
	}
}

// OrphanedRequests measures what thousands of searches of a lost controller do to those of its heirs' own clients, and to the executors. ORPHANS
// sets how many.
func OrphanedRequests(dir, programs string) ([]Figure, error) {
	figures, add := takeoverFigures()
	n := envNumber("ORPHANS", defaultOrphans)
	p := handoffConfig(dir, filepath.Join(programs, "liftshift"), "orphans", -1, 71)
	p.Controllers, p.WorkByClass, p.Cores, p.MaxInFlight = 6, map[string]time.Duration{"mark": 10 * time.Millisecond}, executorCores, executorMaxInFlight
	f, err := chaostest.New(p)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	heirs := p.Controllers - 1
	for k := range heirs {
		if err := f.Start(k); err != nil {
			return nil, err
		}
	}
	if err := f.WaitUntilHandoffReady(30 * time.Second); err != nil {
		return nil, err
	}
	said := f.Relay.DatagramBytes.Load() + f.Relay.StreamBytes.Load()
	if _, _, err := runLoad(f, "mark", "bytes"); err != nil {
		return nil, err
	}
	add("bytes_a_labelled_search", float64(f.Relay.DatagramBytes.Load()+f.Relay.StreamBytes.Load()-said)/loadRequests, "B over all ways", ">=", 0)
	l, err := joinOwner(f, heirs)
	if err != nil {
		return nil, err
	}
	defer l.transport.Stop()
	if err := l.registerRequests(f, n); err != nil {
		return nil, err
	}
	ended := startLookups(f, heirs)
	time.Sleep(undisturbedTime)
	for _, e := range f.Executors {
		e.TakePeakInFlight()
		e.RejectedFull.Store(0)
	}
	cut := time.Now()
	f.Relay.SetLinks(func(a, b int) chaostest.Link { return chaostest.Link{Cut: a == heirs || b == heirs} })
	first, last, ran := waitForAdoption(f, n, cut)
	at, ms, failed := ended()
	var before, during []float64
	for k := range at {
		switch {
		case at[k].Before(cut):
			before = append(before, ms[k])
		case !at[k].Before(first) && at[k].Before(last):
			during = append(during, ms[k])
		}
	}
	most, full, times := 0, 0, map[string]int{}
	for _, e := range f.Executors {
		most, full = max(most, e.TakePeakInFlight()), full+int(e.RejectedFull.Load())
	}
	for _, r := range f.RunLog.Runs() {
		if strings.HasPrefix(r.IdempotencyKey, "o") {
			times[r.IdempotencyKey]++
		}
	}
	twice := 0
	for _, n := range times {
		twice += n - 1
	}
	fmt.Printf("# own searches: %d before, median %.1f ms, p99 %.1f ms; %d during, median %.1f ms, p99 %.1f ms; %d not handled\n", len(before),
		quantile(before, 0.5), quantile(before, 0.99), len(during), quantile(during, 0.5), quantile(during, 0.99), failed)
	add("orphans_run", 100*float64(ran)/float64(n), fmt.Sprintf("%% of %d", n), ">=", 99)
	add("orphans_run_twice", float64(twice), "", "==", 0)
	add("orphans_a_second", float64(ran)/last.Sub(first).Seconds(), "1/s", ">=", 0)
	add("own_late_p99_during", quantile(during, 0.99)/quantile(before, 0.99), "x before", "<=", 1.2)
	add("own_not_handled", float64(failed), "", "==", 0)
	add("executor_most_at_once", float64(most), fmt.Sprintf("of %d", executorMaxInFlight), "<=", executorMaxInFlight)
	add("executor_full_answers", float64(full), "", "==", 0)
	return *figures, nil
}

// waitForAdoption waits until all orphans have run, or nothing has for some seconds, and tells when it began and ended.
func waitForAdoption(f *chaostest.Cluster, n int, cut time.Time) (first, last time.Time, ran int) {
	for idle := time.Now(); time.Since(cut) < orphanLimit && time.Since(idle) < 20*time.Second && ran < n; time.Sleep(200 * time.Millisecond) {
		seen := map[string]bool{}
		for _, r := range f.RunLog.Runs() {
			if !strings.HasPrefix(r.IdempotencyKey, "o") {
				continue
			}
			if seen[r.IdempotencyKey] = true; first.IsZero() {
				first = r.At
			}
			last = r.At
		}
		if len(seen) > ran {
			ran, idle = len(seen), time.Now()
		}
	}
	return first, last, ran
}

// LeaseControl plays the fault in which a lease counts most, with a program that does not look at its lease, and with one that does: an owner
// stands still while its shots wait for its own disk, which takes a quarter of a second, and goes on when its heirs have sent them. The
// first must run marks twice, or the rounds could not see it.
func LeaseControl(dir, _ string) ([]Figure, error) {
	figures, add := takeoverFigures()
	usual := chaostest.TakeoverFaults
	defer func() { chaostest.TakeoverFaults = usual }()
	chaostest.TakeoverFaults = []string{"asleep"}
	n := envNumber("CONTROL_ROUNDS", 12)
	for _, tags := range []string{"faults lawless", "faults"} {
		programs := filepath.Join(dir, strings.ReplaceAll(tags, " ", "-"))
		if out, err := exec.Command("go", "build", "-tags", tags, "-o", programs+"/", "liftshift/cmd/liftshift", "liftshift/cmd/liftshift-full").CombinedOutput(); err != nil {
			return nil, fmt.Errorf("%w: %s", err, out)
		}
		all, err := runTakeovers(programs, filepath.Join(programs, "liftshift"), n, "slow 250ms")
		if err != nil {
			return nil, err
		}
		twice := 0
		for _, r := range all {
			twice += len(r.RanTwice)
		}
		if unit := fmt.Sprintf("of %d rounds", len(all)); tags == "faults" {
			add("real_ran_twice_asleep_with_a_slow_disk", float64(twice), unit, "==", 0)
		} else {
			add("real_ran_twice_without_leases", float64(twice), unit, ">=", 1)
		}
	}
	return *figures, nil
}
