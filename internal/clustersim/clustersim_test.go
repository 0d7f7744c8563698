package clustersim

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/membership"
)

// The views must converge after a simultaneous start, after the loss and restart of a third of the nodes, and after a
// partition into halves has healed.
func TestCluster_ConvergesAfterFaults(t *testing.T) {
	for _, n := range []int{2, 30, 150} {
		c := startCluster(t, n, uint64(n))
		for k := range n / 3 {
			c.Kill(3*k + 1)
		}
		requireConvergence(t, c, 15_000, "a third of the nodes killed")
		for k := range n / 3 {
			c.Start(3*k + 1)
		}
		requireConvergence(t, c, 10_000, "killed nodes restarted")
		c.Network.Blocked = func(a, b int) bool { return a%2 != b%2 }
		c.RunUntil(c.Now + 30_000)
		assert.False(t, c.Converged(), "%d nodes: the views must differ during the partition", n)
		c.Network.Blocked = nil
		requireConvergence(t, c, 5000, "partition into halves healed")
	}
}

// The views must converge after symmetric, one-way and ring-shaped partitions have healed.
func TestCluster_ConvergesAfterPartitions(t *testing.T) {
	partitions := map[string]func(a, b int) bool{
		"thirds":            func(a, b int) bool { return a%3 != b%3 },
		"one node":          func(a, b int) bool { return a == 4 || b == 4 },
		"halves one-way":    func(a, b int) bool { return a < 6 && b >= 6 },
		"one can't receive": func(_, b int) bool { return b == 4 },
		"one can't send":    func(a, _ int) bool { return a == 4 },
		"ring":              func(a, b int) bool { return (a%3+1)%3 != b%3 && a%3 != b%3 },
	}
	for name, blocked := range partitions {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, 12, 7)
			c.Network.Blocked = blocked
			c.RunUntil(c.Now + 40_000)
			c.Network.Blocked = nil
			requireConvergence(t, c, 10_000, name+" healed")
		})
	}
}

// Failure detection must tolerate 30% message loss with duplicated and reordered messages almost without false
// positives.
func TestCluster_ToleratesLossAndDuplicates(t *testing.T) {
	c := startCluster(t, 12, 8)
	c.Network = Network{MinDelayMS: 1, MaxDelayMS: 80, Loss: 0.3, Duplication: 0.2}
	falselyDead := countFalselyDead(c)
	c.RunUntil(c.Now + 60_000)
	assert.LessOrEqual(t, *falselyDead, 1, "running nodes declared dead under 30% loss, duplication and reordering")
	c.Network = Network{MinDelayMS: 1, MaxDelayMS: 2}
	requireConvergence(t, c, 10_000, "network repaired")
}

// A member that restarts under its name must be accepted as a new incarnation: at once, at another address, or with
// an incarnation below the known one, as after the loss of its store with a slow clock.
func TestCluster_RestartIsNewIncarnation(t *testing.T) {
	c := startCluster(t, 8, 3)
	c.Kill(2)
	c.RunUntil(c.Now + 100) // shorter than a probe interval
	c.Start(2)
	c.RunUntil(c.Now + 1000)
	requireConvergence(t, c, 5000, "restarted at once")
	c.Kill(2)
	c.SetAddress(2, "10.9.9.9:7")
	c.Start(2)
	c.RunUntil(c.Now + 1000)
	requireConvergence(t, c, 5000, "restarted at another address")
	member, _ := c.Nodes[0].View.Find("n2")
	assert.Equal(t, "10.9.9.9:7", member.Address)
	before := member.Incarnation
	c.Kill(2)
	c.lastIncarnation = 10
	c.Start(2)
	c.RunUntil(c.Now + 3000)
	requireConvergence(t, c, 15_000, "restarted with an old incarnation")
	member, _ = c.Nodes[0].View.Find("n2")
	assert.Greater(t, member.Incarnation, before, "the member must adopt an incarnation above the known one")
}

// A stall of 2 s must not get a member declared dead. A member that was declared dead during a stall of 30 s must
// rejoin, and must not declare others dead because of its own stall.
func TestCluster_StalledNodeRejoins(t *testing.T) {
	for seed := range uint64(30) {
		c := startCluster(t, 20, seed)
		falselyDead := countFalselyDead(c)
		c.Stall(3, 2000)
		c.RunUntil(c.Now + 10_000)
		assert.Zero(t, *falselyDead, "seed %d: running nodes declared dead after a stall of 2 s", seed)
	}
	c := startCluster(t, 20, 4)
	falselyDead := countFalselyDead(c)
	c.Stall(3, 30_000)
	c.RunUntil(c.Now + 29_000)
	member, _ := c.Nodes[0].View.Find("n3")
	assert.Equal(t, membership.Dead, member.State)
	c.RunUntil(c.Now + 1000)
	*falselyDead = 0
	requireConvergence(t, c, 8000, "stall over")
	assert.Zero(t, *falselyDead, "a stalled node must not declare others dead because of its own stall")
}

