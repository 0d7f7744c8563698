// Package processtest runs the program as a process with little memory, beside bad clients and beside executors that are
// replaced.
package processtest

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"liftshift/internal/testservers"
)

// The least limits that the platform names.
const (
	memoryMB = 48
	sockets  = 1024
)

// maxResultPages is the number of full pages of the largest result that the protocol allows.
const maxResultPages = 8

// controller is a running process of liftshift.
type controller struct {
	address string
	cmd     *exec.Cmd
	exited  chan struct{}
	log     string // path
}

// buildProgram builds liftshift and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	output, err := exec.Command("go", "build", "-o", directory+"/", "liftshift/cmd/liftshift").CombinedOutput()
	require.NoError(t, err, "%s", output)
	return filepath.Join(directory, "liftshift")
}

// dedupWindow is how long the executors of a zone drop repeats of a key.
const dedupWindow = 20 * time.Second

// startExecutor starts an executor and stops it after the test.
func startExecutor(t *testing.T, executor *testservers.Executor) *testservers.Executor {
	t.Helper()
	require.Eventually(t, func() bool { return executor.Start() == nil }, time.Second, time.Millisecond)
	t.Cleanup(executor.Stop)
	return executor
}

// startDiscovery starts the discovery service and stops it after the test.
func startDiscovery(t *testing.T) *testservers.Discovery {
	t.Helper()
	discovery, err := testservers.NewDiscovery()
	require.NoError(t, err)
	t.Cleanup(discovery.Stop)
	return discovery
}

// startController starts a controller with the least limits, and ends it after the test.
func startController(
	t *testing.T, program string, discovery *testservers.Discovery, executors []*testservers.Executor,
) *controller {
	t.Helper()
	address, err := testservers.FreeAddress()
	require.NoError(t, err)

	directory := t.TempDir()
	config := map[string]any{}
	require.NoError(t, json.Unmarshal(testservers.NodeConfig(address, discovery.Address, dedupWindow, executors...), &config))
	config["limits"] = map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets}
	text, err := json.Marshal(config)
	require.NoError(t, err)
	configFile := filepath.Join(directory, "config.json")
	require.NoError(t, os.WriteFile(configFile, text, 0o600))

	c := &controller{address: address, log: filepath.Join(directory, "log"), exited: make(chan struct{})}
	log, err := os.Create(c.log)
	require.NoError(t, err)
	defer log.Close()
	c.cmd = exec.Command(program)
	c.cmd.Env = append(os.Environ(), "RELAY_NAME=n0", "RELAY_LISTEN="+address, "RELAY_CONFIG="+configFile, "LIFTSHIFT_FILE=")
	c.cmd.Stdout, c.cmd.Stderr = log, log
	require.NoError(t, c.cmd.Start())
	go func() {
		defer close(c.exited)
		_ = c.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = c.cmd.Process.Kill()
		<-c.exited
		if t.Failed() {
			text, _ := os.ReadFile(c.log)
			t.Logf("log of the controller:\n%.6000s", text)
		}
	})
	require.Eventually(t, func() bool { return c.answersProbe() }, 10*time.Second, 20*time.Millisecond, "ready")
	return c
}

func (c *controller) answersProbe() bool {
	client, err := testservers.Dial(c.address, time.Second)
	if err != nil {
		return false
	}
	defer client.Close()
	_, err = client.Call("probe", map[string]any{}, time.Second)
	return err == nil
}

// running reports whether the process has not ended.
func (c *controller) running() bool {
	select {
	case <-c.exited:
		return false
	default:
		return true
	}
}

// peakMemoryMB returns the most memory that the process has had resident.
func (c *controller) peakMemoryMB(t *testing.T) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
	require.NoError(t, err)
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			require.NoError(t, err)
			return kilobytes / 1024
		}
	}
	t.Fatal("the kernel does not report the peak of the memory")
	return 0
}
