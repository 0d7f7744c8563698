package clustersim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestConsensusCluster_ReplacesLeaderAndDeclaresLost(t *testing.T) {
	c := startConsensusCluster(t, 7, 3, 1)
	t.Logf("led by %s since %.0f", c.Leader, c.LeaderSince)
	c.Kill(5)
	c.RunUntil(c.Now + 20_000)
	assert.Equal(t, 1, c.DeclaredLost)
	first := c.Leader
	killedAt := c.Now
	c.Kill(c.nodeNamed(first))
	c.RunUntil(c.Now + 5000)
	assert.NotEqual(t, first, c.Leader)
	t.Logf("new leader %s after %.0f ms", c.Leader, c.LeaderSince-killedAt)
	c.RunUntil(c.Now + 40_000)
	assert.Equal(t, 2, c.DeclaredLost)
	for k, node := range c.Nodes {
		if node.Up {
			s := c.ConsensusNodes[k].Group.Status(c.LocalTime(k))
			t.Logf("%s voter %v leader %s term %d commit %d lease held %v voters %v", node.Name, s.Voter, s.Leader, s.Term, s.Commit, s.LeaseHeld, s.Record.Voters)
		}
	}
	assert.Empty(t, c.Violations)
}

// Histories with kills, lost and full disks, stalls of seconds, partitions and loss: no incarnation acts on a lease once it is declared
// lost, and the lease operations are linearizable.
func TestRunConsensus_HoldsInvariantsUnderFaults(t *testing.T) {
	operations, declared := 0, 0
	for seed := range uint64(25) {
		result := RunConsensus(seed, nil)
		operations += result.Operations
		declared += result.DeclaredLost
		if len(result.Violations) > 0 {
			small := Shrink(result)
			require.Empty(t, small.Violations, "seed %d, faults %v", seed, small.Faults)
		}
	}
	assert.Greater(t, declared, 20)
	t.Logf("%d operations, %d incarnations declared lost", operations, declared)
}

func TestChecks_RefuseBrokenHistories(t *testing.T) {
	good := []Operation{{0, LeaseGranted, "a", 1, 0, 10}, {1, LossDeclared, "a", 1, 5, 20}, {0, LeaseRefused, "a", 1, 21, 22}}
	assert.True(t, Linearizable(good, nil))
	assert.False(t, Linearizable(append(good, Operation{0, LeaseGranted, "a", 1, 21, 30}), nil), "granted after it was lost")
	assert.False(t, Linearizable([]Operation{{0, LeaseRefused, "a", 1, 0, 1}, {1, LossDeclared, "a", 1, 2, 3}}, nil), "refused before")
	assert.True(t, Linearizable([]Operation{{0, LeaseRefused, "a", 1, 5, 6}}, []Operation{{1, LossDeclared, "a", 1, 2, 0}}))
	c := startConsensusCluster(t, 4, 3, 5)
	c.declareLost(incarnation{"n3", c.ConsensusNodes[3].incarnation})
	assert.NotEmpty(t, c.Violations, "one that holds its lease is declared lost")
}

// A voter is lost for good, and another while the first is being replaced; then all that can be is agreed again. A voter whose disk was
// wiped comes as a newcomer and is no voter by its old number.
func TestConsensusCluster_SurvivesVoterLossDuringReplacement(t *testing.T) {
	c := startConsensusCluster(t, 9, 5, 21)
	c.Kill(1)
	c.RunUntil(c.Now + 16_500) // the newcomer is about to catch up
	c.Kill(2)
	c.RunUntil(c.Now + 60_000)
	voters := func() (names []string) {
		for _, v := range c.ConsensusNodes[c.nodeNamed(c.Leader)].Group.Status(c.Now).Record.Voters {
			names = append(names, v.Name)
		}
		return names
	}
	assert.NotContains(t, voters(), "n1")
	assert.NotContains(t, voters(), "n2")
	assert.Len(t, voters(), 5)
	c.WipeDisk(1)
	c.Start(1)
	c.RunUntil(c.Now + 10_000)
	assert.False(t, c.ConsensusNodes[1].Group.Hello().Voter)
	assert.True(t, c.ConsensusNodes[1].Group.LeaseHeld(c.LocalTime(1)), "it is let in all the same")
	for k := range c.Nodes {
		assert.Equal(t, c.Nodes[k].Up, c.ConsensusNodes[k].Group.LeaseHeld(c.LocalTime(k)), "node %d", k)
	}
	assert.Empty(t, c.Violations)
}

// A node that starts while all its seeds are gone joins by those that found it. Of 2,000 seeds, this one broke it.
func TestRunConsensus_JoinsWithoutSeeds(t *testing.T) {
	assert.Empty(t, RunConsensus(487, nil).Violations)
}
