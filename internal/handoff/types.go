// Package handoff decides what becomes of open work when the controller that holds it is lost: who else keeps copies of it, what must
// stand with them before a shot may leave, who inherits when a life is declared lost, and what a client is told that comes again
// elsewhere. Events and a time go in, effects come out; it owns no socket, disk, clock or goroutine, and chooses no executor: what is
// adopted goes to the decision module like any other search, with what may have run of it.
//
// Two kinds of knowing are used. What may happen only once rests on the table of chairs that the council holds (package chairs) and on
// the lease that it grants; nothing here rests on the view.
package handoff

import (
	"crypto/sha256"

	"liftshift/internal/placement"
	"liftshift/scheduler"
)

const (
	registerMS   = 1000  // until a search that could not be registered is denied: two elections do not fit in, a stalled chair does
	holdMS       = 300   // a shot is held for the others at most: less than any grace after a drain is told
	leavesMS     = 600   // in which a shot that is made now has left: it is held, and its connection comes up
	againMS      = 120   // until a word that was not answered is said again
	askMS        = 150   // between two looks at a search that another has
	mostBack     = 8192  // words that are being taken back
	closeTries   = 40    // words of an end that is not answered
	sureMS       = 1000  // by which what is told as so many ms ago may be older: the longest way of a word
	stopMS       = 2000  // after which a controller that stops answers what still waits
	lastMS       = 60    // before its hard limit a search that still waits is answered
	gatherMS     = 1000  // for which an heir puts off adoption until it knows all of what it has claimed
	tellsMS      = 3000  // for which an heir's claim stays for those that have not heard yet what it took
	longAgo      = -1e12 // when what was read from a disk may have run
	claimMS      = 400   // until a motion that has not come into force is made again
	pageBytes    = 256 << 10
	pageItems    = 256
	mostPulls    = 8        // parts that are copied at a time
	adoptAgainMS = 1000     // between two looks at what of a claim is still to be adopted
	adoptAtOnce  = 64       // adopted searches in hand
	usualKept    = 200000   // copies, where nothing else is given
	mostBytes    = 64 << 20 // of works and answers that are kept: a part of a controller's memory
	usualAnswer  = 4096     // bytes of an answer that are kept
	usualMemory  = 600000   // ms that a mark is kept past its window
	lagMS        = 50       // a redoable search that takes longer is copied
	spreadMS     = 100      // by chance added to waits, so that two that want one mark do not go on in step
)

// Key names a search among all controllers: by its mark, else by its id.
type Key [16]byte

// KeyOf gives the key of a search.
func KeyOf(mark, id string) (k Key) {
	text := "s" + id
	if mark != "" {
		text = "m" + mark
	}
	sum := sha256.Sum256([]byte(text))
	copy(k[:], sum[:])
	return k
}

// Partition is which part of all work it belongs to.
func (k Key) Partition() int { return int(k[0]) % placement.PartitionCount }

// Member is one life of a controller.
type Member struct {
	Name        string
	Incarnation uint64
}

// Outcome is what became of a search.
type Outcome uint8

// The outcomes. Their numbers go to disks and over the wire: they do not change.
const (
	Open      Outcome = 0
	Succeeded Outcome = 1
	Rejected  Outcome = 2
	Failed    Outcome = 3
	Abandoned Outcome = 4
	Withdrawn Outcome = 5 // it was never more than asked for
	Unknown   Outcome = 6
)

var outcomeNames = [...]string{"open", "handled", "denied", "written_off", "left", "withdrawn", "unknown"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// RunState is whether a search may have run.
type RunState uint8

// The standings. Their numbers go to disks and over the wire: they do not change.
const (
	NotRun     RunState = 0 // no shot of it can have run
	MayHaveRun RunState = 1 // one may have
	Ran        RunState = 2 // it was handled
)

// RequestData is what somebody needs to go on with a search.
type RequestData struct {
	ID, IdempotencyKey, Class, OrderKey, Team, Schema string
	TableGroup                                        uint64
	MemoryMB, WorkMS                                  float64
	Body                                              []byte
}

// Copy is what is known of a search. Times are by the clock of the one that holds it.
type Copy struct {
	RequestData
	Owner          Member
	Sequence       uint64 // of the owner's word; grows from owner to owner, too
	Outcome        Outcome
	RunState       RunState
	FirstAttemptAt float64 // of the first shot that may have run
	Zone           string  // where that went
	Cell           int64
	Deadline       float64 // its hard limit
	Answer         []byte  // nil: it was not kept
	Complete       bool    // Work is there
	Confirmed      bool    // its owner has gone on with it
	Idempotent     bool    // it may simply run again: nobody waits for its copies
}

// EventKind tells what an Event reports.
type EventKind uint8

// The events.
const (
	PlacementChanged   EventKind = iota // Places and Table are what is agreed now
	RequestArriving                     // a search came in: Copy has its Work and Until
	ClientLeft                          // the client of one that arrived and is not yet with the module has left
	AttemptStarting                     // a shot of it is about to be made: Shot, Place, Cell
	AttemptEnded                        // a shot has its outcome; Unrun: it never ran
	RequestEnding                       // it is about to be answered: Outcome, Answer
	RequestClosed                       // it has its final answer
	BatchReceived                       // Batch came from another member; Token goes back with the answer
	BatchAnswered                       // Batch came back from the member To; nil: that did not answer
	OutcomeQueried                      // what became of an id (ID) or a mark (Mark); Token goes back
	CopyRestored                        // Copy was on this holder's disk; its First and Until are as they were written
	Ticked                              // each 100 ms
	ShutdownStarted                     // a planned stop has begun
	IncarnationChanged                  // this controller goes on under another Life
	ReleaseRequested                    // an operator gives ID up
	AdoptionRequested                   // an operator wants this controller to take over what is unclaimed of ID, a member
)

// Event is one thing that the estate hears. Only the fields of its kind are set.
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
	Sent           *Batch // BatchAnswered: to what
	To             string
	Token          uint64
	Incarnation    uint64
	Members        []placement.Member
	Table          *placement.Table
}

