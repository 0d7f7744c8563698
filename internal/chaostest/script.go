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

// Script is a drill as an operator writes it, in HCL.
type Script struct {
	Controllers int     `hcl:"controllers"`
	Executors   int     `hcl:"executors,optional"`
	Zones       int     `hcl:"zones,optional"`
	Founders    int     `hcl:"founders,optional"`
	Store       bool    `hcl:"store,optional"`
	Seed        int     `hcl:"seed,optional"`
	Clients     int     `hcl:"clients,optional"`
	WorkMS      float64 `hcl:"work_ms,optional"`
	Cluster     string  `hcl:"cluster,optional"` // lines of the cluster block of the operators' file
	Length      string  `hcl:"length"`
	Settled     string  `hcl:"settled,optional"` // after the last step, until all views agree
	Steps       []Step  `hcl:"step,block"`

	// Deprecated lists the names of before that the script uses, each with its new name.
	Deprecated []string

	// The names of before.
	OldEngines *int    `hcl:"engines,optional"`
	OldFleet   *string `hcl:"fleet,optional"`

	length, convergeTimeout time.Duration
}

// Step is what is done at a time.
type Step struct {
	At         string     `hcl:"at,label"`
	Kill       []string   `hcl:"kill,optional"`
	Start      []string   `hcl:"start,optional"`
	Term       []string   `hcl:"term,optional"`
	Stop       []string   `hcl:"stop,optional"` // SIGSTOP
	Go         []string   `hcl:"go,optional"`   // SIGCONT
	Wipe       []string   `hcl:"wipe,optional"` // the store of controllers that do not run
	Partitions [][]string `hcl:"partitions,optional"`
	Mute       []string   `hcl:"mute,optional"` // nobody receives from these; they receive from others
	Loss       float64    `hcl:"loss,optional"`
	Duplicate  float64    `hcl:"duplicate,optional"`
	Delay      string     `hcl:"delay,optional"`
	Heal       bool       `hcl:"heal,optional"`
	Drain      []string   `hcl:"drain,optional"` // executors: s0, s1, ...
	Disks      []string   `hcl:"disks,optional"` // controllers whose disks become as Disk says, with a program that is built with the tag faults
	Disk       string     `hcl:"disk,optional"`

	// The names of before.
	OldParts [][]string `hcl:"parts,optional"`
	OldTwice *float64   `hcl:"twice,optional"`

	at, delay time.Duration
}

// ReadScript reads a script and checks it. It refuses names that do not exist and times that are out of order.
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

// check resolves deprecated names and times, and checks all values.
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

// resolveDeprecated takes over values that stand under the names of before, and lists those names.
func (s *Script) resolveDeprecated() error {
	engines := renamed(s, "engines", "executors", s.OldEngines != nil, s.Executors != 0, func() { s.Executors = *s.OldEngines })
	fleet := renamed(s, "fleet", "cluster", s.OldFleet != nil, s.Cluster != "", func() { s.Cluster = *s.OldFleet })
	for _, err := range []error{engines, fleet} {
		if err != nil {
			return err
		}
	}
	for k := range s.Steps {
		p := &s.Steps[k]
		parts := renamed(s, "parts", "partitions", p.OldParts != nil, p.Partitions != nil, func() { p.Partitions = p.OldParts })
		twice := renamed(s, "twice", "duplicate", p.OldTwice != nil, p.Duplicate != 0, func() { p.Duplicate = *p.OldTwice })
		for _, err := range []error{parts, twice} {
			if err != nil {
				return fmt.Errorf("step %q: %w", p.At, err)
			}
		}
	}
	slices.Sort(s.Deprecated)
	s.Deprecated = slices.Compact(s.Deprecated)
	return nil
}

// renamed takes over a value that stands under a deprecated name; standing under both names is an error.
func renamed(s *Script, before, now string, underOld, underNew bool, takeOver func()) error {
	if !underOld {
		return nil
	}
	if underNew {
		return fmt.Errorf("%s is the deprecated name of %s: give one of them", before, now)
	}
	takeOver()
	s.Deprecated = append(s.Deprecated, fmt.Sprintf("%s (now %s)", before, now))
	return nil
}

// parseTimes parses all times; steps must be in order and within the length.
func (s *Script) parseTimes() (err error) {
	if s.length, err = parseTime(s.Length, 0); err != nil {
		return err
	}
	if s.convergeTimeout, err = parseTime(s.Settled, defaultConvergeTimeout); err != nil {
		return err
	}
	last := time.Duration(0)
	for k := range s.Steps {
		p := &s.Steps[k]
		if p.at, err = parseTime(p.At, 0); err != nil {
			return err
		}
		if p.delay, err = parseTime(p.Delay, 0); err != nil {
			return err
		}
		if p.at < last || p.at > s.length {
			return fmt.Errorf("step %q is out of order, or past the length", p.At)
		}
		last = p.at
	}
	return nil
}

func parseTime(text string, otherwise time.Duration) (time.Duration, error) {
	if text == "" {
		return otherwise, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%q is no time such as \"2s\"", text)
	}
	return d, nil
}

// checkNames checks that the controllers and executors of a step exist.
func (s *Script) checkNames(p *Step) error {
	for _, name := range slices.Concat(p.Kill, p.Start, p.Term, p.Stop, p.Go, p.Wipe, p.Mute, p.Disks, slices.Concat(p.Partitions...)) {
		if n := controllerNumber(name); n < 0 || n >= s.Controllers {
			return fmt.Errorf("step %q: there is no controller %q; they are c0 to c%d", p.At, name, s.Controllers-1)
		}
	}
	for _, name := range p.Drain {
		if n := executorNumber(name); n < 0 || n >= max(1, s.Executors) {
			return fmt.Errorf("step %q: there is no executor %q", p.At, name)
		}
	}
	return nil
}

// controllerNumber returns the number in a name such as c0; -1: it is none.
func controllerNumber(name string) int { return numberAfter("c", name) }

// executorNumber returns the number in a name such as s0; -1: it is none.
func executorNumber(name string) int { return numberAfter("s", name) }

func numberAfter(prefix, name string) int {
	n := -1
	if _, err := fmt.Sscanf(name, prefix+"%d", &n); err != nil || fmt.Sprint(prefix, n) != name {
		return -1
	}
	return n
}

// String returns what a step does.
func (p *Step) String() string {
	var actions []string
	for _, action := range []struct {
		name    string
		targets []string
	}{{"kill", p.Kill}, {"start", p.Start}, {"stop gracefully", p.Term}, {"suspend", p.Stop}, {"resume", p.Go}, {"wipe", p.Wipe}, {"mute", p.Mute},
		{"drain", p.Drain}, {"disk " + p.Disk + ":", p.Disks}} {
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
