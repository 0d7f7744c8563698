package scheduler

import (
	"errors"
	"fmt"
	"math"
)

// Effect says what a second run of a request of a class does.
type Effect uint8

// The effects. The zero value is the strictest one.
const (
	NonIdempotent Effect = iota // a second run is never allowed
	Keyed                       // idempotent with an idempotency key: executors drop repeats within a scope and a window
	Idempotent                  // may run any number of times
)

// String returns the name of the effect.
func (e Effect) String() string { return nameOf(e, "non-idempotent", "keyed", "idempotent") }

// DedupScope says which executors drop repeats of a keyed request.
type DedupScope uint8

// The scopes.
const (
	DedupNone DedupScope = iota
	DedupAll             // all executors
	DedupZone            // those of the zone of the first attempt
	DedupCell            // those of the cell of the first attempt
)

// String returns the name of the scope.
func (s DedupScope) String() string { return nameOf(s, "none", "all", "zone", "cell") }

// RequestClass is one class of requests.
type RequestClass struct {
	Name                string
	Effect              Effect
	DedupScope          DedupScope
	DedupWindowMS       float64
	SoftDeadlineMS      float64
	SoftDeadlineStretch float64 // added to the soft deadline for each ms of work of a thread
	DeadlineMS          float64 // the longest deadline that a client may set; 0: unknown
	Value               float64 // earned by an answer in time
	LateShare           float64 // share of the value that a late answer earns
	InOrder             bool    // requests with the same order key run one after another
	HoldsTableGroup     bool    // blocks others of its table group on its executor while it runs
	BlockedByHolders    bool    // stands still behind a request that holds its table group
	Threads             int     // on its executor
	Kinds               []string
	Zones               []string
}

// ExecutorKind is one kind of machine.
type ExecutorKind struct {
	Name     string
	Cores    float64
	MemoryMB float64
}

// RetryBudget bounds the retries of all requests together: within a window, a floor and a share of the arrivals.
type RetryBudget struct {
	WindowMS float64 // 0: retries are not bounded
	Floor    float64
	Share    float64
}

// The figures of a load report that the scheduler reads, by name.
const (
	ReportInFlight    = "inflight"
	ReportQueued      = "queue"
	ReportMemoryShare = "x0"
	ReportDiskShare   = "x1"
)

// Settings describe a deployment. Times are milliseconds. A limit or an ability that is not set is absent.
type Settings struct {
	Controllers     int // that share the executors
	ControllerIndex int // index of this controller among them
	Classes         []RequestClass
	Kinds           []ExecutorKind

	SubscribesToList bool     // the endpoint list comes only after Subscribe
	NotifiedWithinMS float64  // what the list has to tell counts as known after this time, received or not; 0: only once received
	DrainGraceMS     float64  // for which a draining executor may still get attempts
	ReportsByProbe   bool     // load reports come with the results of health checks alone
	ReportNames      []string // the figures of a load report, in order
	ProgressEveryMS  float64  // time between progress reports of an attempt; 0: there are none
	HonorsGrants     bool     // executors keep to the memory that an attempt is granted

	MayCancel        bool
	MayHealthCheck   bool
	MayMessagePeers  bool
	MaxAttempts      int // for each request
	ConnectTimeoutMS float64
	LargestShare     float64 // of the traffic that one controller may see, against its fair share
	OrderKeyRestMS   float64 // an order key rests this long after an attempt of which it is not known whether it runs on
	RetryBudget      RetryBudget
	NamesRetryAfter  bool    // a rejection may say when to return
	MaxRetryAfterMS  float64 // the latest time that it may say

	WarmupMS         float64 // for which an executor warms up after its start
	ColdCapacity     float64 // share of its capacity at the start
	CollapseMultiple float64 // times that capacity within the window from which on the executor collapses
	CollapseWindowMS float64
}

// DefaultSettings returns what holds where a deployment says nothing.
func DefaultSettings() Settings {
	return Settings{
		Controllers:      1,
		MaxAttempts:      attemptCapacity,
		LargestShare:     1,
		ColdCapacity:     0.1,
		CollapseMultiple: 1,
		CollapseWindowMS: 2000,
	}
}

// DefaultClass returns a class of which only the name and the effect are known.
func DefaultClass(name string, effect Effect) RequestClass {
	return RequestClass{Name: name, Effect: effect, Value: 1, Threads: 1}
}

// DefaultKind returns a kind of which only the name is known.
func DefaultKind(name string) ExecutorKind {
	return ExecutorKind{Name: name, Cores: 1, MemoryMB: math.MaxFloat64}
}

// Validate returns an error that names the first field that can't be worked with.
func (s *Settings) Validate() error {
	seen := map[string]bool{}
	for k := range s.Classes {
		c := &s.Classes[k]
		switch {
		case c.Name == "":
			return fmt.Errorf("class %d has no name", k)
		case seen[c.Name]:
			return fmt.Errorf("class %q stands there twice", c.Name)
		case c.Threads < 1:
			return fmt.Errorf("class %q: Threads is %d, and must be 1 or more", c.Name, c.Threads)
		}
		seen[c.Name] = true
	}
	for k := range s.Kinds {
		if s.Kinds[k].Name == "" {
			return fmt.Errorf("kind %d has no name", k)
		}
	}
	if s.ControllerIndex < 0 {
		return errors.New("the slot is below 0")
	}
	return nil
}

// Class returns the class of a name, or nil.
func (s *Settings) Class(name string) *RequestClass {
	for k := range s.Classes {
		if s.Classes[k].Name == name {
			return &s.Classes[k]
		}
	}
	return nil
}

// Kind returns the kind of a name, or the default one.
func (s *Settings) Kind(name string) ExecutorKind {
	kind := DefaultKind(name)
	for _, k := range s.Kinds {
		if k.Name == name {
			kind = k
		}
	}
	return kind
}

// LongestRetryAfterMS is the longest time that a rejection may name; 0: none may be named.
func (s *Settings) LongestRetryAfterMS() float64 {
	if !s.NamesRetryAfter {
		return 0
	}
	return s.MaxRetryAfterMS
}
