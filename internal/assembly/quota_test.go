package assembly

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/testservers"
)

// weightedTeams configures two teams that share by weight, and a default team for all other requests.
const weightedTeams = `quotas {
  default = "other"
  attribution = ["field", "class"]
  team "model" { weight = 3 }
  team "render" { weight = 1 }
  team "other" { weight = 0.001 }
}
`

// startController starts a controller with the content of an operators' file and two executors of eight cores each. The
// process is killed at the end of the test.
func startController(
	t *testing.T, operatorConfig string, workByClass map[string]time.Duration,
) (listen string, cmd *exec.Cmd, log *bytes.Buffer) {
	runLog := &testservers.RunLog{}
	var executors []*testservers.Executor
	for i := range 2 {
		e := &testservers.Executor{
			Name:        fmt.Sprint("s-", i),
			Zone:        "here",
			DedupWindow: 20 * time.Second,
			Cores:       8,
			WorkByClass: workByClass,
			RunLog:      runLog,
		}
		require.NoError(t, e.Start())
		t.Cleanup(e.Stop)
		executors = append(executors, e)
	}
	dir := t.TempDir()
	discovery, stop, err := testservers.StartEmptyDiscovery()
	require.NoError(t, err)
	t.Cleanup(stop)
	listen, log = freeAddress(t), &bytes.Buffer{}
	nodeFile, operatorFile := filepath.Join(dir, "node.json"), filepath.Join(dir, "teams.hcl")
	nodeConfig := testservers.NodeConfig(listen, discovery, 20*time.Second, executors...)
	require.NoError(t, os.WriteFile(nodeFile, nodeConfig, 0o600))
	require.NoError(t, os.WriteFile(operatorFile, []byte(operatorConfig), 0o600))
	cmd = exec.Command(buildPrograms(t), "serve", "--file", operatorFile)
	cmd.Env, cmd.Stderr = append(os.Environ(), "RELAY_CONFIG="+nodeFile), log
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return listen, cmd, log
}

// startClients starts clients of a team that send one request after another until stop is set. They add themselves to
// running, and count the successful requests in the counter returned. If onReply is not nil, it gets each reply and the
// time at which its request was sent.
func startClients(
	t *testing.T, running *sync.WaitGroup, listen, team, class string, clients int, stop *atomic.Bool,
	onReply func(reply testservers.Reply, sentAt time.Time),
) (succeeded *atomic.Int64) {
	succeeded = &atomic.Int64{}
	for client := range clients {
		running.Add(1)
		go func() {
			defer running.Done()
			c, err := testservers.Dial(listen, 10*time.Second)
			if !assert.NoError(t, err) {
				return
			}
			defer c.Close()
			for n := 0; !stop.Load(); n++ {
				params := map[string]any{
					"req":     fmt.Sprintf("%s-%d-%d", team, client, n),
					"timeout": 4500,
					"ms":      20,
					"ram":     1,
					"data":    "c2VsZWN0IDE=",
					"team":    team,
					"waits":   true,
				}
				if class == "mark" {
					params["opkey"] = fmt.Sprintf("k-%s-%d-%d", team, client, n)
				}
				sentAt := time.Now()
				reply, err := c.Call(class, params, 10*time.Second)
				if !assert.NoError(t, err) {
					return
				}
				if reply.Code == 0 {
					succeeded.Add(1)
				}
				if onReply != nil {
					onReply(reply, sentAt)
				}
			}
		}()
	}
	return succeeded
}

// Two teams with more requests than the executors can run must get work by their weights, and every request must get
// one reply, also at a graceful shutdown with full queues. Most wait estimates that clients get must hold.
func TestQuotas_ShareByWeight(t *testing.T) {
	listen, cmd, log := startController(t, weightedTeams, map[string]time.Duration{"look": 20 * time.Millisecond})
	var running sync.WaitGroup
	var stop atomic.Bool
	var estimates, estimatesHeld atomic.Int64
	start := time.Now()
	onReply := func(reply testservers.Reply, sentAt time.Time) {
		noEstimate := len(reply.Waits) == 0 || reply.Waits[0].Unknown
		if noEstimate || reply.Code != 0 || time.Since(start) < 2*time.Second {
			return
		}
		estimates.Add(1)
		if float64(time.Since(sentAt).Milliseconds()) <= reply.Waits[0].End+5 {
			estimatesHeld.Add(1)
		}
	}
	modelSucceeded := startClients(t, &running, listen, "model", "look", 48, &stop, onReply)
	renderSucceeded := startClients(t, &running, listen, "render", "look", 48, &stop, onReply)
	time.Sleep(1500 * time.Millisecond)
	model, render := modelSucceeded.Load(), renderSucceeded.Load()
	time.Sleep(2500 * time.Millisecond)
	model, render = modelSucceeded.Load()-model, renderSucceeded.Load()-render
	// The bounds are wide so that the test passes on a busy machine; make measure-budgets checks narrow ones.
	assert.InDelta(t, 0.75, float64(model)/float64(model+render), 0.15,
		"share of team model; %d requests of model and %d of render succeeded", model, render)
	assert.Greater(t, estimates.Load(), int64(20), "wait estimates")
	assert.Greater(t, float64(estimatesHeld.Load())/float64(estimates.Load()), 0.6, "share of wait estimates that held")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	stop.Store(true)
	running.Wait()
	assert.NoError(t, cmd.Wait())
	assert.Contains(t, log.String(), "stop: done\" open=0")
	assert.NotContains(t, log.String(), "violated: ")
	assert.NotContains(t, log.String(), "broken")
	t.Logf("%d requests of model and %d of render succeeded, %d of %d wait estimates held",
		model, render, estimatesHeld.Load(), estimates.Load())
}

