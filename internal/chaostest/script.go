package chaostest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2/hclsimple"
)

const (
	maxControllers         = 60
	defaultConvergeTimeout = 15 * time.Second
)

// Script is a drill that an operator has written in HCL.
type Script struct {
	Controllers int     `hcl:"controllers"`
	Executors   int     `hcl:"executors,optional"`
	Zones       int     `hcl:"zones,optional"`
	Founders    int     `hcl:"founders,optional"`
	Store       bool    `hcl:"store,optional"`
	Seed        int     `hcl:"seed,optional"`
	Clients     int     `hcl:"clients,optional"`
	WorkMS      float64 `hcl:"work_ms,optional"`
	// Cluster holds additional lines of the cluster block of the operator files.
	Cluster string `hcl:"cluster,optional"`
	// Length is how long the drill lasts before all faults are healed.
	Length string `hcl:"length"`
	// ConvergeTimeout is how long the views of all controllers may then take to converge.
	ConvergeTimeout string `hcl:"settled,optional"`
	Steps           []Step `hcl:"step,block"`

	// Deprecated lists the deprecated names that the script uses, each with its present name.
	Deprecated []string

	// DeprecatedEngines and DeprecatedFleet hold the values that are given under deprecated names.
	DeprecatedEngines *int    `hcl:"engines,optional"`
	DeprecatedFleet   *string `hcl:"fleet,optional"`

	length, convergeTimeout time.Duration
}

// Step lists the actions of a drill at one time. Lists of strings name controllers (c0, c1, ...), except where noted.
type Step struct {
	// At is the time since the start of the steps.
	At    string   `hcl:"at,label"`
	Kill  []string `hcl:"kill,optional"`
	Start []string `hcl:"start,optional"`
	// Terminate sends SIGTERM.
	Terminate []string `hcl:"term,optional"`
	// Suspend sends SIGSTOP.
	Suspend []string `hcl:"stop,optional"`
	// Resume sends SIGCONT.
	Resume []string `hcl:"go,optional"`
	// Wipe removes the stores of controllers, which must not be running.
	Wipe []string `hcl:"wipe,optional"`
	// Partitions cuts the links between its groups of controllers.
	Partitions [][]string `hcl:"partitions,optional"`
	// Mute cuts the links from these controllers. Datagrams from others still reach them.
	Mute      []string `hcl:"mute,optional"`
	Loss      float64  `hcl:"loss,optional"`
	Duplicate float64  `hcl:"duplicate,optional"`
	// Delay is the maximum delay of a datagram.
	Delay string `hcl:"delay,optional"`
	// Heal removes all link faults.
	Heal bool `hcl:"heal,optional"`
	// Drain names executors (s0, s1, ...).
	Drain []string `hcl:"drain,optional"`
	// Disks names the controllers whose disks are set to the state Disk. The programs must be built with the tag
	// faults.
	Disks []string `hcl:"disks,optional"`
	Disk  string   `hcl:"disk,optional"`

	// DeprecatedParts and DeprecatedTwice hold the values that are given under deprecated names.
	DeprecatedParts [][]string `hcl:"parts,optional"`
	DeprecatedTwice *float64   `hcl:"twice,optional"`

	at, delay time.Duration
}

