package chaostest

import (
	"debug/buildinfo"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/hcl/v2/hclsimple"
)

// Script is a rehearsal as an operator writes it.
type Script struct {
	Controllers int     `hcl:"controllers"`
	Engines     int     `hcl:"engines,optional"`
	Zones       int     `hcl:"zones,optional"`
	Founders    int     `hcl:"founders,optional"`
	Store       bool    `hcl:"store,optional"`
	Seed        int     `hcl:"seed,optional"`
	Clients     int     `hcl:"clients,optional"`
	WorkMS      float64 `hcl:"work_ms,optional"`
	Fleet       string  `hcl:"fleet,optional"`
	Length      string  `hcl:"length"`
	Settled     string  `hcl:"settled,optional"`
	Steps       []Step  `hcl:"step,block"`

	length, convergeTimeout time.Duration
}

// Step is what is done at a time.
type Step struct {
	At    string     `hcl:"at,label"`
	Kill  []string   `hcl:"kill,optional"`
	Start []string   `hcl:"start,optional"`
	Term  []string   `hcl:"term,optional"`
	Stop  []string   `hcl:"stop,optional"` // SIGSTOP
	Go    []string   `hcl:"go,optional"`   // SIGCONT
	Wipe  []string   `hcl:"wipe,optional"` // the folder of one that does not run
	Parts [][]string `hcl:"parts,optional"`
	Mute  []string   `hcl:"mute,optional"` // nobody hears these; they hear others
	Loss  float64    `hcl:"loss,optional"`
	Twice float64    `hcl:"twice,optional"`
	Delay string     `hcl:"delay,optional"`
	Heal  bool       `hcl:"heal,optional"`
	Drain []string   `hcl:"drain,optional"` // engines: s0, s1, ...
	Disks []string   `hcl:"disks,optional"` // those whose disks are as Disk says; with a program built with the tag faults
	Disk  string     `hcl:"disk,optional"`

	at, delay time.Duration
}

// ReadScript reads a script and checks it: names that are not there and times that are out of order are refused.
func ReadScript(path string) (*Script, error) {
	s := &Script{}
	if err := hclsimple.DecodeFile(path, nil, s); err != nil {
		return nil, err
	}
	var err error
	span := func(text string, usual time.Duration) time.Duration {
		if text == "" {
			return usual
		}
		d, wrong := time.ParseDuration(text)
		if (wrong != nil || d < 0) && err == nil {
			err = fmt.Errorf("%s: %q is no time such as \"2s\"", path, text)
		}
		return d
	}
	s.length, s.convergeTimeout = span(s.Length, 0), span(s.Settled, 15*time.Second)
	before := time.Duration(0)
	for k := range s.Steps {
		p := &s.Steps[k]
		p.at, p.delay = span(p.At, 0), span(p.Delay, 0)
		if err == nil && (p.at < before || p.at > s.length) {
			err = fmt.Errorf("%s: step %q is out of order, or past the length", path, p.At)
		}
		before = p.at
		for _, name := range slices.Concat(p.Kill, p.Start, p.Term, p.Stop, p.Go, p.Wipe, p.Mute, p.Disks, slices.Concat(p.Parts...)) {
			if n := controllerNumber(name); err == nil && (n < 0 || n >= s.Controllers) {
				err = fmt.Errorf("%s: step %q: there is no controller %q; they are c0 to c%d", path, p.At, name, s.Controllers-1)
			}
		}
	}
	for _, p := range s.Steps {
		for _, name := range p.Drain {
			if n := controllerNumber(strings.Replace(name, "s", "c", 1)); err == nil && (n < 0 || n >= max(1, s.Engines)) {
				err = fmt.Errorf("%s: step %q: there is no engine %q", path, p.At, name)
			}
		}
	}
	switch {
	case err != nil:
	case s.Controllers < 1 || s.Controllers > 60:
		err = fmt.Errorf("%s: controllers must be from 1 to 60", path)
	case s.Founders != 0 && s.Founders != 3 && s.Founders != 5 && s.Founders != 7 || s.Founders > s.Controllers:
		err = fmt.Errorf("%s: founders must be 0, 3, 5 or 7, and no more than there are controllers", path)
	case s.Founders > 0 && !s.Store:
		err = fmt.Errorf("%s: a council needs store = true", path)
	case s.length <= 0:
		err = fmt.Errorf("%s: length must be above 0", path)
	}
	return s, err
}

