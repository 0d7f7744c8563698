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

const twoTeams = `quotas {
  default = "other"
  attribution = ["field", "class"]
  team "model" { weight = 3 }
  team "render" { weight = 1 }
  team "other" { weight = 0.001 }
}
`

// served is a controller with an operators' file before engines of eight cores.
func served(t *testing.T, file string, works map[string]time.Duration) (listen string, cmd *exec.Cmd, log *bytes.Buffer, runs *testservers.RunLog) {
	runs = &testservers.RunLog{}
	var engines []*testservers.Executor
	for k := range 2 {
		e := &testservers.Executor{Name: fmt.Sprint("s-", k), Zone: "here", DedupWindow: 20 * time.Second, Cores: 8, WorkByClass: works, RunLog: runs}
		require.NoError(t, e.Start())
		t.Cleanup(e.Stop)
		engines = append(engines, e)
	}
	dir := t.TempDir()
	list, stop, err := testservers.StartEmptyDiscovery()
	require.NoError(t, err)
	t.Cleanup(stop)
	listen, log = freePort(t), &bytes.Buffer{}
	node, hcl := filepath.Join(dir, "node.json"), filepath.Join(dir, "teams.hcl")
	require.NoError(t, os.WriteFile(node, testservers.NodeConfig(listen, list, 20*time.Second, engines...), 0o600))
	require.NoError(t, os.WriteFile(hcl, []byte(file), 0o600))
	cmd = exec.Command(programs(t), "serve", "--file", hcl)
	cmd.Env, cmd.Stderr = append(os.Environ(), "RELAY_CONFIG="+node), log
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return listen, cmd, log, runs
}

// crowd is clients of a team that ask without end until stop; it counts what was handled.
func crowd(t *testing.T, all *sync.WaitGroup, listen, team, offering string, clients int, stop *atomic.Bool, each func(testservers.Reply, time.Time)) *atomic.Int64 {
	handled := &atomic.Int64{}
	for w := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := testservers.Dial(listen, 10*time.Second)
			if !assert.NoError(t, err) {
				return
			}
			defer c.Close()
			for n := 0; !stop.Load(); n++ {
				p := map[string]any{"req": fmt.Sprintf("%s-%d-%d", team, w, n), "timeout": 4500, "ms": 20, "ram": 1, "data": "c2VsZWN0IDE=",
					"team": team, "waits": true}
				if offering == "mark" {
					p["opkey"] = fmt.Sprintf("k-%s-%d-%d", team, w, n)
				}
				at := time.Now()
				a, err := c.Call(offering, p, 10*time.Second)
				if !assert.NoError(t, err) {
					return
				}
				if a.Code == 0 {
					handled.Add(1)
				}
				if each != nil {
					each(a, at)
				}
			}
		}()
	}
	return handled
}

// Two teams that saturate get work by their weights; every search has its one answer; clients that ask are told waits that
// hold; a planned stop with full queues leaves none unanswered.
func TestQuotas_ShareByWeight(t *testing.T) {
	listen, cmd, log, _ := served(t, twoTeams, map[string]time.Duration{"look": 20 * time.Millisecond})
	var all sync.WaitGroup
	var stop atomic.Bool
	var told, kept, answers atomic.Int64
	began := time.Now()
	each := func(a testservers.Reply, at time.Time) {
		answers.Add(1)
		if len(a.Waits) == 0 || a.Waits[0].Unknown || a.Code != 0 || time.Since(began) < 2*time.Second {
			return
		}
		told.Add(1)
		if float64(time.Since(at).Milliseconds()) <= a.Waits[0].End+5 {
			kept.Add(1)
		}
	}
	model := crowd(t, &all, listen, "model", "look", 48, &stop, each)
	render := crowd(t, &all, listen, "render", "look", 48, &stop, each)
	time.Sleep(1500 * time.Millisecond)
	m, r := model.Load(), render.Load()
	time.Sleep(2500 * time.Millisecond)
	m, r = model.Load()-m, render.Load()-r
	// Wide bounds, that hold on a machine with much else to do; make measure-budgets has the narrow ones.
	assert.InDelta(t, 0.75, float64(m)/float64(m+r), 0.15, "%d and %d", m, r)
	assert.Greater(t, told.Load(), int64(20))
	assert.Greater(t, float64(kept.Load())/float64(told.Load()), 0.6)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	stop.Store(true)
	all.Wait()
	assert.NoError(t, cmd.Wait())
	assert.Contains(t, log.String(), "stop: done\" open=0")
	assert.NotContains(t, log.String(), "violated: ")
	assert.NotContains(t, log.String(), "broken")
	t.Logf("%d and %d handled, %d of %d waits within what was told", m, r, kept.Load(), told.Load())
}

