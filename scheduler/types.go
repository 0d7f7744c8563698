// Package scheduler decides what becomes of each request: where its attempts go, at which level they run, when they
// are called off and what the client is told. types.go is the interface, slab.go the storage, rules.go,
// slowstart.go and drains.go the decisions.
package scheduler

// Given holds the settings handed over at start: plain names and values (float64, bool, string or
// []string). Times are milliseconds; names that end in _ms say so. A missing name means that the rule or
// ability is absent.
type Given map[string]any

// Num returns the number under name, or otherwise.
func (m Given) Num(name string, otherwise float64) float64 {
	if v, ok := m[name].(float64); ok {
		return v
	}
	return otherwise
}

// Is tells whether the flag under name is set.
func (m Given) Is(name string) bool {
	v, _ := m[name].(bool)
	return v
}

// Text returns the text under name.
func (m Given) Text(name string) string {
	v, _ := m[name].(string)
	return v
}

// Names returns the list under name.
func (m Given) Names(name string) []string {
	v, _ := m[name].([]string)
	return v
}

// EventKind tells what an Event reports.
type EventKind uint8

// The events.
const (
	Began     EventKind = iota // the instance starts
	Listed                     // news of the list of executors
	Taken                      // a request came in
	Left                       // the client of a request is gone
	Ended                      // an attempt has its outcome
	Noted                      // a running attempt sends a note
	Probed                     // a probe has its result
	Rang                       // a timer is due
	Streaming                  // an attempt's answer has begun and belongs to the client
	Heard                      // a message from another controller
	Closing                    // the instance stops: by Until all it has taken must have its answer
	Kept                       // what was known before the instance was last ended
	Pressed                    // a request is held under a priority, or no longer
	Counted                    // so many controllers share the executors now
	Opened                     // how far requests may go now: Reaches; places that it leaves out are near
	eventKinds
)

// ListKind tells how the entries of a Listed event are meant.
type ListKind uint8

// The kinds of list.
const (
	Changes  ListKind = iota // just the entries that changed
	Whole                    // everything there is
	Restored                 // everything as last held, perhaps out of date
	NoList                   // the list is out of reach
)

// Standing is what the list says of an executor.
type Standing uint8

// The standings.
const (
	Active Standing = iota
	Leaving
	Gone
)

// Entry is one executor in a list.
type Entry struct {
	Executor uint32
	Place    string
	Kind     string
	Cell     int64
	Standing Standing
	Units    float64
	UpSince  float64 // clock, ms; 0: long past
}

// Outcome tells how an attempt or a probe ended.
type Outcome uint8

// The outcomes.
const (
	Handled    Outcome = iota // answered
	Erred                     // an error came back; it may have run
	Full                      // turned away unseen
	TimedOut                  // no answer in time; may have run
	Refused                   // no connection
	Severed                   // the connection broke; may have run
	Recalled                  // called off; may have run
	Superseded                // never sent
	Unsent                    // never sent, for want of something on this side: it says nothing of the executor
)

// NeverRan tells whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool { return o == Full || o == Refused || o == Superseded || o == Unsent }

// NoteKind tells what a note reports.
type NoteKind uint8

// The notes.
const (
	Progress NoteKind = 1 // Value: share done
	Spills   NoteKind = 2 // Value: MB missing
	Waits    NoteKind = 3 // Value: 1 for memory, 2 for a load
)