// A limit that an operator sets on a running controller must take effect. It must survive a crash if there is a
// store; without one, the command must say that it will not.
func TestQuotas_LimitsSetAtRunTimeSurviveACrashWithAStore(t *testing.T) {
	for _, stored := range []bool{true, false} {
		dir := t.TempDir()
		socket := filepath.Join(dir, "c")
		operatorConfig := weightedTeams + fmt.Sprintf("control {\n  socket = %q\n}\n", socket)
		if stored {
			operatorConfig += fmt.Sprintf("store {\n  directory = %q\n}\n", filepath.Join(dir, "store"))
		}
		listen, cmd, log := startController(t, operatorConfig, map[string]time.Duration{"look": 300 * time.Millisecond})
		run := func(exitCode int, args ...string) string {
			command := exec.Command(cmd.Path, append(args, "--socket", socket)...)
			out, _ := command.CombinedOutput()
			assert.Equal(t, exitCode, command.ProcessState.ExitCode(), "exit code of liftshift %v: %s", args, out)
			return string(out)
		}
		c, err := testservers.Dial(listen, 10*time.Second)
		require.NoError(t, err)
		c.Close()
		want := map[bool]string{true: "it lasts", false: "will not last"}[stored]
		assert.Contains(t, run(0, "quotas", "set", "render", "--requests", "1"), want)
		var running sync.WaitGroup
		var stop atomic.Bool
		startClients(t, &running, listen, "render", "look", 6, &stop, nil)
		require.Eventually(t, func() bool {
			return bytes.Contains([]byte(run(0, "quotas", "show")), []byte("requests in flight of render")) ||
				bytes.Contains([]byte(run(0, "quotas", "show")), []byte("the limit of requests in flight"))
		}, 5*time.Second, 50*time.Millisecond)
		assert.Contains(t, run(0, "quotas", "show", "--json"), `"queued"`)
		assert.Contains(t, run(0, "top", "--times", "1"), "render")
		assert.Contains(t, run(0, "waits"), "starts told")
		run(2, "quotas", "set", "nobody", "--weight", "2")
		run(2, "quotas", "set", "render", "--weight", "-2")
		run(2, "quotas", "set", "render")
		run(2, "quotas", "explain", "nothing")
		run(2, "quotas")
		assert.Contains(t, run(0, "budgets", "show"), "the command budgets is deprecated, use quotas")
		stop.Store(true)
		running.Wait()
		require.NoError(t, cmd.Process.Kill())
		_ = cmd.Wait()
		assert.Contains(t, log.String(), "a team's limits were changed")
		restarted := exec.Command(cmd.Path, cmd.Args[1:]...)
		restarted.Env, restarted.Stderr = cmd.Env, log
		require.NoError(t, restarted.Start())
		c, err = testservers.Dial(listen, 10*time.Second)
		require.NoError(t, err)
		c.Close()
		limitHolds := bytes.Contains([]byte(run(0, "quotas", "show", "--json")), []byte(`"max_in_flight": 1`))
		assert.Equal(t, stored, limitHolds, "the limit holds after the restart, with a store: %v", stored)
		require.NoError(t, restarted.Process.Kill())
		_ = restarted.Wait()
	}
}

// A reload of a file that no longer has a team, or that cannot be parsed, must neither fail the team's requests nor
// stop further ones. The controller must log that the teams need a restart.
func TestReload_KeepsServingRemovedTeam(t *testing.T) {
	listen, cmd, log := startController(t, weightedTeams, map[string]time.Duration{"look": 30 * time.Millisecond})
	var running sync.WaitGroup
	var stop atomic.Bool
	onReply := func(reply testservers.Reply, _ time.Time) { assert.Zero(t, reply.Code) }
	succeeded := startClients(t, &running, listen, "render", "look", 40, &stop, onReply)
	require.Eventually(t, func() bool { return succeeded.Load() > 20 }, 10*time.Second, 5*time.Millisecond)
	operatorFile := cmd.Args[len(cmd.Args)-1]
	withoutTeam := []byte("quotas {\n default = \"other\"\n team \"other\" {}\n}\n")
	require.NoError(t, os.WriteFile(operatorFile, withoutTeam, 0o600))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(200 * time.Millisecond)
	require.NoError(t, os.WriteFile(operatorFile, []byte("quotas {"), 0o600))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(200 * time.Millisecond)
	before := succeeded.Load()
	require.Eventually(t, func() bool { return succeeded.Load() > before+20 }, 10*time.Second, 5*time.Millisecond)
	stop.Store(true)
	running.Wait()
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
	assert.Contains(t, log.String(), "quotas: which teams there are")
	assert.Contains(t, log.String(), "reload: not read")
}
