package benchmark

import (
	"fmt"
	"io"
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
	orphanDeadline      = 90 * time.Second // hard deadline of orphans; long enough for all to run
	orphanBatch         = 100
	orphanKeyPrefix     = "o"
	adoptionIdleTimeout = 20 * time.Second // without a new run
	lookupClients       = 10
	lookupPause         = 5 * time.Millisecond
	undisturbedTime     = 12 * time.Second // lookups before the owner is lost
	executorCores       = 8
	executorMaxInFlight = 4 * executorCores // past which the executors reject requests
	joinTimeout         = 20 * time.Second
)

// departingOwner is a cluster member in this process. It registers requests with the other members, as a controller
// does, and is then cut off.
type departingOwner struct {
	transport     *clusternet.Transport
	node          *raftnode.Node
	self          handoff.Member
	configuration atomic.Pointer[raftnode.Configuration]
}

// joinOwner starts a member in place of a controller of a cluster and waits until it has a lease.
func joinOwner(cluster *chaostest.Cluster, controller int) (*departingOwner, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	owner := &departingOwner{
		self: handoff.Member{Name: fmt.Sprint("c", controller), Incarnation: uint64(time.Now().UnixMilli())},
	}
	owner.transport = clusternet.New(cluster.Relay.ListenAddress(controller), log)
	// These match fastClusterSettings.
	membershipSettings, consensusSettings := membership.DefaultSettings(), consensus.DefaultSettings()
	membershipSettings.ProbeMS, membershipSettings.AnswerMS, membershipSettings.SuspectMS = 200, 80, 800
	consensusSettings.LeaseMS, consensusSettings.DeclareLostMS = 2000, 500
	self := membership.Member{
		Name:        owner.self.Name,
		Incarnation: owner.self.Incarnation,
		Address:     cluster.Relay.AdvertiseAddress(controller),
		Zone:        "z0",
		Version:     1,
	}
	seeds := []string{cluster.Relay.AdvertiseAddress(0), cluster.Relay.AdvertiseAddress(1)}
	view := membership.New(owner.transport.Now(), "rehearsal", self, seeds, membershipSettings, 5)
	founders := []string{"c0", "c1", "c2"}
	var err error
	if owner.node, err = raftnode.New(owner.transport, view, nil, founders, consensusSettings, 5, log); err != nil {
		return nil, err
	}
	owner.node.OnConfiguration = func(c raftnode.Configuration) { owner.configuration.Store(&c) }
	if err := owner.transport.Start(view, owner.node); err != nil {
		return nil, err
	}
	owner.transport.SetFlags(membership.Ready)
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		c := owner.configuration.Load()
		if c != nil && owner.node.LeaseHeld() && len(c.Table.Partitions) > 0 {
			return owner, nil
		}
		if time.Since(start) > joinTimeout {
			return nil, fmt.Errorf("member %s was not admitted within %v", owner.self.Name, joinTimeout)
		}
	}
}

