package chaostest

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// soakConfig is the scenario of one soak run.
type soakConfig struct {
	controllers       int
	deadline          time.Duration // longest deadline of a request
	hangingExecutors  int           // executors that hang from shortly before the stop on
	store, cluster    bool          // whether the operators' file has the block
	idleConnections   bool          // whether many connections that send nothing are opened
	signalsBeforeStop []syscall.Signal
	signalsDuringStop []syscall.Signal
	earlyStop         bool          // whether the controller is stopped without faultFreeTime and signalsBeforeStop
	faultFreeTime     time.Duration // before the first signal
	discoveryStops    bool          // whether the discovery service stops before the controller does
	handoff           bool          // whether other controllers keep replicas of requests in flight and adopt them
	discoveryMoves    int           // how often discovery moves to another address, which SIGHUP makes known
	executorDrains    bool          // whether an executor drains before the stop
	executorFlaps     bool          // whether the connections of an executor end repeatedly
}

// drawSoakConfig draws a scenario. The order of the draws is fixed, so that a seed always gives the same scenario.
func drawSoakConfig(random *rand.Rand) soakConfig {
	c := soakConfig{
		controllers:      1,
		deadline:         []time.Duration{200, 400, 1000, 3000}[random.IntN(4)] * time.Millisecond,
		hangingExecutors: random.IntN(3),
		store:            random.IntN(3) == 0,
		cluster:          random.IntN(4) == 0,
		idleConnections:  random.IntN(4) == 0,
		earlyStop:        random.IntN(5) == 0,
		discoveryStops:   random.IntN(3) == 0,
		faultFreeTime:    time.Duration(300+random.IntN(1500)) * time.Millisecond,
	}
	if c.cluster {
		c.controllers = 2
	}
	for range random.IntN(4) {
		c.signalsBeforeStop = append(c.signalsBeforeStop,
			[]syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGSTOP}[random.IntN(3)])
	}
	for range random.IntN(4) {
		c.signalsDuringStop = append(c.signalsDuringStop,
			[]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}[random.IntN(3)])
	}
	if c.handoff = random.IntN(6) == 0; c.handoff {
		c.controllers, c.store, c.cluster = 5, true, true
	}
	c.discoveryMoves = random.IntN(3)
	c.executorDrains = random.IntN(2) == 0
	c.executorFlaps = random.IntN(4) == 0
	return c
}

// clusterConfig returns the cluster configuration of the scenario.
func (c *soakConfig) clusterConfig(program, directory string, seed uint64) Config {
	config := Config{Program: program, Directory: directory, Controllers: c.controllers, Executors: 4, Zones: 2,
		Store: c.store, Seed: seed, WithoutCluster: !c.cluster, WorkMS: 5, DedupWindow: time.Minute}
	if c.handoff {
		config.Founders, config.Zones = 3, 1
		config.ClusterSettings, config.HandoffSettings = fastClusterSettings, "copies = 2"
	}
	return config
}

// configure writes the deadlines of the scenario, and low limits, into the controllers' files.
func (s *soak) configure() {
	for _, c := range s.cluster.Controllers {
		c.configureSoak(s.t, s.config.deadline)
		if !s.config.store && !s.config.cluster {
			c.removeOperatorFile()
		}
	}
}

// configureSoak writes a deadline for all request classes, and low limits, into the controller's file.
func (c *Controller) configureSoak(t *testing.T, deadline time.Duration) {
	t.Helper()
	text, err := os.ReadFile(c.nodeFile())
	require.NoError(t, err)
	node := map[string]any{}
	require.NoError(t, json.Unmarshal(text, &node))
	for _, class := range node["settings"].(map[string]any)["Classes"].([]any) {
		class.(map[string]any)["HardLimit"] = deadline.Microseconds()
		class.(map[string]any)["DedupWindow"] = deadline.Microseconds() / 2
	}
	node["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}
	text, err = json.Marshal(node)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(c.nodeFile(), text, 0o600))
}

// removeOperatorFile has the controller start without an operators' file, so that the plain liftshift serves.
func (c *Controller) removeOperatorFile() {
	for n, variable := range c.env {
		if strings.HasPrefix(variable, "LIFTSHIFT_FILE=") {
			c.env[n] = "LIFTSHIFT_FILE="
		}
	}
}