// Two members with the same name must both flag themselves as duplicated, and the others must see the flag until one
// of the two is gone.
func TestCluster_DuplicateNameIsFlagged(t *testing.T) {
	c := New(9, 6)
	c.Nodes[8].Name = "n2"
	for k := range c.Nodes {
		c.Start(k)
	}
	c.RunUntil(8000)
	for _, k := range []int{2, 8} {
		assert.NotZero(t, c.Nodes[k].View.Self().Flags&membership.Duplicated, "node %d is not flagged as duplicated", k)
	}
	member, _ := c.Nodes[0].View.Find("n2")
	assert.NotZero(t, member.Flags&membership.Duplicated)
	c.Kill(8)
	c.RunUntil(c.Now + 20_000)
	assert.Zero(t, c.Nodes[2].View.Self().Flags&membership.Duplicated)
	member, _ = c.Nodes[0].View.Find("n2")
	assert.Equal(t, membership.Alive, member.State)
	assert.Equal(t, c.Nodes[2].Address, member.Address, "the address must be that of the remaining member")
}

// A cluster without running seeds must keep working, merge after a partition and take back known members. New members
// can't join until a seed is back.
func TestCluster_SurvivesLossOfSeeds(t *testing.T) {
	c := startCluster(t, 12, 9)
	for k := range 3 {
		c.Kill(k)
	}
	requireConvergence(t, c, 15_000, "all seeds killed")
	c.Network.Blocked = func(a, b int) bool { return a%2 != b%2 }
	c.RunUntil(c.Now + 30_000)
	c.Network.Blocked = nil
	requireConvergence(t, c, 8000, "partition without seeds healed")
	c.Kill(11)
	requireConvergence(t, c, 15_000, "node 11 killed")
	c.Start(11)
	requireConvergence(t, c, 10_000, "node 11 restarted")
	c.Nodes[11].Name = "newcomer"
	c.Kill(11)
	c.SetAddress(11, "10.8.8.8:7")
	c.Start(11)
	c.RunUntil(c.Now + 5000)
	assert.Zero(t, c.Nodes[11].View.LivePeers(), "a new member must not find peers while all seeds are down")
	c.Start(0)
	requireConvergence(t, c, 10_000, "seed restarted")
}

// A graceful leave must be known at once, without a suspicion.
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
	member, _ := c.Nodes[1].View.Find("n5")
	assert.Equal(t, membership.Leaving, member.State)
	c.Deliver(5, membership.Event{Kind: membership.LeaveFinished})
	c.Kill(5)
	requireConvergence(t, c, 2000, "node 5 left")
	assert.Zero(t, suspected, "suspicions raised during a graceful leave")
}

// Datagrams from an hour ago must not revive a member that has died since.
func TestCluster_IgnoresOldDatagrams(t *testing.T) {
	c := New(6, 11)
	for k := range c.Nodes {
		c.Start(k)
	}
	c.RunUntil(5000)
	old := recordDatagrams(c, 0, 3)
	c.Kill(3)
	c.RunUntil(c.Now + 3600e3)
	for _, datagram := range old {
		c.Deliver(0, membership.Event{Kind: membership.DatagramReceived, From: "10.0.0.3:7", Data: datagram})
	}
	member, _ := c.Nodes[0].View.Find("n3")
	assert.Equal(t, membership.Dead, member.State)
	assert.NotEmpty(t, old, "no datagrams were recorded")
}

// A faulty member that invents names must not grow a view beyond its bound or keep real members out.
func TestCluster_BoundsInventedMembers(t *testing.T) {
	c := New(4, 12)
	c.MembershipSettings.MaxMembers = 200
	for k := range c.Nodes {
		c.Start(k)
	}
	requireConvergence(t, c, 10_000, "start")
	for k := range 2000 { // each invented member contacts only node 0
		self := membership.Member{
			Name: fmt.Sprint("invented-", k), Incarnation: 1, Address: fmt.Sprintf("10.99.%d.%d:1", k/250, k%250),
		}
		view := membership.New(c.Now, "sim", self, []string{"10.0.0.0:7"}, membership.DefaultSettings(), uint32(k))
		for _, e := range view.Step(c.Now, &membership.Event{Kind: membership.Ticked}) {
			c.Deliver(0, membership.Event{Kind: membership.ExchangeRequested, From: view.Self().Address, Data: e.Data})
		}
		if k%100 == 0 {
			c.RunUntil(c.Now + 100)
		}
	}
	for _, node := range c.Nodes {
		assert.LessOrEqual(t, len(node.View.Members()), 200, "members in the view of %s", node.Name)
	}
	assert.Positive(t, c.Nodes[0].View.Counts().RejectedForSpace, "node 0 has rejected no member for lack of space")
	c.RunUntil(c.Now + 60_000)
	c.Kill(3)
	c.RunUntil(c.Now + 100)
	c.Start(3)
	c.RunUntil(c.Now + 60_000)
	for _, node := range c.Nodes {
		member, known := node.View.Find("n3")
		assert.True(t, known && member.State == membership.Alive && member.Incarnation == c.lastIncarnation,
			"%s does not have the restarted n3 as alive: %v", node.Name, member)
	}
}
