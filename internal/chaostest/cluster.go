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
	defaultDedupWindow  = 100 * time.Millisecond // of executors
	settingsDedupWindow = 20 * time.Second       // of the settings, unless the configuration has one
	drainGrace          = 550 * time.Millisecond // of the settings, and what sockets need on top
	terminateTimeout    = 10 * time.Second       // from SIGTERM until a controller is killed
	convergeInterval    = 20 * time.Millisecond
)

// Config is what a cluster is made of.
type Config struct {
	Program            string // path of liftshift
	Directory          string // for the files of all controllers
	Controllers        int
	Executors          int
	Zones              int
	Founders           int // of the consensus group; 0: none
	Store              bool
	Seed               uint64
	WithoutCluster     bool   // no cluster block in the controllers' files
	Direct             bool   // no relay between controllers: no fault of links can be made
	ClusterSettings    string // further lines of the cluster block
	HandoffSettings    string // lines of the handoff block; empty: no such block
	LocalitySettings   string // lines of the locality block; empty: no such block
	SecondAddressUsers []int  // controllers that know executors by their second addresses
	WorkMS             float64
	WorkByClass        map[string]time.Duration
	DedupWindow        time.Duration // of executors and settings; 0: the default, below 0: executors drop no repeats
	Cores              int           // of an executor; 0: without limit
	MaxInFlight        int           // of an executor; 0: without limit
	OutcomeTimeout     time.Duration // in which requests must have an outcome once the cluster has recovered; 0: 5 s
}

// dedupWindow returns the window that the settings announce.
func (c *Config) dedupWindow() time.Duration {
	if c.DedupWindow == 0 {
		return settingsDedupWindow
	}
	return max(0, c.DedupWindow)
}

// executorDedupWindow returns the window for which executors drop repeats.
func (c *Config) executorDedupWindow() time.Duration {
	if c.DedupWindow == 0 {
		return defaultDedupWindow
	}
	return max(0, c.DedupWindow)
}

// Cluster is several real controllers with test servers for executors and discovery, and a relay between the controllers.
type Cluster struct {
	Config      Config
	Relay       *Relay
	Controllers []*Controller
	Executors   []*testservers.Executor
	RunLog      *testservers.RunLog
	discovery   *testservers.Discovery
	drained     map[string]time.Time // by executor: when it was published as terminating
	onClose     []func()
}

// New writes the controllers' files and starts the executors, the discovery service and the relay. No controller runs yet.
func New(config Config) (cl *Cluster, err error) {
	cl = &Cluster{Config: config, RunLog: &testservers.RunLog{}, drained: map[string]time.Time{}}
	defer func() {
		if err != nil {
			cl.Close()
		}
	}()
	if cl.Relay, err = NewRelay(config.Controllers, config.Seed, config.Direct); err != nil {
		return nil, err
	}
	if err := cl.startExecutors(); err != nil {
		return nil, err
	}
	if cl.discovery, err = testservers.NewDiscovery(); err != nil {
		return nil, err
	}
	cl.onClose = append(cl.onClose, cl.discovery.Stop)
	for k := range config.Controllers {
		if err := cl.writeController(k); err != nil {
			return nil, err
		}
	}
	return cl, nil
}

func (cl *Cluster) startExecutors() error {
	config := &cl.Config
	for k := range max(1, config.Executors) {
		e := &testservers.Executor{
			Name:        fmt.Sprint("s-", k),
			Zone:        cl.ZoneOf(k),
			DedupWindow: config.executorDedupWindow(),
			Work:        time.Duration(config.WorkMS * float64(time.Millisecond)),
			WorkByClass: config.WorkByClass,
			RunLog:      cl.RunLog,
			Cores:       config.Cores,
			MaxInFlight: config.MaxInFlight,
		}
		if err := e.Start(); err != nil {
			return err
		}
		cl.Executors = append(cl.Executors, e)
	}
	return nil
}

// ZoneOf returns the zone of a controller or an executor by its number.
func (cl *Cluster) ZoneOf(k int) string { return fmt.Sprint("z", k%max(1, cl.Config.Zones)) }

// Start starts a controller.
func (cl *Cluster) Start(k int) error { return cl.Controllers[k].start(cl.Config.Program) }

// StartAll starts all controllers that do not run.
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

// Signal sends a signal to a controller.
func (cl *Cluster) Signal(k int, s syscall.Signal) error {
	c := cl.Controllers[k]
	if !c.Running() {
		return fmt.Errorf("%s does not run", c.Name)
	}
	return c.cmd.Process.Signal(s)
}

// Kill kills a controller and waits for its end.
func (cl *Cluster) Kill(k int) { cl.Controllers[k].kill() }

// Terminate stops a controller gracefully and returns its exit code; -1 if it does not run.
func (cl *Cluster) Terminate(k int) int { return cl.Controllers[k].terminate() }

// PID returns the process ID of a controller; 0 if it does not run.
func (cl *Cluster) PID(k int) int {
	if c := cl.Controllers[k]; c.Running() {
		return c.cmd.Process.Pid
	}
	return 0
}

// SetDiskState sets how the disk of a controller is from now on: "sound", "full", "failing" or "slow 300ms". It works with programs that
// are built with the tag faults.
func (cl *Cluster) SetDiskState(k int, state string) error {
	return os.WriteFile(cl.Controllers[k].diskFile(), []byte(state), 0o600)
}

// wipeStore removes the store of a controller that does not run.
func (cl *Cluster) wipeStore(k int) error {
	c := cl.Controllers[k]
	if c.Running() {
		return fmt.Errorf("%s runs: its store is not wiped", c.Name)
	}
	return os.RemoveAll(c.storeDirectory())
}

// DrainExecutor publishes an executor as terminating. It goes on answering.
func (cl *Cluster) DrainExecutor(k int) error {
	if err := cl.discovery.Publish(cl.Executors[k], "Terminating"); err != nil {
		return err
	}
	cl.drained[cl.Executors[k].Name] = time.Now()
	return nil
}

// RemoveExecutor publishes an executor as gone and stops it.
func (cl *Cluster) RemoveExecutor(k int) error {
	defer cl.Executors[k].Stop()
	return cl.discovery.Publish(cl.Executors[k], "Gone")
}

// StopDiscovery stops the discovery service.
func (cl *Cluster) StopDiscovery() { cl.discovery.Stop() }

// Close ends all processes and servers.
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

// healLinks removes all faults of links.
func (cl *Cluster) healLinks() { cl.Relay.SetLinks(func(int, int) Link { return Link{} }) }

// writeController adds a controller and writes its files.
func (cl *Cluster) writeController(k int) error {
	name := fmt.Sprint("c", k)
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
	c.env = append(os.Environ(), "RELAY_CONFIG="+c.nodeFile(), "LIFTSHIFT_DISK="+c.diskFile(), "LIFTSHIFT_FILE="+c.operatorFile())
	node, err := cl.nodeConfig(k)
	if err != nil {
		return err
	}
	return errors.Join(os.WriteFile(c.nodeFile(), node, 0o600), os.WriteFile(c.operatorFile(), []byte(cl.operatorConfig(k)), 0o600))
}
