// Package membership is one controller's view of the fleet: who is there, since when, in which zone and in what health. It hears
// what others say and how probes went, with the time at which it heard it, and says what is to be sent and what has changed. It
// owns no socket, clock or goroutine. What it holds is heard, not agreed: it is always there and may be wrong. Nothing that may
// happen only once rests on it.
package membership

// Phase is where a member stands.
type Phase uint8

// Phases. What a member says of itself are Joining, Here, Leaving and Left; Suspect and Gone are what others say of it.
// Their numbers go over the wire: they stay.
const (
	Unknown  Phase = 0
	Joining  Phase = 1 // started, and has not yet heard the whole view from anybody
	Here     Phase = 2
	Suspect  Phase = 3 // did not answer, and may still say that it is here
	Gone     Phase = 4 // did not say so in time; comes back by a later incarnation alone
	Leaving  Phase = 5 // stops as planned
	Left     Phase = 6
	anyPhase Phase = 7 // past all of them, no phase itself
)

var phaseNames = [...]string{"unknown", "joining", "here", "suspect", "gone", "leaving", "left"}

// String returns the name of the phase, or "unknown" for a value that has none.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Living tells whether a member in this phase is asked and may be asked for help.
func (p Phase) Living() bool { return p == Joining || p == Here || p == Suspect || p == Leaving }

// Marks are small signs of health that a member tells of itself.
type Marks uint8

// Marks. Their bits go over the wire: they stay.
const (
	Ready    Marks = 1 << 0
	Draining Marks = 1 << 1
	DiskSick Marks = 1 << 2
	Full     Marks = 1 << 3
	Doubled  Marks = 1 << 4 // another process bears its name: it takes no part in common work
	Stalled  Marks = 1 << 5 // it stood still lately and does not trust its own view yet
	Elector  Marks = 1 << 6 // it has a disk for the council
)

var markNames = []string{"ready", "draining", "disk-sick", "full", "doubled", "stalled", "elector"}

// Names gives the marks that are set.
func (m Marks) Names() (names []string) {
	for k, name := range markNames {
		if m&(1<<k) != 0 {
			names = append(names, name)
		}
	}
	return names
}

// Member is one life of a controller as the fleet knows it.
type Member struct {
	Name    string
	Life    uint64 // grows at each start of that name
	Inc     uint64 // incarnation: raised by the member alone
	Phase   Phase
	Marks   Marks
	Version uint32
	Address string
	Zone    string
	Region  string
	By      string  // who accuses it, while it is Suspect
	Since   float64 // when this view took it to be so
}

// EventKind tells what an event is.
type EventKind uint8

// Events.
const (
	Ticked   EventKind = iota // the time that Next named has come
	Heard                     // a datagram
	Asked                     // another one's part of an exchange: the Reply goes back
	Answered                  // the reply to our part of one
	Failed                    // an exchange came to nothing
	Marked                    // this controller's own marks are now these
	Renew                     // this controller goes on under a later life: the one it had has been declared lost
	Leave                     // a planned stop begins
	Leaves                    // it ends: this is the last that is said
)

// Event is something that the view hears.
type Event struct {
	Kind  EventKind
	From  string // address
	Data  []byte
	Marks Marks
}

// EffectKind tells what an effect is.
type EffectKind uint8

// Effects.
const (
	Send     EffectKind = iota // a datagram to an address
	Exchange                   // Data to an address over a connection; what comes back is Answered, or it Failed
	Reply                      // what the one who Asked gets
	Changed                    // a member's phase or marks are others now
	Relived                    // this controller's own life has been raised: to be kept
	Twins                      // another process bears this controller's name, or no longer
	Stood                      // this controller stood still
	Cut                        // many went at once: it may be this one that is cut off
)

// Effect is what the view wants done, or says.
type Effect struct {
	Kind   EffectKind
	To     string
	Data   []byte
	Member Member // Changed, Relived, Twins
	From   Phase  // Changed
	Why    string
	MS     float64 // Stood
}

// Counts are what the view counts.
type Counts struct {
	Probes, Unanswered, Indirect, Refuted, Stalls     uint64
	Sent, SentBytes, Heard, Foreign, Newer, Malformed uint64
	Exchanges, Merged, Crowded, Stale, Twins          uint64
	Condemned                                         uint64 // this controller itself, by others
}

// Evidence is one thing that was noticed of a member.
type Evidence struct {
	At   float64
	What string
	Who  string // who asked, said or answered it
}
