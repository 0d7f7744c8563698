// Package locality decides, for a fleet in several zones, how far requests may go from where they came in: which controllers may use
// which zone's executors, and for how many threads, while a zone is degraded, lost, evacuated or recovering.
//
// Controllers' observations are aggregated on their way to the leader of the consensus group. The leader makes a plan, a function of the
// observations and of the operators' orders; the group agrees on the plan, and each controller passes its share of it to the scheduler.
// A Monitor is a state machine: events and a time go in, effects come out. The package owns no socket, disk, clock or goroutine, and
// chooses no executor.
//
// Observations may be wrong, late, duplicated or forged: they only lead to plans. What is agreed is the plan: a share may be used only as
// long as a lease that was requested after the plan confirms it, and a share that is revoked is granted to another controller only after
// that time. So all shares of a zone's cap together never exceed it, whoever is partitioned.
package locality

import "slices"

// State is the agreed state of a zone.
type State uint8

// States. The numbers are part of the plan's format.
const (
	Healthy    State = 0
	Degraded   State = 1 // a large part of it is unreachable
	Suspected  State = 2 // observers disagree on whether it is reachable
	Lost       State = 3 // its executors are unreachable
	Evacuated  State = 4 // by an operator's order, no new requests go there
	Recovering State = 5 // it takes requests again, stage by stage
	stateCount State = 6
)

// stateNames are printed by the control socket.
var stateNames = [stateCount]string{"whole", "thinned", "doubtful", "lost", "evacuated", "returning"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Observation is what one controller observes of a zone's executors, or the sum of several.
type Observation struct {
	Zone        string  `json:"Zone"`
	Healthy     int     `json:"Fine"` // observers by their verdict; one without evidence has none
	Degraded    int     `json:"Thin"`
	Unreachable int     `json:"Gone"`
	InFlight    float64 `json:"Out"` // threads of their attempts there
}

// verdicts returns the number of observers with a verdict.
func (o *Observation) verdicts() int { return o.Healthy + o.Degraded + o.Unreachable }

// Report is the sum of what the controllers of one zone observe.
type Report struct {
	Zone          string        `json:"Zone"` // of the controllers
	Observers     int           `json:"Voices"`
	WithoutList   int           `json:"Deaf"`  // observers without access to the endpoint list
	DemandThreads float64       `json:"Wants"` // threads that their requests need, running or waiting
	Observations  []Observation `json:"Sights"`
}

// Share is how many threads of one controller may be in flight.
type Share struct {
	Name    string  `json:"Name"`
	Threads float64 `json:"Threads"`
}

// Pair is the cap for what the controllers of one zone may send to the executors of another, or to those of their own zone while that is
// not fully open.
type Pair struct {
	From   string  `json:"From"`
	To     string  `json:"To"`
	Cap    float64 `json:"Cap"`
	Shares []Share `json:"Parts,omitempty"`
}

// RevokedShare is a share that was taken from a controller, which may still use it until it learns of that.
type RevokedShare struct {
	From    string  `json:"From"`
	To      string  `json:"To"`
	Name    string  `json:"Name"`
	Threads float64 `json:"Threads"`
	LeftMS  float64 `json:"LeftMS"`
}

// Zone is a zone in a plan.
type Zone struct {
	Name      string   `json:"Name"`
	Region    string   `json:"Region,omitempty"`
	State     State    `json:"State"`
	Stage     int      `json:"Stage,omitempty"` // while it is Recovering
	Flaps     int      `json:"Flaps,omitempty"` // losses in quick succession
	Cores     float64  `json:"Cores"`           // when it was Healthy
	Kinds     []string `json:"Kinds,omitempty"` // of its executors, when it was Healthy
	Reason    string   `json:"Why,omitempty"`
	InStateMS float64  `json:"ForMS,omitempty"` // since it entered the state, as of the plan
	Members   int      `json:"Members,omitempty"`
}

// Plan is what the group agrees on.
type Plan struct {
	Number  uint64         `json:"Number"`
	Zones   []Zone         `json:"Zones"`
	Pairs   []Pair         `json:"Pairs,omitempty"`
	Revoked []RevokedShare `json:"Held,omitempty"`
}

// OrderKind is the kind of an operator's order.
type OrderKind string

// Orders.
const (
	Evacuate OrderKind = "evacuate" // no new requests to the zone
	Hold     OrderKind = "hold"     // its stage does not rise
	Return   OrderKind = "return"   // an evacuation or a hold ends, and a lost zone that is reachable starts to recover
)

// Order is an operator's order.
type Order struct {
	Kind   OrderKind `json:"Kind"`
	Zone   string    `json:"Zone"`
	Author string    `json:"Author"`
	Reason string    `json:"Why,omitempty"`
	Until  int64     `json:"Until"`            // Unix time in ms; 0: until it is revoked
	SpanMS float64   `json:"SpanMS,omitempty"` // its duration from when it was agreed; 0: Until counts
}

// Member is a controller in the membership view.
type Member struct {
	Name, Zone, Region string
	Live               bool
}

// Executor is an executor as this controller's endpoint list and scheduler have it.
type Executor struct {
	Zone, Kind string
	Cores      float64
	Listed     bool // the list has it as active
	Known      bool // there is recent evidence of it, or it is ejected
	Ejected    bool
	WarmingUp  bool
	InFlight   float64
}

// findZone returns a zone of the plan, or nil.
func (p *Plan) findZone(name string) *Zone {
	for k := range p.Zones {
		if p.Zones[k].Name == name {
			return &p.Zones[k]
		}
	}
	return nil
}

// Pair returns the cap from one zone to another, or nil.
func (p *Plan) Pair(from, to string) *Pair {
	for k := range p.Pairs {
		if p.Pairs[k].From == from && p.Pairs[k].To == to {
			return &p.Pairs[k]
		}
	}
	return nil
}

// threadsOf returns a member's share. The pair may be nil.
func (p *Pair) threadsOf(name string) float64 {
	if p == nil {
		return 0
	}
	if k := slices.IndexFunc(p.Shares, func(s Share) bool { return s.Name == name }); k >= 0 {
		return p.Shares[k].Threads
	}
	return 0
}
