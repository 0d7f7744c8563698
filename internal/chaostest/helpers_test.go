package chaostest

import (
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var built struct {
	once sync.Once
	path string
	out  []byte
	err  error
}

// startCluster starts a fleet of the real program.
func startCluster(t *testing.T, config Config) *Cluster {
	t.Helper()
	built.once.Do(func() {
		dir, err := exec.Command("mktemp", "-d").Output()
		if built.err = err; err == nil {
			built.path = string(dir[:len(dir)-1])
			built.out, built.err = exec.Command("go", "build", "-tags", "faults", "-o", built.path+"/", "liftshift/cmd/liftshift", "liftshift/cmd/liftshift-full").CombinedOutput()
		}
	})
	require.NoError(t, built.err, string(built.out))
	config.Program, config.Directory = filepath.Join(built.path, "liftshift"), t.TempDir()
	if config.Seed == 0 {
		config.Seed = uint64(time.Now().UnixNano())
	}
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
	require.NoError(t, cl.StartAll())
	return cl
}

func waitConverged(t *testing.T, cl *Cluster, what string) {
	t.Helper()
	took, err := cl.WaitUntilConverged(15 * time.Second)
	require.NoError(t, err, what)
	t.Logf("%s: settled in %v", what, took.Round(10*time.Millisecond))
}

// waitForLeader waits until a controller other than one leads the council, and gives its number.
func waitForLeader(t *testing.T, cl *Cluster, not int) (leader int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for k, c := range cl.Controllers {
			if c.Running() && k != not {
				if a, err := cl.Call(k, "council", nil); err == nil && a["leader"] == c.Name {
					leader = k
					return true
				}
			}
		}
		return false
	}, 15*time.Second, 20*time.Millisecond, "somebody leads")
	return leader
}

func holdsLease(cl *Cluster, k int) bool {
	a, err := cl.Call(k, "council", nil)
	return err == nil && a["held"] == true
}

// waitForLeases waits until all that run hold their leases.
func waitForLeases(t *testing.T, cl *Cluster) {
	t.Helper()
	for k, c := range cl.Controllers {
		if c.Running() {
			require.Eventually(t, func() bool { return holdsLease(cl, k) }, 15*time.Second, 20*time.Millisecond, "%s holds its lease", c.Name)
		}
	}
}

// agreedState gives how a name stands in the record, as one controller has it.
func agreedState(cl *Cluster, k int, name string) string {
	a, err := cl.Call(k, "council", nil)
	if err != nil {
		return err.Error()
	}
	list, _ := a["places"].([]any)
	for _, x := range list {
		if p, _ := x.(map[string]any); p["name"] == name {
			switch {
			case p["left"] == true:
				return "left"
			case p["lost"] == true:
				return "lost"
			}
			return "in"
		}
	}
	return ""
}

// voters gives who votes, or learns to, as one controller has it.
func voters(cl *Cluster, k int) (names []string) {
	a, err := cl.Call(k, "council", nil)
	if err != nil {
		return nil
	}
	list, _ := a["voters"].([]any)
	for _, x := range list {
		v, _ := x.(map[string]any)
		name, _ := v["name"].(string)
		names = append(names, name)
	}
	return names
}
