package scheduler

import (
	"fmt"
	"math"
)

// Idempotency says whether a request of a class may run more than once.
type Idempotency uint8

// The kinds of idempotency. The zero value is the strictest one.
const (
	NonIdempotent Idempotency = iota // must not run more than once
	Keyed                            // idempotent by key: executors drop repeats within a deduplication scope and window
	Idempotent                       // may run any number of times
)

// String returns the name of the idempotency.
func (i Idempotency) String() string { return nameOf(i, "non-idempotent", "keyed", "idempotent") }

// DedupScope says which executors drop repeats of a keyed request.
type DedupScope uint8

// The scopes.
const (
	DedupNone DedupScope = iota // no scope is configured
	DedupAll                    // all executors
	DedupZone                   // the executors in the zone of the first attempt
	DedupCell                   // the executors in the cell of the first attempt
)

// String returns the name of the scope.
func (s DedupScope) String() string { return nameOf(s, "none", "all", "zone", "cell") }

// RequestClass holds the settings of a class of requests.
type RequestClass struct {
	Name                   string
	Idempotency            Idempotency
	DedupScope             DedupScope
	DedupWindowMS          float64
	SoftDeadlineMS         float64  // time from arrival after which an answer earns only a fraction of the value
	SoftDeadlineWorkFactor float64  // added to the soft deadline for each ms of work per thread
	DeadlineMS             float64  // the longest deadline that a client may set; 0: unknown
	Value                  float64  // earned by an answer before the soft deadline
	LateValueShare         float64  // fraction of the value that a later answer earns
	InOrder                bool     // requests with the same order key run one after another
	HoldsTableGroup        bool     // a request holds its table group on its executor while it runs
	BlockedByHolders       bool     // a request waits on its executor while another one holds its table group there
	Threads                int      // threads that a request occupies on its executor
	Kinds                  []string // kinds of executors that may run its requests; nil: all
	Zones                  []string // zones whose executors may run its requests; nil: all
}

// ExecutorKind describes a kind of machine that executors run on.
type ExecutorKind struct {
	Name     string
	Cores    float64
	MemoryMB float64
}

// RetryBudget limits the retries of all requests together within a window, to a floor plus a share of the arrivals.
type RetryBudget struct {
	WindowMS float64 // 0: retries are not limited
	Floor    float64 // retries
	Share    float64 // retries per arrival
}

// Names of the values in a load report that the scheduler reads.
const (
	ReportInFlight    = "inflight"
	ReportQueued      = "queue"
	ReportMemoryShare = "x0"
	ReportDiskShare   = "x1"
)

// Settings describe a deployment. Times are in milliseconds. An ability that is not set is absent.
type Settings struct {
	Controllers     int // number of controllers that share the executors
	ControllerIndex int // index of this controller among them
	Classes         []RequestClass
	Kinds           []ExecutorKind

	SubscribesToEndpoints bool // the endpoint list is sent only after a Subscribe action

	// PresumedNotifiedAfterMS is the time after which this controller is presumed notified of a change of the endpoint
	// list, even if it has not received it. 0 means that it counts as notified only once it has received the change.
	PresumedNotifiedAfterMS float64

	DrainGraceMS    float64  // time for which a draining executor still accepts attempts
	ReportsByProbe  bool     // load reports arrive only with the results of health checks
	ReportNames     []string // names of the values in a load report, in order
	ProgressEveryMS float64  // interval of the progress reports of an attempt; 0: there are none
	HonorsGrants    bool     // executors limit the memory of an attempt to its grant

	MayCancel         bool
	MayHealthCheck    bool
	MayMessagePeers   bool
	MaxAttempts       int // per request
	ConnectTimeoutMS  float64
	MaxGrantShare     float64 // fraction of an executor's memory that one attempt may be granted
	OrderKeyHoldoffMS float64 // time for which an order key is blocked after an attempt that may still be running
	RetryBudget       RetryBudget
	SendsRetryAfter   bool    // rejections may tell the client when to retry
	MaxRetryAfterMS   float64 // the longest such delay

	WarmupMS     float64 // duration of an executor's warm-up after its start
	ColdCapacity float64 // fraction of its capacity that an executor has at its start

	// An executor that warms up collapses if the work sent to it within CollapseWindowMS reaches CollapseMultiple times
	// what its cold capacity can do in that time.
	CollapseMultiple float64
	CollapseWindowMS float64
}

// DefaultSettings returns the settings of a deployment that configures nothing.
func DefaultSettings() Settings {
	return Settings{
		Controllers:      1,
		MaxAttempts:      attemptCapacity,
		MaxGrantShare:    1,
		ColdCapacity:     0.1,
		CollapseMultiple: 1,
		CollapseWindowMS: 2000,
	}
}

// DefaultClass returns a class with default settings for all but the name and the idempotency.
func DefaultClass(name string, idempotency Idempotency) RequestClass {
	return RequestClass{Name: name, Idempotency: idempotency, Value: 1, Threads: 1}
}

// DefaultKind returns a kind with default settings for all but the name.
func DefaultKind(name string) ExecutorKind {
	return ExecutorKind{Name: name, Cores: 1, MemoryMB: math.MaxFloat64}
}

// Validate returns an error that names the first invalid field.
func (s *Settings) Validate() error {
	seen := map[string]bool{}
	for k := range s.Classes {
		class := &s.Classes[k]
		switch {
		case class.Name == "":
			return fmt.Errorf("class %d has no name", k)
		case seen[class.Name]:
			return fmt.Errorf("class %q is defined twice", class.Name)
		case class.Threads < 1:
			return fmt.Errorf("class %q: Threads is %d, must be at least 1", class.Name, class.Threads)
		}
		seen[class.Name] = true
	}
	for k := range s.Kinds {
		if s.Kinds[k].Name == "" {
			return fmt.Errorf("kind %d has no name", k)
		}
	}
	if s.ControllerIndex < 0 {
		return fmt.Errorf("ControllerIndex is %d, must be at least 0", s.ControllerIndex)
	}
	return nil
}

// Class returns the class with a name, or nil.
func (s *Settings) Class(name string) *RequestClass {
	for k := range s.Classes {
		if s.Classes[k].Name == name {
			return &s.Classes[k]
		}
	}
	return nil
}

// Kind returns the last kind with a name, or the default one.
func (s *Settings) Kind(name string) ExecutorKind {
	kind := DefaultKind(name)
	for _, k := range s.Kinds {
		if k.Name == name {
			kind = k
		}
	}
	return kind
}

// LongestRetryAfterMS returns the longest retry delay that a rejection may carry. 0 means that rejections carry none.
func (s *Settings) LongestRetryAfterMS() float64 {
	if !s.SendsRetryAfter {
		return 0
	}
	return s.MaxRetryAfterMS
}
