// Package settings maps the platform's settings, as the daemon and the simulator's adapter get them, to the typed settings of the
// other packages. The platform's names for them end here. It decides nothing and holds no value of its own but the defaults of
// what the platform leaves out.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"liftshift/scheduler"
)

// Defaults of what the platform leaves out.
const (
	defaultConnectTimeoutMS = 250
	defaultIdleCloseMS      = 15000
	defaultStreamsPerConn   = 100
)

// defaultAdoptionBudget bounds what a successor runs again where the platform names no budget for retries.
var defaultAdoptionBudget = scheduler.RetryBudget{WindowMS: 10000, Floor: 3, Share: 0.1}

// Settings are the platform's settings in the program's terms.
type Settings struct {
	Scheduler      scheduler.Settings
	MaxRequests    int // requests that the controller may have in hand; 0: any number
	Executors      ExecutorConnections
	AdoptionBudget scheduler.RetryBudget
}

// ExecutorConnections bound the connections to executors.
type ExecutorConnections struct {
	ConnectTimeoutMS float64
	IdleCloseMS      float64 // executors close a connection that has been idle for so long
	StreamsPerConn   int
}

// Error names a setting that can't be read, by its path in the platform's settings.
type Error struct {
	Path string
	Want string // what it has to be
	Got  string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s is not %s", e.Path, e.Got, e.Want) }

// ReportName returns the program's name for a figure of a load report.
func ReportName(platform string) string {
	if name, ok := reportNames[platform]; ok {
		return name
	}
	return platform
}

// Read reads the platform's settings, a JSON object. Names that the program has no use for are ignored; a value that can't be used
// is an *Error with its path.
func Read(text []byte) (*Settings, error) {
	if trimmed := bytes.TrimSpace(text); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, errors.New("not an object")
	}
	p, err := parse(text)
	if err != nil {
		return nil, err
	}
	s := &Settings{Scheduler: scheduler.DefaultSettings(), MaxRequests: int(p.Bounds.MostHeld)}
	if err := p.deployment(&s.Scheduler); err != nil {
		return nil, err
	}
	p.limits(&s.Scheduler)
	if err := s.Scheduler.Validate(); err != nil {
		return nil, err
	}
	s.Executors = ExecutorConnections{
		ConnectTimeoutMS: milliseconds(p.Bounds.ConnectTimeout, defaultConnectTimeoutMS),
		IdleCloseMS:      milliseconds(p.Bounds.IdleClose, defaultIdleCloseMS),
		StreamsPerConn:   int(number(p.Bounds.StreamsPerConn, defaultStreamsPerConn)),
	}
	s.AdoptionBudget = p.retryBudget(defaultAdoptionBudget)
	return s, nil
}

// parse reads the JSON. A value of the wrong type is an *Error.
func parse(text []byte) (*platform, error) {
	p := &platform{}
	err := json.Unmarshal(text, p)
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return nil, &Error{Path: wrong.Field, Want: wrong.Type.String(), Got: wrong.Value}
	}
	if err != nil {
		return nil, err
	}
	return p, nil
}

// deployment sets what there is: classes, kinds and how the endpoint list and load reports come.
func (p *platform) deployment(s *scheduler.Settings) error {
	s.Controllers = int(number(p.Siblings, float64(s.Controllers)))
	s.ControllerIndex = int(number(p.SlotNo, 0))
	for k := range p.Classes {
		c, err := p.class(k)
		if err != nil {
			return err
		}
		s.Classes = append(s.Classes, c)
	}
	for k, name := range p.Kinds {
		kind := scheduler.DefaultKind(name)
		kind.Cores = number(at(p.FamilyInfo.KindCores, k), kind.Cores)
		kind.MemoryMB = number(at(p.FamilyInfo.RAMOfKindMB, k), kind.MemoryMB)
		s.Kinds = append(s.Kinds, kind)
	}
	var err error
	if s.SubscribesToList, err = lookup(subscribes, "Discovery", p.Discovery); err != nil {
		return err
	}
	if s.ReportsByProbe, err = lookup(reportsByProbe, "Report.How", p.Report.How); err != nil {
		return err
	}
	for _, name := range p.Report.Names {
		s.ReportNames = append(s.ReportNames, ReportName(name))
	}
	return nil
}

