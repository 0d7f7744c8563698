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

// Twelve processes join at once; a third is killed, then all but one, and started again: the views converge each time.
func TestCluster_ConvergesAfterKillsAndRestarts(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 12, Executors: 2, Zones: 3, Store: true, ClusterSettings: quickCluster})
	waitConverged(t, cl, "all join")
	for _, k := range []int{1, 4, 7, 10} {
		cl.Kill(k)
	}
	waitConverged(t, cl, "a third killed")
	require.NoError(t, cl.StartAll())
	waitConverged(t, cl, "started again")
	for k := 1; k < 12; k++ {
		cl.Kill(k)
	}
	waitConverged(t, cl, "all but one killed")
	require.NoError(t, cl.StartAll())
	waitConverged(t, cl, "all again")
	assert.Zero(t, cl.Terminate(5))
	took, err := cl.WaitUntilConverged(2 * time.Second)
	require.NoError(t, err, "nobody has to suspect one that said that it goes")
	t.Logf("a planned stop: settled in %v", took)
}

// Clusters are partitioned and healed under load, one controller is cut off in one direction, and one is suspended until it is declared dead:
// no request is answered twice or runs twice for it.
func TestCluster_RunsRequestsOnceThroughPartitions(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 6, Executors: 3, Zones: 3, Store: true, ClusterSettings: quickCluster, WorkMS: 3})
	waitConverged(t, cl, "all join")
	history, end := cl.StartLoad(6, 5*time.Millisecond)
	for _, fault := range []struct {
		name     string
		detected bool
		links    func(a, b int) Link
	}{
		{"halves", true, func(a, b int) Link { return Link{Cut: a%2 != b%2} }},
		{"thirds", true, func(a, b int) Link { return Link{Cut: a%3 != b%3} }},
		{"one from all", true, func(a, b int) Link { return Link{Cut: a == 2 || b == 2} }},
		{"one way only", false, func(a, _ int) Link { return Link{Cut: a == 2, Loss: 0.05, Duplication: 0.05, DelayMS: 20} }},
	} {
		cl.Relay.SetLinks(fault.links)
		time.Sleep(2500 * time.Millisecond)
		if fault.detected {
			converged, _ := cl.Converged()
			assert.False(t, converged, "%s know that they are partitioned", fault.name)
		}
		cl.healLinks()
		waitConverged(t, cl, fault.name+" healed")
	}
	require.NoError(t, cl.Signal(3, syscall.SIGSTOP))
	time.Sleep(4 * time.Second)
	view, err := cl.MembershipView(0)
	require.NoError(t, err)
	assert.Equal(t, stateDead, view["c3"])
	require.NoError(t, cl.Signal(3, syscall.SIGCONT))
	waitConverged(t, cl, "awake")
	assert.Contains(t, cl.Controllers[3].Log(), "this controller stalled")
	end()
	requests := history.List()
	assert.Empty(t, Check(requests, cl.RunLog.Runs(), 6))
	assert.Greater(t, len(requests), 300)
}

// With the default times, a process that is suspended for 2 s stays a member. One that is suspended for 30 s is declared dead, resumes in the
// belief that it is alive, distrusts its own observations, accuses nobody, and is taken back.
func TestCluster_TakesBackSuspendedController(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 4, Executors: 1})
	waitConverged(t, cl, "all join")
	require.NoError(t, cl.Signal(3, syscall.SIGSTOP))
	time.Sleep(2 * time.Second)
	require.NoError(t, cl.Signal(3, syscall.SIGCONT))
	waitConverged(t, cl, "after 2 s")
	require.NoError(t, cl.Signal(3, syscall.SIGSTOP))
	time.Sleep(30 * time.Second)
	view, err := cl.MembershipView(0)
	require.NoError(t, err)
	assert.Equal(t, stateDead, view["c3"])
	require.NoError(t, cl.Signal(3, syscall.SIGCONT))
	waitConverged(t, cl, "after 30 s")
	assert.Equal(t, 2, strings.Count(cl.Controllers[3].Log(), "this controller stalled"))
	assert.NotContains(t, cl.Controllers[3].Log(), "cluster: gone", "it judged nobody by what it did not hear")
}

