// Package membership keeps one controller's view of the fleet: which controllers exist, since when, in which zone and
// in what state. It is a SWIM failure detector with the Lifeguard extensions and anti-entropy exchanges of full states.
//
// A View is a state machine. It takes events with the time at which they happened and returns effects for its caller
// to carry out. It owns no socket, clock or goroutine. The view is eventually consistent: it is always available and
// may be wrong, so an operation that must happen at most once needs consensus instead.
package membership

// State is the state of a member.
type State uint8

// States of a member. A member announces Joining, Alive, Leaving and Left itself; Suspect and Dead are conclusions of
// other members. The numbers are part of the wire format.
const (
	Unknown  State = 0
	Joining  State = 1 // started, but has not received a full view yet
	Alive    State = 2
	Suspect  State = 3 // did not answer probes and may still refute the suspicion
	Dead     State = 4 // did not refute in time; a later refutation or incarnation makes it live again
	Leaving  State = 5 // in a planned shutdown
	Left     State = 6 // finished its planned shutdown
	anyState State = 7 // first unused number; a wildcard in the transition table
)

// stateNames holds the names that the control socket and the log print, by state.
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

// Flags is a set of conditions that a member reports about itself.
type Flags uint8

// Flags of a member. The bits are part of the wire format.
const (
	Ready       Flags = 1 << 0
	Draining    Flags = 1 << 1
	DiskFailing Flags = 1 << 2
	Overloaded  Flags = 1 << 3
	Duplicated  Flags = 1 << 4 // another process has the same name; neither takes part in shared work
	Stalled     Flags = 1 << 5 // its process was paused recently, so its view may be out of date
	CanVote     Flags = 1 << 6 // it has a disk and can be a voter of the consensus group
)

// flagNames holds the names that the control socket prints, in the order of the bits.
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

// Member is one incarnation of a controller, as a view knows it.
type Member struct {
	Name        string
	Incarnation uint64 // grows with each start of a controller of this name
	Refutation  uint64 // grows within an incarnation; only the member itself raises it
	State       State
	Flags       Flags
	Version     uint32
	Address     string
	Zone        string
	Region      string
	AccusedBy   string  // the member that most recently reported this one as Suspect
	Since       float64 // when this view moved the member to its current state, in milliseconds
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	Ticked            EventKind = iota // the time that Next returned has come
	DatagramReceived                   // a datagram arrived
	ExchangeRequested                  // another member started an exchange; a Reply effect answers it
	ExchangeAnswered                   // the answer to an Exchange effect arrived
	ExchangeFailed                     // the call of an Exchange effect failed
	FlagsChanged                       // this controller's own flags changed
	IncarnationRaised                  // this controller's incarnation was declared lost; it continues under a later one
	LeaveStarted                       // a planned shutdown begins
	LeaveFinished                      // the shutdown ends; the view schedules no work afterwards
)

// Event is an input of a View.
type Event struct {
	Kind  EventKind
	From  string // address of the sender
	Data  []byte // the received message
	Flags Flags  // FlagsChanged only: the new flags
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Kinds of effects.
const (
	// Send requests that Data is sent to the address To as a datagram.
	Send EffectKind = iota
	// Exchange requests that Data is sent to the address To as a call. An ExchangeAnswered or ExchangeFailed event with
	// the outcome is to follow.
	Exchange
	// Reply carries the answer to the ExchangeRequested event that is being handled.
	Reply
	// MemberChanged reports that a member's state or flags changed.
	MemberChanged
	// SelfIncarnationRaised reports that this controller's own incarnation was raised and must be persisted.
	SelfIncarnationRaised
	// DuplicateName reports that another process with this controller's name appeared or disappeared.
	DuplicateName
	// SelfStalled reports that this controller's process was paused.
	SelfStalled
	// PartitionSuspected reports that many members failed at once, so this controller may be on the minority side of a
	// network partition.
	PartitionSuspected
)

// Effect is an output of a View: an action for the caller, or a notification.
type Effect struct {
	Kind    EffectKind
	To      string
	Data    []byte
	Member  Member  // MemberChanged, SelfIncarnationRaised, DuplicateName
	From    State   // MemberChanged: the previous state
	Reason  string  // MemberChanged, DuplicateName: the cause, for the log
	StallMS float64 // SelfStalled: length of the pause in milliseconds
}

// Counts holds the counters of a View since its start.
type Counts struct {
	Probes, Unanswered, Indirect, Refuted, Stalls              uint64
	Sent, SentBytes, Received, Foreign, Newer, Malformed       uint64
	Exchanges, Merged, RejectedForSpace, Stale, DuplicateNames uint64
	ReportedDead                                               uint64 // reports by others that this controller is dead
}

// Evidence is one observation about a member.
type Evidence struct {
	At          float64 // milliseconds on the clock of the view
	Observation string
	Reporter    string // the member that made the observation
}
