// Package settings translates the platform's settings to the typed settings of the other packages. The controllers and
// the adapter of the simulator both read them here. No other package knows the platform's names of settings.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"liftshift/scheduler"
)

// Defaults for settings that the platform leaves out.
const (
	defaultConnectTimeoutMS = 250
	defaultIdleCloseMS      = 15000
	defaultStreamsPerConn   = 100
)

// defaultAdoptionBudget applies if the platform sets no retry budget.
var defaultAdoptionBudget = scheduler.RetryBudget{WindowMS: 10000, Floor: 3, Share: 0.1}

// Settings are the translated settings of the platform.
type Settings struct {
	Scheduler      scheduler.Settings
	MaxRequests    int // open requests that the controller may have at a time; 0: no limit
	Executors      ExecutorConnections
	AdoptionBudget scheduler.RetryBudget // bounds the requests of a failed controller that its successor runs again
}

// ExecutorConnections limits the connections to executors.
type ExecutorConnections struct {
	ConnectTimeoutMS float64
	IdleCloseMS      float64 // idle time after which executors close a connection
	StreamsPerConn   int     // attempts that may run on one connection at a time
}

// Error reports a setting with an invalid value.
type Error struct {
	Path string // of the setting in the platform's JSON object, such as Classes.0.Idempotency
	Want string // description of the valid values
	Got  string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s is %s, want %s", e.Path, e.Got, e.Want) }

// ReportName returns the scheduler's name for a value of a load report, given the platform's name.
func ReportName(platformName string) string {
	if name, ok := reportNamesByWord[platformName]; ok {
		return name
	}
	return platformName
}

// Read reads the platform's settings, a JSON object. It ignores unknown names. An invalid value is reported as an
// *Error.
func Read(text []byte) (*Settings, error) {
	if trimmed := bytes.TrimSpace(text); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, errors.New("not an object")
	}
	platform, err := parse(text)
	if err != nil {
		return nil, err
	}
	s := &Settings{Scheduler: scheduler.DefaultSettings(), MaxRequests: int(platform.Bounds.MaxRequests)}
	if err := platform.applyDeployment(&s.Scheduler); err != nil {
		return nil, err
	}
	platform.applyLimits(&s.Scheduler)
	if err := s.Scheduler.Validate(); err != nil {
		return nil, err
	}
	s.Executors = ExecutorConnections{
		ConnectTimeoutMS: millisecondsOr(platform.Bounds.ConnectTimeout, defaultConnectTimeoutMS),
		IdleCloseMS:      millisecondsOr(platform.Bounds.IdleClose, defaultIdleCloseMS),
		StreamsPerConn:   int(valueOr(platform.Bounds.StreamsPerConn, defaultStreamsPerConn)),
	}
	s.AdoptionBudget = platform.retryBudget(defaultAdoptionBudget)
	return s, nil
}

// parse decodes the JSON object. A value of the wrong type is reported as an *Error.
func parse(text []byte) (*platformSettings, error) {
	platform := &platformSettings{}
	err := json.Unmarshal(text, platform)
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return nil, &Error{Path: typeError.Field, Want: typeError.Type.String(), Got: typeError.Value}
	}
	if err != nil {
		return nil, err
	}
	return platform, nil
}

// applyDeployment sets the controllers, the request classes, the executor kinds, and how the endpoint list and load
// reports reach a controller.
func (p *platformSettings) applyDeployment(s *scheduler.Settings) error {
	s.Controllers = int(valueOr(p.Controllers, float64(s.Controllers)))
	s.ControllerIndex = int(valueOr(p.ControllerIndex, 0))
	for k := range p.Classes {
		class, err := p.requestClass(k)
		if err != nil {
			return err
		}
		s.Classes = append(s.Classes, class)
	}
	for k, name := range p.Kinds {
		kind := scheduler.DefaultKind(name)
		kind.Cores = valueOr(elementOrZero(p.Deployment.KindCores, k), kind.Cores)
		kind.MemoryMB = valueOr(elementOrZero(p.Deployment.KindMemoryMB, k), kind.MemoryMB)
		s.Kinds = append(s.Kinds, kind)
	}
	var err error
	if s.SubscribesToEndpoints, err = lookup(subscribesByWord, "Discovery", p.Discovery); err != nil {
		return err
	}
	if s.ReportsByProbe, err = lookup(reportsByProbeByWord, "Report.How", p.Report.Delivery); err != nil {
		return err
	}
	for _, name := range p.Report.Names {
		s.ReportNames = append(s.ReportNames, ReportName(name))
	}
	return nil
}

