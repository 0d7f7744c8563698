package clustersim

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/membership"
)

// A cluster starts at once, a third of it is killed, it is cut into halves and healed: the views converge each time.
func TestCluster_ConvergesAfterFaults(t *testing.T) {
	for _, n := range []int{2, 30, 150} {
		c := startCluster(t, n, uint64(n))
		for k := range n / 3 {
			c.Kill(3*k + 1)
		}
		requireConvergence(t, c, 15_000, "a third killed")
		for k := range n / 3 {
			c.Start(3*k + 1)
		}
		requireConvergence(t, c, 10_000, "started again")
		c.Network.Blocked = func(a, b int) bool { return a%2 != b%2 }
		c.RunUntil(c.Now + 30_000)
		assert.False(t, c.Converged())
		c.Network.Blocked = nil
		requireConvergence(t, c, 5000, "halves meet")
	}
}

// Cut into thirds, one cut off in both directions or in one, and in a ring: the views converge once all is whole.
func TestCluster_ConvergesAfterPartitions(t *testing.T) {
	partitions := map[string]func(a, b int) bool{
		"thirds":        func(a, b int) bool { return a%3 != b%3 },
		"one":           func(a, b int) bool { return a == 4 || b == 4 },
		"one way":       func(a, b int) bool { return a < 6 && b >= 6 },
		"one can't get": func(_, b int) bool { return b == 4 },
		"one can't say": func(a, _ int) bool { return a == 4 },
		"ring":          func(a, b int) bool { return (a%3+1)%3 != b%3 && a%3 != b%3 },
	}
	for name, blocked := range partitions {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, 12, 7)
			c.Network.Blocked = blocked
			c.RunUntil(c.Now + 40_000)
			c.Network.Blocked = nil
			requireConvergence(t, c, 10_000, name)
		})
	}
}

// With a third of all messages lost, and others duplicated and late, hardly a node is taken for dead.
func TestCluster_ToleratesLossAndDuplicates(t *testing.T) {
	c := startCluster(t, 12, 8)
	c.Network = Network{MinDelayMS: 1, MaxDelayMS: 80, Loss: 0.3, Duplication: 0.2}
	lost := countFalselyDead(c)
	c.RunUntil(c.Now + 60_000)
	assert.LessOrEqual(t, *lost, 1, "30% loss, duplicated and reordered")
	c.Network = Network{MinDelayMS: 1, MaxDelayMS: 2}
	requireConvergence(t, c, 10_000, "after loss")
}

// A member that restarts under its name is a new incarnation: at once, at another address, or with an incarnation lower than the
// cluster knows, because its store is lost and its clock is behind.
func TestCluster_RestartIsNewIncarnation(t *testing.T) {
	c := startCluster(t, 8, 3)
	c.Kill(2)
	c.RunUntil(c.Now + 100) // within a probe interval
	c.Start(2)
	c.RunUntil(c.Now + 1000)
	requireConvergence(t, c, 5000, "at once")
	c.Kill(2)
	c.SetAddress(2, "10.9.9.9:7")
	c.Start(2)
	c.RunUntil(c.Now + 1000)
	requireConvergence(t, c, 5000, "elsewhere")
	m, _ := c.Nodes[0].View.Find("n2")
	assert.Equal(t, "10.9.9.9:7", m.Address)
	before := m.Incarnation
	c.Kill(2)
	c.lastIncarnation = 10
	c.Start(2)
	c.RunUntil(c.Now + 3000)
	requireConvergence(t, c, 15_000, "with an old incarnation")
	m, _ = c.Nodes[0].View.Find("n2")
	assert.Greater(t, m.Incarnation, before, "it took on a later incarnation than the cluster knew")
}

// A member that stood still for 2 s stays; one that stood still for 30 s wakes up believing all alive, and is taken back.
func TestCluster_StalledNodeIsTakenBack(t *testing.T) {
	for seed := range uint64(30) {
		c := startCluster(t, 20, seed)
		lost := countFalselyDead(c)
		c.Stall(3, 2000)
		c.RunUntil(c.Now + 10_000)
		assert.Zero(t, *lost, "seed %d", seed)
	}
	c := startCluster(t, 20, 4)
	lost := countFalselyDead(c)
	c.Stall(3, 30_000)
	c.RunUntil(c.Now + 29_000)
	m, _ := c.Nodes[0].View.Find("n3")
	assert.Equal(t, membership.Dead, m.State)
	c.RunUntil(c.Now + 1000)
	*lost = 0
	requireConvergence(t, c, 8000, "awake")
	assert.Zero(t, *lost, "the one that stood still judges nobody by it")
}

