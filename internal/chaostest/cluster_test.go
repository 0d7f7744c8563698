package chaostest

import (
	"bytes"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/adminapi"
)

// The membership views of twelve controllers converge after a simultaneous start, after a third and then all but one
// are killed, after each restart, and after a graceful stop.
func TestCluster_ConvergesAfterKillsAndRestarts(t *testing.T) {
	cluster := startCluster(t, Config{Controllers: 12, Executors: 2, Zones: 3, Store: true,
		ClusterSettings: fastClusterSettings})
	waitForConvergence(t, cluster, "after all controllers started")
	for _, k := range []int{1, 4, 7, 10} {
		cluster.Kill(k)
	}
	waitForConvergence(t, cluster, "after a third of the controllers was killed")
	require.NoError(t, cluster.StartAll())
	waitForConvergence(t, cluster, "after the killed controllers were restarted")
	for k := 1; k < 12; k++ {
		cluster.Kill(k)
	}
	waitForConvergence(t, cluster, "after all controllers but one were killed")
	require.NoError(t, cluster.StartAll())
	waitForConvergence(t, cluster, "after all killed controllers were restarted")
	assert.Zero(t, cluster.Terminate(5), "exit code of c5 after SIGTERM")
	elapsed, err := cluster.WaitUntilConverged(2 * time.Second)
	require.NoError(t, err, "a member that announced its departure needs no suspicion timeout")
	t.Logf("graceful stop: converged in %v", elapsed)
}

// No request gets two replies or runs more often than its class allows while a cluster under load is partitioned, loses
// the traffic of one controller in one direction, and has a controller that is suspended until it is declared dead.
func TestCluster_RunsRequestsOnceThroughPartitions(t *testing.T) {
	cluster := startCluster(t, Config{Controllers: 6, Executors: 3, Zones: 3, Store: true,
		ClusterSettings: fastClusterSettings, WorkMS: 3})
	waitForConvergence(t, cluster, "after all controllers started")
	history, stopLoad := cluster.StartLoad(6, 5*time.Millisecond)
	for _, fault := range []struct {
		name     string
		detected bool // whether the membership views must show the fault
		links    func(from, to int) Link
	}{
		{"two halves", true, func(from, to int) Link { return Link{Cut: from%2 != to%2} }},
		{"three thirds", true, func(from, to int) Link { return Link{Cut: from%3 != to%3} }},
		{"one controller isolated", true, func(from, to int) Link { return Link{Cut: from == 2 || to == 2} }},
		{"one controller muted", false, func(from, _ int) Link {
			return Link{Cut: from == 2, Loss: 0.05, Duplication: 0.05, DelayMS: 20}
		}},
	} {
		cluster.Relay.SetLinks(fault.links)
		time.Sleep(2500 * time.Millisecond)
		if fault.detected {
			converged, _ := cluster.Converged()
			assert.False(t, converged, "partition %q: the membership views must show it", fault.name)
		}
		cluster.healLinks()
		waitForConvergence(t, cluster, "after the links healed: "+fault.name)
	}
	require.NoError(t, cluster.Signal(3, syscall.SIGSTOP))
	time.Sleep(4 * time.Second)
	view, err := cluster.MembershipView(0)
	require.NoError(t, err)
	assert.Equal(t, stateDead, view["c3"], "state of the suspended c3 at c0")
	require.NoError(t, cluster.Signal(3, syscall.SIGCONT))
	waitForConvergence(t, cluster, "after the suspended controller resumed")
	assert.Contains(t, cluster.Controllers[3].Log(), "this controller stalled")
	stopLoad()
	requests := history.List()
	assert.Empty(t, Check(requests, cluster.RunLog.Runs(), 6))
	assert.Greater(t, len(requests), 300, "requests that ended")
}

// With the default timeouts, a controller that is suspended for 2 s stays a member. One that is suspended for 30 s is
// declared dead, must not suspect others by observations from before the suspension, and rejoins.
func TestCluster_ReadmitsSuspendedController(t *testing.T) {
	cluster := startCluster(t, Config{Controllers: 4, Executors: 1})
	waitForConvergence(t, cluster, "after all controllers started")
	require.NoError(t, cluster.Signal(3, syscall.SIGSTOP))
	time.Sleep(2 * time.Second)
	require.NoError(t, cluster.Signal(3, syscall.SIGCONT))
	waitForConvergence(t, cluster, "after a suspension of 2 s")
	require.NoError(t, cluster.Signal(3, syscall.SIGSTOP))
	time.Sleep(30 * time.Second)
	view, err := cluster.MembershipView(0)
	require.NoError(t, err)
	assert.Equal(t, stateDead, view["c3"], "state of the suspended c3 at c0")
	require.NoError(t, cluster.Signal(3, syscall.SIGCONT))
	waitForConvergence(t, cluster, "after a suspension of 30 s")
	assert.Equal(t, 2, strings.Count(cluster.Controllers[3].Log(), "this controller stalled"),
		"stalls that c3 logged, one for each suspension")
	assert.NotContains(t, cluster.Controllers[3].Log(), "cluster: gone",
		"c3 must declare no member dead for messages that it missed while suspended")
}

