package clustersim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"liftshift/internal/membership"
)

// startCluster returns a cluster of n running nodes whose views have converged.
func startCluster(t *testing.T, n int, seed uint64) *Cluster {
	t.Helper()
	c := New(n, seed)
	for k := range n {
		c.Start(k)
	}
	requireConvergence(t, c, 10_000, "start")
	return c
}

// requireConvergence advances the simulation until the views have converged, and fails the test if they have not
// within the timeout. The description of the situation appears in messages.
func requireConvergence(t *testing.T, c *Cluster, timeoutMS float64, situation string) {
	t.Helper()
	elapsedMS := c.RunUntilConverged(timeoutMS, 50)
	require.GreaterOrEqual(t, elapsedMS, 0.0, "%d nodes, %s: views not converged after %.0f ms", len(c.Nodes), situation,
		timeoutMS)
	t.Logf("%d nodes, %s: converged in %.0f ms", len(c.Nodes), situation, elapsedMS)
}

// countFalselyDead counts, from now on, how often a view declares a running node dead.
func countFalselyDead(c *Cluster) *int {
	count := new(int)
	c.OnEffect = func(_ int, e *membership.Effect) {
		for _, node := range c.Nodes {
			if e.Kind == membership.MemberChanged && e.Member.State == membership.Dead && node.Name == e.Member.Name && node.Up {
				*count++
			}
		}
	}
	return count
}

// recordDatagrams runs the simulation for ten seconds and returns the datagrams that arrive at one node from another.
func recordDatagrams(c *Cluster, to, from int) (list [][]byte) {
	c.OnDatagram = func(a, b int, data []byte) {
		if a == from && b == to {
			list = append(list, data)
		}
	}
	c.RunUntil(c.Now + 10_000)
	c.OnDatagram = nil
	return list
}

// startConsensusCluster returns a cluster of n running nodes that all hold their leases.
func startConsensusCluster(t *testing.T, n, initialVoters int, seed uint64) *ConsensusCluster {
	t.Helper()
	c := NewConsensusCluster(n, initialVoters, seed)
	for k := range n {
		c.Start(k)
	}
	c.RunUntil(c.Now + 8000)
	require.NotEmpty(t, c.Leader, "seed %d: no leader was elected", seed)
	for k := range n {
		group := c.ConsensusNodes[k].Group
		require.True(t, group.LeaseHeld(c.LocalTime(k)), "seed %d: node %d does not hold its lease: %+v", seed, k,
			group.Status(c.LocalTime(k)))
	}
	return c
}

// voterNames returns the names of the voters and learners in the record of the leader.
func voterNames(c *ConsensusCluster) (names []string) {
	leader := c.ConsensusNodes[c.nodeIndexOf(c.Leader)]
	for _, voter := range leader.Group.Status(c.Now).Record.Voters {
		names = append(names, voter.Name)
	}
	return names
}
