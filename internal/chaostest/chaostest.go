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

// Plan is what a rehearsal starts.
type Plan struct {
	Program     string // path of liftshift
	Folder      string // scratch room
	Controllers int
	Engines     int
	Zones       int
	Founders    int // of the council; 0: none
	Store       bool
	Seed        uint64
	NoFleet     bool   // without the block fleet
	Direct      bool   // no relay between them: no fault of links can be made
	Fleet       string // further lines of the block fleet
	WorkMS      float64
	Estate      string        // lines of a block estate; empty: none
	Seconds     []int         // controllers that know engines by their second addresses
	Between     string        // lines of a block zones; empty: none
	Drops       time.Duration // for which engines drop repeats of a mark, as the settings say, too; 0: the usual, short one, below 0: none
	Works       map[string]time.Duration
	Cores, Room int           // of an engine; 0: any number
	Within      time.Duration // in which searches must have an outcome once the fleet is whole; 0: 5 s
}

// Controller is one process.
type Controller struct {
	Name   string
	Client string // where clients connect
	Socket string
	Folder string
	cmd    *exec.Cmd
	waited chan struct{}
	log    bytes.Buffer
	mu     sync.Mutex
	env    []string
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

// Up tells whether it runs.
func (c *Controller) Up() bool { return c.cmd != nil }

// Fleet is several real controllers, with engines and relays.
type Fleet struct {
	Plan        Plan
	Relay       *Relay
	Controllers []*Controller
	Engines     []*testservers.Executor
	Memory      *testservers.Memory
	list        *testservers.Discovery
	drained     map[string]time.Time // engines that are told to be leaving, since when
	stops       []func()
}

// New writes the files and starts the engines and the relay; no controller yet.
func New(p Plan) (f *Fleet, err error) {
	f = &Fleet{Plan: p, Memory: &testservers.Memory{}, drained: map[string]time.Time{}}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if f.Relay, err = NewRelay(p.Controllers, p.Seed, p.Direct); err != nil {
		return nil, err
	}
	for k := range max(1, p.Engines) {
		e := &testservers.Executor{Name: fmt.Sprint("s-", k), Zone: fmt.Sprint("z", k%max(1, p.Zones)), DedupWindow: 100 * time.Millisecond,
			Work: time.Duration(p.WorkMS * float64(time.Millisecond)), WorkByClass: p.Works, Memory: f.Memory, Cores: p.Cores, MaxInFlight: p.Room}
		if p.Drops != 0 {
			e.DedupWindow = max(0, p.Drops)
		}
		if err = e.Start(); err != nil {
			return nil, err
		}
		f.Engines = append(f.Engines, e)
	}
	if f.list, err = testservers.NewDiscovery(); err != nil {
		return nil, err
	}
	f.stops = append(f.stops, f.list.Stop)
	for k := range p.Controllers {
		if err = f.write(k, f.list.Address); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// write writes the files of a controller.
func (f *Fleet) write(k int, list string) error {
	c := &Controller{Name: fmt.Sprint("c", k), Folder: filepath.Join(f.Plan.Folder, fmt.Sprint("c", k))}
	f.Controllers = append(f.Controllers, c)
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return err
	}
	var err error
	if c.Client, err = testservers.FreeAddress(); err != nil {
		return err
	}
	c.Socket = filepath.Join(c.Folder, "sock")
	seeds := []string{}
	for s := range min(3, f.Plan.Controllers) {
		seeds = append(seeds, f.Relay.Known(s))
	}
	node := map[string]any{}
	if err := json.Unmarshal(testservers.NodeConfig(c.Client, list, f.window(), f.Engines...), &node); err != nil {
		return err
	}
	node["name"] = c.Name
	if slices.Contains(f.Plan.Seconds, k) { // it knows the engines by their other addresses
		text, _ := json.Marshal(node["known"])
		for _, e := range f.Engines {
			text = []byte(strings.ReplaceAll(string(text), `"`+e.Address()+`"`, `"`+e.Second()+`"`))
		}
		var known any
		if err := json.Unmarshal(text, &known); err != nil {
			return err
		}
		node["known"] = known
	}
	settings := node["settings"].(map[string]any)
	settings["Siblings"], settings["SlotNo"] = f.Plan.Controllers, k
	text, err := json.Marshal(node)
	if err != nil {
		return err
	}
	var hcl strings.Builder
	fmt.Fprintf(&hcl, "control { socket = %q }\n", c.Socket)
	if !f.Plan.NoFleet {
		f.block(&hcl, k, seeds)
	}
	if f.Plan.Estate != "" {
		fmt.Fprintf(&hcl, "estate {\n%s\n}\n", f.Plan.Estate)
	}
	if f.Plan.Between != "" {
		fmt.Fprintf(&hcl, "zones {\n%s\n}\n", f.Plan.Between)
	}
	if f.Plan.Store {
		fmt.Fprintf(&hcl, "store {\n  directory = %q\n  segment = \"256KiB\"\n}\n", filepath.Join(c.Folder, "store"))
	}
	file := filepath.Join(c.Folder, "office.hcl")
	c.env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(c.Folder, "node.json"), "LIFTSHIFT_DISK="+filepath.Join(c.Folder, "disk"), "LIFTSHIFT_FILE="+file)
	return errors.Join(os.WriteFile(filepath.Join(c.Folder, "node.json"), text, 0o600), os.WriteFile(file, []byte(hcl.String()), 0o600))
}

// window is for how long the settings say that repeats are dropped.
func (f *Fleet) window() time.Duration {
	switch {
	case f.Plan.Drops > 0:
		return f.Plan.Drops
	case f.Plan.Drops < 0:
		return 0
	}
	return 20 * time.Second
}

// block writes the block fleet.
func (f *Fleet) block(hcl *strings.Builder, k int, seeds []string) {
	quoted, _ := json.Marshal(seeds)
	fmt.Fprintf(hcl, "fleet {\n  name = \"rehearsal\"\n  address = %q\n  listen = %q\n  zone = \"z%d\"\n  seeds = %s\n  %s\n",
		f.Relay.Known(k), f.Relay.Listen(k), k%max(1, f.Plan.Zones), quoted, f.Plan.Fleet)
	if f.Plan.Founders > 0 {
		var names []string
		for n := range f.Plan.Founders {
			names = append(names, fmt.Sprint("c", n))
		}
		quoted, _ = json.Marshal(names)
		fmt.Fprintf(hcl, "  founders = %s\n", quoted)
	}
	hcl.WriteString("}\n")
}

// Start starts a controller.
func (f *Fleet) Start(k int) error {
	c := f.Controllers[k]
	if c.cmd != nil {
		return fmt.Errorf("%s runs already", c.Name)
	}
	cmd := exec.Command(f.Plan.Program)
	cmd.Env, cmd.Stderr = c.env, c
	if err := cmd.Start(); err != nil {
		return err
	}
	c.cmd, c.waited = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(c.waited)
	return nil
}

// StartAll starts all that do not run.
func (f *Fleet) StartAll() error {
	for k, c := range f.Controllers {
		if c.cmd == nil {
			if err := f.Start(k); err != nil {
				return err
			}
		}
	}
	return nil
}

// Signal sends a signal to a controller.
func (f *Fleet) Signal(k int, s syscall.Signal) error {
	if c := f.Controllers[k]; c.cmd != nil {
		return c.cmd.Process.Signal(s)
	}
	return fmt.Errorf("%s does not run", f.Controllers[k].Name)
}

// Kill ends a controller without a word.
func (f *Fleet) Kill(k int) {
	if c := f.Controllers[k]; c.cmd != nil {
		_ = c.cmd.Process.Kill()
		<-c.waited
		c.cmd = nil
	}
}

// Disk says how the disk of a controller is from now on: "sound", "full", "failing" or "slow 300ms". It works with programs that were
// built with the tag faults.
func (f *Fleet) Disk(k int, state string) error {
	return os.WriteFile(filepath.Join(f.Controllers[k].Folder, "disk"), []byte(state), 0o600)
}

// Drain has the list tell that an engine is leaving. It goes on answering.
func (f *Fleet) Drain(k int) error {
	if err := f.list.Publish(f.Engines[k], "Terminating"); err != nil {
		return err
	}
	f.drained[f.Engines[k].Name] = time.Now()
	return nil
}

// Gone has the list tell that an engine is gone, and ends it.
func (f *Fleet) Gone(k int) error {
	defer f.Engines[k].Stop()
	return f.list.Publish(f.Engines[k], "Gone")
}

// Undrained gives the runs that began at an engine past the grace after it was told to be leaving.
func Undrained(runs []testservers.Run, drained map[string]time.Time) (wrong []string) {
	for _, r := range runs {
		if at, drains := drained[r.Executor]; drains && r.At.After(at.Add(drainGrace)) {
			wrong = append(wrong, fmt.Sprintf("search %s ran at %s, %v after that was told to be leaving", r.ID, r.Executor, r.At.Sub(at)))
		}
	}
	return wrong
}

// Term ends a controller as planned, and gives its exit code.
func (f *Fleet) Term(k int) int {
	c := f.Controllers[k]
	if c.cmd == nil {
		return -1
	}
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.waited:
	case <-time.After(10 * time.Second):
		_ = c.cmd.Process.Kill()
		<-c.waited
	}
	code := c.cmd.ProcessState.ExitCode()
	c.cmd = nil
	return code
}

