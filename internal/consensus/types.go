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

// Place is one controller in the record.
type Place struct {
	Life    uint64 `json:"Life"`
	Term    uint64 `json:"Term"` // of the name: grows with each life that is let in or declared lost
	Lost    bool   `json:"Lost"`
	Left    bool   `json:"Left"` // it stopped as planned
	Address string `json:"Address"`
	Zone    string `json:"Zone"`
}

// Voter is one that votes, or is about to.
type Voter struct {
	ID   uint64 `json:"ID"`
	Name string `json:"Name"`
	Zone string `json:"Zone"`
}

// Record is what is agreed.
type Record struct {
	Places   map[string]Place           `json:"Places"`
	Voters   []Voter                    `json:"Voters"` // and those about to be
	Founding []Voter                    `json:"Founding"`
	Declared uint64                     `json:"Declared"` // lives declared lost so far
	Chairs   placement.Table            `json:"Chairs"`
	Plan     json.RawMessage            `json:"Plan,omitempty"`   // how far searches may go, as package zones has it; the council does not read it
	Number   uint64                     `json:"Number,omitempty"` // of the plan: each is one later than the one before
	Orders   map[string]json.RawMessage `json:"Orders,omitempty"` // of operators, by what they are about
}

// Identity gives the number under which a member votes with a folder. Without that folder it votes under another, so that nobody
// votes twice who has forgotten how it voted.
func Identity(name, folder string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\x00" + folder))
	return max(1, h.Sum64())
}

// Sight is a member as the view has it.
type Sight struct {
	Name    string
	Life    uint64
	Living  bool
	Left    bool
	Address string
	Zone    string
	Elector bool // it has a disk for the council
	Doubled bool // two processes bear its name: neither is let in
}

// EventKind tells what an event is.
type EventKind uint8

// Events.
const (
	Ticked    EventKind = iota
	Heard               // Data of the voter Name
	Stored              // what Keep with this Token asked for lasts, or not: Failed
	Asked               // Name and Life ask for a lease, or give one back: Release
	Replied             // to our own asking: Reply, or Failed
	Met                 // what a founder, or one to be a voter, said: Hello
	Relived             // this controller goes on under another Life
	GivenBack           // this controller is about to give its lease back: it acts on it no more
	Moved               // an operator wants a voter replaced: Name by To
	Proposed            // a member wants Data agreed, as Motion makes it; what comes of it shows in the record
)

// Event is something that the council hears.
type Event struct {
	Kind    EventKind
	Data    []byte
	Token   uint64
	Failed  bool
	Name    string
	To      string
	Life    uint64
	Release bool
	Reply   Reply
	Hello   Hello
}

// Hello is what one says to a founder, or to one who would have it vote.
type Hello struct {
	Name     string  `json:"Name"`
	Folder   string  `json:"Folder"` // empty: it has no disk for the council
	ID       uint64  `json:"ID"`
	Founding []Voter `json:"Founding"` // of the council that it knows, if any
	Voter    bool    `json:"Voter"`    // its number is one of the council's
}

// Verdict is what becomes of an asking for a lease.
type Verdict uint8

// Verdicts. Their numbers go over the wire: they stay.
const (
	Granted    Verdict = 0
	NotLeader  Verdict = 1
	NotYet     Verdict = 2 // it is not in the record yet
	LifeIsLost Verdict = 3 // that life has been declared lost: only a later one may ask again
)

// Reply answers an asking for a lease.
type Reply struct {
	Verdict Verdict `json:"Verdict"`
	Leader  string  `json:"Leader"` // who is asked next, where it is known
	Term    uint64  `json:"Term"`   // of the name
	Step    uint64  `json:"Step"`   // of the table of chairs
	Number  uint64  `json:"Number"` // of the plan that was in force after it was asked
}

// EffectKind tells what an effect is.
type EffectKind uint8

// Effects.
const (
	Keep      EffectKind = iota // on disk, before anything that follows from it; Stored brings back the Token
	Say                         // Data to the voter To
	Ask                         // the council for a lease, at To by name; Replied brings the answer, or Failed
	Answer                      // Reply to the asking with this Token
	Greet                       // the member To; Met brings its Hello
	Declared                    // Name's Life is lost, in Term; told once by each that holds the record
	Admitted                    // Name's Life is in, in Term
	Lease                       // Held is another now
	Dethrone                    // this life has been declared lost: go on as another
	Led                         // who leads is another now: Name, or nobody
	Founded                     // the council is there
	Reseated                    // the table of chairs, or who is lost, is another now
	Replanned                   // the plan, or the orders, are others now
	Confirmed                   // the plan numbered Number was in force after the time At, by this controller's clock
	Doomed                      // the leader has proposed that Name's Life be lost
	Broken                      // this voter can't go on: Why
)

// Effect is what the council wants done, or says.
type Effect struct {
	Kind    EffectKind
	To      string
	Data    []byte
	Token   uint64
	Name    string
	Life    uint64
	Term    uint64
	Reply   Reply
	Held    bool
	Why     string
	Number  uint64
	At      float64
	Entries []*raftpb.Entry
	State   *raftpb.HardState
	Snap    *raftpb.Snapshot
}

// Kept is what a voter finds on its disk at a start.
type Kept struct {
	Entries []*raftpb.Entry
	State   *raftpb.HardState
	Snap    *raftpb.Snapshot
}

// Status is how a member stands to the council.
type Status struct {
	Voter, Founded, Broken bool
	Leader                 string
	Term, Commit, Applied  uint64
	Log                    uint64 // entries kept
	Held                   bool
	LeftMS                 float64 // of the lease
	Record                 Record
}

func sortVoters(v []Voter) []Voter {
	sort.Slice(v, func(a, b int) bool { return v[a].Name < v[b].Name })
	return v
}
