package chaostest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/testservers"
)

// leaseLostText is logged by a controller that no longer holds its lease.
const leaseLostText = "this controller's lease is over"

// The disk states of the slow-disk tests. A group commit writes and syncs, so it takes twice the delay.
const (
	diskSlowForOwner      = "slow 150ms"
	diskSlowForSuccessors = "slow 200ms"
	diskStalled           = "slow 400ms"
	diskSound             = "sound"
)

// How long disks stall, so that attempts wait for their records longer than they may.
const (
	diskStall     = time.Second
	longDiskStall = 4 * time.Second // twice a lease
)

// A keyed request that has not run is not reported as failed when its controller is killed while that controller's disk
// is slow: its attempt waits for the disk, and replicas must not take it for sent.
func TestVersions_KillWithSlowDiskFailsNoUnsentRequest(t *testing.T) {
	oldProgram, currentProgram := faultsTagVersions.programs(t)
	for _, test := range []struct {
		name     string
		programs []string // of the two successors and of the controller that is killed
	}{
		{"current successors", []string{currentProgram, currentProgram, currentProgram}},
		{"old successors", []string{oldProgram, oldProgram, currentProgram}},
	} {
		runWithAndWithoutDeduplication(t, test.name, func(t *testing.T, dedupWindow time.Duration) {
			cluster := startAdoptionCluster(t, dedupWindow, test.programs)
			require.NoError(t, cluster.SetDiskState(killedController, diskSlowForOwner))
			ran, retries := retryAfterKill(t, cluster, func() { waitForFirstAttempts(t, cluster) }, func() {})
			assertNoUnsentRequestFailed(t, cluster, ran, retries, dedupWindow)
		})
	}
}

// A keyed request that has not run is handled or rejected, but not reported as failed, by successors whose own disks are
// slow.
func TestVersions_SuccessorsWithSlowDisksFailNoUnsentRequest(t *testing.T) {
	oldProgram, currentProgram := faultsTagVersions.programs(t)
	for _, test := range []struct {
		name     string
		programs []string
	}{
		{"old version killed", []string{currentProgram, currentProgram, oldProgram}},
		{"current version killed", []string{currentProgram, currentProgram, currentProgram}},
	} {
		runWithAndWithoutDeduplication(t, test.name, func(t *testing.T, dedupWindow time.Duration) {
			cluster := startAdoptionCluster(t, dedupWindow, test.programs)
			ran, retries := retryAfterKill(t, cluster, func() { waitForStableRuns(t, cluster, 1) }, func() {
				for successor := range killedController {
					require.NoError(t, cluster.SetDiskState(successor, diskSlowForSuccessors))
				}
			})
			assertNoUnsentRequestFailed(t, cluster, ran, retries, dedupWindow)
		})
	}
}

// Where executors drop repeats, keyed requests are handled although the disks of the successors stall for a time while
// they adopt: an attempt that was not recorded in time is tried again.
func TestVersions_SuccessorsHandleRequestsAfterDiskStall(t *testing.T) {
	oldProgram, currentProgram := faultsTagVersions.programs(t)
	for _, test := range []struct{ name, killed string }{
		{"old version killed", oldProgram},
		{"current version killed", currentProgram},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := startAdoptionCluster(t, executorDedupTime, []string{currentProgram, currentProgram, test.killed})
			assertHandledAfterTrouble(t, cluster, func() { stallDisks(t, cluster, diskStall) })
		})
	}
}

// The successors keep their leader and their leases while their disks stall for longer than a lease, and handle the
// requests of the lost controller after that.
func TestVersions_SuccessorsKeepLeasesWhileTheirDisksStall(t *testing.T) {
	t.Parallel()
	_, currentProgram := faultsTagVersions.programs(t)
	cluster := startAdoptionCluster(t, executorDedupTime, []string{currentProgram, currentProgram, currentProgram})
	assertHandledAfterTrouble(t, cluster, func() { stallDisks(t, cluster, longDiskStall) })
	for successor := range killedController {
		assert.NotContains(t, cluster.Controllers[successor].Log(), leaseLostText, "log of successor %d", successor)
	}
}

// assertHandledAfterTrouble kills a controller with keyed requests in flight, makes trouble for its successors as soon as
// one of them adopts, and checks that all requests are handled, once, when their clients retry.
func assertHandledAfterTrouble(t *testing.T, cluster *Cluster, makeTrouble func()) {
	t.Helper()
	keys := numberedKeys("m", adoptedRequests)
	waitForReplies := submitKeyedAll(cluster, killedController, "a", keys)
	waitForStableRuns(t, cluster, 1)
	cluster.Kill(killedController)
	waitForRetries := submitKeyedAll(cluster, 0, "b", disconnectedKeys(t, waitForReplies()))
	require.GreaterOrEqual(t, cluster.waitForSuccessor(killedController, successorTimeout), 0)
	makeTrouble()
	for _, r := range waitForRetries() {
		assert.NoError(t, r.err, "retry of %s", r.key)
		assert.Zero(t, r.reply.Code, "%s", r)
	}
	assert.Equal(t, oneRunPerKey(keys), runsByKey(cluster), "runs of each key")
}