// class reads the class at k.
func (p *platform) class(k int) (scheduler.RequestClass, error) {
	in := &p.Classes[k]
	path := fmt.Sprintf("Classes.%d.", k)
	if in.Name == "" {
		return scheduler.RequestClass{}, &Error{Path: path + "Name", Want: "a name", Got: `""`}
	}
	effect, err := lookup(effects, path+"Idempotency", in.Idempotency)
	if err != nil {
		return scheduler.RequestClass{}, err
	}
	scope, err := lookup(scopes, path+"DedupScope", in.DedupScope)
	if err != nil {
		return scheduler.RequestClass{}, err
	}
	c := scheduler.DefaultClass(in.Name, effect)
	c.DedupScope = scope
	c.DedupWindowMS = in.DedupWindow / usPerMS
	c.SoftDeadlineMS = in.Aim / usPerMS
	c.SoftDeadlineStretch = in.AimStretch
	c.DeadlineMS = in.HardLimit / usPerMS
	c.Value = number(in.Worth, c.Value)
	c.LateShare = in.LateWorth
	c.InOrder = in.OneAtATime
	c.HoldsTableGroup = at(p.FamilyInfo.ClassLoad, k)
	c.BlockedByHolders = at(p.FamilyInfo.BlockedByLoads, k)
	c.Threads = max(1, int(number(at(p.FamilyInfo.ClassThreads, k), float64(c.Threads))))
	c.Kinds = in.KindsOpen
	c.Zones = in.ZonesOnly
	return c, nil
}

// limits sets what may be done, and what the platform promises in turn.
func (p *platform) limits(s *scheduler.Settings) {
	bounds := &p.Bounds
	s.MayCancel = bounds.Cancelling
	s.MayHealthCheck = bounds.Probing
	s.MayMessagePeers = bounds.Peers
	s.MaxAttempts = int(number(bounds.MaxAttempts, float64(s.MaxAttempts)))
	s.NamesRetryAfter = bounds.RetryAfter
	s.MaxRetryAfterMS = bounds.MaxRetryAfter / usPerMS
	s.ConnectTimeoutMS = milliseconds(bounds.ConnectTimeout, 0)

	family := &p.FamilyInfo
	s.LargestShare = number(family.LargestShare, s.LargestShare)
	s.HonorsGrants = family.Grants
	s.ProgressEveryMS = family.TellsEvery / usPerMS

	invariants := &p.Invariants
	s.DrainGraceMS = invariants.DrainGrace / usPerMS
	s.OrderKeyRestMS = invariants.KeyQuiet / usPerMS
	s.RetryBudget = p.retryBudget(scheduler.RetryBudget{})
	s.WarmupMS = invariants.WarmUp / usPerMS
	s.ColdCapacity = number(invariants.ColdFrom, s.ColdCapacity)
	s.CollapseMultiple = number(invariants.FallMultiple, s.CollapseMultiple)
	s.CollapseWindowMS = milliseconds(invariants.Fall, s.CollapseWindowMS)
}

// retryBudget returns the budget for retries, with the fallback's value for what is missing.
func (p *platform) retryBudget(fallback scheduler.RetryBudget) scheduler.RetryBudget {
	invariants := &p.Invariants
	return scheduler.RetryBudget{
		WindowMS: milliseconds(invariants.RatioSpan, fallback.WindowMS),
		Floor:    number(invariants.ExtraFloor, fallback.Floor),
		Share:    number(invariants.ExtraPerRequest, fallback.Share),
	}
}
