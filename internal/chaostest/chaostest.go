package chaostest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"liftshift/internal/adminapi"
	"liftshift/internal/testservers"
)

// drainGrace is the grace of the settings after a drain is told, and what sockets have on top.
const drainGrace = 550 * time.Millisecond

// Config is what a rehearsal starts.
type Config struct {
	Program            string // path of liftshift
	Directory          string // scratch room
	Controllers        int
	Executors          int
	Zones              int
	Founders           int // of the council; 0: none
	Store              bool
	Seed               uint64
	WithoutCluster     bool   // without the block fleet
	Direct             bool   // no relay between them: no fault of links can be made
	ClusterSettings    string // further lines of the block fleet
	WorkMS             float64
	HandoffSettings    string        // lines of a block estate; empty: none
	SecondAddressUsers []int         // controllers that know engines by their second addresses
	LocalitySettings   string        // lines of a block zones; empty: none
	DedupWindow        time.Duration // for which engines drop repeats of a mark, as the settings say, too; 0: the usual, short one, below 0: none
	WorkByClass        map[string]time.Duration
	Cores, MaxInFlight int           // of an engine; 0: any number
	OutcomeTimeout     time.Duration // in which searches must have an outcome once the fleet is whole; 0: 5 s
}

// Controller is one process.
type Controller struct {
	Name          string
	ClientAddress string // where clients connect
	ControlSocket string
	Directory     string
	cmd           *exec.Cmd
	exited        chan struct{}
	log           bytes.Buffer
	mu            sync.Mutex
	env           []string
}

// Write keeps what the process logs.
func (c *Controller) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Write(b)
}

// Log is what it has logged so far.
func (c *Controller) Log() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.String()
}

// Running tells whether it runs.
func (c *Controller) Running() bool { return c.cmd != nil }

// Fleet is several real controllers, with engines and relays.
type Cluster struct {
	Config      Config
	Relay       *Relay
	Controllers []*Controller
	Executors   []*testservers.Executor
	RunLog      *testservers.Memory
	discovery   *testservers.Discovery
	drained     map[string]time.Time // engines that are told to be leaving, since when
	onClose     []func()
}

// New writes the files and starts the engines and the relay; no controller yet.
func New(config Config) (cl *Cluster, err error) {
	cl = &Cluster{Config: config, RunLog: &testservers.Memory{}, drained: map[string]time.Time{}}
	defer func() {
		if err != nil {
			cl.Close()
		}
	}()
	if cl.Relay, err = NewRelay(config.Controllers, config.Seed, config.Direct); err != nil {
		return nil, err
	}
	for k := range max(1, config.Executors) {
		e := &testservers.Executor{Name: fmt.Sprint("s-", k), Zone: fmt.Sprint("z", k%max(1, config.Zones)), DedupWindow: 100 * time.Millisecond,
			Work: time.Duration(config.WorkMS * float64(time.Millisecond)), WorkByClass: config.WorkByClass, Memory: cl.RunLog, Cores: config.Cores, MaxInFlight: config.MaxInFlight}
		if config.DedupWindow != 0 {
			e.DedupWindow = max(0, config.DedupWindow)
		}
		if err = e.Start(); err != nil {
			return nil, err
		}
		cl.Executors = append(cl.Executors, e)
	}
	if cl.discovery, err = testservers.NewDiscovery(); err != nil {
		return nil, err
	}
	cl.onClose = append(cl.onClose, cl.discovery.Stop)
	for k := range config.Controllers {
		if err = cl.writeController(k, cl.discovery.Address); err != nil {
			return nil, err
		}
	}
	return cl, nil
}