// An operator looks at the teams of a running controller and changes one; with a store that lasts through a crash, without one
// it is said that it does not. A reload that would change which teams there are says so and changes nothing else.
func TestQuotas_SetAtRunTime(t *testing.T) {
	for _, stored := range []bool{true, false} {
		dir := t.TempDir()
		file := twoTeams + fmt.Sprintf("control {\n  socket = %q\n}\n", filepath.Join(dir, "c"))
		if stored {
			file += fmt.Sprintf("store {\n  directory = %q\n}\n", filepath.Join(dir, "store"))
		}
		listen, cmd, log, _ := served(t, file, map[string]time.Duration{"look": 300 * time.Millisecond})
		run := func(code int, args ...string) string {
			c := exec.Command(cmd.Path, append(args, "--socket", filepath.Join(dir, "c"))...)
			out, _ := c.CombinedOutput()
			assert.Equal(t, code, c.ProcessState.ExitCode(), "%v: %s", args, out)
			return string(out)
		}
		c, err := testservers.Dial(listen, 10*time.Second)
		require.NoError(t, err)
		c.Close()
		want := map[bool]string{true: "it lasts", false: "will not last"}[stored]
		assert.Contains(t, run(0, "quotas", "set", "render", "--requests", "1"), want)
		var all sync.WaitGroup
		var stop atomic.Bool
		crowd(t, &all, listen, "render", "look", 6, &stop, nil)
		require.Eventually(t, func() bool {
			return bytes.Contains([]byte(run(0, "quotas", "show")), []byte("requests in flight of render")) ||
				bytes.Contains([]byte(run(0, "quotas", "show")), []byte("the limit of requests in flight"))
		}, 5*time.Second, 50*time.Millisecond)
		assert.Contains(t, run(0, "quotas", "show", "--json"), `"queued"`)
		why := run(0, "top", "--times", "1")
		assert.Contains(t, why, "render")
		assert.Contains(t, run(0, "waits"), "starts told")
		run(2, "quotas", "set", "nobody", "--weight", "2")
		run(2, "quotas", "set", "render", "--weight", "-2")
		run(2, "quotas", "set", "render")
		run(2, "quotas", "explain", "nothing")
		run(2, "quotas")
		assert.Contains(t, run(0, "budgets", "show"), "the command budgets is deprecated, use quotas")
		stop.Store(true)
		all.Wait()
		require.NoError(t, cmd.Process.Kill())
		_ = cmd.Wait()
		assert.Contains(t, log.String(), "a team's limits were changed")
		again := exec.Command(cmd.Path, cmd.Args[1:]...)
		again.Env, again.Stderr = cmd.Env, log
		require.NoError(t, again.Start())
		c, err = testservers.Dial(listen, 10*time.Second)
		require.NoError(t, err)
		c.Close()
		assert.Equal(t, stored, bytes.Contains([]byte(run(0, "quotas", "show", "--json")), []byte(`"max_in_flight": 1`)))
		require.NoError(t, again.Process.Kill())
		_ = again.Wait()
	}
}

// A reload that takes a team away with work in hand changes nothing of that: it says what needs a restart. New weights hold.
func TestReload_KeepsRemovedTeamsWork(t *testing.T) {
	listen, cmd, log, _ := served(t, twoTeams, map[string]time.Duration{"look": 30 * time.Millisecond})
	var all sync.WaitGroup
	var stop atomic.Bool
	render := crowd(t, &all, listen, "render", "look", 40, &stop, func(a testservers.Reply, _ time.Time) { assert.Zero(t, a.Code) })
	require.Eventually(t, func() bool { return render.Load() > 20 }, 10*time.Second, 5*time.Millisecond)
	file := cmd.Args[len(cmd.Args)-1]
	require.NoError(t, os.WriteFile(file, []byte("quotas {\n default = \"other\"\n team \"other\" {}\n}\n"), 0o600))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(200 * time.Millisecond)
	require.NoError(t, os.WriteFile(file, []byte("quotas {"), 0o600))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(200 * time.Millisecond)
	before := render.Load()
	require.Eventually(t, func() bool { return render.Load() > before+20 }, 10*time.Second, 5*time.Millisecond)
	stop.Store(true)
	all.Wait()
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
	assert.Contains(t, log.String(), "quotas: which teams there are")
	assert.Contains(t, log.String(), "reload: not read")
}