// Two processes of one name: both know, both flag themselves as duplicated, and the others see the flag. It ends with one of them.
func TestCluster_DuplicateNameIsFlagged(t *testing.T) {
	c := New(9, 6)
	c.Nodes[8].Name = "n2"
	for k := range c.Nodes {
		c.Start(k)
	}
	c.RunUntil(8000)
	for _, k := range []int{2, 8} {
		assert.NotZero(t, c.Nodes[k].View.Self().Flags&membership.Duplicated, "node %d", k)
	}
	m, _ := c.Nodes[0].View.Find("n2")
	assert.NotZero(t, m.Flags&membership.Duplicated)
	c.Kill(8)
	c.RunUntil(c.Now + 20_000)
	assert.Zero(t, c.Nodes[2].View.Self().Flags&membership.Duplicated)
	m, _ = c.Nodes[0].View.Find("n2")
	assert.Equal(t, membership.Alive, m.State)
	assert.Equal(t, c.Nodes[2].Address, m.Address, "the one that is left")
}

// Without any seed the cluster goes on, and a newcomer joins once one is back. Halves that were cut apart meet though all seeds are gone.
func TestCluster_SurvivesLossOfSeeds(t *testing.T) {
	c := startCluster(t, 12, 9)
	for k := range 3 {
		c.Kill(k)
	}
	requireConvergence(t, c, 15_000, "without seeds")
	c.Network.Blocked = func(a, b int) bool { return a%2 != b%2 }
	c.RunUntil(c.Now + 30_000)
	c.Network.Blocked = nil
	requireConvergence(t, c, 8000, "halves without seeds")
	c.Kill(11)
	requireConvergence(t, c, 15_000, "one less")
	c.Start(11)
	requireConvergence(t, c, 10_000, "the others find one that was gone")
	c.Nodes[11].Name = "newcomer"
	c.Kill(11)
	c.SetAddress(11, "10.8.8.8:7")
	c.Start(11)
	c.RunUntil(c.Now + 5000)
	assert.Zero(t, c.Nodes[11].View.LivePeers(), "nobody it knows is there")
	c.Start(0)
	requireConvergence(t, c, 10_000, "a seed is back")
}

// A planned stop is known at once, and nobody is suspected for it.
func TestCluster_GracefulLeaveSuspectsNobody(t *testing.T) {
	c := startCluster(t, 20, 10)
	suspected := 0
	c.OnEffect = func(_ int, e *membership.Effect) {
		if e.Kind == membership.MemberChanged && e.Member.State == membership.Suspect {
			suspected++
		}
	}
	c.Deliver(5, membership.Event{Kind: membership.LeaveStarted})
	c.RunUntil(c.Now + 1000)
	m, _ := c.Nodes[1].View.Find("n5")
	assert.Equal(t, membership.Leaving, m.State)
	c.Deliver(5, membership.Event{Kind: membership.LeaveFinished})
	c.Kill(5)
	requireConvergence(t, c, 2000, "left")
	assert.Zero(t, suspected)
}

// Messages of an hour ago change nothing, though they tell of members that have gone since.
func TestCluster_IgnoresOldDatagrams(t *testing.T) {
	c := New(6, 11)
	for k := range c.Nodes {
		c.Start(k)
	}
	c.RunUntil(5000)
	old := recordDatagrams(c, 0, 3)
	c.Kill(3)
	c.RunUntil(c.Now + 3600e3)
	for _, d := range old {
		c.Deliver(0, membership.Event{Kind: membership.DatagramReceived, From: "10.0.0.3:7", Data: d})
	}
	m, _ := c.Nodes[0].View.Find("n3")
	assert.Equal(t, membership.Dead, m.State)
	assert.NotEmpty(t, old)
}

// A broken member that invents names can't make a view larger than its bound, nor keep real ones out.
func TestCluster_BoundsInventedMembers(t *testing.T) {
	c := New(4, 12)
	c.MembershipSettings.MaxMembers = 200
	for k := range c.Nodes {
		c.Start(k)
	}
	requireConvergence(t, c, 10_000, "start")
	for k := range 2000 { // each is heard by one node alone, as from a broken one
		v := membership.New(c.Now, "sim", membership.Member{Name: fmt.Sprint("invented-", k), Incarnation: 1, Address: fmt.Sprintf("10.99.%d.%d:1", k/250, k%250)},
			[]string{"10.0.0.0:7"}, membership.DefaultSettings(), uint32(k))
		for _, e := range v.Step(c.Now, &membership.Event{Kind: membership.Ticked}) {
			c.Deliver(0, membership.Event{Kind: membership.ExchangeRequested, From: v.Self().Address, Data: e.Data})
		}
		if k%100 == 0 {
			c.RunUntil(c.Now + 100)
		}
	}
	for _, nd := range c.Nodes {
		assert.LessOrEqual(t, len(nd.View.Members()), 200)
	}
	assert.Positive(t, c.Nodes[0].View.Counts().RejectedForSpace)
	c.RunUntil(c.Now + 60_000)
	c.Kill(3)
	c.RunUntil(c.Now + 100)
	c.Start(3)
	c.RunUntil(c.Now + 60_000)
	for _, nd := range c.Nodes {
		m, known := nd.View.Find("n3")
		assert.True(t, known && m.State == membership.Alive && m.Incarnation == c.lastIncarnation, "%v", m)
	}
}
