package clustersim

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/consensus"
)

// The loss of a member must be declared, and the group must elect a new leader after the loss of its leader.
func TestConsensusCluster_ReplacesLeaderAndDeclaresLost(t *testing.T) {
	c := startConsensusCluster(t, 7, 3, 1)
	t.Logf("leader %s since %.0f ms", c.Leader, c.LeaderSince)
	c.Kill(5)
	c.RunUntil(c.Now + 20_000)
	assert.Equal(t, 1, c.DeclaredLost, "incarnations declared lost after n5 was killed")
	firstLeader := c.Leader
	killedAt := c.Now
	c.Kill(c.nodeIndexOf(firstLeader))
	c.RunUntil(c.Now + 5000)
	assert.NotEqual(t, firstLeader, c.Leader, "the killed leader was not replaced")
	t.Logf("new leader %s after %.0f ms", c.Leader, c.LeaderSince-killedAt)
	c.RunUntil(c.Now + 40_000)
	assert.Equal(t, 2, c.DeclaredLost, "incarnations declared lost after the leader was killed, too")
	for k, node := range c.Nodes {
		if node.Up {
			status := c.ConsensusNodes[k].Group.Status(c.LocalTime(k))
			t.Logf("%s voter %v leader %s term %d commit %d lease held %v voters %v", node.Name, status.Voter,
				status.Leader, status.Term, status.Commit, status.LeaseHeld, status.Record.Voters)
		}
	}
	assert.Empty(t, c.Violations)
}

// Under kills, wiped and full disks, stalls, partitions and message loss, no incarnation may hold a lease once it is
// declared lost, and the lease operations must be linearizable.
func TestRunConsensus_HoldsInvariantsUnderFaults(t *testing.T) {
	operations, declared := 0, 0
	for seed := range uint64(25) {
		result := RunConsensus(seed, nil)
		operations += result.Operations
		declared += result.DeclaredLost
		if len(result.Violations) > 0 {
			shrunk := Shrink(result)
			require.Empty(t, shrunk.Violations, "seed %d, shrunk to the faults %v", seed, shrunk.Faults)
		}
	}
	assert.Greater(t, declared, 20, "too few incarnations declared lost to test the invariants")
	t.Logf("%d operations, %d incarnations declared lost", operations, declared)
}

// The checks must detect invalid histories; otherwise the tests that rely on them prove nothing.
func TestChecks_DetectInvalidHistories(t *testing.T) {
	valid := []Operation{
		{0, LeaseGranted, "a", 1, 0, 10},
		{1, LossDeclared, "a", 1, 5, 20},
		{0, LeaseRefused, "a", 1, 21, 22},
	}
	assert.True(t, Linearizable(valid, nil), "valid history")
	grantedAfterLoss := append(valid, Operation{0, LeaseGranted, "a", 1, 21, 30})
	assert.False(t, Linearizable(grantedAfterLoss, nil), "lease granted after the loss was declared")
	refusedBeforeLoss := []Operation{{0, LeaseRefused, "a", 1, 0, 1}, {1, LossDeclared, "a", 1, 2, 3}}
	assert.False(t, Linearizable(refusedBeforeLoss, nil), "lease refused before the loss was declared")
	refused, pendingLoss := []Operation{{0, LeaseRefused, "a", 1, 5, 6}}, []Operation{{1, LossDeclared, "a", 1, 2, 0}}
	assert.True(t, Linearizable(refused, pendingLoss), "lease refused after a pending loss took effect")
	c := startConsensusCluster(t, 4, 3, 5)
	c.declareLost(memberIncarnation{"n3", c.ConsensusNodes[3].incarnation})
	assert.NotEmpty(t, c.Violations, "n3 is declared lost while it holds its lease")
}

