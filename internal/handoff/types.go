// Package handoff decides what happens to open requests when the controller that owns them is lost. It decides which
// replicas store copies of a request, what a quorum of them must know before an attempt may be sent, which successor
// adopts a request once its owner is declared lost, and what a client is answered that repeats its request at another
// controller.
//
// A Manager takes events, each with the time, and returns effects for its caller to carry out. The package uses no
// socket, disk, clock or goroutine, and it does not choose executors: the scheduler places an adopted request like any
// other, and is told of an earlier attempt that may have run.
//
// Whatever must happen at most once depends only on the agreed table of replicas (package placement) and on the lease
// of the consensus group, never on the membership view.
package handoff

import (
	"crypto/sha256"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// Key identifies a request across all controllers. It is a hash of the idempotency key if there is one, and of the
// request's id otherwise.
type Key [16]byte

// KeyOf returns the key of the request with the given idempotency key and id.
func KeyOf(idempotencyKey, id string) (k Key) {
	text := "s" + id
	if idempotencyKey != "" {
		text = "m" + idempotencyKey
	}
	sum := sha256.Sum256([]byte(text))
	copy(k[:], sum[:])
	return k
}

// Partition returns the number of the partition that the key belongs to.
func (k Key) Partition() int { return int(k[0]) % placement.PartitionCount }

// Member is one incarnation of a controller.
type Member struct {
	Name        string
	Incarnation uint64
}

// Outcome is the final result of a request, or Open while it has none.
type Outcome uint8

// The outcomes. Their numbers are stored on disk and sent over the wire and must not change.
const (
	Open      Outcome = 0
	Succeeded Outcome = 1
	Rejected  Outcome = 2
	Failed    Outcome = 3
	Abandoned Outcome = 4
	Withdrawn Outcome = 5 // registered and never executed
	Unknown   Outcome = 6
)

// outcomeNames are sent to clients and must not change.
var outcomeNames = [...]string{"open", "handled", "denied", "written_off", "left", "withdrawn", "unknown"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// RunState tells whether a request may have been executed.
type RunState uint8

// The run states. Their numbers are stored on disk and sent over the wire and must not change.
const (
	NotRun     RunState = 0 // no attempt can have run
	MayHaveRun RunState = 1 // an attempt may have run
	Ran        RunState = 2 // an attempt succeeded
)

var runStateNames = [...]string{"not run", "may have run", "ran"}

// String returns the name of the run state.
func (s RunState) String() string { return runStateNames[s] }

// RequestData is the part of a request that a successor needs to continue it.
type RequestData struct {
	ID, IdempotencyKey, Class, OrderKey, Team, Schema string
	TableGroup                                        uint64
	MemoryMB, WorkMS                                  float64
	Body                                              []byte
}

// Copy is the replicated state of a request. Its times are in ms by the clock of the controller that holds it.
type Copy struct {
	RequestData
	Owner          Member
	Sequence       uint64 // of the owner's latest message; a new owner continues from the previous owner's
	Outcome        Outcome
	RunState       RunState
	FirstAttemptAt float64 // start of the first attempt that may have run; 0: there is none
	Zone           string  // target zone of that attempt
	Cell           int64   // target cell of that attempt
	Deadline       float64
	Answer         []byte // nil: the answer was not replicated
	Complete       bool   // RequestData is filled in
	Confirmed      bool   // the owner continued after a quorum had registered the request
	Idempotent     bool   // the request may be repeated at any time, so nothing waits for its copies
}

// attemptState describes the first attempt of a request that may have run.
type attemptState struct {
	runState RunState
	firstAt  float64
	zone     string
	cell     int64
}

func (c *Copy) attempt() attemptState {
	return attemptState{c.RunState, c.FirstAttemptAt, c.Zone, c.Cell}
}

func (c *Copy) setAttempt(a attemptState) {
	c.RunState, c.FirstAttemptAt, c.Zone, c.Cell = a.runState, a.firstAt, a.zone, a.cell
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events. The comments name the fields that an event of the kind sets besides ID.
const (
	PlacementChanged   EventKind = iota // the consensus group agreed on Members and Table
	RequestArriving                     // a request arrived; Copy holds its RequestData and Deadline
	ClientLeft                          // the client of a suspended request disconnected
	AttemptStarting                     // an attempt is about to be sent: Attempt, Zone, Cell
	AttemptPermitted                    // nothing but the replicas' acknowledgements holds Attempt any more
	AttemptEnded                        // Attempt ended; NeverRan: it cannot have run
	RequestEnding                       // a request is about to be answered: Outcome, Answer
	RequestClosed                       // a request has its final Outcome and Answer
	BatchReceived                       // Batch arrived from another member; ReplyBatch returns Token
	BatchAnswered                       // member To replied to Sent with Batch; a nil Batch: no reply came
	OutcomeQueried                      // a client asks for an outcome by ID or IdempotencyKey; ReplyOutcome returns Token
	CopyRestored                        // Copy was read from this replica's disk; its times are as they were written
	Ticked                              // sent every 100 ms
	ShutdownStarted                     // a graceful shutdown began; all requests must be answered by Deadline
	IncarnationChanged                  // this controller continues as Incarnation
	ReleaseRequested                    // an operator gives up the orphaned requests with this id or idempotency key
	AdoptionRequested                   // an operator wants this controller to claim the requests of the lost member ID
	RetentionChanged                    // copies that are stored from now on are kept by KeyRetentionMS
)

var eventKindNames = [...]string{"PlacementChanged", "RequestArriving", "ClientLeft", "AttemptStarting", "AttemptPermitted",
	"AttemptEnded", "RequestEnding", "RequestClosed", "BatchReceived", "BatchAnswered", "OutcomeQueried", "CopyRestored", "Ticked",
	"ShutdownStarted", "IncarnationChanged", "ReleaseRequested", "AdoptionRequested", "RetentionChanged"}

// String returns the name of the kind.
func (k EventKind) String() string { return eventKindNames[k] }

// Event is one input of a Manager. Only LeaseHeld and the fields of the event's kind are set.
type Event struct {
	Kind           EventKind
	LeaseHeld      bool   // this controller holds its lease at the time of the event
	ID             string // of a request, except for AdoptionRequested
	IdempotencyKey string
	Copy           *Copy
	Attempt        int
	Zone           string
	Cell           int64

	// LocationInDoubt applies to AttemptStarting: another process may get the attempt, which may run in another zone or
	// cell.
	LocationInDoubt bool

	NeverRan       bool
	Outcome        Outcome
	Answer         []byte
	Batch          *Batch
	Sent           *Batch
	To             string
	Token          uint64
	Incarnation    uint64
	Deadline       float64
	KeyRetentionMS float64 // as in Settings
	Members        []placement.Member
	Table          *placement.Table
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// The kinds of effects. The comments name the event that an effect responds to, or the fields that it sets besides ID.
const (
	Suspend          EffectKind = iota // RequestArriving: the request waits for Resume or AnswerSuspended
	Admit                              // RequestArriving: the request is dispatched at once
	Resume                             // a suspended request is dispatched with Prior; Blocked: without attempts
	AnswerSuspended                    // a suspended request is answered: Outcome, Answer, AfterMS
	HoldAttempt                        // AttemptStarting: the attempt waits for ReleaseAttempt or FailAttempt
	BlockAttempt                       // AttemptStarting: neither this attempt nor another one may be sent
	PostponeAttempt                    // AttemptStarting: the attempt must not be sent now; another one may be later
	ReleaseAttempt                     // the held Attempt may be sent
	FailAttempt                        // the held Attempt must not be sent
	WithholdAnswer                     // RequestEnding: the answer waits for DeliverAnswer
	FailAnswer                         // RequestEnding: there is no time to withhold the answer, so a failure replaces it
	DeliverAnswer                      // a request with a withheld answer is answered: Outcome, Answer
	Adopt                              // the request in Copy is dispatched here with Prior
	CancelLocal                        // the request ended elsewhere, so its execution here stops
	SendBatch                          // Batch is sent to member To; BatchAnswered brings the reply
	ReplyBatch                         // Batch is the reply to BatchReceived with Token
	ReplyOutcome                       // the reply to OutcomeQueried with Token: Outcome, Answer, AfterMS, Owner
	Propose                            // the consensus group is asked to agree on Proposal: Claim, Version
	RefreshPlacement                   // the agreed table is out of date here and must be fetched
	PersistCopy                        // replicas that use a disk write Copy under Key; a nil Copy: they delete it
	LogMessage                         // Text is logged for the operators, with ID and Count
)

var effectKindNames = [...]string{"Suspend", "Admit", "Resume", "AnswerSuspended", "HoldAttempt", "BlockAttempt",
	"PostponeAttempt", "ReleaseAttempt", "FailAttempt", "WithholdAnswer", "FailAnswer", "DeliverAnswer", "Adopt",
	"CancelLocal", "SendBatch", "ReplyBatch", "ReplyOutcome", "Propose", "RefreshPlacement", "PersistCopy", "LogMessage"}

// String returns the name of the kind.
func (k EffectKind) String() string { return effectKindNames[k] }

// Effect is one action that a Manager asks its caller for. The caller carries effects out in the order given. Only the
// fields of the effect's kind are set.
type Effect struct {
	Kind     EffectKind
	ID       string
	Attempt  int
	Prior    scheduler.PriorAttempt
	Blocked  bool
	Outcome  Outcome
	Answer   []byte
	AfterMS  float64 // AnswerSuspended: the Retry-After of a rejection; ReplyOutcome: the time since the first attempt
	Copy     *Copy
	Key      Key
	To       string
	Batch    *Batch
	Token    uint64
	Proposal ProposalKind
	Claim    placement.AdoptionClaim
	Version  uint64 // Propose: of the table that the proposal is based on; PersistCopy: the copy's expiry in ms
	Owner    string
	Text     string
	Count    int
}
