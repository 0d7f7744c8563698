package chaostest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"liftshift/internal/testservers"
)

const (
	// defaultExecutorDedupWindow is the deduplication window of the executors when the configuration sets none.
	defaultExecutorDedupWindow = 100 * time.Millisecond
	// defaultDeclaredDedupWindow is the deduplication window in the controllers' settings when the configuration sets
	// none.
	defaultDeclaredDedupWindow = 20 * time.Second
	// drainGrace is the drain grace of the controllers' settings plus an allowance for the delay of the sockets.
	drainGrace = 550 * time.Millisecond
	// terminateTimeout is how long a controller may run after SIGTERM before it is killed.
	terminateTimeout = 10 * time.Second
	// convergePollInterval is the interval at which the views of the controllers are polled.
	convergePollInterval = 20 * time.Millisecond
)

// Config describes the processes and the settings of a cluster.
type Config struct {
	// Program is the path of the liftshift program.
	Program string
	// Directory holds the files of all controllers.
	Directory   string
	Controllers int
	Executors   int
	Zones       int
	// Founders is the number of controllers that form the consensus group; 0 means that there is no group.
	Founders int
	// Store gives each controller a store on disk.
	Store bool
	Seed  uint64
	// WithoutCluster leaves the cluster block out of the controllers' files.
	WithoutCluster bool
	// Direct connects the controllers without a relay, so that no link faults can be injected.
	Direct bool
	// ClusterSettings holds additional lines of the cluster block.
	ClusterSettings string
	// HandoffSettings holds the lines of the handoff block; if it is empty, there is no such block.
	HandoffSettings string
	// LocalitySettings holds the lines of the locality block; if it is empty, there is no such block.
	LocalitySettings string
	// SecondAddressUsers lists the controllers that reach the executors by their second addresses.
	SecondAddressUsers []int
	// WorkMS is how many milliseconds an executor works on a request.
	WorkMS float64
	// WorkByClass overrides WorkMS for request classes.
	WorkByClass map[string]time.Duration
	// DedupWindow is the deduplication window of the executors and of the controllers' settings; 0 means the
	// defaults, a negative value that executors don't drop repeated requests.
	DedupWindow time.Duration
	// Cores is the number of cores of an executor; 0 means no limit.
	Cores int
	// MaxInFlight is how many requests an executor with a limit on Cores accepts at once; 0 means no limit.
	MaxInFlight int
	// OutcomeTimeout is how long after the recovery of the cluster the outcomes of all requests must be known; 0
	// means 5 s.
	OutcomeTimeout time.Duration
}

// declaredDedupWindow returns the deduplication window that the controllers' settings declare.
func (c *Config) declaredDedupWindow() time.Duration {
	if c.DedupWindow == 0 {
		return defaultDeclaredDedupWindow
	}
	return max(0, c.DedupWindow)
}

// executorDedupWindow returns the window within which executors drop repeated requests.
func (c *Config) executorDedupWindow() time.Duration {
	if c.DedupWindow == 0 {
		return defaultExecutorDedupWindow
	}
	return max(0, c.DedupWindow)
}

// Cluster runs several real controllers, test servers in place of the executors and the discovery service, and a relay
// that carries the traffic between the controllers.
type Cluster struct {
	Config      Config
	Relay       *Relay
	Controllers []*Controller
	Executors   []*testservers.Executor
	RunLog      *testservers.RunLog
	discovery   *testservers.Discovery
	// drained maps the name of an executor to the time at which it was published as terminating.
	drained map[string]time.Time
	onClose []func()
}

// New writes the controllers' files and starts the executors, the discovery service and the relay. It starts no
// controller.
func New(config Config) (cluster *Cluster, err error) {
	cluster = &Cluster{Config: config, RunLog: &testservers.RunLog{}, drained: map[string]time.Time{}}
	defer func() {
		if err != nil {
			cluster.Close()
		}
	}()
	if cluster.Relay, err = NewRelay(config.Controllers, config.Seed, config.Direct); err != nil {
		return nil, err
	}
	if err := cluster.startExecutors(); err != nil {
		return nil, err
	}
	if cluster.discovery, err = testservers.NewDiscovery(); err != nil {
		return nil, err
	}
	cluster.onClose = append(cluster.onClose, cluster.discovery.Stop)
	for k := range config.Controllers {
		if err := cluster.writeController(k); err != nil {
			return nil, err
		}
	}
	return cluster, nil
}

