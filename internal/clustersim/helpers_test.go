package clustersim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"liftshift/internal/membership"
)

// startCluster returns a cluster whose n nodes are started and have converged.
func startCluster(t *testing.T, n int, seed uint64) *Cluster {
	t.Helper()
	c := New(n, seed)
	for k := range n {
		c.Start(k)
	}
	requireConvergence(t, c, 10_000, "start")
	return c
}

// requireConvergence waits until the views have converged.
func requireConvergence(t *testing.T, c *Cluster, timeout float64, what string) {
	t.Helper()
	took := c.RunUntilConverged(timeout, 50)
	require.GreaterOrEqual(t, took, 0.0, "%d nodes, %s: not converged after %.0f ms", len(c.Nodes), what, timeout)
	t.Logf("%d nodes, %s: converged in %.0f ms", len(c.Nodes), what, took)
}

// countFalselyDead counts the nodes that are taken for dead though they are up.
func countFalselyDead(c *Cluster) *int {
	n := new(int)
	c.OnEffect = func(_ int, e *membership.Effect) {
		for _, node := range c.Nodes {
			if e.Kind == membership.MemberChanged && e.Member.State == membership.Dead && node.Name == e.Member.Name && node.Up {
				*n++
			}
		}
	}
	return n
}

// recordDatagrams returns what one node sends to another within ten seconds.
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

// startConsensusCluster returns a cluster whose n nodes are started and hold their leases.
func startConsensusCluster(t *testing.T, n, initialVoters int, seed uint64) *ConsensusCluster {
	t.Helper()
	c := NewConsensusCluster(n, initialVoters, seed)
	for k := range n {
		c.Start(k)
	}
	c.RunUntil(c.Now + 8000)
	require.NotEmpty(t, c.Leader, "seed %d", seed)
	for k := range n {
		require.True(t, c.ConsensusNodes[k].Group.LeaseHeld(c.LocalTime(k)), "seed %d: %d holds its lease: %+v", seed, k, c.ConsensusNodes[k].Group.Status(c.LocalTime(k)))
	}
	return c
}
