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
)

const (
	drillJoinTimeout = 30 * time.Second
	drillClientPause = 5 * time.Millisecond
	sampleInterval   = 250 * time.Millisecond
)

// faultTexts are texts in the log of a controller that are violations.
var faultTexts = []string{"does not hold", "panic:", "DATA RACE"}

// Sample is the state of a cluster at a time of a drill.
type Sample struct {
	At        time.Duration
	Present   map[string]int // how many members each controller sees alive
	Datagrams uint64
	Bytes     uint64
}

// DrillResult is the result of a drill.
type DrillResult struct {
	Seed       uint64
	Timeline   []string
	Samples    []Sample
	Requests   []SentRequest
	Start      time.Time
	Violations []string
}

// drill is a drill that is being played.
type drill struct {
	script  *Script
	cluster *Cluster
	result  *DrillResult
	out     io.Writer
}

// Play plays a script with a program in a scratch directory, and writes its timeline as it goes.
func Play(s *Script, program, directory string, out io.Writer) (*DrillResult, error) {
	result := &DrillResult{Seed: uint64(s.Seed), Start: time.Now()}
	if result.Seed == 0 {
		result.Seed = uint64(time.Now().UnixNano() % 1e9)
	}
	if len(s.Deprecated) > 0 {
		fmt.Fprintf(out, "warning: the drill uses deprecated names: %s\n", strings.Join(s.Deprecated, ", "))
	}
	failsDisks := slices.ContainsFunc(s.Steps, func(p Step) bool { return len(p.Disks) > 0 })
	if failsDisks && !hasFaults(program+"-full") {
		return nil, fmt.Errorf("%s can't make its disk fail: build it with -tags faults", program)
	}
	cl, err := New(Config{Program: program, Directory: directory, Controllers: s.Controllers, Executors: max(1, s.Executors), Zones: max(1, s.Zones),
		Founders: s.Founders, Store: s.Store, Seed: result.Seed, ClusterSettings: s.Cluster, WorkMS: s.WorkMS})
	if err != nil {
		return nil, err
	}
	defer cl.Close()
	d := &drill{script: s, cluster: cl, result: result, out: out}
	d.say("seed %d: %d controllers start", result.Seed, s.Controllers)
	if err := cl.StartAll(); err != nil {
		return nil, err
	}
	elapsed, err := cl.WaitUntilConverged(drillJoinTimeout)
	if err != nil {
		return result, fmt.Errorf("before any fault: %w", err)
	}
	d.say("all views have converged after %.2fs", elapsed.Seconds())
	history, endLoad := cl.StartLoad(s.Clients, drillClientPause)
	defer endLoad()
	d.playSteps()
	d.heal()
	endLoad()
	result.Requests = history.List()
	d.check()
	return result, nil
}

// say adds a line to the timeline.
func (d *drill) say(format string, args ...any) {
	line := fmt.Sprintf("%7.2fs  ", time.Since(d.result.Start).Seconds()) + fmt.Sprintf(format, args...)
	d.result.Timeline = append(d.result.Timeline, line)
	fmt.Fprintln(d.out, line)
}

// playSteps plays all steps at their times, until the length of the script; samples are taken meanwhile.
func (d *drill) playSteps() {
	start := time.Now()
	stopSampling := d.startSampling()
	defer stopSampling()
	for k := range d.script.Steps {
		p := &d.script.Steps[k]
		time.Sleep(time.Until(start.Add(p.at)))
		d.say("%s", p)
		if err := d.cluster.apply(p); err != nil {
			d.result.Violations = append(d.result.Violations, err.Error())
		}
	}
	time.Sleep(time.Until(start.Add(d.script.length)))
}

// startSampling takes samples until the returned function is called, which waits for the last one.
func (d *drill) startSampling() (stop func()) {
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			d.result.Samples = append(d.result.Samples, d.cluster.takeSample(time.Since(d.result.Start)))
			select {
			case <-tick.C:
			case <-stopping:
				return
			}
		}
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}

