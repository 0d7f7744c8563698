package consensus

import (
	"hash/fnv"

	"go.etcd.io/raft/v3/raftpb"
)

// NodeID returns the Raft ID of a member with the given data folder. A member that has lost its data folder gets
// another ID: it no longer knows how it voted and might otherwise vote twice in a term.
func NodeID(name, folder string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\x00" + folder))
	return max(1, h.Sum64())
}

// Observation is the state of a member according to the membership view.
type Observation struct {
	Name           string
	Incarnation    uint64
	Alive          bool
	LeftGracefully bool
	Address        string
	Zone           string
	CanVote        bool // it has a data folder for the group
	Duplicated     bool // two processes use its name; neither is admitted
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	// Ticked is the event for the time that Next returned.
	Ticked EventKind = iota
	// MessageReceived carries the Raft message Data from the voter Name.
	MessageReceived
	// Stored reports that the Persist effect with this Token is durable, or has Failed.
	Stored
	// LeaseRequested carries a lease request of the member Name with its Incarnation, or the release of its lease if
	// Release is set. The reply is a ReplyLease effect with the same Token.
	LeaseRequested
	// LeaseReplied carries the Reply to the RequestLease effect with this Token, or reports that the request has
	// Failed.
	LeaseReplied
	// HelloReceived carries the Hello of a member, which answers a RequestHello effect.
	HelloReceived
	// IncarnationChanged reports that this controller continues under another Incarnation.
	IncarnationChanged
	// LeaseReleased reports that this controller is about to release its lease. From then on LeaseHeld reports false.
	LeaseReleased
	// VoterReplacementRequested carries an operator's request to replace the voter Name by the member To.
	VoterReplacementRequested
	// ProposalReceived carries the entry Data that a member proposes. Its effect shows in the record.
	ProposalReceived
)

// Event is an input of a Group. Which fields are set depends on the kind.
type Event struct {
	Kind        EventKind
	Data        []byte
	Token       uint64
	Failed      bool
	Name        string
	To          string
	Incarnation uint64
	Release     bool
	Reply       LeaseReply
	Hello       Hello
}

// Hello describes a member to another one during the formation of the group and the replacement of voters.
type Hello struct {
	Name     string  `json:"Name"`
	Folder   string  `json:"Folder"`   // ID of its data folder; empty: it has none
	ID       uint64  `json:"ID"`       // its NodeID
	Founders []Voter `json:"Founding"` // founders of the existing group, if it knows one
	Voter    bool    `json:"Voter"`    // whether its ID is a voter of the group

	// GroupKnown tells that it has heard of an existing group, even if it does not know its founders.
	GroupKnown bool `json:"GroupKnown,omitempty"`
}

// Verdict is the outcome of a lease request.
type Verdict uint8

// Verdicts on a lease request. The numbers are part of the wire format.
const (
	// Granted is the verdict on a lease that was granted, and on the release of a lease if the leader has accepted it.
	Granted Verdict = 0
	// NotLeader is the verdict of a member that does not lead the group.
	NotLeader Verdict = 1
	// NotAdmitted is the verdict on an incarnation that is not in the record yet.
	NotAdmitted Verdict = 2
	// IncarnationLost is the verdict on an incarnation that has been declared lost. Only a later one may request a
	// lease.
	IncarnationLost Verdict = 3
)

// LeaseReply answers a lease request.
type LeaseReply struct {
	Verdict       Verdict `json:"Verdict"`
	Leader        string  `json:"Leader"` // the leader, if known
	Term          uint64  `json:"Term"`   // Member.Term of the requesting member
	PlacementStep uint64  `json:"Step"`   // step of the leader's placement table
	PlanNumber    uint64  `json:"Number"` // number of the plan in force when the lease was granted
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Kinds of effects.
const (
	// Persist has the caller make Entries, State and Snapshot durable and then report Stored with the Token, unless it
	// is 0.
	Persist EffectKind = iota
	// SendMessage has the caller send the Raft message Data to the voter To.
	SendMessage
	// RequestLease has the caller send a lease request to the member To. A LeaseReplied event follows.
	RequestLease
	// ReplyLease has the caller answer the LeaseRequested event with this Token by Reply.
	ReplyLease
	// RequestHello has the caller request the Hello of the member To. A HelloReceived event follows.
	RequestHello
	// MemberLost reports that Name's Incarnation has been declared lost, in Term. Each member that replicates the
	// record emits it once. Reason is empty unless the member shut down gracefully.
	MemberLost
	// MemberAdmitted reports that Name's Incarnation has been admitted, in Term.
	MemberAdmitted
	// LeaseChanged reports whether this controller's lease is now Held.
	LeaseChanged
	// IncarnationRevoked reports that this incarnation has been declared lost. The controller has to continue under a
	// later one.
	IncarnationRevoked
	// LeaderChanged reports the new leader Name, which is empty if there is none.
	LeaderChanged
	// GroupFormed reports that the founders have formed the group.
	GroupFormed
	// PlacementChanged reports that the placement table, or the set of lost members, has changed.
	PlacementChanged
	// PlanChanged reports that the plan or the orders have changed.
	PlanChanged
	// PlanConfirmed reports that PlanNumber was the plan in force at some time after InForceAfter, by this controller's
	// clock.
	PlanConfirmed
	// LossProposed reports that the leader has proposed to declare Name's Incarnation lost.
	LossProposed
	// VoterFailed reports that this voter cannot continue, for Reason.
	VoterFailed
)

// Effect is an output of a Group: an action for the caller, or a notification. Which fields are set depends on the
// kind.
type Effect struct {
	Kind         EffectKind
	To           string
	Data         []byte
	Token        uint64
	Name         string
	Incarnation  uint64
	Term         uint64
	Reply        LeaseReply
	Held         bool
	Reason       string
	PlanNumber   uint64
	InForceAfter float64
	Entries      []*raftpb.Entry
	State        *raftpb.HardState
	Snapshot     *raftpb.Snapshot
}

// PersistedState is the Raft state that a voter recovers from its disk at a start.
type PersistedState struct {
	Entries  []*raftpb.Entry
	State    *raftpb.HardState
	Snapshot *raftpb.Snapshot
}

// Status describes a member's state in the group at one point in time.
type Status struct {
	Voter, Formed, Failed bool    // whether it votes, whether it knows a formed group, whether its voter has failed
	Leader                string  // name of the presumed leader, or ""
	Term, Commit, Applied uint64  // Raft term, and indexes of the last committed and the last applied log entry
	LogEntries            uint64  // number of entries in the Raft log
	LeaseHeld             bool    // whether this controller holds its lease
	LeaseLeftMS           float64 // time until the lease expires
	Record                Record
}