// writeController writes the files of a controller.
func (cl *Cluster) writeController(k int, list string) error {
	c := &Controller{Name: fmt.Sprint("c", k), Directory: filepath.Join(cl.Config.Directory, fmt.Sprint("c", k))}
	cl.Controllers = append(cl.Controllers, c)
	if err := os.MkdirAll(c.Directory, 0o700); err != nil {
		return err
	}
	var err error
	if c.ClientAddress, err = testservers.FreeAddress(); err != nil {
		return err
	}
	c.ControlSocket = filepath.Join(c.Directory, "sock")
	seeds := []string{}
	for s := range min(3, cl.Config.Controllers) {
		seeds = append(seeds, cl.Relay.AdvertiseAddress(s))
	}
	node := map[string]any{}
	if err := json.Unmarshal(testservers.NodeConfig(c.ClientAddress, list, cl.dedupWindow(), cl.Executors...), &node); err != nil {
		return err
	}
	node["name"] = c.Name
	if slices.Contains(cl.Config.SecondAddressUsers, k) { // it knows the engines by their other addresses
		text, _ := json.Marshal(node["known"])
		for _, e := range cl.Executors {
			text = []byte(strings.ReplaceAll(string(text), `"`+e.Address()+`"`, `"`+e.SecondAddress()+`"`))
		}
		var known any
		if err := json.Unmarshal(text, &known); err != nil {
			return err
		}
		node["known"] = known
	}
	settings := node["settings"].(map[string]any)
	settings["Siblings"], settings["SlotNo"] = cl.Config.Controllers, k
	text, err := json.Marshal(node)
	if err != nil {
		return err
	}
	var hcl strings.Builder
	fmt.Fprintf(&hcl, "control { socket = %q }\n", c.ControlSocket)
	if !cl.Config.WithoutCluster {
		cl.writeClusterBlock(&hcl, k, seeds)
	}
	if cl.Config.HandoffSettings != "" {
		fmt.Fprintf(&hcl, "estate {\n%s\n}\n", cl.Config.HandoffSettings)
	}
	if cl.Config.LocalitySettings != "" {
		fmt.Fprintf(&hcl, "zones {\n%s\n}\n", cl.Config.LocalitySettings)
	}
	if cl.Config.Store {
		fmt.Fprintf(&hcl, "store {\n  directory = %q\n  segment = \"256KiB\"\n}\n", filepath.Join(c.Directory, "store"))
	}
	file := filepath.Join(c.Directory, "office.hcl")
	c.env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(c.Directory, "node.json"), "LIFTSHIFT_DISK="+filepath.Join(c.Directory, "disk"), "LIFTSHIFT_FILE="+file)
	return errors.Join(os.WriteFile(filepath.Join(c.Directory, "node.json"), text, 0o600), os.WriteFile(file, []byte(hcl.String()), 0o600))
}

// dedupWindow is for how long the settings say that repeats are dropped.
func (cl *Cluster) dedupWindow() time.Duration {
	switch {
	case cl.Config.DedupWindow > 0:
		return cl.Config.DedupWindow
	case cl.Config.DedupWindow < 0:
		return 0
	}
	return 20 * time.Second
}

// writeClusterBlock writes the block fleet.
func (cl *Cluster) writeClusterBlock(hcl *strings.Builder, k int, seeds []string) {
	quoted, _ := json.Marshal(seeds)
	fmt.Fprintf(hcl, "fleet {\n  name = \"rehearsal\"\n  address = %q\n  listen = %q\n  zone = \"z%d\"\n  seeds = %s\n  %s\n",
		cl.Relay.AdvertiseAddress(k), cl.Relay.ListenAddress(k), k%max(1, cl.Config.Zones), quoted, cl.Config.ClusterSettings)
	if cl.Config.Founders > 0 {
		var names []string
		for n := range cl.Config.Founders {
			names = append(names, fmt.Sprint("c", n))
		}
		quoted, _ = json.Marshal(names)
		fmt.Fprintf(hcl, "  founders = %s\n", quoted)
	}
	hcl.WriteString("}\n")
}

// Start starts a controller.
func (cl *Cluster) Start(k int) error {
	c := cl.Controllers[k]
	if c.cmd != nil {
		return fmt.Errorf("%s runs already", c.Name)
	}
	cmd := exec.Command(cl.Config.Program)
	cmd.Env, cmd.Stderr = c.env, c
	if err := cmd.Start(); err != nil {
		return err
	}
	c.cmd, c.exited = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(c.exited)
	return nil
}

// StartAll starts all that do not run.
func (cl *Cluster) StartAll() error {
	for k, c := range cl.Controllers {
		if c.cmd == nil {
			if err := cl.Start(k); err != nil {
				return err
			}
		}
	}
	return nil
}

// Signal sends a signal to a controller.
func (cl *Cluster) Signal(k int, s syscall.Signal) error {
	if c := cl.Controllers[k]; c.cmd != nil {
		return c.cmd.Process.Signal(s)
	}
	return fmt.Errorf("%s does not run", cl.Controllers[k].Name)
}

