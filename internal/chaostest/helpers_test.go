package chaostest

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"liftshift/internal/adminapi"
)

// fastClusterSettings are lines of the cluster block with short timeouts, which keep tests of failures short.
const fastClusterSettings = "probe = \"200ms\"\n answer = \"80ms\"\n suspect = \"800ms\"\n" +
	" lease = \"2s\"\n declare = \"500ms\"\n"

// faultTagPrograms holds liftshift and liftshift-full built with the tag faults, once per test process.
var faultTagPrograms struct {
	once      sync.Once
	directory string
	output    []byte
	err       error
}

// buildFaultTagPrograms builds the programs with the tag faults, unless that was done, and returns the path of
// liftshift.
func buildFaultTagPrograms(t *testing.T) string {
	t.Helper()
	programs := &faultTagPrograms
	programs.once.Do(func() {
		if programs.directory, programs.err = os.MkdirTemp("", "chaostest"); programs.err == nil {
			programs.output, programs.err = exec.Command("go", "build", "-tags", "faults", "-o", programs.directory+"/",
				"liftshift/cmd/liftshift", "liftshift/cmd/liftshift-full").CombinedOutput()
		}
	})
	require.NoError(t, programs.err, "build with the tag faults: %s", programs.output)
	return filepath.Join(programs.directory, "liftshift")
}

// startCluster starts all controllers of a new cluster, as processes of liftshift built with the tag faults.
func startCluster(t *testing.T, config Config) *Cluster {
	t.Helper()
	config.Program, config.Directory = buildFaultTagPrograms(t), t.TempDir()
	if config.Seed == 0 {
		config.Seed = uint64(time.Now().UnixNano())
	}
	cluster := newCluster(t, config)
	require.NoError(t, cluster.StartAll())
	return cluster
}

// newCluster returns a cluster without running controllers. It is closed at the end of the test. If the test fails,
// diagnostics of the controllers and the beginnings of their logs are printed.
func newCluster(t *testing.T, config Config) *Cluster {
	t.Helper()
	cluster, err := New(config)
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			logDiagnostics(t, cluster)
		}
		cluster.Close()
		if t.Failed() {
			for _, c := range cluster.Controllers {
				t.Logf("---- %s\n%.4000s", c.Name, c.Log())
			}
		}
	})
	return cluster
}

// waitForConvergence waits until the membership views of all running controllers agree with the processes that run. The
// situation is named if they don't.
func waitForConvergence(t *testing.T, cluster *Cluster, situation string) {
	t.Helper()
	elapsed, err := cluster.WaitUntilConverged(15 * time.Second)
	require.NoError(t, err, situation)
	t.Logf("%s: converged in %v", situation, elapsed.Round(10*time.Millisecond))
}

// waitForLeader waits until a running controller leads the consensus group, and returns its number. The controller with
// the number excluded does not count; -1 excludes none.
func waitForLeader(t *testing.T, cluster *Cluster, excluded int) (leader int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for k, c := range cluster.Controllers {
			if !c.Running() || k == excluded {
				continue
			}
			if reply, err := cluster.consensus(k); err == nil && reply.Leader == c.Name {
				leader = k
				return true
			}
		}
		return false
	}, 15*time.Second, 20*time.Millisecond, "some controller must lead the consensus group (excluded: %d)", excluded)
	return leader
}

// holdsLease reports whether a controller answers and holds its lease.
func holdsLease(cluster *Cluster, controller int) bool {
	reply, err := cluster.consensus(controller)
	return err == nil && reply.LeaseHeld
}

// waitForLeases waits until all running controllers hold their leases.
func waitForLeases(t *testing.T, cluster *Cluster) {
	t.Helper()
	for k, c := range cluster.Controllers {
		if c.Running() {
			require.Eventually(t, func() bool { return holdsLease(cluster, k) }, 15*time.Second, 20*time.Millisecond,
				"%s must hold its lease", c.Name)
		}
	}
}

// waitForHandoffReady waits until all running controllers hold their leases and know the replicas of all partitions.
func waitForHandoffReady(t *testing.T, cluster *Cluster) {
	t.Helper()
	require.Eventually(t, func() bool { return cluster.handoffUnready() == "" }, 20*time.Second, 20*time.Millisecond,
		"all controllers must hold their leases and know the replicas of all partitions")
}

// The states of a member in the membership record of the consensus group.
const (
	memberAdmitted = "in"
	memberLeft     = "left"
	memberLost     = "lost"
)

// recordedMemberState returns the state of a member in the membership record of the consensus group, as a controller
// knows it: empty if the record does not have the member, and the error text if the controller does not answer.
func recordedMemberState(cluster *Cluster, controller int, name string) string {
	reply, err := cluster.consensus(controller)
	if err != nil {
		return err.Error()
	}
	index := slices.IndexFunc(reply.Members, func(m adminapi.AgreedMember) bool { return m.Name == name })
	switch {
	case index < 0:
		return ""
	case reply.Members[index].LeftGracefully:
		return memberLeft
	case reply.Members[index].Lost:
		return memberLost
	}
	return memberAdmitted
}

// voters returns the names of the voters of the consensus group, and of members that are about to become voters, as a
// controller knows them; nil if the controller does not answer.
func voters(cluster *Cluster, controller int) (names []string) {
	reply, err := cluster.consensus(controller)
	if err != nil {
		return nil
	}
	for _, v := range reply.Voters {
		names = append(names, v.Name)
	}
	return names
}
