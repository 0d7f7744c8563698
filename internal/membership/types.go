// Package membership is one controller's view of the fleet: who is there, since when, in which zone and in what health. It hears
// what others say and how probes went, with the time at which it heard it, and says what is to be sent and what has changed. It
// owns no socket, clock or goroutine. What it holds is heard, not agreed: it is always there and may be wrong. Nothing that may
// happen only once rests on it.
package membership

// State is where a member stands.
type State uint8

// Phases. What a member says of itself are Joining, Here, Leaving and Left; Suspect and Gone are what others say of it.
// Their numbers go over the wire: they stay.
const (
	Unknown  State = 0
	Joining  State = 1 // started, and has not yet heard the whole view from anybody
	Alive    State = 2
	Suspect  State = 3 // did not answer, and may still say that it is here
	Dead     State = 4 // did not say so in time; comes back by a later incarnation alone
	Leaving  State = 5 // stops as planned
	Left     State = 6
	anyPhase State = 7 // past all of them, no phase itself
)

var phaseNames = [...]string{"unknown", "joining", "here", "suspect", "gone", "leaving", "left"}

// String returns the name of the phase, or "unknown" for a value that has none.
func (p State) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// IsLive tells whether a member in this phase is asked and may be asked for help.
func (p State) IsLive() bool { return p == Joining || p == Alive || p == Suspect || p == Leaving }

// Flags are small signs of health that a member tells of itself.
type Flags uint8

// Marks. Their bits go over the wire: they stay.
const (
	Ready       Flags = 1 << 0
	Draining    Flags = 1 << 1
	DiskFailing Flags = 1 << 2
	Overloaded  Flags = 1 << 3
	Duplicated  Flags = 1 << 4 // another process bears its name: it takes no part in common work
	Stalled     Flags = 1 << 5 // it stood still lately and does not trust its own view yet
	CanVote     Flags = 1 << 6 // it has a disk for the council
)

var markNames = []string{"ready", "draining", "disk-sick", "full", "doubled", "stalled", "elector"}

// Names gives the marks that are set.
func (m Flags) Names() (names []string) {
	for k, name := range markNames {
		if m&(1<<k) != 0 {
			names = append(names, name)
		}
	}
	return names
}

// Member is one life of a controller as the fleet knows it.
type Member struct {
	Name        string
	Incarnation uint64 // grows at each start of that name
	Refutation  uint64 // incarnation: raised by the member alone
	State       State
	Flags       Flags
	Version     uint32
	Address     string
	Zone        string
	Region      string
	AccusedBy   string  // who accuses it, while it is Suspect
	Since       float64 // when this view took it to be so
}

// EventKind tells what an event is.
type EventKind uint8

// Events.
const (
	Ticked            EventKind = iota // the time that Next named has come
	DatagramReceived                   // a datagram
	ExchangeRequested                  // another one's part of an exchange: the Reply goes back
	ExchangeAnswered                   // the reply to our part of one
	ExchangeFailed                     // an exchange came to nothing
	FlagsChanged                       // this controller's own marks are now these
	IncarnationRaised                  // this controller goes on under a later life: the one it had has been declared lost
	LeaveStarted                       // a planned stop begins
	LeaveFinished                      // it ends: this is the last that is said
)

// Event is something that the view hears.
type Event struct {
	Kind  EventKind
	From  string // address
	Data  []byte
	Flags Flags
}

// EffectKind tells what an effect is.
type EffectKind uint8

// Effects.
const (
	Send                  EffectKind = iota // a datagram to an address
	Exchange                                // Data to an address over a connection; what comes back is Answered, or it Failed
	Reply                                   // what the one who Asked gets
	MemberChanged                           // a member's phase or marks are others now
	SelfIncarnationRaised                   // this controller's own life has been raised: to be kept
	DuplicateName                           // another process bears this controller's name, or no longer
	SelfStalled                             // this controller stood still
	PartitionSuspected                      // many went at once: it may be this one that is cut off
)

// Effect is what the view wants done, or says.
type Effect struct {
	Kind   EffectKind
	To     string
	Data   []byte
	Member Member // MemberChanged, SelfIncarnationRaised, DuplicateName
	From   State  // MemberChanged
	Reason string
	MS     float64 // SelfStalled
}

// Counts are what the view counts.
type Counts struct {
	Probes, Unanswered, Indirect, Refuted, Stalls     uint64
	Sent, SentBytes, Heard, Foreign, Newer, Malformed uint64
	Exchanges, Merged, Crowded, Stale, DuplicateNames uint64
	Condemned                                         uint64 // this controller itself, by others
}

// Evidence is one thing that was noticed of a member.
type Evidence struct {
	At          float64
	Observation string
	Reporter    string // who asked, said or answered it
}
