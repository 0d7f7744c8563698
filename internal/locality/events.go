package locality

import "liftshift/scheduler"

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// Observed carries this controller's observation in Executors, DemandThreads, ListUnavailable and
	// AppliedReachVersion.
	Observed EventKind = iota
	// MembersChanged carries the membership view in Members, the leader of the consensus group in Leader, and in Leads
	// whether this controller is the leader.
	MembersChanged
	// ReportReceived carries an encoded report of the member From in Data.
	ReportReceived
	// PlanAgreed carries the agreed Plan and Orders. A nil Plan leaves the plan unchanged.
	PlanAgreed
	// PlanConfirmed states that the plan Number was in force at some time after RequestedAt, when its confirmation was
	// requested.
	PlanConfirmed
	// PlanAnnounced states that the member From knows the plan Number.
	PlanAnnounced
	// LoanRequested is a request of the member From for a loan of its share of Zone. Number is the ID of the request.
	LoanRequested
	// LoanGranted is a loan of Threads in Zone by the member From. Number is the ID of the request.
	LoanGranted
	// Ticked lets the monitor do what is due. It is expected about every 50 ms.
	Ticked
)

// Event is an input of a Monitor. Only the fields of its kind are set.
type Event struct {
	Kind                EventKind
	Executors           []Executor
	DemandThreads       float64 // threads that this controller's running and waiting requests need
	ListUnavailable     bool    // the endpoint list is unavailable
	Members             []Member
	Leader              string
	Leads               bool
	From                string
	Data                []byte
	Plan                *Plan
	Orders              []Order
	Number              uint64
	RequestedAt         float64
	AppliedReachVersion uint64 // Number of the latest SetReach effect that the scheduler had applied at the observation
	Zone                string
	Threads             float64
	UnixMS              int64 // Ticked: the wall clock, by which orders without a SpanMS end
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Kinds of effects.
const (
	// SendReport sends the encoded report Data to the member To.
	SendReport EffectKind = iota
	// AnnouncePlan tells the member To that the plan Number exists.
	AnnouncePlan
	// FetchPlan fetches the plan Number, which this controller does not have.
	FetchPlan
	// ProposePlan proposes Plan to the consensus group.
	ProposePlan
	// SetReach passes Reaches to the scheduler, and the own Zone, beside which zones without a limit are closed. An empty
	// Zone leaves them open. Number comes back in Event.AppliedReachVersion.
	SetReach
	// LogWarning logs Text.
	LogWarning
	// RequestLoan asks the member To for a loan in Zone. Number is the ID of the request.
	RequestLoan
	// GrantLoan lends Threads in Zone to the member To. Number is the ID of the request.
	GrantLoan
)

// Effect is an output of a Monitor, to be carried out by the caller. Only the fields of its kind are set.
type Effect struct {
	Kind    EffectKind
	To      string
	Data    []byte
	Plan    *Plan
	Reaches []scheduler.ZoneReach
	Number  uint64
	Text    string
	Zone    string
	Threads float64
}
