// Package locality decides, for a fleet that stands in several zones, how far searches may go from where they came in: who may use which
// zone's executors, and for how many threads, while a zone is thinned, lost, evacuated or coming back. What controllers see is summed up
// on its way to the one that leads the council; that one makes a plan, a pure function of what is seen and of the operators' orders; the
// council holds the plan, and each controller hands its part of it to the decision module. Events and a time go in, effects come out;
// the package owns no socket, disk, clock or goroutine, and chooses no executor.
//
// Two kinds of knowing are kept apart. What is seen may be wrong, late, doubled or made up: it makes plans. What is agreed is the plan:
// a part in it may be used only as long as a lease that was asked for confirms it, and what was one controller's is another's only after
// that time. So all parts of a zone's cap together are never over it, whoever is cut off.
package locality

import (
	"slices"
)

const (
	reportMS   = 250   // between two reports of a controller: a second choice of a report's age is below a second for three floors
	staleMS    = 1200  // after which a report counts no more: four were lost
	settleMS   = 2000  // ms from the start within which orders that are heard of may be old
	planMS     = 250   // between two looks at whether another plan is wanted
	fan        = 8     // whose reports one controller sums up, at most: 300 controllers are three floors
	agree      = 2     // looks in a row that say the same, before a zone's state changes
	goneShare  = 0.2   // share of a zone's cores in reach below which a voice calls it gone
	thinShare  = 0.8   // the same for thinned
	usualRoom  = 1.2   // threads a core that a zone's own searches may take: the module's bound
	usualSpill = 0.8   // share of what is left of it that may go to others
	usualStage = 3000  // ms of a stage of a return
	usualWait  = 2000  // ms that a zone must be in reach before its return begins; doubles with each loss soon after
	forgetMS   = 180e3 // after which a lost zone of which nothing is left is forgotten: it has been renamed, or given up
	longWait   = 60e3  // the longest such time
	flapMS     = 60e3  // a loss within this time of a return is one more of the same
	confirmMS  = 6000  // a part is valid for so long after it was confirmed, where nothing else is given: the lease
	mostZones  = 32
	mostOrders = 64
	mostOf     = 1024 // members that share a cap
	mostText   = 64
	standing   = 0.5 // part of what is left of a zone that the others of its region have before they need it
	steady     = 0.4 // weight of the latest in what a zone wants: a second, mostly
	steadyLow  = 0.7 // a cap stays as it is while what is due is no less than this of it
	steadyHigh = 1.2 // and no more than this
	wantsMost  = 4   // times the middle of all controllers that one controller's wants may count
)

// stages are the shares of a zone's room that are open while it returns; the last is followed by all.
var stages = []float64{0.05, 0.15, 0.4, 0.7}

// State is how a zone stands, as agreed.
type State uint8

// The states. Their numbers stand in plans that are agreed: they do not change.
const (
	Healthy    State = 0
	Degraded   State = 1 // much of it is gone
	Suspected  State = 2 // some see it gone, others don't
	Lost       State = 3 // its executors are out of reach
	Evacuated  State = 4 // an operator wants nothing new to go there
	Recovering State = 5 // by stages
	states     State = 6
)

