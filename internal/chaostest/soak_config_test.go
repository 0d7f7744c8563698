package chaostest

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
)

// soakConfig is what a seed draws.
type soakConfig struct {
	controllers           int
	deadline              time.Duration
	hangs                 int // executors that hang from shortly before the stop on
	store, cluster, crowd bool
	signals               []syscall.Signal // before the stop
	stopSignals           []syscall.Signal // during it
	early                 bool             // SIGTERM comes within the first second
	quiet                 time.Duration
	discoveryEnds         bool
	handoff               bool // others keep copies of what is in flight, and take it over
	moves                 int  // times that discovery moves to another address, with SIGHUP
	drains                bool // an executor drains before the stop
	flaps                 bool // an executor's connections end, again and again
}

// drawSoakConfig draws in a fixed order: a seed stands for one run.
func drawSoakConfig(random *rand.Rand) soakConfig {
	c := soakConfig{controllers: 1, deadline: []time.Duration{200, 400, 1000, 3000}[random.IntN(4)] * time.Millisecond, hangs: random.IntN(3),
		store: random.IntN(3) == 0, cluster: random.IntN(4) == 0, crowd: random.IntN(4) == 0, early: random.IntN(5) == 0,
		discoveryEnds: random.IntN(3) == 0, quiet: time.Duration(300+random.IntN(1500)) * time.Millisecond}
	if c.cluster {
		c.controllers = 2
	}
	for range random.IntN(4) {
		c.signals = append(c.signals, []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGSTOP}[random.IntN(3)])
	}
	for range random.IntN(4) {
		c.stopSignals = append(c.stopSignals, []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}[random.IntN(3)])
	}
	if c.handoff = random.IntN(6) == 0; c.handoff {
		c.controllers, c.store, c.cluster = 5, true, true
	}
	c.moves = random.IntN(3)
	c.drains = random.IntN(2) == 0
	c.flaps = random.IntN(4) == 0
	return c
}

// clusterConfig returns the configuration of the cluster.
func (c *soakConfig) clusterConfig(program, directory string, seed uint64) Config {
	config := Config{Program: program, Directory: directory, Controllers: c.controllers, Executors: 4, Zones: 2, Store: c.store, Seed: seed,
		WithoutCluster: !c.cluster, WorkMS: 5, DedupWindow: time.Minute}
	if c.handoff {
		config.Founders, config.Zones = 3, 1
		config.ClusterSettings, config.HandoffSettings = quickCluster, "copies = 2"
	}
	return config
}

// configure writes the seed's deadlines and limits into the controllers' files.
func (s *soak) configure() {
	for _, c := range s.cluster.Controllers {
		text, err := os.ReadFile(c.nodeFile())
		require.NoError(s.t, err)
		node := map[string]any{}
		require.NoError(s.t, json.Unmarshal(text, &node))
		for _, class := range node["settings"].(map[string]any)["Classes"].([]any) {
			class.(map[string]any)["HardLimit"] = s.config.deadline.Microseconds()
			class.(map[string]any)["DedupWindow"] = s.config.deadline.Microseconds() / 2
		}
		node["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}
		text, err = json.Marshal(node)
		require.NoError(s.t, err)
		require.NoError(s.t, os.WriteFile(c.nodeFile(), text, 0o600))
		if !s.config.store && !s.config.cluster {
			c.removeOperatorFile()
		}
	}
}

// removeOperatorFile has the controller start without an operators' file: the plain program.
func (c *Controller) removeOperatorFile() {
	for k, variable := range c.env {
		if strings.HasPrefix(variable, "LIFTSHIFT_FILE=") {
			c.env[k] = "LIFTSHIFT_FILE="
		}
	}
}
