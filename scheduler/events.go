package scheduler

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of Event.
const (
	Started             EventKind = iota // the instance starts
	EndpointsUpdated                     // the endpoint list changed or became unavailable
	RequestArrived                       // a request was received
	ClientLeft                           // the client of a request disconnected
	AttemptEnded                         // an attempt has its outcome
	ProgressReported                     // an attempt in flight sent a progress report
	HealthChecked                        // a health check has its result
	TimerFired                           // a timer expired
	ResponseStarted                      // the client has received the beginning of an attempt's answer
	PeerMessage                          // a message from another controller was received
	ShutdownStarted                      // the controller shuts down: all requests must be answered by Deadline
	StateRestored                        // state that was persisted before a restart
	PriorityCapped                       // the priority limit of a request was set or removed
	ControllersCounted                   // the number of controllers that share the executors changed
	ReachabilityChanged                  // the set of remote zones or their limits changed
	LastConnectionLost                   // an executor ended the last connection to it, with no attempt in flight there
)

// String returns the name of the kind.
func (k EventKind) String() string {
	return nameOf(k, "started", "endpoints updated", "request arrived", "client left", "attempt ended",
		"progress reported", "health checked", "timer fired", "response started", "peer message", "shutdown started",
		"state restored", "priority capped", "controllers counted", "reachability changed", "last connection lost")
}

// ListKind says how the entries of an EndpointsUpdated event relate to the list that is already known.
type ListKind uint8

// The kinds of list.
const (
	ListDelta       ListKind = iota // only the entries that changed
	ListComplete                    // all entries
	ListRestored                    // all entries as last persisted, possibly outdated
	ListUnavailable                 // no entries: the list can't be read at present
)

// String returns the name of the kind.
func (k ListKind) String() string {
	return nameOf(k, "delta", "complete", "restored", "unavailable")
}

// Availability is the state of an executor in the endpoint list. It has no String method, because log lines show its
// number.
type Availability uint8

// The states of an executor in the endpoint list.
const (
	Active   Availability = iota
	Draining              // the executor finishes its attempts and gets no new ones
	Removed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Executor     uint32
	Zone         string
	Kind         string
	Cell         int64
	Availability Availability
	Units        float64 // weight of the executor in the endpoint list
	StartedAt    float64 // 0: long ago
}

// Location tells where an executor runs, as its entry in the endpoint list states it.
type Location struct {
	Zone string
	Kind string
	Cell int64
}

// Location returns where the executor of an entry runs.
func (e *Endpoint) Location() Location {
	return Location{Zone: e.Zone, Kind: e.Kind, Cell: e.Cell}
}

// Outcome is the result of an attempt or a health check.
type Outcome uint8

// The outcomes.
const (
	Succeeded      Outcome = iota // the executor answered
	Errored                       // the executor returned an error; the attempt may have run
	Overloaded                    // the executor refused the attempt without processing it
	TimedOut                      // no answer arrived in time; the attempt may have run
	ConnectFailed                 // no connection could be established
	ConnectionLost                // the connection broke; the attempt may have run
	Cancelled                     // the attempt was cancelled; it may have run
	NeverSent                     // the attempt was not sent
	LocalFailure                  // the attempt was not sent because of a failure in this controller
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return nameOf(o, "succeeded", "errored", "overloaded", "timed out", "connect failed", "connection lost",
		"cancelled", "never sent", "local failure")
}

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == Overloaded || o == ConnectFailed || o == NeverSent || o == LocalFailure
}

// ProgressKind is the kind of a progress report, which determines the meaning of Event.Value.
type ProgressKind uint8

// The kinds of progress report.
const (
	Progress ProgressKind = 1 // Value is the fraction of the work that is done
	Spilling ProgressKind = 2 // Value is the memory that the attempt lacks, in MB
	Waiting  ProgressKind = 3 // Value is 1 if the attempt waits for memory, 2 if for a holder of its table group
)

// String returns the name of the kind.
func (k ProgressKind) String() string { return nameOf(k, "none", "progress", "spilling", "waiting") }

