package assembly

import (
	"bytes"
	"errors"
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

// programs builds the programs as an operator would and gives the path of the plain one.
func programs(t *testing.T) string {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "liftshift/cmd/liftshift", "liftshift/cmd/liftshift-full").CombinedOutput()
	require.NoError(t, err, string(out))
	return filepath.Join(dir, "liftshift")
}

func freePort(t *testing.T) string {
	at, err := testservers.FreeAddress()
	require.NoError(t, err)
	return at
}

// setup writes the files of a controller before some engines, with a store, and gives what starts it.
func setup(t *testing.T, program string, engines ...*testservers.Executor) (listen, folder string, start func(*bytes.Buffer) *exec.Cmd) {
	dir := t.TempDir()
	list, stop, err := testservers.StartEmptyDiscovery()
	require.NoError(t, err)
	t.Cleanup(stop)
	listen, folder = freePort(t), filepath.Join(dir, "store")
	node, file := filepath.Join(dir, "node.json"), filepath.Join(dir, "office.hcl")
	require.NoError(t, os.WriteFile(node, testservers.NodeConfig(listen, list, 20*time.Second, engines...), 0o600))
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "store {\n  directory = %q\n  segment = \"64KiB\"\n}\n", folder), 0o600))
	return listen, folder, func(log *bytes.Buffer) *exec.Cmd {
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+node, "LIFTSHIFT_FILE="+file)
		cmd.Stderr = log
		require.NoError(t, cmd.Start())
		return cmd
	}
}

// The real program is killed outright twenty times under load, and started again. Clients come again with their marks. No
// mark runs twice, no search gets two answers, and what ran is never told as denied or unknown.
func TestStore_RunsKeysOnceThroughKills(t *testing.T) {
	memory := &testservers.RunLog{}
	var engines []*testservers.Executor
	for k, place := range []string{"here", "here", "there"} {
		e := &testservers.Executor{Name: fmt.Sprint("s-", k), Zone: place, DedupWindow: 20 * time.Second, Work: 3 * time.Millisecond, RunLog: memory}
		require.NoError(t, e.Start())
		t.Cleanup(e.Stop)
		engines = append(engines, e)
	}
	listen, folder, start := setup(t, programs(t), engines...)
	var stop atomic.Bool
	var answered, handled atomic.Int64
	var mu sync.Mutex
	var broken []string
	var clients sync.WaitGroup
	for w := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c *testservers.Client
			for n := 0; !stop.Load(); n++ {
				offering, mark := []string{"mark", "mark", "look", "once"}[n%4], ""
				if offering == "mark" {
					mark = fmt.Sprintf("m%d-%d", w, n)
				}
				for try := 0; try < 3; try++ {
					req := fmt.Sprintf("r%d-%d-%d", w, n, try)
					var err error
					if c == nil {
						if c, err = testservers.Dial(listen, 10*time.Second); err != nil {
							return
						}
					}
					a, err := c.Submit(offering, req, mark, 4*time.Second)
					if err == nil {
						if answered.Add(1); a.Code == 0 {
							handled.Add(1)
						}
						break
					}
					c.Close()
					c = nil
					mu.Lock()
					broken = append(broken, req)
					mu.Unlock()
					if offering == "once" {
						break // nobody sends an irreversible one again without knowing
					}
				}
			}
		}()
	}
	var logs bytes.Buffer
	for kill := range 20 {
		cmd := start(&logs)
		c, err := testservers.Dial(listen, 10*time.Second)
		require.NoError(t, err)
		c.Close()
		time.Sleep(time.Duration(60+17*kill%100) * time.Millisecond)
		require.NoError(t, cmd.Process.Signal(syscall.SIGKILL))
		_ = cmd.Wait()
	}
	stop.Store(true)
	last := start(&logs)
	clients.Wait()
	c, err := testservers.Dial(listen, 10*time.Second)
	require.NoError(t, err)
	ran, marks := map[string]bool{}, map[string]int{}
	for _, r := range memory.Runs() {
		ran[r.ID] = true
		if r.IdempotencyKey != "" {
			marks[r.IdempotencyKey]++
		}
	}
	for m, n := range marks {
		assert.Equal(t, 1, n, "mark %s", m)
	}
	unknown := 0
	for _, req := range broken {
		a, err := c.Call("outcome", map[string]any{"req": req}, 2*time.Second)
		require.NoError(t, err)
		assert.NotEqual(t, "open", a.Outcome, req)
		if ran[req] {
			if a.Outcome == "unknown" {
				unknown++ // only a redoable one: those do not wait for the disk
				var w, n, try int
				_, err := fmt.Sscanf(req, "r%d-%d-%d", &w, &n, &try)
				require.NoError(t, err)
				assert.Equal(t, 2, n%4, "%s ran and is not known", req)
			}
			assert.NotEqual(t, "denied", a.Outcome, "%s ran", req)
		}
	}
	c.Close()
	require.NoError(t, last.Process.Signal(syscall.SIGTERM))
	require.NoError(t, last.Wait(), logs.String())
	assert.Greater(t, handled.Load(), int64(50))
	assert.NotEmpty(t, broken, "some were open at a kill")
	assert.NotContains(t, logs.String(), "does not hold")
	t.Logf("%d answered, %d handled, %d cut off (%d redoable ones not known), %d runs", answered.Load(), handled.Load(), len(broken),
		unknown, len(memory.Runs()))
	out, err := exec.Command(filepath.Join(filepath.Dir(last.Path), "liftshift"), "store", "verify", folder).CombinedOutput()
	assert.NoError(t, err, string(out))
}

