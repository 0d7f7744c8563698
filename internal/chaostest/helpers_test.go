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

// quickCluster has short times, so that tests need not wait long.
const quickCluster = "probe = \"200ms\"\n answer = \"80ms\"\n suspect = \"800ms\"\n lease = \"2s\"\n declare = \"500ms\"\n"

// faultyPrograms are the programs with the tag faults, built once per test process.
var faultyPrograms struct {
	once      sync.Once
	directory string
	output    []byte
	err       error
}

// buildFaultyPrograms returns the path of liftshift, built with the tag faults.
func buildFaultyPrograms(t *testing.T) string {
	t.Helper()
	p := &faultyPrograms
	p.once.Do(func() {
		if p.directory, p.err = os.MkdirTemp("", "chaostest"); p.err == nil {
			p.output, p.err = exec.Command("go", "build", "-tags", "faults", "-o", p.directory+"/",
				"liftshift/cmd/liftshift", "liftshift/cmd/liftshift-full").CombinedOutput()
		}
	})
	require.NoError(t, p.err, string(p.output))
	return filepath.Join(p.directory, "liftshift")
}

// startCluster starts a cluster of the real program.
func startCluster(t *testing.T, config Config) *Cluster {
	t.Helper()
	config.Program, config.Directory = buildFaultyPrograms(t), t.TempDir()
	if config.Seed == 0 {
		config.Seed = uint64(time.Now().UnixNano())
	}
	cl := newCluster(t, config)
	require.NoError(t, cl.StartAll())
	return cl
}

// newCluster returns a cluster that ends with the test; the logs of its controllers are printed if the test fails.
func newCluster(t *testing.T, config Config) *Cluster {
	t.Helper()
	cl, err := New(config)
	require.NoError(t, err)
	t.Cleanup(func() {
		cl.Close()
		if t.Failed() {
			for _, c := range cl.Controllers {
				t.Logf("---- %s\n%.4000s", c.Name, c.Log())
			}
		}
	})
	return cl
}

func waitConverged(t *testing.T, cl *Cluster, what string) {
	t.Helper()
	elapsed, err := cl.WaitUntilConverged(15 * time.Second)
	require.NoError(t, err, what)
	t.Logf("%s: converged in %v", what, elapsed.Round(10*time.Millisecond))
}

// waitForLeader waits until a controller other than one leads the consensus group, and returns its number.
func waitForLeader(t *testing.T, cl *Cluster, not int) (leader int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for k, c := range cl.Controllers {
			if !c.Running() || k == not {
				continue
			}
			if reply, err := cl.consensus(k); err == nil && reply.Leader == c.Name {
				leader = k
				return true
			}
		}
		return false
	}, 15*time.Second, 20*time.Millisecond, "some controller leads")
	return leader
}

func holdsLease(cl *Cluster, k int) bool {
	reply, err := cl.consensus(k)
	return err == nil && reply.LeaseHeld
}

// waitForLeases waits until all controllers that run hold their leases.
func waitForLeases(t *testing.T, cl *Cluster) {
	t.Helper()
	for k, c := range cl.Controllers {
		if c.Running() {
			require.Eventually(t, func() bool { return holdsLease(cl, k) }, 15*time.Second, 20*time.Millisecond, "%s holds its lease", c.Name)
		}
	}
}

// waitForReplicas waits until all controllers that run know the replicas of all partitions, and hold their leases.
func waitForReplicas(t *testing.T, cl *Cluster) {
	t.Helper()
	require.Eventually(t, func() bool { return cl.handoffUnready() == "" }, 20*time.Second, 20*time.Millisecond, "all know the replicas")
}

// The states of a member in the agreed record.
const (
	agreedIn   = "in"
	agreedLeft = "left"
	agreedLost = "lost"
)

// agreedState returns the state of a member in the agreed record, as one controller has it; empty: it is not there.
func agreedState(cl *Cluster, k int, name string) string {
	reply, err := cl.consensus(k)
	if err != nil {
		return err.Error()
	}
	at := slices.IndexFunc(reply.Members, func(m adminapi.AgreedMember) bool { return m.Name == name })
	switch {
	case at < 0:
		return ""
	case reply.Members[at].LeftGracefully:
		return agreedLeft
	case reply.Members[at].Lost:
		return agreedLost
	}
	return agreedIn
}

// voters returns the voters of the consensus group and those that are to become voters, as one controller has it.
func voters(cl *Cluster, k int) (names []string) {
	reply, err := cl.consensus(k)
	if err != nil {
		return nil
	}
	for _, v := range reply.Voters {
		names = append(names, v.Name)
	}
	return names
}
