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

// buildPrograms builds liftshift and liftshift-full into one folder and returns the path of liftshift.
func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+"/", "liftshift/cmd/liftshift", "liftshift/cmd/liftshift-full")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	return filepath.Join(dir, "liftshift")
}

func freeAddress(t *testing.T) string {
	address, err := testservers.FreeAddress()
	require.NoError(t, err)
	return address
}

// configureController writes the files of a controller that has a store and the given executors. It returns the listen
// address, the folder of the store and a function that starts the controller.
func configureController(
	t *testing.T, program string, executors ...*testservers.Executor,
) (listen, folder string, start func(log *bytes.Buffer) *exec.Cmd) {
	dir := t.TempDir()
	discovery, stop, err := testservers.StartEmptyDiscovery()
	require.NoError(t, err)
	t.Cleanup(stop)
	listen, folder = freeAddress(t), filepath.Join(dir, "store")
	nodeFile, operatorFile := filepath.Join(dir, "node.json"), filepath.Join(dir, "office.hcl")
	nodeConfig := testservers.NodeConfig(listen, discovery, 20*time.Second, executors...)
	require.NoError(t, os.WriteFile(nodeFile, nodeConfig, 0o600))
	storeBlock := fmt.Appendf(nil, "store {\n  directory = %q\n  segment = \"64KiB\"\n}\n", folder)
	require.NoError(t, os.WriteFile(operatorFile, storeBlock, 0o600))
	return listen, folder, func(log *bytes.Buffer) *exec.Cmd {
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+nodeFile, "LIFTSHIFT_FILE="+operatorFile)
		cmd.Stderr = log
		require.NoError(t, cmd.Start())
		return cmd
	}
}

