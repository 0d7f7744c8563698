// Package settings maps the platform's settings, as both adapters get them, to the typed settings of the other packages. The
// platform's names for them end here. It holds no value of its own but the defaults of what the platform leaves out.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"liftshift/scheduler"
)

// usPerMS is the unit of time of the platform's settings: microseconds.
const usPerMS = 1000

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
	MaxHeld        int // requests that the controller may hold; 0: any number
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

// platform is the JSON of the platform. Pointers tell what is missing from what is zero.
type platform struct {
	Siblings *float64 `json:"Siblings"`
	SlotNo   *float64 `json:"SlotNo"`
	Kinds    []string `json:"Kinds"`
	Classes  []class  `json:"Classes"`

	Discovery string `json:"Discovery"`
	Report    struct {
		How   string   `json:"How"`
		Names []string `json:"Names"`
	} `json:"Report"`

	Bounds struct {
		Cancelling     bool     `json:"Cancelling"`
		Probing        bool     `json:"Probing"`
		Peers          bool     `json:"Peers"`
		RetryAfter     bool     `json:"RetryAfter"`
		MaxRetryAfter  float64  `json:"MaxRetryAfter"`
		ConnectTimeout *float64 `json:"ConnectTimeout"`
		IdleClose      *float64 `json:"IdleClose"`
		StreamsPerConn *float64 `json:"StreamsPerConn"`
		MaxAttempts    *float64 `json:"MaxAttempts"`
		MostHeld       float64  `json:"MostHeld"`
	} `json:"Bounds"`

	FamilyInfo struct {
		ClassThreads   []*float64 `json:"ClassThreads"`
		ClassLoad      []bool     `json:"ClassLoad"`
		BlockedByLoads []bool     `json:"BlockedByLoads"`
		KindCores      []*float64 `json:"KindCores"`
		RAMOfKindMB    []*float64 `json:"RamOfKindMb"`
		LargestShare   *float64   `json:"LargestShare"`
		Grants         bool       `json:"Grants"`
		TellsEvery     float64    `json:"TellsEvery"`
	} `json:"FamilyInfo"`

	Invariants struct {
		DrainGrace      float64  `json:"DrainGrace"`
		FallMultiple    *float64 `json:"FallMultiple"`
		Fall            *float64 `json:"Fall"`
		ColdFrom        *float64 `json:"ColdFrom"`
		WarmUp          float64  `json:"WarmUp"`
		ExtraFloor      *float64 `json:"ExtraFloor"`
		ExtraPerRequest *float64 `json:"ExtraPerRequest"`
		RatioSpan       *float64 `json:"RatioSpan"`
		KeyQuiet        float64  `json:"KeyQuiet"`
	} `json:"Invariants"`
}

// class is one request class as the platform names it.
type class struct {
	Name        string   `json:"Name"`
	Idempotency string   `json:"Idempotency"`
	DedupScope  string   `json:"DedupScope"`
	DedupWindow float64  `json:"DedupWindow"`
	Aim         float64  `json:"Aim"`
	AimStretch  float64  `json:"AimStretch"`
	HardLimit   float64  `json:"HardLimit"`
	Worth       *float64 `json:"Worth"`
	LateWorth   float64  `json:"LateWorth"`
	OneAtATime  bool     `json:"OneAtATime"`
	KindsOpen   []string `json:"KindsOpen"`
	ZonesOnly   []string `json:"ZonesOnly"`
}

// The platform's words for what the program has typed values for.
var (
	effects = map[string]scheduler.Effect{
		"safe": scheduler.Idempotent, "keyed": scheduler.Keyed, "unsafe": scheduler.NonIdempotent}
	scopes = map[string]scheduler.DedupScope{
		"": scheduler.DedupNone, "all": scheduler.DedupAll, "zone": scheduler.DedupZone, "cell": scheduler.DedupCell}
	subscribes     = map[string]bool{"": false, "automatic": false, "subscribe": true}
	reportsByProbe = map[string]bool{"": false, "silent": false, "piggyback": false, "pull": true}
	reportNames    = map[string]string{"outstanding": scheduler.ReportInFlight, "backlog": scheduler.ReportQueued}
)

// ReportName returns the program's name for a figure of a load report.
func ReportName(platform string) string {
	if name, ok := reportNames[platform]; ok {
		return name
	}
	return platform
}