// Process gives the number of a controller's process; 0 if it does not run.
func (f *Fleet) Process(k int) int {
	if c := f.Controllers[k]; c.cmd != nil {
		return c.cmd.Process.Pid
	}
	return 0
}

// Ask asks a controller's control socket.
func (f *Fleet) Ask(k int, question string, fields map[string]any) (map[string]any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return adminapi.Call(ctx, f.Controllers[k].Socket, question, fields)
}

// View gives the phase of each member as a controller holds it.
func (f *Fleet) View(k int) (map[string]string, error) {
	a, err := f.Ask(k, "members", nil)
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

// Settled tells whether each controller that runs holds those that run for here, and no other for living; else it says who does not.
func (f *Fleet) Settled() (bool, string) {
	for k, c := range f.Controllers {
		if c.cmd == nil {
			continue
		}
		view, err := f.View(k)
		if err != nil {
			return false, c.Name + ": " + err.Error()
		}
		for _, o := range f.Controllers {
			if p := view[o.Name]; (o.cmd != nil) != (p == "here") || o.cmd == nil && p != "" && p != "gone" && p != "left" {
				return false, fmt.Sprintf("%s holds %s for %q", c.Name, o.Name, p)
			}
		}
	}
	return true, ""
}

// WhenSettled waits until all views are settled and gives the time it took.
func (f *Fleet) WhenSettled(most time.Duration) (time.Duration, error) {
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		good, why := f.Settled()
		if took := time.Since(began); good {
			return took, nil
		} else if took > most {
			return took, fmt.Errorf("not settled within %v: %s (seed %d)", most, why, f.Plan.Seed)
		}
	}
}

// Close ends all.
func (f *Fleet) Close() {
	for k := range f.Controllers {
		f.Kill(k)
	}
	for _, e := range f.Engines {
		e.Stop()
	}
	if f.Relay != nil {
		f.Relay.Close()
	}
	for _, stop := range f.stops {
		stop()
	}
}