// EffectKind tells what an Effect asks for.
type EffectKind uint8

// The effects.
const (
	Suspend          EffectKind = iota // RequestArriving: it stays out of the module until Resume or Settle
	Admit                              // RequestArriving: it goes on as it is
	Resume                             // ID goes on, with Prior; Barred: nothing may be sent for it
	AnswerSuspended                    // ID is answered: Outcome, Answer, AfterMS
	HoldAttempt                        // AttemptStarting: the shot leaves only at Release
	BlockAttempt                       // AttemptStarting: it must not leave
	ReleaseAttempt                     // Shot of ID leaves, as far as this goes
	FailAttempt                        // Shot of ID must not leave
	WithholdAnswer                     // RequestEnding: the answer waits for LetGo
	DeliverAnswer                      // ID is answered: Outcome, Answer
	Adopt                              // Copy goes to the module, with Prior
	CancelLocal                        // ID has been settled elsewhere: whoever works on it here stops
	SendBatch                          // Batch goes to the member To; Answers brings what comes back
	ReplyBatch                         // Batch goes back under Token
	ReplyOutcome                       // OutcomeQueried: Outcome, Answer, Owner of what was asked for under Token
	Propose                            // the council is to agree: Kind of motion, Claim, Version
	RefreshPlacement                   // the table has changed: it is to be asked for
	PersistCopy                        // Key's Copy is to last, on a holder that keeps copies on disk; nil: it goes
	LogMessage                         // Text is for the operators
)

// Effect is one thing that the estate wants done, in the order given.
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
	Proposal string
	Claim    placement.AdoptionClaim
	Version  uint64
	Owner    string
	Text     string
	Count    int
}

// Op is what an item says.
type Op uint8

// The ops. The first eight are words to a chair, the rest its answers. Their numbers go over the wire: they do not change.
const (
	OpRegister Op = 1 // Copy is open, its owner says
	OpAttempt  Op = 2 // a shot may have run, or none can have
	OpClose    Op = 3 // it has ended
	OpWithdraw Op = 4 // it was asked for and not had
	OpAdopt    Op = 5 // Copy is adopted by the sender from From; More: a quorum knows of it already
	OpQuery    Op = 6 // what is known of Key
	OpFetch    Op = 7 // what is kept of Part behind After; From: only what that one owns, and open
	OpMapID    Op = 8 // ID stands for Key, whose mark this is; nobody waits for it

	OpStored     Op = 9  // it is kept; of what was before: Standing, First, Place, Cell, Number
	OpKnown      Op = 10 // another has it, or it has ended: Copy, without its work
	OpUnknown    Op = 11 // nothing is known
	OpNeedCopy   Op = 12 // the whole copy is needed
	OpNeedHigher Op = 13 // its Number must be above this one
	OpRefused    Op = 14 // not here, not now, or not by this sender: Why
	OpPage       Op = 15 // copies of Part, in Item.Copies; More: there are more behind After
)

// Item is one thing that is said.
type Item struct {
	Op             Op
	Key            Key
	Sequence       uint64
	Copy           *Copy
	RunState       RunState
	FirstAttemptAt float64
	Zone           string
	Cell           int64
	Outcome        Outcome
	Answer         []byte
	From           Member
	Partition      int
	After          Key
	More           bool
	Reason         string
	Copies         []Copy
}

// Batch is what goes from one member to another, or back.
type Batch struct {
	From           Member
	Version        uint64 // of the table that it rests on
	PlacementStep  uint64 // the least that the other must know
	StalePlacement bool   // back: the table here is older or newer; nothing was done
	Items          []Item
}

// Counts are what the estate counts. Held = Settled + Adopted + WrittenOff + Dropped + Open.
type Counts struct {
	CopiesReceived, Settled, Adopted, Failed, Dropped, Open        uint64 // copies here, by what became of them
	Registered, Waited, AnsweredFromCopy, Refused, Withheld        uint64 // searches of one's own clients
	AdoptionClaims, AdoptionsStarted, AdoptionsDone, AdoptionsLate uint64 // what this one inherited
	AttemptsUnreplicated                                           uint64 // shots that left without the others
	MessagesSent, MessagesLost, CopiesFetched                      uint64
	CopiesStored, OwnedRequests, SuspendedRequests                 int
}
