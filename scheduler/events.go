package scheduler

// EventKind tells what an Event reports.
type EventKind uint8

// The events.
const (
	Started             EventKind = iota // the instance starts
	EndpointsUpdated                     // news of the list of executors
	RequestArrived                       // a request came in
	ClientLeft                           // the client of a request is gone
	AttemptEnded                         // an attempt has its outcome
	ProgressReported                     // a running attempt sends a note
	HealthChecked                        // a probe has its result
	TimerFired                           // a timer is due
	ResponseStarted                      // an attempt's answer has begun and belongs to the client
	PeerMessage                          // a message from another controller
	ShutdownStarted                      // the instance stops: by Until all it has taken must have its answer
	StateRestored                        // what was known before the instance was last ended
	PriorityCapped                       // a request is held under a priority, or no longer
	ControllersCounted                   // so many controllers share the executors now
	ReachabilityChanged                  // how far requests may go now: Reaches; places that it leaves out are near
	eventKinds
)

// ListKind tells how the entries of a Listed event are meant.
type ListKind uint8

// The kinds of list.
const (
	ListDelta       ListKind = iota // just the entries that changed
	ListComplete                    // everything there is
	ListRestored                    // everything as last held, perhaps out of date
	ListUnavailable                 // the list is out of reach
)

// Availability is what the list says of an executor.
type Availability uint8

// The standings.
const (
	Active Availability = iota
	Draining
	Removed
)

// Endpoint is one executor in a list.
type Endpoint struct {
	Executor     uint32
	Zone         string
	Kind         string
	Cell         int64
	Availability Availability
	Units        float64
	StartedAt    float64 // clock, ms; 0: long past
}

// Outcome tells how an attempt or a probe ended.
type Outcome uint8

// The outcomes.
const (
	Succeeded      Outcome = iota // answered
	Errored                       // an error came back; it may have run
	Overloaded                    // turned away unseen
	TimedOut                      // no answer in time; may have run
	ConnectFailed                 // no connection
	ConnectionLost                // the connection broke; may have run
	Cancelled                     // called off; may have run
	NeverSent                     // never sent
	LocalFailure                  // never sent, for want of something on this side: it says nothing of the executor
)

// NeverRan tells whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == Overloaded || o == ConnectFailed || o == NeverSent || o == LocalFailure
}

// ProgressKind tells what a note reports.
type ProgressKind uint8

// The notes.
const (
	Progress ProgressKind = 1 // Value: share done
	Spilling ProgressKind = 2 // Value: MB missing
	Waiting  ProgressKind = 3 // Value: 1 for memory, 2 for a load
)

// Event is one thing that an instance is told. Only the fields of its kind are set.
type Event struct {
	Kind     EventKind
	Request  string
	Executor uint32
	Attempt  int

	Class       string       // RequestArrived
	TableGroup  uint64       // RequestArrived: table group
	OrderKey    string       // RequestArrived: order key, or empty
	MemoryMB    float64      // RequestArrived: memory estimate
	WorkMS      float64      // RequestArrived: work estimate
	Deadline    float64      // RequestArrived: clock at which the client gives up, ms; Closing: the last moment for answers; Listed, with NoList: its last word
	Retried     bool         // RequestArrived: the client marked it as a repeat
	Prior       PriorAttempt // RequestArrived: what may have run under the same mark
	Blocked     bool         // RequestArrived, AttemptEnded: it can't be put on record, or has no room, so it must not run
	PriorityCap float64      // RequestArrived: priority to start at; Pressed: priority that it stays under; 0: the top
	MemoryShare float64      // RequestArrived, PriorityCapped: part of the memory wanted that it gets; 0: all
	Immediate   bool         // RequestArrived: it is sent in this pass, or given back

	PresumedAt float64 // EndpointsUpdated, with ListUnavailable: clock at which all that the list has to tell by then counts as told, heard or not; 0: none
	HalfClosed bool    // ClientLeft: the client may still read, so the request gets a final answer

	Outcome     Outcome // AttemptEnded, HealthChecked
	ElapsedMS   float64 // AttemptEnded, HealthChecked
	Final       bool    // AttemptEnded: the request is finished
	CostMS      float64 // AttemptEnded: work it took, where told
	UsedMB      float64 // AttemptEnded: memory it needed, where told
	LoadReport  []float64
	Progress    ProgressKind // ProgressReported
	Value       float64      // Noted; Counted: controllers, this one among them
	Token       uint64       // TimerFired
	List        ListKind     // EndpointsUpdated
	Endpoints   []Endpoint   // EndpointsUpdated
	ListVersion uint64       // EndpointsUpdated: the version of the list, where it is told
	FromPeer    int          // PeerMessage
	Payload     []byte       // PeerMessage

	Arrivals, Retries []float64       // StateRestored: clocks at which requests were taken, and further attempts sent
	ExecutorStates    []ExecutorState // StateRestored
	Reaches           []ZoneReach     // ReachabilityChanged
	Estimates         []Estimate      // StateRestored
}

// PriorAttempt is the first attempt of another request with the same mark that may have run. At 0: there is none.
type PriorAttempt struct {
	At   float64 // clock; far in the past where it is not known
	Zone string
	Cell int64
}

// ZoneReach is how far requests may go to the executors of a place.
type ZoneReach struct {
	Zone           string
	Tier           int      // 0: near; a further one is used only where no nearer executor has room
	Capacity       float64  // threads of this instance's attempts there at most; infinite: any number
	LatencyMS      float64  // longer on the way there and back than to near ones
	MinDensity     float64  // gain for its work that a request must have to go there
	ExclusiveKinds []string // kinds that no near place has: requests that run on nothing else go there as if it were near
}

// ExecutorState is what is known of an executor besides what the list says.
type ExecutorState struct {
	Executor    uint32
	WarmupUntil float64
	Ejected     bool
	Ejections   int
	Draining    bool
}

// Estimate is one thing learnt.
type Estimate struct {
	Name  string
	Value float64
}
