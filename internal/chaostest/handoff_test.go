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

// clientResult is the result of one request, as its client saw it.
type clientResult struct {
	id, key string
	result  Result
}

// submitAll sends count requests of a class to a controller, each by a client of its own, and returns a function that
// waits for the results. Request IDs begin with the tag; keyed requests get the idempotency keys m0, m1 and so on,
// whatever the tag.
func submitAll(cluster *Cluster, controller, count int, class, tag string, keyed bool) (wait func() []clientResult) {
	results := make([]clientResult, count)
	var clients sync.WaitGroup
	for n := range count {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r := clientResult{id: fmt.Sprintf("%s-%d", tag, n), result: ResultDisconnected}
			if keyed {
				r.key = fmt.Sprintf("m%d", n)
			}
			if client, err := testservers.Dial(cluster.Controllers[controller].ClientAddress, time.Second); err == nil {
				defer client.Close()
				r.result = resultOf(client.Submit(class, r.id, r.key, 5*time.Second))
			}
			results[n] = r
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

// requestsRunTwice returns the requests that ran more than once: by idempotency key, or by ID for those without a key.
func requestsRunTwice(cluster *Cluster) (names []string) {
	runs := map[string]int{}
	for _, r := range cluster.RunLog.Runs() {
		name := requestName(r.ID, r.IdempotencyKey)
		runs[name]++
		if runs[name] == 2 {
			names = append(names, name)
		}
	}
	return names
}

// startHandoffCluster starts five controllers that keep replicas of each other's requests, and waits until they are
// ready for handoff.
func startHandoffCluster(t *testing.T, handoffSettings string, dedupWindow time.Duration) *Cluster {
	t.Helper()
	cluster := startCluster(t, Config{Controllers: 5, Executors: 3, Founders: 3, Store: true,
		ClusterSettings: fastClusterSettings, HandoffSettings: handoffSettings, DedupWindow: dedupWindow, WorkMS: 10,
		OutcomeTimeout: 20 * time.Second,
		WorkByClass: map[string]time.Duration{
			classKeyed:         1200 * time.Millisecond,
			classNonIdempotent: 1200 * time.Millisecond,
		}})
	waitForConvergence(t, cluster, "after all controllers started")
	waitForHandoffReady(t, cluster)
	return cluster
}

// Clients of a killed controller retry their keyed requests at two other controllers at once, and no request runs
// twice. If the executors deduplicate, retries are handled; if they don't, requests that may have run fail.
func TestHandoff_AdoptsRequestsOfKilledController(t *testing.T) {
	for _, dedupWindow := range []time.Duration{20 * time.Second, -1} {
		cluster := startHandoffCluster(t, "copies = 2", dedupWindow)
		inFlight := submitAll(cluster, 4, 30, classKeyed, "a", true)
		waitForStableRuns(t, cluster, 1)
		cluster.Kill(4)
		assert.Equal(t, 30, countResults(inFlight())[ResultDisconnected], "requests in flight at the kill")
		retries := submitAll(cluster, 0, 30, classKeyed, "b", true)
		otherRetries := submitAll(cluster, 1, 30, classKeyed, "c", true)
		counts := countResults(append(retries(), otherRetries()...))
		t.Logf("deduplication window %v: %v", dedupWindow, counts)
		assert.Empty(t, requestsRunTwice(cluster), "requests that ran twice")
		if dedupWindow < 0 { // successors send only requests that had not been sent before the kill
			assert.NotZero(t, counts[ResultFailed], "retries of requests that had been sent")
			assert.NotZero(t, counts[ResultHandled], "retries of requests that had not been sent")
		} else {
			assert.Greater(t, counts[ResultHandled], 30, "%v: a slow machine may leave some retries unhandled", counts)
		}
		assert.Zero(t, counts[ResultDisconnected], "retries without a reply")
		cluster.Close()
	}
}

// Faults injected while requests are in flight make no request run twice and leave none without a single final outcome,
// whether executors deduplicate or not. make measure-takeover plays many rounds of each fault.
func TestHandoff_RunsRequestsOnceThroughFaults(t *testing.T) {
	for _, test := range []struct {
		name        string
		dedupWindow time.Duration
		faults      []string
	}{
		{"without deduplication", -1, []string{FaultKill, FaultSuccessorWhileAdopting, FaultPartitioned, FaultReplicaWiped,
			FaultGracefulStop, FaultClientsDisconnected}},
		{"with deduplication", 20 * time.Second, []string{FaultOwnerAndOther, FaultSuspended, FaultRestart,
			FaultPartitioned, FaultQuorumLost}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := startHandoffCluster(t, "copies = 2", test.dedupWindow)
			random := rand.New(rand.NewPCG(cluster.Config.Seed, 5))
			for n, fault := range test.faults {
				round, err := cluster.PlayTakeover(fault, fmt.Sprint(n), 24, random)
				require.NoError(t, err, "fault %q", fault)
				assert.Empty(t, round.RanTwice, "fault %q: requests that ran twice", fault)
				assert.Empty(t, round.Contradictions, "fault %q: requests with contradictory results", fault)
				assert.Empty(t, round.WithoutOutcome, "fault %q: requests without an outcome", fault)
				t.Logf("%s: disconnected %d, retried %d, retries handled %d, unsent at the fault %d, of which ran later %d; %v",
					fault, round.Disconnected, round.Retried, round.RetriesHandled, round.UnsentAtFault, round.SentLater,
					round.Outcomes)
			}
		})
	}
}

// With replicas on disk, a replica whose disk is full delays no request. After a kill of all controllers at once, the
// outcomes of requests that were handled are still known, and no such request is sent again.
func TestHandoff_SurvivesFullDiskAndKillOfAll(t *testing.T) {
	cluster := startHandoffCluster(t, "copies = 2\ncondition = \"disk and holders' disks\"", 20*time.Second)
	require.NoError(t, cluster.SetDiskState(1, "full"))
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, 10, countResults(submitAll(cluster, 0, 10, classKeyed, "a", true)())[ResultHandled])
	inFlight := submitAll(cluster, 4, 12, classNonIdempotent, "o", false)
	time.Sleep(400 * time.Millisecond)
	require.NoError(t, cluster.SetDiskState(1, "sound"))
	for k := range cluster.Controllers {
		cluster.Kill(k)
	}
	assert.Equal(t, 12, countResults(inFlight())[ResultDisconnected], "requests in flight at the kill")
	require.NoError(t, cluster.StartAll())
	waitForConvergence(t, cluster, "after all controllers restarted")
	require.Eventually(t, func() bool {
		return cluster.QueryOutcome(2, "", "m3") == outcomeHandled
	}, 20*time.Second, 100*time.Millisecond, "c2 must learn the outcome of m3 from the replicas' disks")
	runsBefore := len(cluster.RunLog.Runs())
	counts := countResults(submitAll(cluster, 3, 10, classKeyed, "b", true)())
	assert.Zero(t, counts[ResultFailed]+counts[ResultDisconnected], "retries after the restart: %v", counts)
	assert.Empty(t, requestsRunTwice(cluster), "requests that ran twice")
	assert.Len(t, cluster.RunLog.Runs(), runsBefore, "retries of handled requests must not run again")
}

