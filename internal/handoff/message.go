package handoff

import "fmt"

// Op is the kind of an Item.
type Op uint8

// The ops. Their numbers go over the wire: they do not change. The first eight are messages to a replica.
const (
	OpRegister Op = 1 // its owner has Copy open
	OpAttempt  Op = 2 // an attempt may have run, or none can have
	OpClose    Op = 3 // the request has ended
	OpWithdraw Op = 4 // the message of this Sequence is taken back
	OpAdopt    Op = 5 // the sender adopts Copy from the lost owner From; More: a quorum knows of it already
	OpQuery    Op = 6 // asks for what is known of Key
	OpFetch    Op = 7 // asks for the copies of Partition after the key After; with From: only that owner's open ones
	OpMapID    Op = 8 // the id of Copy stands for its idempotency key; nothing waits for it

	OpStored     Op = 9  // stored; with the attempts of an earlier request of the key
	OpKnown      Op = 10 // another owner has it, or it has ended: Copy, without its body
	OpUnknown    Op = 11 // nothing is known
	OpNeedCopy   Op = 12 // the whole copy is needed
	OpNeedHigher Op = 13 // the sequence must be above Sequence
	OpRefused    Op = 14 // not here, not now, or not from this sender: Reason
	OpPage       Op = 15 // Copies of Partition; More: there are more after the key After
)

var opNames = [...]string{OpRegister: "register", OpAttempt: "attempt", OpClose: "close", OpWithdraw: "withdraw", OpAdopt: "adopt",
	OpQuery: "query", OpFetch: "fetch", OpMapID: "map id", OpStored: "stored", OpKnown: "known", OpUnknown: "unknown",
	OpNeedCopy: "need copy", OpNeedHigher: "need higher", OpRefused: "refused", OpPage: "page"}

// String returns the name of the op; peers of other versions may send ops that have none here.
func (o Op) String() string {
	if int(o) < len(opNames) && opNames[o] != "" {
		return opNames[o]
	}
	return fmt.Sprintf("op %d", uint8(o))
}

// Item is one message, or the reply to one.
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

func (it *Item) attempt() attemptState {
	return attemptState{it.RunState, it.FirstAttemptAt, it.Zone, it.Cell}
}

func (it *Item) setAttempt(a attemptState) {
	it.RunState, it.FirstAttemptAt, it.Zone, it.Cell = a.runState, a.firstAt, a.zone, a.cell
}

// Batch is what one member sends another, or replies.
type Batch struct {
	From           Member
	Version        uint64 // of the table that it rests on
	PlacementStep  uint64 // the least that the receiver must know
	StalePlacement bool   // reply: the table here is older or newer, and nothing was done
	Items          []Item
}

// Counts are the counters of a Manager. CopiesReceived = Settled + Adopted + Failed + Dropped + Open.
type Counts struct {
	CopiesReceived, Settled, Adopted, Failed, Dropped, Open        uint64 // copies stored here, by what became of them
	Registered, Waited, AnsweredFromCopy, Refused, Withheld        uint64 // requests of this controller's own clients
	AdoptionClaims, AdoptionsStarted, AdoptionsDone, AdoptionsLate uint64
	AttemptsUnreplicated                                           uint64 // attempts that left without any replica
	MessagesSent, MessagesLost, CopiesFetched                      uint64
	CopiesStored, OwnedRequests, SuspendedRequests                 int
}
