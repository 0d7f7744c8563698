package handoff

import "fmt"

// Op is the operation of an Item: a message to a replica, or a kind of reply.
type Op uint8

// The messages to a replica. The numbers of all ops are part of the wire format and must not change.
const (
	OpRegister Op = 1 // the owner registers its open request Copy
	OpAttempt  Op = 2 // the owner reports that an attempt may have run, or that none can have
	OpClose    Op = 3 // the request has ended: Outcome, Answer
	OpWithdraw Op = 4 // the owner withdraws the registration or adoption with this Sequence
	OpAdopt    Op = 5 // the sender adopts Copy from the lost owner From; More: a quorum has recorded that already
	OpQuery    Op = 6 // asks for what is known of Key
	OpFetch    Op = 7 // asks for the copies of Partition after the key After; with From: only that owner's open ones
	OpMapID    Op = 8 // maps the id of Copy to its idempotency key; best effort, the reply is ignored
)

// The replies of a replica.
const (
	OpStored     Op = 9  // the message is applied; with the attempts of an earlier request with the same key
	OpKnown      Op = 10 // the request has another owner or has ended: Copy, without its body
	OpUnknown    Op = 11 // nothing is known of Key
	OpNeedCopy   Op = 12 // the replica has no copy to apply the message to and needs a complete one
	OpNeedHigher Op = 13 // the message needs a sequence above Sequence
	OpRefused    Op = 14 // the message is not accepted from this sender, or not by this replica at this time: Reason
	OpPage       Op = 15 // Copies of Partition; More: further ones follow after the key After
)

var opNames = [...]string{
	OpRegister:   "register",
	OpAttempt:    "attempt",
	OpClose:      "close",
	OpWithdraw:   "withdraw",
	OpAdopt:      "adopt",
	OpQuery:      "query",
	OpFetch:      "fetch",
	OpMapID:      "map id",
	OpStored:     "stored",
	OpKnown:      "known",
	OpUnknown:    "unknown",
	OpNeedCopy:   "need copy",
	OpNeedHigher: "need higher",
	OpRefused:    "refused",
	OpPage:       "page",
}

// String returns the name of the op, or its number if it has no name here: peers of other versions may know further
// ops.
func (o Op) String() string {
	if int(o) < len(opNames) && opNames[o] != "" {
		return opNames[o]
	}
	return fmt.Sprintf("op %d", uint8(o))
}

// Item is one message of a batch, or the reply to one. Only the fields of its Op are set.
type Item struct {
	Op             Op
	Key            Key
	Sequence       uint64 // of the owner's messages on a request
	Copy           *Copy
	RunState       RunState
	FirstAttemptAt float64 // of the first attempt that may have run
	Zone           string  // of that attempt
	Cell           int64   // of that attempt
	Outcome        Outcome
	Answer         []byte
	From           Member // the owner; of OpAdopt and OpFetch, the lost owner
	Partition      int
	After          Key
	More           bool
	Reason         string // why a message is refused, or reasonNotReady
	Copies         []Copy
	BaseSequence   uint64  // of OpAdopt: the sequence of the copy that is adopted; 0: one below Sequence
	StoreUntil     float64 // time by the receiver's clock until which an attempt record may be stored; 0: no limit
}

// expired reports whether a message of a batch reached this replica too late to be stored.
func (item *Item) expired(now float64, batch *Batch) bool {
	if item.StoreUntil == 0 {
		return false
	}
	return now > item.StoreUntil || batch.StoreUntil != 0 && now > batch.StoreUntil
}

// attempt returns what the item says of the first attempt that may have run.
func (item *Item) attempt() attemptState {
	return attemptState{item.RunState, item.FirstAttemptAt, item.Zone, item.Cell}
}

// setAttempt sets what the item says of the first attempt that may have run.
func (item *Item) setAttempt(attempt attemptState) {
	item.RunState, item.FirstAttemptAt = attempt.runState, attempt.firstAt
	item.Zone, item.Cell = attempt.zone, attempt.cell
}

// Batch is a set of messages that one member sends to another, or the replies to them in the same order.
type Batch struct {
	From           Member
	Version        uint64 // of the placement table that the sender goes by
	PlacementStep  uint64 // the lowest table step that the receiver must know; in a reply, the replica's step
	StalePlacement bool   // in a reply: the two members know different placements, and no item was handled
	Items          []Item
	Clock          float64 // in a reply: the replica's clock, in ms
	StoreUntil     float64 // limits all attempt records with a StoreUntil, as that does; 0: no further limit

	sentAt float64 // when the Manager sent the batch, by its own clock
}

// SaysNothingRan reports whether the batch tells replicas that no attempt of a request can have run: the owner gave an
// attempt up, or rejected the request. They may have stored an earlier message that says otherwise.
func (b *Batch) SaysNothingRan() bool {
	for i := range b.Items {
		item := &b.Items[i]
		gaveUp := item.Op == OpAttempt || item.Op == OpClose && item.Outcome == Rejected
		if gaveUp && item.RunState == NotRun {
			return true
		}
	}
	return false
}

// Counts are the counters of a Manager. CopiesReceived = Settled + Adopted + Failed + Dropped + Open.
type Counts struct {
	// Copies stored here as a replica, by what became of them.
	CopiesReceived, Settled, Adopted, Failed, Dropped, Open uint64
	// Requests of this controller's own clients; the last field counts attempts that were not allowed to leave.
	Registered, Waited, AnsweredFromCopy, Refused, AttemptsWithheld uint64
	// Adoption: partitions claimed, requests adopted, adopted requests that ended, and successes that lost owners
	// reported late.
	AdoptionClaims, AdoptionsStarted, AdoptionsDone, LateSuccesses uint64
	// Attempts that left without any replica knowing of them.
	AttemptsUnreplicated uint64
	// Attempt records that reached this replica too late to be stored.
	RecordsExpired uint64
	// Messages sent to other members, batches without a reply, and copies taken over from other replicas.
	MessagesSent, MessagesLost, CopiesFetched uint64
	// Current numbers, not counted up.
	CopiesStored, OwnedRequests, SuspendedRequests int
}