// ReadScript reads and checks a script. It rejects unknown controllers and executors, and steps that are out of order.
func ReadScript(path string) (*Script, error) {
	s := &Script{}
	if err := hclsimple.DecodeFile(path, nil, s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// check resolves deprecated names, parses the times and checks all values.
func (s *Script) check() error {
	if err := s.resolveDeprecated(); err != nil {
		return err
	}
	if err := s.parseTimes(); err != nil {
		return err
	}
	for k := range s.Steps {
		if err := s.checkNames(&s.Steps[k]); err != nil {
			return err
		}
	}
	switch {
	case s.Controllers < 1 || s.Controllers > maxControllers:
		return fmt.Errorf("controllers must be from 1 to %d", maxControllers)
	case !slices.Contains([]int{0, 3, 5, 7}, s.Founders) || s.Founders > s.Controllers:
		return fmt.Errorf("founders must be 0, 3, 5 or 7, and no more than there are controllers")
	case s.Founders > 0 && !s.Store:
		return fmt.Errorf("a consensus group needs store = true")
	case s.length <= 0:
		return fmt.Errorf("length must be above 0")
	}
	return nil
}

// resolveDeprecated copies the values that are given under deprecated names to the present fields and lists those
// names.
func (s *Script) resolveDeprecated() error {
	engines := s.resolveRename("engines", "executors", s.DeprecatedEngines != nil, s.Executors != 0,
		func() { s.Executors = *s.DeprecatedEngines })
	fleet := s.resolveRename("fleet", "cluster", s.DeprecatedFleet != nil, s.Cluster != "",
		func() { s.Cluster = *s.DeprecatedFleet })
	for _, err := range []error{engines, fleet} {
		if err != nil {
			return err
		}
	}
	for k := range s.Steps {
		step := &s.Steps[k]
		parts := s.resolveRename("parts", "partitions", step.DeprecatedParts != nil, step.Partitions != nil,
			func() { step.Partitions = step.DeprecatedParts })
		twice := s.resolveRename("twice", "duplicate", step.DeprecatedTwice != nil, step.Duplicate != 0,
			func() { step.Duplicate = *step.DeprecatedTwice })
		for _, err := range []error{parts, twice} {
			if err != nil {
				return fmt.Errorf("step %q: %w", step.At, err)
			}
		}
	}
	slices.Sort(s.Deprecated)
	s.Deprecated = slices.Compact(s.Deprecated)
	return nil
}

// resolveRename calls copyValue if a value is given under its deprecated name. It is an error if a value is given under
// both names.
func (s *Script) resolveRename(deprecated, present string, hasDeprecated, hasPresent bool, copyValue func()) error {
	if !hasDeprecated {
		return nil
	}
	if hasPresent {
		return fmt.Errorf("%s is the deprecated name of %s: give one of them", deprecated, present)
	}
	copyValue()
	s.Deprecated = append(s.Deprecated, fmt.Sprintf("%s (now %s)", deprecated, present))
	return nil
}

// parseTimes parses all times and checks that the steps are in order and within the length of the drill.
func (s *Script) parseTimes() (err error) {
	if s.length, err = parseDuration("length", s.Length, 0); err != nil {
		return err
	}
	if s.convergeTimeout, err = parseDuration("settled", s.ConvergeTimeout, defaultConvergeTimeout); err != nil {
		return err
	}
	last := time.Duration(0)
	for k := range s.Steps {
		step := &s.Steps[k]
		if step.at, err = parseDuration("step", step.At, 0); err != nil {
			return err
		}
		if step.delay, err = parseDuration(fmt.Sprintf("step %q: delay", step.At), step.Delay, 0); err != nil {
			return err
		}
		if step.at < last || step.at > s.length {
			return fmt.Errorf("step %q is out of order, or past the length", step.At)
		}
		last = step.at
	}
	return nil
}

// parseDuration parses the duration of a field, which must not be negative. An empty text stands for the default.
func parseDuration(field, text string, defaultValue time.Duration) (time.Duration, error) {
	if text == "" {
		return defaultValue, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%s: %q is not a duration such as \"2s\"", field, text)
	}
	return d, nil
}

// checkNames checks that the controllers and executors of a step exist.
func (s *Script) checkNames(step *Step) error {
	partitioned := slices.Concat(step.Partitions...)
	for _, name := range slices.Concat(step.Kill, step.Start, step.Terminate, step.Suspend, step.Resume, step.Wipe,
		step.Mute, step.Disks, partitioned) {
		if index := controllerIndex(name); index < 0 || index >= s.Controllers {
			return fmt.Errorf("step %q: there is no controller %q; they are c0 to c%d", step.At, name, s.Controllers-1)
		}
	}
	for _, name := range step.Drain {
		if index := executorIndex(name); index < 0 || index >= max(1, s.Executors) {
			return fmt.Errorf("step %q: there is no executor %q", step.At, name)
		}
	}
	return nil
}

// controllerIndex returns the index in the name of a controller such as c0, or -1 if the name has another form.
func controllerIndex(name string) int { return indexAfter("c", name) }

// executorIndex returns the index in the name of an executor such as s0, or -1 if the name has another form.
func executorIndex(name string) int { return indexAfter("s", name) }

// indexAfter returns the number that follows the prefix in a name, or -1 if the name has another form.
func indexAfter(prefix, name string) int {
	index := -1
	if _, err := fmt.Sscanf(name, prefix+"%d", &index); err != nil || fmt.Sprint(prefix, index) != name {
		return -1
	}
	return index
}

// String describes the actions of the step for the timeline.
func (p *Step) String() string {
	var actions []string
	for _, action := range []struct {
		name    string
		targets []string
	}{
		{"kill", p.Kill},
		{"start", p.Start},
		{"stop gracefully", p.Terminate},
		{"suspend", p.Suspend},
		{"resume", p.Resume},
		{"wipe", p.Wipe},
		{"mute", p.Mute},
		{"drain", p.Drain},
		{"disk " + p.Disk + ":", p.Disks},
	} {
		if len(action.targets) > 0 {
			actions = append(actions, action.name+" "+strings.Join(action.targets, " "))
		}
	}
	if len(p.Partitions) > 0 {
		actions = append(actions, fmt.Sprint("partition ", p.Partitions))
	}
	if p.degradesLinks() {
		actions = append(actions, fmt.Sprintf("loss %g, duplicate %g, delay up to %v", p.Loss, p.Duplicate, p.delay))
	}
	if p.Heal {
		actions = append(actions, "heal")
	}
	return strings.Join(actions, "; ")
}

// degradesLinks reports whether the step loses, duplicates or delays datagrams.
func (p *Step) degradesLinks() bool { return p.Loss > 0 || p.Duplicate > 0 || p.delay > 0 }

// changesLinks reports whether the step sets the state of all links.
func (p *Step) changesLinks() bool {
	return p.Heal || len(p.Partitions) > 0 || len(p.Mute) > 0 || p.degradesLinks()
}