var stateNames = [states]string{"whole", "thinned", "doubtful", "lost", "evacuated", "returning"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Observation is what one controller sees of a zone's executors, or what several together do.
type Observation struct {
	Zone        string  `json:"Zone"`
	Healthy     int     `json:"Fine"` // voices that see it so; one who has no evidence has none
	Degraded    int     `json:"Thin"`
	Unreachable int     `json:"Gone"`
	InFlight    float64 `json:"Out"` // threads of their shots there
}

// Report is what the controllers of one zone see, summed up.
type Report struct {
	Zone          string        `json:"Zone"` // theirs
	Observers     int           `json:"Voices"`
	WithoutList   int           `json:"Deaf"`  // of them, those to whom the list is out of reach
	DemandThreads float64       `json:"Wants"` // threads that their searches in hand want, whether they run or wait
	Observations  []Observation `json:"Sights"`
}

// Share is how many threads of one controller may be out at once.
type Share struct {
	Name    string  `json:"Name"`
	Threads float64 `json:"Threads"`
}

// Pair is what may go from the controllers of a zone to the executors of one, that of their own while it is not whole too.
type Pair struct {
	From   string  `json:"From"`
	To     string  `json:"To"`
	Cap    float64 `json:"Cap"`
	Shares []Share `json:"Parts,omitempty"`
}

// RevokedShare is what was somebody's part, and may still be used by one that has not heard otherwise.
type RevokedShare struct {
	From    string  `json:"From"`
	To      string  `json:"To"`
	Name    string  `json:"Name"`
	Threads float64 `json:"Threads"`
	LeftMS  float64 `json:"LeftMS"`
}

// Zone is how one stands.
type Zone struct {
	Name      string   `json:"Name"`
	Region    string   `json:"Region,omitempty"`
	State     State    `json:"State"`
	Stage     int      `json:"Stage,omitempty"`
	Flaps     int      `json:"Flaps,omitempty"`
	Cores     float64  `json:"Cores"` // as it had them when it was whole
	Kinds     []string `json:"Kinds,omitempty"`
	Reason    string   `json:"Why,omitempty"`
	InStateMS float64  `json:"ForMS,omitempty"` // it has been so, as of the plan
	Members   int      `json:"Members,omitempty"`
}

// Plan is what is agreed.
type Plan struct {
	Number  uint64         `json:"Number"`
	Zones   []Zone         `json:"Zones"`
	Pairs   []Pair         `json:"Pairs,omitempty"`
	Revoked []RevokedShare `json:"Held,omitempty"`
}

// OrderKind is what an operator wants.
type OrderKind string

// The orders.
const (
	Evacuate OrderKind = "evacuate" // nothing new to the zone
	Hold     OrderKind = "hold"     // its stage does not change, but for the worse
	Return   OrderKind = "return"   // an evacuation or a hold ends; a zone that waits for its return begins it
)

// Order is an operator's, until a time of all machines' clocks.
type Order struct {
	Kind   OrderKind `json:"Kind"`
	Zone   string    `json:"Zone"`
	Author string    `json:"Author"`
	Reason string    `json:"Why,omitempty"`
	Until  int64     `json:"Until"`            // Unix ms, for people; 0: until it is taken back
	SpanMS float64   `json:"SpanMS,omitempty"` // for which it lasts from when it was agreed; 0: until that time of all clocks
}

// Member is a controller as the view has it.
type Member struct {
	Name, Zone, Region string
	Living             bool
}

// Executor is one, as this controller's list and module have it.
type Executor struct {
	Zone, Kind string
	Cores      float64
	Listed     bool // active
	Known      bool // something was heard of it lately, or it is set aside
	Ejected    bool
	WarmingUp  bool
	InFlight   float64
}

// zone gives a zone of the plan, or nil.
func (p *Plan) zone(name string) *Zone {
	for k := range p.Zones {
		if p.Zones[k].Name == name {
			return &p.Zones[k]
		}
	}
	return nil
}

// Pair gives the cap from one zone to another, or nil.
func (p *Plan) Pair(from, to string) *Pair {
	for k := range p.Pairs {
		if p.Pairs[k].From == from && p.Pairs[k].To == to {
			return &p.Pairs[k]
		}
	}
	return nil
}

// part gives a member's threads.
func (p *Pair) part(name string) float64 {
	if p == nil {
		return 0
	}
	if k := slices.IndexFunc(p.Shares, func(x Share) bool { return x.Name == name }); k >= 0 {
		return p.Shares[k].Threads
	}
	return 0
}

// Settings are what the operators' file says.
type Settings struct {
	ThreadsPerCore float64
	SpillShare     float64
	StageMS        float64
	RecoveryWaitMS float64
	LeaseMS        float64 // the lease
	MinShare       float64 // threads of the largest search: no part is smaller
	LatencyMS      map[[2]string]float64
	MinDensity     map[[2]string]float64 // gain for its work that a search must have to go from a region to another
}

// DefaultSettings returns what holds where the operators say nothing.
func DefaultSettings() Settings {
	return Settings{ThreadsPerCore: usualRoom, SpillShare: usualSpill, StageMS: usualStage, RecoveryWaitMS: usualWait, LeaseMS: confirmMS, MinShare: 1,
		LatencyMS: map[[2]string]float64{}, MinDensity: map[[2]string]float64{}}
}