// A controller is killed while one of three executors begins to drain and another leaves the endpoint list. Requests
// that may have run on one of them are sent to no other executor, no run begins on a draining executor past the drain
// grace, requests that were never sent go to the remaining executor, and every request has a final outcome.
func TestHandoff_RespectsDrainingExecutors(t *testing.T) {
	cluster := startCluster(t, Config{Controllers: 5, Executors: 3, Zones: 3, Founders: 3, Store: true,
		ClusterSettings: fastClusterSettings,
		HandoffSettings: "copies = 2", DedupWindow: 20 * time.Second, WorkMS: 10,
		WorkByClass: map[string]time.Duration{classKeyed: 1500 * time.Millisecond}})
	waitForConvergence(t, cluster, "after all controllers started")
	waitForHandoffReady(t, cluster)
	inFlight := submitAll(cluster, 4, 30, classKeyed, "a", true)
	time.Sleep(500 * time.Millisecond)
	executorByKey := map[string]string{} // of the requests that were sent before the kill
	for _, r := range cluster.RunLog.Runs() {
		executorByKey[r.IdempotencyKey] = r.Executor
	}
	cluster.Kill(4)
	require.NoError(t, cluster.DrainExecutor(0))
	require.NoError(t, cluster.RemoveExecutor(1))
	assert.Equal(t, 30, countResults(inFlight())[ResultDisconnected], "requests in flight at the kill")
	counts := countResults(submitAll(cluster, 0, 30, classKeyed, "b", true)())
	t.Logf("%d sent before the kill, retries: %v", len(executorByKey), counts)
	assert.Zero(t, counts[ResultDisconnected], "retries without a reply")
	assert.Empty(t, requestsRunTwice(cluster), "requests that ran twice")
	assert.Empty(t, RunsAfterDrain(cluster.RunLog.Runs(), cluster.drained))
	outcomes := map[string]int{}
	for n := range 30 {
		outcome := cluster.QueryOutcome(1, "", fmt.Sprint("m", n))
		outcomes[outcome]++
		assert.Contains(t, []string{outcomeHandled, outcomeFailed, outcomeRejected}, outcome, "outcome of m%d at c1", n)
	}
	t.Logf("outcomes: %v", outcomes)
	assert.GreaterOrEqual(t, outcomes[outcomeHandled], counts[ResultHandled], "requests with the outcome handled")
	for _, r := range cluster.RunLog.Runs() {
		if executor, sent := executorByKey[r.IdempotencyKey]; sent {
			assert.Equal(t, executor, r.Executor,
				"%s was sent before the kill and must run on no other executor", r.IdempotencyKey)
		}
	}
}