// A controller that restarts under its name, with its store or without, gets a later incarnation. Two running
// controllers with the same name both log the conflict.
func TestCluster_DetectsRestartsAndDuplicateNames(t *testing.T) {
	cluster := startCluster(t, Config{Controllers: 4, Executors: 1, Store: true, ClusterSettings: fastClusterSettings})
	waitForConvergence(t, cluster, "after all controllers started")
	explainMember := func() (adminapi.MemberExplanation, error) {
		return ask[adminapi.MemberExplanation](cluster, 0, adminapi.OperationMemberExplain, adminapi.NameRequest{Name: "c2"})
	}
	incarnation := func() string {
		reply, err := explainMember()
		require.NoError(t, err)
		return reply.Incarnation
	}
	first := incarnation()
	cluster.Kill(2)
	require.NoError(t, cluster.Start(2))
	waitForConvergence(t, cluster, "after c2 restarted")
	require.Eventually(t, func() bool { return incarnation() > first }, 5*time.Second, 20*time.Millisecond,
		"c2 must have a later incarnation than %s after a restart", first)
	second := incarnation()
	cluster.Kill(2)
	require.NoError(t, os.RemoveAll(cluster.Controllers[2].storeDirectory()))
	require.NoError(t, cluster.Start(2))
	waitForConvergence(t, cluster, "after c2 restarted without its store")
	require.Eventually(t, func() bool { return incarnation() > second }, 5*time.Second, 20*time.Millisecond,
		"c2 must have a later incarnation than %s after a restart without its store", second)
	file := cluster.Controllers[3].operatorFile()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	cluster.Kill(3)
	text = bytes.Replace(text, []byte("fleet {\n"), []byte("fleet {\n  member = \"c2\"\n"), 1)
	require.NoError(t, os.WriteFile(file, text, 0o600))
	require.NoError(t, cluster.Start(3))
	for _, k := range []int{2, 3} {
		require.Eventually(t, func() bool {
			return strings.Contains(cluster.Controllers[k].Log(), "duplicate member name")
		}, 10*time.Second, 20*time.Millisecond, "controller %d must log the duplicate member name", k)
	}
	third := incarnation()
	cluster.Kill(2)
	cluster.Kill(3)
	require.NoError(t, cluster.Start(3)) // has the name of c2, and the address and the store of c3
	require.Eventually(t, func() bool {
		reply, err := explainMember()
		return err == nil && reply.Address == cluster.Relay.AdvertiseAddress(3) && reply.State == stateAlive &&
			incarnation() > third
	}, 10*time.Second, 20*time.Millisecond,
		"the controller must join as c2 at its own address, and not count as a duplicate of the killed c2")
}

// While the disk of one voter is full and that of one non-voter fails, only those two controllers reject keyed
// requests, the voter reports its disk and stops voting, the consensus group stays available, and no process exits. All
// controllers handle keyed requests again once the disks work.
func TestCluster_RejectsKeyedRequestsWhileDisksFail(t *testing.T) {
	cluster := startCluster(t, Config{Controllers: 5, Executors: 2, Zones: 2, Founders: 3, Store: true,
		ClusterSettings: fastClusterSettings, WorkMS: 2})
	waitForConvergence(t, cluster, "after all controllers started")
	waitForLeases(t, cluster)
	history, stopLoad := cluster.StartLoad(5, 3*time.Millisecond)
	defer stopLoad()
	time.Sleep(time.Second)
	require.NoError(t, cluster.SetDiskState(1, "full"))
	require.NoError(t, cluster.SetDiskState(3, "failing"))
	cluster.Kill(4) // the consensus group has to record its loss
	failedAt := time.Now()
	leader := waitForLeader(t, cluster, 1)
	require.Eventually(t, func() bool {
		return recordedMemberState(cluster, leader, "c4") == memberLost
	}, 15*time.Second, 50*time.Millisecond, "two of three voters must record the loss of c4")
	require.Eventually(t, func() bool {
		return strings.Contains(cluster.Controllers[1].Log(), "voter has failed")
	}, 10*time.Second, 20*time.Millisecond, "c1 must log that its voter has failed")
	hasDiskFlag := func() bool {
		reply, err := cluster.members(0)
		return err == nil && slices.ContainsFunc(reply.Members, func(m adminapi.Member) bool {
			return m.Name == "c1" && slices.Contains(m.Flags, "disk-sick")
		})
	}
	require.Eventually(t, hasDiskFlag, 5*time.Second, 20*time.Millisecond, "c0 must see the disk flag of c1")
	time.Sleep(time.Second)
	repairedAt := time.Now()
	for _, k := range []int{1, 3} {
		require.NoError(t, cluster.SetDiskState(k, "sound"))
	}
	time.Sleep(2 * time.Second)
	stopLoad()
	rejected, handledAfterRepair := map[int]int{}, map[int]int{}
	for _, r := range history.List() {
		if r.IdempotencyKey != "" && r.Result == ResultRejected && r.At.After(failedAt) && r.At.Before(repairedAt) {
			rejected[r.Controller]++
		}
		if r.IdempotencyKey != "" && r.Result == ResultHandled && r.At.After(repairedAt.Add(time.Second)) {
			handledAfterRepair[r.Controller]++
		}
	}
	assert.Positive(t, rejected[3], "keyed requests that c3, whose disk fails, rejected")
	assert.LessOrEqual(t, rejected[0]+rejected[2], rejected[3]/10,
		"keyed requests that c0 and c2, whose disks work, rejected; a slow machine causes a few")
	for k := range 4 {
		assert.Positive(t, handledAfterRepair[k], "keyed requests that c%d handled once the disks worked again", k)
	}
	assert.Empty(t, Check(history.List(), cluster.RunLog.Runs(), 5))
	for k := range 4 {
		assert.NotZero(t, cluster.PID(k), "c%d must still run", k)
	}
}
