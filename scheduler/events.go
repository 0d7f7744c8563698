package scheduler

// EventKind says what an Event reports.
type EventKind uint8

// The events.
const (
	Started             EventKind = iota // the instance starts
	EndpointsUpdated                     // news of the endpoint list
	RequestArrived                       // a request came in
	ClientLeft                           // the client of a request is gone
	AttemptEnded                         // an attempt has its outcome
	ProgressReported                     // an attempt in flight sent a progress report
	HealthChecked                        // a health check has its result
	TimerFired                           // a timer is due
	ResponseStarted                      // the client has the beginning of an attempt's answer
	PeerMessage                          // a message from another controller
	ShutdownStarted                      // the instance ends: all requests must have their answer by Deadline
	StateRestored                        // what was known before a restart
	PriorityCapped                       // a request is kept under a priority, or no longer
	ControllersCounted                   // how many controllers share the executors now
	ReachabilityChanged                  // which zones are remote now
)

// String returns the name of the kind.
func (k EventKind) String() string {
	return nameOf(k, "started", "endpoints updated", "request arrived", "client left", "attempt ended", "progress reported",
		"health checked", "timer fired", "response started", "peer message", "shutdown started", "state restored", "priority capped",
		"controllers counted", "reachability changed")
}

// ListKind says how the entries of an EndpointsUpdated event are meant.
type ListKind uint8

// The kinds of list.
const (
	ListDelta       ListKind = iota // only the entries that changed
	ListComplete                    // all entries
	ListRestored                    // all entries as they were last known, perhaps out of date
	ListUnavailable                 // no entries: the list is out of reach
)

// String returns the name of the kind.
func (k ListKind) String() string {
	return nameOf(k, "delta", "complete", "restored", "unavailable")
}

// Availability is what the endpoint list says of an executor. It has no String method, since log lines show its number.
type Availability uint8

// The availabilities.
const (
	Active   Availability = iota
	Draining              // it finishes what it has and gets nothing new
	Removed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Executor     uint32
	Zone         string
	Kind         string
	Cell         int64
	Availability Availability
	Units        float64
	StartedAt    float64 // 0: long ago
}

// Outcome says how an attempt or a health check ended.
type Outcome uint8

// The outcomes.
const (
	Succeeded      Outcome = iota // it was answered
	Errored                       // an error came back; the attempt may have run
	Overloaded                    // the executor turned it away without looking at it
	TimedOut                      // no answer came in time; the attempt may have run
	ConnectFailed                 // there was no connection
	ConnectionLost                // the connection broke; the attempt may have run
	Cancelled                     // it was cancelled; the attempt may have run
	NeverSent                     // it was not sent
	LocalFailure                  // it was not sent because of a failure on this side, which says nothing of the executor
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return nameOf(o, "succeeded", "errored", "overloaded", "timed out", "connect failed", "connection lost", "cancelled", "never sent",
		"local failure")
}

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == Overloaded || o == ConnectFailed || o == NeverSent || o == LocalFailure
}

// ProgressKind says what a progress report is about.
type ProgressKind uint8

// The kinds of progress report.
const (
	Progress ProgressKind = 1 // Value: the share that is done
	Spilling ProgressKind = 2 // Value: the MB that the attempt lacks
	Waiting  ProgressKind = 3 // Value: 1 for memory, 2 for a holder of its table group
)

// String returns the name of the kind.
func (k ProgressKind) String() string { return nameOf(k, "none", "progress", "spilling", "waiting") }

// Event is one thing that happened. Only the fields of its kind are set. Times are milliseconds.
type Event struct {
	Kind     EventKind
	Request  string
	Executor uint32
	Attempt  int // index among the attempts of Request

	Class       string // RequestArrived
	TableGroup  uint64 // RequestArrived
	OrderKey    string // RequestArrived: empty for none
	MemoryMB    float64
	WorkMS      float64      // RequestArrived: the client's estimate
	Deadline    float64      // RequestArrived, ShutdownStarted; EndpointsUpdated with ListUnavailable: the last contact with the list
	Retried     bool         // RequestArrived: the client says that it is a retry
	Prior       PriorAttempt // RequestArrived
	Blocked     bool         // RequestArrived, AttemptEnded: the request can't be put on record, so it must not run
	PriorityCap float64      // RequestArrived: the priority to start at; PriorityCapped: the priority to stay under; 0: the top
	MemoryShare float64      // RequestArrived, PriorityCapped: part of the memory that it gets; 0: all
	Immediate   bool         // RequestArrived: it is sent in this step, or given back

	PresumedAt float64 // EndpointsUpdated with ListUnavailable: when its pending news counts as known; 0: never
	HalfClosed bool    // ClientLeft: the client may still read, so the request gets a final answer

	Outcome     Outcome // AttemptEnded, HealthChecked
	ElapsedMS   float64 // AttemptEnded, HealthChecked
	Final       bool    // AttemptEnded: the request has its answer
	CostMS      float64 // AttemptEnded: the work that it took; 0: unknown
	UsedMB      float64 // AttemptEnded: the memory that it used; 0: unknown
	LoadReport  []float64
	Progress    ProgressKind // ProgressReported
	Value       float64      // ProgressReported; ControllersCounted: the controllers, this one among them
	Token       uint64       // TimerFired
	List        ListKind     // EndpointsUpdated
	Endpoints   []Endpoint   // EndpointsUpdated
	ListVersion uint64       // EndpointsUpdated: 0: unknown
	FromPeer    int          // PeerMessage
	Payload     []byte       // PeerMessage

	Arrivals       []float64 // StateRestored: when requests arrived
	Retries        []float64 // StateRestored: when retries were sent
	ExecutorStates []ExecutorState
	Reaches        []ZoneReach // ReachabilityChanged: the remote zones
	Estimates      []Estimate  // StateRestored
}

// PriorAttempt is the first attempt of another request with the same idempotency key that may have run.
type PriorAttempt struct {
	At   float64 // 0: there is none; far in the past: unknown
	Zone string
	Cell int64
}

// ZoneReach says how far requests may go to the executors of a zone.
type ZoneReach struct {
	Zone           string
	Tier           int      // 0: near; a higher one is used only where no lower one has room
	Capacity       float64  // threads that may be in flight there
	LatencyMS      float64  // more for the way there and back than to a near zone
	MinDensity     float64  // value for its work that a request must have to go there
	ExclusiveKinds []string // kinds that no near zone has: for requests that need them the zone counts as near
}

// ExecutorState is what is known of an executor besides what the endpoint list says.
type ExecutorState struct {
	Executor    uint32
	WarmupUntil float64
	Ejected     bool
	Ejections   int
	Draining    bool
}

// Estimate is a figure that was learned.
type Estimate struct {
	Name  string
	Value float64
}
