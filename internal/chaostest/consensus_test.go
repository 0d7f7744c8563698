package chaostest

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A consensus group of processes: it forms, its leader is killed, a voter is replaced, its quorum is lost and back. No controller acts on a
// lease once the group may have declared it lost.
func TestConsensus_SurvivesLossOfLeaderAndQuorum(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 5, Executors: 1, Zones: 3, Founders: 3, Store: true, ClusterSettings: quickCluster})
	waitConverged(t, cl, "all join")
	leader := waitForLeader(t, cl, -1)
	waitForLeases(t, cl)
	assert.Equal(t, agreedIn, agreedState(cl, 4, "c0"), "one that does not vote shows the record, too")
	cl.Kill(leader)
	began := time.Now()
	next := waitForLeader(t, cl, leader)
	t.Logf("led again after %v", time.Since(began).Round(10*time.Millisecond))
	isAgreed := func(k int, state string) func() bool {
		return func() bool { return agreedState(cl, next, cl.Controllers[k].Name) == state }
	}
	require.Eventually(t, isAgreed(leader, agreedLost), 10*time.Second, 50*time.Millisecond, "the one that was killed is declared lost")
	require.NoError(t, cl.Start(leader))
	require.Eventually(t, isAgreed(leader, agreedIn), 10*time.Second, 50*time.Millisecond, "its next incarnation is let in")
	waitForLeases(t, cl)
	for _, k := range []int{0, 1} { // the majority
		cl.Kill(k)
	}
	for k := 2; k < 5; k++ {
		require.Eventually(t, func() bool { return !holdsLease(cl, k) }, 5*time.Second, 20*time.Millisecond, "%d: its lease ends without a majority", k)
	}
	require.NoError(t, cl.StartAll())
	waitForLeases(t, cl)
	next = waitForLeader(t, cl, -1)
	assert.Zero(t, cl.Terminate(next), "a planned stop of the leader")
	waitForLeader(t, cl, next) // by another, before it is back: then anyone may lead
	require.NoError(t, cl.Start(next))
	assert.Zero(t, cl.Terminate(4))
	next = waitForLeader(t, cl, -1)
	require.Eventually(t, isAgreed(4, agreedLeft), 5*time.Second, 50*time.Millisecond, "one that left is recorded as such, at once")
	for _, c := range cl.Controllers {
		assert.NotContains(t, c.Log(), "voter has failed")
	}
}

// A voter is lost, and another while the first is being replaced: both are replaced, and the group goes on.
func TestConsensus_ReplacesTwoLostVoters(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 8, Executors: 1, Zones: 3, Founders: 5, Store: true, ClusterSettings: quickCluster + "replace = \"1500ms\"\nvoters = 5\n"})
	waitConverged(t, cl, "all join")
	waitForLeases(t, cl)
	leader := waitForLeader(t, cl, -1)
	lost := []int{}
	for k := 0; len(lost) < 2; k++ {
		if k != leader {
			lost = append(lost, k)
		}
	}
	cl.Kill(lost[0])
	require.Eventually(t, func() bool { return len(voters(cl, leader)) == 6 }, 20*time.Second, 5*time.Millisecond, "a newcomer learns")
	cl.Kill(lost[1])
	require.Eventually(t, func() bool {
		v := voters(cl, waitForLeader(t, cl, -1))
		return len(v) == 5 && !slices.Contains(v, cl.Controllers[lost[0]].Name) && !slices.Contains(v, cl.Controllers[lost[1]].Name)
	}, 40*time.Second, 50*time.Millisecond, "both places are taken")
	waitForLeases(t, cl)
}