// Read reads the platform's settings, a JSON object. Names that the program has no use for are passed over; a value that can't be
// used is an *Error with its path.
func Read(text []byte) (*Settings, error) {
	if trimmed := bytes.TrimSpace(text); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, errors.New("not an object")
	}
	var p platform
	if err := json.Unmarshal(text, &p); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, &Error{Path: wrong.Field, Want: wrong.Type.String(), Got: wrong.Value}
		}
		return nil, err
	}
	s := &Settings{Scheduler: scheduler.DefaultSettings(), MaxHeld: int(p.Bounds.MostHeld)}
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

// deployment sets what there is: classes, kinds and how the endpoint list and load reports come.
func (p *platform) deployment(s *scheduler.Settings) error {
	s.Controllers = int(number(p.Siblings, float64(s.Controllers)))
	s.Slot = int(number(p.SlotNo, 0))
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
	c.DedupScope, c.DedupWindowMS = scope, in.DedupWindow/usPerMS
	c.SoftDeadlineMS, c.SoftDeadlineStretch = in.Aim/usPerMS, in.AimStretch
	c.DeadlineMS = in.HardLimit / usPerMS
	c.Value, c.LateShare = number(in.Worth, c.Value), in.LateWorth
	c.InOrder = in.OneAtATime
	c.HoldsTableGroup, c.BlockedByHolders = at(p.FamilyInfo.ClassLoad, k), at(p.FamilyInfo.BlockedByLoads, k)
	c.Threads = max(1, int(number(at(p.FamilyInfo.ClassThreads, k), float64(c.Threads))))
	c.Kinds, c.Zones = in.KindsOpen, in.ZonesOnly
	return c, nil
}

// limits sets what may be done, and what the platform promises in turn.
func (p *platform) limits(s *scheduler.Settings) {
	b, f, i := &p.Bounds, &p.FamilyInfo, &p.Invariants
	s.MayCancel, s.MayHealthCheck, s.MayMessagePeers = b.Cancelling, b.Probing, b.Peers
	s.MaxAttempts = int(number(b.MaxAttempts, float64(s.MaxAttempts)))
	s.NamesRetryAfter, s.MaxRetryAfterMS = b.RetryAfter, b.MaxRetryAfter/usPerMS
	s.ConnectTimeoutMS = milliseconds(b.ConnectTimeout, 0)
	s.LargestShare = number(f.LargestShare, s.LargestShare)
	s.HonorsGrants, s.ProgressEveryMS = f.Grants, f.TellsEvery/usPerMS
	s.DrainGraceMS, s.OrderKeyRestMS = i.DrainGrace/usPerMS, i.KeyQuiet/usPerMS
	s.RetryBudget = p.retryBudget(scheduler.RetryBudget{})
	s.WarmupMS = i.WarmUp / usPerMS
	s.ColdCapacity = number(i.ColdFrom, s.ColdCapacity)
	s.CollapseMultiple = number(i.FallMultiple, s.CollapseMultiple)
	s.CollapseWindowMS = milliseconds(i.Fall, s.CollapseWindowMS)
}

// retryBudget returns the budget for retries, with defaults for what is missing.
func (p *platform) retryBudget(otherwise scheduler.RetryBudget) scheduler.RetryBudget {
	i := &p.Invariants
	return scheduler.RetryBudget{
		WindowMS: milliseconds(i.RatioSpan, otherwise.WindowMS),
		Floor:    number(i.ExtraFloor, otherwise.Floor),
		Share:    number(i.ExtraPerRequest, otherwise.Share),
	}
}

// lookup returns what a word of the platform stands for.
func lookup[T any](words map[string]T, path, word string) (T, error) {
	value, ok := words[word]
	if !ok {
		return value, &Error{Path: path, Want: "a word that this program knows", Got: fmt.Sprintf("%q", word)}
	}
	return value, nil
}

// number returns a value, or another one where it is missing.
func number(value *float64, otherwise float64) float64 {
	if value == nil {
		return otherwise
	}
	return *value
}

// milliseconds returns a time, or another one where it is missing.
func milliseconds(us *float64, otherwise float64) float64 {
	if us == nil {
		return otherwise
	}
	return *us / usPerMS
}

// at returns the value at k, or the zero value past the end.
func at[T any](list []T, k int) (value T) {
	if k < len(list) {
		value = list[k]
	}
	return value
}