// The group must replace a voter that is lost for good, and another one that is lost during the replacement. A former
// voter that restarts with a wiped disk must be admitted as a new member, not as the voter that it was.
func TestConsensusCluster_SurvivesVoterLossDuringReplacement(t *testing.T) {
	c := startConsensusCluster(t, 9, 5, 21)
	c.Kill(1)
	c.RunUntil(c.Now + 16_500) // the replacement is about to catch up
	c.Kill(2)
	c.RunUntil(c.Now + 60_000)
	assert.NotContains(t, voterNames(c), "n1")
	assert.NotContains(t, voterNames(c), "n2")
	assert.Len(t, voterNames(c), 5)
	c.WipeDisk(1)
	c.Start(1)
	c.RunUntil(c.Now + 10_000)
	assert.False(t, c.ConsensusNodes[1].Group.Hello().Voter, "n1 must not be a voter after its disk was wiped")
	assert.True(t, c.ConsensusNodes[1].Group.LeaseHeld(c.LocalTime(1)), "n1 must be admitted as a member and get a lease")
	for k := range c.Nodes {
		assert.Equal(t, c.Nodes[k].Up, c.ConsensusNodes[k].Group.LeaseHeld(c.LocalTime(k)),
			"node %d must hold its lease if and only if it is up", k)
	}
	assert.Empty(t, c.Violations)
}

// A request to replace a voter that can't be met must not keep the group from replacing a lost voter, nor choose the
// member that takes its place.
func TestConsensusCluster_UnmetReplacementBlocksNoOther(t *testing.T) {
	for _, test := range []struct{ name, from, to string }{
		{"the leader by an unknown member", "leader", "unknown"},
		{"the leader by a voter", "leader", "other voter"},
		{"the leader by a member", "leader", "n6"},
		{"no voter", "unknown", "n6"},
		{"a voter by an unknown member", "other voter", "unknown"},
		{"a voter by itself", "other voter", "other voter"},
	} {
		c := startConsensusCluster(t, 7, 3, 3)
		leader := c.nodeIndexOf(c.Leader)
		lost, other := (leader+1)%3, (leader+2)%3
		names := strings.NewReplacer("leader", c.Leader, "other voter", c.Nodes[other].Name)
		c.stepConsensus(leader, consensus.Event{Kind: consensus.VoterReplacementRequested,
			Name: names.Replace(test.from), To: names.Replace(test.to)})
		c.Kill(lost)
		c.RunUntil(c.Now + 60_000)
		voters := voterNames(c)
		assert.Len(t, voters, 3, test.name)
		assert.NotContains(t, voters, c.Nodes[lost].Name, test.name)
		assert.NotContains(t, voters, "n6", "%s: n6 is not the first by name in the lost voter's zone", test.name)
		assert.Empty(t, c.Violations, test.name)
	}
}

// A request to replace a voter that comes during another replacement must be met after it.
func TestConsensusCluster_MeetsReplacementRequestedDuringAnother(t *testing.T) {
	c := startConsensusCluster(t, 7, 3, 3)
	leader := c.nodeIndexOf(c.Leader)
	lost, other := (leader+1)%3, c.Nodes[(leader+2)%3].Name
	c.Kill(lost)
	for deadline := c.Now + 30_000; len(voterNames(c)) == 3 && c.Now < deadline; {
		c.RunUntil(c.Now + 1)
	}
	require.Len(t, voterNames(c), 4, "the learner that replaces the lost voter is in the configuration")
	c.stepConsensus(leader, consensus.Event{Kind: consensus.VoterReplacementRequested, Name: other, To: "n6"})
	c.RunUntil(c.Now + 60_000)
	assert.Len(t, voterNames(c), 3)
	assert.NotContains(t, voterNames(c), c.Nodes[lost].Name)
	assert.NotContains(t, voterNames(c), other)
	assert.Contains(t, voterNames(c), "n6")
	assert.Empty(t, c.Violations)
}

// A node that starts while all seeds are down must join through the members that contact it. With this random seed a
// join has failed before.
func TestRunConsensus_JoinsWithoutSeeds(t *testing.T) {
	assert.Empty(t, RunConsensus(487, nil).Violations)
}