// Event is one input of a Scheduler. Only the fields of its kind are set; comments name the kinds that a field applies
// to. Times are in milliseconds.
type Event struct {
	Kind     EventKind
	Request  string
	Executor uint32
	Attempt  int // index among the attempts of Request

	Class      string  // RequestArrived
	TableGroup uint64  // RequestArrived
	OrderKey   string  // RequestArrived: empty if there is none
	MemoryMB   float64 // RequestArrived: the client's estimate of the memory needed
	WorkMS     float64 // RequestArrived: the client's estimate of the work

	// Deadline is the time by which the request (RequestArrived) or all requests (ShutdownStarted) must be answered.
	// With EndpointsUpdated and ListUnavailable, it is the time of the last contact with the endpoint list.
	Deadline float64

	Retried bool         // RequestArrived: the client says that it is a retry
	Prior   PriorAttempt // RequestArrived

	// Blocked means that no further attempt at the request may be sent, for example because no record of it can be
	// written. It applies to RequestArrived and AttemptEnded.
	Blocked bool

	// Unrecorded means that an attempt was not sent because its record was not stored in time, or because the caller did
	// not hold the lease that records need. Another one may be, with the same number. It applies to AttemptEnded of the
	// latest attempt, with the outcome NeverSent.
	Unrecorded bool

	// PriorityCap is the priority to start at (RequestArrived) or not to exceed (PriorityCapped). 0 means no limit.
	PriorityCap float64

	MemoryShare float64 // RequestArrived, PriorityCapped: fraction of its memory grant that the request gets; 0: all
	Immediate   bool    // RequestArrived: start the request in this step, or emit ReturnRequest

	// PresumedNotifiedAt is the time from which on this controller is presumed notified of the changes of the endpoint
	// list that it has not received. 0 means that there are none. It applies to EndpointsUpdated with ListUnavailable.
	PresumedNotifiedAt float64

	HalfClosed bool // ClientLeft: the client can still read, so the request gets a final answer

	Outcome     Outcome      // AttemptEnded, HealthChecked
	ElapsedMS   float64      // AttemptEnded, HealthChecked
	Final       bool         // AttemptEnded: the request has its answer
	CostMS      float64      // AttemptEnded: the work that the attempt took; 0: unknown
	UsedMB      float64      // AttemptEnded: the memory that the attempt used; 0: unknown
	LoadReport  []float64    // AttemptEnded, HealthChecked: in the order of Settings.ReportNames
	Progress    ProgressKind // ProgressReported
	Value       float64      // ProgressReported: see ProgressKind; ControllersCounted: the number of controllers
	Token       uint64       // TimerFired
	List        ListKind     // EndpointsUpdated
	Endpoints   []Endpoint   // EndpointsUpdated
	ListVersion uint64       // EndpointsUpdated; 0: unknown
	FromPeer    int          // PeerMessage: index of the sending controller
	Payload     []byte       // PeerMessage

	Arrivals          []float64          // StateRestored: arrival times of requests
	Retries           []float64          // StateRestored: times at which retries were sent
	RestoredExecutors []RestoredExecutor // StateRestored
	RemoteZones       []ZoneReach        // ReachabilityChanged: the remote zones
	OwnZone           string             // ReachabilityChanged: zones without a limit are closed, except this one; empty: they are near
	Estimates         []Estimate         // StateRestored
}

// PriorAttempt is the first attempt, by another request with the same idempotency key, that may have run.
type PriorAttempt struct {
	At   float64 // 0: there is none; far in the past: the time is unknown
	Zone string
	Cell int64
}

// ZoneReach limits the requests that may be sent to the executors of a remote zone.
type ZoneReach struct {
	Zone           string
	Tier           int      // 0: as near as an unlimited zone; a higher tier is used only if no lower one has room
	Capacity       float64  // threads that may be in flight in the zone
	LatencyMS      float64  // round-trip latency in addition to that of a near zone
	MinDensity     float64  // least value per ms of work of a request that may be sent to the zone
	ExclusiveKinds []string // kinds missing in this controller's zone; the zone is near for classes limited to them
}

// RestoredExecutor is the persisted state of an executor besides what the endpoint list says of it.
type RestoredExecutor struct {
	Executor    uint32
	WarmupUntil float64
	Ejected     bool
	Ejections   int // since the executor was last healthy
	Draining    bool
}

// Estimate is a named value learned from past requests.
type Estimate struct {
	Name  string
	Value float64
}
