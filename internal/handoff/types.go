// Package handoff decides what becomes of open requests when the controller that owns them is lost: which replicas store copies of them,
// what a quorum must know before an attempt may leave, which successor adopts them once their owner is declared lost, and what a client is
// answered that comes again elsewhere.
//
// Events and a time go in, effects come out. The package owns no socket, disk, clock or goroutine, and it chooses no executor: an adopted
// request goes to the decision module like any other, with what may have run of it.
//
// What may happen only once rests on the agreed table of replicas (package placement) and on the lease of the consensus group. Nothing here
// may rest on the membership view.
package handoff

import (
	"crypto/sha256"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

// Key identifies a request among all controllers: by its idempotency key, else by its id.
type Key [16]byte

// KeyOf returns the key of a request.
func KeyOf(idempotencyKey, id string) (k Key) {
	text := "s" + id
	if idempotencyKey != "" {
		text = "m" + idempotencyKey
	}
	sum := sha256.Sum256([]byte(text))
	copy(k[:], sum[:])
	return k
}

// Partition returns the partition that a key belongs to.
func (k Key) Partition() int { return int(k[0]) % placement.PartitionCount }

// Member is one incarnation of a controller.
type Member struct {
	Name        string
	Incarnation uint64
}

// Outcome is what became of a request.
type Outcome uint8

// The outcomes. Their numbers go to disks and over the wire: they do not change.
const (
	Open      Outcome = 0
	Succeeded Outcome = 1
	Rejected  Outcome = 2
	Failed    Outcome = 3
	Abandoned Outcome = 4
	Withdrawn Outcome = 5 // it was registered and never carried out
	Unknown   Outcome = 6
)

// The names go to clients: they do not change.
var outcomeNames = [...]string{"open", "handled", "denied", "written_off", "left", "withdrawn", "unknown"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// RunState is whether a request may have run.
type RunState uint8

// The run states. Their numbers go to disks and over the wire: they do not change.
const (
	NotRun     RunState = 0 // no attempt can have run
	MayHaveRun RunState = 1 // an attempt may have run
	Ran        RunState = 2 // it succeeded
)

var runStateNames = [...]string{"not run", "may have run", "ran"}

// String returns the name of the run state.
func (s RunState) String() string { return runStateNames[s] }

// RequestData is what a successor needs to go on with a request.
type RequestData struct {
	ID, IdempotencyKey, Class, OrderKey, Team, Schema string
	TableGroup                                        uint64
	MemoryMB, WorkMS                                  float64
	Body                                              []byte
}

// Copy is what is known of a request. Times are by the clock of the controller that has it.
type Copy struct {
	RequestData
	Owner          Member
	Sequence       uint64 // of the owner's latest message; it grows from owner to owner, too
	Outcome        Outcome
	RunState       RunState
	FirstAttemptAt float64 // of the first attempt that may have run
	Zone           string  // where that went
	Cell           int64
	Deadline       float64
	Answer         []byte // nil: it was not copied
	Complete       bool   // RequestData is there
	Confirmed      bool   // its owner has gone on with it
	Idempotent     bool   // it may simply run again: nothing waits for its copies
}

// attemptState is what is known of the first attempt that may have run.
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

// The kinds of events.
const (
	PlacementChanged   EventKind = iota // Members and Table are agreed
	RequestArriving                     // a request arrived: Copy has its RequestData and Deadline
	ClientLeft                          // the client of a suspended request has left
	AttemptStarting                     // an attempt is about to be made: Attempt, Zone, Cell
	AttemptEnded                        // an attempt has ended; NeverRan: it cannot have run
	RequestEnding                       // a request is about to be answered: Outcome, Answer
	RequestClosed                       // a request has its final outcome
	BatchReceived                       // Batch came from another member; Token goes back with the reply
	BatchAnswered                       // Batch came back from the member To, in reply to Sent; nil: there was no reply
	OutcomeQueried                      // a client asks for the outcome of ID or IdempotencyKey; Token goes back with the reply
	CopyRestored                        // Copy was on this replica's disk, with its times as they were written
	Ticked                              // every 100 ms
	ShutdownStarted                     // a graceful shutdown has begun
	IncarnationChanged                  // this controller goes on as another Incarnation
	ReleaseRequested                    // an operator gives up the orphaned request ID
	AdoptionRequested                   // an operator wants this controller to claim what the member ID left
)

var eventKindNames = [...]string{"PlacementChanged", "RequestArriving", "ClientLeft", "AttemptStarting", "AttemptEnded", "RequestEnding",
	"RequestClosed", "BatchReceived", "BatchAnswered", "OutcomeQueried", "CopyRestored", "Ticked", "ShutdownStarted", "IncarnationChanged",
	"ReleaseRequested", "AdoptionRequested"}

// String returns the name of the kind.
func (k EventKind) String() string { return eventKindNames[k] }

// Event is one input of a Manager. Only the fields of its kind are set.
type Event struct {
	Kind           EventKind
	LeaseHeld      bool // this controller holds its lease at this moment
	ID             string
	IdempotencyKey string
	Copy           *Copy
	Attempt        int
	Zone           string
	Cell           int64
	NeverRan       bool
	Outcome        Outcome
	Answer         []byte
	Batch          *Batch
	Sent           *Batch
	To             string
	Token          uint64
	Incarnation    uint64
	Members        []placement.Member
	Table          *placement.Table
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// The kinds of effects.
const (
	Suspend          EffectKind = iota // RequestArriving: the request waits for Resume or AnswerSuspended
	Admit                              // RequestArriving: the request goes on
	Resume                             // ID goes on, with Prior; Blocked: no attempt may be made for it
	AnswerSuspended                    // ID is answered: Outcome, Answer, AfterMS
	HoldAttempt                        // AttemptStarting: the attempt waits for ReleaseAttempt or FailAttempt
	BlockAttempt                       // AttemptStarting: the attempt must not leave
	ReleaseAttempt                     // Attempt of ID may leave
	FailAttempt                        // Attempt of ID must not leave
	WithholdAnswer                     // RequestEnding: the answer waits for DeliverAnswer
	DeliverAnswer                      // ID is answered: Outcome, Answer
	Adopt                              // Copy goes to the decision module, with Prior
	CancelLocal                        // ID has ended elsewhere: whatever is done for it here stops
	SendBatch                          // Batch goes to the member To; BatchAnswered brings the reply
	ReplyBatch                         // Batch goes back under Token
	ReplyOutcome                       // the reply to OutcomeQueried under Token: Outcome, Answer, AfterMS, Owner
	Propose                            // the consensus group is asked to agree: Proposal, Claim, Version
	RefreshPlacement                   // the agreed table has changed: it is to be fetched
	PersistCopy                        // Copy of Key goes to disk, on replicas that do so; nil: it is deleted
	LogMessage                         // Text is for the operators
)

var effectKindNames = [...]string{"Suspend", "Admit", "Resume", "AnswerSuspended", "HoldAttempt", "BlockAttempt", "ReleaseAttempt",
	"FailAttempt", "WithholdAnswer", "DeliverAnswer", "Adopt", "CancelLocal", "SendBatch", "ReplyBatch", "ReplyOutcome", "Propose",
	"RefreshPlacement", "PersistCopy", "LogMessage"}

// String returns the name of the kind.
func (k EffectKind) String() string { return effectKindNames[k] }

// Effect is one thing that a Manager wants done. Effects are carried out in the order given; only the fields of the kind are set.
type Effect struct {
	Kind     EffectKind
	ID       string
	Attempt  int
	Prior    scheduler.PriorAttempt
	Blocked  bool
	Outcome  Outcome
	Answer   []byte
	AfterMS  float64
	Copy     *Copy
	Key      Key
	To       string
	Batch    *Batch
	Token    uint64
	Proposal ProposalKind
	Claim    placement.AdoptionClaim
	Version  uint64
	Owner    string
	Text     string
	Count    int
}