// Event is one thing that an instance is told. Only the fields of its kind are set.
type Event struct {
	Kind     EventKind
	Request  string
	Executor uint32
	Attempt  int

	Offering string  // Taken
	Group    uint64  // Taken: table group
	Key      string  // Taken: order key, or empty
	NeedMB   float64 // Taken: memory estimate
	WorkMS   float64 // Taken: work estimate
	Until    float64 // Taken: clock at which the client gives up, ms; Closing: the last moment for answers; Listed, with NoList: its last word
	Repeat   bool    // Taken: the client marked it as a repeat
	Prior    Prior   // Taken: what may have run under the same mark
	Barred   bool    // Taken, Ended: it can't be put on record, or has no room, so it must not run
	Start    float64 // Taken: priority to start at; Pressed: priority that it stays under; 0: the top
	Part     float64 // Taken, Pressed: part of the memory wanted that it gets; 0: all
	Now      bool    // Taken: it is sent in this pass, or given back

	Deemed     float64 // Listed, with NoList: clock at which all that the list has to tell by then counts as told, heard or not; 0: none
	HalfClosed bool    // Left: the client may still read, so the request gets a final answer

	Outcome  Outcome // Ended, Probed
	TookMS   float64 // Ended, Probed
	Over     bool    // Ended: the request is finished
	SpentMS  float64 // Ended: work it took, where told
	UsedMB   float64 // Ended: memory it needed, where told
	Report   []float64
	Note     NoteKind // Noted
	Value    float64  // Noted; Counted: controllers, this one among them
	Token    uint64   // Rang
	List     ListKind // Listed
	Entries  []Entry  // Listed
	Index    uint64   // Listed: the version of the list, where it is told
	FromPeer int      // Heard
	Data     []byte   // Heard

	Takes, Extras []float64 // Kept: clocks at which requests were taken, and further attempts sent
	Trusts        []Trust   // Kept
	Reaches       []Reach   // Opened
	Figures       []Figure  // Kept
}

// Prior is the first attempt of another request with the same mark that may have run. At 0: there is none.
type Prior struct {
	At    float64 // clock; far in the past where it is not known
	Place string
	Cell  int64
}

// Reach is how far requests may go to the executors of a place.
type Reach struct {
	Place string
	Tier  int      // 0: near; a further one is used only where no nearer executor has room
	Room  float64  // threads of this instance's attempts there at most; infinite: any number
	WayMS float64  // longer on the way there and back than to near ones
	Least float64  // gain for its work that a request must have to go there
	Free  []string // kinds that no near place has: requests that run on nothing else go there as if it were near
}

// Trust is what is known of an executor besides what the list says.
type Trust struct {
	Executor  uint32
	ColdUntil float64
	Aside     bool
	Strikes   int
	Leaving   bool
}

// Figure is one thing learnt.
type Figure struct {
	Name  string
	Value float64
}

// ActionKind tells what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Send    ActionKind = iota // an attempt of Request to Executor
	Terms                     // GrantMB and Level for Request
	CallOff                   // stop waiting for Attempt of Request
	Deny                      // final: denied, come back after AfterMS
	Fail                      // final: failed
	Wake                      // ring Token after AfterMS
	Probe                     // probe Executor
	Listen                    // subscribe to the list
	Log                       // Text for the operators
	Tell                      // Data to the controller numbered Peer, or to all if that is below 0
	Back                      // Request, taken to be sent now, can't be: it is not in hand any more
)

// Action is one thing that an instance wants done, in the order given.
type Action struct {
	Kind     ActionKind
	Request  string
	Executor uint32
	Attempt  int
	GrantMB  float64
	Level    int
	AfterMS  float64
	By       float64 // Send: clock after which it must not begin any more
	Token    uint64
	Text     string
	Peer     int
	Data     []byte // read before the next Step
}

// Belief is what an instance holds of one executor, for the front's log.
type Belief struct {
	Executor uint32
	Out      int // attempts there without an outcome
	Threads  int // of them
	Bad      int // failures in a row
	Standing Standing
	Aside    bool    // gets nothing until it has answered probes
	Strikes  int     // how often it was set aside lately
	Cold     bool    // gets its part of a cold budget
	ColdTo   float64 // clock until which it does
	HeardMS  float64 // since the last sign of work; below 0: none yet
	ReportMS float64 // since the last load report or telling; below 0: none yet
}

// Instance is what a front calls: every event in the order it happened, with the clock in milliseconds. The
// actions are appended to out, which the caller owns and may reuse. An instance shares nothing with
// another.
type Instance interface {
	Step(now float64, ev *Event, out []Action) []Action
}
