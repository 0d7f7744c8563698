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

// Part is which part of all work it belongs to.
func (k Key) Part() int { return int(k[0]) % placement.Parts }

// Member is one life of a controller.
type Member struct {
	Name string
	Life uint64
}

// Outcome is what became of a search.
type Outcome uint8

// The outcomes. Their numbers go to disks and over the wire: they do not change.
const (
	Open       Outcome = 0
	Handled    Outcome = 1
	Denied     Outcome = 2
	WrittenOff Outcome = 3
	Left       Outcome = 4
	Withdrawn  Outcome = 5 // it was never more than asked for
	Unknown    Outcome = 6
)

var outcomeNames = [...]string{"open", "handled", "denied", "written_off", "left", "withdrawn", "unknown"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Standing is whether a search may have run.
type Standing uint8

// The standings. Their numbers go to disks and over the wire: they do not change.
const (
	Clear Standing = 0 // no shot of it can have run
	Doubt Standing = 1 // one may have
	Ran   Standing = 2 // it was handled
)

// Work is what somebody needs to go on with a search.
type Work struct {
	ID, Mark, Offering, Order, Team, Schema string
	Group                                   uint64
	NeedMB, WorkMS                          float64
	Body                                    []byte
}

// Copy is what is known of a search. Times are by the clock of the one that holds it.
type Copy struct {
	Work
	Owner    Member
	Number   uint64 // of the owner's word; grows from owner to owner, too
	Outcome  Outcome
	Standing Standing
	First    float64 // of the first shot that may have run
	Place    string  // where that went
	Cell     int64
	Until    float64 // its hard limit
	Answer   []byte  // nil: it was not kept
	Whole    bool    // Work is there
	Sure     bool    // its owner has gone on with it
	Light    bool    // it may simply run again: nobody waits for its copies
}

// EventKind tells what an Event reports.
type EventKind uint8

// The events.
const (
	Seated   EventKind = iota // Places and Table are what is agreed now
	Arrives                   // a search came in: Copy has its Work and Until
	Gone                      // the client of one that arrived and is not yet with the module has left
	Firing                    // a shot of it is about to be made: Shot, Place, Cell
	ShotOver                  // a shot has its outcome; Unrun: it never ran
	Ending                    // it is about to be answered: Outcome, Answer
	Closed                    // it has its final answer
	Words                     // Batch came from another member; Token goes back with the answer
	Answers                   // Batch came back from the member To; nil: that did not answer
	Asked                     // what became of an id (ID) or a mark (Mark); Token goes back
	Read                      // Copy was on this holder's disk; its First and Until are as they were written
	Ticked                    // each 100 ms
	Leaving                   // a planned stop has begun
	Relived                   // this controller goes on under another Life
	Released                  // an operator gives ID up
	Wanted                    // an operator wants this controller to take over what is unclaimed of ID, a member
)

// Event is one thing that the estate hears. Only the fields of its kind are set.
type Event struct {
	Kind    EventKind
	Held    bool // this controller holds its lease at this moment
	ID      string
	Mark    string
	Copy    *Copy
	Shot    int
	Place   string
	Cell    int64
	Unrun   bool
	Outcome Outcome
	Answer  []byte
	Batch   *Batch
	Sent    *Batch // Answers: to what
	To      string
	Token   uint64
	Life    uint64
	Places  []placement.Place
	Table   *placement.Table
}

// EffectKind tells what an Effect asks for.
type EffectKind uint8

// The effects.
const (
	Await    EffectKind = iota // Arrives: it stays out of the module until Resume or Settle
	Admit                      // Arrives: it goes on as it is
	Resume                     // ID goes on, with Prior; Barred: nothing may be sent for it
	Settle                     // ID is answered: Outcome, Answer, AfterMS
	Hold                       // Firing: the shot leaves only at Release
	Forbid                     // Firing: it must not leave
	Release                    // Shot of ID leaves, as far as this goes
	Withhold                   // Shot of ID must not leave
	KeepBack                   // Ending: the answer waits for LetGo
	LetGo                      // ID is answered: Outcome, Answer
	Adopt                      // Copy goes to the module, with Prior
	Recall                     // ID has been settled elsewhere: whoever works on it here stops
	Say                        // Batch goes to the member To; Answers brings what comes back
	Answer                     // Batch goes back under Token
	Reply                      // Asked: Outcome, Answer, Owner of what was asked for under Token
	Move                       // the council is to agree: Kind of motion, Claim, Version
	Refresh                    // the table has changed: it is to be asked for
	Keep                       // Key's Copy is to last, on a holder that keeps copies on disk; nil: it goes
	Note                       // Text is for the operators
)

// Effect is one thing that the estate wants done, in the order given.
type Effect struct {
	Kind    EffectKind
	ID      string
	Shot    int
	Prior   scheduler.Prior
	Barred  bool
	Outcome Outcome
	Answer  []byte
	AfterMS float64
	Copy    *Copy
	Key     Key
	To      string
	Batch   *Batch
	Token   uint64
	Motion  string
	Claim   placement.Claim
	Version uint64
	Owner   string
	Text    string
	Count   int
}

// Op is what an item says.
type Op uint8

// The ops. The first eight are words to a chair, the rest its answers. Their numbers go over the wire: they do not change.
const (
	Register Op = 1 // Copy is open, its owner says
	Shoot    Op = 2 // a shot may have run, or none can have
	Close    Op = 3 // it has ended
	Withdraw Op = 4 // it was asked for and not had
	Take     Op = 5 // Copy is adopted by the sender from From; More: a quorum knows of it already
	Ask      Op = 6 // what is known of Key
	Pull     Op = 7 // what is kept of Part behind After; From: only what that one owns, and open
	Mind     Op = 8 // ID stands for Key, whose mark this is; nobody waits for it

	Kept    Op = 9  // it is kept; of what was before: Standing, First, Place, Cell, Number
	Known   Op = 10 // another has it, or it has ended: Copy, without its work
	None    Op = 11 // nothing is known
	Lacking Op = 12 // the whole copy is needed
	Higher  Op = 13 // its Number must be above this one
	Refused Op = 14 // not here, not now, or not by this sender: Why
	Page    Op = 15 // copies of Part, in Item.Copies; More: there are more behind After
)

// Item is one thing that is said.
type Item struct {
	Op       Op
	Key      Key
	Number   uint64
	Copy     *Copy
	Standing Standing
	First    float64
	Place    string
	Cell     int64
	Outcome  Outcome
	Answer   []byte
	From     Member
	Part     int
	After    Key
	More     bool
	Why      string
	Copies   []Copy
}

// Batch is what goes from one member to another, or back.
type Batch struct {
	From    Member
	Version uint64 // of the table that it rests on
	Step    uint64 // the least that the other must know
	Behind  bool   // back: the table here is older or newer; nothing was done
	Items   []Item
}

// Counts are what the estate counts. Held = Settled + Adopted + WrittenOff + Dropped + Open.
type Counts struct {
	Held, Settled, Adopted, Failed, Dropped, Open uint64 // copies here, by what became of them
	Registered, Waited, Told, Refused, Withheld   uint64 // searches of one's own clients
	Claims, Taken, TakenDone, Late                uint64 // what this one inherited
	Alone                                         uint64 // shots that left without the others
	Words, Lost, Pulled                           uint64
	Copies, Mine, Waiting                         int
}