// heal removes all faults but those of controllers that do not run, and waits until all views have converged.
func (d *drill) heal() {
	d.cluster.healLinks()
	for k, c := range d.cluster.Controllers {
		if c.Running() {
			_ = d.cluster.Signal(k, syscall.SIGCONT)
		}
	}
	elapsed, err := d.cluster.WaitUntilConverged(d.script.convergeTimeout)
	if err != nil {
		d.result.Violations = append(d.result.Violations, err.Error())
		return
	}
	d.say("healed: all views have converged after %.2fs", elapsed.Seconds())
}

// check checks what clients, executors and logs have, and adds the results to the timeline.
func (d *drill) check() {
	result, runs := d.result, d.cluster.RunLog.Runs()
	result.Violations = append(result.Violations, Check(result.Requests, runs, d.script.Controllers)...)
	result.Violations = append(result.Violations, RunsAfterDrain(runs, d.cluster.drained)...)
	for _, c := range d.cluster.Controllers {
		log := c.Log()
		for _, text := range faultTexts {
			if at := strings.Index(log, text); at >= 0 {
				result.Violations = append(result.Violations, fmt.Sprintf("%s logged: %.600s", c.Name, log[max(0, at-100):]))
			}
		}
	}
	counts := map[Result]int{}
	for _, r := range result.Requests {
		counts[r.Result]++
	}
	d.say("%d requests: %d handled, %d rejected, %d failed, %d disconnected", len(result.Requests), counts[ResultHandled], counts[ResultRejected],
		counts[ResultFailed], counts[ResultDisconnected])
	for _, violation := range result.Violations {
		d.say("WRONG: %s", violation)
	}
}

// hasFaults reports whether a program is built with the layer that makes disks fail.
func hasFaults(program string) bool {
	info, err := buildinfo.ReadFile(program)
	return err == nil && slices.ContainsFunc(info.Settings, func(s debug.BuildSetting) bool {
		return s.Key == "-tags" && slices.Contains(strings.Split(s.Value, ","), "faults")
	})
}

// apply does what a step says, all of it also where something fails, and returns the first error.
func (cl *Cluster) apply(p *Step) (first error) {
	note := func(err error) {
		if first == nil {
			first = err
		}
	}
	each := func(names []string, do func(k int) error) {
		for _, name := range names {
			note(do(controllerNumber(name)))
		}
	}
	each(p.Kill, func(k int) error { cl.Kill(k); return nil })
	each(p.Term, func(k int) error {
		if code := cl.Terminate(k); code != 0 {
			return fmt.Errorf("c%d ended with %d at a planned stop", k, code)
		}
		return nil
	})
	each(p.Wipe, cl.wipeStore)
	each(p.Disks, func(k int) error { return cl.SetDiskState(k, p.Disk) })
	each(p.Start, cl.Start)
	each(p.Stop, func(k int) error { return cl.Signal(k, syscall.SIGSTOP) })
	each(p.Go, func(k int) error { return cl.Signal(k, syscall.SIGCONT) })
	for _, name := range p.Drain {
		note(cl.DrainExecutor(executorNumber(name)))
	}
	if p.changesLinks() {
		cl.Relay.SetLinks(p.links())
	}
	return first
}

// links returns the state of all links from a step on. Controllers that are in no partition are in one together.
func (p *Step) links() func(from, to int) Link {
	partition, muted := map[int]int{}, map[int]bool{}
	for n, group := range p.Partitions {
		for _, name := range group {
			partition[controllerNumber(name)] = n + 1
		}
	}
	for _, name := range p.Mute {
		muted[controllerNumber(name)] = true
	}
	link := Link{Loss: p.Loss, Duplication: p.Duplicate, DelayMS: float64(p.delay.Milliseconds())}
	return func(from, to int) Link {
		l := link
		l.Cut = partition[from] != partition[to] || muted[from]
		return l
	}
}

// takeSample asks each controller that answers how many members it sees alive.
func (cl *Cluster) takeSample(at time.Duration) Sample {
	s := Sample{At: at, Present: map[string]int{}, Datagrams: cl.Relay.Datagrams.Load(), Bytes: cl.Relay.DatagramBytes.Load()}
	for k, c := range cl.Controllers {
		if _, err := os.Stat(c.ControlSocket); err != nil {
			continue
		}
		view, err := cl.MembershipView(k)
		if err != nil {
			continue
		}
		for _, state := range view {
			if state == stateAlive {
				s.Present[c.Name]++
			}
		}
	}
	return s
}