func controllerNumber(name string) int {
	n := -1
	if _, err := fmt.Sscanf(name, "c%d", &n); err != nil || fmt.Sprint("c", n) != name {
		return -1
	}
	return n
}

// Sample is how things stood at a time.
type Sample struct {
	At        time.Duration
	Present   map[string]int // how many each controller holds for here
	Datagrams uint64
	Bytes     uint64
}

// Outcome is what a rehearsal came to.
type DrillResult struct {
	Seed     uint64
	Timeline []string
	Samples  []Sample
	Requests []SentRequest
	Start    time.Time
	Wrong    []string
}

// Play plays a script with a program, in a scratch folder, and tells its timeline as it goes.
func Play(s *Script, program, folder string, out io.Writer) (*DrillResult, error) {
	o := &DrillResult{Seed: uint64(s.Seed), Start: time.Now()}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano() % 1e9)
	}
	if sick := slices.ContainsFunc(s.Steps, func(p Step) bool { return len(p.Disks) > 0 }); sick && !hasFaults(program+"-full") {
		return nil, fmt.Errorf("%s can't make its disk fail: build it with -tags faults", program)
	}
	cl, err := New(Config{Program: program, Directory: folder, Controllers: s.Controllers, Executors: max(1, s.Engines), Zones: max(1, s.Zones),
		Founders: s.Founders, Store: s.Store, Seed: o.Seed, ClusterSettings: s.Fleet, WorkMS: s.WorkMS})
	if err != nil {
		return nil, err
	}
	defer cl.Close()
	say := func(format string, args ...any) {
		line := fmt.Sprintf("%7.2fs  ", time.Since(o.Start).Seconds()) + fmt.Sprintf(format, args...)
		o.Timeline = append(o.Timeline, line)
		fmt.Fprintln(out, line)
	}
	say("seed %d: %d controllers start", o.Seed, s.Controllers)
	if err := cl.StartAll(); err != nil {
		return nil, err
	}
	took, err := cl.WaitUntilConverged(30 * time.Second)
	if err != nil {
		return o, fmt.Errorf("before any fault: %w", err)
	}
	say("all views are settled after %.2fs", took.Seconds())
	history, end := cl.StartLoad(s.Clients, 5*time.Millisecond)
	defer end()
	began := time.Now()
	done, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for tick := time.NewTicker(250 * time.Millisecond); ; {
			o.Samples = append(o.Samples, cl.takeSample(time.Since(o.Start)))
			select {
			case <-tick.C:
			case <-done:
				tick.Stop()
				return
			}
		}
	}()
	for k := range s.Steps {
		p := &s.Steps[k]
		time.Sleep(time.Until(began.Add(p.at)))
		say("%s", p)
		if err := cl.apply(p); err != nil {
			o.Wrong = append(o.Wrong, err.Error())
		}
	}
	time.Sleep(time.Until(began.Add(s.length)))
	close(done)
	<-sampled
	cl.Relay.SetLinks(func(int, int) Link { return Link{} })
	for k, c := range cl.Controllers {
		if c.cmd != nil {
			_ = cl.Signal(k, syscall.SIGCONT)
		}
	}
	if took, err = cl.WaitUntilConverged(s.convergeTimeout); err != nil {
		o.Wrong = append(o.Wrong, err.Error())
	} else {
		say("healed: all views are settled after %.2fs", took.Seconds())
	}
	end()
	o.Requests = history.List()
	o.Wrong = append(o.Wrong, Check(o.Requests, cl.RunLog.Runs(), s.Controllers)...)
	o.Wrong = append(o.Wrong, RunsAfterDrain(cl.RunLog.Runs(), cl.drained)...)
	for _, c := range cl.Controllers {
		for _, word := range []string{"does not hold", "panic:", "DATA RACE"} {
			if at := strings.Index(c.Log(), word); at >= 0 {
				o.Wrong = append(o.Wrong, fmt.Sprintf("%s said: %.600s", c.Name, c.Log()[max(0, at-100):]))
			}
		}
	}
	counts := map[string]int{}
	for _, a := range o.Requests {
		counts[a.Result]++
	}
	say("%d searches: %d handled, %d denied, %d written off, %d cut off", len(o.Requests), counts["handled"], counts["denied"], counts["written off"], counts["cut off"])
	for _, w := range o.Wrong {
		say("WRONG: %s", w)
	}
	return o, nil
}

