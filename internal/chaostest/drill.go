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
	// drillJoinTimeout is how long the controllers may take to join the cluster before the first step.
	drillJoinTimeout = 30 * time.Second
	// drillClientPause is how long a client waits before each request.
	drillClientPause = 5 * time.Millisecond
	sampleInterval   = 250 * time.Millisecond

	// logExcerptLead is how many bytes of a log precede the text that is reported as a violation.
	logExcerptLead = 100
)

// violationTexts lists the texts that are violations when they appear in the log of a controller: a broken invariant, a
// panic or a data race.
var violationTexts = []string{"does not hold", "panic:", "DATA RACE"}

// Sample is the state of a cluster at one moment of a drill.
type Sample struct {
	// At is the time since the start of the drill.
	At time.Duration
	// AliveMembers maps the name of a controller to the number of members that it sees as alive.
	AliveMembers map[string]int
	// Datagrams and Bytes count what the relay has received since it was started.
	Datagrams uint64
	Bytes     uint64
}

// DrillResult holds what was observed in a drill and the violations that were found.
type DrillResult struct {
	Seed uint64
	// Timeline holds the lines that the drill has printed.
	Timeline   []string
	Samples    []Sample
	Requests   []SentRequest
	Start      time.Time
	Violations []string
}

// drill is the state of a drill in progress.
type drill struct {
	script  *Script
	cluster *Cluster
	result  *DrillResult
	out     io.Writer
}

// Play plays a script with controllers of the given program, keeps their files in the given directory, and writes the
// timeline to out as the drill goes on.
func Play(script *Script, program, directory string, out io.Writer) (*DrillResult, error) {
	result := &DrillResult{Seed: uint64(script.Seed), Start: time.Now()}
	if result.Seed == 0 {
		result.Seed = uint64(time.Now().UnixNano() % 1e9)
	}
	if len(script.Deprecated) > 0 {
		fmt.Fprintf(out, "warning: the drill uses deprecated names: %s\n", strings.Join(script.Deprecated, ", "))
	}
	setsDisks := slices.ContainsFunc(script.Steps, func(step Step) bool { return len(step.Disks) > 0 })
	if setsDisks && !hasDiskFaults(program+"-full") {
		return nil, fmt.Errorf("%s can't make its disk fail: build it with -tags faults", program)
	}
	cluster, err := New(Config{
		Program:         program,
		Directory:       directory,
		Controllers:     script.Controllers,
		Executors:       max(1, script.Executors),
		Zones:           max(1, script.Zones),
		Founders:        script.Founders,
		Store:           script.Store,
		Seed:            result.Seed,
		ClusterSettings: script.Cluster,
		WorkMS:          script.WorkMS,
	})
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	d := &drill{script: script, cluster: cluster, result: result, out: out}
	d.logf("seed %d: %d controllers start", result.Seed, script.Controllers)
	if err := cluster.StartAll(); err != nil {
		return nil, err
	}
	elapsed, err := cluster.WaitUntilConverged(drillJoinTimeout)
	if err != nil {
		return result, fmt.Errorf("before any fault: %w", err)
	}
	d.logf("all views have converged after %.2fs", elapsed.Seconds())
	history, endLoad := cluster.StartLoad(script.Clients, drillClientPause)
	defer endLoad()
	d.playSteps()
	d.heal()
	endLoad()
	result.Requests = history.List()
	d.check()
	return result, nil
}

// logf adds a line with the elapsed time to the timeline and prints it.
func (d *drill) logf(format string, args ...any) {
	line := fmt.Sprintf("%7.2fs  ", time.Since(d.result.Start).Seconds()) + fmt.Sprintf(format, args...)
	d.result.Timeline = append(d.result.Timeline, line)
	fmt.Fprintln(d.out, line)
}

// playSteps applies each step at its time, waits until the length of the script has passed, and takes samples
// meanwhile.
func (d *drill) playSteps() {
	start := time.Now()
	stopSampling := d.startSampling()
	defer stopSampling()
	for k := range d.script.Steps {
		step := &d.script.Steps[k]
		time.Sleep(time.Until(start.Add(step.at)))
		d.logf("%s", step)
		if err := d.cluster.apply(step); err != nil {
			d.result.Violations = append(d.result.Violations, err.Error())
		}
	}
	time.Sleep(time.Until(start.Add(d.script.length)))
}

