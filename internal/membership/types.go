// Package membership keeps one controller's view of the fleet: which controllers exist, since when, in which zone and in what health.
// It is a SWIM failure detector with Lifeguard's refinements and anti-entropy exchanges of full states.
//
// A View is a state machine. It takes events with the time at which they happened and returns effects for its caller to carry out. It
// owns no socket, clock or goroutine. The view is observed, not agreed: it is always available and may be wrong, so nothing that may
// happen only once may depend on it.
package membership

// State is the state of a member.
type State uint8

// States. A member announces Joining, Alive, Leaving and Left itself; Suspect and Dead are what others conclude. The numbers are part
// of the wire format.
const (
	Unknown  State = 0
	Joining  State = 1 // started and without a full view yet
	Alive    State = 2
	Suspect  State = 3 // did not answer and may still refute
	Dead     State = 4 // did not refute in time; only a later refutation or incarnation brings it back
	Leaving  State = 5 // shutting down as planned
	Left     State = 6
	anyState State = 7 // the first unused number; in the transition table, a wildcard
)

// stateNames are printed by the control socket.
var stateNames = [...]string{"unknown", "joining", "here", "suspect", "gone", "leaving", "left"}

// String returns the name of the state, or "unknown" for a value that has none.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// IsLive reports whether a member in this state is probed and may be asked to probe others.
func (s State) IsLive() bool { return s == Joining || s == Alive || s == Suspect || s == Leaving }

// Flags are conditions that a member reports of itself.
type Flags uint8

// Flags. The bits are part of the wire format.
const (
	Ready       Flags = 1 << 0
	Draining    Flags = 1 << 1
	DiskFailing Flags = 1 << 2
	Overloaded  Flags = 1 << 3
	Duplicated  Flags = 1 << 4 // another process has the same name; neither takes part in shared work
	Stalled     Flags = 1 << 5 // it was paused lately and does not trust its own view yet
	CanVote     Flags = 1 << 6 // it has a disk for the consensus group
)

// flagNames are printed by the control socket, in the order of the bits.
var flagNames = []string{"ready", "draining", "disk-sick", "full", "doubled", "stalled", "elector"}

// Names returns the names of the flags that are set.
func (f Flags) Names() (names []string) {
	for bit, name := range flagNames {
		if f&(1<<bit) != 0 {
			names = append(names, name)
		}
	}
	return names
}

// Member is one incarnation of a controller as the fleet knows it.
type Member struct {
	Name        string
	Incarnation uint64 // grows with each start of the name
	Refutation  uint64 // grows within an incarnation; only the member itself raises it
	State       State
	Flags       Flags
	Version     uint32
	Address     string
	Zone        string
	Region      string
	AccusedBy   string  // the newest accuser of a member that is Suspect
	Since       float64 // when this view put it into its state
}

// EventKind is the kind of an Event.
type EventKind uint8

// Events.
const (
	Ticked            EventKind = iota // the time that Next returned has come
	DatagramReceived                   // a datagram arrived
	ExchangeRequested                  // another member started an exchange; a Reply effect answers it
	ExchangeAnswered                   // the answer to an Exchange effect arrived
	ExchangeFailed                     // an Exchange effect came to nothing
	FlagsChanged                       // this controller's own flags changed
	IncarnationRaised                  // this controller goes on under a later incarnation, as the one before was declared lost
	LeaveStarted                       // a planned shutdown begins
	LeaveFinished                      // the shutdown ends; nothing is sent afterwards
)

// Event is an input of a View.
type Event struct {
	Kind  EventKind
	From  string // address of the sender
	Data  []byte
	Flags Flags // FlagsChanged
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Effects.
const (
	Send                  EffectKind = iota // send Data to the address To as a datagram
	Exchange                                // send Data to the address To over a connection; ExchangeAnswered or ExchangeFailed follows
	Reply                                   // answer the ExchangeRequested event that is being handled
	MemberChanged                           // a member's state or flags changed
	SelfIncarnationRaised                   // this controller's own incarnation was raised and is to be persisted
	DuplicateName                           // another process with this controller's name appeared or disappeared
	SelfStalled                             // this controller was paused for MS milliseconds
	PartitionSuspected                      // many members failed at once; this controller may be the one that is cut off
)

// Effect is an output of a View: an action for the caller, or a notification.
type Effect struct {
	Kind   EffectKind
	To     string
	Data   []byte
	Member Member // MemberChanged, SelfIncarnationRaised, DuplicateName
	From   State  // MemberChanged: the state before
	Reason string
	MS     float64 // SelfStalled
}

// Counts are the counters of a View since its start.
type Counts struct {
	Probes, Unanswered, Indirect, Refuted, Stalls              uint64
	Sent, SentBytes, Received, Foreign, Newer, Malformed       uint64
	Exchanges, Merged, RejectedForSpace, Stale, DuplicateNames uint64
	ReportedDead                                               uint64 // reports that this controller itself is dead
}

// Evidence is one observation about a member.
type Evidence struct {
	At          float64
	Observation string
	Reporter    string // the member that observed or reported it
}