// registerRequests registers n keyed requests with all other controllers. The owner sends none of them to an executor.
func (o *departingOwner) registerRequests(cluster *chaostest.Cluster, n int) error {
	version := o.configuration.Load().Table.Version
	var replicas sync.WaitGroup
	var failed atomic.Pointer[error]
	for replica := range len(cluster.Controllers) - 1 {
		replicas.Add(1)
		go func() {
			defer replicas.Done()
			for from := 0; from < n; from += orphanBatch {
				batch := &handoff.Batch{From: o.self, Version: version}
				for k := from; k < min(n, from+orphanBatch); k++ {
					batch.Items = append(batch.Items, o.orphanItem(k))
				}
				if err := o.sendBatch(cluster, replica, batch); err != nil {
					failed.Store(&err)
					return
				}
			}
		}()
	}
	replicas.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

// orphanItem returns the item that registers a numbered request.
func (o *departingOwner) orphanItem(k int) handoff.Item {
	data := handoff.RequestData{
		ID:             fmt.Sprintf("orphan-%d", k),
		IdempotencyKey: fmt.Sprintf(orphanKeyPrefix+"%d", k),
		Class:          "mark",
		TableGroup:     uint64(k % 97),
		MemoryMB:       1,
		WorkMS:         5,
		Body:           []byte(`"c2VsZWN0IDE="`),
	}
	orphan := &handoff.Copy{
		RequestData: data,
		Owner:       o.self,
		Sequence:    1,
		Deadline:    o.transport.Now() + float64(orphanDeadline.Milliseconds()),
		Complete:    true,
	}
	key := handoff.KeyOf(data.IdempotencyKey, "")
	return handoff.Item{Op: handoff.OpRegister, Key: key, Sequence: 1, From: o.self, Copy: orphan}
}

// sendBatch sends a batch to a replica and checks that the replica stored all its items.
func (o *departingOwner) sendBatch(cluster *chaostest.Cluster, replica int, batch *handoff.Batch) error {
	address := cluster.Relay.AdvertiseAddress(replica)
	data, err := o.transport.CallSync(address, clusternet.HandoffMethod, batch.Append(nil, o.transport.Now()))
	if err != nil {
		return err
	}
	reply, err := handoff.ReadBatch(data, 0)
	if err != nil {
		return err
	}
	if reply.StalePlacement || len(reply.Items) != len(batch.Items) || reply.Items[0].Op != handoff.OpStored {
		return fmt.Errorf("controller c%d did not store %d copies: %+v", replica, len(batch.Items), reply)
	}
	return nil
}

// lookupLoad is a number of clients that send lookups to controllers, and the latencies that they observe.
type lookupLoad struct {
	stopped chan struct{}
	clients sync.WaitGroup

	mu        sync.Mutex
	startedAt []time.Time // by lookup
	latencyMS []float64   // by lookup
	failed    int
}

// startLookups starts clients, spread over the first controllers of a cluster.
func startLookups(cluster *chaostest.Cluster, controllers int) *lookupLoad {
	load := &lookupLoad{stopped: make(chan struct{})}
	for clientNumber := range lookupClients {
		load.clients.Add(1)
		go load.runClient(cluster.Controllers[clientNumber%controllers].ClientAddress, clientNumber)
	}
	return load
}

func (l *lookupLoad) runClient(address string, clientNumber int) {
	defer l.clients.Done()
	client, err := testservers.Dial(address, time.Second)
	for k := 0; err == nil; k++ {
		select {
		case <-l.stopped:
			client.Close()
			return
		case <-time.After(lookupPause):
		}
		start := time.Now()
		var reply testservers.Reply
		reply, err = client.Submit("look", fmt.Sprintf("own-%d-%d", clientNumber, k), "", 5*time.Second)
		l.mu.Lock()
		l.startedAt = append(l.startedAt, start)
		l.latencyMS = append(l.latencyMS, time.Since(start).Seconds()*1000)
		if err != nil || reply.Code != 0 {
			l.failed++
		}
		l.mu.Unlock()
	}
}

// stop ends the clients and waits for them.
func (l *lookupLoad) stop() {
	close(l.stopped)
	l.clients.Wait()
}

// latencies returns the latencies of the lookups before a controller was lost, and of those during the adoption.
func (l *lookupLoad) latencies(lostAt time.Time, adoption adoptionResult) (before, during []float64) {
	for k := range l.startedAt {
		switch {
		case l.startedAt[k].Before(lostAt):
			before = append(before, l.latencyMS[k])
		case !l.startedAt[k].Before(adoption.first) && l.startedAt[k].Before(adoption.last):
			during = append(during, l.latencyMS[k])
		}
	}
	return before, during
}

// OrphanedRequests measures the effect of thousands of adopted requests of a lost controller on the executors and on
// the lookups of its successors' own clients. The environment variable ORPHANS sets the number of requests.
func OrphanedRequests(dir, programs string) ([]Figure, error) {
	set := newHandoffFigures()
	orphans := envNumber("ORPHANS", defaultOrphans)
	config := handoffConfig(dir, filepath.Join(programs, "liftshift"), "orphans", -1, 71)
	config.Controllers, config.WorkByClass = 6, map[string]time.Duration{"mark": 10 * time.Millisecond}
	config.Cores, config.MaxInFlight = executorCores, executorMaxInFlight
	cluster, err := chaostest.New(config)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	successors := config.Controllers - 1
	for k := range successors {
		if err := cluster.Start(k); err != nil {
			return nil, err
		}
	}
	if err := cluster.WaitUntilHandoffReady(30 * time.Second); err != nil {
		return nil, err
	}
	bytesBefore := cluster.Relay.DatagramBytes.Load() + cluster.Relay.StreamBytes.Load()
	if _, err := runRequests(cluster, "mark", "bytes"); err != nil {
		return nil, err
	}
	bytes := float64(cluster.Relay.DatagramBytes.Load() + cluster.Relay.StreamBytes.Load() - bytesBefore)
	set.add("bytes_a_labelled_search", bytes/loadRequests, "B over all ways", ">=", 0)
	owner, err := joinOwner(cluster, successors)
	if err != nil {
		return nil, err
	}
	defer owner.transport.Stop()
	if err := owner.registerRequests(cluster, orphans); err != nil {
		return nil, err
	}
	measureAdoption(cluster, successors, orphans, set)
	return set.figures, nil
}

// measureAdoption cuts off the owner of the orphans and measures how the other controllers run them.
func measureAdoption(cluster *chaostest.Cluster, owner, orphans int, set *figureSet) {
	lookups := startLookups(cluster, owner)
	time.Sleep(undisturbedTime)
	for _, e := range cluster.Executors {
		e.TakePeakInFlight()
		e.RejectedFull.Store(0)
	}
	lostAt := time.Now()
	cluster.Relay.SetLinks(func(a, b int) chaostest.Link { return chaostest.Link{Cut: a == owner || b == owner} })
	adoption := waitForAdoption(cluster, orphans, lostAt)
	lookups.stop()
	before, during := lookups.latencies(lostAt, adoption)
	peakInFlight, rejected := 0, 0
	for _, e := range cluster.Executors {
		peakInFlight, rejected = max(peakInFlight, e.TakePeakInFlight()), rejected+int(e.RejectedFull.Load())
	}
	repeated := repeatedOrphanRuns(cluster)
	fmt.Printf("# own searches: %d before, median %.1f ms, p99 %.1f ms; "+
		"%d during, median %.1f ms, p99 %.1f ms; %d not handled\n",
		len(before), quantile(before, 0.5), quantile(before, 0.99),
		len(during), quantile(during, 0.5), quantile(during, 0.99), lookups.failed)
	set.add("orphans_run", 100*float64(adoption.ran)/float64(orphans), fmt.Sprintf("%% of %d", orphans), ">=", 99)
	set.add("orphans_run_twice", float64(repeated), "", "==", 0)
	set.add("orphans_a_second", float64(adoption.ran)/adoption.last.Sub(adoption.first).Seconds(), "1/s", ">=", 0)
	set.add("own_late_p99_during", quantile(during, 0.99)/quantile(before, 0.99), "x before", "<=", 1.2)
	set.add("own_not_handled", float64(lookups.failed), "", "==", 0)
	peakUnit := fmt.Sprintf("of %d", executorMaxInFlight)
	set.add("executor_most_at_once", float64(peakInFlight), peakUnit, "<=", executorMaxInFlight)
	set.add("executor_full_answers", float64(rejected), "", "==", 0)
}

// repeatedOrphanRuns counts the runs of orphans after the first run of each.
func repeatedOrphanRuns(cluster *chaostest.Cluster) (repeated int) {
	runs := map[string]int{}
	for _, run := range cluster.RunLog.Runs() {
		if strings.HasPrefix(run.IdempotencyKey, orphanKeyPrefix) {
			runs[run.IdempotencyKey]++
		}
	}
	for _, n := range runs {
		repeated += n - 1
	}
	return repeated
}

// adoptionResult holds the times of the first and the last run of an orphan, and how many orphans ran.
type adoptionResult struct {
	first, last time.Time
	ran         int
}

// waitForAdoption waits until all orphans have run, or none has for adoptionIdleTimeout.
func waitForAdoption(cluster *chaostest.Cluster, orphans int, lostAt time.Time) (result adoptionResult) {
	lastProgress := time.Now()
	for time.Since(lostAt) < orphanDeadline && time.Since(lastProgress) < adoptionIdleTimeout && result.ran < orphans {
		seen := map[string]bool{}
		for _, run := range cluster.RunLog.Runs() {
			if !strings.HasPrefix(run.IdempotencyKey, orphanKeyPrefix) {
				continue
			}
			if seen[run.IdempotencyKey] = true; result.first.IsZero() {
				result.first = run.At
			}
			result.last = run.At
		}
		if len(seen) > result.ran {
			result.ran, lastProgress = len(seen), time.Now()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return result
}
