package locality

import "liftshift/scheduler"

// EventKind is the kind of an Event.
type EventKind uint8

// Events.
const (
	Observed       EventKind = iota // Executors, DemandThreads and WithoutList are this controller's observation
	MembersChanged                  // Members is the membership view; Leader leads the consensus group, Leads reports whether this member does
	ReportReceived                  // Data, a report, arrived from the member From
	PlanAgreed                      // Plan and Orders have been agreed on
	PlanConfirmed                   // the plan with PlanNumber was in force after the time At, when that was requested
	PlanAnnounced                   // the member From announces the plan with PlanNumber
	LoanRequested                   // the member From requests a loan for Zone; PlanNumber identifies the request
	LoanGranted                     // the member From lends Threads for the request PlanNumber
	Ticked                          // to be given about every 50 ms
)

// Event is an input of a Monitor. Only the fields of its kind are set.
type Event struct {
	Kind          EventKind
	Executors     []Executor
	DemandThreads float64
	WithoutList   bool
	Members       []Member
	Leader        string
	Leads         bool
	From          string
	Data          []byte
	Plan          *Plan
	Orders        []Order
	PlanNumber    uint64
	At            float64
	Applied       uint64 // Observed: the Number of the latest SetReach effect that the scheduler had applied by then
	Zone          string
	Threads       float64
	UnixMS        int64 // Ticked: the wall clock in ms, by which orders without a span end
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Effects.
const (
	SendReport   EffectKind = iota // send the report Data to the member To
	AnnouncePlan                   // announce the plan with Number to the member To
	FetchPlan                      // fetch the plan with Number, which is not known here
	ProposePlan                    // propose Plan to the consensus group
	SetReach                       // pass Reaches to the scheduler; Number comes back as Applied
	LogWarning                     // log Text
	RequestLoan                    // send a loan request with Zone and Number to the member To
	GrantLoan                      // send a loan with Zone, Number and Threads to the member To
)

// Effect is an output of a Monitor.
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