// A controller that is killed twenty times under load must not run an idempotency key twice when clients retry it. The
// outcome of a request that ran must not be "denied", and "unknown" only if the request is idempotent.
func TestStore_RunsKeysOnceThroughKills(t *testing.T) {
	runLog := &testservers.RunLog{}
	var executors []*testservers.Executor
	for i, zone := range []string{"here", "here", "there"} {
		e := &testservers.Executor{
			Name:        fmt.Sprint("s-", i),
			Zone:        zone,
			DedupWindow: 20 * time.Second,
			Work:        3 * time.Millisecond,
			RunLog:      runLog,
		}
		require.NoError(t, e.Start())
		t.Cleanup(e.Stop)
		executors = append(executors, e)
	}
	listen, folder, start := configureController(t, buildPrograms(t), executors...)
	var stop atomic.Bool
	var answered, handled atomic.Int64
	var mu sync.Mutex
	var unanswered []string // ids of the requests whose connection was lost; guarded by mu
	var clients sync.WaitGroup
	for client := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var c *testservers.Client
			for n := 0; !stop.Load(); n++ {
				class, key := []string{"mark", "mark", "look", "once"}[n%4], ""
				if class == "mark" {
					key = fmt.Sprintf("m%d-%d", client, n)
				}
				for try := 0; try < 3; try++ {
					id := fmt.Sprintf("r%d-%d-%d", client, n, try)
					var err error
					if c == nil {
						if c, err = testservers.Dial(listen, 10*time.Second); err != nil {
							return
						}
					}
					reply, err := c.Submit(class, id, key, 4*time.Second)
					if err == nil {
						if answered.Add(1); reply.Code == 0 {
							handled.Add(1)
						}
						break
					}
					c.Close()
					c = nil
					mu.Lock()
					unanswered = append(unanswered, id)
					mu.Unlock()
					if class == "once" {
						break // a client does not retry a non-idempotent request whose outcome is unknown
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
	ran, runsByKey := map[string]bool{}, map[string]int{}
	for _, run := range runLog.Runs() {
		ran[run.ID] = true
		if run.IdempotencyKey != "" {
			runsByKey[run.IdempotencyKey]++
		}
	}
	for key, runs := range runsByKey {
		assert.Equal(t, 1, runs, "runs of idempotency key %s", key)
	}
	unknown := 0
	for _, id := range unanswered {
		reply, err := c.Call("outcome", map[string]any{"req": id}, 2*time.Second)
		require.NoError(t, err)
		assert.NotEqual(t, "open", reply.Outcome, "request %s is still open", id)
		if ran[id] {
			if reply.Outcome == "unknown" {
				// Allowed for class look only: idempotent requests are sent without waiting for a record on disk.
				unknown++
				var client, n, try int
				_, err := fmt.Sscanf(id, "r%d-%d-%d", &client, &n, &try)
				require.NoError(t, err)
				assert.Equal(t, 2, n%4, "request %s ran, is not idempotent and its outcome is unknown", id)
			}
			assert.NotEqual(t, "denied", reply.Outcome, "request %s ran", id)
		}
	}
	c.Close()
	require.NoError(t, last.Process.Signal(syscall.SIGTERM))
	require.NoError(t, last.Wait(), logs.String())
	assert.Greater(t, handled.Load(), int64(50), "requests handled")
	assert.NotEmpty(t, unanswered, "no request was open at a kill")
	assert.NotContains(t, logs.String(), "does not hold")
	t.Logf("%d answered, %d handled, %d unanswered (%d idempotent ones with unknown outcome), %d runs",
		answered.Load(), handled.Load(), len(unanswered), unknown, len(runLog.Runs()))
	verify := exec.Command(filepath.Join(filepath.Dir(last.Path), "liftshift"), "store", "verify", folder)
	out, err := verify.CombinedOutput()
	assert.NoError(t, err, string(out))
}

// The store commands must refuse a store that is in use, detect a damaged one and repair it. A controller with a
// repaired store must reject unknown idempotency keys, since requests with them may have run.
func TestStoreCommands_DetectAndRepairDamage(t *testing.T) {
	program := buildPrograms(t)
	e := &testservers.Executor{Name: "s-0", Zone: "here", DedupWindow: 20 * time.Second}
	require.NoError(t, e.Start())
	t.Cleanup(e.Stop)
	listen, folder, start := configureController(t, program, e)
	var log bytes.Buffer
	cmd := start(&log)
	c, err := testservers.Dial(listen, 10*time.Second)
	require.NoError(t, err)
	reply, err := c.Submit("mark", "r1", "m1", 4*time.Second)
	require.NoError(t, err)
	assert.Zero(t, reply.Code)
	run := func(exitCode int, args ...string) string {
		cmd := exec.Command(program, args...)
		out, _ := cmd.CombinedOutput()
		assert.Equal(t, exitCode, cmd.ProcessState.ExitCode(), "exit code of liftshift %v: %s", args, out)
		return string(out)
	}
	run(0, "store", "verify", folder)
	run(1, "store", "compact", folder) // the running controller has locked the store
	assert.Contains(t, run(1, "store", "repair", folder), "in use by another process")
	require.NoError(t, cmd.Process.Kill())
	_ = cmd.Wait()
	assert.Contains(t, run(0, "store", "inspect", folder), "mark")
	assert.Contains(t, run(0, "store", "inspect", folder, "--json"), `"search"`)
	assert.Contains(t, run(0, "store", "export", folder), `"mark":"m1"`)
	assert.Contains(t, run(0, "store", "repair", folder), "not needed")
	run(0, "store", "compact", folder)
	snapshots, err := filepath.Glob(filepath.Join(folder, "*.snap"))
	require.NoError(t, err)
	require.Len(t, snapshots, 1)
	content, err := os.ReadFile(snapshots[0])
	require.NoError(t, err)
	content[len(content)-3] ^= 1
	require.NoError(t, os.WriteFile(snapshots[0], content, 0o600))
	assert.Contains(t, run(1, "store", "verify", folder), "damaged")
	damaged := start(&log)
	assert.Error(t, damaged.Wait(), "the controller started with a damaged store")
	assert.Contains(t, log.String(), "liftshift store verify")
	assert.Contains(t, run(0, "store", "repair", folder), "saved")
	assert.Contains(t, run(0, "store", "verify", folder), "in doubt")
	restarted := start(&log)
	c, err = testservers.Dial(listen, 10*time.Second)
	require.NoError(t, err)
	reply, err = c.Submit("mark", "r2", "m2", 4*time.Second)
	require.NoError(t, err)
	assert.Equal(t, testservers.CodeRejected, reply.Code, "a request with an unknown idempotency key may have run")
	assert.Positive(t, reply.RetryAfterMS)
	reply, err = c.Submit("look", "r3", "", 4*time.Second)
	require.NoError(t, err)
	assert.Zero(t, reply.Code)
	require.NoError(t, restarted.Process.Kill())
	_ = restarted.Wait()
	run(2, "store")
	run(2, "store", "inspect")
	run(2, "nonsense")
	run(2, "check", "--nonsense")
	run(1, "store", "verify", folder+"-not")
	assert.Contains(t, run(0, "--help"), "liftshift store inspect")
	run(0, "completion", "bash")
	run(0, "version")
}

// A controller must go on when the reader of its log ends. By default, a write to standard error without a reader ends
// a Go program by SIGPIPE.
func TestServe_SurvivesALogWithoutReader(t *testing.T) {
	program := buildPrograms(t)
	e := &testservers.Executor{Name: "s-0", Zone: "here"}
	require.NoError(t, e.Start())
	t.Cleanup(e.Stop)
	discovery, stop, err := testservers.StartEmptyDiscovery()
	require.NoError(t, err)
	t.Cleanup(stop)
	withSocket := "control { socket = \"" + filepath.Join(t.TempDir(), "sock") + "\" }\n"
	for _, operatorConfig := range []string{"", withSocket} {
		dir := t.TempDir()
		listen, nodeFile, operatorFile := freeAddress(t), filepath.Join(dir, "node.json"), ""
		require.NoError(t, os.WriteFile(nodeFile, testservers.NodeConfig(listen, discovery, time.Second, e), 0o600))
		if operatorConfig != "" {
			operatorFile = filepath.Join(dir, "office.hcl")
			require.NoError(t, os.WriteFile(operatorFile, []byte(operatorConfig), 0o600))
		}
		logReader, logWriter, err := os.Pipe()
		require.NoError(t, err)
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "RELAY_CONFIG="+nodeFile, "LIFTSHIFT_FILE="+operatorFile)
		cmd.Stderr = logWriter
		require.NoError(t, cmd.Start())
		c, err := testservers.Dial(listen, 5*time.Second)
		require.NoError(t, err)
		require.NoError(t, errors.Join(logReader.Close(), logWriter.Close()))
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP)) // the controller logs the reload
		time.Sleep(300 * time.Millisecond)
		reply, err := c.Submit("look", "0000000000000001", "", 2*time.Second)
		assert.NoError(t, err)
		assert.Zero(t, reply.Code)
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		assert.NoError(t, cmd.Wait(), "graceful shutdown failed")
	}
}