// Kill ends a controller without a word.
func (cl *Cluster) Kill(k int) {
	if c := cl.Controllers[k]; c.cmd != nil {
		_ = c.cmd.Process.Kill()
		<-c.exited
		c.cmd = nil
	}
}

// SetDiskState says how the disk of a controller is from now on: "sound", "full", "failing" or "slow 300ms". It works with programs that were
// built with the tag faults.
func (cl *Cluster) SetDiskState(k int, state string) error {
	return os.WriteFile(filepath.Join(cl.Controllers[k].Directory, "disk"), []byte(state), 0o600)
}

// DrainExecutor has the list tell that an engine is leaving. It goes on answering.
func (cl *Cluster) DrainExecutor(k int) error {
	if err := cl.discovery.Publish(cl.Executors[k], "Terminating"); err != nil {
		return err
	}
	cl.drained[cl.Executors[k].Name] = time.Now()
	return nil
}

// RemoveExecutor has the list tell that an engine is gone, and ends it.
func (cl *Cluster) RemoveExecutor(k int) error {
	defer cl.Executors[k].Stop()
	return cl.discovery.Publish(cl.Executors[k], "Gone")
}

// RunsAfterDrain gives the runs that began at an engine past the grace after it was told to be leaving.
func RunsAfterDrain(runs []testservers.Run, drained map[string]time.Time) (wrong []string) {
	for _, r := range runs {
		if at, drains := drained[r.Executor]; drains && r.At.After(at.Add(drainGrace)) {
			wrong = append(wrong, fmt.Sprintf("search %s ran at %s, %v after that was told to be leaving", r.ID, r.Executor, r.At.Sub(at)))
		}
	}
	return wrong
}

// Terminate ends a controller as planned, and gives its exit code.
func (cl *Cluster) Terminate(k int) int {
	c := cl.Controllers[k]
	if c.cmd == nil {
		return -1
	}
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.exited:
	case <-time.After(10 * time.Second):
		_ = c.cmd.Process.Kill()
		<-c.exited
	}
	code := c.cmd.ProcessState.ExitCode()
	c.cmd = nil
	return code
}

// PID gives the number of a controller's process; 0 if it does not run.
func (cl *Cluster) PID(k int) int {
	if c := cl.Controllers[k]; c.cmd != nil {
		return c.cmd.Process.Pid
	}
	return 0
}

// Call asks a controller's control socket.
func (cl *Cluster) Call(k int, question string, fields map[string]any) (map[string]any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return adminapi.Call(ctx, cl.Controllers[k].ControlSocket, question, fields)
}

// MembershipView gives the phase of each member as a controller holds it.
func (cl *Cluster) MembershipView(k int) (map[string]string, error) {
	a, err := cl.Call(k, "members", nil)
	if err != nil {
		return nil, err
	}
	view := map[string]string{}
	list, _ := a["members"].([]any)
	for _, x := range list {
		m, _ := x.(map[string]any)
		name, _ := m["name"].(string)
		view[name], _ = m["phase"].(string)
	}
	return view, nil
}

// Converged tells whether each controller that runs holds those that run for here, and no other for living; else it says who does not.
func (cl *Cluster) Converged() (bool, string) {
	for k, c := range cl.Controllers {
		if c.cmd == nil {
			continue
		}
		view, err := cl.MembershipView(k)
		if err != nil {
			return false, c.Name + ": " + err.Error()
		}
		for _, o := range cl.Controllers {
			if p := view[o.Name]; (o.cmd != nil) != (p == "here") || o.cmd == nil && p != "" && p != "gone" && p != "left" {
				return false, fmt.Sprintf("%s holds %s for %q", c.Name, o.Name, p)
			}
		}
	}
	return true, ""
}

// WaitUntilConverged waits until all views are settled and gives the time it took.
func (cl *Cluster) WaitUntilConverged(most time.Duration) (time.Duration, error) {
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		good, why := cl.Converged()
		if took := time.Since(began); good {
			return took, nil
		} else if took > most {
			return took, fmt.Errorf("not settled within %v: %s (seed %d)", most, why, cl.Config.Seed)
		}
	}
}

// Close ends all.
func (cl *Cluster) Close() {
	for k := range cl.Controllers {
		cl.Kill(k)
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
