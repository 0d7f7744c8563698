// Package consensus is what the fleet agrees on, not merely hears: a replicated record, held by a few voters, of which life of which
// controller is in, and which is declared lost, in which term; and the leases that keep the two apart. Agreement is Raft's, by a
// library without I/O; the rules around it are here. The package owns no socket, disk, clock or goroutine.
//
// What it promises: a controller that acts only while Held says so has stopped, by its own clock, before the council declares its
// life lost, as long as clocks run apart by no more than drift and whatever stalls, dies or is cut off in between. The holder counts
// from when it asked, the granter from when it granted, which is later; a new leader, who does not know what the one before it
// granted, declares nobody lost until all that can have been granted is over.
package consensus

import (
	"encoding/json"
	"hash/fnv"
	"sort"

	"go.etcd.io/raft/v3/raftpb"

	"liftshift/internal/placement"
)

const (
	leaseMS    = 6000 // how long a controller may act without the council; two elections and a restart fit in
	declareMS  = 2000 // gone for so long before it is declared lost
	renewals   = 3    // askings in the time of a lease
	drift      = 2e-3 // by which two clocks may run apart, doubled for safety
	heartMS    = 100  // between heartbeats of the leader
	electMS    = 800  // without one until an election begins, at least: eight heartbeats
	answerMS   = 600  // until an asking counts as lost
	lookMS     = 200  // between the leader's looks at who is there
	helloMS    = 500  // between askings of the other founders
	replaceMS  = 15e3 // gone for so long before a voter is replaced: longer than a restart
	caughtUp   = 16   // entries that a newcomer may lack to be made a voter
	keepLog    = 512  // entries past which the log is made into a snapshot
	keepTail   = 64   // entries that are kept behind it, for those that are a little late
	mostIn     = 128  // lives proposed to be let in at a look: a fleet that starts at once does not fill the log
	mostOpen   = 1024 // askings for leases that wait at the leader
	mostKept   = 8192 // names in the record
	mostOrders = 64   // of operators
	mostPlan   = 1 << 20

	mostPlanText = 80 // bytes of what an order is about
	mostCallers  = 32 // voters that are remembered by number: seven, and those that were
)

// Member is one controller in the record.
type Member struct {
	Incarnation    uint64 `json:"Life"`
	Term           uint64 `json:"Term"` // of the name: grows with each life that is let in or declared lost
	Lost           bool   `json:"Lost"`
	LeftGracefully bool   `json:"Left"` // it stopped as planned
	Address        string `json:"Address"`
	Zone           string `json:"Zone"`
}

// Voter is one that votes, or is about to.
type Voter struct {
	ID   uint64 `json:"ID"`
	Name string `json:"Name"`
	Zone string `json:"Zone"`
}

// Record is what is agreed.
type Record struct {
	Members      map[string]Member          `json:"Places"`
	Voters       []Voter                    `json:"Voters"` // and those about to be
	Founders     []Voter                    `json:"Founding"`
	DeclaredLost uint64                     `json:"Declared"` // lives declared lost so far
	Placement    placement.Table            `json:"Chairs"`
	Plan         json.RawMessage            `json:"Plan,omitempty"`   // how far searches may go, as package zones has it; the council does not read it
	PlanNumber   uint64                     `json:"Number,omitempty"` // of the plan: each is one later than the one before
	Orders       map[string]json.RawMessage `json:"Orders,omitempty"` // of operators, by what they are about
}

// NodeID gives the number under which a member votes with a folder. Without that folder it votes under another, so that nobody
// votes twice who has forgotten how it voted.
func NodeID(name, folder string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\x00" + folder))
	return max(1, h.Sum64())
}

// Observation is a member as the view has it.
type Observation struct {
	Name           string
	Incarnation    uint64
	Alive          bool
	LeftGracefully bool
	Address        string
	Zone           string
	CanVote        bool // it has a disk for the council
	Duplicated     bool // two processes bear its name: neither is let in
}

// EventKind tells what an event is.
type EventKind uint8

// Events.
const (
	Ticked             EventKind = iota
	MessageReceived              // Data of the voter Name
	Stored                       // what Keep with this Token asked for lasts, or not: Failed
	LeaseRequested               // Name and Life ask for a lease, or give one back: Release
	LeaseReplied                 // to our own asking: Reply, or Failed
	HelloReceived                // what a founder, or one to be a voter, said: Hello
	IncarnationChanged           // this controller goes on under another Life
	LeaseReturned                // this controller is about to give its lease back: it acts on it no more
	VoterMoveRequested           // an operator wants a voter replaced: Name by To
	ProposalReceived             // a member wants Data agreed, as Motion makes it; what comes of it shows in the record
)

// Event is something that the council hears.
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

// Hello is what one says to a founder, or to one who would have it vote.
type Hello struct {
	Name     string  `json:"Name"`
	Folder   string  `json:"Folder"` // empty: it has no disk for the council
	ID       uint64  `json:"ID"`
	Founders []Voter `json:"Founding"` // of the council that it knows, if any
	Voter    bool    `json:"Voter"`    // its number is one of the council's
}

// Verdict is what becomes of an asking for a lease.
type Verdict uint8

// Verdicts. Their numbers go over the wire: they stay.
const (
	Granted         Verdict = 0
	NotLeader       Verdict = 1
	NotAdmitted     Verdict = 2 // it is not in the record yet
	IncarnationLost Verdict = 3 // that life has been declared lost: only a later one may ask again
)

// Reply answers an asking for a lease.
type LeaseReply struct {
	Verdict       Verdict `json:"Verdict"`
	Leader        string  `json:"Leader"` // who is asked next, where it is known
	Term          uint64  `json:"Term"`   // of the name
	PlacementStep uint64  `json:"Step"`   // of the table of chairs
	PlanNumber    uint64  `json:"Number"` // of the plan that was in force after it was asked
}

// EffectKind tells what an effect is.
type EffectKind uint8

// Effects.
const (
	Persist            EffectKind = iota // on disk, before anything that follows from it; Stored brings back the Token
	SendMessage                          // Data to the voter To
	RequestLease                         // the council for a lease, at To by name; Replied brings the answer, or Failed
	ReplyLease                           // Reply to the asking with this Token
	SendHello                            // the member To; Met brings its Hello
	MemberLost                           // Name's Life is lost, in Term; told once by each that holds the record
	MemberAdmitted                       // Name's Life is in, in Term
	LeaseChanged                         // Held is another now
	IncarnationRevoked                   // this life has been declared lost: go on as another
	LeaderChanged                        // who leads is another now: Name, or nobody
	GroupFormed                          // the council is there
	PlacementChanged                     // the table of chairs, or who is lost, is another now
	PlanChanged                          // the plan, or the orders, are others now
	PlanConfirmed                        // the plan numbered Number was in force after the time At, by this controller's clock
	LossProposed                         // the leader has proposed that Name's Life be lost
	VoterFailed                          // this voter can't go on: Why
)

// Effect is what the council wants done, or says.
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

// PersistedState is what a voter finds on its disk at a start.
type PersistedState struct {
	Entries  []*raftpb.Entry
	State    *raftpb.HardState
	Snapshot *raftpb.Snapshot
}

// Status is how a member stands to the council.
type Status struct {
	Voter, Formed, Failed bool
	Leader                string
	Term, Commit, Applied uint64
	LogEntries            uint64 // entries kept
	LeaseHeld             bool
	LeaseLeftMS           float64 // of the lease
	Record                Record
}

func sortVoters(v []Voter) []Voter {
	sort.Slice(v, func(a, b int) bool { return v[a].Name < v[b].Name })
	return v
}