// requestClass translates the class at an index.
func (p *platformSettings) requestClass(index int) (scheduler.RequestClass, error) {
	in := &p.Classes[index]
	path := fmt.Sprintf("Classes.%d.", index)
	if in.Name == "" {
		return scheduler.RequestClass{}, &Error{Path: path + "Name", Want: "a name", Got: `""`}
	}
	idempotency, err := lookup(idempotencyByWord, path+"Idempotency", in.Idempotency)
	if err != nil {
		return scheduler.RequestClass{}, err
	}
	scope, err := lookup(dedupScopesByWord, path+"DedupScope", in.DedupScope)
	if err != nil {
		return scheduler.RequestClass{}, err
	}
	class := scheduler.DefaultClass(in.Name, idempotency)
	class.DedupScope = scope
	class.DedupWindowMS = in.DedupWindow / usPerMS
	class.SoftDeadlineMS = in.SoftDeadline / usPerMS
	class.SoftDeadlineWorkFactor = in.SoftDeadlineWorkFactor
	class.DeadlineMS = in.Deadline / usPerMS
	class.Value = valueOr(in.Value, class.Value)
	class.LateValueShare = in.LateValueShare
	class.InOrder = in.InOrder
	class.HoldsTableGroup = elementOrZero(p.Deployment.ClassHoldsTableGroup, index)
	class.BlockedByHolders = elementOrZero(p.Deployment.ClassBlockedByHolders, index)
	class.Threads = max(1, int(valueOr(elementOrZero(p.Deployment.ClassThreads, index), float64(class.Threads))))
	class.Kinds = in.Kinds
	class.Zones = in.Zones
	return class, nil
}

// applyLimits sets what the controller may do, and how executors behave.
func (p *platformSettings) applyLimits(s *scheduler.Settings) {
	bounds := &p.Bounds
	s.MayCancel = bounds.MayCancel
	s.MayHealthCheck = bounds.MayHealthCheck
	s.MayMessagePeers = bounds.MayMessagePeers
	s.MaxAttempts = int(valueOr(bounds.MaxAttempts, float64(s.MaxAttempts)))
	s.SendsRetryAfter = bounds.SendsRetryAfter
	s.MaxRetryAfterMS = bounds.MaxRetryAfter / usPerMS
	s.ConnectTimeoutMS = millisecondsOr(bounds.ConnectTimeout, 0)

	deployment := &p.Deployment
	s.MaxGrantShare = valueOr(deployment.MaxGrantShare, s.MaxGrantShare)
	s.HonorsGrants = deployment.HonorsGrants
	s.ProgressEveryMS = deployment.ProgressInterval / usPerMS

	invariants := &p.Invariants
	s.DrainGraceMS = invariants.DrainGrace / usPerMS
	s.OrderKeyHoldoffMS = invariants.OrderKeyHoldoff / usPerMS
	s.RetryBudget = p.retryBudget(scheduler.RetryBudget{})
	s.WarmupMS = invariants.Warmup / usPerMS
	s.ColdCapacity = valueOr(invariants.ColdCapacity, s.ColdCapacity)
	s.CollapseMultiple = valueOr(invariants.CollapseMultiple, s.CollapseMultiple)
	s.CollapseWindowMS = millisecondsOr(invariants.CollapseWindow, s.CollapseWindowMS)
}

// retryBudget returns the budget for retries. The fallback supplies each field that is missing.
func (p *platformSettings) retryBudget(fallback scheduler.RetryBudget) scheduler.RetryBudget {
	invariants := &p.Invariants
	return scheduler.RetryBudget{
		WindowMS: millisecondsOr(invariants.RetryWindow, fallback.WindowMS),
		Floor:    valueOr(invariants.RetryFloor, fallback.Floor),
		Share:    valueOr(invariants.RetryShare, fallback.Share),
	}
}