func (cl *Cluster) startExecutors() error {
	config := &cl.Config
	for k := range max(1, config.Executors) {
		executor := &testservers.Executor{
			Name:        fmt.Sprint("s-", k),
			Zone:        cl.ZoneOf(k),
			DedupWindow: config.executorDedupWindow(),
			Work:        time.Duration(config.WorkMS * float64(time.Millisecond)),
			WorkByClass: config.WorkByClass,
			RunLog:      cl.RunLog,
			Cores:       config.Cores,
			MaxInFlight: config.MaxInFlight,
		}
		if err := executor.Start(); err != nil {
			return fmt.Errorf("start executor %s: %w", executor.Name, err)
		}
		cl.Executors = append(cl.Executors, executor)
	}
	return nil
}

// ZoneOf returns the zone of the controller or the executor with the given index.
func (cl *Cluster) ZoneOf(index int) string { return fmt.Sprint("z", index%max(1, cl.Config.Zones)) }

// Start starts the controller with the given index.
func (cl *Cluster) Start(index int) error { return cl.Controllers[index].start(cl.Config.Program) }

// StartAll starts all controllers that are not running.
func (cl *Cluster) StartAll() error {
	for _, c := range cl.Controllers {
		if c.Running() {
			continue
		}
		if err := c.start(cl.Config.Program); err != nil {
			return err
		}
	}
	return nil
}

// Signal sends a signal to the process of a running controller.
func (cl *Cluster) Signal(index int, signal syscall.Signal) error {
	c := cl.Controllers[index]
	if !c.Running() {
		return fmt.Errorf("%s does not run", c.Name)
	}
	return c.cmd.Process.Signal(signal)
}

// Kill kills a controller with SIGKILL and waits until its process has ended.
func (cl *Cluster) Kill(index int) { cl.Controllers[index].kill() }

// Terminate stops a controller with SIGTERM and returns its exit code, or -1 if it was not running.
func (cl *Cluster) Terminate(index int) int { return cl.Controllers[index].terminate() }

// PID returns the process ID of a controller, or 0 if it is not running.
func (cl *Cluster) PID(index int) int {
	if c := cl.Controllers[index]; c.Running() {
		return c.cmd.Process.Pid
	}
	return 0
}

// SetDiskState sets the state that the disk of a controller simulates: "sound", "full", "failing" or "slow 300ms". Only
// programs that are built with the tag faults honour it.
func (cl *Cluster) SetDiskState(index int, state string) error {
	return os.WriteFile(cl.Controllers[index].diskFile(), []byte(state), 0o600)
}

// wipeStore removes the store of a controller, which must not be running.
func (cl *Cluster) wipeStore(index int) error {
	c := cl.Controllers[index]
	if c.Running() {
		return fmt.Errorf("%s runs: its store is not wiped", c.Name)
	}
	return os.RemoveAll(c.storeDirectory())
}

// DrainExecutor publishes an executor as terminating. The executor goes on answering requests.
func (cl *Cluster) DrainExecutor(index int) error {
	if err := cl.discovery.Publish(cl.Executors[index], "Terminating"); err != nil {
		return err
	}
	cl.drained[cl.Executors[index].Name] = time.Now()
	return nil
}

// RemoveExecutor publishes an executor as removed and stops it.
func (cl *Cluster) RemoveExecutor(index int) error {
	defer cl.Executors[index].Stop()
	return cl.discovery.Publish(cl.Executors[index], "Gone")
}

// StopDiscovery stops the discovery service.
func (cl *Cluster) StopDiscovery() { cl.discovery.Stop() }

// Close kills all controllers and stops the executors, the relay and the discovery service.
func (cl *Cluster) Close() {
	for _, c := range cl.Controllers {
		c.kill()
	}
	for _, e := range cl.Executors {
		e.Stop()
	}
	if cl.Relay != nil {
		cl.Relay.Close()
	}
	for _, stop := range cl.onClose {
		stop()
	}
}

// healLinks removes all link faults.
func (cl *Cluster) healLinks() { cl.Relay.SetLinks(func(int, int) Link { return Link{} }) }

// writeController adds the controller with the given index to the cluster and writes its files.
func (cl *Cluster) writeController(index int) error {
	name := fmt.Sprint("c", index)
	c := &Controller{Name: name, Directory: filepath.Join(cl.Config.Directory, name)}
	cl.Controllers = append(cl.Controllers, c)
	if err := os.MkdirAll(c.Directory, 0o700); err != nil {
		return err
	}
	var err error
	if c.ClientAddress, err = testservers.FreeAddress(); err != nil {
		return err
	}
	c.ControlSocket = filepath.Join(c.Directory, "sock")
	c.env = append(os.Environ(),
		"RELAY_CONFIG="+c.nodeFile(), "LIFTSHIFT_DISK="+c.diskFile(), "LIFTSHIFT_FILE="+c.operatorFile())
	node, err := cl.nodeConfig(index)
	if err != nil {
		return err
	}
	return errors.Join(
		os.WriteFile(c.nodeFile(), node, 0o600),
		os.WriteFile(c.operatorFile(), []byte(cl.operatorConfig(index)), 0o600),
	)
}