// The tools and the operators' file, as an operator uses them.
func TestCommands_OnAStore(t *testing.T) {
	program := programs(t)
	e := &testservers.Executor{Name: "s-0", Zone: "here", DedupWindow: 20 * time.Second}
	require.NoError(t, e.Start())
	t.Cleanup(e.Stop)
	listen, folder, start := setup(t, program, e)
	var log bytes.Buffer
	cmd := start(&log)
	c, err := testservers.Dial(listen, 10*time.Second)
	require.NoError(t, err)
	a, err := c.Submit("mark", "r1", "m1", 4*time.Second)
	require.NoError(t, err)
	assert.Zero(t, a.Code)
	run := func(code int, args ...string) string {
		cmd := exec.Command(program, args...)
		out, _ := cmd.CombinedOutput()
		assert.Equal(t, code, cmd.ProcessState.ExitCode(), "%v", args)
		return string(out)
	}
	run(0, "store", "verify", folder)
	run(1, "store", "compact", folder) // the controller has it
	assert.Contains(t, run(1, "store", "repair", folder), "in use by another process")
	require.NoError(t, cmd.Process.Kill())
	_ = cmd.Wait()
	assert.Contains(t, run(0, "store", "inspect", folder), "mark")
	assert.Contains(t, run(0, "store", "inspect", folder, "--json"), `"search"`)
	assert.Contains(t, run(0, "store", "export", folder), `"mark":"m1"`)
	assert.Contains(t, run(0, "store", "repair", folder), "not needed")
	run(0, "store", "compact", folder)
	names, err := filepath.Glob(filepath.Join(folder, "*.snap"))
	require.NoError(t, err)
	require.Len(t, names, 1)
	text, err := os.ReadFile(names[0])
	require.NoError(t, err)
	text[len(text)-3] ^= 1
	require.NoError(t, os.WriteFile(names[0], text, 0o600))
	assert.Contains(t, run(1, "store", "verify", folder), "damaged")
	refused := start(&log)
	assert.Error(t, refused.Wait())
	assert.Contains(t, log.String(), "liftshift store verify")
	assert.Contains(t, run(0, "store", "repair", folder), "saved")
	assert.Contains(t, run(0, "store", "verify", folder), "in doubt")
	again := start(&log)
	c, err = testservers.Dial(listen, 10*time.Second)
	require.NoError(t, err)
	a, err = c.Submit("mark", "r2", "m2", 4*time.Second)
	require.NoError(t, err)
	assert.Equal(t, testservers.CodeRejected, a.Code, "what is not known may have run")
	assert.Positive(t, a.RetryAfterMS)
	a, err = c.Submit("look", "r3", "", 4*time.Second)
	require.NoError(t, err)
	assert.Zero(t, a.Code)
	require.NoError(t, again.Process.Kill())
	_ = again.Wait()
	run(2, "store")
	run(2, "store", "inspect")
	run(2, "nonsense")
	run(2, "check", "--nonsense")
	run(1, "store", "verify", folder+"-not")
	assert.Contains(t, run(0, "--help"), "liftshift store inspect")
	run(0, "completion", "bash")
	run(0, "version")
}

// Whoever reads the log may go: the program goes on. A write to a pipe that nobody reads would end it by a signal.
func TestServe_SurvivesALogWithoutReader(t *testing.T) {
	program := programs(t)
	e := &testservers.Executor{Name: "s-0", Zone: "here"}
	require.NoError(t, e.Start())
	t.Cleanup(e.Stop)
	list, stop, err := testservers.StartEmptyDiscovery()
	require.NoError(t, err)
	t.Cleanup(stop)
	for _, file := range []string{"", "control { socket = \"" + filepath.Join(t.TempDir(), "sock") + "\" }\n"} {
		dir := t.TempDir()
		listen, node, office := freePort(t), filepath.Join(dir, "node.json"), ""
		require.NoError(t, os.WriteFile(node, testservers.NodeConfig(listen, list, time.Second, e), 0o600))
		if file != "" {
			office = filepath.Join(dir, "office.hcl")
			require.NoError(t, os.WriteFile(office, []byte(file), 0o600))
		}
		r, w, err := os.Pipe()
		require.NoError(t, err)
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+node, "LIFTSHIFT_FILE="+office)
		cmd.Stderr = w
		require.NoError(t, cmd.Start())
		c, err := testservers.Dial(listen, 5*time.Second)
		require.NoError(t, err)
		require.NoError(t, errors.Join(r.Close(), w.Close()))
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP)) // which is logged
		time.Sleep(300 * time.Millisecond)
		a, err := c.Submit("look", "0000000000000001", "", 2*time.Second)
		assert.NoError(t, err)
		assert.Zero(t, a.Code)
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		assert.NoError(t, cmd.Wait(), "a planned stop")
	}
}
