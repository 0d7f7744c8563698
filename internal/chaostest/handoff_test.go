package chaostest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/testservers"
)

// clientResult is how a request ended for its client.
type clientResult struct {
	id, key string
	result  Result
}

// submitAll has some clients send a request each to a controller, at once, and returns a function that waits for the results.
func submitAll(cl *Cluster, k, n int, class, tag string, keyed bool) (wait func() []clientResult) {
	results := make([]clientResult, n)
	var clients sync.WaitGroup
	for w := range n {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r := clientResult{id: fmt.Sprintf("%s-%d", tag, w), result: ResultDisconnected}
			if keyed {
				r.key = fmt.Sprintf("m%d", w)
			}
			if c, err := testservers.Dial(cl.Controllers[k].ClientAddress, time.Second); err == nil {
				defer c.Close()
				r.result = resultOf(c.Submit(class, r.id, r.key, 5*time.Second))
			}
			results[w] = r
		}()
	}
	return func() []clientResult {
		clients.Wait()
		return results
	}
}

func countResults(results []clientResult) map[Result]int {
	counts := map[Result]int{}
	for _, r := range results {
		counts[r.result]++
	}
	return counts
}

// requestsRunTwice returns the idempotency keys, and the IDs of requests without one, that ran more than once.
func requestsRunTwice(cl *Cluster) (names []string) {
	runs := map[string]int{}
	for _, r := range cl.RunLog.Runs() {
		name := requestName(r.ID, r.IdempotencyKey)
		runs[name]++
		if runs[name] == 2 {
			names = append(names, name)
		}
	}
	return names
}

// startHandoffCluster starts five controllers that keep copies of each other's requests.
func startHandoffCluster(t *testing.T, handoffSettings string, dedupWindow time.Duration) *Cluster {
	t.Helper()
	cl := startCluster(t, Config{Controllers: 5, Executors: 3, Founders: 3, Store: true, ClusterSettings: quickCluster, HandoffSettings: handoffSettings,
		DedupWindow: dedupWindow, WorkMS: 10, OutcomeTimeout: 20 * time.Second,
		WorkByClass: map[string]time.Duration{classKeyed: 1200 * time.Millisecond, classNonIdempotent: 1200 * time.Millisecond}})
	waitConverged(t, cl, "all join")
	waitForReplicas(t, cl)
	return cl
}

// A controller with thirty keyed requests in flight is killed, and its clients retry at two other controllers at once. Executors that drop
// repeats: all are handled. Executors that drop none: what was sent has failed. Nothing runs twice.
func TestHandoff_AdoptsRequestsOfKilledController(t *testing.T) {
	for _, dedupWindow := range []time.Duration{20 * time.Second, -1} {
		cl := startHandoffCluster(t, "copies = 2", dedupWindow)
		first := submitAll(cl, 4, 30, classKeyed, "a", true)
		time.Sleep(300 * time.Millisecond)
		cl.Kill(4)
		assert.Equal(t, 30, countResults(first())[ResultDisconnected])
		second, third := submitAll(cl, 0, 30, classKeyed, "b", true), submitAll(cl, 1, 30, classKeyed, "c", true)
		counts := countResults(append(second(), third()...))
		t.Logf("deduplication window %v: %v", dedupWindow, counts)
		assert.Empty(t, requestsRunTwice(cl))
		if dedupWindow < 0 { // successors sent what had not been sent yet
			assert.NotZero(t, counts[ResultFailed])
			assert.NotZero(t, counts[ResultHandled])
		} else {
			assert.Greater(t, counts[ResultHandled], 30, "%v: all, unless the machine is slow", counts)
		}
		assert.Zero(t, counts[ResultDisconnected])
		cl.Close()
	}
}

// A round of each fault while requests are in flight, with executors that drop no repeats or with such as do. The measurement (make
// measure-takeover) plays each many times.
func TestHandoff_RunsRequestsOnceThroughFaults(t *testing.T) {
	for _, test := range []struct {
		name        string
		dedupWindow time.Duration
		faults      []string
	}{
		{"repeats run", -1, []string{FaultKill, FaultSuccessorWhileAdopting, FaultPartitioned, FaultReplicaWiped, FaultGracefulStop, FaultClientsDisconnected}},
		{"repeats dropped", 20 * time.Second, []string{FaultOwnerAndOther, FaultSuspended, FaultRestart, FaultPartitioned, FaultQuorumLost}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cl := startHandoffCluster(t, "copies = 2", test.dedupWindow)
			random := rand.New(rand.NewPCG(cl.Config.Seed, 5))
			for n, fault := range test.faults {
				round, err := cl.PlayTakeover(fault, fmt.Sprint(n), 24, random)
				require.NoError(t, err, fault)
				assert.Empty(t, round.RanTwice, fault)
				assert.Empty(t, round.Contradictions, fault)
				assert.Empty(t, round.WithoutOutcome, fault)
				t.Logf("%s: disconnected %d, retried %d, handled %d, unsent %d of which ran %d; %v", fault, round.Disconnected, round.Retried,
					round.RetriesHandled, round.UnsentAtFault, round.SentLater, round.Outcomes)
			}
		})
	}
}

