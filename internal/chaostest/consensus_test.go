package chaostest

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A consensus group elects a leader again after its leader is killed, after its quorum is lost and restored, and after
// its leader stops gracefully. No controller holds a lease for long without a quorum.
func TestConsensus_SurvivesLossOfLeaderAndQuorum(t *testing.T) {
	cluster := startCluster(t, Config{Controllers: 5, Executors: 1, Zones: 3, Founders: 3, Store: true,
		ClusterSettings: fastClusterSettings})
	waitForConvergence(t, cluster, "after all controllers started")
	leader := waitForLeader(t, cluster, -1)
	waitForLeases(t, cluster)
	assert.Equal(t, memberAdmitted, recordedMemberState(cluster, 4, "c0"),
		"c4, which does not vote, must know the membership record")
	cluster.Kill(leader)
	start := time.Now()
	newLeader := waitForLeader(t, cluster, leader)
	t.Logf("new leader after %v", time.Since(start).Round(10*time.Millisecond))
	isRecordedAs := func(k int, state string) func() bool {
		return func() bool { return recordedMemberState(cluster, newLeader, cluster.Controllers[k].Name) == state }
	}
	require.Eventually(t, isRecordedAs(leader, memberLost), 10*time.Second, 50*time.Millisecond,
		"the killed leader must be recorded as lost")
	require.NoError(t, cluster.Start(leader))
	require.Eventually(t, isRecordedAs(leader, memberAdmitted), 10*time.Second, 50*time.Millisecond,
		"the next incarnation of the killed leader must be admitted")
	waitForLeases(t, cluster)
	for _, k := range []int{0, 1} { // a majority of the voters
		cluster.Kill(k)
	}
	for k := 2; k < 5; k++ {
		require.Eventually(t, func() bool { return !holdsLease(cluster, k) }, 5*time.Second, 20*time.Millisecond,
			"the lease of c%d must expire without a quorum", k)
	}
	require.NoError(t, cluster.StartAll())
	waitForLeases(t, cluster)
	newLeader = waitForLeader(t, cluster, -1)
	assert.Zero(t, cluster.Terminate(newLeader), "exit code of the leader after SIGTERM")
	waitForLeader(t, cluster, newLeader) // before the stopped leader restarts: from then on it may lead, too
	require.NoError(t, cluster.Start(newLeader))
	assert.Zero(t, cluster.Terminate(4), "exit code of c4 after SIGTERM")
	newLeader = waitForLeader(t, cluster, -1)
	require.Eventually(t, isRecordedAs(4, memberLeft), 5*time.Second, 50*time.Millisecond,
		"c4 must be recorded as having left, not as lost")
	for _, c := range cluster.Controllers {
		assert.NotContains(t, c.Log(), "voter has failed", "log of %s", c.Name)
	}
}

// The consensus group replaces a lost voter, and a second one that is lost during the first replacement, and stays
// available.
func TestConsensus_ReplacesTwoLostVoters(t *testing.T) {
	cluster := startCluster(t, Config{Controllers: 8, Executors: 1, Zones: 3, Founders: 5, Store: true,
		ClusterSettings: fastClusterSettings + "replace = \"1500ms\"\nvoters = 5\n"})
	waitForConvergence(t, cluster, "after all controllers started")
	waitForLeases(t, cluster)
	leader := waitForLeader(t, cluster, -1)
	lost := []int{}
	for k := 0; len(lost) < 2; k++ {
		if k != leader {
			lost = append(lost, k)
		}
	}
	cluster.Kill(lost[0])
	require.Eventually(t, func() bool { return len(voters(cluster, leader)) == 6 }, 20*time.Second, 5*time.Millisecond,
		"a sixth controller must be added as a future voter")
	cluster.Kill(lost[1])
	require.Eventually(t, func() bool {
		current := voters(cluster, waitForLeader(t, cluster, -1))
		return len(current) == 5 && !slices.Contains(current, cluster.Controllers[lost[0]].Name) &&
			!slices.Contains(current, cluster.Controllers[lost[1]].Name)
	}, 40*time.Second, 50*time.Millisecond, "both lost voters must be replaced")
	waitForLeases(t, cluster)
}