// startSampling takes samples until the returned function is called, which waits for the last sample.
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

// heal removes the link faults, resumes suspended controllers and waits until all views have converged. It doesn't
// start controllers that are not running.
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
	d.logf("healed: all views have converged after %.2fs", elapsed.Seconds())
}

// check looks for violations in the results of the clients, the runs of the executors and the logs of the controllers,
// and adds them to the timeline.
func (d *drill) check() {
	result, runs := d.result, d.cluster.RunLog.Runs()
	result.Violations = append(result.Violations, Check(result.Requests, runs, d.script.Controllers)...)
	result.Violations = append(result.Violations, RunsAfterDrain(runs, d.cluster.drained)...)
	for _, c := range d.cluster.Controllers {
		log := c.Log()
		for _, text := range violationTexts {
			if at := strings.Index(log, text); at >= 0 {
				excerpt := log[max(0, at-logExcerptLead):]
				result.Violations = append(result.Violations, fmt.Sprintf("%s logged: %.600s", c.Name, excerpt))
			}
		}
	}
	counts := map[Result]int{}
	for _, r := range result.Requests {
		counts[r.Result]++
	}
	d.logf("%d requests: %d handled, %d rejected, %d failed, %d disconnected", len(result.Requests),
		counts[ResultHandled], counts[ResultRejected], counts[ResultFailed], counts[ResultDisconnected])
	for _, violation := range result.Violations {
		d.logf("WRONG: %s", violation)
	}
}

// hasDiskFaults reports whether a program is built with the tag faults, so that it can simulate disk faults.
func hasDiskFaults(program string) bool {
	info, err := buildinfo.ReadFile(program)
	return err == nil && slices.ContainsFunc(info.Settings, func(s debug.BuildSetting) bool {
		return s.Key == "-tags" && slices.Contains(strings.Split(s.Value, ","), "faults")
	})
}

// apply performs all actions of a step, even if some of them fail, and returns the first error.
func (cl *Cluster) apply(step *Step) (firstErr error) {
	recordError := func(err error) {
		if firstErr == nil {
			firstErr = err
		}
	}
	each := func(names []string, action func(index int) error) {
		for _, name := range names {
			recordError(action(controllerIndex(name)))
		}
	}
	each(step.Kill, func(index int) error { cl.Kill(index); return nil })
	each(step.Terminate, func(index int) error {
		if code := cl.Terminate(index); code != 0 {
			return fmt.Errorf("c%d ended with %d at a planned stop", index, code)
		}
		return nil
	})
	each(step.Wipe, cl.wipeStore)
	each(step.Disks, func(index int) error { return cl.SetDiskState(index, step.Disk) })
	each(step.Start, cl.Start)
	each(step.Suspend, func(index int) error { return cl.Signal(index, syscall.SIGSTOP) })
	each(step.Resume, func(index int) error { return cl.Signal(index, syscall.SIGCONT) })
	for _, name := range step.Drain {
		recordError(cl.DrainExecutor(executorIndex(name)))
	}
	if step.changesLinks() {
		cl.Relay.SetLinks(step.links())
	}
	return firstErr
}

// links returns the state of each link after the step. Controllers that are in none of the step's partitions form a
// partition of their own.
func (p *Step) links() func(from, to int) Link {
	partitions, muted := map[int]int{}, map[int]bool{}
	for n, group := range p.Partitions {
		for _, name := range group {
			partitions[controllerIndex(name)] = n + 1
		}
	}
	for _, name := range p.Mute {
		muted[controllerIndex(name)] = true
	}
	link := Link{Loss: p.Loss, Duplication: p.Duplicate, DelayMS: float64(p.delay.Milliseconds())}
	return func(from, to int) Link {
		state := link
		state.Cut = partitions[from] != partitions[to] || muted[from]
		return state
	}
}

// takeSample asks each controller how many members it sees as alive and leaves out those that don't answer.
func (cl *Cluster) takeSample(at time.Duration) Sample {
	sample := Sample{
		At:           at,
		AliveMembers: map[string]int{},
		Datagrams:    cl.Relay.Datagrams.Load(),
		Bytes:        cl.Relay.DatagramBytes.Load(),
	}
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
				sample.AliveMembers[c.Name]++
			}
		}
	}
	return sample
}