// Copies on replicas' disks: one replica's disk is full, and nobody is held up by it; a controller is killed, and its requests go on. Then all
// are killed at once: what was kept is known again by all, and nothing is sent a second time.
func TestHandoff_SurvivesFullDiskAndKillOfAll(t *testing.T) {
	cl := startHandoffCluster(t, "copies = 2\ncondition = \"disk and holders' disks\"", 20*time.Second)
	require.NoError(t, cl.SetDiskState(1, "full"))
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, 10, countResults(submitAll(cl, 0, 10, classKeyed, "a", true)())[ResultHandled])
	first := submitAll(cl, 4, 12, classNonIdempotent, "o", false)
	time.Sleep(400 * time.Millisecond)
	require.NoError(t, cl.SetDiskState(1, "sound"))
	for k := range cl.Controllers {
		cl.Kill(k)
	}
	assert.Equal(t, 12, countResults(first())[ResultDisconnected])
	require.NoError(t, cl.StartAll())
	waitConverged(t, cl, "all again")
	require.Eventually(t, func() bool { return cl.QueryOutcome(2, "", "m3") == outcomeHandled }, 20*time.Second, 100*time.Millisecond, "it is on replicas' disks")
	ran := len(cl.RunLog.Runs())
	counts := countResults(submitAll(cl, 3, 10, classKeyed, "b", true)())
	assert.Zero(t, counts[ResultFailed]+counts[ResultDisconnected], "%v", counts)
	assert.Empty(t, requestsRunTwice(cl))
	assert.Len(t, cl.RunLog.Runs(), ran, "nothing is sent again")
}

// A controller is killed while the whole group of a third of its keyed requests begins to drain, and that of another third is gone from the
// endpoint list. What may have run there is sent nowhere else; no run begins at an executor that drains past its grace; what was never sent
// goes to those that stay; all has one outcome.
func TestHandoff_RespectsDrainingExecutors(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 5, Executors: 3, Zones: 3, Founders: 3, Store: true, ClusterSettings: quickCluster,
		HandoffSettings: "copies = 2", DedupWindow: 20 * time.Second, WorkMS: 10,
		WorkByClass: map[string]time.Duration{classKeyed: 1500 * time.Millisecond}})
	waitConverged(t, cl, "all join")
	waitForReplicas(t, cl)
	first := submitAll(cl, 4, 30, classKeyed, "a", true)
	time.Sleep(500 * time.Millisecond)
	sent := map[string]string{}
	for _, r := range cl.RunLog.Runs() {
		sent[r.IdempotencyKey] = r.Executor
	}
	cl.Kill(4)
	require.NoError(t, cl.DrainExecutor(0))
	require.NoError(t, cl.RemoveExecutor(1))
	assert.Equal(t, 30, countResults(first())[ResultDisconnected])
	counts := countResults(submitAll(cl, 0, 30, classKeyed, "b", true)())
	t.Logf("%d sent at the kill, retries: %v", len(sent), counts)
	assert.Zero(t, counts[ResultDisconnected])
	assert.Empty(t, requestsRunTwice(cl))
	assert.Empty(t, RunsAfterDrain(cl.RunLog.Runs(), cl.drained))
	outcomes := map[string]int{}
	for w := range 30 {
		outcome := cl.QueryOutcome(1, "", fmt.Sprint("m", w))
		outcomes[outcome]++
		assert.Contains(t, []string{outcomeHandled, outcomeFailed, outcomeRejected}, outcome)
	}
	t.Logf("outcomes: %v", outcomes)
	assert.GreaterOrEqual(t, outcomes[outcomeHandled], counts[ResultHandled])
	for _, r := range cl.RunLog.Runs() {
		if executor, before := sent[r.IdempotencyKey]; before {
			assert.Equal(t, executor, r.Executor, "it may have run there, and nowhere else")
		}
	}
}
