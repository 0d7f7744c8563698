package consensus

import (
	"hash/fnv"

	"go.etcd.io/raft/v3/raftpb"
)

// NodeID returns the Raft ID of a member that votes with a data folder. A member that has lost its folder gets another ID, so that
// nobody votes twice who has forgotten how it voted.
func NodeID(name, folder string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\x00" + folder))
	return max(1, h.Sum64())
}

// Observation is a member as the membership view sees it.
type Observation struct {
	Name           string
	Incarnation    uint64
	Alive          bool
	LeftGracefully bool
	Address        string
	Zone           string
	CanVote        bool // it has a disk for the group
	Duplicated     bool // two processes have its name; neither is admitted
}

// EventKind is the kind of an Event.
type EventKind uint8

// Events.
const (
	Ticked             EventKind = iota // the time that Next returned has come
	MessageReceived                     // a Raft message Data from the voter Name
	Stored                              // the Persist effect with this Token is durable, or Failed
	LeaseRequested                      // the member Name with its Incarnation requests a lease, or gives one back if Release is set
	LeaseReplied                        // the answer to a RequestLease effect: Reply, or Failed
	HelloReceived                       // the answer to a SendHello effect
	IncarnationChanged                  // this controller goes on under another Incarnation
	LeaseReturned                       // this controller is about to give its lease back and stops acting on it
	VoterMoveRequested                  // an operator wants the voter Name replaced by To
	ProposalReceived                    // a member proposes the entry Data; the result shows in the record
)

// Event is an input of a Group.
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

// Hello is what a member tells of itself during formation and voter replacement.
type Hello struct {
	Name     string  `json:"Name"`
	Folder   string  `json:"Folder"` // empty: it has no disk for the group
	ID       uint64  `json:"ID"`
	Founders []Voter `json:"Founding"` // of the group that it knows, if any
	Voter    bool    `json:"Voter"`    // whether its ID is a voter of the group
}

// Verdict is the outcome of a lease request.
type Verdict uint8

// Verdicts. The numbers are part of the wire format.
const (
	Granted         Verdict = 0
	NotLeader       Verdict = 1
	NotAdmitted     Verdict = 2 // the incarnation is not in the record yet
	IncarnationLost Verdict = 3 // the incarnation has been declared lost; only a later one may request again
)

// LeaseReply answers a lease request.
type LeaseReply struct {
	Verdict       Verdict `json:"Verdict"`
	Leader        string  `json:"Leader"` // whom to ask next, if known
	Term          uint64  `json:"Term"`   // of the member's name
	PlacementStep uint64  `json:"Step"`   // of the placement table
	PlanNumber    uint64  `json:"Number"` // of the plan that was in force after the request
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Effects.
const (
	Persist            EffectKind = iota // make Entries, State and Snapshot durable, then report Stored with the Token, unless it is 0
	SendMessage                          // send the Raft message Data to the voter To
	RequestLease                         // request a lease from the member To; LeaseReplied follows
	ReplyLease                           // answer the LeaseRequested event with this Token by Reply
	SendHello                            // ask the member To for its Hello; HelloReceived follows
	MemberLost                           // Name's Incarnation has been declared lost, in Term; every member with the record reports it once
	MemberAdmitted                       // Name's Incarnation has been admitted, in Term
	LeaseChanged                         // this controller's lease was obtained or has expired: Held
	IncarnationRevoked                   // this incarnation has been declared lost; the controller has to go on under another
	LeaderChanged                        // the leader is now Name, or nobody
	GroupFormed                          // the founders have formed the group
	PlacementChanged                     // the placement table, or which members are lost, has changed
	PlanChanged                          // the plan or the orders have changed
	PlanConfirmed                        // the plan with this Number was in force after the time At, by this controller's clock
	LossProposed                         // the leader has proposed that Name's Incarnation be declared lost
	VoterFailed                          // this voter can't go on, for Reason
)

// Effect is an output of a Group: an action for the caller, or a notification.
type Effect struct {
	Kind        EffectKind
	To          string
	Data        []byte
	Token       uint64
	Name        string
	Incarnation uint64
	Term        uint64
	Reply       LeaseReply
	Held        bool
	Reason      string
	Number      uint64
	At          float64
	Entries     []*raftpb.Entry
	State       *raftpb.HardState
	Snapshot    *raftpb.Snapshot
}

// PersistedState is what a voter reads from its disk at a start.
type PersistedState struct {
	Entries  []*raftpb.Entry
	State    *raftpb.HardState
	Snapshot *raftpb.Snapshot
}

// Status describes how a member stands to the group.
type Status struct {
	Voter, Formed, Failed bool
	Leader                string
	Term, Commit, Applied uint64
	LogEntries            uint64 // entries in the log
	LeaseHeld             bool
	LeaseLeftMS           float64
	Record                Record
}