// stallDisks makes the disks of the successors very slow for a time.
func stallDisks(t *testing.T, cluster *Cluster, duration time.Duration) {
	t.Helper()
	for _, state := range []string{diskStalled, diskSound} {
		setSuccessorDisks(t, cluster, state)
		time.Sleep(duration)
	}
}

// setSuccessorDisks sets the state that the disks of both successors simulate.
func setSuccessorDisks(t *testing.T, cluster *Cluster, state string) {
	t.Helper()
	for successor := range killedController {
		require.NoError(t, cluster.SetDiskState(successor, state))
	}
}

// runWithAndWithoutDeduplication runs a test in parallel with executors that drop repeats and with others that don't.
func runWithAndWithoutDeduplication(t *testing.T, name string, run func(t *testing.T, dedupWindow time.Duration)) {
	t.Helper()
	t.Run(name+", with deduplication", func(t *testing.T) {
		t.Parallel()
		run(t, executorDedupTime)
	})
	t.Run(name+", without deduplication", func(t *testing.T) {
		t.Parallel()
		run(t, -1)
	})
}

// waitForFirstAttempts waits until all requests have replicas and their first attempts wait for a slow disk.
func waitForFirstAttempts(t *testing.T, cluster *Cluster) {
	t.Helper()
	waitForRegistrations(t, cluster)
	time.Sleep(100 * time.Millisecond) // less than a write and a sync of diskSlowForOwner
}

// waitForRegistrations waits until all requests have replicas.
func waitForRegistrations(t *testing.T, cluster *Cluster) {
	t.Helper()
	require.Eventually(t, func() bool {
		return handoffCounter(t, cluster, killedController, counterRegistered) >= adoptedRequests
	}, 5*time.Second, 5*time.Millisecond, "all requests must have replicas")
}

// retryAfterKill sends keyed requests to a controller, kills it after waitForKill, and calls afterKill. It returns how
// often each key had run at the kill, and the retries at a successor of the requests without a reply.
func retryAfterKill(t *testing.T, cluster *Cluster, waitForKill, afterKill func()) (
	ran map[string]int, retries []keyedRequest,
) {
	t.Helper()
	return retryAfterKillRecording(t, cluster, &submissions{}, waitForKill, afterKill)
}

// retryAfterKillRecording is like retryAfterKill and records what the clients send to the controller that is killed.
func retryAfterKillRecording(
	t *testing.T, cluster *Cluster, sent *submissions, waitForKill, afterKill func(),
) (ran map[string]int, retries []keyedRequest) {
	t.Helper()
	keys := numberedKeys("m", adoptedRequests)
	waitForReplies := submitKeyedRecording(cluster, killedController, "a", keys, sent)
	waitForKill()
	cluster.Kill(killedController)
	afterKill()
	ran = runsByKey(cluster)
	inFlight := disconnectedKeys(t, waitForReplies())
	require.NotEmpty(t, inFlight, "requests must be in flight at the kill")
	return ran, submitKeyedAll(cluster, 0, "b", inFlight)()
}

// assertNoUnsentRequestFailed checks that only retries of keys that had run failed, and that no key ran twice.
func assertNoUnsentRequestFailed(
	t *testing.T, cluster *Cluster, ran map[string]int, retries []keyedRequest, dedupWindow time.Duration,
) {
	t.Helper()
	codes := map[int]int{}
	for _, r := range retries {
		assert.NoError(t, r.err, "retry of %s", r.key)
		codes[r.reply.Code]++
		if ran[r.key] == 0 {
			assert.NotEqual(t, testservers.CodeFailed, r.reply.Code, "had not run: %s", r)
		} else if dedupWindow < 0 {
			assert.Equal(t, testservers.CodeFailed, r.reply.Code, "may have run: %s", r)
		}
	}
	t.Logf("%d keys ran before the kill, %d retries by code: %v", len(ran), len(retries), codes)
	runs := runsByKey(cluster)
	for _, r := range retries {
		if r.reply.Code == 0 {
			assert.Equal(t, 1, runs[r.key], "runs of %s, which was handled", r.key)
		}
		assert.LessOrEqual(t, runs[r.key], 1, "runs of %s", r.key)
	}
}