// hasFaults tells whether a program was built with the layer that makes disks fail.
func hasFaults(program string) bool {
	info, err := buildinfo.ReadFile(program)
	return err == nil && slices.ContainsFunc(info.Settings, func(s debug.BuildSetting) bool {
		return s.Key == "-tags" && slices.Contains(strings.Split(s.Value, ","), "faults")
	})
}

// String tells what a step does.
func (p *Step) String() string {
	var parts []string
	for _, x := range []struct {
		what  string
		names []string
	}{{"kill", p.Kill}, {"start", p.Start}, {"end as planned", p.Term}, {"stop", p.Stop}, {"go on", p.Go}, {"wipe", p.Wipe}, {"mute", p.Mute}, {"drain", p.Drain}, {"disk " + p.Disk + ":", p.Disks}} {
		if len(x.names) > 0 {
			parts = append(parts, x.what+" "+strings.Join(x.names, " "))
		}
	}
	if len(p.Parts) > 0 {
		parts = append(parts, fmt.Sprint("part ", p.Parts))
	}
	if p.Loss > 0 || p.Twice > 0 || p.delay > 0 {
		parts = append(parts, fmt.Sprintf("loss %g, twice %g, delay up to %v", p.Loss, p.Twice, p.delay))
	}
	if p.Heal {
		parts = append(parts, "heal")
	}
	return strings.Join(parts, "; ")
}

// apply does what a step says.
func (cl *Cluster) apply(p *Step) (err error) {
	each := func(names []string, do func(k int) error) {
		for _, name := range names {
			if e := do(controllerNumber(name)); e != nil && err == nil {
				err = e
			}
		}
	}
	each(p.Kill, func(k int) error { cl.Kill(k); return nil })
	each(p.Term, func(k int) error {
		if code := cl.Terminate(k); code != 0 {
			return fmt.Errorf("c%d ended with %d at a planned stop", k, code)
		}
		return nil
	})
	each(p.Wipe, func(k int) error {
		if cl.Controllers[k].cmd != nil {
			return fmt.Errorf("c%d runs: its folder is not wiped", k)
		}
		return os.RemoveAll(cl.Controllers[k].Directory + "/store")
	})
	each(p.Disks, func(k int) error { return cl.SetDiskState(k, p.Disk) })
	each(p.Start, cl.Start)
	each(p.Stop, func(k int) error { return cl.Signal(k, syscall.SIGSTOP) })
	each(p.Go, func(k int) error { return cl.Signal(k, syscall.SIGCONT) })
	for _, name := range p.Drain {
		if e := cl.DrainExecutor(controllerNumber(strings.Replace(name, "s", "c", 1))); e != nil && err == nil {
			err = e
		}
	}
	part := map[int]int{}
	for n, group := range p.Parts {
		for _, name := range group {
			part[controllerNumber(name)] = n + 1
		}
	}
	if p.Heal || len(part) > 0 || len(p.Mute) > 0 || p.Loss > 0 || p.Twice > 0 || p.delay > 0 {
		l := Link{Loss: p.Loss, Duplication: p.Twice, DelayMS: float64(p.delay.Milliseconds())}
		cl.Relay.SetLinks(func(from, to int) Link {
			way := l
			way.Cut = part[from] != part[to] || slices.Contains(p.Mute, fmt.Sprint("c", from))
			return way
		})
	}
	return err
}

// takeSample asks each controller that answers how many it holds for here.
func (cl *Cluster) takeSample(at time.Duration) Sample {
	s := Sample{At: at, Present: map[string]int{}, Datagrams: cl.Relay.Datagrams.Load(), Bytes: cl.Relay.DatagramBytes.Load()}
	for k, c := range cl.Controllers {
		if _, err := os.Stat(c.ControlSocket); err != nil {
			continue
		}
		if view, err := cl.MembershipView(k); err == nil {
			for _, p := range view {
				if p == "here" {
					s.Present[c.Name]++
				}
			}
		}
	}
	return s
}