// A restart under the same name, at once and with its store lost, is a later incarnation; two processes of one name are both reported.
func TestCluster_DetectsRestartsAndDuplicateNames(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 4, Executors: 1, Store: true, ClusterSettings: quickCluster})
	waitConverged(t, cl, "all join")
	explain := func() (adminapi.MemberExplanation, error) {
		return ask[adminapi.MemberExplanation](cl, 0, adminapi.OperationMemberExplain, adminapi.NameRequest{Name: "c2"})
	}
	incarnation := func() string {
		reply, err := explain()
		require.NoError(t, err)
		return reply.Incarnation
	}
	first := incarnation()
	cl.Kill(2)
	require.NoError(t, cl.Start(2))
	waitConverged(t, cl, "at once")
	require.Eventually(t, func() bool { return incarnation() > first }, 5*time.Second, 20*time.Millisecond)
	second := incarnation()
	cl.Kill(2)
	require.NoError(t, os.RemoveAll(cl.Controllers[2].storeDirectory()))
	require.NoError(t, cl.Start(2))
	waitConverged(t, cl, "its store lost")
	require.Eventually(t, func() bool { return incarnation() > second }, 5*time.Second, 20*time.Millisecond)
	file := cl.Controllers[3].operatorFile()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	cl.Kill(3)
	require.NoError(t, os.WriteFile(file, bytes.Replace(text, []byte("fleet {\n"), []byte("fleet {\n  member = \"c2\"\n"), 1), 0o600))
	require.NoError(t, cl.Start(3))
	for _, k := range []int{2, 3} {
		require.Eventually(t, func() bool { return strings.Contains(cl.Controllers[k].Log(), "duplicate member name") }, 10*time.Second,
			20*time.Millisecond, "controller %d names the other", k)
	}
	third := incarnation()
	cl.Kill(2)
	cl.Kill(3)
	require.NoError(t, cl.Start(3)) // the name of c2, with the address and the store of c3
	require.Eventually(t, func() bool {
		reply, err := explain()
		return err == nil && reply.Address == cl.Relay.AdvertiseAddress(3) && reply.State == stateAlive && incarnation() > third
	}, 10*time.Second, 20*time.Millisecond, "at another address, and not the duplicate of the one that was killed")
}

// Under load the disk of a voter fills up, and that of a controller that does not vote fails: keyed requests are rejected there and nowhere else,
// the voter falls silent and flags its disk, the consensus group goes on, no process ends; all is as before once the disks are sound.
func TestCluster_RejectsKeyedRequestsWhileDisksFail(t *testing.T) {
	cl := startCluster(t, Config{Controllers: 5, Executors: 2, Zones: 2, Founders: 3, Store: true, ClusterSettings: quickCluster, WorkMS: 2})
	waitConverged(t, cl, "all join")
	waitForLeases(t, cl)
	history, end := cl.StartLoad(5, 3*time.Millisecond)
	defer end()
	time.Sleep(time.Second)
	require.NoError(t, cl.SetDiskState(1, "full"))
	require.NoError(t, cl.SetDiskState(3, "failing"))
	cl.Kill(4) // something that the consensus group has to record
	failing := time.Now()
	leader := waitForLeader(t, cl, 1)
	require.Eventually(t, func() bool { return agreedState(cl, leader, "c4") == agreedLost }, 15*time.Second, 50*time.Millisecond, "two of three voters agree")
	require.Eventually(t, func() bool { return strings.Contains(cl.Controllers[1].Log(), "voter has failed") }, 10*time.Second, 20*time.Millisecond)
	flagged := func() bool {
		reply, err := cl.members(0)
		return err == nil && slices.ContainsFunc(reply.Members, func(m adminapi.Member) bool {
			return m.Name == "c1" && slices.Contains(m.Flags, "disk-sick")
		})
	}
	require.Eventually(t, flagged, 5*time.Second, 20*time.Millisecond, "the others see its flag")
	time.Sleep(time.Second)
	sound := time.Now()
	for _, k := range []int{1, 3} {
		require.NoError(t, cl.SetDiskState(k, "sound"))
	}
	time.Sleep(2 * time.Second)
	end()
	rejected, after := map[int]int{}, map[int]int{}
	for _, r := range history.List() {
		if r.IdempotencyKey != "" && r.Result == ResultRejected && r.At.After(failing) && r.At.Before(sound) {
			rejected[r.Controller]++
		}
		if r.IdempotencyKey != "" && r.Result == ResultHandled && r.At.After(sound.Add(time.Second)) {
			after[r.Controller]++
		}
	}
	assert.Positive(t, rejected[3])
	assert.LessOrEqual(t, rejected[0]+rejected[2], rejected[3]/10, "whose disks are sound, if the machine is slow at times")
	for k := range 4 {
		assert.Positive(t, after[k], "%d handles keyed requests again", k)
	}
	assert.Empty(t, Check(history.List(), cl.RunLog.Runs(), 5))
	for k := range 4 {
		assert.NotZero(t, cl.PID(k))
	}
}
